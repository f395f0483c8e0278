//! Guards against a configuration that reverts to an older revision, has faults, or loses the
//! history of its changes.

use std::time::{Instant, SystemTime};

use daisyyard_core::config::{self, Action, Replica, WATCHERS_PER_REGION};
use daisyyard_core::preset::{Document, Edit, MAX_HISTORY, Preset};
use daisyyard_core::store_budget::{self, Budget};
use proptest::prelude::*;

/// Returns a document with the given revision.
fn document(revision: u64) -> Document {
    Document {
        revision,
        write_id: revision,
        ..Document::initial(Preset::ordinary(&["asistente"]))
    }
}

proptest! {
    /// Only higher revisions are adopted, so the replica holds the highest one offered.
    #[test]
    fn never_reverts(offers in proptest::collection::vec(0_u64..50, 0..50)) {
        let mut replica = Replica::new(document(0));
        let mut highest = 0;
        for revision in offers {
            let expected = if revision > highest { Action::Fetch(revision) } else { Action::Ignore };
            prop_assert_eq!(replica.announced(revision), expected);
            let expected = if revision > highest { Action::Adopt } else { Action::Ignore };
            prop_assert_eq!(replica.offer(document(revision)), expected);
            highest = highest.max(revision);
            prop_assert_eq!(replica.document().revision, highest);
        }
    }

    /// Three nodes of a region watch, in whatever order its nodes are listed.
    #[test]
    fn three_watch(mut nodes in proptest::collection::btree_set(any::<u64>(), 3..50)) {
        let watching: Vec<u64> = nodes
            .iter()
            .copied()
            .filter(|node| config::watches(*node, nodes.iter().rev().copied()))
            .collect();
        prop_assert_eq!(watching.len(), WATCHERS_PER_REGION);
        // After the loss of a watcher, the other two still watch.
        nodes.remove(&watching[0]);
        prop_assert!(config::watches(watching[1], nodes.iter().copied()));
        prop_assert!(config::watches(watching[2], nodes.iter().copied()));
    }

    /// A burst is limited to 20 calls, and the bound on the wait doubles per failure up to 10 s.
    #[test]
    fn budget_holds(seed: u64, failures in 0_u32..40) {
        let now = Instant::now();
        let mut budget = Budget::new(seed, now);
        let calls = (0..50).filter(|_| budget.take(now) == store_budget::Decision::Call).count();
        prop_assert_eq!(calls, 20);
        for _ in 0..failures {
            budget.fail(now);
        }
        let bound = 100_u128 << failures.saturating_sub(1).min(10);
        if let store_budget::Decision::Wait(wait) = budget.take(now) {
            prop_assert!(wait.as_millis() <= bound.clamp(200, 10_000));
        }
    }
}

/// All faults of a preset are reported, each with its key.
#[test]
fn lists_every_fault() {
    let mut preset = Preset::ordinary(&["asistente"]);
    preset.name = "peak days".to_owned();
    let terms = preset.terms.values_mut().next().expect("one service");
    terms.urgent.floor = 0.8;
    terms.deferrable.floor = f64::NAN;
    terms.limit.rate = 0.0;
    terms.retries = 2.0;
    let keys: Vec<String> = preset.faults().into_iter().map(|fault| fault.key).collect();
    let expected = [
        "name",
        "services.asistente.deferrable.floor",
        "services.asistente.*.floor",
        "services.asistente.limit.rate",
        "services.asistente.retries",
    ];
    assert_eq!(keys, expected);
}

/// Each change raises the revision by one and enters the history, which keeps the newest ones.
#[test]
fn remembers_changes() {
    let mut current = document(0);
    for write_id in 1..=40 {
        let edit = Edit::Put(Preset::ordinary(&["asistente"]));
        current = current
            .edit(edit, write_id, "ines", SystemTime::UNIX_EPOCH)
            .expect("no faults");
        assert_eq!((current.revision, current.write_id), (write_id, write_id));
    }
    assert_eq!(current.history.len(), MAX_HISTORY);
    assert_eq!(current.history[0].revision, 9);
    assert!(current.contains(9) && !current.contains(8));
    let faults = current.edit(
        Edit::Use("peak".to_owned()),
        41,
        "ines",
        SystemTime::UNIX_EPOCH,
    );
    assert_eq!(faults.expect_err("no such preset")[0].key, "current");
}
