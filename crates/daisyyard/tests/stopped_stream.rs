//! Guards against a stream that its engine has stopped and that the caller takes for complete, because
//! nothing but the end of the connection marks the end of the response.

mod platform;

use std::time::Duration;

use daisyyard_standin::platform_engine::{StopReply, Stopping};
use hyper::StatusCode;
use platform::{Platform, events, stream_request};

/// Number of events of the stream, which takes three seconds.
const EVENT_COUNT: u64 = 150;
/// Token usage of the stream: prompt and output tokens.
const USAGE: &str = "100,600";
/// Time within which a gateway learns of new or changed endpoints.
const LISTING_TIME: Duration = Duration::from_millis(600);

/// Streams a run from an engine that begins to leave and answers the order to stop it in this way, while
/// another engine has room for it; returns the answer that the caller gets. A target that `forgets` has
/// lost its copies when it is asked to continue.
async fn leave(reply: StopReply, forgets: bool) -> (StatusCode, Option<String>) {
    let mut platform = Platform::start(1, 0).await;
    platform.engines[0].set_stopping(Stopping {
        unframed: true,
        reply,
    });
    platform.start_gateway().await;
    let request = stream_request("/draft/1", USAGE);
    let answer = platform.send_through(0, "attempt-1", &request);
    let act = async {
        platform::wait_until("the stream runs", async || {
            !platform.ran("/draft/1").await.is_empty()
        })
        .await;
        let engine = platform.join_engine("engine-1").await;
        tokio::time::sleep(LISTING_TIME).await;
        platform.put_entry(0, "model", "draining").await;
        if forgets {
            platform::wait_until("the run is stopped", async || {
                platform
                    .runs
                    .is_stopped("attempt-1", platform.engines[0].address)
                    .await
            })
            .await;
            platform.runs.forget("attempt-1", engine.address);
        }
        engine
    };
    let (answer, _engine) = tokio::join!(answer, act);
    answer
}

/// A stream whose engine has stopped it and whose answer to the order was lost goes on from the copy
/// that was made before.
#[tokio::test]
async fn lost_reply() {
    let answer = leave(StopReply::Lost, false).await;
    assert_eq!(answer, (StatusCode::OK, Some(events(EVENT_COUNT))));
}

/// The same if the engine has answered with a refusal that names no handle.
#[tokio::test]
async fn blank_reply() {
    let answer = leave(StopReply::Blank, false).await;
    assert_eq!(answer, (StatusCode::OK, Some(events(EVENT_COUNT))));
}

/// A stopped stream that no engine can continue is broken off.
#[tokio::test]
async fn lost_copy() {
    assert_eq!(leave(StopReply::Lost, true).await, (StatusCode::OK, None));
}

/// A stream whose run had come to its end before the order is complete.
#[tokio::test]
async fn ended_run() {
    let answer = leave(StopReply::Missing, false).await;
    assert_eq!(answer, (StatusCode::OK, Some(events(EVENT_COUNT))));
}
