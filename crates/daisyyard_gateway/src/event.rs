//! Numbered log events of the gateway; `docs/log-events.md` is their catalogue.

use spdlog::Level;

/// An event that is logged, with a number that never changes its meaning.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Event {
    /// The gateway accepts requests.
    GatewayStarted = 100,
    /// The gateway was told to stop.
    GatewayLeaving = 101,
    /// The gateway has ended.
    GatewayStopped = 102,
    /// The settings were read again.
    SettingsReloaded = 103,
    /// The settings could not be read again; the old ones stay in force.
    SettingsRejected = 104,
    /// Log lines were dropped.
    LinesDropped = 105,
    /// The store does not answer.
    StoreLost = 110,
    /// The store answers again.
    StoreRegained = 111,
    /// The history of the store was lost and all keys were read anew.
    StoreReread = 112,
    /// A value of the store cannot be used.
    ValueUnusable = 113,
    /// A configuration version is in force.
    CatalogAdopted = 114,
    /// The gateway is registered in the store.
    Registered = 115,
    /// An endpoint was listed or changed.
    EndpointListed = 120,
    /// An endpoint receives no new requests.
    EndpointLeaving = 121,
    /// An endpoint is gone.
    EndpointGone = 122,
    /// A request was refused before it was sent.
    RequestRefused = 130,
    /// A request was sent to an endpoint.
    RequestSent = 131,
    /// A request will be sent once more.
    RequestRepeated = 132,
    /// A request has ended.
    RequestEnded = 133,
    /// A run goes on at another engine.
    RunMoved = 134,
    /// A run cannot go on.
    RunLost = 135,
    /// The memory of a run could not be copied.
    CopyFailed = 136,
    /// The memory of a run is being copied, because its engine leaves.
    CopyStarted = 137,
}

/// Level of each event.
const LEVELS: &[(Event, Level)] = &[
    (Event::GatewayStarted, Level::Info),
    (Event::GatewayLeaving, Level::Info),
    (Event::GatewayStopped, Level::Info),
    (Event::SettingsReloaded, Level::Info),
    (Event::SettingsRejected, Level::Error),
    (Event::LinesDropped, Level::Warn),
    (Event::StoreLost, Level::Warn),
    (Event::StoreRegained, Level::Info),
    (Event::StoreReread, Level::Info),
    (Event::ValueUnusable, Level::Warn),
    (Event::CatalogAdopted, Level::Info),
    (Event::Registered, Level::Info),
    (Event::EndpointListed, Level::Info),
    (Event::EndpointLeaving, Level::Info),
    (Event::EndpointGone, Level::Info),
    (Event::RequestRefused, Level::Warn),
    (Event::RequestSent, Level::Info),
    (Event::RequestRepeated, Level::Warn),
    (Event::RequestEnded, Level::Info),
    (Event::RunMoved, Level::Info),
    (Event::RunLost, Level::Warn),
    (Event::CopyFailed, Level::Warn),
    (Event::CopyStarted, Level::Info),
];

impl Event {
    /// Returns the level at which the event is logged.
    pub(crate) fn level(self) -> Level {
        let found = LEVELS.iter().find(|(event, _)| *event == self);
        found.map_or(Level::Warn, |(_, level)| *level)
    }
}
