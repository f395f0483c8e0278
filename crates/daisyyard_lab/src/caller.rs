//! Callers: what each one received, and whether its targets were met.

use std::time::Duration;

use daisyyard_core::contract::Contract;
use daisyyard_core::id::Offset;
use daisyyard_core::stream::{Cursor, Step};
use daisyyard_derive::token;

use crate::event_queue::Time;

/// Gap between two tokens above which the caller sees a stall.
pub const STALL_THRESHOLD: Duration = Duration::from_millis(250);

/// How a request ended.
#[token]
pub enum Outcome {
    /// The caller has the whole answer.
    Completed,
    /// The request was refused and not run.
    Refused,
    /// The answer ended early.
    Interrupted,
}

/// A caller that waits for one request.
#[derive(Debug)]
pub struct Caller {
    /// Position in the generation.
    pub cursor: Cursor,
    /// When the node sent the request to an engine.
    pub sent_at: Option<Time>,
    /// When the first token arrived.
    pub first_token_at: Option<Time>,
    /// When the last token arrived.
    pub last_token_at: Time,
    /// Sum of the gaps between tokens.
    pub total_gap: Duration,
    /// Tokens received.
    pub received_tokens: u64,
    /// Tokens received while requests still arrived.
    pub tokens_during_arrivals: u64,
    /// Sum of the time that gaps above [`STALL`] took beyond the token-gap target.
    pub stall_time: Duration,
    /// Tokens that reached the caller twice.
    pub duplicate_tokens: u64,
    /// Tokens that were missing at the end.
    pub missing_tokens: u64,
    /// Tokens that arrived out of order at the caller.
    pub reordered_tokens: u64,
    /// Offset that the caller should receive next.
    next_offset: Offset,
    /// Whether the connection to the engine is down.
    pub disconnected: bool,
    /// How the request ended.
    pub outcome: Option<Outcome>,
}

impl Caller {
    /// Creates a caller whose request has just arrived.
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

    /// Takes a token through the node's cursor; returns the gap since the token before.
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

    /// Returns whether the request met its first-token target and its mean token gap the
    /// token-gap target.
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
