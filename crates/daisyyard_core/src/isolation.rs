//! Whether a node is cut off from all endpoints.
//!
//! An attempt to connect that hangs is known to fail only after its timeout, so attempts are compared
//! by the times at which they started. Connections that live on, and what still arrives on them, prove
//! nothing about new ones.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::{Duration, Instant};

use daisyyard_derive::key;

use crate::access::{Access, Reason};
use crate::endpoint::Endpoint;
use crate::id::EndpointId;
use crate::pool::Pool;

/// Endpoints that must fail for a node to be cut off, or be reached for it to be no longer. A single
/// one may be down, or the first that is reached again.
const MIN_ENDPOINTS: usize = 2;
/// Time between the starts of two probes, and between a failure and the first one.
const PROBE_INTERVAL: Duration = Duration::from_millis(200);

/// How an attempt to connect to an endpoint went.
#[key]
pub enum Outcome {
    /// The connection was made.
    Made,
    /// The connection is taking longer than one that is made usually does.
    Slow,
    /// The connection was refused or could not be made in time.
    Failed,
}

/// An attempt to connect to an endpoint.
#[derive(Debug, Clone, Copy)]
pub struct Attempt {
    /// The endpoint.
    pub endpoint: EndpointId,
    /// When the attempt started.
    pub started: Instant,
    /// How it went.
    pub outcome: Outcome,
}

/// Change of whether a node is cut off, with what it follows from.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Change {
    /// The node is cut off from now on: this many endpoints failed since the last connection.
    Isolated {
        /// Number of endpoints that failed.
        failed: usize,
        /// When the attempt that made the last connection started; none if there was none.
        made_at: Option<Instant>,
    },
    /// The node is no longer cut off: it reached this many endpoints.
    Reached {
        /// Number of endpoints that were reached.
        reached: usize,
        /// When the node was cut off.
        since: Instant,
    },
}

/// Latest attempts at one endpoint.
#[derive(Debug, Clone, Copy, Default)]
struct Record {
    /// Start of the latest attempt that made a connection.
    made_at: Option<Instant>,
    /// Start of the latest attempt that failed.
    failed_at: Option<Instant>,
}

/// Time for which a node is cut off.
#[derive(Debug, Clone, Copy)]
struct Cut {
    /// When this was found.
    since: Instant,
    /// Start of the last connection before it.
    made_at: Option<Instant>,
}

/// Attempts of a node to connect to endpoints, and what they say of its own connectivity.
#[derive(Debug, Default)]
pub struct Detector {
    /// Latest attempts by endpoint.
    records: BTreeMap<EndpointId, Record>,
    /// Start of the latest attempt at any endpoint that made a connection.
    made_at: Option<Instant>,
    /// Latest time of an indication that the node might be cut off.
    doubted_at: Option<Instant>,
    /// Current time for which the node is cut off.
    cut: Option<Cut>,
    /// When the last probe started.
    probed_at: Option<Instant>,
    /// Endpoint after which the next probe is made.
    probe_after: EndpointId,
}

impl Detector {
    /// Returns whether the node is cut off.
    pub fn is_isolated(&self) -> bool {
        self.cut.is_some()
    }

    /// Returns whether a connection was made in an attempt that did not start before a time.
    pub fn has_reached_since(&self, time: Instant) -> bool {
        self.made_at.is_some_and(|made_at| made_at >= time)
    }

    /// Records an attempt to connect. Attempts may be recorded in any order.
    pub fn record(&mut self, attempt: Attempt) {
        let started = Some(attempt.started);
        let record = self.records.entry(attempt.endpoint).or_default();
        match attempt.outcome {
            Outcome::Made => {
                record.made_at = record.made_at.max(started);
                self.made_at = self.made_at.max(started);
            }
            Outcome::Slow => self.doubt_at(attempt),
            Outcome::Failed => {
                record.failed_at = record.failed_at.max(started);
                self.doubt_at(attempt);
            }
        }
    }

    /// Records an attempt that indicates that the node might be cut off. Another endpoint is probed next.
    fn doubt_at(&mut self, attempt: Attempt) {
        self.doubt(attempt.started);
        if !self.is_isolated() {
            self.probe_after = attempt.endpoint;
        }
    }

    /// Records an indication that the node might be cut off, which a later connection refutes.
    pub(crate) fn doubt(&mut self, time: Instant) {
        self.doubted_at = self.doubted_at.max(Some(time));
    }

    /// Decides anew whether the node is cut off from the endpoints that are in service, which are in the
    /// order of their identifiers.
    pub fn review(&mut self, live: &[EndpointId], now: Instant) -> Option<Change> {
        self.records.retain(|id, _| live.binary_search(id).is_ok());
        let needed = live.len().min(MIN_ENDPOINTS);
        let Some(cut) = self.cut else {
            let made_at = self.made_at;
            let failed = self.count(|record| record.failed_at > made_at);
            let is_cut = needed > 0 && failed >= needed;
            self.cut = is_cut.then_some(Cut {
                since: now,
                made_at,
            });
            return is_cut.then_some(Change::Isolated { failed, made_at });
        };
        let reached = self
            .count(|record| record.made_at > record.failed_at && record.made_at >= Some(cut.since));
        if reached < needed {
            return None;
        }
        self.cut = None;
        Some(Change::Reached {
            reached,
            since: cut.since,
        })
    }

    /// Returns the endpoint in service to which a connection should be tried now, each in turn; none
    /// while there is no doubt, or the last probe is recent.
    pub fn next_probe(&mut self, live: &[EndpointId], now: Instant) -> Option<EndpointId> {
        if !self.is_probing(now) {
            return None;
        }
        let after = live.iter().find(|id| **id > self.probe_after);
        let next = *after.or(live.first())?;
        self.probed_at = Some(now);
        self.probe_after = next;
        Some(next)
    }

    /// Returns whether the node is cut off, or might be.
    fn is_doubted(&self) -> bool {
        self.is_isolated() || self.doubted_at > self.made_at
    }

    /// Returns whether a probe is due.
    fn is_probing(&self, now: Instant) -> bool {
        let due = |last: Instant| now.saturating_duration_since(last) >= PROBE_INTERVAL;
        let settled = self.is_isolated() || self.doubted_at.is_some_and(due);
        self.is_doubted() && settled && self.probed_at.is_none_or(due)
    }

    /// Returns the number of endpoints whose attempts fulfil a condition.
    fn count(&self, condition: impl Fn(&Record) -> bool) -> usize {
        let records = self.records.values();
        records.filter(|record| condition(record)).count()
    }
}

impl Pool {
    /// Returns whether this node is cut off from all endpoints.
    pub fn is_isolated(&self) -> bool {
        self.isolation.is_isolated()
    }

    /// Records an attempt of this node to connect to an endpoint.
    pub fn record_attempt(&mut self, attempt: Attempt) {
        self.isolation.record(attempt);
    }

    /// Records that another node is cut off. What cuts it off may concern this one too, which may have no
    /// requests that would show it.
    pub fn doubt_reach(&mut self, now: Instant) {
        self.isolation.doubt(now);
    }

    /// Decides anew whether this node is cut off. Failures of a node that is cut off say nothing about
    /// the endpoints, so the ejections that they caused end.
    pub fn review_isolation(&mut self, now: Instant) -> Option<Change> {
        if !self.isolation.is_doubted() {
            return None;
        }
        let live = self.reachable(now);
        let made_before = self.isolation.cut.map(|cut| cut.made_at);
        let change = self.isolation.review(&live, now)?;
        let made_at = match change {
            Change::Isolated { made_at, .. } => made_at,
            Change::Reached { .. } => made_before.flatten(),
        };
        for candidate in self.candidates.values_mut() {
            candidate.lift_ejection(made_at);
        }
        Some(change)
    }

    /// Returns the endpoint to which this node should try to connect now, if any, to find out whether
    /// it is cut off.
    pub fn next_probe(&mut self, now: Instant) -> Option<Arc<Endpoint>> {
        if !self.isolation.is_probing(now) {
            return None;
        }
        let live = self.reachable(now);
        let id = self.isolation.next_probe(&live, now)?;
        self.endpoint(id).map(Arc::clone)
    }

    /// Returns the endpoints that a node which is not cut off can be expected to reach, in the order of
    /// their identifiers.
    fn reachable(&self, now: Instant) -> Vec<EndpointId> {
        let is_out = |access| {
            matches!(
                access,
                Access::Closed(Reason::Unlisted | Reason::Leaving | Reason::Evacuated, _)
            )
        };
        let candidates = self.candidates.iter();
        let live = candidates.filter(|(_, candidate)| !is_out(candidate.access(now)));
        live.map(|(id, _)| *id).collect()
    }
}
