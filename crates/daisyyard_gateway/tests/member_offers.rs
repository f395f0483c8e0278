//! Guards against callers that are sent to gateways which have ended or leave, or to none.

use std::net::SocketAddr;
use std::time::{Duration, Instant};

use daisyyard_core::id;
use daisyyard_gateway::member::{Entry, Members};

/// Returns an entry by its port.
fn entry(port: u16, zone: &str) -> Entry {
    Entry {
        requests: SocketAddr::from(([127, 0, 0, 1], port)),
        digests: SocketAddr::from(([127, 0, 0, 1], port + 1_000)),
        zone: zone.to_owned(),
    }
}

/// Returns the view of a gateway that serves.
fn serving() -> Members {
    let mut members = Members::new("one", entry(1, "a"));
    members.enable();
    members
}

/// Returns the ports that callers in a zone are offered.
fn ports(members: &mut Members, zone: &str, now: Instant) -> Vec<u16> {
    let mut ports: Vec<u16> = members
        .offer(zone, now)
        .iter()
        .map(SocketAddr::port)
        .collect();
    ports.sort_unstable();
    ports
}

/// A zone with enough gateways keeps its callers; others are offered all.
#[test]
fn own_zone() {
    let now = Instant::now();
    let mut members = serving();
    members.put("two", entry(2, "a"), now);
    members.put("three", entry(3, "b"), now);
    assert_eq!(ports(&mut members, "a", now), [1, 2]);
    assert_eq!(ports(&mut members, "b", now), [1, 2, 3]);
}

/// A gateway that is silent while others are heard is not offered; when all are silent this one is
/// cut off, and all are.
#[test]
fn silent_gateway() {
    let start = Instant::now();
    let later = start + Duration::from_secs(2);
    let mut members = serving();
    members.put("two", entry(2, "a"), start);
    members.put("three", entry(3, "a"), start);
    assert_eq!(ports(&mut members, "a", later), [1, 2, 3]);
    assert!(members.record_digest(id::of("two"), false, later));
    assert_eq!(ports(&mut members, "a", later), [1, 2]);
    assert!(!members.record_digest(id::of("stranger"), false, later));
}

/// A gateway that leaves is not offered, this one included.
#[test]
fn leaving_gateway() {
    let now = Instant::now();
    let mut members = serving();
    members.put("two", entry(2, "a"), now);
    members.record_digest(id::of("two"), true, now);
    assert_eq!(ports(&mut members, "a", now), [1]);
    members.disable();
    assert!(ports(&mut members, "a", now).is_empty());
}

/// An entry that ended while the store was away stays until it must be back.
#[test]
fn doubtful_gateway() {
    let now = Instant::now();
    let until = now + Duration::from_secs(2);
    let mut members = serving();
    members.put("two", entry(2, "a"), now);
    members.remove("two", Some(until));
    assert_eq!(ports(&mut members, "a", now), [1, 2]);
    assert_eq!(ports(&mut members, "a", until), [1]);
    members.put("two", entry(2, "a"), now);
    members.remove("two", None);
    assert_eq!(ports(&mut members, "a", now), [1]);
}

/// A gateway that has just started is offered once it knows a configuration.
#[test]
fn started_gateway() {
    let now = Instant::now();
    let mut members = Members::new("one", entry(1, "a"));
    assert!(ports(&mut members, "a", now).is_empty());
    members.enable();
    assert_eq!(ports(&mut members, "a", now), [1]);
}
