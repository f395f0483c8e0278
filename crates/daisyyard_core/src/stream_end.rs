//! Whether the end of a stream shows that its run came to its end.
//!
//! A response without a length or chunks ends with its connection. An engine that is told to stop a run
//! closes the stream in the same way, without the end of the run. Such an end therefore proves nothing once
//! an order to stop the run may have had an effect.

use daisyyard_derive::key;

/// How the end of a response is marked.
#[key]
pub enum Framing {
    /// By a length or the last chunk, so that an early end is an error.
    Explicit,
    /// By the end of the connection.
    Connection,
}

/// What became of an order to stop a run.
#[key]
pub enum Reply {
    /// It has no effect: it was not sent, or the engine did not execute the run or rejected the order.
    Void,
    /// The engine has stopped the run, or may have, as its answer does not say.
    Effective,
    /// The answer was lost. The engine may have got the order, or may get it later.
    Lost,
}

/// What the orders to stop a run may have done.
#[key]
pub enum Effect {
    /// Nothing.
    None,
    /// One of them is not answered yet, and none of the others had an effect.
    Open,
    /// They may have stopped the run.
    Possible,
}

/// Orders to stop one run at its engine.
#[derive(Debug, Clone, Copy, Default)]
pub struct Orders {
    /// Number of orders that are not answered yet.
    open: u32,
    /// Whether an answered one may have stopped the run.
    may_have_stopped: bool,
    /// Whether the answer to one was lost.
    lost: bool,
}

/// What follows the end of a stream.
#[key]
pub enum Verdict {
    /// The run came to its end.
    Complete,
    /// The stream broke off.
    Cut,
    /// The answer to an order is needed first.
    Await,
    /// The run may have been stopped, so that what follows in the stream may be missing.
    Stopped,
}

/// A stream that has ended without an error.
#[key]
pub struct Ending {
    /// How the end of the response is marked.
    pub framing: Framing,
    /// Whether the stream has events, and ends after a complete one.
    pub whole: bool,
    /// What the orders to stop the run may have done.
    pub effect: Effect,
}

impl Orders {
    /// Records that an order is about to be sent.
    pub fn send(&mut self) {
        self.open += 1;
    }

    /// Records what became of an order that was sent.
    pub fn settle(&mut self, reply: Reply) {
        self.open = self.open.saturating_sub(1);
        self.may_have_stopped |= reply == Reply::Effective;
        self.lost |= reply == Reply::Lost;
    }

    /// Records that no answers arrive any more. Orders without one may still reach the engine.
    pub fn withdraw(&mut self) {
        self.lost |= self.open > 0;
        self.open = 0;
    }

    /// Records that the run goes on at the engine that was to stop it.
    pub fn resume(&mut self) {
        self.withdraw();
        self.may_have_stopped = false;
    }

    /// Records that another node may have sent orders whose answers are lost.
    pub fn suspect(&mut self) {
        self.lost = true;
    }

    /// Returns what the orders may have done. An order without effect does not undo an earlier one: an
    /// engine no longer executes a run that it was told to stop before.
    pub fn effect(&self) -> Effect {
        match (self.may_have_stopped || self.lost, self.open) {
            (true, _) => Effect::Possible,
            (false, 0) => Effect::None,
            (false, _) => Effect::Open,
        }
    }
}

impl Effect {
    /// Returns the name of the effect for the log.
    pub fn name(self) -> &'static str {
        match self {
            Self::None => "none",
            Self::Open => "open",
            Self::Possible => "possible",
        }
    }
}

impl Ending {
    /// Returns what follows the end of the stream.
    pub fn judge(self) -> Verdict {
        match (self.framing, self.effect) {
            _ if !self.whole => Verdict::Cut,
            (Framing::Explicit, _) | (Framing::Connection, Effect::None) => Verdict::Complete,
            (Framing::Connection, Effect::Open) => Verdict::Await,
            (Framing::Connection, Effect::Possible) => Verdict::Stopped,
        }
    }
}

impl Verdict {
    /// Returns the name of the verdict for logs and metrics.
    pub fn name(self) -> &'static str {
        match self {
            Self::Complete => "complete",
            Self::Cut => "cut",
            Self::Await => "await",
            Self::Stopped => "stopped",
        }
    }
}
