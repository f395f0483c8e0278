//! Suspects, which are requests that were in progress when an endpoint crashed.

use std::collections::{HashMap, HashSet};
use std::time::{Duration, Instant};

use daisyyard_derive::key;

use crate::id::{EndpointId, Fingerprint, RequestId};

/// Time after its last crash at which the record of a suspect expires.
pub const RECORD_TTL: Duration = Duration::from_mins(10);
/// Largest number of records; beyond it, the one that expires first is evicted.
const MAX_RECORDS: usize = 4096;

/// Whether and where a request may run.
#[key]
pub enum Verdict {
    /// The request may run anywhere.
    Allow,
    /// The request may run only where no other suspect runs.
    Isolate,
    /// The request is refused because it crashes endpoints.
    Refuse,
}

/// Record of a suspect that nodes exchange.
#[key]
pub struct Record {
    /// Fingerprint of the account and the content of the request.
    pub key: Fingerprint,
    /// Number of crashes during which the request was in progress.
    pub crashes: u32,
    /// Whether the request was the only suspect at its second or a later crash.
    pub alone: bool,
    /// Time at which the record expires.
    pub expires: Instant,
}

/// A run of a request at an endpoint.
#[key]
struct Run {
    /// Identifier of the request at this node.
    request: RequestId,
    /// Fingerprint of the account and the content of the request.
    key: Fingerprint,
}

/// Suspects known to a node, and the requests that it runs at each endpoint.
#[derive(Debug, Default)]
pub struct Register {
    /// Records by fingerprint.
    records: HashMap<Fingerprint, Record>,
    /// Runs in progress by endpoint.
    running: HashMap<EndpointId, Vec<Run>>,
}

impl Register {
    /// Creates an empty register.
    pub fn new() -> Self {
        Self::default()
    }

    /// Decides whether and where a request may run.
    pub fn verdict(&self, key: Fingerprint, now: Instant) -> Verdict {
        match self.record(key, now) {
            None => Verdict::Allow,
            Some(record) if record.alone => Verdict::Refuse,
            Some(_) => Verdict::Isolate,
        }
    }

    /// Returns the endpoints at which a suspect other than the given one runs.
    pub fn occupied(&self, key: Fingerprint, now: Instant) -> Vec<EndpointId> {
        let other = |run: &Run| run.key != key && self.record(run.key, now).is_some();
        self.running
            .iter()
            .filter(|(_, runs)| runs.iter().any(other))
            .map(|(endpoint, _)| *endpoint)
            .collect()
    }

    /// Records the start of a request at an endpoint.
    pub fn start(&mut self, endpoint: EndpointId, request: RequestId, key: Fingerprint) {
        let runs = self.running.entry(endpoint).or_default();
        runs.push(Run { request, key });
    }

    /// Records the end of a request at an endpoint without a crash.
    pub fn end(&mut self, endpoint: EndpointId, request: RequestId) {
        if let Some(runs) = self.running.get_mut(&endpoint) {
            runs.retain(|run| run.request != request);
            if runs.is_empty() {
                self.running.remove(&endpoint);
            }
        }
    }

    /// Records a crash reported by a request, and returns the changed records. The first report of
    /// a crash covers all requests in progress at the endpoint, so that later reports of the same
    /// crash are not counted again.
    pub fn crash(&mut self, endpoint: EndpointId, request: RequestId, now: Instant) -> Vec<Record> {
        let known = |runs: &Vec<Run>| runs.iter().any(|run| run.request == request);
        if !self.running.get(&endpoint).is_some_and(known) {
            return Vec::new();
        }
        let runs = self.running.remove(&endpoint).unwrap_or_default();
        let keys: HashSet<Fingerprint> = runs.iter().map(|run| run.key).collect();
        let suspects = keys.iter().filter(|key| self.record(**key, now).is_some());
        let single = suspects.count() == 1;
        keys.into_iter()
            .map(|key| self.count_crash(key, single, now))
            .collect()
    }

    /// Returns the records that have not expired.
    pub fn records(&self, now: Instant) -> Vec<Record> {
        let fresh = |record: &&Record| record.expires > now;
        self.records.values().filter(fresh).copied().collect()
    }

    /// Merges a record of another node, keeping the stronger evidence of both. Returns the merged
    /// record if it contains new evidence and must be forwarded.
    ///
    /// A later expiry alone is not forwarded: each forwarding shifts it by its delay, so that nodes
    /// would forward the same record forever.
    pub fn learn(&mut self, record: Record, now: Instant) -> Option<Record> {
        if record.expires <= now {
            return None;
        }
        let before = self.record(record.key, now);
        let known = before.unwrap_or(record);
        let kept = Record {
            key: record.key,
            crashes: known.crashes.max(record.crashes),
            alone: known.alone || record.alone,
            expires: known.expires.max(record.expires).min(now + RECORD_TTL),
        };
        self.insert(kept, now);
        let same = |before: Record| (before.crashes, before.alone) == (kept.crashes, kept.alone);
        (!before.is_some_and(same)).then_some(kept)
    }

    /// Adds a crash to the record of a request; `single` says whether exactly one suspect was in
    /// progress.
    fn count_crash(&mut self, key: Fingerprint, single: bool, now: Instant) -> Record {
        let known = self.record(key, now);
        let record = Record {
            key,
            crashes: known.map_or(1, |record| record.crashes + 1),
            alone: known.is_some_and(|record| record.alone || single),
            expires: now + RECORD_TTL,
        };
        self.insert(record, now);
        record
    }

    /// Returns the record of a request unless it has expired.
    fn record(&self, key: Fingerprint, now: Instant) -> Option<Record> {
        let record = self.records.get(&key).copied();
        record.filter(|record| record.expires > now)
    }

    /// Inserts a record, and evicts one if the limit is reached.
    fn insert(&mut self, record: Record, now: Instant) {
        if self.records.len() >= MAX_RECORDS && !self.records.contains_key(&record.key) {
            self.records.retain(|_, record| record.expires > now);
        }
        if self.records.len() >= MAX_RECORDS && !self.records.contains_key(&record.key) {
            let first = self.records.values().min_by_key(|record| record.expires);
            if let Some(key) = first.map(|record| record.key) {
                self.records.remove(&key);
            }
        }
        self.records.insert(record.key, record);
    }
}
