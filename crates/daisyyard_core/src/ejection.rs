//! Endpoints that other nodes have ejected because of failed requests.

use std::collections::HashMap;
use std::time::{Duration, Instant};

use crate::candidate::Candidate;
use crate::id::{EndpointId, InstanceId};
use crate::pool::Pool;

/// Nodes that must report an endpoint as ejected before this node ejects it as well; a single node
/// may have a broken path to the endpoint.
const MIN_REPORTS: usize = 2;
/// Time after which a report expires; nodes repeat their reports several times a second.
const REPORT_TTL: Duration = Duration::from_secs(2);

/// Ejections reported by other nodes.
#[derive(Debug, Default)]
pub(crate) struct Ejections {
    /// Ejected endpoints by reporting node, with the time of the report.
    reports: HashMap<InstanceId, (Vec<EndpointId>, Instant)>,
}

impl Ejections {
    /// Replaces the ejected endpoints that a node reported.
    pub(crate) fn record(&mut self, from: InstanceId, endpoints: &[EndpointId], now: Instant) {
        if endpoints.is_empty() {
            self.reports.remove(&from);
        } else {
            self.reports.insert(from, (endpoints.to_vec(), now));
        }
    }

    /// Returns the live endpoints of a service that enough other nodes report as ejected.
    ///
    /// Returns none if these are more than half of the endpoints: the fault may be on the side of
    /// the reporting nodes, and the service must not lose most of its endpoints.
    pub(crate) fn ejected(
        &self,
        live: impl Iterator<Item = EndpointId> + Clone,
        now: Instant,
    ) -> Vec<EndpointId> {
        if self.reports.is_empty() {
            return Vec::new();
        }
        let fresh = |reported: &Instant| now.saturating_duration_since(*reported) < REPORT_TTL;
        let reporters = |id: &EndpointId| {
            let current = self
                .reports
                .values()
                .filter(|(_, reported)| fresh(reported));
            current.filter(|(ids, _)| ids.contains(id)).count()
        };
        let count = live.clone().count();
        let reported: Vec<EndpointId> = live.filter(|id| reporters(id) >= MIN_REPORTS).collect();
        if reported.len() * 2 > count {
            Vec::new()
        } else {
            reported
        }
    }
}

impl Pool {
    /// Returns the endpoints that this node has ejected because they fail for all nodes. Those with
    /// a broken path from this node only are left out, and all for which this node has not shown since
    /// that it is not cut off itself.
    pub fn ejections(&self, now: Instant) -> impl Iterator<Item = EndpointId> {
        let failing = move |candidate: &Candidate| {
            let ejected = candidate.ejected_until().is_some_and(|until| until > now);
            let connects = |at| self.isolation.has_reached_since(at);
            let shown = !self.is_isolated() && candidate.ejected_at().is_some_and(connects);
            candidate.fails_everywhere && ejected && shown
        };
        let candidates = self
            .candidates
            .iter()
            .filter(move |(_, candidate)| failing(candidate));
        candidates.map(|(id, _)| *id)
    }

    /// Replaces the ejected endpoints that another node reported.
    pub fn learn_ejections(&mut self, from: InstanceId, endpoints: &[EndpointId], now: Instant) {
        self.ejections.record(from, endpoints, now);
    }
}
