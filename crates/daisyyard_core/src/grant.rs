//! The running generations of one engine, with their sums by rank and their orders.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Instant;

use crate::contract::Rank;
use crate::id::{AccountId, InstanceId, RequestId, Tokens};
use crate::memory::{Estimate, Profile};

/// Expected output tokens from which a generation may be told to yield. A shorter one ends before
/// its node could give it up.
const MIN_YIELD_OUTPUT: Tokens = 16;

/// A generation that holds a share of the engine.
#[derive(Debug, Clone)]
pub(crate) struct Grant {
    /// Node that holds the request.
    pub(crate) node: InstanceId,
    /// Client account of the request.
    pub(crate) account: AccountId,
    /// Rank of the request.
    pub(crate) rank: Rank,
    /// Tokens of the prompt.
    pub(crate) prompt: Tokens,
    /// Tokens that the engine repeats if the generation is given up, beside those made.
    pub(crate) uncached_prompt: Tokens,
    /// Output tokens that the node expects.
    pub(crate) expected: Tokens,
    /// Output tokens made.
    pub(crate) made: Tokens,
    /// Output tokens estimated in all.
    pub(crate) estimate: Estimate,
    /// Output tokens estimated at admission.
    pub(crate) initial_estimate: Tokens,
    /// Tokens charged to the account in the fair queue.
    pub(crate) charged: Tokens,
    /// Tokens taken from the account's rate limit.
    pub(crate) taken: Tokens,
    /// When it was granted.
    pub(crate) granted: Instant,
    /// When progress was last reported.
    pub(crate) progressed: Instant,
    /// When the grant ends unless progress renews it.
    pub(crate) expires: Instant,
    /// When the node was told to give it up.
    pub(crate) yielded: Option<Instant>,
}

impl Grant {
    /// Returns the tokens of memory in use.
    pub(crate) fn held(&self) -> Tokens {
        self.prompt + self.made
    }

    /// Returns the tokens of memory expected at the end.
    pub(crate) fn reserved(&self) -> Tokens {
        self.prompt + self.estimate.mean().max(self.made)
    }

    /// Returns the work that is lost if the generation is given up.
    fn lost_work(&self) -> Tokens {
        self.uncached_prompt + self.made
    }

    /// Returns whether the generation may be told to yield.
    fn may_yield(&self) -> bool {
        let is_long = self.estimate.total >= MIN_YIELD_OUTPUT;
        self.rank == Rank::Deferrable && self.yielded.is_none() && is_long
    }
}

/// Sums over the generations of one rank.
#[derive(Debug, Default, Clone, Copy)]
pub(crate) struct Sum {
    /// Number of generations.
    pub(crate) count: usize,
    /// Number of generations that were not told to yield.
    pub(crate) active: usize,
    /// Tokens of memory in use by generations that were told to yield.
    pub(crate) yielding: Tokens,
    /// Tokens of memory expected at the end, each for itself.
    pub(crate) reserved: Tokens,
}

/// The running generations.
#[derive(Debug, Default)]
pub(crate) struct Grants {
    /// Generations by request.
    running: BTreeMap<RequestId, Grant>,
    /// Requests by expiry.
    expiry: BTreeSet<(Instant, RequestId)>,
    /// Requests that may yield, by the work lost.
    victims: BTreeSet<(Tokens, RequestId)>,
    /// Expected memory over time by rank.
    pub(crate) profiles: [Profile; 2],
    /// Sums by rank.
    pub(crate) sums: [Sum; 2],
}

impl Grants {
    /// Adds a generation.
    pub(crate) fn insert(&mut self, request: RequestId, grant: Grant) {
        self.expiry.insert((grant.expires, request));
        if grant.may_yield() {
            self.victims.insert((grant.lost_work(), request));
        }
        self.profiles[grant.rank as usize].add(grant.held(), grant.made, &grant.estimate);
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

    /// Removes a generation.
    pub(crate) fn remove(&mut self, request: RequestId) -> Option<Grant> {
        let grant = self.running.remove(&request)?;
        self.expiry.remove(&(grant.expires, request));
        self.victims.remove(&(grant.lost_work(), request));
        self.profiles[grant.rank as usize].remove(grant.held(), grant.made, &grant.estimate);
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

    /// Changes a generation.
    pub(crate) fn update(&mut self, request: RequestId, change: impl FnOnce(&mut Grant)) {
        if let Some(mut grant) = self.remove(request) {
            change(&mut grant);
            self.insert(request, grant);
        }
    }

    /// Returns a generation.
    pub(crate) fn get(&self, request: RequestId) -> Option<&Grant> {
        self.running.get(&request)
    }

    /// Returns a generation whose grant has ended.
    pub(crate) fn expired(&self, now: Instant) -> Option<RequestId> {
        let (expires, request) = *self.expiry.first()?;
        (expires <= now).then_some(request)
    }

    /// Returns the generation that may yield and frees about `need` tokens with the least work
    /// lost.
    ///
    /// The smallest that suffices goes, unless it is more than twice as large as necessary. Giving
    /// up many small ones instead would lose as much work and stall more callers.
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

    /// Returns all generations in the order of their requests.
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

    /// Returns the memory in use of the generations that were told to yield.
    pub(crate) fn yielding(&self) -> Tokens {
        self.sums.iter().map(|sum| sum.yielding).sum()
    }
}
