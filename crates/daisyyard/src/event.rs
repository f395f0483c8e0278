//! Numbered log events; `docs/log-events.md` is their catalogue.

use anyhow::Context;
use spdlog::formatter::{Formatter, FullFormatter, JsonFormatter};
use spdlog::sink::StdStreamSink;
use spdlog::{LevelFilter, Logger};

use crate::settings::{Format, Level, Log};

/// An event that is logged, with a number that never changes its meaning.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Event {
    /// The node accepts requests.
    NodeStarted = 1,
    /// A setting works but is probably not meant.
    SettingDoubtful = 2,
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
    /// A planned stop ended before all outcomes of calls were written.
    OutcomesUnwritten = 30,
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

/// Sets the level and form of the process's log, which goes to the standard error stream.
pub(crate) fn configure(log: Log) -> anyhow::Result<()> {
    match log.format {
        Format::Text => install(log.level, FullFormatter::new()),
        Format::Json => install(log.level, JsonFormatter::new()),
    }
}

/// Installs the logger of the process.
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

/// Returns the filter for a level.
fn level_filter(level: Level) -> LevelFilter {
    LevelFilter::MoreSevereEqual(match level {
        Level::Debug => spdlog::Level::Debug,
        Level::Info => spdlog::Level::Info,
        Level::Warn => spdlog::Level::Warn,
        Level::Error => spdlog::Level::Error,
    })
}
