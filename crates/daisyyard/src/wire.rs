//! Frames between nodes: typed messages and their encoding.
//!
//! `proto/peer.proto` describes the encoding; `cargo run -p daisyyard_codegen --example generate` generates the
//! code for it. The rest of the node sees only the types of this module and of the core.

use std::time::{Duration, Instant};

use bytes::Bytes;
use daisyyard_core::contract::Rank;
use daisyyard_core::gossip::Record;
use daisyyard_core::id::{
    AccountId, EndpointId, Fingerprint, InstanceId, RequestId, Revision, ServiceId, Tokens,
};
use daisyyard_core::{ledger, suspect};
use daisyyard_derive::{record, value};
use prost::Message as _;
use tokio_util::codec::LengthDelimitedCodec;

use crate::generated::peer as raw;

/// Version of the protocol.
pub const VERSION: u32 = 1;
/// Largest frame before the other end has proved that it knows the key.
pub const MAX_HANDSHAKE: usize = 256;
/// Largest frame on an authenticated link: the largest value of the configuration service and
/// the fields around it.
pub const MAX_FRAME: usize = (1 << 20) + 1024;
/// Most progress entries in one frame.
pub const MAX_PROGRESS: usize = 4096;
/// Most suspects in one frame, which keeps it below 16 KB.
pub const MAX_SUSPECTS: usize = 256;
/// Bytes of a challenge.
pub const CHALLENGE: usize = 16;

/// One message between two nodes.
#[record]
pub enum Message {
    /// Opens a link.
    Hello(Hello),
    /// Proves that the sender knows the shared key.
    Proof(Bytes),
    /// Says that the sender is live and what it knows of others.
    Heartbeat(Heartbeat),
    /// Asks for the preset document of this revision or a higher one.
    Pull(Revision),
    /// Carries the preset document.
    Document(Document),
    /// Asks the home of an engine for admission.
    Ask(Ask),
    /// Answers an [`Ask`].
    Answer(Answer),
    /// Reports the tokens of running generations.
    Progress(Vec<Made>),
    /// Ends a generation or withdraws a request.
    Release(Made),
    /// Spreads requests that were in progress when an endpoint crashed.
    Suspects(Vec<Suspect>),
}

/// Opens a link.
#[value]
pub struct Hello {
    /// Version of the sender's protocol.
    pub version: u32,
    /// Node that sends.
    pub node: InstanceId,
    /// Bytes that the other end must use in its proof.
    pub challenge: [u8; CHALLENGE],
}

/// Says that the sender is live and what it knows of others.
#[value]
pub struct Heartbeat {
    /// The sender itself.
    pub sender: Record,
    /// Revision of the document in force at the sender.
    pub revision: Revision,
    /// Other instances.
    pub records: Vec<Record>,
}

/// Carries the preset document.
#[value]
pub struct Document {
    /// Revision of the document.
    pub revision: Revision,
    /// JSON form of the document.
    pub json: Bytes,
}

/// Asks the home of an engine for admission.
#[value]
pub struct Ask {
    /// Engine to run on.
    pub endpoint: EndpointId,
    /// Service of the engine.
    pub service: ServiceId,
    /// Request that asks.
    pub request: RequestId,
    /// Client account of the request.
    pub account: AccountId,
    /// Rank of the request.
    pub rank: Rank,
    /// Tokens of the prompt.
    pub prompt: Tokens,
    /// Prompt tokens that the engine is likely to have cached.
    pub cached: Tokens,
    /// Output tokens that the node expects.
    pub expected: Tokens,
    /// Time until an admission is of no more use.
    pub patience: Duration,
}

/// Decision of an engine's home.
#[value]
pub enum Verdict {
    /// Send the request to the engine now.
    Grant,
    /// Refuse the request or ask another engine.
    Refuse {
        /// When asking again may help.
        retry_after: Duration,
    },
    /// The receiver is not the home of the engine.
    Elsewhere,
    /// The request is in the home's queue; another answer follows.
    Wait,
}

/// Answers an [`Ask`].
#[record]
pub struct Answer {
    /// Request that asked.
    pub request: RequestId,
    /// The decision.
    pub verdict: Verdict,
    /// State of the engine, for the routing.
    pub digest: Option<ledger::Digest>,
}

/// Tokens that a generation has made.
#[value]
pub struct Made {
    /// Engine that runs the generation.
    pub endpoint: EndpointId,
    /// Request of the generation.
    pub request: RequestId,
    /// Output tokens.
    pub made: Tokens,
}

/// A request that was in progress when an endpoint crashed.
#[value]
pub struct Suspect {
    /// Account and content of the request.
    pub key: Fingerprint,
    /// Crashes that the request was part of.
    pub crashes: u32,
    /// Whether it was the only suspect at its second or a later crash.
    pub alone: bool,
    /// Time since the last of them.
    pub age: Duration,
}

/// Why a frame was not understood.
#[derive(Debug, thiserror::Error)]
pub enum Error {
    /// The bytes are not a frame.
    #[error("the frame is malformed ({0}); check that all nodes run a compatible version")]
    Malformed(#[from] prost::DecodeError),
    /// The frame is of an unknown kind or empty.
    #[error("the frame has no known kind; check that all nodes run a compatible version")]
    Unknown,
    /// A field is outside its bounds.
    #[error("{0} is missing or outside its bounds; check that all nodes run a compatible version")]
    Field(&'static str),
}

impl Ask {
    /// Creates the message for a request for admission.
    pub fn new(endpoint: EndpointId, service: ServiceId, ask: &ledger::Ask, now: Instant) -> Self {
        Self {
            endpoint,
            service,
            request: ask.request,
            account: ask.account,
            rank: ask.rank,
            prompt: ask.prompt,
            cached: ask.cached,
            expected: ask.expected,
            patience: ask.deadline.saturating_duration_since(now),
        }
    }

    /// Returns the request for admission as the home's ledger takes it.
    pub fn terms(&self, node: InstanceId, now: Instant) -> ledger::Ask {
        ledger::Ask {
            request: self.request,
            node,
            account: self.account,
            rank: self.rank,
            prompt: self.prompt,
            cached: self.cached,
            expected: self.expected,
            deadline: now + self.patience,
        }
    }
}

impl Suspect {
    /// Creates the message for a record.
    pub fn new(record: &suspect::Record, now: Instant) -> Self {
        let left = record.expires.saturating_duration_since(now);
        Self {
            key: record.key,
            crashes: record.crashes,
            alone: record.alone,
            age: suspect::RECORD_TTL.saturating_sub(left),
        }
    }

    /// Returns the record as the register takes it.
    pub fn record(&self, now: Instant) -> suspect::Record {
        suspect::Record {
            key: self.key,
            crashes: self.crashes,
            alone: self.alone,
            expires: now + suspect::RECORD_TTL.saturating_sub(self.age),
        }
    }
}

/// Returns the codec that frames messages by their length.
pub fn codec(limit: usize) -> LengthDelimitedCodec {
    LengthDelimitedCodec::builder()
        .max_frame_length(limit)
        .new_codec()
}

/// Encodes a message.
pub fn encode(message: Message) -> Bytes {
    raw::Frame::from(message).encode_to_vec().into()
}

/// Decodes a message.
pub fn decode(bytes: Bytes) -> Result<Message, Error> {
    raw::Frame::decode(bytes)?.try_into()
}
