//! The backlog: requests that wait at a node for an endpoint with room.

use std::time::Instant;

use daisyyard_derive::token;

use crate::catalog::Priority;

/// When a waiting request is due.
#[token]
pub struct Schedule {
    /// Rank of the request.
    pub priority: Priority,
    /// When the request arrived.
    pub arrived: Instant,
    /// Latest start of an answer that is of full worth.
    pub target: Instant,
    /// When waiting ends.
    pub expires: Instant,
}

/// A waiting request.
#[derive(Debug)]
struct Entry<T> {
    /// When the request is due.
    schedule: Schedule,
    /// The request.
    request: T,
}

/// Waiting requests.
#[derive(Debug)]
pub struct Backlog<T> {
    /// Requests in order of arrival.
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

    /// Removes the requests whose waiting has ended.
    pub fn expire(&mut self, now: Instant) -> Vec<T> {
        let ended = self
            .entries
            .extract_if(.., |entry| entry.schedule.expires <= now);
        ended.map(|entry| entry.request).collect()
    }

    /// Returns whether a request waits for which something holds.
    pub fn any(&self, predicate: impl Fn(&T) -> bool) -> bool {
        self.entries.iter().any(|entry| predicate(&entry.request))
    }

    /// Offers the requests to `start` in their order until it takes one, and returns whether it
    /// did: the more urgent rank first, then those that can still be of full worth, then by
    /// arrival.
    ///
    /// A request that finds no room does not keep the others waiting, because they may be for
    /// other services; `start` returns the request if it cannot be started.
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
