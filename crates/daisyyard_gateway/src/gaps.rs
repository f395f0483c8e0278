//! Gaps between the events of one stream, collected for the pool.

use std::time::{Duration, Instant};

/// Number of gaps that are reported together.
const BATCH: usize = 16;

/// Gaps of one stream that have not been reported.
#[derive(Debug, Default)]
pub(crate) struct Gaps {
    /// When the last event arrived; none at the start and after a pause that says nothing about the
    /// engine.
    last_event_at: Option<Instant>,
    /// Gaps to report.
    pending: Vec<Duration>,
}

impl Gaps {
    /// Adds events that arrived together. Those that the engine made while the caller could not
    /// take more are not measured.
    pub(crate) fn observe(&mut self, events: u64, blocked: bool, now: Instant) {
        if events == 0 {
            return;
        }
        let last = self.last_event_at.replace(now);
        if let Some(last) = last.filter(|_| !blocked) {
            let gap = now.saturating_duration_since(last) / events as u32;
            self.pending.push(gap);
        }
    }

    /// Starts anew after the run has moved to another engine.
    pub(crate) fn reset(&mut self) {
        self.last_event_at = None;
        self.pending.clear();
    }

    /// Returns the gaps to report if there are enough of them.
    pub(crate) fn take_batch(&mut self) -> Option<Vec<Duration>> {
        (self.pending.len() >= BATCH).then(|| std::mem::take(&mut self.pending))
    }
}
