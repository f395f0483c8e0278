//! Estimator of output lengths that learns from finished generations, and from running ones that
//! exceed their estimate.

use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::time::{Duration, Instant};

use daisyyard_derive::key;

use crate::contract::Rank;
use crate::id::{AccountId, ServiceId, Tokens};

/// Number of histogram buckets; at 1.5 buckets per octave they reach 65,536 tokens.
const BUCKETS: usize = 24;
/// Number of buckets per doubling of the length.
const BUCKETS_PER_OCTAVE: f64 = 1.5;
/// Half-life of the weight of an observation.
const HALF_LIFE: Duration = Duration::from_mins(10);
/// Number of newest observations that are compared with the history to detect a shift.
const RECENT_OBSERVATIONS: usize = 16;
/// Number of newest observations kept after a shift of the distribution.
const KEPT_AFTER_SHIFT: usize = 8;
/// Kolmogorov-Smirnov distance above which the distribution counts as shifted: the critical value
/// for 16 observations at a significance level of 0.001.
const SHIFT_DISTANCE: f64 = 0.49;
/// Minimum number of account classes among the newest observations for a shift to apply to all
/// classes, so that a flood of one account does not discard the history of the others.
const BROAD_SHIFT_CLASSES: usize = 3;
/// Weight of the broader distribution, in observations, when it is blended with a narrower one.
const BROADER_WEIGHT: f64 = 4.0;
/// Number of account classes per service and rank; the id of an account, a hash, selects its class.
const ACCOUNT_CLASSES: u64 = 64;
/// Class that stands for all accounts.
const ALL_ACCOUNTS: u64 = ACCOUNT_CLASSES;
/// Expected output length, in tokens, without any history.
pub const DEFAULT_TOKENS: Tokens = 256;
/// Factor from the current length of a generation to its estimate when it exceeds all
/// observations.
const OUTGROWN_FACTOR: f64 = 1.25;

/// Weight of each bucket.
type Weights = [f64; BUCKETS];

/// Properties of a generation by which output lengths are recorded.
#[key]
pub struct Kind {
    /// Service that generates.
    pub service: ServiceId,
    /// Rank of the request.
    pub rank: Rank,
    /// Client account of the request.
    pub account: AccountId,
}

/// Distribution of the output lengths of one account class.
#[derive(Debug)]
struct Histogram {
    /// Observations by bucket, decayed with [`HALF_LIFE`].
    weights: Weights,
    /// When the weights were last decayed.
    updated: Instant,
    /// Bucket and account class of the newest observations, oldest first.
    recent: VecDeque<(usize, u64)>,
}

/// Estimator of output lengths.
#[derive(Debug, Default)]
pub struct Estimator {
    /// Histograms by service, rank and account class.
    histograms: BTreeMap<(ServiceId, Rank, u64), Histogram>,
}

impl Estimator {
    /// Creates an estimator without history.
    pub fn new() -> Self {
        Self::default()
    }

    /// Records the output length of a finished generation.
    pub fn observe(&mut self, kind: Kind, length: Tokens, now: Instant) {
        let mut sample = [0.0; BUCKETS];
        sample[bucket(length)] = 1.0;
        self.record(kind, &sample, now);
    }

    /// Records that a generation still runs after `generated` tokens, beyond its estimate.
    ///
    /// Such a censored observation reveals a shift to long outputs before the first of them ends.
    /// Its weight is spread over the longer lengths in proportion to the known distribution.
    pub fn observe_running(&mut self, kind: Kind, generated: Tokens, now: Instant) {
        let mut sample = self.weights(kind, DEFAULT_TOKENS, now);
        let first = bucket(generated);
        sample[..first].fill(0.0);
        let total: f64 = sample.iter().sum();
        if total <= f64::EPSILON {
            sample[first] = 1.0;
        } else {
            sample = sample.map(|weight| weight / total);
        }
        self.record(kind, &sample, now);
    }

    /// Returns the total output length at a quantile, after `generated` output tokens.
    ///
    /// `expected` is the center of the prior, which dominates while there is little history.
    pub fn total(
        &self,
        kind: Kind,
        generated: Tokens,
        quantile: f64,
        expected: Tokens,
        now: Instant,
    ) -> Tokens {
        self.totals(kind, generated, [quantile], expected, now)[0]
    }

    /// Returns the total output lengths at several quantiles.
    pub fn totals<const COUNT: usize>(
        &self,
        kind: Kind,
        generated: Tokens,
        quantiles: [f64; COUNT],
        expected: Tokens,
        now: Instant,
    ) -> [Tokens; COUNT] {
        let weights = self.weights(kind, expected, now);
        quantiles.map(|quantile| at_quantile(&weights, generated, quantile))
    }

    /// Adds a sample to the histogram of the account class and to that of all accounts.
    fn record(&mut self, kind: Kind, sample: &Weights, now: Instant) {
        let (service, rank) = (kind.service, kind.rank);
        let own = kind.account % ACCOUNT_CLASSES;
        for class in [own, ALL_ACCOUNTS] {
            let histogram = self
                .histograms
                .entry((service, rank, class))
                .or_insert_with(|| Histogram::new(now));
            let shifted = histogram.add(sample, own, now);
            if shifted && class == ALL_ACCOUNTS && histogram.spans_classes() {
                // The class histograms reflect the old distribution too, so they are discounted.
                let classes = (service, rank, 0)..(service, rank, ALL_ACCOUNTS);
                for (_, histogram) in self.histograms.range_mut(classes) {
                    histogram.discount();
                }
            }
        }
    }

    /// Returns the distribution for a kind: the prior around the expected length, blended with the
    /// histogram of all accounts and then with that of the account class.
    fn weights(&self, kind: Kind, expected: Tokens, now: Instant) -> Weights {
        let mut weights = prior(expected);
        for class in [ALL_ACCOUNTS, kind.account % ACCOUNT_CLASSES] {
            let broader: f64 = weights.iter().sum();
            let Some(histogram) = self.histograms.get(&(kind.service, kind.rank, class)) else {
                continue;
            };
            let decay = decay(histogram.updated, now);
            for (weight, own) in weights.iter_mut().zip(&histogram.weights) {
                *weight = *weight / broader * BROADER_WEIGHT + own * decay;
            }
        }
        weights
    }
}

impl Histogram {
    /// Creates a histogram without observations.
    fn new(now: Instant) -> Self {
        Self {
            weights: [0.0; BUCKETS],
            updated: now,
            recent: VecDeque::with_capacity(RECENT_OBSERVATIONS),
        }
    }

    /// Adds a sample; returns whether this revealed a shift, which drops the old observations.
    fn add(&mut self, sample: &Weights, class: u64, now: Instant) -> bool {
        let decay = decay(self.updated, now);
        self.updated = self.updated.max(now);
        for (total, weight) in self.weights.iter_mut().zip(sample) {
            *total = *total * decay + weight;
        }
        if self.recent.len() == RECENT_OBSERVATIONS {
            self.recent.pop_front();
        }
        self.recent.push_back((median(sample), class));
        let full = self.recent.len() == RECENT_OBSERVATIONS;
        let shifted = full && distance(&self.weights, &counts(&self.recent)) > SHIFT_DISTANCE;
        if shifted {
            self.recent.drain(..RECENT_OBSERVATIONS - KEPT_AFTER_SHIFT);
            self.weights = counts(&self.recent);
        }
        shifted
    }

    /// Returns whether the newest observations come from enough account classes to represent the
    /// others.
    fn spans_classes(&self) -> bool {
        let classes: BTreeSet<u64> = self.recent.iter().map(|(_, class)| *class).collect();
        classes.len() >= BROAD_SHIFT_CLASSES
    }

    /// Scales the total weight down to that of one observation.
    fn discount(&mut self) {
        let total: f64 = self.weights.iter().sum();
        if total > 1.0 {
            let scale = 1.0 / total;
            self.weights = self.weights.map(|weight| weight * scale);
        }
    }
}

/// Returns the fractional bucket index of a length.
fn position(length: Tokens) -> f64 {
    ((length.max(1) as f64).log2() * BUCKETS_PER_OCTAVE).min(BUCKETS as f64)
}

/// Returns the index of the bucket that contains a length.
fn bucket(length: Tokens) -> usize {
    (position(length) as usize).min(BUCKETS - 1)
}

/// Returns the weight above a position, assuming a uniform distribution within each bucket.
fn mass_above(weights: &Weights, position: f64) -> f64 {
    let whole = position as usize;
    let Some(weight) = weights.get(whole) else {
        return 0.0;
    };
    let rest: f64 = weights[whole + 1..].iter().sum();
    weight * (1.0 - (position - whole as f64)) + rest
}

/// Returns the bucket that contains the median of a sample.
fn median(sample: &Weights) -> usize {
    let half = sample.iter().sum::<f64>() / 2.0;
    let mut sum = 0.0;
    let reached = sample.iter().position(|weight| {
        sum += weight;
        sum >= half
    });
    reached.unwrap_or(BUCKETS - 1)
}

/// Returns the number of observations in each bucket.
fn counts(observations: &VecDeque<(usize, u64)>) -> Weights {
    let mut counts = [0.0; BUCKETS];
    for (bucket, _) in observations {
        counts[*bucket] += 1.0;
    }
    counts
}

/// Returns the total length at a quantile of the distribution above `generated`.
fn at_quantile(weights: &Weights, generated: Tokens, quantile: f64) -> Tokens {
    let start = position(generated);
    let mut more = mass_above(weights, start);
    let target = more * (1.0 - quantile.clamp(0.0, 1.0));
    let mut low = start;
    // Finds the first bucket with at most the target weight above its upper end.
    while more > f64::EPSILON && low < BUCKETS as f64 {
        let high = low.floor() + 1.0;
        let less = mass_above(weights, high);
        if less <= target {
            let share = if more > less {
                (more - target) / (more - less)
            } else {
                1.0
            };
            let found = low + (high - low) * share;
            let length = (found / BUCKETS_PER_OCTAVE).exp2().round() as Tokens;
            return length.max(generated + 1);
        }
        (low, more) = (high, less);
    }
    (generated as f64 * OUTGROWN_FACTOR).ceil() as Tokens + 1
}

/// Returns a prior whose weights halve with each bucket of distance from the expected length.
fn prior(expected: Tokens) -> Weights {
    let centre = bucket(expected);
    std::array::from_fn(|bucket| (-(bucket.abs_diff(centre) as f64)).exp2())
}

/// Returns the exponential decay factor of weights between two times.
fn decay(from: Instant, now: Instant) -> f64 {
    let elapsed = now.saturating_duration_since(from);
    (-elapsed.as_secs_f64() / HALF_LIFE.as_secs_f64()).exp2()
}

/// Returns the Kolmogorov-Smirnov distance: the largest difference between the cumulative
/// distributions.
fn distance(one: &Weights, two: &Weights) -> f64 {
    let totals = (one.iter().sum::<f64>(), two.iter().sum::<f64>());
    let mut difference = 0.0;
    let mut largest = 0.0_f64;
    for (one, two) in one.iter().zip(two) {
        difference += one / totals.0 - two / totals.1;
        largest = largest.max(difference.abs());
    }
    largest
}
