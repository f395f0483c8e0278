//! Guards against a prefix index that grows without bound or trusts its entries after lost events.

use daisyyard_core::prefix::{Change, Event, Index, Step};
use proptest::prelude::*;

/// Returns an event of engine 1.
fn event(sequence: u64, change: Change) -> Event {
    Event {
        endpoint: 1,
        sequence,
        change,
    }
}

/// The engines with the longest cached prefix come first, and evicted blocks do not count.
#[test]
fn longest_prefix() {
    let mut index = Index::default();
    index.record_routed(2, &[10]);
    assert_eq!(
        index.accept(&event(1, Change::Store(vec![10, 11, 12]))),
        Step::Applied
    );
    let found = index.holders(&[10, 11, 12, 13], 4);
    assert_eq!((found[0].endpoint, found[0].blocks), (1, 3));
    assert_eq!((found[1].endpoint, found[1].blocks), (2, 1));
    assert_eq!(
        index.accept(&event(2, Change::Evict(vec![12]))),
        Step::Applied
    );
    assert_eq!(index.holders(&[10, 11, 12, 13], 1)[0].blocks, 2);
}

/// A gap in the events is reported, and later events are not applied until it is filled or skipped.
#[test]
fn reports_gap() {
    let mut index = Index::default();
    index.accept(&event(1, Change::Store(vec![10])));
    let late = event(4, Change::Store(vec![11]));
    assert_eq!(index.accept(&late), Step::Fetch { after: 1 });
    assert!(index.holders(&[11], 1).is_empty());
    assert_eq!(index.accept(&event(1, Change::Clear)), Step::Duplicate);
    index.skip(1, 4);
    assert_eq!(index.accept(&late), Step::Applied);
    assert!(index.holders(&[10], 1)[0].confidence < 1.0);
    assert!(index.holders(&[11], 1)[0].confidence >= 1.0);
}

/// A restarted engine has an empty cache and numbers its events from the start.
#[test]
fn restart_clears() {
    let mut index = Index::default();
    index.accept(&event(7, Change::Store(vec![10])));
    index.restart(1);
    assert!(index.holders(&[10], 1).is_empty());
    assert_eq!(
        index.accept(&event(1, Change::Store(vec![10]))),
        Step::Applied
    );
    assert_eq!(index.holders(&[10], 1).len(), 1);
}

proptest! {
    /// The index never exceeds its capacity, and the newest entry is always found.
    #[test]
    fn bounded(stores in proptest::collection::vec((0_u64..5, 0_u128..500), 1..300)) {
        let mut index = Index::new(50);
        for (endpoint, fingerprint) in stores {
            index.record_routed(endpoint, &[fingerprint]);
            prop_assert!(index.len() <= 50);
            let found = index.holders(&[fingerprint], 10);
            prop_assert!(found.iter().any(|found| found.endpoint == endpoint));
        }
    }
}
