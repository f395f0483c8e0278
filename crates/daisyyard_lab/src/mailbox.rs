//! What the nodes do with the messages that arrive.

use daisyyard_core::id::RequestId;
use daisyyard_core::ledger::{Action, Answer, Ledger};
use daisyyard_core::prefix;
use rand::Rng;

use crate::cache::Change;
use crate::caller::End;
use crate::fleet::{Fleet, Phase};
use crate::message::{Content, Message, send};
use crate::world::World;

/// Share of the cache events that a node never gets.
const EVENT_LOSS: f64 = 0.02;

impl Fleet {
    /// Takes a message.
    pub fn message(&mut self, world: &mut World, message: Message) {
        let Message {
            to,
            engine,
            content,
        } = message;
        let now = world.now();
        match content {
            Content::Ask(ask) => {
                let request = ask.id;
                let ledger = self.ledger(world, to, engine);
                let answer = ledger.ask(ask, now);
                let digest = ledger.digest(now);
                let back = world.arrival(request).node;
                let content = Content::Answer(request, answer, digest);
                send(world, to, back, engine, content);
            }
            Content::Answer(request, answer, digest) => {
                self.nodes[to].table.record_digest(digest, now);
                self.answer(world, engine, request, &answer);
            }
            Content::Decide(next) => self.decide(world, engine, &next),
            Content::Progress(ask, made) => {
                let ledger = self.ledger(world, to, engine);
                if !ledger.progress(ask.id, made, now) {
                    ledger.restore(&ask, made, now);
                }
            }
            Content::Release(request, made) => {
                if let Some(ledger) = &mut self.nodes[to].ledgers[engine] {
                    ledger.release(request, made, now);
                }
                self.pump(world, to, engine);
            }
            Content::Digest(digest) => self.nodes[to].table.record_digest(digest, now),
            Content::Silence(request) => {
                if self.holds(request, engine, Phase::Asking) {
                    self.share(world, to, engine, request);
                }
            }
            Content::Late(request) => {
                if self.holds(request, engine, Phase::Waiting) {
                    self.release(world, engine, request);
                    self.refuse(world, request);
                }
            }
        }
    }

    /// Acts on the answer of a home.
    fn answer(&mut self, world: &mut World, engine: usize, request: RequestId, answer: &Answer) {
        if !self.holds(request, engine, Phase::Asking) {
            // The answer came after the node gave up; the home must not keep the share.
            if matches!(answer, Answer::Grant | Answer::Wait) {
                self.release(world, engine, request);
            }
            return;
        }
        match answer {
            Answer::Grant => self.start(world, engine, request),
            Answer::Wait => self.enter(request, Phase::Waiting),
            Answer::Refuse { .. } => self.route(world, request),
        }
    }

    /// Acts on what a ledger decided about a request of this node.
    fn decide(&mut self, world: &mut World, engine: usize, next: &Action) {
        match *next {
            Action::Grant { request, .. } => {
                if self.holds(request, engine, Phase::Waiting) {
                    self.start(world, engine, request);
                } else if !self.holds(request, engine, Phase::Running) {
                    self.release(world, engine, request);
                }
            }
            Action::Refuse { request, .. } => {
                if self.holds(request, engine, Phase::Waiting) {
                    self.route(world, request);
                }
            }
            Action::Yield { request, .. } => {
                if self.holds(request, engine, Phase::Running) {
                    self.give_up(world, engine, request);
                }
            }
        }
    }

    /// Gives the changes of an engine's prefix cache to all nodes; some events are lost.
    pub(crate) fn learn(&mut self, world: &mut World, engine: usize, changes: &[Change]) {
        let endpoint = world.deployment.engines[engine].id;
        for node in &mut self.nodes {
            for change in changes {
                if world.random.random_bool(EVENT_LOSS) {
                    continue;
                }
                let blocks = vec![change.block];
                let event = prefix::Event {
                    endpoint,
                    sequence: change.number,
                    change: if change.stored {
                        prefix::Change::Store(blocks)
                    } else {
                        prefix::Change::Evict(blocks)
                    },
                };
                if let prefix::Step::Fetch { .. } = node.table.cache_event(&event) {
                    // The engine keeps no old events, so the node goes on from this one.
                    node.table.prefixes().skip(endpoint, event.sequence);
                    node.table.cache_event(&event);
                }
            }
        }
    }

    /// Takes a running request back from its engine and asks again, unless its caller has tokens
    /// already, which another generation must not continue.
    fn give_up(&mut self, world: &mut World, engine: usize, request: RequestId) {
        if world.callers[request as usize].received > 0 {
            return;
        }
        world.cancel(request);
        world.meter.yields += 1;
        self.release(world, engine, request);
        self.route(world, request);
    }

    /// Sends a granted request to its engine.
    fn start(&mut self, world: &mut World, engine: usize, request: RequestId) {
        self.enter(request, Phase::Running);
        let priority = world.priority(request);
        world.submit(request, engine, priority);
    }

    /// Refuses a request.
    pub(crate) fn refuse(&mut self, world: &mut World, request: RequestId) {
        self.pending[request as usize] = None;
        world.end(request, End::Refused);
    }

    /// Tells the home that a request no longer needs its share.
    pub(crate) fn release(&mut self, world: &mut World, engine: usize, request: RequestId) {
        let from = world.arrival(request).node;
        let made = world.callers[request as usize].received;
        let now = world.now();
        if let Some(share) = &mut self.nodes[from].shares[engine] {
            share.release(request, made, now);
        }
        let present = self.homes[Self::side(world, from)][engine];
        let pending = self.pending[request as usize].as_ref();
        let asked = pending.map_or(present, |pending| pending.home);
        send(world, from, asked, engine, Content::Release(request, made));
        if asked != present {
            send(
                world,
                from,
                present,
                engine,
                Content::Release(request, made),
            );
        }
    }

    /// Decides by the node's own share of an engine whose home does not answer.
    pub(crate) fn share(
        &mut self,
        world: &mut World,
        node: usize,
        engine: usize,
        request: RequestId,
    ) {
        let Some(pending) = self.pending[request as usize].as_mut() else {
            return;
        };
        let (now, ask) = (world.now(), pending.ask.clone());
        let endpoint = &world.deployment.engines[engine];
        let nodes = world.deployment.nodes.len() as u32;
        let create = || Ledger::local(endpoint, world.terms.clone(), nodes, now);
        let share = self.nodes[node].shares[engine].get_or_insert_with(create);
        let answer = share.ask(ask, now);
        if answer == Answer::Wait {
            share.release(request, 0, now);
            self.route(world, request);
        } else {
            self.answer(world, engine, request, &answer);
        }
    }
}
