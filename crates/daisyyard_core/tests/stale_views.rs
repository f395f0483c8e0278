//! Guards against nodes that send their runs to the same engine because each knows the loads of the
//! others only as they were a moment ago.

use std::collections::VecDeque;
use std::net::SocketAddr;
use std::time::{Duration, Instant};

use daisyyard_core::choice::Choice;
use daisyyard_core::endpoint::{Endpoint, Kind};
use daisyyard_core::id::{self, EndpointId};
use daisyyard_core::load::{Load, Need};
use daisyyard_core::pool::Pool;
use daisyyard_core::zone::Zone;
use rand::{Rng, SeedableRng};
use rand_pcg::Pcg64Mcg;

/// Number of nodes, each with its own view.
const NODES: usize = 60;
/// Number of engines.
const ENGINES: usize = 97;
/// Time between two requests to the fleet.
const REQUEST_INTERVAL: Duration = Duration::from_millis(6);
/// Time after which other nodes see what a node has started or ended.
const DIGEST_AGE: Duration = Duration::from_millis(80);
/// Memory of an engine in tokens.
const MEMORY: u64 = 33_000;
/// Prompt of each request in tokens.
const PROMPT: u64 = 3_000;
/// Prompt tokens that an engine reads per millisecond.
const TOKENS_PER_MS: u64 = 8;
/// Time from the first token of a run to its end.
const STREAM_TIME: Duration = Duration::from_secs(2);
/// Time of the test after which first tokens are counted.
const WARM_UP: Duration = Duration::from_secs(3);
/// Length of the test.
const LENGTH: Duration = Duration::from_secs(12);

/// How a node chooses an engine.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Policy {
    /// The pool's choice, with the number of runs that the node does not see.
    Sample(usize),
    /// Each engine with the same probability.
    Random,
}

/// Progress of a run.
#[derive(Debug, Clone, Copy)]
enum Stage {
    /// The request is sent.
    Start,
    /// The first token arrives.
    FirstToken,
    /// The stream ends.
    End,
}

/// Applies the progress of a run to the load of its node at its engine.
fn advance(load: &mut Load, stage: Stage) {
    match stage {
        Stage::Start => {
            load.runs += 1;
            load.tokens += need().tokens();
            load.prefill += PROMPT;
        }
        Stage::FirstToken => load.prefill -= PROMPT,
        Stage::End => {
            load.runs -= 1;
            load.tokens -= need().tokens();
        }
    }
}

/// Returns the share of requests that wait longer than `target` for their first token.
fn late_share(policy: Policy, target: Duration) -> f64 {
    let start = Instant::now();
    let mut random = Pcg64Mcg::seed_from_u64(1);
    let mut pools: Vec<Pool> = (0..NODES).map(|node| new_pool(node, start)).collect();
    let ids: Vec<EndpointId> = (0..ENGINES).map(|number| id::of(&name(number))).collect();
    let mut read_until = vec![start; ENGINES];
    let mut loads = vec![vec![Load::default(); ENGINES]; NODES];
    let mut progress: Vec<(Instant, usize, usize, Stage)> = Vec::new();
    let mut digests = VecDeque::new();
    let (mut late, mut total) = (0_u32, 0_u32);
    let steps = LENGTH.as_millis() / REQUEST_INTERVAL.as_millis();
    for step in 0..steps as u32 {
        let now = start + REQUEST_INTERVAL * step;
        for (_, node, engine, stage) in progress.extract_if(.., |(at, ..)| *at <= now) {
            let load = &mut loads[node][engine];
            advance(load, stage);
            pools[node].update_load(ids[engine], |known| *known = *load);
            digests.push_back((now + DIGEST_AGE, node, ids[engine], *load));
        }
        while digests.front().is_some_and(|(at, ..)| *at <= now) {
            let (_, node, engine, load) = digests.pop_front().expect("a digest");
            for (_, pool) in pools
                .iter_mut()
                .enumerate()
                .filter(|(other, _)| *other != node)
            {
                pool.add_loads(node as u64 + 1, &[(engine, load)], now);
            }
        }
        let node = random.random_range(0..NODES);
        let engine = match policy {
            Policy::Random => random.random_range(0..ENGINES),
            Policy::Sample(unseen) => {
                pools[node].set_unseen_runs(unseen);
                let Choice::Send { endpoint, .. } = pools[node].choose(&need(), &[], now) else {
                    panic!("an engine has room");
                };
                let position = ids.iter().position(|id| *id == endpoint.id);
                position.expect("a known engine")
            }
        };
        let read_at = read_until[engine].max(now) + Duration::from_millis(PROMPT / TOKENS_PER_MS);
        read_until[engine] = read_at;
        if now >= start + WARM_UP {
            total += 1;
            late += u32::from(read_at - now > target);
        }
        progress.push((now, node, engine, Stage::Start));
        progress.push((read_at, node, engine, Stage::FirstToken));
        progress.push((read_at + STREAM_TIME, node, engine, Stage::End));
    }
    f64::from(late) / f64::from(total)
}

/// Returns the name of an engine.
fn name(number: usize) -> String {
    format!("engine-{number}")
}

/// Returns the pool of a node with all engines.
fn new_pool(node: usize, now: Instant) -> Pool {
    let mut pool = Pool::new(Zone::new("a", "r"), node as u64);
    for number in 0..ENGINES {
        let address = SocketAddr::from(([127, 0, 0, 1], 1));
        let zone = Zone::new("a", "r");
        let mut endpoint = Endpoint::new(&name(number), "model", Kind::Engine, zone, address);
        endpoint.slots = 24;
        pool.put(endpoint, Duration::ZERO, now);
    }
    pool
}

/// Returns the need of a request.
fn need() -> Need {
    Need {
        service: id::of("model"),
        prompt: PROMPT,
        output: 400,
        memory: MEMORY,
        connections: 100,
        target_gap: None,
        backup: false,
    }
}

/// When engines read prompts for two thirds of the time, nodes that know how many runs they do not
/// see send few requests to the same engine. Without that number, and with a random choice, far more
/// requests are late.
#[test]
fn spread_runs() {
    let target = Duration::from_millis(1_500);
    let unseen = (DIGEST_AGE.as_millis() / REQUEST_INTERVAL.as_millis()) as usize;
    let sampled = late_share(Policy::Sample(unseen), target);
    let greedy = late_share(Policy::Sample(0), target);
    let random = late_share(Policy::Random, target);
    assert!(sampled < 0.01, "{sampled} of the requests are late");
    assert!(greedy > 0.02, "{greedy} without the number");
    assert!(random > 0.02, "{random} with a random choice");
}

/// When one engine becomes free while all others are full, the nodes whose requests wait do not all
/// start one there: together they start about as many as fit.
#[test]
fn one_free_engine() {
    let now = Instant::now();
    let starts = |unseen_runs| {
        let mut starts = 0;
        for node in 0..NODES {
            let mut pool = new_pool(node, now);
            for number in 1..ENGINES {
                pool.update_load(id::of(&name(number)), |load| {
                    (load.runs, load.tokens) = (9, MEMORY);
                });
            }
            pool.set_unseen_runs(unseen_runs);
            let choice = pool.choose(&need(), &[], now);
            starts += usize::from(matches!(choice, Choice::Send { .. }));
        }
        starts
    };
    let places = (MEMORY / need().tokens()) as usize;
    let together = starts(NODES - 1);
    assert!(together >= places / 2, "{together} starts, {places} places");
    assert!(together <= places * 2, "{together} starts, {places} places");
    assert_eq!(starts(0), NODES, "each node on its own uses the engine");
}
