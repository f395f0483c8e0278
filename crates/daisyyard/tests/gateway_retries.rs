//! Guards against requests that run twice, get a false outcome, or are not retried when they may
//! be.

mod platform;

use daisyyard_standin::platform_engine::Mode;
use hyper::{Method, StatusCode};
use platform::{Platform, plain_request, stream_request};

/// A request that an endpoint states it did not run is sent to another one, even if it may run only
/// once.
#[tokio::test]
async fn skips_declining() {
    let mut platform = Platform::start(0, 2).await;
    platform.engines[0].set_mode(Mode::Declining);
    platform.start_gateway().await;
    for number in 0..6 {
        let path = format!("/book/{number}");
        let answer = platform.request(plain_request(Method::POST, &path)).await;
        assert_eq!(answer, (StatusCode::OK, "whole plain-1".to_owned()));
        assert_eq!(platform.ran(&path).await.len(), 1);
    }
}

/// A request that no endpoint ran is answered with status 503.
#[tokio::test]
async fn reports_not_run() {
    let mut platform = Platform::start(0, 1).await;
    platform.engines[0].set_mode(Mode::Declining);
    platform.start_gateway().await;
    let (status, _) = platform
        .request(plain_request(Method::POST, "/book/1"))
        .await;
    assert_eq!(status, StatusCode::SERVICE_UNAVAILABLE);
    assert!(platform.ran("/book/1").await.is_empty());
}

/// A request that may run only once and whose answer was lost is not repeated, and its caller is
/// not notified that it did not run.
#[tokio::test]
async fn repeats_nothing_unsafe() {
    let mut platform = Platform::start(0, 2).await;
    for engine in &platform.engines {
        engine.set_mode(Mode::Mismatching);
    }
    platform.start_gateway().await;
    let (status, text) = platform
        .request(plain_request(Method::POST, "/book/1"))
        .await;
    assert_eq!(status, StatusCode::BAD_GATEWAY);
    assert!(!text.contains("of another"), "{text}");
    assert_eq!(platform.ran("/book/1").await.len(), 1);
}

/// An idempotent request that fails is repeated once, as its route allows; for one that may run
/// only once, the endpoint's error is passed on.
#[tokio::test]
async fn repeats_idempotent() {
    let mut platform = Platform::start(0, 2).await;
    for engine in &platform.engines {
        engine.set_mode(Mode::Failing);
    }
    platform.start_gateway().await;
    let (status, _) = platform
        .request(plain_request(Method::GET, "/stock/1"))
        .await;
    assert_eq!(status, StatusCode::INTERNAL_SERVER_ERROR);
    let ran = platform.ran("/stock/1").await;
    assert_eq!(ran.len(), 2);
    assert_ne!(ran[0].engine, ran[1].engine);
    let (status, text) = platform
        .request(plain_request(Method::POST, "/book/1"))
        .await;
    assert_eq!(
        (status, text.as_str()),
        (StatusCode::INTERNAL_SERVER_ERROR, "failed")
    );
    assert_eq!(platform.ran("/book/1").await.len(), 1);
}

/// A stream for which a mismatched answer was received is not repeated.
#[tokio::test]
async fn repeats_no_stream() {
    let mut platform = Platform::start(2, 0).await;
    for engine in &platform.engines {
        engine.set_mode(Mode::Mismatching);
    }
    platform.start_gateway().await;
    let (status, _) = platform.request(stream_request("/draft/1", "100,20")).await;
    assert_eq!(status, StatusCode::BAD_GATEWAY);
    assert_eq!(platform.ran("/draft/1").await.len(), 1);
}
