//! Streams, which deliver each token to the client once, in order and from one generation only.

use daisyyard_derive::{key, state};

use crate::id::{GenerationId, Offset};

/// Position of a client in the generation that it receives.
#[state]
pub struct Cursor {
    /// Generation that the client receives, once it is known.
    generation: Option<GenerationId>,
    /// Offset of the next token to deliver.
    next: Offset,
    /// Whether any token has been delivered to the client.
    delivered: bool,
}

/// What to do with a token that arrived from an engine.
#[key]
pub enum Step {
    /// Deliver the token to the client.
    Deliver,
    /// Drop the token, which the client has already received.
    Duplicate,
    /// Drop the token and resume the generation from this offset, because tokens are missing.
    Resume(Offset),
    /// Drop the token, which belongs to another generation.
    Foreign,
}

/// What to do when the engine or the link to it is lost.
#[key]
pub enum Action {
    /// Start a new generation, because the client has received nothing.
    Restart,
    /// Resume the same generation from this offset.
    Resume(Offset),
    /// End the stream and report the offset that it reached to the client.
    Interrupt(Offset),
}

/// What to do when an engine reports the end of the generation.
#[key]
pub enum End {
    /// Report the answer as complete to the client.
    Complete,
    /// Resume the generation from this offset, because its last tokens are missing.
    Resume(Offset),
}

impl Cursor {
    /// Creates the cursor of a new request.
    pub fn new() -> Self {
        Self {
            generation: None,
            next: 0,
            delivered: false,
        }
    }

    /// Creates the cursor of a client that reconnects and expects the given offset next.
    pub fn resume(generation: GenerationId, next: Offset) -> Self {
        Self {
            generation: Some(generation),
            next,
            delivered: true,
        }
    }

    /// Binds the cursor to a generation; returns false if tokens of another one were delivered.
    pub fn bind(&mut self, generation: GenerationId) -> bool {
        if self.delivered && self.generation != Some(generation) {
            return false;
        }
        if self.generation != Some(generation) {
            self.next = 0;
        }
        self.generation = Some(generation);
        true
    }

    /// Decides what to do with a token.
    pub fn accept(&mut self, generation: GenerationId, offset: Offset) -> Step {
        if self.generation != Some(generation) {
            return Step::Foreign;
        }
        match offset.cmp(&self.next) {
            std::cmp::Ordering::Less => Step::Duplicate,
            std::cmp::Ordering::Greater => Step::Resume(self.next),
            std::cmp::Ordering::Equal => {
                self.next += 1;
                self.delivered = true;
                Step::Deliver
            }
        }
    }

    /// Resets the cursor after the answer was discarded from its buffer before any of it was sent.
    pub fn reset(&mut self) {
        *self = Self::new();
    }

    /// Decides what to do when the engine ends the generation, which has `total` tokens if the
    /// engine reported their number.
    pub fn finish(&self, total: Option<Offset>) -> End {
        match total {
            Some(total) if self.next < total => End::Resume(self.next),
            _ => End::Complete,
        }
    }

    /// Decides what to do when the link to the engine is lost; `alive` says whether the engine
    /// answers on a fresh connection.
    pub fn link_lost(&self, alive: bool) -> Action {
        if alive && self.generation.is_some() {
            Action::Resume(self.next)
        } else if self.delivered {
            Action::Interrupt(self.next)
        } else {
            Action::Restart
        }
    }

    /// Returns the offset of the next token to deliver.
    pub fn next(&self) -> Offset {
        self.next
    }

    /// Returns the generation that the cursor is bound to.
    pub fn generation(&self) -> Option<GenerationId> {
        self.generation
    }
}

impl Default for Cursor {
    fn default() -> Self {
        Self::new()
    }
}
