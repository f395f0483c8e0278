//! Definitions of the experiments.

use std::time::Duration;

use daisyyard_core::contract::Rank;
use daisyyard_core::id::Tokens;

use crate::ablation::Part;
use crate::event_queue::Time;

/// Time during which requests arrive, unless an experiment is shortened.
pub const ARRIVAL_DURATION: Duration = Duration::from_mins(3);

/// Scenario that a simulation runs.
#[derive(Debug, Clone)]
pub struct Experiment {
    /// Name used on the command line and in reports.
    pub name: &'static str,
    /// Description in the list of experiments.
    pub summary: &'static str,
    /// Time during which requests arrive.
    pub duration: Duration,
    /// Rank whose requests flood the system in the window, if any.
    pub flood_rank: Option<Rank>,
    /// Start and end of the flood or of the network split.
    pub window: (Time, Time),
    /// Arrival rate of the large accounts as a multiple of their ordinary rate.
    pub large_account_factor: f64,
    /// Addition to the log-normal sigma of the long workload's output lengths.
    pub extra_sigma: f64,
    /// Factor on the median of the long workload's output lengths.
    pub median_factor: f64,
    /// Value to which the long workload's maximum output length is raised if it is lower.
    pub raised_max_output: Tokens,
    /// Whether rate and output length of the long workload change at half time.
    pub length_shift: bool,
    /// Age of a load report when it arrives.
    pub report_delay: Duration,
    /// Whether a network split isolates the first availability zone's nodes in the window.
    pub split: bool,
    /// Part of the decisions that is left out, if any.
    pub without: Option<Part>,
}

/// Period with a constant arrival rate of the long workload.
#[derive(Debug, Clone)]
pub struct Stage {
    /// Start of the stage.
    pub from: Time,
    /// End of the stage.
    pub until: Time,
    /// Factor on the arrival rate.
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

    /// Returns the experiment with the given name, if there is one.
    pub fn parse(name: &str) -> Option<Self> {
        Self::all()
            .into_iter()
            .find(|experiment| experiment.name == name)
    }

    /// Returns the experiment with a shorter arrival period, for tests.
    pub fn shortened(self, duration: Duration) -> Self {
        let window = (duration / 3, duration * 2 / 3);
        Self {
            duration,
            window,
            ..self
        }
    }

    /// Returns the stages of the long workload.
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
