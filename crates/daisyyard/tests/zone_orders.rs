//! Guards against requests that reach an endpoint of an availability zone which the operator has
//! evacuated, and against zones that stay unused after that.

mod platform;

use std::net::SocketAddr;
use std::time::{Duration, Instant};

use daisyyard_standin::platform_engine::{Arrival, Mode as EngineMode, PlatformEngine, Room};
use daisyyard_standin::platform_fixture;
use daisyyard_standin::platform_store::Mode;
use daisyyard_standin::proxy::{Cut, Link, Proxy};
use futures_util::future;
use http_body_util::Full;
use hyper::header::{HOST, RETRY_AFTER};
use hyper::{Method, StatusCode};
use platform::{Platform, plain_request, stream_request, wait_until};
use serde_json::json;

/// Key of the order to evacuate the zone.
const ORDER: &str = "op/evacuate/zone-b";
/// Header that names the engine for a backup.
const BACKUP: &str = "x-daisyyard-kv-backup";
/// Time after the order from which no request may reach the zone (`evacuation_ms`).
const EVACUATION_TIME: Duration = Duration::from_secs(5);
/// Requests that are sent through each gateway at the same time after it. They are more than one endpoint
/// has slots, so that a gateway that may use both endpoints does.
const CHECKS: usize = 12;
/// Number of gateways of which one neither reads the store nor is told by news.
const GATEWAYS: usize = 5;
/// Number of gateways of one zone of which two are in reserve.
const GATEWAYS_WITH_RESERVE: usize = 26;

/// Writes the entry of an endpoint in a zone.
async fn put_in_zone(platform: &Platform, index: usize, service: &str, zone: &str) {
    let engine = &platform.engines[index];
    let mut entry = platform_fixture::entry(service, engine.address, "ready");
    entry["zone"] = json!(zone);
    let key = format!("servers/{}", engine.name);
    platform.store.put(&key, &entry).await;
}

/// Starts a gateway that reads the store at an address.
async fn add_gateway(platform: &mut Platform, store: SocketAddr) {
    let gateway = platform::spawn_gateway(store, platform.gateways.len()).await;
    let ready = gateway.ready;
    platform.gateways.push(gateway);
    wait_until("the gateway is ready", async || {
        platform::status(ready, "/-/readiness").await == Some(StatusCode::OK)
    })
    .await;
}

/// Starts a platform with two plain endpoints, the second one in the zone to be evacuated.
async fn start(gateways: usize) -> Platform {
    let mut platform = Platform::start(0, 2).await;
    put_in_zone(&platform, 1, "desk", "zone-b").await;
    for _ in 0..gateways {
        platform.start_gateway().await;
    }
    // Gateways in reserve are not listed for callers.
    if gateways < GATEWAYS_WITH_RESERVE {
        platform::wait_until_listed(&platform.gateways).await;
    }
    platform
}

/// Sends a request through a gateway and returns the body of its answer.
async fn ask(platform: &Platform, gateway: usize) -> (StatusCode, String) {
    let request = plain_request(Method::GET, "/stock/1");
    let attempt = format!("attempt-{gateway}-{:x}", rand::random::<u64>());
    let (status, body) = platform.send_through(gateway, &attempt, &request).await;
    (status, body.unwrap_or_default())
}

/// Waits until a gateway uses the endpoint in the zone.
async fn wait_until_used(platform: &Platform, gateway: usize) {
    wait_until("the zone is used", async || {
        let asked = (0..CHECKS).map(|_| ask(platform, gateway));
        let answers = future::join_all(asked).await;
        answers.iter().any(|(_, body)| body == "whole plain-1")
    })
    .await;
}

/// Checks that no gateway sends anything to the zone once the time for the order has passed.
async fn check_avoided(platform: &Platform, ordered: Instant) {
    tokio::time::sleep_until((ordered + EVACUATION_TIME).into()).await;
    for gateway in 0..platform.gateways.len() {
        let asked = (0..CHECKS).map(|_| ask(platform, gateway));
        for answer in future::join_all(asked).await {
            let expected = (StatusCode::OK, "whole plain-0".to_owned());
            assert_eq!(answer, expected, "gateway {gateway}");
        }
    }
    let late = platform.runs.arrivals().await;
    let late = late.iter().filter(|arrival| is_late(arrival, ordered));
    assert_eq!(late.count(), 0);
}

/// Returns whether a request reached the zone after the time for the order.
fn is_late(arrival: &Arrival, ordered: Instant) -> bool {
    arrival.engine == "plain-1" && arrival.at > ordered + EVACUATION_TIME
}

/// Writes the order and discards the history of the store before any gateway has read it, so that
/// the readers find it in a complete read and pass it on in digests only.
async fn order_without_news(platform: &Platform) -> Instant {
    platform.store.set_mode(Mode::Declining);
    // Watches that wait end with the next change.
    platform.store.put("servers/other", &json!({})).await;
    tokio::time::sleep(Duration::from_millis(200)).await;
    platform.store.put(ORDER, &json!({})).await;
    platform.store.compact();
    platform.store.set_mode(Mode::Serving);
    Instant::now()
}

/// All gateways avoid an evacuated zone, and use it again when the order is revoked.
#[tokio::test]
async fn avoided_and_used() {
    let platform = start(3).await;
    wait_until_used(&platform, 0).await;
    platform.store.put(ORDER, &json!({})).await;
    check_avoided(&platform, Instant::now()).await;
    let metrics = platform::text(platform.gateways[0].metrics, "/metrics").await;
    assert!(
        metrics.contains("daisyyard_gateway_evacuated_zones 1"),
        "{metrics}"
    );
    platform.store.remove(ORDER).await;
    for gateway in 0..3 {
        wait_until_used(&platform, gateway).await;
    }
}

/// An order that is revoked and given again within a second is in force at the end.
#[tokio::test]
async fn given_again() {
    let platform = start(3).await;
    for _ in 0..3 {
        platform.store.put(ORDER, &json!({})).await;
        tokio::time::sleep(Duration::from_millis(150)).await;
        platform.store.remove(ORDER).await;
        tokio::time::sleep(Duration::from_millis(150)).await;
    }
    platform.store.put(ORDER, &json!({})).await;
    check_avoided(&platform, Instant::now()).await;
}

/// A store that is silent right after the order leaves no gateway without it, as watches that wait are
/// answered.
#[tokio::test]
async fn silent_store() {
    let platform = start(GATEWAYS).await;
    // The readers pause after the entries of the gateways, and then wait for the next change.
    tokio::time::sleep(Duration::from_secs(2)).await;
    platform.store.put(ORDER, &json!({})).await;
    let ordered = Instant::now();
    platform.store.set_mode(Mode::Silent);
    check_avoided(&platform, ordered).await;
}

/// A gateway that reaches no store and is told nothing but digests learns the order.
#[tokio::test]
async fn told_by_digests() {
    let mut platform = start(GATEWAYS - 1).await;
    let link = Proxy::start().await.expect("the proxy starts");
    link.set_target(platform.store.address);
    add_gateway(&mut platform, link.address).await;
    platform::wait_until_listed(&platform.gateways).await;
    wait_until_used(&platform, GATEWAYS - 1).await;
    link.set_link(Link::Silent);
    tokio::time::sleep(Duration::from_secs(2)).await;
    let ordered = order_without_news(&platform).await;
    check_avoided(&platform, ordered).await;
}

/// Gateways in reserve, which hear few digests, learn the order as well.
#[tokio::test]
async fn reserve_told() {
    let platform = start(GATEWAYS_WITH_RESERVE).await;
    // Each gateway has heard from the others and knows its part.
    tokio::time::sleep(Duration::from_secs(3)).await;
    let ordered = order_without_news(&platform).await;
    check_avoided(&platform, ordered).await;
}

/// A gateway that starts during an evacuation sends nothing to the zone.
#[tokio::test]
async fn started_later() {
    let mut platform = start(1).await;
    platform.store.put(ORDER, &json!({})).await;
    platform.start_gateway().await;
    let answers = future::join_all((0..CHECKS).map(|_| ask(&platform, 1))).await;
    assert!(answers.iter().all(|(_, body)| body == "whole plain-0"));
}

/// If all zones are evacuated, requests are refused at once, also those that wait, with the promise
/// that they have not run.
#[tokio::test]
async fn all_zones() {
    let platform = start(1).await;
    for engine in &platform.engines {
        engine.set_mode(EngineMode::Hanging);
    }
    // The slots are taken, so that further requests wait.
    let path = "/book/1";
    let waiting = future::join_all((0..60).map(|number| {
        let (platform, attempt) = (&platform, format!("attempt-{number}"));
        async move {
            let request = plain_request(Method::POST, path);
            platform.send_through(0, &attempt, &request).await
        }
    }));
    let order = async {
        wait_until("requests run", async || {
            platform.ran(path).await.len() >= 16
        })
        .await;
        let zones = ["zone-a", "zone-b", "zone-unknown"];
        for zone in zones {
            let key = format!("op/evacuate/{zone}");
            platform.store.put(&key, &json!({})).await;
        }
        wait_until("requests are refused", async || {
            ask(&platform, 0).await.0 == StatusCode::SERVICE_UNAVAILABLE
        })
        .await;
        let ran = platform.ran(path).await.len();
        let request = hyper::Request::builder()
            .uri("/open/1")
            .header(HOST, platform_fixture::HOST)
            .header("x-daisyyard-attempt-id", "attempt-open")
            .header("x-daisyyard-deadline-ms", "8000");
        let request = request.body(Full::default()).expect("a request");
        let address = platform.gateways[0].requests;
        let answer = daisyyard_http::connection::send(address, request, platform::TIMEOUT).await;
        let answer = answer.expect("an answer").response;
        assert_eq!(answer.status(), StatusCode::SERVICE_UNAVAILABLE);
        let seconds = answer.headers().get(RETRY_AFTER).expect("a time");
        assert_eq!(seconds, "2.000");
        ran
    };
    let (answers, ran) = tokio::join!(waiting, order);
    assert_eq!(platform.ran(path).await.len(), ran);
    let refused = answers
        .iter()
        .filter(|(status, _)| *status == StatusCode::SERVICE_UNAVAILABLE);
    assert_eq!(refused.count(), 60 - ran);
}

/// A stream in the zone ends there. Streams elsewhere get no backup engine in the zone.
#[tokio::test]
async fn runs_end() {
    let mut platform = Platform::start(2, 0).await;
    put_in_zone(&platform, 0, "model", "zone-b").await;
    platform.put_entry(1, "model", "draining").await;
    platform.start_gateway().await;
    let stream = |number: usize| {
        let platform = &platform;
        async move {
            let attempt = format!("attempt-{number}");
            let stream = stream_request("/draft/1", "100,400");
            platform.send_through(0, &attempt, &stream).await
        }
    };
    let order = async {
        wait_until("the zone runs the streams", async || {
            platform.ran("/draft/1").await.len() == 4
        })
        .await;
        platform.put_entry(1, "model", "ready").await;
        platform.store.put(ORDER, &json!({})).await;
    };
    let (answers, ()) = tokio::join!(future::join_all((0..4).map(stream)), order);
    for answer in answers {
        assert_eq!(answer, (StatusCode::OK, Some(platform::events(100))));
    }
    let answers = future::join_all((4..8).map(stream)).await;
    assert!(answers.iter().all(|(status, _)| *status == StatusCode::OK));
    for arrival in platform.runs.arrivals().await.split_off(4) {
        assert_eq!(arrival.engine, "engine-1");
        assert_eq!(arrival.headers.get(BACKUP), None);
    }
}

/// Two engines in different zones behind proxies, and a gateway.
struct Scene {
    /// The platform.
    platform: Platform,
    /// Proxies in front of the engines.
    proxies: Vec<Proxy>,
}

impl Scene {
    /// Starts the engines and a gateway.
    async fn start() -> Self {
        let mut platform = Platform::start(0, 0).await;
        let mut proxies = Vec::new();
        for (number, zone) in ["zone-a", "zone-b"].into_iter().enumerate() {
            let proxy = Proxy::start().await.expect("the proxy starts");
            let (name, runs) = (format!("engine-{number}"), &platform.runs);
            let engine =
                PlatformEngine::start_behind(&proxy, &name, platform::EVENT_INTERVAL, runs);
            platform
                .engines
                .push(engine.await.expect("the engine starts"));
            put_in_zone(&platform, number, "model", zone).await;
            proxies.push(proxy);
        }
        platform.start_gateway().await;
        Self { platform, proxies }
    }

    /// Plays a stream with a backup, of whose engine and backup engine `evacuated` chooses the one in the
    /// zone to evacuate; then cuts the stream. Returns the names of the engine of the stream and of those
    /// that are asked to go on with it.
    async fn play(
        &self,
        evacuated: impl Fn(usize) -> usize,
        disturb: impl Fn(&Self, usize),
        cut: Cut,
    ) -> (String, Vec<String>) {
        let platform = &self.platform;
        let stream = stream_request("/check/1", "100,800");
        let sent = platform.send_through(0, "attempt-1", &stream);
        let act = async {
            wait_until("the stream runs", async || {
                !platform.ran("/check/1").await.is_empty()
            })
            .await;
            let first = platform.ran("/check/1").await.remove(0);
            assert!(first.headers.contains_key(BACKUP));
            let index = usize::from(first.engine == "engine-1");
            tokio::time::sleep(Duration::from_millis(500)).await;
            let zone = ["zone-a", "zone-b"][evacuated(index)];
            let key = format!("op/evacuate/{zone}");
            platform.store.put(&key, &json!({})).await;
            let metrics = platform.gateways[0].metrics;
            wait_until("the order is in force", async || {
                let text = platform::text(metrics, "/metrics").await;
                text.contains("daisyyard_gateway_evacuated_zones 1")
            })
            .await;
            disturb(self, index);
            self.proxies[index].cut_open(cut);
            first.engine
        };
        let (_, first) = tokio::join!(sent, act);
        let arrivals = platform.runs.arrivals().await.split_off(1);
        (first, arrivals.into_iter().map(|one| one.engine).collect())
    }
}

/// A stream whose engine breaks off is not resumed at an engine of the zone that holds its backup.
#[tokio::test]
async fn backup_unused() {
    let scene = Scene::start().await;
    let (_, asked) = scene.play(|index| 1 - index, |_, _| {}, Cut::Closed).await;
    assert_eq!(asked, Vec::<String>::new());
}

/// A stream that its engine has stopped does not go on there if the engine is in the zone.
#[tokio::test]
async fn source_unused() {
    let scene = Scene::start().await;
    let disturb = |scene: &Scene, index: usize| {
        scene.platform.engines[index].set_room(Room::Full);
        scene.platform.engines[1 - index].set_mode(EngineMode::Declining);
    };
    let (first, asked) = scene.play(|index| index, disturb, Cut::Stalled).await;
    assert!(!asked.is_empty(), "the backup engine is asked");
    assert!(!asked.contains(&first), "{first} is asked: {asked:?}");
}
