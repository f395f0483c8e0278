//! Another gateway, as this one knows it.

use std::time::{Duration, Instant};

use daisyyard_core::id::Version;

use crate::member::Entry;

/// Time between two probes of a lost member, which answers with a digest. After a partition, neither
/// side sends anything else to the members that it counts as lost, and members in reserve are silent.
const PROBE_INTERVAL: Duration = Duration::from_secs(5);
/// Time for which probes are sent, as some may be lost.
const PROBE_TIME: Duration = Duration::from_millis(1_300);

/// Another gateway.
#[derive(Debug)]
pub(crate) struct Member {
    /// Entry of the gateway in the store.
    pub(crate) entry: Entry,
    /// When the gateway was first listed or last sent a digest.
    pub(crate) last_heard: Instant,
    /// Whether the gateway reports that it is leaving.
    pub(crate) leaving: bool,
    /// Whether the gateway reports that it reaches the store.
    pub(crate) reaches_store: bool,
    /// Version of the gateway's configuration; zero until it has one.
    pub(crate) version: Version,
    /// Whether the gateway reports that it is cut off from the endpoints.
    pub(crate) isolated: bool,
    /// Since when the gateway is expected to send digests to this one; none while it need not.
    pub(crate) expected_since: Option<Instant>,
    /// Since when the gateway counts as lost; it does until it is heard again.
    pub(crate) lost_since: Option<Instant>,
    /// When the gateway is removed unless its entry is written again.
    pub(crate) relist_deadline: Option<Instant>,
}

impl Member {
    /// Returns whether the gateway should have sent a digest within the timeout, but has not.
    pub(crate) fn is_silent(&self, timeout: Duration, now: Instant) -> bool {
        let since = self.expected_since.unwrap_or(now).max(self.last_heard);
        now.saturating_duration_since(since) >= timeout
    }

    /// Returns whether the gateway has said within the timeout that it is cut off from the endpoints. One
    /// that sends this one no digests may have come back unnoticed.
    pub(crate) fn is_isolated(&self, timeout: Duration, now: Instant) -> bool {
        self.isolated && self.was_heard(timeout, now)
    }

    /// Returns whether the gateway has sent a digest within the timeout.
    fn was_heard(&self, timeout: Duration, now: Instant) -> bool {
        now.saturating_duration_since(self.last_heard) < timeout
    }

    /// Returns whether the gateway takes requests from others and reaches the endpoints, as far as it has
    /// said so within the timeout.
    pub(crate) fn takes_requests(&self, timeout: Duration, now: Instant) -> bool {
        let expired = self.relist_deadline.is_some_and(|deadline| deadline <= now);
        self.was_heard(timeout, now)
            && !expired
            && !self.leaving
            && !self.isolated
            && self.version > 0
    }

    /// Returns whether the gateway is lost and a probe of it is due.
    pub(crate) fn is_probed(&self, now: Instant) -> bool {
        self.lost_since.is_some_and(|since| {
            let lost_for = now.saturating_duration_since(since);
            let since_probe = lost_for.as_millis() % PROBE_INTERVAL.as_millis();
            lost_for >= PROBE_INTERVAL && since_probe < PROBE_TIME.as_millis()
        })
    }
}
