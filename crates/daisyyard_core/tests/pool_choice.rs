//! Guards against requests to endpoints that are leaving, full or unreachable, and against engines
//! that are filled beyond their memory.

use std::net::SocketAddr;
use std::time::{Duration, Instant};

use assert_matches::assert_matches;
use daisyyard_core::choice::{Choice, Purpose};
use daisyyard_core::endpoint::{Endpoint, Kind, State};
use daisyyard_core::id::{self, EndpointId};
use daisyyard_core::isolation::{Attempt, Outcome};
use daisyyard_core::load::{Load, Need};
use daisyyard_core::pool::{Pool, Signal};
use daisyyard_core::zone::Zone;

/// Memory of an engine in tokens.
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

/// Returns the need of a request with a prompt of this many tokens.
fn need(prompt: u64, backup: bool) -> Need {
    Need {
        service: id::of("model"),
        prompt,
        output: 0,
        memory: MEMORY,
        connections: 100,
        target_gap: None,
        backup,
    }
}

/// Reserves tokens of memory at an engine for one run.
fn reserve(pool: &mut Pool, name: &str, tokens: u64) {
    pool.update_load(id::of(name), |load| {
        load.runs += 1;
        load.tokens += tokens;
    });
}

/// Returns the name of the chosen engine, or none if the request must wait.
fn chosen(pool: &mut Pool, need: &Need, excluded: &[EndpointId], now: Instant) -> Option<String> {
    match pool.choose(need, excluded, now) {
        Choice::Send { endpoint, .. } => Some(endpoint.name.clone()),
        Choice::Wait | Choice::Missing | Choice::Evacuated | Choice::TurnedAway(_) => None,
    }
}

/// The engine with the most free memory is chosen, and none whose memory would be exceeded.
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

/// A leaving engine receives no requests, and its departure is returned once.
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

/// An engine whose entry expired while the store was unavailable is used during a grace period, and
/// is kept if it is listed again in that time.
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

/// An engine that is listed again soon after its entry was removed keeps its load.
///
/// Guards against all nodes filling an engine at once after its entry was missing for a moment
/// while its runs continued.
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

/// The report of another node that an engine is leaving counts unless a later entry is known.
///
/// Guards against streams that learn too late that their engine is leaving, and against an engine
/// that is never used again because an old report arrives after its return.
#[test]
fn reported_departure() {
    let now = Instant::now();
    let one = id::of("one");
    let mut first = pool(&["one"], now);
    let mut second = pool(&["one"], now);
    first.advance(5.into());
    let mut leaving = engine("one", "a");
    leaving.state = State::Leaving;
    first.put(leaving, Duration::ZERO, now);
    let departures: Vec<_> = first.departures(now).collect();
    assert_eq!(departures, vec![(one, 5.into())]);
    assert!(second.mark_leaving(one, 5.into(), now));
    assert!(!second.mark_leaving(one, 5.into(), now), "reported again");
    assert_matches!(second.choose(&need(1, false), &[], now), Choice::Missing);
    second.advance(6.into());
    second.put(engine("one", "a"), Duration::ZERO, now);
    assert!(
        !second.mark_leaving(one, 5.into(), now),
        "older than the entry"
    );
    assert!(chosen(&mut second, &need(1, false), &[], now).is_some());
    let later = now + Duration::from_secs(3);
    assert_eq!(first.departures(later).count(), 0, "old report");
}

/// An unreachable engine is ejected for a time that grows with each ejection.
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

/// An engine that loses two requests in a row is ejected, and then gets one trial request.
///
/// Guards against an endpoint that accepts connections and breaks them, which would lose one
/// request after another that is not idempotent.
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

/// An engine that two other nodes have ejected is ejected here, unless too few engines would
/// remain.
///
/// Guards against every node losing requests at an endpoint that others know to fail, and against
/// a service that loses most of its endpoints because of wrong reports.
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
    // The refusal may have its cause at this node until it has connected to an endpoint again.
    assert_eq!(pool.ejections(now).count(), 0);
    pool.record_attempt(Attempt {
        endpoint: two,
        started: now,
        outcome: Outcome::Made,
    });
    assert_eq!(pool.ejections(now).collect::<Vec<_>>(), vec![one]);
    // An endpoint that only this node cannot reach is not reported to other nodes.
    pool.observe(two, Signal::Unreachable, now);
    assert_eq!(pool.ejections(now).collect::<Vec<_>>(), vec![one]);
}

/// The loads that other nodes report count until they expire.
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

/// The loads that a node reports in several parts count together until its next report.
///
/// Guards against engines that look free because the loads of a node do not fit one message.
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

/// An endpoint receives no more concurrent requests than its service allows connections.
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

/// A copy goes to another engine, preferably in the given zone, that has room for it beyond the
/// memory kept for new runs.
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

/// An entry that an endpoint writes again without a change is not taken for news, but one that was
/// in doubt, that leaves or that has started anew is.
#[test]
fn unchanged_entry() {
    let now = Instant::now();
    let mut pool = pool(&["one"], now);
    let entry = engine("one", "a");
    assert!(!pool.is_changed(&entry));
    assert!(pool.is_changed(&engine("two", "a")));
    let mut leaving = entry.clone();
    leaving.state = State::Leaving;
    assert!(pool.is_changed(&leaving));
    let mut restarted = entry.clone();
    restarted.incarnation += 1;
    assert!(pool.is_changed(&restarted));
    pool.remove(entry.id, Some(now + Duration::from_secs(2)), now);
    assert!(pool.is_changed(&entry));
    pool.put(entry.clone(), Duration::ZERO, now);
    assert!(!pool.is_changed(&entry));
    pool.remove(entry.id, None, now);
    assert!(pool.is_changed(&entry));
}

/// Long runs leave a fifth of the memory of an engine to short ones, which are urgent and would wait
/// at a full engine until a long run ends.
#[test]
fn room_for_short() {
    let now = Instant::now();
    let mut pool = pool(&["one"], now);
    reserve(&mut pool, "one", 7_500);
    let short = need(1_000, false);
    let long = Need {
        output: 200,
        ..short.clone()
    };
    assert_matches!(pool.choose(&long, &[], now), Choice::Wait);
    assert_eq!(chosen(&mut pool, &short, &[], now), Some("one".to_owned()));
}
