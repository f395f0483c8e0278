//! Expected memory of the running generations, and the measured error of that expectation.

use crate::id::Tokens;

/// Groups of generations by the logarithm of their remaining tokens.
const GROUPS: usize = 24;
/// Groups per doubling of the remaining tokens.
const PER_OCTAVE: f64 = 1.5;
/// Equally likely lengths that stand for the distribution of one generation's length.
pub(crate) const PARTS: usize = 4;
/// Weight of a new error in the mean of the errors.
const ERROR_WEIGHT: f64 = 1.0 / 64.0;
/// Share of generations that must not outlive their estimate.
const COVERAGE: f64 = 0.7;
/// Step of the quantile for each generation that ends.
const QUANTILE_STEP: f64 = 0.03;
/// Bounds of the quantile.
const QUANTILES: (f64, f64) = (0.5, 0.95);
/// Standard deviations of the summed error that the headroom covers.
const DEVIATIONS: f64 = 1.5;
/// Bounds of the headroom as a share of the memory.
const HEADROOM: (f64, f64) = (0.02, 0.4);
/// Headroom as a share of the memory while too few generations have ended to measure the error.
const HEADROOM_UNKNOWN: f64 = 0.2;
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

/// Estimated output length of a generation.
#[derive(Debug, Clone, Copy)]
pub(crate) struct Estimate {
    /// Length at the quantile that follows the measured error.
    pub(crate) total: Tokens,
    /// Lengths that are equally likely.
    pub(crate) parts: [Tokens; PARTS],
}

impl Estimate {
    /// Returns the mean length.
    pub(crate) fn mean(&self) -> Tokens {
        self.parts.iter().sum::<Tokens>() / PARTS as Tokens
    }
}

/// Memory that the running generations are expected to need over time.
///
/// All generations of a batch grow at the same pace, and each frees its memory when it ends. So
/// the peak is lower than the sum of all final sizes. Each generation counts as [`PARTS`] equally
/// likely ones; all figures of a group are in units of such a part.
#[derive(Debug, Default)]
pub(crate) struct Profile {
    /// Groups, shortest remaining first.
    groups: [Group; GROUPS],
}

impl Profile {
    /// Adds a generation that made some tokens and holds more with its prompt.
    pub(crate) fn add(&mut self, held: Tokens, made: Tokens, estimate: &Estimate) {
        for part in estimate.parts {
            let remaining = part.saturating_sub(made);
            let group = &mut self.groups[group(remaining)];
            group.count += 1;
            group.held += held;
            group.remaining += remaining;
        }
    }

    /// Removes a generation that was added with the same figures.
    pub(crate) fn remove(&mut self, held: Tokens, made: Tokens, estimate: &Estimate) {
        for part in estimate.parts {
            let remaining = part.saturating_sub(made);
            let group = &mut self.groups[group(remaining)];
            group.count -= 1;
            group.held -= held;
            group.remaining -= remaining;
        }
    }

    /// Returns the number of generations.
    pub(crate) fn count(&self) -> u64 {
        self.groups.iter().map(|group| group.count).sum::<u64>() / PARTS as u64
    }

    /// Returns the expected peak.
    pub(crate) fn peak(&self) -> Tokens {
        self.soon(Tokens::MAX)
    }

    /// Returns the profile with one more generation that begins.
    pub(crate) fn with(&self, prompt: Tokens, estimate: &Estimate) -> Self {
        let mut with = Self {
            groups: self.groups,
        };
        with.add(prompt, 0, estimate);
        with
    }

    /// Returns the profile of the generations of both profiles.
    pub(crate) fn merge(&self, other: &Self) -> Self {
        let groups = std::array::from_fn(|index| {
            let (one, two) = (self.groups[index], other.groups[index]);
            Group {
                count: one.count + two.count,
                held: one.held + two.held,
                remaining: one.remaining + two.remaining,
            }
        });
        Self { groups }
    }

    /// Returns the expected peak until each generation has added `growth` tokens or has ended.
    pub(crate) fn soon(&self, growth: Tokens) -> Tokens {
        let (mut count, mut kept, mut peak) = (0, 0, 0);
        for group in self.groups.iter().rev().filter(|group| group.count > 0) {
            // When this group ends, those with less remaining are gone and the others have grown
            // as much.
            count += group.count;
            kept += group.held;
            let mean = group.remaining.div_ceil(group.count);
            peak = peak.max(kept + count * mean.min(growth));
        }
        peak / PARTS as Tokens
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

    /// Returns the quantile at which lengths are estimated, followed by those of the parts of an
    /// estimate, which move with it.
    pub(crate) fn quantiles(&self) -> [f64; 1 + PARTS] {
        let moved = self.quantile - COVERAGE;
        std::array::from_fn(|index| match index {
            0 => self.quantile,
            part => ((part as f64 - 0.5) / PARTS as f64 + moved).clamp(0.02, 0.98),
        })
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
