//! Numbered log events, which `docs/log-events.md` lists.

use anyhow::Context;
use spdlog::formatter::{Formatter, FullFormatter, JsonFormatter};
use spdlog::sink::StdStreamSink;
use spdlog::{LevelFilter, Logger};

use crate::settings::{Format, Level, Log};

/// A log event; its number is stable and is never reused for another event.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Event {
    /// The node accepts requests.
    NodeStarted = 1,
    /// A setting is valid but probably unintended.
    SettingDoubtful = 2,
    /// The node has stopped.
    NodeStopped = 3,
    /// Reading the instance list failed.
    ListUnavailable = 10,
    /// A stream ended before its generation was complete.
    StreamInterrupted = 20,
    /// A partition of the call registry cannot be read or written.
    RegistryUnavailable = 80,
    /// A partition of the call registry can be written again.
    RegistryRestored = 81,
    /// The outcome of a call could not be queued for writing.
    OutcomeDropped = 82,
    /// A connection stalled, but its engine answers on a new connection.
    LinkSilent = 21,
    /// An engine sent bytes that are not a valid event stream.
    StreamMalformed = 22,
    /// An engine skipped tokens of a stream.
    StreamGap = 23,
    /// A caller did not read its stream in time.
    CallerSlow = 24,
    /// An endpoint is excluded from routing for a while.
    EndpointEjected = 25,
    /// A request was in progress when an endpoint crashed.
    SuspectRecorded = 26,
    /// A planned stop began; the node finishes its requests.
    NodeLeaving = 27,
    /// A planned stop ended before all outcomes of calls were written.
    OutcomesUnwritten = 30,
    /// A member was discovered, or became live or leaving.
    MemberChanged = 50,
    /// A member is suspected to have failed.
    MemberSuspected = 51,
    /// A member is gone.
    MemberGone = 52,
    /// A link was not opened because the handshake failed.
    LinkRefused = 53,
    /// A link was closed because the peer was silent or sent an invalid frame.
    LinkBroken = 54,
    /// A new preset document is in force.
    ConfigAdopted = 60,
    /// A preset document was rejected because it is invalid.
    ConfigRejected = 61,
    /// A call to the configuration service failed.
    StoreUnavailable = 62,
}

impl Event {
    /// Returns the severity of the event.
    fn level(self) -> spdlog::Level {
        match self {
            Self::MemberChanged
            | Self::ConfigAdopted
            | Self::NodeStarted
            | Self::NodeStopped
            | Self::RegistryRestored
            | Self::NodeLeaving => spdlog::Level::Info,
            _ => spdlog::Level::Warn,
        }
    }
}

/// Logs an event with details in the form `key=value`.
pub(crate) fn emit(event: Event, details: &str) {
    spdlog::log!(event.level(), "DY{:04} {event:?} {details}", event as u32);
}

/// Sets the level and format of the process's log, which is written to standard error.
pub(crate) fn configure(log: Log) -> anyhow::Result<()> {
    match log.format {
        Format::Text => install(log.level, FullFormatter::new()),
        Format::Json => install(log.level, JsonFormatter::new()),
    }
}

/// Installs a logger to standard error as the default of the process.
fn install<F: Formatter + 'static>(level: Level, formatter: F) -> anyhow::Result<()> {
    let sink = StdStreamSink::builder()
        .stderr()
        .formatter(formatter)
        .build_arc();
    let sink = sink.context("cannot open the standard error stream for the log")?;
    let logger = Logger::builder()
        .sink(sink)
        .level_filter(level_filter(level))
        .build_arc();
    spdlog::set_default_logger(logger.context("cannot build the logger")?);
    Ok(())
}

/// Returns the filter that passes events of a level or a more severe one.
fn level_filter(level: Level) -> LevelFilter {
    LevelFilter::MoreSevereEqual(match level {
        Level::Debug => spdlog::Level::Debug,
        Level::Info => spdlog::Level::Info,
        Level::Warn => spdlog::Level::Warn,
        Level::Error => spdlog::Level::Error,
    })
}
