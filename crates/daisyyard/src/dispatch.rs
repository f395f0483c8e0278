//! The dispatch actor, which routes requests to endpoints.

use std::collections::HashMap;
use std::time::{Duration, Instant};

use daisyyard_core::endpoint::{Endpoint, Kind, State};
use daisyyard_core::id::{
    AccountId, EndpointId, Fingerprint, InstanceId, RequestId, ServiceId, Tokens,
};
use daisyyard_core::instance::{self, Instance};
use daisyyard_core::ledger::Digest;
use daisyyard_core::length::{self, Estimator, Kind as Class};
use daisyyard_core::link::{self, Link, Signal};
use daisyyard_core::presence::{self, Presence};
use daisyyard_core::preset::Preset;
use daisyyard_core::retry_budget::{self, Budget};
use daisyyard_core::route::{self, Choice, Request, Table};
use daisyyard_core::suspect::{Record, Register, Verdict};
use daisyyard_core::zone::Zone;
use xtra::{Actor, Address, Context, Handler, Mailbox, WeakAddress};

use crate::admission::AdoptPreset;
use crate::event::{self, Event};
use crate::peer::Peer;
use crate::peer_events::BroadcastSuspects;

/// Retries that each request of an account adds to its budget at a service that the preset does not
/// name.
const DEFAULT_RETRY_SHARE: f64 = 0.1;
/// Quantile of the observed output lengths that is sent to a home as the expected length; the home
/// adds its own margin.
const EXPECTED_QUANTILE: f64 = 0.5;
/// Maximum number of node addresses in an answer to a caller.
const MAX_ADDRESSES: usize = 3;

/// Owns the route table, the health of endpoints, the retry budgets and the suspects.
#[derive(Debug, Actor)]
pub(crate) struct Dispatch {
    /// Availability zone of the node.
    zone: Zone,
    /// Endpoints with their load and cached prefixes.
    table: Table,
    /// Endpoints that are missing from the instance list.
    presence: Presence,
    /// Health of endpoints at which requests failed.
    links: HashMap<EndpointId, Link>,
    /// Retry budgets by account and service.
    budget: Budget,
    /// Requests that were running when an endpoint crashed.
    suspects: Register,
    /// Instances that run nodes.
    nodes: Vec<Instance>,
    /// Estimates of output lengths, from the generations of this node.
    lengths: Estimator,
    /// Active preset.
    preset: Preset,
    /// Actor that sends suspects to other nodes.
    peer: WeakAddress<Peer>,
}

/// Asks for an endpoint for a request.
#[derive(Debug)]
pub(crate) struct Route {
    /// Request to route.
    pub(crate) request: Request,
    /// Fingerprint of the request's account and content.
    pub(crate) key: Fingerprint,
    /// Kind of endpoint that can serve the request.
    pub(crate) kind: Kind,
    /// Endpoints that were tried before.
    pub(crate) tried: Vec<EndpointId>,
    /// Engines that were already asked for this admission.
    pub(crate) engines_asked: usize,
    /// Time since the arrival of the request.
    pub(crate) asked_at: Duration,
}

/// Replaces the known endpoints.
#[derive(Debug)]
pub(crate) struct AdoptEndpoints(pub(crate) Vec<Endpoint>);

/// Replaces the known nodes, with their states in the membership view.
#[derive(Debug)]
pub(crate) struct AdoptNodes(pub(crate) Vec<Instance>);

/// Passes on the digest of an engine's state from its home.
#[derive(Debug)]
pub(crate) struct LearnDigest {
    /// Load and queue of the engine.
    pub(crate) digest: Digest,
    /// When the digest was made or, if it came from another node, received.
    pub(crate) made_at: Instant,
}

/// Asks for an endpoint by its identifier.
#[derive(Debug)]
pub(crate) struct FindEndpoint(pub(crate) EndpointId);

/// Reports an observation of a request about the health of an endpoint.
#[derive(Debug)]
pub(crate) struct ObserveSignal(pub(crate) EndpointId, pub(crate) Signal);

/// Reports that a request ended at the endpoint that it was routed to.
#[derive(Debug)]
pub(crate) struct EndRequest {
    /// Endpoint at which the request ended.
    pub(crate) endpoint: EndpointId,
    /// Request that ended.
    pub(crate) request: RequestId,
    /// Whether the endpoint crashed while the request was running.
    pub(crate) crashed: bool,
}

/// Reports the output length of a complete generation.
#[derive(Debug)]
pub(crate) struct ObserveLength {
    /// Service, rank and account of the request.
    pub(crate) class: Class,
    /// Number of output tokens.
    pub(crate) length: Tokens,
}

/// Asks for a retry from the budget of an account at a service.
#[derive(Debug)]
pub(crate) struct Retry(pub(crate) AccountId, pub(crate) ServiceId);

/// Asks for the suspects to send to another node.
#[derive(Debug)]
pub(crate) struct ReportSuspects;

/// Passes on suspects that another node sent.
#[derive(Debug)]
pub(crate) struct LearnSuspects {
    /// Node that sent them.
    pub(crate) from: InstanceId,
    /// Suspects that the node knows.
    pub(crate) records: Vec<Record>,
}

/// Asks for the node addresses that a caller should use; excludes this node's address while it is
/// leaving.
#[derive(Debug)]
pub(crate) struct Addresses {
    /// Instance of this node.
    pub(crate) own: Instance,
}

/// Result of routing a request.
#[derive(Debug)]
pub(crate) enum Target {
    /// Send a plain call to this endpoint, or ask its home for admission.
    Endpoint {
        /// Endpoint to send the request to.
        endpoint: Endpoint,
        /// Prompt tokens that the endpoint probably has in its cache.
        cached: Tokens,
        /// Expected output tokens.
        expected: Tokens,
        /// Time after the request's arrival until which it waits for this endpoint; none for a
        /// service that the preset does not name.
        max_wait: Option<Duration>,
    },
    /// No endpoint of the service can take the request.
    Unavailable,
    /// The request is suspected of crashing endpoints and must not be sent.
    Suspected,
}

/// Starts the dispatch actor.
pub(crate) fn spawn(
    node: InstanceId,
    zone: Zone,
    preset: Preset,
    peer: WeakAddress<Peer>,
) -> Address<Dispatch> {
    let actor = Dispatch {
        table: Table::for_node(node, zone.clone()),
        zone,
        presence: Presence::new(),
        links: HashMap::new(),
        budget: Budget::new(),
        suspects: Register::new(),
        nodes: Vec::new(),
        lengths: Estimator::new(),
        preset,
        peer,
    };
    xtra::spawn_tokio(actor, Mailbox::unbounded())
}

impl Dispatch {
    /// Chooses a healthy endpoint; with `isolate`, one that runs no other suspect.
    fn choose(&self, message: &Route, isolate: bool, now: Instant) -> Choice {
        let mut excluded = message.tried.clone();
        let unusable = self.links.iter().filter(|(_, link)| !link.usable(now));
        excluded.extend(unusable.map(|(id, _)| *id));
        if isolate {
            excluded.extend(self.suspects.occupied(message.key, now));
        }
        let seed = rand::random();
        self.table.choose(&message.request, &excluded, now, seed)
    }
}

impl Dispatch {
    /// Sends suspects to all peers except the one that they came from.
    async fn broadcast_suspects(&self, records: Vec<Record>, from: Option<InstanceId>) {
        if !records.is_empty() {
            let spread = BroadcastSuspects { records, from };
            let _ = self.peer.send(spread).detach().await;
        }
    }
}

impl Handler<Route> for Dispatch {
    type Return = Target;

    async fn handle(&mut self, message: Route, _: &mut Context<Self>) -> Target {
        let now = Instant::now();
        let verdict = self.suspects.verdict(message.key, now);
        if verdict == Verdict::Refuse {
            return Target::Suspected;
        }
        if message.tried.is_empty() {
            let (account, service) = (message.request.account, message.request.service);
            let terms = self.preset.terms.get(&service);
            let share = terms.map_or(DEFAULT_RETRY_SHARE, |terms| terms.retries);
            self.budget.earn(account, service, share);
        }
        let choice = self.choose(&message, verdict == Verdict::Isolate, now);
        let Choice::Endpoint(id) = choice else {
            return Target::Unavailable;
        };
        // A call of a plain service must never be sent to an engine.
        let matching = |endpoint: &&Endpoint| endpoint.kind == message.kind;
        let Some(endpoint) = self.table.get(id).filter(matching).cloned() else {
            return Target::Unavailable;
        };
        let cached = self.table.cached_tokens(&message.request, id);
        self.table.record_send(id, &message.request, now);
        self.suspects.start(id, message.request.id, message.key);
        if let Some(link) = self.links.get_mut(&id) {
            link.send(now);
        }
        let rank = message.request.rank;
        let terms = self.preset.terms.get(&message.request.service);
        let max_wait = terms.map(|terms| {
            let contract = terms.contract(rank);
            route::max_wait(contract, rank, message.engines_asked, message.asked_at)
        });
        let class = Class {
            service: message.request.service,
            rank,
            account: message.request.account,
        };
        let quantile = EXPECTED_QUANTILE;
        let expected = self
            .lengths
            .total(class, 0, quantile, length::DEFAULT_TOKENS, now);
        Target::Endpoint {
            endpoint,
            cached,
            expected,
            max_wait,
        }
    }
}

impl Handler<EndRequest> for Dispatch {
    type Return = ();

    async fn handle(&mut self, message: EndRequest, _: &mut Context<Self>) {
        let EndRequest {
            endpoint,
            request,
            crashed,
        } = message;
        self.table.record_end(endpoint);
        if !crashed {
            self.suspects.end(endpoint, request);
            return;
        }
        let records = self.suspects.crash(endpoint, request, Instant::now());
        for record in &records {
            let details = format!(
                "endpoint={endpoint:x} request={:x} crashes={} alone={}",
                record.key, record.crashes, record.alone
            );
            event::emit(Event::SuspectRecorded, &details);
        }
        self.broadcast_suspects(records, None).await;
    }
}

impl Handler<ObserveSignal> for Dispatch {
    type Return = ();

    async fn handle(&mut self, message: ObserveSignal, _: &mut Context<Self>) {
        let ObserveSignal(id, signal) = message;
        let Some(service) = self.table.get(id).map(|endpoint| endpoint.service) else {
            return;
        };
        let members = self.table.endpoints_of(service);
        let ejected = |id: &&EndpointId| self.links.get(*id).is_some_and(Link::ejected);
        let room = link::may_eject(members.len(), members.iter().filter(ejected).count());
        if signal == Signal::Served && !self.links.contains_key(&id) {
            return;
        }
        let link = self.links.entry(id).or_default();
        if link.observe(signal, room, Instant::now()) == link::Action::Eject {
            let details = format!("endpoint={id:x} signal={signal:?}");
            event::emit(Event::EndpointEjected, &details);
        }
        if signal == Signal::Served {
            self.links.remove(&id);
        }
    }
}

impl Handler<Retry> for Dispatch {
    type Return = retry_budget::Decision;

    async fn handle(&mut self, message: Retry, _: &mut Context<Self>) -> retry_budget::Decision {
        self.budget.spend(message.0, message.1)
    }
}

impl Handler<AdoptEndpoints> for Dispatch {
    type Return = ();

    async fn handle(&mut self, message: AdoptEndpoints, _: &mut Context<Self>) {
        let known: Vec<EndpointId> = self.table.endpoints().map(|endpoint| endpoint.id).collect();
        let listed: Vec<EndpointId> = message.0.iter().map(|endpoint| endpoint.id).collect();
        for action in self.presence.compare(&known, &listed, Instant::now()) {
            match action {
                presence::Action::Gone(id) => self.table.set_state(id, State::Gone),
                presence::Action::Forget(id) => {
                    self.table.remove(id);
                    self.links.remove(&id);
                }
            }
        }
        for endpoint in message.0 {
            self.table.insert(endpoint);
        }
    }
}

impl Handler<AdoptNodes> for Dispatch {
    type Return = ();

    async fn handle(&mut self, message: AdoptNodes, _: &mut Context<Self>) {
        self.nodes = message.0;
    }
}

impl Handler<Addresses> for Dispatch {
    type Return = Vec<std::net::SocketAddr>;

    async fn handle(&mut self, message: Addresses, _: &mut Context<Self>) -> Self::Return {
        let own = message.own.id;
        let others = self.nodes.iter().filter(|node| node.id != own).cloned();
        let nodes: Vec<Instance> = others.chain([message.own]).collect();
        instance::nearest(&nodes, &self.zone, rand::random(), MAX_ADDRESSES)
    }
}

impl Handler<LearnDigest> for Dispatch {
    type Return = ();

    async fn handle(&mut self, message: LearnDigest, _: &mut Context<Self>) {
        let now = Instant::now();
        let age = now.saturating_duration_since(message.made_at);
        self.table.record_aged_digest(message.digest, age, now);
    }
}

impl Handler<ObserveLength> for Dispatch {
    type Return = ();

    async fn handle(&mut self, message: ObserveLength, _: &mut Context<Self>) {
        let ObserveLength { class, length } = message;
        self.lengths.observe(class, length, Instant::now());
    }
}

impl Handler<AdoptPreset> for Dispatch {
    type Return = ();

    async fn handle(&mut self, message: AdoptPreset, _: &mut Context<Self>) {
        self.preset = message.0;
    }
}

impl Handler<FindEndpoint> for Dispatch {
    type Return = Option<Endpoint>;

    async fn handle(&mut self, message: FindEndpoint, _: &mut Context<Self>) -> Option<Endpoint> {
        self.table.get(message.0).cloned()
    }
}

impl Handler<ReportSuspects> for Dispatch {
    type Return = Vec<Record>;

    async fn handle(&mut self, _: ReportSuspects, _: &mut Context<Self>) -> Vec<Record> {
        self.suspects.records(Instant::now())
    }
}

impl Handler<LearnSuspects> for Dispatch {
    type Return = ();

    async fn handle(&mut self, message: LearnSuspects, _: &mut Context<Self>) {
        let now = Instant::now();
        let LearnSuspects { from, records } = message;
        let learned = records.into_iter();
        let learned = learned.filter_map(|record| self.suspects.learn(record, now));
        let learned = learned.collect();
        self.broadcast_suspects(learned, Some(from)).await;
    }
}
