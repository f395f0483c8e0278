//! Guards against a run that continues at another engine while its own still works on it, and
//! against streams that are lost because a run was stopped.

mod platform;

use std::net::SocketAddr;
use std::time::{Duration, Instant};

use daisyyard_standin::platform_engine::{Close, Mode, PlatformEngine, Room};
use daisyyard_standin::platform_fixture::{self, CREDENTIAL};
use daisyyard_standin::proxy::{Cut, Link, Proxy};
use hyper::StatusCode;
use platform::{EVENT_INTERVAL, Platform, events, stream_request};

/// Attempt of the stream.
const ATTEMPT: &str = "attempt-1";
/// Number of events of the stream, which takes four seconds.
const EVENT_COUNT: u64 = 200;
/// Token usage of the stream: prompt and output tokens.
const USAGE: &str = "100,800";
/// Deadline of a stream that is not interrupted for long, in milliseconds.
const DEADLINE_MS: u64 = 6_000;
/// Deadline of a stream whose engine goes silent, in milliseconds. Four seconds of events and the 1.5 s
/// until the gateway notices the silence leave a busy machine too little of the usual deadline.
const SILENT_DEADLINE_MS: u64 = 12_000;
/// Maximum time from the silence of an engine until the run continues: what the usual deadline leaves
/// beside the events.
const MAX_PAUSE: Duration = Duration::from_secs(2);
/// Maximum time for which two engines may work on the same run.
const MAX_OVERLAP: Duration = Duration::from_millis(400);
/// Time after which the run has a backup.
const BACKUP_TIME: Duration = Duration::from_millis(1_200);
/// Time for which a run is watched at a leaving engine, and within which a new engine is known.
const STAY_TIME: Duration = Duration::from_millis(500);

/// Engines that do not stop a run when its connection closes, each behind a proxy.
struct Scene {
    /// The platform with its gateway.
    platform: Platform,
    /// Proxies of the engines, in their order.
    proxies: Vec<Proxy>,
    /// Deadline of the stream in milliseconds.
    deadline_ms: u64,
    /// When the disturbance of the stream was complete.
    disturbed_at: Option<Instant>,
}

impl Scene {
    /// Starts two engines and a gateway.
    async fn start() -> Self {
        let mut scene = Self::start_one().await;
        scene.add_engine("engine-1").await;
        tokio::time::sleep(STAY_TIME).await;
        scene
    }

    /// Starts one engine, so that runs have no backup, and a gateway.
    async fn start_one() -> Self {
        let mut scene = Self {
            platform: Platform::start(0, 0).await,
            proxies: Vec::new(),
            deadline_ms: DEADLINE_MS,
            disturbed_at: None,
        };
        let mut config = platform::config(2);
        config["routes"][0]["timeout_ms"] = SILENT_DEADLINE_MS.into();
        scene.platform.store.put("op/config", &config).await;
        scene.add_engine("engine-0").await;
        scene.platform.start_gateway().await;
        scene
    }

    /// Starts an engine.
    async fn add_engine(&mut self, name: &str) {
        let proxy = Proxy::start().await.expect("the proxy starts");
        let runs = &self.platform.runs;
        let engine = PlatformEngine::start_behind(&proxy, name, EVENT_INTERVAL, runs).await;
        let engine = engine.expect("the engine starts");
        engine.set_close(Close::Ignored);
        self.platform.engines.push(engine);
        let index = self.platform.engines.len() - 1;
        self.platform.put_entry(index, "model", "ready").await;
        self.proxies.push(proxy);
    }

    /// Plays a stream and calls `disturb` with the index of its engine once the run may have a backup.
    async fn play(
        &mut self,
        disturb: impl AsyncFnOnce(&mut Self, usize),
    ) -> (StatusCode, Option<String>) {
        let answer = tokio::spawn(send(self.platform.gateways[0].requests, self.deadline_ms));
        platform::wait_until("the stream runs", async || {
            !self.platform.ran("/draft/1").await.is_empty()
        })
        .await;
        tokio::time::sleep(BACKUP_TIME).await;
        let name = self.platform.ran("/draft/1").await[0].engine.clone();
        let engines = &self.platform.engines;
        let index = engines.iter().position(|engine| engine.name == name);
        disturb(self, index.expect("a known engine")).await;
        self.disturbed_at = Some(Instant::now());
        answer.await.expect("no panic")
    }

    /// Checks that the run did not continue later than allowed after the disturbance.
    async fn check_pause(&self) {
        let ran = self.platform.ran("/draft/1").await;
        let from = self.disturbed_at.expect("a disturbed stream");
        let pause = ran[1].at.saturating_duration_since(from);
        assert!(pause <= MAX_PAUSE, "the run paused for {pause:?}");
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

/// Sends the request for the stream and returns the answer.
async fn send(address: SocketAddr, deadline_ms: u64) -> (StatusCode, Option<String>) {
    let request = stream_request("/draft/1", USAGE);
    let credential = format!("Bearer {CREDENTIAL}");
    let deadline = deadline_ms.to_string();
    let mut headers = vec![
        ("x-daisyyard-attempt-id", ATTEMPT),
        ("x-daisyyard-deadline-ms", deadline.as_str()),
        ("authorization", credential.as_str()),
    ];
    headers.extend(request.headers.iter().copied());
    let answer = platform::send(address, &request, &headers).await;
    answer.expect("the gateway answers")
}

/// Reports in the store that an engine is leaving.
async fn drain(platform: &Platform, index: usize) {
    let engine = &platform.engines[index];
    let entry = platform_fixture::entry("model", engine.address, "draining");
    let key = format!("servers/{}", engine.name);
    platform.store.writer().put(&key, &entry).await;
}

/// A run with a backup stays at a leaving engine until that one ends, and then continues from the
/// backup.
#[tokio::test]
async fn leaving_engine() {
    let mut scene = Scene::start().await;
    let answer = scene
        .play(async |scene, index| {
            drain(&scene.platform, index).await;
            tokio::time::sleep(STAY_TIME).await;
            assert_eq!(scene.platform.ran("/draft/1").await.len(), 1);
            scene.platform.engines[index].set_close(Close::Stops);
            scene.proxies[index].set_link(Link::Broken);
        })
        .await;
    assert_eq!(answer, (StatusCode::OK, Some(events(EVENT_COUNT))));
    scene.check_one_engine().await;
}

/// A run without a backup is moved from a leaving engine, which stops it before the other one
/// continues it.
#[tokio::test]
async fn moved_run() {
    let mut scene = Scene::start_one().await;
    let answer = scene
        .play(async |scene, index| {
            scene.add_engine("engine-1").await;
            tokio::time::sleep(STAY_TIME).await;
            drain(&scene.platform, index).await;
        })
        .await;
    assert_eq!(answer, (StatusCode::OK, Some(events(EVENT_COUNT))));
    scene.check_one_engine().await;
}

/// A run that a leaving engine does not stop stays there to its end.
#[tokio::test]
async fn unstopped_run() {
    let mut scene = Scene::start_one().await;
    let answer = scene
        .play(async |scene, index| {
            scene.add_engine("engine-1").await;
            tokio::time::sleep(STAY_TIME).await;
            scene.platform.engines[index].set_room(Room::Unavailable);
            drain(&scene.platform, index).await;
        })
        .await;
    assert_eq!(answer, (StatusCode::OK, Some(events(EVENT_COUNT))));
    assert_eq!(scene.platform.ran("/draft/1").await.len(), 1);
}

/// The run of an engine whose connection has gone silent is stopped there before another engine
/// continues it.
#[tokio::test]
async fn silent_connection() {
    let mut scene = Scene::start().await;
    scene.deadline_ms = SILENT_DEADLINE_MS;
    let answer = scene
        .play(async |scene, index| scene.proxies[index].cut_open(Cut::Stalled))
        .await;
    assert_eq!(answer, (StatusCode::OK, Some(events(EVENT_COUNT))));
    scene.check_one_engine().await;
    scene.check_pause().await;
}

/// The run of an engine whose connection has broken is stopped there before another engine
/// continues it.
#[tokio::test]
async fn broken_connection() {
    let mut scene = Scene::start().await;
    let answer = scene
        .play(async |scene, index| scene.proxies[index].cut_open(Cut::Closed))
        .await;
    assert_eq!(answer, (StatusCode::OK, Some(events(EVENT_COUNT))));
    scene.check_one_engine().await;
}

/// An engine that cannot be reached for a moment is told to stop the run as soon as it can be.
#[tokio::test]
async fn unreachable_engine() {
    let mut scene = Scene::start().await;
    let answer = scene
        .play(async |scene, index| {
            scene.proxies[index].cut_open(Cut::Closed);
            scene.proxies[index].set_link(Link::Broken);
            tokio::time::sleep(MAX_OVERLAP / 2).await;
            scene.proxies[index].set_link(Link::Open);
        })
        .await;
    assert_eq!(answer, (StatusCode::OK, Some(events(EVENT_COUNT))));
    scene.check_one_engine().await;
}

/// An engine without room for the last copy keeps the memory of the run it has stopped, and the backup
/// engine continues from its backup.
#[tokio::test]
async fn refused_copy() {
    let mut scene = Scene::start().await;
    let answer = scene
        .play(async |scene, index| {
            scene.platform.engines[index].set_room(Room::Full);
            scene.proxies[index].cut_open(Cut::Closed);
        })
        .await;
    assert_eq!(answer, (StatusCode::OK, Some(events(EVENT_COUNT))));
    scene.check_one_engine().await;
}

/// A run that was stopped, and that no other engine resumes, goes on at its own engine.
#[tokio::test]
async fn kept_run() {
    let mut scene = Scene::start().await;
    scene.deadline_ms = SILENT_DEADLINE_MS;
    let answer = scene
        .play(async |scene, index| {
            scene.platform.engines[index].set_room(Room::Full);
            scene.platform.engines[1 - index].set_mode(Mode::Declining);
            scene.proxies[index].cut_open(Cut::Stalled);
        })
        .await;
    assert_eq!(answer, (StatusCode::OK, Some(events(EVENT_COUNT))));
    let ran = scene.platform.ran("/draft/1").await;
    assert_eq!(ran.len(), 2, "the run continues once");
    assert_eq!(ran[0].engine, ran[1].engine);
    scene.check_pause().await;
}

/// Guards against a run that continues at a third engine although the second one, which received it, may
/// work on it: its answer with status 500 does not say that it has not run the request.
#[tokio::test]
async fn third_engine() {
    let mut scene = Scene::start_one().await;
    let (status, body) = scene
        .play(async |scene, index| {
            for name in ["engine-1", "engine-2"] {
                scene.add_engine(name).await;
            }
            for engine in &scene.platform.engines[1..] {
                engine.set_mode(Mode::Failing);
            }
            tokio::time::sleep(STAY_TIME).await;
            drain(&scene.platform, index).await;
        })
        .await;
    assert_eq!((status, body), (StatusCode::OK, None));
    let ran = scene.platform.ran("/draft/1").await;
    assert_eq!(ran.len(), 2, "the run continues once");
}
