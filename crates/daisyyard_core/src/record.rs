//! Records of calls that may run at most once, and the head value that lists them.

use std::time::{Duration, SystemTime};

use daisyyard_derive::{key, state};
use twox_hash::XxHash3_128;

use crate::id::{AccountId, ArchiveNumber, AttemptId, Fingerprint, KeyHash, ServiceId};

/// Time for which an outcome is kept.
pub const RETENTION: Duration = Duration::from_hours(24);
/// Partitions of the call registry; all nodes must agree on the number.
pub const PARTITIONS: u8 = 64;
/// Largest answer that is kept for a replay, in bytes.
pub const MAX_BODY: usize = 1024;
/// Bytes of an encoded record without its answer, rounded up.
const RECORD_BYTES: usize = 80;
/// Seed of the key hash; all nodes must agree on it because hashes are stored.
const KEY_SEED: u64 = 0x6361_6c6c_5f6b_6579;

/// One attempt to run the call of a key.
#[key]
pub struct Attempt {
    /// Hash over account, service and key.
    pub key: KeyHash,
    /// Fingerprint of the body.
    pub fingerprint: Fingerprint,
    /// Identifier of the attempt.
    pub id: AttemptId,
}

/// What is known about a call.
#[state]
pub enum State {
    /// The call may run or have run.
    Claimed,
    /// The call ran and was answered.
    Done(Answer),
    /// The call was certainly not sent.
    Released,
}

/// Stored answer of an endpoint.
#[state]
pub struct Answer {
    /// HTTP status.
    pub status: u16,
    /// Body, if it is at most [`MAX_BODY`] bytes long.
    pub body: Option<Vec<u8>>,
}

/// The record of one key.
#[state]
pub struct Record {
    /// Attempt that claimed the key.
    pub attempt: Attempt,
    /// What is known about the call.
    pub state: State,
    /// When the key was claimed.
    pub time: SystemTime,
}

/// Entry of an archive in the head.
#[key]
pub struct Archive {
    /// Number of the archive.
    pub number: ArchiveNumber,
    /// Time of the newest record in the archive.
    pub newest: SystemTime,
}

/// Head value of a partition; its records override those in archives, and later archives
/// override earlier ones.
#[state]
#[derive(Default)]
pub struct Head {
    /// Newest records, at most one per key, oldest first.
    pub records: Vec<Record>,
    /// Archives with records within the retention, oldest first.
    pub archives: Vec<Archive>,
    /// Number of the next archive.
    pub next: ArchiveNumber,
    /// Writes of the head so far, by which nodes see how much others write.
    pub writes: u64,
}

/// Returns the hash of an idempotency key.
///
/// With a million keys in the retention the chance of any collision is about 1e-27.
pub fn key(account: AccountId, service: ServiceId, key: &str) -> KeyHash {
    let mut bytes = Vec::with_capacity(16 + key.len());
    bytes.extend_from_slice(&account.to_le_bytes());
    bytes.extend_from_slice(&service.to_le_bytes());
    bytes.extend_from_slice(key.as_bytes());
    XxHash3_128::oneshot_with_seed(KEY_SEED, &bytes)
}

/// Returns the partition of a key.
pub fn partition(key: KeyHash) -> u8 {
    (key % KeyHash::from(PARTITIONS)) as u8
}

/// Returns whether a time is past the retention.
pub fn expired(time: SystemTime, now: SystemTime) -> bool {
    now.duration_since(time).is_ok_and(|age| age > RETENTION)
}

impl Answer {
    /// Creates an answer; a body that is too long is left out.
    pub fn new(status: u16, body: &[u8]) -> Self {
        let body = (body.len() <= MAX_BODY).then(|| body.to_vec());
        Self { status, body }
    }
}

impl Record {
    /// Returns the bytes that the record takes in an encoded value, rounded up.
    pub fn weight(&self) -> usize {
        let body = match &self.state {
            State::Done(answer) => answer.body.as_ref().map_or(0, Vec::len),
            State::Claimed | State::Released => 0,
        };
        RECORD_BYTES + body
    }
}

impl Head {
    /// Returns the bytes that the records take in the encoded head, rounded up.
    pub fn weight(&self) -> usize {
        self.records.iter().map(Record::weight).sum()
    }

    /// Returns the record of a key, if the head holds one.
    pub fn find(&self, key: KeyHash) -> Option<&Record> {
        self.records.iter().find(|record| record.attempt.key == key)
    }

    /// Puts a record in place of the key's earlier one.
    pub fn put(&mut self, record: Record) {
        let key = record.attempt.key;
        self.records.retain(|earlier| earlier.attempt.key != key);
        self.records.push(record);
    }

    /// Drops what is past the retention.
    pub fn expire(&mut self, now: SystemTime) {
        self.records.retain(|record| !expired(record.time, now));
        self.archives
            .retain(|archive| !expired(archive.newest, now));
    }

    /// Lists an archive that has been written, and drops exactly the records that it holds.
    ///
    /// A record that changed since the archive was written stays and overrides the archive.
    pub fn roll(&mut self, number: ArchiveNumber, written: &[Record]) {
        self.records.retain(|record| !written.contains(record));
        if let Some(newest) = written.iter().map(|record| record.time).max() {
            self.archives.push(Archive { number, newest });
        }
        self.next = number + 1;
    }
}
