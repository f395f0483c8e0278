//! Brittleness of an endpoint, which falls over if it has to turn many requests away.
//!
//! A brittle endpoint states in its answers how many requests it survives turning away in a second, over
//! all nodes. The statement is kept and shared like a limit ([`crate::throttle`]).

use std::time::{Duration, Instant};

use crate::id::EndpointId;
use crate::rate::{LISTS, Owners, Rate};
use crate::throttle::Throttle;

/// Period in which the requests that are turned away count.
const PERIOD: Duration = Duration::from_secs(1);
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
}

/// What an answer states on the brittleness of the endpoint.
#[derive(Debug, Clone, Copy)]
pub struct Statement {
    /// Requests in 1,000 seconds that the endpoint survives turning away; none if it is not brittle.
    pub per_1000_s: Option<u32>,
    /// When the request was placed.
    pub placed_at: Instant,
}

impl Default for Brittleness {
    fn default() -> Self {
        Self {
            stated: Throttle::new(rate),
            assumed: None,
            denied: false,
        }
    }
}

/// Returns the rate of requests that may be turned away which the nodes on one list share. Two lists stay
/// within what the endpoint survives.
fn rate(per_1000_s: u32) -> Rate {
    match per_1000_s / REQUESTS_PER_1000 {
        // Half a place in a second.
        1 => Rate::new(1, PERIOD * LISTS),
        survived => Rate::new(survived / LISTS, PERIOD),
    }
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
            placed_at,
        } = statement;
        self.stated.learn(per_1000_s, placed_at, now);
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

    /// Divides the room and the rate anew if the statement has changed.
    pub(crate) fn update_shares(&mut self, id: EndpointId, owners: &Owners, now: Instant) {
        self.stated.divide(self.bound(now), id, owners);
    }

    /// Follows the latest list of nodes.
    pub(crate) fn follow(&mut self, id: EndpointId, owners: &Owners, now: Instant) {
        self.stated.share.follow(id, owners, now);
    }
}
