//! Rendezvous hashing, which chooses the home node of an engine, a watch or a partition.

use twox_hash::XxHash3_64;

use crate::id::InstanceId;

/// Seed of the rendezvous hash; it must be the same on all nodes.
const SEED: u64 = 0x7265_6e64_657a_766f;

/// Returns the weight of a node for a key. The node with the highest weight is the home of the key.
pub fn weight(key: u64, node: InstanceId) -> u64 {
    let mut bytes = [0; 16];
    bytes[..8].copy_from_slice(&key.to_le_bytes());
    bytes[8..].copy_from_slice(&node.to_le_bytes());
    XxHash3_64::oneshot_with_seed(SEED, &bytes)
}

/// Returns the home of a key among the given nodes.
pub fn of(key: u64, nodes: impl IntoIterator<Item = InstanceId>) -> Option<InstanceId> {
    nodes.into_iter().max_by_key(|node| weight(key, *node))
}

/// Returns the `count` nodes with the highest weights for a key, in descending order of weight.
pub fn first(
    key: u64,
    nodes: impl IntoIterator<Item = InstanceId>,
    count: usize,
) -> Vec<InstanceId> {
    let mut ranked: Vec<InstanceId> = nodes.into_iter().collect();
    ranked.sort_unstable_by_key(|node| std::cmp::Reverse(weight(key, *node)));
    ranked.truncate(count);
    ranked
}
