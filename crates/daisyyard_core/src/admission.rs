//! How a ledger admits, displaces and refuses: the steps behind its public decisions.

use std::time::{Duration, Instant};

use crate::contract::Rank;
use crate::grant::Grant;
use crate::home;
use crate::id::{AccountId, RequestId, Tokens};
use crate::ledger::{Answer, Ask, GRANT_LIFETIME, Ledger, Next};
use crate::length::Kind;
use crate::memory::{Estimate, Profile};
use crate::queue::{Entry, Step};

/// Generations that one engine runs at most.
pub(crate) const MAX_GRANTS: usize = 4096;
/// Time between two progress reports of a generation.
const PROGRESS_PERIOD: Duration = Duration::from_secs(1);
/// Time ahead for which running generations must fit the memory: one progress period plus the
/// time until a node has given up a generation.
pub(crate) const MEMORY_LOOKAHEAD: Duration = Duration::from_secs(2);
/// Part of the first-token target that urgent work waits before deferrable work yields to it.
const YIELD_WAIT_DIVISOR: u32 = 2;
/// Computed prompt tokens that cost an account as much as one output token.
const PROMPT_COST_DIVISOR: Tokens = 2;
/// Shortest and longest time after which a refused caller is told to ask again.
const RETRY_AFTER_BOUNDS: (Duration, Duration) =
    (Duration::from_millis(100), Duration::from_mins(1));

impl Ledger {
    /// Returns the kind of a generation at this engine.
    pub(crate) fn kind(&self, account: AccountId, rank: Rank) -> Kind {
        Kind {
            service: self.terms.service,
            rank,
            account,
        }
    }

    /// Returns the output tokens that a request is estimated to make in all.
    pub(crate) fn estimate(&self, ask: &Ask, made: Tokens, now: Instant) -> Estimate {
        let kind = self.kind(ask.account, ask.rank);
        self.estimate_kind(kind, made, ask.expected, now)
    }

    /// Returns the output tokens that a generation is estimated to make in all.
    pub(crate) fn estimate_kind(
        &self,
        kind: Kind,
        made: Tokens,
        expected: Tokens,
        now: Instant,
    ) -> Estimate {
        let quantiles = self.capacity.calibration.quantiles();
        let [total, scenarios @ ..] = self.lengths.totals(kind, made, quantiles, expected, now);
        Estimate { total, scenarios }
    }

    /// Returns the expected time until a new request is granted.
    pub(crate) fn expected_wait(&self, ask: &Ask, total: Tokens, now: Instant) -> Duration {
        let decode = || total as f64 * self.capacity.gap_or_target(now, &self.terms);
        let residence_secs = self.mean_residence_secs.unwrap_or_else(decode);
        // By Little's law one place becomes free each residence time over the running number.
        let running = self.grants.len() + self.capacity.foreign as usize;
        let slot_interval = residence_secs / running.max(1) as f64;
        let other = match ask.rank {
            Rank::Urgent => Rank::Deferrable,
            Rank::Deferrable => Rank::Urgent,
        };
        let own = (self.queue.ahead(ask.rank, ask.account) + 1) as f64;
        let others = self.queue.len(other) as f64;
        let floor = |rank| self.terms.contract(rank).floor;
        let max_wait = match ask.rank {
            Rank::Urgent if self.outranks_deferrable(now) => {
                self.terms.urgent.first_token / YIELD_WAIT_DIVISOR
            }
            _ => Duration::MAX,
        };
        let intervals = match ask.rank {
            Rank::Urgent if others > 0.0 => own / (1.0 - floor(other)).max(0.1),
            Rank::Urgent => own,
            Rank::Deferrable => (own + others).min(own / floor(ask.rank).max(0.01)),
        };
        let wait = Duration::try_from_secs_f64(slot_interval * intervals);
        wait.unwrap_or(Duration::MAX).min(max_wait)
    }

    /// Returns whether a rank may be granted while others wait: urgent first, but deferrable work
    /// keeps its floor.
    pub(crate) fn may_grant(&self, rank: Rank, now: Instant) -> bool {
        rank == Rank::Urgent
            || self.queue.len(Rank::Urgent) == 0
            || !self.above_floor(Rank::Deferrable, now)
    }

    /// Returns whether deferrable work yields to urgent work that waits, because urgent work has
    /// less than its floor and deferrable work has more than its own.
    fn outranks_deferrable(&self, now: Instant) -> bool {
        !self.above_floor(Rank::Urgent, now) && self.above_floor(Rank::Deferrable, now)
    }

    /// Returns whether a rank has its floor share of the places or of the memory.
    fn above_floor(&self, rank: Rank, now: Instant) -> bool {
        let floor = self.terms.contract(rank).floor;
        let sum = self.grants.sums[rank as usize];
        let budget = self.capacity.budget(self.grants.len(), now) as f64;
        sum.count as f64 >= floor * self.capacity.limit(now)
            || sum.reserved as f64 >= floor * budget
    }

    /// Returns whether a request fits the engine beside what runs and what is kept for the other
    /// rank.
    pub(crate) fn fits(&self, ask: &Ask, estimate: &Estimate, now: Instant) -> bool {
        let count = self.grants.len();
        if count == 0 && self.capacity.foreign == 0 {
            return true;
        }
        let other = match ask.rank {
            Rank::Urgent => Rank::Deferrable,
            Rank::Deferrable => Rank::Urgent,
        };
        let other_waits = self.queue.len(other) > 0;
        let [slots, memory] = self
            .capacity
            .reserved_shares(other, other_waits, now, &self.terms);
        let other_sum = self.grants.sums[other as usize];
        let deferrable = self.grants.sums[Rank::Deferrable as usize].count as f64;
        if ask.rank == Rank::Deferrable && deferrable + 1.0 > self.capacity.deferrable_limit() {
            return false;
        }
        let mut limit = self.capacity.limit(now);
        let mut budget = self.capacity.budget(count + 1, now);
        if self.grants.sums[ask.rank as usize].count > 0 {
            limit -= (slots * limit - other_sum.count as f64).max(0.0);
            let reserved = (memory * budget as f64) as Tokens;
            budget -= reserved.saturating_sub(other_sum.reserved).min(budget);
        }
        count < MAX_GRANTS
            && (count + 1) as f64 <= limit
            && self.leaves_reserve(ask, estimate, [limit, budget as f64], now)
            && self.fits_memory(ask, estimate, budget, now)
    }

    /// Returns whether a request leaves the reserve for accounts below their share.
    ///
    /// Without it, an engine can be full of one large account's urgent work, none of which ends
    /// within the first-token target of a small account. Deferrable work does not count, because
    /// it yields to urgent work.
    fn leaves_reserve(&self, ask: &Ask, estimate: &Estimate, room: [f64; 2], now: Instant) -> bool {
        if ask.rank == Rank::Deferrable || !self.shares.exceeds_share(ask.account, now) {
            return true;
        }
        let share = self.shares.limit(ask.account, now);
        let [slots, memory] = room.map(|room| room * share);
        let urgent = &self.grants.profiles[Rank::Urgent as usize];
        (self.grants.sums[Rank::Urgent as usize].count + 1) as f64 <= slots
            && urgent.with(ask.prompt, estimate).peak() as f64 <= memory
    }

    /// Returns whether a request fits the memory.
    ///
    /// Urgent work below its floor needs room beside other urgent work, and beside all work for
    /// the near future only: deferrable work yields if it needs the memory later.
    fn fits_memory(&self, ask: &Ask, estimate: &Estimate, budget: Tokens, now: Instant) -> bool {
        let [urgent, deferrable] = &self.grants.profiles;
        if ask.rank == Rank::Urgent && !self.above_floor(Rank::Urgent, now) {
            let urgent = urgent.with(ask.prompt, estimate);
            let near_peak = self.near_peak(&urgent.merge(deferrable), now);
            return urgent.peak() <= budget && near_peak <= self.capacity.memory;
        }
        let all = urgent.merge(deferrable).with(ask.prompt, estimate);
        all.peak() <= budget
    }

    /// Returns the memory that the engine needs in the near future with the given generations.
    fn near_peak(&self, profile: &Profile, now: Instant) -> Tokens {
        let gap = self.capacity.gap_or_target(now, &self.terms);
        let growth = |time: Duration| (time.as_secs_f64() / gap) as Tokens;
        // Progress is known up to one period late, and generations that ended since are few.
        let known = profile.peak_within(0) + profile.count() * growth(PROGRESS_PERIOD);
        let expected = profile.peak_within(growth(MEMORY_LOOKAHEAD));
        known.max(expected) + self.capacity.foreign_held
    }

    /// Gives a request its share of the engine.
    pub(crate) fn grant(&mut self, ask: &Ask, estimate: Estimate, taken: Tokens, now: Instant) {
        let charged = fair_cost(uncached_prompt(ask), estimate.total);
        self.queue.charge(ask.rank, ask.account, charged);
        let grant = Grant {
            node: ask.node,
            account: ask.account,
            rank: ask.rank,
            prompt: ask.prompt,
            uncached_prompt: uncached_prompt(ask),
            expected: ask.expected,
            made: 0,
            estimate,
            initial_estimate: estimate.total,
            charged,
            taken,
            granted: now,
            progressed: now,
            expires: now + GRANT_LIFETIME,
            yielded: None,
        };
        self.grants.insert(ask.request, grant);
    }

    /// Settles the account of a generation that ended.
    pub(crate) fn end(&mut self, grant: &Grant, made: Tokens, now: Instant) {
        let used = fair_cost(grant.uncached_prompt, made);
        self.queue
            .settle(grant.rank, grant.account, grant.charged, used);
        if let Some(bucket) = self.buckets.get_mut(&grant.account) {
            let difference = (grant.uncached_prompt + made) as f64 - grant.taken as f64;
            bucket.settle(&self.terms.limit, difference, now);
        }
        self.capacity
            .record_end(grant.granted, now, grant.prompt + made);
    }

    /// Puts a request into the queue.
    pub(crate) fn enqueue(&mut self, entry: Entry, now: Instant) -> Answer {
        let refused = entry.clone();
        match self.queue.push(entry) {
            Step::Queued => Answer::Wait,
            Step::Displaced(victim) => {
                self.refund(&victim, now);
                let next = self.refuse(&victim, now);
                self.displaced.push(next);
                Answer::Wait
            }
            Step::Full => {
                self.refund(&refused, now);
                let total = self.estimate(&refused.ask, 0, now).total;
                let wait = self.expected_wait(&refused.ask, total, now);
                let retry_after = retry_after(&refused.ask, wait, Duration::ZERO);
                Answer::Refuse { retry_after }
            }
        }
    }

    /// Returns to the account's rate limit what a request took that does not run.
    pub(crate) fn refund(&mut self, entry: &Entry, now: Instant) {
        if let Some(bucket) = self.buckets.get_mut(&entry.ask.account) {
            bucket.settle(&self.terms.limit, -(entry.taken as f64), now);
        }
    }

    /// Returns the refusal of a request that waited.
    pub(crate) fn refuse(&self, entry: &Entry, now: Instant) -> Next {
        let total = self.estimate(&entry.ask, 0, now).total;
        let wait = self.expected_wait(&entry.ask, total, now);
        let waited = entry.expires.saturating_duration_since(entry.since);
        Next::Refuse {
            node: entry.ask.node,
            request: entry.ask.request,
            retry_after: retry_after(&entry.ask, wait, waited),
        }
    }

    /// Tells deferrable generations to yield until the rest fits the memory for the near future.
    pub(crate) fn yield_for_memory(&mut self, now: Instant, next: &mut Vec<Next>) {
        loop {
            let near_peak = self.near_peak(&self.grants.profile(), now);
            let reserved = near_peak.saturating_sub(self.grants.yielding());
            let excess = reserved.saturating_sub(self.capacity.memory);
            if excess == 0 || !self.yield_one(excess, now, next) {
                return;
            }
        }
    }

    /// Tells one deferrable generation to yield if urgent work below its floor has waited long.
    pub(crate) fn yield_for_urgent(&mut self, now: Instant, next: &mut Vec<Next>) {
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
            self.yield_one(0, now, next);
        }
    }

    /// Tells the deferrable generation to yield that frees about `need` tokens with the least
    /// work lost.
    fn yield_one(&mut self, need: Tokens, now: Instant, next: &mut Vec<Next>) -> bool {
        let Some(request) = self.grants.victim(need) else {
            return false;
        };
        self.grants.update(request, |grant| {
            grant.yielded = Some(now);
            let node = grant.node;
            next.push(Next::Yield { node, request });
        });
        true
    }

    /// Returns whether a new request goes before those that wait.
    ///
    /// Urgent work of accounts that exceed their share may wait for the room that it must leave
    /// to others, so that it does not hold up the others.
    pub(crate) fn skips_queue(&self, ask: &Ask, now: Instant) -> bool {
        let exceeds = |account| self.shares.exceeds_share(account, now);
        self.queue.len(ask.rank) == 0
            || ask.rank == Rank::Urgent
                && !exceeds(ask.account)
                && self
                    .queue
                    .heads(ask.rank)
                    .all(|head| exceeds(head.ask.account))
    }

    /// Grants waiting requests while they fit.
    pub(crate) fn admit(&mut self, now: Instant, next: &mut Vec<Next>) {
        loop {
            let ready = Rank::ALL
                .into_iter()
                .find_map(|rank| self.next_ready(rank, now));
            let Some(entry) = ready.and_then(|request| self.queue.remove(request)) else {
                return;
            };
            let estimate = self.estimate(&entry.ask, 0, now);
            self.grant(&entry.ask, estimate, entry.taken, now);
            next.push(Next::Grant {
                node: entry.ask.node,
                request: entry.ask.request,
            });
        }
    }

    /// Returns the request of a rank that can be granted next: the first one, or if its account
    /// exceeds its share, the first one of another account.
    fn next_ready(&self, rank: Rank, now: Instant) -> Option<RequestId> {
        if !self.may_grant(rank, now) {
            return None;
        }
        let fits = |entry: &&Entry| {
            let estimate = self.estimate(&entry.ask, 0, now);
            self.fits(&entry.ask, &estimate, now)
        };
        let exceeds = |entry: &Entry| self.shares.exceeds_share(entry.ask.account, now);
        let first = self.queue.peek(rank)?;
        let ready = if fits(&first) {
            Some(first)
        } else if rank == Rank::Urgent && exceeds(first) {
            let mut heads = self.queue.heads(rank);
            heads.find(|entry| !exceeds(entry)).filter(fits)
        } else {
            None
        };
        ready.map(|entry| entry.ask.request)
    }
}

/// Returns the prompt tokens that the engine has to compute.
pub(crate) fn uncached_prompt(ask: &Ask) -> Tokens {
    ask.prompt.saturating_sub(ask.cached)
}

/// Returns what a generation costs its account in the fair queue.
pub(crate) fn fair_cost(uncached_prompt: Tokens, made: Tokens) -> Tokens {
    uncached_prompt / PROMPT_COST_DIVISOR + made
}

/// Returns when a refused request may ask again: when the queue has shrunk enough, spread over
/// half as much again so that refused callers do not return together.
pub(crate) fn retry_after(ask: &Ask, wait: Duration, waited: Duration) -> Duration {
    let shortest = wait
        .saturating_sub(waited)
        .clamp(RETRY_AFTER_BOUNDS.0, RETRY_AFTER_BOUNDS.1);
    let jitter = home::weight(ask.request, ask.node) % 512;
    shortest + shortest * jitter as u32 / 1024
}
