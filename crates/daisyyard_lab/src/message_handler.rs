//! Handling of messages between the simulated nodes.

use daisyyard_core::id::RequestId;
use daisyyard_core::ledger::{Action, Answer, Ledger};
use daisyyard_core::prefix;
use rand::Rng;

use crate::cache::Change;
use crate::caller::Outcome;
use crate::fleet::{Fleet, Phase};
use crate::message::{Content, Message, send};
use crate::world::World;

/// Probability that a cache event does not reach a node.
const EVENT_LOSS_PROBABILITY: f64 = 0.02;

impl Fleet {
    /// Handles a message at the node that receives it.
    pub fn handle_message(&mut self, world: &mut World, message: Message) {
        let Message {
            to,
            engine,
            content,
        } = message;
        let now = world.now();
        match content {
            Content::Ask(admission_request) => {
                let request = admission_request.id;
                let ledger = self.ledger(world, to, engine);
                let answer = ledger.ask(admission_request, now);
                let digest = ledger.digest(now);
                let node = world.arrival(request).node;
                let content = Content::Answer(request, answer, digest);
                send(world, to, node, engine, content);
            }
            Content::Answer(request, answer, digest) => {
                self.nodes[to].table.record_digest(digest, now);
                self.handle_answer(world, engine, request, &answer);
            }
            Content::Decision(action) => self.handle_decision(world, engine, &action),
            Content::Progress(request, generated) => {
                let ledger = self.ledger(world, to, engine);
                if !ledger.progress(request.id, generated, now) {
                    ledger.restore(&request, generated, now);
                }
            }
            Content::Release(request, generated) => {
                if let Some(ledger) = &mut self.nodes[to].ledgers[engine] {
                    ledger.release(request, generated, now);
                }
                self.tick_ledger(world, to, engine);
            }
            Content::Digest(digest) => self.nodes[to].table.record_digest(digest, now),
            Content::AnswerTimeout(request) => {
                if self.is_in_phase(request, engine, Phase::Asking) {
                    self.ask_local_ledger(world, to, engine, request);
                }
            }
            Content::DecisionTimeout(request) => {
                if self.is_in_phase(request, engine, Phase::Waiting) {
                    self.release(world, engine, request);
                    self.refuse(world, request);
                }
            }
        }
    }

    /// Handles the answer of a home to an admission request.
    fn handle_answer(
        &mut self,
        world: &mut World,
        engine: usize,
        request: RequestId,
        answer: &Answer,
    ) {
        if !self.is_in_phase(request, engine, Phase::Asking) {
            // The node no longer waits for this answer, so the home must free the capacity.
            if matches!(answer, Answer::Grant | Answer::Wait) {
                self.release(world, engine, request);
            }
            return;
        }
        match answer {
            Answer::Grant => self.start(world, engine, request),
            Answer::Wait => self.set_phase(request, Phase::Waiting),
            Answer::Refuse { .. } => self.route(world, request),
        }
    }

    /// Handles a decision of a ledger about a request of this node.
    fn handle_decision(&mut self, world: &mut World, engine: usize, action: &Action) {
        match *action {
            Action::Grant { request, .. } => {
                if self.is_in_phase(request, engine, Phase::Waiting) {
                    self.start(world, engine, request);
                } else if !self.is_in_phase(request, engine, Phase::Running) {
                    self.release(world, engine, request);
                }
            }
            Action::Refuse { request, .. } => {
                if self.is_in_phase(request, engine, Phase::Waiting) {
                    self.route(world, request);
                }
            }
            Action::Yield { request, .. } => {
                if self.is_in_phase(request, engine, Phase::Running) {
                    self.yield_request(world, engine, request);
                }
            }
        }
    }

    /// Sends the changes of an engine's prefix cache to all nodes, with random loss.
    pub(crate) fn broadcast_cache_changes(
        &mut self,
        world: &mut World,
        engine: usize,
        changes: &[Change],
    ) {
        let endpoint = world.deployment.engines[engine].id;
        for node in &mut self.nodes {
            for change in changes {
                if world.random.random_bool(EVENT_LOSS_PROBABILITY) {
                    continue;
                }
                let blocks = vec![change.block];
                let event = prefix::Event {
                    endpoint,
                    sequence: change.sequence,
                    change: if change.stored {
                        prefix::Change::Store(blocks)
                    } else {
                        prefix::Change::Evict(blocks)
                    },
                };
                if let prefix::Step::Fetch { .. } = node.table.record_cache_event(&event) {
                    // The engine stores no past events, so the node skips to this one.
                    node.table.prefixes().skip(endpoint, event.sequence);
                    node.table.record_cache_event(&event);
                }
            }
        }
    }

    /// Cancels a running request and routes it again, unless its caller has received tokens, which
    /// another generation must not continue.
    fn yield_request(&mut self, world: &mut World, engine: usize, request: RequestId) {
        if world.callers[request as usize].received_tokens > 0 {
            return;
        }
        world.cancel(request);
        world.meter.yields += 1;
        self.release(world, engine, request);
        self.route(world, request);
    }

    /// Sends a granted request to its engine.
    fn start(&mut self, world: &mut World, engine: usize, request: RequestId) {
        self.set_phase(request, Phase::Running);
        let priority = world.priority(request);
        world.submit(request, engine, priority);
    }

    /// Ends a request as refused.
    pub(crate) fn refuse(&mut self, world: &mut World, request: RequestId) {
        self.pending[request as usize] = None;
        world.end_request(request, Outcome::Refused);
    }

    /// Releases the capacity of a request in the node's local ledger, at the home that was asked
    /// and at the current home of the engine.
    pub(crate) fn release(&mut self, world: &mut World, engine: usize, request: RequestId) {
        let from = world.arrival(request).node;
        let generated = world.callers[request as usize].received_tokens;
        let now = world.now();
        if let Some(ledger) = &mut self.nodes[from].local_ledgers[engine] {
            ledger.release(request, generated, now);
        }
        let current = self.homes[Self::side(world, from)][engine];
        let pending = self.pending[request as usize].as_ref();
        let asked = pending.map_or(current, |pending| pending.home);
        send(
            world,
            from,
            asked,
            engine,
            Content::Release(request, generated),
        );
        if asked != current {
            send(
                world,
                from,
                current,
                engine,
                Content::Release(request, generated),
            );
        }
    }

    /// Asks the node's local ledger for its share of an engine whose home does not answer.
    ///
    /// A request that the local ledger queues is withdrawn and routed to another engine.
    pub(crate) fn ask_local_ledger(
        &mut self,
        world: &mut World,
        node: usize,
        engine: usize,
        request: RequestId,
    ) {
        let Some(pending) = self.pending[request as usize].as_mut() else {
            return;
        };
        let (now, admission_request) = (world.now(), pending.request.clone());
        let endpoint = &world.deployment.engines[engine];
        let nodes = world.deployment.nodes.len() as u32;
        let create = || Ledger::local(endpoint, world.terms.clone(), nodes, now);
        let ledger = self.nodes[node].local_ledgers[engine].get_or_insert_with(create);
        let answer = ledger.ask(admission_request, now);
        if answer == Answer::Wait {
            ledger.release(request, 0, now);
            self.route(world, request);
        } else {
            self.handle_answer(world, engine, request, &answer);
        }
    }
}
