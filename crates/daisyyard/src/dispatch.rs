//! The actor that routes requests to endpoints.

use std::collections::HashMap;
use std::time::{Duration, Instant};

use daisyyard_core::budget::{self, Budget};
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
use daisyyard_core::route::{self, Choice, Request, Table};
use daisyyard_core::suspect::{Record, Register, Verdict};
use daisyyard_core::zone::Zone;
use xtra::{Actor, Address, Context, Handler, Mailbox, WeakAddress};

use crate::admission::Enforce;
use crate::event::{self, Event};
use crate::exchange::Spread;
use crate::peer::Peer;

/// Retries that each request of an account earns at a service that the preset does not name.
const RETRY_SHARE: f64 = 0.1;
/// Quantile of the known output lengths that a home is told to expect; the home adds its own margin.
const EXPECTED_QUANTILE: f64 = 0.5;
/// Addresses that a caller is told.
const MAX_ADDRESSES: usize = 3;

/// Owns the route table, the health of endpoints, the retry budgets and the suspects.
#[derive(Debug, Actor)]
pub(crate) struct Dispatch {
    /// Availability zone of the node.
    zone: Zone,
    /// Endpoints and what is known about them.
    table: Table,
    /// Endpoints that the instance list shows no more.
    presence: Presence,
    /// Health of endpoints that requests had trouble with.
    links: HashMap<EndpointId, Link>,
    /// Retry budgets.
    budget: Budget,
    /// Requests that were in progress when an endpoint crashed.
    suspects: Register,
    /// Instances that run nodes.
    nodes: Vec<Instance>,
    /// Output lengths of the generations of this node.
    lengths: Estimator,
    /// Preset in force.
    preset: Preset,
    /// Actor that spreads the suspects.
    peer: WeakAddress<Peer>,
}

/// Asks for an endpoint; the answer is the endpoint or the refusal.
#[derive(Debug)]
pub(crate) struct Route {
    /// Request to route.
    pub(crate) request: Request,
    /// Account and content of the request.
    pub(crate) key: Fingerprint,
    /// Kind of endpoint that can serve the request.
    pub(crate) kind: Kind,
    /// Endpoints that were tried before.
    pub(crate) tried: Vec<EndpointId>,
    /// Engines that were asked for this admission before.
    pub(crate) asked: usize,
}

/// Replaces the known endpoints.
#[derive(Debug)]
pub(crate) struct Adopt(pub(crate) Vec<Endpoint>);

/// Replaces the known instances that run nodes, with the states of the membership view.
#[derive(Debug)]
pub(crate) struct AdoptNodes(pub(crate) Vec<Instance>);

/// Passes on a digest from an engine's home.
#[derive(Debug)]
pub(crate) struct Learn {
    /// The digest.
    pub(crate) digest: Digest,
    /// When it was made or, for that of another node, received.
    pub(crate) made: Instant,
}

/// Asks for an endpoint by its identifier.
#[derive(Debug)]
pub(crate) struct Find(pub(crate) EndpointId);

/// Reports what a request learned about an endpoint.
#[derive(Debug)]
pub(crate) struct Observe(pub(crate) EndpointId, pub(crate) Signal);

/// Reports that a request ended at an endpoint that was routed to.
#[derive(Debug)]
pub(crate) struct Done {
    /// Endpoint.
    pub(crate) endpoint: EndpointId,
    /// Request at this node.
    pub(crate) request: RequestId,
    /// Whether the endpoint crashed while the request was in progress.
    pub(crate) crashed: bool,
}

/// Reports the output length of a generation that is whole.
#[derive(Debug)]
pub(crate) struct Finished {
    /// Service, rank and account of the request.
    pub(crate) class: Class,
    /// Output tokens.
    pub(crate) length: Tokens,
}

/// Asks for a retry within the budget of an account at a service.
#[derive(Debug)]
pub(crate) struct Retry(pub(crate) AccountId, pub(crate) ServiceId);

/// Asks for the suspects, so that they can be told to other nodes.
#[derive(Debug)]
pub(crate) struct ReportSuspects;

/// Passes on suspects of another node.
#[derive(Debug)]
pub(crate) struct LearnSuspects {
    /// Node that sent them.
    pub(crate) from: InstanceId,
    /// The suspects.
    pub(crate) records: Vec<Record>,
}

/// Asks for the addresses that a caller should use; the node's own one is left out when it leaves.
#[derive(Debug)]
pub(crate) struct Addresses {
    /// Instance of this node.
    pub(crate) own: Instance,
}

/// Where a request goes.
#[derive(Debug)]
pub(crate) enum Target {
    /// Ask the home of this endpoint.
    Endpoint {
        /// The endpoint.
        endpoint: Endpoint,
        /// Prompt tokens that it is likely to have cached.
        cached: Tokens,
        /// Output tokens that are expected.
        expected: Tokens,
        /// Time after the request's arrival for which it waits there; none for a service that
        /// the preset does not name.
        patience: Option<Duration>,
    },
    /// No endpoint of the service may receive work.
    Nowhere,
    /// The request crashed endpoints.
    Suspected,
}

/// Starts the actor.
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
    /// Chooses an endpoint that is healthy and, for a suspect, runs no other suspect.
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
    /// Has the peers told of suspects, but for the one that sent them.
    async fn spread(&self, records: Vec<Record>, from: Option<InstanceId>) {
        if !records.is_empty() {
            let spread = Spread { records, from };
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
            let share = terms.map_or(RETRY_SHARE, |terms| terms.retries);
            self.budget.earn(account, service, share);
        }
        let choice = self.choose(&message, verdict == Verdict::Isolate, now);
        let Choice::Ask(id) = choice else {
            return Target::Nowhere;
        };
        // A call of a plain service must never reach the interface of an engine.
        let suited = |endpoint: &&Endpoint| endpoint.kind == message.kind;
        let Some(endpoint) = self.table.get(id).filter(suited).cloned() else {
            return Target::Nowhere;
        };
        let cached = self.table.cached(&message.request, id);
        self.table.send(id, &message.request, now);
        self.suspects.start(id, message.request.id, message.key);
        if let Some(link) = self.links.get_mut(&id) {
            link.send(now);
        }
        let rank = message.request.rank;
        let terms = self.preset.terms.get(&message.request.service);
        let patience =
            terms.map(|terms| route::patience(terms.contract(rank), rank, message.asked));
        let class = Class {
            service: message.request.service,
            rank,
            account: message.request.account,
        };
        let quantile = EXPECTED_QUANTILE;
        let expected = self.lengths.total(class, 0, quantile, length::DEFAULT, now);
        Target::Endpoint {
            endpoint,
            cached,
            expected,
            patience,
        }
    }
}

impl Handler<Done> for Dispatch {
    type Return = ();

    async fn handle(&mut self, message: Done, _: &mut Context<Self>) {
        let Done {
            endpoint,
            request,
            crashed,
        } = message;
        self.table.done(endpoint);
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
        self.spread(records, None).await;
    }
}

impl Handler<Observe> for Dispatch {
    type Return = ();

    async fn handle(&mut self, message: Observe, _: &mut Context<Self>) {
        let Observe(id, signal) = message;
        let Some(service) = self.table.get(id).map(|endpoint| endpoint.service) else {
            return;
        };
        let members = self.table.members(service);
        let ejected = |id: &&EndpointId| self.links.get(*id).is_some_and(Link::ejected);
        let room = link::may_eject(members.len(), members.iter().filter(ejected).count());
        if signal == Signal::Served && !self.links.contains_key(&id) {
            return;
        }
        let link = self.links.entry(id).or_default();
        if link.observe(signal, room, Instant::now()) == link::Next::Eject {
            let details = format!("endpoint={id:x} signal={signal:?}");
            event::emit(Event::EndpointEjected, &details);
        }
        if signal == Signal::Served {
            self.links.remove(&id);
        }
    }
}

impl Handler<Retry> for Dispatch {
    type Return = budget::Next;

    async fn handle(&mut self, message: Retry, _: &mut Context<Self>) -> budget::Next {
        self.budget.spend(message.0, message.1)
    }
}

impl Handler<Adopt> for Dispatch {
    type Return = ();

    async fn handle(&mut self, message: Adopt, _: &mut Context<Self>) {
        let known: Vec<EndpointId> = self.table.endpoints().map(|one| one.id).collect();
        let listed: Vec<EndpointId> = message.0.iter().map(|one| one.id).collect();
        for next in self.presence.compare(&known, &listed, Instant::now()) {
            match next {
                presence::Next::Gone(id) => self.table.mark(id, State::Gone),
                presence::Next::Forget(id) => {
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

impl Handler<Learn> for Dispatch {
    type Return = ();

    async fn handle(&mut self, message: Learn, _: &mut Context<Self>) {
        let now = Instant::now();
        let age = now.saturating_duration_since(message.made);
        self.table.learn(message.digest, age, now);
    }
}

impl Handler<Finished> for Dispatch {
    type Return = ();

    async fn handle(&mut self, message: Finished, _: &mut Context<Self>) {
        let Finished { class, length } = message;
        self.lengths.observe(class, length, Instant::now());
    }
}

impl Handler<Enforce> for Dispatch {
    type Return = ();

    async fn handle(&mut self, message: Enforce, _: &mut Context<Self>) {
        self.preset = message.0;
    }
}

impl Handler<Find> for Dispatch {
    type Return = Option<Endpoint>;

    async fn handle(&mut self, message: Find, _: &mut Context<Self>) -> Option<Endpoint> {
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
        self.spread(learned, Some(from)).await;
    }
}
