//! Cold endpoints of a pool: what is known of them, and the bounds on the requests to them.

use std::collections::HashMap;
use std::time::{Duration, Instant};

use crate::candidate::Candidate;
use crate::id::{EndpointId, ServiceId, ZoneId};
use crate::load::Need;
use crate::pool::Pool;
use crate::revision::Revision;
use crate::warmup::{Report, Rule};

/// Bounds on the requests to cold endpoints.
#[derive(Debug, Default)]
pub(crate) struct Coldness {
    /// Bounds by service.
    rules: HashMap<ServiceId, Rule>,
}

/// An endpoint that has become cold or warm.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Change {
    /// The endpoint.
    pub endpoint: EndpointId,
    /// Time for which it is cold; none if it is warm.
    pub cold: Option<Duration>,
}

impl Pool {
    /// Replaces the bounds of all services; requests to cold endpoints of others are not limited.
    pub fn set_cold_rules(&mut self, rules: HashMap<ServiceId, Rule>) {
        self.coldness.rules = rules;
        let (rules, owners) = (&self.coldness.rules, &self.owners);
        for (id, candidate) in &mut self.candidates {
            let rule = rules.get(&candidate.endpoint.service).copied();
            candidate.warmup.set_rule(rule, *id, owners);
        }
    }

    /// Applies the entry of an endpoint that was added or updated.
    pub(crate) fn read_cold_entry(&mut self, id: EndpointId, cold: Duration, now: Instant) {
        let Some(candidate) = self.candidates.get_mut(&id) else {
            return;
        };
        let (rules, owners) = (&self.coldness.rules, &self.owners);
        let endpoint = &candidate.endpoint;
        let rule = rules.get(&endpoint.service).copied();
        candidate.warmup.set_rule(rule, id, owners);
        let entry = (endpoint.incarnation, endpoint.revision);
        let node_started = owners.is_empty();
        candidate.warmup.read_entry(entry, cold, node_started, now);
    }

    /// Returns whether an entry says something new of the coldness of its endpoint.
    pub fn is_cold_news(
        &self,
        id: EndpointId,
        revision: Revision,
        cold: Duration,
        now: Instant,
    ) -> bool {
        let candidate = self.candidates.get(&id);
        candidate.is_some_and(|candidate| candidate.warmup.differs(revision, cold, now))
    }

    /// Records that an endpoint has stated in an answer for how long it is cold.
    pub fn learn_cold(&mut self, id: EndpointId, incarnation: u64, cold: Duration, now: Instant) {
        let candidate = self.candidates.get_mut(&id);
        let same = |candidate: &&mut Candidate| candidate.endpoint.incarnation == incarnation;
        if let Some(candidate) = candidate.filter(same) {
            candidate.warmup.learn(now + cold, true);
        }
    }

    /// Applies what another node reports of cold endpoints.
    pub fn hear_cold(&mut self, reports: &[Report], now: Instant) {
        for report in reports {
            if let Some(candidate) = self.candidates.get_mut(&report.endpoint) {
                candidate.warmup.hear(report, now);
            }
        }
    }

    /// Marks the endpoints of a zone as cold, because its evacuation ended at a time. A later entry of
    /// an endpoint may say otherwise.
    pub fn end_evacuation(&mut self, zone: ZoneId, at: Instant) {
        let candidates = self.candidates.values_mut();
        for candidate in candidates.filter(|candidate| candidate.endpoint.zone.id == zone) {
            if let Some(rule) = candidate.warmup.rule {
                candidate.warmup.learn(at + rule.duration, false);
            }
        }
    }

    /// Returns what to tell other nodes of cold endpoints.
    pub fn cold_reports(&self, now: Instant) -> impl Iterator<Item = Report> {
        let candidates = self.candidates.iter();
        candidates.filter_map(move |(id, candidate)| candidate.warmup.report(*id, now))
    }

    /// Returns the number of listed endpoints to which requests are limited because they are cold.
    pub fn cold_count(&self, now: Instant) -> usize {
        let listed = self.candidates.values();
        let listed = listed.filter(|candidate| candidate.unlisted_at.is_none());
        let cold = listed.filter(|candidate| candidate.warmup.is_cold(now));
        cold.count()
    }

    /// Returns whether any endpoint of a service is cold, so that requests to it are limited.
    pub fn has_cold(&self, service: ServiceId, now: Instant) -> bool {
        self.coldness.rules.contains_key(&service)
            && self.candidates.values().any(|candidate| {
                candidate.endpoint.service == service
                    && candidate.unlisted_at.is_none()
                    && candidate.warmup.is_cold(now)
            })
    }

    /// Returns the endpoints that have become cold or warm since the last call.
    pub fn cold_changes(&mut self, now: Instant) -> Vec<Change> {
        let changed = self.candidates.iter_mut().filter_map(|(id, candidate)| {
            let warmup = &mut candidate.warmup;
            let cold = warmup.is_cold(now);
            let changed = std::mem::replace(&mut warmup.noted, cold) != cold;
            changed.then(|| Change {
                endpoint: *id,
                cold: cold.then(|| warmup.remaining(now)),
            })
        });
        changed.collect()
    }
}

/// Leaves out cold endpoints to which requests are limited if a warm one has room.
pub(crate) fn prefer_warm(live: &mut Vec<(EndpointId, &Candidate)>, need: &Need, now: Instant) {
    let is_cold = |candidate: &Candidate| candidate.warmup.is_cold(now);
    let warm_has_room = live
        .iter()
        .any(|(_, candidate)| !is_cold(candidate) && candidate.fits(need, now));
    if warm_has_room {
        live.retain(|(_, candidate)| !is_cold(candidate));
    }
}
