//! What requests need of an endpoint, and what nodes have reserved there.

use daisyyard_derive::record;

use crate::id::{ServiceId, Tokens};

/// Share of the expected output that is reserved. The runs of an engine are at different stages,
/// so that they do not need their most at the same time.
const RESERVED_OUTPUT_SHARE: f64 = 0.6;

/// Outputs, in tokens, that are so short that their run frees its memory within a moment, and ends
/// before a copy of it could be of use.
pub const SHORT_OUTPUT_TOKENS: Tokens = 100;

/// What a request needs of an endpoint.
#[record]
pub struct Need {
    /// Service that answers.
    pub service: ServiceId,
    /// Tokens of the prompt.
    pub prompt: Tokens,
    /// Tokens that are expected to be generated.
    pub output: Tokens,
    /// Tokens of context that the memory of an engine of the service holds.
    pub memory: Tokens,
    /// Connections that one endpoint of the service accepts.
    pub connections: u32,
    /// Whether a copy of the run's memory is wanted at another engine.
    pub backup: bool,
}

/// Load of one node at one endpoint.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub struct Load {
    /// Requests in progress.
    pub runs: u32,
    /// Tokens of context that the requests and the copies of others are expected to need.
    pub tokens: Tokens,
    /// Prompt tokens of requests whose first token has not arrived.
    pub prefill: Tokens,
}

impl Need {
    /// Returns whether the request is expected to end within a moment.
    pub(crate) fn is_short(&self) -> bool {
        self.output < SHORT_OUTPUT_TOKENS
    }

    /// Returns the tokens of context that are reserved for the request.
    pub fn tokens(&self) -> Tokens {
        self.prompt + (self.output as f64 * RESERVED_OUTPUT_SHARE) as Tokens
    }
}

impl Load {
    /// Returns the sum of two loads.
    pub(crate) fn plus(self, other: Self) -> Self {
        Self {
            runs: self.runs + other.runs,
            tokens: self.tokens + other.tokens,
            prefill: self.prefill + other.prefill,
        }
    }
}
