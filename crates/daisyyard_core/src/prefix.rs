//! Prompt prefixes that engines are likely to have cached.
//!
//! The index learns from the engines' cache events, which arrive late and with gaps, and from
//! the node's own routing. It is a hint: a wrong entry costs time, never correctness.

use daisyyard_derive::{key, record, value};

use crate::id::{EndpointId, Fingerprint};
use crate::recent::Recent;

/// Entries that the index holds at most.
pub const CAPACITY: usize = 65_536;
/// Engines whose event stream is remembered; those that left long ago are forgotten.
const ENGINES: usize = 4096;
/// Blocks of a prompt that one lookup examines at most, longest prefixes first.
const BLOCKS: usize = 64;
/// Confidence in an entry that precedes a loss of events, which may have evicted it.
const DOUBTFUL: f64 = 0.5;

/// A change of an engine's cache.
#[value]
pub struct Event {
    /// Engine that reports the change.
    pub endpoint: EndpointId,
    /// Number of the event at the engine, counted without gaps.
    pub sequence: u64,
    /// What changed.
    pub change: Change,
}

/// What changed in an engine's cache.
#[value]
pub enum Change {
    /// The engine cached these prefixes.
    Store(Vec<Fingerprint>),
    /// The engine evicted these prefixes.
    Evict(Vec<Fingerprint>),
    /// The engine evicted everything.
    Clear,
}

/// What to do after an event arrived.
#[key]
pub enum Step {
    /// The event was applied.
    Applied,
    /// The event was known already.
    Duplicate,
    /// Events are missing and this one was not applied; fetch those after this number.
    Fetch {
        /// Number of the last event that was applied.
        after: u64,
    },
}

/// An engine that is likely to have a prefix cached.
#[record]
pub struct Match {
    /// The engine.
    pub endpoint: EndpointId,
    /// Leading blocks of the prompt that it is likely to have cached.
    pub blocks: usize,
    /// Confidence from 0 to 1.
    pub confidence: f64,
}

/// What is known about the event stream of one engine.
#[derive(Debug, Default)]
struct Source {
    /// Number of the last event that was applied, once one was.
    last: Option<u64>,
    /// Entries made before this time are void.
    cleared: u64,
    /// Entries made before this time are doubtful.
    doubted: u64,
}

/// Index of prompt prefixes by engine.
#[derive(Debug)]
pub struct Index {
    /// Time at which an entry was made, in changes of the index, by prefix and engine.
    entries: Recent<(u64, EndpointId), u64>,
    /// Event streams by engine.
    sources: Recent<EndpointId, Source>,
    /// Number of the next change of the index.
    time: u64,
}

impl Index {
    /// Creates an empty index of at most `capacity` entries.
    pub fn new(capacity: usize) -> Self {
        Self {
            entries: Recent::new(capacity),
            sources: Recent::new(ENGINES),
            time: 1,
        }
    }

    /// Takes an event of an engine's cache.
    pub fn accept(&mut self, event: &Event) -> Step {
        let source = self.sources.touch(event.endpoint, Source::default);
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

    /// Records that all events of an engine before `sequence` that were not applied are lost.
    pub fn skip(&mut self, endpoint: EndpointId, sequence: u64) {
        self.time += 1;
        let source = self.sources.touch(endpoint, Source::default);
        source.doubted = self.time;
        source.last = sequence.checked_sub(1);
    }

    /// Records that an engine has restarted: its cache is empty and its events count anew.
    pub fn restart(&mut self, endpoint: EndpointId) {
        self.apply(endpoint, &Change::Clear);
        if let Some(source) = self.sources.get_mut(&endpoint) {
            source.last = None;
        }
    }

    /// Records that a request with these prefixes was sent to an engine, which will cache them.
    pub fn routed(&mut self, endpoint: EndpointId, prefix: &[Fingerprint]) {
        self.store(endpoint, prefix.iter().take(BLOCKS));
    }

    /// Returns up to `most` engines that are likely to have leading blocks of the prompt cached,
    /// longest first.
    pub fn holders(&self, prefix: &[Fingerprint], most: usize) -> Vec<Match> {
        let mut found: Vec<Match> = Vec::new();
        for (position, print) in prefix.iter().enumerate().rev().take(BLOCKS) {
            let key = short(*print);
            for ((_, endpoint), made) in self.entries.range((key, 0)..=(key, EndpointId::MAX)) {
                let known = found.iter().any(|found| found.endpoint == *endpoint);
                let confidence = self.confidence(*endpoint, *made);
                if known || confidence <= 0.0 {
                    continue;
                }
                found.push(Match {
                    endpoint: *endpoint,
                    blocks: position + 1,
                    confidence,
                });
                if found.len() >= most {
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

    /// Returns whether nothing is known.
    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }

    /// Applies a change of an engine's cache.
    fn apply(&mut self, endpoint: EndpointId, change: &Change) {
        match change {
            Change::Store(prints) => self.store(endpoint, prints.iter()),
            Change::Evict(prints) => {
                for print in prints {
                    self.entries.remove(&(short(*print), endpoint));
                }
            }
            Change::Clear => {
                self.time += 1;
                self.sources.touch(endpoint, Source::default).cleared = self.time;
            }
        }
    }

    /// Adds entries of an engine.
    fn store<'a>(&mut self, endpoint: EndpointId, prints: impl Iterator<Item = &'a Fingerprint>) {
        for print in prints {
            let time = self.time;
            *self.entries.touch((short(*print), endpoint), || time) = time;
        }
    }

    /// Returns the confidence in an entry.
    fn confidence(&self, endpoint: EndpointId, made: u64) -> f64 {
        match self.sources.get(&endpoint) {
            Some(source) if made < source.cleared => 0.0,
            Some(source) if made < source.doubted => DOUBTFUL,
            _ => 1.0,
        }
    }
}

impl Default for Index {
    fn default() -> Self {
        Self::new(CAPACITY)
    }
}

/// Shortens a fingerprint; a collision among 65,536 entries has a chance of about 1e-10.
fn short(print: Fingerprint) -> u64 {
    (print ^ (print >> 64)) as u64
}
