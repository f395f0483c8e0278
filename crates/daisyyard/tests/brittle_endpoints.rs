//! Guards against gateways that together fill endpoints which fall over when they have to turn requests
//! away, and against endpoints that are left idle for it.

mod platform;

use std::time::{Duration, Instant};

use daisyyard_standin::brittle_endpoint::{BrittleEndpoint, Conduct};
use hyper::{Method, StatusCode};
use platform::{Platform, plain_request, wait_until_listed};

/// Number of gateways.
const GATEWAYS: usize = 3;
/// Number of endpoints.
const ENDPOINTS: usize = 2;
/// Time after the first statement within which the gateways follow it (`contact_ms`).
const CONTACT_BOUND: Duration = Duration::from_secs(3);
/// Number of callers in a burst.
const BURST: usize = 60;
/// Number of bursts.
const BURSTS: usize = 5;
/// Time between two bursts, after which an endpoint that fell over is back.
const BURST_INTERVAL: Duration = Duration::from_millis(2_500);

/// Time for which callers return at once.
const LOAD_TIME: Duration = Duration::from_secs(6);

/// Conduct of an endpoint that is sound.
const SOUND: Conduct = Conduct {
    slots: 8,
    queue: 16,
    work: Duration::from_millis(200),
    brittle: None,
};
/// Conduct of an endpoint that is brittle.
const BRITTLE: Conduct = Conduct {
    queue: 1,
    brittle: Some(3),
    ..SOUND
};

/// Starts gateways before endpoints that are brittle, and waits until all follow it.
async fn start() -> (Platform, Vec<BrittleEndpoint>) {
    let mut platform = Platform::start(0, 0).await;
    let mut endpoints = Vec::new();
    for number in 0..ENDPOINTS {
        let name = format!("brittle-{number}");
        endpoints.push(platform.add_brittle(&name, SOUND).await);
    }
    for _ in 0..GATEWAYS {
        platform.start_gateway().await;
    }
    wait_until_listed(&platform.gateways).await;
    // A gateway uses its part of the room once it has known the list of gateways for 3 s.
    tokio::time::sleep(Duration::from_secs(3)).await;
    for endpoint in &endpoints {
        endpoint.set_conduct(BRITTLE);
    }
    let end = Instant::now() + CONTACT_BOUND;
    while Instant::now() < end {
        burst(&platform, GATEWAYS).await;
    }
    (platform, endpoints)
}

/// Sends requests through all gateways at the same time, and returns how many were served.
async fn burst(platform: &Platform, callers: usize) -> usize {
    let calls = (0..callers).map(|number| call(platform, number));
    let served = futures_util::future::join_all(calls).await;
    served.iter().filter(|served| **served).count()
}

/// Sends the request of one of several callers, and returns whether it was served.
async fn call(platform: &Platform, number: usize) -> bool {
    let request = plain_request(Method::GET, "/stock/1");
    let attempt = format!("attempt-{}-{number}", rand::random::<u32>());
    let answer = platform.send_through(number % GATEWAYS, &attempt, &request);
    answer.await.0 == StatusCode::OK
}

/// Returns how often the endpoints have fallen over.
fn falls(endpoints: &[BrittleEndpoint]) -> u32 {
    endpoints.iter().map(|it| it.counts().falls).sum()
}

/// Bursts at all gateways do not make the endpoints fall over more often than 2 + a tenth of their number.
#[tokio::test]
async fn burst_of_callers() {
    let (platform, endpoints) = start().await;
    for _ in 0..BURSTS {
        let next = Instant::now() + BURST_INTERVAL;
        burst(&platform, BURST).await;
        tokio::time::sleep_until(next.into()).await;
    }
    let falls = falls(&endpoints);
    assert!(falls <= 2 + ENDPOINTS as u32 / 10, "{falls} falls");
}

/// Callers that return at once get most of what brittle endpoints can serve.
#[tokio::test]
async fn capacity_used() {
    let (platform, endpoints) = start().await;
    let callers = ENDPOINTS * BRITTLE.slots;
    let end = Instant::now() + LOAD_TIME;
    let calls = (0..callers).map(async |number| {
        let mut served = 0;
        while Instant::now() < end {
            served += usize::from(call(&platform, number).await);
        }
        served
    });
    let served: usize = futures_util::future::join_all(calls).await.iter().sum();
    let works = LOAD_TIME.as_secs_f64() / BRITTLE.work.as_secs_f64();
    let capacity = works * callers as f64;
    let falls = falls(&endpoints);
    assert!(falls <= 2 + ENDPOINTS as u32 / 10, "{falls} falls");
    assert!(
        served as f64 >= capacity * 0.6,
        "{served} served of {capacity:.0}"
    );
}
