//! Graceful shutdown of a node, which interrupts no request.

use std::time::{Duration, Instant};

use daisyyard_derive::key;

/// What a node does in the present phase of its shutdown.
#[key]
pub enum Action {
    /// Accept connections and return the node's own address to clients.
    Serve,
    /// Accept connections until this time, and announce that the node is leaving.
    Announce(Instant),
    /// Accept no connections, and finish all requests.
    Finish,
    /// End the process.
    Exit,
}

/// Graceful shutdown of a node.
#[derive(Debug)]
pub struct Drain {
    /// Time for which clients use the addresses that they were given.
    address_ttl: Duration,
    /// Time at which the drain started.
    started: Option<Instant>,
}

impl Drain {
    /// Creates the drain of a node whose clients use its address for the given time.
    pub fn new(address_ttl: Duration) -> Self {
        Self {
            address_ttl,
            started: None,
        }
    }

    /// Starts the drain; further calls have no effect.
    pub fn start(&mut self, now: Instant) {
        self.started.get_or_insert(now);
    }

    /// Decides what to do, given the number of open connections.
    pub fn next(&self, open: usize, now: Instant) -> Action {
        let Some(started) = self.started else {
            return Action::Serve;
        };
        let until = started + self.address_ttl;
        if now < until {
            Action::Announce(until)
        } else if open > 0 {
            Action::Finish
        } else {
            Action::Exit
        }
    }
}
