//! Forecast of the requests of each kind: how many arrive, how much memory they need and for how
//! long, and from that how fast places become free and how many must be kept for short requests.

use std::collections::{BTreeMap, HashMap};
use std::time::{Duration, Instant};

use daisyyard_derive::record;

use crate::id::{InstanceId, ServiceId, Tokens};
use crate::turn::Kind;

/// Time constant of the rates. Bursts last for some ten seconds.
const RATE_TIME: Duration = Duration::from_secs(3);
/// Least time over which a rate is taken.
const MIN_RATE_TIME: Duration = Duration::from_secs(1);
/// Time after which the report of another node expires. Reports of large fleets are some seconds
/// apart.
const REPORT_TTL: Duration = Duration::from_secs(15);
/// Weight of the newest request in the means of a kind.
const SMOOTHING: f64 = 0.1;
/// Expected time for which a request holds its memory while none of its kind has ended.
const DEFAULT_HOLD: Duration = Duration::from_secs(1);
/// Number of standard deviations of the arrivals of short requests for which room is kept.
const SPREAD: f64 = 2.0;
/// Shortest time for which requests are taken to hold their memory, in seconds.
const MIN_HOLD_SECS: f64 = 0.001;
/// Time between two calculations of the sums over all nodes.
const REFRESH_INTERVAL: Duration = Duration::from_millis(50);
/// Short requests per second below which none are expected.
const MIN_ARRIVALS: f64 = 0.05;
/// Part of the time until its target that a short request may wait for a place. The rest is for its way
/// and for the engine.
const WAIT_SHARE: f64 = 0.25;

/// Decayed number of events.
#[derive(Debug, Clone, Copy)]
struct Count {
    /// Number of events, decayed up to `updated`.
    events: f64,
    /// Time of the first event.
    since: Instant,
    /// Time of the last event.
    updated: Instant,
}

/// Requests of one kind at this node.
#[derive(Debug, Clone, Copy)]
struct Flow {
    /// Requests that arrived.
    arrivals: Count,
    /// Requests that were started.
    starts: Count,
    /// Mean memory of a request.
    size: f64,
    /// Mean time for which a request holds its memory.
    hold: Duration,
    /// Mean time from the start of a request to its first token.
    lead: Duration,
    /// Mean time that a request may wait for a place.
    patience: Duration,
}

/// Requests of one kind at one node, as it tells others.
#[record]
#[derive(Copy)]
pub struct Stream {
    /// Kind of the requests.
    pub kind: Kind,
    /// Requests per second that arrive.
    pub arrivals: f64,
    /// Requests per second that are started.
    pub starts: f64,
    /// Mean memory of a request.
    pub size: f64,
    /// Mean time for which a request holds its memory.
    pub hold: Duration,
    /// Mean time that a request may wait for a place.
    pub patience: Duration,
}

/// Requests of all kinds in the fleet.
#[derive(Debug, Default)]
pub struct Forecast {
    /// Requests at this node.
    own: BTreeMap<Kind, Flow>,
    /// Last report of each other node.
    others: HashMap<InstanceId, (Vec<Stream>, Instant)>,
    /// Sums over all nodes by kind, as last calculated.
    totals: BTreeMap<Kind, Total>,
    /// When they were calculated.
    refreshed: Option<Instant>,
}

/// Requests of one kind at all nodes.
#[derive(Debug, Clone, Copy, Default)]
struct Total {
    /// Requests per second that arrive.
    arrivals: f64,
    /// Memory per second that arriving requests ask for.
    demand: f64,
    /// Memory per second of the requests that are started.
    started: f64,
    /// The same times the time for which they hold it.
    held: f64,
    /// Arrivals times the time that a request may wait for a place.
    patience: f64,
}

/// Room to keep for short requests.
#[derive(Debug, Clone, Copy, Default)]
pub struct Reserve {
    /// Number of places to keep free.
    pub places: usize,
    /// Memory of a place.
    pub size: Tokens,
}

/// Returns a smoothed mean after a new value.
fn smooth(mean: Duration, value: Duration) -> Duration {
    mean.mul_f64(1.0 - SMOOTHING) + value.mul_f64(SMOOTHING)
}

impl Count {
    /// Creates a count without events.
    fn new(now: Instant) -> Self {
        Self {
            events: 0.0,
            since: now,
            updated: now,
        }
    }

    /// Returns the number of events, decayed up to `now`.
    fn decayed(&self, now: Instant) -> f64 {
        let age = now.saturating_duration_since(self.updated);
        self.events * (-age.as_secs_f64() / RATE_TIME.as_secs_f64()).exp()
    }

    /// Adds an event.
    fn add(&mut self, now: Instant) {
        self.events = self.decayed(now) + 1.0;
        self.updated = now;
    }

    /// Returns the events per second.
    fn rate(&self, now: Instant) -> f64 {
        let time = RATE_TIME.as_secs_f64();
        let age = now.saturating_duration_since(self.since).max(MIN_RATE_TIME);
        let seen = 1.0 - (-age.as_secs_f64() / time).exp();
        self.decayed(now) / (time * seen)
    }
}

impl Flow {
    /// Returns what other nodes are told of the requests of a kind.
    fn stream(&self, kind: Kind, now: Instant) -> Stream {
        Stream {
            kind,
            arrivals: self.arrivals.rate(now),
            starts: self.starts.rate(now),
            size: self.size,
            hold: self.hold,
            patience: self.patience,
        }
    }
}

impl Forecast {
    /// Counts a request that arrived, with the time until its target.
    pub fn arrive(&mut self, kind: Kind, size: Tokens, target: Duration, now: Instant) {
        let patience = target.mul_f64(WAIT_SHARE);
        let flow = self.own.entry(kind).or_insert_with(|| Flow {
            arrivals: Count::new(now),
            starts: Count::new(now),
            size: size as f64,
            hold: DEFAULT_HOLD,
            lead: Duration::ZERO,
            patience,
        });
        flow.arrivals.add(now);
        flow.size += SMOOTHING * (size as f64 - flow.size);
        flow.patience = smooth(flow.patience, patience);
    }

    /// Counts a request that was started.
    pub fn start(&mut self, kind: Kind, now: Instant) {
        if let Some(flow) = self.own.get_mut(&kind) {
            flow.starts.add(now);
        }
    }

    /// Records the time from the start of a request to its first token.
    pub fn observe_lead(&mut self, kind: Kind, lead: Duration) {
        if let Some(flow) = self.own.get_mut(&kind) {
            flow.lead = smooth(flow.lead, lead);
        }
    }

    /// Records the time for which a request that has ended held its memory.
    pub fn observe_hold(&mut self, kind: Kind, hold: Duration) {
        if let Some(flow) = self.own.get_mut(&kind) {
            flow.hold = smooth(flow.hold, hold);
        }
    }

    /// Returns the expected time from the start of a request to its first token.
    pub fn lead(&self, kind: Kind) -> Duration {
        self.own.get(&kind).map_or(Duration::ZERO, |flow| flow.lead)
    }

    /// Returns the expected time for which a request holds its memory.
    pub fn hold(&self, kind: Kind) -> Duration {
        self.own.get(&kind).map_or(DEFAULT_HOLD, |flow| flow.hold)
    }

    /// Returns the mean memory of a request, or infinity if none of its kind has arrived.
    pub(crate) fn mean_size(&self, kind: Kind) -> f64 {
        self.own.get(&kind).map_or(f64::INFINITY, |flow| flow.size)
    }

    /// Returns the requests of this node for the other nodes.
    pub fn report(&self, now: Instant) -> Vec<Stream> {
        let own = self.own.iter();
        own.map(|(kind, flow)| flow.stream(*kind, now)).collect()
    }

    /// Replaces what another node reported.
    pub fn learn(&mut self, from: InstanceId, streams: Vec<Stream>, now: Instant) {
        self.others.insert(from, (streams, now));
    }

    /// Sums up the requests of all nodes if the last sums are old, and removes expired reports.
    pub(crate) fn refresh(&mut self, now: Instant) {
        let fresh = |at: Instant| now.saturating_duration_since(at) < REFRESH_INTERVAL;
        if self.refreshed.is_some_and(fresh) {
            return;
        }
        self.refreshed = Some(now);
        self.others
            .retain(|_, (_, at)| now.saturating_duration_since(*at) < REPORT_TTL);
        self.totals.clear();
        let own = self.own.iter();
        let own = own.map(|(kind, flow)| flow.stream(*kind, now));
        let others = self.others.values();
        let others = others.flat_map(|(streams, _)| streams.iter().copied());
        for stream in own.chain(others) {
            let total = self.totals.entry(stream.kind).or_default();
            let started = stream.starts * stream.size;
            total.arrivals += stream.arrivals;
            total.demand += stream.arrivals * stream.size;
            total.started += started;
            total.held += started * stream.hold.as_secs_f64();
            total.patience += stream.arrivals * stream.patience.as_secs_f64();
        }
    }

    /// Returns the sums of the kinds of a service.
    fn totals(&self, service: ServiceId) -> impl Iterator<Item = (&Kind, &Total)> {
        let totals = self.totals.iter();
        totals.filter(move |(kind, _)| kind.service == service)
    }

    /// Returns the memory per second that arriving requests of some kinds ask for at all nodes.
    pub(crate) fn demand(&self, service: ServiceId, selects: impl Fn(&Kind) -> bool) -> f64 {
        let totals = self.totals(service);
        let matching = totals.filter(|(kind, _)| selects(kind));
        matching.map(|(_, total)| total.demand).sum()
    }

    /// Returns the memory per second of the requests that were started lately at all nodes.
    pub(crate) fn started(&self, service: ServiceId) -> f64 {
        self.totals(service).map(|(_, total)| total.started).sum()
    }

    /// Returns the memory per second that becomes free at a service whose runs hold `held`. By
    /// Little's law, this is what they hold over the mean time for which they hold it, weighted by
    /// the memory of the requests that were started lately.
    pub(crate) fn release_rate(&self, service: ServiceId, held: Tokens) -> f64 {
        let started = self.started(service);
        let weighted: f64 = self.totals(service).map(|(_, total)| total.held).sum();
        let mean_secs = if started > 0.0 {
            weighted / started
        } else {
            DEFAULT_HOLD.as_secs_f64()
        };
        held as f64 / mean_secs.max(MIN_HOLD_SECS)
    }

    /// Returns the room to keep for short requests of a service whose runs hold `held`: for those that are
    /// likely to arrive within the time that one of them may wait, less the places that become free
    /// in this time. Where runs end fast enough, nothing has to be kept.
    pub fn reserve(&self, service: ServiceId, held: Tokens) -> Reserve {
        let mut short = Total::default();
        for (_, total) in self.totals(service).filter(|(kind, _)| kind.short) {
            short.arrivals += total.arrivals;
            short.demand += total.demand;
            short.patience += total.patience;
        }
        if short.arrivals < MIN_ARRIVALS {
            return Reserve::default();
        }
        let size = short.demand / short.arrivals;
        let wait = short.patience / short.arrivals;
        let expected = short.patience;
        let released = self.release_rate(service, held) * wait / size.max(1.0);
        let places = expected + SPREAD * expected.sqrt() - released;
        Reserve {
            places: places.max(0.0).ceil() as usize,
            size: size as Tokens,
        }
    }
}
