//! Baseline policies: each node sends a request to an engine immediately, and the engine queues it
//! first come, first served.

use daisyyard_core::id::RequestId;
use daisyyard_derive::key;
use rand::Rng;

use crate::caller::Outcome;
use crate::engine::Stats;
use crate::world::{Event, World};

/// Load-balancing strategy of the nodes.
#[key]
pub enum Strategy {
    /// Each engine in turn.
    RoundRobin,
    /// The engine with the fewest requests, counting those in its last load report and those that
    /// this node has sent since.
    LeastLoaded,
}

/// A node's estimate of the load of one engine.
#[derive(Debug, Clone, Default)]
struct Estimate {
    /// Running and waiting requests in the last load report.
    reported: u32,
    /// Requests that this node has sent since the last load report.
    sent: u32,
}

/// Nodes that route requests by a baseline strategy.
#[derive(Debug)]
pub struct Baseline {
    /// Strategy of all nodes.
    strategy: Strategy,
    /// Engine that each node chose last, for [`Strategy::RoundRobin`].
    last_engines: Vec<usize>,
    /// Load estimates by node and engine.
    estimates: Vec<Vec<Estimate>>,
}

impl Baseline {
    /// Creates the nodes, each with a random first engine.
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

    /// Sends a new request to an engine and schedules its queue timeout.
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

    /// Replaces the load estimates of an engine after a load report.
    pub fn handle_report(&mut self, engine: usize, stats: &Stats) {
        for node in &mut self.estimates {
            node[engine] = Estimate {
                reported: stats.running + stats.waiting,
                sent: 0,
            };
        }
    }

    /// Refuses a request that the engine has not started within the queue timeout.
    pub fn handle_queue_timeout(world: &mut World, request: RequestId) {
        let Some(run) = world.runs[request as usize] else {
            return;
        };
        if run.generated == 0 && world.engines[run.engine].withdraw(request) {
            world.runs[request as usize] = None;
            world.end_request(request, Outcome::Refused);
        }
    }

    /// Returns the least loaded engine. The search starts at a random engine, which breaks ties.
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
