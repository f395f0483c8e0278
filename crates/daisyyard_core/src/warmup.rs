//! Cold time of an endpoint, in which the rate of requests to it is limited.
//!
//! A cold endpoint crashes if it gets too many requests per second, so all nodes share a rate
//! ([`crate::rate`]).

use std::time::{Duration, Instant};

use daisyyard_derive::{key, record};

use crate::id::EndpointId;
use crate::rate::{LISTS, MAX_LEAVE_DELAY, Opening, Owners, Rate, Share};
use crate::revision::Revision;

/// Period in which the bound limits the requests that arrive.
const PERIOD: Duration = Duration::from_secs(1);
/// Time for which a place is taken. Requests that leave late and early arrive in the same period.
pub const WINDOW: Duration = PERIOD.saturating_add(MAX_LEAVE_DELAY);
/// Least extension of a cold time that is news for other nodes; smaller ones are delays on the way.
const MIN_EXTENSION: Duration = Duration::from_millis(100);
/// Requests per second are stated in this fraction of one.
const MILLI: f64 = 1_000.0;

/// How long endpoints of a service are cold after their start, and what they tolerate meanwhile.
#[key]
pub struct ColdStart {
    /// Time after a start for which an endpoint is cold.
    pub duration: Duration,
    /// Requests in 1,000 seconds that a cold endpoint tolerates.
    pub per_1000_s: u32,
}

/// How far the requests to a cold endpoint may exceed the rate that it tolerates.
#[record]
pub struct Allowance {
    /// Factor on the rate.
    pub overage: f64,
    /// Requests in addition.
    pub slack: f64,
}

/// Bound on the requests to a cold endpoint of a service.
#[key]
pub struct Rule {
    /// Time after a start for which an endpoint is cold.
    pub duration: Duration,
    /// Maximum number of requests that arrive in a second, over all nodes.
    pub bound: u32,
}

/// What a node tells others of a cold endpoint.
#[key]
pub struct Report {
    /// The endpoint.
    pub endpoint: EndpointId,
    /// Incarnation that is cold.
    pub incarnation: u64,
    /// Revision of the latest entry that the node has read.
    pub revision: Revision,
    /// Time for which the endpoint is still cold.
    pub remaining: Duration,
}

/// Share of a node in the rate of one endpoint, and the requests that it has sent there.
#[derive(Debug, Default)]
pub(crate) struct Warmup {
    /// Bound of the service; none if requests to cold endpoints are not limited.
    pub(crate) rule: Option<Rule>,
    /// Incarnation and revision of the latest entry; none before the first.
    entry: Option<(u64, Revision)>,
    /// Revision of the latest entry that ended a cold time before its end was due.
    ended: Revision,
    /// End of the cold time.
    until: Option<Instant>,
    /// End of the cold time as this node has learnt it without another node.
    own_until: Option<Instant>,
    /// Share of this node in the rate.
    pub(crate) share: Share,
    /// Whether the endpoint was reported as cold to the log.
    pub(crate) noted: bool,
}

impl Rule {
    /// Returns the bound that follows from what endpoints tolerate; none if there is no limit.
    #[must_use]
    pub fn new(start: ColdStart, allowance: &Allowance) -> Option<Self> {
        let per_s = f64::from(start.per_1000_s) / MILLI;
        let bound = per_s * allowance.overage + allowance.slack;
        (start.per_1000_s > 0).then_some(Self {
            duration: start.duration,
            bound: bound as u32,
        })
    }
}

impl Warmup {
    /// Sets the bound, and finds the share that the lists have given so far.
    pub(crate) fn set_rule(&mut self, rule: Option<Rule>, id: EndpointId, owners: &Owners) {
        self.rule = rule;
        let rate = rule.map(|rule| Rate::new(rule.bound / LISTS, PERIOD));
        self.share.set_rate(rate, id, owners);
    }

    /// Applies an entry of the endpoint, given its incarnation and revision. A later entry decides; the
    /// first one of another incarnation may have been written before the endpoint knew that it is cold.
    /// An endpoint that is new to this node has started, unless the node itself has only started.
    pub(crate) fn read_entry(
        &mut self,
        (incarnation, revision): (u64, Revision),
        remaining: Duration,
        node_started: bool,
        now: Instant,
    ) {
        let known = self.entry.replace((incarnation, revision));
        let restarted = known.map_or(!node_started, |(known, _)| known != incarnation);
        let is_same = known.is_some_and(|(_, known)| !revision.is_unknown() && known == revision);
        if restarted {
            let least = self.rule.map_or(Duration::ZERO, |rule| rule.duration);
            (self.until, self.own_until) = (None, None);
            self.learn(now + remaining.max(least), true);
        } else if is_same {
            // A complete read names the entries again that have not changed.
        } else if remaining.is_zero() {
            if self.until.is_some_and(|until| until > now) {
                self.ended = revision;
            }
            (self.until, self.own_until) = (None, None);
        } else {
            self.learn(now + remaining, true);
        }
    }

    /// Applies the report of another node, unless a later entry has ended the cold time.
    pub(crate) fn hear(&mut self, report: &Report, now: Instant) {
        let restarted = |(incarnation, _)| report.incarnation < incarnation;
        if !self.entry.is_some_and(restarted) && report.revision >= self.ended {
            self.learn(now + report.remaining, false);
        }
    }

    /// Records that the endpoint is cold until a time; a longer known time stays. Only what this node
    /// has learnt by itself is passed on: reports that go back and forth would extend the time.
    pub(crate) fn learn(&mut self, until: Instant, by_itself: bool) {
        self.until = self.until.max(Some(until));
        if by_itself {
            self.own_until = self.own_until.max(Some(until));
        }
    }

    /// Returns whether the requests to the endpoint are limited because it is cold.
    pub(crate) fn is_cold(&self, now: Instant) -> bool {
        self.rule.is_some() && self.until.is_some_and(|until| until > now)
    }

    /// Returns the rest of the cold time.
    pub(crate) fn remaining(&self, now: Instant) -> Duration {
        let until = self.until.unwrap_or(now);
        until.saturating_duration_since(now)
    }

    /// Returns whether an endpoint of which this entry is read would be cold for longer than known, or
    /// no longer.
    pub(crate) fn differs(&self, revision: Revision, remaining: Duration, now: Instant) -> bool {
        let newer = self.entry.is_none_or(|(_, known)| revision > known);
        let until = self.until.unwrap_or(now).max(now);
        let changes = if remaining.is_zero() {
            until > now
        } else {
            until + MIN_EXTENSION < now + remaining
        };
        self.rule.is_some() && newer && changes
    }

    /// Returns what to tell other nodes, if the endpoint is cold as far as this node knows by itself.
    pub(crate) fn report(&self, endpoint: EndpointId, now: Instant) -> Option<Report> {
        let remaining = self.own_until?.checked_duration_since(now)?;
        let (incarnation, revision) = self.entry?;
        (self.rule.is_some() && !remaining.is_zero()).then_some(Report {
            endpoint,
            incarnation,
            revision,
            remaining,
        })
    }

    /// Returns the time at which a request may be sent at the earliest; none if it may be sent now.
    pub(crate) fn closed_until(&self, now: Instant) -> Option<Instant> {
        let warm_at = self.until.filter(|_| self.is_cold(now))?;
        match self.share.opening(now) {
            Opening::Now => None,
            Opening::At(next) => Some(next.min(warm_at)),
            Opening::Unknown => Some(warm_at),
        }
    }
}
