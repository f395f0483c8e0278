//! Numbered log events of the gateway, which `docs/log-events.md` lists.

use spdlog::Level;

/// A log event. The meaning of a number never changes.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Event {
    /// The gateway accepts requests.
    GatewayStarted = 100,
    /// The gateway has begun a graceful shutdown.
    GatewayLeaving = 101,
    /// The gateway has shut down.
    GatewayStopped = 102,
    /// The settings were reloaded.
    SettingsReloaded = 103,
    /// The settings could not be reloaded; the previous ones remain in effect.
    SettingsRejected = 104,
    /// The rate limit of the log dropped lines.
    LinesDropped = 105,
    /// The store stopped answering.
    StoreLost = 110,
    /// The store answers again.
    StoreRegained = 111,
    /// The changes of the store cannot be read, so all keys are read again.
    StoreReread = 112,
    /// A value in the store cannot be decoded.
    ValueUnusable = 113,
    /// A new version of the configuration is in effect.
    CatalogAdopted = 114,
    /// The gateway has registered its entry in the store.
    Registered = 115,
    /// The gateway has another part in reading the store than before.
    StandingChanged = 116,
    /// A read of the store failed.
    StoreReadFailed = 117,
    /// The store has come back from an older copy, and all keys are read again.
    StoreRestored = 118,
    /// Responses of the store lack the era that earlier ones stated, or state an unusable one; the known one
    /// is assumed.
    EraUnusable = 119,
    /// The entry of an endpoint was added or changed.
    EndpointListed = 120,
    /// An endpoint accepts no new requests.
    EndpointLeaving = 121,
    /// The entry of an endpoint was deleted.
    EndpointGone = 122,
    /// A request was refused before it was sent to an endpoint.
    RequestRefused = 130,
    /// A request was sent to an endpoint.
    RequestSent = 131,
    /// A request will be retried.
    RequestRepeated = 132,
    /// A request has ended.
    RequestEnded = 133,
    /// A run resumed at another engine, or failed to.
    RunMoved = 134,
    /// A run failed and could not resume elsewhere.
    RunLost = 135,
    /// The KV cache of a run could not be copied.
    CopyFailed = 136,
    /// The KV cache of a run is being copied because its engine is leaving.
    CopyStarted = 137,
    /// An endpoint closed the connection of a run before its end.
    RunBroken = 138,
    /// Requests with a content are refused from now on, because it crashes endpoints, or no longer.
    ContentRefused = 139,
    /// The store rejected a change of the refusal of a content; it is tried again.
    RefusalUnstored = 140,
    /// An engine was asked to stop a run so that another one can continue it.
    RunHalted = 141,
    /// A response without a length or chunks ended; whether its run came to its end.
    StreamEnded = 142,
    /// Nothing more is sent to the endpoints of an availability zone.
    EvacuationStarted = 150,
    /// Requests are sent to the endpoints of an availability zone again.
    EvacuationEnded = 151,
    /// The evacuation of an availability zone has no effect: the zone has no endpoint that is known,
    /// or too many zones are evacuated.
    EvacuationVoid = 152,
    /// Requests to an endpoint are limited, because it is cold.
    EndpointCold = 160,
    /// Requests to an endpoint are no longer limited.
    EndpointWarm = 161,
    /// A copy of the KV cache of a run that is not used was freed.
    CopyFreed = 180,
    /// The target of a move or the backup engine of a run is given up.
    TargetChanged = 181,
    /// A caller was refused for lack of memory or connections.
    MemoryShort = 170,
    /// There is room for callers again.
    MemoryFree = 171,
    /// Requests are refused because no capacity is expected for them in time, or no longer.
    SheddingChanged = 190,
    /// Requests of the heaviest accounts that were served, late or refused while requests were shed.
    AccountWorkload = 191,
    /// An endpoint turns requests away.
    EndpointClosed = 200,
    /// An endpoint no longer turns requests away.
    EndpointOpened = 201,
    /// An endpoint has stated in an answer that it leaves.
    EndpointStatedLeaving = 202,
    /// An endpoint states a time that is unusable or too long when it turns requests away.
    RetryAfterUnusable = 203,
    /// An endpoint states a rate to which it limits the requests of all gateways together.
    EndpointLimited = 204,
    /// An endpoint no longer states a limit.
    EndpointUnlimited = 205,
    /// An endpoint states a limit that is no number, or that it is brittle without one.
    LimitUnusable = 206,
    /// The gateway is cut off from the endpoints and relays its requests to other gateways.
    EndpointsUnreachable = 210,
    /// The gateway reaches the endpoints again.
    EndpointsReached = 211,
    /// A request was sent to another gateway, because this one is cut off from the endpoints.
    RequestRelayed = 212,
    /// Another gateway did not take or answer a request that was relayed to it.
    RelayFailed = 213,
    /// A run in progress was handed over to another gateway, or was to be.
    RunHandedOver = 214,
    /// This gateway has continued a run for another one, or failed to.
    RunAdopted = 215,
    /// An endpoint falls over if it has to turn more requests away in a second than it states.
    EndpointBrittle = 207,
    /// An endpoint is no longer brittle.
    EndpointSound = 208,
}

/// Log level of each event.
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
    (Event::StandingChanged, Level::Info),
    (Event::StoreReadFailed, Level::Warn),
    (Event::StoreRestored, Level::Warn),
    (Event::EraUnusable, Level::Warn),
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
    (Event::RunBroken, Level::Warn),
    (Event::ContentRefused, Level::Warn),
    (Event::RefusalUnstored, Level::Warn),
    (Event::RunHalted, Level::Info),
    (Event::StreamEnded, Level::Info),
    (Event::EvacuationStarted, Level::Warn),
    (Event::EvacuationEnded, Level::Warn),
    (Event::EvacuationVoid, Level::Warn),
    (Event::EndpointCold, Level::Info),
    (Event::EndpointWarm, Level::Info),
    (Event::CopyFreed, Level::Info),
    (Event::TargetChanged, Level::Info),
    (Event::MemoryShort, Level::Warn),
    (Event::MemoryFree, Level::Info),
    (Event::SheddingChanged, Level::Warn),
    (Event::AccountWorkload, Level::Info),
    (Event::EndpointClosed, Level::Warn),
    (Event::EndpointOpened, Level::Info),
    (Event::EndpointStatedLeaving, Level::Info),
    (Event::RetryAfterUnusable, Level::Warn),
    (Event::EndpointLimited, Level::Warn),
    (Event::EndpointUnlimited, Level::Info),
    (Event::LimitUnusable, Level::Warn),
    (Event::EndpointsUnreachable, Level::Warn),
    (Event::EndpointsReached, Level::Info),
    (Event::RequestRelayed, Level::Info),
    (Event::RelayFailed, Level::Warn),
    (Event::RunHandedOver, Level::Info),
    (Event::RunAdopted, Level::Info),
    (Event::EndpointBrittle, Level::Warn),
    (Event::EndpointSound, Level::Info),
];

impl Event {
    /// Returns the level at which the event is logged.
    pub(crate) fn level(self) -> Level {
        let found = LEVELS.iter().find(|(event, _)| *event == self);
        found.map_or(Level::Warn, |(_, level)| *level)
    }
}
