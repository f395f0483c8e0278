//! Presets: what operators write, and the document that holds them all.

use std::collections::BTreeMap;
use std::time::Duration;

use daisyyard_derive::record;

use crate::account::Limit;
use crate::contract::{Contract, Rank};
use crate::id::{self, Revision, ServiceId};

/// Terms of one service in a preset.
#[record]
pub struct Terms {
    /// Identifier of the service.
    pub service: ServiceId,
    /// Name of the service.
    pub name: String,
    /// Contract of urgent requests.
    pub urgent: Contract,
    /// Contract of deferrable requests.
    pub deferrable: Contract,
    /// Rate limit of each client account.
    pub limit: Limit,
    /// Retries allowed per first attempt, from 0 to 1.
    pub retries: f64,
    /// Time that a leaving node goes on accepting callers who hold its address.
    pub drain: Duration,
}

impl Terms {
    /// Returns the built-in terms of a service for ordinary days.
    pub fn ordinary(name: &str) -> Self {
        Self {
            service: id::of(name),
            name: name.to_owned(),
            urgent: Contract::ordinary(Rank::Urgent),
            deferrable: Contract::ordinary(Rank::Deferrable),
            limit: Limit {
                rate: 20_000.0,
                burst: 200_000.0,
            },
            retries: 0.1,
            drain: Duration::from_secs(10),
        }
    }

    /// Returns the contract of a rank.
    pub fn contract(&self, rank: Rank) -> &Contract {
        match rank {
            Rank::Urgent => &self.urgent,
            Rank::Deferrable => &self.deferrable,
        }
    }
}

/// A named set of terms that operators put in force as a whole.
#[record]
pub struct Preset {
    /// Name of the preset.
    pub name: String,
    /// Terms by service.
    pub terms: BTreeMap<ServiceId, Terms>,
}

impl Preset {
    /// Returns the built-in preset for ordinary days.
    pub fn ordinary(services: &[String]) -> Self {
        let terms = services
            .iter()
            .map(|name| (id::of(name), Terms::ordinary(name)))
            .collect();
        Self {
            name: "ordinary".to_owned(),
            terms,
        }
    }
}

/// All presets, the one in force and the revision: the one value that the configuration
/// service keeps.
#[record]
pub struct Document {
    /// Revision, which every accepted change raises by one.
    pub revision: Revision,
    /// Unique identifier of the write that made the revision.
    pub write: u64,
    /// Name of the preset in force.
    pub current: String,
    /// All presets by name.
    pub presets: BTreeMap<String, Preset>,
}

impl Document {
    /// Creates the first document with one preset in force.
    pub fn first(preset: Preset) -> Self {
        let current = preset.name.clone();
        Self {
            revision: 0,
            write: 0,
            current: current.clone(),
            presets: BTreeMap::from([(current, preset)]),
        }
    }

    /// Returns the preset in force.
    pub fn in_force(&self) -> Option<&Preset> {
        self.presets.get(&self.current)
    }
}
