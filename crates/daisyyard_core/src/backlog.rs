//! Backlog of a node: requests that wait for an endpoint with free capacity.

use std::time::Instant;

use daisyyard_derive::key;

use crate::catalog::Priority;

/// Priority and deadlines of a waiting request.
#[key]
pub struct Schedule {
    /// Priority of the request.
    pub priority: Priority,
    /// When the request arrived.
    pub arrived: Instant,
    /// Latest start that still meets the latency target.
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

    /// Returns whether any waiting request satisfies the predicate.
    pub fn any(&self, predicate: impl Fn(&T) -> bool) -> bool {
        self.entries.iter().any(|entry| predicate(&entry.request))
    }

    /// Passes the requests to `start` until it accepts one, and returns whether it did. `start`
    /// returns a request that it cannot start.
    ///
    /// Requests are ordered by priority, then those that can still meet their target, then by
    /// arrival. A request without an endpoint does not block those after it, which may be for other
    /// services.
    pub fn start(&mut self, now: Instant, mut start: impl FnMut(T) -> Option<T>) -> bool {
        self.entries.sort_by_key(|entry| {
            let schedule = entry.schedule;
            (schedule.priority, schedule.target <= now, schedule.arrived)
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
