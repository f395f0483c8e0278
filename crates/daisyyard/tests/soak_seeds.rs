//! Guards against broken promises of gateways while processes, connections, the store and engines
//! fail from outside.

use std::time::Duration;

use daisyyard::soak::{self, Options};

/// A soak with a seed breaks no promise.
async fn check_seed(seed: u64) {
    let options = Options {
        seed,
        duration: Duration::from_secs(6),
        program: env!("CARGO_BIN_EXE_daisyyard").into(),
        log_directory: None,
    };
    let violations = soak::violations(&options).await;
    let violations = violations.expect("the gateways start");
    assert!(violations.is_empty(), "seed {seed}: {violations:#?}");
}

/// A gateway was ended by `SIGHUP` as it started, because it installed its handlers last.
#[tokio::test(flavor = "multi_thread")]
async fn early_reload() {
    check_seed(3).await;
}

/// A short soak.
#[tokio::test(flavor = "multi_thread")]
async fn short_soak() {
    check_seed(1).await;
}
