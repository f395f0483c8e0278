//! Messages between nodes, and their encoding as frames.
//!
//! `proto/peer.proto` defines the encoding; `cargo run -p daisyyard_codegen --example generate`
//! generates the code for it. The rest of the node uses only the types of this module and of the
//! core.

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

/// Version of the peer protocol.
pub const PROTOCOL_VERSION: u32 = 1;
/// Maximum frame size before the peer has proved that it knows the shared key.
pub const MAX_HANDSHAKE_BYTES: usize = 256;
/// Maximum frame size on an authenticated link: the largest value of the configuration service
/// plus 1 KiB for the fields around it.
pub const MAX_FRAME_BYTES: usize = (1 << 20) + 1024;
/// Maximum number of progress entries in one frame.
pub const MAX_PROGRESS: usize = 4096;
/// Maximum number of suspects in one frame, which keeps the frame below 16 KB.
pub const MAX_SUSPECTS: usize = 256;
/// Size of a challenge.
pub const CHALLENGE_BYTES: usize = 16;

/// One message between two nodes.
#[record]
pub enum Message {
    /// Starts the handshake of a link.
    Hello(Hello),
    /// Ends the handshake with a proof that the sender knows the shared key.
    Proof(Bytes),
    /// Gossips the sender's own record and its view of other instances.
    Heartbeat(Heartbeat),
    /// Requests the preset document of this revision or a higher one.
    Pull(Revision),
    /// Sends the preset document.
    Document(Document),
    /// Requests admission from the home of an engine.
    Ask(Ask),
    /// Answers an [`Ask`].
    Answer(Answer),
    /// Reports the output tokens of running generations.
    Progress(Vec<Output>),
    /// Reports the end of a generation or withdraws a request for admission.
    Release(Output),
    /// Gossips requests that were in progress when an endpoint crashed.
    Suspects(Vec<Suspect>),
}

/// First message of a handshake.
#[value]
pub struct Hello {
    /// Protocol version of the sender.
    pub version: u32,
    /// Id of the sender.
    pub node: InstanceId,
    /// Random bytes that the receiver's proof has to cover.
    pub challenge: [u8; CHALLENGE_BYTES],
}

/// Gossip of the sender's own record and its view of other instances.
#[value]
pub struct Heartbeat {
    /// Record of the sender.
    pub sender: Record,
    /// Revision of the document in force at the sender.
    pub revision: Revision,
    /// Records of other instances.
    pub records: Vec<Record>,
}

/// The preset document in its encoded form.
#[value]
pub struct Document {
    /// Revision of the document.
    pub revision: Revision,
    /// JSON encoding of the document.
    pub json: Bytes,
}

/// Request for admission to the home of an engine.
#[value]
pub struct Ask {
    /// Engine to run on.
    pub endpoint: EndpointId,
    /// Service of the engine.
    pub service: ServiceId,
    /// Request to admit.
    pub request: RequestId,
    /// Client account of the request.
    pub account: AccountId,
    /// Rank of the request.
    pub rank: Rank,
    /// Number of prompt tokens.
    pub prompt: Tokens,
    /// Prompt tokens that the engine is likely to have cached.
    pub cached: Tokens,
    /// Output tokens that the node expects.
    pub expected: Tokens,
    /// Time left until the deadline for admission.
    pub max_wait: Duration,
}

/// Decision of an engine's home on a request for admission.
#[value]
pub enum Verdict {
    /// The request may be sent to the engine now.
    Grant,
    /// The request is not admitted; another engine may admit it.
    Refuse {
        /// Time after which to ask again.
        retry_after: Duration,
    },
    /// The receiver is not the home of the engine.
    NotHome,
    /// The request is queued at the home; another answer follows.
    Wait,
}

/// Answer to an [`Ask`].
#[record]
pub struct Answer {
    /// Request that the decision is about.
    pub request: RequestId,
    /// Decision of the home.
    pub verdict: Verdict,
    /// Load of the engine, for routing.
    pub digest: Option<ledger::Digest>,
}

/// Number of tokens that a generation has produced.
#[value]
pub struct Output {
    /// Engine that runs the generation.
    pub endpoint: EndpointId,
    /// Request of the generation.
    pub request: RequestId,
    /// Output tokens so far.
    pub generated: Tokens,
}

/// A request that was in progress when an endpoint crashed.
#[value]
pub struct Suspect {
    /// Fingerprint of the request's account and content.
    pub key: Fingerprint,
    /// Number of crashes during which the request was in progress.
    pub crashes: u32,
    /// Whether it was the only suspect of its second or a later crash.
    pub alone: bool,
    /// Time since the last of these crashes.
    pub age: Duration,
}

/// Reason why a frame could not be decoded.
#[derive(Debug, thiserror::Error)]
pub enum Error {
    /// The bytes are not a valid encoding.
    #[error("the frame is malformed ({0}); check that all nodes run a compatible version")]
    Malformed(#[from] prost::DecodeError),
    /// The frame is empty or holds an unknown message.
    #[error("the frame has no known kind; check that all nodes run a compatible version")]
    Unknown,
    /// A field is outside its bounds.
    #[error("{0} is missing or outside its bounds; check that all nodes run a compatible version")]
    Field(&'static str),
}

impl Ask {
    /// Creates the message from a ledger's request; its deadline becomes the time left.
    pub fn new(
        endpoint: EndpointId,
        service: ServiceId,
        request: &ledger::Request,
        now: Instant,
    ) -> Self {
        Self {
            endpoint,
            service,
            request: request.id,
            account: request.account,
            rank: request.rank,
            prompt: request.prompt,
            cached: request.cached,
            expected: request.expected,
            max_wait: request.deadline.saturating_duration_since(now),
        }
    }

    /// Converts the message into a request for the home's ledger.
    pub fn to_ledger(&self, node: InstanceId, now: Instant) -> ledger::Request {
        ledger::Request {
            id: self.request,
            node,
            account: self.account,
            rank: self.rank,
            prompt: self.prompt,
            cached: self.cached,
            expected: self.expected,
            deadline: now + self.max_wait,
        }
    }
}

impl Suspect {
    /// Creates the message from a record of the register.
    pub fn new(record: &suspect::Record, now: Instant) -> Self {
        let left = record.expires.saturating_duration_since(now);
        Self {
            key: record.key,
            crashes: record.crashes,
            alone: record.alone,
            age: suspect::RECORD_TTL.saturating_sub(left),
        }
    }

    /// Converts the message into a record for the register.
    pub fn record(&self, now: Instant) -> suspect::Record {
        suspect::Record {
            key: self.key,
            crashes: self.crashes,
            alone: self.alone,
            expires: now + suspect::RECORD_TTL.saturating_sub(self.age),
        }
    }
}

/// Returns a length-delimited codec that rejects frames above a limit.
pub fn codec(limit: usize) -> LengthDelimitedCodec {
    LengthDelimitedCodec::builder()
        .max_frame_length(limit)
        .new_codec()
}

/// Encodes a message as the content of a frame.
pub fn encode(message: Message) -> Bytes {
    raw::Frame::from(message).encode_to_vec().into()
}

/// Decodes a message from the content of a frame.
pub fn decode(bytes: Bytes) -> Result<Message, Error> {
    raw::Frame::decode(bytes)?.try_into()
}
