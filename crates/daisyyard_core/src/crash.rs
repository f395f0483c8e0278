//! Contents of requests that crash the endpoints that run them.
//!
//! Nodes record which contents were in progress when endpoints broke runs off, and tell each other in
//! datagrams, which can be lost, repeated and reordered. A content is refused once several crashes in a
//! row have it in common. A run that goes well proves its content sound, which cancels all earlier
//! crashes: contents that are in progress at a crash by chance are soon run elsewhere.

use std::collections::HashMap;
use std::time::{Duration, Instant};

use daisyyard_derive::{key, value};

use crate::id::{EndpointId, Fingerprint};
use crate::suspect::RECORD_TTL;

/// Number of crashes in a row after which a content is refused.
pub const MAX_CRASHES: usize = 3;
/// Crashes within this time count once, unless the later run was sent after the earlier crash.
/// Endpoints that crash at the same moment have another cause in common, such as a lost rack.
const MIN_CRASH_INTERVAL: Duration = Duration::from_millis(500);
/// Time by which reports of one crash may differ, which is less than an endpoint needs to start again.
const REPORT_TOLERANCE: Duration = Duration::from_secs(1);
/// Largest number of crashes that a record keeps.
const MAX_KEPT_CRASHES: usize = 8;
/// Largest number of records; beyond it, the one with the oldest crash is evicted.
const MAX_RECORDS: usize = 1_024;

/// Whether a request may be sent.
#[key]
pub enum Verdict {
    /// The request may be sent.
    Allow,
    /// The request is refused until this time.
    Refuse(Instant),
}

/// A crash of an endpoint that ran a content.
#[key]
pub struct Crash {
    /// Endpoint that broke the run off.
    pub endpoint: EndpointId,
    /// When the run was sent to the endpoint.
    pub sent_at: Instant,
    /// When the run was broken off.
    pub at: Instant,
}

/// What is known of a content, as nodes report it.
#[value]
pub struct Record {
    /// Fingerprint of the content.
    pub content: Fingerprint,
    /// Crashes, in the order in which they occurred.
    pub crashes: Vec<Crash>,
    /// When a run with the content last went well.
    pub proven_at: Option<Instant>,
    /// When the refusal of the content was last read from the store; none if it is not there.
    pub stored_at: Option<Instant>,
}

/// Contents that were in progress at crashes.
#[derive(Debug, Default)]
pub struct Evidence {
    /// Records by content.
    records: HashMap<Fingerprint, Record>,
}

impl Record {
    /// Creates a record without crashes.
    fn new(content: Fingerprint) -> Self {
        Self {
            content,
            crashes: Vec::new(),
            proven_at: None,
            stored_at: None,
        }
    }

    /// Returns when the content last crashed an endpoint.
    #[must_use]
    pub fn last_crash(&self) -> Option<Instant> {
        self.crashes.last().map(|crash| crash.at)
    }

    /// Returns when the record expires.
    fn expires(&self) -> Option<Instant> {
        let last = self.last_crash().max(self.proven_at).max(self.stored_at);
        Some(last? + RECORD_TTL)
    }

    /// Returns the number of crashes in a row since a run last went well.
    #[must_use]
    pub fn count(&self) -> usize {
        let unproven = self.crashes.iter();
        let unproven = unproven.filter(|crash| Some(crash.at) > self.proven_at);
        let mut last: Option<&Crash> = None;
        let mut count = 0;
        for crash in unproven {
            let separate = last.is_none_or(|last| {
                crash.sent_at > last.at
                    || crash.at.saturating_duration_since(last.at) >= MIN_CRASH_INTERVAL
            });
            if separate {
                count += 1;
                last = Some(crash);
            }
        }
        count
    }

    /// Returns whether requests with the content are refused.
    #[must_use]
    pub fn is_refused(&self) -> bool {
        self.count() >= MAX_CRASHES || self.stored_at > self.proven_at
    }

    /// Adds a crash; returns whether it was not known.
    fn add(&mut self, crash: Crash) -> bool {
        // Runs that were in progress at one endpoint at the same time were broken off by one crash.
        let same = |known: &Crash| {
            let overlap = known.sent_at <= crash.at + REPORT_TOLERANCE
                && crash.sent_at <= known.at + REPORT_TOLERANCE;
            known.endpoint == crash.endpoint && overlap
        };
        if self.crashes.iter().any(same) {
            return false;
        }
        let later = self.crashes.iter().position(|known| known.at > crash.at);
        let position = later.unwrap_or(self.crashes.len());
        self.crashes.insert(position, crash);
        // The newest crashes decide, as a run may have gone well after the older ones.
        let excess = self.crashes.len().saturating_sub(MAX_KEPT_CRASHES);
        self.crashes.drain(..excess);
        true
    }

    /// Records when a run went well; returns whether this is later than what was known.
    fn prove(&mut self, at: Instant) -> bool {
        let later = Some(at) > self.proven_at;
        self.proven_at = self.proven_at.max(Some(at));
        later
    }
}

impl Evidence {
    /// Creates evidence without records.
    #[must_use]
    pub fn new() -> Self {
        Self::default()
    }

    /// Decides whether a request with these contents may be sent.
    #[must_use]
    pub fn verdict(&self, contents: &[Fingerprint], now: Instant) -> Verdict {
        let records = contents
            .iter()
            .filter_map(|content| self.records.get(content));
        let refused = records.filter(|record| record.is_refused());
        let until = refused.filter_map(Record::expires).max();
        match until.filter(|until| *until > now) {
            Some(until) => Verdict::Refuse(until),
            None => Verdict::Allow,
        }
    }

    /// Records a crash at which contents were in progress; returns the records that have changed.
    pub fn record_crash(&mut self, contents: &[Fingerprint], crash: Crash) -> Vec<Record> {
        let mut changed = Vec::new();
        for content in contents {
            let record = self.record(*content);
            if record.add(crash) {
                changed.push(record.clone());
            }
        }
        self.evict(crash.at);
        changed
    }

    /// Records that a run with these contents went well; returns the records that have changed.
    pub fn record_proof(&mut self, contents: &[Fingerprint], now: Instant) -> Vec<Record> {
        let mut changed = Vec::new();
        for content in contents {
            // Only contents of crashes need a proof.
            let record = self.records.get_mut(content);
            let suspected = |record: &&mut Record| record.count() > 0 || record.is_refused();
            if let Some(record) = record.filter(suspected) {
                record.prove(now);
                changed.push(record.clone());
            }
        }
        changed
    }

    /// Merges a record of another node; returns whether it contained anything new.
    pub fn learn(&mut self, record: &Record, now: Instant) -> bool {
        if record.expires().is_none_or(|expires| expires <= now) {
            return false;
        }
        let known = self.record(record.content);
        let mut new = false;
        for crash in &record.crashes {
            new |= known.add(*crash);
        }
        if let Some(proven_at) = record.proven_at {
            new |= known.prove(proven_at);
        }
        self.evict(now);
        new
    }

    /// Records that the store has the refusal of a content, or no longer.
    pub fn record_stored(&mut self, content: Fingerprint, stored: bool, now: Instant) {
        if stored {
            self.record(content).stored_at = Some(now);
            self.evict(now);
        } else if let Some(record) = self.records.get_mut(&content) {
            record.stored_at = None;
        }
    }

    /// Returns the records of contents that are refused.
    pub fn refused(&self, now: Instant) -> impl Iterator<Item = &Record> {
        let records = self.records.values();
        records.filter(move |record| {
            record.is_refused() && record.expires().is_some_and(|expires| expires > now)
        })
    }

    /// Returns the record of a content, if there is one.
    #[must_use]
    pub fn get(&self, content: Fingerprint) -> Option<&Record> {
        self.records.get(&content)
    }

    /// Returns the record of a content, which is added if it is missing.
    fn record(&mut self, content: Fingerprint) -> &mut Record {
        let record = self.records.entry(content);
        record.or_insert_with(|| Record::new(content))
    }

    /// Removes records if there are too many, first those that have expired.
    fn evict(&mut self, now: Instant) {
        if self.records.len() <= MAX_RECORDS {
            return;
        }
        let fresh = |record: &Record| record.expires().is_some_and(|expires| expires > now);
        self.records.retain(|_, record| fresh(record));
        while self.records.len() > MAX_RECORDS {
            let oldest = self
                .records
                .values()
                .min_by_key(|record| (record.is_refused(), record.expires()));
            let Some(content) = oldest.map(|record| record.content) else {
                return;
            };
            self.records.remove(&content);
        }
    }
}
