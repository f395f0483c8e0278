//! Expected memory of the running generations, and the measured error of that expectation.

use crate::id::Tokens;

/// Groups of generations by the logarithm of their remaining tokens.
const GROUPS: usize = 24;
/// Groups per doubling of the remaining tokens.
const PER_OCTAVE: f64 = 1.5;
/// Weight of a new error in the mean of the errors.
const ERROR_WEIGHT: f64 = 1.0 / 64.0;
/// Share of generations that must not outlive their estimate.
const COVERAGE: f64 = 0.7;
/// Step of the quantile for each generation that ends.
const QUANTILE_STEP: f64 = 0.02;
/// Bounds of the quantile.
const QUANTILES: (f64, f64) = (0.5, 0.95);
/// Standard deviations of the summed error that the headroom covers.
const DEVIATIONS: f64 = 2.0;
/// Bounds of the headroom as a share of the memory.
const HEADROOM: (f64, f64) = (0.02, 0.4);
/// Headroom as a share of the memory while too few generations have ended to measure the error.
const HEADROOM_UNKNOWN: f64 = 0.1;
/// Ended generations from which the error counts as measured.
const MEASURED: u32 = 16;
/// Bounds of the factor by which preemptions raise the headroom.
const FACTOR: (f64, f64) = (1.0, 4.0);

/// Generations with similar remaining tokens.
#[derive(Debug, Default, Clone, Copy)]
struct Group {
    /// Number of generations.
    count: u64,
    /// Tokens that they hold.
    held: Tokens,
    /// Tokens that they are expected to add.
    remaining: Tokens,
}

/// Memory that the running generations are expected to need over time.
///
/// All generations of a batch grow at the same pace, and each frees its memory when it ends. So
/// the peak is lower than the sum of all final sizes.
#[derive(Debug, Default)]
pub(crate) struct Profile {
    /// Groups, shortest remaining first.
    groups: [Group; GROUPS],
}

impl Profile {
    /// Adds a generation.
    pub(crate) fn add(&mut self, held: Tokens, remaining: Tokens) {
        let group = &mut self.groups[group(remaining)];
        group.count += 1;
        group.held += held;
        group.remaining += remaining;
    }

    /// Removes a generation that was added with the same figures.
    pub(crate) fn remove(&mut self, held: Tokens, remaining: Tokens) {
        let group = &mut self.groups[group(remaining)];
        group.count -= 1;
        group.held -= held;
        group.remaining -= remaining;
    }

    /// Returns the expected peak, with one more generation of the given figures.
    pub(crate) fn peak(&self, held: Tokens, remaining: Tokens) -> Tokens {
        let extra = (held + remaining > 0).then(|| group(remaining));
        let (mut count, mut kept, mut peak) = (0, 0, 0);
        for (index, group) in self.groups.iter().enumerate().rev() {
            let mut group = *group;
            if extra == Some(index) {
                group.count += 1;
                group.held += held;
                group.remaining += remaining;
            }
            if group.count == 0 {
                continue;
            }
            kept += group.held;
            let mean = group.remaining / group.count;
            peak = peak.max(kept + group.remaining + count * mean);
            count += group.count;
        }
        peak
    }
}

/// Returns the group for an expected remainder.
fn group(remaining: Tokens) -> usize {
    (((remaining.max(1) as f64).log2() * PER_OCTAVE) as usize).min(GROUPS - 1)
}

/// Measured error of the estimated lengths.
#[derive(Debug)]
pub(crate) struct Spread {
    /// Generations that ended.
    ended: u32,
    /// Mean difference between the length and its estimate.
    mean: f64,
    /// Mean square of that difference.
    square: f64,
    /// Quantile at which lengths are estimated.
    quantile: f64,
    /// Factor of the headroom.
    factor: f64,
}

impl Spread {
    /// Creates a spread without measurements.
    pub(crate) fn new() -> Self {
        Self {
            ended: 0,
            mean: 0.0,
            square: 0.0,
            quantile: COVERAGE,
            factor: FACTOR.0,
        }
    }

    /// Records the estimate at admission and the length of a generation that ended.
    pub(crate) fn record(&mut self, estimated: Tokens, length: Tokens) {
        let error = length as f64 - estimated as f64;
        self.ended = self.ended.saturating_add(1);
        let weight = ERROR_WEIGHT.max(1.0 / f64::from(self.ended));
        self.mean += (error - self.mean) * weight;
        self.square += (error * error - self.square) * weight;
        // The quantile moves until the measured coverage is the wanted one.
        let outlived = if length > estimated {
            COVERAGE
        } else {
            COVERAGE - 1.0
        };
        let quantile = self.quantile + outlived * QUANTILE_STEP;
        self.quantile = quantile.clamp(QUANTILES.0, QUANTILES.1);
    }

    /// Raises the headroom after preemptions, and lowers it slowly without them.
    pub(crate) fn preempted(&mut self, any: bool) {
        let change = if any { 1.25 } else { 0.99 };
        self.factor = (self.factor * change).clamp(FACTOR.0, FACTOR.1);
    }

    /// Returns the quantile at which lengths are estimated.
    pub(crate) fn quantile(&self) -> f64 {
        self.quantile
    }

    /// Returns the memory to leave free beside `count` running generations.
    pub(crate) fn headroom(&self, count: usize, memory: Tokens) -> Tokens {
        let memory = memory as f64;
        if self.ended < MEASURED {
            return (memory * HEADROOM_UNKNOWN * self.factor) as Tokens;
        }
        let deviation = (self.square - self.mean * self.mean).max(0.0).sqrt();
        // Errors of independent generations add in quadrature.
        let wanted = DEVIATIONS * deviation * (count as f64).sqrt() * self.factor;
        wanted.clamp(memory * HEADROOM.0, memory * HEADROOM.1) as Tokens
    }
}
