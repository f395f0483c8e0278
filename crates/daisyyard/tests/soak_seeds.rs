//! Guards against violated guarantees of gateways while processes, connections, the store and
//! engines fail.

use std::time::Duration;

use daisyyard::soak::{self, Options};

/// Checks that a soak with this seed has no violation.
async fn check_seed(seed: u64) {
    let options = Options {
        seed,
        duration: Duration::from_secs(6),
        program: env!("CARGO_BIN_EXE_daisyyard").into(),
        log_directory: None,
        changes: false,
    };
    let violations = soak::violations(&options).await;
    let violations = violations.expect("the gateways start");
    assert!(violations.is_empty(), "seed {seed}: {violations:#?}");
}

/// Guards against answers that follow a version of the configuration that is no longer in force.
#[tokio::test(flavor = "multi_thread")]
async fn changed_configuration() {
    let options = Options {
        seed: 1,
        duration: Duration::from_secs(8),
        program: env!("CARGO_BIN_EXE_daisyyard").into(),
        log_directory: None,
        changes: true,
    };
    let violations = soak::violations(&options).await;
    let violations = violations.expect("the gateways start");
    assert!(violations.is_empty(), "{violations:#?}");
}

/// Guards against a gateway that `SIGHUP` terminates during startup, because it installs its signal
/// handlers last.
#[tokio::test(flavor = "multi_thread")]
async fn early_reload() {
    check_seed(3).await;
}

/// A short soak with another seed has no violation.
#[tokio::test(flavor = "multi_thread")]
async fn short_soak() {
    check_seed(1).await;
}
