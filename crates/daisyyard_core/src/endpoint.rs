//! Endpoints: engines that generate tokens, and endpoints of plain services.

use std::net::SocketAddr;
use std::time::{Duration, Instant};

use daisyyard_derive::{key, record, value};

use crate::id::{self, EndpointId, ServiceId, Tokens};
use crate::revision::Revision;
use crate::zone::Zone;

/// An endpoint that requests are sent to.
#[value]
pub struct Endpoint {
    /// Identifier derived from the name.
    pub id: EndpointId,
    /// Name in the instance list.
    pub name: String,
    /// Service that the endpoint offers.
    pub service: ServiceId,
    /// Availability zone of the endpoint.
    pub zone: Zone,
    /// Address at which the endpoint accepts requests.
    pub address: SocketAddr,
    /// Identifies one start of the endpoint; another start knows nothing of the one before.
    pub incarnation: u64,
    /// Revision of the store at which the entry of the endpoint was written; zero if it is not known.
    pub revision: Revision,
    /// Whether the endpoint is an engine or belongs to a plain service.
    pub kind: Kind,
    /// Whether the endpoint may receive new requests.
    pub state: State,
    /// Whether the endpoint rejects orders with an outdated fencing number.
    pub checks_fencing: bool,
    /// Number of requests that the endpoint runs concurrently.
    pub slots: u32,
    /// Tokens of context that fit into the memory of an engine.
    pub memory: Tokens,
}

/// Kind of service that an endpoint offers.
#[key]
pub enum Kind {
    /// Generates tokens.
    Engine,
    /// Answers calls of a plain service.
    Plain,
}

/// Whether an endpoint may receive new requests.
#[key]
pub enum State {
    /// The endpoint receives new requests.
    Live,
    /// The endpoint finishes its requests and receives no new ones.
    Leaving,
    /// The endpoint has stopped.
    Gone,
}

/// A load report of an engine; its values are out of date when it arrives.
#[record]
pub struct Load {
    /// Time at which the engine measured its load.
    pub measured_at: Instant,
    /// Requests in the engine's batch.
    pub running: u32,
    /// Requests in the engine's own queue.
    pub waiting: u32,
    /// Tokens of context in use.
    pub used_tokens: Tokens,
    /// Tokens of context that fit into the memory.
    pub memory: Tokens,
    /// Mean time between two tokens of a running request.
    pub token_gap: Duration,
    /// Number of preemptions since the engine started.
    pub preemptions: u64,
}

impl Endpoint {
    /// Creates a live endpoint with the default capacity.
    pub fn new(name: &str, service: &str, kind: Kind, zone: Zone, address: SocketAddr) -> Self {
        Self {
            id: id::of(name),
            name: name.to_owned(),
            service: id::of(service),
            zone,
            address,
            incarnation: 0,
            revision: Revision::default(),
            kind,
            state: State::Live,
            checks_fencing: false,
            slots: 64,
            memory: 131_072,
        }
    }
}
