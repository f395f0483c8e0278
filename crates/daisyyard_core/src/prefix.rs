//! Index of the prompt prefixes that engines are likely to have cached.
//!
//! The index is built from the cache events of the engines, which arrive late and with gaps, and
//! from the node's own routing decisions. It is only a hint: a wrong entry costs time but never
//! affects correctness.

use daisyyard_derive::{key, record, value};

use crate::id::{EndpointId, Fingerprint};
use crate::lru::Cache;

/// Maximum number of entries of the index.
pub const CAPACITY: usize = 65_536;
/// Maximum number of engines whose event stream is tracked; the least recently used one is dropped.
const MAX_ENGINES: usize = 4096;
/// Maximum number of blocks of a prompt that one lookup examines, longest prefixes first.
const MAX_LOOKUP_BLOCKS: usize = 64;
/// Confidence in an entry from before a loss of events, since a lost event may have evicted it.
const UNCERTAIN_CONFIDENCE: f64 = 0.5;

/// A change of an engine's cache.
#[value]
pub struct Event {
    /// Engine that reports the change.
    pub endpoint: EndpointId,
    /// Sequence number of the event at the engine, without gaps.
    pub sequence: u64,
    /// Change that the event reports.
    pub change: Change,
}

/// Kind of change in an engine's cache.
#[value]
pub enum Change {
    /// The engine cached these prefixes.
    Store(Vec<Fingerprint>),
    /// The engine evicted these prefixes.
    Evict(Vec<Fingerprint>),
    /// The engine evicted all prefixes.
    Clear,
}

/// Result of handling an event.
#[key]
pub enum Step {
    /// The event was applied.
    Applied,
    /// The event had been applied before.
    Duplicate,
    /// Earlier events are missing, so the event was not applied; the caller must fetch them.
    Fetch {
        /// Sequence number of the last event that was applied.
        after: u64,
    },
}

/// Engine that is likely to have a prefix cached.
#[record]
pub struct Match {
    /// Identifier of the engine.
    pub endpoint: EndpointId,
    /// Number of leading blocks of the prompt that the engine is likely to have cached.
    pub blocks: usize,
    /// Confidence from 0 to 1.
    pub confidence: f64,
}

/// State of the event stream of one engine.
#[derive(Debug, Default)]
struct Source {
    /// Sequence number of the last event that was applied, if any.
    last: Option<u64>,
    /// Logical time before which entries are invalid.
    cleared: u64,
    /// Logical time before which entries are uncertain.
    uncertain: u64,
}

/// Index of prompt prefixes by engine.
#[derive(Debug)]
pub struct Index {
    /// Logical time of each entry by shortened fingerprint and engine.
    entries: Cache<(u64, EndpointId), u64>,
    /// Event stream state by engine.
    sources: Cache<EndpointId, Source>,
    /// Logical time, which advances with each cleared cache and each loss of events.
    time: u64,
}

impl Index {
    /// Creates an empty index of at most `capacity` entries.
    pub fn new(capacity: usize) -> Self {
        Self {
            entries: Cache::new(capacity),
            sources: Cache::new(MAX_ENGINES),
            time: 1,
        }
    }

    /// Applies a cache event of an engine if it is the next one in sequence.
    pub fn accept(&mut self, event: &Event) -> Step {
        let source = self
            .sources
            .get_or_insert_with(event.endpoint, Source::default);
        if let Some(last) = source.last {
            if event.sequence <= last {
                return Step::Duplicate;
            }
            if event.sequence > last + 1 {
                return Step::Fetch { after: last };
            }
        }
        source.last = Some(event.sequence);
        self.apply(event.endpoint, &event.change);
        Step::Applied
    }

    /// Records that the events of an engine before `sequence` that were not applied are lost.
    pub fn skip(&mut self, endpoint: EndpointId, sequence: u64) {
        self.time += 1;
        let source = self.sources.get_or_insert_with(endpoint, Source::default);
        source.uncertain = self.time;
        source.last = sequence.checked_sub(1);
    }

    /// Records that an engine restarted: its cache is empty and its sequence numbers start over.
    pub fn restart(&mut self, endpoint: EndpointId) {
        self.apply(endpoint, &Change::Clear);
        if let Some(source) = self.sources.get_mut(&endpoint) {
            source.last = None;
        }
    }

    /// Records that a request with these prefixes was sent to an engine, which is expected to cache
    /// them.
    pub fn record_routed(&mut self, endpoint: EndpointId, prefix: &[Fingerprint]) {
        self.store(endpoint, prefix.iter().take(MAX_LOOKUP_BLOCKS));
    }

    /// Returns up to `limit` engines that are likely to have leading blocks of the prompt cached,
    /// longest prefix first.
    pub fn holders(&self, prefix: &[Fingerprint], limit: usize) -> Vec<Match> {
        let mut found: Vec<Match> = Vec::new();
        for (position, fingerprint) in prefix.iter().enumerate().rev().take(MAX_LOOKUP_BLOCKS) {
            let key = shorten(*fingerprint);
            for ((_, endpoint), created) in self.entries.range((key, 0)..=(key, EndpointId::MAX)) {
                let known = found.iter().any(|found| found.endpoint == *endpoint);
                let confidence = self.confidence(*endpoint, *created);
                if known || confidence <= 0.0 {
                    continue;
                }
                found.push(Match {
                    endpoint: *endpoint,
                    blocks: position + 1,
                    confidence,
                });
                if found.len() >= limit {
                    return found;
                }
            }
        }
        found
    }

    /// Returns the number of entries.
    pub fn len(&self) -> usize {
        self.entries.len()
    }

    /// Returns whether the index has no entries.
    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }

    /// Applies a change of an engine's cache.
    fn apply(&mut self, endpoint: EndpointId, change: &Change) {
        match change {
            Change::Store(fingerprints) => self.store(endpoint, fingerprints.iter()),
            Change::Evict(fingerprints) => {
                for fingerprint in fingerprints {
                    self.entries.remove(&(shorten(*fingerprint), endpoint));
                }
            }
            Change::Clear => {
                self.time += 1;
                self.sources
                    .get_or_insert_with(endpoint, Source::default)
                    .cleared = self.time;
            }
        }
    }

    /// Adds entries for an engine, or renews those that exist.
    fn store<'a>(
        &mut self,
        endpoint: EndpointId,
        fingerprints: impl Iterator<Item = &'a Fingerprint>,
    ) {
        for fingerprint in fingerprints {
            let time = self.time;
            *self
                .entries
                .get_or_insert_with((shorten(*fingerprint), endpoint), || time) = time;
        }
    }

    /// Returns the confidence in an entry, from 0 to 1.
    fn confidence(&self, endpoint: EndpointId, created: u64) -> f64 {
        match self.sources.get(&endpoint) {
            Some(source) if created < source.cleared => 0.0,
            Some(source) if created < source.uncertain => UNCERTAIN_CONFIDENCE,
            _ => 1.0,
        }
    }
}

impl Default for Index {
    fn default() -> Self {
        Self::new(CAPACITY)
    }
}

/// Folds a fingerprint to 64 bits; the probability of a collision among 65,536 entries is about
/// 1e-10.
fn shorten(fingerprint: Fingerprint) -> u64 {
    (fingerprint ^ (fingerprint >> 64)) as u64
}
