//! Guards against a protocol that breaks a promise, and against a checker that would not notice.

use daisyyard_lab::check::{self, explore};

/// Every invariant holds over all states within its bounds, and every broken variant is rejected.
#[test]
fn all_hold() {
    let rows = check::all();
    assert!(
        rows.iter().all(check::Row::holds),
        "\n{}",
        check::table(&rows)
    );
    for promise in ["P1", "P3", "P4", "P7"] {
        let named = |row: &&check::Row| row.invariant.starts_with(promise);
        let row = rows.iter().find(named);
        assert!(row.is_some(), "{promise} has no invariant");
    }
    let kinds = ["stream", "calls", "config", "orders"];
    for kind in kinds {
        let broken = rows.iter().filter(|row| row.protocol == kind);
        assert!(
            broken.map(|row| row.broken.len()).sum::<usize>() > 0,
            "{kind}"
        );
    }
}

/// The exploration reaches every state once and finds the nearest violation.
#[test]
fn explores_all() {
    let next = |n: &(u8, u8)| vec![((n.0 + 1).min(9), n.1), (n.0, (n.1 + 1).min(9))];
    let whole = explore((0, 0), next, |_| false);
    assert_eq!(
        (whole.states, whole.depth, whole.violated, whole.complete),
        (100, 18, None, true)
    );
    let violated = explore((0, 0), next, |n| n.0 + n.1 == 7 && n.0 > 3);
    assert_eq!(violated.violated, Some(7));
}

/// An exploration that was given up, or a broken variant that was accepted, is no success.
#[test]
fn fails_on_doubt() {
    let held = explore(0_u8, |n| vec![n / 2], |_| false);
    let row = |whole, broken| check::Row {
        protocol: "test",
        invariant: "test",
        bounds: "none",
        whole,
        broken: vec![("broken", broken)],
    };
    let found = explore(0_u8, |n| vec![n / 2], |_| true);
    assert!(row(held, found).holds());
    assert!(!row(held, held).holds());
    assert!(!row(found, found).holds());
    let unbounded = explore(0_u64, |n| vec![n + 1], |_| false);
    assert!(!unbounded.complete);
    assert!(!row(unbounded, found).holds());
}
