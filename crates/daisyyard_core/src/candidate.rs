//! An endpoint of the pool that requests may be sent to, with its loads and its health.

use std::collections::HashMap;
use std::sync::Arc;
use std::time::{Duration, Instant};

use crate::access::{Access, Reason};
use crate::brittleness::Brittleness;
use crate::endpoint::{Endpoint, Kind};
use crate::id::{InstanceId, ServiceId, Tokens};
use crate::load::{Load, Need};
use crate::pace::{Pace, Stretches};
use crate::pool::Signal;
use crate::revision::Revision;
use crate::statement::Statements;
use crate::throttle::{self, Throttle};
use crate::warmup::Warmup;
use crate::zone::{Distance, Zone};

/// Share of the memory of an engine that new long runs may reserve. The rest is for short runs, for
/// runs of leaving engines, and for outputs that are longer than expected.
const MAX_LONG_RUN_MEMORY_SHARE: f64 = 0.8;
/// Share of the memory of an engine that may be reserved by all runs, including short runs and runs
/// of leaving engines.
pub(crate) const MAX_MEMORY_SHARE: f64 = 1.0;
/// Number of waiting prompt tokens that weigh as much as a full memory.
const FULL_PREFILL_TOKENS: f64 = 12_000.0;
/// Requests per slot that are sent to a plain endpoint before further ones wait at the node.
const PLAIN_REQUESTS_PER_SLOT: u32 = 2;
/// Weight of an endpoint in another availability zone, as a share of its capacity.
const ZONE_WEIGHT: f64 = 0.04;
/// Weight of an endpoint in another region, as a share of its capacity.
const REGION_WEIGHT: f64 = 0.5;
/// Weight of an endpoint that is slow because it has just started.
const COLD_WEIGHT: f64 = 0.5;
/// Weight of an endpoint whose requests all fail; it is proportional to the failure rate.
const FAILURE_WEIGHT: f64 = 2.0;
/// Weight of an engine at which a long stream is likely to pause for too long.
const LONG_PAUSE_WEIGHT: f64 = 0.4;
/// Smoothing factor of the failure rate, which is the weight of the newest result.
const FAILURE_SMOOTHING: f64 = 0.2;
/// Time after which the load of a node expires if no newer digest arrives.
const DIGEST_TTL: Duration = Duration::from_secs(2);
/// Consecutive lost requests after which an endpoint is ejected.
const MAX_LOSSES: u32 = 2;
/// Duration of the first ejection of an endpoint that does not accept or keep connections.
const FIRST_EJECTION: Duration = Duration::from_millis(500);
/// Longest duration of an ejection before the endpoint is tried again.
const MAX_EJECTION: Duration = Duration::from_secs(4);

/// An endpoint with its load and health.
#[derive(Debug)]
pub(crate) struct Candidate {
    /// Description of the endpoint.
    pub(crate) endpoint: Arc<Endpoint>,
    /// Load of this node.
    pub(crate) local_load: Load,
    /// When this start of the endpoint was first listed.
    pub(crate) since: Instant,
    /// Loads of other nodes, with the arrival times of their digests.
    pub(crate) node_loads: HashMap<InstanceId, (Load, Instant)>,
    /// End of the time in which the endpoint is slow after its start.
    pub(crate) cold_until: Instant,
    /// End of the grace period after which the endpoint is removed unless it is listed again.
    pub(crate) grace_until: Option<Instant>,
    /// Latest revision of the store at which the endpoint was listed.
    pub(crate) listed_at: Revision,
    /// Time and revision of the store at which the endpoint started to leave or was removed.
    pub(crate) departed: Option<(Instant, Revision)>,
    /// Time at which the endpoint was removed from the list; none while it is listed.
    pub(crate) unlisted_at: Option<Instant>,
    /// Whether the availability zone of the endpoint is evacuated.
    pub(crate) evacuated: bool,
    /// What the endpoint has stated in its answers.
    pub(crate) statements: Statements,
    /// Start and duration of the latest ejection.
    ejected: Option<(Instant, Duration)>,
    /// Whether the endpoint was ejected for a failure that affects all nodes.
    pub(crate) fails_everywhere: bool,
    /// Number of consecutive lost requests.
    losses: u32,
    /// Exponentially smoothed share of failed requests.
    failure_rate: f64,
    /// Pace of the engine.
    pub(crate) pace: Pace,
    /// Cold time of the endpoint, and the places that this node takes meanwhile.
    pub(crate) warmup: Warmup,
    /// Limit that the endpoint states for all nodes together.
    pub(crate) throttle: Throttle,
    /// Whether the endpoint falls over if it has to turn many requests away.
    pub(crate) brittleness: Brittleness,
    /// Share of the memory that new long runs may reserve.
    pub(crate) max_long_share: f64,
    /// Prompt tokens that may wait at the engine when a request is sent to it.
    pub(crate) max_prefill: Tokens,
}

impl Candidate {
    /// Creates a candidate without load.
    pub(crate) fn new(endpoint: Arc<Endpoint>, cold_until: Instant, now: Instant) -> Self {
        Self {
            endpoint,
            local_load: Load::default(),
            since: now,
            node_loads: HashMap::new(),
            cold_until,
            grace_until: None,
            listed_at: Revision::default(),
            departed: None,
            unlisted_at: None,
            evacuated: false,
            statements: Statements::default(),
            ejected: None,
            fails_everywhere: false,
            losses: 0,
            failure_rate: 0.0,
            pace: Pace::default(),
            warmup: Warmup::default(),
            throttle: Throttle::new(throttle::rate),
            brittleness: Brittleness::default(),
            max_long_share: MAX_LONG_RUN_MEMORY_SHARE,
            max_prefill: Tokens::MAX,
        }
    }

    /// Updates the health after a request.
    pub(crate) fn observe(&mut self, signal: Signal, now: Instant) {
        let failed = match signal {
            Signal::Neutral => return,
            Signal::Answered => 0.0,
            Signal::Failed | Signal::Unreachable | Signal::Refused | Signal::Lost => 1.0,
        };
        self.failure_rate += FAILURE_SMOOTHING * (failed - self.failure_rate);
        self.losses = if signal == Signal::Lost {
            self.losses + 1
        } else {
            0
        };
        let ejected_before = self.ejected.is_some();
        match signal {
            Signal::Unreachable | Signal::Refused => self.eject(signal, now),
            // A single lost request may have a cause other than the endpoint.
            Signal::Lost if ejected_before || self.losses >= MAX_LOSSES => self.eject(signal, now),
            Signal::Lost => {}
            _ => self.ejected = None,
        }
    }

    /// Ejects the endpoint for a time that doubles with each ejection in a row.
    fn eject(&mut self, signal: Signal, now: Instant) {
        self.fails_everywhere = signal != Signal::Unreachable;
        let last = self
            .ejected
            .map_or(FIRST_EJECTION / 2, |(_, duration)| duration);
        let duration = (last * 2).min(MAX_EJECTION);
        self.ejected = Some((now, duration));
    }

    /// Returns whether the endpoint is part of a service and could serve it: it is open, or it is
    /// ejected, cold, limited, brittle or turns requests away, and may be asked later.
    pub(crate) fn serves(&self, service: ServiceId, now: Instant) -> bool {
        let may_serve = matches!(
            self.access(now),
            Access::Open
                | Access::Closed(
                    Reason::TurnedAway
                        | Reason::Ejected
                        | Reason::Cold
                        | Reason::Limited
                        | Reason::Brittle,
                    _
                )
        );
        self.endpoint.service == service && may_serve
    }

    /// Returns whether the endpoint could serve a service if its zone were not evacuated.
    pub(crate) fn would_serve(&self, service: ServiceId, now: Instant) -> bool {
        let evacuated = self.access(now) == Access::Closed(Reason::Evacuated, None);
        self.endpoint.service == service && evacuated
    }

    /// Returns the end of the latest ejection, which may have passed.
    pub(crate) fn ejected_until(&self) -> Option<Instant> {
        self.ejected.map(|(at, duration)| at + duration)
    }

    /// Returns when the endpoint was ejected last.
    pub(crate) fn ejected_at(&self) -> Option<Instant> {
        self.ejected.map(|(at, _)| at)
    }

    /// Ends an ejection that is not older than a time, if one is given, because this node was cut off.
    pub(crate) fn lift_ejection(&mut self, since: Option<Instant>) {
        if self.ejected_at().is_some_and(|at| Some(at) >= since) {
            self.ejected = None;
            self.losses = 0;
            self.failure_rate = 0.0;
        }
    }

    /// Returns the sum of the loads of all nodes.
    pub(crate) fn load(&self, now: Instant) -> Load {
        let fresh = self
            .node_loads
            .values()
            .filter(|(_, received)| now.saturating_duration_since(*received) < DIGEST_TTL);
        fresh.fold(self.local_load, |sum, (load, _)| sum.plus(*load))
    }

    /// Returns the share of the memory that is reserved when a request is added.
    pub(crate) fn memory_share(&self, need: &Need, now: Instant) -> f64 {
        (self.load(now).tokens + need.tokens()) as f64 / need.memory.max(1) as f64
    }

    /// Returns how many requests like this one the endpoint has room for.
    pub(crate) fn places(&self, need: &Need, now: Instant) -> usize {
        if !self.fits(need, now) {
            return 0;
        }
        let load = self.load(now);
        let memory = (need.memory as f64 * self.max_share(need)) as Tokens;
        let by_memory = memory.saturating_sub(load.tokens) / need.tokens().max(1);
        let by_slots = u64::from(self.endpoint.slots.saturating_sub(load.runs));
        by_memory.min(by_slots).max(1) as usize
    }

    /// Returns whether the endpoint has room for a request.
    pub(crate) fn fits(&self, need: &Need, now: Instant) -> bool {
        let load = self.load(now);
        let runs = load.runs;
        match self.endpoint.kind {
            Kind::Engine => {
                let idle = runs == 0;
                let max_share = self.max_share(need);
                let has_memory = idle || self.memory_share(need, now) <= max_share;
                let reads_soon = load.prefill <= self.max_prefill;
                runs < self.endpoint.slots.min(need.connections) && has_memory && reads_soon
            }
            Kind::Plain => runs < self.max_plain_runs(now).min(need.connections),
        }
    }

    /// Returns how many requests are sent to a plain endpoint before further ones wait at the node.
    pub(crate) fn max_plain_runs(&self, now: Instant) -> u32 {
        let slots = self.endpoint.slots.max(1);
        if self.brittleness.bound(now).is_some() {
            return slots;
        }
        slots.saturating_mul(PLAIN_REQUESTS_PER_SLOT)
    }

    /// Returns the share of the memory of an engine that may be reserved when a request starts.
    fn max_share(&self, need: &Need) -> f64 {
        if need.is_short() {
            MAX_MEMORY_SHARE
        } else {
            self.max_long_share
        }
    }

    /// Returns the weight of the endpoint; the one with the lowest weight is chosen. A full
    /// endpoint has a weight of about one.
    pub(crate) fn weight(
        &self,
        need: &Need,
        zone: &Zone,
        stretches: &Stretches,
        now: Instant,
    ) -> f64 {
        let load = self.load(now);
        let usage = match self.endpoint.kind {
            Kind::Engine => {
                load.tokens as f64 / need.memory.max(1) as f64
                    + load.prefill as f64 / FULL_PREFILL_TOKENS
            }
            Kind::Plain => f64::from(load.runs) / f64::from(self.endpoint.slots.max(1)),
        };
        let distance = match zone.distance(&self.endpoint.zone) {
            Distance::Local => 0.0,
            Distance::Regional => ZONE_WEIGHT,
            Distance::Remote => REGION_WEIGHT,
        };
        let cold = if self.cold_until > now {
            COLD_WEIGHT
        } else {
            0.0
        };
        let pauses = self.pause_weight(need, load.runs, stretches);
        usage + distance + cold + pauses + FAILURE_WEIGHT * self.failure_rate
    }

    /// Returns the weight for streams that are likely to pause for longer than the target of the
    /// request because of it: its own stream, or those of the `runs` that its prompt delays. A short
    /// stream ends before a pause is likely, so it is welcome at a slow engine that is idle.
    pub(crate) fn pause_weight(&self, need: &Need, runs: u32, stretches: &Stretches) -> f64 {
        let (Some(target), Some(pace)) = (need.target_gap, self.pace.estimate()) else {
            return 0.0;
        };
        let concerns_stream = runs > 0 || !need.is_short();
        if concerns_stream && stretches.longest_pause(need.service, pace) > target {
            LONG_PAUSE_WEIGHT
        } else {
            0.0
        }
    }
}
