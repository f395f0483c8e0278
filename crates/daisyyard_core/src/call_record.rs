//! Stored records of calls that may run at most once, and the head that lists them.

use std::time::{Duration, SystemTime};

use daisyyard_derive::{key, state};
use twox_hash::XxHash3_128;

use crate::id::{AccountId, ArchiveNumber, AttemptId, Fingerprint, KeyHash, ServiceId};

/// Time for which a record is kept.
pub const RETENTION: Duration = Duration::from_hours(24);
/// Number of partitions of the call registry; it must be the same on all nodes.
pub const PARTITIONS: u8 = 64;
/// Largest body of an answer that is stored for a replay, in bytes.
pub const MAX_BODY_BYTES: usize = 1024;
/// Upper bound of the encoded size of a record without its answer, in bytes.
const RECORD_BYTES: usize = 80;
/// Seed of the key hash; it must be the same on all nodes because hashes are stored.
const KEY_SEED: u64 = 0x6361_6c6c_5f6b_6579;

/// An attempt to run the call of a key.
#[key]
pub struct Attempt {
    /// Hash of the account, the service and the idempotency key.
    pub key: KeyHash,
    /// Fingerprint of the request body.
    pub fingerprint: Fingerprint,
    /// Identifier of the attempt.
    pub id: AttemptId,
}

/// State of a call.
#[state]
pub enum State {
    /// The call may be running or may have run.
    Claimed,
    /// The call has run and was answered.
    Done(Answer),
    /// The call was not sent.
    Released,
}

/// Stored answer of an endpoint.
#[state]
pub struct Answer {
    /// HTTP status code.
    pub status: u16,
    /// Body, stored only if it is at most [`MAX_BODY_BYTES`] bytes long.
    pub body: Option<Vec<u8>>,
}

/// Record of one key.
#[state]
pub struct Record {
    /// Attempt that claimed the key.
    pub attempt: Attempt,
    /// State of the call.
    pub state: State,
    /// Time at which the key was claimed.
    pub claimed_at: SystemTime,
}

/// Reference to an archive in the head.
#[key]
pub struct Archive {
    /// Number of the archive.
    pub number: ArchiveNumber,
    /// Time of the newest claim in the archive.
    pub newest: SystemTime,
}

/// Head of a partition. Its records take precedence over those in archives, and later archives
/// over earlier ones.
#[state]
#[derive(Default)]
pub struct Head {
    /// Newest records, at most one per key, oldest first.
    pub records: Vec<Record>,
    /// Archives with records that have not expired, oldest first.
    pub archives: Vec<Archive>,
    /// Number of the next archive.
    pub next_archive: ArchiveNumber,
    /// Number of writes of the head, from which a node computes how many other nodes made.
    pub writes: u64,
}

/// Returns the hash of an idempotency key.
///
/// With a million keys within the retention, the probability of a collision is about 1e-27.
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

/// Returns whether a record of the given time has expired.
pub fn expired(time: SystemTime, now: SystemTime) -> bool {
    now.duration_since(time).is_ok_and(|age| age > RETENTION)
}

impl Answer {
    /// Creates an answer without its body if the body is longer than [`MAX_BODY_BYTES`].
    pub fn new(status: u16, body: &[u8]) -> Self {
        let body = (body.len() <= MAX_BODY_BYTES).then(|| body.to_vec());
        Self { status, body }
    }
}

impl Record {
    /// Returns an upper bound of the encoded size of the record, in bytes.
    pub fn encoded_bytes(&self) -> usize {
        let body = match &self.state {
            State::Done(answer) => answer.body.as_ref().map_or(0, Vec::len),
            State::Claimed | State::Released => 0,
        };
        RECORD_BYTES + body
    }
}

impl Head {
    /// Returns an upper bound of the encoded size of all records, in bytes.
    pub fn encoded_bytes(&self) -> usize {
        self.records.iter().map(Record::encoded_bytes).sum()
    }

    /// Returns the record of a key, if the head contains one.
    pub fn find(&self, key: KeyHash) -> Option<&Record> {
        self.records.iter().find(|record| record.attempt.key == key)
    }

    /// Inserts a record and removes the earlier record of its key.
    pub fn put(&mut self, record: Record) {
        let key = record.attempt.key;
        self.records.retain(|earlier| earlier.attempt.key != key);
        self.records.push(record);
    }

    /// Removes expired records and archives.
    pub fn expire(&mut self, now: SystemTime) {
        self.records
            .retain(|record| !expired(record.claimed_at, now));
        self.archives
            .retain(|archive| !expired(archive.newest, now));
    }

    /// Lists a written archive and removes the records that it contains.
    ///
    /// A record that has changed since the archive was written stays and takes precedence.
    pub fn roll(&mut self, number: ArchiveNumber, written: &[Record]) {
        self.records.retain(|record| !written.contains(record));
        if let Some(newest) = written.iter().map(|record| record.claimed_at).max() {
            self.archives.push(Archive { number, newest });
        }
        self.next_archive = number + 1;
    }
}
