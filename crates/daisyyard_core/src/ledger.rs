//! The ledger of one engine, kept by the engine's home node: admission by pace and memory.

use std::time::{Duration, Instant};

use daisyyard_derive::{record, value};

use crate::account::{self, Bucket};
use crate::admit::{GRANTS, LOOKAHEAD, fair_cost, fresh, retry_after};
use crate::capacity::Capacity;
use crate::contract::Rank;
use crate::endpoint::{Endpoint, Load};
use crate::grant::Grants;
use crate::id::{AccountId, EndpointId, InstanceId, RequestId, ServiceId, Tokens};
use crate::length::Estimator;
use crate::preset::Terms;
use crate::queue::{self, Entry, Queue};
use crate::recent::Recent;
use crate::share::Shares;

/// Time after which a grant ends unless progress renews it.
pub const GRANT_LIFETIME: Duration = Duration::from_secs(10);

/// Accounts whose rate limit one ledger remembers.
const BUCKETS: usize = 2048;
/// Time after which a generation that was told to yield and still runs may be told again.
const YIELD_REPEAT: Duration = Duration::from_secs(1);
/// Part of the first-token target that a request may wait, so that time for its prompt is left.
const TARGET_SHARE: f64 = 0.8;
/// Output tokens of one generation that are believed at most.
const TOKENS_MOST: Tokens = 1 << 32;
/// Weight of a new residence time in the mean.
const RESIDENCE_WEIGHT: f64 = 1.0 / 32.0;
/// A node's request to run a generation on the engine.
#[value]
pub struct Ask {
    /// Request that asks.
    pub request: RequestId,
    /// Node that holds the request.
    pub node: InstanceId,
    /// Client account of the request.
    pub account: AccountId,
    /// Rank of the request.
    pub rank: Rank,
    /// Tokens of the prompt.
    pub prompt: Tokens,
    /// Prompt tokens that the engine is likely to have cached.
    pub cached: Tokens,
    /// Output tokens that the node expects, from what it has seen.
    pub expected: Tokens,
    /// Time after which an admission is of no use to the caller.
    pub deadline: Instant,
}

/// Answer to an [`Ask`].
#[value]
pub enum Answer {
    /// Send the request to the engine now.
    Grant,
    /// Keep the request; a [`Next::Grant`] or [`Next::Refuse`] follows.
    Wait,
    /// Refuse the request or ask another engine.
    Refuse {
        /// When asking again may help.
        retry_after: Duration,
    },
}

/// What the home node must do after time passed or capacity changed.
#[value]
pub enum Next {
    /// Tell the node that its waiting request is granted.
    Grant {
        /// Node that holds the request.
        node: InstanceId,
        /// Request that is granted.
        request: RequestId,
    },
    /// Tell the node that its waiting request is refused.
    Refuse {
        /// Node that holds the request.
        node: InstanceId,
        /// Request that is refused.
        request: RequestId,
        /// When asking again may help.
        retry_after: Duration,
    },
    /// Tell the node to give up a running generation, because memory runs out.
    Yield {
        /// Node that holds the request.
        node: InstanceId,
        /// Request that is given up.
        request: RequestId,
    },
}

/// State of the engine that the home shares with nodes, for their routing.
#[record]
pub struct Digest {
    /// Engine that the digest describes.
    pub endpoint: EndpointId,
    /// Generations at the engine, those of other homes included.
    pub running: u32,
    /// Requests that wait for a grant.
    pub queued: u32,
    /// Tokens of memory that are neither used nor promised nor kept as headroom.
    pub free: Tokens,
    /// Mean time between tokens in the last load report.
    pub gap: Duration,
}

/// The ledger of one engine.
#[derive(Debug)]
pub struct Ledger {
    /// Engine that the ledger describes.
    pub(crate) endpoint: EndpointId,
    /// Terms of the engine's service in the preset in force.
    pub(crate) terms: Terms,
    /// What the engine can run.
    pub(crate) capacity: Capacity,
    /// Running generations.
    pub(crate) grants: Grants,
    /// Requests that wait.
    pub(crate) queue: Queue,
    /// Output lengths at this engine.
    pub(crate) lengths: Estimator,
    /// Recent urgent demand by account.
    pub(crate) shares: Shares,
    /// Rate limits by account.
    pub(crate) buckets: Recent<AccountId, Bucket>,
    /// Mean time in seconds from a grant to its end, once measured.
    pub(crate) residence: Option<f64>,
    /// Refusals of displaced requests that the next tick returns.
    pub(crate) displaced: Vec<Next>,
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
            buckets: Recent::new(BUCKETS),
            residence: None,
            displaced: Vec::new(),
        }
    }

    /// Creates the ledger that a node uses for itself while the engine's home does not answer:
    /// an equal share of the engine for each of the live nodes.
    pub fn local(endpoint: &Endpoint, terms: Terms, nodes: u32, now: Instant) -> Self {
        let mut share = endpoint.clone();
        share.slots = (endpoint.slots / nodes.max(1)).max(1);
        share.memory = endpoint.memory / u64::from(nodes.max(1));
        Self::new(&share, terms, now)
    }

    /// Takes the terms of a new preset into force.
    pub fn adopt(&mut self, terms: Terms) {
        self.terms = terms;
    }

    /// Returns the service of the engine.
    pub fn service(&self) -> ServiceId {
        self.terms.service
    }

    /// Answers a node that asks to run a generation.
    pub fn ask(&mut self, ask: Ask, now: Instant) -> Answer {
        // A repeated question gets the answer again, because the first one may be lost.
        if self.grants.get(ask.request).is_some() {
            return Answer::Grant;
        }
        if self.queue.contains(ask.request) {
            return Answer::Wait;
        }
        let estimate = self.estimate(&ask, 0, now);
        let total = estimate.total;
        let wait = self.wait(&ask, total, now);
        let contract = self.terms.contract(ask.rank);
        let patience = ask
            .deadline
            .saturating_duration_since(now)
            .min(contract.queue);
        let target = contract.first_token.mul_f64(TARGET_SHARE).min(patience);
        if patience.is_zero() || ask.prompt >= self.capacity.memory {
            let retry_after = retry_after(&ask, wait, patience);
            return Answer::Refuse { retry_after };
        }
        if ask.rank == Rank::Urgent {
            let tokens = ask.prompt + estimate.mean();
            self.shares.record(ask.account, tokens, now);
            let sum = self.grants.sums[Rank::Urgent as usize];
            let urgent = sum.count + self.queue.len(Rank::Urgent) + 1;
            self.capacity
                .demand(urgent, sum.reserved + ask.prompt + estimate.mean(), now);
        }
        let first = self.goes_first(&ask, now) && self.may_pass(ask.rank, now);
        let admit = first && self.fits(&ask, &estimate, now);
        if !admit && wait > target {
            if ask.rank == Rank::Urgent {
                self.capacity.miss(ask.prompt + estimate.mean(), now);
            }
            let retry_after = retry_after(&ask, wait, target);
            return Answer::Refuse { retry_after };
        }
        let taken = fresh(&ask) + total;
        let limit = &self.terms.limit;
        let bucket = self.buckets.touch(ask.account, || Bucket::new(limit, now));
        if let account::Next::Defer(wait) = bucket.take(limit, taken as f64, now) {
            let retry_after = retry_after(&ask, wait, Duration::ZERO);
            return Answer::Refuse { retry_after };
        }
        if admit {
            self.grant(&ask, estimate, taken, now);
            return Answer::Grant;
        }
        let entry = Entry {
            since: now,
            target: now + target,
            // Urgent work that can no longer meet its target would take the place of work that can.
            expires: now
                + match ask.rank {
                    Rank::Urgent => target,
                    Rank::Deferrable => patience,
                },
            taken,
            ask,
        };
        self.enqueue(entry, now)
    }

    /// Records the tokens that a generation has made and renews its grant; returns whether the
    /// generation is known.
    pub fn progress(&mut self, request: RequestId, made: Tokens, now: Instant) -> bool {
        let Some(grant) = self.grants.get(request) else {
            return false;
        };
        let (kind, before) = (self.kind(grant.account, grant.rank), grant.estimate.total);
        let made = made.clamp(grant.made, TOKENS_MOST);
        let estimate = self.forecast(kind, made, grant.expected, now);
        if made > before {
            self.lengths.outlive(kind, made, now);
        }
        let charged = grant.charged.max(fair_cost(grant.fresh, made));
        let (rank, account, charged_before) = (grant.rank, grant.account, grant.charged);
        if charged > charged_before {
            self.queue.correct(rank, account, charged_before, charged);
        }
        self.grants.update(request, |grant| {
            grant.made = made;
            grant.estimate = estimate;
            grant.charged = charged;
            grant.progressed = now;
            grant.expires = now + GRANT_LIFETIME;
            let repeat = |told| now.saturating_duration_since(told) > YIELD_REPEAT;
            if grant.yielded.is_some_and(repeat) {
                grant.yielded = None;
            }
        });
        true
    }

    /// Takes over a running generation that a former home of the engine granted.
    pub fn restore(&mut self, ask: &Ask, made: Tokens, now: Instant) {
        let fits = ask.prompt < self.capacity.memory && self.grants.len() < GRANTS;
        if self.grants.get(ask.request).is_none() && fits {
            self.queue.remove(ask.request);
            let estimate = self.estimate(ask, made, now);
            self.grant(ask, estimate, 0, now);
        }
        self.progress(ask.request, made, now);
    }

    /// Ends a generation or withdraws a waiting request.
    pub fn release(&mut self, request: RequestId, made: Tokens, now: Instant) {
        if let Some(entry) = self.queue.remove(request) {
            self.give_back(&entry, now);
        }
        let Some(grant) = self.grants.remove(request) else {
            return;
        };
        let made = made.clamp(grant.made, TOKENS_MOST);
        self.end(&grant, made, now);
        if grant.yielded.is_none() {
            self.lengths
                .observe(self.kind(grant.account, grant.rank), made, now);
            self.capacity.spread.record(grant.first, made);
            let time = now.saturating_duration_since(grant.granted).as_secs_f64();
            let mean = self.residence.get_or_insert(time);
            *mean += (time - *mean) * RESIDENCE_WEIGHT;
        }
    }

    /// Takes a load report of the engine.
    pub fn report(&mut self, load: Load, now: Instant) {
        let gap = self.capacity.gap_or_target(now, &self.terms);
        let (mut running, mut held) = (0, 0);
        for (_, grant) in self
            .grants
            .iter()
            .filter(|(_, grant)| grant.granted <= load.measured_at)
        {
            // Progress arrives each second; the tokens made since are part of the report.
            let lag = load
                .measured_at
                .saturating_duration_since(grant.progressed)
                .min(LOOKAHEAD);
            running += 1;
            held += grant.held() + (lag.as_secs_f64() / gap) as Tokens;
        }
        let deferrable = self.grants.sums[Rank::Deferrable as usize].count;
        self.capacity
            .report(load, running, deferrable, held, &self.terms);
    }

    /// Grants and refuses waiting requests, and ends grants, after time passed or capacity
    /// changed.
    pub fn tick(&mut self, now: Instant) -> Vec<Next> {
        let mut next = std::mem::take(&mut self.displaced);
        while let Some(request) = self.grants.expired(now) {
            if let Some(grant) = self.grants.remove(request) {
                self.end(&grant, grant.made, now);
            }
        }
        while let Some(entry) = self.queue.expire(now) {
            self.give_back(&entry, now);
            next.push(self.refuse(&entry, now));
        }
        self.relieve(now, &mut next);
        self.admit(now, &mut next);
        self.make_room(now, &mut next);
        next
    }

    /// Returns what nodes need to know for their routing.
    pub fn digest(&self, now: Instant) -> Digest {
        let waiting = Rank::ALL.into_iter().map(|rank| self.queue.len(rank));
        let budget = self.capacity.budget(self.grants.len(), now);
        Digest {
            endpoint: self.endpoint,
            running: self.grants.len() as u32 + self.capacity.foreign,
            queued: waiting.sum::<usize>() as u32,
            free: budget.saturating_sub(self.grants.profile().peak()),
            gap: self.capacity.gap(),
        }
    }

    /// Returns the requests of a node that hold a grant.
    pub fn held_by(&self, node: InstanceId) -> Vec<RequestId> {
        let held = self.grants.iter().filter(|(_, grant)| grant.node == node);
        held.map(|(request, _)| request).collect()
    }
}
