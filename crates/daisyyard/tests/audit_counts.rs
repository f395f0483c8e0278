//! Guards against checks of the embedded fleet that miss a fault in the answer that a caller
//! received.

use std::time::Instant;

use daisyyard::audit::{self, Counts};
use daisyyard::caller::{Answer, End, Token};
use daisyyard_standin::engine;

/// Prompt of the answers.
const PROMPT: &str = "a customs declaration length=4";

/// Returns tokens of one generation with these offsets.
fn tokens(offsets: &[u64]) -> Vec<Token> {
    let token = |offset: &u64| Token {
        generation: "g".to_owned(),
        offset: *offset,
        text: engine::token(PROMPT, *offset),
        received_at: Instant::now(),
    };
    offsets.iter().map(token).collect()
}

/// Returns the violations of an answer.
fn violations(tokens: Vec<Token>, end: End) -> Vec<String> {
    let answer = Answer {
        started: Instant::now(),
        tokens,
        lost_connections: Vec::new(),
        end,
    };
    audit::stream_violations(&answer, PROMPT, &[])
}

/// Each kind of fault is counted in its own field.
#[test]
fn counts_each() {
    let count = |offsets: &[u64]| Counts::of(&tokens(offsets), PROMPT);
    assert!(count(&[0, 1, 2, 3]).is_clean());
    assert_eq!(count(&[0, 1, 1, 2]).duplicates, 1);
    assert_eq!(count(&[0, 3]).missing, 2);
    let swapped = count(&[0, 2, 1, 3]);
    assert_eq!((swapped.reordered, swapped.missing), (1, 0));
    let mut foreign = tokens(&[0, 1, 2, 3]);
    foreign[2].generation = "other".to_owned();
    assert_eq!(Counts::of(&foreign, PROMPT).foreign, 1);
    let mut wrong = tokens(&[0, 1, 2, 3]);
    wrong[1].text = "x".to_owned();
    assert_eq!(Counts::of(&wrong, PROMPT).foreign, 1);
}

/// An answer that is incomplete, has no end, or ends with an error for the wrong offset is a
/// violation.
#[test]
fn requires_end() {
    assert!(violations(tokens(&[0, 1, 2, 3]), End::Complete).is_empty());
    assert_eq!(violations(tokens(&[0, 1]), End::Complete).len(), 1);
    assert_eq!(violations(tokens(&[0, 1]), End::Unreachable).len(), 1);
    let refused = |offset: u64| {
        let error = serde_json::json!({"outcome": "unknown", "next_offset": offset});
        violations(tokens(&[0, 1]), End::Refused(error))
    };
    assert!(refused(2).is_empty());
    assert_eq!(refused(1).len(), 1);
}
