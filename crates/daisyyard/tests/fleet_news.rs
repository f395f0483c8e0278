//! Guards against gateways that each read every change of the store, and against those that do not
//! learn a change because they read less.

mod platform;

use std::time::Duration;

use hyper::{Method, StatusCode};
use platform::{Platform, plain_request, wait_until};
use serde_json::json;

/// Number of gateways, of which three read the store.
const GATEWAYS: usize = 8;
/// Number of changes of endpoints in the test.
const CHANGES: u64 = 20;

/// Starts a platform with gateways that know each other.
async fn start() -> Platform {
    let mut platform = Platform::start(0, 1).await;
    for _ in 0..GATEWAYS {
        platform.start_gateway().await;
    }
    platform::wait_until_listed(&platform.gateways).await;
    platform
}

/// Sends a request without a body to one gateway and returns the status and the text.
async fn get(platform: &Platform, gateway: usize, path: &str) -> (StatusCode, String) {
    let attempt = format!("attempt-{gateway}-{path}");
    let request = plain_request(Method::GET, path);
    let (status, text) = platform.send_through(gateway, &attempt, &request).await;
    (status, text.unwrap_or_default())
}

/// Changes of endpoints are read by a few gateways, and all of them use the new endpoint.
#[tokio::test]
async fn endpoints_told() {
    let mut platform = start().await;
    // Watches that wait for a change end with the first one.
    platform.add_engine("plain-1", "desk").await;
    tokio::time::sleep(Duration::from_secs(2)).await;
    let before = platform.store.calls();
    for number in 0..CHANGES {
        let entry = json!({ "service": "desk", "number": number });
        platform.store.put("servers/other", &entry).await;
        tokio::time::sleep(Duration::from_millis(100)).await;
    }
    platform.add_engine("plain-2", "desk").await;
    let calls = platform.store.calls() - before;
    // Three readers pause for 0.3 s on average; the others renew their leases.
    assert!(calls < GATEWAYS as u64 * 6, "{calls} calls");
    for gateway in 0..GATEWAYS {
        wait_until("the new endpoint is used", async || {
            get(&platform, gateway, "/stock/1").await.1 == "whole plain-2"
        })
        .await;
    }
}

/// An endpoint that leaves is no longer used by any gateway within a second.
#[tokio::test]
async fn departure_told() {
    let mut platform = start().await;
    platform.add_engine("plain-1", "desk").await;
    tokio::time::sleep(Duration::from_secs(2)).await;
    platform.put_entry(0, "desk", "draining").await;
    tokio::time::sleep(Duration::from_secs(1)).await;
    for gateway in 0..GATEWAYS {
        for _ in 0..4 {
            let answer = get(&platform, gateway, "/stock/1").await;
            assert_eq!(answer, (StatusCode::OK, "whole plain-1".to_owned()));
        }
    }
}

/// A new configuration is in force at all gateways within two seconds, for less than the price of
/// one read for each gateway.
#[tokio::test]
async fn configuration_told() {
    let platform = start().await;
    tokio::time::sleep(Duration::from_secs(2)).await;
    let price = platform.store.price();
    let mut config = platform::config(2);
    config["routes"][2]["path_prefix"] = json!("/renamed/");
    platform.store.put("op/config", &config).await;
    tokio::time::sleep(Duration::from_secs(2)).await;
    // The watches of three readers end, and they start new ones; the five others read once, for a
    // tenth of the price, and all renew their leases.
    let price = (platform.store.price() - price) / 10;
    assert!(price < GATEWAYS as u64, "the price of {price} calls");
    for gateway in 0..GATEWAYS {
        let (status, _) = get(&platform, gateway, "/renamed/1").await;
        assert_eq!(status, StatusCode::OK, "gateway {gateway}");
    }
}

/// When the gateways that read the store are killed, the others read it in their place.
#[tokio::test]
async fn readers_replaced() {
    let mut platform = start().await;
    tokio::time::sleep(Duration::from_secs(2)).await;
    // At least two of the three readers are among any seven of the eight gateways.
    platform.gateways.drain(1..);
    let mut config = platform::config(2);
    config["routes"][2]["path_prefix"] = json!("/renamed/");
    platform.store.put("op/config", &config).await;
    wait_until("the new version is in force", async || {
        get(&platform, 0, "/renamed/1").await.0 == StatusCode::OK
    })
    .await;
}
