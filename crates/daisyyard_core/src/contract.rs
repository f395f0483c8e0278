//! Contracts: service-level targets and capacity shares of one rank of one service.

use std::time::Duration;

use daisyyard_derive::{key, record};

/// Priority class of a request; urgent work goes first.
#[key]
pub enum Rank {
    /// Interactive work: a person waits for the answer.
    Urgent,
    /// Background work: the caller tolerates delays.
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

    /// Returns the rank with the given name, if there is one.
    pub fn parse(name: &str) -> Option<Self> {
        Self::ALL.into_iter().find(|rank| rank.name() == name)
    }
}

/// Latency targets, worth and capacity share of one rank of one service.
#[record]
pub struct Contract {
    /// Target for the time from the request to its first token.
    pub first_token: Duration,
    /// Target for the mean time between two tokens.
    pub token_gap: Duration,
    /// Maximum time that a request waits for admission before it is refused.
    pub queue_timeout: Duration,
    /// Minimum share of the service's capacity, from 0 to 1, under overload by the other rank.
    pub floor: f64,
    /// Weight of one request that met its targets when results are compared.
    pub worth: f64,
}

impl Contract {
    /// Returns the contract of a rank in the built-in preset `ordinary`.
    pub fn ordinary(rank: Rank) -> Self {
        match rank {
            Rank::Urgent => Self {
                first_token: Duration::from_millis(510),
                token_gap: Duration::from_millis(31),
                queue_timeout: Duration::from_secs(2),
                floor: 0.5,
                worth: 10.0,
            },
            Rank::Deferrable => Self {
                first_token: Duration::from_secs(10),
                token_gap: Duration::from_millis(62),
                queue_timeout: Duration::from_secs(30),
                floor: 0.1,
                worth: 1.0,
            },
        }
    }
}
