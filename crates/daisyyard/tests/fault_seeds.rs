//! Guards against violated guarantees while engines, nodes and the configuration service fail.

use daisyyard::fault_injection;

/// Checks that a run with this seed has no violation on the deployment.
async fn check_seed(deployment: &str, seed: u64) {
    let violations = fault_injection::violations(deployment, seed).await;
    let violations = violations.expect("the fleet starts");
    assert!(violations.is_empty(), "seed {seed}: {violations:#?}");
}

/// Faults on the association's fleet. Seed 20 guards against a node that was stopped and still sent
/// new requests to a leaving engine.
#[tokio::test(flavor = "multi_thread")]
async fn association_seed() {
    check_seed("association", 20).await;
}

/// Faults on the pigment works' fleet.
#[tokio::test(flavor = "multi_thread")]
async fn pit_works_seed() {
    check_seed("pit-works", 3).await;
}
