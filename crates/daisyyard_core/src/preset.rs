//! Presets written by operators, and the document that contains them.

use std::collections::BTreeMap;
use std::time::{Duration, SystemTime};

use daisyyard_derive::{record, value};

use crate::account::Limit;
use crate::contract::{Contract, Rank};
use crate::id::{self, Revision, ServiceId};

/// Contracts and limits of one service in a preset.
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
    /// Allowed number of retries per first attempt, from 0 to 1.
    pub retries: f64,
    /// Time for which a leaving node still accepts connections from clients that have its address.
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

    /// Appends all faults of the terms.
    fn check(&self, key: &str, faults: &mut Vec<Fault>) {
        for rank in Rank::ALL {
            let contract = self.contract(rank);
            let key = format!("{key}.{}", rank.name());
            let times = [
                ("first_token_ms", contract.first_token, "510"),
                ("token_gap_ms", contract.token_gap, "31"),
                ("queue_ms", contract.queue_timeout, "2000"),
            ];
            for (name, time, example) in times {
                let (found, allowed) = (time.as_millis() as f64, (1.0, 3.6e6));
                let expected = "a number of milliseconds from 1 to 3600000";
                check_range(
                    format!("{key}.{name}"),
                    found,
                    allowed,
                    expected,
                    example,
                    faults,
                );
            }
            let (floor, worth) = (format!("{key}.floor"), format!("{key}.worth"));
            let expected = "a share from 0 to 0.9";
            check_range(floor, contract.floor, (0.0, 0.9), expected, "0.1", faults);
            let expected = "a number from 0 to 1000000";
            check_range(worth, contract.worth, (0.0, 1e6), expected, "10", faults);
        }
        let floors = self.urgent.floor + self.deferrable.floor;
        let (both, expected) = (format!("{key}.*.floor"), "floors that add up to at most 1");
        check_range(both, floors, (0.0, 1.0), expected, "0.5 and 0.1", faults);
        let expected = "a number of tokens from 1 to 1e12";
        let (rate, burst) = (format!("{key}.limit.rate"), format!("{key}.limit.burst"));
        check_range(
            rate,
            self.limit.rate,
            (1.0, 1e12),
            expected,
            "20000",
            faults,
        );
        check_range(
            burst,
            self.limit.burst,
            (1.0, 1e12),
            expected,
            "200000",
            faults,
        );
        let (retries, expected) = (format!("{key}.retries"), "a share from 0 to 1");
        check_range(retries, self.retries, (0.0, 1.0), expected, "0.1", faults);
        let (drain, found) = (format!("{key}.drain_ms"), self.drain.as_millis() as f64);
        let expected = "a number of milliseconds from 0 to 600000";
        check_range(drain, found, (0.0, 6e5), expected, "10000", faults);
    }

    /// Returns the contract of a rank.
    pub fn contract(&self, rank: Rank) -> &Contract {
        match rank {
            Rank::Urgent => &self.urgent,
            Rank::Deferrable => &self.deferrable,
        }
    }
}

/// Largest length of the name of a preset, in bytes.
const MAX_NAME_BYTES: usize = 64;

/// Appends a fault if a value is outside its bounds or NaN.
fn check_range(
    key: String,
    found: f64,
    allowed: (f64, f64),
    expected: &'static str,
    example: &'static str,
    faults: &mut Vec<Fault>,
) {
    if !(allowed.0..=allowed.1).contains(&found) {
        faults.push(Fault {
            key,
            found: found.to_string(),
            expected,
            example,
        });
    }
}

/// A named set of terms that is put in force as a whole.
#[record]
pub struct Preset {
    /// Name of the preset.
    pub name: String,
    /// Terms by service.
    pub terms: BTreeMap<ServiceId, Terms>,
}

impl Preset {
    /// Returns the built-in preset for ordinary days.
    pub fn ordinary(services: &[&str]) -> Self {
        let terms = services
            .iter()
            .map(|name| (id::of(name), Terms::ordinary(name)))
            .collect();
        Self {
            name: "ordinary".to_owned(),
            terms,
        }
    }

    /// Returns all faults of the preset.
    pub fn faults(&self) -> Vec<Fault> {
        let mut faults = Vec::new();
        let named = !self.name.is_empty() && self.name.len() <= MAX_NAME_BYTES;
        if !named
            || !self
                .name
                .chars()
                .all(|c| c.is_ascii_alphanumeric() || c == '-')
        {
            faults.push(Fault {
                key: "name".to_owned(),
                found: format!("{:?}", self.name),
                expected: "1 to 64 letters, digits and hyphens",
                example: "peak-days",
            });
        }
        if self.terms.is_empty() {
            faults.push(Fault {
                key: "services".to_owned(),
                found: "no service".to_owned(),
                expected: "at least one service",
                example: "the output of `daisyyard preset show ordinary`",
            });
        }
        for terms in self.terms.values() {
            terms.check(&format!("services.{}", terms.name), &mut faults);
        }
        faults
    }
}

/// All presets, the one in force and the revision, stored as a single value in the configuration
/// service.
#[record]
pub struct Document {
    /// Revision, which each accepted change increases by one.
    pub revision: Revision,
    /// Unique identifier of the write that created the revision.
    pub write_id: u64,
    /// Name of the preset in force.
    pub current: String,
    /// All presets by name.
    pub presets: BTreeMap<String, Preset>,
    /// Most recent changes, oldest first.
    pub history: Vec<Change>,
}

/// Number of changes in the history of a document.
pub const MAX_HISTORY: usize = 32;

/// An accepted change of the document.
#[value]
pub struct Change {
    /// Revision that the change created.
    pub revision: Revision,
    /// Identifier of the write.
    pub write_id: u64,
    /// Time of the change at the node that made it.
    pub at: SystemTime,
    /// Operator who made the change.
    pub by: String,
    /// Summary of the change.
    pub summary: String,
}

/// A change requested by an operator.
#[record]
pub enum Edit {
    /// Add a preset, or replace the one with the same name.
    Put(Preset),
    /// Put the preset with this name in force.
    Use(String),
}

/// A fault of a preset or a document, with the information needed to correct it.
#[value]
pub struct Fault {
    /// Path of the faulty value, such as `services.asistente.urgent.floor`.
    pub key: String,
    /// Value that was found.
    pub found: String,
    /// Description of the allowed values.
    pub expected: &'static str,
    /// Example of an allowed value.
    pub example: &'static str,
}

impl std::fmt::Display for Fault {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        let Self {
            key,
            found,
            expected,
            example,
        } = self;
        write!(
            f,
            "{key}: found {found}, expected {expected}, such as {example}"
        )
    }
}

impl Document {
    /// Creates the initial document, with one preset, which is in force.
    pub fn initial(preset: Preset) -> Self {
        let current = preset.name.clone();
        Self {
            revision: 0,
            write_id: 0,
            current: current.clone(),
            presets: BTreeMap::from([(current, preset)]),
            history: Vec::new(),
        }
    }

    /// Returns the document after an edit, or all faults of the edit.
    pub fn edit(
        &self,
        edit: Edit,
        write_id: u64,
        by: &str,
        at: SystemTime,
    ) -> Result<Self, Vec<Fault>> {
        let mut next = self.clone();
        let summary = match edit {
            Edit::Put(preset) => {
                let faults = preset.faults();
                if !faults.is_empty() {
                    return Err(faults);
                }
                let summary = format!("put {}", preset.name);
                next.presets.insert(preset.name.clone(), preset);
                summary
            }
            Edit::Use(name) => {
                if !self.presets.contains_key(&name) {
                    return Err(vec![Fault {
                        key: "current".to_owned(),
                        found: format!("{name:?}"),
                        expected: "the name of a preset that `daisyyard preset list` shows",
                        example: "ordinary",
                    }]);
                }
                let summary = format!("use {name}");
                next.current = name;
                summary
            }
        };
        next.revision += 1;
        next.write_id = write_id;
        next.history.push(Change {
            revision: next.revision,
            write_id,
            at,
            by: by.to_owned(),
            summary,
        });
        let excess = next.history.len().saturating_sub(MAX_HISTORY);
        next.history.drain(..excess);
        Ok(next)
    }

    /// Returns whether the history contains a write, which then took effect.
    pub fn contains(&self, write_id: u64) -> bool {
        self.write_id == write_id
            || self
                .history
                .iter()
                .any(|change| change.write_id == write_id)
    }

    /// Returns the preset in force.
    pub fn in_force(&self) -> Option<&Preset> {
        self.presets.get(&self.current)
    }
}
