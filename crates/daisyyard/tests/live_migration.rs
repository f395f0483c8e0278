//! Guards against streams that are lost at a leaving engine although another one has room for them, and
//! against copies that hold memory although nobody uses them.

mod platform;

use std::net::SocketAddr;
use std::time::Duration;

use daisyyard_standin::platform_engine::Room;
use daisyyard_standin::platform_fixture::CREDENTIAL;
use hyper::StatusCode;
use platform::{Platform, events, stream_request};
use tokio::task::JoinHandle;

/// Number of events of the stream, which takes three seconds.
const EVENT_COUNT: u64 = 150;
/// Token usage of the stream: prompt and output tokens.
const USAGE: &str = "100,600";
/// Time within which a gateway learns of new or changed endpoints.
const LISTING_TIME: Duration = Duration::from_millis(600);
/// Time between the notice of an engine and its end.
const NOTICE: Duration = Duration::from_millis(800);
/// Time within which an unused copy is freed.
const FREE_TIME: Duration = Duration::from_millis(500);
/// Path under which an engine frees a copy.
const HANDLE_PATH: &str = "/-/kv-handle/";

/// A stream at a leaving engine.
struct Scene {
    /// The platform; its first engine runs the stream and leaves.
    platform: Platform,
    /// Answer to the stream.
    answer: JoinHandle<(StatusCode, Option<String>)>,
}

impl Scene {
    /// Starts a stream at the first engine, so that it has no backup, then further engines.
    async fn start(room: Room, others: usize) -> Self {
        let mut platform = Platform::start(1, 0).await;
        platform.engines[0].set_room(room);
        platform.start_gateway().await;
        let answer = tokio::spawn(send(platform.gateways[0].requests));
        platform::wait_until("the stream runs", async || {
            !platform.ran("/draft/1").await.is_empty()
        })
        .await;
        for number in 1..=others {
            platform
                .add_engine(&format!("engine-{number}"), "model")
                .await;
        }
        tokio::time::sleep(LISTING_TIME).await;
        Self { platform, answer }
    }

    /// Announces that the first engine leaves, and waits for the time of a notice.
    async fn announce(&self) {
        self.platform.put_entry(0, "model", "draining").await;
        tokio::time::sleep(NOTICE).await;
    }

    /// Returns the answer and the platform.
    async fn end(self) -> ((StatusCode, Option<String>), Platform) {
        (self.answer.await.expect("no panic"), self.platform)
    }
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

/// Returns the whole stream.
fn whole() -> (StatusCode, Option<String>) {
    (StatusCode::OK, Some(events(EVENT_COUNT)))
}

/// A target that has no room is replaced by another one until one has room.
#[tokio::test]
async fn target_full() {
    let mut scene = Scene::start(Room::Free, 4).await;
    for engine in &scene.platform.engines[1..4] {
        scene.platform.runs.fill(engine.address);
    }
    scene.announce().await;
    drop(scene.platform.engines.remove(0));
    let (answer, platform) = scene.end().await;
    assert_eq!(answer, whole());
    let ran = platform.ran("/draft/1").await;
    assert_eq!(ran.len(), 2, "the run goes on once");
    assert_eq!(ran[1].engine, "engine-4");
}

/// A target that leaves while the run is being moved there is replaced, and the copy there is freed.
#[tokio::test]
async fn target_leaves() {
    let mut scene = Scene::start(Room::Slow, 1).await;
    scene.platform.put_entry(0, "model", "draining").await;
    tokio::time::sleep(Duration::from_millis(100)).await;
    scene.platform.put_entry(1, "model", "draining").await;
    scene.platform.add_engine("engine-2", "model").await;
    platform::wait_until("the run continues", async || {
        scene.platform.ran("/draft/1").await.len() == 2
    })
    .await;
    let (answer, platform) = scene.end().await;
    assert_eq!(answer, whole());
    assert_eq!(platform.ran("/draft/1").await[1].engine, "engine-2");
    let arrivals = platform.runs.arrivals().await;
    let mut freed = arrivals.iter().map(|it| it.path.as_str());
    assert!(freed.any(|path| path.starts_with(HANDLE_PATH)));
}

/// A run whose engine is gone after a first copy continues from this copy.
#[tokio::test]
async fn source_gone() {
    let mut scene = Scene::start(Room::Once, 1).await;
    let address = scene.platform.engines[0].address;
    scene.announce().await;
    drop(scene.platform.engines.remove(0));
    let (answer, platform) = scene.end().await;
    assert_eq!(answer, whole());
    let ran = platform.ran("/draft/1").await;
    assert_eq!(ran.len(), 2, "the run goes on once");
    assert_eq!(ran[1].headers["kv-from"], format!("{address}/copy-1"));
}

/// A stream whose engine and target are both gone ends as broken off, never as complete.
#[tokio::test]
async fn both_gone() {
    let mut scene = Scene::start(Room::Once, 1).await;
    scene.announce().await;
    scene.platform.engines.clear();
    let (answer, _) = scene.end().await;
    assert_eq!(answer, (StatusCode::OK, None));
}

/// Over a slow link, no copy is ever short. The last one is asked for while there is time, so that the
/// run continues from it.
#[tokio::test]
async fn link_slow() {
    let mut scene = Scene::start(Room::Slow, 1).await;
    scene.announce().await;
    platform::wait_until("the run continues", async || {
        scene.platform.ran("/draft/1").await.len() == 2
    })
    .await;
    drop(scene.platform.engines.remove(0));
    let (answer, platform) = scene.end().await;
    assert_eq!(answer, whole());
    assert_eq!(platform.ran("/draft/1").await.len(), 2);
}

/// A copy that is not used, because the run has ended at its own engine, is freed there.
#[tokio::test]
async fn unused_copy() {
    let scene = Scene::start(Room::Once, 1).await;
    scene.announce().await;
    let (answer, platform) = scene.end().await;
    assert_eq!(answer, whole());
    tokio::time::sleep(FREE_TIME).await;
    let freed = platform.runs.arrivals().await;
    let freed = freed.iter().find(|it| it.path.starts_with(HANDLE_PATH));
    let freed = freed.expect("the copy is freed");
    assert_eq!(freed.path, "/-/kv-handle/copy-1");
    assert_eq!(freed.engine, "engine-0");
    assert_eq!(platform.ran("/draft/1").await.len(), 1);
}
