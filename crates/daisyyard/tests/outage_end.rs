//! Guards against gateways that take an outage of the store to last longer than it does, and so keep
//! sending requests to endpoints that leave after it.

mod platform;

use std::time::{Duration, Instant};

use daisyyard_standin::platform_store::Mode;
use hyper::{Method, StatusCode};
use platform::{Platform, plain_request, wait_until};

/// Durations of outages, in milliseconds, in which entries of endpoints may expire. They differ in what the gateway does
/// at their ends besides watching.
const OUTAGE_TIMES_MS: [u64; 6] = [3_000, 3_300, 3_600, 3_900, 4_200, 4_500];
/// Time after the outage from which removals are acknowledged reliably (`contact_ms`).
const CONTACT_TIME: Duration = Duration::from_millis(3_100);
/// Time after its removal at which an endpoint must get no more requests (`drain_ms`).
const DRAIN_TIME: Duration = Duration::from_secs(2);
/// Time for which requests are sent after that.
const CHECK_TIME: Duration = Duration::from_millis(500);

/// Starts a gateway before two plain endpoints.
async fn start() -> Platform {
    let mut platform = Platform::start(0, 2).await;
    platform.start_gateway().await;
    platform
}

/// Waits until the gateway has sent another watch.
async fn wait_for_watch(platform: &Platform) {
    let watches = platform.store.watches();
    wait_until("the store is called", async || {
        platform.store.watches() > watches
    })
    .await;
}

/// Removes an endpoint and returns the number of requests that reach it when it must get none.
async fn count_late(platform: &mut Platform) -> usize {
    let name = platform.engines[0].name.clone();
    platform.store.remove(&format!("servers/{name}")).await;
    tokio::time::sleep(DRAIN_TIME).await;
    let before = platform.runs.arrivals().await.len();
    let started = Instant::now();
    while started.elapsed() < CHECK_TIME {
        let request = plain_request(Method::GET, "/stock/1");
        let (status, _) = platform.request(request).await;
        assert_eq!(status, StatusCode::OK);
    }
    let late = platform.runs.arrivals().await.split_off(before);
    late.iter().filter(|arrival| arrival.engine == name).count()
}

/// A call that was sent in the last moments of a silent outage is never answered. The outage ends all the
/// same when the store is back, not when the next watch is answered.
#[tokio::test]
async fn unanswered_call() {
    let plays = OUTAGE_TIMES_MS.map(async |outage_ms| {
        let mut platform = start().await;
        platform.store.set_mode(Mode::Silent);
        tokio::time::sleep(Duration::from_millis(outage_ms)).await;
        wait_for_watch(&platform).await;
        platform.store.set_mode(Mode::Serving);
        tokio::time::sleep(CONTACT_TIME).await;
        count_late(&mut platform).await
    });
    let late = futures_util::future::join_all(plays).await;
    assert_eq!(late, [0; OUTAGE_TIMES_MS.len()]);
}

/// A single failed call is no outage in which entries expire.
#[tokio::test]
async fn failed_call() {
    let mut platform = start().await;
    platform.store.set_mode(Mode::Declining);
    wait_for_watch(&platform).await;
    platform.store.set_mode(Mode::Serving);
    wait_for_watch(&platform).await;
    assert_eq!(count_late(&mut platform).await, 0);
}
