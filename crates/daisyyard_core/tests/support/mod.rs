//! Engines, admission requests and a simulated engine, shared by several test files.

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

/// Returns a ledger past its settling time, with the present time of its clock.
pub fn ledger(slots: u32, memory: Tokens) -> (Ledger, Instant) {
    let start = Instant::now();
    let engine = engine("e", &Zone::new("a", "r"), slots, memory);
    let ledger = Ledger::new(&engine, Terms::ordinary("model"), start);
    (ledger, start + Duration::from_secs(3))
}

/// Returns an admission request with a prompt of 10 tokens and a deadline in ten minutes.
pub fn admission_request(
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

/// Returns a load report without waiting requests or preemptions.
pub fn load(
    measured_at: Instant,
    running: u32,
    used: Tokens,
    memory: Tokens,
    token_gap_ms: u64,
) -> Load {
    Load {
        measured_at,
        running,
        waiting: 0,
        used_tokens: used,
        memory,
        token_gap: Duration::from_millis(token_gap_ms),
        preemptions: 0,
    }
}

/// A request in a simulation.
#[derive(Debug, Clone)]
pub struct Job {
    /// Admission request that the node sends to the ledger.
    pub request: Request,
    /// Output length in tokens.
    pub length: Tokens,
}

/// Results of a simulation.
#[derive(Debug, Default)]
pub struct Tally {
    /// Completed requests, by rank.
    pub completed: [u64; 2],
    /// Refused requests, by rank.
    pub refused: [u64; 2],
    /// Output tokens of completed requests, by account.
    pub completed_tokens: BTreeMap<u64, Tokens>,
    /// Number of steps after which the generations exceeded the engine's memory.
    pub memory_overruns: u64,
    /// Generations that yielded to others.
    pub yielded: u64,
    /// Requests granted later than their first-token target, by rank.
    pub late_grants: [u64; 2],
    /// Largest number of concurrent generations.
    pub max_running: usize,
}

/// An engine with its ledger in virtual time: a step takes 5 ms, and 0.3 ms more per generation.
#[derive(Debug)]
pub struct Simulation {
    /// Ledger under test.
    pub ledger: Ledger,
    /// Present virtual time.
    pub now: Instant,
    /// Memory of the engine in tokens.
    memory: Tokens,
    /// Queued requests, with the time at which they were queued.
    waiting: BTreeMap<RequestId, (Job, Instant)>,
    /// Running requests, with their output so far in tokens.
    running: BTreeMap<RequestId, (Job, Tokens)>,
    /// Time of the last load report.
    last_report: Instant,
    /// Results so far.
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
            last_report: now,
            tally: Tally::default(),
        }
    }

    /// Submits a request to the ledger.
    pub fn ask(&mut self, job: Job) {
        let (request, rank) = (job.request.id, job.request.rank);
        match self.ledger.ask(job.request.clone(), self.now) {
            Answer::Grant => drop(self.running.insert(request, (job, 0))),
            Answer::Wait => drop(self.waiting.insert(request, (job, self.now))),
            Answer::Refuse { .. } => self.tally.refused[rank as usize] += 1,
        }
    }

    /// Decodes one token of each running request; reports progress and load once a second.
    pub fn step(&mut self) {
        let gap = Duration::from_micros(5_000 + 300 * self.running.len() as u64);
        self.now += gap;
        for action in self.ledger.tick(self.now) {
            self.carry_out(&action);
        }
        for (_, generated) in self.running.values_mut() {
            *generated += 1;
        }
        let ended = |(_, (job, generated)): &(&RequestId, &(Job, Tokens))| *generated >= job.length;
        let ended: Vec<_> = self
            .running
            .iter()
            .filter(ended)
            .map(|(id, _)| *id)
            .collect();
        for request in ended {
            let (job, generated) = self.running.remove(&request).expect("it runs");
            self.ledger.release(request, generated, self.now);
            self.tally.completed[job.request.rank as usize] += 1;
            *self
                .tally
                .completed_tokens
                .entry(job.request.account)
                .or_default() += generated;
        }
        let used = self
            .running
            .values()
            .map(|(job, generated)| job.request.prompt + generated)
            .sum();
        self.tally.memory_overruns += u64::from(used > self.memory);
        self.tally.max_running = self.tally.max_running.max(self.running.len());
        if self.now - self.last_report >= Duration::from_secs(1) {
            self.last_report = self.now;
            for (request, (_, generated)) in &self.running {
                self.ledger.progress(*request, *generated, self.now);
            }
            let mut load = load(self.now, self.running.len() as u32, used, self.memory, 0);
            load.token_gap = gap;
            self.ledger.report(load, self.now);
        }
    }

    /// Carries out a decision of the ledger.
    fn carry_out(&mut self, action: &Action) {
        match *action {
            Action::Grant { request, .. } => {
                let (job, queued_at) = self.waiting.remove(&request).expect("it waits");
                let target = Contract::ordinary(job.request.rank).first_token;
                let late = self.now - queued_at > target;
                self.tally.late_grants[job.request.rank as usize] += u64::from(late);
                self.running.insert(request, (job, 0));
            }
            Action::Refuse { request, .. } => {
                let (job, _) = self.waiting.remove(&request).expect("it waits");
                self.tally.refused[job.request.rank as usize] += 1;
            }
            Action::Yield { request, .. } => {
                let (_, generated) = self.running.remove(&request).expect("it runs");
                self.ledger.release(request, generated, self.now);
                self.tally.yielded += 1;
            }
        }
    }
}
