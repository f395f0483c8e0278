//! Guards against streams that end with the links of their gateway to the engines, although another
//! gateway reaches the engines.

mod platform;

use std::time::Duration;

use daisyyard_standin::platform_engine::Close;
use hyper::StatusCode;
use platform::outlier::Outlier;
use platform::{Platform, events, stream_request};

/// Number of events of the streams, which take three seconds.
const EVENT_COUNT: u64 = 150;
/// Token usage of such a stream: prompt and output tokens.
const USAGE: &str = "100,600";
/// Time after which links are closed.
const CLOSE_TIME: Duration = Duration::from_millis(50);
/// Time after the cut until the other gateway is lost, which continues the stream then.
const LOSS_DELAY: Duration = Duration::from_millis(1_200);
/// Time after which a stream has events and a copy.
const HEAD_START: Duration = Duration::from_millis(600);

/// What becomes of the gateway that reaches the engines.
#[derive(Clone, Copy, PartialEq, Eq)]
enum Other {
    /// It serves.
    Serving,
    /// It is lost some time after the cut.
    LostAfter,
    /// It is lost before the cut.
    LostBefore,
}

/// Starts a stream at a gateway that is then cut off from both engines, while another one reaches them;
/// returns what the caller gets and how many runs were started rather than continued.
async fn cut_off(path: &str, close: Close, other: Other) -> ((StatusCode, Option<String>), usize) {
    let mut platform = Platform::start(2, 1).await;
    for engine in &platform.engines {
        engine.set_close(close);
    }
    platform.start_gateway().await;
    let mut outlier = Outlier::start(&mut platform).await;
    platform::wait_until_listed(&platform.gateways).await;
    let request = stream_request(path, USAGE);
    let mut lost = platform.gateways.remove(0);
    let mut end = || {
        lost.process.kill().expect("the gateway is killed");
        lost.process.wait().expect("the gateway has ended");
    };
    let answer = platform.send_through(outlier.gateway - 1, "stream", &request);
    let cut = async {
        platform::wait_until("the stream runs", async || {
            !platform.ran(path).await.is_empty()
        })
        .await;
        tokio::time::sleep(HEAD_START).await;
        if other == Other::LostBefore {
            end();
        }
        // An engine whose link is still open when the stream breaks would get the continuation.
        let engine = platform.ran(path).await.remove(0).engine;
        let index = platform.engines.iter().position(|it| it.name == engine);
        let own = outlier.links.remove(index.expect("an engine"));
        outlier.links.clear();
        tokio::time::sleep(CLOSE_TIME).await;
        drop(own);
        if other == Other::LostAfter {
            tokio::time::sleep(LOSS_DELAY).await;
            end();
        }
    };
    let (answer, ()) = tokio::join!(answer, cut);
    let mut runs = platform.ran(path).await;
    runs.retain(|run| !run.headers.contains_key("kv-from"));
    (answer, runs.len())
}

/// A run that its engine still executes is moved from there.
#[tokio::test]
async fn moved_run() {
    let expected = ((StatusCode::OK, Some(events(EVENT_COUNT))), 1);
    assert_eq!(
        cut_off("/draft/1", Close::Ignored, Other::Serving).await,
        expected
    );
}

/// A run that has ended with its connection goes on from its backup.
#[tokio::test]
async fn backed_up_run() {
    let expected = ((StatusCode::OK, Some(events(EVENT_COUNT))), 1);
    assert_eq!(
        cut_off("/draft/1", Close::Stops, Other::Serving).await,
        expected
    );
}

/// The same for a stream that may be resumed.
#[tokio::test]
async fn resumable_run() {
    let (answer, _) = cut_off("/check/1", Close::Stops, Other::Serving).await;
    assert_eq!(answer, (StatusCode::OK, Some(events(EVENT_COUNT))));
}

/// A stream whose second gateway is lost as well breaks off; it neither looks complete nor runs again.
#[tokio::test]
async fn lost_twice() {
    let expected = ((StatusCode::OK, None), 1);
    let seen = cut_off("/draft/1", Close::Stops, Other::LostAfter).await;
    assert_eq!(seen, expected);
}

/// The same if no gateway is left at the cut.
#[tokio::test]
async fn nobody_left() {
    let expected = ((StatusCode::OK, None), 1);
    let seen = cut_off("/draft/1", Close::Ignored, Other::LostBefore).await;
    assert_eq!(seen, expected);
}
