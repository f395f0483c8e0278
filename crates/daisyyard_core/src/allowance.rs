//! The allowance for repeated sends: over a sliding window, repeats stay below a share of the
//! requests, without coordination between nodes.

use std::collections::{BTreeMap, VecDeque};
use std::time::{Duration, Instant};

use daisyyard_derive::{record, token};

use crate::id::ServiceId;

/// Parts that a window is counted in. The window that is judged may begin at any moment, so that
/// one part more than a window is kept.
const PARTS: u32 = 10;
/// Share of the bound that is used; the rest covers sends that are under way when the number of
/// nodes changes.
const USED: f64 = 0.8;

/// Bound on the repeats of all nodes together.
#[record]
pub struct Bound {
    /// Repeats per request.
    pub ratio: f64,
    /// Repeats in a window beyond the ratio.
    pub slack: f64,
    /// Length of a window.
    pub window: Duration,
}

/// Whether a request may be sent once more.
#[token]
pub enum Next {
    /// Send it; the repeat is counted.
    Send,
    /// Give it up.
    Refuse,
}

/// Counts of a part of a window.
#[token]
struct Part {
    /// When the part began.
    start: Instant,
    /// Requests.
    requests: u32,
    /// Repeated sends.
    repeats: u32,
}

/// Allowance of one node.
#[derive(Debug)]
pub struct Allowance {
    /// Bound on all nodes.
    bound: Bound,
    /// Counts of each service, oldest first.
    parts: BTreeMap<ServiceId, VecDeque<Part>>,
}

impl Allowance {
    /// Creates an allowance without history.
    pub fn new(bound: Bound) -> Self {
        Self {
            bound,
            parts: BTreeMap::new(),
        }
    }

    /// Replaces the bound after the settings changed.
    pub fn rebind(&mut self, bound: Bound) {
        self.bound = bound;
    }

    /// Counts a request.
    pub fn request(&mut self, service: ServiceId, now: Instant) {
        self.part(service, now).requests += 1;
    }

    /// Decides whether a request may be sent once more while `nodes` nodes share the slack.
    pub fn repeat(&mut self, service: ServiceId, nodes: usize, now: Instant) -> Next {
        let part = self.part(service, now);
        part.repeats += 1;
        let window = self.bound.window;
        let recent = |part: &&Part| now.saturating_duration_since(part.start) <= window;
        let parts = self.parts.get(&service).into_iter().flatten();
        let (requests, repeats) = parts.filter(recent).fold((0, 0), |sum, part| {
            (sum.0 + part.requests, sum.1 + part.repeats)
        });
        let slack = self.bound.slack / nodes.max(1) as f64;
        let most = (self.bound.ratio * f64::from(requests) + slack) * USED;
        if f64::from(repeats) <= most {
            return Next::Send;
        }
        self.part(service, now).repeats -= 1;
        Next::Refuse
    }

    /// Returns the present part of a service's window.
    fn part(&mut self, service: ServiceId, now: Instant) -> &mut Part {
        let length = self.bound.window / PARTS;
        let parts = self.parts.entry(service).or_default();
        let fresh = parts
            .back()
            .is_none_or(|part| now.saturating_duration_since(part.start) >= length);
        if fresh {
            parts.push_back(Part {
                start: now,
                requests: 0,
                repeats: 0,
            });
        }
        if parts.len() > PARTS as usize + 1 {
            parts.pop_front();
        }
        let last = parts.len() - 1;
        &mut parts[last]
    }
}
