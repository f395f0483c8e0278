//! Guards against retries that multiply the load of an outage.

use daisyyard_core::retry_budget::{Budget, Decision};

/// An account may retry the given share of its first attempts, and ten more at the start.
#[test]
fn share_of_attempts() {
    let mut budget = Budget::new();
    let mut retries = 0;
    for _ in 0..1_000 {
        budget.earn(1, 1, 0.1);
        retries += u32::from(budget.spend(1, 1) == Decision::Retry);
    }
    assert!((100..=110).contains(&retries), "{retries}");
}

/// All accounts together cannot retry more than the share of the service.
#[test]
fn service_share() {
    let mut budget = Budget::new();
    let mut retries = 0;
    for account in 0..10_000 {
        budget.earn(account, 1, 0.1);
        retries += u32::from(budget.spend(account, 1) == Decision::Retry);
    }
    assert!(retries <= 1_010, "{retries}");
    assert_eq!(budget.spend(1, 2), Decision::Refuse);
}
