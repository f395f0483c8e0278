//! Conversions between the messages of [`crate::wire`] and the generated types.

use std::net::{IpAddr, SocketAddr};
use std::time::Duration;

use bytes::{Buf, BufMut, Bytes, BytesMut};
use daisyyard_core::contract::Rank;
use daisyyard_core::gossip::{Location, Record};
use daisyyard_core::id::Fingerprint;
use daisyyard_core::instance::State;
use daisyyard_core::ledger;
use daisyyard_core::zone::Zone;

use crate::generated::peer as raw;
use crate::wire::{
    Answer, Ask, Document, Error, Heartbeat, Hello, MAX_PROGRESS, MAX_SUSPECTS, Message, Output,
    Suspect, Verdict,
};

/// Maximum length of the name of an instance or a zone, in bytes.
const MAX_NAME_BYTES: usize = 128;

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
            Message::Heartbeat(heartbeat) => Body::Heartbeat(raw::Heartbeat {
                sender: Some(heartbeat.sender.into()),
                revision: heartbeat.revision,
                records: heartbeat.records.into_iter().map(Into::into).collect(),
            }),
            Message::Pull(revision) => Body::Pull(raw::Pull { revision }),
            Message::Document(document) => Body::Document(raw::Document {
                revision: document.revision,
                json: document.json,
            }),
            Message::Ask(ask) => Body::Ask(ask.into()),
            Message::Answer(answer) => Body::Answer(answer.into()),
            Message::Progress(entries) => Body::Progress(raw::Progress {
                made: entries.into_iter().map(Into::into).collect(),
            }),
            Message::Release(output) => Body::Release(raw::Release {
                endpoint: output.endpoint,
                request: output.request,
                made: output.generated,
            }),
            Message::Suspects(suspects) => Body::Suspects(raw::Suspects {
                suspects: suspects.into_iter().map(Into::into).collect(),
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
            Body::Heartbeat(heartbeat) => Self::Heartbeat(heartbeat.try_into()?),
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
            Body::Release(release) => Self::Release(Output {
                endpoint: release.endpoint,
                request: release.request,
                generated: release.made,
            }),
            Body::Suspects(list) if list.suspects.len() > MAX_SUSPECTS => {
                return Err(Error::Field("suspects"));
            }
            Body::Suspects(list) => {
                let suspects = list.suspects.into_iter().map(Suspect::try_from);
                Self::Suspects(suspects.collect::<Result<_, _>>()?)
            }
        })
    }
}

impl TryFrom<raw::Heartbeat> for Heartbeat {
    type Error = Error;

    fn try_from(heartbeat: raw::Heartbeat) -> Result<Self, Error> {
        if heartbeat.records.len() > daisyyard_core::member::MAX_RECORDS {
            return Err(Error::Field("records"));
        }
        let records = heartbeat.records.into_iter().map(Record::try_from);
        Ok(Self {
            sender: heartbeat.sender.ok_or(Error::Field("sender"))?.try_into()?,
            revision: heartbeat.revision,
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
        if let Some(location) = record.location {
            member.peer = encode_address(location.peer);
            member.address = encode_address(location.address);
            member.name = location.name;
            member.zone = location.zone.name;
            member.region = location.zone.region;
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
        let location = if member.peer.is_empty() {
            None
        } else {
            Some(decode_location(&member)?)
        };
        Ok(Self {
            id: member.id,
            incarnation: member.incarnation,
            state,
            location,
        })
    }
}

/// Decodes the name, zone and addresses of a member.
fn decode_location(member: &raw::Member) -> Result<Location, Error> {
    if member.name.len() > MAX_NAME_BYTES || member.zone.len() > MAX_NAME_BYTES {
        return Err(Error::Field("name"));
    }
    let mut zone = Zone::new(&member.zone, "");
    zone.region = member.region;
    Ok(Location {
        name: member.name.clone(),
        zone,
        address: decode_address(&member.address)?,
        peer: decode_address(&member.peer)?,
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
            deadline_ms: millis(ask.max_wait),
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
        // Token counts are capped so that sums of them cannot overflow in the ledger.
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
            max_wait: Duration::from_millis(ask.deadline_ms.into()),
        }
    }
}

impl From<Answer> for raw::Answer {
    fn from(answer: Answer) -> Self {
        let (decision, retry_after) = match answer.verdict {
            Verdict::Grant => (raw::Decision::Grant, Duration::ZERO),
            Verdict::Refuse { retry_after } => (raw::Decision::Refuse, retry_after),
            Verdict::NotHome => (raw::Decision::NotHome, Duration::ZERO),
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
                free: digest.free_tokens,
                gap_us: u32::try_from(digest.token_gap.as_micros()).unwrap_or(u32::MAX),
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
            raw::Decision::NotHome => Verdict::NotHome,
            raw::Decision::Wait => Verdict::Wait,
        };
        Ok(Self {
            request: answer.request,
            verdict,
            digest: answer.digest.map(|digest| ledger::Digest {
                endpoint: digest.endpoint,
                running: digest.running,
                queued: digest.queued,
                free_tokens: digest.free,
                token_gap: Duration::from_micros(digest.gap_us.into()),
            }),
        })
    }
}

impl From<Output> for raw::Made {
    fn from(output: Output) -> Self {
        Self {
            endpoint: output.endpoint,
            request: output.request,
            made: output.generated,
        }
    }
}

impl From<raw::Made> for Output {
    fn from(output: raw::Made) -> Self {
        Self {
            endpoint: output.endpoint,
            request: output.request,
            generated: output.made,
        }
    }
}

impl From<Suspect> for raw::Suspect {
    fn from(suspect: Suspect) -> Self {
        Self {
            key: Bytes::copy_from_slice(&suspect.key.to_be_bytes()),
            crashes: suspect.crashes,
            alone: suspect.alone,
            age_ms: millis(suspect.age),
        }
    }
}

impl TryFrom<raw::Suspect> for Suspect {
    type Error = Error;

    fn try_from(suspect: raw::Suspect) -> Result<Self, Error> {
        Ok(Self {
            key: Fingerprint::from_be_bytes(array(&suspect.key, "key")?),
            crashes: suspect.crashes,
            alone: suspect.alone,
            age: Duration::from_millis(suspect.age_ms.into()),
        })
    }
}

/// Converts a duration to milliseconds, saturating at the maximum of the field.
fn millis(time: Duration) -> u32 {
    u32::try_from(time.as_millis()).unwrap_or(u32::MAX)
}

/// Converts a field to an array of fixed length.
fn array<const N: usize>(bytes: &Bytes, field: &'static str) -> Result<[u8; N], Error> {
    bytes
        .as_ref()
        .try_into()
        .map_err(|_length| Error::Field(field))
}

/// Encodes a socket address: 4 or 16 bytes of IP address, then the port in network byte order.
fn encode_address(address: SocketAddr) -> Bytes {
    let mut bytes = BytesMut::with_capacity(18);
    match address.ip() {
        IpAddr::V4(ip) => bytes.put_slice(&ip.octets()),
        IpAddr::V6(ip) => bytes.put_slice(&ip.octets()),
    }
    bytes.put_u16(address.port());
    bytes.freeze()
}

/// Decodes a socket address.
fn decode_address(bytes: &Bytes) -> Result<SocketAddr, Error> {
    let ip = match bytes.len() {
        6 => IpAddr::from(array::<4>(&bytes.slice(..4), "address")?),
        18 => IpAddr::from(array::<16>(&bytes.slice(..16), "address")?),
        _ => return Err(Error::Field("address")),
    };
    let port = bytes.slice(bytes.len() - 2..).get_u16();
    Ok(SocketAddr::new(ip, port))
}
