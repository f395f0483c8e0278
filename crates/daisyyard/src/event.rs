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
    /// A connection was silent, but its engine answers on a fresh one.
    LinkSilent = 21,
    /// An engine sent bytes that cannot be used.
    StreamMalformed = 22,
    /// An engine skipped tokens of a stream.
    StreamGap = 23,
    /// A caller did not read its stream in time.
    CallerSlow = 24,
    /// An endpoint receives no new work for a while.
    EndpointEjected = 25,
    /// A request was in progress when an endpoint crashed.
    SuspectRecorded = 26,
    /// The node was told to stop and finishes its requests.
    NodeLeaving = 27,
}

impl Event {
    /// Returns the level at which the event is logged.
    fn level(self) -> Level {
        match self {
            Self::NodeStarted | Self::NodeStopped | Self::NodeLeaving => Level::Info,
            Self::ListUnavailable
            | Self::StreamInterrupted
            | Self::LinkSilent
            | Self::StreamMalformed
            | Self::StreamGap
            | Self::CallerSlow
            | Self::EndpointEjected
            | Self::SuspectRecorded => Level::Warn,
        }
    }
}

/// Logs an event with details.
pub(crate) fn emit(event: Event, details: &str) {
    spdlog::log!(event.level(), "DY{:04} {event:?} {details}", event as u32);
}
