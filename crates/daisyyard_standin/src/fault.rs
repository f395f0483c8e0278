//! Faults that a test makes a stand-in engine show.

use std::time::Duration;

use bytes::Bytes;

/// How an engine misbehaves; a prompt that contains `crash=1` has the effect of `Crash`.
#[derive(Debug, Clone)]
pub enum Fault {
    /// Open streams stay open and carry nothing more; new connections work.
    Silence,
    /// Open streams end early.
    Cut,
    /// Open streams carry these bytes once.
    Garbage(Bytes),
    /// Open streams leave out this many tokens once.
    Skip(u64),
    /// New generations are refused.
    Refuse {
        /// Whether the refusal carries `x-not-run: 1`.
        not_run: bool,
    },
    /// New generations run, and the heads of their answers are late.
    Delay(Duration),
    /// Nothing is answered any more; connections are accepted and stay open.
    Hang,
    /// All connections are cut and no new ones are accepted.
    Crash,
}
