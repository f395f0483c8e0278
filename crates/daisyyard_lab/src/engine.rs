//! A small fake of an engine: continuous batching with limited memory.

use std::collections::BTreeMap;
use std::time::Duration;

use daisyyard_core::id::{Fingerprint, Offset, RequestId, Tokens};
use daisyyard_derive::value;

use crate::cache::Cache;

/// Steps over which a load report takes the mean time between tokens, about half a second.
const MEAN_STEPS: u32 = 24;

/// Capacity and speed of an engine.
#[value]
pub struct Model {
    /// Requests in the batch at most.
    pub slots: usize,
    /// Tokens of context that fit.
    pub memory: Tokens,
    /// Time of a step with an empty batch.
    pub base: Duration,
    /// Additional time of a step for each decoding request.
    pub crowding: Duration,
    /// Additional time of a step for each prompt token that it computes.
    pub prefill: Duration,
    /// Prompt tokens that one step computes at most.
    pub chunk: Tokens,
    /// Prompt blocks that the prefix cache holds.
    pub blocks: usize,
}

impl Model {
    /// Returns the engine that all experiments use.
    pub fn standard() -> Self {
        Self {
            slots: 64,
            memory: 65_536,
            base: Duration::from_millis(12),
            crowding: Duration::from_micros(150),
            prefill: Duration::from_micros(30),
            chunk: 512,
            blocks: 48,
        }
    }
}

/// A request as the engine receives it.
#[value]
pub struct Job {
    /// Request that the job belongs to.
    pub request: RequestId,
    /// Jobs with a lower number go first.
    pub priority: u8,
    /// Tokens of the prompt.
    pub prompt: Tokens,
    /// Tokens that the model will make; only the engine and the upper bound know it.
    pub output: Tokens,
    /// Fingerprints of the prompt's leading blocks.
    pub prefix: Vec<Fingerprint>,
}

/// A token that a step made.
#[value]
pub struct Token {
    /// Request that the token belongs to.
    pub request: RequestId,
    /// Offset within the generation.
    pub offset: Offset,
    /// Whether the generation is complete.
    pub last: bool,
}

/// A job in the engine.
#[derive(Debug)]
struct Sequence {
    /// The job.
    job: Job,
    /// Position in the order of arrival.
    order: u64,
    /// Tokens made so far.
    made: Tokens,
    /// Context tokens that must be computed before the next token can be made.
    missing: Tokens,
}

impl Sequence {
    /// Returns the tokens of memory that the job takes.
    fn size(&self) -> Tokens {
        self.job.prompt + self.made
    }

    /// Returns the place in the engine's order of service.
    fn place(&self) -> (u8, u64) {
        (self.job.priority, self.order)
    }
}

/// What the engine reports about its load.
#[value]
pub struct Gauge {
    /// Jobs in the batch.
    pub running: u32,
    /// Jobs that wait in the engine.
    pub waiting: u32,
    /// Tokens of memory in use.
    pub used: Tokens,
    /// Mean duration of the recent steps.
    pub gap: Duration,
    /// Preemptions since the start.
    pub preemptions: u64,
}

/// A fake engine.
#[derive(Debug)]
pub struct Engine {
    /// Capacity and speed.
    model: Model,
    /// Jobs that wait, in order of service.
    waiting: BTreeMap<(u8, u64), Sequence>,
    /// Jobs in the batch.
    running: Vec<Sequence>,
    /// Order of the next job.
    next: u64,
    /// Whether a step is under way.
    stepping: bool,
    /// Mean duration of the recent steps.
    gap: Duration,
    /// Preemptions since the start.
    preemptions: u64,
    /// Prompt prefixes.
    cache: Cache,
}

impl Engine {
    /// Creates an idle engine.
    pub fn new(model: Model) -> Self {
        Self {
            cache: Cache::new(model.blocks),
            model,
            waiting: BTreeMap::new(),
            running: Vec::new(),
            next: 0,
            stepping: false,
            gap: Duration::ZERO,
            preemptions: 0,
        }
    }

    /// Queues a job.
    pub fn submit(&mut self, job: Job) {
        let order = self.next;
        self.next += 1;
        let sequence = Sequence {
            missing: job.prompt,
            job,
            order,
            made: 0,
        };
        self.waiting.insert(sequence.place(), sequence);
    }

    /// Ends a job and returns whether the engine had it.
    pub fn cancel(&mut self, request: RequestId) -> bool {
        let before = self.waiting.len() + self.running.len();
        self.waiting
            .retain(|_, sequence| sequence.job.request != request);
        self.running
            .retain(|sequence| sequence.job.request != request);
        before > self.waiting.len() + self.running.len()
    }

    /// Withdraws a job that has not made a token and is not in the batch.
    pub fn withdraw(&mut self, request: RequestId) -> bool {
        let before = self.waiting.len();
        self.waiting
            .retain(|_, sequence| sequence.job.request != request || sequence.made > 0);
        before > self.waiting.len()
    }

    /// Starts a step unless one is under way, and returns its duration.
    pub fn begin(&mut self) -> Option<Duration> {
        if self.stepping {
            return None;
        }
        self.preempt();
        self.admit();
        if self.running.is_empty() {
            self.gap = Duration::ZERO;
            return None;
        }
        let mut chunk = self.model.chunk;
        let mut decoding = 0;
        self.running.sort_unstable_by_key(Sequence::place);
        for sequence in &mut self.running {
            let part = sequence.missing.min(chunk);
            sequence.missing -= part;
            chunk -= part;
            decoding += u32::from(sequence.missing == 0);
        }
        let computed = (self.model.chunk - chunk) as u32;
        let model = &self.model;
        let step = model.base + model.crowding * decoding + model.prefill * computed;
        self.gap = if self.gap.is_zero() {
            step
        } else {
            (self.gap * (MEAN_STEPS - 1) + step) / MEAN_STEPS
        };
        self.stepping = true;
        Some(step)
    }

    /// Ends the step and returns the tokens that it made.
    pub fn finish(&mut self) -> Vec<Token> {
        self.stepping = false;
        let mut tokens = Vec::new();
        for sequence in &mut self.running {
            if sequence.missing == 0 {
                let (request, offset) = (sequence.job.request, sequence.made);
                sequence.made += 1;
                let last = sequence.made >= sequence.job.output;
                tokens.push(Token {
                    request,
                    offset,
                    last,
                });
            }
        }
        self.running
            .retain(|sequence| sequence.made < sequence.job.output);
        tokens
    }

    /// Returns the present load.
    pub fn gauge(&self) -> Gauge {
        Gauge {
            running: self.running.len() as u32,
            waiting: self.waiting.len() as u32,
            used: self.used(),
            gap: self.gap,
            preemptions: self.preemptions,
        }
    }

    /// Returns the prefix cache.
    pub fn cache(&mut self) -> &mut Cache {
        &mut self.cache
    }

    /// Returns the tokens of memory in use.
    fn used(&self) -> Tokens {
        self.running.iter().map(Sequence::size).sum()
    }

    /// Takes jobs out of the batch until each of the others can make one more token.
    ///
    /// The job that is last in the order of service goes first; its context is computed again
    /// when it returns to the batch.
    fn preempt(&mut self) {
        let mut used = self.used();
        while used + self.running.len() as Tokens > self.model.memory && self.running.len() > 1 {
            let places = self.running.iter().enumerate();
            let Some((index, _)) = places.max_by_key(|(_, sequence)| sequence.place()) else {
                return;
            };
            let mut victim = self.running.swap_remove(index);
            used -= victim.size();
            victim.missing = victim.size();
            self.preemptions += 1;
            self.waiting.insert(victim.place(), victim);
        }
    }

    /// Moves waiting jobs into the batch, in order of service, while they fit.
    fn admit(&mut self) {
        let mut used = self.used();
        while self.running.len() < self.model.slots
            && let Some(first) = self.waiting.first_entry()
        {
            let size = first.get().size();
            // One token for each job must stay free, else the next step preempts the new job.
            let margin = self.running.len() as Tokens + 1;
            if !self.running.is_empty() && used + size + margin > self.model.memory {
                return;
            }
            let mut sequence = first.remove();
            used += size;
            let cached = self.cache.visit(&sequence.job.prefix);
            // The last prompt token is always computed, because it makes the first token.
            sequence.missing = (size - cached.min(size)).max(1);
            self.running.push(sequence);
        }
    }
}
