//! Guards against a gateway that reaches the store but never ends a read, because the changes or the
//! configuration are large for the bandwidth of its path.

mod platform;

use std::time::{Duration, Instant};

use daisyyard_standin::proxy::{Link, Proxy};
use hyper::{Method, StatusCode};
use platform::{Platform, plain_request};
use serde_json::{Value, json};

/// Number of routes of a large configuration, which takes about 400 kB in a response of the store.
const ROUTES: u64 = 1_400;
/// Time after the path to the store has recovered in which a gateway must be up to date
/// (`contact_ms`).
const CONTACT_BOUND: Duration = Duration::from_secs(4);

/// Returns a large configuration whose version is the only one with the route `/added-VERSION/`.
fn large_config(version: u64) -> Value {
    let mut config = platform::config(version);
    let route = |path: String| {
        let mut route = config["routes"][3].clone();
        (route["name"], route["path_prefix"]) = (json!(path), json!(format!("/{path}/")));
        route
    };
    let mut routes: Vec<Value> = (0..ROUTES)
        .map(|number| route(format!("more-{number}")))
        .collect();
    routes.push(route(format!("added-{version}")));
    let known = config["routes"].as_array_mut().expect("a list of routes");
    known.extend(routes);
    config
}

/// Writes configurations while a gateway does not reach the store, and checks that it serves the last one
/// in time once the path is back, on which each 4 KiB take a delay.
async fn check_recovery(versions: u64, delay: Duration) {
    let mut platform = Platform::start(0, 1).await;
    let link = Proxy::start().await.expect("the proxy starts");
    link.set_target(platform.store.address);
    let adapt = |settings: &mut Value| {
        settings["bounds"]["contact_ms"] = json!(CONTACT_BOUND.as_millis() as u64);
    };
    let gateway = platform::spawn_gateway_with(link.address, 0, adapt).await;
    let ready = gateway.ready;
    platform.gateways.push(gateway);
    platform::wait_until("the gateway is ready", async || {
        platform::status(ready, "/-/readiness").await == Some(StatusCode::OK)
    })
    .await;
    link.set_link(Link::Silent);
    for version in 2..2 + versions {
        let config = large_config(version);
        platform.store.put("op/config", &config).await;
    }
    // All calls that were waiting have failed.
    tokio::time::sleep(Duration::from_secs(4)).await;
    link.set_link(Link::Slow(delay));
    tokio::time::sleep_until((Instant::now() + CONTACT_BOUND).into()).await;
    let path = format!("/added-{}/1", 1 + versions);
    let request = plain_request(Method::GET, &path);
    let (status, _) = platform.send_through(0, "attempt-1", &request).await;
    assert_eq!(status, StatusCode::OK);
}

/// The configurations that were missed take longer than one read may last, the last one does not.
#[tokio::test]
async fn many_versions() {
    check_recovery(10, Duration::from_millis(3)).await;
}

/// The configuration alone takes longer than the store may stay silent.
#[tokio::test]
async fn one_version() {
    check_recovery(1, Duration::from_millis(12)).await;
}
