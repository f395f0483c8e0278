//! Choice of the node to which one that is cut off from the endpoints relays a request.
//!
//! A node knows only what it relays itself. If all that are cut off chose the same node, for instance
//! the only one of their zone that is not, it would be overloaded, so each compares a random sample.

use rand::Rng;

use crate::id::InstanceId;

/// Number of nodes that are compared.
const SAMPLE: usize = 2;

/// A node that takes requests from others.
#[derive(Debug, Clone, Copy)]
pub struct Peer {
    /// Identifier of the node.
    pub id: InstanceId,
    /// Number of requests in progress that this node relays to it.
    pub relayed: usize,
    /// Whether it is in the availability zone of this node.
    pub local: bool,
}

/// Chooses a node by the number of requests that are relayed to it; of two with the same number, one
/// in the own zone.
pub fn choose(peers: &[Peer], random: &mut impl Rng) -> Option<InstanceId> {
    let sample = rand::seq::index::sample(random, peers.len(), peers.len().min(SAMPLE));
    let compared = sample.into_iter().map(|index| peers[index]);
    let chosen = compared.min_by_key(|peer| (peer.relayed, !peer.local));
    chosen.map(|peer| peer.id)
}
