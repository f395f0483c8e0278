//! The admission actor, which decides when a request may be sent to an engine.
//!
//! Each engine has one home node, which keeps the ledger of its requests. If this node is the home,
//! the actor decides from its own ledger; otherwise it asks the home, and falls back to this node's
//! local share of the engine when the home does not answer.

use std::collections::{BTreeSet, HashMap};
use std::time::{Duration, Instant};

use daisyyard_core::endpoint::{Endpoint, Kind};
use daisyyard_core::forward::{self, Authority, Relay};
use daisyyard_core::id::{EndpointId, InstanceId, RequestId};
use daisyyard_core::ledger::{self, Action, Answer, Ledger};
use daisyyard_core::preset::Preset;
use daisyyard_gateway::timer::{self, Tick};
use tokio::sync::oneshot;
use xtra::{Actor, Address, Context, Handler, Mailbox, WeakAddress};

use crate::dispatch::{Dispatch, LearnDigest};
use crate::peer::{Peer, SendMessage};
use crate::progress::token_report;
pub(crate) use crate::progress::{Progress, Release};
use crate::wire::{self, Message, Output, Verdict};

/// Interval between checks of waiting requests and expired grants.
const TICK_PERIOD: Duration = Duration::from_millis(20);
/// Ticks between progress frames and load polls: one second at a tick of 20 ms.
const TICKS_PER_ROUND: u64 = 50;

/// Retry delay that a refusal states when no ledger computed one.
const DEFAULT_RETRY_AFTER: Duration = Duration::from_secs(1);
/// Time past its deadline for which a request still waits for the answer of its home.
const DEADLINE_GRACE: Duration = Duration::from_secs(1);

/// Owns the ledgers and the requests of this node that wait for admission.
#[derive(Debug, Actor)]
pub(crate) struct Admission {
    /// Ledgers of the engines whose home is this node.
    pub(crate) ledgers: HashMap<EndpointId, Ledger>,
    /// Ledgers of this node's local shares, used for engines whose home does not answer.
    pub(crate) shares: HashMap<EndpointId, Ledger>,
    /// Requests of this node that wait for a decision.
    pub(crate) waiting: HashMap<RequestId, RequestAdmission>,
    /// Who decided on each request of this node that was granted or is queued in a local ledger.
    pub(crate) granted: HashMap<RequestId, Authority>,
    /// Requests of this node that another node decides on.
    pub(crate) relay: Relay,
    /// Progress reports to send to other homes, by home and request.
    pub(crate) progress_batches: HashMap<InstanceId, HashMap<RequestId, Output>>,
    /// Engines in the instance list.
    pub(crate) engines: HashMap<EndpointId, Endpoint>,
    /// Ticks since the start.
    ticks: u64,
    /// Instance of this node.
    pub(crate) node: InstanceId,
    /// Active preset.
    preset: Preset,
    /// Actor that routes requests and receives the digests of engine states.
    dispatch: Address<Dispatch>,
    /// Actor that sends frames to other nodes.
    peer: WeakAddress<Peer>,
}

/// Asks for admission to an engine.
#[derive(Debug)]
pub(crate) struct RequestAdmission {
    /// Engine to run on.
    pub(crate) endpoint: Endpoint,
    /// What the ledger needs to know about the request.
    pub(crate) params: ledger::Request,
    /// Receives the decision, immediately or after a wait.
    pub(crate) reply: oneshot::Sender<Decision>,
}

/// Activates a preset.
#[derive(Debug)]
pub(crate) struct AdoptPreset(pub(crate) Preset);

/// Decision on a request for admission.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Decision {
    /// Send the request to the engine now.
    Grant,
    /// This engine does not take the request; ask another one, or refuse it to the caller.
    Refuse {
        /// Delay after which a retry may succeed.
        retry_after: Duration,
    },
}

/// Starts the admission actor and its timer.
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
        progress_batches: HashMap::new(),
        engines: HashMap::new(),
        ticks: 0,
        node,
        preset,
        dispatch,
        peer,
    };
    let address = xtra::spawn_tokio(actor, Mailbox::unbounded());
    timer::spawn(address.downgrade(), TICK_PERIOD);
    address
}

impl Admission {
    /// Returns the ledger of an engine, creating it on first use; none if the preset does not name
    /// the engine's service.
    pub(crate) fn ledger(&mut self, endpoint: &Endpoint, now: Instant) -> Option<&mut Ledger> {
        let terms = self.preset.terms.get(&endpoint.service)?;
        let create = || Ledger::new(endpoint, terms.clone(), now);
        Some(self.ledgers.entry(endpoint.id).or_insert_with(create))
    }

    /// Returns the ledger of this node's local share of an engine, creating it on first use.
    fn share(&mut self, endpoint: &Endpoint, now: Instant) -> Option<&mut Ledger> {
        let terms = self.preset.terms.get(&endpoint.service)?;
        let nodes = self.relay.node_count();
        let create = || Ledger::local(endpoint, terms.clone(), nodes as u32, now);
        Some(self.shares.entry(endpoint.id).or_insert_with(create))
    }

    /// Sends a message to another node through the peer actor.
    pub(crate) async fn send(&self, node: InstanceId, message: Message) {
        let _ = self.peer.send(SendMessage { node, message }).detach().await;
    }

    /// Forwards a waiting request to the home of its engine.
    async fn forward(&self, request: RequestId, home: InstanceId) {
        if let Some(message) = self.waiting.get(&request) {
            let (endpoint, service) = (message.endpoint.id, message.endpoint.service);
            let ask = wire::Ask::new(endpoint, service, &message.params, Instant::now());
            self.send(home, Message::Ask(ask)).await;
        }
    }

    /// Decides on a request of this node from the home ledger or from the local share.
    fn decide(&mut self, request: RequestId, place: Authority, now: Instant) {
        let Some(message) = self.waiting.get(&request) else {
            return;
        };
        let (endpoint, params) = (message.endpoint.clone(), message.params.clone());
        let ledger = if place == Authority::Local {
            self.ledger(&endpoint, now)
        } else {
            self.share(&endpoint, now)
        };
        let answer = ledger.map(|ledger| ledger.ask(params, now));
        self.granted.insert(request, place);
        let decision = match answer {
            Some(Answer::Grant) => Decision::Grant,
            Some(Answer::Wait) => return,
            Some(Answer::Refuse { retry_after }) => Decision::Refuse { retry_after },
            None => Decision::Refuse {
                retry_after: DEFAULT_RETRY_AFTER,
            },
        };
        self.resolve(request, decision);
    }

    /// Sends the decision to the task that waits for it; returns whether the task received it.
    pub(crate) fn resolve(&mut self, request: RequestId, decision: Decision) -> bool {
        if decision != Decision::Grant {
            self.granted.remove(&request);
        }
        let waiting = self.waiting.remove(&request);
        let notified = waiting.map(|message| message.reply.send(decision).is_ok());
        notified.unwrap_or(false)
    }

    /// Decides on a request of this node from its local share of the engine.
    pub(crate) fn decide_locally(&mut self, request: RequestId) {
        self.decide(request, Authority::Share, Instant::now());
    }

    /// Records a grant by another node; returns whether the request still waited for it.
    pub(crate) fn accept_grant(&mut self, request: RequestId, home: InstanceId) -> bool {
        self.granted.insert(request, Authority::Home(home));
        let notified = self.resolve(request, Decision::Grant);
        if !notified {
            self.granted.remove(&request);
        }
        notified
    }

    /// Carries out the steps that the relay returned.
    pub(crate) async fn apply_relay(&mut self, actions: Vec<forward::Action>) {
        for action in actions {
            match action {
                forward::Action::Decide(request, place) => {
                    self.decide(request, place, Instant::now());
                }
                forward::Action::Forward {
                    request,
                    home,
                    previous,
                } => {
                    if let Some(message) = self.waiting.get(&request) {
                        let output = token_report(message.endpoint.id, request, 0);
                        self.send(previous, Message::Release(output)).await;
                    }
                    self.forward(request, home).await;
                }
            }
        }
    }

    /// Decides on the waiting requests of an engine again, after time passed or capacity was freed.
    pub(crate) async fn advance(&mut self, endpoint: EndpointId, now: Instant) {
        let mut actions = Vec::new();
        for ledgers in [&mut self.ledgers, &mut self.shares] {
            if let Some(ledger) = ledgers.get_mut(&endpoint) {
                actions.extend(ledger.tick(now));
            }
        }
        for action in actions {
            self.apply_ledger(endpoint, &action).await;
        }
    }

    /// Passes a decision of a ledger on to the node that asked.
    async fn apply_ledger(&mut self, endpoint: EndpointId, action: &Action) {
        let (node, request, verdict) = match *action {
            Action::Grant { node, request } => (node, request, Verdict::Grant),
            Action::Refuse {
                node,
                request,
                retry_after,
            } => (node, request, Verdict::Refuse { retry_after }),
            Action::Yield { .. } => return,
        };
        if node != self.node {
            self.answer(node, endpoint, request, verdict).await;
            return;
        }
        let decision = match verdict {
            Verdict::Refuse { retry_after } => Decision::Refuse { retry_after },
            _ => Decision::Grant,
        };
        self.resolve(request, decision);
    }

    /// Sends a verdict to another node, along with the state of the engine.
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

    /// Sends the state of an engine to the dispatch actor.
    pub(crate) async fn publish(&self, endpoint: EndpointId) {
        if let Some(ledger) = self.ledgers.get(&endpoint) {
            self.publish_digest(ledger.digest(Instant::now())).await;
        }
    }

    /// Sends a digest to the dispatch actor.
    pub(crate) async fn publish_digest(&self, digest: ledger::Digest) {
        let made_at = Instant::now();
        let _ = self
            .dispatch
            .send(LearnDigest { digest, made_at })
            .detach()
            .await;
    }

    /// Refuses requests that no home has decided on by their deadline.
    ///
    /// A home that loses its ledger to another node, and becomes home again before this node sees
    /// the change, no longer has the queued requests and never answers them.
    async fn expire(&mut self, now: Instant) {
        let overdue = |message: &&RequestAdmission| now > message.params.deadline + DEADLINE_GRACE;
        let overdue = self.waiting.values().filter(overdue);
        let overdue: Vec<(EndpointId, RequestId)> = overdue
            .map(|message| (message.endpoint.id, message.params.id))
            .collect();
        for (endpoint, request) in overdue {
            if let Some(home) = self.relay.withdraw(request) {
                let release = Message::Release(token_report(endpoint, request, 0));
                self.send(home, release).await;
            }
            let retry_after = DEFAULT_RETRY_AFTER;
            self.resolve(request, Decision::Refuse { retry_after });
        }
    }

    /// Drops the ledgers of engines whose home is now another node, and asks again for the requests
    /// of this node that were queued in them.
    async fn hand_over(&mut self) {
        let relay = &self.relay;
        let moved = self.ledgers.keys().filter(|id| !relay.is_home(**id));
        for endpoint in moved.copied().collect::<Vec<_>>() {
            self.ledgers.remove(&endpoint);
            let here = self.waiting.iter().filter(|(request, message)| {
                message.endpoint.id == endpoint
                    && self.granted.get(request) == Some(&Authority::Local)
            });
            // Other nodes ask the new home themselves once they learn of it.
            for request in here.map(|(request, _)| *request).collect::<Vec<_>>() {
                self.granted.remove(&request);
                self.start(request, endpoint).await;
            }
        }
    }

    /// Decides on a waiting request of this node, or forwards it to the engine's home.
    async fn start(&mut self, request: RequestId, endpoint: EndpointId) {
        let now = Instant::now();
        match self.relay.assign(request, endpoint, now) {
            Authority::Home(home) => self.forward(request, home).await,
            place => self.decide(request, place, now),
        }
    }

    /// Replaces the nodes that may be homes, and asks again for each waiting request whose home
    /// changes.
    pub(crate) async fn adopt_homes(&mut self, homes: Vec<InstanceId>) {
        let actions = self.relay.update_homes(homes, Instant::now());
        self.apply_relay(actions).await;
        self.hand_over().await;
    }
}

impl Handler<RequestAdmission> for Admission {
    type Return = ();

    async fn handle(&mut self, message: RequestAdmission, _: &mut Context<Self>) {
        let (request, endpoint) = (message.params.id, message.endpoint.id);
        self.waiting.insert(request, message);
        self.start(request, endpoint).await;
        self.publish(endpoint).await;
    }
}

impl Handler<AdoptPreset> for Admission {
    type Return = ();

    async fn handle(&mut self, message: AdoptPreset, _: &mut Context<Self>) {
        self.preset = message.0;
        for ledger in self.ledgers.values_mut().chain(self.shares.values_mut()) {
            if let Some(terms) = self.preset.terms.get(&ledger.service()) {
                ledger.set_terms(terms.clone());
            }
        }
    }
}

impl Handler<Tick> for Admission {
    type Return = ();

    async fn handle(&mut self, _: Tick, ctx: &mut Context<Self>) {
        let now = Instant::now();
        let actions = self.relay.tick(now);
        self.apply_relay(actions).await;
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
        if self.ticks.is_multiple_of(TICKS_PER_ROUND) {
            self.flush().await;
            self.expire(now).await;
            let is_local = |endpoint: &&Endpoint| {
                endpoint.kind == Kind::Engine && self.relay.is_home(endpoint.id)
            };
            for engine in self.engines.values().filter(is_local) {
                let actor = ctx.mailbox().address();
                tokio::spawn(crate::load::poll(engine.clone(), actor));
            }
        }
    }
}
