//! Brittleness of an endpoint, which falls over if it has to turn many requests away.
//!
//! A brittle endpoint states in its answers how many requests it survives turning away in a second, over
//! all nodes. The statement is kept and shared like a limit ([`crate::throttle`]).
//!
//! The loads of other nodes are old, so nodes that go by them fill the same slot together. The nodes
//! therefore divide the slots among them ([`crate::rate`]), and count on no queue. A node fills its own
//! slots as long as it knows of room. For a request beyond them it takes a place in the rate at which
//! requests may be turned away: it is turned away itself, or takes the slot of another node, which then
//! is. No more requests are turned away than such places are taken.

use std::time::{Duration, Instant};

use crate::id::EndpointId;
use crate::rate::{LISTS, MAX_LEAVE_DELAY, Opening, Owners, Place, Rate, Share};
use crate::throttle::Throttle;

/// Period in which the requests that are turned away count.
const PERIOD: Duration = Duration::from_secs(1);
/// Time for which a node that was turned away sends nothing, so that it is not turned away again for
/// the same reason within the period.
const PAUSE: Duration = PERIOD.saturating_add(MAX_LEAVE_DELAY);
/// Factor from requests per second to requests in 1,000 seconds.
const REQUESTS_PER_1000: u32 = 1_000;

/// Whether an endpoint is brittle, and what this node may send there meanwhile.
#[derive(Debug)]
pub(crate) struct Brittleness {
    /// What the endpoint states, and the share of this node in the requests that it may turn away.
    pub(crate) stated: Throttle,
    /// What other endpoints of the service state, and since when, while this one has not answered.
    assumed: Option<(u32, Instant)>,
    /// Whether the endpoint has answered since without the statement.
    denied: bool,
    /// Slots of the endpoint that belong to this node.
    slots: Share,
    /// Time until which this node sends nothing, as what it knew of the room was wrong.
    paused_until: Option<Instant>,
}

/// What an answer states on the brittleness of the endpoint.
#[derive(Debug, Clone, Copy)]
pub struct Statement {
    /// Requests in 1,000 seconds that the endpoint survives turning away; none if it is not brittle.
    pub per_1000_s: Option<u32>,
    /// Whether the endpoint turned the request away.
    pub turned_away: bool,
    /// When the request was placed.
    pub placed_at: Instant,
}

/// Runs at an endpoint as a node knows them.
#[derive(Debug, Clone, Copy)]
pub(crate) struct Runs {
    /// Those of the node itself.
    pub(crate) own: u32,
    /// Those of all nodes.
    pub(crate) all: u32,
    /// Slots of the endpoint.
    pub(crate) slots: u32,
}

impl Default for Brittleness {
    fn default() -> Self {
        Self {
            stated: Throttle::new(rate),
            assumed: None,
            denied: false,
            slots: Share::default(),
            paused_until: None,
        }
    }
}

/// Returns the rate of requests that may be turned away which the nodes on one list share. Two lists stay
/// within what the endpoint survives.
fn rate(per_1000_s: u32) -> Rate {
    Rate::new(per_1000_s / REQUESTS_PER_1000 / LISTS, PERIOD)
}

impl Brittleness {
    /// Returns how many requests the endpoint survives turning away in 1,000 seconds; none if it is not
    /// brittle.
    pub(crate) fn bound(&self, now: Instant) -> Option<u32> {
        match self.stated.latest {
            Some(_) => self.stated.limit(now),
            None => self.assumed.map(|(bound, _)| bound),
        }
    }

    /// Records what an answer states.
    pub(crate) fn learn(&mut self, statement: Statement, now: Instant) {
        let Statement {
            per_1000_s,
            turned_away,
            placed_at,
        } = statement;
        self.stated.learn(per_1000_s, placed_at, now);
        if turned_away {
            self.paused_until = Some(now + PAUSE);
        }
        let assumed_before = self.assumed.is_some_and(|(_, since)| since < placed_at);
        if per_1000_s.is_none() && assumed_before {
            (self.assumed, self.denied) = (None, true);
        }
    }

    /// Assumes what other endpoints of the service state, unless this one has stated something itself.
    pub(crate) fn assume(&mut self, bound: Option<u32>, now: Instant) {
        let bound = bound.filter(|_| !self.denied && self.stated.latest.is_none());
        self.assumed = bound.map(|bound| {
            let since = self.assumed.map_or(now, |(_, since)| since);
            (bound, since)
        });
    }

    /// Divides the slots and the rate anew if the statement or the number of slots has changed.
    pub(crate) fn update_shares(
        &mut self,
        id: EndpointId,
        slots: u32,
        owners: &Owners,
        now: Instant,
    ) {
        let bound = self.bound(now);
        let divided = bound.map(|_| Rate::of_slots(slots));
        self.slots.set_rate(divided, id, owners);
        self.stated.divide(bound, id, owners);
    }

    /// Returns when a request may be sent.
    pub(crate) fn opening(&self, runs: Runs, now: Instant) -> Opening {
        if self.bound(now).is_none() {
            return Opening::Now;
        }
        if let Some(until) = self.paused_until.filter(|until| *until > now) {
            return Opening::At(until);
        }
        if runs.all >= runs.slots {
            return Opening::Unknown;
        }
        if self.owns_slot(runs.own, now) {
            return Opening::Now;
        }
        self.stated.share.opening(now)
    }

    /// Returns whether a slot of this node is left beside the runs that it has at the endpoint.
    pub(crate) fn owns_slot(&self, own_runs: u32, now: Instant) -> bool {
        own_runs < self.slots.usable_places(now)
    }

    /// Takes a place for a request that may be turned away; none is needed for one in a slot of this node.
    pub(crate) fn take(&mut self, own_runs: u32, now: Instant) -> Option<Place> {
        if self.bound(now).is_none() || self.owns_slot(own_runs, now) {
            return None;
        }
        self.stated.share.take(true, now)
    }

    /// Follows the latest list of nodes.
    pub(crate) fn follow(&mut self, id: EndpointId, owners: &Owners, now: Instant) {
        self.slots.follow(id, owners, now);
        self.stated.share.follow(id, owners, now);
    }
}
