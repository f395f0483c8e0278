//! One endpoint in the pool: its loads and its health.

use std::collections::HashMap;
use std::sync::Arc;
use std::time::{Duration, Instant};

use crate::endpoint::{Endpoint, Kind, State};
use crate::id::{InstanceId, Revision, ServiceId};
use crate::load::{Load, Need};
use crate::pool::Sign;
use crate::zone::{Distance, Zone};

/// Share of an engine's memory that new long runs may reserve. The rest receives short runs and the
/// runs of engines that leave, and absorbs outputs that are longer than expected.
const MEMORY_FOR_RUNS: f64 = 0.9;
/// Share of an engine's memory that may be reserved once short runs, and runs of engines that leave,
/// are added.
pub(crate) const MEMORY_FOR_ALL: f64 = 1.0;
/// Prompt tokens in front of a request that weigh as much as a full memory.
const PREFILL_SCALE: f64 = 12_000.0;
/// Requests per slot of a plain endpoint that are sent before others wait at the node.
const PLAIN_DEPTH: u32 = 2;
/// Weight of an endpoint in another availability zone, as a share of its capacity.
const ZONE_WEIGHT: f64 = 0.04;
/// Weight of an endpoint in another region, as a share of its capacity.
const REGION_WEIGHT: f64 = 0.5;
/// Weight of an endpoint that has just started and is slow.
const COLD_WEIGHT: f64 = 0.5;
/// Weight of an endpoint whose requests all fail.
const FAILURE_WEIGHT: f64 = 2.0;
/// Share of the newest result in the failure rate of an endpoint.
const FAILURE_SHARE: f64 = 0.2;
/// Time after which the load of a node that is not heard from is dropped.
const DIGEST_LIFETIME: Duration = Duration::from_secs(2);
/// Requests in a row that an endpoint loses before it is left out.
const LOSSES: u32 = 2;
/// First time for which an endpoint that does not accept or keep connections is left out.
const EJECTION: Duration = Duration::from_millis(500);
/// Longest time for which an endpoint is left out before it is tried again.
const LONGEST_EJECTION: Duration = Duration::from_secs(4);

/// An endpoint with what is known of its load and health.
#[derive(Debug)]
pub(crate) struct Seat {
    /// The endpoint.
    pub(crate) endpoint: Arc<Endpoint>,
    /// Load of this node.
    pub(crate) own: Load,
    /// Loads of other nodes, with the times of their digests.
    pub(crate) others: HashMap<InstanceId, (Load, Instant)>,
    /// End of the time for which the endpoint is slow after its start.
    pub(crate) cold_until: Instant,
    /// When the endpoint counts as gone unless it is listed again.
    pub(crate) doubtful_until: Option<Instant>,
    /// Revision of the store at which the endpoint was listed last.
    pub(crate) listed_at: Revision,
    /// When the store said that the endpoint leaves or is gone, and at which revision.
    pub(crate) departed: Option<(Instant, Revision)>,
    /// When the entry of the endpoint ended, unless it is listed.
    pub(crate) unlisted: Option<Instant>,
    /// End of the time for which no request is sent, and its length.
    ejected: Option<(Instant, Duration)>,
    /// Whether the endpoint is left out for a reason that concerns every node.
    pub(crate) fails_all: bool,
    /// Requests in a row that the endpoint lost.
    losses: u32,
    /// Share of failed requests among the newest ones.
    failures: f64,
}

impl Seat {
    /// Creates the seat of an endpoint without load.
    pub(crate) fn new(endpoint: Arc<Endpoint>, cold_until: Instant) -> Self {
        Self {
            endpoint,
            own: Load::default(),
            others: HashMap::new(),
            cold_until,
            doubtful_until: None,
            listed_at: 0,
            departed: None,
            unlisted: None,
            ejected: None,
            fails_all: false,
            losses: 0,
            failures: 0.0,
        }
    }

    /// Learns from the end of a request.
    pub(crate) fn observe(&mut self, sign: Sign, now: Instant) {
        let failed = match sign {
            Sign::Nothing => return,
            Sign::Sound => 0.0,
            Sign::Failed | Sign::Unreachable | Sign::Refused | Sign::Lost => 1.0,
        };
        self.failures += FAILURE_SHARE * (failed - self.failures);
        self.losses = if sign == Sign::Lost {
            self.losses + 1
        } else {
            0
        };
        let again = self.ejected.is_some();
        match sign {
            Sign::Unreachable | Sign::Refused => self.eject(sign, now),
            // One request may be lost for reasons of its own.
            Sign::Lost if again || self.losses >= LOSSES => self.eject(sign, now),
            Sign::Lost => {}
            _ => self.ejected = None,
        }
    }

    /// Leaves the endpoint out for a while, which doubles each time.
    fn eject(&mut self, sign: Sign, now: Instant) {
        self.fails_all = sign != Sign::Unreachable;
        let last = self.ejected.map_or(EJECTION / 2, |(_, length)| length);
        let length = (last * 2).min(LONGEST_EJECTION);
        self.ejected = Some((now + length, length));
    }

    /// Returns whether the endpoint belongs to a service and is not leaving.
    pub(crate) fn serves(&self, service: ServiceId) -> bool {
        let listed = self.unlisted.is_none();
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
            .filter(|(_, taken)| now.saturating_duration_since(*taken) < DIGEST_LIFETIME);
        fresh.fold(self.own, |sum, (load, _)| sum.plus(*load))
    }

    /// Returns the share of the memory that is reserved once a request is added.
    pub(crate) fn filled(&self, need: &Need, now: Instant) -> f64 {
        (self.load(now).tokens + need.tokens()) as f64 / need.memory.max(1) as f64
    }

    /// Returns whether a request can start soon.
    pub(crate) fn fits(&self, need: &Need, now: Instant) -> bool {
        let runs = self.load(now).runs;
        match self.endpoint.kind {
            Kind::Engine => {
                let alone = runs == 0;
                let most = if need.is_short() {
                    MEMORY_FOR_ALL
                } else {
                    MEMORY_FOR_RUNS
                };
                let roomy = alone || self.filled(need, now) <= most;
                runs < self.endpoint.slots.min(need.connections) && roomy
            }
            Kind::Plain => {
                let most = self.endpoint.slots.max(1) * PLAIN_DEPTH;
                runs < most.min(need.connections)
            }
        }
    }

    /// Returns how much speaks against the endpoint; a full one weighs about one.
    pub(crate) fn weight(&self, need: &Need, zone: &Zone, now: Instant) -> f64 {
        let load = self.load(now);
        let full = match self.endpoint.kind {
            Kind::Engine => {
                load.tokens as f64 / need.memory.max(1) as f64 + load.prefill as f64 / PREFILL_SCALE
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
        full + distance + cold + FAILURE_WEIGHT * self.failures
    }
}
