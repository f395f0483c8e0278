//! Summary that `daisyyard try` prints at the end, as a table.

use std::fmt;
use std::time::Duration;

use hdrhistogram::Histogram;

use crate::audit::Counts;
use crate::caller::Answer;

/// Longest token gap that the histogram records, in microseconds; longer ones count as this.
const MAX_GAP_US: u64 = 60_000_000;

/// Measurements of a run of the embedded fleet.
#[derive(Debug)]
pub struct Summary {
    /// Counts of the tokens of the streamed answer.
    counts: Counts,
    /// Time from the request to the first token, if one arrived.
    first_token: Option<Duration>,
    /// Times between two tokens, in microseconds.
    token_gaps: Histogram<u64>,
    /// Number of calls that the plain endpoints ran.
    call_runs: usize,
    /// Number of nodes.
    nodes: usize,
}

impl Summary {
    /// Computes the latencies of a streamed answer.
    pub fn new(
        answer: &Answer,
        counts: Counts,
        call_runs: usize,
        nodes: usize,
    ) -> anyhow::Result<Self> {
        let mut token_gaps = Histogram::new_with_bounds(1, MAX_GAP_US, 3)?;
        for pair in answer.tokens.windows(2) {
            token_gaps
                .saturating_record((pair[1].received_at - pair[0].received_at).as_micros() as u64);
        }
        let first = answer.tokens.first();
        Ok(Self {
            counts,
            first_token: first.map(|token| token.received_at - answer.started),
            token_gaps,
            call_runs,
            nodes,
        })
    }
}

impl fmt::Display for Summary {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let millis = |micros: u64| format!("{:.2} ms", micros as f64 / 1e3);
        let first = self.first_token.map_or(0, |first| first.as_micros() as u64);
        let rows = [
            ("tokens delivered", self.counts.tokens.to_string()),
            ("duplicates", self.counts.duplicates.to_string()),
            ("gaps", self.counts.missing.to_string()),
            ("out of order", self.counts.reordered.to_string()),
            ("foreign", self.counts.foreign.to_string()),
            ("first token", millis(first)),
            (
                "between tokens, p50",
                millis(self.token_gaps.value_at_quantile(0.5)),
            ),
            (
                "between tokens, p99",
                millis(self.token_gaps.value_at_quantile(0.99)),
            ),
            ("calls run", self.call_runs.to_string()),
            ("nodes", self.nodes.to_string()),
        ];
        for (name, value) in rows {
            writeln!(f, "{name:<22}{value:>12}")?;
        }
        Ok(())
    }
}
