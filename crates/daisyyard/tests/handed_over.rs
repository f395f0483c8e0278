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
/// Time after which a stream has events and a copy.
const HEAD_START: Duration = Duration::from_millis(600);

/// Starts a stream at a gateway that is then cut off from both engines, while another one reaches them;
/// returns what the caller gets and how many runs were started rather than continued.
async fn cut_off(path: &str, close: Close) -> ((StatusCode, Option<String>), usize) {
    let mut platform = Platform::start(2, 1).await;
    for engine in &platform.engines {
        engine.set_close(close);
    }
    platform.start_gateway().await;
    let mut outlier = Outlier::start(&mut platform).await;
    platform::wait_until_listed(&platform.gateways).await;
    let request = stream_request(path, USAGE);
    let answer = platform.send_through(outlier.gateway, "stream", &request);
    let cut = async {
        platform::wait_until("the stream runs", async || {
            !platform.ran(path).await.is_empty()
        })
        .await;
        tokio::time::sleep(HEAD_START).await;
        outlier.links.clear();
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
    assert_eq!(cut_off("/draft/1", Close::Ignored).await, expected);
}

/// A run that has ended with its connection goes on from its backup.
#[tokio::test]
async fn backed_up_run() {
    let expected = ((StatusCode::OK, Some(events(EVENT_COUNT))), 1);
    assert_eq!(cut_off("/draft/1", Close::Stops).await, expected);
}

/// The same for a stream that may be resumed.
#[tokio::test]
async fn resumable_run() {
    let (answer, _) = cut_off("/check/1", Close::Stops).await;
    assert_eq!(answer, (StatusCode::OK, Some(events(EVENT_COUNT))));
}
