//! Engines, requests and a simulated engine that several feature tests share.

#![allow(dead_code, reason = "each test file uses a part of this module")]

use std::collections::BTreeMap;
use std::time::{Duration, Instant};

use daisyyard_core::contract::{Contract, Rank};
use daisyyard_core::endpoint::{Endpoint, Kind, Load};
use daisyyard_core::id::{RequestId, Tokens};
use daisyyard_core::ledger::{Action, Answer, Ledger, Request};
use daisyyard_core::preset::Terms;
use daisyyard_core::zone::Zone;

/// Returns an engine of the service `model`.
pub fn engine(name: &str, zone: &Zone, slots: u32, memory: Tokens) -> Endpoint {
    let address = "127.0.0.1:1".parse().expect("a valid address");
    let mut endpoint = Endpoint::new(name, "model", Kind::Engine, zone.clone(), address);
    endpoint.slots = slots;
    endpoint.memory = memory;
    endpoint
}

/// Returns a ledger that has settled, with its present time.
pub fn ledger(slots: u32, memory: Tokens) -> (Ledger, Instant) {
    let start = Instant::now();
    let engine = engine("e", &Zone::new("a", "r"), slots, memory);
    let ledger = Ledger::new(&engine, Terms::ordinary("model"), start);
    (ledger, start + Duration::from_secs(3))
}

/// Returns an ask with a prompt of 10 tokens and a deadline far away.
pub fn ask(
    request: RequestId,
    account: u64,
    rank: Rank,
    expected: Tokens,
    now: Instant,
) -> Request {
    Request {
        id: request,
        node: 1,
        account,
        rank,
        prompt: 10,
        cached: 0,
        expected,
        deadline: now + Duration::from_mins(10),
    }
}

/// Returns a load report with nothing in use.
pub fn load(taken: Instant, running: u32, used: Tokens, memory: Tokens, gap_ms: u64) -> Load {
    Load {
        measured_at: taken,
        running,
        waiting: 0,
        used_tokens: used,
        memory,
        token_gap: Duration::from_millis(gap_ms),
        preemptions: 0,
    }
}

/// A request of a simulation.
#[derive(Debug, Clone)]
pub struct Job {
    /// What the node asks.
    pub ask: Request,
    /// Output tokens that the engine makes.
    pub length: Tokens,
}

/// What a simulation measured.
#[derive(Debug, Default)]
pub struct Tally {
    /// Requests that ended whole, by rank.
    pub whole: [u64; 2],
    /// Requests that were refused, by rank.
    pub refused: [u64; 2],
    /// Output tokens of whole requests by account.
    pub tokens: BTreeMap<u64, Tokens>,
    /// Times at which the engine's memory was exceeded.
    pub exceeded: u64,
    /// Generations that yielded.
    pub yielded: u64,
    /// Requests granted after their first-token target, by rank.
    pub late: [u64; 2],
    /// Largest number of generations at the same time.
    pub most: usize,
}

/// An engine with its ledger in virtual time: 5 ms a step and 0.3 ms more for each generation.
#[derive(Debug)]
pub struct Simulation {
    /// Ledger under test.
    pub ledger: Ledger,
    /// Present time.
    pub now: Instant,
    /// Memory of the engine.
    memory: Tokens,
    /// Requests that wait.
    waiting: BTreeMap<RequestId, (Job, Instant)>,
    /// Running requests with the tokens that they have made.
    running: BTreeMap<RequestId, (Job, Tokens)>,
    /// Time of the last report.
    reported: Instant,
    /// Results.
    pub tally: Tally,
}

impl Simulation {
    /// Creates a simulation without requests.
    pub fn new(slots: u32, memory: Tokens) -> Self {
        let (ledger, now) = ledger(slots, memory);
        Self {
            ledger,
            now,
            memory,
            waiting: BTreeMap::new(),
            running: BTreeMap::new(),
            reported: now,
            tally: Tally::default(),
        }
    }

    /// Asks for a request.
    pub fn ask(&mut self, job: Job) {
        let (request, rank) = (job.ask.id, job.ask.rank);
        match self.ledger.ask(job.ask.clone(), self.now) {
            Answer::Grant => drop(self.running.insert(request, (job, 0))),
            Answer::Wait => drop(self.waiting.insert(request, (job, self.now))),
            Answer::Refuse { .. } => self.tally.refused[rank as usize] += 1,
        }
    }

    /// Decodes one token of each running request.
    pub fn step(&mut self) {
        let gap = Duration::from_micros(5_000 + 300 * self.running.len() as u64);
        self.now += gap;
        for next in self.ledger.tick(self.now) {
            self.carry_out(&next);
        }
        for (_, made) in self.running.values_mut() {
            *made += 1;
        }
        let ended = |(_, (job, made)): &(&RequestId, &(Job, Tokens))| *made >= job.length;
        let ended: Vec<_> = self
            .running
            .iter()
            .filter(ended)
            .map(|(id, _)| *id)
            .collect();
        for request in ended {
            let (job, made) = self.running.remove(&request).expect("it runs");
            self.ledger.release(request, made, self.now);
            self.tally.whole[job.ask.rank as usize] += 1;
            *self.tally.tokens.entry(job.ask.account).or_default() += made;
        }
        let used = self
            .running
            .values()
            .map(|(job, made)| job.ask.prompt + made)
            .sum();
        self.tally.exceeded += u64::from(used > self.memory);
        self.tally.most = self.tally.most.max(self.running.len());
        if self.now - self.reported >= Duration::from_secs(1) {
            self.reported = self.now;
            for (request, (_, made)) in &self.running {
                self.ledger.progress(*request, *made, self.now);
            }
            let mut load = load(self.now, self.running.len() as u32, used, self.memory, 0);
            load.token_gap = gap;
            self.ledger.report(load, self.now);
        }
    }

    /// Carries out a decision of the ledger.
    fn carry_out(&mut self, next: &Action) {
        match *next {
            Action::Grant { request, .. } => {
                let (job, since) = self.waiting.remove(&request).expect("it waits");
                let target = Contract::ordinary(job.ask.rank).first_token;
                let late = self.now - since > target;
                self.tally.late[job.ask.rank as usize] += u64::from(late);
                self.running.insert(request, (job, 0));
            }
            Action::Refuse { request, .. } => {
                let (job, _) = self.waiting.remove(&request).expect("it waits");
                self.tally.refused[job.ask.rank as usize] += 1;
            }
            Action::Yield { request, .. } => {
                let (_, made) = self.running.remove(&request).expect("it runs");
                self.ledger.release(request, made, self.now);
                self.tally.yielded += 1;
            }
        }
    }
}
