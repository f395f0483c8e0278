//! Guards against answers that do not reach their caller whole, on real sockets.

use daisyyard::embedded::{self, Options};

/// The embedded fleet of each deployment delivers a long stream and a short answer whole.
#[tokio::test]
async fn serves_both() {
    for deployment in ["association", "pit-works"] {
        let held = embedded::run(deployment, Options::default())
            .await
            .expect("the fleet starts");
        assert!(held, "a promise was broken on {deployment}");
    }
}
