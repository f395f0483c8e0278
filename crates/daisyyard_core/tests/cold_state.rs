//! Guards against cold endpoints that are taken for warm ones, warm ones that are taken for cold
//! ones, and requests to cold endpoints while warm ones have room.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::time::{Duration, Instant};

use assert_matches::assert_matches;
use daisyyard_core::access::{Access, Reason};
use daisyyard_core::choice::{Choice, Purpose};
use daisyyard_core::endpoint::{Endpoint, Kind};
use daisyyard_core::id::{self, EndpointId};
use daisyyard_core::load::Need;
use daisyyard_core::pool::{Pool, Signal};
use daisyyard_core::rate::{OWNER_WAIT, Place};
use daisyyard_core::warmup::{Report, Rule, WINDOW};
use daisyyard_core::zone::Zone;

/// Time after a start for which endpoints are cold.
const COLD: Duration = Duration::from_secs(1);
/// Places that a node without others has in a window.
const PLACES: usize = 4;
/// The cold time without its end.
const ALMOST_COLD: Duration = Duration::from_millis(990);
/// A moment in the cold time.
const MOMENT: Duration = Duration::from_millis(10);

/// Returns an engine; its incarnation and the revision of its entry are those given.
fn engine(name: &str, incarnation: u64, revision: u64) -> Endpoint {
    let address = SocketAddr::from(([127, 0, 0, 1], 1));
    let mut endpoint = Endpoint::new(name, "model", Kind::Engine, Zone::new("a", "r"), address);
    endpoint.slots = 100;
    (endpoint.incarnation, endpoint.revision) = (incarnation, revision.into());
    endpoint
}

/// Returns the need of a request.
fn need() -> Need {
    Need {
        service: id::of("model"),
        prompt: 1,
        output: 0,
        memory: 10_000,
        connections: 100,
        target_gap: None,
        backup: false,
    }
}

/// Returns a pool of the only node, which owns all shares, with two engines, and the current time.
fn pool() -> (Pool, Instant) {
    let start = Instant::now();
    let mut pool = Pool::new(Zone::new("a", "r"), 1);
    let rule = Rule {
        duration: COLD,
        bound: 2 * PLACES as u32,
    };
    pool.set_cold_rules(HashMap::from([(id::of("model"), rule)]));
    pool.set_owners(1, &[1], start);
    for name in ["one", "two"] {
        pool.put(engine(name, 1, 1), Duration::ZERO, start);
    }
    (pool, start + OWNER_WAIT)
}

/// Returns the identifier of the first engine.
fn one() -> EndpointId {
    id::of("one")
}

/// Returns whether the first engine is limited at a time.
fn is_cold(pool: &Pool, at: Instant) -> bool {
    pool.cold_reports(at).any(|report| report.endpoint == one()) || pool.cold_count(at) > 0
}

/// Returns the engine to which a request is sent.
fn chosen(pool: &mut Pool, excluded: &[EndpointId], now: Instant) -> Option<EndpointId> {
    match pool.choose(&need(), excluded, now) {
        Choice::Send { endpoint, .. } => Some(endpoint.id),
        Choice::Wait | Choice::Missing | Choice::Evacuated | Choice::TurnedAway(_) => None,
    }
}

/// A warm engine comes first; a cold one gets requests only while a place is open, and further ones
/// wait until the next place opens.
#[test]
fn warm_first() {
    let (mut pool, now) = pool();
    pool.learn_cold(one(), 1, COLD * 4, now);
    for _ in 0..20 {
        assert_eq!(chosen(&mut pool, &[], now), Some(id::of("two")));
    }
    let excluded = [id::of("two")];
    for _ in 0..PLACES {
        assert_eq!(chosen(&mut pool, &excluded, now), Some(one()));
        pool.take_place(one(), now);
    }
    assert_matches!(pool.choose(&need(), &excluded, now), Choice::Wait);
    let opens = now + WINDOW;
    let closed = Access::Closed(Reason::Cold, Some(opens));
    assert_eq!(pool.access(one(), now), Some(closed));
    assert_eq!(pool.access(one(), opens), Some(Access::Open));
    let target = pool.choose_engine(&need(), None, &excluded, Purpose::Run, now);
    assert!(target.is_none());
}

/// A place is given back if its request has not left.
#[test]
fn place_returned() {
    let (mut pool, now) = pool();
    pool.learn_cold(one(), 1, COLD, now);
    let places: Vec<Place> = (0..PLACES)
        .filter_map(|_| pool.take_place(one(), now))
        .collect();
    assert_eq!(places.len(), PLACES);
    assert_matches!(pool.access(one(), now), Some(Access::Closed(..)));
    pool.give_back_place(one(), places[0]);
    assert_eq!(pool.access(one(), now), Some(Access::Open));
}

/// Requests that were sent just before an endpoint was known to be cold take places.
#[test]
fn sent_before() {
    let (mut pool, now) = pool();
    for _ in 0..PLACES {
        pool.take_place(one(), now);
    }
    assert_eq!(pool.access(one(), now), Some(Access::Open));
    pool.learn_cold(one(), 1, COLD, now + MOMENT);
    assert_matches!(
        pool.access(one(), now + MOMENT),
        Some(Access::Closed(Reason::Cold, _))
    );
}

/// Within an incarnation the longer time wins, and a later entry that says zero ends it.
#[test]
fn longer_time() {
    let (mut pool, now) = pool();
    pool.put(engine("one", 1, 2), COLD, now);
    pool.learn_cold(one(), 1, COLD / 2, now);
    assert!(is_cold(&pool, now + ALMOST_COLD));
    pool.learn_cold(one(), 1, COLD * 2, now);
    assert!(is_cold(&pool, now + COLD + ALMOST_COLD));
    // A complete read names the same entry again.
    pool.put(engine("one", 1, 2), COLD, now + COLD * 2);
    assert!(!is_cold(&pool, now + COLD * 2));
    pool.learn_cold(one(), 1, COLD, now);
    pool.put(engine("one", 1, 3), Duration::ZERO, now + MOMENT);
    assert!(!is_cold(&pool, now + MOMENT));
}

/// An endpoint that has started anew counts as cold even if its first entry does not say so.
#[test]
fn new_incarnation() {
    let (mut pool, now) = pool();
    pool.put(engine("one", 2, 2), Duration::ZERO, now);
    assert!(is_cold(&pool, now + ALMOST_COLD));
    pool.put(engine("one", 2, 2), Duration::ZERO, now + MOMENT);
    assert!(is_cold(&pool, now + ALMOST_COLD));
    assert!(!is_cold(&pool, now + COLD));
    pool.learn_cold(one(), 1, COLD * 9, now);
    assert!(!is_cold(&pool, now + COLD), "of the incarnation before");
}

/// An endpoint that is listed for the first time has started. Those that a node finds at its own start
/// have the state of their entries.
#[test]
fn new_endpoint() {
    let (mut pool, now) = pool();
    pool.put(engine("three", 1, 3), Duration::ZERO, now);
    assert_eq!(pool.cold_count(now + ALMOST_COLD), 1);
    let mut pool = Pool::new(Zone::new("a", "r"), 1);
    let rule = Rule {
        duration: COLD,
        bound: 2,
    };
    pool.set_cold_rules(HashMap::from([(id::of("model"), rule)]));
    pool.put(engine("one", 1, 1), Duration::ZERO, now);
    pool.put(engine("two", 1, 1), COLD, now);
    assert_eq!(pool.cold_count(now), 1);
}

/// The report of another node counts, unless a later entry has ended the time, and it is not passed
/// on.
#[test]
fn heard_report() {
    let (mut pool, now) = pool();
    let report = |incarnation, revision: u64| Report {
        endpoint: one(),
        incarnation,
        revision: revision.into(),
        remaining: COLD,
    };
    pool.hear_cold(&[report(0, 9)], now);
    assert!(!is_cold(&pool, now));
    pool.hear_cold(&[report(1, 1)], now);
    assert_eq!(pool.cold_count(now), 1);
    assert_eq!(pool.cold_reports(now).count(), 0);
    pool.put(engine("one", 1, 2), Duration::ZERO, now);
    pool.hear_cold(&[report(1, 1)], now);
    assert_eq!(pool.cold_count(now), 0);
    pool.hear_cold(&[report(1, 2)], now);
    assert_eq!(pool.cold_count(now), 1);
}

/// The endpoints of a zone count as cold after its evacuation, until a later entry says otherwise.
#[test]
fn ended_evacuation() {
    let (mut pool, now) = pool();
    pool.end_evacuation(Zone::new("b", "r").id, now);
    assert_eq!(pool.cold_count(now), 0);
    pool.end_evacuation(Zone::new("a", "r").id, now);
    assert_eq!(pool.cold_count(now + ALMOST_COLD), 2);
    pool.put(engine("one", 1, 2), Duration::ZERO, now);
    assert_eq!(pool.cold_count(now), 1);
    assert_eq!(pool.cold_count(now + COLD), 0);
}

/// A trial after an ejection needs a place, too.
#[test]
fn cold_trial() {
    let (mut pool, now) = pool();
    pool.learn_cold(one(), 1, COLD * 9, now);
    pool.observe(one(), Signal::Refused, now);
    let trial = now + COLD;
    for _ in 0..PLACES {
        pool.take_place(one(), trial);
    }
    assert_matches!(
        pool.access(one(), trial),
        Some(Access::Closed(Reason::Cold, Some(_)))
    );
}

/// Changes are returned once.
#[test]
fn noted_changes() {
    let (mut pool, now) = pool();
    pool.learn_cold(one(), 1, COLD, now);
    let cold: Vec<_> = pool.cold_changes(now).iter().map(|it| it.cold).collect();
    assert_eq!(cold, [Some(COLD)]);
    assert!(pool.cold_changes(now).is_empty());
    let warm: Vec<_> = pool
        .cold_changes(now + COLD)
        .iter()
        .map(|it| it.cold)
        .collect();
    assert_eq!(warm, [None]);
}

/// Without a bound, cold endpoints get requests as before.
#[test]
fn no_bound() {
    let (mut pool, now) = pool();
    pool.set_cold_rules(HashMap::new());
    pool.put(engine("one", 2, 2), COLD, now);
    pool.learn_cold(one(), 2, COLD, now);
    assert_eq!(pool.access(one(), now), Some(Access::Open));
    assert_eq!(pool.take_place(one(), now), None);
    assert_eq!(
        (pool.cold_count(now), pool.cold_reports(now).count()),
        (0, 0)
    );
}
