//! Expected memory of the running generations, and the measured error of that expectation.

use crate::id::Tokens;

/// Groups of generations by the logarithm of their remaining tokens.
const GROUPS: usize = 24;
/// Groups per doubling of the remaining tokens.
const GROUPS_PER_OCTAVE: f64 = 1.5;
/// Equally likely lengths that stand for the distribution of one generation's length.
pub(crate) const SCENARIOS: usize = 4;
/// Weight of a new error in the mean of the errors.
const ERROR_WEIGHT: f64 = 1.0 / 64.0;
/// Share of generations that must not outlive their estimate.
const COVERAGE: f64 = 0.7;
/// Step of the quantile for each generation that ends.
const QUANTILE_STEP: f64 = 0.03;
/// Bounds of the quantile.
const QUANTILE_BOUNDS: (f64, f64) = (0.5, 0.95);
/// Standard deviations of the summed error that the headroom covers.
const HEADROOM_DEVIATIONS: f64 = 1.5;
/// Bounds of the headroom as a share of the memory.
const HEADROOM_BOUNDS: (f64, f64) = (0.02, 0.4);
/// Headroom as a share of the memory while too few generations have ended to measure the error.
const UNMEASURED_HEADROOM: f64 = 0.2;
/// Ended generations from which the error counts as measured.
const MIN_MEASURED: u32 = 16;
/// Bounds of the factor by which preemptions raise the headroom.
const HEADROOM_FACTOR_BOUNDS: (f64, f64) = (1.0, 4.0);

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
    pub(crate) scenarios: [Tokens; SCENARIOS],
}

impl Estimate {
    /// Returns the mean length.
    pub(crate) fn mean(&self) -> Tokens {
        self.scenarios.iter().sum::<Tokens>() / SCENARIOS as Tokens
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
        for scenario in estimate.scenarios {
            let remaining = scenario.saturating_sub(made);
            let group = &mut self.groups[group(remaining)];
            group.count += 1;
            group.held += held;
            group.remaining += remaining;
        }
    }

    /// Removes a generation that was added with the same figures.
    pub(crate) fn remove(&mut self, held: Tokens, made: Tokens, estimate: &Estimate) {
        for scenario in estimate.scenarios {
            let remaining = scenario.saturating_sub(made);
            let group = &mut self.groups[group(remaining)];
            group.count -= 1;
            group.held -= held;
            group.remaining -= remaining;
        }
    }

    /// Returns the number of generations.
    pub(crate) fn count(&self) -> u64 {
        self.groups.iter().map(|group| group.count).sum::<u64>() / SCENARIOS as u64
    }

    /// Returns the expected peak.
    pub(crate) fn peak(&self) -> Tokens {
        self.peak_within(Tokens::MAX)
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
    pub(crate) fn peak_within(&self, growth: Tokens) -> Tokens {
        let (mut count, mut held, mut peak) = (0, 0, 0);
        for group in self.groups.iter().rev().filter(|group| group.count > 0) {
            // When this group ends, those with less remaining are gone and the others have grown
            // as much.
            count += group.count;
            held += group.held;
            let mean = group.remaining.div_ceil(group.count);
            peak = peak.max(held + count * mean.min(growth));
        }
        peak / SCENARIOS as Tokens
    }
}

/// Returns the group for an expected remainder.
fn group(remaining: Tokens) -> usize {
    (((remaining.max(1) as f64).log2() * GROUPS_PER_OCTAVE) as usize).min(GROUPS - 1)
}

/// Measured error of the estimated lengths.
#[derive(Debug)]
pub(crate) struct Calibration {
    /// Generations that ended.
    ended: u32,
    /// Mean difference between the length and its estimate.
    mean: f64,
    /// Mean square of that difference.
    mean_square: f64,
    /// Quantile at which lengths are estimated.
    quantile: f64,
    /// Factor of the headroom.
    headroom_factor: f64,
}

impl Calibration {
    /// Creates a spread without measurements.
    pub(crate) fn new() -> Self {
        Self {
            ended: 0,
            mean: 0.0,
            mean_square: 0.0,
            quantile: COVERAGE,
            headroom_factor: HEADROOM_FACTOR_BOUNDS.0,
        }
    }

    /// Records the estimate at admission and the length of a generation that ended.
    pub(crate) fn record(&mut self, estimated: Tokens, length: Tokens) {
        let error = length as f64 - estimated as f64;
        self.ended = self.ended.saturating_add(1);
        let weight = ERROR_WEIGHT.max(1.0 / f64::from(self.ended));
        self.mean += (error - self.mean) * weight;
        self.mean_square += (error * error - self.mean_square) * weight;
        // The quantile moves until the measured coverage is the wanted one.
        let step = if length > estimated {
            COVERAGE
        } else {
            COVERAGE - 1.0
        };
        let quantile = self.quantile + step * QUANTILE_STEP;
        self.quantile = quantile.clamp(QUANTILE_BOUNDS.0, QUANTILE_BOUNDS.1);
    }

    /// Raises the headroom after preemptions, and lowers it slowly without them.
    pub(crate) fn record_preemptions(&mut self, any: bool) {
        let change = if any { 1.25 } else { 0.99 };
        self.headroom_factor = (self.headroom_factor * change)
            .clamp(HEADROOM_FACTOR_BOUNDS.0, HEADROOM_FACTOR_BOUNDS.1);
    }

    /// Returns the quantile at which lengths are estimated, followed by those of the parts of an
    /// estimate, which move with it.
    pub(crate) fn quantiles(&self) -> [f64; 1 + SCENARIOS] {
        let shift = self.quantile - COVERAGE;
        std::array::from_fn(|index| match index {
            0 => self.quantile,
            scenario => ((scenario as f64 - 0.5) / SCENARIOS as f64 + shift).clamp(0.02, 0.98),
        })
    }

    /// Returns the memory to leave free beside `count` running generations.
    pub(crate) fn headroom(&self, count: usize, memory: Tokens) -> Tokens {
        let memory = memory as f64;
        if self.ended < MIN_MEASURED {
            return (memory * UNMEASURED_HEADROOM * self.headroom_factor) as Tokens;
        }
        let deviation = (self.mean_square - self.mean * self.mean).max(0.0).sqrt();
        // Errors of independent generations add in quadrature.
        let wanted = HEADROOM_DEVIATIONS * deviation * (count as f64).sqrt() * self.headroom_factor;
        wanted.clamp(memory * HEADROOM_BOUNDS.0, memory * HEADROOM_BOUNDS.1) as Tokens
    }
}
