//! Frames between nodes: typed messages and their encoding.
//!
//! `proto/peer.proto` describes the encoding; `cargo run -p daisyyard_codegen --example generate` generates the
//! code for it. The rest of the node sees only the types of this module and of the core.

use std::net::{IpAddr, SocketAddr};
use std::time::{Duration, Instant};

use bytes::{Buf, BufMut, Bytes, BytesMut};
use daisyyard_core::contract::Rank;
use daisyyard_core::id::{
    AccountId, EndpointId, Fingerprint, InstanceId, RequestId, Revision, ServiceId, Tokens,
};
use daisyyard_core::instance::State;
use daisyyard_core::ledger;
use daisyyard_core::record::{Place, Record};
use daisyyard_core::zone::Zone;
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
/// Bytes of a challenge.
pub const CHALLENGE: usize = 16;
/// Longest name of an instance or a zone, in bytes.
const MAX_NAME: usize = 128;

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
    /// Spreads a request that was in progress when an endpoint crashed.
    Suspect(Suspect),
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
    /// Client account of the request.
    pub account: AccountId,
    /// Content of the request.
    pub fingerprint: Fingerprint,
    /// Crashes that the request was part of.
    pub crashes: u32,
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

impl From<Message> for raw::Frame {
    fn from(message: Message) -> Self {
        use raw::frame::Body;
        let body = match message {
            Message::Hello(hello) => Body::Hello(raw::Hello {
                version: hello.version,
                node: hello.node,
                challenge: Bytes::copy_from_slice(&hello.challenge),
            }),
            Message::Proof(digest) => Body::Proof(raw::Proof { digest }),
            Message::Heartbeat(beat) => Body::Heartbeat(raw::Heartbeat {
                sender: Some(beat.sender.into()),
                revision: beat.revision,
                records: beat.records.into_iter().map(Into::into).collect(),
            }),
            Message::Pull(revision) => Body::Pull(raw::Pull { revision }),
            Message::Document(document) => Body::Document(raw::Document {
                revision: document.revision,
                json: document.json,
            }),
            Message::Ask(ask) => Body::Ask(ask.into()),
            Message::Answer(answer) => Body::Answer(answer.into()),
            Message::Progress(made) => Body::Progress(raw::Progress {
                made: made.into_iter().map(Into::into).collect(),
            }),
            Message::Release(made) => Body::Release(raw::Release {
                endpoint: made.endpoint,
                request: made.request,
                made: made.made,
            }),
            Message::Suspect(suspect) => Body::Suspect(raw::Suspect {
                account: suspect.account,
                fingerprint: Bytes::copy_from_slice(&suspect.fingerprint.to_be_bytes()),
                crashes: suspect.crashes,
                age_ms: millis(suspect.age),
            }),
        };
        Self { body: Some(body) }
    }
}

impl TryFrom<raw::Frame> for Message {
    type Error = Error;

    fn try_from(frame: raw::Frame) -> Result<Self, Error> {
        use raw::frame::Body;
        Ok(match frame.body.ok_or(Error::Unknown)? {
            Body::Hello(hello) => Self::Hello(Hello {
                version: hello.version,
                node: hello.node,
                challenge: array(&hello.challenge, "challenge")?,
            }),
            Body::Proof(proof) => Self::Proof(proof.digest),
            Body::Heartbeat(beat) => Self::Heartbeat(beat.try_into()?),
            Body::Pull(pull) => Self::Pull(pull.revision),
            Body::Document(document) => Self::Document(Document {
                revision: document.revision,
                json: document.json,
            }),
            Body::Ask(ask) => Self::Ask(ask.into()),
            Body::Answer(answer) => Self::Answer(answer.try_into()?),
            Body::Progress(progress) if progress.made.len() > MAX_PROGRESS => {
                return Err(Error::Field("made"));
            }
            Body::Progress(progress) => {
                Self::Progress(progress.made.into_iter().map(Into::into).collect())
            }
            Body::Release(release) => Self::Release(Made {
                endpoint: release.endpoint,
                request: release.request,
                made: release.made,
            }),
            Body::Suspect(suspect) => Self::Suspect(Suspect {
                account: suspect.account,
                fingerprint: Fingerprint::from_be_bytes(array(
                    &suspect.fingerprint,
                    "fingerprint",
                )?),
                crashes: suspect.crashes,
                age: Duration::from_millis(suspect.age_ms.into()),
            }),
        })
    }
}

impl TryFrom<raw::Heartbeat> for Heartbeat {
    type Error = Error;

    fn try_from(beat: raw::Heartbeat) -> Result<Self, Error> {
        if beat.records.len() > daisyyard_core::member::MAX_RECORDS {
            return Err(Error::Field("records"));
        }
        let records = beat.records.into_iter().map(Record::try_from);
        Ok(Self {
            sender: beat.sender.ok_or(Error::Field("sender"))?.try_into()?,
            revision: beat.revision,
            records: records.collect::<Result<_, _>>()?,
        })
    }
}

impl From<Record> for raw::Member {
    fn from(record: Record) -> Self {
        let state = match record.state {
            State::Live => raw::State::Live,
            State::Leaving => raw::State::Leaving,
            State::Suspected => raw::State::Suspected,
            State::Gone => raw::State::Gone,
        };
        let mut member = Self {
            id: record.id,
            incarnation: record.incarnation,
            state: state.into(),
            ..Self::default()
        };
        if let Some(place) = record.place {
            member.peer = socket(place.peer);
            member.address = socket(place.address);
            member.name = place.name;
            member.zone = place.zone.name;
            member.region = place.zone.region;
        }
        member
    }
}

impl TryFrom<raw::Member> for Record {
    type Error = Error;

    fn try_from(member: raw::Member) -> Result<Self, Error> {
        let state = match member.state() {
            raw::State::Live => State::Live,
            raw::State::Leaving => State::Leaving,
            raw::State::Suspected => State::Suspected,
            raw::State::Gone => State::Gone,
        };
        let place = if member.peer.is_empty() {
            None
        } else {
            Some(place(&member)?)
        };
        Ok(Self {
            id: member.id,
            incarnation: member.incarnation,
            state,
            place,
        })
    }
}

/// Returns the place that a member's fields describe.
fn place(member: &raw::Member) -> Result<Place, Error> {
    if member.name.len() > MAX_NAME || member.zone.len() > MAX_NAME {
        return Err(Error::Field("name"));
    }
    let mut zone = Zone::new(&member.zone, "");
    zone.region = member.region;
    Ok(Place {
        name: member.name.clone(),
        zone,
        address: address(&member.address)?,
        peer: address(&member.peer)?,
    })
}

impl From<Ask> for raw::Ask {
    fn from(ask: Ask) -> Self {
        Self {
            endpoint: ask.endpoint,
            request: ask.request,
            service: ask.service,
            account: ask.account,
            urgent: ask.rank == Rank::Urgent,
            prompt: ask.prompt,
            expected: ask.expected,
            deadline_ms: millis(ask.patience),
            cached: ask.cached,
        }
    }
}

impl From<raw::Ask> for Ask {
    fn from(ask: raw::Ask) -> Self {
        let rank = if ask.urgent {
            Rank::Urgent
        } else {
            Rank::Deferrable
        };
        // Token counts are bounded so that sums of them cannot overflow in the ledger.
        let tokens = |count: u64| count.min(u64::from(u32::MAX));
        Self {
            endpoint: ask.endpoint,
            service: ask.service,
            request: ask.request,
            account: ask.account,
            rank,
            prompt: tokens(ask.prompt),
            cached: tokens(ask.cached),
            expected: tokens(ask.expected),
            patience: Duration::from_millis(ask.deadline_ms.into()),
        }
    }
}

impl From<Answer> for raw::Answer {
    fn from(answer: Answer) -> Self {
        let (decision, retry_after) = match answer.verdict {
            Verdict::Grant => (raw::Decision::Grant, Duration::ZERO),
            Verdict::Refuse { retry_after } => (raw::Decision::Refuse, retry_after),
            Verdict::Elsewhere => (raw::Decision::NotHome, Duration::ZERO),
            Verdict::Wait => (raw::Decision::Wait, Duration::ZERO),
        };
        Self {
            request: answer.request,
            decision: decision.into(),
            retry_after_ms: millis(retry_after),
            digest: answer.digest.map(|digest| raw::Digest {
                endpoint: digest.endpoint,
                running: digest.running,
                queued: digest.queued,
                free: digest.free,
                gap_us: u32::try_from(digest.gap.as_micros()).unwrap_or(u32::MAX),
            }),
        }
    }
}

impl TryFrom<raw::Answer> for Answer {
    type Error = Error;

    fn try_from(answer: raw::Answer) -> Result<Self, Error> {
        let decision = raw::Decision::try_from(answer.decision);
        let verdict = match decision.map_err(|_unknown| Error::Field("decision"))? {
            raw::Decision::Grant => Verdict::Grant,
            raw::Decision::Refuse => Verdict::Refuse {
                retry_after: Duration::from_millis(answer.retry_after_ms.into()),
            },
            raw::Decision::NotHome => Verdict::Elsewhere,
            raw::Decision::Wait => Verdict::Wait,
        };
        Ok(Self {
            request: answer.request,
            verdict,
            digest: answer.digest.map(|digest| ledger::Digest {
                endpoint: digest.endpoint,
                running: digest.running,
                queued: digest.queued,
                free: digest.free,
                gap: Duration::from_micros(digest.gap_us.into()),
            }),
        })
    }
}

impl From<Made> for raw::Made {
    fn from(made: Made) -> Self {
        Self {
            endpoint: made.endpoint,
            request: made.request,
            made: made.made,
        }
    }
}

impl From<raw::Made> for Made {
    fn from(made: raw::Made) -> Self {
        Self {
            endpoint: made.endpoint,
            request: made.request,
            made: made.made,
        }
    }
}

/// Returns a time in milliseconds, at most what a field holds.
fn millis(time: Duration) -> u32 {
    u32::try_from(time.as_millis()).unwrap_or(u32::MAX)
}

/// Returns the bytes of a field of fixed length.
fn array<const N: usize>(bytes: &Bytes, field: &'static str) -> Result<[u8; N], Error> {
    bytes
        .as_ref()
        .try_into()
        .map_err(|_length| Error::Field(field))
}

/// Encodes an address: 4 or 16 bytes of IP address, then the port.
fn socket(address: SocketAddr) -> Bytes {
    let mut bytes = BytesMut::with_capacity(18);
    match address.ip() {
        IpAddr::V4(ip) => bytes.put_slice(&ip.octets()),
        IpAddr::V6(ip) => bytes.put_slice(&ip.octets()),
    }
    bytes.put_u16(address.port());
    bytes.freeze()
}

/// Decodes an address.
fn address(bytes: &Bytes) -> Result<SocketAddr, Error> {
    let ip = match bytes.len() {
        6 => IpAddr::from(array::<4>(&bytes.slice(..4), "address")?),
        18 => IpAddr::from(array::<16>(&bytes.slice(..16), "address")?),
        _ => return Err(Error::Field("address")),
    };
    let port = bytes.slice(bytes.len() - 2..).get_u16();
    Ok(SocketAddr::new(ip, port))
}
