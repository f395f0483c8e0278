//! Backlog of a node: requests that wait for an endpoint with free capacity.

use std::time::{Duration, Instant};

use daisyyard_derive::key;

use crate::catalog::Priority;

/// Priority and deadlines of a waiting request.
#[key]
pub struct Schedule {
    /// Priority of the request.
    pub priority: Priority,
    /// Whether the request frees its place almost at once.
    pub short: bool,
    /// When the request arrived.
    pub arrived: Instant,
    /// Latest time of the first token that still meets the latency target.
    pub target: Instant,
    /// When the request stops waiting.
    pub expires: Instant,
}

/// A waiting request.
#[derive(Debug)]
struct Entry<T> {
    /// Priority and deadlines of the request.
    schedule: Schedule,
    /// The request.
    request: T,
}

/// Requests that wait for an endpoint.
#[derive(Debug)]
pub struct Backlog<T> {
    /// Requests, in the order of the last [`Backlog::start`] followed by later arrivals.
    entries: Vec<Entry<T>>,
}

impl Schedule {
    /// Returns whether a request that arrives may start although another one waits.
    #[must_use]
    pub fn overtakes(&self, waiting: &Self) -> bool {
        (self.priority, !self.short) < (waiting.priority, !waiting.short)
    }
}

impl<T> Default for Backlog<T> {
    fn default() -> Self {
        Self {
            entries: Vec::new(),
        }
    }
}

impl<T> Backlog<T> {
    /// Returns the number of waiting requests.
    pub fn len(&self) -> usize {
        self.entries.len()
    }

    /// Returns whether no request waits.
    pub fn is_empty(&self) -> bool {
        self.entries.is_empty()
    }

    /// Adds a request.
    pub fn push(&mut self, schedule: Schedule, request: T) {
        self.entries.push(Entry { schedule, request });
    }

    /// Removes and returns the requests that have waited until they expired.
    pub fn expire(&mut self, now: Instant) -> Vec<T> {
        let ended = self
            .entries
            .extract_if(.., |entry| entry.schedule.expires <= now);
        ended.map(|entry| entry.request).collect()
    }

    /// Removes and returns the requests that satisfy the predicate.
    pub fn remove(&mut self, predicate: impl Fn(&T) -> bool) -> Vec<T> {
        let removed = self
            .entries
            .extract_if(.., |entry| predicate(&entry.request));
        removed.map(|entry| entry.request).collect()
    }

    /// Returns whether any waiting request satisfies the predicate.
    pub fn any(&self, predicate: impl Fn(&Schedule, &T) -> bool) -> bool {
        let mut entries = self.entries.iter();
        entries.any(|entry| predicate(&entry.schedule, &entry.request))
    }

    /// Passes the requests to `start` until it accepts one, and returns whether it did. `start`
    /// returns a request that it cannot start. `lead` returns the time that a request is expected to
    /// take from its start to its first token.
    ///
    /// Requests are ordered by priority, then those that can still meet their target, then short
    /// ones, then by arrival. A short request takes its place for a fraction of the time that a long
    /// one does, and its target is closer. A request without an endpoint does not block those after
    /// it, which may be for other services.
    pub fn start(
        &mut self,
        now: Instant,
        lead: impl Fn(&T) -> Duration,
        mut start: impl FnMut(T) -> Option<T>,
    ) -> bool {
        self.entries.sort_by_key(|entry| {
            let schedule = entry.schedule;
            let late = schedule.target <= now + lead(&entry.request);
            (schedule.priority, late, !schedule.short, schedule.arrived)
        });
        let mut started = false;
        let entries = std::mem::take(&mut self.entries);
        for Entry { schedule, request } in entries {
            let rejected = if started {
                Some(request)
            } else {
                start(request)
            };
            match rejected {
                Some(request) => self.entries.push(Entry { schedule, request }),
                None => started = true,
            }
        }
        started
    }
}
