//! Roster: which nodes of a fleet serve callers, and which of these read the store for the others.
//!
//! What nodes tell each other grows with the square of the nodes that serve, and the calls to the
//! store with the number of nodes that read it. Both are therefore kept to the nodes that are needed:
//! each node ranks all live nodes by the same hash, and the first of each availability zone serve.
//! The others stay ready, and move up when a node before them is lost.

use std::collections::{BTreeMap, BTreeSet};

use crate::home;
use crate::id::{InstanceId, ZoneId};

/// Key of the ranking.
const RANKING: u64 = 0;
/// Number of serving nodes below which a fleet is not divided.
const MIN_SERVING: usize = 24;
/// Divisor of the number of nodes that gives the least number of serving ones. The load can rise
/// several times before the counts of requests show it.
const MIN_SERVING_DIVISOR: usize = 4;
/// Least number of serving nodes in an availability zone.
const MIN_SERVING_IN_ZONE: usize = 4;
/// Requests per second for which one node serves. It leaves room for bursts and for the loss of a
/// zone.
const REQUESTS_PER_NODE: f64 = 6.0;
/// Number of nodes that read the store, in different availability zones if there are enough.
const READERS: usize = 3;

/// Part of a node in its fleet.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Role {
    /// Serves callers, reads the store and tells the others what has changed.
    Reader,
    /// Serves callers.
    Serving,
    /// Serves the callers that come nevertheless, and is ready to take the place of another node.
    Reserve,
}

/// A live node.
#[derive(Debug, Clone, Copy)]
pub struct Node {
    /// Identifier of the node.
    pub id: InstanceId,
    /// Availability zone of the node.
    pub zone: ZoneId,
    /// Whether the node reaches the store.
    pub reaches_store: bool,
}

/// Division of the live nodes of a fleet.
#[derive(Debug, Default)]
pub struct Roster {
    /// Nodes that serve callers.
    serving: BTreeSet<InstanceId>,
    /// Serving nodes that read the store.
    readers: BTreeSet<InstanceId>,
}

impl Roster {
    /// Divides the live nodes for a rate of requests.
    pub fn new(nodes: &[Node], requests_per_s: f64) -> Self {
        let mut zones: BTreeMap<ZoneId, Vec<InstanceId>> = BTreeMap::new();
        for node in nodes {
            zones.entry(node.zone).or_default().push(node.id);
        }
        let wanted = serving_count(nodes.len(), requests_per_s);
        let readers_in_zone = READERS.div_ceil(zones.len().max(1));
        let unreachable = nodes.iter().filter(|node| !node.reaches_store);
        let unreachable: BTreeSet<InstanceId> = unreachable.map(|node| node.id).collect();
        let mut serving = BTreeSet::new();
        let mut readers = Vec::new();
        for members in zones.into_values() {
            let share = (wanted * members.len()).div_ceil(nodes.len());
            let ranked = home::first(RANKING, members, share.max(MIN_SERVING_IN_ZONE));
            let able = ranked.iter().filter(|id| !unreachable.contains(id));
            readers.extend(able.take(readers_in_zone));
            serving.extend(ranked);
        }
        Self {
            serving,
            readers: home::first(RANKING, readers, READERS).into_iter().collect(),
        }
    }

    /// Returns the part of a node.
    pub fn role(&self, node: InstanceId) -> Role {
        if self.readers.contains(&node) {
            Role::Reader
        } else if self.is_serving(node) {
            Role::Serving
        } else {
            Role::Reserve
        }
    }

    /// Returns whether a node serves callers.
    pub fn is_serving(&self, node: InstanceId) -> bool {
        self.serving.contains(&node)
    }

    /// Returns the nodes that serve callers, in the order of their identifiers.
    pub fn serving(&self) -> impl Iterator<Item = InstanceId> {
        self.serving.iter().copied()
    }

    /// Returns the number of nodes that serve callers.
    pub fn serving_count(&self) -> usize {
        self.serving.len()
    }
}

/// Returns how many of the nodes serve callers at a rate of requests.
fn serving_count(nodes: usize, requests_per_s: f64) -> usize {
    let by_load = (requests_per_s / REQUESTS_PER_NODE).ceil() as usize;
    let least = MIN_SERVING.max(nodes / MIN_SERVING_DIVISOR);
    by_load.max(least).min(nodes)
}
