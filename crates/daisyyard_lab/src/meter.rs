//! Measurements that are taken while an experiment runs.

use std::time::Duration;

use daisyyard_core::contract::Rank;
use hdrhistogram::Histogram;

use crate::agenda::At;
use crate::engine::Gauge;
use crate::workload::Arrival;

/// Prompt tokens that count as much service as one output token.
pub const PROMPT_TOKENS_PER_OUTPUT: f64 = 8.0;
/// Largest gap that the histogram tells apart, in microseconds.
const LONGEST_GAP_US: u64 = 3_600_000_000;

/// State of one engine at one time, for traces.
#[derive(Debug, Clone)]
pub struct Sample {
    /// When the engine measured itself.
    pub at: At,
    /// Number of the engine.
    pub engine: usize,
    /// What the engine measured.
    pub gauge: Gauge,
}

/// Measurements of one run.
#[derive(Debug)]
pub struct Meter {
    /// Gaps between tokens in microseconds.
    pub gaps: Histogram<u64>,
    /// Service given to each rank in the window, in output tokens.
    pub service: [f64; 2],
    /// States of the engines over time.
    pub samples: Vec<Sample>,
    /// Requests that the decisions took back from an engine.
    pub yields: u64,
    /// Number of the next generation.
    next: u64,
}

impl Meter {
    /// Creates an empty meter.
    pub fn new() -> Self {
        let gaps = Histogram::new_with_bounds(1, LONGEST_GAP_US, 3);
        Self {
            gaps: gaps.expect("the bounds are valid"),
            service: [0.0; 2],
            samples: Vec::new(),
            yields: 0,
            next: 1,
        }
    }

    /// Returns the number of a new generation.
    pub fn generation(&mut self) -> u64 {
        self.next += 1;
        self.next
    }

    /// Records a token that reached its caller.
    pub fn token(&mut self, arrival: &Arrival, first: bool, gap: Option<Duration>, window: bool) {
        if let Some(gap) = gap {
            self.gaps.saturating_record(gap.as_micros() as u64);
        }
        if window {
            let prompt = if first { arrival.prompt as f64 } else { 0.0 };
            self.service[arrival.rank as usize] += 1.0 + prompt / PROMPT_TOKENS_PER_OUTPUT;
        }
    }

    /// Records the state of an engine.
    pub fn sample(&mut self, at: At, engine: usize, gauge: &Gauge) {
        let gauge = gauge.clone();
        self.samples.push(Sample { at, engine, gauge });
    }

    /// Returns the service given to a rank in the window.
    pub fn service(&self, rank: Rank) -> f64 {
        self.service[rank as usize]
    }

    /// Returns a quantile of the gaps between tokens in milliseconds.
    pub fn gap_ms(&self, quantile: f64) -> f64 {
        self.gaps.value_at_quantile(quantile) as f64 / 1e3
    }
}

impl Default for Meter {
    fn default() -> Self {
        Self::new()
    }
}
