//! Budget of a node for calls to the configuration service, which all nodes share.

use std::time::{Duration, Instant};

use rand::{Rng, SeedableRng};
use rand_pcg::Pcg64Mcg;

use daisyyard_derive::key;

use crate::account::{self, Bucket, Limit};

/// Rate per second and burst of the calls of one node.
const LIMIT: Limit = Limit {
    rate: 5.0,
    burst: 20.0,
};
/// Upper bound of the backoff after the first failure.
const INITIAL_BACKOFF: Duration = Duration::from_millis(100);
/// Upper bound of the backoff after any number of failures.
const MAX_BACKOFF: Duration = Duration::from_secs(10);

/// Budget of one node.
#[derive(Debug)]
pub struct Budget {
    /// Token bucket that limits the rate of calls.
    bucket: Bucket,
    /// Number of consecutive failures.
    failures: u32,
    /// Time until which no calls are sent after a failure.
    retry_after: Instant,
    /// Generator of the jitter.
    random: Pcg64Mcg,
}

/// Whether a call may be sent.
#[key]
pub enum Decision {
    /// Send the call, which has been taken from the budget.
    Call,
    /// Ask again after this time.
    Wait(Duration),
}

impl Budget {
    /// Creates a full budget. Nodes must use different seeds, so that their retries are not
    /// synchronised.
    pub fn new(seed: u64, now: Instant) -> Self {
        Self {
            bucket: Bucket::new(&LIMIT, now),
            failures: 0,
            retry_after: now,
            random: Pcg64Mcg::seed_from_u64(seed),
        }
    }

    /// Takes one call from the budget, or returns how long to wait.
    pub fn take(&mut self, now: Instant) -> Decision {
        if now < self.retry_after {
            return Decision::Wait(self.retry_after - now);
        }
        match self.bucket.take(&LIMIT, 1.0, now) {
            account::Decision::Admit => Decision::Call,
            account::Decision::Defer(wait) => Decision::Wait(wait),
        }
    }

    /// Records that the service answered.
    pub fn succeed(&mut self) {
        self.failures = 0;
    }

    /// Records that the service did not answer, and blocks calls for a random backoff.
    pub fn fail(&mut self, now: Instant) {
        let bound = INITIAL_BACKOFF * 2_u32.saturating_pow(self.failures.min(10));
        self.failures += 1;
        let bound = bound.min(MAX_BACKOFF);
        self.retry_after = now + bound.mul_f64(self.random.random_range(0.0..1.0));
    }
}
