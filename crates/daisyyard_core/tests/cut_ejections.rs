//! Guards against endpoints that lose requests because nodes without a path to them report them as
//! failing.

use std::net::SocketAddr;
use std::time::{Duration, Instant};

use daisyyard_core::choice::Choice;
use daisyyard_core::endpoint::{Endpoint, Kind};
use daisyyard_core::id::{self, EndpointId};
use daisyyard_core::isolation::{Attempt, Change, Outcome};
use daisyyard_core::load::Need;
use daisyyard_core::pool::{Pool, Signal};
use daisyyard_core::zone::Zone;

/// Number of endpoints.
const ENDPOINTS: usize = 10;

/// Returns a node's pool.
fn pool(seed: u64, now: Instant) -> Pool {
    let zone = Zone::new("a", "r");
    let mut pool = Pool::new(zone.clone(), seed);
    for number in 0..ENDPOINTS {
        let address = SocketAddr::from(([127, 0, 0, 1], 1));
        let name = format!("e{number}");
        let mut endpoint = Endpoint::new(&name, "model", Kind::Engine, zone.clone(), address);
        endpoint.slots = 8;
        pool.put(endpoint, Duration::ZERO, now);
    }
    pool
}

/// Returns the identifier of an endpoint.
fn endpoint(number: usize) -> EndpointId {
    id::of(&format!("e{number}"))
}

/// Returns the endpoints that a node uses for a hundred requests.
fn used(pool: &mut Pool, now: Instant) -> usize {
    let need = Need {
        service: id::of("model"),
        prompt: 100,
        output: 0,
        memory: 10_000,
        connections: 100,
        target_gap: None,
        backup: false,
    };
    let chosen = (0..100).filter_map(|_| match pool.choose(&need, &[], now) {
        Choice::Send { endpoint, .. } => Some(endpoint.id),
        _ => None,
    });
    chosen.collect::<std::collections::BTreeSet<_>>().len()
}

/// Records a failed attempt of a node to connect.
fn fail(pool: &mut Pool, endpoint: EndpointId, signal: Signal, now: Instant) {
    pool.record_attempt(Attempt {
        endpoint,
        started: now,
        outcome: Outcome::Failed,
    });
    pool.observe(endpoint, signal, now);
}

/// Records a connection that a node has made.
fn connect(pool: &mut Pool, endpoint: EndpointId, now: Instant) {
    pool.record_attempt(Attempt {
        endpoint,
        started: now,
        outcome: Outcome::Made,
    });
}

/// Most nodes of a fleet lose their connections, each to some endpoints; the others go on using all.
#[test]
fn many_cut_off() {
    let now = Instant::now();
    let mut sound = pool(0, now);
    for node in 1..=60 {
        let mut cut = pool(node, now);
        for number in 0..4 {
            // What a node that has not yet noticed its cut reports counts as well.
            cut.observe(endpoint(number), Signal::Lost, now);
            cut.observe(endpoint(number), Signal::Lost, now);
        }
        let reported: Vec<EndpointId> = cut.ejections(now).collect();
        sound.learn_ejections(node, &reported, now);
    }
    assert_eq!(used(&mut sound, now), ENDPOINTS);
}

/// A sound node reports an endpoint that is down once it has connected to another one.
#[test]
fn endpoint_down() {
    let now = Instant::now();
    let later = now + Duration::from_millis(100);
    let mut sound = pool(0, now);
    for node in 1..=2 {
        let mut node_pool = pool(node, now);
        connect(&mut node_pool, endpoint(1), now);
        fail(&mut node_pool, endpoint(0), Signal::Refused, later);
        assert_eq!(node_pool.ejections(later).count(), 0);
        connect(&mut node_pool, endpoint(1), later);
        let reported: Vec<EndpointId> = node_pool.ejections(later).collect();
        sound.learn_ejections(node, &reported, later);
    }
    assert_eq!(used(&mut sound, later), ENDPOINTS - 1);
}

/// A node that is cut off reports nothing, and uses all endpoints when it is back, except one that was
/// down before.
#[test]
fn lifted_ejections() {
    let now = Instant::now();
    let cut_at = now + Duration::from_millis(100);
    let back_at = now + Duration::from_millis(300);
    let mut pool = pool(0, now);
    fail(&mut pool, endpoint(9), Signal::Refused, now);
    connect(&mut pool, endpoint(8), now + Duration::from_millis(1));
    assert_eq!(pool.ejections(cut_at).count(), 1);
    for number in 0..3 {
        fail(&mut pool, endpoint(number), Signal::Refused, cut_at);
    }
    assert!(matches!(
        pool.review_isolation(cut_at),
        Some(Change::Isolated { failed: 3, .. })
    ));
    assert_eq!(pool.ejections(cut_at).count(), 0);
    assert_eq!(used(&mut pool, cut_at), ENDPOINTS - 1);
    fail(&mut pool, endpoint(4), Signal::Refused, back_at);
    assert_eq!(used(&mut pool, back_at), ENDPOINTS - 2);
    let made_at = back_at + Duration::from_millis(1);
    connect(&mut pool, endpoint(5), made_at);
    assert_eq!(pool.review_isolation(made_at), None);
    connect(&mut pool, endpoint(6), made_at);
    assert!(matches!(
        pool.review_isolation(made_at),
        Some(Change::Reached { reached: 2, .. })
    ));
    assert_eq!(used(&mut pool, made_at), ENDPOINTS - 1);
    assert_eq!(pool.ejections(made_at).collect::<Vec<_>>(), [endpoint(9)]);
}
