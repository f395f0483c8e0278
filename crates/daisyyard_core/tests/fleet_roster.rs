//! Guards against fleets whose nodes all exchange digests and read the store, and against a fleet
//! without serving nodes or readers after losses.

use std::collections::BTreeMap;

use daisyyard_core::id::{InstanceId, ZoneId};
use daisyyard_core::roster::{Node, Role, Roster};

/// Number of availability zones.
const ZONES: u64 = 5;

/// Returns live nodes in all zones.
fn nodes(count: u64) -> Vec<Node> {
    let node = |number: u64| Node {
        id: number.wrapping_mul(0x9e37_79b9_7f4a_7c15),
        zone: number % ZONES,
        reaches_store: true,
    };
    (1..=count).map(node).collect()
}

/// Returns the nodes with one of the roles.
fn with_role(roster: &Roster, nodes: &[Node], roles: &[Role]) -> Vec<InstanceId> {
    let ids = nodes.iter().map(|node| node.id);
    ids.filter(|id| roles.contains(&roster.role(*id))).collect()
}

/// Returns the serving nodes, including the readers.
fn serving(roster: &Roster, nodes: &[Node]) -> Vec<InstanceId> {
    with_role(roster, nodes, &[Role::Reader, Role::Serving])
}

/// A small fleet is not divided, and few of its nodes read the store.
#[test]
fn small_fleet() {
    let nodes = nodes(22);
    let roster = Roster::new(&nodes, 0.0);
    assert_eq!(serving(&roster, &nodes).len(), 22);
    assert_eq!(with_role(&roster, &nodes, &[Role::Reader]).len(), 3);
}

/// In a large fleet, a part that grows with the load serves, in each zone by its size.
#[test]
fn large_fleet() {
    let nodes = nodes(300);
    let idle = serving(&Roster::new(&nodes, 0.0), &nodes);
    assert!((75..=80).contains(&idle.len()), "{}", idle.len());
    let roster = Roster::new(&nodes, 900.0);
    let busy = serving(&roster, &nodes);
    assert!((150..=155).contains(&busy.len()), "{}", busy.len());
    assert!(idle.iter().all(|id| busy.contains(id)), "nodes moved");
    let mut zones: BTreeMap<ZoneId, usize> = BTreeMap::new();
    for node in nodes.iter().filter(|node| busy.contains(&node.id)) {
        *zones.entry(node.zone).or_default() += 1;
    }
    assert!(zones.values().all(|count| *count == 30), "{zones:?}");
    assert_eq!(serving(&Roster::new(&nodes, 1e6), &nodes).len(), 300);
}

/// The loss of serving nodes moves only as many others up; those that remain keep their part.
#[test]
fn loss_moves_few() {
    let mut nodes = nodes(300);
    let before = serving(&Roster::new(&nodes, 0.0), &nodes);
    let lost: Vec<InstanceId> = before.iter().copied().step_by(4).collect();
    nodes.retain(|node| !lost.contains(&node.id));
    let after = serving(&Roster::new(&nodes, 0.0), &nodes);
    let kept = before.iter().filter(|id| !lost.contains(id));
    let kept_serving = kept.clone().filter(|id| after.contains(id)).count();
    assert!(kept.count() - kept_serving <= ZONES as usize * 2);
    assert!(after.len() >= nodes.len() / 4);
}

/// Readers are in different zones, and none of them is a node that does not reach the store while
/// others do.
#[test]
fn readers_reach_store() {
    let mut nodes = nodes(300);
    let readers = with_role(&Roster::new(&nodes, 0.0), &nodes, &[Role::Reader]);
    let reader_zones = nodes.iter().filter(|node| readers.contains(&node.id));
    let mut zones: Vec<ZoneId> = reader_zones.map(|node| node.zone).collect();
    zones.dedup();
    assert_eq!(zones.len(), 3);
    for node in &mut nodes {
        node.reaches_store = !readers.contains(&node.id);
    }
    let roster = Roster::new(&nodes, 0.0);
    let others = with_role(&roster, &nodes, &[Role::Reader]);
    assert_eq!(others.len(), 3);
    assert!(others.iter().all(|id| !readers.contains(id)));
    assert!(readers.iter().all(|id| roster.is_serving(*id)));
}

/// A fleet of one node serves and reads.
#[test]
fn single_node() {
    let nodes = nodes(1);
    let roster = Roster::new(&nodes, 0.0);
    assert_eq!(roster.role(nodes[0].id), Role::Reader);
    assert_eq!(roster.serving_count(), 1);
}
