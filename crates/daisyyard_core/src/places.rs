//! Places that this node takes in the rates of cold, limited and brittle endpoints.

use std::time::Instant;

use crate::candidate::Candidate;
use crate::id::{EndpointId, InstanceId};
use crate::pool::Pool;
use crate::rate::Place;

impl Pool {
    /// Sets the nodes among which the owners of shares are chosen, in the same order at all nodes.
    pub fn set_owners(&mut self, own: InstanceId, nodes: &[InstanceId], now: Instant) {
        if self.owners.update(own, nodes, now) {
            for (id, candidate) in &mut self.candidates {
                candidate.warmup.share.follow(*id, &self.owners, now);
                candidate.throttle.share.follow(*id, &self.owners, now);
                candidate.brittleness.follow(*id, &self.owners, now);
            }
        }
    }

    /// Takes a place for a request to an endpoint that may leave now; returns none if neither requests to
    /// the service nor those to the endpoint are limited.
    pub fn take_place(&mut self, id: EndpointId, now: Instant) -> Option<Place> {
        self.take(id, 0, now)
    }

    /// Takes a place for a run that already counts as one at the endpoint.
    pub fn take_resumption_place(&mut self, id: EndpointId, now: Instant) -> Option<Place> {
        self.take(id, 1, now)
    }

    /// Takes a place for a request to an endpoint, whose runs include `counted` ones that are to be sent.
    fn take(&mut self, id: EndpointId, counted: u32, now: Instant) -> Option<Place> {
        let Candidate {
            warmup,
            throttle,
            brittleness,
            local_load,
            ..
        } = self.candidates.get_mut(&id)?;
        let is_cold = warmup.is_cold(now);
        let cold = warmup.share.take(is_cold, now);
        let limited = throttle.share.take(true, now);
        let brittle = brittleness.take(local_load.runs.saturating_sub(counted), now);
        limited.or(brittle).or(cold)
    }

    /// Gives a place back whose request has certainly not left.
    pub fn give_back_place(&mut self, id: EndpointId, place: Place) {
        if let Some(candidate) = self.candidates.get_mut(&id) {
            candidate.warmup.share.give_back(place);
            candidate.throttle.share.give_back(place);
            candidate.brittleness.stated.share.give_back(place);
        }
    }
}
