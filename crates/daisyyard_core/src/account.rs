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

/// Rate limit of one account at one place that counts its work.
#[record]
pub struct Limit {
    /// Tokens that the account may use in a second over a long time.
    pub rate: f64,
    /// Tokens that the account may use at once after being idle.
    pub burst: f64,
}

/// Token bucket that enforces a [`Limit`].
#[record]
pub struct Bucket {
    /// Tokens available at `updated`; negative after work cost more than expected.
    level: f64,
    /// When the level was last brought up to date.
    updated: Instant,
}

/// What to do with a request of the account.
#[key]
pub enum Next {
    /// Admit the request; its cost has been taken from the bucket.
    Admit,
    /// Refuse the request; it would be admitted after this time.
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

    /// Takes the cost of a request, in tokens, or says how long to wait.
    pub fn take(&mut self, limit: &Limit, cost: f64, now: Instant) -> Next {
        self.refill(limit, now);
        // A request larger than the burst is admitted from a full bucket, else it never would be.
        let needed = cost.min(limit.burst);
        if self.level >= needed {
            self.level -= cost;
            return Next::Admit;
        }
        let wait = (needed - self.level) / limit.rate.max(f64::MIN_POSITIVE);
        Next::Defer(Duration::try_from_secs_f64(wait).unwrap_or(Duration::MAX))
    }

    /// Charges tokens beyond the cost that was taken at admission, or returns unused ones.
    pub fn settle(&mut self, limit: &Limit, difference: f64, now: Instant) {
        self.refill(limit, now);
        self.level = (self.level - difference).min(limit.burst);
    }

    /// Adds the tokens that accrued since the last call.
    fn refill(&mut self, limit: &Limit, now: Instant) {
        let elapsed = now.saturating_duration_since(self.updated);
        self.level = (self.level + elapsed.as_secs_f64() * limit.rate).min(limit.burst);
        self.updated = now;
    }
}
