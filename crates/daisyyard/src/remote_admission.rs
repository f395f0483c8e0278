//! Admission between nodes: how the admission actor handles frames and membership changes.

use std::time::Instant;

use daisyyard_core::endpoint::{Endpoint, Load};
use daisyyard_core::id::InstanceId;
use daisyyard_core::ledger::Answer as LedgerAnswer;
use xtra::{Context, Handler};

use crate::admission::{Admission, Decision};
use crate::wire::{Answer, Ask, Message, Output, Verdict};

/// Delivers an admission frame from another node.
#[derive(Debug)]
pub(crate) struct Deliver {
    /// Node that sent it.
    pub(crate) node: InstanceId,
    /// Message about admission; other kinds are ignored.
    pub(crate) message: Message,
}

/// Replaces the nodes that may be home of an engine.
#[derive(Debug)]
pub(crate) struct Homes {
    /// Nodes that may be home of an engine.
    pub(crate) nodes: Vec<InstanceId>,
    /// Nodes that became gone since the last message.
    pub(crate) gone: Vec<InstanceId>,
}

/// Reports that a node cannot be reached.
#[derive(Debug)]
pub(crate) struct NodeUnreachable(pub(crate) InstanceId);

/// Adds or updates the engines of the instance list.
#[derive(Debug)]
pub(crate) struct AdoptEngines(pub(crate) Vec<Endpoint>);

/// Passes on the load that an engine reported.
#[derive(Debug)]
pub(crate) struct LoadReport {
    /// Engine that reported.
    pub(crate) engine: Endpoint,
    /// Load that the engine reported.
    pub(crate) load: Load,
}

impl Admission {
    /// Decides on another node's request for admission and sends the verdict.
    async fn handle_ask(&mut self, node: InstanceId, ask: Ask) {
        let now = Instant::now();
        let engine = self.engines.get(&ask.endpoint).cloned();
        let home = self.relay.is_home(ask.endpoint);
        let ledger = match engine {
            // Only the home keeps a ledger: two ledgers of one engine would overcommit it.
            Some(engine) if home => self.ledger(&engine, now),
            _ => None,
        };
        let verdict = match ledger {
            None => Verdict::NotHome,
            // The node asks again for a grant that it holds: the first answer may have been lost.
            Some(ledger) if ledger.held_by(node).contains(&ask.request) => Verdict::Grant,
            Some(ledger) => match ledger.ask(ask.to_ledger(node, now), now) {
                LedgerAnswer::Grant => Verdict::Grant,
                LedgerAnswer::Wait => Verdict::Wait,
                LedgerAnswer::Refuse { retry_after } => Verdict::Refuse { retry_after },
            },
        };
        self.answer(node, ask.endpoint, ask.request, verdict).await;
    }

    /// Handles the answer of an engine's home to a request of this node.
    async fn handle_answer(&mut self, node: InstanceId, answer: Answer) {
        let request = answer.request;
        let endpoint = answer.digest.as_ref().map(|digest| digest.endpoint);
        if let Some(digest) = answer.digest {
            self.publish_digest(digest).await;
        }
        let asked = self
            .waiting
            .get(&request)
            .map(|message| message.endpoint.id);
        if endpoint.is_some() && asked.is_some() && endpoint != asked {
            // The request was withdrawn from this engine and now waits for another one. The
            // release already sent to this home ends any grant.
            return;
        }
        if answer.verdict == Verdict::Wait {
            self.relay.queued(request, node);
            return;
        }
        let expected = self.relay.answered(request, node);
        match answer.verdict {
            Verdict::Grant => {
                if expected && self.accept_grant(request, node) {
                    return;
                }
                // The request was decided elsewhere or withdrawn in the meantime.
                if let Some(endpoint) = endpoint {
                    let generated = 0;
                    let release = Output {
                        endpoint,
                        request,
                        generated,
                    };
                    self.send(node, Message::Release(release)).await;
                }
            }
            Verdict::Refuse { retry_after } if expected => {
                self.resolve(request, Decision::Refuse { retry_after });
            }
            Verdict::NotHome if expected => self.decide_locally(request),
            Verdict::Refuse { .. } | Verdict::NotHome | Verdict::Wait => {}
        }
    }
}

impl Handler<Deliver> for Admission {
    type Return = ();

    async fn handle(&mut self, message: Deliver, _: &mut Context<Self>) {
        let now = Instant::now();
        match message.message {
            Message::Ask(ask) => self.handle_ask(message.node, ask).await,
            Message::Answer(answer) => self.handle_answer(message.node, answer).await,
            Message::Progress(entries) => {
                for entry in entries {
                    if let Some(ledger) = self.ledgers.get_mut(&entry.endpoint) {
                        ledger.progress(entry.request, entry.generated, now);
                    }
                }
            }
            Message::Release(entry) => {
                if let Some(ledger) = self.ledgers.get_mut(&entry.endpoint) {
                    ledger.release(entry.request, entry.generated, now);
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
        self.adopt_homes(message.nodes).await;
    }
}

impl Handler<NodeUnreachable> for Admission {
    type Return = ();

    async fn handle(&mut self, message: NodeUnreachable, _: &mut Context<Self>) {
        let actions = self.relay.link_lost(message.0, Instant::now());
        self.apply_relay(actions).await;
    }
}

impl Handler<AdoptEngines> for Admission {
    type Return = ();

    async fn handle(&mut self, message: AdoptEngines, _: &mut Context<Self>) {
        for endpoint in message.0 {
            self.engines.insert(endpoint.id, endpoint);
        }
    }
}

impl Handler<LoadReport> for Admission {
    type Return = ();

    async fn handle(&mut self, message: LoadReport, _: &mut Context<Self>) {
        let now = Instant::now();
        if self.relay.is_home(message.engine.id)
            && let Some(ledger) = self.ledger(&message.engine, now)
        {
            ledger.report(message.load, now);
        }
    }
}
