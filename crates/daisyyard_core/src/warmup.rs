//! Rate of requests to an endpoint that is cold, which all nodes share without asking each other.
//!
//! A cold endpoint crashes if it gets too many requests per second. A few nodes own the right to send
//! to it, each a fixed number of places in a sliding window. The owners are chosen by rendezvous hashing
//! among the listed nodes, not among those that are heard, so that lost digests and partitions
//! between nodes change no share. The shares of all owners take half of the bound, which leaves room
//! for nodes that still follow an older list.

use std::collections::VecDeque;
use std::time::{Duration, Instant};

use daisyyard_derive::{key, record};

use crate::home;
use crate::id::{EndpointId, InstanceId, Revision};

/// Period in which the bound limits the requests that arrive.
const PERIOD: Duration = Duration::from_secs(1);
/// Longest time from the grant of a place to the moment at which the request leaves the node. A
/// request that has not left by then must not be sent with that place.
pub const MAX_LEAVE_DELAY: Duration = Duration::from_millis(250);
/// Time for which a place is taken. Requests that leave late and early arrive in the same period.
pub const WINDOW: Duration = PERIOD.saturating_add(MAX_LEAVE_DELAY);
/// Time for which a node must have had a share before it uses it. Other nodes learn of a change of the
/// list within this time, and requests sent before a restart have left the window.
pub const OWNER_WAIT: Duration = Duration::from_secs(3);
/// Maximum number of owners of an endpoint. With more, the shares are too small for a burst at one
/// node; with fewer, the loss of one costs too much of the rate.
const MAX_OWNERS: u32 = 12;
/// Part of the bound that the shares of one list take: one in this number.
const LISTS: u32 = 2;
/// Maximum number of lists that are kept to find the share of an endpoint that is new.
const MAX_LISTS: usize = 16;
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

/// A place in the rate of an endpoint, which a request has taken.
#[key]
pub struct Place {
    /// When the place was taken.
    pub at: Instant,
    /// When the request must have left; none if the endpoint was warm.
    pub leave_by: Option<Instant>,
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
    /// Places in the window by the time from which the lists have given them.
    shares: VecDeque<(Instant, u32)>,
    /// Times at which places were taken, in order.
    taken: VecDeque<Instant>,
    /// Whether the endpoint was reported as cold to the log.
    pub(crate) noted: bool,
}

/// The latest lists of nodes that may own a share.
#[derive(Debug, Default)]
pub(crate) struct Owners {
    /// Identifier of this node.
    own: InstanceId,
    /// Lists in the order of their times.
    lists: VecDeque<(Instant, Vec<InstanceId>)>,
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

impl Owners {
    /// Adds a list of the nodes; returns whether it differs from the latest one.
    pub(crate) fn update(&mut self, own: InstanceId, nodes: &[InstanceId], now: Instant) -> bool {
        self.own = own;
        if self.lists.back().is_some_and(|(_, last)| last == nodes) {
            return false;
        }
        self.lists.push_back((now, nodes.to_vec()));
        if self.lists.len() > MAX_LISTS {
            self.lists.pop_front();
        }
        true
    }

    /// Returns whether no list is known yet.
    pub(crate) fn is_empty(&self) -> bool {
        self.lists.is_empty()
    }

    /// Returns the places that each list has given this node at an endpoint.
    fn history(&self, endpoint: EndpointId, rule: Rule) -> VecDeque<(Instant, u32)> {
        let mut shares: VecDeque<(Instant, u32)> = VecDeque::new();
        for (since, nodes) in &self.lists {
            let places = places(endpoint, rule.bound, self.own, nodes);
            if shares.back().is_none_or(|(_, last)| *last != places) {
                shares.push_back((*since, places));
            }
        }
        shares
    }

    /// Returns the places that the latest list gives this node at an endpoint.
    fn current(&self, endpoint: EndpointId, rule: Rule) -> Option<(Instant, u32)> {
        let (since, nodes) = self.lists.back()?;
        Some((*since, places(endpoint, rule.bound, self.own, nodes)))
    }
}

/// Returns the number of places in a window that a node has at an endpoint if these are the nodes.
fn places(endpoint: EndpointId, bound: u32, own: InstanceId, nodes: &[InstanceId]) -> u32 {
    let total = bound / LISTS;
    let most = u32::try_from(nodes.len())
        .unwrap_or(u32::MAX)
        .min(MAX_OWNERS)
        .min(total);
    // All owners have the same share; the number of owners that leaves the least over is best.
    let best = (1..=most).max_by_key(|owners| (owners * (total / owners), *owners));
    let Some(owners) = best else {
        return 0;
    };
    let owning = home::first(endpoint, nodes.iter().copied(), owners as usize);
    if owning.contains(&own) {
        total / owners
    } else {
        0
    }
}

impl Warmup {
    /// Sets the bound, and finds the share that the lists have given so far.
    pub(crate) fn set_rule(&mut self, rule: Option<Rule>, id: EndpointId, owners: &Owners) {
        if self.rule != rule {
            self.rule = rule;
            self.shares = rule.map_or_else(VecDeque::new, |rule| owners.history(id, rule));
        }
    }

    /// Follows the latest list.
    pub(crate) fn follow(&mut self, id: EndpointId, owners: &Owners, now: Instant) {
        let Some((since, places)) = self.rule.and_then(|rule| owners.current(id, rule)) else {
            return;
        };
        if self.shares.back().is_none_or(|(_, last)| *last != places) {
            self.shares.push_back((since, places));
        }
        // A share counts until the wait after its end.
        while self.shares.len() > 1 && self.shares[1].0 + OWNER_WAIT <= now {
            self.shares.pop_front();
        }
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
        let is_same = known.is_some_and(|(_, known)| revision > 0 && known == revision);
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
        let places = self.places(now) as usize;
        let recent = self.taken.iter().filter(|at| **at + WINDOW > now);
        let recent: Vec<Instant> = recent.copied().collect();
        if recent.len() < places {
            return None;
        }
        let freed = places.checked_sub(1).map(|_| recent[recent.len() - places]);
        let freed = freed.map(|at| at + WINDOW);
        let changes = self.shares.iter().map(|(since, _)| *since + OWNER_WAIT);
        let next = changes.filter(|at| *at > now).chain(freed).min();
        Some(next.map_or(warm_at, |next| next.min(warm_at)))
    }

    /// Returns the places that this node may use: the fewest that any list of the last time gave it.
    fn places(&self, now: Instant) -> u32 {
        let Some((first, _)) = self.shares.front() else {
            return 0;
        };
        if *first + OWNER_WAIT > now {
            return 0;
        }
        let ends = self.shares.iter().skip(1).map(|(since, _)| Some(*since));
        let ends = ends.chain(std::iter::once(None));
        let counts = self.shares.iter().zip(ends).filter_map(|(share, end)| {
            let counts = end.is_none_or(|end| end + OWNER_WAIT > now);
            counts.then_some(share.1)
        });
        counts.min().unwrap_or(0)
    }

    /// Takes a place for a request that may leave now. Requests to a warm endpoint count as well, as it
    /// may turn out that it was cold.
    pub(crate) fn take(&mut self, now: Instant) -> Option<Place> {
        let rule = self.rule?;
        while self.taken.front().is_some_and(|at| *at + WINDOW <= now)
            || self.taken.len() >= rule.bound.max(1) as usize
        {
            self.taken.pop_front();
        }
        self.taken.push_back(now);
        let leave_by = self.is_cold(now).then(|| now + MAX_LEAVE_DELAY);
        Some(Place { at: now, leave_by })
    }

    /// Gives a place back whose request has certainly not left.
    pub(crate) fn give_back(&mut self, place: Place) {
        if let Some(index) = self.taken.iter().rposition(|at| *at == place.at) {
            self.taken.remove(index);
        }
    }
}
