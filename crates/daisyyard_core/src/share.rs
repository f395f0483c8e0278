//! Recent demand for one engine by account, and the room kept for accounts below their share.

use std::collections::BTreeMap;
use std::time::{Duration, Instant};

use crate::id::{AccountId, Tokens};

/// Time in which the weight of a request halves.
const HALF_LIFE_SECS: f64 = 30.0;
/// Time after its last request for which an account counts as active.
const ACTIVE_PERIOD: Duration = Duration::from_mins(1);
/// Time between two removals of inactive accounts.
const PRUNE_PERIOD: Duration = Duration::from_secs(1);
/// Active accounts that are remembered; further ones count as below their share.
const MAX_ACCOUNTS: usize = 2048;
/// Multiple of an equal share above which an account leaves the reserve to others. With one or
/// two active accounts none can exceed it, so that nothing is kept free then.
const EXCESS_FACTOR: f64 = 2.0;
/// Share of the engine that these accounts leave to others. Twice as much lowers the urgent
/// targets met in the floods and the goodput without need.
const RESERVED_SHARE: f64 = 0.05;

/// Demand of one account.
#[derive(Debug)]
struct Demand {
    /// Tokens, decayed up to the last request.
    tokens: f64,
    /// When the account last asked.
    asked: Instant,
}

/// Recent demand by account.
#[derive(Debug)]
pub(crate) struct Shares {
    /// Active accounts.
    accounts: BTreeMap<AccountId, Demand>,
    /// Sum over all accounts.
    total: Demand,
    /// When inactive accounts were last removed.
    pruned: Instant,
}

impl Demand {
    /// Creates the demand of an account that has not asked yet.
    fn new(now: Instant) -> Self {
        Self {
            tokens: 0.0,
            asked: now,
        }
    }

    /// Returns the decayed tokens.
    fn at(&self, now: Instant) -> f64 {
        let age = now.saturating_duration_since(self.asked).as_secs_f64();
        self.tokens * (-age / HALF_LIFE_SECS).exp2()
    }

    /// Adds the tokens of a request.
    fn add(&mut self, tokens: Tokens, now: Instant) {
        self.tokens = self.at(now) + tokens as f64;
        self.asked = now;
    }
}

impl Shares {
    /// Creates the shares of an engine that nobody has asked for.
    pub(crate) fn new(now: Instant) -> Self {
        Self {
            accounts: BTreeMap::new(),
            total: Demand::new(now),
            pruned: now,
        }
    }

    /// Records a request of an account.
    pub(crate) fn record(&mut self, account: AccountId, tokens: Tokens, now: Instant) {
        if now.saturating_duration_since(self.pruned) >= PRUNE_PERIOD {
            self.accounts
                .retain(|_, demand| now.saturating_duration_since(demand.asked) < ACTIVE_PERIOD);
            self.pruned = now;
        }
        self.total.add(tokens, now);
        if self.accounts.len() < MAX_ACCOUNTS || self.accounts.contains_key(&account) {
            let demand = self.accounts.entry(account);
            demand.or_insert_with(|| Demand::new(now)).add(tokens, now);
        }
    }

    /// Returns whether an account asks for far more than an equal share of what is asked for.
    pub(crate) fn exceeds_share(&self, account: AccountId, now: Instant) -> bool {
        let equal = self.total.at(now) / self.accounts.len().max(1) as f64;
        let demand = self.accounts.get(&account);
        demand.is_some_and(|demand| demand.at(now) > EXCESS_FACTOR * equal)
    }

    /// Returns the share of the engine that urgent work of an account may fill.
    pub(crate) fn limit(&self, account: AccountId, now: Instant) -> f64 {
        if self.exceeds_share(account, now) {
            1.0 - RESERVED_SHARE
        } else {
            1.0
        }
    }
}
