//! Guards against nodes that together make a brittle endpoint turn more requests away than it survives,
//! and against room at brittle endpoints that is left unused.

use std::collections::VecDeque;
use std::net::SocketAddr;
use std::time::{Duration, Instant};

use daisyyard_core::access::{Access, Reason};
use daisyyard_core::brittleness::Statement;
use daisyyard_core::choice::{Choice, Purpose};
use daisyyard_core::endpoint::{Endpoint, Kind};
use daisyyard_core::id::{self, EndpointId, InstanceId};
use daisyyard_core::load::{Load, Need};
use daisyyard_core::pool::Pool;
use daisyyard_core::throttle::Report;
use daisyyard_core::zone::Zone;
use rand::{Rng, SeedableRng};
use rand_pcg::Pcg64Mcg;

/// Period in which the requests that are turned away count.
const PERIOD: Duration = Duration::from_secs(1);
/// Time for which a node must have known a list before it sends.
const WAIT: Duration = Duration::from_millis(3_100);
/// Time between two steps of a play.
const STEP: Duration = Duration::from_millis(5);
/// Length of a play.
const LENGTH: Duration = Duration::from_secs(12);
/// Number of plays.
const SEEDS: u64 = 8;
/// Upper end of the time between two digests of a node.
const DIGEST_INTERVAL: Duration = Duration::from_millis(250);
/// Time within which nodes learn of a change of the list.
const LEARNING_TIME: Duration = Duration::from_millis(2_900);
/// Slots of an endpoint.
const SLOTS: u32 = 12;

/// Returns an endpoint of the service.
fn endpoint(name: &str, kind: Kind, incarnation: u64) -> Endpoint {
    let address = SocketAddr::from(([127, 0, 0, 1], 1));
    let mut endpoint = Endpoint::new(name, "desk", kind, Zone::new("a", "r"), address);
    endpoint.slots = SLOTS;
    (endpoint.incarnation, endpoint.revision) = (incarnation, incarnation.into());
    endpoint
}

/// Returns the need of a request.
fn need() -> Need {
    Need {
        service: id::of("desk"),
        prompt: 1,
        output: 0,
        memory: 100_000,
        connections: 10_000,
        target_gap: None,
        backup: false,
    }
}

/// Returns the identifier of a node.
fn node(number: usize) -> InstanceId {
    id::of(&format!("node-{number}"))
}

/// Returns an answer that states how many requests the endpoint survives turning away in a second.
fn states(survived: u32, at: Instant) -> Statement {
    Statement {
        per_1000_s: Some(survived * 1_000),
        turned_away: false,
        placed_at: at,
    }
}

/// Returns one of some nodes that all know the same endpoints.
fn pool(own: usize, nodes: usize, names: &[&str], kind: Kind, now: Instant) -> Pool {
    let all: Vec<InstanceId> = (0..nodes).map(node).collect();
    let mut pool = Pool::new(Zone::new("a", "r"), own as u64);
    pool.set_owners(node(own), &all, now);
    for name in names {
        pool.put(endpoint(name, kind, 1), Duration::ZERO, now);
    }
    pool
}

/// A run at an endpoint.
struct Run {
    /// Node that has sent it.
    node: usize,
    /// Endpoint that runs it.
    endpoint: EndpointId,
    /// When it ends.
    end: Instant,
}

/// What is played.
#[derive(Debug, Clone, Copy)]
struct Scene {
    /// Number of nodes.
    nodes: usize,
    /// Requests that an endpoint survives turning away in a second.
    survived: u32,
    /// Kind of the endpoints.
    kind: Kind,
    /// Whether requests come in bursts.
    bursts: bool,
    /// Whether the list of nodes changes, and is known to some earlier than to others.
    changes: bool,
}

/// What came of a play.
#[derive(Default)]
struct Outcome {
    /// Times at which each endpoint turned requests away.
    turned_away: Vec<(EndpointId, Instant)>,
    /// Sum of the times of the requests that ran.
    worked: Duration,
}

impl Outcome {
    /// Returns the most requests that one endpoint turned away in a period.
    fn peak(&self) -> usize {
        let counts = self.turned_away.iter().map(|(id, first)| {
            let same = self
                .turned_away
                .iter()
                .filter(|(other, at)| other == id && *at >= *first && *at < *first + PERIOD);
            same.count()
        });
        counts.max().unwrap_or(0)
    }
}

/// Plays nodes that always have more requests than there is room, or bursts of them, at endpoints without a
/// queue. The loads of other nodes are as old as their digests, of which some are lost.
fn play(seed: u64, scene: Scene) -> Outcome {
    let Scene {
        nodes,
        survived,
        kind,
        bursts,
        changes,
    } = scene;
    let names = ["one", "two", "three"];
    let mut random = Pcg64Mcg::seed_from_u64(seed);
    let start = Instant::now();
    let mut now = start + WAIT;
    let end = now + LENGTH;
    let mut pools: Vec<Pool> = (0..nodes)
        .map(|own| pool(own, nodes, &names, kind, start))
        .collect();
    for pool in &mut pools {
        for name in names {
            pool.learn_brittle(id::of(name), 1, states(survived, now), now);
        }
        pool.brittle_changes(now);
    }
    let mut digests = vec![now; nodes];
    let mut runs: Vec<Run> = Vec::new();
    let mut answers: VecDeque<(Instant, usize, EndpointId)> = VecDeque::new();
    let mut outcome = Outcome::default();
    let all: Vec<InstanceId> = (0..nodes).map(node).collect();
    let mut learning: Vec<(Instant, usize, Vec<InstanceId>)> = Vec::new();
    let mut next_change = now;
    while now < end {
        now += STEP;
        if changes && now >= next_change {
            let mut current = all.clone();
            current.retain(|_| random.random_bool(0.8));
            learning.extend((0..nodes).map(|own| {
                let at = now + random.random_range(Duration::ZERO..LEARNING_TIME);
                (at, own, current.clone())
            }));
            next_change = now + LEARNING_TIME;
        }
        for (_, own, list) in learning.extract_if(.., |(at, ..)| *at <= now) {
            pools[own].set_owners(node(own), &list, now);
        }
        for run in runs.extract_if(.., |run| run.end <= now) {
            pools[run.node].update_load(run.endpoint, |load| load.runs -= 1);
        }
        while answers.front().is_some_and(|(at, ..)| *at <= now)
            && let Some((_, own, id)) = answers.pop_front()
        {
            let statement = Statement {
                turned_away: true,
                ..states(survived, now)
            };
            pools[own].learn_brittle(id, 1, statement, now);
            pools[own].update_load(id, |load| load.runs -= 1);
        }
        for (own, next) in digests.iter_mut().enumerate() {
            if *next <= now {
                *next = now + random.random_range(Duration::ZERO..DIGEST_INTERVAL * 2);
                let loads: Vec<(EndpointId, Load)> = pools[own].loads().collect();
                for (other, pool) in pools.iter_mut().enumerate() {
                    if other != own && random.random_bool(0.9) {
                        pool.set_loads(node(own), &loads, now);
                    }
                }
            }
        }
        let second = now.duration_since(start).as_millis() % 2_000;
        let wanted = if bursts && second >= 100 { 0 } else { 4 };
        for (own, pool) in pools.iter_mut().enumerate() {
            let now = now + random.random_range(Duration::ZERO..STEP);
            for _ in 0..wanted {
                let Choice::Send { endpoint, .. } = pool.choose(&need(), &[], now) else {
                    break;
                };
                let id = endpoint.id;
                pool.take_place(id, now);
                pool.update_load(id, |load| load.runs += 1);
                let running = runs.iter().filter(|run| run.endpoint == id).count();
                if running < SLOTS as usize {
                    let time = random.random_range(Duration::from_millis(50)..PERIOD);
                    outcome.worked += time;
                    runs.push(Run {
                        node: own,
                        endpoint: id,
                        end: now + time,
                    });
                } else {
                    outcome.turned_away.push((id, now));
                    answers.push_back((now + STEP * 2, own, id));
                }
            }
        }
    }
    outcome
}

/// No endpoint turns more requests away in a second than it survives, whatever the nodes know of loads and
/// of each other.
#[test]
fn few_turned_away() {
    for survived in [0, 1, 3, 6] {
        for nodes in [1, 3, 6, 40] {
            for seed in 0..SEEDS {
                let scene = Scene {
                    nodes,
                    survived,
                    kind: [Kind::Plain, Kind::Engine][seed as usize % 2],
                    bursts: seed % 4 < 2,
                    changes: seed % 8 < 4,
                };
                let peak = play(seed, scene).peak();
                assert!(
                    peak <= survived as usize,
                    "{scene:?}, seed {seed}: {peak} turned away"
                );
            }
        }
    }
}

/// Nodes that always have requests use most of the slots of brittle endpoints.
#[test]
fn slots_used() {
    for nodes in [1, 3, 6, 12] {
        let scene = Scene {
            nodes,
            survived: 3,
            kind: Kind::Plain,
            bursts: false,
            changes: false,
        };
        let outcome = play(1, scene);
        let used = outcome.worked.as_secs_f64() / (LENGTH.as_secs_f64() * f64::from(SLOTS * 3));
        assert!(
            used >= 0.7,
            "{nodes} nodes: {used:.2} of the slots are used"
        );
    }
}

/// A new start of an endpoint counts as brittle as the others of its service until it answers otherwise.
#[test]
fn new_start() {
    let start = Instant::now();
    let now = start + WAIT;
    let mut pool = pool(0, 1, &["one", "two"], Kind::Plain, start);
    pool.learn_brittle(id::of("one"), 1, states(3, now), now);
    pool.brittle_changes(now);
    assert_eq!(pool.brittle(now).count(), 2);
    pool.put(endpoint("two", Kind::Plain, 2), Duration::ZERO, now);
    pool.brittle_changes(now);
    assert_eq!(pool.brittle(now).count(), 2);
    let later = now + STEP;
    let sound = Statement {
        per_1000_s: None,
        turned_away: false,
        placed_at: later,
    };
    pool.learn_brittle(id::of("two"), 2, sound, later);
    pool.brittle_changes(later);
    assert_eq!(pool.brittle(later).count(), 1);
}

/// A node follows what others report, and ends it with their reports.
#[test]
fn heard_statement() {
    let start = Instant::now();
    let now = start + WAIT;
    let mut one = pool(0, 2, &["one"], Kind::Plain, start);
    let mut two = pool(1, 2, &["one"], Kind::Plain, start);
    one.learn_brittle(id::of("one"), 1, states(3, now), now);
    let reports: Vec<Report> = one.brittle_reports(now).collect();
    two.hear_brittle(&reports, now);
    assert_eq!(two.brittle(now).count(), 1);
    assert_eq!(two.brittle_reports(now).count(), 0, "it is not passed on");
    let later = now + STEP;
    let sound = Statement {
        per_1000_s: None,
        ..states(0, later)
    };
    one.learn_brittle(id::of("one"), 1, sound, later);
    let reports: Vec<Report> = one.brittle_reports(later).collect();
    two.hear_brittle(&reports, later);
    assert_eq!(two.brittle(later).count(), 0);
}

/// A node that was turned away sends nothing there for a period, and fills its slots without a queue.
#[test]
fn turned_away() {
    let start = Instant::now();
    let now = start + WAIT;
    let mut pool = pool(0, 1, &["one"], Kind::Plain, start);
    let id = id::of("one");
    pool.learn_brittle(id, 1, states(0, now), now);
    pool.brittle_changes(now);
    pool.update_load(id, |load| load.runs = SLOTS - 1);
    assert_eq!(pool.access(id, now), Some(Access::Open));
    pool.update_load(id, |load| load.runs = SLOTS);
    let full = Access::Closed(Reason::Brittle, None);
    assert_eq!(pool.access(id, now), Some(full));
    // The run that is to resume is one of them.
    assert_eq!(pool.resumption_access(id, now), Some(Access::Open));
    pool.update_load(id, |load| load.runs = 0);
    let statement = Statement {
        turned_away: true,
        ..states(0, now)
    };
    pool.learn_brittle(id, 1, statement, now);
    assert!(!pool.access(id, now + PERIOD).is_some_and(Access::is_open));
    let later = now + PERIOD * 2;
    assert_eq!(pool.access(id, later), Some(Access::Open));
}

/// Runs move only into slots of the node; copies, which take no slot, go to full endpoints as well.
#[test]
fn moves_and_copies() {
    let start = Instant::now();
    let now = start + WAIT;
    let mut pool = pool(0, 1, &["one"], Kind::Engine, start);
    let id = id::of("one");
    pool.learn_brittle(id, 1, states(6, now), now);
    pool.brittle_changes(now);
    let mut chosen = |runs: u32, purpose: Purpose| {
        pool.update_load(id, |load| load.runs = runs);
        let engine = pool.choose_engine(&need(), None, &[], purpose, now);
        engine.is_some()
    };
    assert!(chosen(SLOTS - 1, Purpose::Run));
    assert!(!chosen(SLOTS, Purpose::Run));
    assert!(chosen(SLOTS, Purpose::Copy));
}
