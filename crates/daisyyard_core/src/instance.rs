//! Instances, each of which runs one node.

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
    /// Name of the instance in its settings.
    pub name: String,
    /// Availability zone of the instance.
    pub zone: Zone,
    /// Address at which clients connect.
    pub address: SocketAddr,
    /// Address at which other nodes connect.
    pub peer: SocketAddr,
    /// Incarnation, which increases with each restart.
    pub incarnation: Incarnation,
    /// Last known state of the instance.
    pub state: State,
}

/// State of an instance, in increasing order of certainty that it is unusable.
#[key]
pub enum State {
    /// The instance serves requests.
    Live,
    /// The instance finishes its requests and accepts no new ones once its drain time has passed.
    Leaving,
    /// Nothing has been received from the instance for some time, so that it may have failed.
    Suspected,
    /// The instance has stopped or failed.
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

/// Returns the addresses of live instances for a client in a zone: first those in the zone, then
/// those in its region, then all others. The seed determines the order within each group.
pub fn nearest(instances: &[Instance], zone: &Zone, seed: u64, count: usize) -> Vec<SocketAddr> {
    let live = instances
        .iter()
        .filter(|instance| instance.state == State::Live);
    let mut ranked: Vec<&Instance> = live.collect();
    ranked.sort_by_key(|instance| {
        let distance = match zone.distance(&instance.zone) {
            Distance::Local => 0,
            Distance::Regional => 1,
            Distance::Remote => 2,
        };
        (distance, home::weight(seed, instance.id))
    });
    let addresses = ranked.iter().map(|instance| instance.address);
    addresses.take(count).collect()
}
