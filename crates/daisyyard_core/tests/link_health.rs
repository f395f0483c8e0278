//! Guards against endpoints that keep receiving work while they are dead, that never return, or
//! that are ejected because a single connection was slow.

use std::time::{Duration, Instant};

use daisyyard_core::link::{Action, Link, Monitor, Signal, may_eject};

/// A slow endpoint is never ejected, a dead one at once, and broken links after three in a row.
#[test]
fn tells_dead() {
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

/// An ejected endpoint returns by one trial at a time, with a longer wait after each failure.
#[test]
fn returns_by_trial() {
    let mut now = Instant::now();
    let mut link = Link::new();
    link.observe(Signal::Dead, true, now);
    let mut waits = Vec::new();
    for _ in 0..8 {
        // Late signals of requests that were sent before the ejection change nothing.
        assert_eq!(link.observe(Signal::Dead, true, now), Action::Use);
        let begun = now;
        while !link.usable(now) {
            now += Duration::from_millis(100);
        }
        waits.push(now - begun);
        link.send(now);
        assert!(!link.usable(now), "a second trial at the same time");
        assert_eq!(link.observe(Signal::Dead, true, now), Action::Eject);
    }
    assert!(waits.is_sorted());
    assert_eq!(waits.last(), Some(&Duration::from_mins(1)));
    now += Duration::from_mins(2);
    link.send(now);
    link.observe(Signal::Served, true, now);
    assert!(link.usable(now) && !link.ejected());
}

/// A trial without a result does not keep the endpoint out for ever.
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

/// At most a third of a service's endpoints are ejected.
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

/// A stream gives up after a bounded number of breaks or silences without a token, and waits
/// longer after each silence.
#[test]
fn bounds_patience() {
    let mut watch = Monitor::new(Duration::from_secs(1));
    let mut breaks = 0;
    while watch.broken() == Action::Probe {
        breaks += 1;
        assert!(breaks < 100, "the stream is resumed for ever");
    }
    watch.progress();
    assert_eq!(watch.broken(), Action::Probe);
    let mut total = Duration::ZERO;
    while watch.stalled() == Action::Probe {
        total += watch.timeout();
        assert!(watch.timeout() <= Duration::from_secs(8));
    }
    assert!(total >= Duration::from_secs(30));
    watch.progress();
    assert_eq!(watch.timeout(), Duration::from_secs(1));
}
