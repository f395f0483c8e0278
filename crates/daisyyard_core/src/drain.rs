//! Planned stops: a node leaves without cutting off a request.

use std::time::{Duration, Instant};

use daisyyard_derive::key;

/// What a node does at a time.
#[key]
pub enum Next {
    /// Accept connections and list the node's own address.
    Serve,
    /// Accept connections, but say that the node is leaving, until this time.
    Announce(Instant),
    /// Accept no connection, and finish all requests.
    Finish,
    /// End the process.
    Exit,
}

/// Planned stop of a node.
#[derive(Debug)]
pub struct Drain {
    /// Time for which callers keep the addresses that they were given.
    lifetime: Duration,
    /// When the stop was ordered.
    ordered: Option<Instant>,
}

impl Drain {
    /// Creates the drain of a node whose address answers live for the given time.
    pub fn new(lifetime: Duration) -> Self {
        Self {
            lifetime,
            ordered: None,
        }
    }

    /// Orders the stop; a second order changes nothing.
    pub fn order(&mut self, now: Instant) {
        self.ordered.get_or_insert(now);
    }

    /// Decides what to do with the given number of open connections.
    pub fn next(&self, open: usize, now: Instant) -> Next {
        let Some(ordered) = self.ordered else {
            return Next::Serve;
        };
        let until = ordered + self.lifetime;
        if now < until {
            Next::Announce(until)
        } else if open > 0 {
            Next::Finish
        } else {
            Next::Exit
        }
    }
}
