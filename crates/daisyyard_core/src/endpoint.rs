//! Endpoints: model engines and endpoints of plain services.

use std::net::SocketAddr;
use std::time::{Duration, Instant};

use daisyyard_derive::{key, record, value};

use crate::id::{self, EndpointId, ServiceId, Tokens};
use crate::zone::Zone;

/// An endpoint that requests are sent to.
#[value]
pub struct Endpoint {
    /// Identifier derived from the name.
    pub id: EndpointId,
    /// Name from the instance list.
    pub name: String,
    /// Service that the endpoint offers.
    pub service: ServiceId,
    /// Availability zone that the endpoint stands in.
    pub zone: Zone,
    /// Address on which the endpoint accepts requests.
    pub address: SocketAddr,
    /// Whether the endpoint is an engine or belongs to a plain service.
    pub kind: Kind,
    /// Whether the endpoint may receive new work.
    pub state: State,
    /// Whether the endpoint refuses orders with an old fencing number.
    pub fencing: bool,
    /// Requests that the endpoint runs at the same time.
    pub slots: u32,
    /// Tokens of context that the engine's memory holds.
    pub memory: Tokens,
}

/// What an endpoint serves.
#[key]
pub enum Kind {
    /// Generates tokens.
    Engine,
    /// Answers plain calls.
    Plain,
}

/// Whether an endpoint may receive new work.
#[key]
pub enum State {
    /// Receives new work.
    Live,
    /// Finishes its work and receives none.
    Leaving,
    /// Has ended.
    Gone,
}

/// A load report of an engine, which is some time old when it arrives.
#[record]
pub struct Load {
    /// When the engine measured the report.
    pub taken: Instant,
    /// Requests in the engine's batch.
    pub running: u32,
    /// Requests in the engine's own queue.
    pub waiting: u32,
    /// Tokens of context in use.
    pub used: Tokens,
    /// Tokens of context that fit.
    pub memory: Tokens,
    /// Mean time between tokens of the running requests.
    pub gap: Duration,
    /// Preemptions since the engine started.
    pub preemptions: u64,
}

impl Endpoint {
    /// Creates a live endpoint with the given capacity.
    pub fn new(name: &str, service: &str, kind: Kind, zone: Zone, address: SocketAddr) -> Self {
        Self {
            id: id::of(name),
            name: name.to_owned(),
            service: id::of(service),
            zone,
            address,
            kind,
            state: State::Live,
            fencing: false,
            slots: 64,
            memory: 131_072,
        }
    }
}
