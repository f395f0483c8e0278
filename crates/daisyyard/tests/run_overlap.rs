//! Guards against a run that continues at another engine while its own still works on it, and
//! against streams that are lost because a run was stopped.

mod platform;

use std::time::Duration;

use daisyyard_standin::platform_engine::{Close, PlatformEngine, Room};
use daisyyard_standin::platform_fixture;
use daisyyard_standin::proxy::{Cut, Proxy};
use hyper::StatusCode;
use platform::{EVENT_INTERVAL, Platform, events, stream_request};

/// Attempt of the stream.
const ATTEMPT: &str = "attempt-1";
/// Number of events of the stream, which takes four seconds.
const EVENT_COUNT: u64 = 200;
/// Token usage of the stream: prompt and output tokens.
const USAGE: &str = "100,800";
/// Maximum time for which two engines may work on the same run.
const MAX_OVERLAP: Duration = Duration::from_millis(400);
/// Time after which the run has a backup.
const BACKUP_TIME: Duration = Duration::from_millis(1_200);

/// Two engines that do not stop a run when its connection closes, each behind a proxy.
struct Scene {
    /// The platform with its gateway.
    platform: Platform,
    /// Proxies of the engines, in their order.
    proxies: Vec<Proxy>,
}

impl Scene {
    /// Starts the engines and a gateway.
    async fn start() -> Self {
        let mut platform = Platform::start(0, 0).await;
        let mut proxies = Vec::new();
        for name in ["engine-0", "engine-1"] {
            let proxy = Proxy::start().await.expect("the proxy starts");
            let engine =
                PlatformEngine::start_behind(&proxy, name, EVENT_INTERVAL, &platform.runs).await;
            let engine = engine.expect("the engine starts");
            engine.set_close(Close::Ignored);
            platform.engines.push(engine);
            let index = platform.engines.len() - 1;
            platform.put_entry(index, "model", "ready").await;
            proxies.push(proxy);
        }
        platform.start_gateway().await;
        Self { platform, proxies }
    }

    /// Plays a stream and calls `disturb` with the index of its engine once the run has a backup.
    async fn play(
        &self,
        disturb: impl AsyncFnOnce(&Platform, &[Proxy], usize),
    ) -> (StatusCode, Option<String>) {
        let request = stream_request("/draft/1", USAGE);
        let answer = self.platform.send_through(0, ATTEMPT, &request);
        let act = async {
            platform::wait_until("the stream runs", async || {
                !self.platform.ran("/draft/1").await.is_empty()
            })
            .await;
            tokio::time::sleep(BACKUP_TIME).await;
            let name = self.platform.ran("/draft/1").await[0].engine.clone();
            let engines = &self.platform.engines;
            let index = engines.iter().position(|engine| engine.name == name);
            disturb(
                &self.platform,
                &self.proxies,
                index.expect("a known engine"),
            )
            .await;
        };
        let (answer, ()) = tokio::join!(answer, act);
        answer
    }

    /// Checks that the run continued once at the other engine, and that the first one did not work
    /// on it for longer than allowed after that.
    async fn check_one_engine(&self) {
        let ran = self.platform.ran("/draft/1").await;
        assert_eq!(ran.len(), 2, "the run continues once");
        assert_ne!(ran[0].engine, ran[1].engine);
        let engines = &self.platform.engines;
        let first = engines.iter().find(|engine| engine.name == ran[0].engine);
        let first = first.expect("a known engine").address;
        let last_work = self.platform.runs.last_work(ATTEMPT, first).await;
        let overlap = last_work
            .expect("the engine has worked")
            .saturating_duration_since(ran[1].at);
        assert!(overlap <= MAX_OVERLAP, "both worked for {overlap:?}");
    }
}

/// Reports in the store that an engine is leaving.
async fn drain(platform: &Platform, index: usize) {
    let engine = &platform.engines[index];
    let entry = platform_fixture::entry("model", engine.address, "draining");
    let key = format!("servers/{}", engine.name);
    platform.store.writer().put(&key, &entry).await;
}

/// The run of a leaving engine is stopped there before its backup engine continues it.
#[tokio::test]
async fn leaving_engine() {
    let scene = Scene::start().await;
    let answer = scene
        .play(async |platform, _, index| drain(platform, index).await)
        .await;
    assert_eq!(answer, (StatusCode::OK, Some(events(EVENT_COUNT))));
    scene.check_one_engine().await;
}

/// A leaving engine without room for the last copy keeps the memory of the run it has stopped, and
/// the backup engine continues from its backup.
#[tokio::test]
async fn refused_copy() {
    let scene = Scene::start().await;
    let answer = scene
        .play(async |platform, _, index| {
            platform.engines[index].set_room(Room::Full);
            drain(platform, index).await;
        })
        .await;
    assert_eq!(answer, (StatusCode::OK, Some(events(EVENT_COUNT))));
    scene.check_one_engine().await;
}

/// A run that a leaving engine does not stop stays there to its end.
#[tokio::test]
async fn unstopped_run() {
    let scene = Scene::start().await;
    let answer = scene
        .play(async |platform, _, index| {
            platform.engines[index].set_room(Room::Unavailable);
            drain(platform, index).await;
        })
        .await;
    assert_eq!(answer, (StatusCode::OK, Some(events(EVENT_COUNT))));
    assert_eq!(scene.platform.ran("/draft/1").await.len(), 1);
}

/// The run of an engine whose connection has gone silent is stopped there before another engine
/// continues it.
#[tokio::test]
async fn silent_connection() {
    let scene = Scene::start().await;
    let answer = scene
        .play(async |_, proxies, index| proxies[index].cut_open(Cut::Stalled))
        .await;
    assert_eq!(answer, (StatusCode::OK, Some(events(EVENT_COUNT))));
    scene.check_one_engine().await;
}

/// The run of an engine whose connection has broken is stopped there before another engine
/// continues it.
#[tokio::test]
async fn broken_connection() {
    let scene = Scene::start().await;
    let answer = scene
        .play(async |_, proxies, index| proxies[index].cut_open(Cut::Closed))
        .await;
    assert_eq!(answer, (StatusCode::OK, Some(events(EVENT_COUNT))));
    scene.check_one_engine().await;
}

/// An engine that cannot be reached for a moment is told to stop the run as soon as it can be.
#[tokio::test]
async fn unreachable_engine() {
    let scene = Scene::start().await;
    let answer = scene
        .play(async |_, proxies, index| {
            proxies[index].cut_open(Cut::Closed);
            proxies[index].set_link(daisyyard_standin::proxy::Link::Broken);
            tokio::time::sleep(MAX_OVERLAP / 2).await;
            proxies[index].set_link(daisyyard_standin::proxy::Link::Open);
        })
        .await;
    assert_eq!(answer, (StatusCode::OK, Some(events(EVENT_COUNT))));
    scene.check_one_engine().await;
}

/// A run that stopped for a copy that its target then refuses goes on at its own engine.
#[tokio::test]
async fn kept_run() {
    let scene = Scene::start().await;
    let answer = scene
        .play(async |platform, proxies, index| {
            platform.engines[index].set_room(Room::Full);
            platform.engines[1 - index]
                .set_mode(daisyyard_standin::platform_engine::Mode::Declining);
            proxies[index].cut_open(Cut::Stalled);
        })
        .await;
    assert_eq!(answer, (StatusCode::OK, Some(events(EVENT_COUNT))));
    let ran = scene.platform.ran("/draft/1").await;
    assert_eq!(ran.len(), 2, "the run continues once");
    assert_eq!(ran[0].engine, ran[1].engine);
}
