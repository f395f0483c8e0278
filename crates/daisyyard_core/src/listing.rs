//! Comparison of the endpoints that a node knows with those that the readers of the store know.
//!
//! Nodes are told of changes in datagrams, which can be lost. A node that differs from the readers for
//! longer than news takes to arrive must read the store itself.

use std::time::{Duration, Instant};

/// Time for which a node may know other endpoints than the readers do.
const MAX_MISMATCH_TIME: Duration = Duration::from_secs(3);

/// What a node last heard of the readers' endpoints.
#[derive(Debug, Default)]
pub struct Listing {
    /// Value of the set of endpoints that the readers know; zero if it is unknown.
    readers: u64,
    /// Since when this node knows other endpoints.
    mismatch_since: Option<Instant>,
}

impl Listing {
    /// Returns the value of the set of endpoints that the readers know; zero if it is unknown.
    #[must_use]
    pub fn readers(&self) -> u64 {
        self.readers
    }

    /// Records the readers' set as another node reports it, next to the set that this node knows;
    /// returns whether this node must read the store.
    pub fn compare(&mut self, readers: u64, own: u64, now: Instant) -> bool {
        if readers == 0 {
            return false;
        }
        self.readers = readers;
        if readers == own {
            self.mismatch_since = None;
            return false;
        }
        let since = *self.mismatch_since.get_or_insert(now);
        now.saturating_duration_since(since) >= MAX_MISMATCH_TIME
    }

    /// Records that this node has read the store.
    pub fn reset(&mut self) {
        self.mismatch_since = None;
    }
}
