//! Links: whether a silent connection is slow or dead, and whether an endpoint gets new work.

use std::time::{Duration, Instant};

use daisyyard_derive::key;

/// Connections that may break one after another without a token between them.
const MAX_BREAKS: u32 = 3;
/// Silences in a row after which an engine that answers probes is given up.
const MAX_SILENCES: u32 = 8;
/// Largest factor by which silences in a row lengthen the stall limit.
const MAX_PATIENCE: u32 = 8;
/// Broken links in a row after which an endpoint is ejected.
const MAX_FAILURES: u32 = 3;
/// Time without work after the first ejection.
const FIRST_BACKOFF: Duration = Duration::from_secs(1);
/// Longest time without work after an ejection.
const LAST_BACKOFF: Duration = Duration::from_mins(1);
/// Time after which a trial without a result makes room for another.
const TRIAL: Duration = Duration::from_secs(10);

/// What to do with a connection or an endpoint.
#[key]
pub enum Next {
    /// Go on using it.
    Use,
    /// Ask the endpoint on a fresh connection, and resume there if it answers.
    Probe,
    /// Give up the connection and treat the endpoint as lost.
    Close,
    /// Give the endpoint no new work for a while.
    Eject,
}

/// Watch over the connections that carry one stream.
#[derive(Debug)]
pub struct Watch {
    /// Time without bytes after which a connection is probed.
    limit: Duration,
    /// Silences since the last token.
    silences: u32,
    /// Broken connections since the last token.
    breaks: u32,
}

impl Watch {
    /// Creates a watch with the stall limit.
    pub fn new(limit: Duration) -> Self {
        Self {
            limit,
            silences: 0,
            breaks: 0,
        }
    }

    /// Records that a token arrived.
    pub fn progress(&mut self) {
        self.silences = 0;
        self.breaks = 0;
    }

    /// Returns how long to wait for bytes. It doubles with each silence in a row, so that a
    /// generation that waits in the engine's queue does not reconnect all the time.
    pub fn patience(&self) -> Duration {
        self.limit * MAX_PATIENCE.min(1 << self.silences.min(8))
    }

    /// Decides what to do when no bytes arrived for the patience.
    pub fn silent(&mut self) -> Next {
        self.silences += 1;
        if self.silences > MAX_SILENCES {
            Next::Close
        } else {
            Next::Probe
        }
    }

    /// Decides what to do when a connection ended early or carried unusable bytes.
    pub fn broken(&mut self) -> Next {
        self.breaks += 1;
        if self.breaks > MAX_BREAKS {
            Next::Close
        } else {
            Next::Probe
        }
    }
}

/// What a request learned about an endpoint.
#[key]
pub enum Signal {
    /// The endpoint served a request.
    Served,
    /// A connection was silent, but the endpoint answers on a fresh one.
    Slow,
    /// A connection broke, and it is not known why.
    Broken,
    /// The endpoint does not answer on a fresh connection.
    Dead,
}

/// Health of one endpoint, as seen from one node.
#[derive(Debug, Default)]
pub struct Link {
    /// Broken links in a row.
    failures: u32,
    /// End of the present ejection, and its length.
    ejected: Option<(Instant, Duration)>,
    /// When the trial that is in progress began.
    trial: Option<Instant>,
}

impl Link {
    /// Creates the link to an endpoint that nothing is known about.
    pub fn new() -> Self {
        Self::default()
    }

    /// Records a signal; `room` says whether the cap on ejections of the service allows one more.
    pub fn observe(&mut self, signal: Signal, room: bool, now: Instant) -> Next {
        match signal {
            Signal::Served => *self = Self::default(),
            Signal::Slow => {}
            Signal::Broken => self.failures += 1,
            Signal::Dead => self.failures = MAX_FAILURES,
        }
        let tested = self.trial.is_some() && matches!(signal, Signal::Broken | Signal::Dead);
        let failed = self.failures >= MAX_FAILURES || tested;
        // Signals of requests that were sent before the ejection must not lengthen it.
        let waiting = self.ejected.is_some() && self.trial.is_none();
        if !failed || waiting || !(room || self.ejected.is_some()) {
            return Next::Use;
        }
        let length = self
            .ejected
            .map_or(FIRST_BACKOFF, |(_, length)| (length * 2).min(LAST_BACKOFF));
        self.ejected = Some((now + length, length));
        self.trial = None;
        Next::Eject
    }

    /// Returns whether the endpoint is ejected or on trial.
    pub fn ejected(&self) -> bool {
        self.ejected.is_some()
    }

    /// Returns whether the endpoint may receive a request now.
    pub fn usable(&self, now: Instant) -> bool {
        let Some((until, _)) = self.ejected else {
            return true;
        };
        let busy = self.trial.is_some_and(|begun| now < begun + TRIAL);
        now >= until && !busy
    }

    /// Records that a request is sent to the endpoint; after an ejection it is the trial.
    pub fn send(&mut self, now: Instant) {
        if self.ejected.is_some() {
            self.trial = Some(now);
        }
    }
}

/// Returns whether a service with `size` endpoints may have one more than `ejected` ejected.
pub fn room(size: usize, ejected: usize) -> bool {
    (ejected + 1) * 3 <= size
}
