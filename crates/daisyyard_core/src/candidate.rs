//! One endpoint in the pool: its loads and its health.

use std::collections::HashMap;
use std::sync::Arc;
use std::time::{Duration, Instant};

use crate::endpoint::{Endpoint, Kind, State};
use crate::id::{InstanceId, Revision, ServiceId};
use crate::load::{Load, Need};
use crate::pool::Signal;
use crate::zone::{Distance, Zone};

/// Share of an engine's memory that new long runs may reserve. The rest receives short runs and the
/// runs of engines that leave, and absorbs outputs that are longer than expected.
const MAX_LONG_RUN_MEMORY_SHARE: f64 = 0.9;
/// Share of an engine's memory that may be reserved once short runs, and runs of engines that leave,
/// are added.
pub(crate) const MAX_MEMORY_SHARE: f64 = 1.0;
/// Prompt tokens in front of a request that weigh as much as a full memory.
const FULL_PREFILL_TOKENS: f64 = 12_000.0;
/// Requests per slot of a plain endpoint that are sent before others wait at the node.
const PLAIN_REQUESTS_PER_SLOT: u32 = 2;
/// Weight of an endpoint in another availability zone, as a share of its capacity.
const ZONE_WEIGHT: f64 = 0.04;
/// Weight of an endpoint in another region, as a share of its capacity.
const REGION_WEIGHT: f64 = 0.5;
/// Weight of an endpoint that has just started and is slow.
const COLD_WEIGHT: f64 = 0.5;
/// Weight of an endpoint whose requests all fail.
const FAILURE_WEIGHT: f64 = 2.0;
/// Share of the newest result in the failure rate of an endpoint.
const FAILURE_SMOOTHING: f64 = 0.2;
/// Time after which the load of a node that is not heard from is dropped.
const DIGEST_TTL: Duration = Duration::from_secs(2);
/// Requests in a row that an endpoint loses before it is left out.
const MAX_LOSSES: u32 = 2;
/// First time for which an endpoint that does not accept or keep connections is left out.
const FIRST_EJECTION: Duration = Duration::from_millis(500);
/// Longest time for which an endpoint is left out before it is tried again.
const MAX_EJECTION: Duration = Duration::from_secs(4);

/// An endpoint with what is known of its load and health.
#[derive(Debug)]
pub(crate) struct Candidate {
    /// The endpoint.
    pub(crate) endpoint: Arc<Endpoint>,
    /// Load of this node.
    pub(crate) own: Load,
    /// Loads of other nodes, with the times of their digests.
    pub(crate) others: HashMap<InstanceId, (Load, Instant)>,
    /// End of the time for which the endpoint is slow after its start.
    pub(crate) cold_until: Instant,
    /// When the endpoint counts as gone unless it is listed again.
    pub(crate) grace_until: Option<Instant>,
    /// Revision of the store at which the endpoint was listed last.
    pub(crate) listed_at: Revision,
    /// When the store said that the endpoint leaves or is gone, and at which revision.
    pub(crate) departed: Option<(Instant, Revision)>,
    /// When the entry of the endpoint ended, unless it is listed.
    pub(crate) unlisted_at: Option<Instant>,
    /// End of the time for which no request is sent, and its length.
    ejected: Option<(Instant, Duration)>,
    /// Whether the endpoint is left out for a reason that concerns every node.
    pub(crate) fails_everywhere: bool,
    /// Requests in a row that the endpoint lost.
    losses: u32,
    /// Share of failed requests among the newest ones.
    failure_rate: f64,
}

impl Candidate {
    /// Creates the seat of an endpoint without load.
    pub(crate) fn new(endpoint: Arc<Endpoint>, cold_until: Instant) -> Self {
        Self {
            endpoint,
            own: Load::default(),
            others: HashMap::new(),
            cold_until,
            grace_until: None,
            listed_at: 0,
            departed: None,
            unlisted_at: None,
            ejected: None,
            fails_everywhere: false,
            losses: 0,
            failure_rate: 0.0,
        }
    }

    /// Learns from the end of a request.
    pub(crate) fn observe(&mut self, sign: Signal, now: Instant) {
        let failed = match sign {
            Signal::Neutral => return,
            Signal::Answered => 0.0,
            Signal::Failed | Signal::Unreachable | Signal::Refused | Signal::Lost => 1.0,
        };
        self.failure_rate += FAILURE_SMOOTHING * (failed - self.failure_rate);
        self.losses = if sign == Signal::Lost {
            self.losses + 1
        } else {
            0
        };
        let again = self.ejected.is_some();
        match sign {
            Signal::Unreachable | Signal::Refused => self.eject(sign, now),
            // One request may be lost for reasons of its own.
            Signal::Lost if again || self.losses >= MAX_LOSSES => self.eject(sign, now),
            Signal::Lost => {}
            _ => self.ejected = None,
        }
    }

    /// Leaves the endpoint out for a while, which doubles each time.
    fn eject(&mut self, sign: Signal, now: Instant) {
        self.fails_everywhere = sign != Signal::Unreachable;
        let last = self
            .ejected
            .map_or(FIRST_EJECTION / 2, |(_, length)| length);
        let length = (last * 2).min(MAX_EJECTION);
        self.ejected = Some((now + length, length));
    }

    /// Returns whether the endpoint belongs to a service and is not leaving.
    pub(crate) fn serves(&self, service: ServiceId) -> bool {
        let listed = self.unlisted_at.is_none();
        listed && self.endpoint.service == service && self.endpoint.state == State::Live
    }

    /// Returns whether requests may be sent.
    pub(crate) fn usable(&self, now: Instant) -> bool {
        self.ejected.is_none_or(|(until, _)| until <= now)
    }

    /// Returns the load of all nodes.
    pub(crate) fn load(&self, now: Instant) -> Load {
        let fresh = self
            .others
            .values()
            .filter(|(_, taken)| now.saturating_duration_since(*taken) < DIGEST_TTL);
        fresh.fold(self.own, |sum, (load, _)| sum.plus(*load))
    }

    /// Returns the share of the memory that is reserved once a request is added.
    pub(crate) fn memory_share(&self, need: &Need, now: Instant) -> f64 {
        (self.load(now).tokens + need.tokens()) as f64 / need.memory.max(1) as f64
    }

    /// Returns whether a request can start soon.
    pub(crate) fn fits(&self, need: &Need, now: Instant) -> bool {
        let runs = self.load(now).runs;
        match self.endpoint.kind {
            Kind::Engine => {
                let alone = runs == 0;
                let most = if need.is_short() {
                    MAX_MEMORY_SHARE
                } else {
                    MAX_LONG_RUN_MEMORY_SHARE
                };
                let roomy = alone || self.memory_share(need, now) <= most;
                runs < self.endpoint.slots.min(need.connections) && roomy
            }
            Kind::Plain => {
                let most = self.endpoint.slots.max(1) * PLAIN_REQUESTS_PER_SLOT;
                runs < most.min(need.connections)
            }
        }
    }

    /// Returns how much speaks against the endpoint; a full one weighs about one.
    pub(crate) fn weight(&self, need: &Need, zone: &Zone, now: Instant) -> f64 {
        let load = self.load(now);
        let full = match self.endpoint.kind {
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
        full + distance + cold + FAILURE_WEIGHT * self.failure_rate
    }
}
