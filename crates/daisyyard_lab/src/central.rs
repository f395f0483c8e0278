//! Upper bound for other policies: a central queue that knows the current state of all engines and
//! the output length of every request.

use std::collections::{BTreeMap, VecDeque};
use std::time::Duration;

use daisyyard_core::contract::Rank;
use daisyyard_core::id::{AccountId, RequestId, Tokens};

use crate::caller::Outcome;
use crate::meter::PROMPT_TOKENS_PER_OUTPUT_TOKEN;
use crate::world::World;

/// Share of each engine's memory up to which deferrable requests are admitted.
const DEFERRABLE_MEMORY_SHARE: f64 = 0.85;
/// Time from admission to the first token that the queue reserves within the first-token target.
const FIRST_TOKEN_ALLOWANCE: Duration = Duration::from_millis(60);
/// Decay factor of past service at each tick, which gives a half-life of about 10 s.
const DECAY_PER_TICK: f64 = 0.9986;

/// Queue of one account in one rank.
#[derive(Debug, Default)]
struct Queue {
    /// Waiting requests, oldest first.
    requests: VecDeque<RequestId>,
    /// Recent service of the account, in output tokens, with exponential decay.
    service: f64,
}

/// Scheduler that admits requests from central queues to all engines.
#[derive(Debug)]
pub struct Scheduler {
    /// Queues by rank and account.
    queues: [BTreeMap<AccountId, Queue>; 2],
    /// Running requests by engine.
    running: Vec<Vec<RequestId>>,
    /// Recent service of each rank, in output tokens, with exponential decay.
    service: [f64; 2],
}

impl Scheduler {
    /// Creates a scheduler without requests.
    pub fn new(world: &World) -> Self {
        Self {
            queues: [BTreeMap::new(), BTreeMap::new()],
            running: vec![Vec::new(); world.engines.len()],
            service: [0.0; 2],
        }
    }

    /// Queues a new request.
    pub fn handle_arrival(&mut self, world: &mut World, request: RequestId) {
        let arrival = world.arrival(request);
        let queues = &mut self.queues[arrival.rank as usize];
        let queue = queues.entry(arrival.account).or_default();
        queue.requests.push_back(request);
        self.admit(world);
    }

    /// Completes a request whose last token reached its node.
    pub fn handle_completion(&mut self, world: &mut World, engine: usize, request: RequestId) {
        self.running[engine].retain(|other| *other != request);
        world.end_request(request, Outcome::Completed);
        self.admit(world);
    }

    /// Refuses requests that have waited too long and decays past service.
    pub fn tick(&mut self, world: &mut World) {
        for rank in Rank::ALL {
            self.service[rank as usize] *= DECAY_PER_TICK;
            let contract = world.terms.contract(rank);
            let max_start_delay = contract.first_token.saturating_sub(FIRST_TOKEN_ALLOWANCE);
            let max_wait = contract.queue_timeout.min(max_start_delay);
            for queue in self.queues[rank as usize].values_mut() {
                queue.service *= DECAY_PER_TICK;
                while let Some(oldest) = queue.requests.front().copied() {
                    let waited = world.events.now().saturating_sub(world.arrival(oldest).at);
                    if waited <= max_wait {
                        break;
                    }
                    queue.requests.pop_front();
                    world.end_request(oldest, Outcome::Refused);
                }
            }
        }
        self.admit(world);
    }

    /// Admits waiting requests while an engine has memory for their whole output.
    ///
    /// Urgent requests go first unless the deferrable rank is below its floor; within a rank, the
    /// account with the least recent service goes first.
    fn admit(&mut self, world: &mut World) {
        let mut rank_full = [false; 2];
        loop {
            let is_waiting = |rank: Rank| {
                let queues = &self.queues[rank as usize];
                !rank_full[rank as usize] && queues.values().any(|queue| !queue.requests.is_empty())
            };
            let total = self.service.iter().sum::<f64>().max(1.0);
            let floor = world.terms.contract(Rank::Deferrable).floor;
            let below_floor = self.service[Rank::Deferrable as usize] / total < floor;
            let rank = match (is_waiting(Rank::Urgent), is_waiting(Rank::Deferrable)) {
                (true, true) if below_floor => Rank::Deferrable,
                (true, _) => Rank::Urgent,
                (false, true) => Rank::Deferrable,
                (false, false) => return,
            };
            let queues = self.queues[rank as usize].values_mut();
            let waiting = queues.filter(|queue| !queue.requests.is_empty());
            let Some(queue) = waiting.min_by(|a, b| a.service.total_cmp(&b.service)) else {
                return;
            };
            let Some(request) = queue.requests.front().copied() else {
                return;
            };
            let Some(engine) = choose_engine(world, &self.running, request) else {
                rank_full[rank as usize] = true;
                continue;
            };
            queue.requests.pop_front();
            let arrival = world.arrival(request);
            let cost =
                arrival.output as f64 + arrival.prompt as f64 / PROMPT_TOKENS_PER_OUTPUT_TOKEN;
            queue.service += cost;
            self.service[rank as usize] += cost;
            self.running[engine].push(request);
            let priority = world.priority(request);
            world.submit(request, engine, priority);
        }
    }
}

/// Returns the engine with the smallest batch among those whose memory suffices for the request
/// until all of the batch has ended.
fn choose_engine(world: &World, running: &[Vec<RequestId>], request: RequestId) -> Option<usize> {
    let arrival = world.arrival(request);
    let memory = world.deployment.profile.memory as f64;
    let memory_limit = match arrival.rank {
        Rank::Urgent => memory,
        Rank::Deferrable => memory * DEFERRABLE_MEMORY_SHARE,
    };
    let fits = |engine: &usize| {
        let batch = &running[*engine];
        batch.len() < world.deployment.profile.slots
            && (batch.is_empty() || peak_memory(world, batch, request) as f64 <= memory_limit)
    };
    let mut engines: Vec<usize> = (0..running.len()).collect();
    engines.sort_by_key(|engine| running[*engine].len());
    engines.into_iter().find(fits)
}

/// Returns the peak memory of a batch with one more request, from the known output lengths.
fn peak_memory(world: &World, batch: &[RequestId], request: RequestId) -> Tokens {
    let remaining_and_size = |request: &RequestId| {
        let arrival = world.arrival(*request);
        let generated = world.runs[*request as usize].map_or(0, |run| run.generated);
        (
            arrival.output.saturating_sub(generated),
            arrival.prompt + generated + 1,
        )
    };
    let mut sizes: Vec<_> = batch
        .iter()
        .chain([&request])
        .map(remaining_and_size)
        .collect();
    sizes.sort_unstable_by_key(|(remaining, _)| std::cmp::Reverse(*remaining));
    let mut memory = 0;
    let mut peak = 0;
    for (count, (remaining, size)) in sizes.iter().enumerate() {
        memory += size;
        peak = peak.max(memory + remaining * (count as Tokens + 1));
    }
    peak
}
