//! Guards against gateways that do not notice that they are cut off from all endpoints, or stay cut off
//! when they are not.

mod platform;

use std::net::SocketAddr;

use daisyyard_standin::platform_fixture;
use daisyyard_standin::ports;
use hyper::{Method, StatusCode};
use platform::{Platform, plain_request, wait_until, wait_until_listed};

/// Number of gateways.
const GATEWAYS: usize = 2;

/// Starts gateways before two plain endpoints.
async fn start() -> Platform {
    let mut platform = Platform::start(0, 2).await;
    for _ in 0..GATEWAYS {
        platform.start_gateway().await;
    }
    wait_until_listed(&platform.gateways).await;
    platform
}

/// Gives the endpoints other addresses.
async fn readdress(platform: &Platform, addresses: &[SocketAddr]) {
    for (engine, address) in platform.engines.iter().zip(addresses) {
        let entry = platform_fixture::entry("desk", *address, "ready");
        let key = format!("servers/{}", engine.name);
        platform.store.put(&key, &entry).await;
    }
}

/// Returns the status of a request to a gateway.
async fn get(platform: &Platform, gateway: usize) -> StatusCode {
    let request = plain_request(Method::GET, "/stock/1");
    platform
        .send_through(gateway, "attempt-1", &request)
        .await
        .0
}

/// Returns whether a gateway says that it is cut off.
async fn is_isolated(platform: &Platform, gateway: usize) -> bool {
    let text = platform::text(platform.gateways[gateway].metrics, "/metrics").await;
    text.lines()
        .any(|line| line == "daisyyard_gateway_isolated 1")
}

/// Gateways find out that no endpoint can be reached, and that they are back without a request. As there
/// is no better one, all of them are offered meanwhile.
#[tokio::test]
async fn refused_everywhere() {
    let platform = start().await;
    let own: Vec<SocketAddr> = platform.engines.iter().map(|it| it.address).collect();
    for gateway in 0..GATEWAYS {
        assert_eq!(get(&platform, gateway).await, StatusCode::OK);
        assert!(!is_isolated(&platform, gateway).await);
    }
    readdress(&platform, &ports::free_addresses::<2>()).await;
    for gateway in 0..GATEWAYS {
        wait_until("the gateway is cut off", async || {
            get(&platform, gateway).await;
            is_isolated(&platform, gateway).await
        })
        .await;
    }
    wait_until_listed(&platform.gateways).await;
    readdress(&platform, &own).await;
    for gateway in 0..GATEWAYS {
        wait_until("the gateway is back", async || {
            !is_isolated(&platform, gateway).await
        })
        .await;
        assert_eq!(get(&platform, gateway).await, StatusCode::OK);
    }
}

/// One endpoint that is down leaves a gateway connected.
#[tokio::test]
async fn one_down() {
    let platform = start().await;
    readdress(&platform, &ports::free_addresses::<1>()).await;
    for _ in 0..30 {
        assert_eq!(get(&platform, 0).await, StatusCode::OK);
        assert!(!is_isolated(&platform, 0).await);
    }
}
