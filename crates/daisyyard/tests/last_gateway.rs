//! Guards against the last gateway offering callers the addresses of lost gateways for as long as their
//! entries remain in the store.

mod platform;

use std::time::{Duration, Instant};

use daisyyard_core::roster::Role;
use platform::{Gateway, Platform};

/// Number of gateways.
const GATEWAYS: usize = 6;
/// Time after its loss from which a gateway must not be offered any more (`contact_ms` and 3 s).
const OFFERED_BOUND: Duration = Duration::from_secs(6);
/// Time for which the answers of the directory are checked.
const CHECK_TIME: Duration = Duration::from_secs(3);

/// Starts gateways, kills all but the first with a part in the fleet, and checks what it offers.
async fn check_last(role: Role) {
    let mut platform = Platform::start(0, 1).await;
    for _ in 0..GATEWAYS {
        platform.start_gateway().await;
    }
    platform::wait_until_listed(&platform.gateways).await;
    let first = platform::with_role(GATEWAYS, role)[0];
    let last: Gateway = platform.gateways.swap_remove(first);
    platform.gateways.clear();
    let lost_at = Instant::now();
    tokio::time::sleep(OFFERED_BOUND).await;
    while lost_at.elapsed() < OFFERED_BOUND + CHECK_TIME {
        let offered = platform::offered(last.directory).await;
        let ms = lost_at.elapsed().as_millis();
        assert_eq!(offered, [last.requests.to_string()], "after {ms} ms");
        tokio::time::sleep(Duration::from_millis(50)).await;
    }
}

/// A gateway that reads the store for the others.
#[tokio::test]
async fn reader() {
    check_last(Role::Reader).await;
}

/// A gateway that was told of changes by others, which are lost.
#[tokio::test]
async fn told() {
    check_last(Role::Serving).await;
}
