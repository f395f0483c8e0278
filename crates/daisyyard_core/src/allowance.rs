//! The allowance for repeated sends: over a sliding window, the repeats of all nodes stay below a
//! share of the requests. Nodes tell each other their counts; no node coordinates them.

use std::collections::{BTreeMap, HashMap, VecDeque};
use std::time::{Duration, Instant};

use daisyyard_derive::{record, token, value};

use crate::id::{InstanceId, ServiceId};

/// Parts that a window is counted in. The window that is judged may begin at any moment, so that
/// one part more than a window is kept.
const SLOTS_PER_WINDOW: u32 = 10;
/// Share of the bound that is used; the rest covers sends that other nodes have not told yet.
const USED_SHARE: f64 = 0.8;
/// Age from which the counts of another node say nothing.
const COUNTS_LIFETIME: Duration = Duration::from_secs(1);

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
struct Slot {
    /// When the part began.
    start: Instant,
    /// Counts.
    count: Count,
}

/// What another node told.
#[derive(Debug)]
struct Report {
    /// Its counts by service.
    counts: Vec<(ServiceId, Count)>,
    /// When it told them.
    received: Instant,
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
    slots: BTreeMap<ServiceId, VecDeque<Slot>>,
    /// Counts of the other nodes.
    others: HashMap<InstanceId, Report>,
}

impl Allowance {
    /// Creates an allowance without history.
    pub fn new(bound: Bound) -> Self {
        Self {
            bound,
            slots: BTreeMap::new(),
            others: HashMap::new(),
        }
    }

    /// Replaces the bound after the settings changed.
    pub fn set_bound(&mut self, bound: Bound) {
        self.bound = bound;
    }

    /// Counts a request.
    pub fn count_request(&mut self, service: ServiceId, now: Instant) {
        self.current_slot(service, now).count.requests += 1;
    }

    /// Decides whether a request may be sent once more while there are `nodes` nodes.
    ///
    /// Nodes that have told their counts share the bound by need. The others may use their equal
    /// parts of the slack meanwhile.
    pub fn try_repeat(&mut self, service: ServiceId, nodes: usize, now: Instant) -> Next {
        self.others
            .retain(|_, report| now.saturating_duration_since(report.received) < COUNTS_LIFETIME);
        let others = self.others.values().flat_map(|report| &report.counts);
        let others = others.filter(|(id, _)| *id == service);
        let own = self.count(service, now);
        let all = others.fold(own, |sum, (_, count)| sum + *count);
        let known = (self.others.len() + 1).min(nodes.max(1));
        let slack = self.bound.slack * known as f64 / nodes.max(1) as f64;
        let limit = (self.bound.ratio * f64::from(all.requests) + slack) * USED_SHARE;
        if f64::from(all.repeats + 1) > limit {
            return Next::Refuse;
        }
        self.current_slot(service, now).count.repeats += 1;
        Next::Send
    }

    /// Returns this node's counts in the present window.
    pub fn counts(&self, now: Instant) -> Vec<(ServiceId, Count)> {
        let services = self.slots.keys();
        let counts = services.map(|service| (*service, self.count(*service, now)));
        counts
            .filter(|(_, count)| *count != Count::default())
            .collect()
    }

    /// Takes the counts of another node, which replace those it told before.
    pub fn learn(&mut self, from: InstanceId, counts: Vec<(ServiceId, Count)>, now: Instant) {
        self.others.insert(
            from,
            Report {
                counts,
                received: now,
            },
        );
    }

    /// Returns this node's counts for a service in the present window.
    fn count(&self, service: ServiceId, now: Instant) -> Count {
        let window = self.bound.window + self.bound.window / SLOTS_PER_WINDOW;
        let recent = |slot: &&Slot| now.saturating_duration_since(slot.start) <= window;
        let slots = self.slots.get(&service).into_iter().flatten();
        let counts = slots.filter(recent).map(|slot| slot.count);
        counts.fold(Count::default(), |sum, count| sum + count)
    }

    /// Returns the present part of a service's window.
    fn current_slot(&mut self, service: ServiceId, now: Instant) -> &mut Slot {
        let length = self.bound.window / SLOTS_PER_WINDOW;
        let slots = self.slots.entry(service).or_default();
        let is_over = slots
            .back()
            .is_none_or(|slot| now.saturating_duration_since(slot.start) >= length);
        if is_over {
            slots.push_back(Slot {
                start: now,
                count: Count::default(),
            });
        }
        if slots.len() > SLOTS_PER_WINDOW as usize + 2 {
            slots.pop_front();
        }
        let last = slots.len() - 1;
        &mut slots[last]
    }
}
