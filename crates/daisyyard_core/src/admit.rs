//! How a ledger admits, displaces and refuses: the steps behind its public decisions.

use std::time::{Duration, Instant};

use crate::contract::Rank;
use crate::grant::Grant;
use crate::home;
use crate::id::{AccountId, Tokens};
use crate::ledger::{Answer, Ask, GRANT_LIFETIME, Ledger, Next};
use crate::length::Kind;
use crate::queue::{Entry, Step};

/// Generations that one engine runs at most.
pub(crate) const GRANTS: usize = 4096;
/// Time ahead for which running generations must fit the memory: one progress period plus the
/// time until a node has given up a generation.
pub(crate) const LOOKAHEAD: Duration = Duration::from_secs(2);
/// Part of the first-token target that urgent work waits before deferrable work yields to it.
const YIELD_WAIT: u32 = 4;
/// Computed prompt tokens that cost an account as much as one output token.
const PROMPT_DIVISOR: Tokens = 2;
/// Shortest and longest time after which a refused caller is told to ask again.
const RETRY: (Duration, Duration) = (Duration::from_millis(100), Duration::from_mins(1));

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
    pub(crate) fn estimate(&self, ask: &Ask, made: Tokens, now: Instant) -> Tokens {
        let kind = self.kind(ask.account, ask.rank);
        let quantile = self.capacity.spread.quantile();
        self.lengths.total(kind, made, quantile, ask.expected, now)
    }

    /// Returns the expected time until a new request is granted.
    pub(crate) fn wait(&self, ask: &Ask, total: Tokens, now: Instant) -> Duration {
        let decode = || total as f64 * self.capacity.gap_or_target(now, &self.terms);
        let residence = self.residence.unwrap_or_else(decode);
        // By Little's law one place becomes free each residence time over the running number.
        let turn = residence / self.grants.len().max(1) as f64;
        let other = match ask.rank {
            Rank::Urgent => Rank::Deferrable,
            Rank::Deferrable => Rank::Urgent,
        };
        let own = (self.queue.ahead(ask.rank, ask.account) + 1) as f64;
        let others = self.queue.len(other) as f64;
        let floor = |rank| self.terms.contract(rank).floor;
        let turns = match ask.rank {
            Rank::Urgent if others > 0.0 => own / (1.0 - floor(other)).max(0.1),
            Rank::Urgent => own,
            Rank::Deferrable => (own + others).min(own / floor(ask.rank).max(0.01)),
        };
        Duration::try_from_secs_f64(turn * turns).unwrap_or(Duration::MAX)
    }

    /// Returns whether a rank may be granted while others wait: urgent first, but deferrable work
    /// keeps its floor.
    pub(crate) fn may_pass(&self, rank: Rank, now: Instant) -> bool {
        rank == Rank::Urgent
            || self.queue.len(Rank::Urgent) == 0
            || !self.above_floor(Rank::Deferrable, now)
    }

    /// Returns whether a rank runs more generations than its floor.
    fn above_floor(&self, rank: Rank, now: Instant) -> bool {
        let floor = self.terms.contract(rank).floor * self.capacity.limit(now);
        self.grants.sums[rank as usize].count as f64 >= floor
    }

    /// Returns whether a request fits the engine beside what runs and what is kept for the other
    /// rank.
    pub(crate) fn fits(&self, ask: &Ask, total: Tokens, now: Instant) -> bool {
        let count = self.grants.len();
        if count == 0 && self.capacity.foreign == 0 {
            return true;
        }
        let other = match ask.rank {
            Rank::Urgent => Rank::Deferrable,
            Rank::Deferrable => Rank::Urgent,
        };
        let waits = self.queue.len(other) > 0;
        let [slots, memory] = self.capacity.kept(other, waits, now, &self.terms);
        let theirs = self.grants.sums[other as usize];
        let mut limit = self.capacity.limit(now);
        let mut budget = self.capacity.budget(count + 1, now);
        if self.grants.sums[ask.rank as usize].count > 0 {
            limit -= (slots * limit - theirs.count as f64).max(0.0);
            let kept = (memory * budget as f64) as Tokens;
            budget -= kept.saturating_sub(theirs.reserved).min(budget);
        }
        let peak = || self.grants.profile.peak(ask.prompt, total);
        count < GRANTS && (count + 1) as f64 <= limit && peak() <= budget
    }

    /// Gives a request its share of the engine.
    pub(crate) fn grant(&mut self, ask: &Ask, total: Tokens, taken: Tokens, now: Instant) {
        let charged = fair_cost(fresh(ask), total);
        self.queue.begin(ask.rank, ask.account, charged);
        let grant = Grant {
            node: ask.node,
            account: ask.account,
            rank: ask.rank,
            prompt: ask.prompt,
            fresh: fresh(ask),
            expected: ask.expected,
            made: 0,
            total,
            first: total,
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
        let used = fair_cost(grant.fresh, made);
        self.queue
            .correct(grant.rank, grant.account, grant.charged, used);
        if let Some(bucket) = self.buckets.get_mut(&grant.account) {
            let difference = (grant.fresh + made) as f64 - grant.taken as f64;
            bucket.settle(&self.terms.limit, difference, now);
        }
        self.capacity.end(grant.granted, now, grant.prompt + made);
    }

    /// Puts a request into the queue.
    pub(crate) fn enqueue(&mut self, entry: Entry, now: Instant) -> Answer {
        let refused = entry.clone();
        match self.queue.push(entry) {
            Step::Queued => Answer::Wait,
            Step::Displaced(victim) => {
                self.give_back(&victim, now);
                let next = self.refuse(&victim, now);
                self.displaced.push(next);
                Answer::Wait
            }
            Step::Full => {
                self.give_back(&refused, now);
                let total = self.estimate(&refused.ask, 0, now);
                let wait = self.wait(&refused.ask, total, now);
                let retry_after = retry_after(&refused.ask, wait, Duration::ZERO);
                Answer::Refuse { retry_after }
            }
        }
    }

    /// Returns to the account's rate limit what a request took that does not run.
    pub(crate) fn give_back(&mut self, entry: &Entry, now: Instant) {
        if let Some(bucket) = self.buckets.get_mut(&entry.ask.account) {
            bucket.settle(&self.terms.limit, -(entry.taken as f64), now);
        }
    }

    /// Returns the refusal of a request that waited.
    pub(crate) fn refuse(&self, entry: &Entry, now: Instant) -> Next {
        let total = self.estimate(&entry.ask, 0, now);
        let wait = self.wait(&entry.ask, total, now);
        let patience = entry.expires.saturating_duration_since(entry.since);
        Next::Refuse {
            node: entry.ask.node,
            request: entry.ask.request,
            retry_after: retry_after(&entry.ask, wait, patience),
        }
    }

    /// Tells deferrable generations to yield until the rest fits the memory for the near future.
    pub(crate) fn relieve(&mut self, now: Instant, next: &mut Vec<Next>) {
        let gap = self.capacity.gap_or_target(now, &self.terms);
        let growth = (LOOKAHEAD.as_secs_f64() / gap) as Tokens;
        loop {
            let (count, held) = self.grants.active();
            let soon = self.capacity.foreign_held + held + count as u64 * growth;
            if soon <= self.capacity.memory || !self.yield_one(now, next) {
                return;
            }
        }
    }

    /// Tells one deferrable generation to yield if urgent work below its floor has waited long.
    pub(crate) fn make_room(&mut self, now: Instant, next: &mut Vec<Next>) {
        let Some(head) = self.queue.peek(Rank::Urgent) else {
            return;
        };
        let waited = now.saturating_duration_since(head.since);
        let sum = self.grants.sums[Rank::Deferrable as usize];
        let yielding = sum.count - sum.active;
        if waited >= self.terms.urgent.first_token / YIELD_WAIT
            && yielding < self.queue.len(Rank::Urgent)
            && !self.above_floor(Rank::Urgent, now)
            && self.above_floor(Rank::Deferrable, now)
        {
            self.yield_one(now, next);
        }
    }

    /// Tells the deferrable generation that loses the least work to yield.
    fn yield_one(&mut self, now: Instant, next: &mut Vec<Next>) -> bool {
        let Some(request) = self.grants.victim() else {
            return false;
        };
        self.grants.update(request, |grant| {
            grant.yielded = Some(now);
            let node = grant.node;
            next.push(Next::Yield { node, request });
        });
        true
    }

    /// Grants waiting requests while they fit.
    pub(crate) fn admit(&mut self, now: Instant, next: &mut Vec<Next>) {
        while let Some(rank) = Rank::ALL.into_iter().find(|rank| self.ready(*rank, now)) {
            let Some(entry) = self.queue.pop(rank) else {
                return;
            };
            let total = self.estimate(&entry.ask, 0, now);
            self.grant(&entry.ask, total, entry.taken, now);
            next.push(Next::Grant {
                node: entry.ask.node,
                request: entry.ask.request,
            });
        }
    }

    /// Returns whether the next request of a rank can be granted.
    fn ready(&self, rank: Rank, now: Instant) -> bool {
        let fits = |entry: &Entry| {
            let total = self.estimate(&entry.ask, 0, now);
            self.fits(&entry.ask, total, now)
        };
        self.may_pass(rank, now) && self.queue.peek(rank).is_some_and(fits)
    }
}

/// Returns the prompt tokens that the engine has to compute.
pub(crate) fn fresh(ask: &Ask) -> Tokens {
    ask.prompt.saturating_sub(ask.cached)
}

/// Returns what a generation costs its account in the fair queue.
pub(crate) fn fair_cost(fresh: Tokens, made: Tokens) -> Tokens {
    fresh / PROMPT_DIVISOR + made
}

/// Returns when a refused request may ask again: when the queue has shrunk enough, spread over
/// half as much again so that refused callers do not return together.
pub(crate) fn retry_after(ask: &Ask, wait: Duration, patience: Duration) -> Duration {
    let least = wait.saturating_sub(patience).clamp(RETRY.0, RETRY.1);
    let spread = home::weight(ask.request, ask.node) % 512;
    least + least * spread as u32 / 1024
}
