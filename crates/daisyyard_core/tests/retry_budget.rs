//! Guards against retries that multiply an overload.

use daisyyard_core::budget::{Budget, Next};

/// Retries stay within their share of the requests.
#[test]
fn bounds_retries() {
    let mut budget = Budget::new(0.1);
    let mut retries = 0;
    for _ in 0..1000 {
        budget.earn();
        while budget.spend() == Next::Retry {
            retries += 1;
        }
    }
    assert!((100..=110).contains(&retries), "{retries} retries");
}
