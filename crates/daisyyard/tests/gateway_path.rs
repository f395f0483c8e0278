//! Guards against requests that are lost, changed, misrouted or let in on their way through a
//! gateway.

mod platform;

use hyper::{Method, StatusCode};
use platform::{Asked, Platform, events, plain, stream};

/// A call and a stream arrive at an endpoint of their service and come back whole.
#[tokio::test]
async fn serves_both() {
    let mut platform = Platform::start(1, 1).await;
    platform.gateway().await;
    let answer = platform.ask(plain(Method::POST, "/book/space")).await;
    assert_eq!(answer, (StatusCode::OK, "whole plain-0".to_owned()));
    let answer = platform.ask(stream("/draft/1", "100,20")).await;
    assert_eq!(answer, (StatusCode::OK, events(5)));
}

/// An endpoint learns the account, its own name and the time that is left, and neither the
/// credential nor what a caller forged.
#[tokio::test]
async fn rewrites_head() {
    let mut platform = Platform::start(1, 1).await;
    platform.gateway().await;
    let asked = Asked {
        headers: vec![
            ("x-daisyyard-tenant", "another"),
            ("x-daisyyard-cache-hold", "1"),
            ("x-daisyyard-pin-ms", "1000"),
            ("kv-from", "10.0.0.1:1/x"),
            ("x-own", "kept"),
        ],
        ..plain(Method::POST, "/book/space")
    };
    platform.ask(asked).await;
    let seen = platform.ran("/book/space").await;
    let headers = &seen[0].headers;
    assert_eq!(headers["x-daisyyard-tenant"], "member-1");
    assert_eq!(headers["x-daisyyard-expected-instance"], "plain-0");
    assert_eq!(headers["x-own"], "kept");
    for name in [
        "authorization",
        "x-daisyyard-cache-hold",
        "x-daisyyard-pin-ms",
        "kv-from",
    ] {
        assert!(!headers.contains_key(name), "{name} is not passed on");
    }
    let left: u64 = headers["x-daisyyard-deadline-ms"]
        .to_str()
        .unwrap()
        .parse()
        .unwrap();
    // The route allows 6 s, less than the caller's 8 s.
    assert!((1..=6_000).contains(&left), "{left} ms are left");
}

/// Requests without a route, a credential or an attempt are refused with their reason.
#[tokio::test]
async fn refuses_improper() {
    let mut platform = Platform::start(0, 1).await;
    platform.gateway().await;
    let (status, _) = platform.ask(plain(Method::GET, "/nowhere/1")).await;
    assert_eq!(status, StatusCode::NOT_FOUND);
    let stranger = || vec![("authorization", "Bearer of-nobody")];
    let asked = Asked {
        headers: stranger(),
        ..plain(Method::GET, "/stock/1")
    };
    let (status, _) = platform.ask(asked).await;
    assert_eq!(status, StatusCode::UNAUTHORIZED);
    let asked = Asked {
        headers: stranger(),
        ..plain(Method::GET, "/open/1")
    };
    let (status, _) = platform.ask(asked).await;
    assert_eq!(status, StatusCode::OK);
    let long = "x".repeat(70_000);
    let asked = Asked {
        body: &long,
        ..plain(Method::POST, "/book/1")
    };
    let (status, _) = platform.ask(asked).await;
    assert_eq!(status, StatusCode::PAYLOAD_TOO_LARGE);
    let bare = platform::status(platform.gateways[0].requests, "/stock/1").await;
    assert_eq!(bare, Some(StatusCode::BAD_REQUEST));
    assert!(platform.ran("/nowhere/1").await.is_empty());
}

/// Callers are told the addresses of all gateways, and metrics count what was served.
#[tokio::test]
async fn lists_gateways() {
    let mut platform = Platform::start(0, 1).await;
    platform.gateway().await;
    platform.gateway().await;
    let directory = platform.gateways[0].directory;
    let path = "/-/resolution?name=desk.example&region=region-a&zone=zone-a";
    let addresses = [platform.gateways[0].requests, platform.gateways[1].requests];
    platform::until("both gateways are listed", async || {
        let text = platform::text(directory, path).await;
        addresses
            .iter()
            .all(|address| text.contains(&address.to_string()))
    })
    .await;
    platform.ask(plain(Method::GET, "/stock/1")).await;
    let metrics = platform::text(platform.gateways[0].metrics, "/metrics").await;
    let counted = "daisyyard_gateway_requests_total{kind=\"idempotent\",outcome=\"answered\"} 1";
    assert!(metrics.contains(counted), "{metrics}");
}
