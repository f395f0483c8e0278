//! Guards against streams that forward partial events, or the same event twice, after they resume
//! at another engine.

use assert_matches::assert_matches;
use daisyyard_gateway::sse::{Splitter, TooLong};

/// All events are forwarded unchanged, however the stream is split into chunks.
#[test]
fn any_split() {
    let text = b"id: 1\ndata: a\n\nid: 2\ndata: b\n\n";
    for split in 0..text.len() {
        let mut splitter = Splitter::default();
        let mut passed = splitter.push(&text[..split]).expect("short").to_vec();
        passed.extend(splitter.push(&text[split..]).expect("short"));
        assert_eq!(passed, text, "split at {split}");
        assert_eq!(
            (splitter.last_number(), splitter.event_count()),
            (Some(2), 2)
        );
        assert!(splitter.is_complete());
    }
}

/// After a failover, the partial event is discarded and repeated events are dropped.
#[test]
fn resumes_once() {
    let mut splitter = Splitter::default();
    let passed = splitter
        .push(b"id: 1\ndata: a\n\nid: 2\nda")
        .expect("short");
    assert_eq!(&*passed, b"id: 1\ndata: a\n\n");
    assert!(!splitter.is_complete());
    splitter.discard_partial();
    let rest = b"id: 1\ndata: a\n\nid: 2\ndata: b\n\nid: 3\ndata: c\n\n";
    let passed = splitter.push(rest).expect("short");
    assert_eq!(&*passed, b"id: 2\ndata: b\n\nid: 3\ndata: c\n\n");
}

/// An engine that never ends an event cannot exhaust the memory.
#[test]
fn bounded_event() {
    let mut splitter = Splitter::default();
    let bytes = vec![b'x'; (256 << 10) + 1];
    assert_matches!(splitter.push(&bytes), Err(TooLong));
}

/// An event that arrives in many small parts is not searched from its start with each of them.
#[test]
fn searched_once() {
    let started = std::time::Instant::now();
    let mut splitter = Splitter::default();
    for _ in 0..200_000 {
        assert!(splitter.push(b"x").expect("short").is_empty());
    }
    let event = splitter.push(b"\n\n").expect("short");
    assert_eq!(event.len(), 200_002);
    let elapsed = started.elapsed();
    assert!(elapsed < std::time::Duration::from_secs(5), "{elapsed:?}");
}

/// The events up to the position of a caller that resumes are dropped.
#[test]
fn starts_after_position() {
    let mut splitter = Splitter::starting_after(Some(2));
    let passed = splitter.push(b"id: 2\ndata: b\n\nid: 3\ndata: c\n\n");
    assert_eq!(&*passed.expect("short"), b"id: 3\ndata: c\n\n");
    assert_eq!(splitter.last_number(), Some(3));
}
