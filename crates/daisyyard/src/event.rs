//! Numbered log events; `docs/log-events.md` is their catalogue.

use spdlog::Level;

/// An event that is logged, with a number that never changes its meaning.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Event {
    /// The node accepts requests.
    NodeStarted = 1,
    /// The node has ended.
    NodeStopped = 3,
    /// A request to the instance list failed.
    ListUnavailable = 10,
    /// A stream ended before its generation did.
    StreamInterrupted = 20,
    /// A partition of the call registry cannot be read or written.
    RegistryUnavailable = 80,
    /// A partition of the call registry can be written again.
    RegistryRestored = 81,
    /// The outcome of a call could not be kept until it is written.
    OutcomeDropped = 82,
}

impl Event {
    /// Returns the level at which the event is logged.
    fn level(self) -> Level {
        match self {
            Self::NodeStarted | Self::NodeStopped | Self::RegistryRestored => Level::Info,
            Self::ListUnavailable
            | Self::StreamInterrupted
            | Self::RegistryUnavailable
            | Self::OutcomeDropped => Level::Warn,
        }
    }
}

/// Logs an event with details.
pub(crate) fn emit(event: Event, details: &str) {
    spdlog::log!(event.level(), "DY{:04} {event:?} {details}", event as u32);
}
