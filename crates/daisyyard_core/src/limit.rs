//! Limits on the rate of requests that endpoints state in their answers, for all nodes together.
//!
//! A limit holds for one incarnation of an endpoint, until a later answer does not state it. A node
//! that has no part of the rate gets no answers, so nodes tell each other what their latest answers
//! stated, and the later statement wins.

use std::sync::Arc;
use std::time::{Duration, Instant};

use daisyyard_derive::key;

use crate::endpoint::Endpoint;
use crate::id::EndpointId;
use crate::pool::Pool;

/// Time after which a limit that no answer has confirmed is given up. A node that lost the reports of its
/// end would follow it for ever.
const LIFETIME: Duration = Duration::from_secs(30);
/// Time for which other nodes are told that a limit has ended.
const REPORT_TIME: Duration = Duration::from_secs(10);

/// What a node tells others of the limit of an endpoint.
#[key]
pub struct Report {
    /// The endpoint.
    pub endpoint: EndpointId,
    /// Incarnation that made the statement.
    pub incarnation: u64,
    /// Requests in 1,000 seconds; none if the endpoint no longer states a limit.
    pub per_1000_s: Option<u32>,
    /// Time since the answer.
    pub age: Duration,
}

/// The latest statement of an endpoint on its limit.
#[derive(Debug, Clone, Copy)]
struct Statement {
    /// Requests in 1,000 seconds; none if the answer stated no limit any more.
    per_1000_s: Option<u32>,
    /// When the answer arrived.
    at: Instant,
    /// Whether this node got the answer, not another one.
    first_hand: bool,
}

/// Limit of one endpoint.
#[derive(Debug, Default)]
pub(crate) struct Throttle {
    /// Latest statement of the known incarnation.
    latest: Option<Statement>,
    /// Limit that was reported to the log.
    noted: Option<u32>,
}

/// An endpoint whose limit has changed.
#[derive(Debug, Clone)]
pub struct Change {
    /// The endpoint.
    pub endpoint: Arc<Endpoint>,
    /// Requests in 1,000 seconds; none if the endpoint is no longer limited.
    pub per_1000_s: Option<u32>,
    /// Whether this node got the answer that changed it.
    pub first_hand: bool,
}

impl Throttle {
    /// Returns the limit in requests in 1,000 seconds.
    pub(crate) fn limit(&self, now: Instant) -> Option<u32> {
        let latest = self.latest?;
        let confirmed = now.saturating_duration_since(latest.at) < LIFETIME;
        latest.per_1000_s.filter(|_| confirmed)
    }

    /// Records what an answer states to a request that was placed at a time. An answer without a limit ends
    /// one only if the request was placed after the limit was stated: answers may overtake each other.
    fn learn(&mut self, per_1000_s: Option<u32>, placed_at: Instant, now: Instant) {
        let ends = |latest: Statement| latest.per_1000_s.is_some() && latest.at < placed_at;
        if per_1000_s.is_some() || self.latest.is_some_and(ends) {
            self.latest = Some(Statement {
                per_1000_s,
                at: now,
                first_hand: true,
            });
        }
    }

    /// Applies the report of another node, if its answer is later than the latest one known.
    fn hear(&mut self, report: &Report, now: Instant) {
        let Some(at) = now.checked_sub(report.age) else {
            return;
        };
        if self.latest.is_none_or(|latest| latest.at < at) {
            self.latest = Some(Statement {
                per_1000_s: report.per_1000_s,
                at,
                first_hand: false,
            });
        }
    }

    /// Returns what to tell other nodes: the latest answer, if this node got it.
    fn report(&self, endpoint: &Endpoint, now: Instant) -> Option<Report> {
        let latest = self.latest.filter(|latest| latest.first_hand)?;
        let age = now.saturating_duration_since(latest.at);
        let time = match latest.per_1000_s {
            Some(_) => LIFETIME,
            None => REPORT_TIME,
        };
        (age < time).then_some(Report {
            endpoint: endpoint.id,
            incarnation: endpoint.incarnation,
            per_1000_s: latest.per_1000_s,
            age,
        })
    }
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
        }
    }

    /// Applies what another node reports of limits.
    pub fn hear_limits(&mut self, reports: &[Report], now: Instant) {
        for report in reports {
            if let Some(candidate) = self.candidates.get_mut(&report.endpoint)
                && candidate.endpoint.incarnation == report.incarnation
            {
                candidate.throttle.hear(report, now);
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
        let changed = self.candidates.values_mut().filter_map(|candidate| {
            let throttle = &mut candidate.throttle;
            let limit = throttle.limit(now);
            let changed = std::mem::replace(&mut throttle.noted, limit) != limit;
            changed.then(|| Change {
                endpoint: Arc::clone(&candidate.endpoint),
                per_1000_s: limit,
                first_hand: throttle.latest.is_some_and(|latest| latest.first_hand),
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
}
