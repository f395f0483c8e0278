//! Callers: what each one received, and whether its targets were met.

use std::time::Duration;

use daisyyard_core::contract::Contract;
use daisyyard_core::id::Offset;
use daisyyard_core::stream::{Cursor, Step};
use daisyyard_derive::key;

use crate::agenda::At;

/// Gap between two tokens above which the caller sees a stall.
pub const STALL: Duration = Duration::from_millis(250);

/// How a request ended.
#[key]
pub enum End {
    /// The caller has the whole answer.
    Whole,
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
    pub sent: Option<At>,
    /// When the first token arrived.
    pub first: Option<At>,
    /// When the last token arrived.
    pub last: At,
    /// Sum of the gaps between tokens.
    pub gaps: Duration,
    /// Tokens received.
    pub received: u64,
    /// Tokens received while requests still arrived.
    pub timely: u64,
    /// Sum of the time that gaps above [`STALL`] took beyond the token-gap target.
    pub stalled: Duration,
    /// Tokens that reached the caller twice.
    pub duplicates: u64,
    /// Tokens that were missing at the end.
    pub missing: u64,
    /// Tokens that arrived out of order at the caller.
    pub reordered: u64,
    /// Offset that the caller should receive next.
    expected: Offset,
    /// Whether the connection to the engine is down.
    pub severed: bool,
    /// How the request ended.
    pub end: Option<End>,
}

impl Caller {
    /// Creates a caller whose request has just arrived.
    pub fn new(at: At) -> Self {
        Self {
            cursor: Cursor::new(),
            sent: None,
            first: None,
            last: at,
            gaps: Duration::ZERO,
            received: 0,
            timely: 0,
            stalled: Duration::ZERO,
            duplicates: 0,
            missing: 0,
            reordered: 0,
            expected: 0,
            severed: false,
            end: None,
        }
    }

    /// Takes a token through the node's cursor; returns the gap since the token before.
    pub fn receive(
        &mut self,
        generation: u64,
        offset: Offset,
        at: At,
        contract: &Contract,
    ) -> Option<Duration> {
        match self.cursor.accept(generation, offset) {
            Step::Deliver => {}
            Step::Duplicate | Step::Resume(_) | Step::Foreign => return None,
        }
        self.duplicates += u64::from(offset < self.expected);
        self.reordered += u64::from(offset > self.expected);
        self.expected = offset + 1;
        self.received += 1;
        let gap = at.saturating_sub(self.last);
        self.last = at;
        if self.first.is_none() {
            self.first = Some(at);
            return None;
        }
        self.gaps += gap;
        if gap > STALL {
            self.stalled += gap.saturating_sub(contract.token_gap);
        }
        Some(gap)
    }

    /// Returns whether the request met its first-token target and its mean token gap the
    /// token-gap target.
    pub fn met(&self, arrived: At, contract: &Contract) -> bool {
        let Some(first) = self.first else {
            return false;
        };
        let gaps = self.received.saturating_sub(1).max(1) as u32;
        self.end == Some(End::Whole)
            && first.saturating_sub(arrived) <= contract.first_token
            && self.gaps / gaps <= contract.token_gap
    }
}
