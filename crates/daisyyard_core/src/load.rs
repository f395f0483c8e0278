//! Demand of a request on an endpoint, and the load that nodes have reserved there.

use std::time::Duration;

use daisyyard_derive::record;

use crate::id::{ServiceId, Tokens};

/// Share of the expected output that is reserved. The generations of an engine are at different
/// stages, so they do not reach their peak memory at the same time.
const RESERVED_OUTPUT_SHARE: f64 = 0.6;

/// Output length below which a generation counts as short: it frees its memory almost at once and
/// ends before a backup copy could be of use.
pub const SHORT_OUTPUT_TOKENS: Tokens = 100;

/// Demand of a request on an endpoint.
#[record]
pub struct Need {
    /// Service that answers.
    pub service: ServiceId,
    /// Prompt length in tokens.
    pub prompt: Tokens,
    /// Expected output length in tokens.
    pub output: Tokens,
    /// Memory of an engine of the service, in tokens of context.
    pub memory: Tokens,
    /// Maximum number of connections to one endpoint of the service.
    pub connections: u32,
    /// Longest pause between two events with which a stream has its full worth, if there is a limit.
    pub target_gap: Option<Duration>,
    /// Whether another engine should hold a backup copy of the generation's memory.
    pub backup: bool,
}

/// Load that one node has placed on one endpoint.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub struct Load {
    /// Number of requests in progress.
    pub runs: u32,
    /// Tokens of context reserved for these requests and for backup copies of others.
    pub tokens: Tokens,
    /// Prompt tokens of the requests that wait for their first token.
    pub prefill: Tokens,
}

impl Need {
    /// Returns whether the expected output is below [`SHORT_OUTPUT_TOKENS`].
    pub(crate) fn is_short(&self) -> bool {
        self.output < SHORT_OUTPUT_TOKENS
    }

    /// Returns the tokens of context to reserve for the request.
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
