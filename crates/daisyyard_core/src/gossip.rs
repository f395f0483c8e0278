//! Records about instances that nodes exchange by gossip.

use std::net::SocketAddr;

use daisyyard_derive::value;

use crate::id::{Incarnation, InstanceId};
use crate::instance::{Instance, State};
use crate::zone::Zone;

/// Name, zone and addresses of an instance.
#[value]
pub struct Location {
    /// Name of the instance in its settings.
    pub name: String,
    /// Availability zone.
    pub zone: Zone,
    /// Address at which clients connect.
    pub address: SocketAddr,
    /// Address at which other nodes connect.
    pub peer: SocketAddr,
}

/// Information about an instance that one node sends to another.
#[value]
pub struct Record {
    /// Instance that the record describes.
    pub id: InstanceId,
    /// Incarnation of the instance that the record describes.
    pub incarnation: Incarnation,
    /// State of the instance.
    pub state: State,
    /// Location of the instance; left out if the receiver is likely to know it.
    pub location: Option<Location>,
}

impl Record {
    /// Returns the instance that the record describes, if the record contains its location.
    pub(crate) fn into_instance(self) -> Option<Instance> {
        let location = self.location?;
        Some(Instance {
            id: self.id,
            name: location.name,
            zone: location.zone,
            address: location.address,
            peer: location.peer,
            incarnation: self.incarnation,
            state: self.state,
        })
    }
}

impl Location {
    /// Sets the location of an instance, which a restart may change.
    pub(crate) fn apply(self, instance: &mut Instance) {
        instance.name = self.name;
        instance.zone = self.zone;
        instance.address = self.address;
        instance.peer = self.peer;
    }
}

/// Creates the record of an instance, with its location if `full` is set.
pub(crate) fn record(instance: &Instance, state: State, full: bool) -> Record {
    let location = full.then(|| Location {
        name: instance.name.clone(),
        zone: instance.zone.clone(),
        address: instance.address,
        peer: instance.peer,
    });
    Record {
        id: instance.id,
        incarnation: instance.incarnation,
        state,
        location,
    }
}
