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
    /// A member was found or is live or leaving now.
    MemberChanged = 50,
    /// A member is suspected to have failed.
    MemberSuspected = 51,
    /// A member is gone.
    MemberGone = 52,
    /// A link was not opened because the other end failed the handshake.
    LinkRefused = 53,
    /// A link was closed because the other end was silent or sent an invalid frame.
    LinkBroken = 54,
    /// A new preset document is in force.
    ConfigAdopted = 60,
    /// A preset document was not adopted because it is invalid.
    ConfigRejected = 61,
    /// A call to the configuration service failed.
    StoreUnavailable = 62,
}

impl Event {
    /// Returns the level at which the event is logged.
    fn level(self) -> Level {
        match self {
            Self::NodeStarted | Self::NodeStopped | Self::MemberChanged | Self::ConfigAdopted => {
                Level::Info
            }
            Self::ListUnavailable
            | Self::StreamInterrupted
            | Self::MemberSuspected
            | Self::MemberGone
            | Self::LinkRefused
            | Self::LinkBroken
            | Self::ConfigRejected
            | Self::StoreUnavailable => Level::Warn,
        }
    }
}

/// Logs an event with details.
pub(crate) fn emit(event: Event, details: &str) {
    spdlog::log!(event.level(), "DY{:04} {event:?} {details}", event as u32);
}
