//! Records about instances, which nodes exchange.

use std::net::SocketAddr;

use daisyyard_derive::value;

use crate::id::{Incarnation, InstanceId};
use crate::instance::{Instance, State};
use crate::zone::Zone;

/// Where an instance stands and how it is reached.
#[value]
pub struct Location {
    /// Name from the settings.
    pub name: String,
    /// Availability zone.
    pub zone: Zone,
    /// Address on which callers connect.
    pub address: SocketAddr,
    /// Address on which other nodes connect.
    pub peer: SocketAddr,
}

/// What one node tells another about an instance.
#[value]
pub struct Record {
    /// Instance that the record describes.
    pub id: InstanceId,
    /// Start of the instance that the record is about.
    pub incarnation: Incarnation,
    /// State of the instance.
    pub state: State,
    /// Where the instance stands; left out when the receiver is likely to know it.
    pub location: Option<Location>,
}

impl Record {
    /// Returns the instance that the record describes, if it says where the instance stands.
    pub(crate) fn into_instance(self) -> Option<Instance> {
        let place = self.location?;
        Some(Instance {
            id: self.id,
            name: place.name,
            zone: place.zone,
            address: place.address,
            peer: place.peer,
            incarnation: self.incarnation,
            state: self.state,
        })
    }
}

impl Location {
    /// Moves an instance to this place, which a restart may bring.
    pub(crate) fn apply(self, instance: &mut Instance) {
        instance.name = self.name;
        instance.zone = self.zone;
        instance.address = self.address;
        instance.peer = self.peer;
    }
}

/// Returns the record of an instance, with its place if `full` is set.
pub(crate) fn record(instance: &Instance, state: State, full: bool) -> Record {
    let place = full.then(|| Location {
        name: instance.name.clone(),
        zone: instance.zone.clone(),
        address: instance.address,
        peer: instance.peer,
    });
    Record {
        id: instance.id,
        incarnation: instance.incarnation,
        state,
        location: place,
    }
}
