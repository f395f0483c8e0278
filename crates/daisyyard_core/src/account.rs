//! Client accounts and their rate limits.

use std::time::{Duration, Instant};

use daisyyard_derive::{key, record, value};

use crate::id::{self, AccountId};

/// A client account.
#[value]
pub struct Account {
    /// Identifier derived from the name.
    pub id: AccountId,
    /// Name from the settings.
    pub name: String,
}

impl Account {
    /// Creates an account from its name.
    pub fn new(name: &str) -> Self {
        Self {
            id: id::of(name),
            name: name.to_owned(),
        }
    }
}

/// Rate limit of one account, enforced separately by each component that counts its work.
#[record]
pub struct Limit {
    /// Sustained rate in tokens per second.
    pub rate: f64,
    /// Capacity of the bucket: tokens that an idle account may use at once.
    pub burst: f64,
}

/// Token bucket that enforces a [`Limit`].
#[record]
pub struct Bucket {
    /// Tokens available at `updated`; negative if requests cost more than estimated.
    level: f64,
    /// Time of the last refill.
    updated: Instant,
}

/// Decision on a request of the account.
#[key]
pub enum Decision {
    /// Admit the request; its cost has been deducted from the bucket.
    Admit,
    /// Refuse the request; the bucket can cover its cost after this delay.
    Defer(Duration),
}

impl Bucket {
    /// Creates a full bucket.
    pub fn new(limit: &Limit, now: Instant) -> Self {
        Self {
            level: limit.burst,
            updated: now,
        }
    }

    /// Deducts the cost of a request, in tokens, or returns the delay until it can be covered.
    pub fn take(&mut self, limit: &Limit, cost: f64, now: Instant) -> Decision {
        self.refill(limit, now);
        // A full bucket covers any request; one larger than the burst could never run otherwise.
        let needed = cost.min(limit.burst);
        if self.level >= needed {
            self.level -= cost;
            return Decision::Admit;
        }
        let wait = (needed - self.level) / limit.rate.max(f64::MIN_POSITIVE);
        Decision::Defer(Duration::try_from_secs_f64(wait).unwrap_or(Duration::MAX))
    }

    /// Corrects the cost deducted at admission: charges a positive difference, refunds a negative
    /// one.
    pub fn settle(&mut self, limit: &Limit, difference: f64, now: Instant) {
        self.refill(limit, now);
        self.level = (self.level - difference).min(limit.burst);
    }

    /// Adds the tokens that accrued since the last refill.
    fn refill(&mut self, limit: &Limit, now: Instant) {
        let elapsed = now.saturating_duration_since(self.updated);
        self.level = (self.level + elapsed.as_secs_f64() * limit.rate).min(limit.burst);
        self.updated = now;
    }
}
