//! Guards against yields of generations that are about to end.

use std::net::SocketAddr;
use std::time::{Duration, Instant};

use daisyyard_core::contract::Rank;
use daisyyard_core::endpoint::{Endpoint, Kind};
use daisyyard_core::id;
use daisyyard_core::ledger::{Action, Ledger, Request};
use daisyyard_core::preset::Terms;
use daisyyard_core::zone::Zone;

/// Returns the number of yields on an engine that is full of deferrable generations of this length
/// while an urgent request waits.
fn yields(length: u64) -> usize {
    let start = Instant::now();
    let zone = Zone::new("a", "r");
    let address = SocketAddr::from(([127, 0, 0, 1], 1));
    let mut endpoint = Endpoint::new("engine", "model", Kind::Engine, zone, address);
    endpoint.slots = 8;
    let mut ledger = Ledger::new(&endpoint, Terms::ordinary("model"), start);
    let mut now = start + Duration::from_secs(5);
    let admission_request = |request, rank, now| Request {
        id: request,
        node: 1,
        account: id::of("account"),
        rank,
        prompt: 100,
        cached: 0,
        expected: length,
        deadline: now + Duration::from_secs(30),
    };
    // The ledger learns the length before the engine is full.
    for request in 0..200 {
        ledger.ask(admission_request(request, Rank::Deferrable, now), now);
        ledger.release(request, length, now);
    }
    for request in 1_000..1_008 {
        ledger.ask(admission_request(request, Rank::Deferrable, now), now);
    }
    ledger.ask(admission_request(2_000, Rank::Urgent, now), now);
    let mut count = 0;
    for _ in 0..20 {
        now += Duration::from_millis(20);
        let actions = ledger.tick(now);
        count += actions
            .iter()
            .filter(|action| matches!(action, Action::Yield { .. }))
            .count();
    }
    count
}

/// Short generations do not yield, because they end before their node can act on it. Without this
/// rule there were 208 such yields per run of flood-deferrable on pit-works.
#[test]
fn short_generations_do_not_yield() {
    assert_eq!(yields(2), 0);
    assert!(yields(400) > 0);
}
