//! The experiments by name.

use std::time::Duration;

use daisyyard_core::contract::Rank;
use daisyyard_core::id::Tokens;

use crate::ablation::Part;
use crate::agenda::At;

/// Time during which requests arrive.
pub const DURATION: Duration = Duration::from_mins(3);

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
    pub flood: Option<Rank>,
    /// Beginning and end of the flood or of the cut.
    pub window: (At, At),
    /// Requests of the large accounts as a multiple of the ordinary ones.
    pub large: f64,
    /// Addition to the spread of the long work's output lengths.
    pub spread: f64,
    /// Factor on the median of the long work's output lengths.
    pub scale: f64,
    /// Longest output that the experiment allows at least.
    pub longest: Tokens,
    /// Whether the long work changes at half time.
    pub shift: bool,
    /// Age of a load report when it arrives.
    pub lag: Duration,
    /// Whether messages between the first zone's nodes and the others are lost in the window.
    pub cut: bool,
    /// Part of the decisions that is left out.
    pub without: Option<Part>,
}

/// A part of an experiment with steady arrivals of the long work.
#[derive(Debug, Clone)]
pub struct Stage {
    /// Beginning.
    pub from: At,
    /// End.
    pub until: At,
    /// Factor on the requests a second.
    pub rate: f64,
    /// Factor on the median output length.
    pub length: f64,
}

impl Experiment {
    /// Returns all experiments.
    pub fn all() -> Vec<Self> {
        let ordinary = Self {
            name: "ordinary",
            summary: "an ordinary day",
            duration: DURATION,
            flood: None,
            window: (DURATION / 3, DURATION * 2 / 3),
            large: 1.0,
            spread: 0.0,
            scale: 1.0,
            longest: 0,
            shift: false,
            lag: Duration::from_millis(500),
            cut: false,
            without: None,
        };
        vec![
            Self {
                name: "flood-deferrable",
                summary: "deferrable work far above the capacity in the middle third",
                flood: Some(Rank::Deferrable),
                ..ordinary.clone()
            },
            Self {
                name: "flood-urgent",
                summary: "urgent work far above the capacity in the middle third",
                flood: Some(Rank::Urgent),
                ..ordinary.clone()
            },
            Self {
                name: "large-accounts",
                summary: "two accounts make five times their ordinary requests",
                large: 5.0,
                ..ordinary.clone()
            },
            Self {
                name: "long-tail",
                summary: "a much heavier tail of output lengths",
                spread: 0.6,
                scale: 0.5,
                longest: 30_000,
                ..ordinary.clone()
            },
            Self {
                name: "shift",
                summary: "long work becomes three times as long and half as frequent at half time",
                shift: true,
                ..ordinary.clone()
            },
            Self {
                name: "stale-reports",
                summary: "load reports are 2 s old, under the flood of deferrable work",
                flood: Some(Rank::Deferrable),
                lag: Duration::from_secs(2),
                ..ordinary.clone()
            },
            Self {
                name: "cut-exchange",
                summary: "the first zone's nodes lose contact with the others for 60 s",
                cut: true,
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
        let stage = |from, until, rate, length| Stage {
            from,
            until,
            rate,
            length,
        };
        if self.shift {
            vec![
                stage(Duration::ZERO, half, 1.0, self.scale),
                stage(half, self.duration, 0.5, 3.0 * self.scale),
            ]
        } else {
            vec![stage(Duration::ZERO, self.duration, 1.0, self.scale)]
        }
    }
}
