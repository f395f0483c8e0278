//! Contracts: what a preset promises to one rank of one service.

use std::time::Duration;

use daisyyard_derive::{key, record};

/// Rank of a request; urgent work goes first.
#[key]
pub enum Rank {
    /// Somebody waits for the answer at work.
    Urgent,
    /// The caller waits patiently.
    Deferrable,
}

impl Rank {
    /// All ranks, most urgent first.
    pub const ALL: [Self; 2] = [Self::Urgent, Self::Deferrable];

    /// Returns the name used in headers, settings and reports.
    pub fn name(self) -> &'static str {
        match self {
            Self::Urgent => "urgent",
            Self::Deferrable => "deferrable",
        }
    }

    /// Returns the rank with the given name.
    pub fn parse(name: &str) -> Option<Self> {
        Self::ALL.into_iter().find(|rank| rank.name() == name)
    }
}

/// Targets, worth and limits of one rank of one service.
#[record]
pub struct Contract {
    /// Time from the request to its first token that counts as met.
    pub first_token: Duration,
    /// Time between two tokens that counts as met.
    pub token_gap: Duration,
    /// Longest time that a request waits for admission before it is refused.
    pub queue: Duration,
    /// Share of the service's capacity that the rank keeps in a flood of the other, from 0 to 1.
    pub floor: f64,
    /// Worth of one request that met its targets.
    pub worth: f64,
}

impl Contract {
    /// Returns the contract of a rank in the built-in preset for ordinary days.
    pub fn ordinary(rank: Rank) -> Self {
        match rank {
            Rank::Urgent => Self {
                first_token: Duration::from_millis(510),
                token_gap: Duration::from_millis(31),
                queue: Duration::from_secs(2),
                floor: 0.5,
                worth: 10.0,
            },
            Rank::Deferrable => Self {
                first_token: Duration::from_secs(10),
                token_gap: Duration::from_millis(62),
                queue: Duration::from_secs(30),
                floor: 0.1,
                worth: 1.0,
            },
        }
    }
}
