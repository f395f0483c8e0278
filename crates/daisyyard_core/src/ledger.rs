//! Ledger of one engine, kept by the home node of the engine: admission of generations within the
//! token-gap target and the memory of the engine.

use std::time::{Duration, Instant};

use daisyyard_derive::{record, value};

use crate::account::{self, Bucket};
use crate::admission::{MAX_GRANTS, MEMORY_LOOKAHEAD, fair_cost, retry_after, uncached_prompt};
use crate::capacity::Capacity;
use crate::contract::Rank;
use crate::endpoint::{Endpoint, Load};
use crate::grant::Grants;
use crate::id::{AccountId, EndpointId, InstanceId, RequestId, ServiceId, Tokens};
use crate::length::Estimator;
use crate::lru::Cache;
use crate::preset::Terms;
use crate::queue::{self, Entry, Queue};
use crate::share::Shares;

/// Time after which a grant expires unless a progress report renews it.
pub const GRANT_LIFETIME: Duration = Duration::from_secs(10);

/// Maximum number of accounts whose rate limit state one ledger keeps.
const MAX_BUCKETS: usize = 2048;
/// Time after which a generation that was asked to yield but still runs may be asked again.
const YIELD_REPEAT_INTERVAL: Duration = Duration::from_secs(1);
/// Share of the first-token target that a request may wait; the rest is left for its prompt.
const MAX_WAIT_SHARE: f64 = 0.8;
/// Upper bound on the reported output tokens of one generation.
const MAX_OUTPUT_TOKENS: Tokens = 1 << 32;
/// Weight of a new residence time in the moving average.
const RESIDENCE_WEIGHT: f64 = 1.0 / 32.0;
/// A node's request to run a generation on the engine.
#[value]
pub struct Request {
    /// Identifier of the request.
    pub id: RequestId,
    /// Node that serves the request.
    pub node: InstanceId,
    /// Client account of the request.
    pub account: AccountId,
    /// Rank of the request.
    pub rank: Rank,
    /// Prompt length in tokens.
    pub prompt: Tokens,
    /// Prompt tokens that the engine is likely to have cached.
    pub cached: Tokens,
    /// Output length that the node expects from the lengths that it has observed.
    pub expected: Tokens,
    /// Time after which the caller has no use for a grant.
    pub deadline: Instant,
}

/// Immediate answer to a [`Request`].
#[value]
pub enum Answer {
    /// Granted: the node may send the request to the engine.
    Grant,
    /// Queued: a [`Action::Grant`] or [`Action::Refuse`] follows.
    Wait,
    /// Refused: the node may ask another engine or refuse the request.
    Refuse {
        /// Delay after which the same request may be granted.
        retry_after: Duration,
    },
}

/// Message that the home node must send to the node of a request.
#[value]
pub enum Action {
    /// A queued request is granted.
    Grant {
        /// Node that serves the request.
        node: InstanceId,
        /// Request that is granted.
        request: RequestId,
    },
    /// A queued request is refused.
    Refuse {
        /// Node that serves the request.
        node: InstanceId,
        /// Request that is refused.
        request: RequestId,
        /// Delay after which the same request may be granted.
        retry_after: Duration,
    },
    /// A running generation must stop to free capacity for others.
    Yield {
        /// Node that serves the request.
        node: InstanceId,
        /// Request whose generation must stop.
        request: RequestId,
    },
}

/// Summary of an engine's state that its home node publishes for routing.
#[record]
pub struct Digest {
    /// Engine that the digest describes.
    pub endpoint: EndpointId,
    /// Generations at the engine, including those that another ledger granted.
    pub running: u32,
    /// Number of requests that wait for a grant.
    pub queued: u32,
    /// Memory, in tokens, that is neither used, committed nor kept as headroom.
    pub free_tokens: Tokens,
    /// Mean time between tokens in the last load report.
    pub token_gap: Duration,
}

/// Ledger of one engine.
#[derive(Debug)]
pub struct Ledger {
    /// Engine that the ledger describes.
    pub(crate) endpoint: EndpointId,
    /// Terms of the engine's service in the active preset.
    pub(crate) terms: Terms,
    /// Capacity of the engine.
    pub(crate) capacity: Capacity,
    /// Running generations.
    pub(crate) grants: Grants,
    /// Requests that wait for a grant.
    pub(crate) queue: Queue,
    /// Estimator of output lengths, fed by the generations of this engine.
    pub(crate) lengths: Estimator,
    /// Recent urgent demand by account.
    pub(crate) shares: Shares,
    /// Rate limit state by account.
    pub(crate) buckets: Cache<AccountId, Bucket>,
    /// Mean time from a grant to its end in seconds, once measured.
    pub(crate) mean_residence_secs: Option<f64>,
    /// Refusals of displaced requests that the next tick returns.
    pub(crate) displaced: Vec<Action>,
}

impl Ledger {
    /// Creates the ledger of an engine.
    pub fn new(endpoint: &Endpoint, terms: Terms, now: Instant) -> Self {
        Self {
            endpoint: endpoint.id,
            terms,
            capacity: Capacity::new(endpoint, now),
            grants: Grants::default(),
            queue: Queue::new(queue::CAPACITY),
            lengths: Estimator::new(),
            shares: Shares::new(now),
            buckets: Cache::new(MAX_BUCKETS),
            mean_residence_secs: None,
            displaced: Vec::new(),
        }
    }

    /// Creates the ledger that a node falls back to while the engine's home does not answer, with
    /// an equal share of the engine for each of the `nodes` live nodes.
    pub fn local(endpoint: &Endpoint, terms: Terms, nodes: u32, now: Instant) -> Self {
        let mut share = endpoint.clone();
        share.slots = (endpoint.slots / nodes.max(1)).max(1);
        share.memory = endpoint.memory / u64::from(nodes.max(1));
        Self::new(&share, terms, now)
    }

    /// Replaces the terms by those of a new preset.
    pub fn set_terms(&mut self, terms: Terms) {
        self.terms = terms;
    }

    /// Returns the service of the engine.
    pub fn service(&self) -> ServiceId {
        self.terms.service
    }

    /// Grants, queues or refuses a request to run a generation.
    pub fn ask(&mut self, request: Request, now: Instant) -> Answer {
        // A repeated request gets the same answer, because the first answer may have been lost.
        if self.grants.get(request.id).is_some() {
            return Answer::Grant;
        }
        if self.queue.contains(request.id) {
            return Answer::Wait;
        }
        let estimate = self.estimate(&request, 0, now);
        let total = estimate.total;
        let wait = self.expected_wait(&request, total, now);
        let contract = self.terms.contract(request.rank);
        let max_wait = request
            .deadline
            .saturating_duration_since(now)
            .min(contract.queue_timeout);
        let target_wait = contract.first_token.mul_f64(MAX_WAIT_SHARE).min(max_wait);
        if max_wait.is_zero() || request.prompt >= self.capacity.memory {
            let retry_after = retry_after(&request, wait, max_wait);
            return Answer::Refuse { retry_after };
        }
        if request.rank == Rank::Urgent {
            let tokens = request.prompt + estimate.mean();
            self.shares.record(request.account, tokens, now);
            let sum = self.grants.sums[Rank::Urgent as usize];
            let urgent = sum.count + self.queue.len(Rank::Urgent) + 1;
            self.capacity.record_demand(
                urgent,
                sum.reserved + request.prompt + estimate.mean(),
                now,
            );
        }
        let goes_first = self.skips_queue(&request, now) && self.may_grant(request.rank, now);
        let admit = goes_first && self.fits(&request, &estimate, now);
        if !admit && wait > target_wait {
            if request.rank == Rank::Urgent {
                self.capacity
                    .record_refusal(request.prompt + estimate.mean(), now);
            }
            let retry_after = retry_after(&request, wait, target_wait);
            return Answer::Refuse { retry_after };
        }
        let taken = uncached_prompt(&request) + total;
        let limit = &self.terms.limit;
        let bucket = self
            .buckets
            .get_or_insert_with(request.account, || Bucket::new(limit, now));
        if let account::Decision::Defer(wait) = bucket.take(limit, taken as f64, now) {
            let retry_after = retry_after(&request, wait, Duration::ZERO);
            return Answer::Refuse { retry_after };
        }
        if admit {
            self.grant(&request, estimate, taken, now);
            return Answer::Grant;
        }
        let entry = Entry {
            since: now,
            target: now + target_wait,
            // An urgent request past its target would take capacity from one that can meet it.
            expires: now
                + match request.rank {
                    Rank::Urgent => target_wait,
                    Rank::Deferrable => max_wait,
                },
            taken,
            request,
        };
        self.enqueue(entry, now)
    }

    /// Records the tokens generated so far and renews the grant; returns whether the generation is
    /// known.
    pub fn progress(&mut self, request: RequestId, generated: Tokens, now: Instant) -> bool {
        let Some(grant) = self.grants.get(request) else {
            return false;
        };
        let (kind, before) = (self.kind(grant.account, grant.rank), grant.estimate.total);
        let generated = generated.clamp(grant.generated, MAX_OUTPUT_TOKENS);
        let estimate = self.estimate_output(kind, generated, grant.expected, now);
        if generated > before {
            self.lengths.observe_running(kind, generated, now);
        }
        let charged = grant
            .charged
            .max(fair_cost(grant.uncached_prompt, generated));
        let (rank, account, charged_before) = (grant.rank, grant.account, grant.charged);
        if charged > charged_before {
            self.queue.settle(rank, account, charged_before, charged);
        }
        self.grants.update(request, |grant| {
            grant.generated = generated;
            grant.estimate = estimate;
            grant.charged = charged;
            grant.progressed = now;
            grant.expires = now + GRANT_LIFETIME;
            let overdue = |yielded| now.saturating_duration_since(yielded) > YIELD_REPEAT_INTERVAL;
            if grant.yielded.is_some_and(overdue) {
                grant.yielded = None;
            }
        });
        true
    }

    /// Adopts a running generation that a previous home of the engine granted.
    pub fn restore(&mut self, request: &Request, generated: Tokens, now: Instant) {
        let fits = request.prompt < self.capacity.memory && self.grants.len() < MAX_GRANTS;
        if self.grants.get(request.id).is_none() && fits {
            self.queue.remove(request.id);
            let estimate = self.estimate(request, generated, now);
            self.grant(request, estimate, 0, now);
        }
        self.progress(request.id, generated, now);
    }

    /// Ends a generation or withdraws a queued request.
    pub fn release(&mut self, request: RequestId, generated: Tokens, now: Instant) {
        if let Some(entry) = self.queue.remove(request) {
            self.refund(&entry, now);
        }
        let Some(grant) = self.grants.remove(request) else {
            return;
        };
        let generated = generated.clamp(grant.generated, MAX_OUTPUT_TOKENS);
        self.end(&grant, generated, now);
        if grant.yielded.is_none() {
            self.lengths
                .observe(self.kind(grant.account, grant.rank), generated, now);
            self.capacity
                .calibration
                .record(grant.initial_estimate, generated);
            let time = now.saturating_duration_since(grant.granted).as_secs_f64();
            let mean = self.mean_residence_secs.get_or_insert(time);
            *mean += (time - *mean) * RESIDENCE_WEIGHT;
        }
    }

    /// Applies a load report of the engine.
    pub fn report(&mut self, load: Load, now: Instant) {
        let gap = self.capacity.gap_or_target_secs(now, &self.terms);
        let (mut running, mut held) = (0, 0);
        for (_, grant) in self
            .grants
            .iter()
            .filter(|(_, grant)| grant.granted <= load.measured_at)
        {
            // Progress reports arrive once a second, so the load report includes tokens generated
            // since the last one.
            let lag = load
                .measured_at
                .saturating_duration_since(grant.progressed)
                .min(MEMORY_LOOKAHEAD);
            running += 1;
            held += grant.held() + (lag.as_secs_f64() / gap) as Tokens;
        }
        let deferrable = self.grants.sums[Rank::Deferrable as usize].count;
        self.capacity
            .report(load, running, deferrable, held, &self.terms);
    }

    /// Grants and refuses queued requests, ends expired grants and selects generations that must
    /// yield; to be called periodically and after the capacity changed.
    pub fn tick(&mut self, now: Instant) -> Vec<Action> {
        let mut actions = std::mem::take(&mut self.displaced);
        while let Some(request) = self.grants.expired(now) {
            if let Some(grant) = self.grants.remove(request) {
                self.end(&grant, grant.generated, now);
            }
        }
        while let Some(entry) = self.queue.expire(now) {
            self.refund(&entry, now);
            actions.push(self.refuse(&entry, now));
        }
        self.yield_for_memory(now, &mut actions);
        self.admit(now, &mut actions);
        self.yield_for_urgent(now, &mut actions);
        actions
    }

    /// Returns the summary that nodes use for routing.
    pub fn digest(&self, now: Instant) -> Digest {
        let waiting = Rank::ALL.into_iter().map(|rank| self.queue.len(rank));
        let budget = self.capacity.budget(self.grants.len(), now);
        Digest {
            endpoint: self.endpoint,
            running: self.grants.len() as u32 + self.capacity.foreign,
            queued: waiting.sum::<usize>() as u32,
            free_tokens: budget.saturating_sub(self.grants.profile().peak()),
            token_gap: self.capacity.gap(),
        }
    }

    /// Returns the requests of a node that have a grant.
    pub fn held_by(&self, node: InstanceId) -> Vec<RequestId> {
        let held = self.grants.iter().filter(|(_, grant)| grant.node == node);
        held.map(|(request, _)| request).collect()
    }
}
