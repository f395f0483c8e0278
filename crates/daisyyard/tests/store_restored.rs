//! Guards against gateways that ignore what the operator writes, or undo what was in force, after the
//! store has come back from an older copy and gives out its revisions again.

mod platform;

use std::time::{Duration, Instant};

use daisyyard_standin::platform_fixture;
use futures_util::future;
use hyper::{Method, StatusCode};
use platform::{Platform, plain_request, wait_until};
use serde_json::json;

/// Number of gateways, of which three read the store for the others.
const GATEWAYS: usize = 5;
/// Key of the order to evacuate the zone of the second endpoint.
const ORDER: &str = "op/evacuate/zone-b";
/// Time after the order from which no request may reach the zone (`evacuation_ms`).
const EVACUATION_TIME: Duration = Duration::from_secs(5);
/// Age of the copy from which the store comes back.
const AGE: Duration = Duration::from_secs(3);
/// Time for which the store is away.
const AWAY: Duration = Duration::from_millis(500);
/// Writes in the time that the store loses.
const LOST_WRITES: usize = 200;
/// Requests that are sent through each gateway at the same time, more than one endpoint has slots.
const CHECKS: usize = 12;

/// Writes the entries of both endpoints, the second one in the zone to be evacuated.
async fn put_entries(platform: &Platform) {
    for (engine, zone) in platform.engines.iter().zip(["zone-a", "zone-b"]) {
        let mut entry = platform_fixture::entry("desk", engine.address, "ready");
        entry["zone"] = json!(zone);
        let key = format!("servers/{}", engine.name);
        platform.store.put(&key, &entry).await;
    }
}

/// Starts gateways before a store that states its era, and waits until a copy of it has all of them.
async fn start() -> Platform {
    let mut platform = Platform::start(0, 2).await;
    platform.store.set_era(1);
    put_entries(&platform).await;
    for _ in 0..GATEWAYS {
        platform.start_gateway().await;
    }
    platform::wait_until_listed(&platform.gateways).await;
    tokio::time::sleep(Duration::from_secs(1)).await;
    platform
}

/// Raises the revision of the store, and lets a gateway read all keys at it.
async fn advance(platform: &mut Platform) {
    for _ in 0..LOST_WRITES {
        platform.store.put("servers/other", &json!({})).await;
    }
    platform.start_gateway().await;
    platform::wait_until_listed(&platform.gateways).await;
    // Digests tell the others up to which revision it has read.
    tokio::time::sleep(Duration::from_secs(1)).await;
}

/// Returns the endpoints that answer requests through all gateways.
async fn answering(platform: &Platform) -> Vec<String> {
    let asked = (0..platform.gateways.len() * CHECKS).map(|number| async move {
        let request = plain_request(Method::GET, "/stock/1");
        let attempt = format!("attempt-{:x}", rand::random::<u64>());
        let gateway = number % platform.gateways.len();
        let (status, body) = platform.send_through(gateway, &attempt, &request).await;
        assert_eq!(status, StatusCode::OK);
        body.unwrap_or_default()
    });
    let mut answering = future::join_all(asked).await;
    answering.sort();
    answering.dedup();
    answering
}

/// An order that is given after the store has come back is followed, although its revision is lower than
/// those that gateways have read before.
#[tokio::test]
async fn new_order() {
    let mut platform = start().await;
    advance(&mut platform).await;
    platform.store.restore(AGE, AWAY).await;
    put_entries(&platform).await;
    tokio::time::sleep(Duration::from_secs(1)).await;
    platform.store.put(ORDER, &json!({})).await;
    let ordered = Instant::now();
    tokio::time::sleep_until((ordered + EVACUATION_TIME).into()).await;
    assert_eq!(answering(&platform).await, ["whole plain-0"]);
    platform.store.remove(ORDER).await;
    wait_until("the zone is used again", async || {
        answering(&platform).await.len() == 2
    })
    .await;
}

/// An order that the store has lost stands until the operator has written it again.
#[tokio::test]
async fn lost_order() {
    let platform = start().await;
    tokio::time::sleep(AGE).await;
    platform.store.put(ORDER, &json!({})).await;
    wait_until("the zone is evacuated", async || {
        answering(&platform).await == ["whole plain-0"]
    })
    .await;
    platform.store.restore(AGE, AWAY).await;
    put_entries(&platform).await;
    let restored = Instant::now();
    while restored.elapsed() < Duration::from_millis(1_500) {
        assert_eq!(answering(&platform).await, ["whole plain-0"]);
    }
    platform.store.put(ORDER, &json!({})).await;
    let again = Instant::now();
    while again.elapsed() < Duration::from_secs(3) {
        assert_eq!(answering(&platform).await, ["whole plain-0"]);
    }
}

/// A configuration that was in force stays so, and a later one is in force in time.
#[tokio::test]
async fn configuration() {
    let mut platform = start().await;
    advance(&mut platform).await;
    let mut config = platform::config(2);
    config["routes"][2]["path_prefix"] = json!("/renamed/");
    platform.store.put("op/config", &config).await;
    tokio::time::sleep(Duration::from_secs(2)).await;
    platform.store.restore(AGE, AWAY).await;
    put_entries(&platform).await;
    let all_answer = async |path: &str| {
        for gateway in 0..platform.gateways.len() {
            let attempt = format!("attempt-{:x}", rand::random::<u64>());
            let request = plain_request(Method::GET, path);
            let (status, _) = platform.send_through(gateway, &attempt, &request).await;
            assert_eq!(status, StatusCode::OK, "gateway {gateway} at {path}");
        }
    };
    let restored = Instant::now();
    while restored.elapsed() < Duration::from_secs(2) {
        all_answer("/renamed/1").await;
    }
    config["version"] = json!(3);
    config["routes"][2]["path_prefix"] = json!("/newer/");
    platform.store.put("op/config", &config).await;
    tokio::time::sleep(Duration::from_secs(2)).await;
    all_answer("/newer/1").await;
}
