//! The nodes of daisyyard: what they know, where they send requests and what they do in time.

use std::time::Duration;

use daisyyard_core::home;
use daisyyard_core::id::{AccountId, InstanceId, RequestId, Tokens};
use daisyyard_core::ledger::{self, Action, Ledger};
use daisyyard_core::route::{self, Choice, MAX_ENGINES_ASKED, Request, Table};
use rand::Rng;

use crate::ablation::Part;
use crate::agenda::At;
use crate::cache::Change;
use crate::caller::End;
use crate::engine::Gauge;
use crate::message::{Content, Message, send};
use crate::world::{Event, World};

/// Output tokens that a node expects before it has seen any length.
const EXPECTED_OUTPUT: Tokens = 256;
/// Time without news after which a node takes another one for lost.
const SUSPICION: Duration = Duration::from_secs(3);
/// Time after which a node stops waiting for an answer that was lost.
const ANSWER_TIMEOUT: Duration = Duration::from_millis(100);

/// Account of all requests in a run without fairness between accounts.
const ONE_ACCOUNT: AccountId = 1;

/// Phase of a request at its node.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Phase {
    /// The home of an engine was asked.
    Asking,
    /// The request waits at the home.
    Waiting,
    /// The engine runs the request.
    Running,
}

/// What a node knows about one of its requests.
#[derive(Debug)]
pub(crate) struct Pending {
    /// Engines that were asked, the present one last.
    pub(crate) tried: Vec<usize>,
    /// Node that keeps the ledger of the present engine.
    pub(crate) home: usize,
    /// Phase of the request.
    pub(crate) phase: Phase,
    /// What the present home was asked.
    pub(crate) ask: ledger::Request,
}

/// A node.
#[derive(Debug)]
pub(crate) struct Node {
    /// Route table of the node.
    pub(crate) table: Table,
    /// Ledgers that the node keeps, by engine.
    pub(crate) ledgers: Vec<Option<Ledger>>,
    /// Ledgers of the node's own share of each engine while the engine's home does not answer.
    pub(crate) shares: Vec<Option<Ledger>>,
}

/// All nodes of the system.
#[derive(Debug)]
pub struct Fleet {
    /// Nodes by number.
    pub(crate) nodes: Vec<Node>,
    /// Requests by number.
    pub(crate) pending: Vec<Option<Pending>>,
    /// When the contact between zones was last lost or restored.
    changed: At,
    /// Home of each engine as seen from the first zone and from the others.
    pub(crate) homes: [Vec<usize>; 2],
}

impl Fleet {
    /// Creates the nodes.
    pub fn new(world: &World) -> Self {
        let engines = &world.deployment.engines;
        let node = |node: &crate::deployment::Node| {
            let mut table = Table::for_node(node.id, node.zone.clone());
            for engine in engines {
                let mut engine = engine.clone();
                if world.without(Part::Zones) {
                    engine.zone = node.zone.clone();
                }
                table.insert(engine);
            }
            let none = || engines.iter().map(|_| None).collect();
            Node {
                table,
                ledgers: none(),
                shares: none(),
            }
        };
        let mut yard = Self {
            nodes: world.deployment.nodes.iter().map(node).collect(),
            pending: world.arrivals.iter().map(|_| None).collect(),
            changed: At::ZERO,
            homes: [Vec::new(), Vec::new()],
        };
        yard.elect(world);
        yard
    }

    /// Takes a new request.
    pub fn arrive(&mut self, world: &mut World, request: RequestId) {
        let arrival = world.arrival(request);
        let deadline = arrival.at + world.contract(request).queue_timeout;
        let ask = ledger::Request {
            id: request,
            node: world.deployment.nodes[arrival.node].id,
            account: if world.without(Part::FairQueue) {
                ONE_ACCOUNT
            } else {
                arrival.account
            },
            rank: arrival.rank,
            prompt: arrival.prompt,
            cached: 0,
            expected: EXPECTED_OUTPUT,
            deadline: world.agenda.instant(deadline),
        };
        let pending = Pending {
            tried: Vec::new(),
            home: 0,
            phase: Phase::Asking,
            ask,
        };
        self.pending[request as usize] = Some(pending);
        self.route(world, request);
    }

    /// Takes a load report, which the home of the engine polls.
    pub fn report(
        &mut self,
        world: &mut World,
        engine: usize,
        gauge: &Gauge,
        taken: At,
        changes: &[Change],
    ) {
        self.learn(world, engine, changes);
        let now = world.now();
        let load = world.load(gauge, taken);
        for side in 0..self.sides(world) {
            let home = self.homes[side][engine];
            self.ledger(world, home, engine).report(load.clone(), now);
            self.pump(world, home, engine);
        }
    }

    /// Ends a request whose last token arrived.
    pub fn done(&mut self, world: &mut World, engine: usize, request: RequestId) {
        self.release(world, engine, request);
        self.pending[request as usize] = None;
        world.end(request, End::Whole);
    }

    /// Lets the ledgers decide after time passed.
    pub fn tick(&mut self, world: &mut World) {
        if world.agenda.now() >= self.changed + SUSPICION && self.changed > At::ZERO {
            self.elect(world);
            self.changed = At::ZERO;
        }
        for node in 0..self.nodes.len() {
            for engine in 0..world.engines.len() {
                self.pump(world, node, engine);
            }
        }
    }

    /// Sends progress reports and digests.
    pub fn second(&mut self, world: &mut World) {
        for index in 0..self.pending.len() {
            let Some(pending) = &self.pending[index] else {
                continue;
            };
            if pending.phase == Phase::Running {
                let from = world.arrivals[index].node;
                let engine = *pending.tried.last().unwrap_or(&0);
                let home = self.homes[Self::side(world, from)][engine];
                let made = world.callers[index].received;
                let content = Content::Progress(pending.ask.clone(), made);
                send(world, from, home, engine, content);
            }
        }
        let now = world.now();
        for engine in 0..world.engines.len() {
            for side in 0..self.sides(world) {
                let home = self.homes[side][engine];
                let digest = self.ledger(world, home, engine).digest(now);
                for to in 0..self.nodes.len() {
                    let content = Content::Digest(digest.clone());
                    send(world, home, to, engine, content);
                }
            }
        }
    }

    /// Learns that the contact between zones was lost or restored.
    pub fn cut(&mut self, world: &World) {
        self.changed = world.agenda.now();
    }

    /// Chooses an engine and asks its home, or refuses the request.
    pub(crate) fn route(&mut self, world: &mut World, request: RequestId) {
        let Some(pending) = self.pending[request as usize].as_mut() else {
            return;
        };
        let arrival = world.arrival(request);
        let (node, arrived) = (arrival.node, arrival.at);
        let form = Request {
            id: request,
            service: world.terms.service,
            account: arrival.account,
            rank: arrival.rank,
            prompt: arrival.prompt,
            prefix: if world.without(Part::PrefixLocality) {
                Vec::new()
            } else {
                arrival.prefix.clone()
            },
        };
        let engines = &world.deployment.engines;
        let tried: Vec<_> = pending.tried.iter().map(|one| engines[*one].id).collect();
        let (now, seed) = (world.now(), world.random.random());
        let table = &mut self.nodes[node].table;
        let choice = table.choose(&form, &tried, now, seed);
        let most = if world.without(Part::SecondEngine) {
            1
        } else {
            MAX_ENGINES_ASKED
        };
        let spent = tried.len() >= most || now >= pending.ask.deadline;
        let Choice::Ask(endpoint) = choice else {
            return self.refuse(world, request);
        };
        if spent {
            return self.refuse(world, request);
        }
        pending.ask.cached = table.cached_tokens(&form, endpoint);
        if !world.without(Part::OwnSends) {
            table.record_send(endpoint, &form, now);
        }
        let engine = world.number(endpoint);
        let home = self.homes[Self::side(world, node)][engine];
        let contract = world.terms.contract(form.rank);
        let patience = route::max_wait(contract, form.rank, pending.tried.len());
        let mut ask = pending.ask.clone();
        ask.deadline = world.agenda.instant(arrived + patience);
        pending.tried.push(engine);
        pending.home = home;
        pending.phase = Phase::Asking;
        let content = Content::Ask(ask);
        send(world, node, home, engine, content);
        let silence = |content| Message {
            to: node,
            engine,
            content,
        };
        let message = silence(Content::Silence(request));
        world.agenda.after(ANSWER_TIMEOUT, Event::Message(message));
        let patience = world.contract(request).queue_timeout + ANSWER_TIMEOUT;
        let message = silence(Content::Late(request));
        world.agenda.after(patience, Event::Message(message));
    }

    /// Lets one ledger decide and sends its decisions.
    pub(crate) fn pump(&mut self, world: &mut World, node: usize, engine: usize) {
        let now = world.now();
        let Some(ledger) = &mut self.nodes[node].ledgers[engine] else {
            return;
        };
        for next in ledger.tick(now) {
            let (Action::Grant { request, .. }
            | Action::Refuse { request, .. }
            | Action::Yield { request, .. }) = next;
            let to = world.arrival(request).node;
            send(world, node, to, engine, Content::Decide(next));
        }
    }

    /// Returns the ledger of an engine at a node, creating it on first use.
    pub(crate) fn ledger(&mut self, world: &World, node: usize, engine: usize) -> &mut Ledger {
        let endpoint = &world.deployment.engines[engine];
        let create = || Ledger::new(endpoint, world.terms.clone(), world.now());
        self.nodes[node].ledgers[engine].get_or_insert_with(create)
    }

    /// Returns whether a request is in the given phase at the given engine.
    pub(crate) fn holds(&self, request: RequestId, engine: usize, phase: Phase) -> bool {
        self.pending[request as usize]
            .as_ref()
            .is_some_and(|pending| pending.phase == phase && pending.tried.last() == Some(&engine))
    }

    /// Moves a request into a phase.
    pub(crate) fn enter(&mut self, request: RequestId, phase: Phase) {
        if let Some(pending) = self.pending[request as usize].as_mut() {
            pending.phase = phase;
        }
    }

    /// Determines the home of each engine from the nodes that each side takes for live.
    fn elect(&mut self, world: &World) {
        let nodes = &world.deployment.nodes;
        let first = nodes[0].zone.id;
        for side in 0..2 {
            let live = |node: &&crate::deployment::Node| {
                !world.cut || (node.zone.id == first) == (side == 0)
            };
            let live: Vec<InstanceId> = nodes.iter().filter(live).map(|node| node.id).collect();
            let home = |engine: &daisyyard_core::endpoint::Endpoint| {
                let home = home::of(engine.id, live.iter().copied());
                nodes.iter().position(|node| Some(node.id) == home)
            };
            let engines = world.deployment.engines.iter();
            self.homes[side] = engines.map(|engine| home(engine).unwrap_or(0)).collect();
        }
    }

    /// Returns on which side of the cut a node stands.
    pub(crate) fn side(world: &World, node: usize) -> usize {
        let nodes = &world.deployment.nodes;
        usize::from(nodes[node].zone.id != nodes[0].zone.id)
    }

    /// Returns the number of sides that have their own homes at present.
    fn sides(&self, _world: &World) -> usize {
        if self.homes[0] == self.homes[1] { 1 } else { 2 }
    }
}
