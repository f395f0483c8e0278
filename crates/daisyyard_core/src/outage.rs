//! Outages of the store, and how long entries that vanish after one may be registered again.

use std::time::{Duration, Instant};

/// Shortest outage in which entries may expire, which takes some missed heartbeats.
const MIN_EXPIRING_TIME: Duration = Duration::from_secs(1);
/// Time after the return of the store in which what it has lost may be written again: entries that
/// expired during an outage, and whatever is missing in a copy from which the store came back.
pub(crate) const RELISTING_TIME: Duration = Duration::from_millis(2_200);

/// What a node knows of the outages of the store.
#[derive(Debug, Default)]
pub struct Outage {
    /// Since when the store has not answered; `None` if the last call succeeded.
    lost_at: Option<Instant>,
    /// When the store answered again after the last outage in which entries may have expired.
    ended_at: Option<Instant>,
}

impl Outage {
    /// Returns whether the last call failed.
    pub fn is_on(&self) -> bool {
        self.lost_at.is_some()
    }

    /// Records a failed call; `since` is the earliest time at which the store may have been lost. Returns
    /// whether an outage begins.
    pub fn record_failure(&mut self, since: Instant) -> bool {
        let begins = self.lost_at.is_none();
        self.lost_at.get_or_insert(since);
        begins
    }

    /// Records a successful call; returns how long the outage that ends with it has lasted.
    pub fn record_success(&mut self, now: Instant) -> Option<Duration> {
        let lasted = now.saturating_duration_since(self.lost_at.take()?);
        if lasted >= MIN_EXPIRING_TIME {
            self.ended_at = Some(now);
        }
        Some(lasted)
    }

    /// Records that the store has come back from a copy, which may lack entries however short the outage
    /// was.
    pub fn record_restore(&mut self, now: Instant) {
        self.ended_at = Some(now);
    }

    /// Returns until when a missing entry may be registered again; `None` if it is gone.
    pub fn relist_deadline(&self, now: Instant) -> Option<Instant> {
        let deadline = self.ended_at? + RELISTING_TIME;
        (deadline > now).then_some(deadline)
    }
}
