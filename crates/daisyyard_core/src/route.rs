//! Routing at a node: which engine or plain endpoint to ask for a request.

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

/// Endpoints of one service that a node sends to, so that it hears of each often enough.
pub const SUBSET: usize = 16;
/// Engines with a cached prefix that are compared beside the two random ones.
const HOLDERS: usize = 2;
/// Own sends to one endpoint that are remembered.
const SENDS: usize = 256;
/// Time after which an own send counts no more if no digest arrives.
const SEND_MEMORY: Duration = Duration::from_secs(10);
/// Time in which the trust in a digest halves.
const DIGEST_HALF_LIFE: Duration = Duration::from_secs(5);
/// Load that is assumed of an engine of which nothing is known, as a share of its capacity.
const UNKNOWN_LOAD: f64 = 0.3;
/// Load that one second between tokens counts for; 31 ms weigh as much as 0.16 of the capacity.
const GAP_COST: f64 = 5.0;
/// Load that a longer way to another zone of the region counts for.
const REGIONAL_COST: f64 = 0.02;
/// Load that the way to another region counts for.
const REMOTE_COST: f64 = 0.5;
/// Load that a wholly cached long prompt outweighs.
const PREFIX_GAIN: f64 = 0.2;
/// Prompt tokens at which half of that gain is reached.
const PREFIX_HALF: f64 = 512.0;
/// Load from which a cached prefix counts for nothing.
const PREFIX_LOAD: f64 = 0.9;
/// When to ask again if no endpoint may receive new work.
const NOWHERE_RETRY: Duration = Duration::from_secs(1);

/// Engines that a node asks for one request before it refuses it.
pub const ENGINES_ASKED: usize = 3;
/// Part of the first-token target by which the wait at each engine but the last grows.
const TURN_PART: u32 = 4;
/// Part of the first-token target that an urgent request waits in all; the rest is left for its
/// prompt. A request that is granted later misses its target and takes the place of another.
const LAST_TURN: f64 = 0.96;

/// Returns how long after its arrival a request waits at the engine that is asked as the `nth`,
/// counted from zero.
///
/// An urgent request that waits at a busy engine asks another one while its target can still be
/// met. A deferrable one keeps its place, because it would lose its turn in the queue.
pub fn patience(contract: &Contract, rank: Rank, nth: usize) -> Duration {
    if rank == Rank::Urgent {
        let turn = if nth + 1 < ENGINES_ASKED {
            contract.first_token * (nth as u32 + 1) / TURN_PART
        } else {
            contract.first_token.mul_f64(LAST_TURN)
        };
        turn.min(contract.queue)
    } else {
        contract.queue
    }
}

/// A request as far as routing needs to know it.
#[value]
pub struct Request {
    /// Identifier at the node that received it.
    pub id: RequestId,
    /// Service that the caller asks for.
    pub service: ServiceId,
    /// Client account of the caller.
    pub account: AccountId,
    /// Rank of the request.
    pub rank: Rank,
    /// Tokens of the prompt.
    pub prompt: Tokens,
    /// Fingerprints of the prompt's leading blocks, shortest prefix first.
    pub prefix: Vec<Fingerprint>,
}

/// Which endpoint to ask.
#[key]
pub enum Choice {
    /// Ask the home of this endpoint, or send to it if it is a plain endpoint.
    Ask(EndpointId),
    /// Refuse, because no endpoint of the service may receive new work.
    Refuse {
        /// When asking again may help.
        retry_after: Duration,
    },
}

/// An endpoint with what the node knows about its load.
#[derive(Debug)]
struct Candidate {
    /// The endpoint.
    endpoint: Endpoint,
    /// Last digest from the endpoint's home and when it was made.
    digest: Option<(Digest, Instant)>,
    /// When this node sent requests that the digest does not include, oldest first.
    sends: VecDeque<Instant>,
    /// Requests sent since the digest at an unknown time.
    untimed: u32,
}

/// Place of an endpoint in a node's order of the endpoints of a service: those of the node's
/// region first, then by rendezvous hash.
type Place = (bool, u64, EndpointId);

/// The node's table of endpoints.
#[derive(Debug)]
pub struct Table {
    /// The node.
    node: InstanceId,
    /// Availability zone of the node.
    zone: Zone,
    /// Endpoints by identifier.
    candidates: BTreeMap<EndpointId, Candidate>,
    /// Live endpoints by service in the node's order.
    services: BTreeMap<ServiceId, Vec<Place>>,
    /// Prompt prefixes by engine.
    prefixes: Index,
}

impl Table {
    /// Creates an empty table for the only node of a zone.
    pub fn new(zone: Zone) -> Self {
        Self::for_node(zone.id, zone)
    }

    /// Creates an empty table for a node; nodes differ in the subset of engines that they use.
    pub fn for_node(node: InstanceId, zone: Zone) -> Self {
        Self {
            node,
            zone,
            candidates: BTreeMap::new(),
            services: BTreeMap::new(),
            prefixes: Index::default(),
        }
    }

    /// Adds an endpoint or replaces what is known about it.
    pub fn insert(&mut self, endpoint: Endpoint) {
        let known = self.candidates.remove(&endpoint.id);
        if let Some(candidate) = &known {
            self.unlist(&candidate.endpoint);
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

    /// Removes an endpoint.
    pub fn remove(&mut self, endpoint: EndpointId) {
        if let Some(candidate) = self.candidates.remove(&endpoint) {
            self.unlist(&candidate.endpoint);
            self.prefixes.restart(endpoint);
        }
    }

    /// Changes whether an endpoint may receive new work.
    pub fn mark(&mut self, endpoint: EndpointId, state: State) {
        if let Some(endpoint) = self.get(endpoint).cloned() {
            self.insert(Endpoint { state, ..endpoint });
        }
    }

    /// Returns the endpoints of a service, whether or not they may receive new work.
    pub fn members(&self, service: ServiceId) -> Vec<EndpointId> {
        let offers = |endpoint: &&Endpoint| endpoint.service == service;
        self.endpoints()
            .filter(offers)
            .map(|endpoint| endpoint.id)
            .collect()
    }

    /// Returns an endpoint.
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

    /// Takes a digest that the home of an engine has just made.
    pub fn digest(&mut self, digest: Digest, now: Instant) {
        self.learn(digest, Duration::ZERO, now);
    }

    /// Takes a digest that the home of an engine made some time ago.
    pub fn learn(&mut self, digest: Digest, age: Duration, now: Instant) {
        let made = now.checked_sub(age).unwrap_or(now);
        if let Some(candidate) = self.candidates.get_mut(&digest.endpoint)
            && candidate
                .digest
                .as_ref()
                .is_none_or(|(_, last)| *last <= made)
        {
            let included = candidate.sends.partition_point(|sent| *sent <= made);
            candidate.sends.drain(..included);
            candidate.untimed = 0;
            candidate.digest = Some((digest, made));
        }
    }

    /// Records that this node sent a request to an endpoint, which counts until the next digest.
    pub fn sent(&mut self, endpoint: EndpointId) {
        if let Some(candidate) = self.candidates.get_mut(&endpoint) {
            candidate.untimed = candidate.untimed.saturating_add(1);
        }
    }

    /// Records that this node sent a request to an endpoint, which counts until a digest made
    /// later, and which makes the endpoint cache the request's prefix.
    pub fn send(&mut self, endpoint: EndpointId, request: &Request, now: Instant) {
        if let Some(candidate) = self.candidates.get_mut(&endpoint) {
            if candidate.sends.len() == SENDS {
                candidate.sends.pop_front();
            }
            candidate.sends.push_back(now);
            self.prefixes.routed(endpoint, &request.prefix);
        }
    }

    /// Records that a request ended at an endpoint that reports no load.
    pub fn done(&mut self, endpoint: EndpointId) {
        if let Some(candidate) = self.candidates.get_mut(&endpoint)
            && candidate.digest.is_none()
            && candidate.sends.pop_front().is_none()
        {
            candidate.untimed = candidate.untimed.saturating_sub(1);
        }
    }

    /// Takes an event of an engine's prefix cache.
    pub fn cache_event(&mut self, event: &Event) -> Step {
        self.prefixes.accept(event)
    }

    /// Returns the index of prompt prefixes.
    pub fn prefixes(&mut self) -> &mut Index {
        &mut self.prefixes
    }

    /// Returns the prompt tokens of a request that an engine is likely to have cached.
    pub fn cached(&self, request: &Request, endpoint: EndpointId) -> Tokens {
        let held = self.prefixes.holders(&request.prefix, SUBSET);
        let held = held.iter().find(|held| held.endpoint == endpoint);
        let share = held.map_or(0.0, |held| {
            held.confidence * held.blocks as f64 / request.prefix.len() as f64
        });
        (request.prompt as f64 * share) as Tokens
    }

    /// Chooses an endpoint for a request, other than those already tried.
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
        let subset: Vec<EndpointId> = ids.filter(|id| !tried.contains(id)).take(SUBSET).collect();
        let mut random = Pcg32::seed_from_u64(seed);
        let (one, two) = match subset.as_slice() {
            [] => {
                return Choice::Refuse {
                    retry_after: NOWHERE_RETRY,
                };
            }
            [only] => return Choice::Ask(*only),
            more => {
                let one = random.random_range(0..more.len());
                let two = (one + random.random_range(1..more.len())) % more.len();
                (more[one], more[two])
            }
        };
        let mut best = (self.cost(one, now), one);
        let cost = (self.cost(two, now), two);
        if cost.0 < best.0 {
            best = cost;
        }
        for held in self.prefixes.holders(&request.prefix, HOLDERS) {
            if !subset.contains(&held.endpoint) {
                continue;
            }
            let cost = self.cost(held.endpoint, now);
            let blocks = held.blocks as f64 / request.prefix.len() as f64;
            let prompt = request.prompt as f64;
            let share = held.confidence * blocks * prompt / (prompt + PREFIX_HALF);
            let gain = if cost < PREFIX_LOAD && !self.queues(held.endpoint) {
                PREFIX_GAIN * share
            } else {
                0.0
            };
            if cost - gain < best.0 {
                best = (cost - gain, held.endpoint);
            }
        }
        Choice::Ask(best.1)
    }

    /// Returns whether requests waited at an engine when its last digest was made.
    fn queues(&self, endpoint: EndpointId) -> bool {
        let digest = self.candidates[&endpoint].digest.as_ref();
        digest.is_some_and(|(digest, _)| digest.queued > 0)
    }

    /// Returns the load of an endpoint with a surcharge for its distance.
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

    /// Removes an endpoint from the order of its service.
    fn unlist(&mut self, endpoint: &Endpoint) {
        let place = self.place(endpoint);
        if let Some(places) = self.services.get_mut(&endpoint.service)
            && let Ok(index) = places.binary_search(&place)
        {
            places.remove(index);
        }
    }
}

impl Candidate {
    /// Creates the candidate of an endpoint of which nothing is known.
    fn new(endpoint: Endpoint) -> Self {
        Self {
            endpoint,
            digest: None,
            sends: VecDeque::new(),
            untimed: 0,
        }
    }

    /// Returns the load as a share of the capacity, own sends included.
    fn load(&self, now: Instant) -> f64 {
        let slots = f64::from(self.endpoint.slots.max(1));
        let old = |sent: &Instant| now.saturating_duration_since(*sent) > SEND_MEMORY;
        let sends = self.sends.len() - self.sends.partition_point(old);
        let own = (sends as f64 + f64::from(self.untimed)) / slots;
        let Some((digest, made)) = &self.digest else {
            return UNKNOWN_LOAD + own;
        };
        let memory = self.endpoint.memory.max(1) as f64;
        let used = 1.0 - (digest.free as f64 / memory).min(1.0);
        let running = f64::from(digest.running) / slots;
        let queued = f64::from(digest.queued) / slots;
        let reported = running.max(used) + queued + digest.gap.as_secs_f64() * GAP_COST;
        // An old digest says little, so that its engine is neither sought nor avoided.
        let age = now.saturating_duration_since(*made).as_secs_f64();
        let trust = (-age / DIGEST_HALF_LIFE.as_secs_f64()).exp2();
        reported * trust + UNKNOWN_LOAD * (1.0 - trust) + own
    }
}
