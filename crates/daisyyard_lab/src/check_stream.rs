//! Specification of a stream from engines to one caller, around the real [`Cursor`].

use std::collections::BTreeSet;

use daisyyard_core::stream::{Cursor, Loss, Step};
use daisyyard_derive::state;

use crate::check::{Row, explore};

/// Tokens of each generation.
const LENGTH: u64 = 4;
/// Tokens that may be in flight at the same time.
const FLIGHT: usize = 3;
/// Tokens that are lost, duplicated, and links that break, in one history.
const FAULTS: u8 = 3;
/// Engines that may crash in one history; each generation has its own engine.
const CRASHES: u8 = 1;

/// Deliberate faults of the protocol.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Variant {
    /// The protocol as it is.
    Whole,
    /// Tokens that were delivered before are delivered again.
    Repeat,
    /// Tokens after a gap are delivered.
    Skip,
    /// Tokens of another generation are delivered.
    Foreign,
    /// A new generation continues what another began.
    Splice,
}

/// State of the caller, the node, two engines and the links between them.
#[state]
struct Stream {
    /// Position of the caller.
    cursor: Cursor,
    /// Generation that the node reads now: 1 or 2.
    generation: u64,
    /// Next offset that each engine sends; `None` after a crash.
    engines: [Option<u64>; 2],
    /// Tokens in flight, in any order; those of old links may still arrive.
    flight: BTreeSet<(u64, u64)>,
    /// Tokens that the caller received.
    delivered: Vec<(u64, u64)>,
    /// Faults so far.
    faults: u8,
    /// Crashes so far.
    crashes: u8,
    /// Whether the stream was ended without being whole.
    interrupted: bool,
}

impl Stream {
    /// Returns the start of a stream.
    fn start() -> Self {
        let mut cursor = Cursor::new();
        cursor.bind(1);
        Self {
            cursor,
            generation: 1,
            engines: [Some(0), Some(0)],
            flight: BTreeSet::new(),
            delivered: Vec::new(),
            faults: 0,
            crashes: 0,
            interrupted: false,
        }
    }

    /// Returns the offset that the engine of the present generation sends next.
    fn engine(&mut self) -> &mut Option<u64> {
        &mut self.engines[self.generation as usize - 1]
    }

    /// Returns all states that one step leads to.
    fn next(&self, variant: Variant) -> Vec<Self> {
        let mut next = Vec::new();
        if self.interrupted {
            return next;
        }
        let engine = self.engines[self.generation as usize - 1];
        if let Some(offset) = engine.filter(|offset| *offset < LENGTH)
            && self.flight.len() < FLIGHT
        {
            let mut sent = self.clone();
            sent.flight.insert((self.generation, offset));
            *sent.engine() = Some(offset + 1);
            next.push(sent);
        }
        for token in &self.flight {
            let mut arrived = self.clone();
            arrived.flight.remove(token);
            let mut duplicated = self.clone();
            duplicated.faults += 1;
            arrived.accept(*token, variant);
            duplicated.accept(*token, variant);
            next.push(arrived);
            if self.faults < FAULTS {
                next.push(duplicated);
                let mut lost = self.clone();
                lost.flight.remove(token);
                lost.faults += 1;
                next.push(lost);
            }
        }
        if self.faults < FAULTS {
            let mut broken = self.clone();
            broken.faults += 1;
            broken.lose(variant);
            next.push(broken);
        }
        if self.crashes < CRASHES && engine.is_some() {
            let mut crashed = self.clone();
            crashed.crashes += 1;
            *crashed.engine() = None;
            crashed.lose(variant);
            next.push(crashed);
        }
        next
    }

    /// The node receives a token.
    fn accept(&mut self, (generation, offset): (u64, u64), variant: Variant) {
        match self.cursor.accept(generation, offset) {
            Step::Deliver => self.delivered.push((generation, offset)),
            Step::Duplicate if variant == Variant::Repeat => {
                self.delivered.push((generation, offset));
            }
            Step::Foreign if variant == Variant::Foreign => {
                self.delivered.push((generation, offset));
            }
            Step::Resume(_) if variant == Variant::Skip => {
                self.cursor = Cursor::resume(generation, offset + 1);
                self.delivered.push((generation, offset));
            }
            Step::Resume(from) => {
                if let Some(engine) = self.engine() {
                    *engine = from;
                }
            }
            Step::Duplicate | Step::Foreign => {}
        }
    }

    /// The link to the engine is lost.
    fn lose(&mut self, variant: Variant) {
        let alive = self.engine().is_some();
        match self.cursor.link_lost(alive) {
            Loss::Resume(from) => *self.engine() = Some(from),
            Loss::Interrupt(from) if variant == Variant::Splice && self.generation == 1 => {
                self.generation = 2;
                self.cursor = Cursor::resume(2, from);
                *self.engine() = Some(from);
            }
            Loss::Restart if self.generation == 1 => {
                self.generation = 2;
                self.interrupted = !self.cursor.bind(2);
            }
            Loss::Restart | Loss::Interrupt(_) => self.interrupted = true,
        }
    }

    /// Returns whether a token was delivered twice, out of order or from another generation.
    fn violates(&self) -> bool {
        let first = self.delivered.first().map(|(generation, _)| *generation);
        let mut delivered = self.delivered.iter().enumerate();
        delivered.any(|(index, token)| Some(token.0) != first || token.1 != index as u64)
    }
}

/// Checks the protocol and its broken variants.
pub(crate) fn rows() -> Vec<Row> {
    let check = |variant| {
        explore(
            Stream::start(),
            |stream| stream.next(variant),
            Stream::violates,
        )
    };
    vec![Row {
        protocol: "stream",
        invariant: "P1 each token once, in order, from one generation",
        bounds: "2 engines, 4 tokens, 3 in flight in any order, 3 lost, duplicated or link breaks, \
                 1 engine crash",
        whole: check(Variant::Whole),
        broken: vec![
            ("repeats tokens after a resume", check(Variant::Repeat)),
            ("skips a gap", check(Variant::Skip)),
            ("takes tokens of an old generation", check(Variant::Foreign)),
            ("splices two generations", check(Variant::Splice)),
        ],
    }]
}
