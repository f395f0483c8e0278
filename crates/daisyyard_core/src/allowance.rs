//! The allowance for repeated sends: over a sliding window, the repeats of all nodes stay below a
//! share of the requests. Nodes tell each other their counts; no node coordinates them.

use std::collections::{BTreeMap, HashMap, VecDeque};
use std::time::{Duration, Instant};

use daisyyard_derive::{key, record, value};

use crate::id::{InstanceId, ServiceId};

/// Parts that a window is counted in. The window that is judged may begin at any moment, so that
/// one part more than a window is kept.
const PARTS: u32 = 10;
/// Share of the bound that is used; the rest covers sends that other nodes have not told yet.
const USED: f64 = 0.8;
/// Age from which the counts of another node say nothing.
const FRESH: Duration = Duration::from_secs(1);

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
#[key]
pub enum Next {
    /// Send it; the repeat is counted.
    Send,
    /// Give it up.
    Refuse,
}

/// Counts of one node for one service.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub struct Count {
    /// Requests.
    pub requests: u32,
    /// Repeated sends.
    pub repeats: u32,
}

/// Counts of a part of a window.
#[value]
struct Part {
    /// When the part began.
    start: Instant,
    /// Counts.
    count: Count,
}

/// What another node told.
#[derive(Debug)]
struct Told {
    /// Its counts by service.
    counts: Vec<(ServiceId, Count)>,
    /// When it told them.
    at: Instant,
}

impl std::ops::Add for Count {
    type Output = Self;

    fn add(self, rhs: Self) -> Self {
        Self {
            requests: self.requests + rhs.requests,
            repeats: self.repeats + rhs.repeats,
        }
    }
}

/// Allowance of one node.
#[derive(Debug)]
pub struct Allowance {
    /// Bound on all nodes.
    bound: Bound,
    /// Counts of each service, oldest first.
    parts: BTreeMap<ServiceId, VecDeque<Part>>,
    /// Counts of the other nodes.
    others: HashMap<InstanceId, Told>,
}

impl Allowance {
    /// Creates an allowance without history.
    pub fn new(bound: Bound) -> Self {
        Self {
            bound,
            parts: BTreeMap::new(),
            others: HashMap::new(),
        }
    }

    /// Replaces the bound after the settings changed.
    pub fn rebind(&mut self, bound: Bound) {
        self.bound = bound;
    }

    /// Counts a request.
    pub fn request(&mut self, service: ServiceId, now: Instant) {
        self.part(service, now).count.requests += 1;
    }

    /// Decides whether a request may be sent once more while there are `nodes` nodes.
    ///
    /// Nodes that have told their counts share the bound by need. The others may use their equal
    /// parts of the slack meanwhile.
    pub fn repeat(&mut self, service: ServiceId, nodes: usize, now: Instant) -> Next {
        self.others
            .retain(|_, told| now.saturating_duration_since(told.at) < FRESH);
        let others = self.others.values().flat_map(|told| &told.counts);
        let others = others.filter(|(id, _)| *id == service);
        let own = self.count(service, now);
        let all = others.fold(own, |sum, (_, count)| sum + *count);
        let known = (self.others.len() + 1).min(nodes.max(1));
        let slack = self.bound.slack * known as f64 / nodes.max(1) as f64;
        let most = (self.bound.ratio * f64::from(all.requests) + slack) * USED;
        if f64::from(all.repeats + 1) > most {
            return Next::Refuse;
        }
        self.part(service, now).count.repeats += 1;
        Next::Send
    }

    /// Returns this node's counts in the present window.
    pub fn counts(&self, now: Instant) -> Vec<(ServiceId, Count)> {
        let services = self.parts.keys();
        let counts = services.map(|service| (*service, self.count(*service, now)));
        counts
            .filter(|(_, count)| *count != Count::default())
            .collect()
    }

    /// Takes the counts of another node, which replace those it told before.
    pub fn learn(&mut self, from: InstanceId, counts: Vec<(ServiceId, Count)>, now: Instant) {
        self.others.insert(from, Told { counts, at: now });
    }

    /// Returns this node's counts for a service in the present window.
    fn count(&self, service: ServiceId, now: Instant) -> Count {
        let window = self.bound.window + self.bound.window / PARTS;
        let recent = |part: &&Part| now.saturating_duration_since(part.start) <= window;
        let parts = self.parts.get(&service).into_iter().flatten();
        let counts = parts.filter(recent).map(|part| part.count);
        counts.fold(Count::default(), |sum, count| sum + count)
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
                count: Count::default(),
            });
        }
        if parts.len() > PARTS as usize + 2 {
            parts.pop_front();
        }
        let last = parts.len() - 1;
        &mut parts[last]
    }
}
