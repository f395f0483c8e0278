//! Guards against streams that repeat, lose or join events when a caller or the gateway resumes
//! them, and against streams that run more often than their route allows.

mod platform;

use std::time::Duration;

use daisyyard_standin::faulty_endpoint::Fault;
use daisyyard_standin::platform_engine::Mode;
use hyper::StatusCode;
use platform::{Platform, events, stream_request};

/// Token usage of a stream of five events: prompt and output tokens.
const USAGE: &str = "100,20";
/// Time within which a gateway learns of a new endpoint.
const LISTING_TIME: Duration = Duration::from_secs(1);

/// Returns the events of a stream after the given one.
fn events_after(last: u64, count: u64) -> String {
    events(count).split_off(events(last).len())
}

/// A caller that resumes a stream gets the events after its position only, from an engine that is
/// told the position.
#[tokio::test]
async fn caller_resumes() {
    let mut platform = Platform::start(1, 0).await;
    platform.start_gateway().await;
    let mut request = stream_request("/check/1", USAGE);
    request.headers.push(("last-event-id", "2"));
    let answer = platform.request(request).await;
    assert_eq!(answer, (StatusCode::OK, events_after(2, 5)));
    let ran = platform.ran("/check/1").await;
    assert_eq!(ran[0].headers["last-event-id"], "2");
    assert!(!ran[0].headers.contains_key("kv-from"));
}

/// A position beyond the end of the stream gets a complete answer without events, as the engine
/// gives it; one that is no event number is refused.
#[tokio::test]
async fn odd_positions() {
    let mut platform = Platform::start(1, 0).await;
    platform.start_gateway().await;
    let mut request = stream_request("/check/1", USAGE);
    request.headers.push(("last-event-id", "99"));
    let answer = platform.request(request).await;
    assert_eq!(answer, (StatusCode::OK, String::new()));
    let mut request = stream_request("/check/2", USAGE);
    request.headers.push(("last-event-id", "second"));
    let (status, text) = platform.request(request).await;
    assert_eq!(status, StatusCode::BAD_REQUEST);
    assert!(text.contains("event number"), "{text}");
    assert!(platform.ran("/check/2").await.is_empty());
}

/// A stream that may run only once starts at its beginning; its engine is not told a position.
#[tokio::test]
async fn ignores_position() {
    let mut platform = Platform::start(1, 0).await;
    platform.start_gateway().await;
    let mut request = stream_request("/draft/1", USAGE);
    request.headers.push(("last-event-id", "second"));
    let answer = platform.request(request).await;
    assert_eq!(answer, (StatusCode::OK, events(5)));
    let ran = platform.ran("/draft/1").await;
    assert!(!ran[0].headers.contains_key("last-event-id"));
}

/// A stream whose engine breaks off in the middle of an event continues at another engine after the
/// last complete event, within the same answer.
#[tokio::test]
async fn restarts_elsewhere() {
    let mut platform = Platform::start(0, 0).await;
    let faulty = platform
        .add_faulty("cut", "model", Fault::CutEvent(3))
        .await;
    platform.start_gateway().await;
    let answer = interrupt(&mut platform, "/check/1", &[&faulty], async |platform| {
        platform.add_engine("sound", "model").await;
    })
    .await;
    assert_eq!(answer, (StatusCode::OK, Some(events(5))));
    let ran = platform.ran("/check/1").await;
    assert_eq!(ran.len(), 1);
    assert_eq!(ran[0].headers["last-event-id"], "3");
    assert!(!ran[0].headers.contains_key("kv-from"));
}

/// A caller's own position holds if its engine fails before the first event.
#[tokio::test]
async fn restarts_at_position() {
    let mut platform = Platform::start(0, 0).await;
    let faulty = platform
        .add_faulty("cut", "model", Fault::CutEvent(1))
        .await;
    platform.start_gateway().await;
    let mut request = stream_request("/check/1", USAGE);
    request.headers.push(("last-event-id", "2"));
    let answer = interrupt_request(&mut platform, request, &[&faulty], async |platform| {
        platform.add_engine("sound", "model").await;
    })
    .await;
    assert_eq!(answer, (StatusCode::OK, Some(events_after(2, 5))));
}

/// A stream that may not be resumed is interrupted when its engine breaks off, and not run again.
#[tokio::test]
async fn runs_once() {
    let mut platform = Platform::start(0, 0).await;
    let faulty = platform
        .add_faulty("cut", "model", Fault::CutEvent(3))
        .await;
    platform.start_gateway().await;
    let answer = interrupt(&mut platform, "/draft/1", &[&faulty], async |platform| {
        platform.add_engine("sound", "model").await;
    })
    .await;
    assert_eq!(answer, (StatusCode::OK, None));
    assert!(platform.ran("/draft/1").await.is_empty());
}

/// A stream runs at no more engines than its route allows, which are two here.
#[tokio::test]
async fn keeps_run_limit() {
    let mut platform = Platform::start(0, 0).await;
    let first = platform
        .add_faulty("cut-1", "model", Fault::CutEvent(1))
        .await;
    let second = platform
        .add_faulty("cut-2", "model", Fault::CutEvent(2))
        .await;
    platform.start_gateway().await;
    let faulty = [&first, &second];
    let answer = interrupt(&mut platform, "/check/1", &faulty, async |platform| {
        platform.add_engine("sound", "model").await;
    })
    .await;
    // Whether a third engine is sound depends on the choice of the second one.
    let sound = platform.ran("/check/1").await.len() as u64;
    assert_eq!(
        first.counts().requests + second.counts().requests + sound,
        2
    );
    assert_eq!(answer.1.is_some(), sound == 1);
}

/// A stream whose engine fails before the first event is repeated at another engine, since it may
/// run more than once.
#[tokio::test]
async fn repeats_early_failure() {
    let mut platform = Platform::start(2, 0).await;
    for engine in &platform.engines {
        engine.set_mode(Mode::Failing);
    }
    platform.start_gateway().await;
    let (status, _) = platform.request(stream_request("/check/1", USAGE)).await;
    assert_eq!(status, StatusCode::INTERNAL_SERVER_ERROR);
    let ran = platform.ran("/check/1").await;
    assert_eq!(ran.len(), 2);
    assert_ne!(ran[0].engine, ran[1].engine);
}

/// Requests a stream, prepares the platform while the stream waits at a faulty engine, lets all
/// faults occur, and returns the answer.
async fn interrupt(
    platform: &mut Platform,
    path: &str,
    faulty: &[&daisyyard_standin::faulty_endpoint::FaultyEndpoint],
    prepare: impl AsyncFnOnce(&mut Platform),
) -> (StatusCode, Option<String>) {
    interrupt_request(platform, stream_request(path, USAGE), faulty, prepare).await
}

/// As [`interrupt`], for any request.
async fn interrupt_request(
    platform: &mut Platform,
    request: platform::Request<'_>,
    faulty: &[&daisyyard_standin::faulty_endpoint::FaultyEndpoint],
    prepare: impl AsyncFnOnce(&mut Platform),
) -> (StatusCode, Option<String>) {
    let requests = platform.gateways[0].requests;
    let credential = format!("Bearer {}", platform::CREDENTIAL);
    let mut headers = vec![
        ("x-daisyyard-attempt-id", "attempt-1"),
        ("x-daisyyard-deadline-ms", "8000"),
        ("authorization", credential.as_str()),
    ];
    headers.extend(request.headers.iter().copied());
    let answer = platform::send(requests, &request, &headers);
    let act = async {
        platform::wait_until("the stream runs", async || {
            faulty.iter().any(|endpoint| endpoint.counts().requests > 0)
        })
        .await;
        prepare(platform).await;
        tokio::time::sleep(LISTING_TIME).await;
        for endpoint in faulty {
            endpoint.release();
        }
    };
    let (answer, ()) = tokio::join!(answer, act);
    answer.expect("the gateway answers")
}
