//! Guards against gateways that share the rates of cold endpoints among different lists, because they do
//! not hear each other or have lost their own entries.

use std::net::SocketAddr;
use std::time::{Duration, Instant};

use daisyyard_core::id::{self, InstanceId};
use daisyyard_gateway::member::{Entry, Members};

/// Number of gateways.
const GATEWAYS: u16 = 60;

/// Returns the name of a gateway.
fn name(number: u16) -> String {
    format!("gateway-{number}")
}

/// Returns the entry of a gateway.
fn entry(number: u16) -> Entry {
    Entry {
        requests: SocketAddr::from(([127, 0, 0, 1], 1_000 + number)),
        digests: SocketAddr::from(([127, 0, 0, 1], 2_000 + number)),
        zone: format!("zone-{}", number % 4),
    }
}

/// Returns the members that a gateway knows, all of them listed.
fn members(own: u16, now: Instant) -> Members {
    let mut members = Members::new(&name(own), entry(own));
    for number in 0..GATEWAYS {
        members.put(&name(number), entry(number), now);
    }
    members.update_roster(now);
    members
}

/// Gateways that hear different others, or nobody, share the rates among the same ones. Digests and
/// the rate of requests change nothing.
#[test]
fn lost_digests() {
    let start = Instant::now();
    let owners = members(0, start).owners().expect("a list");
    assert!(owners.len() < usize::from(GATEWAYS) && owners.len() >= 24);
    let later = start + Duration::from_secs(5);
    for own in 0..4 {
        let mut view = members(own, start);
        let listing = view.listing();
        for number in (0..GATEWAYS).filter(|number| number % 4 == own % 4 && own > 0) {
            view.record_digest(id::of(&name(number)), number % 8 == 0, later);
        }
        view.set_request_rate(400.0);
        view.update_roster(later);
        assert_eq!(view.owners().as_ref(), Some(&owners));
        assert_eq!(view.listing(), listing);
    }
}

/// A gateway whose own entry is gone keeps to the last list: the others share its part, and a store
/// that has lost all entries must not give each gateway the whole rate.
#[test]
fn lost_entry() {
    let now = Instant::now();
    let mut view = members(0, now);
    view.retain(&[]);
    assert_eq!(view.owners(), None);
    for number in 0..GATEWAYS {
        view.put(&name(number), entry(number), now);
    }
    assert_eq!(view.owners(), members(1, now).owners());
    view.remove(&name(0), None);
    assert_eq!(view.owners(), None);
}

/// The list changes with the entries in the store, and only then.
#[test]
fn listed_gateways() {
    let now = Instant::now();
    let mut view = members(0, now);
    let (owners, listing) = (view.owners().expect("a list"), view.listing());
    view.put(&name(1), entry(1), now);
    assert_eq!(view.listing(), listing);
    let gone: InstanceId = owners[0];
    let number = (0..GATEWAYS).find(|number| id::of(&name(*number)) == gone);
    let number = number.expect("a gateway");
    let mut other = members((number + 1) % GATEWAYS, now);
    let listing = other.listing();
    other.remove(&name(number), None);
    assert_ne!(other.listing(), listing);
    assert!(!other.owners().expect("a list").contains(&gone));
}
