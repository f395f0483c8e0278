//! Instances that run the nodes of the system.

use std::net::SocketAddr;

use daisyyard_derive::{key, value};

use crate::home;
use crate::id::{self, Incarnation, InstanceId};
use crate::zone::{Distance, Zone};

/// An instance that runs one node.
#[value]
pub struct Instance {
    /// Identifier derived from the name.
    pub id: InstanceId,
    /// Name from the settings.
    pub name: String,
    /// Availability zone that the instance stands in.
    pub zone: Zone,
    /// Address on which callers connect.
    pub address: SocketAddr,
    /// Address on which other nodes connect.
    pub peer: SocketAddr,
    /// Number of this start; a restart has a higher one.
    pub incarnation: Incarnation,
    /// State of the instance as far as it is known.
    pub state: State,
}

/// Life cycle of an instance, in order of increasing certainty that it is unusable.
#[key]
pub enum State {
    /// Serves requests.
    Live,
    /// Finishes its requests and accepts no new ones after the drain time.
    Leaving,
    /// Has not been heard of for a while.
    Suspected,
    /// Has ended.
    Gone,
}

impl Instance {
    /// Creates a live instance.
    pub fn new(name: &str, zone: Zone, address: SocketAddr, peer: SocketAddr) -> Self {
        let state = State::Live;
        Self {
            id: id::of(name),
            name: name.to_owned(),
            zone,
            address,
            peer,
            incarnation: 0,
            state,
        }
    }
}

/// Returns the addresses of live instances that a caller in a zone should use: those of the zone
/// first, then those of its region, each group in an order that follows from the seed.
pub fn nearest(instances: &[Instance], zone: &Zone, seed: u64, count: usize) -> Vec<SocketAddr> {
    let live = instances.iter().filter(|one| one.state == State::Live);
    let mut ranked: Vec<&Instance> = live.collect();
    ranked.sort_by_key(|one| {
        let distance = match zone.distance(&one.zone) {
            Distance::Local => 0,
            Distance::Regional => 1,
            Distance::Remote => 2,
        };
        (distance, home::weight(seed, one.id))
    });
    let addresses = ranked.iter().map(|one| one.address);
    addresses.take(count).collect()
}
