//! Decision on requests to services that are short of capacity: start, wait or refuse now.
//!
//! Each node decides about its own requests from the loads at the endpoints, from what arrives and
//! ends in the fleet, and from what waits at other nodes. `docs/design/load-shedding.md` says what
//! was weighed.

use std::collections::{BTreeMap, BTreeSet, HashMap};
use std::time::{Duration, Instant};

use daisyyard_derive::record;
use rand::SeedableRng;
use rand_pcg::Pcg64Mcg;

use crate::forecast::Forecast;
use crate::id::{EndpointId, InstanceId, ServiceId, Tokens};
use crate::room::Room;
use crate::turn::{Ask, Kind, Standing, Turn};
use crate::workload::Workload;

/// Maximum number of waiting requests.
pub(crate) const MAX_WAITING: usize = 512;
/// Share of the time until its target after which a long request that does not fit gets the endpoint
/// with the most room for itself.
const STARVED_SHARE: f64 = 0.25;
/// Share of the time until its target for which a short request waits only if short ones alone exceed
/// the capacity.
const MAX_SHORT_WAIT_SHARE: f64 = 0.5;
/// Time after which what waits at another node expires if no newer digest arrives.
const WAITING_TTL: Duration = Duration::from_secs(2);

/// Requests of one kind that wait at a node.
#[record]
#[derive(Copy)]
pub struct Waiting {
    /// Kind of the requests.
    pub kind: Kind,
    /// Memory that they need together.
    pub size: Tokens,
    /// Age of the oldest one.
    pub age: Duration,
    /// Endpoint that is left to the first one, so that memory for it can become free.
    pub kept: Option<EndpointId>,
}

/// A waiting request.
#[derive(Debug)]
pub(crate) struct Entry<T> {
    /// What the request asks for.
    pub(crate) ask: Ask,
    /// Number of the request, by which equal turns are ordered.
    pub(crate) number: u64,
    /// The request.
    pub(crate) request: T,
}

/// What waits at another node.
#[derive(Debug)]
pub(crate) struct Report {
    /// Waiting requests by kind.
    pub(crate) waiting: Vec<Waiting>,
    /// When the report arrived.
    received: Instant,
}

/// Requests of a node that wait for capacity, and what is known about capacity and demand.
#[derive(Debug)]
pub struct Gate<T> {
    /// Waiting requests.
    pub(crate) entries: Vec<Entry<T>>,
    /// Number of the next one.
    next: u64,
    /// Requests of the fleet.
    pub forecast: Forecast,
    /// Work of the accounts.
    pub workload: Workload,
    /// Whether short requests alone exceed the capacity.
    short_exceed: bool,
    /// What waits at other nodes.
    others: HashMap<InstanceId, Report>,
    /// Endpoint that is left to the first waiting request of a service.
    kept: BTreeMap<ServiceId, (Kind, EndpointId)>,
    /// Generator of the spread of delays.
    pub(crate) random: Pcg64Mcg,
}

impl<T> Gate<T> {
    /// Creates a gate without waiting requests.
    pub fn new(seed: u64) -> Self {
        Self {
            entries: Vec::new(),
            next: 0,
            forecast: Forecast::default(),
            workload: Workload::default(),
            short_exceed: false,
            others: HashMap::new(),
            kept: BTreeMap::new(),
            random: Pcg64Mcg::seed_from_u64(seed),
        }
    }

    /// Returns the number of waiting requests.
    pub fn len(&self) -> usize {
        self.entries.len()
    }

    /// Returns whether no request waits.
    pub fn is_empty(&self) -> bool {
        self.entries.is_empty()
    }

    /// Returns the services for which requests wait, with one request of each.
    pub fn services(&self) -> BTreeMap<ServiceId, &T> {
        let entries = self.entries.iter();
        entries
            .map(|entry| (entry.ask.kind.service, &entry.request))
            .collect()
    }

    /// Removes and returns the requests that satisfy the predicate.
    pub fn remove(&mut self, predicate: impl Fn(&T) -> bool) -> Vec<T> {
        let removed = self
            .entries
            .extract_if(.., |entry| predicate(&entry.request));
        removed.map(|entry| entry.request).collect()
    }

    /// Counts a request that arrives, before it is tried or judged.
    pub fn arrive(&mut self, ask: &Ask, now: Instant) {
        let target = ask.target.saturating_duration_since(ask.place);
        self.forecast.arrive(ask.kind, ask.size, target, now);
        let work = self.work(ask);
        self.workload.ask(ask.account, work, now);
        self.workload.refresh(now);
        self.forecast.refresh(now);
    }

    /// Counts a request that starts.
    pub fn count_start(&mut self, ask: &Ask, now: Instant) {
        self.forecast.start(ask.kind, now);
        let work = self.work(ask);
        self.workload.serve(ask.account, work, now);
    }

    /// Returns the work that a request is expected to cause: its memory times the time for which it
    /// holds it.
    fn work(&self, ask: &Ask) -> f64 {
        ask.size as f64 * self.forecast.hold(ask.kind).as_secs_f64()
    }

    /// Returns whether a request would have its first token late if it started now.
    pub(crate) fn is_late(&self, ask: &Ask, now: Instant) -> bool {
        ask.target <= now + self.forecast.lead(ask.kind)
    }

    /// Returns how an account stands to its share.
    pub(crate) fn standing(&self, ask: &Ask) -> Standing {
        if !self.workload.exceeds_share(ask.account) {
            Standing::Within
        } else if self.short_exceed {
            Standing::Last
        } else {
            Standing::Above
        }
    }

    /// Returns the turn of a request.
    pub(crate) fn turn(&self, ask: &Ask, now: Instant) -> Turn {
        self.turn_if(ask, self.is_late(ask, now))
    }

    /// Returns the turn that a request has if it is late or not.
    pub(crate) fn turn_if(&self, ask: &Ask, late: bool) -> Turn {
        let mean_size = self.forecast.mean_size(ask.kind);
        ask.turn(self.standing(ask), mean_size, late)
    }

    /// Returns whether a request that arrives may start at once: its turn comes before those that wait
    /// here, it leaves the room that is kept for short ones, and there is also room for those that wait
    /// at other nodes and go first.
    pub fn may_start(&self, ask: &Ask, room: &Room, now: Instant) -> bool {
        let turn = self.turn(ask, now);
        let mut same = self
            .entries
            .iter()
            .filter(|entry| entry.ask.kind.service == ask.kind.service);
        let others = self.waiting_before(ask, false, now);
        let free = room.memory.saturating_sub(room.held) as f64;
        same.all(|entry| turn < self.turn(&entry.ask, now))
            && self.leaves_reserve(ask, room)
            && (others <= 0.0 || others + ask.size as f64 <= free)
    }

    /// Returns whether a request leaves the room that is kept for short ones. An idle endpoint takes
    /// any request, as no more room can become free for it.
    fn leaves_reserve(&self, ask: &Ask, room: &Room) -> bool {
        let reserve = self.forecast.reserve(ask.kind.service, room.held);
        if ask.kind.short || reserve.places == 0 || room.idle {
            return true;
        }
        let taken = ask.size.div_ceil(reserve.size.max(1)) as usize;
        room.short_places >= reserve.places + taken
    }

    /// Returns the endpoint that a long request must leave to one that has waited for longer.
    pub fn kept_endpoints(&self, kind: Kind, now: Instant) -> Vec<EndpointId> {
        if kind.short {
            return Vec::new();
        }
        let own = self.kept.get(&kind.service);
        let own = own.map(|(_, endpoint)| *endpoint);
        let others = self.fresh(now).flat_map(|report| &report.waiting);
        let others = others.filter(|waiting| waiting.kind.service == kind.service);
        own.into_iter()
            .chain(others.filter_map(|waiting| waiting.kept))
            .collect()
    }

    /// Returns the reports of other nodes that have not expired.
    pub(crate) fn fresh(&self, now: Instant) -> impl Iterator<Item = &Report> {
        let age = move |at| now.saturating_duration_since(at);
        let others = self.others.values();
        others.filter(move |report| age(report.received) < WAITING_TTL)
    }

    /// Adds a request that waits.
    pub fn push(&mut self, ask: Ask, request: T) {
        let number = self.next;
        self.next += 1;
        self.entries.push(Entry {
            ask,
            number,
            request,
        });
    }

    /// Passes the requests to `start` by their turns until it accepts one, and returns whether it
    /// did. `start` also gets the endpoints that must not be used, and returns a request that it
    /// cannot start.
    pub fn start(
        &mut self,
        rooms: &BTreeMap<ServiceId, Room>,
        now: Instant,
        mut start: impl FnMut(T, &[EndpointId]) -> Option<T>,
    ) -> bool {
        self.refresh(now);
        self.sort(now);
        self.kept.clear();
        let mut blocked: BTreeMap<(ServiceId, bool), Tokens> = BTreeMap::new();
        let mut seen: BTreeSet<ServiceId> = BTreeSet::new();
        let mut started = None;
        let entries = std::mem::take(&mut self.entries);
        for mut entry in entries {
            let kind = entry.ask.kind;
            let smallest = blocked.get(&(kind.service, kind.short));
            // What is not smaller than one that does not fit does not fit either.
            let fits = smallest.is_none_or(|size| entry.ask.size < *size);
            let room = rooms.get(&kind.service).copied().unwrap_or_default();
            if started.is_none() && fits && self.leaves_reserve(&entry.ask, &room) {
                let kept = self.kept_endpoints(kind, now);
                let Some(request) = start(entry.request, &kept) else {
                    started = Some(entry.ask);
                    continue;
                };
                entry.request = request;
            }
            if started.is_none() {
                let size = entry.ask.size;
                let smallest = blocked.entry((kind.service, kind.short)).or_insert(size);
                *smallest = size.min(*smallest);
                if !kind.short && seen.insert(kind.service) {
                    self.keep_endpoint(&entry.ask, &room, now);
                }
            }
            self.entries.push(entry);
        }
        if let Some(ask) = started {
            self.count_start(&ask, now);
        }
        started.is_some()
    }

    /// Sorts the waiting requests by their turns.
    pub(crate) fn sort(&mut self, now: Instant) {
        let mut entries = std::mem::take(&mut self.entries);
        entries.sort_by_cached_key(|entry| (self.turn(&entry.ask, now), entry.number));
        self.entries = entries;
    }

    /// Updates what is known of the shares of the accounts, and whether short requests alone exceed the
    /// capacity: although they go first, some of them wait for much of the time until their target.
    pub(crate) fn refresh(&mut self, now: Instant) {
        self.workload.refresh(now);
        self.forecast.refresh(now);
        self.others
            .retain(|_, report| now.saturating_duration_since(report.received) < WAITING_TTL);
        self.short_exceed = self.entries.iter().any(|entry| {
            let ask = &entry.ask;
            let whole = ask.target.saturating_duration_since(ask.place);
            let left = ask.target.saturating_duration_since(now);
            ask.kind.short && left < whole.mul_f64(1.0 - MAX_SHORT_WAIT_SHARE)
        });
    }

    /// Leaves the endpoint with the most room to the first long request if it has waited for long,
    /// because smaller ones would always take what becomes free.
    fn keep_endpoint(&mut self, ask: &Ask, room: &Room, now: Instant) {
        if ask.size <= room.most {
            // It waits for something other than memory.
            return;
        }
        let waited = now.saturating_duration_since(ask.place);
        let whole = ask.target.saturating_duration_since(ask.place);
        if waited >= whole.mul_f64(STARVED_SHARE)
            && let Some(endpoint) = room.roomiest
        {
            self.kept.insert(ask.kind.service, (ask.kind, endpoint));
        }
    }

    /// Returns what waits here, for the other nodes.
    pub fn waiting(&self, now: Instant) -> Vec<Waiting> {
        let mut groups: BTreeMap<Kind, Waiting> = BTreeMap::new();
        for entry in &self.entries {
            let kind = entry.ask.kind;
            let age = now.saturating_duration_since(entry.ask.place);
            let kept = self.kept.get(&kind.service);
            let kept = kept.filter(|(holder, _)| *holder == kind);
            let group = groups.entry(kind).or_insert(Waiting {
                kind,
                size: 0,
                age,
                kept: kept.map(|(_, endpoint)| *endpoint),
            });
            group.size += entry.ask.size;
            group.age = group.age.max(age);
        }
        groups.into_values().collect()
    }

    /// Replaces what another node reported of its waiting requests.
    pub fn learn_waiting(&mut self, from: InstanceId, waiting: Vec<Waiting>, now: Instant) {
        let received = now;
        self.others.insert(from, Report { waiting, received });
    }

    /// Returns the number of other nodes at which a request waits that goes before all of this
    /// node. Their attempts to start come first, so that the fleet starts requests by their turns.
    pub fn nodes_before(&self, now: Instant) -> usize {
        let first = self.entries.iter().map(|entry| {
            let age = now.saturating_duration_since(entry.ask.place);
            (entry.ask.kind.priority, !entry.ask.kind.short, age)
        });
        let before = |one: &(u8, bool, Duration), two: &(u8, bool, Duration)| {
            (one.0, one.1).cmp(&(two.0, two.1)).then(two.2.cmp(&one.2))
        };
        let Some(first) = first.min_by(before) else {
            return 0;
        };
        let reports = self.fresh(now);
        let ahead = reports.filter(|report| {
            let elapsed = now.saturating_duration_since(report.received);
            let mut waiting = report.waiting.iter().map(|waiting| {
                let kind = waiting.kind;
                (kind.priority, !kind.short, waiting.age + elapsed)
            });
            waiting.any(|other| before(&other, &first).is_lt())
        });
        ahead.count()
    }
}
