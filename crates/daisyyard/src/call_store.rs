//! Storage of the call registry: the encoding of heads and archives, and the steps that read and
//! write them in the configuration service.

use std::net::SocketAddr;
use std::time::{Duration, SystemTime, UNIX_EPOCH};

use anyhow::Context;
use bytes::Bytes;
use daisyyard_core::call::{Outcome, Step};
use daisyyard_core::call_record::{self, Attempt, State};
use daisyyard_core::id::{ArchiveNumber, Revision};
use prost::Message;

use crate::kv;

/// Encoded head of a partition: the recent records and the list of archives.
#[derive(Clone, PartialEq, Message)]
struct Head {
    /// Records, oldest first.
    #[prost(message, repeated, tag = "1")]
    records: Vec<Record>,
    /// Archives, oldest first.
    #[prost(message, repeated, tag = "2")]
    archives: Vec<Entry>,
    /// Number of the next archive.
    #[prost(uint64, tag = "3")]
    next: u64,
    /// Number of writes of the head.
    #[prost(uint64, tag = "4")]
    writes: u64,
}

/// Encoded archive of a partition, which holds older records.
#[derive(Clone, PartialEq, Message)]
struct Archive {
    /// Records, oldest first.
    #[prost(message, repeated, tag = "1")]
    records: Vec<Record>,
}

/// Encoded entry of the head's archive list.
#[derive(Clone, PartialEq, Message)]
struct Entry {
    /// Number of the archive.
    #[prost(uint64, tag = "1")]
    number: u64,
    /// Time of the newest record, in milliseconds since the Unix epoch.
    #[prost(uint64, tag = "2")]
    newest: u64,
}

/// Encoded record of one key.
#[derive(Clone, PartialEq, Message)]
struct Record {
    /// Key hash, 16 bytes, little endian.
    #[prost(bytes = "bytes", tag = "1")]
    key: Bytes,
    /// Body fingerprint, 16 bytes, little endian.
    #[prost(bytes = "bytes", tag = "2")]
    fingerprint: Bytes,
    /// Attempt identifier, 16 bytes, little endian.
    #[prost(bytes = "bytes", tag = "3")]
    attempt: Bytes,
    /// Time of the claim, in milliseconds since the Unix epoch.
    #[prost(uint64, tag = "4")]
    time: u64,
    /// 1 claimed, 2 done, 3 released; zero is invalid, so that a missing field is an error.
    #[prost(uint32, tag = "5")]
    state: u32,
    /// Status of the answer, if done.
    #[prost(uint32, tag = "6")]
    status: u32,
    /// Body of the answer, if done and kept.
    #[prost(bytes = "bytes", optional, tag = "7")]
    body: Option<Bytes>,
}

/// Result of a step at the configuration service.
#[derive(Debug)]
pub(crate) enum Reply {
    /// The head and its revision.
    Head(Revision, call_record::Head),
    /// The archive, if it exists.
    Archive(ArchiveNumber, Option<Vec<call_record::Record>>),
    /// The read failed.
    Failed,
    /// The result of a write.
    Wrote(Outcome),
}

/// Performs one step of a partition at the configuration service.
pub(crate) async fn perform(store: SocketAddr, index: usize, step: Step) -> Reply {
    let head = format!("calls/{index}");
    let archive = |number: ArchiveNumber| format!("{head}/archive/{number}");
    match step {
        Step::Idle | Step::Read => match kv::get(store, &head).await {
            Ok(Some(entry)) => Head::try_from(entry.value)
                .and_then(call_record::Head::try_from)
                .map_or(Reply::Failed, |head| Reply::Head(entry.revision, head)),
            Ok(None) => Reply::Head(0, call_record::Head::default()),
            Err(_) => Reply::Failed,
        },
        Step::ReadArchive(number) => match kv::get(store, &archive(number)).await {
            Ok(Some(entry)) => Archive::try_from(entry.value)
                .and_then(Vec::try_from)
                .map_or(Reply::Failed, |records| {
                    Reply::Archive(number, Some(records))
                }),
            Ok(None) => Reply::Archive(number, None),
            Err(_) => Reply::Failed,
        },
        Step::WriteArchive(number, records) => {
            let value = encode_archive(&records);
            Reply::Wrote(kv::put(store, &archive(number), 0, value).await)
        }
        Step::Write(expected, value) => {
            Reply::Wrote(kv::put(store, &head, expected, encode(&value)).await)
        }
    }
}

/// Encodes a head.
fn encode(head: &call_record::Head) -> Bytes {
    let entry = |archive: &call_record::Archive| Entry {
        number: archive.number,
        newest: millis(archive.newest),
    };
    let head = Head {
        records: head.records.iter().map(Record::from).collect(),
        archives: head.archives.iter().map(entry).collect(),
        next: head.next_archive,
        writes: head.writes,
    };
    Bytes::from(head.encode_to_vec())
}

/// Encodes an archive.
fn encode_archive(records: &[call_record::Record]) -> Bytes {
    let records = records.iter().map(Record::from).collect();
    Bytes::from(Archive { records }.encode_to_vec())
}

impl TryFrom<Bytes> for Head {
    type Error = anyhow::Error;

    fn try_from(value: Bytes) -> anyhow::Result<Self> {
        Self::decode(value).context("the head of a call partition is malformed")
    }
}

impl TryFrom<Bytes> for Archive {
    type Error = anyhow::Error;

    fn try_from(value: Bytes) -> anyhow::Result<Self> {
        Self::decode(value).context("an archive of a call partition is malformed")
    }
}

impl TryFrom<Head> for call_record::Head {
    type Error = anyhow::Error;

    fn try_from(head: Head) -> anyhow::Result<Self> {
        let entry = |entry: Entry| call_record::Archive {
            number: entry.number,
            newest: time(entry.newest),
        };
        Ok(Self {
            records: records(head.records)?,
            archives: head.archives.into_iter().map(entry).collect(),
            next_archive: head.next,
            writes: head.writes,
        })
    }
}

impl TryFrom<Archive> for Vec<call_record::Record> {
    type Error = anyhow::Error;

    fn try_from(archive: Archive) -> anyhow::Result<Self> {
        records(archive.records)
    }
}

impl From<&call_record::Record> for Record {
    fn from(record: &call_record::Record) -> Self {
        let bytes = |number: u128| Bytes::copy_from_slice(&number.to_le_bytes());
        let (state, status, body) = match &record.state {
            State::Claimed => (1, 0, None),
            State::Done(answer) => {
                let body = answer.body.as_deref().map(Bytes::copy_from_slice);
                (2, u32::from(answer.status), body)
            }
            State::Released => (3, 0, None),
        };
        Self {
            key: bytes(record.attempt.key),
            fingerprint: bytes(record.attempt.fingerprint),
            attempt: bytes(record.attempt.id),
            time: millis(record.claimed_at),
            state,
            status,
            body,
        }
    }
}

impl TryFrom<Record> for call_record::Record {
    type Error = anyhow::Error;

    fn try_from(record: Record) -> anyhow::Result<Self> {
        let attempt = Attempt {
            key: number(&record.key)?,
            fingerprint: number(&record.fingerprint)?,
            id: number(&record.attempt)?,
        };
        let state = match record.state {
            1 => State::Claimed,
            2 => State::Done(call_record::Answer {
                status: u16::try_from(record.status)
                    .context("the status of an answer is out of range")?,
                body: record.body.map(Vec::from),
            }),
            3 => State::Released,
            state => anyhow::bail!("{state} is not a valid call state"),
        };
        Ok(Self {
            attempt,
            state,
            claimed_at: time(record.time),
        })
    }
}

/// Decodes a list of records.
fn records(records: Vec<Record>) -> anyhow::Result<Vec<call_record::Record>> {
    records
        .into_iter()
        .map(call_record::Record::try_from)
        .collect()
}

/// Decodes a 128-bit number.
fn number(bytes: &Bytes) -> anyhow::Result<u128> {
    let bytes: [u8; 16] = bytes[..]
        .try_into()
        .context("an identifier is not 16 bytes long")?;
    Ok(u128::from_le_bytes(bytes))
}

/// Returns the milliseconds since the Unix epoch.
fn millis(time: SystemTime) -> u64 {
    let age = time.duration_since(UNIX_EPOCH).unwrap_or_default();
    u64::try_from(age.as_millis()).unwrap_or(u64::MAX)
}

/// Converts milliseconds since the Unix epoch to a time.
fn time(millis: u64) -> SystemTime {
    let time = UNIX_EPOCH.checked_add(Duration::from_millis(millis));
    time.unwrap_or(UNIX_EPOCH)
}
