//! Guards against answers that do not reach their caller completely over real sockets.

use daisyyard::embedded::{self, Options};

/// The embedded fleet of each deployment completes a long stream and a short answer.
#[tokio::test]
async fn serves_both() {
    for deployment in ["association", "pit-works"] {
        let passed = embedded::run(deployment, Options::default())
            .await
            .expect("the fleet starts");
        assert!(passed, "a guarantee was violated on {deployment}");
    }
}
