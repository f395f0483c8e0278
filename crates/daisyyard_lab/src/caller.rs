//! Simulated callers: what each one received, and whether its targets were met.

use std::time::Duration;

use daisyyard_core::contract::Contract;
use daisyyard_core::id::Offset;
use daisyyard_core::stream::{Cursor, Step};
use daisyyard_derive::key;

use crate::event_queue::Time;

/// Gap between two tokens above which the stream counts as stalled.
pub const STALL_THRESHOLD: Duration = Duration::from_millis(250);

/// Outcome of a request.
#[key]
pub enum Outcome {
    /// The caller received the whole answer.
    Completed,
    /// The request was refused and not run.
    Refused,
    /// The answer ended early.
    Interrupted,
}

/// Caller of one request.
#[derive(Debug)]
pub struct Caller {
    /// Position of the node's stream in the generation.
    pub cursor: Cursor,
    /// Time at which the node last sent the request to an engine.
    pub sent_at: Option<Time>,
    /// Time at which the first token arrived.
    pub first_token_at: Option<Time>,
    /// Time at which the most recent token arrived; the arrival of the request before the first.
    pub last_token_at: Time,
    /// Sum of the gaps between tokens.
    pub total_gap: Duration,
    /// Number of tokens received.
    pub received_tokens: u64,
    /// Number of tokens received while requests still arrived.
    pub tokens_during_arrivals: u64,
    /// Time by which gaps above [`STALL_THRESHOLD`] exceeded the token-gap target, summed.
    pub stall_time: Duration,
    /// Number of tokens that reached the caller twice.
    pub duplicate_tokens: u64,
    /// Number of tokens that were missing at the end.
    pub missing_tokens: u64,
    /// Number of tokens that reached the caller before an earlier one.
    pub reordered_tokens: u64,
    /// Offset of the next token if none is lost, repeated or reordered.
    next_offset: Offset,
    /// Whether the connection between the node and the engine is down.
    pub disconnected: bool,
    /// Outcome, once the request has ended.
    pub outcome: Option<Outcome>,
}

impl Caller {
    /// Creates the caller of a request that arrives at the given time.
    pub fn new(at: Time) -> Self {
        Self {
            cursor: Cursor::new(),
            sent_at: None,
            first_token_at: None,
            last_token_at: at,
            total_gap: Duration::ZERO,
            received_tokens: 0,
            tokens_during_arrivals: 0,
            stall_time: Duration::ZERO,
            duplicate_tokens: 0,
            missing_tokens: 0,
            reordered_tokens: 0,
            next_offset: 0,
            disconnected: false,
            outcome: None,
        }
    }

    /// Receives a token if the node's cursor delivers it, and returns the gap since the previous
    /// token.
    pub fn receive(
        &mut self,
        generation: u64,
        offset: Offset,
        at: Time,
        contract: &Contract,
    ) -> Option<Duration> {
        match self.cursor.accept(generation, offset) {
            Step::Deliver => {}
            Step::Duplicate | Step::Resume(_) | Step::Foreign => return None,
        }
        self.duplicate_tokens += u64::from(offset < self.next_offset);
        self.reordered_tokens += u64::from(offset > self.next_offset);
        self.next_offset = offset + 1;
        self.received_tokens += 1;
        let gap = at.saturating_sub(self.last_token_at);
        self.last_token_at = at;
        if self.first_token_at.is_none() {
            self.first_token_at = Some(at);
            return None;
        }
        self.total_gap += gap;
        if gap > STALL_THRESHOLD {
            self.stall_time += gap.saturating_sub(contract.token_gap);
        }
        Some(gap)
    }

    /// Returns whether the request completed within its first-token target and with a mean token
    /// gap within its token-gap target.
    pub fn met_targets(&self, arrived: Time, contract: &Contract) -> bool {
        let Some(first_token_at) = self.first_token_at else {
            return false;
        };
        let gaps = self.received_tokens.saturating_sub(1).max(1) as u32;
        self.outcome == Some(Outcome::Completed)
            && first_token_at.saturating_sub(arrived) <= contract.first_token
            && self.total_gap / gaps <= contract.token_gap
    }
}
