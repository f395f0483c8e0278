//! Checks the answers that callers of the embedded fleet received against its guarantees.

use std::collections::BTreeSet;
use std::net::SocketAddr;

use daisyyard_standin::engine;

use crate::caller::{Answer, End, Token};

/// Counts of received tokens and of the faults among them.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Counts {
    /// Tokens received, faulty ones included.
    pub tokens: u64,
    /// Tokens whose offset was received before.
    pub duplicates: u64,
    /// Tokens whose offset was skipped and never received.
    pub missing: u64,
    /// Tokens received after one with a higher offset.
    pub reordered: u64,
    /// Tokens that belong to another generation or whose text does not match the prompt.
    pub foreign: u64,
}

impl Counts {
    /// Compares tokens with those that the stand-in engine generates for a prompt.
    pub fn of(tokens: &[Token], prompt: &str) -> Self {
        let mut counts = Self::default();
        let mut seen = BTreeSet::new();
        let mut expected = 0;
        for token in tokens {
            counts.tokens += 1;
            let foreign = token.generation != tokens[0].generation
                || token.text != engine::token(prompt, token.offset);
            if foreign {
                counts.foreign += 1;
            } else if !seen.insert(token.offset) {
                counts.duplicates += 1;
            } else if token.offset < expected {
                // The token was counted as missing when a later one arrived.
                counts.missing -= 1;
                counts.reordered += 1;
            } else {
                counts.missing += token.offset - expected;
                expected = token.offset + 1;
            }
        }
        counts
    }

    /// Returns whether the tokens are a prefix of the expected answer, in order.
    pub fn is_clean(&self) -> bool {
        self.duplicates + self.missing + self.reordered + self.foreign == 0
    }
}

/// Returns all violations in a streamed answer. A lost connection is a violation unless its node
/// is in `killed`, the nodes that were terminated without a drain.
pub fn stream_violations(answer: &Answer, prompt: &str, killed: &[SocketAddr]) -> Vec<String> {
    let counts = Counts::of(&answer.tokens, prompt);
    let generation = answer
        .tokens
        .first()
        .map_or("none", |token| token.generation.as_str());
    let context = format!(
        "prompt={prompt:?} generation={generation} tokens={}",
        counts.tokens
    );
    let mut violations = Vec::new();
    if !counts.is_clean() {
        violations.push(format!("tokens: {counts:?} {context}"));
    }
    for node in answer
        .lost_connections
        .iter()
        .filter(|node| !killed.contains(node))
    {
        violations.push(format!(
            "disconnect: lost the connection to node={node}, which was not killed {context}"
        ));
    }
    match &answer.end {
        End::Complete if counts.tokens != engine::output_tokens(prompt) => {
            violations.push(format!(
                "missing: the answer was reported complete {context}"
            ));
        }
        End::Refused(error)
            if error["next_offset"].as_u64().unwrap_or(counts.tokens) != counts.tokens =>
        {
            violations.push(format!(
                "end: next_offset does not match the tokens received error={error} {context}"
            ));
        }
        End::Refused(error) if error["outcome"] == "not_run" && counts.tokens > 0 => {
            violations.push(format!(
                "not_run: reported after tokens were received error={error} {context}"
            ));
        }
        End::Complete | End::Refused(_) => {}
        end => violations.push(format!("end: {end:?} {context}")),
    }
    violations
}
