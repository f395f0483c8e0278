//! The actor that keeps the ledgers of engines and answers requests for admission.

use std::collections::HashMap;
use std::time::{Duration, Instant};

use daisyyard_core::endpoint::Endpoint;
use daisyyard_core::id::{EndpointId, RequestId, Tokens};
use daisyyard_core::ledger::{self, Answer, Ledger, Next};
use daisyyard_core::preset::Preset;
use tokio::sync::oneshot;
use xtra::{Actor, Address, Context, Handler, Mailbox};

use crate::dispatch::{Dispatch, Learn};

/// Time between two checks of waiting requests and expired grants.
const TICK: Duration = Duration::from_millis(20);

/// Owns the ledgers.
#[derive(Debug, Actor)]
pub(crate) struct Admission {
    /// Ledgers by engine.
    ledgers: HashMap<EndpointId, Ledger>,
    /// Requests of this node that wait for a grant.
    waiting: HashMap<RequestId, oneshot::Sender<Decision>>,
    /// Preset in force.
    preset: Preset,
    /// Actor that learns the digests.
    dispatch: Address<Dispatch>,
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

/// Reports the tokens that a generation has made.
#[derive(Debug)]
pub(crate) struct Progress {
    /// Engine that runs the generation.
    pub(crate) endpoint: EndpointId,
    /// Request of the generation.
    pub(crate) request: RequestId,
    /// Output tokens made so far.
    pub(crate) made: Tokens,
}

/// Ends a generation or withdraws a waiting request.
#[derive(Debug)]
pub(crate) struct Release {
    /// Engine that ran the generation.
    pub(crate) endpoint: EndpointId,
    /// Request of the generation.
    pub(crate) request: RequestId,
    /// Output tokens made in all.
    pub(crate) made: Tokens,
}

/// Takes a preset into force.
#[derive(Debug)]
pub(crate) struct Enforce(pub(crate) Preset);

/// Lets time pass.
#[derive(Debug)]
struct Tick;

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
pub(crate) fn spawn(preset: Preset, dispatch: Address<Dispatch>) -> Address<Admission> {
    let actor = Admission {
        ledgers: HashMap::new(),
        waiting: HashMap::new(),
        preset,
        dispatch,
    };
    let address = xtra::spawn_tokio(actor, Mailbox::unbounded());
    let ticker = address.downgrade();
    tokio::spawn(async move {
        let mut interval = tokio::time::interval(TICK);
        loop {
            interval.tick().await;
            if ticker.send(Tick).await.is_err() {
                return;
            }
        }
    });
    address
}

impl Admission {
    /// Returns the ledger of an engine, creating it on first use.
    fn ledger(&mut self, endpoint: &Endpoint, now: Instant) -> Option<&mut Ledger> {
        let terms = self.preset.terms.get(&endpoint.service)?;
        let create = || Ledger::new(endpoint, terms.clone(), now);
        Some(self.ledgers.entry(endpoint.id).or_insert_with(create))
    }

    /// Carries out what a ledger decided.
    fn carry_out(&mut self, next: &Next) {
        let (request, decision) = match *next {
            Next::Grant { request, .. } => (request, Decision::Grant),
            Next::Refuse {
                request,
                retry_after,
                ..
            } => (request, Decision::Refuse { retry_after }),
            Next::Yield { .. } => return,
        };
        if let Some(reply) = self.waiting.remove(&request) {
            let _ = reply.send(decision);
        }
    }

    /// Shares the state of an engine with the routing.
    async fn share(&self, endpoint: EndpointId) {
        if let Some(ledger) = self.ledgers.get(&endpoint) {
            drop(
                self.dispatch
                    .send(Learn(ledger.digest(Instant::now())))
                    .detach()
                    .await,
            );
        }
    }
}

impl Handler<Ask> for Admission {
    type Return = ();

    async fn handle(&mut self, message: Ask, _: &mut Context<Self>) {
        let now = Instant::now();
        let request = message.terms.request;
        let Some(ledger) = self.ledger(&message.endpoint, now) else {
            let retry_after = Duration::from_secs(1);
            let _ = message.reply.send(Decision::Refuse { retry_after });
            return;
        };
        match ledger.ask(message.terms, now) {
            Answer::Grant => {
                let _ = message.reply.send(Decision::Grant);
            }
            Answer::Wait => {
                let _ = self.waiting.insert(request, message.reply);
            }
            Answer::Refuse { retry_after } => {
                let _ = message.reply.send(Decision::Refuse { retry_after });
            }
        }
        self.share(message.endpoint.id).await;
    }
}

impl Handler<Progress> for Admission {
    type Return = ();

    async fn handle(&mut self, message: Progress, _: &mut Context<Self>) {
        if let Some(ledger) = self.ledgers.get_mut(&message.endpoint) {
            ledger.progress(message.request, message.made, Instant::now());
        }
    }
}

impl Handler<Release> for Admission {
    type Return = ();

    async fn handle(&mut self, message: Release, _: &mut Context<Self>) {
        self.waiting.remove(&message.request);
        if let Some(ledger) = self.ledgers.get_mut(&message.endpoint) {
            ledger.release(message.request, message.made, Instant::now());
        }
        self.share(message.endpoint).await;
    }
}

impl Handler<Enforce> for Admission {
    type Return = ();

    async fn handle(&mut self, message: Enforce, _: &mut Context<Self>) {
        self.preset = message.0;
        for ledger in self.ledgers.values_mut() {
            if let Some(terms) = self.preset.terms.get(&ledger.service()) {
                ledger.adopt(terms.clone());
            }
        }
    }
}

impl Handler<Tick> for Admission {
    type Return = ();

    async fn handle(&mut self, _: Tick, _: &mut Context<Self>) {
        let now = Instant::now();
        let next: Vec<Next> = self
            .ledgers
            .values_mut()
            .flat_map(|ledger| ledger.tick(now))
            .collect();
        for next in next {
            self.carry_out(&next);
        }
    }
}
