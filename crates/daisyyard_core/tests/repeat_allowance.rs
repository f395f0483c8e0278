//! Guards against repeated sends beyond the bound on all nodes, and against a bound that one busy
//! node cannot use.

use std::time::{Duration, Instant};

use daisyyard_core::allowance::{Allowance, Bound, Decision};
use daisyyard_core::id::ServiceId;

/// Service of all requests.
const SERVICE: ServiceId = 1;

/// Returns a bound of a fifth of the requests and ten more in ten seconds.
fn bound() -> Bound {
    Bound {
        ratio: 0.2,
        slack: 10.0,
        window: Duration::from_secs(10),
    }
}

/// Returns how many of a hundred repeats are allowed.
fn allowed(allowance: &mut Allowance, nodes: usize, now: Instant) -> usize {
    let next = (0..100).map(|_| allowance.try_repeat(SERVICE, nodes, now));
    next.filter(|next| *next == Decision::Send).count()
}

/// The bound holds in every window and frees up when the window has passed.
#[test]
fn bound_holds() {
    let start = Instant::now();
    let mut allowance = Allowance::new(bound());
    for _ in 0..100 {
        allowance.count_request(SERVICE, start);
    }
    // 0.8 of 20 for the requests and 10 of slack.
    assert_eq!(allowed(&mut allowance, 1, start), 24);
    let later = start + Duration::from_secs(9);
    assert_eq!(allowed(&mut allowance, 1, later), 0);
    let passed = start + Duration::from_secs(30);
    assert_eq!(allowed(&mut allowance, 1, passed), 8);
}

/// A node that knows nothing of the others uses its part of the slack only.
#[test]
fn unknown_nodes() {
    let now = Instant::now();
    let mut allowance = Allowance::new(bound());
    assert_eq!(allowed(&mut allowance, 4, now), 2);
}

/// Nodes that tell their counts share the bound by need.
#[test]
fn shared_bound() {
    let now = Instant::now();
    let mut busy = Allowance::new(bound());
    let mut idle = Allowance::new(bound());
    busy.learn(2, idle.counts(now), now);
    assert_eq!(allowed(&mut busy, 2, now), 8);
    idle.learn(1, busy.counts(now), now);
    assert_eq!(allowed(&mut idle, 2, now), 0);
}
