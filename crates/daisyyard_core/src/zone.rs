//! Availability zones and the distance between them.

use daisyyard_derive::{key, value};

use crate::id::{self, RegionId, ZoneId};

/// An availability zone within a region.
#[value]
pub struct Zone {
    /// Identifier derived from the name.
    pub id: ZoneId,
    /// Name that operators use.
    pub name: String,
    /// Region that the zone belongs to.
    pub region: RegionId,
}

/// How far two availability zones are apart.
#[key]
pub enum Distance {
    /// Both ends are in the same availability zone.
    Local,
    /// The ends are in different zones of one region.
    Regional,
    /// The ends are in different regions.
    Remote,
}

impl Zone {
    /// Creates a zone from its name and the name of its region.
    pub fn new(name: &str, region: &str) -> Self {
        Self {
            id: id::of(name),
            name: name.to_owned(),
            region: id::of(region),
        }
    }

    /// Returns the distance from this zone to another.
    pub fn distance(&self, other: &Self) -> Distance {
        if self.id == other.id {
            Distance::Local
        } else if self.region == other.region {
            Distance::Regional
        } else {
            Distance::Remote
        }
    }
}
