//! Expected memory of the running generations, and the headroom for the error of the estimate.

use crate::id::Tokens;

/// Number of groups of generations, by the logarithm of their remaining tokens.
const GROUPS: usize = 24;
/// Number of groups per doubling of the remaining tokens.
const GROUPS_PER_OCTAVE: f64 = 1.5;
/// Number of equally likely lengths that approximate the length distribution of a generation.
pub(crate) const SCENARIOS: usize = 4;
/// Weight of a new error in the moving averages.
const ERROR_WEIGHT: f64 = 1.0 / 64.0;
/// Target share of generations that end within their estimate.
const COVERAGE: f64 = 0.7;
/// Step by which the quantile adapts to each generation that ends.
const QUANTILE_STEP: f64 = 0.03;
/// Bounds of the quantile at which lengths are estimated.
const QUANTILE_BOUNDS: (f64, f64) = (0.5, 0.95);
/// Number of standard deviations of the total error that the headroom covers.
const HEADROOM_DEVIATIONS: f64 = 1.5;
/// Bounds of the headroom as a share of the memory.
const HEADROOM_BOUNDS: (f64, f64) = (0.02, 0.4);
/// Headroom as a share of the memory before enough generations have ended to measure the error.
const UNMEASURED_HEADROOM: f64 = 0.2;
/// Minimum number of ended generations for the error to count as measured.
const MIN_MEASURED: u32 = 16;
/// Bounds of the factor by which preemptions raise the headroom.
const HEADROOM_FACTOR_BOUNDS: (f64, f64) = (1.0, 4.0);

/// Generations with similar remaining tokens.
#[derive(Debug, Default, Clone, Copy)]
struct Group {
    /// Number of generations.
    count: u64,
    /// Tokens of memory that the generations hold.
    held: Tokens,
    /// Tokens that the generations are expected to add.
    remaining: Tokens,
}

/// Estimated output length of a generation.
#[derive(Debug, Clone, Copy)]
pub(crate) struct Estimate {
    /// Length at the calibrated quantile.
    pub(crate) total: Tokens,
    /// Equally likely lengths, shortest first.
    pub(crate) scenarios: [Tokens; SCENARIOS],
}

impl Estimate {
    /// Returns the mean of the equally likely lengths.
    pub(crate) fn mean(&self) -> Tokens {
        self.scenarios.iter().sum::<Tokens>() / SCENARIOS as Tokens
    }
}

/// Memory that the running generations are expected to need over time.
///
/// All generations of a batch grow at the same rate, and each frees its memory when it ends, so the
/// peak is lower than the sum of all final sizes. Each generation is entered as [`SCENARIOS`]
/// equally likely ones, and the totals of a group count each of them as a whole generation.
#[derive(Debug, Default)]
pub(crate) struct Profile {
    /// Groups, fewest remaining tokens first.
    groups: [Group; GROUPS],
}

impl Profile {
    /// Adds a generation with `generated` output tokens that holds `held` with its prompt.
    pub(crate) fn add(&mut self, held: Tokens, generated: Tokens, estimate: &Estimate) {
        for scenario in estimate.scenarios {
            let remaining = scenario.saturating_sub(generated);
            let group = &mut self.groups[group(remaining)];
            group.count += 1;
            group.held += held;
            group.remaining += remaining;
        }
    }

    /// Removes a generation that was added with the same arguments.
    pub(crate) fn remove(&mut self, held: Tokens, generated: Tokens, estimate: &Estimate) {
        for scenario in estimate.scenarios {
            let remaining = scenario.saturating_sub(generated);
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

    /// Returns the expected peak memory until all generations have ended.
    pub(crate) fn peak(&self) -> Tokens {
        self.peak_within(Tokens::MAX)
    }

    /// Returns the profile with one more generation, which starts with the given prompt.
    pub(crate) fn with(&self, prompt: Tokens, estimate: &Estimate) -> Self {
        let mut with = Self {
            groups: self.groups,
        };
        with.add(prompt, 0, estimate);
        with
    }

    /// Returns the combined profile of the generations of both profiles.
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

    /// Returns the expected peak memory until each generation has added `growth` tokens or ended.
    pub(crate) fn peak_within(&self, growth: Tokens) -> Tokens {
        let (mut count, mut held, mut peak) = (0, 0, 0);
        for group in self.groups.iter().rev().filter(|group| group.count > 0) {
            // When this group ends, the groups with fewer remaining tokens have ended, and those
            // with more have grown by the same number of tokens.
            count += group.count;
            held += group.held;
            let mean = group.remaining.div_ceil(group.count);
            peak = peak.max(held + count * mean.min(growth));
        }
        peak / SCENARIOS as Tokens
    }
}

/// Returns the index of the group for a number of remaining tokens.
fn group(remaining: Tokens) -> usize {
    (((remaining.max(1) as f64).log2() * GROUPS_PER_OCTAVE) as usize).min(GROUPS - 1)
}

/// Calibration of the length estimates by the errors measured when generations end.
#[derive(Debug)]
pub(crate) struct Calibration {
    /// Number of generations that ended.
    ended: u32,
    /// Mean difference between the length and its estimate.
    mean: f64,
    /// Mean square of that difference.
    mean_square: f64,
    /// Quantile at which lengths are estimated.
    quantile: f64,
    /// Factor by which preemptions raise the headroom.
    headroom_factor: f64,
}

impl Calibration {
    /// Creates a calibration without measurements.
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
        // The steps balance out when the share that ends within the estimate equals the coverage.
        let step = if length > estimated {
            COVERAGE
        } else {
            COVERAGE - 1.0
        };
        let quantile = self.quantile + step * QUANTILE_STEP;
        self.quantile = quantile.clamp(QUANTILE_BOUNDS.0, QUANTILE_BOUNDS.1);
    }

    /// Raises the headroom factor if there were preemptions since the last report, and lowers it
    /// slowly otherwise.
    pub(crate) fn record_preemptions(&mut self, any: bool) {
        let change = if any { 1.25 } else { 0.99 };
        self.headroom_factor = (self.headroom_factor * change)
            .clamp(HEADROOM_FACTOR_BOUNDS.0, HEADROOM_FACTOR_BOUNDS.1);
    }

    /// Returns the calibrated quantile, followed by those of the equally likely lengths, shifted by
    /// the same amount.
    pub(crate) fn quantiles(&self) -> [f64; 1 + SCENARIOS] {
        let shift = self.quantile - COVERAGE;
        std::array::from_fn(|index| match index {
            0 => self.quantile,
            scenario => ((scenario as f64 - 0.5) / SCENARIOS as f64 + shift).clamp(0.02, 0.98),
        })
    }

    /// Returns the memory to keep free beside `count` running generations, in tokens.
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
