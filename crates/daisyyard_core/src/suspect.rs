//! Suspects: requests that were in progress when an endpoint crashed.

use std::collections::{HashMap, HashSet};
use std::time::{Duration, Instant};

use daisyyard_derive::key;

use crate::id::{EndpointId, Fingerprint, RequestId};

/// Time for which a suspect is remembered after its last crash.
pub const EXPIRY: Duration = Duration::from_mins(10);
/// Records that are kept; the one that expires first makes room.
const MAX_RECORDS: usize = 4096;

/// What may be done with a request.
#[key]
pub enum Verdict {
    /// The request may run anywhere.
    Clear,
    /// The request may run only where no other suspect runs.
    Isolate,
    /// The request crashed endpoints and is refused.
    Refuse,
}

/// What nodes tell each other about one suspect.
#[key]
pub struct Record {
    /// Account and content of the request.
    pub key: Fingerprint,
    /// Crashes during which the request was in progress.
    pub crashes: u32,
    /// Whether it was the only suspect at its second or a later crash.
    pub alone: bool,
    /// When the record expires.
    pub expires: Instant,
}

/// One run of a request at an endpoint.
#[key]
struct Run {
    /// Request at this node.
    request: RequestId,
    /// Account and content of the request.
    key: Fingerprint,
}

/// Suspects known to a node, and what runs where.
#[derive(Debug, Default)]
pub struct Register {
    /// Records by account and content.
    records: HashMap<Fingerprint, Record>,
    /// Runs in progress by endpoint.
    running: HashMap<EndpointId, Vec<Run>>,
}

impl Register {
    /// Creates an empty register.
    pub fn new() -> Self {
        Self::default()
    }

    /// Decides about a request.
    pub fn verdict(&self, key: Fingerprint, now: Instant) -> Verdict {
        match self.record(key, now) {
            None => Verdict::Clear,
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

    /// Records that a request starts at an endpoint.
    pub fn start(&mut self, endpoint: EndpointId, request: RequestId, key: Fingerprint) {
        let runs = self.running.entry(endpoint).or_default();
        runs.push(Run { request, key });
    }

    /// Records that a request ended at an endpoint without a crash.
    pub fn end(&mut self, endpoint: EndpointId, request: RequestId) {
        if let Some(runs) = self.running.get_mut(&endpoint) {
            runs.retain(|run| run.request != request);
            if runs.is_empty() {
                self.running.remove(&endpoint);
            }
        }
    }

    /// Records a crash that a request met, and returns the records that changed. All requests
    /// in progress at the endpoint are taken at the first report of a crash, so that the reports
    /// of the others count nothing twice.
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
            .map(|key| self.blame(key, single, now))
            .collect()
    }

    /// Returns the records that have not expired.
    pub fn records(&self, now: Instant) -> Vec<Record> {
        let fresh = |record: &&Record| record.expires > now;
        self.records.values().filter(fresh).copied().collect()
    }

    /// Takes a record of another node; the stronger evidence of the two is kept. Returns the kept
    /// record if it says more than the known one did and must be passed on.
    ///
    /// A later expiry alone is not passed on: it shifts by the delay of each hop, so that nodes
    /// would pass the same record on for ever.
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
            expires: known.expires.max(record.expires).min(now + EXPIRY),
        };
        self.insert(kept, now);
        let same = |before: Record| (before.crashes, before.alone) == (kept.crashes, kept.alone);
        (!before.is_some_and(same)).then_some(kept)
    }

    /// Counts one crash against a request; `single` says whether one suspect was there.
    fn blame(&mut self, key: Fingerprint, single: bool, now: Instant) -> Record {
        let known = self.record(key, now);
        let record = Record {
            key,
            crashes: known.map_or(1, |record| record.crashes + 1),
            alone: known.is_some_and(|record| record.alone || single),
            expires: now + EXPIRY,
        };
        self.insert(record, now);
        record
    }

    /// Returns a record that has not expired.
    fn record(&self, key: Fingerprint, now: Instant) -> Option<Record> {
        let record = self.records.get(&key).copied();
        record.filter(|record| record.expires > now)
    }

    /// Keeps a record within the bound.
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
