//! The functions that encode and decode the messages of a platform.
//!
//! The gateway decides what to send and how to react to responses; an adapter provides the
//! functions that translate between the platform's messages and the types of this module.

use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use daisyyard_core::catalog::Catalog;
use daisyyard_core::continuation::{Holder, Standby};
use daisyyard_core::crash::Group;
use daisyyard_core::endpoint::Endpoint;
use daisyyard_core::era::Statement;
use daisyyard_core::evacuation::Order;
use daisyyard_core::id::{EndpointId, Fingerprint, Tokens};
use daisyyard_core::revision::{Era, Revision};
use daisyyard_derive::{key, value};
use hyper::header::HeaderMap;
use hyper::{Method, StatusCode};

/// Identifier of a lease in the platform's store.
pub type LeaseId = u64;

/// Parameters that a caller states in its request headers.
#[derive(Debug, Clone, PartialEq, Eq, Default)]
pub struct Parameters {
    /// Identifier of the caller's attempt; unique across all requests.
    pub attempt: Option<String>,
    /// Credential of the caller.
    pub credential: Option<String>,
    /// Time that the caller is willing to wait.
    pub timeout: Option<Duration>,
    /// Number of prompt tokens.
    pub prompt_tokens: Tokens,
    /// Maximum number of tokens to generate.
    pub max_output_tokens: Option<Tokens>,
    /// Number of generated tokens that the caller expects.
    pub expected_output_tokens: Option<Tokens>,
    /// Where the caller wants a stream to start.
    pub position: Position,
    /// Fingerprints of the parts of the prompt that other requests may share, in their order.
    pub shared_parts: Vec<Fingerprint>,
}

/// Position in a stream, by the numbers of its events.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub enum Position {
    /// The beginning of the stream.
    #[default]
    Start,
    /// After the event with this number.
    After(u64),
    /// The caller states a position that is not a number.
    Malformed,
}

/// What the gateway adds to a request before it forwards it to an endpoint.
#[derive(Debug, Clone, Default)]
pub struct Directive {
    /// Name of the endpoint that the request is meant for.
    pub endpoint: String,
    /// Name of the client account.
    pub account: Option<String>,
    /// Remaining time for the response.
    pub timeout: Duration,
    /// Engine that receives a backup of the run's KV cache.
    pub backup: Option<SocketAddr>,
    /// Copy of the KV cache from which the run resumes.
    pub replica: Option<Replica>,
    /// Number of the last event that the caller received; `None` for a stream from its beginning.
    pub last_event: Option<u64>,
}

/// What a gateway adds to a caller's request that it relays to another gateway.
#[derive(Debug, Clone, PartialEq, Eq, Default)]
pub struct Relayed {
    /// Whether the request counts toward the retry budget at the gateway that relays it.
    pub counted: bool,
    /// Maximum number of endpoints that may run the request; `None` for that of its route.
    pub runs: Option<u32>,
    /// The run to continue, if the request is that of a stream in progress.
    pub handover: Option<Handover>,
}

/// A run that a gateway hands over to another one.
#[value]
pub struct Handover {
    /// Engine that executes the run, or did so last.
    pub source: Holder,
    /// What is known of the copy of the run's memory.
    pub standby: Standby,
    /// Number of the last event that the caller has.
    pub last_event: Option<u64>,
    /// Whether an order to stop the run may have reached the engine, or may reach it later.
    pub stopped: bool,
}

/// A copy of a run's KV cache from which the run can resume.
#[value]
pub struct Replica {
    /// Engine that holds the copy, or that started the move.
    pub holder: SocketAddr,
    /// Handle of the copy at that engine.
    pub handle: String,
}

/// What the headers of an endpoint's response state.
#[derive(Debug, Clone, PartialEq, Eq, Default)]
pub struct Receipt {
    /// Attempt that the response belongs to.
    pub attempt: Option<String>,
    /// Whether the endpoint signed the response.
    pub signed: bool,
    /// Time for which the endpoint states that it is still cold.
    pub cold: Option<Duration>,
    /// Whether the endpoint states that it did not run the request.
    pub declined: bool,
    /// Whether the endpoint states that it leaves.
    pub leaving: bool,
    /// For how long the endpoint turns requests away.
    pub retry_after: RetryAfter,
    /// To which rate the endpoint limits the requests of all gateways together.
    pub limit: Limit,
    /// How many requests the endpoint may have to turn away before it falls over.
    pub brittle: Limit,
}

/// A rate of requests that an endpoint states for all gateways together.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub enum Limit {
    /// It states none.
    #[default]
    Absent,
    /// Requests in 1,000 seconds.
    Rate(u32),
    /// What it states is not a number.
    Unusable,
}

/// The time that an endpoint states when it turns a request away.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub enum RetryAfter {
    /// It states none.
    #[default]
    Absent,
    /// It turns requests away for this time.
    After(Duration),
    /// It states a longer time than is believed, which is this one.
    Bounded(Duration),
    /// What it states is not a number of seconds.
    Unusable,
}

impl Receipt {
    /// Returns whether the response belongs to an attempt. An endpoint that is full may refuse a
    /// request before it has read the identifier.
    pub fn answers(&self, attempt: &str) -> bool {
        match self.attempt.as_deref() {
            Some(answered) => answered == attempt,
            None => self.declined,
        }
    }
}

/// A call to the platform's store or to the control interface of an engine.
#[derive(Debug, Clone)]
pub struct Call {
    /// HTTP method.
    pub method: Method,
    /// Path and query.
    pub path: String,
    /// JSON body; empty if there is none.
    pub body: Bytes,
}

/// Decoded content of a key in the store.
#[derive(Debug)]
pub enum Record {
    /// A version of the configuration.
    Catalog(Box<Catalog>),
    /// An endpoint and its remaining warm-up time.
    Endpoint(Endpoint, Duration),
    /// An endpoint whose entry was deleted.
    Unlisted(EndpointId),
    /// A gateway: its name within the key, and its entry unless that was deleted.
    Gateway(String, Option<Bytes>),
    /// A group of contents that is refused because it crashes endpoints, and whether it still is.
    Refusal(Group, bool),
    /// The name of an availability zone, and the newest order to evacuate it or to revoke that.
    /// An unknown revision stands for that of the read.
    Evacuation(String, Order),
    /// A value that cannot be decoded: its key and the reason.
    Unusable(String, String),
    /// A key that the gateway does not use.
    Other,
}

/// A change of a key of an endpoint, a gateway or an evacuation, as one gateway passes it on to others.
#[value]
pub struct Item {
    /// Name of the key.
    pub key: String,
    /// Value of the key; `None` if it was deleted.
    pub value: Option<Bytes>,
    /// Revision of the store at the change.
    pub revision: Revision,
}

/// Records from one page or watch response of the store.
#[derive(Debug, Default)]
pub struct Batch {
    /// Decoded contents of the keys.
    pub records: Vec<Record>,
    /// Changes among them to pass on to gateways that do not read the store themselves.
    pub items: Vec<Item>,
    /// Revision up to which the records are complete.
    pub revision: Revision,
    /// Key after which the next page starts, if there is one.
    pub next_key: Option<String>,
}

/// The entry of a gateway in the store.
#[value]
pub struct Entry {
    /// Part of the key that names the gateway.
    pub name: String,
    /// Encoded value of the entry.
    pub value: Bytes,
    /// Lease that the key is attached to.
    pub lease: LeaseId,
}

/// Where a caller is located.
#[value]
pub struct Location {
    /// Name of the caller's availability zone.
    pub zone: String,
}

/// How recent the data of a read must be.
#[key]
pub enum Freshness {
    /// All writes that were acknowledged before the read.
    Latest,
    /// Some state of the last few seconds; such a read costs the store less.
    Recent,
}

/// Calls to the platform's store, with the decoders of their responses.
#[derive(Debug, Clone, Copy)]
pub struct Store {
    /// Reads one page of all keys, starting after the given key.
    pub list: fn(after: Option<&str>, freshness: Freshness) -> Call,
    /// Waits for changes after the revision with a number.
    pub watch: fn(after: u64, wait: Duration) -> Call,
    /// Reads a recent configuration.
    pub read_catalog: fn() -> Call,
    /// Reads from the headers of a response in which era of the store it was given.
    pub read_era: fn(&HeaderMap) -> Statement,
    /// Decodes the response to `list`, `watch` or `read_catalog`, which was given in an era.
    pub read_batch: fn(&[u8], Era) -> anyhow::Result<Batch>,
    /// Decodes a change that another gateway has passed on.
    pub read_item: fn(&Item) -> Record,
    /// Creates a lease.
    pub grant_lease: fn(lifetime: Duration) -> Call,
    /// Decodes the response to `grant_lease`.
    pub read_lease: fn(&[u8]) -> anyhow::Result<LeaseId>,
    /// Renews a lease.
    pub renew_lease: fn(LeaseId) -> Call,
    /// Revokes a lease, which deletes its keys.
    pub revoke_lease: fn(LeaseId) -> Call,
    /// Writes the entry of a gateway.
    pub put: fn(&Entry) -> Call,
    /// Writes the refusal of a group of contents, which ends with the lease.
    pub put_refusal: fn(&Group, LeaseId) -> Call,
    /// Deletes the refusal of a group of contents.
    pub remove_refusal: fn(&Group) -> Call,
}

/// What an engine answers when it is asked to copy the KV cache of a run to another engine.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Transfer {
    /// The copy is complete and has this handle.
    Copied(String),
    /// The other engine has no room or cannot be reached. If the engine has stopped the run for the
    /// copy, it keeps the KV cache under the handle.
    Refused(Option<String>),
    /// The engine does not execute the run.
    Missing,
    /// A copy of the run is already in progress.
    Busy,
}

/// Calls to the control interface of the engines.
#[derive(Debug, Clone, Copy)]
pub struct Engine {
    /// Copies the KV cache of a run to another engine; the last copy ends the run at the source.
    pub copy_cache: fn(attempt: &str, target: SocketAddr, last: bool) -> Call,
    /// Frees a copy that is not used, at the engine that made it and at the one that holds it.
    pub free_copy: fn(handle: &str) -> Call,
    /// Decodes the response to `copy_cache`.
    pub read_transfer: fn(StatusCode, &[u8]) -> anyhow::Result<Transfer>,
}

/// Headers between gateways, of which one relays requests of its callers to the other.
#[derive(Debug, Clone, Copy)]
pub struct Relay {
    /// Adds to a caller's request its remaining time and what else the other gateway has to know.
    pub write_request: fn(&mut HeaderMap, timeout: Duration, &Relayed),
    /// Reads what the gateway that relays a request states; none if the run that it hands over cannot be read.
    pub read_request: fn(&HeaderMap) -> Option<Relayed>,
    /// Marks a response, or removes the mark: this gateway does not serve the request, another may.
    pub set_elsewhere: fn(&mut HeaderMap, elsewhere: bool),
    /// Returns whether a response has this mark.
    pub is_elsewhere: fn(&HeaderMap) -> bool,
    /// Marks the response with the rest of a run that was handed over.
    pub set_resumed: fn(&mut HeaderMap),
    /// Returns whether a response has this mark.
    pub is_resumed: fn(&HeaderMap) -> bool,
}

/// All functions that an adapter provides.
#[derive(Debug, Clone, Copy)]
pub struct Codec {
    /// Reads the parameters of a caller's request from its headers.
    pub read_request: fn(&HeaderMap) -> Parameters,
    /// Rewrites the headers of a caller's request for an endpoint.
    pub write_request: fn(&mut HeaderMap, &Directive),
    /// Reads the headers of an endpoint's response.
    pub read_response: fn(StatusCode, &HeaderMap) -> Receipt,
    /// Path on which the platform probes the readiness of the gateway.
    pub readiness_path: &'static str,
    /// Path on which callers ask for gateway addresses.
    pub directory_path: &'static str,
    /// Parses the query string of a caller that asks for gateway addresses.
    pub read_location: fn(query: &str) -> Location,
    /// Encodes the addresses that a caller may use, and how long it may cache them.
    pub write_addresses: fn(&[SocketAddr], Duration) -> Bytes,
    /// Calls to the platform's store.
    pub store: Store,
    /// Calls to the control interface of the engines.
    pub engine: Engine,
    /// Headers between gateways.
    pub relay: Relay,
}
