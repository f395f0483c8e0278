//! Guards against length estimates that follow an outdated distribution, or that need a history.

use std::time::{Duration, Instant};

use daisyyard_core::contract::Rank;
use daisyyard_core::length::{Estimator, Kind};
use proptest::prelude::*;

/// Returns the kind of the generations of an account.
fn kind(account: u64) -> Kind {
    Kind {
        service: 1,
        rank: Rank::Deferrable,
        account,
    }
}

/// Without history, the estimate is close to the length that the node expects.
#[test]
fn expects_without_history() {
    let estimator = Estimator::new();
    for expected in [1, 30, 256, 8_000] {
        let total = estimator.total(kind(1), 0, 0.5, expected, Instant::now());
        assert!(
            total >= expected / 2 && total <= expected * 2 + 1,
            "{total} of {expected}"
        );
    }
}

/// After an abrupt shift the estimate follows within 16 generations, despite a long history.
#[test]
fn follows_shift() {
    for (before, after) in [(20, 4_000), (4_000, 20)] {
        let (mut estimator, now) = (Estimator::new(), Instant::now());
        for account in 0..2_000 {
            estimator.observe(kind(account), before, now);
        }
        for account in 0..16 {
            estimator.observe(kind(account), after, now);
        }
        let total = estimator.total(kind(3), 0, 0.5, 256, now);
        assert!(
            total >= after / 2 && total <= after * 2,
            "{total} of {after}"
        );
    }
}

/// The estimate follows long outputs before the first of them ends.
#[test]
fn learns_from_running() {
    let (mut estimator, now) = (Estimator::new(), Instant::now());
    for account in 0..500 {
        estimator.observe(kind(account), 20, now);
    }
    let before = estimator.total(kind(3), 0, 0.5, 256, now);
    for account in 0..16 {
        estimator.observe_running(kind(account), 200, now);
    }
    let after = estimator.total(kind(3), 0, 0.5, 256, now);
    assert!(before < 40 && after > 200, "{before} then {after}");
}

/// Accounts with enough history have separate estimates.
#[test]
fn separates_accounts() {
    let (mut estimator, now) = (Estimator::new(), Instant::now());
    for _ in 0..200 {
        estimator.observe(kind(1), 10, now);
        estimator.observe(kind(2), 2_000, now);
    }
    let short = estimator.total(kind(1), 0, 0.5, 256, now);
    let long = estimator.total(kind(2), 0, 0.5, 256, now);
    assert!(short < 20 && long > 1_000, "{short} and {long}");
}

/// A flood of long outputs of one account does not change the estimates of other accounts.
#[test]
fn flood_of_one() {
    let (mut estimator, now) = (Estimator::new(), Instant::now());
    for account in 0..2_000 {
        estimator.observe(kind(account), 20, now);
    }
    for _ in 0..100 {
        estimator.observe(kind(1), 4_000, now);
    }
    let total = |account| estimator.total(kind(account), 0, 0.5, 256, now);
    assert!(
        total(1) > 2_000 && total(2) < 60,
        "{} and {}",
        total(1),
        total(2)
    );
}

/// Old observations lose their weight, so that the expected length counts again.
#[test]
fn forgets() {
    let (mut estimator, now) = (Estimator::new(), Instant::now());
    estimator.observe(kind(1), 10, now);
    let later = now + Duration::from_hours(3);
    assert!(estimator.total(kind(1), 0, 0.5, 4_000, later) > 2_000);
}

proptest! {
    /// The estimate exceeds the current length, and grows with the quantile and the current length.
    #[test]
    fn estimate_is_monotonic(
        lengths in proptest::collection::vec(1_u64..100_000, 0..60),
        generated in 0_u64..100_000,
        low in 0.01_f64..0.99,
        high in 0.01_f64..0.99,
    ) {
        let (mut estimator, now) = (Estimator::new(), Instant::now());
        for length in lengths {
            estimator.observe(kind(1), length, now);
        }
        let total = |generated, quantile| estimator.total(kind(1), generated, quantile, 256, now);
        prop_assert!(total(generated, low) > generated);
        prop_assert!(total(generated, low.min(high)) <= total(generated, low.max(high)));
        prop_assert!(total(generated, low) <= total(generated * 2 + 2, low));
    }
}
