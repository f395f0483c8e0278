//! Guards against requests that a gateway loses, changes, misroutes or wrongly admits.

mod platform;

use hyper::{Method, StatusCode};
use platform::{Platform, Request, events, plain_request, stream_request};

/// A call and a stream reach an endpoint of their service, and their answers arrive complete.
#[tokio::test]
async fn serves_both() {
    let mut platform = Platform::start(1, 1).await;
    platform.start_gateway().await;
    let answer = platform
        .request(plain_request(Method::POST, "/book/space"))
        .await;
    assert_eq!(answer, (StatusCode::OK, "whole plain-0".to_owned()));
    let answer = platform.request(stream_request("/draft/1", "100,20")).await;
    assert_eq!(answer, (StatusCode::OK, events(5)));
}

/// An endpoint receives the account, its own name and the remaining time, but neither the
/// credential nor headers that a caller forged.
#[tokio::test]
async fn rewrites_head() {
    let mut platform = Platform::start(1, 1).await;
    platform.start_gateway().await;
    let request = Request {
        headers: vec![
            ("x-daisyyard-tenant", "another"),
            ("x-daisyyard-cache-hold", "1"),
            ("x-daisyyard-pin-ms", "1000"),
            ("kv-from", "10.0.0.1:1/x"),
            ("x-own", "kept"),
        ],
        ..plain_request(Method::POST, "/book/space")
    };
    platform.request(request).await;
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
    let remaining_ms: u64 = headers["x-daisyyard-deadline-ms"]
        .to_str()
        .unwrap()
        .parse()
        .unwrap();
    // The route's timeout of 6 s is shorter than the caller's deadline of 8 s.
    assert!(
        (1..=6_000).contains(&remaining_ms),
        "{remaining_ms} ms are left"
    );
}

/// Requests without a route, a known credential or an attempt id, and requests with a body above
/// the limit are refused with the matching status; a public route needs no credential.
#[tokio::test]
async fn refuses_improper() {
    let mut platform = Platform::start(0, 1).await;
    platform.start_gateway().await;
    let (status, _) = platform
        .request(plain_request(Method::GET, "/nowhere/1"))
        .await;
    assert_eq!(status, StatusCode::NOT_FOUND);
    let unknown_credential = || vec![("authorization", "Bearer of-nobody")];
    let request = Request {
        headers: unknown_credential(),
        ..plain_request(Method::GET, "/stock/1")
    };
    let (status, _) = platform.request(request).await;
    assert_eq!(status, StatusCode::UNAUTHORIZED);
    let request = Request {
        headers: unknown_credential(),
        ..plain_request(Method::GET, "/open/1")
    };
    let (status, _) = platform.request(request).await;
    assert_eq!(status, StatusCode::OK);
    let large_body = "x".repeat(70_000);
    let request = Request {
        body: &large_body,
        ..plain_request(Method::POST, "/book/1")
    };
    let (status, _) = platform.request(request).await;
    assert_eq!(status, StatusCode::PAYLOAD_TOO_LARGE);
    let without_headers = platform::status(platform.gateways[0].requests, "/stock/1").await;
    assert_eq!(without_headers, Some(StatusCode::BAD_REQUEST));
    assert!(platform.ran("/nowhere/1").await.is_empty());
}

/// The directory lists the addresses of all gateways, and the metrics count answered requests.
#[tokio::test]
async fn lists_gateways() {
    let mut platform = Platform::start(0, 1).await;
    platform.start_gateway().await;
    platform.start_gateway().await;
    let directory = platform.gateways[0].directory;
    let path = "/-/resolution?name=desk.example&region=region-a&zone=zone-a";
    let addresses = [platform.gateways[0].requests, platform.gateways[1].requests];
    platform::wait_until("both gateways are listed", async || {
        let text = platform::text(directory, path).await;
        addresses
            .iter()
            .all(|address| text.contains(&address.to_string()))
    })
    .await;
    platform
        .request(plain_request(Method::GET, "/stock/1"))
        .await;
    let metrics = platform::text(platform.gateways[0].metrics, "/metrics").await;
    let expected = "daisyyard_gateway_requests_total{kind=\"idempotent\",outcome=\"answered\"} 1";
    assert!(metrics.contains(expected), "{metrics}");
}
