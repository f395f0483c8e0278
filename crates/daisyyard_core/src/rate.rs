//! Shares of the rate of requests to an endpoint, which all nodes have without asking each other.
//!
//! A few nodes own the right to send to the endpoint, each a fixed number of places in a sliding
//! window. The owners are chosen by rendezvous hashing among the listed nodes, not among those that
//! are heard, so that lost digests and partitions between nodes change no share. The shares of all
//! owners on one list take half of the bound, which leaves room for nodes that still follow an older
//! list.

use std::collections::VecDeque;
use std::time::{Duration, Instant};

use daisyyard_derive::key;

use crate::home;
use crate::id::{EndpointId, InstanceId};

/// Longest time from the grant of a place to the moment at which the request leaves the node. A
/// request that has not left by then must not be sent with that place.
pub const MAX_LEAVE_DELAY: Duration = Duration::from_millis(250);
/// Least time for which a node must have had a share before it uses it. Other nodes learn of a change of
/// the list within this time.
pub const OWNER_WAIT: Duration = Duration::from_secs(3);
/// Maximum number of owners of an endpoint. With more, the shares are too small for a burst at one
/// node; with fewer, the loss of one costs too much of the rate.
const MAX_OWNERS: u32 = 12;
/// Part of a bound that the shares of one list take: one in this number.
pub(crate) const LISTS: u32 = 2;
/// Maximum number of lists that are kept to find the share of an endpoint that is new.
const MAX_LISTS: usize = 16;

/// Rate of requests that the nodes on one list share.
#[key]
pub struct Rate {
    /// Places of all nodes on the list in a window.
    pub places: u32,
    /// Time for which a place is taken. It exceeds the period of the bound by [`MAX_LEAVE_DELAY`], so
    /// that requests that leave late and early arrive in the same period.
    pub window: Duration,
    /// Time for which a node must have had a share before it uses it. Requests sent by another owner, or
    /// before a restart, have then left the window.
    pub wait: Duration,
    /// Maximum number of owners.
    pub max_owners: u32,
}

impl Rate {
    /// Returns the rate at which a number of places is taken in a period.
    pub(crate) fn new(places: u32, period: Duration) -> Self {
        let window = period.saturating_add(MAX_LEAVE_DELAY);
        Self {
            places,
            window,
            wait: window.max(OWNER_WAIT),
            max_owners: MAX_OWNERS,
        }
    }

    /// Returns the division of slots, which are taken as long as a request runs. Any number of nodes may
    /// own some.
    pub(crate) fn of_slots(slots: u32) -> Self {
        Self {
            max_owners: u32::MAX,
            ..Self::new(slots, Duration::ZERO)
        }
    }
}

/// A place in the rate of an endpoint, which a request has taken.
#[key]
pub struct Place {
    /// When the place was taken.
    pub at: Instant,
    /// When the request must have left; none if no rate applied.
    pub leave_by: Option<Instant>,
}

/// When a node may send the next request.
#[key]
pub(crate) enum Opening {
    /// Now.
    Now,
    /// At this time.
    At(Instant),
    /// Not before the list or the rate changes.
    Unknown,
}

/// Share of a node in the rate of one endpoint, and the requests that it has sent there.
#[derive(Debug, Default)]
pub(crate) struct Share {
    /// Rate that the nodes share; none if requests are not limited.
    rate: Option<Rate>,
    /// Places in the window by the time from which the lists have given them.
    places: VecDeque<(Instant, u32)>,
    /// Times at which places were taken, in order.
    taken: VecDeque<Instant>,
}

/// The latest lists of nodes that may own a share.
#[derive(Debug, Default)]
pub(crate) struct Owners {
    /// Identifier of this node.
    own: InstanceId,
    /// Lists in the order of their times.
    lists: VecDeque<(Instant, Vec<InstanceId>)>,
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
    fn history(&self, endpoint: EndpointId, rate: Rate) -> VecDeque<(Instant, u32)> {
        let mut shares: VecDeque<(Instant, u32)> = VecDeque::new();
        for (since, nodes) in &self.lists {
            let places = places(endpoint, rate, self.own, nodes);
            if shares.back().is_none_or(|(_, last)| *last != places) {
                shares.push_back((*since, places));
            }
        }
        shares
    }

    /// Returns the places that the latest list gives this node at an endpoint.
    fn current(&self, endpoint: EndpointId, rate: Rate) -> Option<(Instant, u32)> {
        let (since, nodes) = self.lists.back()?;
        Some((*since, places(endpoint, rate, self.own, nodes)))
    }
}

/// Returns the number of places in a window that a node has at an endpoint if these are the nodes.
fn places(endpoint: EndpointId, rate: Rate, own: InstanceId, nodes: &[InstanceId]) -> u32 {
    let total = rate.places;
    let most = u32::try_from(nodes.len())
        .unwrap_or(u32::MAX)
        .min(rate.max_owners)
        .min(total);
    let owning = home::first(endpoint, nodes.iter().copied(), most as usize);
    // The first owners get the places that are left over.
    let rank = owning.iter().position(|node| *node == own);
    rank.map_or(0, |rank| {
        total / most + u32::from((rank as u32) < total % most)
    })
}

impl Share {
    /// Sets the rate, and finds the share that the lists have given so far.
    pub(crate) fn set_rate(&mut self, rate: Option<Rate>, id: EndpointId, owners: &Owners) {
        if self.rate != rate {
            self.rate = rate;
            self.places = rate.map_or_else(VecDeque::new, |rate| owners.history(id, rate));
        }
    }

    /// Follows the latest list.
    pub(crate) fn follow(&mut self, id: EndpointId, owners: &Owners, now: Instant) {
        let Some((since, places)) = self.rate.and_then(|rate| owners.current(id, rate)) else {
            return;
        };
        if self.places.back().is_none_or(|(_, last)| *last != places) {
            self.places.push_back((since, places));
        }
        // A share counts until the wait after its end.
        let wait = self.wait();
        while self.places.len() > 1 && self.places[1].0 + wait <= now {
            self.places.pop_front();
        }
    }

    /// Returns the mean time between two requests of all nodes.
    pub(crate) fn interval(&self) -> Duration {
        let interval = self.rate.map(|rate| rate.window / rate.places.max(1));
        interval.unwrap_or_default()
    }

    /// Returns when a request may be sent.
    pub(crate) fn opening(&self, now: Instant) -> Opening {
        let Some(rate) = self.rate else {
            return Opening::Now;
        };
        let places = self.usable_places(now) as usize;
        let recent = self.taken.iter().filter(|at| **at + rate.window > now);
        let recent: Vec<Instant> = recent.copied().collect();
        if recent.len() < places {
            return Opening::Now;
        }
        let freed = places.checked_sub(1).map(|_| recent[recent.len() - places]);
        let freed = freed.map(|at| at + rate.window);
        let changes = self.places.iter().map(|(since, _)| *since + rate.wait);
        let next = changes.filter(|at| *at > now).chain(freed).min();
        next.map_or(Opening::Unknown, Opening::At)
    }

    /// Returns the time for which this node must have had a share before it uses it.
    fn wait(&self) -> Duration {
        self.rate.map_or(OWNER_WAIT, |rate| rate.wait)
    }

    /// Returns the places that this node may use: the fewest that any list of the last time gave it.
    pub(crate) fn usable_places(&self, now: Instant) -> u32 {
        let Some((first, _)) = self.places.front() else {
            return 0;
        };
        let wait = self.wait();
        if *first + wait > now {
            return 0;
        }
        let ends = self.places.iter().skip(1).map(|(since, _)| Some(*since));
        let ends = ends.chain(std::iter::once(None));
        let counts = self.places.iter().zip(ends).filter_map(|(share, end)| {
            let counts = end.is_none_or(|end| end + wait > now);
            counts.then_some(share.1)
        });
        counts.min().unwrap_or(0)
    }

    /// Takes a place for a request that may leave now. Requests to which the rate does not apply now count
    /// as well, as it may turn out that it did.
    pub(crate) fn take(&mut self, applies: bool, now: Instant) -> Option<Place> {
        let rate = self.rate?;
        let most = (rate.places * LISTS).max(1) as usize;
        while self
            .taken
            .front()
            .is_some_and(|at| *at + rate.window <= now)
            || self.taken.len() >= most
        {
            self.taken.pop_front();
        }
        self.taken.push_back(now);
        let leave_by = applies.then(|| now + MAX_LEAVE_DELAY);
        Some(Place { at: now, leave_by })
    }

    /// Gives a place back whose request has certainly not left.
    pub(crate) fn give_back(&mut self, place: Place) {
        if let Some(index) = self.taken.iter().rposition(|at| *at == place.at) {
            self.taken.remove(index);
        }
    }
}
