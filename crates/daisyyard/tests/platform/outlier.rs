//! A gateway that a test can cut off from all endpoints.

use std::time::{Duration, Instant};

use daisyyard_standin::platform_view::{Addresses, PlatformView};
use daisyyard_standin::proxy::Proxy;
use hyper::{Method, StatusCode};

use super::{Platform, TIMEOUT, plain_request};

/// A gateway that reaches the endpoints over links of its own.
pub(crate) struct Outlier {
    /// Number of the gateway in the platform.
    pub(crate) gateway: usize,
    /// Links to the endpoints; dropping them cuts the gateway off.
    pub(crate) links: Vec<Proxy>,
    /// Store that lists the links in place of the endpoints.
    _view: PlatformView,
}

impl Outlier {
    /// Starts a gateway that reaches the endpoints of a platform over links of its own.
    pub(crate) async fn start(platform: &mut Platform) -> Self {
        let mut links = Vec::new();
        let mut addresses = Addresses::new();
        for engine in &platform.engines {
            let link = Proxy::start().await.expect("a free port");
            link.set_target(engine.address);
            platform.runs.alias(link.address, engine.address);
            addresses.insert(engine.address, link.address);
            links.push(link);
        }
        let view = PlatformView::start(platform.store.address, addresses).await;
        let view = view.expect("a free port");
        let gateway = platform.gateways.len();
        let process = super::spawn_gateway(view.address, gateway).await;
        let ready = process.ready;
        platform.gateways.push(process);
        super::wait_until("the gateway is ready", async || {
            super::status(ready, "/-/readiness").await == Some(StatusCode::OK)
        })
        .await;
        Self {
            gateway,
            links,
            _view: view,
        }
    }

    /// Cuts the gateway off from all endpoints, and waits until it serves callers nevertheless.
    pub(crate) async fn cut(&mut self, platform: &Platform) {
        self.links.clear();
        let deadline = Instant::now() + TIMEOUT;
        for number in 0.. {
            let attempt = format!("probe-{number}");
            let request = plain_request(Method::GET, "/stock/probe");
            let (status, _) = platform
                .send_through(self.gateway, &attempt, &request)
                .await;
            if status == StatusCode::OK {
                break;
            }
            let waited = Instant::now() < deadline;
            assert!(waited, "in time: the gateway serves callers");
            tokio::time::sleep(Duration::from_millis(100)).await;
        }
    }
}
