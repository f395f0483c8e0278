//! Guards against entries that are taken for gone while they may come back after an outage of the
//! store, or kept when they cannot.

use std::time::{Duration, Instant};

use daisyyard_core::outage::Outage;

/// Returns a time after `start`.
fn at(start: Instant, ms: u64) -> Instant {
    start + Duration::from_millis(ms)
}

/// Entries that vanish within 2.2 s after an outage may come back; the time begins with its end.
#[test]
fn long_outage() {
    let start = Instant::now();
    let mut outage = Outage::default();
    assert!(!outage.is_on());
    assert!(outage.record_failure(start));
    assert!(!outage.record_failure(at(start, 900)), "it goes on");
    assert!(outage.is_on());
    assert_eq!(outage.relist_deadline(at(start, 900)), None);
    let lasted = outage.record_success(at(start, 1_000));
    assert_eq!(lasted, Some(Duration::from_secs(1)));
    assert!(!outage.is_on());
    let deadline = Some(at(start, 3_200));
    assert_eq!(outage.relist_deadline(at(start, 1_000)), deadline);
    assert_eq!(outage.record_success(at(start, 2_000)), None);
    assert_eq!(outage.relist_deadline(at(start, 3_199)), deadline);
    assert_eq!(outage.relist_deadline(at(start, 3_200)), None);
}

/// A short outage expires no entries, but does not shorten the time after a long one.
#[test]
fn short_outage() {
    let start = Instant::now();
    let mut outage = Outage::default();
    outage.record_failure(start);
    outage.record_success(at(start, 999));
    assert_eq!(outage.relist_deadline(at(start, 999)), None);
    outage.record_failure(at(start, 2_000));
    outage.record_success(at(start, 4_000));
    outage.record_failure(at(start, 4_500));
    let lasted = outage.record_success(at(start, 4_600));
    assert_eq!(lasted, Some(Duration::from_millis(100)));
    assert_eq!(
        outage.relist_deadline(at(start, 4_600)),
        Some(at(start, 6_200))
    );
}
