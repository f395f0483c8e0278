//! The budget of calls to the configuration service, which all nodes share.

use std::time::{Duration, Instant};

use rand::{Rng, SeedableRng};
use rand_pcg::Pcg64Mcg;

use daisyyard_derive::key;

use crate::account::{self, Bucket, Limit};

/// Calls per second and calls at once that one node may send.
const LIMIT: Limit = Limit {
    rate: 5.0,
    burst: 20.0,
};
/// Upper bound of the wait after the first failure.
const BACKOFF_FIRST: Duration = Duration::from_millis(100);
/// Upper bound of the wait after many failures.
const BACKOFF_LAST: Duration = Duration::from_secs(10);

/// Budget of one node.
#[derive(Debug)]
pub struct Budget {
    /// Calls that may be sent.
    bucket: Bucket,
    /// Failures since the last success.
    failures: u32,
    /// When calls may be sent again after a failure.
    resume: Instant,
    /// Source of the jitter.
    random: Pcg64Mcg,
}

/// Whether a call may be sent.
#[key]
pub enum Next {
    /// Send the call; it has been taken from the budget.
    Call,
    /// Ask again after this time.
    Wait(Duration),
}

impl Budget {
    /// Creates a full budget; nodes must use different seeds, so that they do not call in step.
    pub fn new(seed: u64, now: Instant) -> Self {
        Self {
            bucket: Bucket::new(&LIMIT, now),
            failures: 0,
            resume: now,
            random: Pcg64Mcg::seed_from_u64(seed),
        }
    }

    /// Takes one call from the budget or says how long to wait.
    pub fn take(&mut self, now: Instant) -> Next {
        if now < self.resume {
            return Next::Wait(self.resume - now);
        }
        match self.bucket.take(&LIMIT, 1.0, now) {
            account::Next::Admit => Next::Call,
            account::Next::Defer(wait) => Next::Wait(wait),
        }
    }

    /// Records that the service answered.
    pub fn succeed(&mut self) {
        self.failures = 0;
    }

    /// Records that the service did not answer, and holds calls back for a random time.
    pub fn fail(&mut self, now: Instant) {
        let bound = BACKOFF_FIRST * 2_u32.saturating_pow(self.failures.min(10));
        self.failures += 1;
        let bound = bound.min(BACKOFF_LAST);
        self.resume = now + bound.mul_f64(self.random.random_range(0.0..1.0));
    }
}
