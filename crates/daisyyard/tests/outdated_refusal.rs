//! Guards against a final refusal (401, 404) by a gateway that knows that its configuration may be old.

mod platform;

use std::time::Duration;

use daisyyard_standin::platform_store::Mode;
use hyper::{Method, StatusCode};
use platform::{Platform, plain_request};

/// Returns the statuses of a request to an unknown route and of one with an unknown credential.
async fn refusals(platform: &mut Platform) -> [StatusCode; 2] {
    let unknown_route = platform.request(plain_request(Method::GET, "/unknown/1"));
    let (unknown_route, _) = unknown_route.await;
    let mut request = plain_request(Method::GET, "/stock/1");
    request.headers = vec![("authorization", "Bearer unknown")];
    let (unknown_credential, _) = platform.request(request).await;
    [unknown_route, unknown_credential]
}

/// Without the store, a newer configuration may allow what the known one does not; requests that the
/// known one allows are served.
#[tokio::test]
async fn store_silent() {
    let mut platform = Platform::start(0, 1).await;
    platform.start_gateway().await;
    let known = [StatusCode::NOT_FOUND, StatusCode::UNAUTHORIZED];
    assert_eq!(refusals(&mut platform).await, known);
    platform.store.set_mode(Mode::Silent);
    tokio::time::sleep(Duration::from_secs(5)).await;
    let outdated = [StatusCode::SERVICE_UNAVAILABLE; 2];
    assert_eq!(refusals(&mut platform).await, outdated);
    let served = platform.request(plain_request(Method::GET, "/stock/1"));
    assert_eq!(served.await.0, StatusCode::OK);
}
