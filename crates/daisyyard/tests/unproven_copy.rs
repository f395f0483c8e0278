//! Guards against a request that may run once and is sent to a second engine that does not hold a copy
//! of its run: a faulty engine would run it a second time.

mod platform;

use std::net::SocketAddr;
use std::time::Duration;

use daisyyard_standin::platform_engine::{Mode, Room};
use daisyyard_standin::platform_fixture::{self, CREDENTIAL};
use hyper::StatusCode;
use platform::{Platform, stream_request};
use tokio::task::JoinHandle;

/// Token usage of the stream, which takes three seconds: prompt and output tokens.
const USAGE: &str = "100,600";
/// Time within which a gateway learns of a new or changed endpoint and acts on it.
const LISTING_TIME: Duration = Duration::from_millis(600);
/// Time within which a gateway would have sent the request to another engine.
const RESUME_TIME: Duration = Duration::from_millis(500);
/// Interval between events that leaves time to end an engine before its first event.
const SLOW_INTERVAL: Duration = Duration::from_secs(3);

/// Starts a stream that may run once and waits until an engine runs it; returns its answer and the
/// index of the engine.
async fn start_stream(platform: &Platform) -> (JoinHandle<(StatusCode, Option<String>)>, usize) {
    let answer = tokio::spawn(send(platform.gateways[0].requests));
    platform::wait_until("the stream runs", async || {
        !platform.ran("/draft/1").await.is_empty()
    })
    .await;
    let name = platform.ran("/draft/1").await[0].engine.clone();
    let mut engines = platform.engines.iter();
    let index = engines.position(|engine| engine.name == name);
    (answer, index.expect("a known engine"))
}

/// Sends the request for the stream and returns the answer.
async fn send(address: SocketAddr) -> (StatusCode, Option<String>) {
    let request = stream_request("/draft/1", USAGE);
    let credential = format!("Bearer {CREDENTIAL}");
    let mut headers = vec![
        ("x-daisyyard-attempt-id", "attempt-1"),
        ("x-daisyyard-deadline-ms", "8000"),
        ("authorization", credential.as_str()),
    ];
    headers.extend(request.headers.iter().copied());
    let answer = platform::send(address, &request, &headers).await;
    answer.expect("the gateway answers")
}

/// Starts a stream at an engine, adds a careless one, and lets the first one leave.
async fn leave(room: Room) -> (Platform, JoinHandle<(StatusCode, Option<String>)>) {
    let mut platform = Platform::start(1, 0).await;
    platform.start_gateway().await;
    let (answer, _) = start_stream(&platform).await;
    platform.add_engine("engine-1", "model").await;
    platform.engines[1].set_mode(Mode::Careless);
    platform.engines[0].set_room(room);
    tokio::time::sleep(LISTING_TIME).await;
    platform.put_entry(0, "model", "draining").await;
    tokio::time::sleep(LISTING_TIME).await;
    (platform, answer)
}

/// Checks that the stream ended as broken off and that no second engine ran its request.
async fn check_not_repeated(platform: &Platform, answer: JoinHandle<(StatusCode, Option<String>)>) {
    let answer = answer.await.expect("no panic");
    tokio::time::sleep(RESUME_TIME).await;
    assert_eq!(platform.ran("/draft/1").await.len(), 1, "it runs once");
    assert_eq!(answer, (StatusCode::OK, None));
}

/// A run whose engine breaks off while its memory is being copied is not sent to the target of the
/// copy.
#[tokio::test]
async fn copy_under_way() {
    let (mut platform, answer) = leave(Room::Stalled).await;
    drop(platform.engines.remove(0));
    check_not_repeated(&platform, answer).await;
}

/// A run is not sent to a backup engine that was started anew and so has lost the backup.
#[tokio::test]
async fn restarted_backup() {
    let mut platform = Platform::start(2, 0).await;
    platform.start_gateway().await;
    let (answer, index) = start_stream(&platform).await;
    tokio::time::sleep(LISTING_TIME).await;
    let backup = &platform.engines[1 - index];
    backup.set_mode(Mode::Careless);
    platform.runs.forget("attempt-1", backup.address);
    let mut entry = platform_fixture::entry("model", backup.address, "ready");
    entry["born"] = 2.into();
    let key = format!("servers/{}", backup.name);
    platform.store.put(&key, &entry).await;
    tokio::time::sleep(LISTING_TIME).await;
    drop(platform.engines.remove(index));
    check_not_repeated(&platform, answer).await;
}

/// A run whose engine ends before the first event is not sent to its backup engine, because no event
/// shows that there is a backup.
#[tokio::test]
async fn no_event() {
    let mut platform = Platform::start(0, 0).await;
    for name in ["engine-0", "engine-1"] {
        platform
            .add_engine_with_interval(name, "model", SLOW_INTERVAL)
            .await;
    }
    platform.start_gateway().await;
    let (answer, index) = start_stream(&platform).await;
    tokio::time::sleep(RESUME_TIME).await;
    let backup = &platform.engines[1 - index];
    backup.set_mode(Mode::Careless);
    platform.runs.forget("attempt-1", backup.address);
    drop(platform.engines.remove(index));
    check_not_repeated(&platform, answer).await;
}
