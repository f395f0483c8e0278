//! A small fake of an engine: continuous batching with limited memory.

use std::collections::BTreeMap;
use std::time::Duration;

use daisyyard_core::id::{Fingerprint, Offset, RequestId, Tokens};
use daisyyard_derive::value;

use crate::cache::Cache;

/// Steps over which a load report takes the mean time between tokens, about half a second.
const MEAN_GAP_STEPS: u32 = 24;

/// Capacity and speed of an engine.
#[value]
pub struct Profile {
    /// Requests in the batch at most.
    pub slots: usize,
    /// Tokens of context that fit.
    pub memory: Tokens,
    /// Time of a step with an empty batch.
    pub step_base: Duration,
    /// Additional time of a step for each decoding request.
    pub step_per_decode: Duration,
    /// Additional time of a step for each prompt token that it computes.
    pub step_per_prefill_token: Duration,
    /// Prompt tokens that one step computes at most.
    pub prefill_chunk: Tokens,
    /// Prompt blocks that the prefix cache holds.
    pub cache_blocks: usize,
}

impl Profile {
    /// Returns the engine that all experiments use.
    pub fn standard() -> Self {
        Self {
            slots: 64,
            memory: 65_536,
            step_base: Duration::from_millis(12),
            step_per_decode: Duration::from_micros(150),
            step_per_prefill_token: Duration::from_micros(30),
            prefill_chunk: 512,
            cache_blocks: 48,
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
    arrival_order: u64,
    /// Tokens made so far.
    made: Tokens,
    /// Context tokens that must be computed before the next token can be made.
    uncomputed: Tokens,
}

impl Sequence {
    /// Returns the tokens of memory that the job takes.
    fn context_tokens(&self) -> Tokens {
        self.job.prompt + self.made
    }

    /// Returns the place in the engine's order of service.
    fn service_order(&self) -> (u8, u64) {
        (self.job.priority, self.arrival_order)
    }
}

/// What the engine reports about its load.
#[value]
pub struct Stats {
    /// Jobs in the batch.
    pub running: u32,
    /// Jobs that wait in the engine.
    pub waiting: u32,
    /// Tokens of memory in use.
    pub used_tokens: Tokens,
    /// Mean duration of the recent steps.
    pub token_gap: Duration,
    /// Preemptions since the start.
    pub preemptions: u64,
}

/// A fake engine.
#[derive(Debug)]
pub struct Engine {
    /// Capacity and speed.
    profile: Profile,
    /// Jobs that wait, in order of service.
    waiting: BTreeMap<(u8, u64), Sequence>,
    /// Jobs in the batch.
    running: Vec<Sequence>,
    /// Order of the next job.
    next_arrival_order: u64,
    /// Whether a step is under way.
    step_in_progress: bool,
    /// Mean duration of the recent steps.
    token_gap: Duration,
    /// Preemptions since the start.
    preemptions: u64,
    /// Prompt prefixes.
    cache: Cache,
}

impl Engine {
    /// Creates an idle engine.
    pub fn new(profile: Profile) -> Self {
        Self {
            cache: Cache::new(profile.cache_blocks),
            profile,
            waiting: BTreeMap::new(),
            running: Vec::new(),
            next_arrival_order: 0,
            step_in_progress: false,
            token_gap: Duration::ZERO,
            preemptions: 0,
        }
    }

    /// Queues a job.
    pub fn submit(&mut self, job: Job) {
        let arrival_order = self.next_arrival_order;
        self.next_arrival_order += 1;
        let sequence = Sequence {
            uncomputed: job.prompt,
            job,
            arrival_order,
            made: 0,
        };
        self.waiting.insert(sequence.service_order(), sequence);
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
    pub fn start_step(&mut self) -> Option<Duration> {
        if self.step_in_progress {
            return None;
        }
        self.preempt();
        self.admit();
        if self.running.is_empty() {
            self.token_gap = Duration::ZERO;
            return None;
        }
        let mut prefill_budget = self.profile.prefill_chunk;
        let mut decoding = 0;
        self.running.sort_unstable_by_key(Sequence::service_order);
        for sequence in &mut self.running {
            let part = sequence.uncomputed.min(prefill_budget);
            sequence.uncomputed -= part;
            prefill_budget -= part;
            decoding += u32::from(sequence.uncomputed == 0);
        }
        let computed = (self.profile.prefill_chunk - prefill_budget) as u32;
        let profile = &self.profile;
        let step = profile.step_base
            + profile.step_per_decode * decoding
            + profile.step_per_prefill_token * computed;
        self.token_gap = if self.token_gap.is_zero() {
            step
        } else {
            (self.token_gap * (MEAN_GAP_STEPS - 1) + step) / MEAN_GAP_STEPS
        };
        self.step_in_progress = true;
        Some(step)
    }

    /// Ends the step and returns the tokens that it made.
    pub fn finish_step(&mut self) -> Vec<Token> {
        self.step_in_progress = false;
        let mut tokens = Vec::new();
        for sequence in &mut self.running {
            if sequence.uncomputed == 0 {
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
    pub fn stats(&self) -> Stats {
        Stats {
            running: self.running.len() as u32,
            waiting: self.waiting.len() as u32,
            used_tokens: self.used_tokens(),
            token_gap: self.token_gap,
            preemptions: self.preemptions,
        }
    }

    /// Returns the prefix cache.
    pub fn cache(&mut self) -> &mut Cache {
        &mut self.cache
    }

    /// Returns the tokens of memory in use.
    fn used_tokens(&self) -> Tokens {
        self.running.iter().map(Sequence::context_tokens).sum()
    }

    /// Takes jobs out of the batch until each of the others can make one more token.
    ///
    /// The job that is last in the order of service goes first; its context is computed again
    /// when it returns to the batch.
    fn preempt(&mut self) {
        let mut used_tokens = self.used_tokens();
        while used_tokens + self.running.len() as Tokens > self.profile.memory
            && self.running.len() > 1
        {
            let entries = self.running.iter().enumerate();
            let Some((index, _)) = entries.max_by_key(|(_, sequence)| sequence.service_order())
            else {
                return;
            };
            let mut victim = self.running.swap_remove(index);
            used_tokens -= victim.context_tokens();
            victim.uncomputed = victim.context_tokens();
            self.preemptions += 1;
            self.waiting.insert(victim.service_order(), victim);
        }
    }

    /// Moves waiting jobs into the batch, in order of service, while they fit.
    fn admit(&mut self) {
        let mut used_tokens = self.used_tokens();
        while self.running.len() < self.profile.slots
            && let Some(first) = self.waiting.first_entry()
        {
            let context_tokens = first.get().context_tokens();
            // One token for each job must stay free, else the next step preempts the new job.
            let margin = self.running.len() as Tokens + 1;
            if !self.running.is_empty()
                && used_tokens + context_tokens + margin > self.profile.memory
            {
                return;
            }
            let mut sequence = first.remove();
            used_tokens += context_tokens;
            let cached = self.cache.access(&sequence.job.prefix);
            // The last prompt token is always computed, because it makes the first token.
            sequence.uncomputed = (context_tokens - cached.min(context_tokens)).max(1);
            self.running.push(sequence);
        }
    }
}
