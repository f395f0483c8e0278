//! Limits on the rate of requests that endpoints state in their answers, for all nodes together.
//!
//! A limit holds for one incarnation of an endpoint, until a later answer does not state it. A node
//! that has no part of the rate gets no answers, so nodes tell each other what their latest answers
//! stated, and the later statement wins. The nodes divide the rate among them ([`crate::rate`]), and a
//! request for which no place opens in time can be refused at once.

use std::time::{Duration, Instant};

use daisyyard_derive::key;

use crate::endpoint::Endpoint;
use crate::id::EndpointId;
use crate::rate::{LISTS, Owners, Rate, Share};

/// Time after which a limit that no answer has confirmed is given up. A node that lost the reports of its
/// end would follow it for ever.
const LIFETIME: Duration = Duration::from_secs(30);
/// Time for which other nodes are told that a limit has ended.
const REPORT_TIME: Duration = Duration::from_secs(10);

/// Period over which the requests to a limited endpoint are averaged.
const PERIOD: Duration = Duration::from_secs(4);
/// Factor by which the requests in a period may exceed the limit, over all nodes.
const OVERAGE: f64 = 1.5;
/// Requests in a period in addition.
const SLACK: f64 = 5.0;
/// Longest time between two requests to an endpoint, however low its limit. They show when it ends,
/// before it is given up.
const MAX_INTERVAL: Duration = Duration::from_secs(20);

/// What a node tells others of the limit or the brittleness of an endpoint.
#[key]
pub struct Report {
    /// The endpoint.
    pub endpoint: EndpointId,
    /// Incarnation that made the statement.
    pub incarnation: u64,
    /// Requests in 1,000 seconds; none if the endpoint no longer states any.
    pub per_1000_s: Option<u32>,
    /// Time since the answer.
    pub age: Duration,
}

/// The latest statement of an endpoint on its limit.
#[derive(Debug, Clone, Copy)]
pub(crate) struct Statement {
    /// Requests in 1,000 seconds; none if the answer stated no limit any more.
    per_1000_s: Option<u32>,
    /// When the answer arrived.
    at: Instant,
    /// Whether this node got the answer, not another one.
    pub(crate) first_hand: bool,
}

/// Limit of one endpoint.
#[derive(Debug)]
pub(crate) struct Throttle {
    /// Returns the rate that the nodes on one list share, given what the endpoint states in requests in
    /// 1,000 seconds.
    divide: fn(u32) -> Rate,
    /// Latest statement of the known incarnation.
    pub(crate) latest: Option<Statement>,
    /// Share of this node in the rate that follows from the limit.
    pub(crate) share: Share,
    /// Limit that was reported to the log.
    pub(crate) noted: Option<u32>,
}

/// Where a node learns what an endpoint states.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Source {
    /// From an answer to the node itself.
    Answer,
    /// From another node.
    Digest,
    /// From other endpoints of its service.
    Service,
}

impl Source {
    /// Returns the name of the source in the log.
    #[must_use]
    pub fn name(self) -> &'static str {
        match self {
            Self::Answer => "answer",
            Self::Digest => "digest",
            Self::Service => "service",
        }
    }
}

/// Returns the rate that the nodes on one list share, given a limit in requests in 1,000 seconds. Two
/// lists stay within the bound, and one within the limit.
pub(crate) fn rate(per_1000_s: u32) -> Rate {
    let per_s = f64::from(per_1000_s) / 1_000.0;
    let limit = per_s * PERIOD.as_secs_f64();
    let bound = limit * OVERAGE + SLACK;
    let places = limit.min(bound / f64::from(LISTS)) as u32;
    if places > 0 {
        return Rate::new(places, PERIOD);
    }
    let interval = (1.0 / per_s).min(MAX_INTERVAL.as_secs_f64());
    Rate::new(1, Duration::from_secs_f64(interval))
}

impl Throttle {
    /// Creates the state of an endpoint that has stated nothing.
    pub(crate) fn new(divide: fn(u32) -> Rate) -> Self {
        Self {
            divide,
            latest: None,
            share: Share::default(),
            noted: None,
        }
    }

    /// Returns the limit in requests in 1,000 seconds.
    pub(crate) fn limit(&self, now: Instant) -> Option<u32> {
        let latest = self.latest?;
        let confirmed = now.saturating_duration_since(latest.at) < LIFETIME;
        latest.per_1000_s.filter(|_| confirmed)
    }

    /// Records what an answer states to a request that was placed at a time. An answer without a limit ends
    /// one only if the request was placed after the limit was stated: answers may overtake each other.
    pub(crate) fn learn(&mut self, per_1000_s: Option<u32>, placed_at: Instant, now: Instant) {
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
    pub(crate) fn hear(&mut self, report: &Report, now: Instant) {
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

    /// Divides the rate anew if the limit has changed.
    pub(crate) fn update_share(&mut self, id: EndpointId, owners: &Owners, now: Instant) {
        self.divide(self.limit(now), id, owners);
    }

    /// Divides the rate that follows from a limit.
    pub(crate) fn divide(&mut self, limit: Option<u32>, id: EndpointId, owners: &Owners) {
        self.share.set_rate(limit.map(self.divide), id, owners);
    }

    /// Returns where the latest statement was learnt.
    pub(crate) fn source(&self) -> Option<Source> {
        let latest = self.latest?;
        Some(if latest.first_hand {
            Source::Answer
        } else {
            Source::Digest
        })
    }

    /// Returns what to tell other nodes: the latest answer, if this node got it.
    pub(crate) fn report(&self, endpoint: &Endpoint, now: Instant) -> Option<Report> {
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
