//! Guards against offering callers a gateway that does not reach the endpoints while others do, and
//! against relaying requests to a gateway that cannot serve them.

use std::net::SocketAddr;
use std::time::{Duration, Instant};

use daisyyard_core::id::{self, InstanceId};
use daisyyard_gateway::member::{Entry, Members};

/// Returns an entry whose addresses derive from a port.
fn entry(port: u16, zone: &str) -> Entry {
    Entry {
        requests: SocketAddr::from(([127, 0, 0, 1], port)),
        digests: SocketAddr::from(([127, 0, 0, 1], port + 1_000)),
        zone: zone.to_owned(),
    }
}

/// Returns the members of a gateway that knows three others, which serve.
fn fleet(now: Instant) -> Members {
    let mut members = Members::new("one", entry(1, "a"));
    members.start_offering();
    for (port, name, zone) in [(2, "two", "a"), (3, "three", "b"), (4, "four", "b")] {
        members.put(name, entry(port, zone), now);
        members.record_service(id::of(name), 1, false);
    }
    members
}

/// Returns the ports of the gateways that a caller in a zone is offered.
fn ports(members: &mut Members, zone: &str, now: Instant) -> Vec<u16> {
    let offered = members.offer(zone, now);
    let mut ports: Vec<u16> = offered.iter().map(SocketAddr::port).collect();
    ports.sort_unstable();
    ports
}

/// Returns the identifiers of gateways in their order.
fn ids(names: &[&str]) -> Vec<InstanceId> {
    let mut ids: Vec<InstanceId> = names.iter().map(|name| id::of(name)).collect();
    ids.sort_unstable();
    ids
}

/// A gateway that is cut off is not offered, including this one.
#[test]
fn left_out() {
    let now = Instant::now();
    let mut members = fleet(now);
    members.record_service(id::of("three"), 1, true);
    assert_eq!(ports(&mut members, "a", now), [1, 2]);
    assert_eq!(ports(&mut members, "b", now), [1, 2, 4]);
    members.set_isolated(true);
    assert_eq!(ports(&mut members, "a", now), [2, 4]);
    members.set_isolated(false);
    members.record_service(id::of("three"), 1, false);
    assert_eq!(ports(&mut members, "b", now), [3, 4]);
}

/// If all are cut off, the endpoints are down, and all gateways are offered.
#[test]
fn all_cut_off() {
    let now = Instant::now();
    let mut members = fleet(now);
    members.set_isolated(true);
    for name in ["two", "three", "four"] {
        members.record_service(id::of(name), 1, true);
    }
    assert_eq!(ports(&mut members, "a", now), [1, 2]);
    assert_eq!(ports(&mut members, "b", now), [3, 4]);
    assert!(members.peers(now).is_empty());
}

/// A gateway takes requests from others only if it reaches the endpoints, has a configuration, stays
/// and was heard recently.
#[test]
fn usable_peers() {
    let start = Instant::now();
    let mut members = fleet(start);
    assert_eq!(members.peers(start), ids(&["two", "three", "four"]));
    members.record_service(id::of("two"), 1, true);
    members.record_service(id::of("three"), 0, false);
    assert_eq!(members.peers(start), ids(&["four"]));
    members.record_digest(id::of("four"), true, start);
    assert!(members.peers(start).is_empty());
    let later = start + Duration::from_secs(3);
    members.record_service(id::of("two"), 1, false);
    assert!(members.peers(later).is_empty());
    members.record_digest(id::of("two"), false, later);
    assert_eq!(members.peers(later), ids(&["two"]));
    members.remove("two", Some(later));
    assert!(members.peers(later).is_empty());
}

/// A gateway learns once that another one is cut off, from the first digest that says so.
#[test]
fn new_cut() {
    let mut members = fleet(Instant::now());
    assert!(members.record_service(id::of("two"), 1, true));
    assert!(!members.record_service(id::of("two"), 1, true));
    assert!(!members.record_service(id::of("two"), 1, false));
    assert!(members.record_service(id::of("two"), 1, true));
    assert!(!members.record_service(id::of("unknown"), 1, true));
}

/// Gateways in reserve take requests only if no serving one is left.
#[test]
fn reserve() {
    let now = Instant::now();
    let mut members = Members::new("one", entry(1, "a"));
    for port in 2..=101 {
        let name = format!("g{port}");
        members.put(&name, entry(port, "a"), now);
        members.record_service(id::of(&name), 1, false);
    }
    let serving = members.peers(now);
    assert_eq!(members.peers_to_ask(now).len(), 3);
    assert!((24..=26).contains(&serving.len()), "{}", serving.len());
    for id in &serving {
        members.record_service(*id, 1, true);
    }
    assert!(members.peers_to_ask(now).is_empty());
    // Those that have been silent since may have come back.
    let later = now + Duration::from_secs(3);
    assert_eq!(members.peers_to_ask(later).len(), 3);
    let reserve = members.peers(now);
    assert_eq!(reserve.len(), 100 - serving.len());
    assert!(reserve.iter().all(|id| !serving.contains(id)));
}
