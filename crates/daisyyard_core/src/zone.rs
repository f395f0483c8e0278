//! Availability zones and the distance between them.

use daisyyard_derive::{key, value};

use crate::id::{self, RegionId, ZoneId};

/// An availability zone within a region.
#[value]
pub struct Zone {
    /// Identifier derived from the name.
    pub id: ZoneId,
    /// Name shown to operators.
    pub name: String,
    /// Region of the zone.
    pub region: RegionId,
}

/// Distance between two availability zones.
#[key]
pub enum Distance {
    /// The zones are the same.
    Local,
    /// The zones are different zones of the same region.
    Regional,
    /// The zones are in different regions.
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
