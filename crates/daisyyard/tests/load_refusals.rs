//! Guards against settings of the admission that have no effect, or an effect where they must not.

mod platform;

use hyper::StatusCode;
use platform::{Platform, spawn_gateway_with, status, stream_request, text, wait_until};
use serde_json::json;

/// Text of a refusal by the admission.
const SHED: &str = "no endpoint is expected to have room in time";

/// Sends a request to a gateway without engines whose settings name these contracts; returns the
/// answer and the metrics.
async fn refused(contracts: serde_json::Value) -> (String, String) {
    let mut platform = Platform::start(0, 0).await;
    let adapt = |settings: &mut serde_json::Value| {
        settings["admission"] = json!({ "contracts": contracts });
    };
    let gateway = spawn_gateway_with(platform.store.address, 0, adapt).await;
    let (ready, metrics) = (gateway.ready, gateway.metrics);
    platform.gateways.push(gateway);
    wait_until("the gateway is ready", async || {
        status(ready, "/-/readiness").await == Some(StatusCode::OK)
    })
    .await;
    let answer = platform.request(stream_request("/draft/1", "10,20")).await;
    assert_eq!(answer.0, StatusCode::SERVICE_UNAVAILABLE, "{}", answer.1);
    (answer.1, text(metrics, "/metrics").await)
}

/// Where the contracts name pressure, a request without capacity is refused by the admission and
/// counted for its account.
#[tokio::test]
async fn in_effect() {
    let (answer, metrics) = refused(json!(["streaming", "pressure"])).await;
    assert!(answer.contains(SHED), "{answer}");
    let counted = metrics.lines().any(|line| {
        line.starts_with("daisyyard_gateway_admissions_total{") && line.contains("refused")
    });
    assert!(counted, "{metrics}");
}

/// Where they do not, the order of the backlog remains.
#[tokio::test]
async fn not_in_effect() {
    let (answer, metrics) = refused(json!(["streaming"])).await;
    assert!(!answer.contains(SHED), "{answer}");
    assert!(
        !metrics.contains("daisyyard_gateway_admissions_total"),
        "{metrics}"
    );
}

/// Requests are served where the admission is in effect and capacity is free.
#[tokio::test]
async fn serves_when_calm() {
    let mut platform = Platform::start(2, 2).await;
    let adapt = |settings: &mut serde_json::Value| {
        settings["admission"] = json!({ "contracts": ["pressure"] });
    };
    let gateway = spawn_gateway_with(platform.store.address, 0, adapt).await;
    let (ready, metrics) = (gateway.ready, gateway.metrics);
    platform.gateways.push(gateway);
    wait_until("the gateway is ready", async || {
        status(ready, "/-/readiness").await == Some(StatusCode::OK)
    })
    .await;
    for number in 0..4 {
        let path = format!("/draft/{number}");
        let answer = platform.request(stream_request(&path, "10,20")).await;
        assert_eq!(answer.0, StatusCode::OK, "{}", answer.1);
    }
    let metrics = text(metrics, "/metrics").await;
    assert!(!metrics.contains("outcome=\"refused\""), "{metrics}");
    assert!(metrics.contains("outcome=\"served\""), "{metrics}");
}

/// Guards against requests that are refused because all zones are evacuated and count as served, also
/// for the shares of their accounts.
#[tokio::test]
async fn all_evacuated() {
    let mut platform = Platform::start(1, 1).await;
    platform.store.put("op/evacuate/zone-a", &json!({})).await;
    let adapt = |settings: &mut serde_json::Value| {
        settings["admission"] = json!({ "contracts": ["pressure"] });
    };
    let gateway = spawn_gateway_with(platform.store.address, 0, adapt).await;
    let (ready, metrics) = (gateway.ready, gateway.metrics);
    platform.gateways.push(gateway);
    wait_until("the gateway is ready", async || {
        status(ready, "/-/readiness").await == Some(StatusCode::OK)
    })
    .await;
    for usage in ["10,20", "3000,800"] {
        let answer = platform.request(stream_request("/draft/1", usage)).await;
        assert_eq!(answer.0, StatusCode::SERVICE_UNAVAILABLE, "{}", answer.1);
        assert!(answer.1.contains("evacuated zones"), "{}", answer.1);
    }
    let metrics = text(metrics, "/metrics").await;
    assert!(!metrics.contains("outcome=\"served\""), "{metrics}");
    assert!(metrics.contains("outcome=\"refused\""), "{metrics}");
}
