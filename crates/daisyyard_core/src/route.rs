//! Routing at a node: which engine or plain endpoint to ask for a request.

use std::collections::HashMap;
use std::time::{Duration, Instant};

use daisyyard_derive::{token, value};
use rand::{Rng, SeedableRng};
use rand_pcg::Pcg32;

use crate::contract::Rank;
use crate::endpoint::{Endpoint, Kind, State};
use crate::id::{AccountId, EndpointId, Fingerprint, RequestId, ServiceId, Tokens};
use crate::ledger::Digest;
use crate::zone::{Distance, Zone};

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
#[token]
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
    /// Last digest from the endpoint's home and when it arrived.
    digest: Option<(Digest, Instant)>,
    /// Requests that this node sent since the digest.
    sent: u32,
}

/// The node's table of endpoints.
#[derive(Debug)]
pub struct Table {
    /// Availability zone of the node.
    zone: Zone,
    /// Endpoints by identifier.
    candidates: HashMap<EndpointId, Candidate>,
    /// Endpoints by service.
    services: HashMap<ServiceId, Vec<EndpointId>>,
}

impl Table {
    /// Creates an empty table for a node in the given zone.
    pub fn new(zone: Zone) -> Self {
        Self {
            zone,
            candidates: HashMap::new(),
            services: HashMap::new(),
        }
    }

    /// Adds an endpoint or replaces what is known about it.
    pub fn insert(&mut self, endpoint: Endpoint) {
        let members = self.services.entry(endpoint.service).or_default();
        if !members.contains(&endpoint.id) {
            members.push(endpoint.id);
            members.sort_unstable();
        }
        if let Some(candidate) = self.candidates.get_mut(&endpoint.id) {
            candidate.endpoint = endpoint;
        } else {
            let candidate = Candidate {
                endpoint,
                digest: None,
                sent: 0,
            };
            self.candidates.insert(candidate.endpoint.id, candidate);
        }
    }

    /// Removes an endpoint.
    pub fn remove(&mut self, endpoint: EndpointId) {
        if let Some(candidate) = self.candidates.remove(&endpoint)
            && let Some(members) = self.services.get_mut(&candidate.endpoint.service)
        {
            members.retain(|member| *member != endpoint);
        }
    }

    /// Changes whether an endpoint may receive new work.
    pub fn mark(&mut self, endpoint: EndpointId, state: State) {
        if let Some(candidate) = self.candidates.get_mut(&endpoint) {
            candidate.endpoint.state = state;
        }
    }

    /// Returns the endpoints of a service.
    pub fn members(&self, service: ServiceId) -> &[EndpointId] {
        self.services.get(&service).map_or(&[], Vec::as_slice)
    }

    /// Returns an endpoint.
    pub fn get(&self, endpoint: EndpointId) -> Option<&Endpoint> {
        self.candidates
            .get(&endpoint)
            .map(|candidate| &candidate.endpoint)
    }

    /// Returns all endpoints.
    pub fn endpoints(&self) -> impl Iterator<Item = &Endpoint> {
        self.candidates
            .values()
            .map(|candidate| &candidate.endpoint)
    }

    /// Takes a digest from the home of an engine.
    pub fn digest(&mut self, digest: Digest, now: Instant) {
        if let Some(candidate) = self.candidates.get_mut(&digest.endpoint) {
            candidate.digest = Some((digest, now));
            candidate.sent = 0;
        }
    }

    /// Records that this node sent a request to an endpoint.
    pub fn sent(&mut self, endpoint: EndpointId) {
        if let Some(candidate) = self.candidates.get_mut(&endpoint) {
            candidate.sent += 1;
        }
    }

    /// Records that a request to an endpoint ended. Plain endpoints send no digest, so without this
    /// their load would be all requests ever sent, and a new endpoint would receive all work.
    pub fn done(&mut self, endpoint: EndpointId) {
        if let Some(candidate) = self.candidates.get_mut(&endpoint)
            && candidate.endpoint.kind == Kind::Plain
        {
            candidate.sent = candidate.sent.saturating_sub(1);
        }
    }

    /// Chooses an endpoint for a request, other than those already tried.
    pub fn choose(
        &self,
        request: &Request,
        tried: &[EndpointId],
        _now: Instant,
        seed: u64,
    ) -> Choice {
        let members = self
            .services
            .get(&request.service)
            .map_or(&[][..], Vec::as_slice);
        let usable = |id: &&EndpointId| {
            let live = self.candidates[*id].endpoint.state == State::Live;
            live && !tried.contains(id)
        };
        let usable: Vec<EndpointId> = members.iter().filter(usable).copied().collect();
        if usable.is_empty() {
            return Choice::Refuse {
                retry_after: Duration::from_secs(1),
            };
        }
        let mut random = Pcg32::seed_from_u64(seed);
        let one = usable[random.random_range(0..usable.len())];
        let two = usable[random.random_range(0..usable.len())];
        Choice::Ask(if self.cost(two) < self.cost(one) {
            two
        } else {
            one
        })
    }

    /// Returns the load of an endpoint with a surcharge for its distance.
    fn cost(&self, endpoint: EndpointId) -> f64 {
        let candidate = &self.candidates[&endpoint];
        let known = candidate.digest.as_ref();
        let load = known.map_or(0, |(digest, _)| digest.running + digest.queued) + candidate.sent;
        let distance = match self.zone.distance(&candidate.endpoint.zone) {
            Distance::Local => 0.0,
            Distance::Regional => 1.0,
            Distance::Remote => 8.0,
        };
        f64::from(load) + distance
    }
}
