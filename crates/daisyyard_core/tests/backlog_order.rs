//! Guards against waiting requests that start in the wrong order, are lost, or wait too long.

use std::time::{Duration, Instant};

use daisyyard_core::backlog::{Backlog, Schedule};

/// Returns a schedule with times in milliseconds after `start`.
fn schedule(priority: u8, start: Instant, arrived: u64, target: u64) -> Schedule {
    let at = |millis| start + Duration::from_millis(millis);
    Schedule {
        priority,
        short: false,
        arrived: at(arrived),
        target: at(target),
        expires: at(1_000),
    }
}

/// Returns the expected time to the first token of a request that has it at once.
fn no_lead(_: &&str) -> Duration {
    Duration::ZERO
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
    while backlog.start(now, no_lead, |request| {
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
    assert!(backlog.start(start, no_lead, |request| {
        (request == "blocked").then_some(request)
    }));
    assert!(!backlog.start(start, no_lead, Some));
    assert!(backlog.any(|_, request| *request == "blocked"));
    assert_eq!(backlog.len(), 1);
    assert!(backlog.expire(start).is_empty());
    assert_eq!(backlog.expire(start + Duration::from_secs(1)), ["blocked"]);
}

/// Short requests start before long ones of the same priority, and may overtake these when they
/// arrive, but not those of a higher priority.
#[test]
fn short_first() {
    let start = Instant::now();
    let long = schedule(1, start, 1, 900);
    let short = Schedule {
        short: true,
        ..schedule(1, start, 2, 900)
    };
    let urgent = schedule(0, start, 3, 900);
    assert!(short.overtakes(&long));
    assert!(!short.overtakes(&urgent));
    assert!(!long.overtakes(&short));
    assert!(!short.overtakes(&short));
    let mut backlog = Backlog::default();
    backlog.push(long, "long");
    backlog.push(short, "short");
    backlog.push(urgent, "urgent");
    let mut order = Vec::new();
    while backlog.start(start, no_lead, |request| {
        order.push(request);
        None
    }) {}
    assert_eq!(order, ["urgent", "short", "long"]);
}

/// Under overload, a request that can no longer have its first token in time does not keep a later
/// one from being in time.
#[test]
fn hopeless_last() {
    let start = Instant::now();
    let lead = |_: &&str| Duration::from_millis(300);
    let mut backlog = Backlog::default();
    backlog.push(schedule(0, start, 1, 350), "hopeless");
    backlog.push(schedule(0, start, 2, 500), "in time");
    let mut order = Vec::new();
    let now = start + Duration::from_millis(100);
    while backlog.start(now, lead, |request| {
        order.push(request);
        None
    }) {}
    assert_eq!(order, ["in time", "hopeless"]);
}
