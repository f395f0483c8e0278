//! Guards against gateways that overload an unavailable store, miss changes made in an outage, or
//! stop serving.

mod platform;

use std::time::Duration;

use daisyyard_standin::platform_store::Mode;
use hyper::{Method, StatusCode};
use platform::{Platform, plain_request, wait_until};
use serde_json::json;

/// Time within which all calls to a store that declines them are at their longest delays. The lease is
/// renewed 3 s after it was granted, and the delays of the renewal grow for at most 1.5 s.
const BACKOFF_TIME: Duration = Duration::from_secs(5);

/// While the store declines calls, a gateway keeps serving and calls it less often; when the store
/// is back, the gateway applies the changes.
#[tokio::test]
async fn outlasts_outage() {
    let mut platform = Platform::start(0, 1).await;
    platform.start_gateway().await;
    platform.store.set_mode(Mode::Declining);
    tokio::time::sleep(BACKOFF_TIME).await;
    let before = platform.store.calls();
    tokio::time::sleep(Duration::from_secs(3)).await;
    let calls = platform.store.calls() - before;
    // The watch retries about every 0.3 s, the registration every second.
    assert!((2..=16).contains(&calls), "{calls} calls in 3 s");
    let (status, _) = platform
        .request(plain_request(Method::GET, "/stock/1"))
        .await;
    assert_eq!(status, StatusCode::OK);
    let mut config = platform::config(2);
    config["routes"][2]["path_prefix"] = json!("/renamed/");
    platform.store.put("op/config", &config).await;
    platform.store.set_mode(Mode::Serving);
    wait_for_second_config(&mut platform).await;
}

/// A gateway whose watch ends because the store compacted its history reads all entries again.
#[tokio::test]
async fn rereads_after_compaction() {
    let mut platform = Platform::start(0, 1).await;
    platform.start_gateway().await;
    let mut config = platform::config(2);
    config["routes"][2]["path_prefix"] = json!("/renamed/");
    platform.store.set_mode(Mode::Declining);
    platform.store.put("op/config", &config).await;
    platform.store.compact();
    platform.store.set_mode(Mode::Serving);
    wait_for_second_config(&mut platform).await;
}

/// An older configuration never replaces a newer one.
#[tokio::test]
async fn keeps_newest() {
    let mut platform = Platform::start(0, 1).await;
    platform.store.put("op/config", &platform::config(5)).await;
    platform.start_gateway().await;
    let mut older = platform::config(4);
    older["routes"] = json!([]);
    platform.store.put("op/config", &older).await;
    platform
        .store
        .put("servers/plain-9", &json!({ "service": "desk" }))
        .await;
    tokio::time::sleep(Duration::from_millis(300)).await;
    let (status, _) = platform
        .request(plain_request(Method::GET, "/stock/1"))
        .await;
    assert_eq!(status, StatusCode::OK);
}

/// A gateway without a configuration is not ready and answers requests with status 503.
#[tokio::test]
async fn waits_for_config() {
    let mut platform = Platform::start(0, 1).await;
    platform.store.set_mode(Mode::Declining);
    let gateway = platform::spawn_gateway(platform.store.address, 0).await;
    let (ready, requests) = (gateway.ready, gateway.requests);
    platform.gateways.push(gateway);
    wait_until("the gateway listens", async || {
        platform::status(ready, "/-/readiness").await.is_some()
            && platform::status(requests, "/").await.is_some()
    })
    .await;
    let status = platform::status(ready, "/-/readiness").await;
    assert_eq!(status, Some(StatusCode::SERVICE_UNAVAILABLE));
    let (status, _) = platform
        .request(plain_request(Method::GET, "/stock/1"))
        .await;
    assert_eq!(status, StatusCode::SERVICE_UNAVAILABLE);
    platform.store.set_mode(Mode::Serving);
    wait_until("the gateway is ready", async || {
        platform::status(ready, "/-/readiness").await == Some(StatusCode::OK)
    })
    .await;
}

/// A request that arrives just before the first configuration waits for it and is served.
#[tokio::test]
async fn holds_early_request() {
    let mut platform = Platform::start(0, 1).await;
    platform.store.set_mode(Mode::Declining);
    let gateway = platform::spawn_gateway(platform.store.address, 0).await;
    let requests = gateway.requests;
    platform.gateways.push(gateway);
    wait_until("the gateway listens", async || {
        tokio::net::TcpStream::connect(requests).await.is_ok()
    })
    .await;
    platform.store.set_mode(Mode::Serving);
    let (status, _) = platform
        .request(plain_request(Method::GET, "/stock/1"))
        .await;
    assert_eq!(status, StatusCode::OK);
}

/// Waits until the second configuration is active.
async fn wait_for_second_config(platform: &mut Platform) {
    let deadline = std::time::Instant::now() + platform::TIMEOUT;
    loop {
        let (new, _) = platform
            .request(plain_request(Method::GET, "/renamed/1"))
            .await;
        let (old, _) = platform
            .request(plain_request(Method::GET, "/stock/1"))
            .await;
        if (new, old) == (StatusCode::OK, StatusCode::NOT_FOUND) {
            return;
        }
        assert!(
            std::time::Instant::now() < deadline,
            "the new version is in force"
        );
        tokio::time::sleep(Duration::from_millis(20)).await;
    }
}

/// A gateway that can only read old data does not put an old configuration in force, which may
/// contain routes and credentials that the operator has removed.
#[tokio::test]
async fn ignores_old_config() {
    let mut platform = Platform::start(0, 1).await;
    platform.store.set_mode(Mode::RecentOnly);
    let gateway = platform::spawn_gateway(platform.store.address, 0).await;
    let ready = gateway.ready;
    platform.gateways.push(gateway);
    wait_until("the gateway listens", async || {
        platform::status(ready, "/-/readiness").await.is_some()
    })
    .await;
    tokio::time::sleep(Duration::from_millis(500)).await;
    let status = platform::status(ready, "/-/readiness").await;
    assert_eq!(status, Some(StatusCode::SERVICE_UNAVAILABLE));
    platform.store.set_mode(Mode::Serving);
    wait_until("the gateway is ready", async || {
        platform::status(ready, "/-/readiness").await == Some(StatusCode::OK)
    })
    .await;
}
