//! Retry budgets: retries are a bounded share of requests, so that they cannot feed an overload.

use daisyyard_derive::{record, token};

/// Retries that are allowed before any request has earned one.
const RESERVE: f64 = 10.0;

/// Whether a retry is within the budget.
#[token]
pub enum Next {
    /// Retry.
    Retry,
    /// Tell the caller the outcome.
    Stop,
}

/// Retry budget of one account at one service.
#[record]
pub struct Budget {
    /// Retries that are available.
    available: f64,
    /// Retries that each request earns.
    share: f64,
}

impl Budget {
    /// Creates a budget in which each request earns `share` retries.
    pub fn new(share: f64) -> Self {
        Self {
            available: RESERVE,
            share,
        }
    }

    /// Records a request.
    pub fn earn(&mut self) {
        self.available = (self.available + self.share).min(RESERVE);
    }

    /// Asks for a retry.
    pub fn spend(&mut self) -> Next {
        if self.available < 1.0 {
            return Next::Stop;
        }
        self.available -= 1.0;
        Next::Retry
    }
}
