//! Guards against nodes that are cut off from the endpoints and overload one of the others.

use daisyyard_core::peer_choice::{self, Peer};
use rand::SeedableRng;
use rand_pcg::Pcg64Mcg;

/// Returns a number of nodes, of which the first is in the own zone.
fn peers(count: u64) -> Vec<Peer> {
    let peer = |id| Peer {
        id,
        relayed: 0,
        local: id == 0,
    };
    (0..count).map(peer).collect()
}

/// Sixty nodes whose zone has a single sound node relay a request each; it gets few of them.
#[test]
fn one_sound_node() {
    let mut random = Pcg64Mcg::seed_from_u64(3);
    let chosen = (0..60).filter_map(|_| peer_choice::choose(&peers(40), &mut random));
    let local = chosen.filter(|id| *id == 0).count();
    assert!((1..=10).contains(&local), "{local}");
}

/// The requests in progress of one node are spread evenly.
#[test]
fn even_spread() {
    let mut random = Pcg64Mcg::seed_from_u64(4);
    let mut peers = peers(8);
    for _ in 0..80 {
        let id = peer_choice::choose(&peers, &mut random).unwrap();
        peers[id as usize].relayed += 1;
    }
    let most = peers.iter().map(|peer| peer.relayed).max();
    assert!(most <= Some(14), "{peers:?}");
}

/// One node is chosen if there is only one, and none if there is none.
#[test]
fn few_nodes() {
    let mut random = Pcg64Mcg::seed_from_u64(5);
    assert_eq!(peer_choice::choose(&peers(1), &mut random), Some(0));
    assert_eq!(peer_choice::choose(&[], &mut random), None);
}
