//! Checks of what callers of the embedded fleet kept against the promises.

use std::collections::BTreeSet;
use std::net::SocketAddr;

use daisyyard_standin::engine;

use crate::caller::{Answer, End, Token};

/// Faults in the tokens that one caller kept.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Counts {
    /// Tokens that were kept.
    pub tokens: u64,
    /// Tokens that arrived again.
    pub duplicates: u64,
    /// Tokens that were left out.
    pub gaps: u64,
    /// Tokens that arrived after a later one.
    pub reordered: u64,
    /// Tokens of another generation or of another request.
    pub foreign: u64,
}

impl Counts {
    /// Counts the faults in tokens that a prompt should have made.
    pub fn of(tokens: &[Token], prompt: &str) -> Self {
        let mut counts = Self::default();
        let mut seen = BTreeSet::new();
        let mut next = 0;
        for token in tokens {
            counts.tokens += 1;
            let foreign = token.generation != tokens[0].generation
                || token.text != engine::token(prompt, token.offset);
            if foreign {
                counts.foreign += 1;
            } else if !seen.insert(token.offset) {
                counts.duplicates += 1;
            } else if token.offset < next {
                // The token was counted as left out when a later one arrived.
                counts.gaps -= 1;
                counts.reordered += 1;
            } else {
                counts.gaps += token.offset - next;
                next = token.offset + 1;
            }
        }
        counts
    }

    /// Returns whether the tokens are a prefix of the right answer, in order.
    pub fn clean(&self) -> bool {
        self.duplicates + self.gaps + self.reordered + self.foreign == 0
    }
}

/// Returns every violation in a streamed answer; `killed` are nodes that were ended abruptly.
pub fn stream(answer: &Answer, prompt: &str, killed: &[SocketAddr]) -> Vec<String> {
    let counts = Counts::of(&answer.tokens, prompt);
    let generation = answer
        .tokens
        .first()
        .map_or("none", |token| token.generation.as_str());
    let place = format!(
        "prompt={prompt:?} generation={generation} tokens={}",
        counts.tokens
    );
    let mut violations = Vec::new();
    if !counts.clean() {
        violations.push(format!("tokens: {counts:?} {place}"));
    }
    for node in answer.cuts.iter().filter(|node| !killed.contains(node)) {
        violations.push(format!("cut: node={node} was not killed {place}"));
    }
    match &answer.end {
        End::Whole if counts.tokens != engine::output_tokens(prompt) => {
            violations.push(format!("missing: the answer is called whole {place}"));
        }
        End::Refused(error)
            if error["next_offset"].as_u64().unwrap_or(counts.tokens) != counts.tokens =>
        {
            violations.push(format!("end: wrong next_offset error={error} {place}"));
        }
        End::Refused(error) if error["outcome"] == "not_run" && counts.tokens > 0 => {
            violations.push(format!("not_run: told after tokens error={error} {place}"));
        }
        End::Whole | End::Refused(_) => {}
        end => violations.push(format!("end: {end:?} {place}")),
    }
    violations
}
