//! Guards against endpoints that receive requests while they are dead, that are never used again
//! after an ejection, or that are ejected because of a slow connection.

use std::time::{Duration, Instant};

use daisyyard_core::link::{Action, Link, Monitor, Signal, may_eject};

/// A slow endpoint is never ejected, a dead one at once, and one with broken connections after
/// three in a row.
#[test]
fn ejects_dead() {
    let now = Instant::now();
    let mut slow = Link::new();
    for _ in 0..100 {
        assert_eq!(slow.observe(Signal::Slow, true, now), Action::Use);
    }
    assert!(slow.usable(now));
    let mut dead = Link::new();
    assert_eq!(dead.observe(Signal::Dead, true, now), Action::Eject);
    assert!(!dead.usable(now));
    let mut broken = Link::new();
    let signals = [
        Signal::Broken,
        Signal::Broken,
        Signal::Served,
        Signal::Broken,
        Signal::Broken,
    ];
    for signal in signals {
        assert_eq!(broken.observe(signal, true, now), Action::Use);
    }
    assert_eq!(broken.observe(Signal::Broken, true, now), Action::Eject);
}

/// An ejected endpoint gets one trial request at a time, after a backoff that grows with each
/// failure.
#[test]
fn returns_by_trial() {
    let mut now = Instant::now();
    let mut link = Link::new();
    link.observe(Signal::Dead, true, now);
    let mut backoffs = Vec::new();
    for _ in 0..8 {
        // Late signals of requests sent before the ejection have no effect.
        assert_eq!(link.observe(Signal::Dead, true, now), Action::Use);
        let ejected_at = now;
        while !link.usable(now) {
            now += Duration::from_millis(100);
        }
        backoffs.push(now - ejected_at);
        link.send(now);
        assert!(!link.usable(now), "a second trial at the same time");
        assert_eq!(link.observe(Signal::Dead, true, now), Action::Eject);
    }
    assert!(backoffs.is_sorted());
    assert_eq!(backoffs.last(), Some(&Duration::from_mins(1)));
    now += Duration::from_mins(2);
    link.send(now);
    link.observe(Signal::Served, true, now);
    assert!(link.usable(now) && !link.ejected());
}

/// A trial without a result does not prevent the next one for ever.
#[test]
fn repeats_trial() {
    let now = Instant::now();
    let mut link = Link::new();
    link.observe(Signal::Dead, true, now);
    let later = now + Duration::from_secs(2);
    link.send(later);
    assert!(!link.usable(later));
    assert!(link.usable(later + Duration::from_mins(1)));
}

/// At most a third of the endpoints of a service are ejected.
#[test]
fn caps_ejections() {
    for size in 0..50 {
        let mut ejected = 0;
        while may_eject(size, ejected) {
            ejected += 1;
        }
        assert_eq!(ejected, size / 3);
    }
    let mut link = Link::new();
    let now = Instant::now();
    assert_eq!(link.observe(Signal::Dead, false, now), Action::Use);
    assert!(link.usable(now));
}

/// A stream tolerates a bounded number of consecutive broken or stalled connections, and waits
/// longer after each stall.
#[test]
fn bounds_stalls() {
    let mut monitor = Monitor::new(Duration::from_secs(1));
    let mut breaks = 0;
    while monitor.broken() == Action::Probe {
        breaks += 1;
        assert!(breaks < 100, "the stream is resumed for ever");
    }
    monitor.progress();
    assert_eq!(monitor.broken(), Action::Probe);
    let mut waited = Duration::ZERO;
    while monitor.stalled() == Action::Probe {
        waited += monitor.timeout();
        assert!(monitor.timeout() <= Duration::from_secs(8));
    }
    assert!(waited >= Duration::from_secs(30));
    monitor.progress();
    assert_eq!(monitor.timeout(), Duration::from_secs(1));
}
