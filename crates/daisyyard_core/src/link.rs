//! Links to endpoints: stalled and broken connections, and the ejection of failing endpoints.

use std::time::{Duration, Instant};

use daisyyard_derive::key;

/// Consecutive broken connections without a token that a stream tolerates.
const MAX_BREAKS: u32 = 3;
/// Consecutive stalls that a stream tolerates while its engine answers probes.
const MAX_STALLS: u32 = 8;
/// Largest factor by which consecutive stalls multiply the stall limit.
const MAX_TIMEOUT_FACTOR: u32 = 8;
/// Consecutive broken connections after which an endpoint is ejected.
const MAX_FAILURES: u32 = 3;
/// Duration of the first ejection.
const INITIAL_BACKOFF: Duration = Duration::from_secs(1);
/// Longest duration of an ejection.
const MAX_BACKOFF: Duration = Duration::from_mins(1);
/// Time after which a trial request without a result no longer blocks another trial.
const TRIAL_TIMEOUT: Duration = Duration::from_secs(10);

/// What to do with a connection or an endpoint.
#[key]
pub enum Action {
    /// Continue to use it.
    Use,
    /// Probe the endpoint on a new connection, and resume there if it answers.
    Probe,
    /// Close the connection and treat the endpoint as lost.
    Close,
    /// Send the endpoint no new requests until its ejection ends.
    Eject,
}

/// Monitors the connections that carry one stream.
#[derive(Debug)]
pub struct Monitor {
    /// Time without bytes after which a connection counts as stalled.
    stall_limit: Duration,
    /// Number of stalls since the last token.
    stalls: u32,
    /// Number of broken connections since the last token.
    breaks: u32,
}

impl Monitor {
    /// Creates a monitor with the given stall limit.
    pub fn new(stall_limit: Duration) -> Self {
        Self {
            stall_limit,
            stalls: 0,
            breaks: 0,
        }
    }

    /// Records the arrival of a token.
    pub fn progress(&mut self) {
        self.stalls = 0;
        self.breaks = 0;
    }

    /// Returns the time to wait for bytes. It doubles with each consecutive stall, so that a stream
    /// whose generation waits in the queue of the engine does not reconnect all the time.
    pub fn timeout(&self) -> Duration {
        self.stall_limit * MAX_TIMEOUT_FACTOR.min(1 << self.stalls.min(8))
    }

    /// Decides what to do when no bytes arrived within the timeout.
    pub fn stalled(&mut self) -> Action {
        self.stalls += 1;
        if self.stalls > MAX_STALLS {
            Action::Close
        } else {
            Action::Probe
        }
    }

    /// Decides what to do when a connection was closed early or carried invalid data.
    pub fn broken(&mut self) -> Action {
        self.breaks += 1;
        if self.breaks > MAX_BREAKS {
            Action::Close
        } else {
            Action::Probe
        }
    }
}

/// Result of a request, as far as it concerns the health of the endpoint.
#[key]
pub enum Signal {
    /// The endpoint served a request.
    Served,
    /// A connection stalled, but the endpoint answers on a new one.
    Slow,
    /// A connection broke for an unknown reason.
    Broken,
    /// The endpoint does not answer on a new connection.
    Dead,
}

/// Health of an endpoint as seen by one node.
#[derive(Debug, Default)]
pub struct Link {
    /// Number of consecutive broken connections.
    failures: u32,
    /// End and duration of the current ejection.
    ejected: Option<(Instant, Duration)>,
    /// Start of the trial request in progress.
    trial: Option<Instant>,
}

impl Link {
    /// Creates the link to an endpoint of unknown health.
    pub fn new() -> Self {
        Self::default()
    }

    /// Records a signal; `may_eject` says whether the limit on ejections of the service allows one
    /// more.
    pub fn observe(&mut self, signal: Signal, may_eject: bool, now: Instant) -> Action {
        match signal {
            Signal::Served => *self = Self::default(),
            Signal::Slow => {}
            Signal::Broken => self.failures += 1,
            Signal::Dead => self.failures = MAX_FAILURES,
        }
        let trial_failed = self.trial.is_some() && matches!(signal, Signal::Broken | Signal::Dead);
        let failed = self.failures >= MAX_FAILURES || trial_failed;
        // Signals of requests that were sent before the ejection must not extend it.
        let pending = self.ejected.is_some() && self.trial.is_none();
        if !failed || pending || !(may_eject || self.ejected.is_some()) {
            return Action::Use;
        }
        let duration = self.ejected.map_or(INITIAL_BACKOFF, |(_, duration)| {
            (duration * 2).min(MAX_BACKOFF)
        });
        self.ejected = Some((now + duration, duration));
        self.trial = None;
        Action::Eject
    }

    /// Returns whether the endpoint is ejected or awaits the result of a trial.
    pub fn ejected(&self) -> bool {
        self.ejected.is_some()
    }

    /// Returns whether the endpoint may receive a request.
    pub fn usable(&self, now: Instant) -> bool {
        let Some((until, _)) = self.ejected else {
            return true;
        };
        let busy = self.trial.is_some_and(|begun| now < begun + TRIAL_TIMEOUT);
        now >= until && !busy
    }

    /// Records that a request is sent to the endpoint; after an ejection, it is the trial.
    pub fn send(&mut self, now: Instant) {
        if self.ejected.is_some() {
            self.trial = Some(now);
        }
    }
}

/// Returns whether a service with `size` endpoints, of which `ejected` are ejected, may eject one
/// more; at most a third may be ejected.
pub fn may_eject(size: usize, ejected: usize) -> bool {
    (ejected + 1) * 3 <= size
}
