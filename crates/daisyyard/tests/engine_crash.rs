//! Guards against answers that mix generations, stop without an error or never end when an
//! engine crashes or closes its connections.

mod fleet;

use assert_matches::assert_matches;
use bytes::Bytes;
use daisyyard_standin::engine;
use daisyyard_standin::fault::Fault;
use fleet::{Event, Fleet};
use hyper::StatusCode;

/// When its engine crashes, a started stream ends with an error that states the next offset, and
/// never with tokens of another generation.
#[tokio::test]
async fn interrupts_stream() {
    let fleet = Fleet::start(2, 1, fleet::timing()).await;
    let prompt = "a long declaration length=5000";
    let mut caller = fleet.stream(0, prompt).await;
    let (mut text, _) = caller.read_tokens(3).await;
    fleet.busy_engine().await.inject(Fault::Crash);
    let (rest, offsets, last) = caller.read_to_end().await;
    text += &rest;
    let reached = offsets.last().map_or(3, |last| last + 1);
    assert!(engine::text(prompt).starts_with(&text));
    assert_matches!(last, Event::Error(error) => {
        assert_eq!(error["code"], "interrupted");
        assert_eq!(error["next_offset"], reached);
    });
}

/// A stream of which no token was delivered is restarted on another engine.
#[tokio::test]
async fn restarts_unread() {
    let fleet = Fleet::start(2, 1, fleet::timing()).await;
    let late = Fault::Delay(std::time::Duration::from_millis(300));
    fleet.fault(&late);
    let prompt = "a declaration length=20";
    let fault = async { fleet.busy_engine().await.inject(Fault::Crash) };
    let (mut caller, ()) = tokio::join!(fleet.stream(0, prompt), fault);
    assert_eq!(caller.status, StatusCode::OK);
    let (text, _, last) = caller.read_to_end().await;
    assert_eq!(text, engine::text(prompt));
    assert_matches!(last, Event::Done);
}

/// An answer that is not streamed is restarted even if the node had already received tokens.
#[tokio::test]
async fn restarts_buffered() {
    let fleet = Fleet::start(2, 1, fleet::timing()).await;
    let prompt = "is this certificate valid? length=100";
    let fault = async {
        let engine = fleet.busy_engine().await;
        tokio::time::sleep(std::time::Duration::from_millis(50)).await;
        engine.inject(Fault::Crash);
    };
    let ((status, answer), ()) = tokio::join!(fleet.request(0, prompt), fault);
    assert_eq!(status, StatusCode::OK);
    assert_eq!(fleet::text(&answer), engine::text(prompt));
}

/// Streams that end early, skip tokens or carry garbage are resumed after the last token that the
/// caller received.
#[tokio::test]
async fn repairs_stream() {
    let fleet = Fleet::start(1, 1, fleet::timing()).await;
    let prompt = "a declaration length=120";
    let mut caller = fleet.stream(0, prompt).await;
    let mut text = String::new();
    let faults = [
        Fault::Disconnect,
        Fault::Skip(3),
        Fault::Garbage(Bytes::from_static(b"id: x\ndata: {\n\n")),
        Fault::Garbage(Bytes::from_static(b"data: \xff\xfe\n\n")),
        Fault::Garbage(Bytes::from(vec![b'x'; 100_000])),
    ];
    for fault in faults {
        text += &caller.read_tokens(10).await.0;
        fleet.fault(&fault);
    }
    let (rest, _, last) = caller.read_to_end().await;
    assert_eq!(text + &rest, engine::text(prompt));
    assert_matches!(last, Event::Done);
}
