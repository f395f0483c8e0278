//! The baselines: each node sends a request at once, and the engine queues it first come first
//! served.

use daisyyard_core::id::RequestId;
use daisyyard_derive::key;
use rand::Rng;

use crate::caller::End;
use crate::engine::Gauge;
use crate::world::{Event, World};

/// How a node picks an engine.
#[key]
pub enum Pick {
    /// Each engine in turn.
    RoundRobin,
    /// The engine with the fewest requests in the last load report and sent since.
    LeastLoaded,
}

/// What a node knows about one engine.
#[derive(Debug, Clone, Default)]
struct Known {
    /// Requests in the last load report.
    reported: u32,
    /// Requests that this node sent since then.
    sent: u32,
}

/// All nodes of a baseline.
#[derive(Debug)]
pub struct Baseline {
    /// How a node picks an engine.
    pick: Pick,
    /// Engine that each node picks next in turn.
    turns: Vec<usize>,
    /// What each node knows about each engine.
    known: Vec<Vec<Known>>,
}

impl Baseline {
    /// Creates the nodes.
    pub fn new(pick: Pick, world: &mut World) -> Self {
        let engines = world.engines.len();
        let nodes = world.deployment.nodes.len();
        let turns = (0..nodes).map(|_| world.random.random_range(0..engines));
        Self {
            pick,
            turns: turns.collect(),
            known: vec![vec![Known::default(); engines]; nodes],
        }
    }

    /// Takes a new request.
    pub fn arrive(&mut self, world: &mut World, request: RequestId) {
        let node = world.arrival(request).node;
        let engine = match self.pick {
            Pick::RoundRobin => {
                self.turns[node] = (self.turns[node] + 1) % world.engines.len();
                self.turns[node]
            }
            Pick::LeastLoaded => self.least(world, node),
        };
        self.known[node][engine].sent += 1;
        let patience = world.contract(request).queue_timeout;
        world.agenda.after(patience, Event::Patience(request));
        world.submit(request, engine, 0);
    }

    /// Takes a load report.
    pub fn report(&mut self, engine: usize, gauge: &Gauge) {
        for node in &mut self.known {
            node[engine] = Known {
                reported: gauge.running + gauge.waiting,
                sent: 0,
            };
        }
    }

    /// Refuses a request that the engine has not started within the longest time in the queue.
    pub fn patience(world: &mut World, request: RequestId) {
        let Some(run) = world.runs[request as usize] else {
            return;
        };
        if run.made == 0 && world.engines[run.engine].withdraw(request) {
            world.runs[request as usize] = None;
            world.end(request, End::Refused);
        }
    }

    /// Returns the least loaded engine; a random one among equals.
    fn least(&self, world: &mut World, node: usize) -> usize {
        let offset = world.random.random_range(0..world.engines.len());
        let count = world.engines.len();
        let load = |engine: &usize| {
            let known = &self.known[node][*engine];
            known.reported + known.sent
        };
        let engines = (0..count).map(|index| (index + offset) % count);
        engines.min_by_key(load).unwrap_or(0)
    }
}
