//! Admission control of a ledger: estimates, capacity checks, queueing and preemption.

use std::time::{Duration, Instant};

use crate::contract::Rank;
use crate::grant::Grant;
use crate::home;
use crate::id::{AccountId, RequestId, Tokens};
use crate::ledger::{Action, Answer, GRANT_LIFETIME, Ledger, Request};
use crate::length::Kind;
use crate::memory::{Estimate, Profile};
use crate::queue::{Entry, Step};

/// Maximum number of generations that one engine runs.
pub(crate) const MAX_GRANTS: usize = 4096;
/// Interval between two progress reports of a generation.
const PROGRESS_PERIOD: Duration = Duration::from_secs(1);
/// Time ahead for which the running generations must fit in memory: one progress period plus the
/// time that a node takes to stop a generation.
pub(crate) const MEMORY_LOOKAHEAD: Duration = Duration::from_secs(2);
/// Divisor of the first-token target that gives the time urgent work waits before deferrable work
/// yields to it.
const YIELD_WAIT_DIVISOR: u32 = 2;
/// Uncached prompt tokens that cost an account as much as one output token.
const PROMPT_COST_DIVISOR: Tokens = 2;
/// Shortest and longest delay after which a refused caller is asked to retry.
const RETRY_AFTER_BOUNDS: (Duration, Duration) =
    (Duration::from_millis(100), Duration::from_mins(1));

impl Ledger {
    /// Returns the estimator key for a generation of this engine's service.
    pub(crate) fn kind(&self, account: AccountId, rank: Rank) -> Kind {
        Kind {
            service: self.terms.service,
            rank,
            account,
        }
    }

    /// Returns the estimated total output length of a request.
    pub(crate) fn estimate(&self, request: &Request, generated: Tokens, now: Instant) -> Estimate {
        let kind = self.kind(request.account, request.rank);
        self.estimate_output(kind, generated, request.expected, now)
    }

    /// Returns the estimated total output length of a generation of the given kind.
    pub(crate) fn estimate_output(
        &self,
        kind: Kind,
        generated: Tokens,
        expected: Tokens,
        now: Instant,
    ) -> Estimate {
        let quantiles = self.capacity.calibration.quantiles();
        let [total, scenarios @ ..] = self
            .lengths
            .totals(kind, generated, quantiles, expected, now);
        Estimate { total, scenarios }
    }

    /// Returns the expected time until a new request is granted.
    pub(crate) fn expected_wait(&self, request: &Request, total: Tokens, now: Instant) -> Duration {
        let decode = || total as f64 * self.capacity.gap_or_target_secs(now, &self.terms);
        let residence_secs = self.mean_residence_secs.unwrap_or_else(decode);
        // By Little's law, a slot becomes free every residence time / running generations.
        let running = self.grants.len() + self.capacity.foreign as usize;
        let slot_interval = residence_secs / running.max(1) as f64;
        let other = match request.rank {
            Rank::Urgent => Rank::Deferrable,
            Rank::Deferrable => Rank::Urgent,
        };
        let position = (self.queue.ahead(request.rank, request.account) + 1) as f64;
        let other_waiting = self.queue.len(other) as f64;
        let floor = |rank| self.terms.contract(rank).floor;
        let max_wait = match request.rank {
            Rank::Urgent if self.outranks_deferrable(now) => {
                self.terms.urgent.first_token / YIELD_WAIT_DIVISOR
            }
            _ => Duration::MAX,
        };
        let intervals = match request.rank {
            Rank::Urgent if other_waiting > 0.0 => position / (1.0 - floor(other)).max(0.1),
            Rank::Urgent => position,
            Rank::Deferrable => {
                (position + other_waiting).min(position / floor(request.rank).max(0.01))
            }
        };
        let wait = Duration::try_from_secs_f64(slot_interval * intervals);
        wait.unwrap_or(Duration::MAX).min(max_wait)
    }

    /// Returns whether a rank may be granted now: urgent work goes first, but deferrable work below
    /// its floor does not wait for it.
    pub(crate) fn may_grant(&self, rank: Rank, now: Instant) -> bool {
        rank == Rank::Urgent
            || self.queue.len(Rank::Urgent) == 0
            || !self.above_floor(Rank::Deferrable, now)
    }

    /// Returns whether deferrable work must yield to waiting urgent work, which is the case when
    /// urgent work is below its floor and deferrable work is not below its own.
    fn outranks_deferrable(&self, now: Instant) -> bool {
        !self.above_floor(Rank::Urgent, now) && self.above_floor(Rank::Deferrable, now)
    }

    /// Returns whether a rank holds its floor share of the slots or of the memory.
    fn above_floor(&self, rank: Rank, now: Instant) -> bool {
        let floor = self.terms.contract(rank).floor;
        let sum = self.grants.sums[rank as usize];
        let budget = self.capacity.budget(self.grants.len(), now) as f64;
        sum.count as f64 >= floor * self.capacity.limit(now)
            || sum.reserved as f64 >= floor * budget
    }

    /// Returns whether the engine has room for a request beside the running generations and the
    /// capacity reserved for the other rank.
    pub(crate) fn fits(&self, request: &Request, estimate: &Estimate, now: Instant) -> bool {
        let count = self.grants.len();
        if count == 0 && self.capacity.foreign == 0 {
            return true;
        }
        let other = match request.rank {
            Rank::Urgent => Rank::Deferrable,
            Rank::Deferrable => Rank::Urgent,
        };
        let other_waits = self.queue.len(other) > 0;
        let [slots, memory] = self
            .capacity
            .reserved_shares(other, other_waits, now, &self.terms);
        let other_sum = self.grants.sums[other as usize];
        let deferrable = self.grants.sums[Rank::Deferrable as usize].count as f64;
        if request.rank == Rank::Deferrable && deferrable + 1.0 > self.capacity.deferrable_limit() {
            return false;
        }
        let mut limit = self.capacity.limit(now);
        let mut budget = self.capacity.budget(count + 1, now);
        if self.grants.sums[request.rank as usize].count > 0 {
            limit -= (slots * limit - other_sum.count as f64).max(0.0);
            let reserved = (memory * budget as f64) as Tokens;
            budget -= reserved.saturating_sub(other_sum.reserved).min(budget);
        }
        count < MAX_GRANTS
            && (count + 1) as f64 <= limit
            && self.leaves_reserve(request, estimate, [limit, budget as f64], now)
            && self.fits_memory(request, estimate, budget, now)
    }

    /// Returns whether a request leaves the reserve for accounts below their fair share untouched.
    ///
    /// Without the reserve, urgent work of one large account can fill an engine, and none of it may
    /// end within the first-token target of a small account. Deferrable work is exempt because it
    /// yields to urgent work.
    fn leaves_reserve(
        &self,
        request: &Request,
        estimate: &Estimate,
        room: [f64; 2],
        now: Instant,
    ) -> bool {
        if request.rank == Rank::Deferrable || !self.shares.exceeds_share(request.account, now) {
            return true;
        }
        let share = self.shares.limit(request.account, now);
        let [slots, memory] = room.map(|room| room * share);
        let urgent = &self.grants.profiles[Rank::Urgent as usize];
        (self.grants.sums[Rank::Urgent as usize].count + 1) as f64 <= slots
            && urgent.with(request.prompt, estimate).peak() as f64 <= memory
    }

    /// Returns whether the memory has room for a request.
    ///
    /// Urgent work below its floor must fit beside the other urgent work up to its peak, but beside
    /// deferrable work only for the near future, because deferrable work yields when memory runs
    /// short later.
    fn fits_memory(
        &self,
        request: &Request,
        estimate: &Estimate,
        budget: Tokens,
        now: Instant,
    ) -> bool {
        let [urgent, deferrable] = &self.grants.profiles;
        if request.rank == Rank::Urgent && !self.above_floor(Rank::Urgent, now) {
            let urgent = urgent.with(request.prompt, estimate);
            let near_peak = self.near_peak(&urgent.merge(deferrable), now);
            return urgent.peak() <= budget && near_peak <= self.capacity.memory;
        }
        let all = urgent.merge(deferrable).with(request.prompt, estimate);
        all.peak() <= budget
    }

    /// Returns the peak memory that the given generations and foreign requests need within
    /// [`MEMORY_LOOKAHEAD`].
    fn near_peak(&self, profile: &Profile, now: Instant) -> Tokens {
        let gap = self.capacity.gap_or_target_secs(now, &self.terms);
        let growth = |time: Duration| (time.as_secs_f64() / gap) as Tokens;
        // Progress reports are up to one period old; few generations end in that time.
        let known = profile.peak_within(0) + profile.count() * growth(PROGRESS_PERIOD);
        let expected = profile.peak_within(growth(MEMORY_LOOKAHEAD));
        known.max(expected) + self.capacity.foreign_held
    }

    /// Adds a grant for a request and charges its account.
    pub(crate) fn grant(
        &mut self,
        request: &Request,
        estimate: Estimate,
        taken: Tokens,
        now: Instant,
    ) {
        let charged = fair_cost(uncached_prompt(request), estimate.total);
        self.queue.charge(request.rank, request.account, charged);
        let grant = Grant {
            node: request.node,
            account: request.account,
            rank: request.rank,
            prompt: request.prompt,
            uncached_prompt: uncached_prompt(request),
            expected: request.expected,
            generated: 0,
            estimate,
            initial_estimate: estimate.total,
            charged,
            taken,
            granted: now,
            progressed: now,
            expires: now + GRANT_LIFETIME,
            yielded: None,
        };
        self.grants.insert(request.id, grant);
    }

    /// Corrects the charges of a generation that ended to the tokens that it used.
    pub(crate) fn end(&mut self, grant: &Grant, generated: Tokens, now: Instant) {
        let used = fair_cost(grant.uncached_prompt, generated);
        self.queue
            .settle(grant.rank, grant.account, grant.charged, used);
        if let Some(bucket) = self.buckets.get_mut(&grant.account) {
            let difference = (grant.uncached_prompt + generated) as f64 - grant.taken as f64;
            bucket.settle(&self.terms.limit, difference, now);
        }
        self.capacity
            .record_end(grant.granted, now, grant.prompt + generated);
    }

    /// Queues a request, and refuses it or the request that it displaces if the queue is full.
    pub(crate) fn enqueue(&mut self, entry: Entry, now: Instant) -> Answer {
        let refused = entry.clone();
        match self.queue.push(entry) {
            Step::Queued => Answer::Wait,
            Step::Displaced(victim) => {
                self.refund(&victim, now);
                let action = self.refuse(&victim, now);
                self.displaced.push(action);
                Answer::Wait
            }
            Step::Full => {
                self.refund(&refused, now);
                let total = self.estimate(&refused.request, 0, now).total;
                let wait = self.expected_wait(&refused.request, total, now);
                let retry_after = retry_after(&refused.request, wait, Duration::ZERO);
                Answer::Refuse { retry_after }
            }
        }
    }

    /// Refunds the rate limit tokens of a queued request that will not run.
    pub(crate) fn refund(&mut self, entry: &Entry, now: Instant) {
        if let Some(bucket) = self.buckets.get_mut(&entry.request.account) {
            bucket.settle(&self.terms.limit, -(entry.taken as f64), now);
        }
    }

    /// Returns the refusal of a queued request.
    pub(crate) fn refuse(&self, entry: &Entry, now: Instant) -> Action {
        let total = self.estimate(&entry.request, 0, now).total;
        let wait = self.expected_wait(&entry.request, total, now);
        let waited = entry.expires.saturating_duration_since(entry.since);
        Action::Refuse {
            node: entry.request.node,
            request: entry.request.id,
            retry_after: retry_after(&entry.request, wait, waited),
        }
    }

    /// Asks deferrable generations to yield until the others fit in memory for the near future.
    pub(crate) fn yield_for_memory(&mut self, now: Instant, actions: &mut Vec<Action>) {
        loop {
            let near_peak = self.near_peak(&self.grants.profile(), now);
            let reserved = near_peak.saturating_sub(self.grants.yielding());
            let excess = reserved.saturating_sub(self.capacity.memory);
            if excess == 0 || !self.yield_one(excess, now, actions) {
                return;
            }
        }
    }

    /// Asks one deferrable generation to yield if urgent work is below its floor and its next
    /// request has waited for the part of its target given by [`YIELD_WAIT_DIVISOR`].
    pub(crate) fn yield_for_urgent(&mut self, now: Instant, actions: &mut Vec<Action>) {
        let Some(head) = self.queue.peek(Rank::Urgent) else {
            return;
        };
        let waited = now.saturating_duration_since(head.since);
        let sum = self.grants.sums[Rank::Deferrable as usize];
        let yielding = sum.count - sum.active;
        if waited >= self.terms.urgent.first_token / YIELD_WAIT_DIVISOR
            && head.target > now
            && yielding < self.queue.len(Rank::Urgent)
            && self.outranks_deferrable(now)
        {
            self.yield_one(0, now, actions);
        }
    }

    /// Asks one deferrable generation that frees about `need` tokens to yield, with the least loss
    /// of work; returns whether there was one.
    fn yield_one(&mut self, need: Tokens, now: Instant, actions: &mut Vec<Action>) -> bool {
        let Some(request) = self.grants.victim(need) else {
            return false;
        };
        self.grants.update(request, |grant| {
            grant.yielded = Some(now);
            let node = grant.node;
            actions.push(Action::Yield { node, request });
        });
        true
    }

    /// Returns whether a new request may be granted ahead of those that wait.
    ///
    /// Waiting urgent work of accounts that exceed their share may be blocked by the reserve alone,
    /// so it does not block requests that may use the reserve.
    pub(crate) fn skips_queue(&self, request: &Request, now: Instant) -> bool {
        let exceeds = |account| self.shares.exceeds_share(account, now);
        self.queue.len(request.rank) == 0
            || request.rank == Rank::Urgent
                && !exceeds(request.account)
                && self
                    .queue
                    .heads(request.rank)
                    .all(|head| exceeds(head.request.account))
    }

    /// Grants waiting requests while the engine has room for them.
    pub(crate) fn admit(&mut self, now: Instant, actions: &mut Vec<Action>) {
        loop {
            let ready = Rank::ALL
                .into_iter()
                .find_map(|rank| self.next_ready(rank, now));
            let Some(entry) = ready.and_then(|request| self.queue.remove(request)) else {
                return;
            };
            let estimate = self.estimate(&entry.request, 0, now);
            self.grant(&entry.request, estimate, entry.taken, now);
            actions.push(Action::Grant {
                node: entry.request.node,
                request: entry.request.id,
            });
        }
    }

    /// Returns the request of a rank that can be granted next: the first in the queue, or the first
    /// of an account within its share if the first is blocked and its account exceeds its share.
    fn next_ready(&self, rank: Rank, now: Instant) -> Option<RequestId> {
        if !self.may_grant(rank, now) {
            return None;
        }
        let fits = |entry: &&Entry| {
            let estimate = self.estimate(&entry.request, 0, now);
            self.fits(&entry.request, &estimate, now)
        };
        let exceeds = |entry: &Entry| self.shares.exceeds_share(entry.request.account, now);
        let first = self.queue.peek(rank)?;
        let ready = if fits(&first) {
            Some(first)
        } else if rank == Rank::Urgent && exceeds(first) {
            let mut heads = self.queue.heads(rank);
            heads.find(|entry| !exceeds(entry)).filter(fits)
        } else {
            None
        };
        ready.map(|entry| entry.request.id)
    }
}

/// Returns the prompt tokens that are not cached, which the engine has to compute.
pub(crate) fn uncached_prompt(request: &Request) -> Tokens {
    request.prompt.saturating_sub(request.cached)
}

/// Returns the cost of a generation to its account in the fair queue, in output tokens.
pub(crate) fn fair_cost(uncached_prompt: Tokens, generated: Tokens) -> Tokens {
    uncached_prompt / PROMPT_COST_DIVISOR + generated
}

/// Returns the delay after which a refused request may retry: the time until the queue is short
/// enough, with up to 50 % of jitter so that refused callers do not return at the same time.
pub(crate) fn retry_after(request: &Request, wait: Duration, waited: Duration) -> Duration {
    let shortest = wait
        .saturating_sub(waited)
        .clamp(RETRY_AFTER_BOUNDS.0, RETRY_AFTER_BOUNDS.1);
    let jitter = home::weight(request.id, request.node) % 512;
    shortest + shortest * jitter as u32 / 1024
}
