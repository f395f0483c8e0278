//! Guards against gateways that together send more requests to a cold endpoint than it tolerates, and
//! against bounds in deployments that set none.

mod platform;

use std::time::{Duration, Instant};

use daisyyard_core::rate::OWNER_WAIT;
use daisyyard_standin::platform_engine::Arrival;
use daisyyard_standin::platform_fixture;
use hyper::{Method, StatusCode};
use platform::{
    Platform, config, plain_request, send, spawn_gateway_with, stream_request, text, wait_until,
    wait_until_listed,
};
use serde_json::json;

/// Bound on the requests that arrive at a cold endpoint in any second, with the settings below.
const BOUND: usize = 8;
/// Time for which endpoints are cold, longer than a test sends.
const COLD_S: f64 = 20.0;
/// Time for which requests are sent before a gateway is killed.
const ROUND_TIME: Duration = Duration::from_millis(100);
/// Time after the start of gateways until they may use their shares.
const SETTLING_TIME: Duration = OWNER_WAIT.saturating_add(Duration::from_secs(1));

/// Starts gateways and plain endpoints of a service whose cold endpoints tolerate few requests.
async fn start(gateways: usize, endpoints: usize) -> Platform {
    start_with_engines(gateways, 0, endpoints).await
}

/// Starts gateways, engines and plain endpoints that tolerate few requests while they are cold.
async fn start_with_engines(gateways: usize, engines: usize, endpoints: usize) -> Platform {
    let mut platform = Platform::start(engines, endpoints).await;
    let mut limited = config(2);
    for service in 0..2 {
        limited["services"][service]["cold_start_s"] = COLD_S.into();
        limited["services"][service]["cold_per_s"] = 6.into();
    }
    platform.store.put("op/config", &limited).await;
    for number in 0..gateways {
        add_gateway(&mut platform, number).await;
    }
    wait_until_listed(&platform.gateways).await;
    tokio::time::sleep(SETTLING_TIME).await;
    platform
}

/// Starts a gateway that bounds the requests to cold endpoints.
async fn add_gateway(platform: &mut Platform, number: usize) {
    let adapt = |settings: &mut serde_json::Value| {
        settings["bounds"]["cold_overage"] = json!(1.0);
        settings["bounds"]["cold_slack"] = json!(2.0);
    };
    let gateway = spawn_gateway_with(platform.store.address, number, adapt).await;
    platform.gateways.insert(number, gateway);
}

/// Writes the entry of an endpoint that has started anew and states this cold time, and waits until all
/// gateways know it.
async fn restart_endpoint(platform: &Platform, index: usize, cold_ms: u64) {
    write_cold_entry(platform, index, cold_ms, Some(7)).await;
}

/// Writes the entry of an endpoint that states this cold time, and the time of a new start if there is
/// one, and waits until all gateways know it.
async fn write_cold_entry(platform: &Platform, index: usize, cold_ms: u64, born: Option<u64>) {
    let engine = &platform.engines[index];
    let service = if engine.name.starts_with("plain") {
        "desk"
    } else {
        "model"
    };
    let mut entry = platform_fixture::entry(service, engine.address, "ready");
    entry["slots"] = 64.into();
    entry["cold_remaining_ms"] = cold_ms.into();
    if let Some(born) = born {
        entry["born"] = born.into();
    }
    let key = format!("servers/{}", engine.name);
    platform.store.put(&key, &entry).await;
    wait_until_cold(platform).await;
}

/// Waits until all gateways count one endpoint as cold.
async fn wait_until_cold(platform: &Platform) {
    for gateway in &platform.gateways {
        wait_until("the endpoint is cold", async || {
            text(gateway.metrics, "/metrics")
                .await
                .contains("daisyyard_gateway_cold_endpoints 1")
        })
        .await;
    }
}

/// Sends requests through all gateways at once, and returns the number of answers from endpoints.
async fn crowd(platform: &Platform, path: &str, requests: usize) -> usize {
    let send = async |number: usize| {
        let attempt = format!("crowd-{number}-{path}");
        let gateway = number % platform.gateways.len();
        let request = plain_request(Method::GET, path);
        let (status, _) = platform.send_through(gateway, &attempt, &request).await;
        usize::from(status == StatusCode::OK)
    };
    let answers = futures_util::future::join_all((0..requests).map(send)).await;
    answers.iter().sum()
}

/// Returns the largest number of requests that an endpoint received in any second.
async fn peak(platform: &Platform, endpoint: &str) -> usize {
    let mut arrivals = platform.runs.arrivals().await;
    arrivals.retain(|arrival| arrival.engine == endpoint);
    peak_of(&arrivals)
}

/// Returns the largest number of arrivals in any second.
fn peak_of(arrivals: &[Arrival]) -> usize {
    let mut times: Vec<Instant> = arrivals.iter().map(|arrival| arrival.at).collect();
    times.sort();
    let second = |first: &Instant| {
        let end = *first + Duration::from_secs(1);
        times
            .iter()
            .filter(|at| **at >= *first && **at < end)
            .count()
    };
    times.iter().map(second).max().unwrap_or(0)
}

/// Several gateways with many requests keep the bound of an endpoint that has started anew, and serve
/// what it allows.
#[tokio::test]
async fn restarted_endpoint() {
    let platform = start(3, 1).await;
    restart_endpoint(&platform, 0, 0).await;
    let served = crowd(&platform, "/stock/1", 60).await;
    assert!(served >= 2, "{served} were served");
    let peak = peak(&platform, "plain-0").await;
    assert!(peak <= BOUND, "{peak} requests in a second");
}

/// A gateway that is killed and starts again within the second, again and again, does not use its share
/// each time.
#[tokio::test]
async fn killed_gateway() {
    let mut platform = start(1, 1).await;
    restart_endpoint(&platform, 0, 20_000).await;
    for round in 0..6 {
        let path = format!("/stock/{round}");
        let crowd = crowd(&platform, &path, BOUND);
        // The requests that found no place still wait when the gateway is killed.
        let _ = tokio::time::timeout(ROUND_TIME, crowd).await;
        drop(platform.gateways.remove(0));
        add_gateway(&mut platform, 0).await;
        wait_until_cold(&platform).await;
    }
    let peak = peak(&platform, "plain-0").await;
    assert!(peak > 0 && peak <= BOUND, "{peak} requests in a second");
}

/// Requests go to the warm endpoint while another one is cold.
#[tokio::test]
async fn warm_endpoint() {
    let platform = start(1, 2).await;
    restart_endpoint(&platform, 0, 0).await;
    let served = crowd(&platform, "/stock/1", 10).await;
    assert_eq!(served, 10);
    assert_eq!(peak(&platform, "plain-0").await, 0);
    let metrics = text(platform.gateways[0].metrics, "/metrics").await;
    let counter = "daisyyard_gateway_cold_sends_total{effect=\"elsewhere\"} 10";
    assert!(metrics.contains(counter), "{metrics}");
}

/// What an endpoint states in an answer to one gateway reaches the others, which the store does not
/// tell.
#[tokio::test]
async fn stated_in_answer() {
    let platform = start(2, 1).await;
    platform.engines[0].set_cold(Some(20_000));
    assert_eq!(crowd(&platform, "/stock/1", 1).await, 1);
    wait_until_cold(&platform).await;
    crowd(&platform, "/stock/2", 40).await;
    let peak = peak(&platform, "plain-0").await;
    assert!(peak <= BOUND, "{peak} requests in a second");
}

/// Streams whose engine ends and whose copies are at a cold engine resume there no faster than it
/// tolerates.
#[tokio::test]
async fn resumed_streams() {
    const STREAMS: usize = 40;
    let mut platform = start_with_engines(1, 2, 0).await;
    for index in 0..2 {
        let entry = {
            let address = platform.engines[index].address;
            let mut entry = platform_fixture::entry("model", address, "ready");
            entry["slots"] = 64.into();
            entry
        };
        platform
            .store
            .put(&format!("servers/engine-{index}"), &entry)
            .await;
    }
    let address = platform.gateways[0].requests;
    let mut callers = tokio::task::JoinSet::new();
    for number in 0..STREAMS {
        callers.spawn(async move {
            let attempt = format!("stream-{number}");
            let credential = format!("Bearer {}", platform_fixture::CREDENTIAL);
            let request = stream_request("/draft/1", "100,1600");
            let mut headers = request.headers.clone();
            headers.extend([
                ("x-daisyyard-attempt-id", attempt.as_str()),
                ("x-daisyyard-deadline-ms", "6000"),
                ("authorization", credential.as_str()),
            ]);
            send(address, &request, &headers).await
        });
    }
    wait_until("the streams run", async || {
        platform.ran("/draft/1").await.len() >= STREAMS
    })
    .await;
    // The engine becomes cold without a new start, which would void the copies that it holds.
    write_cold_entry(&platform, 1, 20_000, None).await;
    drop(platform.engines.remove(0));
    while callers.join_next().await.is_some() {}
    let mut resumed = platform.ran("/draft/1").await;
    resumed.retain(|arrival| arrival.headers.contains_key("kv-from"));
    let peak = peak_of(&resumed);
    assert!(peak > 0 && peak <= BOUND, "{peak} requests in a second");
}

/// Without the two settings, a cold endpoint is served as before.
#[tokio::test]
async fn no_bound() {
    let mut platform = Platform::start(0, 1).await;
    let mut limited = config(2);
    limited["services"][1]["cold_start_s"] = COLD_S.into();
    limited["services"][1]["cold_per_s"] = 6.into();
    platform.store.put("op/config", &limited).await;
    platform.start_gateway().await;
    let engine = &platform.engines[0];
    let mut entry = platform_fixture::entry("desk", engine.address, "ready");
    (entry["born"], entry["cold_remaining_ms"]) = (7.into(), 20_000.into());
    platform.store.put("servers/plain-0", &entry).await;
    engine.set_cold(Some(20_000));
    assert_eq!(crowd(&platform, "/stock/1", 40).await, 40);
}
