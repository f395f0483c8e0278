//! Guards against routing that herds on one engine, ignores distance, or accepts any load for a
//! cached prefix.

mod support;

use std::collections::BTreeSet;
use std::time::{Duration, Instant};

use daisyyard_core::contract::Rank;
use daisyyard_core::endpoint::State;
use daisyyard_core::id;
use daisyyard_core::ledger::Digest;
use daisyyard_core::route::{Choice, Request, SUBSET_SIZE, Table};
use daisyyard_core::zone::Zone;
use proptest::prelude::*;
use support::engine;

/// Returns a request with the given prefix.
fn request(prefix: &[u128]) -> Request {
    Request {
        id: 1,
        service: id::of("model"),
        account: 1,
        rank: Rank::Urgent,
        prompt: 4_096,
        prefix: prefix.to_vec(),
    }
}

/// Returns a digest of an engine with 64 slots.
fn digest(endpoint: u64, running: u32, queued: u32) -> Digest {
    Digest {
        endpoint,
        running,
        queued,
        free_tokens: 131_072,
        token_gap: Duration::from_millis(20),
    }
}

/// Returns a table with engines `e0`, `e1`, ... in the zones `z0`, `z1`, ... of one region.
fn table(node: u64, engines: usize, zones: usize) -> Table {
    let mut table = Table::for_node(node, Zone::new("z0", "r"));
    for number in 0..engines {
        let zone = Zone::new(&format!("z{}", number % zones), "r");
        table.insert(engine(&format!("e{number}"), &zone, 64, 131_072));
    }
    table
}

/// Returns the engines that are chosen over 500 seeds.
fn chosen(table: &Table, request: &Request, now: Instant) -> BTreeSet<u64> {
    let choice = |seed| match table.choose(request, &[], now, seed) {
        Choice::Endpoint(endpoint) => endpoint,
        Choice::Refuse { .. } => panic!("engines are live"),
    };
    (0..500).map(choice).collect()
}

/// A node uses a bounded subset of the engines, and all nodes together use all engines.
#[test]
fn bounded_subset() {
    let now = Instant::now();
    let mut all = BTreeSet::new();
    for node in 0..200 {
        let subset = chosen(&table(node, 186, 3), &request(&[]), now);
        assert!(subset.len() <= SUBSET_SIZE, "{}", subset.len());
        all.extend(subset);
    }
    assert_eq!(all.len(), 186);
}

/// Engines of another region are used only where the own region has too few.
#[test]
fn own_region() {
    let (mut table, now) = (table(1, 20, 3), Instant::now());
    for number in 0..100 {
        let far = Zone::new("far", "other");
        table.insert(engine(&format!("far{number}"), &far, 64, 131_072));
    }
    let chosen = chosen(&table, &request(&[]), now);
    assert!(
        chosen
            .iter()
            .all(|id| (0..20).any(|number| *id == id::of(&format!("e{number}"))))
    );
}

/// The engine with less load is chosen, and own sends count as load until a later digest.
#[test]
fn own_sends() {
    let (mut table, now) = (table(1, 2, 1), Instant::now());
    let (one, two) = (id::of("e0"), id::of("e1"));
    table.record_digest(digest(one, 10, 0), now);
    table.record_digest(digest(two, 20, 0), now);
    let request = request(&[]);
    for sent in 0..10 {
        assert_eq!(
            table.choose(&request, &[], now, sent),
            Choice::Endpoint(one)
        );
        table.record_send(one, &request, now + Duration::from_millis(sent));
    }
    table.record_send(one, &request, now + Duration::from_millis(11));
    assert_eq!(table.choose(&request, &[], now, 1), Choice::Endpoint(two));
    // A digest from before the sends does not clear them; one from after them does.
    let later = now + Duration::from_millis(20);
    table.record_aged_digest(digest(one, 10, 0), Duration::from_millis(20), later);
    assert_eq!(table.choose(&request, &[], later, 1), Choice::Endpoint(two));
    table.record_aged_digest(digest(one, 10, 0), Duration::ZERO, later);
    assert_eq!(table.choose(&request, &[], later, 1), Choice::Endpoint(one));
}

/// An old digest of an idle engine does not attract all requests.
#[test]
fn old_digest() {
    let (mut table, now) = (table(1, 2, 1), Instant::now());
    table.record_digest(digest(id::of("e0"), 0, 0), now);
    let later = now + Duration::from_secs(30);
    table.record_digest(digest(id::of("e1"), 8, 0), later);
    let choice = table.choose(&request(&[]), &[], later, 1);
    assert_eq!(choice, Choice::Endpoint(id::of("e1")));
}

/// A cached prefix decides between engines with similar load, and is ignored under high load.
#[test]
fn prefix_ignored_under_load() {
    let (mut table, now) = (table(1, 8, 1), Instant::now());
    for number in 0..8 {
        table.record_digest(digest(id::of(&format!("e{number}")), 20, 0), now);
    }
    let (holder, request) = (id::of("e3"), request(&[1, 2, 3, 4]));
    table.record_send(holder, &request, now);
    assert_eq!(table.cached_tokens(&request, holder), 4_096);
    assert_eq!(chosen(&table, &request, now), BTreeSet::from([holder]));
    table.record_digest(digest(holder, 60, 0), now);
    assert!(!chosen(&table, &request, now).contains(&holder));
    table.record_digest(digest(holder, 20, 5), now);
    assert!(!chosen(&table, &request, now).contains(&holder));
}

proptest! {
    /// The chosen engine is live and not excluded, and the choice is deterministic for a seed.
    #[test]
    fn valid_choice(
        states in proptest::collection::vec(0_u8..3, 1..40),
        tried in proptest::collection::vec(0_usize..40, 0..5),
        seed in any::<u64>(),
    ) {
        let (mut table, now) = (table(1, 0, 1), Instant::now());
        let tried: Vec<u64> = tried.iter().map(|number| id::of(&format!("e{number}"))).collect();
        let mut usable = BTreeSet::new();
        for (number, state) in states.iter().enumerate() {
            let zone = Zone::new("z1", "r");
            let mut engine = engine(&format!("e{number}"), &zone, 64, 131_072);
            table.insert(engine.clone());
            engine.state = [State::Live, State::Leaving, State::Gone][usize::from(*state)];
            if engine.state == State::Live && !tried.contains(&engine.id) {
                usable.insert(engine.id);
            }
            table.insert(engine);
        }
        let choice = table.choose(&request(&[]), &tried, now, seed);
        prop_assert_eq!(choice, table.choose(&request(&[]), &tried, now, seed));
        match choice {
            Choice::Endpoint(endpoint) => prop_assert!(usable.contains(&endpoint)),
            Choice::Refuse { .. } => prop_assert!(usable.is_empty()),
        }
    }
}
