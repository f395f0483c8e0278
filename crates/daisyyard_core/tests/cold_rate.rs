//! Guards against more requests to a cold endpoint than it tolerates, whatever nodes know of each
//! other, and against shares that are so small that cold endpoints stay empty.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::time::{Duration, Instant};

use daisyyard_core::choice::Choice;
use daisyyard_core::endpoint::{Endpoint, Kind};
use daisyyard_core::id::{self, InstanceId};
use daisyyard_core::load::Need;
use daisyyard_core::pool::Pool;
use daisyyard_core::rate::{MAX_LEAVE_DELAY, OWNER_WAIT, Place};
use daisyyard_core::warmup::{Allowance, ColdStart, Rule};
use daisyyard_core::zone::Zone;
use rand::{Rng, SeedableRng};
use rand_pcg::Pcg64Mcg;

/// What the endpoints tolerate.
const START: ColdStart = ColdStart {
    duration: Duration::from_secs(1),
    per_1000_s: 26_000,
};
/// Bound on the requests that arrive at one endpoint in any second.
const BOUND: usize = 44;
/// Number of schedules that are played.
const SEEDS: u64 = 160;
/// Length of a schedule.
const LENGTH: Duration = Duration::from_secs(14);
/// Time within which nodes that reach the store learn of a change of the list.
const LEARNING_TIME: Duration = Duration::from_millis(2_900);
/// Mean time between two steps of a schedule.
const STEP: Duration = Duration::from_millis(4);

/// How the views of the nodes diverge in a schedule.
#[derive(Debug, Clone, Copy)]
enum Views {
    /// All nodes know the same list.
    Same,
    /// Two halves count each other as gone.
    Halves,
    /// Nodes leave the list and return, and the others learn of it at different times.
    Changing,
    /// One half follows the changes, and the other keeps an old list.
    Frozen,
}

/// Returns the bound of the service.
fn rule() -> Rule {
    let allowance = Allowance {
        overage: 1.5,
        slack: 5.0,
    };
    Rule::new(START, &allowance).expect("the rate is limited")
}

/// Returns an endpoint of the service.
fn endpoint(name: &str, incarnation: u64, revision: u64) -> Endpoint {
    let address = SocketAddr::from(([127, 0, 0, 1], 1));
    let mut endpoint = Endpoint::new(name, "desk", Kind::Plain, Zone::new("a", "r"), address);
    endpoint.slots = 10_000;
    (endpoint.incarnation, endpoint.revision) = (incarnation, revision.into());
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
    pool.set_cold_rules(HashMap::from([(id::of("desk"), rule())]));
    pool.set_owners(node(own), nodes, now);
    for number in 0..endpoints {
        pool.put(endpoint(&name(number), 1, 1), Duration::ZERO, now);
    }
    pool
}

/// Returns the name of an endpoint.
fn name(number: usize) -> String {
    format!("endpoint-{number}")
}

/// Sends a request if an endpoint is open; returns the endpoint and the place.
fn send(pool: &mut Pool, now: Instant) -> Option<(String, Place)> {
    match pool.choose(&need(), &[], now) {
        Choice::Send { endpoint, .. } => {
            let place = pool.take_place(endpoint.id, now).expect("a place");
            Some((endpoint.name.clone(), place))
        }
        Choice::Wait | Choice::Missing | Choice::Evacuated | Choice::TurnedAway(_) => None,
    }
}

/// Returns the largest number of arrivals in any second.
fn peak(mut arrivals: Vec<Instant>) -> usize {
    arrivals.sort();
    let mut first = 0;
    let mut peak = 0;
    for (last, at) in arrivals.iter().enumerate() {
        while arrivals[first] + Duration::from_secs(1) <= *at {
            first += 1;
        }
        peak = peak.max(last + 1 - first);
    }
    peak
}

/// Plays a schedule with one endpoint that stays cold, and returns the arrivals.
fn play(seed: u64, views: Views) -> Vec<Instant> {
    let mut random = Pcg64Mcg::seed_from_u64(seed);
    let count = random.random_range(1..32);
    let all: Vec<InstanceId> = (0..count).map(node).collect();
    let start = Instant::now();
    let mut pools: Vec<Pool> = (0..count).map(|own| pool(own, &all, 1, start)).collect();
    let mut lists: Vec<Vec<InstanceId>> = vec![all.clone(); count];
    let mut learning: Vec<(Instant, usize, Vec<InstanceId>)> = Vec::new();
    let mut arrivals = Vec::new();
    let mut now = start + OWNER_WAIT;
    let end = now + LENGTH;
    let split_at = now + random.random_range(Duration::ZERO..LENGTH / 2);
    let mut has_split = false;
    let mut next_change = now;
    while now < end {
        now += random.random_range(Duration::ZERO..STEP * 2);
        if matches!(views, Views::Halves) && now >= split_at && !has_split {
            has_split = true;
            let (one, two) = all.split_at(count / 2);
            for (own, list) in (0..count).map(|own| (own, if own < count / 2 { one } else { two }))
            {
                let at = now + random.random_range(Duration::ZERO..LEARNING_TIME);
                learning.push((at, own, list.to_vec()));
            }
        }
        if matches!(views, Views::Changing | Views::Frozen) && now >= next_change {
            next_change = now + random.random_range(LEARNING_TIME..LEARNING_TIME * 2);
            let mut current = all.clone();
            current.retain(|_| random.random_bool(0.8));
            for own in 0..count {
                let frozen = matches!(views, Views::Frozen) && own % 2 == 0;
                if !frozen {
                    let at = now + random.random_range(Duration::ZERO..LEARNING_TIME);
                    learning.push((at, own, current.clone()));
                }
            }
        }
        for (_, own, list) in learning.extract_if(.., |(at, ..)| *at <= now) {
            lists[own] = list;
            pools[own].set_owners(node(own), &lists[own], now);
        }
        let own = random.random_range(0..count);
        if random.random_bool(0.005) {
            // The node is killed, and starts again at once.
            pools[own] = pool(own, &lists[own], 1, now);
        }
        // Nodes know that the endpoint is cold; their digests are lost.
        pools[own].learn_cold(id::of(&name(0)), 1, START.duration, now);
        for _ in 0..random.random_range(0..6) {
            let Some((_, place)) = send(&mut pools[own], now) else {
                break;
            };
            if random.random_bool(0.1) {
                // The request does not leave.
                pools[own].give_back_place(id::of(&name(0)), place);
            } else {
                arrivals.push(now + random.random_range(Duration::ZERO..MAX_LEAVE_DELAY));
            }
        }
    }
    arrivals
}

/// No schedule of arrivals, restarts and diverging views brings more requests to a cold endpoint than
/// the bound allows.
#[test]
fn bounded_rate() {
    assert_eq!(rule().bound as usize, BOUND);
    for views in [Views::Same, Views::Halves, Views::Changing, Views::Frozen] {
        for seed in 0..SEEDS {
            let arrivals = play(seed, views);
            assert!(!arrivals.is_empty(), "{views:?} seed {seed}: none sent");
            let peak = peak(arrivals);
            assert!(peak <= BOUND, "{views:?} seed {seed}: {peak} in a second");
        }
    }
}

/// A zone that returns cold in a burst fills at a third of the bound or more.
#[test]
fn zone_fills() {
    const NODES: usize = 24;
    const ENDPOINTS: usize = 12;
    let all: Vec<InstanceId> = (0..NODES).map(node).collect();
    let start = Instant::now();
    let mut pools: Vec<Pool> = (0..NODES)
        .map(|own| pool(own, &all, ENDPOINTS, start))
        .collect();
    let returned = start + Duration::from_secs(10);
    for pool in &mut pools {
        for number in 0..ENDPOINTS {
            pool.put(endpoint(&name(number), 2, 2), Duration::ZERO, returned);
        }
    }
    let mut arrivals: HashMap<String, Vec<Instant>> = HashMap::new();
    for step in 0..100 {
        let now = returned + Duration::from_millis(10) * step;
        for pool in &mut pools {
            while let Some((name, _)) = send(pool, now) {
                arrivals.entry(name).or_default().push(now);
            }
        }
    }
    assert_eq!(arrivals.len(), ENDPOINTS);
    let total: usize = arrivals.values().map(Vec::len).sum();
    assert!(total * 3 >= ENDPOINTS * BOUND, "{total} requests");
    for (name, arrivals) in arrivals {
        let peak = peak(arrivals);
        assert!(peak <= BOUND, "{name}: {peak} in a second");
    }
}

/// The loss of a third of the owners leaves the others their shares.
#[test]
fn lost_owners() {
    let all: Vec<InstanceId> = (0..24).map(node).collect();
    let start = Instant::now();
    let now = start + OWNER_WAIT;
    let mut sent = 0;
    for own in 0..16 {
        let mut pool = pool(own, &all, 1, start);
        pool.learn_cold(id::of(&name(0)), 1, START.duration, now);
        while send(&mut pool, now).is_some() {
            sent += 1;
        }
    }
    assert!(sent * 6 >= BOUND, "{sent} requests");
}
