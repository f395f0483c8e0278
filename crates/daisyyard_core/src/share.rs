//! Recent demand on one engine by account, and the reserve for accounts below their fair share.

use std::collections::BTreeMap;
use std::time::{Duration, Instant};

use crate::id::{AccountId, Tokens};

/// Half-life, in seconds, of the weight of a request.
const HALF_LIFE_SECS: f64 = 30.0;
/// Time after its last request during which an account counts as active.
pub(crate) const ACTIVE_PERIOD: Duration = Duration::from_mins(1);
/// Interval between two removals of inactive accounts.
const PRUNE_PERIOD: Duration = Duration::from_secs(1);
/// Maximum number of active accounts tracked; further ones count as below their share.
pub(crate) const MAX_ACCOUNTS: usize = 2048;
/// Multiple of an equal share above which an account may not use the reserve. With one or two
/// active accounts none can exceed it, so nothing is kept free.
const EXCESS_FACTOR: f64 = 2.0;
/// Share of the engine reserved for accounts that do not exceed their share. A reserve
/// twice as large lowers goodput and urgent targets met under overload without a benefit.
const RESERVED_SHARE: f64 = 0.05;

/// Demand of one account, decayed with a half-life of [`HALF_LIFE_SECS`].
#[derive(Debug, Clone, Copy)]
pub(crate) struct Demand {
    /// Requested tokens, decayed up to the last request.
    tokens: f64,
    /// Time of the last request.
    last_request: Instant,
}

/// Recent demand on one engine by account.
#[derive(Debug)]
pub(crate) struct Shares {
    /// Demand of each active account.
    accounts: BTreeMap<AccountId, Demand>,
    /// Demand of all accounts together.
    total: Demand,
    /// Time of the last removal of inactive accounts.
    pruned: Instant,
}

impl Demand {
    /// Creates the demand of an account without requests.
    pub(crate) fn new(now: Instant) -> Self {
        Self {
            tokens: 0.0,
            last_request: now,
        }
    }

    /// Returns the requested tokens, decayed up to `now`.
    pub(crate) fn decayed(&self, now: Instant) -> f64 {
        self.tokens * Self::decay(self.last_request, now)
    }

    /// Returns the factor by which a weight decays between two times.
    pub(crate) fn decay(from: Instant, now: Instant) -> f64 {
        let age = now.saturating_duration_since(from).as_secs_f64();
        (-age / HALF_LIFE_SECS).exp2()
    }

    /// Returns whether the account had a request within [`ACTIVE_PERIOD`].
    pub(crate) fn is_active(&self, now: Instant) -> bool {
        now.saturating_duration_since(self.last_request) < ACTIVE_PERIOD
    }

    /// Adds the tokens of a request.
    pub(crate) fn add(&mut self, tokens: f64, now: Instant) {
        self.tokens = self.decayed(now) + tokens;
        self.last_request = now;
    }
}

impl Shares {
    /// Creates the shares of an engine without requests.
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
            self.accounts.retain(|_, demand| demand.is_active(now));
            self.pruned = now;
        }
        self.total.add(tokens as f64, now);
        if self.accounts.len() < MAX_ACCOUNTS || self.accounts.contains_key(&account) {
            let demand = self.accounts.entry(account);
            let demand = demand.or_insert_with(|| Demand::new(now));
            demand.add(tokens as f64, now);
        }
    }

    /// Returns whether the demand of an account exceeds [`EXCESS_FACTOR`] times an equal share.
    pub(crate) fn exceeds_share(&self, account: AccountId, now: Instant) -> bool {
        let equal = self.total.decayed(now) / self.accounts.len().max(1) as f64;
        let demand = self.accounts.get(&account);
        demand.is_some_and(|demand| demand.decayed(now) > EXCESS_FACTOR * equal)
    }

    /// Returns the share of the engine that urgent work may fill when a request of the account is
    /// admitted.
    pub(crate) fn limit(&self, account: AccountId, now: Instant) -> f64 {
        if self.exceeds_share(account, now) {
            1.0 - RESERVED_SHARE
        } else {
            1.0
        }
    }
}
