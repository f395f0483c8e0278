//! The experiments by name.

use std::time::Duration;

use daisyyard_core::contract::Rank;
use daisyyard_core::id::Tokens;

use crate::ablation::Part;
use crate::event_queue::Time;

/// Time during which requests arrive.
pub const ARRIVAL_DURATION: Duration = Duration::from_mins(3);

/// An experiment.
#[derive(Debug, Clone)]
pub struct Experiment {
    /// Name on the command line.
    pub name: &'static str,
    /// What the experiment does.
    pub summary: &'static str,
    /// Time during which requests arrive.
    pub duration: Duration,
    /// Rank whose requests flood the system.
    pub flood_rank: Option<Rank>,
    /// Beginning and end of the flood or of the cut.
    pub window: (Time, Time),
    /// Requests of the large accounts as a multiple of the ordinary ones.
    pub large_account_factor: f64,
    /// Addition to the spread of the long work's output lengths.
    pub extra_sigma: f64,
    /// Factor on the median of the long work's output lengths.
    pub median_factor: f64,
    /// Longest output that the experiment allows at least.
    pub raised_max_output: Tokens,
    /// Whether the long work changes at half time.
    pub length_shift: bool,
    /// Age of a load report when it arrives.
    pub report_delay: Duration,
    /// Whether messages between the first zone's nodes and the others are lost in the window.
    pub split: bool,
    /// Part of the decisions that is left out.
    pub without: Option<Part>,
}

/// A part of an experiment with steady arrivals of the long work.
#[derive(Debug, Clone)]
pub struct Stage {
    /// Beginning.
    pub from: Time,
    /// End.
    pub until: Time,
    /// Factor on the requests a second.
    pub rate_factor: f64,
    /// Factor on the median output length.
    pub length_factor: f64,
}

impl Experiment {
    /// Returns all experiments.
    pub fn all() -> Vec<Self> {
        let ordinary = Self {
            name: "ordinary",
            summary: "an ordinary day",
            duration: ARRIVAL_DURATION,
            flood_rank: None,
            window: (ARRIVAL_DURATION / 3, ARRIVAL_DURATION * 2 / 3),
            large_account_factor: 1.0,
            extra_sigma: 0.0,
            median_factor: 1.0,
            raised_max_output: 0,
            length_shift: false,
            report_delay: Duration::from_millis(500),
            split: false,
            without: None,
        };
        vec![
            Self {
                name: "flood-deferrable",
                summary: "deferrable work far above the capacity in the middle third",
                flood_rank: Some(Rank::Deferrable),
                ..ordinary.clone()
            },
            Self {
                name: "flood-urgent",
                summary: "urgent work far above the capacity in the middle third",
                flood_rank: Some(Rank::Urgent),
                ..ordinary.clone()
            },
            Self {
                name: "large-accounts",
                summary: "two accounts make five times their ordinary requests",
                large_account_factor: 5.0,
                ..ordinary.clone()
            },
            Self {
                name: "long-tail",
                summary: "a much heavier tail of output lengths",
                extra_sigma: 0.6,
                median_factor: 0.5,
                raised_max_output: 30_000,
                ..ordinary.clone()
            },
            Self {
                name: "shift",
                summary: "long work becomes three times as long and half as frequent at half time",
                length_shift: true,
                ..ordinary.clone()
            },
            Self {
                name: "stale-reports",
                summary: "load reports are 2 s old, under the flood of deferrable work",
                flood_rank: Some(Rank::Deferrable),
                report_delay: Duration::from_secs(2),
                ..ordinary.clone()
            },
            Self {
                name: "cut-exchange",
                summary: "the first zone's nodes lose contact with the others for 60 s",
                split: true,
                ..ordinary.clone()
            },
            ordinary,
        ]
    }

    /// Returns the experiment with the given name.
    pub fn parse(name: &str) -> Option<Self> {
        Self::all()
            .into_iter()
            .find(|experiment| experiment.name == name)
    }

    /// Returns the experiment shortened to the given time, for quick checks.
    pub fn shortened(self, duration: Duration) -> Self {
        let window = (duration / 3, duration * 2 / 3);
        Self {
            duration,
            window,
            ..self
        }
    }

    /// Returns the parts of the experiment.
    pub fn stages(&self) -> Vec<Stage> {
        let half = self.duration / 2;
        let stage = |from, until, rate_factor, length_factor| Stage {
            from,
            until,
            rate_factor,
            length_factor,
        };
        if self.length_shift {
            vec![
                stage(Duration::ZERO, half, 1.0, self.median_factor),
                stage(half, self.duration, 0.5, 3.0 * self.median_factor),
            ]
        } else {
            vec![stage(
                Duration::ZERO,
                self.duration,
                1.0,
                self.median_factor,
            )]
        }
    }
}
