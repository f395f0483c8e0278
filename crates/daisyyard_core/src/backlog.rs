//! The backlog: requests that wait at a node for an endpoint with room.

use std::time::Instant;

use daisyyard_derive::key;

use crate::catalog::Priority;

/// When a waiting request is due.
#[key]
pub struct Due {
    /// Rank of the request.
    pub priority: Priority,
    /// When the request arrived.
    pub arrived: Instant,
    /// Latest start of an answer that is of full worth.
    pub target: Instant,
    /// When waiting ends.
    pub until: Instant,
}

/// A waiting request.
#[derive(Debug)]
struct Entry<T> {
    /// When the request is due.
    due: Due,
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
    pub fn push(&mut self, due: Due, request: T) {
        self.entries.push(Entry { due, request });
    }

    /// Removes the requests whose waiting has ended.
    pub fn expire(&mut self, now: Instant) -> Vec<T> {
        let ended = self.entries.extract_if(.., |entry| entry.due.until <= now);
        ended.map(|entry| entry.request).collect()
    }

    /// Returns whether a request waits for which something holds.
    pub fn any(&self, holds: impl Fn(&T) -> bool) -> bool {
        self.entries.iter().any(|entry| holds(&entry.request))
    }

    /// Offers the requests to `start` in their order until it takes one, and returns whether it
    /// did: the more urgent rank first, then those that can still be of full worth, then by
    /// arrival.
    ///
    /// A request that finds no room does not keep the others waiting, because they may be for
    /// other services; `start` returns the request if it cannot be started.
    pub fn start(&mut self, now: Instant, mut start: impl FnMut(T) -> Option<T>) -> bool {
        self.entries.sort_by_key(|entry| {
            let due = entry.due;
            (due.priority, due.target <= now, due.arrived)
        });
        let mut started = false;
        let entries = std::mem::take(&mut self.entries);
        for Entry { due, request } in entries {
            let left = if started {
                Some(request)
            } else {
                start(request)
            };
            match left {
                Some(request) => self.entries.push(Entry { due, request }),
                None => started = true,
            }
        }
        started
    }
}
