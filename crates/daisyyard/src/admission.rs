//! The actor that answers requests for admission: from its own ledger if this node is the
//! engine's home, else through the home node, else within the node's local share.

use std::collections::{BTreeSet, HashMap};
use std::time::{Duration, Instant};

use daisyyard_core::endpoint::{Endpoint, Kind};
use daisyyard_core::forward::{self, Authority, Relay};
use daisyyard_core::id::{EndpointId, InstanceId, RequestId};
use daisyyard_core::ledger::{self, Answer, Ledger, Next};
use daisyyard_core::preset::Preset;
use daisyyard_gateway::timer::{self, Tick};
use tokio::sync::oneshot;
use xtra::{Actor, Address, Context, Handler, Mailbox, WeakAddress};

use crate::dispatch::{Dispatch, Learn};
use crate::peer::{Peer, Send};
use crate::progress::made;
pub(crate) use crate::progress::{Progress, Release};
use crate::wire::{self, Made, Message, Verdict};

/// Time between two checks of waiting requests and expired grants.
const TICK: Duration = Duration::from_millis(20);
/// Checks between two rounds of progress frames and load polls, which makes one a second.
const ROUND: u64 = 50;

/// Time after which asking again may help when nothing better is known.
const RETRY_AFTER: Duration = Duration::from_secs(1);
/// Time beyond its deadline for which a request waits for a home that forgot it.
const GRACE: Duration = Duration::from_secs(1);

/// Owns the ledgers.
#[derive(Debug, Actor)]
pub(crate) struct Admission {
    /// Ledgers of the engines whose home is this node.
    pub(crate) ledgers: HashMap<EndpointId, Ledger>,
    /// Ledgers of the local shares, for engines whose home did not answer.
    pub(crate) shares: HashMap<EndpointId, Ledger>,
    /// Requests of this node that wait for a decision.
    pub(crate) waiting: HashMap<RequestId, Ask>,
    /// Requests of this node that were granted, and where.
    pub(crate) granted: HashMap<RequestId, Authority>,
    /// Requests of this node that another node decides.
    pub(crate) relay: Relay,
    /// Progress for other homes, by home and request.
    pub(crate) batch: HashMap<InstanceId, HashMap<RequestId, Made>>,
    /// Engines from the instance list.
    pub(crate) engines: HashMap<EndpointId, Endpoint>,
    /// Checks so far.
    ticks: u64,
    /// This node.
    pub(crate) node: InstanceId,
    /// Preset in force.
    preset: Preset,
    /// Actor that learns the digests.
    dispatch: Address<Dispatch>,
    /// Actor that sends frames to other nodes.
    peer: WeakAddress<Peer>,
}

/// Asks for admission to an engine.
#[derive(Debug)]
pub(crate) struct Ask {
    /// Engine to run on.
    pub(crate) endpoint: Endpoint,
    /// The request for admission.
    pub(crate) terms: ledger::Ask,
    /// Receives the decision, at once or after a wait.
    pub(crate) reply: oneshot::Sender<Decision>,
}

/// Takes a preset into force.
#[derive(Debug)]
pub(crate) struct Enforce(pub(crate) Preset);

/// Decision on a request for admission.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Decision {
    /// Send the request to the engine now.
    Grant,
    /// Refuse the request or ask another engine.
    Refuse {
        /// When asking again may help.
        retry_after: Duration,
    },
}

/// Starts the actor and its timer.
pub(crate) fn spawn(
    node: InstanceId,
    preset: Preset,
    dispatch: Address<Dispatch>,
    peer: WeakAddress<Peer>,
) -> Address<Admission> {
    let actor = Admission {
        ledgers: HashMap::new(),
        shares: HashMap::new(),
        waiting: HashMap::new(),
        granted: HashMap::new(),
        relay: Relay::new(node),
        batch: HashMap::new(),
        engines: HashMap::new(),
        ticks: 0,
        node,
        preset,
        dispatch,
        peer,
    };
    let address = xtra::spawn_tokio(actor, Mailbox::unbounded());
    timer::spawn(address.downgrade(), TICK);
    address
}

impl Admission {
    /// Returns the ledger of an engine, creating it on first use.
    pub(crate) fn ledger(&mut self, endpoint: &Endpoint, now: Instant) -> Option<&mut Ledger> {
        let terms = self.preset.terms.get(&endpoint.service)?;
        let create = || Ledger::new(endpoint, terms.clone(), now);
        Some(self.ledgers.entry(endpoint.id).or_insert_with(create))
    }

    /// Returns the ledger of this node's share of an engine, creating it on first use.
    fn share(&mut self, endpoint: &Endpoint, now: Instant) -> Option<&mut Ledger> {
        let terms = self.preset.terms.get(&endpoint.service)?;
        let nodes = self.relay.node_count();
        let create = || Ledger::local(endpoint, terms.clone(), nodes as u32, now);
        Some(self.shares.entry(endpoint.id).or_insert_with(create))
    }

    /// Sends a message to another node.
    pub(crate) async fn send(&self, node: InstanceId, message: Message) {
        let _ = self.peer.send(Send { node, message }).detach().await;
    }

    /// Asks the home of an engine for admission.
    async fn forward(&self, request: RequestId, home: InstanceId) {
        if let Some(ask) = self.waiting.get(&request) {
            let (endpoint, service) = (ask.endpoint.id, ask.endpoint.service);
            let ask = wire::Ask::new(endpoint, service, &ask.terms, Instant::now());
            self.send(home, Message::Ask(ask)).await;
        }
    }

    /// Decides on a request of this node in its own ledger or in its local share.
    fn decide(&mut self, request: RequestId, place: Authority, now: Instant) {
        let Some(ask) = self.waiting.get(&request) else {
            return;
        };
        let (endpoint, terms) = (ask.endpoint.clone(), ask.terms.clone());
        let ledger = if place == Authority::Local {
            self.ledger(&endpoint, now)
        } else {
            self.share(&endpoint, now)
        };
        let answer = ledger.map(|ledger| ledger.ask(terms, now));
        self.granted.insert(request, place);
        let decision = match answer {
            Some(Answer::Grant) => Decision::Grant,
            Some(Answer::Wait) => return,
            Some(Answer::Refuse { retry_after }) => Decision::Refuse { retry_after },
            None => Decision::Refuse {
                retry_after: RETRY_AFTER,
            },
        };
        self.settle(request, decision);
    }

    /// Tells a request of this node what was decided; false if nobody waits for it.
    pub(crate) fn settle(&mut self, request: RequestId, decision: Decision) -> bool {
        if decision != Decision::Grant {
            self.granted.remove(&request);
        }
        let waiting = self.waiting.remove(&request);
        let told = waiting.map(|ask| ask.reply.send(decision).is_ok());
        told.unwrap_or(false)
    }

    /// Decides on a request of this node within its local share.
    pub(crate) fn take_share(&mut self, request: RequestId) {
        self.decide(request, Authority::Share, Instant::now());
    }

    /// Notes where a request of this node was granted.
    pub(crate) fn grant(&mut self, request: RequestId, home: InstanceId) -> bool {
        self.granted.insert(request, Authority::Home(home));
        let told = self.settle(request, Decision::Grant);
        if !told {
            self.granted.remove(&request);
        }
        told
    }

    /// Carries out what the relay decided.
    pub(crate) async fn follow(&mut self, next: Vec<forward::Next>) {
        for next in next {
            match next {
                forward::Next::Decide(request, place) => {
                    self.decide(request, place, Instant::now());
                }
                forward::Next::Ask {
                    request,
                    home,
                    previous: before,
                } => {
                    if let Some(ask) = self.waiting.get(&request) {
                        let made = made(ask.endpoint.id, request, 0);
                        self.send(before, Message::Release(made)).await;
                    }
                    self.forward(request, home).await;
                }
            }
        }
    }

    /// Grants and refuses waiting requests of an engine after time passed or capacity was freed.
    pub(crate) async fn advance(&mut self, endpoint: EndpointId, now: Instant) {
        let mut next = Vec::new();
        for ledgers in [&mut self.ledgers, &mut self.shares] {
            if let Some(ledger) = ledgers.get_mut(&endpoint) {
                next.extend(ledger.tick(now));
            }
        }
        for next in next {
            self.carry_out(endpoint, &next).await;
        }
    }

    /// Carries out what a ledger decided.
    async fn carry_out(&mut self, endpoint: EndpointId, next: &Next) {
        let (node, request, verdict) = match *next {
            Next::Grant { node, request } => (node, request, Verdict::Grant),
            Next::Refuse {
                node,
                request,
                retry_after,
            } => (node, request, Verdict::Refuse { retry_after }),
            Next::Yield { .. } => return,
        };
        if node != self.node {
            self.answer(node, endpoint, request, verdict).await;
            return;
        }
        let decision = match verdict {
            Verdict::Refuse { retry_after } => Decision::Refuse { retry_after },
            _ => Decision::Grant,
        };
        self.settle(request, decision);
    }

    /// Answers another node, with the state of the engine.
    pub(crate) async fn answer(
        &self,
        node: InstanceId,
        endpoint: EndpointId,
        request: RequestId,
        verdict: Verdict,
    ) {
        let ledger = self.ledgers.get(&endpoint);
        let answer = wire::Answer {
            request,
            verdict,
            digest: ledger.map(|ledger| ledger.digest(Instant::now())),
        };
        self.send(node, Message::Answer(answer)).await;
    }

    /// Shares the state of an engine with the routing.
    pub(crate) async fn publish(&self, endpoint: EndpointId) {
        if let Some(ledger) = self.ledgers.get(&endpoint) {
            self.learn(ledger.digest(Instant::now())).await;
        }
    }

    /// Passes a digest on to the routing.
    pub(crate) async fn learn(&self, digest: ledger::Digest) {
        let made = Instant::now();
        let _ = self.dispatch.send(Learn { digest, made }).detach().await;
    }

    /// Refuses requests that no home has decided on by their deadline.
    ///
    /// A home that handed its ledger over, and took it back before this node noticed, has
    /// forgotten the queue.
    async fn expire(&mut self, now: Instant) {
        let late = |ask: &&Ask| now > ask.terms.deadline + GRACE;
        let late = self.waiting.values().filter(late);
        let late: Vec<(EndpointId, RequestId)> = late
            .map(|ask| (ask.endpoint.id, ask.terms.request))
            .collect();
        for (endpoint, request) in late {
            if let Some(home) = self.relay.withdraw(request) {
                let release = Message::Release(made(endpoint, request, 0));
                self.send(home, release).await;
            }
            let retry_after = RETRY_AFTER;
            self.settle(request, Decision::Refuse { retry_after });
        }
    }

    /// Gives up the ledgers of engines whose home is another node now.
    async fn hand_over(&mut self) {
        let relay = &self.relay;
        let moved = self.ledgers.keys().filter(|id| !relay.is_home(**id));
        for endpoint in moved.copied().collect::<Vec<_>>() {
            self.ledgers.remove(&endpoint);
            let here = self.waiting.iter().filter(|(request, ask)| {
                ask.endpoint.id == endpoint && self.granted.get(request) == Some(&Authority::Local)
            });
            // The requests of other nodes move by themselves once those nodes know the new home.
            for request in here.map(|(request, _)| *request).collect::<Vec<_>>() {
                self.granted.remove(&request);
                self.start(request, endpoint).await;
            }
        }
    }

    /// Decides on a waiting request of this node or asks the engine's home.
    async fn start(&mut self, request: RequestId, endpoint: EndpointId) {
        let now = Instant::now();
        match self.relay.assign(request, endpoint, now) {
            Authority::Home(home) => self.forward(request, home).await,
            place => self.decide(request, place, now),
        }
    }

    /// Takes new homes and asks again where that changes the home of a waiting request.
    pub(crate) async fn adopt(&mut self, homes: Vec<InstanceId>) {
        let next = self.relay.update_homes(homes, Instant::now());
        self.follow(next).await;
        self.hand_over().await;
    }
}

impl Handler<Ask> for Admission {
    type Return = ();

    async fn handle(&mut self, message: Ask, _: &mut Context<Self>) {
        let (request, endpoint) = (message.terms.request, message.endpoint.id);
        self.waiting.insert(request, message);
        self.start(request, endpoint).await;
        self.publish(endpoint).await;
    }
}

impl Handler<Enforce> for Admission {
    type Return = ();

    async fn handle(&mut self, message: Enforce, _: &mut Context<Self>) {
        self.preset = message.0;
        for ledger in self.ledgers.values_mut().chain(self.shares.values_mut()) {
            if let Some(terms) = self.preset.terms.get(&ledger.service()) {
                ledger.adopt(terms.clone());
            }
        }
    }
}

impl Handler<Tick> for Admission {
    type Return = ();

    async fn handle(&mut self, _: Tick, ctx: &mut Context<Self>) {
        let now = Instant::now();
        let late = self.relay.tick(now);
        self.follow(late).await;
        let engines: BTreeSet<EndpointId> = self
            .ledgers
            .keys()
            .chain(self.shares.keys())
            .copied()
            .collect();
        for endpoint in engines {
            self.advance(endpoint, now).await;
        }
        self.ticks += 1;
        if self.ticks.is_multiple_of(ROUND) {
            self.flush().await;
            self.expire(now).await;
            let homed = |e: &&Endpoint| e.kind == Kind::Engine && self.relay.is_home(e.id);
            for engine in self.engines.values().filter(homed) {
                let actor = ctx.mailbox().address();
                tokio::spawn(crate::load::poll(engine.clone(), actor));
            }
        }
    }
}
