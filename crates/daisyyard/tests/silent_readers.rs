//! Guards against a gateway that keeps an old configuration because the gateways that read the store
//! for it have lost the store, or are suspended, without notice.

mod platform;

use std::process::Command;
use std::time::{Duration, Instant};

use daisyyard_core::roster::Role;
use daisyyard_standin::proxy::{Link, Proxy};
use hyper::{Method, StatusCode};
use platform::{Platform, plain_request, wait_until};
use serde_json::json;

/// Number of gateways, of which three read the store.
const GATEWAYS: usize = 6;
/// Time after the store has confirmed a configuration by which it is in force (`config_apply_ms`).
const CONFIG_BOUND: Duration = Duration::from_secs(2);

/// Gateways that reach the store through a proxy each.
struct Fleet {
    /// The platform.
    platform: Platform,
    /// Paths of the gateways to the store.
    links: Vec<Proxy>,
}

impl Fleet {
    /// Starts the gateways and waits until they know each other.
    async fn start() -> Self {
        let mut platform = Platform::start(0, 1).await;
        let mut links = Vec::new();
        for number in 0..GATEWAYS {
            let link = Proxy::start().await.expect("the proxy starts");
            link.set_target(platform.store.address);
            let gateway = platform::spawn_gateway(link.address, number).await;
            platform.gateways.push(gateway);
            links.push(link);
        }
        for gateway in &platform.gateways {
            wait_until("the gateway is ready", async || {
                platform::status(gateway.ready, "/-/readiness").await == Some(StatusCode::OK)
            })
            .await;
        }
        platform::wait_until_listed(&platform.gateways).await;
        // A gateway relies on others once the watch has ended that it began before it knew them.
        tokio::time::sleep(Duration::from_secs(3)).await;
        Self { platform, links }
    }

    /// Adds a route, and checks that the gateways serve it once the bound has passed.
    async fn check_change(&self, gateways: &[usize]) {
        let mut config = platform::config(2);
        config["routes"][2]["path_prefix"] = json!("/renamed/");
        self.platform.store.put("op/config", &config).await;
        let confirmed = Instant::now();
        tokio::time::sleep_until((confirmed + CONFIG_BOUND).into()).await;
        let request = plain_request(Method::GET, "/renamed/1");
        for number in gateways {
            let sent = self.platform.send_through(*number, "attempt-1", &request);
            let (status, _) = sent.await;
            assert_eq!(status, StatusCode::OK, "gateway {number}");
        }
    }
}

/// The readers, and the gateways that take their places, lose the store while their calls wait for
/// an answer.
#[tokio::test]
async fn store_lost() {
    let fleet = Fleet::start().await;
    let told = platform::with_role(GATEWAYS, Role::Serving)[0];
    let others = fleet.links.iter().enumerate();
    for (_, link) in others.filter(|(number, _)| *number != told) {
        link.set_link(Link::Silent);
    }
    fleet.check_change(&[told]).await;
}

/// The readers are suspended at the same moment; the other gateways hear each other.
#[tokio::test]
async fn readers_suspended() {
    let fleet = Fleet::start().await;
    for number in platform::with_role(GATEWAYS, Role::Reader) {
        let id = fleet.platform.gateways[number].process.id().to_string();
        let status = Command::new("kill").args(["-STOP", &id]).status();
        assert!(status.expect("the signal is sent").success());
    }
    fleet
        .check_change(&platform::with_role(GATEWAYS, Role::Serving))
        .await;
}
