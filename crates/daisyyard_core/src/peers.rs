//! Choice of the peers that a node exchanges heartbeats with.

use std::collections::BTreeMap;

use crate::home;
use crate::id::{InstanceId, ZoneId};
use crate::instance::{Instance, State};

/// Largest number of peers that a node chooses.
pub const MAX_PEERS: usize = 8;
/// Number of peers in the node's own availability zone, if it has that many.
pub const LOCAL_PEERS: usize = 3;

/// Returns the peers of a node among the members that are not gone, given in the order of their
/// identifiers.
///
/// The choice depends only on the members, so that it is stable while they do not change. The
/// weight of a pair of nodes is symmetric, so that both often choose each other. The next member
/// by identifier that is not suspected is always chosen: by weight alone, about 1 in 3,000 nodes
/// would be chosen by no other node, and its failure would not be detected.
pub(crate) fn choose(node: &Instance, members: &[&Instance]) -> Vec<InstanceId> {
    // A suspected member becomes gone after a timeout even if no node monitors it, so the member
    // after it is chosen already.
    let healthy = |instance: &&&Instance| instance.state < State::Suspected;
    let mut after = members.iter().filter(|instance| instance.id > node.id);
    let next = after.find(healthy).or(members.iter().find(healthy));
    let Some(next) = next.or(members.first()) else {
        return Vec::new();
    };
    let mut chosen = vec![next.id];
    let mut zones: BTreeMap<ZoneId, Vec<InstanceId>> = BTreeMap::new();
    for instance in members.iter().filter(|instance| instance.id != next.id) {
        zones.entry(instance.zone.id).or_default().push(instance.id);
    }
    for members in zones.values_mut() {
        members.sort_unstable_by_key(|id| pair_weight(node.id, *id));
    }
    let mut local = zones.remove(&node.zone.id).unwrap_or_default();
    let local_chosen = usize::from(next.zone.id == node.zone.id);
    let first = local.len() - local.len().min(LOCAL_PEERS - local_chosen);
    chosen.extend(local.split_off(first).into_iter().rev());
    while chosen.len() < MAX_PEERS && zones.values().any(|members| !members.is_empty()) {
        for members in zones.values_mut() {
            if chosen.len() < MAX_PEERS {
                chosen.extend(members.pop());
            }
        }
    }
    while chosen.len() < MAX_PEERS
        && let Some(id) = local.pop()
    {
        chosen.push(id);
    }
    chosen
}

/// Returns the symmetric weight of a pair of nodes.
fn pair_weight(one: InstanceId, other: InstanceId) -> u64 {
    home::weight(one.min(other), one.max(other))
}
