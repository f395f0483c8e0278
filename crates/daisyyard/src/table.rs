//! The table at the end of `daisyyard try`.

use std::fmt;
use std::time::Duration;

use hdrhistogram::Histogram;

use crate::audit::Counts;
use crate::caller::Answer;

/// Longest time that the histogram tells apart, in microseconds.
const MAX_MICROS: u64 = 60_000_000;

/// What a run of the embedded fleet measured.
#[derive(Debug)]
pub struct Table {
    /// Tokens and their faults.
    counts: Counts,
    /// Time from the request to the first token.
    first: Option<Duration>,
    /// Time between two tokens, in microseconds.
    gaps: Histogram<u64>,
    /// Runs of keyed calls at the plain service.
    calls: usize,
    /// Nodes.
    nodes: usize,
}

impl Table {
    /// Measures a streamed answer.
    pub fn new(
        answer: &Answer,
        counts: Counts,
        calls: usize,
        nodes: usize,
    ) -> anyhow::Result<Self> {
        let mut gaps = Histogram::new_with_bounds(1, MAX_MICROS, 3)?;
        for pair in answer.tokens.windows(2) {
            gaps.saturating_record((pair[1].at - pair[0].at).as_micros() as u64);
        }
        let first = answer.tokens.first();
        Ok(Self {
            counts,
            first: first.map(|token| token.at - answer.started),
            gaps,
            calls,
            nodes,
        })
    }
}

impl fmt::Display for Table {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let millis = |micros: u64| format!("{:.2} ms", micros as f64 / 1e3);
        let first = self.first.map_or(0, |first| first.as_micros() as u64);
        let rows = [
            ("tokens delivered", self.counts.tokens.to_string()),
            ("duplicates", self.counts.duplicates.to_string()),
            ("gaps", self.counts.gaps.to_string()),
            ("out of order", self.counts.reordered.to_string()),
            ("foreign", self.counts.foreign.to_string()),
            ("first token", millis(first)),
            (
                "between tokens, p50",
                millis(self.gaps.value_at_quantile(0.5)),
            ),
            (
                "between tokens, p99",
                millis(self.gaps.value_at_quantile(0.99)),
            ),
            ("calls run", self.calls.to_string()),
            ("nodes", self.nodes.to_string()),
        ];
        for (name, value) in rows {
            writeln!(f, "{name:<22}{value:>12}")?;
        }
        Ok(())
    }
}
