//! Specification of a token stream from engines to one caller.
//!
//! The node runs the production [`Cursor`]; the engines, their links and the caller are modelled.

use std::collections::BTreeSet;

use daisyyard_core::stream::{Action, Cursor, Step};
use daisyyard_derive::state;

use crate::check::{Outcome, explore};

/// Length of each generation.
const GENERATION_TOKENS: u64 = 4;
/// Tokens in transit at the same time.
const MAX_TOKENS_IN_FLIGHT: usize = 3;
/// Lost tokens, duplicated tokens and broken links in one history.
const MAX_FAULTS: u8 = 3;
/// Engine crashes in one history; each generation has its own engine.
const MAX_CRASHES: u8 = 1;

/// The correct protocol and the faults that the checker must detect.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Variant {
    /// The protocol without a fault.
    Correct,
    /// The node delivers tokens again that it has delivered before.
    Redeliver,
    /// The node delivers tokens after a gap.
    SkipGap,
    /// The node delivers tokens of another generation.
    DeliverForeign,
    /// The node continues an interrupted generation with the tokens of another.
    Splice,
}

/// State of the caller, the node, two engines and the links between them.
#[state]
struct State {
    /// Position of the caller in its generation.
    cursor: Cursor,
    /// Generation that the node reads: 1 or 2.
    generation: u64,
    /// Offset that each engine sends next, or `None` after a crash.
    next_offsets: [Option<u64>; 2],
    /// Tokens in transit as generation and offset. They arrive in any order, also after their link
    /// broke.
    in_flight: BTreeSet<(u64, u64)>,
    /// Tokens that the caller received, as generation and offset.
    delivered: Vec<(u64, u64)>,
    /// Faults so far.
    faults: u8,
    /// Crashes so far.
    crashes: u8,
    /// Whether the stream ended before its generation was complete.
    interrupted: bool,
}

impl State {
    /// Returns the initial state: the caller is bound to generation 1.
    fn start() -> Self {
        let mut cursor = Cursor::new();
        cursor.bind(1);
        Self {
            cursor,
            generation: 1,
            next_offsets: [Some(0), Some(0)],
            in_flight: BTreeSet::new(),
            delivered: Vec::new(),
            faults: 0,
            crashes: 0,
            interrupted: false,
        }
    }

    /// Returns the offset that the engine of the current generation sends next.
    fn next_offset(&mut self) -> &mut Option<u64> {
        &mut self.next_offsets[self.generation as usize - 1]
    }

    /// Returns all states that one step leads to.
    fn successors(&self, variant: Variant) -> Vec<Self> {
        let mut successors = Vec::new();
        if self.interrupted {
            return successors;
        }
        let next_offset = self.next_offsets[self.generation as usize - 1];
        if let Some(offset) = next_offset.filter(|offset| *offset < GENERATION_TOKENS)
            && self.in_flight.len() < MAX_TOKENS_IN_FLIGHT
        {
            let mut sent = self.clone();
            sent.in_flight.insert((self.generation, offset));
            *sent.next_offset() = Some(offset + 1);
            successors.push(sent);
        }
        for token in &self.in_flight {
            let mut arrived = self.clone();
            arrived.in_flight.remove(token);
            let mut duplicated = self.clone();
            duplicated.faults += 1;
            arrived.accept(*token, variant);
            duplicated.accept(*token, variant);
            successors.push(arrived);
            if self.faults < MAX_FAULTS {
                successors.push(duplicated);
                let mut lost = self.clone();
                lost.in_flight.remove(token);
                lost.faults += 1;
                successors.push(lost);
            }
        }
        if self.faults < MAX_FAULTS {
            let mut broken = self.clone();
            broken.faults += 1;
            broken.link_lost(variant);
            successors.push(broken);
        }
        if self.crashes < MAX_CRASHES && next_offset.is_some() {
            let mut crashed = self.clone();
            crashed.crashes += 1;
            *crashed.next_offset() = None;
            crashed.link_lost(variant);
            successors.push(crashed);
        }
        successors
    }

    /// Handles the arrival of a token at the node.
    fn accept(&mut self, (generation, offset): (u64, u64), variant: Variant) {
        match self.cursor.accept(generation, offset) {
            Step::Deliver => self.delivered.push((generation, offset)),
            Step::Duplicate if variant == Variant::Redeliver => {
                self.delivered.push((generation, offset));
            }
            Step::Foreign if variant == Variant::DeliverForeign => {
                self.delivered.push((generation, offset));
            }
            Step::Resume(_) if variant == Variant::SkipGap => {
                self.cursor = Cursor::resume(generation, offset + 1);
                self.delivered.push((generation, offset));
            }
            Step::Resume(from) => {
                if let Some(next_offset) = self.next_offset() {
                    *next_offset = from;
                }
            }
            Step::Duplicate | Step::Foreign => {}
        }
    }

    /// Handles the loss of the link to the engine.
    fn link_lost(&mut self, variant: Variant) {
        let alive = self.next_offset().is_some();
        match self.cursor.link_lost(alive) {
            Action::Resume(from) => *self.next_offset() = Some(from),
            Action::Interrupt(from) if variant == Variant::Splice && self.generation == 1 => {
                self.generation = 2;
                self.cursor = Cursor::resume(2, from);
                *self.next_offset() = Some(from);
            }
            Action::Restart if self.generation == 1 => {
                self.generation = 2;
                self.interrupted = !self.cursor.bind(2);
            }
            Action::Restart | Action::Interrupt(_) => self.interrupted = true,
        }
    }

    /// Returns whether a token was delivered twice, out of order or from another generation.
    fn violates(&self) -> bool {
        let first = self.delivered.first().map(|(generation, _)| *generation);
        let mut delivered = self.delivered.iter().enumerate();
        delivered.any(|(index, token)| Some(token.0) != first || token.1 != index as u64)
    }
}

/// Checks the invariant on the correct protocol and on its broken variants.
pub(crate) fn outcomes() -> Vec<Outcome> {
    let check = |variant| {
        explore(
            State::start(),
            |state| state.successors(variant),
            State::violates,
        )
    };
    vec![Outcome {
        protocol: "stream",
        invariant: "P1 each token once, in order, from one generation",
        bounds: "2 engines, 4 tokens, 3 in flight in any order, 3 lost, duplicated or link breaks, \
                 1 engine crash",
        exploration: check(Variant::Correct),
        broken: vec![
            ("repeats tokens after a resume", check(Variant::Redeliver)),
            ("skips a gap", check(Variant::SkipGap)),
            (
                "takes tokens of an old generation",
                check(Variant::DeliverForeign),
            ),
            ("splices two generations", check(Variant::Splice)),
        ],
    }]
}
