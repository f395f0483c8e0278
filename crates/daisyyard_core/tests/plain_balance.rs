//! Guards against a new plain endpoint that receives all requests of its service.

use std::time::Instant;

use assert_matches::assert_matches;
use daisyyard_core::contract::Rank;
use daisyyard_core::endpoint::{Endpoint, Kind};
use daisyyard_core::id;
use daisyyard_core::route::{Choice, Request, Table};
use daisyyard_core::zone::Zone;

/// Sends `count` requests one after another and returns how many the named endpoint received.
fn send(table: &mut Table, count: u64, name: &str) -> u64 {
    let request = Request {
        id: 1,
        service: id::of("libro-socios"),
        account: 1,
        rank: Rank::Urgent,
        prompt: 0,
        prefix: Vec::new(),
    };
    let mut received = 0;
    for seed in 0..count {
        let choice = table.choose(&request, &[], Instant::now(), seed);
        assert_matches!(choice, Choice::Endpoint(id) => {
            table.record_untimed_send(id);
            table.record_end(id);
            received += u64::from(id == id::of(name));
        });
    }
    received
}

/// After 1,000 requests to two endpoints, a third one receives about a third of the next 300.
#[test]
fn shares_with_new() {
    let zone = Zone::new("costa-a", "costa");
    let mut table = Table::new(zone.clone());
    let address = std::net::SocketAddr::from(([127, 0, 0, 1], 1));
    let endpoint = |name| Endpoint::new(name, "libro-socios", Kind::Plain, zone.clone(), address);
    table.insert(endpoint("one"));
    table.insert(endpoint("two"));
    send(&mut table, 1000, "one");
    table.insert(endpoint("three"));
    let share = send(&mut table, 300, "three");
    assert!((50..150).contains(&share), "{share} of 300");
}
