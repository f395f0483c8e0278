//! Measurements that are taken while an experiment runs.

use std::time::Duration;

use daisyyard_core::contract::Rank;
use hdrhistogram::Histogram;

use crate::engine::Stats;
use crate::event_queue::Time;
use crate::workload::Arrival;

/// Prompt tokens that count as much service as one output token.
pub const PROMPT_TOKENS_PER_OUTPUT_TOKEN: f64 = 8.0;
/// Largest gap that the histogram tells apart, in microseconds.
const MAX_GAP_US: u64 = 3_600_000_000;

/// State of one engine at one time, for traces.
#[derive(Debug, Clone)]
pub struct Sample {
    /// When the engine measured itself.
    pub at: Time,
    /// Number of the engine.
    pub engine: usize,
    /// What the engine measured.
    pub stats: Stats,
}

/// Measurements of one run.
#[derive(Debug)]
pub struct Meter {
    /// Gaps between tokens in microseconds.
    pub gaps: Histogram<u64>,
    /// Service given to each rank in the window, in output tokens.
    pub window_service: [f64; 2],
    /// States of the engines over time.
    pub samples: Vec<Sample>,
    /// Requests that the decisions took back from an engine.
    pub yields: u64,
    /// Number of the next generation.
    last_generation: u64,
}

impl Meter {
    /// Creates an empty meter.
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

    /// Records a token that reached its caller.
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

    /// Records the state of an engine.
    pub fn record_sample(&mut self, at: Time, engine: usize, stats: &Stats) {
        let stats = stats.clone();
        self.samples.push(Sample { at, engine, stats });
    }

    /// Returns the service given to a rank in the window.
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
