//! Contents of requests that crash the endpoints that run them.
//!
//! Nodes record which contents were in progress when endpoints broke runs off, and tell each other in
//! datagrams, which can be lost, repeated and reordered. A content is refused once several crashes in a
//! row have it in common. A run that goes well proves its contents sound, which cancels all earlier
//! crashes: contents that are in progress at a crash by chance are soon run elsewhere. A run has gone
//! well when it has ended, or when it has lasted far longer than those that were broken off: a content
//! may crash its endpoints at any time of the run, but hardly at very different ones.
//!
//! A request has several contents: itself as a whole, and the parts of its prompt that others share. A
//! crash implicates all of them, so contents that crashes do not tell apart are refused as a group: only
//! requests with all of them. Requests which share just the sound ones go on and prove them.

use std::collections::HashMap;
use std::time::{Duration, Instant};

use daisyyard_derive::{key, value};

use crate::id::{EndpointId, Fingerprint};
use crate::loss::Losses;
use crate::suspect::RECORD_TTL;

/// Number of crashes in a row after which a content is refused.
pub const MAX_CRASHES: usize = 3;
/// Crashes within this time count once, unless the later run was sent after the earlier crash.
/// Endpoints that crash at the same moment have another cause in common, such as a lost rack.
const MIN_CRASH_INTERVAL: Duration = Duration::from_millis(500);
/// Time by which reports of one crash may differ, which is less than an endpoint needs to start again.
const REPORT_TOLERANCE: Duration = Duration::from_secs(1);
/// Shortest time for which a run must last to prove its contents sound before it ends.
const MIN_PROOF_TIME: Duration = Duration::from_millis(250);
/// The same, as a multiple of the lower quartile of the times for which runs lasted until the crashes.
const PROOF_FACTOR: u32 = 2;
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
    /// Time for which the endpoint had sent data of the run; zero if it had sent none.
    pub ran_for: Duration,
    /// Whether many endpoints crashed at that moment, so that the crash does not count. Each node decides
    /// this by itself.
    pub common: bool,
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
}

/// Contents that crashes do not tell apart, in ascending order; requests with all of them are refused.
pub type Group = Vec<Fingerprint>;

/// Contents that were in progress at crashes.
#[derive(Debug, Default)]
pub struct Evidence {
    /// Records by content.
    records: HashMap<Fingerprint, Record>,
    /// Groups that the store has or is being given, with the time at which that was last known.
    stored: HashMap<Group, Instant>,
    /// The latest crashes of endpoints, whatever they ran.
    losses: Losses,
    /// Contents that are no longer refused, as their last crash turned out to be one of many.
    cleared: Vec<Fingerprint>,
}

impl Crash {
    /// Returns whether this is another crash as another node or another run reported it: runs that were in
    /// progress at one endpoint at the same time were broken off by one crash.
    pub(crate) fn is_same(&self, other: &Self) -> bool {
        let overlap = self.sent_at <= other.at + REPORT_TOLERANCE
            && other.sent_at <= self.at + REPORT_TOLERANCE;
        self.endpoint == other.endpoint && overlap
    }
}

impl Record {
    /// Creates a record without crashes.
    fn new(content: Fingerprint) -> Self {
        Self {
            content,
            crashes: Vec::new(),
            proven_at: None,
        }
    }

    /// Returns when the content last crashed an endpoint.
    #[must_use]
    pub fn last_crash(&self) -> Option<Instant> {
        self.crashes.last().map(|crash| crash.at)
    }

    /// Returns when the record expires.
    fn expires(&self) -> Option<Instant> {
        Some(self.last_crash().max(self.proven_at)? + RECORD_TTL)
    }

    /// Returns the number of crashes in a row since a run last went well.
    #[must_use]
    pub fn count(&self) -> usize {
        self.count_without(None)
    }

    /// Returns whether another content was in progress at so many of these crashes that the rest is not
    /// enough to refuse this one.
    fn is_explained_by(&self, other: &Self) -> bool {
        self.count_without(Some(other)) < MAX_CRASHES
    }

    /// Returns the number of crashes in a row that another record does not share.
    fn count_without(&self, other: Option<&Self>) -> usize {
        let unproven = self.crashes.iter();
        let unproven = unproven.filter(|crash| !crash.common && Some(crash.at) > self.proven_at);
        let explained = |crash: &Crash| other.is_some_and(|other| other.has(crash));
        let mut last: Option<&Crash> = None;
        let mut count = 0;
        for crash in unproven.filter(|crash| !explained(crash)) {
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

    /// Returns whether the record contains a crash, perhaps as another node reported it.
    fn has(&self, crash: &Crash) -> bool {
        self.crashes.iter().any(|known| known.is_same(crash))
    }

    /// Returns whether requests with the content are refused.
    #[must_use]
    pub fn is_refused(&self) -> bool {
        self.count() >= MAX_CRASHES
    }

    /// Returns the time for which a run must last to prove the content sound before it ends.
    ///
    /// A content that crashes its endpoints does so at about the same time of each run, so that none
    /// lasts much longer. Runs that are broken off by chance have lasted for very different times.
    #[must_use]
    pub fn proof_time(&self) -> Duration {
        let mut lasted: Vec<Duration> = self.crashes.iter().map(|crash| crash.ran_for).collect();
        lasted.sort_unstable();
        let quartile = lasted.get(lasted.len() / 4).copied().unwrap_or_default();
        MIN_PROOF_TIME.max(quartile * PROOF_FACTOR)
    }

    /// Adds a crash; returns whether it was not known.
    fn add(&mut self, crash: Crash) -> bool {
        if let Some(known) = self.crashes.iter_mut().find(|known| known.is_same(&crash)) {
            // Of several runs at the endpoint, the oldest one has crashed it if the content does so.
            known.ran_for = known.ran_for.max(crash.ran_for);
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
        let has_all = |group: &Group| group.iter().all(|content| contents.contains(content));
        let refused = contents
            .iter()
            .filter_map(|content| self.records.get(content))
            .filter(|record| record.is_refused() && has_all(&self.group_of(record, now)))
            .filter_map(Record::expires);
        let stored = self.stored.iter().filter(|(group, _)| has_all(group));
        let stored = stored.map(|(_, read_at)| *read_at + RECORD_TTL);
        match refused.chain(stored).max().filter(|until| *until > now) {
            Some(until) => Verdict::Refuse(until),
            None => Verdict::Allow,
        }
    }

    /// Returns the groups of contents that are refused, other than those in the store, which the crashes
    /// up to a time show.
    #[must_use]
    pub fn unstored_groups(&self, until: Instant, now: Instant) -> Vec<Group> {
        let shown = |record: &&Record| record.last_crash().is_some_and(|at| at <= until);
        let records = self.refused(now).filter(shown);
        let mut groups: Vec<Group> = records.map(|record| self.group_of(record, now)).collect();
        groups.sort();
        groups.dedup();
        groups.retain(|group| !self.stored.contains_key(group));
        groups
    }

    /// Returns the refused contents that crashes do not tell apart from a refused one.
    fn group_of(&self, record: &Record, now: Instant) -> Group {
        let explains = |other: &&Record| record.is_explained_by(other);
        let contents = self.refused(now).filter(explains);
        let mut group: Group = contents.map(|other| other.content).collect();
        group.sort_unstable();
        group
    }

    /// Records that the store has a group of refused contents.
    pub fn record_stored(&mut self, group: Group, now: Instant) {
        self.stored.insert(group, now);
    }

    /// Records that the store does not have a group any longer.
    pub fn remove_stored(&mut self, group: &Group) {
        self.stored.remove(group);
    }

    /// Forgets which groups the store has, before all of them are read again.
    pub fn clear_stored(&mut self) {
        self.stored.clear();
    }

    /// Removes and returns the groups in the store that a run with these contents, which went well,
    /// disproves.
    pub fn disprove(&mut self, contents: &[Fingerprint]) -> Vec<Group> {
        let disproved = |group: &Group| group.iter().all(|content| contents.contains(content));
        let groups = self.stored.extract_if(|group, _| disproved(group));
        groups.map(|(group, _)| group).collect()
    }

    /// Records a crash at which contents were in progress; returns the records that have changed.
    pub fn record_crash(&mut self, contents: &[Fingerprint], crash: Crash) -> Vec<Record> {
        let crash = self.record_loss(crash);
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

    /// Removes and returns the contents that are no longer refused, as their last crash turned out to be one
    /// of many.
    pub fn take_cleared(&mut self) -> Vec<Fingerprint> {
        std::mem::take(&mut self.cleared)
    }

    /// Records that a run with these contents went well; returns the records that have changed.
    pub fn record_proof(&mut self, contents: &[Fingerprint], now: Instant) -> Vec<Record> {
        let mut changed = Vec::new();
        for content in contents {
            // Only contents of crashes need a proof.
            let record = self.records.get_mut(content);
            if let Some(record) = record.filter(|record| record.count() > 0) {
                record.prove(now);
                changed.push(record.clone());
            }
        }
        changed
    }

    /// Records that a run with these contents has lasted for a time, which may prove them sound before the
    /// run ends; returns the records that have changed.
    pub fn record_progress(
        &mut self,
        contents: &[Fingerprint],
        lasted: Duration,
        now: Instant,
    ) -> Vec<Record> {
        let is_proven = |content: &&Fingerprint| {
            let record = self.records.get(content);
            record.is_some_and(|record| lasted >= record.proof_time())
        };
        let sound: Vec<Fingerprint> = contents.iter().filter(is_proven).copied().collect();
        self.record_proof(&sound, now)
    }

    /// Merges a record of another node; returns whether it contained anything new.
    pub fn learn(&mut self, record: &Record, now: Instant) -> bool {
        if record.expires().is_none_or(|expires| expires <= now) {
            return false;
        }
        let crashes = record.crashes.iter();
        let crashes: Vec<Crash> = crashes.map(|crash| self.record_loss(*crash)).collect();
        let known = self.record(record.content);
        let mut new = false;
        for crash in crashes {
            new |= known.add(crash);
        }
        if let Some(proven_at) = record.proven_at {
            new |= known.prove(proven_at);
        }
        self.evict(now);
        new
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

    /// Records that an endpoint has crashed, and returns the crash with whether it was one of many.
    fn record_loss(&mut self, crash: Crash) -> Crash {
        if self.losses.add(crash) {
            for record in self.records.values_mut() {
                let was_refused = record.is_refused();
                for known in &mut record.crashes {
                    known.common |= self.losses.are_many_with(known);
                }
                if was_refused && !record.is_refused() {
                    self.cleared.push(record.content);
                }
            }
        }
        Crash {
            common: self.losses.are_many_with(&crash),
            ..crash
        }
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
