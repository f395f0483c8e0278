//! Guards against streams that end early, or lose or duplicate events, when their engine leaves or
//! crashes.

mod platform;

use std::time::Duration;

use hyper::StatusCode;
use platform::{Platform, events, stream_request};

/// Number of events of a stream; at the stand-in's interval they take 2 s.
const EVENT_COUNT: u64 = 100;
/// Time between the announcement that an engine leaves and its end.
const LINGER_TIME: Duration = Duration::from_millis(300);
/// Token usage of such a stream: prompt and output tokens.
const USAGE: &str = "100,400";

/// Starts a stream, calls `disturb` with the index of the engine that runs it, and returns the
/// answer.
async fn request_with_disturbance(
    platform: &mut Platform,
    disturb: impl AsyncFnOnce(&mut Vec<daisyyard_standin::platform_engine::PlatformEngine>, usize),
) -> (StatusCode, Option<String>) {
    let requests = platform.gateways[0].requests;
    let request = stream_request("/draft/1", USAGE);
    let credential = format!("Bearer {}", platform::CREDENTIAL);
    let headers = [
        ("x-daisyyard-attempt-id", "attempt-1"),
        ("x-daisyyard-deadline-ms", "8000"),
        ("authorization", credential.as_str()),
        request.headers[0],
        request.headers[1],
    ];
    let answer = platform::send(requests, &request, &headers);
    let act = async {
        platform::wait_until("the stream runs", async || {
            !platform.runs.arrivals().await.is_empty()
        })
        .await;
        tokio::time::sleep(Duration::from_millis(1_200)).await;
        let name = platform.runs.arrivals().await[0].engine.clone();
        let index = platform
            .engines
            .iter()
            .position(|engine| engine.name == name);
        disturb(&mut platform.engines, index.expect("a known engine")).await;
    };
    let (answer, ()) = tokio::join!(answer, act);
    answer.expect("the gateway answers")
}

/// A stream whose engine crashes continues without a gap on the engine that holds the copy of its
/// KV cache.
#[tokio::test]
async fn outlives_crash() {
    let mut platform = Platform::start(3, 0).await;
    platform.start_gateway().await;
    let answer = request_with_disturbance(&mut platform, async |engines, index| {
        drop(engines.remove(index));
    })
    .await;
    assert_eq!(answer, (StatusCode::OK, Some(events(EVENT_COUNT))));
    let ran = platform.ran("/draft/1").await;
    assert_eq!(ran.len(), 2, "the run went on once");
    assert!(ran[1].headers.contains_key("kv-from"));
}

/// A stream whose only engine crashes is interrupted and does not look complete.
#[tokio::test]
async fn breaks_visibly() {
    let mut platform = Platform::start(1, 0).await;
    platform.start_gateway().await;
    let (status, text) = request_with_disturbance(&mut platform, async |engines, index| {
        drop(engines.remove(index));
    })
    .await;
    assert_eq!((status, text), (StatusCode::OK, None));
}

/// A stream whose engine pauses for longer than the silence timeout is not ended.
#[tokio::test]
async fn tolerates_pause() {
    let mut platform = Platform::start(0, 0).await;
    platform
        .add_engine_with_interval("slow", "model", Duration::from_millis(1_800))
        .await;
    platform.start_gateway().await;
    let answer = platform.request(stream_request("/draft/1", "100,12")).await;
    assert_eq!(answer, (StatusCode::OK, events(3)));
    assert_eq!(platform.ran("/draft/1").await.len(), 1);
}

/// When its engine is listed as draining and ends, a stream continues on another engine without a lost
/// or duplicate event, and it moves only once.
#[tokio::test]
async fn moves_from_draining() {
    let mut platform = Platform::start(2, 0).await;
    platform.start_gateway().await;
    let writer = platform.store.writer();
    let answer = request_with_disturbance(&mut platform, async |engines, index| {
        let engine = &engines[index];
        let entry = serde_json::json!({
            "service": "model", "address": engine.address.to_string(), "zone": "zone-a",
            "version": "v1", "slots": 8, "state": "draining", "cold_remaining_ms": 0,
            "stage": "prefill_decode", "sequence": 2,
        });
        writer
            .put(&format!("servers/{}", engine.name), &entry)
            .await;
        tokio::time::sleep(LINGER_TIME).await;
        drop(engines.remove(index));
    })
    .await;
    assert_eq!(answer, (StatusCode::OK, Some(events(EVENT_COUNT))));
    let ran = platform.ran("/draft/1").await;
    assert_eq!(ran.len(), 2, "the run went on once");
    assert_ne!(ran[0].engine, ran[1].engine);
}
