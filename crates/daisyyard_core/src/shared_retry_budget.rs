//! Limit on the retries of all nodes together: over a sliding window, they stay below a share of
//! the requests. Nodes exchange their counts without a coordinator.

use std::collections::{BTreeMap, HashMap, VecDeque};
use std::time::{Duration, Instant};

use daisyyard_derive::{key, record, value};

use crate::id::{InstanceId, ServiceId};

/// Slots that a window is divided into. The window may begin inside a slot, so one slot more than
/// a window is counted.
const SLOTS_PER_WINDOW: u32 = 10;
/// Share of the limit that is used; the rest covers retries that other nodes have not yet reported.
const USED_SHARE: f64 = 0.8;
/// Age at which the counts of another node are discarded.
const COUNTS_LIFETIME: Duration = Duration::from_secs(1);
/// Least time over which a rate of requests is taken.
const MIN_RATE_TIME: Duration = Duration::from_secs(1);

/// Limits on the retries of all nodes together.
#[record]
pub struct Limits {
    /// Allowed retries per request.
    pub ratio: f64,
    /// Retries allowed per window on top of the ratio.
    pub slack: f64,
    /// Length of the sliding window.
    pub window: Duration,
}

/// Decision on a retry.
#[key]
pub enum Decision {
    /// Retry the request; the retry has been counted.
    Retry,
    /// Do not retry, because the budget is exhausted.
    Refuse,
}

/// Counts of one node for one service.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub struct Count {
    /// First sends of requests.
    pub requests: u32,
    /// Retries of requests.
    pub retries: u32,
}

/// Counts of one slot of the window.
#[value]
struct Slot {
    /// Start of the slot.
    start: Instant,
    /// Requests and retries in the slot.
    count: Count,
}

/// Counts that another node reported.
#[derive(Debug)]
struct Report {
    /// Counts by service.
    counts: Vec<(ServiceId, Count)>,
    /// When the report arrived.
    received: Instant,
}

impl std::ops::Add for Count {
    type Output = Self;

    fn add(self, rhs: Self) -> Self {
        Self {
            requests: self.requests + rhs.requests,
            retries: self.retries + rhs.retries,
        }
    }
}

/// View of one node on the shared retry budget.
#[derive(Debug)]
pub struct Budget {
    /// Limits on the retries of all nodes.
    limits: Limits,
    /// Slots of each service, oldest first.
    slots: BTreeMap<ServiceId, VecDeque<Slot>>,
    /// Last report of each other node.
    others: HashMap<InstanceId, Report>,
}

impl Budget {
    /// Creates a budget without history.
    pub fn new(limits: Limits) -> Self {
        Self {
            limits,
            slots: BTreeMap::new(),
            others: HashMap::new(),
        }
    }

    /// Replaces the limits after the settings changed.
    pub fn set_limits(&mut self, limits: Limits) {
        self.limits = limits;
    }

    /// Counts the first send of a request.
    pub fn count_request(&mut self, service: ServiceId, now: Instant) {
        self.current_slot(service, now).count.requests += 1;
    }

    /// Decides whether a request may be retried in a fleet of `nodes` nodes, and counts the retry
    /// if so.
    ///
    /// Nodes with recent reports draw on a common limit. Each node without one keeps an equal part
    /// of the slack, since its retries are not known here.
    pub fn try_retry(&mut self, service: ServiceId, nodes: usize, now: Instant) -> Decision {
        self.others
            .retain(|_, report| now.saturating_duration_since(report.received) < COUNTS_LIFETIME);
        let all = self.total(service, now);
        let known = (self.others.len() + 1).min(nodes.max(1));
        let slack = self.limits.slack * known as f64 / nodes.max(1) as f64;
        let limit = (self.limits.ratio * f64::from(all.requests) + slack) * USED_SHARE;
        if f64::from(all.retries + 1) > limit {
            return Decision::Refuse;
        }
        self.current_slot(service, now).count.retries += 1;
        Decision::Retry
    }

    /// Gives back a retry that was allowed but reached no endpoint.
    pub fn give_back(&mut self, service: ServiceId, now: Instant) {
        let slots = self.slots.get_mut(&service);
        let window = self.limits.window;
        let mut counted = slots.into_iter().flatten().rev().filter(|slot| {
            let age = now.saturating_duration_since(slot.start);
            age <= window && slot.count.retries > 0
        });
        if let Some(slot) = counted.next() {
            slot.count.retries -= 1;
        }
    }

    /// Returns the requests per second of all nodes to a service over the window, or over the time
    /// for which this node has had requests if that is shorter.
    pub fn service_rate(&self, service: ServiceId, now: Instant) -> f64 {
        let requests = self.total(service, now).requests;
        let oldest = self.slots.get(&service).and_then(VecDeque::front);
        let age = oldest.map_or(Duration::ZERO, |slot| {
            now.saturating_duration_since(slot.start)
        });
        let time = age.min(self.limits.window).max(MIN_RATE_TIME);
        f64::from(requests) / time.as_secs_f64()
    }

    /// Returns the requests per second of all nodes over the window.
    pub fn request_rate(&self, now: Instant) -> f64 {
        let own = self.slots.keys().map(|service| self.count(*service, now));
        let others = self.others.values().flat_map(|report| &report.counts);
        let all = own.chain(others.map(|(_, count)| *count));
        let requests: u32 = all.map(|count| count.requests).sum();
        f64::from(requests) / self.limits.window.as_secs_f64().max(1.0)
    }

    /// Returns the counts of this node in the current window, by service.
    pub fn counts(&self, now: Instant) -> Vec<(ServiceId, Count)> {
        let services = self.slots.keys();
        let counts = services.map(|service| (*service, self.count(*service, now)));
        counts
            .filter(|(_, count)| *count != Count::default())
            .collect()
    }

    /// Replaces the counts of another node by those of its new report.
    pub fn learn(&mut self, from: InstanceId, counts: Vec<(ServiceId, Count)>, now: Instant) {
        self.others.insert(
            from,
            Report {
                counts,
                received: now,
            },
        );
    }

    /// Returns the counts of all nodes for a service in the current window.
    fn total(&self, service: ServiceId, now: Instant) -> Count {
        let others = self.others.values().flat_map(|report| &report.counts);
        let others = others.filter(|(id, _)| *id == service);
        let own = self.count(service, now);
        others.fold(own, |sum, (_, count)| sum + *count)
    }

    /// Returns the counts of this node for a service in the current window.
    fn count(&self, service: ServiceId, now: Instant) -> Count {
        let window = self.limits.window + self.limits.window / SLOTS_PER_WINDOW;
        let recent = |slot: &&Slot| now.saturating_duration_since(slot.start) <= window;
        let slots = self.slots.get(&service).into_iter().flatten();
        let counts = slots.filter(recent).map(|slot| slot.count);
        counts.fold(Count::default(), |sum, count| sum + count)
    }

    /// Returns the current slot of a service, and starts a new one if the last has ended.
    fn current_slot(&mut self, service: ServiceId, now: Instant) -> &mut Slot {
        let length = self.limits.window / SLOTS_PER_WINDOW;
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
