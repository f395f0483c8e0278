//! Guards against nodes that together exceed the limit that an endpoint states, whatever they know of
//! each other, and against limits that leave an endpoint idle or outlive their statement.

use std::net::SocketAddr;
use std::time::{Duration, Instant};

use daisyyard_core::access::{Access, Reason};
use daisyyard_core::choice::Choice;
use daisyyard_core::endpoint::{Endpoint, Kind};
use daisyyard_core::id::{self, EndpointId, InstanceId};
use daisyyard_core::load::Need;
use daisyyard_core::pool::Pool;
use daisyyard_core::rate::{MAX_LEAVE_DELAY, Place};
use daisyyard_core::throttle::Report;
use daisyyard_core::zone::Zone;
use rand::{Rng, SeedableRng};
use rand_pcg::Pcg64Mcg;

/// Period to which the bound on the arrivals applies.
const PERIOD: Duration = Duration::from_secs(4);
/// Time for which a node must have known a list before it sends.
const WAIT: Duration = Duration::from_millis(4_250);
/// Number of schedules that are played.
const SEEDS: u64 = 60;
/// Length of a schedule.
const LENGTH: Duration = Duration::from_secs(24);
/// Time within which nodes that reach the store learn of a change of the list.
const LEARNING_TIME: Duration = Duration::from_millis(2_900);
/// Mean time between two steps of a schedule.
const STEP: Duration = Duration::from_millis(10);

/// Returns the number of requests that may reach an endpoint with a limit in a period.
fn allowed(per_1000_s: u32) -> usize {
    (f64::from(per_1000_s) / 1_000.0 * PERIOD.as_secs_f64() * 1.5 + 5.0) as usize
}

/// Returns the identifier of an endpoint.
fn endpoint_id(number: usize) -> EndpointId {
    id::of(&format!("endpoint-{number}"))
}

/// Returns an endpoint of the service.
fn endpoint(number: usize, incarnation: u64) -> Endpoint {
    let address = SocketAddr::from(([127, 0, 0, 1], 1));
    let name = format!("endpoint-{number}");
    let mut endpoint = Endpoint::new(&name, "desk", Kind::Plain, Zone::new("a", "r"), address);
    endpoint.slots = 10_000;
    (endpoint.incarnation, endpoint.revision) = (incarnation, incarnation.into());
    endpoint
}

/// Returns the need of a request.
fn need() -> Need {
    Need {
        service: id::of("desk"),
        prompt: 0,
        output: 0,
        memory: 0,
        connections: 10_000,
        target_gap: None,
        backup: false,
    }
}

/// Returns the identifier of a node.
fn node(number: usize) -> InstanceId {
    id::of(&format!("node-{number}"))
}

/// Returns a node that knows these nodes and endpoints.
fn pool(own: usize, nodes: &[InstanceId], endpoints: usize, now: Instant) -> Pool {
    let mut pool = Pool::new(Zone::new("a", "r"), own as u64);
    pool.set_owners(node(own), nodes, now);
    for number in 0..endpoints {
        pool.put(endpoint(number, 1), Duration::ZERO, now);
    }
    pool
}

/// Sends a request if the endpoint is open.
fn send(pool: &mut Pool, now: Instant) -> Option<Place> {
    match pool.choose(&need(), &[], now) {
        Choice::Send { endpoint, .. } => pool.take_place(endpoint.id, now),
        Choice::Wait | Choice::Missing | Choice::Evacuated | Choice::TurnedAway(_) => None,
    }
}

/// Records that the first endpoint states a limit in an answer.
fn state(pool: &mut Pool, per_1000_s: u32, now: Instant) {
    pool.learn_limit(endpoint_id(0), 1, Some(per_1000_s), now, now);
}

/// Returns the largest number of arrivals in any period.
fn peak(mut arrivals: Vec<Instant>) -> usize {
    arrivals.sort();
    let counts = arrivals.iter().enumerate().map(|(index, first)| {
        let later = arrivals[index..].iter();
        later.take_while(|at| **at < *first + PERIOD).count()
    });
    counts.max().unwrap_or(0)
}

/// Plays nodes whose lists differ while they change, or that are halves which count each other as gone, with
/// one endpoint that states a limit, and returns the arrivals.
fn play(seed: u64, per_1000_s: u32, halves: bool) -> Vec<Instant> {
    let mut random = Pcg64Mcg::seed_from_u64(seed);
    let count = random.random_range(2..32);
    let all: Vec<InstanceId> = (0..count).map(node).collect();
    let start = Instant::now();
    let mut pools: Vec<Pool> = (0..count).map(|own| pool(own, &all, 1, start)).collect();
    let mut learning: Vec<(Instant, usize, Vec<InstanceId>)> = Vec::new();
    let mut arrivals = Vec::new();
    let mut now = start + WAIT;
    let end = now + LENGTH;
    let mut next_change = now + LENGTH / 4;
    while now < end {
        now += random.random_range(Duration::ZERO..STEP * 2);
        if now >= next_change {
            let mut current = all.clone();
            current.retain(|_| random.random_bool(0.8));
            let (one, two) = all.split_at(count / 2);
            for own in 0..count {
                let half = if own < count / 2 { one } else { two };
                let list = if halves { half } else { &current };
                let at = now + random.random_range(Duration::ZERO..LEARNING_TIME);
                learning.push((at, own, list.to_vec()));
            }
            next_change = now + if halves { LENGTH } else { LEARNING_TIME * 2 };
        }
        for (_, own, list) in learning.extract_if(.., |(at, ..)| *at <= now) {
            pools[own].set_owners(node(own), &list, now);
        }
        let own = random.random_range(0..count);
        state(&mut pools[own], per_1000_s, now);
        for _ in 0..random.random_range(0..4) {
            let Some(place) = send(&mut pools[own], now) else {
                break;
            };
            if random.random_bool(0.1) {
                // The request does not leave.
                pools[own].give_back_place(endpoint_id(0), place);
            } else {
                arrivals.push(now + random.random_range(Duration::ZERO..MAX_LEAVE_DELAY));
            }
        }
    }
    arrivals
}

/// No schedule of arrivals and diverging lists brings more requests to an endpoint than its limit allows.
#[test]
fn bounded_rate() {
    for per_1000_s in [0, 100, 500, 3_000, 4_200, 5_600, 40_000] {
        for (seed, halves) in (0..SEEDS).flat_map(|seed| [(seed, false), (seed, true)]) {
            let arrivals = play(seed, per_1000_s, halves);
            let peak = peak(arrivals);
            let context = format!("limit {per_1000_s}, seed {seed}, halves {halves}");
            assert!(peak <= allowed(per_1000_s), "{context}: {peak} in 4 s");
        }
    }
}

/// Nodes that agree use three quarters of a limit or more, spread over them, and never exceed it.
#[test]
fn used_rate() {
    for (nodes, per_1000_s) in [
        (1, 3_000),
        (6, 3_000),
        (6, 5_600),
        (78, 4_200),
        (78, 40_000),
    ] {
        let all: Vec<InstanceId> = (0..nodes).map(node).collect();
        let start = Instant::now();
        let mut pools: Vec<Pool> = (0..nodes).map(|own| pool(own, &all, 1, start)).collect();
        let mut arrivals = Vec::new();
        let mut senders = 0;
        for pool in &mut pools {
            state(pool, per_1000_s, start + WAIT);
            let before = arrivals.len();
            for step in 0..1_200 {
                let now = start + WAIT + Duration::from_millis(10) * step;
                pool.learn_limit(endpoint_id(0), 1, Some(per_1000_s), now, now);
                while send(pool, now).is_some() {
                    arrivals.push(now);
                }
            }
            senders += usize::from(arrivals.len() > before);
        }
        let stated = f64::from(per_1000_s) / 1_000.0 * 12.0;
        let sent = arrivals.len() as f64;
        assert!(
            sent >= stated * 0.7,
            "{nodes} nodes, {per_1000_s}: {sent} sent in 12 s"
        );
        assert!(peak(arrivals) <= allowed(per_1000_s));
        assert!(senders >= nodes.min(6), "{nodes} nodes: {senders} send");
    }
}

/// A node that has got no answer follows the reports of others, and the latest statement wins.
#[test]
fn heard_limit() {
    let now = Instant::now();
    let later = now + WAIT;
    let all = [node(0), node(1)];
    let mut one = pool(0, &all, 1, now);
    let mut two = pool(1, &all, 1, now);
    state(&mut one, 500, later);
    let reports: Vec<Report> = one.limit_reports(later).collect();
    two.hear_limits(&reports, later);
    assert_eq!(two.limited(later).count(), 1);
    assert_eq!(two.limit_reports(later).count(), 0, "it is not passed on");
    // An older answer of the other node does not bring the limit back.
    let end = later + Duration::from_secs(1);
    two.learn_limit(endpoint_id(0), 1, None, end, end);
    two.hear_limits(&reports, later);
    assert_eq!(two.limited(end).count(), 0);
    let reports: Vec<Report> = two.limit_reports(end).collect();
    one.hear_limits(&reports, end);
    assert_eq!(one.limited(end).count(), 0);
    // A report about another start of the endpoint does not count.
    let other = Report {
        incarnation: 2,
        per_1000_s: Some(1),
        ..reports[0]
    };
    one.hear_limits(&[other], end);
    assert_eq!(one.limited(end).count(), 0);
}

/// An answer to a request that was placed before the statement does not end the limit, however late it is.
#[test]
fn overtaken_answer() {
    let now = Instant::now();
    let mut pool = pool(0, &[node(0)], 1, now);
    let second = Duration::from_secs(1);
    state(&mut pool, 3_000, now + second);
    pool.learn_limit(endpoint_id(0), 1, None, now, now + second * 2);
    assert_eq!(pool.limited(now + second * 2).count(), 1);
    pool.learn_limit(endpoint_id(0), 1, None, now + second * 2, now + second * 3);
    assert_eq!(pool.limited(now + second * 3).count(), 0);
}

/// A limit ends with the start of the endpoint that stated it, and when nothing confirms it.
#[test]
fn ended_limit() {
    let now = Instant::now();
    let mut restarted = pool(0, &[node(0)], 1, now);
    state(&mut restarted, 3_000, now);
    restarted.put(endpoint(0, 2), Duration::ZERO, now);
    assert_eq!(restarted.limited(now).count(), 0);
    let mut unconfirmed = pool(0, &[node(0)], 1, now);
    state(&mut unconfirmed, 3_000, now);
    assert_eq!(unconfirmed.limit_changes(now).len(), 1);
    let later = now + Duration::from_secs(31);
    assert_eq!(unconfirmed.limited(later).count(), 0);
    assert_eq!(unconfirmed.limit_changes(later).len(), 1);
    let access = unconfirmed.access(endpoint_id(0), later);
    assert_eq!(access, Some(Access::Open));
}

/// The time at which a limited endpoint opens is known, unless another endpoint may serve the request.
#[test]
fn next_opening() {
    let start = Instant::now();
    let now = start + WAIT;
    let mut pool = pool(0, &[node(0)], 2, start);
    let service = id::of("desk");
    state(&mut pool, 250, now);
    assert!(pool.take_place(endpoint_id(0), now).is_some());
    let opens = now + WAIT;
    let closed = Access::Closed(Reason::Limited, Some(opens));
    assert_eq!(pool.access(endpoint_id(0), now), Some(closed));
    assert_eq!(pool.limited_opening(service, &[], now), None);
    let excluded = [endpoint_id(1)];
    assert_eq!(pool.limited_opening(service, &excluded, now), Some(opens));
    assert_eq!(pool.limited_opening(service, &excluded, opens), None);
}
