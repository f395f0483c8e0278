//! Guards against a request that crashes one endpoint after another, whichever gateway gets it.

mod platform;

use std::time::Duration;

use daisyyard_standin::platform_engine::{CRASH_WORD, LATE_CRASH_WORD};
use hyper::{Method, StatusCode};
use platform::{Platform, Request};

/// Time after a crash by which all gateways know of it (`contact_ms`).
const CONTACT_TIME: Duration = Duration::from_secs(3);
/// Number of endpoints that a request may crash before all gateways must know of it.
const FREE_CRASHES: usize = 3;
/// Number of times that the request may reach endpoints afterwards.
const LATE_SENDS: usize = 3;
/// Pause between two requests, in which a crashed endpoint could start again.
const PAUSE: Duration = Duration::from_millis(1_200);

/// Starts gateways and waits until they know each other.
async fn start(engines: usize, plain: usize, gateways: usize) -> Platform {
    let mut platform = Platform::start(engines, plain).await;
    for _ in 0..gateways {
        platform.start_gateway().await;
    }
    platform::wait_until_listed(&platform.gateways).await;
    platform
}

/// Sends a request through one gateway and returns the status, or none if the answer broke off.
async fn send_to(
    platform: &Platform,
    gateway: usize,
    attempt: &str,
    request: &Request<'_>,
) -> Option<StatusCode> {
    let (status, text) = platform.send_through(gateway, attempt, request).await;
    text.map(|_| status)
}

/// Returns a request that crashes each endpoint.
fn crashing(method: Method, path: &str) -> Request<'_> {
    let stream = platform::stream_request(path, "100,20");
    Request {
        method,
        headers: if path.starts_with("/draft") {
            stream.headers
        } else {
            Vec::new()
        },
        body: CRASH_WORD,
        ..stream
    }
}

/// Sends the same request through all gateways in turn until it has crashed three endpoints, and then
/// goes on; checks how often it reaches endpoints after all gateways must know of it.
async fn check_sends(platform: &Platform, request: &Request<'_>) {
    let count = platform.gateways.len();
    let mut number = 0;
    while platform.ran(request.path).await.len() < FREE_CRASHES {
        let attempt = format!("early-{number}");
        send_to(platform, number % count, &attempt, request).await;
        number += 1;
        assert!(number < 10, "the request reaches no endpoint");
        tokio::time::sleep(PAUSE).await;
    }
    tokio::time::sleep(CONTACT_TIME).await;
    let before = platform.ran(request.path).await.len();
    for number in 0..4 * count {
        let attempt = format!("late-{number}");
        let status = send_to(platform, number % count, &attempt, request).await;
        assert_eq!(status, Some(StatusCode::SERVICE_UNAVAILABLE));
    }
    let late = platform.ran(request.path).await.len() - before;
    assert!(late <= LATE_SENDS, "{late} sends");
}

/// A stream that crashes engines is refused by all gateways; another one to the same route is served.
#[tokio::test]
async fn stream_refused() {
    let platform = start(4, 0, 3).await;
    check_sends(&platform, &crashing(Method::POST, "/draft/1")).await;
    let sound = platform::stream_request("/draft/1", "100,20");
    let status = send_to(&platform, 0, "sound", &sound).await;
    assert_eq!(status, Some(StatusCode::OK));
}

/// A stream that crashes engines some time after its first event is refused like one that crashes them at
/// once; another one to the same route is served.
#[tokio::test]
async fn late_crash() {
    let platform = start(5, 0, 3).await;
    let deadly = Request {
        body: LATE_CRASH_WORD,
        ..platform::stream_request("/draft/1", "100,400")
    };
    check_sends(&platform, &deadly).await;
    let sound = platform::stream_request("/draft/1", "100,20");
    let status = send_to(&platform, 0, "sound", &sound).await;
    assert_eq!(status, Some(StatusCode::OK));
}

/// A stream that breaks off at one leaving engine after another is not refused, as these engines end
/// whatever they run.
#[tokio::test]
async fn leaving_engines() {
    let mut platform = start(0, 0, 1).await;
    let address = platform.gateways[0].requests;
    for number in 0..FREE_CRASHES {
        let name = format!("engine-{number}");
        platform.add_engine(&name, "model").await;
        let stream = tokio::spawn(async move {
            let credential = format!("Bearer {}", platform::CREDENTIAL);
            let mut request = platform::stream_request("/draft/1", "100,1600");
            let mut headers = std::mem::take(&mut request.headers);
            headers.extend([
                ("x-daisyyard-attempt-id", name.as_str()),
                ("x-daisyyard-deadline-ms", "8000"),
                ("authorization", credential.as_str()),
            ]);
            platform::send(address, &request, &headers).await
        });
        platform::wait_until("the stream runs", async || {
            platform.ran("/draft/1").await.len() > number
        })
        .await;
        platform.put_entry(0, "model", "draining").await;
        tokio::time::sleep(PAUSE).await;
        let engine = platform.engines.remove(0);
        let key = format!("servers/{}", engine.name);
        drop(engine);
        let (status, text) = stream.await.expect("no panic").expect("an answer");
        assert_eq!((status, text), (StatusCode::OK, None));
        platform.store.remove(&key).await;
    }
    platform.add_engine("engine-sound", "model").await;
    let again = platform::stream_request("/draft/1", "100,20");
    let status = send_to(&platform, 0, "again", &again).await;
    assert_eq!(status, Some(StatusCode::OK));
}

/// A call that crashes plain endpoints is refused, also if it may be repeated.
#[tokio::test]
async fn call_refused() {
    let platform = start(0, 3, 3).await;
    check_sends(&platform, &crashing(Method::POST, "/book/1")).await;
    check_sends(&platform, &crashing(Method::PUT, "/stock/1")).await;
}

/// A gateway that starts after the crashes refuses the request.
#[tokio::test]
async fn late_gateway() {
    let mut platform = start(4, 0, 2).await;
    let request = crashing(Method::POST, "/draft/1");
    check_sends(&platform, &request).await;
    platform.start_gateway().await;
    tokio::time::sleep(CONTACT_TIME).await;
    let before = platform.ran("/draft/1").await.len();
    let status = send_to(&platform, 2, "after-start", &request).await;
    assert_eq!(status, Some(StatusCode::SERVICE_UNAVAILABLE));
    assert_eq!(platform.ran("/draft/1").await.len(), before);
}

/// Gateways that are all killed at the same moment still refuse the request after their start.
#[tokio::test]
async fn survives_kill() {
    let mut platform = start(4, 0, 2).await;
    let request = crashing(Method::POST, "/draft/1");
    check_sends(&platform, &request).await;
    platform.gateways.clear();
    for _ in 0..2 {
        platform.start_gateway().await;
    }
    let before = platform.ran("/draft/1").await.len();
    for gateway in 0..2 {
        let status = send_to(&platform, gateway, "after-kill", &request).await;
        assert_eq!(status, Some(StatusCode::SERVICE_UNAVAILABLE));
    }
    assert_eq!(platform.ran("/draft/1").await.len(), before);
}
