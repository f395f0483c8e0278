//! The baselines: each node sends a request at once, and the engine queues it first come first
//! served.

use daisyyard_core::id::RequestId;
use daisyyard_derive::token;
use rand::Rng;

use crate::caller::Outcome;
use crate::engine::Stats;
use crate::world::{Event, World};

/// How a node picks an engine.
#[token]
pub enum Strategy {
    /// Each engine in turn.
    RoundRobin,
    /// The engine with the fewest requests in the last load report and sent since.
    LeastLoaded,
}

/// What a node knows about one engine.
#[derive(Debug, Clone, Default)]
struct Estimate {
    /// Requests in the last load report.
    reported: u32,
    /// Requests that this node sent since then.
    sent: u32,
}

/// All nodes of a baseline.
#[derive(Debug)]
pub struct Baseline {
    /// How a node picks an engine.
    strategy: Strategy,
    /// Engine that each node picks next in turn.
    last_engines: Vec<usize>,
    /// What each node knows about each engine.
    estimates: Vec<Vec<Estimate>>,
}

impl Baseline {
    /// Creates the nodes.
    pub fn new(strategy: Strategy, world: &mut World) -> Self {
        let engines = world.engines.len();
        let nodes = world.deployment.nodes.len();
        let last_engines = (0..nodes).map(|_| world.random.random_range(0..engines));
        Self {
            strategy,
            last_engines: last_engines.collect(),
            estimates: vec![vec![Estimate::default(); engines]; nodes],
        }
    }

    /// Takes a new request.
    pub fn handle_arrival(&mut self, world: &mut World, request: RequestId) {
        let node = world.arrival(request).node;
        let engine = match self.strategy {
            Strategy::RoundRobin => {
                self.last_engines[node] = (self.last_engines[node] + 1) % world.engines.len();
                self.last_engines[node]
            }
            Strategy::LeastLoaded => self.least_loaded(world, node),
        };
        self.estimates[node][engine].sent += 1;
        let queue_timeout = world.contract(request).queue_timeout;
        world
            .events
            .schedule_after(queue_timeout, Event::QueueTimeout(request));
        world.submit(request, engine, 0);
    }

    /// Takes a load report.
    pub fn handle_report(&mut self, engine: usize, stats: &Stats) {
        for node in &mut self.estimates {
            node[engine] = Estimate {
                reported: stats.running + stats.waiting,
                sent: 0,
            };
        }
    }

    /// Refuses a request that the engine has not started within the longest time in the queue.
    pub fn handle_queue_timeout(world: &mut World, request: RequestId) {
        let Some(run) = world.runs[request as usize] else {
            return;
        };
        if run.made == 0 && world.engines[run.engine].withdraw(request) {
            world.runs[request as usize] = None;
            world.end_request(request, Outcome::Refused);
        }
    }

    /// Returns the least loaded engine; a random one among equals.
    fn least_loaded(&self, world: &mut World, node: usize) -> usize {
        let offset = world.random.random_range(0..world.engines.len());
        let count = world.engines.len();
        let load = |engine: &usize| {
            let estimate = &self.estimates[node][*engine];
            estimate.reported + estimate.sent
        };
        let engines = (0..count).map(|index| (index + offset) % count);
        engines.min_by_key(load).unwrap_or(0)
    }
}
