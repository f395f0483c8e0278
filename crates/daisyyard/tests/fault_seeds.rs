//! Guards against broken promises while engines, nodes and the configuration service fail.

use daisyyard::fault_injection;

/// Each seed has no violation on its deployment.
async fn check_seed(deployment: &str, seed: u64) {
    let violations = fault_injection::violations(deployment, seed).await;
    let violations = violations.expect("the fleet starts");
    assert!(violations.is_empty(), "seed {seed}: {violations:#?}");
}

/// Faults on the association's fleet; with seed 20 a node that had ended gave an engine that was
/// leaving new work.
#[tokio::test(flavor = "multi_thread")]
async fn association_seed() {
    check_seed("association", 20).await;
}

/// Faults on the pigment works' fleet.
#[tokio::test(flavor = "multi_thread")]
async fn pit_works_seed() {
    check_seed("pit-works", 3).await;
}
