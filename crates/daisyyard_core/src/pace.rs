//! Pace of engines, learned from the gaps between the events of streams, and the longest pause that
//! a stream is likely to have at an engine.
//!
//! Engines of one service differ in speed. The prompts of other requests and slow moments of the
//! machine stretch a gap by a similar factor at each of them, so at a slow engine a stream misses
//! its longest allowed pause while it keeps it at the others.

use std::collections::{HashMap, VecDeque};
use std::time::Duration;

use crate::id::ServiceId;

/// Number of newest gaps from which the pace of an engine is estimated.
const WINDOW: usize = 48;
/// Number of gaps from which an estimate is made.
const MIN_GAPS: usize = 12;
/// Quantile of the gaps that is the pace; the gaps above it are stretched by prompts of other
/// requests or by slow moments.
const PACE_QUANTILE: f64 = 0.25;
/// Relative change of the pace below which an estimate is kept, so that it is not reported again.
const MIN_CHANGE: f64 = 0.04;
/// Quantile of the stretch that a stream of some hundred events is expected to meet.
const STRETCH_QUANTILE: f64 = 0.998;
/// Stretch from which a gap is ignored: a preemption or a crash says nothing about the pace.
const MAX_STRETCH: f64 = 10.0;
/// Number of newest gaps from which the stretch is estimated.
const STRETCH_WINDOW: usize = 1_024;
/// Number of gaps between two estimates of the stretch.
const STRETCH_BATCH: usize = 32;
/// Weight of the newest pace that another node reports.
const REPORT_SMOOTHING: f64 = 0.3;

/// Pace of one engine: the time that it takes for an event when nothing disturbs it.
#[derive(Debug, Default)]
pub(crate) struct Pace {
    /// Newest gaps that this node has seen.
    gaps: VecDeque<Duration>,
    /// Estimate from these gaps.
    own: Option<Duration>,
    /// Smoothed estimate of the other nodes.
    reported: Option<Duration>,
}

/// Factors by which gaps are stretched, by service.
#[derive(Debug, Default)]
pub(crate) struct Stretches {
    /// Stretch of the gaps at the engines of each service.
    services: HashMap<ServiceId, Stretch>,
}

/// Factor by which gaps at the engines of one service are stretched.
#[derive(Debug)]
struct Stretch {
    /// Stretch of the newest gaps.
    newest: VecDeque<f64>,
    /// Number of gaps since the last estimate.
    unused: usize,
    /// Estimated quantile of the stretch.
    factor: f64,
}

impl Pace {
    /// Adds a gap between two events of a stream.
    pub(crate) fn observe(&mut self, gap: Duration) {
        if self.gaps.len() == WINDOW {
            self.gaps.pop_front();
        }
        self.gaps.push_back(gap);
        if self.gaps.len() >= MIN_GAPS {
            let mut sorted: Vec<Duration> = self.gaps.iter().copied().collect();
            sorted.sort_unstable();
            let index = (sorted.len() as f64 * PACE_QUANTILE) as usize;
            let known = self.own.unwrap_or_default();
            if sorted[index].abs_diff(known) > known.mul_f64(MIN_CHANGE) {
                self.own = Some(sorted[index]);
            }
        }
    }

    /// Adds the estimate of another node.
    pub(crate) fn learn(&mut self, reported: Duration) {
        let known = self.reported.unwrap_or(reported);
        let smoothed = known.mul_f64(1.0 - REPORT_SMOOTHING) + reported.mul_f64(REPORT_SMOOTHING);
        self.reported = Some(smoothed);
    }

    /// Returns the estimate of this node, which it reports to others.
    pub(crate) fn own(&self) -> Option<Duration> {
        self.own
    }

    /// Returns the estimate of all nodes; none if nothing is known about the engine.
    pub(crate) fn estimate(&self) -> Option<Duration> {
        match (self.own, self.reported) {
            (Some(own), Some(reported)) => Some((own + reported) / 2),
            (own, reported) => own.or(reported),
        }
    }
}

impl Stretches {
    /// Adds a gap at an engine with a known pace.
    pub(crate) fn observe(&mut self, service: ServiceId, gap: Duration, pace: Duration) {
        let stretch = gap.as_secs_f64() / pace.as_secs_f64().max(f64::MIN_POSITIVE);
        self.services.entry(service).or_default().observe(stretch);
    }

    /// Returns the longest pause that a stream is likely to have at an engine with a known pace.
    pub(crate) fn longest_pause(&self, service: ServiceId, pace: Duration) -> Duration {
        let factor = self.services.get(&service).map_or(1.0, |one| one.factor);
        pace.mul_f64(factor)
    }
}

impl Stretch {
    /// Adds the factor by which one gap was stretched.
    fn observe(&mut self, stretch: f64) {
        if stretch > MAX_STRETCH {
            return;
        }
        if self.newest.len() == STRETCH_WINDOW {
            self.newest.pop_front();
        }
        self.newest.push_back(stretch);
        self.unused += 1;
        if self.unused >= STRETCH_BATCH {
            self.unused = 0;
            let mut sorted: Vec<f64> = self.newest.iter().copied().collect();
            sorted.sort_unstable_by(f64::total_cmp);
            let index = (sorted.len() as f64 * STRETCH_QUANTILE) as usize;
            self.factor = sorted[index].max(1.0);
        }
    }
}

impl Default for Stretch {
    fn default() -> Self {
        Self {
            newest: VecDeque::new(),
            unused: 0,
            factor: 1.0,
        }
    }
}
