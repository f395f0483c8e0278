//! Guards against event streams that are misread when they arrive in parts, and against input that
//! makes the parser panic, buffer without limit or scan the same bytes repeatedly.

use std::time::{Duration, Instant};

use assert_matches::assert_matches;
use daisyyard::sse::{Chunk, Fault, MAX_EVENT_BYTES, Parser};
use proptest::prelude::*;

/// Returns all chunks of a stream that arrives in parts of the given sizes.
fn parse(bytes: &[u8], sizes: &[usize]) -> Result<Vec<Chunk>, Fault> {
    let mut parser = Parser::new();
    let mut chunks = Vec::new();
    let mut rest = bytes;
    let mut sizes = sizes.iter().copied().cycle();
    while !rest.is_empty() {
        let size = sizes.next().unwrap_or(rest.len()).clamp(1, rest.len());
        let (bytes, after) = rest.split_at(size);
        rest = after;
        parser.push(bytes);
        while let Some(chunk) = parser.parse()? {
            chunks.push(chunk);
        }
    }
    Ok(chunks)
}

proptest! {
    /// Tokens are parsed however the stream is split and with both kinds of line end.
    #[test]
    fn ignores_splits(
        texts in proptest::collection::vec(".{0,20}", 0..20),
        sizes in proptest::collection::vec(1_usize..50, 1..10),
        crlf in any::<bool>(),
    ) {
        let end = if crlf { "\r\n" } else { "\n" };
        let mut stream = format!(": comment{end}{end}");
        let mut expected = Vec::new();
        for (offset, text) in (0..).zip(texts) {
            let choice = serde_json::json!({"choices": [{"delta": {"content": text}}]});
            let (offset_text, choice) = (offset.to_string(), choice.to_string());
            stream.extend(["id: ", &offset_text, end, "data: ", &choice, end, end]);
            expected.push(Chunk::Token { offset, text });
        }
        stream.extend(["data: [DONE]", end, end]);
        expected.push(Chunk::Finish);
        prop_assert_eq!(parse(stream.as_bytes(), &sizes), Ok(expected));
    }

    /// Arbitrary bytes give chunks or a fault without a panic.
    #[test]
    fn survives_noise(
        bytes in proptest::collection::vec(any::<u8>(), 0..2000),
        sizes in proptest::collection::vec(1_usize..50, 1..10),
    ) {
        let _ = parse(&bytes, &sizes);
    }

    /// Text that resembles events gives the same result however it is split.
    #[test]
    fn agrees_on_fragments(
        fragments in proptest::collection::vec(
            prop::sample::select(vec![
                "id: 1", "id:", "data: ", "data: {\"choices\":[{\"delta\":{\"content\":\"a\"}}]}",
                "\n", "\n", "\n", "\r\n", "[DONE]", "data: [DONE]", ": x", "event: error",
            ]),
            0..40,
        ),
        sizes in proptest::collection::vec(1_usize..9, 1..10),
    ) {
        let stream = fragments.concat();
        let whole = parse(stream.as_bytes(), &[usize::MAX]);
        prop_assert_eq!(parse(stream.as_bytes(), &sizes), whole);
    }
}

/// An event above the limit is a fault, whether it has one line or many.
#[test]
fn bounds_events() {
    let line = vec![b'x'; MAX_EVENT_BYTES + 1];
    assert_matches!(parse(&line, &[1000]), Err(Fault::Oversized));
    let lines = b"data: x\n".repeat(MAX_EVENT_BYTES / 8 + 1);
    assert_matches!(parse(&lines, &[1000]), Err(Fault::Oversized));
}

/// Each byte of a large event that arrives byte by byte is scanned once. Scanning the whole buffer
/// for each byte would take 2 * 10^9 steps and exceed the time limit.
#[test]
fn scans_once() {
    let mut stream = vec![b' '; MAX_EVENT_BYTES - 100];
    stream.extend_from_slice(b"\n\ndata: [DONE]\n\n");
    let started = Instant::now();
    assert_matches!(parse(&stream, &[1]), Ok(chunks) => assert_eq!(chunks, [Chunk::Finish]));
    assert!(started.elapsed() < Duration::from_secs(1));
}
