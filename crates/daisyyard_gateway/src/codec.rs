//! What differs between platforms: how messages are written, as plain functions.
//!
//! The gateway decides what to send and what an answer means; an adapter provides the functions
//! that read and write the platform's names.

use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use daisyyard_core::catalog::Catalog;
use daisyyard_core::endpoint::Endpoint;
use daisyyard_core::id::{EndpointId, Revision, Tokens};
use daisyyard_derive::value;
use hyper::header::HeaderMap;
use hyper::{Method, StatusCode};

/// Number of a lease at the platform's store.
pub type LeaseId = u64;

/// What a caller says of its request.
#[derive(Debug, Clone, PartialEq, Eq, Default)]
pub struct Parameters {
    /// Identifier of the caller's attempt; unique over all requests.
    pub attempt: Option<String>,
    /// Credential of the caller.
    pub credential: Option<String>,
    /// Time that the caller will wait.
    pub timeout: Option<Duration>,
    /// Tokens of the prompt.
    pub prompt_tokens: Tokens,
    /// Most tokens that may be generated.
    pub max_output_tokens: Option<Tokens>,
    /// Tokens that the caller expects to be generated.
    pub expected_output_tokens: Option<Tokens>,
}

/// What the gateway tells an endpoint besides what the caller said.
#[derive(Debug, Clone, Default)]
pub struct Directive {
    /// Name of the endpoint that the request is meant for.
    pub endpoint: String,
    /// Name of the client account.
    pub account: Option<String>,
    /// Time that is left.
    pub timeout: Duration,
    /// Engine that receives a copy of the run's memory.
    pub backup: Option<SocketAddr>,
    /// Where the run goes on, if it does.
    pub resume: Option<Resume>,
}

/// A run that goes on at an engine that holds its memory.
#[value]
pub struct Resume {
    /// Engine that holds the memory, or that began the move.
    pub holder: SocketAddr,
    /// Name of the copy at that engine.
    pub handle: String,
    /// Last event that the caller has.
    pub last_event: u64,
}

/// What an endpoint says in the head of an answer.
#[derive(Debug, Clone, PartialEq, Eq, Default)]
pub struct Receipt {
    /// Attempt that the answer belongs to.
    pub attempt: Option<String>,
    /// Whether the answer has the endpoint's signature.
    pub signed: bool,
    /// Whether the endpoint states that it did not run the request.
    pub declined: bool,
}

/// One call of the platform's store or of an engine's own interface.
#[derive(Debug, Clone)]
pub struct Call {
    /// Method.
    pub method: Method,
    /// Path and query.
    pub path: String,
    /// Body, in JSON; empty if there is none.
    pub body: Bytes,
}

/// Something that a key of the store says.
#[derive(Debug)]
pub enum Record {
    /// A configuration version.
    Catalog(Box<Catalog>),
    /// An endpoint, and for how long it is slow after its start.
    Endpoint(Endpoint, Duration),
    /// An endpoint is no longer listed.
    Unlisted(EndpointId),
    /// A gateway: the part of its key that names it, and its entry unless it was removed.
    Gateway(String, Option<Bytes>),
    /// A value that cannot be used: its key and the reason.
    Unusable(String, String),
    /// A key that does not matter.
    Other,
}

/// Changes of the store.
#[derive(Debug, Default)]
pub struct Batch {
    /// What the keys say now.
    pub records: Vec<Record>,
    /// Revision up to which the changes are complete.
    pub revision: Revision,
    /// Key after which the next page begins, if there is one.
    pub next_key: Option<String>,
}

/// A key of the store that belongs to the gateways.
#[value]
pub struct Entry {
    /// Part of the key that names the gateway.
    pub name: String,
    /// Value.
    pub value: Bytes,
    /// Lease that the key ends with.
    pub lease: LeaseId,
}

/// A run whose memory was copied to another engine.
#[value]
pub struct Replica {
    /// Name of the copy.
    pub handle: String,
}

/// Where a caller stands.
#[value]
pub struct Location {
    /// Name of the caller's zone.
    pub zone: String,
}

/// The store's calls.
#[derive(Debug, Clone, Copy)]
pub struct Store {
    /// Reads all keys, beginning after one.
    pub list: fn(after: Option<&str>) -> Call,
    /// Waits for changes after a revision.
    pub watch: fn(after: Revision, wait: Duration) -> Call,
    /// Reads the answer of `list` or `watch`.
    pub read_batch: fn(&[u8]) -> anyhow::Result<Batch>,
    /// Creates a lease.
    pub grant_lease: fn(lifetime: Duration) -> Call,
    /// Reads the answer of `lease`.
    pub read_lease: fn(&[u8]) -> anyhow::Result<LeaseId>,
    /// Renews a lease.
    pub renew_lease: fn(LeaseId) -> Call,
    /// Ends a lease with its keys.
    pub revoke_lease: fn(LeaseId) -> Call,
    /// Writes a key.
    pub put: fn(&Entry) -> Call,
}

/// The engines' own interface.
#[derive(Debug, Clone, Copy)]
pub struct Engine {
    /// Copies the memory of a run to another engine; the last copy ends the run there.
    pub copy_cache: fn(attempt: &str, target: SocketAddr, last: bool) -> Call,
    /// Reads the answer of `copy`.
    pub read_copy: fn(&[u8]) -> anyhow::Result<Replica>,
}

/// All functions that an adapter provides.
#[derive(Debug, Clone, Copy)]
pub struct Codec {
    /// Reads the head of a request.
    pub read_request: fn(&HeaderMap) -> Parameters,
    /// Changes the head of a request into that which an endpoint receives.
    pub write_request: fn(&mut HeaderMap, &Directive),
    /// Reads the head of an answer.
    pub read_response: fn(StatusCode, &HeaderMap) -> Receipt,
    /// Path on which the platform asks whether the gateway is ready.
    pub readiness_path: &'static str,
    /// Path on which callers ask for addresses.
    pub directory_path: &'static str,
    /// Reads the query of a caller that asks for addresses.
    pub read_location: fn(query: &str) -> Location,
    /// Writes the addresses that a caller may use, and for how long.
    pub write_addresses: fn(&[SocketAddr], Duration) -> Bytes,
    /// The store's calls.
    pub store: Store,
    /// The engines' own interface.
    pub engine: Engine,
}
