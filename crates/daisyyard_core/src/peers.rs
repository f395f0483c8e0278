//! The peers that a node chooses to exchange heartbeats with.

use std::collections::BTreeMap;

use crate::home;
use crate::id::{InstanceId, ZoneId};
use crate::instance::{Instance, State};

/// Most peers that a node chooses.
pub const MAX_PEERS: usize = 8;
/// Peers in the own availability zone, if it has that many.
pub const LOCAL_PEERS: usize = 3;

/// Returns the peers of a node among the members that are not gone, given in the order of ids.
///
/// The choice depends only on the members, so that it stays the same while they do. The weight of
/// a pair is the same from both ends, so that both often choose each other. The live member with
/// the next id is always chosen: by weight alone, about 1 in 3,000 nodes would be chosen by
/// nobody, and its failure would never be seen.
pub(crate) fn choose(me: &Instance, members: &[&Instance]) -> Vec<InstanceId> {
    // A suspected member ends by itself, so the one after it can be watched already.
    let sound = |instance: &&&Instance| instance.state < State::Suspected;
    let mut after = members.iter().filter(|instance| instance.id > me.id);
    let next = after.find(sound).or(members.iter().find(sound));
    let Some(next) = next.or(members.first()) else {
        return Vec::new();
    };
    let mut chosen = vec![next.id];
    let mut zones: BTreeMap<ZoneId, Vec<InstanceId>> = BTreeMap::new();
    for instance in members.iter().filter(|instance| instance.id != next.id) {
        zones.entry(instance.zone.id).or_default().push(instance.id);
    }
    for members in zones.values_mut() {
        members.sort_unstable_by_key(|id| pair_weight(me.id, *id));
    }
    let mut local = zones.remove(&me.zone.id).unwrap_or_default();
    let near = usize::from(next.zone.id == me.zone.id);
    let first = local.len() - local.len().min(LOCAL_PEERS - near);
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

/// Returns the weight of a pair of nodes, the same from both ends.
fn pair_weight(one: InstanceId, other: InstanceId) -> u64 {
    home::weight(one.min(other), one.max(other))
}
