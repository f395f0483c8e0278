//! Measurements taken while an experiment runs.

use std::time::Duration;

use daisyyard_core::contract::Rank;
use hdrhistogram::Histogram;

use crate::engine::Stats;
use crate::event_queue::Time;
use crate::workload::Arrival;

/// Number of prompt tokens that count as one output token of service.
pub const PROMPT_TOKENS_PER_OUTPUT_TOKEN: f64 = 8.0;
/// Upper bound of the histogram of gaps, in microseconds.
const MAX_GAP_US: u64 = 3_600_000_000;

/// Load statistics of one engine at one time.
#[derive(Debug, Clone)]
pub struct Sample {
    /// Time of the measurement.
    pub at: Time,
    /// Number of the engine.
    pub engine: usize,
    /// Load statistics at that time.
    pub stats: Stats,
}

/// Measurements of one run.
#[derive(Debug)]
pub struct Meter {
    /// Histogram of the gaps between tokens, in microseconds.
    pub gaps: Histogram<u64>,
    /// Service of each rank in the experiment's window, in output tokens.
    pub window_service: [f64; 2],
    /// Load statistics of all engines over time.
    pub samples: Vec<Sample>,
    /// Number of running requests that yielded to others.
    pub yields: u64,
    /// Number of the generation that was started last.
    last_generation: u64,
}

impl Meter {
    /// Creates a meter without measurements.
    pub fn new() -> Self {
        let gaps = Histogram::new_with_bounds(1, MAX_GAP_US, 3);
        Self {
            gaps: gaps.expect("the bounds are valid"),
            window_service: [0.0; 2],
            samples: Vec::new(),
            yields: 0,
            last_generation: 1,
        }
    }

    /// Returns the number of a new generation.
    pub fn next_generation(&mut self) -> u64 {
        self.last_generation += 1;
        self.last_generation
    }

    /// Records a token that reached its caller. The first token also accounts for the prompt.
    pub fn record_token(
        &mut self,
        arrival: &Arrival,
        is_first: bool,
        gap: Option<Duration>,
        in_window: bool,
    ) {
        if let Some(gap) = gap {
            self.gaps.saturating_record(gap.as_micros() as u64);
        }
        if in_window {
            let prompt = if is_first { arrival.prompt as f64 } else { 0.0 };
            self.window_service[arrival.rank as usize] +=
                1.0 + prompt / PROMPT_TOKENS_PER_OUTPUT_TOKEN;
        }
    }

    /// Records the load statistics of an engine.
    pub fn record_sample(&mut self, at: Time, engine: usize, stats: &Stats) {
        let stats = stats.clone();
        self.samples.push(Sample { at, engine, stats });
    }

    /// Returns the service of a rank in the experiment's window, in output tokens.
    pub fn service_in_window(&self, rank: Rank) -> f64 {
        self.window_service[rank as usize]
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
