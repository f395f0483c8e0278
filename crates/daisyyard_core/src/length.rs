//! Output lengths: an estimator that learns from finished and from outlived generations.

use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::time::{Duration, Instant};

use daisyyard_derive::key;

use crate::contract::Rank;
use crate::id::{AccountId, ServiceId, Tokens};

/// Buckets of a histogram; at 1.5 buckets per octave they reach 65,536 tokens.
const BUCKETS: usize = 24;
/// Buckets per doubling of the length.
const PER_OCTAVE: f64 = 1.5;
/// Time in which the weight of an observation halves.
const HALF_LIFE: Duration = Duration::from_mins(10);
/// Newest observations that are compared with the long history.
const RECENT: usize = 16;
/// Newest observations that are kept after the mix has shifted.
const KEPT: usize = 8;
/// Distance between the cumulative distributions that counts as a shift of the mix. The
/// Kolmogorov-Smirnov bound for 16 observations at a level of 0.001 is 0.49.
const SHIFT: f64 = 0.49;
/// Account classes among the newest observations from which a shift counts for all classes. A
/// flood of one account must not void what is known of the others.
const BROAD: usize = 3;
/// Weight of the broader distribution, in observations, where a narrower one has little history.
const BROADER_WEIGHT: f64 = 4.0;
/// Account classes of a service and rank; accounts share a class by the hash that is their id.
const CLASSES: u64 = 64;
/// Class that stands for all accounts.
const ALL: u64 = CLASSES;
/// Length that is expected where nothing is known.
pub const DEFAULT: Tokens = 256;
/// Growth of the estimate of a generation that is longer than everything known.
const OUTGROWN: f64 = 1.25;

/// Weights by bucket.
type Weights = [f64; BUCKETS];

/// The kind of a generation, as far as its length may depend on it.
#[key]
pub struct Kind {
    /// Service that generates.
    pub service: ServiceId,
    /// Rank of the request.
    pub rank: Rank,
    /// Client account of the request.
    pub account: AccountId,
}

/// Lengths of the generations of one class.
#[derive(Debug)]
struct Mix {
    /// Observations, whose weight halves each [`HALF_LIFE`].
    long: Weights,
    /// When the weights of `long` were last brought up to date.
    updated: Instant,
    /// Buckets and account classes of the newest observations, oldest first.
    recent: VecDeque<(usize, u64)>,
}

/// Estimator of output lengths.
#[derive(Debug, Default)]
pub struct Estimator {
    /// Mixes by service, rank and account class.
    mixes: BTreeMap<(ServiceId, Rank, u64), Mix>,
}

impl Estimator {
    /// Creates an estimator without history.
    pub fn new() -> Self {
        Self::default()
    }

    /// Records the length of a finished generation.
    pub fn observe(&mut self, kind: Kind, length: Tokens, now: Instant) {
        let mut sample = [0.0; BUCKETS];
        sample[bucket(length)] = 1.0;
        self.record(kind, &sample, now);
    }

    /// Records that a generation goes on after `made` tokens although a shorter length was
    /// expected.
    ///
    /// Without this, a shift to long outputs stays unseen until the first of them ends. The
    /// observation is spread over the longer lengths in proportion to what is known of them.
    pub fn outlive(&mut self, kind: Kind, made: Tokens, now: Instant) {
        let mut sample = self.weights(kind, DEFAULT, now);
        let first = bucket(made);
        sample[..first].fill(0.0);
        let total: f64 = sample.iter().sum();
        if total <= f64::EPSILON {
            sample[first] = 1.0;
        } else {
            sample = sample.map(|weight| weight / total);
        }
        self.record(kind, &sample, now);
    }

    /// Returns the whole output length at a quantile, given the tokens that were made already.
    ///
    /// `expected` centres the estimate where there is little history.
    pub fn total(
        &self,
        kind: Kind,
        made: Tokens,
        quantile: f64,
        expected: Tokens,
        now: Instant,
    ) -> Tokens {
        self.totals(kind, made, [quantile], expected, now)[0]
    }

    /// Returns the whole output lengths at several quantiles.
    pub fn totals<const COUNT: usize>(
        &self,
        kind: Kind,
        made: Tokens,
        quantiles: [f64; COUNT],
        expected: Tokens,
        now: Instant,
    ) -> [Tokens; COUNT] {
        let weights = self.weights(kind, expected, now);
        quantiles.map(|quantile| at_quantile(&weights, made, quantile))
    }

    /// Adds a sample to the class of the kind and to all accounts together.
    fn record(&mut self, kind: Kind, sample: &Weights, now: Instant) {
        let (service, rank) = (kind.service, kind.rank);
        let own = kind.account % CLASSES;
        for class in [own, ALL] {
            let mix = self
                .mixes
                .entry((service, rank, class))
                .or_insert_with(|| Mix::new(now));
            let shifted = mix.add(sample, own, now);
            if shifted && class == ALL && mix.is_broad() {
                // The classes learned from the old mix too, so they give way to the new one.
                let classes = (service, rank, 0)..(service, rank, ALL);
                for (_, mix) in self.mixes.range_mut(classes) {
                    mix.fade();
                }
            }
        }
    }

    /// Returns the distribution of a kind, blended from its class, all accounts and the expected
    /// length.
    fn weights(&self, kind: Kind, expected: Tokens, now: Instant) -> Weights {
        let mut weights = prior(expected);
        for class in [ALL, kind.account % CLASSES] {
            let broader: f64 = weights.iter().sum();
            let Some(mix) = self.mixes.get(&(kind.service, kind.rank, class)) else {
                continue;
            };
            let decay = decay(mix.updated, now);
            for (weight, own) in weights.iter_mut().zip(&mix.long) {
                *weight = *weight / broader * BROADER_WEIGHT + own * decay;
            }
        }
        weights
    }
}

impl Mix {
    /// Creates a mix without observations.
    fn new(now: Instant) -> Self {
        Self {
            long: [0.0; BUCKETS],
            updated: now,
            recent: VecDeque::with_capacity(RECENT),
        }
    }

    /// Adds a sample; returns whether the mix has shifted and the old observations were dropped.
    fn add(&mut self, sample: &Weights, class: u64, now: Instant) -> bool {
        let decay = decay(self.updated, now);
        self.updated = self.updated.max(now);
        for (long, weight) in self.long.iter_mut().zip(sample) {
            *long = *long * decay + weight;
        }
        if self.recent.len() == RECENT {
            self.recent.pop_front();
        }
        self.recent.push_back((median(sample), class));
        let full = self.recent.len() == RECENT;
        let shifted = full && distance(&self.long, &counts(&self.recent)) > SHIFT;
        if shifted {
            self.recent.drain(..RECENT - KEPT);
            self.long = counts(&self.recent);
        }
        shifted
    }

    /// Returns whether the newest observations come from several classes, so that their mix says
    /// something about the others.
    fn is_broad(&self) -> bool {
        let classes: BTreeSet<u64> = self.recent.iter().map(|(_, class)| *class).collect();
        classes.len() >= BROAD
    }

    /// Reduces the weight of the observations to that of one.
    fn fade(&mut self) {
        let total: f64 = self.long.iter().sum();
        if total > 1.0 {
            let scale = 1.0 / total;
            self.long = self.long.map(|weight| weight * scale);
        }
    }
}

/// Returns the position of a length on the scale of buckets.
fn position(length: Tokens) -> f64 {
    ((length.max(1) as f64).log2() * PER_OCTAVE).min(BUCKETS as f64)
}

/// Returns the bucket of a length.
fn bucket(length: Tokens) -> usize {
    (position(length) as usize).min(BUCKETS - 1)
}

/// Returns the weight above a position, with the weight of a bucket spread evenly over it.
fn mass_above(weights: &Weights, position: f64) -> f64 {
    let whole = position as usize;
    let Some(weight) = weights.get(whole) else {
        return 0.0;
    };
    let rest: f64 = weights[whole + 1..].iter().sum();
    weight * (1.0 - (position - whole as f64)) + rest
}

/// Returns the bucket in which half of the weight is reached.
fn median(sample: &Weights) -> usize {
    let half = sample.iter().sum::<f64>() / 2.0;
    let mut sum = 0.0;
    let reached = sample.iter().position(|weight| {
        sum += weight;
        sum >= half
    });
    reached.unwrap_or(BUCKETS - 1)
}

/// Returns the number of observations by bucket.
fn counts(observations: &VecDeque<(usize, u64)>) -> Weights {
    let mut counts = [0.0; BUCKETS];
    for (bucket, _) in observations {
        counts[*bucket] += 1.0;
    }
    counts
}

/// Returns the whole length at a quantile of the lengths above `made`.
fn at_quantile(weights: &Weights, made: Tokens, quantile: f64) -> Tokens {
    let start = position(made);
    let mut more = mass_above(weights, start);
    let target = more * (1.0 - quantile.clamp(0.0, 1.0));
    let mut low = start;
    // Finds the bucket whose upper end leaves no more than the target above it.
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
            let length = (found / PER_OCTAVE).exp2().round() as Tokens;
            return length.max(made + 1);
        }
        (low, more) = (high, less);
    }
    (made as f64 * OUTGROWN).ceil() as Tokens + 1
}

/// Returns a distribution around an expected length that halves with each bucket of distance.
fn prior(expected: Tokens) -> Weights {
    let centre = bucket(expected);
    std::array::from_fn(|bucket| (-(bucket.abs_diff(centre) as f64)).exp2())
}

/// Returns the factor by which weights shrink over a time.
fn decay(from: Instant, now: Instant) -> f64 {
    let elapsed = now.saturating_duration_since(from);
    (-elapsed.as_secs_f64() / HALF_LIFE.as_secs_f64()).exp2()
}

/// Returns the largest difference between the cumulative distributions.
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
