//! Guards against requests for endpoints that leave, are full or do not answer, and against engines
//! that are filled beyond their memory.

use std::net::SocketAddr;
use std::time::{Duration, Instant};

use assert_matches::assert_matches;
use daisyyard_core::endpoint::{Endpoint, Kind, State};
use daisyyard_core::id::{self, EndpointId};
use daisyyard_core::load::{Load, Need};
use daisyyard_core::pool::{Choice, Pool, Purpose, Signal};
use daisyyard_core::zone::Zone;

/// Tokens that an engine of these tests holds.
const MEMORY: u64 = 10_000;

/// Returns an engine in a zone.
fn engine(name: &str, zone: &str) -> Endpoint {
    let address = SocketAddr::from(([127, 0, 0, 1], 1));
    let mut endpoint = Endpoint::new(name, "model", Kind::Engine, Zone::new(zone, "r"), address);
    endpoint.slots = 8;
    endpoint
}

/// Returns a pool with engines in the node's zone.
fn pool(names: &[&str], now: Instant) -> Pool {
    let mut pool = Pool::new(Zone::new("a", "r"), 1);
    for name in names {
        pool.put(engine(name, "a"), Duration::ZERO, now);
    }
    pool
}

/// Returns the need of a request.
fn need(prompt: u64, backup: bool) -> Need {
    Need {
        service: id::of("model"),
        prompt,
        output: 0,
        memory: MEMORY,
        connections: 100,
        backup,
    }
}

/// Reserves tokens at an engine.
fn reserve(pool: &mut Pool, name: &str, tokens: u64) {
    pool.update_load(id::of(name), |load| {
        load.runs += 1;
        load.tokens += tokens;
    });
}

/// Returns the engine that is chosen, if one is.
fn chosen(pool: &mut Pool, need: &Need, excluded: &[EndpointId], now: Instant) -> Option<String> {
    match pool.choose(need, excluded, now) {
        Choice::Send { endpoint, .. } => Some(endpoint.name.clone()),
        Choice::Wait | Choice::Missing => None,
    }
}

/// The engine with the most free memory is chosen, and none that would overflow.
#[test]
fn free_memory() {
    let now = Instant::now();
    let mut pool = pool(&["one", "two"], now);
    reserve(&mut pool, "one", 8_000);
    reserve(&mut pool, "two", 4_000);
    let small = need(1_000, false);
    assert_eq!(chosen(&mut pool, &small, &[], now).as_deref(), Some("two"));
    let large = need(7_000, false);
    assert_matches!(pool.choose(&large, &[], now), Choice::Wait);
    assert_matches!(
        pool.choose(&need(1, false), &[id::of("one"), id::of("two")], now),
        Choice::Missing
    );
}

/// An engine that leaves receives nothing, and its leaving is told once.
#[test]
fn leaving_engine() {
    let now = Instant::now();
    let mut pool = pool(&["one"], now);
    let mut leaving = engine("one", "a");
    leaving.state = State::Leaving;
    assert!(pool.put(leaving.clone(), Duration::ZERO, now));
    assert!(!pool.put(leaving, Duration::ZERO, now));
    assert_matches!(pool.choose(&need(1, false), &[], now), Choice::Missing);
}

/// An engine whose entry ended while the store was away is used until the time to be listed again
/// has passed, and stays if it is.
#[test]
fn unlisted_engine() {
    let now = Instant::now();
    let grace_until = now + Duration::from_secs(2);
    let mut pool = pool(&["one", "two"], now);
    assert!(!pool.remove(id::of("one"), Some(grace_until), now));
    assert!(!pool.remove(id::of("two"), Some(grace_until), now));
    assert!(chosen(&mut pool, &need(1, false), &[], now).is_some());
    pool.put(engine("two", "a"), Duration::ZERO, now);
    assert_eq!(pool.expire(grace_until), vec![id::of("one")]);
    assert_eq!(
        chosen(&mut pool, &need(1, false), &[], grace_until).as_deref(),
        Some("two")
    );
}

/// An engine that is listed again soon after its entry ended has the load of before.
///
/// Guards against all nodes filling an engine at once whose entry was lost for a moment while its
/// runs went on.
#[test]
fn relisted_engine() {
    let now = Instant::now();
    let mut pool = pool(&["one"], now);
    reserve(&mut pool, "one", 4_000);
    let load = Load {
        runs: 1,
        tokens: 4_000,
        prefill: 0,
    };
    pool.set_loads(7, &[(id::of("one"), load)], now);
    assert!(pool.remove(id::of("one"), None, now));
    assert_matches!(pool.endpoint(id::of("one")), None);
    assert_matches!(pool.choose(&need(1, false), &[], now), Choice::Missing);
    pool.set_loads(7, &[(id::of("one"), load)], now);
    let soon = now + Duration::from_millis(500);
    pool.put(engine("one", "a"), Duration::ZERO, soon);
    assert_matches!(pool.choose(&need(3_000, false), &[], soon), Choice::Wait);
    assert!(chosen(&mut pool, &need(1_000, false), &[], soon).is_some());
}

/// What another node says about an engine that leaves counts unless a later entry is known.
///
/// Guards against streams that learn too late that their engine leaves, and against an engine that
/// is left out for good because old news of its leaving arrive after its return.
#[test]
fn reported_departure() {
    let now = Instant::now();
    let one = id::of("one");
    let mut first = pool(&["one"], now);
    let mut second = pool(&["one"], now);
    first.advance(5);
    let mut leaving = engine("one", "a");
    leaving.state = State::Leaving;
    first.put(leaving, Duration::ZERO, now);
    let departures: Vec<_> = first.departures(now).collect();
    assert_eq!(departures, vec![(one, 5)]);
    assert!(second.mark_leaving(one, 5));
    assert!(!second.mark_leaving(one, 5), "told again");
    assert_matches!(second.choose(&need(1, false), &[], now), Choice::Missing);
    second.advance(6);
    second.put(engine("one", "a"), Duration::ZERO, now);
    assert!(!second.mark_leaving(one, 5), "older than the entry");
    assert!(chosen(&mut second, &need(1, false), &[], now).is_some());
    let later = now + Duration::from_secs(3);
    assert_eq!(first.departures(later).count(), 0, "old news");
}

/// An engine that does not accept connections is left out for a while that grows.
#[test]
fn unreachable_engine() {
    let now = Instant::now();
    let mut pool = pool(&["one"], now);
    pool.observe(id::of("one"), Signal::Unreachable, now);
    assert_matches!(pool.choose(&need(1, false), &[], now), Choice::Wait);
    let later = now + Duration::from_secs(1);
    assert!(chosen(&mut pool, &need(1, false), &[], later).is_some());
    pool.observe(id::of("one"), Signal::Unreachable, later);
    let during_backoff = later + Duration::from_millis(800);
    assert_matches!(
        pool.choose(&need(1, false), &[], during_backoff),
        Choice::Wait
    );
}

/// An engine that loses two requests in a row is left out, and is tried again with one request.
///
/// Guards against requests that may run once being lost, one by one, at an endpoint that accepts
/// connections and breaks them.
#[test]
fn losing_engine() {
    let now = Instant::now();
    let one = id::of("one");
    let mut pool = pool(&["one"], now);
    pool.observe(one, Signal::Lost, now);
    assert!(chosen(&mut pool, &need(1, false), &[], now).is_some());
    pool.observe(one, Signal::Answered, now);
    pool.observe(one, Signal::Lost, now);
    assert!(chosen(&mut pool, &need(1, false), &[], now).is_some());
    pool.observe(one, Signal::Lost, now);
    assert_matches!(pool.choose(&need(1, false), &[], now), Choice::Wait);
    let later = now + Duration::from_secs(1);
    assert!(chosen(&mut pool, &need(1, false), &[], later).is_some());
    pool.observe(one, Signal::Lost, later);
    assert_matches!(pool.choose(&need(1, false), &[], later), Choice::Wait);
}

/// An engine that two other nodes left out is left out, unless that leaves too few engines.
///
/// Guards against every node losing requests of its own at an endpoint that others know to fail,
/// and against a service that is emptied by hearsay.
#[test]
fn reported_ejection() {
    let now = Instant::now();
    let (one, two) = (id::of("one"), id::of("two"));
    let mut pool = pool(&["one", "two", "three"], now);
    reserve(&mut pool, "two", 100);
    reserve(&mut pool, "three", 2_000);
    let small = need(1, false);
    pool.learn_ejections(7, &[one], now);
    assert_eq!(chosen(&mut pool, &small, &[], now).as_deref(), Some("one"));
    pool.learn_ejections(8, &[one], now);
    assert_eq!(chosen(&mut pool, &small, &[], now).as_deref(), Some("two"));
    pool.learn_ejections(7, &[one, two], now);
    pool.learn_ejections(8, &[one, two], now);
    assert_eq!(chosen(&mut pool, &small, &[], now).as_deref(), Some("one"));
    pool.learn_ejections(7, &[], now);
    pool.learn_ejections(8, &[one], now);
    assert_eq!(chosen(&mut pool, &small, &[], now).as_deref(), Some("one"));
    pool.observe(one, Signal::Refused, now);
    assert_eq!(pool.ejections(now).collect::<Vec<_>>(), vec![one]);
    // A path that is broken here says nothing about the paths of other nodes.
    pool.observe(two, Signal::Unreachable, now);
    assert_eq!(pool.ejections(now).collect::<Vec<_>>(), vec![one]);
}

/// The loads of other nodes count until they are too old.
#[test]
fn other_loads() {
    let now = Instant::now();
    let mut pool = pool(&["one"], now);
    let load = Load {
        runs: 1,
        tokens: MEMORY,
        prefill: 0,
    };
    pool.set_loads(7, &[(id::of("one"), load)], now);
    assert_matches!(pool.choose(&need(1_000, false), &[], now), Choice::Wait);
    let later = now + Duration::from_secs(3);
    assert!(chosen(&mut pool, &need(1_000, false), &[], later).is_some());
}

/// The loads of a node that tells them in several parts count together, until it tells them anew.
///
/// Guards against engines that look free because a node has more loads than fit one message.
#[test]
fn loads_in_parts() {
    let now = Instant::now();
    let mut pool = pool(&["one", "two"], now);
    let load = Load {
        runs: 1,
        tokens: MEMORY,
        prefill: 0,
    };
    pool.set_loads(7, &[(id::of("one"), load)], now);
    pool.add_loads(7, &[(id::of("two"), load)], now);
    assert_matches!(pool.choose(&need(1_000, false), &[], now), Choice::Wait);
    pool.set_loads(7, &[(id::of("one"), load)], now);
    let found = chosen(&mut pool, &need(1_000, false), &[], now);
    assert_eq!(found.as_deref(), Some("two"));
}

/// An endpoint receives no more requests than it accepts connections.
#[test]
fn connection_limit() {
    let now = Instant::now();
    let mut pool = pool(&["one"], now);
    reserve(&mut pool, "one", 1);
    let limited = Need {
        connections: 1,
        ..need(1, false)
    };
    assert_matches!(pool.choose(&limited, &[], now), Choice::Wait);
    assert!(chosen(&mut pool, &need(1, false), &[], now).is_some());
}

/// Copies go to another engine of the zone that has room beyond that for runs.
#[test]
fn copy_target() {
    let now = Instant::now();
    let mut pool = pool(&["one", "two"], now);
    pool.put(engine("far", "b"), Duration::ZERO, now);
    let copied = need(1_000, true);
    let one = [id::of("one")];
    let target = pool.choose_engine(&copied, Some(id::of("a")), &one, Purpose::Copy, now);
    assert_eq!(target.expect("room").name, "two");
    reserve(&mut pool, "two", 8_000);
    let target = pool.choose_engine(&copied, Some(id::of("a")), &one, Purpose::Copy, now);
    assert_eq!(target.expect("room").name, "far");
    reserve(&mut pool, "far", 8_000);
    assert!(
        pool.choose_engine(&copied, Some(id::of("a")), &one, Purpose::Copy, now)
            .is_none()
    );
    assert!(
        pool.choose_engine(&copied, Some(id::of("a")), &one, Purpose::Run, now)
            .is_some()
    );
}
