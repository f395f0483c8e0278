//! Endpoints of a pool that state limits: what is known of them, and when a request that only they could
//! serve has a place.

use std::sync::Arc;
use std::time::Instant;

use crate::access::{Access, Reason};
use crate::endpoint::Endpoint;
use crate::id::{EndpointId, ServiceId};
use crate::pool::Pool;
use crate::throttle::{Report, Source};

/// An endpoint that has begun or ceased to state a rate, or states another one.
#[derive(Debug, Clone)]
pub struct Change {
    /// The endpoint.
    pub endpoint: Arc<Endpoint>,
    /// Requests in 1,000 seconds; none if it no longer states any.
    pub per_1000_s: Option<u32>,
    /// Where the node has learnt of it.
    pub source: Source,
}

impl Pool {
    /// Records what an answer to a request that was placed at a time states on the limit of an endpoint.
    pub fn learn_limit(
        &mut self,
        id: EndpointId,
        incarnation: u64,
        per_1000_s: Option<u32>,
        placed_at: Instant,
        now: Instant,
    ) {
        if let Some(candidate) = self.candidates.get_mut(&id)
            && candidate.endpoint.incarnation == incarnation
        {
            candidate.throttle.learn(per_1000_s, placed_at, now);
            candidate.throttle.update_share(id, &self.owners, now);
        }
    }

    /// Applies what another node reports of limits.
    pub fn hear_limits(&mut self, reports: &[Report], now: Instant) {
        for report in reports {
            if let Some(candidate) = self.candidates.get_mut(&report.endpoint)
                && candidate.endpoint.incarnation == report.incarnation
            {
                candidate.throttle.hear(report, now);
                let id = report.endpoint;
                candidate.throttle.update_share(id, &self.owners, now);
            }
        }
    }

    /// Returns what to tell other nodes of limits.
    pub fn limit_reports(&self, now: Instant) -> impl Iterator<Item = Report> {
        let candidates = self.candidates.values();
        candidates.filter_map(move |it| it.throttle.report(&it.endpoint, now))
    }

    /// Returns the endpoints whose limits have changed since the last call.
    pub fn limit_changes(&mut self, now: Instant) -> Vec<Change> {
        let owners = &self.owners;
        let changed = self.candidates.iter_mut().filter_map(|(id, candidate)| {
            let throttle = &mut candidate.throttle;
            throttle.update_share(*id, owners, now);
            let limit = throttle.limit(now);
            let changed = std::mem::replace(&mut throttle.noted, limit) != limit;
            changed.then(|| Change {
                endpoint: Arc::clone(&candidate.endpoint),
                per_1000_s: limit,
                source: throttle.source().unwrap_or(Source::Digest),
            })
        });
        changed.collect()
    }

    /// Returns the listed endpoints that are limited.
    pub fn limited(&self, now: Instant) -> impl Iterator<Item = EndpointId> {
        let listed = self.candidates.iter();
        let listed = listed.filter(|(_, candidate)| candidate.unlisted_at.is_none());
        let limited = listed.filter(move |(_, it)| it.throttle.limit(now).is_some());
        limited.map(|(id, _)| *id)
    }

    /// Returns when the first endpoint of a service opens, if all that are not excluded are limited, have no
    /// slot for this node while they are brittle, or turn requests away; none if another one may serve the request. Where that depends on other nodes, it is
    /// the mean time after which any node may send.
    pub fn limited_opening(
        &self,
        service: ServiceId,
        excluded: &[EndpointId],
        now: Instant,
    ) -> Option<Instant> {
        let mut first: Option<Instant> = None;
        let mut limited = false;
        let serving = self.candidates.iter();
        let serving = serving.filter(|(_, candidate)| candidate.serves(service, now));
        for (_, candidate) in serving.filter(|(id, _)| !excluded.contains(id)) {
            let opens = match candidate.access(now) {
                Access::Closed(Reason::Limited, opens) => {
                    limited = true;
                    opens.unwrap_or_else(|| now + candidate.throttle.share.interval())
                }
                Access::Closed(Reason::Brittle, opens) => {
                    if candidate.brittleness.owns_slot(0, now) {
                        // Whenever one of the runs there ends.
                        return None;
                    }
                    limited = true;
                    opens.unwrap_or_else(|| now + candidate.brittleness.stated.share.interval())
                }
                Access::Closed(Reason::TurnedAway, opens) => opens?,
                _ => return None,
            };
            first = Some(first.map_or(opens, |first| first.min(opens)));
        }
        first.filter(|_| limited)
    }
}
