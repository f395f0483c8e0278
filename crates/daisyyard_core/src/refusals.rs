//! Requests that were refused for lack of capacity, so that one that returns keeps its place.
//!
//! A returning request has a new attempt identifier and may reach another node. What it asks for is
//! the same, so its fingerprint tells its first arrival, at each node that refused it or was told.

use std::collections::{HashMap, VecDeque};
use std::time::{Duration, Instant};

use daisyyard_derive::key;

use crate::id::Fingerprint;

/// Maximum number of refused requests that are remembered.
const MAX_RECORDS: usize = 4_096;
/// Time for which a refused request is remembered. Callers wait up to a third of the time that they
/// have left.
const RETENTION: Duration = Duration::from_secs(15);
/// Time for which other nodes are told of a refusal, in several digests in case one is lost.
const REPORT_TIME: Duration = Duration::from_secs(1);
/// Maximum number of refused requests that a report names.
const MAX_REPORTED: usize = 8;

/// A request that was refused.
#[key]
pub struct Refused {
    /// Part of the fingerprint of what the request asks for.
    pub content: u64,
    /// When the caller first sent the request.
    pub place: Instant,
}

/// Requests that were refused lately.
#[derive(Debug, Default)]
pub struct Refusals {
    /// First arrivals by content.
    places: HashMap<u64, Instant>,
    /// Contents in the order of their records, with the times of these.
    order: VecDeque<(u64, Instant)>,
    /// Refusals of this node that others are still told of.
    own: VecDeque<(Refused, Instant)>,
}

/// Returns the part of a fingerprint that identifies a refused request.
#[must_use]
pub fn content(fingerprint: Fingerprint) -> u64 {
    fingerprint as u64
}

impl Refusals {
    /// Records a request that this node refuses.
    pub fn refuse(&mut self, refused: Refused, now: Instant) {
        self.learn(refused, now);
        self.own.push_back((refused, now));
    }

    /// Records a request that was refused, here or by another node.
    pub fn learn(&mut self, refused: Refused, now: Instant) {
        let expired = |at: Instant| now.saturating_duration_since(at) >= RETENTION;
        while let Some((content, at)) = self.order.front().copied()
            && (expired(at) || self.order.len() >= MAX_RECORDS)
        {
            self.order.pop_front();
            self.places.remove(&content);
        }
        let known = self.places.insert(refused.content, refused.place);
        if known.is_none() {
            self.order.push_back((refused.content, now));
        }
    }

    /// Returns the first arrival of a request that was refused before. It counts for one request only,
    /// as others may ask for the same.
    pub fn take(&mut self, content: u64, now: Instant) -> Option<Instant> {
        let place = self.places.remove(&content)?;
        self.order.retain(|(known, _)| *known != content);
        (now.saturating_duration_since(place) < RETENTION * 2).then_some(place)
    }

    /// Returns the newest refusals of this node for the other nodes.
    pub fn report(&mut self, now: Instant) -> Vec<Refused> {
        let old = |at: Instant| now.saturating_duration_since(at) >= REPORT_TIME;
        while self.own.front().is_some_and(|(_, at)| old(*at)) {
            self.own.pop_front();
        }
        let newest = self.own.iter().rev().take(MAX_REPORTED);
        newest.map(|(refused, _)| *refused).collect()
    }
}
