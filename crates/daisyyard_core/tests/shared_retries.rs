//! Guards against retries of all nodes beyond their common bound, and against a bound that a
//! single busy node cannot use.

use std::time::{Duration, Instant};

use daisyyard_core::id::ServiceId;
use daisyyard_core::shared_retry_budget::{Budget, Decision, Limits};

/// Service of all requests in these tests.
const SERVICE: ServiceId = 1;

/// Returns a bound of a fifth of the requests plus ten retries per window of ten seconds.
fn bound() -> Limits {
    Limits {
        ratio: 0.2,
        slack: 10.0,
        window: Duration::from_secs(10),
    }
}

/// Returns how many of a hundred retries are allowed.
fn allowed(budget: &mut Budget, nodes: usize, now: Instant) -> usize {
    let decisions = (0..100).map(|_| budget.try_retry(SERVICE, nodes, now));
    decisions
        .filter(|decision| *decision == Decision::Retry)
        .count()
}

/// The bound applies to each window, and retries are allowed again when the window has passed.
#[test]
fn bound_holds() {
    let start = Instant::now();
    let mut budget = Budget::new(bound());
    for _ in 0..100 {
        budget.count_request(SERVICE, start);
    }
    // 0.8 of the bound is used: 20 for the requests and 10 of slack.
    assert_eq!(allowed(&mut budget, 1, start), 24);
    let later = start + Duration::from_secs(9);
    assert_eq!(allowed(&mut budget, 1, later), 0);
    let window_over = start + Duration::from_secs(30);
    assert_eq!(allowed(&mut budget, 1, window_over), 8);
}

/// A node without reports of the other nodes uses only its part of the slack.
#[test]
fn unknown_nodes() {
    let now = Instant::now();
    let mut budget = Budget::new(bound());
    assert_eq!(allowed(&mut budget, 4, now), 2);
}

/// Nodes that exchange their counts share the bound, and a busy one may use all of it.
#[test]
fn shared_bound() {
    let now = Instant::now();
    let mut busy = Budget::new(bound());
    let mut idle = Budget::new(bound());
    busy.learn(2, idle.counts(now), now);
    assert_eq!(allowed(&mut busy, 2, now), 8);
    idle.learn(1, busy.counts(now), now);
    assert_eq!(allowed(&mut idle, 2, now), 0);
}

/// Retries that reach no endpoint do not count: a run that is often asked to move, and is never sent
/// elsewhere, must not use up the bound. Nothing is given back that was not allowed before.
#[test]
fn unused_retries() {
    let now = Instant::now();
    let mut budget = Budget::new(bound());
    for _ in 0..100 {
        assert_eq!(budget.try_retry(SERVICE, 1, now), Decision::Retry);
        budget.give_back(SERVICE, now);
    }
    budget.give_back(SERVICE, now);
    assert_eq!(allowed(&mut budget, 1, now), 8);
    let later = now + Duration::from_secs(30);
    budget.give_back(SERVICE, later);
    assert_eq!(allowed(&mut budget, 1, later), 8);
}
