//! Guards against a protocol that violates a guarantee, and against a checker that misses it.

use daisyyard_lab::check::{self, explore};

/// Every invariant holds in all states within its bounds, every broken variant is rejected, and
/// every protocol has a broken variant.
#[test]
fn all_invariants_hold() {
    let outcomes = check::all();
    assert!(
        outcomes.iter().all(check::Outcome::holds),
        "\n{}",
        check::table(&outcomes)
    );
    for guarantee in ["P1", "P3", "P4", "P7"] {
        let named = |outcome: &&check::Outcome| outcome.invariant.starts_with(guarantee);
        let outcome = outcomes.iter().find(named);
        assert!(outcome.is_some(), "{guarantee} has no invariant");
    }
    let protocols = ["stream", "calls", "config", "orders"];
    for protocol in protocols {
        let broken = outcomes
            .iter()
            .filter(|outcome| outcome.protocol == protocol);
        assert!(
            broken.map(|outcome| outcome.broken.len()).sum::<usize>() > 0,
            "{protocol}"
        );
    }
}

/// The exploration visits every state once and finds the nearest violation.
#[test]
fn explores_every_state() {
    let successors = |n: &(u8, u8)| vec![((n.0 + 1).min(9), n.1), (n.0, (n.1 + 1).min(9))];
    let full = explore((0, 0), successors, |_| false);
    assert_eq!(
        (full.states, full.depth, full.violation_depth, full.complete),
        (100, 18, None, true)
    );
    let violating = explore((0, 0), successors, |n| n.0 + n.1 == 7 && n.0 > 3);
    assert_eq!(violating.violation_depth, Some(7));
}

/// An incomplete exploration and an accepted broken variant both count as failures.
#[test]
fn incomplete_is_failure() {
    let held = explore(0_u8, |n| vec![n / 2], |_| false);
    let outcome = |exploration, broken| check::Outcome {
        protocol: "test",
        invariant: "test",
        bounds: "none",
        exploration,
        broken: vec![("broken", broken)],
    };
    let found = explore(0_u8, |n| vec![n / 2], |_| true);
    assert!(outcome(held, found).holds());
    assert!(!outcome(held, held).holds());
    assert!(!outcome(found, found).holds());
    let unbounded = explore(0_u64, |n| vec![n + 1], |_| false);
    assert!(!unbounded.complete);
    assert!(!outcome(unbounded, found).holds());
}
