//! Guards against gateways that together send an endpoint more requests than the limit that it states, and
//! against a limit that outlives its statement.

mod platform;

use std::time::{Duration, Instant};

use daisyyard_standin::platform_engine::Stated;
use hyper::{Method, StatusCode};
use platform::{Platform, plain_request, wait_until, wait_until_listed};

/// Number of gateways, which share the limit.
const GATEWAYS: usize = 3;
/// Pause between two requests of all callers together.
const PAUSE: Duration = Duration::from_millis(25);
/// Time after the first statement within which the gateways follow it (`contact_ms`).
const CONTACT_BOUND: Duration = Duration::from_secs(3);
/// Period to which the bound on the arrivals applies.
const PERIOD: Duration = Duration::from_secs(4);

/// Returns what an endpoint states that takes some requests per second.
fn limited(per_s: &'static str) -> Stated {
    Stated {
        limit: Some(per_s),
        ..Stated::default()
    }
}

/// Returns the number of requests that may reach an endpoint with a limit in a period.
fn allowed(per_s: f64) -> usize {
    (1.5 * per_s * PERIOD.as_secs_f64() + 5.0) as usize
}

/// Starts gateways before plain endpoints.
async fn start(endpoints: usize) -> Platform {
    let mut platform = Platform::start(0, endpoints).await;
    for _ in 0..GATEWAYS {
        platform.start_gateway().await;
    }
    wait_until_listed(&platform.gateways).await;
    // A gateway uses its part of a rate once it has known the list of gateways for 3 s.
    tokio::time::sleep(Duration::from_secs(3)).await;
    platform
}

/// Sends requests through all gateways in turn for some time, and returns their statuses.
async fn load(platform: &Platform, time: Duration) -> Vec<StatusCode> {
    let request = plain_request(Method::GET, "/stock/1");
    let end = Instant::now() + time;
    let mut statuses = Vec::new();
    let mut number = 0;
    while Instant::now() < end {
        let attempt = format!("attempt-{number}");
        let answer = platform.send_through(number % GATEWAYS, &attempt, &request);
        statuses.push(answer.await.0);
        number += 1;
        tokio::time::sleep(PAUSE).await;
    }
    statuses
}

/// Returns the times at which an endpoint got requests.
async fn arrivals(platform: &Platform, engine: &str) -> Vec<Instant> {
    let all = platform.runs.arrivals().await;
    let mut times: Vec<Instant> = all
        .iter()
        .filter(|it| it.engine == engine && it.path.starts_with("/stock/"))
        .map(|it| it.at)
        .collect();
    times.sort();
    times
}

/// Returns the largest number of times after a start that lie in one period.
fn peak(times: &[Instant], start: Instant) -> usize {
    let later: Vec<Instant> = times.iter().copied().filter(|at| *at >= start).collect();
    let counts = later.iter().map(|first| {
        let same = later.iter();
        same.filter(|at| *at >= first && **at < *first + PERIOD)
            .count()
    });
    counts.max().unwrap_or(0)
}

/// One of two endpoints states a limit; the other one serves what exceeds it.
#[tokio::test]
async fn one_limited() {
    let platform = start(2).await;
    platform.engines[0].set_stated(limited("3"));
    let started = Instant::now();
    let statuses = load(&platform, CONTACT_BOUND + PERIOD * 2).await;
    let times = arrivals(&platform, "plain-0").await;
    let peak = peak(&times, started + CONTACT_BOUND);
    assert!(peak <= allowed(3.0), "{peak} requests in 4 s");
    assert!(statuses.iter().all(|status| *status == StatusCode::OK));
}

/// All endpoints state a limit; what exceeds it is refused, and both get as much as they take.
#[tokio::test]
async fn all_limited() {
    let platform = start(2).await;
    for engine in &platform.engines {
        engine.set_stated(limited("4.2"));
    }
    let started = Instant::now();
    load(&platform, CONTACT_BOUND + PERIOD * 2).await;
    for engine in ["plain-0", "plain-1"] {
        let times = arrivals(&platform, engine).await;
        let peak = peak(&times, started + CONTACT_BOUND);
        assert!(peak <= allowed(4.2), "{peak} requests in 4 s at {engine}");
        assert!(peak > 4, "{peak} requests in 4 s at {engine}");
    }
}

/// When the answers state no limit any more, all gateways follow, also those without a part of the rate.
#[tokio::test]
async fn limit_ends() {
    let platform = start(1).await;
    platform.engines[0].set_stated(limited("1"));
    load(&platform, CONTACT_BOUND).await;
    let gauge = "daisyyard_gateway_limited_endpoints";
    let all_show = async |value: &str| {
        let line = format!("{gauge} {value}");
        let mut show = true;
        for gateway in &platform.gateways {
            let text = platform::text(gateway.metrics, "/metrics").await;
            show &= text.lines().any(|known| known == line);
        }
        show
    };
    wait_until("all gateways know the limit", async || all_show("1").await).await;
    platform.engines[0].set_stated(Stated::default());
    wait_until("all gateways know its end", async || {
        load(&platform, PAUSE * 10).await;
        all_show("0").await
    })
    .await;
}
