//! Endpoints that other nodes leave out because their requests failed there.

use std::collections::HashMap;
use std::time::{Duration, Instant};

use crate::id::{EndpointId, InstanceId};

/// Nodes that must leave out an endpoint before another one believes them; one alone may have a
/// broken path to the endpoint.
const MIN_REPORTS: usize = 2;
/// Time after which what a node said is dropped; nodes repeat it several times a second.
const REPORT_TTL: Duration = Duration::from_secs(2);

/// What other nodes leave out.
#[derive(Debug, Default)]
pub(crate) struct Ejections {
    /// Endpoints that each node leaves out, and when it said so.
    reports: HashMap<InstanceId, (Vec<EndpointId>, Instant)>,
}

impl Ejections {
    /// Takes the endpoints that a node leaves out, which replace those known of it.
    pub(crate) fn record(&mut self, from: InstanceId, endpoints: &[EndpointId], now: Instant) {
        if endpoints.is_empty() {
            self.reports.remove(&from);
        } else {
            self.reports.insert(from, (endpoints.to_vec(), now));
        }
    }

    /// Returns those of the live endpoints of a service that are left out on the word of others.
    ///
    /// If that were more than half of them, none is: the nodes that report may be at fault, and
    /// the service must not be emptied.
    pub(crate) fn ejected(
        &self,
        live: impl Iterator<Item = EndpointId> + Clone,
        now: Instant,
    ) -> Vec<EndpointId> {
        if self.reports.is_empty() {
            return Vec::new();
        }
        let fresh = |said: &Instant| now.saturating_duration_since(*said) < REPORT_TTL;
        let reports = |id: &EndpointId| {
            let heard = self.reports.values().filter(|(_, said)| fresh(said));
            heard.filter(|(ids, _)| ids.contains(id)).count()
        };
        let count = live.clone().count();
        let reported: Vec<EndpointId> = live.filter(|id| reports(id) >= MIN_REPORTS).collect();
        if reported.len() * 2 > count {
            Vec::new()
        } else {
            reported
        }
    }
}
