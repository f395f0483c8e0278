//! Faults that tests inject into a stand-in engine.

use std::time::Duration;

use bytes::Bytes;

/// A fault of an engine. A prompt that contains `crash=1` triggers `Crash`.
#[derive(Debug, Clone)]
pub enum Fault {
    /// Open streams stay open but carry no more events; new requests work.
    Silence,
    /// Open streams end before all tokens have been sent.
    Disconnect,
    /// These bytes are sent once on each open stream.
    Garbage(Bytes),
    /// Each open stream skips this number of tokens once.
    Skip(u64),
    /// Requests for new generations are refused.
    Refuse {
        /// Whether the refusal carries `x-not-run: 1`.
        not_run: bool,
    },
    /// New generations run, but the heads of their responses are delayed.
    Delay(Duration),
    /// No request is answered any more; connections are accepted and stay open.
    Hang,
    /// All connections are closed and new ones are refused.
    Crash,
}
