//! Routing table of a node: selects the engine or plain endpoint to ask for a request.

use std::collections::{BTreeMap, VecDeque};
use std::time::{Duration, Instant};

use daisyyard_derive::{key, value};
use rand::{Rng, SeedableRng};
use rand_pcg::Pcg32;

use crate::contract::{Contract, Rank};
use crate::endpoint::{Endpoint, State};
use crate::home;
use crate::id::{AccountId, EndpointId, Fingerprint, InstanceId, RequestId, ServiceId, Tokens};
use crate::ledger::Digest;
use crate::prefix::{Event, Index, Step};
use crate::zone::{Distance, Zone};

/// Number of endpoints of one service that a node sends to; a bounded subset keeps the load digests
/// of each one recent.
pub const SUBSET_SIZE: usize = 16;
/// Maximum number of engines with a cached prefix that are compared with the two random candidates.
const MAX_HOLDERS: usize = 2;
/// Maximum number of own sends to one endpoint that are tracked.
const MAX_SENDS: usize = 256;
/// Time after which an own send no longer counts as load if no digest arrives.
const SEND_LIFETIME: Duration = Duration::from_secs(10);
/// Half-life of the weight of a digest.
const DIGEST_HALF_LIFE: Duration = Duration::from_secs(5);
/// Load assumed for an endpoint without a digest, as a share of its capacity.
const UNKNOWN_LOAD: f64 = 0.3;
/// Cost, in shares of the capacity, of one second between tokens; 31 ms cost 0.16.
const GAP_COST_PER_SECOND: f64 = 5.0;
/// Cost, in shares of the capacity, of the distance to another zone of the region.
const REGIONAL_COST: f64 = 0.02;
/// Cost, in shares of the capacity, of the distance to another region.
const REMOTE_COST: f64 = 0.5;
/// Cost that a fully cached long prompt saves at most, in shares of the capacity.
const PREFIX_GAIN: f64 = 0.2;
/// Prompt length, in tokens, at which half of [`PREFIX_GAIN`] is reached.
const PREFIX_HALF_GAIN_TOKENS: f64 = 512.0;
/// Cost from which a cached prefix is ignored.
const PREFIX_MAX_LOAD: f64 = 0.9;
/// Delay after which a request may retry if no endpoint accepts new work.
const NO_ENDPOINT_RETRY_AFTER: Duration = Duration::from_secs(1);

/// Maximum number of engines that a node asks for one request before it refuses it.
pub const MAX_ENGINES_ASKED: usize = 3;
/// Divisor of the first-token target that gives the time spent waiting at each engine but the last.
const WAIT_DIVISOR: u32 = 4;
/// Share of the first-token target that an urgent request waits in total; the rest is left for its
/// prompt. A request granted later would miss its target and take capacity from another.
const LAST_WAIT_SHARE: f64 = 0.96;

/// Returns the time after its arrival until which a request waits at the `nth` engine asked,
/// counted from zero, if it asks that engine `asked_at` after its arrival.
///
/// An urgent request moves on from a busy engine while another one may still meet its target. If it
/// asks an engine late, the time left is divided among the engines that it may still ask, so that a
/// delay at one engine does not use up the time of the next. A deferrable request stays, because
/// moving on would cost its position in the queue.
pub fn max_wait(contract: &Contract, rank: Rank, nth: usize, asked_at: Duration) -> Duration {
    if rank == Rank::Urgent {
        let last = contract.first_token.mul_f64(LAST_WAIT_SHARE);
        let left = last.saturating_sub(asked_at);
        let engines_left = MAX_ENGINES_ASKED.saturating_sub(nth).max(1) as u32;
        let wait = if engines_left > 1 {
            (left / engines_left).min(contract.first_token / WAIT_DIVISOR)
        } else {
            left
        };
        (asked_at + wait).min(contract.queue_timeout)
    } else {
        contract.queue_timeout
    }
}

/// Properties of a request that routing depends on.
#[value]
pub struct Request {
    /// Identifier of the request at the node that received it.
    pub id: RequestId,
    /// Service that the caller asks for.
    pub service: ServiceId,
    /// Client account of the caller.
    pub account: AccountId,
    /// Rank of the request.
    pub rank: Rank,
    /// Prompt length in tokens.
    pub prompt: Tokens,
    /// Fingerprints of the prompt's leading blocks, shortest prefix first.
    pub prefix: Vec<Fingerprint>,
}

/// Routing decision for a request.
#[key]
pub enum Choice {
    /// Ask the home node of this engine for a grant, or send to the endpoint if it is a plain one.
    Endpoint(EndpointId),
    /// Refuse the request, because no endpoint of the service accepts new work.
    Refuse {
        /// Delay after which the caller may retry.
        retry_after: Duration,
    },
}

/// Endpoint with the load information that the node has about it.
#[derive(Debug)]
struct Candidate {
    /// Settings and state of the endpoint.
    endpoint: Endpoint,
    /// Last digest from the endpoint's home node, with the time of its creation.
    digest: Option<(Digest, Instant)>,
    /// Times of this node's sends that the digest does not include, oldest first.
    sends: VecDeque<Instant>,
    /// Number of requests sent since the digest without a recorded time.
    untimed_sends: u32,
}

/// Place of an endpoint in the node's order of the endpoints of a service: those in the node's
/// region first, then by rendezvous hash.
type Place = (bool, u64, EndpointId);

/// Routing table of a node.
#[derive(Debug)]
pub struct Table {
    /// Identifier of the node.
    node: InstanceId,
    /// Availability zone of the node.
    zone: Zone,
    /// Endpoints by identifier.
    candidates: BTreeMap<EndpointId, Candidate>,
    /// Live endpoints by service, in the node's order.
    services: BTreeMap<ServiceId, Vec<Place>>,
    /// Prompt prefixes by engine.
    prefixes: Index,
}

impl Table {
    /// Creates an empty table for the only node of a zone.
    pub fn new(zone: Zone) -> Self {
        Self::for_node(zone.id, zone)
    }

    /// Creates an empty table for a node, whose identifier determines its subset of engines.
    pub fn for_node(node: InstanceId, zone: Zone) -> Self {
        Self {
            node,
            zone,
            candidates: BTreeMap::new(),
            services: BTreeMap::new(),
            prefixes: Index::default(),
        }
    }

    /// Adds an endpoint, or updates it and keeps its load information.
    pub fn insert(&mut self, endpoint: Endpoint) {
        let known = self.candidates.remove(&endpoint.id);
        if let Some(candidate) = &known {
            self.remove_place(&candidate.endpoint);
        }
        if endpoint.state == State::Live {
            let place = self.place(&endpoint);
            let places = self.services.entry(endpoint.service).or_default();
            if let Err(index) = places.binary_search(&place) {
                places.insert(index, place);
            }
        }
        let mut candidate = known.unwrap_or_else(|| Candidate::new(endpoint.clone()));
        candidate.endpoint = endpoint;
        self.candidates.insert(candidate.endpoint.id, candidate);
    }

    /// Removes an endpoint and its cached prefixes.
    pub fn remove(&mut self, endpoint: EndpointId) {
        if let Some(candidate) = self.candidates.remove(&endpoint) {
            self.remove_place(&candidate.endpoint);
            self.prefixes.restart(endpoint);
        }
    }

    /// Sets the state of an endpoint, which determines whether it receives new work.
    pub fn set_state(&mut self, endpoint: EndpointId, state: State) {
        if let Some(endpoint) = self.get(endpoint).cloned() {
            self.insert(Endpoint { state, ..endpoint });
        }
    }

    /// Returns the endpoints of a service, including those that accept no new work.
    pub fn endpoints_of(&self, service: ServiceId) -> Vec<EndpointId> {
        let offers = |endpoint: &&Endpoint| endpoint.service == service;
        self.endpoints()
            .filter(offers)
            .map(|endpoint| endpoint.id)
            .collect()
    }

    /// Returns the endpoint with the given identifier.
    pub fn get(&self, endpoint: EndpointId) -> Option<&Endpoint> {
        let candidate = self.candidates.get(&endpoint);
        candidate.map(|candidate| &candidate.endpoint)
    }

    /// Returns all endpoints.
    pub fn endpoints(&self) -> impl Iterator<Item = &Endpoint> {
        self.candidates
            .values()
            .map(|candidate| &candidate.endpoint)
    }

    /// Records a digest that the home node of an engine has just created.
    pub fn record_digest(&mut self, digest: Digest, now: Instant) {
        self.record_aged_digest(digest, Duration::ZERO, now);
    }

    /// Records a digest that the home node of an engine created `age` ago, unless a newer one is
    /// known.
    pub fn record_aged_digest(&mut self, digest: Digest, age: Duration, now: Instant) {
        let created = now.checked_sub(age).unwrap_or(now);
        if let Some(candidate) = self.candidates.get_mut(&digest.endpoint)
            && candidate
                .digest
                .as_ref()
                .is_none_or(|(_, last)| *last <= created)
        {
            let included = candidate.sends.partition_point(|sent| *sent <= created);
            candidate.sends.drain(..included);
            candidate.untimed_sends = 0;
            candidate.digest = Some((digest, created));
        }
    }

    /// Records that this node sent a request to an endpoint; the request counts as load until the
    /// next digest.
    pub fn record_untimed_send(&mut self, endpoint: EndpointId) {
        if let Some(candidate) = self.candidates.get_mut(&endpoint) {
            candidate.untimed_sends = candidate.untimed_sends.saturating_add(1);
        }
    }

    /// Records that this node sent a request to an endpoint; the request counts as load until a
    /// digest created later, and the endpoint is expected to cache its prefix.
    pub fn record_send(&mut self, endpoint: EndpointId, request: &Request, now: Instant) {
        if let Some(candidate) = self.candidates.get_mut(&endpoint) {
            if candidate.sends.len() == MAX_SENDS {
                candidate.sends.pop_front();
            }
            candidate.sends.push_back(now);
            self.prefixes.record_routed(endpoint, &request.prefix);
        }
    }

    /// Records the end of a request; only has an effect for endpoints without digests.
    pub fn record_end(&mut self, endpoint: EndpointId) {
        if let Some(candidate) = self.candidates.get_mut(&endpoint)
            && candidate.digest.is_none()
            && candidate.sends.pop_front().is_none()
        {
            candidate.untimed_sends = candidate.untimed_sends.saturating_sub(1);
        }
    }

    /// Applies an event of an engine's prefix cache.
    pub fn record_cache_event(&mut self, event: &Event) -> Step {
        self.prefixes.accept(event)
    }

    /// Returns the index of prompt prefixes.
    pub fn prefixes(&mut self) -> &mut Index {
        &mut self.prefixes
    }

    /// Returns the prompt tokens of a request that an engine is likely to have cached.
    pub fn cached_tokens(&self, request: &Request, endpoint: EndpointId) -> Tokens {
        let holders = self.prefixes.holders(&request.prefix, SUBSET_SIZE);
        let holder = holders.iter().find(|holder| holder.endpoint == endpoint);
        let share = holder.map_or(0.0, |holder| {
            holder.confidence * holder.blocks as f64 / request.prefix.len() as f64
        });
        (request.prompt as f64 * share) as Tokens
    }

    /// Chooses an endpoint for a request among those not yet tried: the cheapest of two random ones
    /// and of those with a cached prefix.
    pub fn choose(
        &self,
        request: &Request,
        tried: &[EndpointId],
        now: Instant,
        seed: u64,
    ) -> Choice {
        let places = self.services.get(&request.service);
        let places = places.map_or(&[][..], Vec::as_slice);
        let ids = places.iter().map(|(_, _, id)| *id);
        let subset: Vec<EndpointId> = ids
            .filter(|id| !tried.contains(id))
            .take(SUBSET_SIZE)
            .collect();
        let mut random = Pcg32::seed_from_u64(seed);
        let (first, second) = match subset.as_slice() {
            [] => {
                return Choice::Refuse {
                    retry_after: NO_ENDPOINT_RETRY_AFTER,
                };
            }
            [only] => return Choice::Endpoint(*only),
            several => {
                let first = random.random_range(0..several.len());
                let second = (first + random.random_range(1..several.len())) % several.len();
                (several[first], several[second])
            }
        };
        let mut best = (self.cost(first, now), first);
        let cost = (self.cost(second, now), second);
        if cost.0 < best.0 {
            best = cost;
        }
        for holder in self.prefixes.holders(&request.prefix, MAX_HOLDERS) {
            if !subset.contains(&holder.endpoint) {
                continue;
            }
            let cost = self.cost(holder.endpoint, now);
            let blocks = holder.blocks as f64 / request.prefix.len() as f64;
            let prompt = request.prompt as f64;
            let share = holder.confidence * blocks * prompt / (prompt + PREFIX_HALF_GAIN_TOKENS);
            let gain = if cost < PREFIX_MAX_LOAD && !self.has_waiting(holder.endpoint) {
                PREFIX_GAIN * share
            } else {
                0.0
            };
            if cost - gain < best.0 {
                best = (cost - gain, holder.endpoint);
            }
        }
        Choice::Endpoint(best.1)
    }

    /// Returns whether requests waited at an engine according to its last digest.
    fn has_waiting(&self, endpoint: EndpointId) -> bool {
        let digest = self.candidates[&endpoint].digest.as_ref();
        digest.is_some_and(|(digest, _)| digest.queued > 0)
    }

    /// Returns the cost of an endpoint: its load plus a surcharge for its distance.
    fn cost(&self, endpoint: EndpointId, now: Instant) -> f64 {
        let candidate = &self.candidates[&endpoint];
        let distance = match self.zone.distance(&candidate.endpoint.zone) {
            Distance::Local => 0.0,
            Distance::Regional => REGIONAL_COST,
            Distance::Remote => REMOTE_COST,
        };
        candidate.load(now) + distance
    }

    /// Returns the place of an endpoint in the node's order.
    fn place(&self, endpoint: &Endpoint) -> Place {
        let remote = self.zone.distance(&endpoint.zone) == Distance::Remote;
        (remote, !home::weight(endpoint.id, self.node), endpoint.id)
    }

    /// Removes an endpoint from the live endpoints of its service.
    fn remove_place(&mut self, endpoint: &Endpoint) {
        let place = self.place(endpoint);
        if let Some(places) = self.services.get_mut(&endpoint.service)
            && let Ok(index) = places.binary_search(&place)
        {
            places.remove(index);
        }
    }
}

impl Candidate {
    /// Creates a candidate without load information.
    fn new(endpoint: Endpoint) -> Self {
        Self {
            endpoint,
            digest: None,
            sends: VecDeque::new(),
            untimed_sends: 0,
        }
    }

    /// Returns the load as a share of the capacity, including own sends.
    fn load(&self, now: Instant) -> f64 {
        let slots = f64::from(self.endpoint.slots.max(1));
        let old = |sent: &Instant| now.saturating_duration_since(*sent) > SEND_LIFETIME;
        let sends = self.sends.len() - self.sends.partition_point(old);
        let own = (sends as f64 + f64::from(self.untimed_sends)) / slots;
        let Some((digest, created)) = &self.digest else {
            return UNKNOWN_LOAD + own;
        };
        let memory = self.endpoint.memory.max(1) as f64;
        let used = 1.0 - (digest.free_tokens as f64 / memory).min(1.0);
        let running = f64::from(digest.running) / slots;
        let queued = f64::from(digest.queued) / slots;
        let reported =
            running.max(used) + queued + digest.token_gap.as_secs_f64() * GAP_COST_PER_SECOND;
        // An old digest carries little weight, so its engine is neither preferred nor avoided.
        let age = now.saturating_duration_since(*created).as_secs_f64();
        let trust = (-age / DIGEST_HALF_LIFE.as_secs_f64()).exp2();
        reported * trust + UNKNOWN_LOAD * (1.0 - trust) + own
    }
}
