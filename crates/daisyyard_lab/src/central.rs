//! The upper bound: one queue that knows the state of all engines and every output length.

use std::collections::{BTreeMap, VecDeque};
use std::time::Duration;

use daisyyard_core::contract::Rank;
use daisyyard_core::id::{AccountId, RequestId, Tokens};

use crate::caller::End;
use crate::meter::PROMPT_TOKENS_PER_OUTPUT;
use crate::world::World;

/// Share of each engine's memory that deferrable work may fill.
const DEFERRABLE_MEMORY: f64 = 0.85;
/// Time from admission to the first token that the queue allows for.
const START: Duration = Duration::from_millis(60);
/// Factor by which service counts less after each tick; half of it is forgotten in about 10 s.
const DECAY: f64 = 0.9986;

/// The queue of one account in one rank.
#[derive(Debug, Default)]
struct Line {
    /// Waiting requests, oldest first.
    requests: VecDeque<RequestId>,
    /// Recent service in output tokens.
    served: f64,
}

/// The one queue.
#[derive(Debug)]
pub struct Central {
    /// Lines by rank and account.
    lines: [BTreeMap<AccountId, Line>; 2],
    /// Requests that each engine runs.
    running: Vec<Vec<RequestId>>,
    /// Recent service of each rank in output tokens.
    served: [f64; 2],
}

impl Central {
    /// Creates an empty queue.
    pub fn new(world: &World) -> Self {
        Self {
            lines: [BTreeMap::new(), BTreeMap::new()],
            running: vec![Vec::new(); world.engines.len()],
            served: [0.0; 2],
        }
    }

    /// Takes a new request.
    pub fn arrive(&mut self, world: &mut World, request: RequestId) {
        let arrival = world.arrival(request);
        let lines = &mut self.lines[arrival.rank as usize];
        let line = lines.entry(arrival.account).or_default();
        line.requests.push_back(request);
        self.admit(world);
    }

    /// Ends a request whose last token arrived.
    pub fn done(&mut self, world: &mut World, engine: usize, request: RequestId) {
        self.running[engine].retain(|one| *one != request);
        world.end(request, End::Whole);
        self.admit(world);
    }

    /// Refuses what waited too long and forgets old service.
    pub fn tick(&mut self, world: &mut World) {
        for rank in Rank::ALL {
            self.served[rank as usize] *= DECAY;
            let contract = world.terms.contract(rank);
            let first = contract.first_token.saturating_sub(START);
            let patience = contract.queue_timeout.min(first);
            for line in self.lines[rank as usize].values_mut() {
                line.served *= DECAY;
                while let Some(oldest) = line.requests.front().copied() {
                    let waited = world.agenda.now().saturating_sub(world.arrival(oldest).at);
                    if waited <= patience {
                        break;
                    }
                    line.requests.pop_front();
                    world.end(oldest, End::Refused);
                }
            }
        }
        self.admit(world);
    }

    /// Starts waiting requests while engines have room for their whole output.
    fn admit(&mut self, world: &mut World) {
        let mut full = [false; 2];
        loop {
            let waits = |rank: Rank| {
                let lines = &self.lines[rank as usize];
                !full[rank as usize] && lines.values().any(|line| !line.requests.is_empty())
            };
            let total = self.served.iter().sum::<f64>().max(1.0);
            let floor = world.terms.contract(Rank::Deferrable).floor;
            let behind = self.served[Rank::Deferrable as usize] / total < floor;
            let rank = match (waits(Rank::Urgent), waits(Rank::Deferrable)) {
                (true, true) if behind => Rank::Deferrable,
                (true, _) => Rank::Urgent,
                (false, true) => Rank::Deferrable,
                (false, false) => return,
            };
            let lines = self.lines[rank as usize].values_mut();
            let waiting = lines.filter(|line| !line.requests.is_empty());
            let Some(line) = waiting.min_by(|one, two| one.served.total_cmp(&two.served)) else {
                return;
            };
            let Some(request) = line.requests.front().copied() else {
                return;
            };
            let Some(engine) = place(world, &self.running, request) else {
                full[rank as usize] = true;
                continue;
            };
            line.requests.pop_front();
            let arrival = world.arrival(request);
            let cost = arrival.output as f64 + arrival.prompt as f64 / PROMPT_TOKENS_PER_OUTPUT;
            line.served += cost;
            self.served[rank as usize] += cost;
            self.running[engine].push(request);
            let priority = world.priority(request);
            world.submit(request, engine, priority);
        }
    }
}

/// Returns the engine with the smallest batch that never runs out of memory with the request.
fn place(world: &World, running: &[Vec<RequestId>], request: RequestId) -> Option<usize> {
    let arrival = world.arrival(request);
    let memory = world.deployment.model.memory as f64;
    let limit = match arrival.rank {
        Rank::Urgent => memory,
        Rank::Deferrable => memory * DEFERRABLE_MEMORY,
    };
    let fits = |engine: &usize| {
        let batch = &running[*engine];
        batch.len() < world.deployment.model.slots
            && (batch.is_empty() || peak(world, batch, request) as f64 <= limit)
    };
    let mut engines: Vec<usize> = (0..running.len()).collect();
    engines.sort_by_key(|engine| running[*engine].len());
    engines.into_iter().find(fits)
}

/// Returns the most memory that a batch with one more request ever takes.
fn peak(world: &World, batch: &[RequestId], request: RequestId) -> Tokens {
    let size = |request: &RequestId| {
        let arrival = world.arrival(*request);
        let made = world.runs[*request as usize].map_or(0, |run| run.made);
        (
            arrival.output.saturating_sub(made),
            arrival.prompt + made + 1,
        )
    };
    let mut sizes: Vec<_> = batch.iter().chain([&request]).map(size).collect();
    sizes.sort_unstable_by_key(|(remaining, _)| std::cmp::Reverse(*remaining));
    let mut held = 0;
    let mut most = 0;
    for (count, (remaining, size)) in sizes.iter().enumerate() {
        held += size;
        most = most.max(held + remaining * (count as Tokens + 1));
    }
    most
}
