//! Brittle endpoints of a pool: what is known of them, and whether they have room.

use std::collections::HashMap;
use std::sync::Arc;
use std::time::Instant;

use crate::access::{Access, Reason};
use crate::brittleness::{Runs, Statement};
use crate::candidate::Candidate;
use crate::id::{EndpointId, ServiceId};
use crate::limit::Change;
use crate::pool::Pool;
use crate::rate::Opening;
use crate::throttle::{Report, Source};

impl Candidate {
    /// Returns when a request may be sent as far as the endpoint is brittle, if its runs include `counted`
    /// ones that are to be sent.
    pub(crate) fn brittle_opening(&self, counted: u32, now: Instant) -> Opening {
        if self.brittleness.bound(now).is_none() {
            return Opening::Now;
        }
        let runs = Runs {
            own: self.local_load.runs.saturating_sub(counted),
            all: self.load(now).runs.saturating_sub(counted),
            slots: self.endpoint.slots,
        };
        self.brittleness.opening(runs, now)
    }

    /// Returns whether a run may move to the endpoint, where it takes a slot before it is sent.
    pub(crate) fn accepts_move(&self, now: Instant) -> bool {
        let is_brittle = self.brittleness.bound(now).is_some();
        let owns_slot = self.brittleness.owns_slot(self.local_load.runs, now);
        self.access(now).is_open() && (!is_brittle || owns_slot)
    }

    /// Returns whether the endpoint may receive a copy of a run, which takes memory but no slot.
    pub(crate) fn accepts_copy(&self, now: Instant) -> bool {
        matches!(
            self.access(now),
            Access::Open | Access::Closed(Reason::Brittle, _)
        )
    }
}

impl Pool {
    /// Returns whether a run that already counts as one at an endpoint may be sent there now.
    pub fn resumption_access(&self, id: EndpointId, now: Instant) -> Option<Access> {
        let candidate = self.candidates.get(&id)?;
        match candidate.access(now) {
            Access::Closed(Reason::Brittle, _) => {
                let opening = candidate.brittle_opening(1, now);
                Some(opening.access(Reason::Brittle))
            }
            access => Some(access),
        }
    }

    /// Records what an answer states on the brittleness of an endpoint.
    pub fn learn_brittle(
        &mut self,
        id: EndpointId,
        incarnation: u64,
        statement: Statement,
        now: Instant,
    ) {
        if let Some(candidate) = self.candidates.get_mut(&id)
            && candidate.endpoint.incarnation == incarnation
        {
            candidate.brittleness.learn(statement, now);
        }
    }

    /// Applies what another node reports of brittle endpoints.
    pub fn hear_brittle(&mut self, reports: &[Report], now: Instant) {
        for report in reports {
            if let Some(candidate) = self.candidates.get_mut(&report.endpoint)
                && candidate.endpoint.incarnation == report.incarnation
            {
                candidate.brittleness.stated.hear(report, now);
            }
        }
    }

    /// Returns what to tell other nodes of brittle endpoints.
    pub fn brittle_reports(&self, now: Instant) -> impl Iterator<Item = Report> {
        let candidates = self.candidates.values();
        candidates.filter_map(move |it| it.brittleness.stated.report(&it.endpoint, now))
    }

    /// Returns the endpoints whose brittleness has changed since the last call. An endpoint that has not
    /// answered is taken for as brittle as the others of its service.
    pub fn brittle_changes(&mut self, now: Instant) -> Vec<Change> {
        let mut bounds: HashMap<ServiceId, u32> = HashMap::new();
        for candidate in self.candidates.values() {
            if let Some(bound) = candidate.brittleness.stated.limit(now) {
                let least = bounds.entry(candidate.endpoint.service).or_insert(bound);
                *least = bound.min(*least);
            }
        }
        let owners = &self.owners;
        let changed = self.candidates.iter_mut().filter_map(|(id, candidate)| {
            let brittleness = &mut candidate.brittleness;
            let of_service = bounds.get(&candidate.endpoint.service).copied();
            brittleness.assume(of_service, now);
            brittleness.update_shares(*id, candidate.endpoint.slots, owners, now);
            let bound = brittleness.bound(now);
            let stated = &mut brittleness.stated;
            let changed = std::mem::replace(&mut stated.noted, bound) != bound;
            changed.then(|| Change {
                endpoint: Arc::clone(&candidate.endpoint),
                per_1000_s: bound,
                source: stated.source().unwrap_or(Source::Service),
            })
        });
        changed.collect()
    }

    /// Returns the listed endpoints that are brittle.
    pub fn brittle(&self, now: Instant) -> impl Iterator<Item = EndpointId> {
        let listed = self.candidates.iter();
        let listed = listed.filter(|(_, candidate)| candidate.unlisted_at.is_none());
        let brittle = listed.filter(move |(_, it)| it.brittleness.bound(now).is_some());
        brittle.map(|(id, _)| *id)
    }
}
