//! Guards against waiting requests that start in the wrong order, are lost, or wait too long.

use std::time::{Duration, Instant};

use daisyyard_core::backlog::{Backlog, Schedule};

/// Returns a schedule with times in milliseconds after `start`.
fn schedule(priority: u8, start: Instant, arrived: u64, target: u64) -> Schedule {
    let at = |millis| start + Duration::from_millis(millis);
    Schedule {
        priority,
        arrived: at(arrived),
        target: at(target),
        expires: at(1_000),
    }
}

/// Requests start by priority, then those that can still meet their target, then by arrival.
#[test]
fn urgent_first() {
    let start = Instant::now();
    let mut backlog = Backlog::default();
    backlog.push(schedule(2, start, 1, 900), "deferrable");
    backlog.push(schedule(0, start, 2, 50), "late");
    backlog.push(schedule(0, start, 4, 900), "second");
    backlog.push(schedule(0, start, 3, 900), "first");
    let mut order = Vec::new();
    let now = start + Duration::from_millis(100);
    while backlog.start(now, |request| {
        order.push(request);
        None
    }) {}
    assert_eq!(order, ["first", "second", "late", "deferrable"]);
    assert!(backlog.is_empty());
}

/// A request that cannot start stays queued and does not block others.
#[test]
fn skips_blocked() {
    let start = Instant::now();
    let mut backlog = Backlog::default();
    backlog.push(schedule(0, start, 1, 900), "blocked");
    backlog.push(schedule(1, start, 2, 900), "free");
    assert!(backlog.start(start, |request| (request == "blocked").then_some(request)));
    assert!(!backlog.start(start, Some));
    assert!(backlog.any(|request| *request == "blocked"));
    assert_eq!(backlog.len(), 1);
    assert!(backlog.expire(start).is_empty());
    assert_eq!(backlog.expire(start + Duration::from_secs(1)), ["blocked"]);
}
