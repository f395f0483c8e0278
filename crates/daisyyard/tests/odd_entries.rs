//! Guards against entries of another writer, and numbers of callers, that end a gateway or stop it from
//! following the store.

mod platform;

use hyper::{Method, StatusCode};
use platform::{Platform, plain_request, stream_request, wait_until};
use serde_json::{Value, json};

/// Returns a valid entry with one field replaced.
fn entry_with(service: &str, field: &str, value: Value) -> Value {
    let address = "127.0.0.1:9".parse().expect("an address");
    let mut entry = daisyyard_standin::platform_fixture::entry(service, address, "ready");
    entry[field] = value;
    entry
}

/// Waits until the gateway uses an endpoint that is listed after all odd entries.
async fn check_follows(platform: &mut Platform) {
    platform.add_engine("plain-late", "desk").await;
    let metrics = platform.gateways[0].metrics;
    let request = plain_request(Method::GET, "/stock/1");
    let sent = &*platform;
    wait_until("the late endpoint is used", async || {
        let (_, text) = sent.send_through(0, "attempt-late", &request).await;
        text.as_deref() == Some("whole plain-late")
    })
    .await;
    assert!(!platform::text(metrics, "/metrics").await.is_empty());
    let ended = platform.gateways[0].process.try_wait();
    assert!(ended.expect("the state of the process").is_none());
}

/// Entries with deep nesting, numbers that are too large or ports out of range name no endpoint, and the
/// gateway goes on following the store.
#[tokio::test]
async fn of_endpoints() {
    let mut platform = Platform::start(0, 0).await;
    platform.start_gateway().await;
    let nested = (0..100).fold(json!(1), |inner, _| json!([inner]));
    let entries = [
        entry_with("desk", "stage", nested.clone()),
        entry_with("desk", "extra", nested),
        entry_with("desk", "slots", json!(u64::MAX)),
        entry_with("desk", "slots", json!(1e300)),
        entry_with("desk", "cold_remaining_ms", json!(1e300)),
        entry_with("desk", "cold_remaining_ms", json!(-1e300)),
        entry_with("desk", "born", json!(1e30)),
        entry_with("desk", "sequence", json!(1e300)),
        entry_with("desk", "address", json!("127.0.0.1:70000")),
        entry_with("desk", "state", json!("elsewhere")),
        entry_with("desk", "slots", json!(u32::MAX)),
        json!([]),
    ];
    for (number, entry) in entries.iter().enumerate() {
        platform
            .store
            .put(&format!("servers/odd-{number}"), entry)
            .await;
    }
    platform
        .store
        .put("gateways/odd", &json!({ "requests": 7 }))
        .await;
    platform.store.put("refusals/odd", &json!({})).await;
    check_follows(&mut platform).await;
}

/// Numbers in the headers of a caller that are too large do not end the gateway.
#[tokio::test]
async fn of_callers() {
    let mut platform = Platform::start(1, 1).await;
    platform.start_gateway().await;
    let largest = u64::MAX.to_string();
    let usage = format!("{largest},20");
    for (name, value) in [
        ("x-daisyyard-token-usage", usage.as_str()),
        ("x-daisyyard-deadline-ms", "1e300"),
        ("x-daisyyard-length-hint", "1e300"),
    ] {
        let mut request = stream_request("/draft/1", "100,20");
        request.headers.retain(|(other, _)| *other != name);
        request.headers.push((name, value));
        let (status, _) = platform.request(request).await;
        assert_ne!(status, StatusCode::BAD_GATEWAY);
    }
    check_follows(&mut platform).await;
}
