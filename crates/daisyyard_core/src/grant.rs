//! Running generations of one engine, with totals by rank and indexes by expiry and lost work.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Instant;

use crate::contract::Rank;
use crate::id::{AccountId, InstanceId, RequestId, Tokens};
use crate::memory::{Estimate, Profile};

/// Minimum estimated output of a generation that may be asked to yield, in tokens. A shorter one
/// ends before its node can stop it.
const MIN_YIELD_OUTPUT: Tokens = 16;

/// Grant of a generation that runs on the engine.
#[derive(Debug, Clone)]
pub(crate) struct Grant {
    /// Node that serves the request.
    pub(crate) node: InstanceId,
    /// Client account of the request.
    pub(crate) account: AccountId,
    /// Rank of the request.
    pub(crate) rank: Rank,
    /// Prompt length in tokens.
    pub(crate) prompt: Tokens,
    /// Prompt tokens that were not cached and must be computed again after a yield.
    pub(crate) uncached_prompt: Tokens,
    /// Output length that the node expects.
    pub(crate) expected: Tokens,
    /// Output tokens generated so far.
    pub(crate) generated: Tokens,
    /// Current estimate of the total output length.
    pub(crate) estimate: Estimate,
    /// Estimated total output length at admission, in tokens.
    pub(crate) initial_estimate: Tokens,
    /// Cost charged to the account in the fair queue.
    pub(crate) charged: Tokens,
    /// Tokens deducted from the rate limit of the account.
    pub(crate) taken: Tokens,
    /// When the generation was granted.
    pub(crate) granted: Instant,
    /// When the node last reported progress.
    pub(crate) progressed: Instant,
    /// When the grant expires unless a progress report renews it.
    pub(crate) expires: Instant,
    /// When the node was asked to yield, if it was.
    pub(crate) yielded: Option<Instant>,
}

impl Grant {
    /// Returns the memory in use, in tokens.
    pub(crate) fn held(&self) -> Tokens {
        self.prompt + self.generated
    }

    /// Returns the memory expected at the end of the generation, in tokens.
    pub(crate) fn reserved(&self) -> Tokens {
        self.prompt + self.estimate.mean().max(self.generated)
    }

    /// Returns the tokens that must be computed again if the generation yields.
    fn lost_work(&self) -> Tokens {
        self.uncached_prompt + self.generated
    }

    /// Returns whether the generation may be asked to yield.
    fn may_yield(&self) -> bool {
        let is_long = self.estimate.total >= MIN_YIELD_OUTPUT;
        self.rank == Rank::Deferrable && self.yielded.is_none() && is_long
    }
}

/// Totals over the generations of one rank.
#[derive(Debug, Default, Clone, Copy)]
pub(crate) struct Sum {
    /// Number of generations.
    pub(crate) count: usize,
    /// Number of generations that have not been asked to yield.
    pub(crate) active: usize,
    /// Memory in use by generations that were asked to yield, in tokens.
    pub(crate) yielding: Tokens,
    /// Sum of the memory that each generation is expected to hold at its end, in tokens.
    pub(crate) reserved: Tokens,
}

/// Running generations of one engine.
#[derive(Debug, Default)]
pub(crate) struct Grants {
    /// Generations by request.
    running: BTreeMap<RequestId, Grant>,
    /// Requests by the expiry of their grant.
    expiry: BTreeSet<(Instant, RequestId)>,
    /// Requests that may be asked to yield, by lost work.
    victims: BTreeSet<(Tokens, RequestId)>,
    /// Expected memory over time by rank.
    pub(crate) profiles: [Profile; 2],
    /// Totals by rank.
    pub(crate) sums: [Sum; 2],
}

impl Grants {
    /// Adds a generation to the totals and indexes.
    pub(crate) fn insert(&mut self, request: RequestId, grant: Grant) {
        self.expiry.insert((grant.expires, request));
        if grant.may_yield() {
            self.victims.insert((grant.lost_work(), request));
        }
        self.profiles[grant.rank as usize].add(grant.held(), grant.generated, &grant.estimate);
        let sum = &mut self.sums[grant.rank as usize];
        sum.count += 1;
        sum.reserved += grant.reserved();
        if grant.yielded.is_none() {
            sum.active += 1;
        } else {
            sum.yielding += grant.held();
        }
        self.running.insert(request, grant);
    }

    /// Removes a generation from the totals and indexes.
    pub(crate) fn remove(&mut self, request: RequestId) -> Option<Grant> {
        let grant = self.running.remove(&request)?;
        self.expiry.remove(&(grant.expires, request));
        self.victims.remove(&(grant.lost_work(), request));
        self.profiles[grant.rank as usize].remove(grant.held(), grant.generated, &grant.estimate);
        let sum = &mut self.sums[grant.rank as usize];
        sum.count -= 1;
        sum.reserved -= grant.reserved();
        if grant.yielded.is_none() {
            sum.active -= 1;
        } else {
            sum.yielding -= grant.held();
        }
        Some(grant)
    }

    /// Changes a generation and updates the totals and indexes.
    pub(crate) fn update(&mut self, request: RequestId, change: impl FnOnce(&mut Grant)) {
        if let Some(mut grant) = self.remove(request) {
            change(&mut grant);
            self.insert(request, grant);
        }
    }

    /// Returns the grant of a request.
    pub(crate) fn get(&self, request: RequestId) -> Option<&Grant> {
        self.running.get(&request)
    }

    /// Returns a request whose grant has expired.
    pub(crate) fn expired(&self, now: Instant) -> Option<RequestId> {
        let (expires, request) = *self.expiry.first()?;
        (expires <= now).then_some(request)
    }

    /// Returns the generation that frees about `need` tokens by yielding, with the least lost work.
    ///
    /// This is the smallest one that suffices, unless it is more than twice as large as necessary
    /// and a smaller one exists. Always preferring many small ones would lose as much work and
    /// stall more callers.
    pub(crate) fn victim(&self, need: Tokens) -> Option<RequestId> {
        let sufficient = self.victims.range((need, 0)..).next();
        let smaller = self.victims.range(..(need, 0)).next_back();
        let (_, request) = match (sufficient, smaller) {
            (Some(sufficient), Some(smaller)) if sufficient.0 > 2 * need => smaller,
            (Some(sufficient), _) => sufficient,
            (None, smaller) => smaller?,
        };
        Some(*request)
    }

    /// Returns all generations, ordered by request identifier.
    pub(crate) fn iter(&self) -> impl Iterator<Item = (RequestId, &Grant)> {
        self.running
            .iter()
            .map(|(request, grant)| (*request, grant))
    }

    /// Returns the expected memory of both ranks over time.
    pub(crate) fn profile(&self) -> Profile {
        let [urgent, deferrable] = &self.profiles;
        urgent.merge(deferrable)
    }

    /// Returns the number of generations.
    pub(crate) fn len(&self) -> usize {
        self.running.len()
    }

    /// Returns the memory in use by generations that were asked to yield, in tokens.
    pub(crate) fn yielding(&self) -> Tokens {
        self.sums.iter().map(|sum| sum.yielding).sum()
    }
}
