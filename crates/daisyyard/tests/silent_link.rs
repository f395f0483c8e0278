//! Guards against streams that hang or lose tokens when an open connection stops carrying data.

mod fleet;

use assert_matches::assert_matches;
use daisyyard_standin::engine;
use daisyyard_standin::fault::Fault;
use fleet::{Event, Fleet};
use hyper::StatusCode;

/// A stream whose connection stops carrying data twice is resumed, and each token arrives once.
#[tokio::test]
async fn resumes_stream() {
    let fleet = Fleet::start(1, 1, fleet::timing()).await;
    let prompt = "a customs declaration length=60";
    let mut caller = fleet.stream(0, prompt).await;
    let (mut text, _) = caller.read_tokens(3).await;
    fleet.fault(&Fault::Silence);
    text += &caller.read_tokens(20).await.0;
    fleet.fault(&Fault::Silence);
    let (rest, offsets, last) = caller.read_to_end().await;
    assert_eq!(text + &rest, engine::text(prompt));
    assert_eq!(offsets, (23..60).collect::<Vec<u64>>());
    assert_matches!(last, Event::Done);
}

/// When an engine no longer answers on any connection, a started stream ends with an error that
/// states the next offset.
#[tokio::test]
async fn interrupts_hung_engine() {
    let fleet = Fleet::start(2, 1, fleet::timing()).await;
    let mut caller = fleet.stream(0, "a long declaration length=5000").await;
    caller.read_tokens(3).await;
    fleet.busy_engine().await.inject(Fault::Hang);
    let (_, offsets, last) = caller.read_to_end().await;
    let reached = offsets.last().map_or(3, |last| last + 1);
    assert_matches!(last, Event::Error(error) => {
        assert_eq!(error["code"], "interrupted");
        assert_eq!(error["outcome"], "unknown");
        assert_eq!(error["next_offset"], reached);
    });
}

/// An answer that the node buffers is generated again on another engine.
#[tokio::test]
async fn restarts_buffered() {
    let fleet = Fleet::start(2, 1, fleet::timing()).await;
    let prompt = "is this certificate valid? length=100";
    let fault = async { fleet.busy_engine().await.inject(Fault::Hang) };
    let ((status, answer), ()) = tokio::join!(fleet.request(0, prompt), fault);
    assert_eq!(status, StatusCode::OK);
    assert_eq!(fleet::text(&answer), engine::text(prompt));
}
