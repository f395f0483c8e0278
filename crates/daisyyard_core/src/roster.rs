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
/// Least number of nodes that read the store in a fleet.
const MIN_READERS: usize = 3;

/// Part of a node in its fleet.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Role {
    /// Serves callers, reads the store and tells its zone what has changed.
    Reader,
    /// Serves callers.
    Serving,
    /// Serves the callers that come nevertheless, and is ready to take the place of another node.
    Reserve,
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
    /// Divides the live nodes, given with their availability zones, for a rate of requests.
    pub fn new(nodes: &[(InstanceId, ZoneId)], requests_per_s: f64) -> Self {
        let mut zones: BTreeMap<ZoneId, Vec<InstanceId>> = BTreeMap::new();
        for (node, zone) in nodes {
            zones.entry(*zone).or_default().push(*node);
        }
        let wanted = serving_count(nodes.len(), requests_per_s);
        let readers_in_zone = MIN_READERS.div_ceil(zones.len().max(1));
        let mut roster = Self::default();
        for members in zones.into_values() {
            let share = (wanted * members.len()).div_ceil(nodes.len());
            let ranked = home::first(RANKING, members, share.max(MIN_SERVING_IN_ZONE));
            roster.readers.extend(ranked.iter().take(readers_in_zone));
            roster.serving.extend(ranked);
        }
        roster
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
