//! Admission between nodes: what the admission actor does with frames and with news of nodes.

use std::time::Instant;

use daisyyard_core::endpoint::{Endpoint, Load};
use daisyyard_core::id::InstanceId;
use daisyyard_core::ledger::Answer as Answered;
use xtra::{Context, Handler};

use crate::admission::{Admission, Decision};
use crate::wire::{Answer, Ask, Made, Message, Verdict};

/// A frame about admission has arrived.
#[derive(Debug)]
pub(crate) struct Deliver {
    /// Node that sent it.
    pub(crate) node: InstanceId,
    /// The message.
    pub(crate) message: Message,
}

/// The nodes that may be home of an engine have changed.
#[derive(Debug)]
pub(crate) struct Homes {
    /// Nodes that may be home of an engine.
    pub(crate) nodes: Vec<InstanceId>,
    /// Nodes that are gone since the last message.
    pub(crate) gone: Vec<InstanceId>,
}

/// A node cannot be reached.
#[derive(Debug)]
pub(crate) struct Lost(pub(crate) InstanceId);

/// The instance list was read.
#[derive(Debug)]
pub(crate) struct Engines(pub(crate) Vec<Endpoint>);

/// An engine has reported its load.
#[derive(Debug)]
pub(crate) struct Report {
    /// The engine.
    pub(crate) engine: Endpoint,
    /// The report.
    pub(crate) load: Load,
}

impl Admission {
    /// Answers another node's request for admission.
    async fn ask(&mut self, node: InstanceId, ask: Ask) {
        let now = Instant::now();
        let engine = self.engines.get(&ask.endpoint).cloned();
        let home = self.relay.is_home(ask.endpoint);
        let ledger = match engine {
            // A second ledger of the same engine would overcommit it.
            Some(engine) if home => self.ledger(&engine, now),
            _ => None,
        };
        let verdict = match ledger {
            None => Verdict::Elsewhere,
            // The grant may have been lost on its way.
            Some(ledger) if ledger.held_by(node).contains(&ask.request) => Verdict::Grant,
            Some(ledger) => match ledger.ask(ask.terms(node, now), now) {
                Answered::Grant => Verdict::Grant,
                Answered::Wait => Verdict::Wait,
                Answered::Refuse { retry_after } => Verdict::Refuse { retry_after },
            },
        };
        self.answer(node, ask.endpoint, ask.request, verdict).await;
    }

    /// Takes the answer of an engine's home.
    async fn answered(&mut self, node: InstanceId, answer: Answer) {
        let request = answer.request;
        let endpoint = answer.digest.as_ref().map(|digest| digest.endpoint);
        if let Some(digest) = answer.digest {
            self.learn(digest).await;
        }
        let asked = self.waiting.get(&request).map(|ask| ask.endpoint.id);
        if endpoint.is_some() && asked.is_some() && endpoint != asked {
            // The request was withdrawn from this engine and waits at another one now; the
            // withdrawal is on its way and ends a grant.
            return;
        }
        if answer.verdict == Verdict::Wait {
            self.relay.queued(request, node);
            return;
        }
        let expected = self.relay.answered(request, node);
        match answer.verdict {
            Verdict::Grant => {
                if expected && self.grant(request, node) {
                    return;
                }
                // The request was decided elsewhere or withdrawn meanwhile.
                if let Some(endpoint) = endpoint {
                    let made = 0;
                    let release = Made {
                        endpoint,
                        request,
                        made,
                    };
                    self.send(node, Message::Release(release)).await;
                }
            }
            Verdict::Refuse { retry_after } if expected => {
                self.settle(request, Decision::Refuse { retry_after });
            }
            Verdict::Elsewhere if expected => self.take_share(request),
            Verdict::Refuse { .. } | Verdict::Elsewhere | Verdict::Wait => {}
        }
    }
}

impl Handler<Deliver> for Admission {
    type Return = ();

    async fn handle(&mut self, message: Deliver, _: &mut Context<Self>) {
        let now = Instant::now();
        match message.message {
            Message::Ask(ask) => self.ask(message.node, ask).await,
            Message::Answer(answer) => self.answered(message.node, answer).await,
            Message::Progress(entries) => {
                for entry in entries {
                    if let Some(ledger) = self.ledgers.get_mut(&entry.endpoint) {
                        ledger.progress(entry.request, entry.made, now);
                    }
                }
            }
            Message::Release(entry) => {
                if let Some(ledger) = self.ledgers.get_mut(&entry.endpoint) {
                    ledger.release(entry.request, entry.made, now);
                }
                self.advance(entry.endpoint, now).await;
            }
            _ => {}
        }
    }
}

impl Handler<Homes> for Admission {
    type Return = ();

    async fn handle(&mut self, message: Homes, _: &mut Context<Self>) {
        let now = Instant::now();
        for node in message.gone {
            for ledger in self.ledgers.values_mut() {
                for request in ledger.held_by(node) {
                    ledger.release(request, 0, now);
                }
            }
        }
        self.adopt(message.nodes).await;
    }
}

impl Handler<Lost> for Admission {
    type Return = ();

    async fn handle(&mut self, message: Lost, _: &mut Context<Self>) {
        let next = self.relay.link_lost(message.0, Instant::now());
        self.follow(next).await;
    }
}

impl Handler<Engines> for Admission {
    type Return = ();

    async fn handle(&mut self, message: Engines, _: &mut Context<Self>) {
        for endpoint in message.0 {
            self.engines.insert(endpoint.id, endpoint);
        }
    }
}

impl Handler<Report> for Admission {
    type Return = ();

    async fn handle(&mut self, message: Report, _: &mut Context<Self>) {
        let now = Instant::now();
        if self.relay.is_home(message.engine.id)
            && let Some(ledger) = self.ledger(&message.engine, now)
        {
            ledger.report(message.load, now);
        }
    }
}
