//! Simulated nodes that route and admit requests with the decisions of `daisyyard_core`.

use std::time::Duration;

use daisyyard_core::home;
use daisyyard_core::id::{AccountId, InstanceId, RequestId, Tokens};
use daisyyard_core::ledger::{self, Action, Ledger};
use daisyyard_core::route::{self, Choice, MAX_ENGINES_ASKED, Request, Table};
use rand::Rng;

use crate::ablation::Part;
use crate::cache::Change;
use crate::caller::Outcome;
use crate::engine::Stats;
use crate::event_queue::Time;
use crate::message::{Content, Message, send};
use crate::world::{Event, World};

/// Output length in tokens that a node expects before it has observed any.
const INITIAL_EXPECTED_OUTPUT: Tokens = 256;
/// Time without contact after which a node considers another one lost.
const SUSPICION_TIMEOUT: Duration = Duration::from_secs(3);
/// Time after which a node considers the answer of a home lost.
const ANSWER_TIMEOUT: Duration = Duration::from_millis(100);

/// Account of all requests in a run without fair queuing between accounts.
const SHARED_ACCOUNT: AccountId = 1;

/// Phase of a request at its node.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Phase {
    /// The node waits for the answer of an engine's home.
    Asking,
    /// The request is queued at the home.
    Waiting,
    /// The engine runs the request.
    Running,
}

/// State of a request at its node.
#[derive(Debug)]
pub(crate) struct Pending {
    /// Engines whose homes were asked, the current one last.
    pub(crate) tried: Vec<usize>,
    /// Home node of the current engine when it was asked.
    pub(crate) home: usize,
    /// Phase of the request.
    pub(crate) phase: Phase,
    /// Admission request for the current engine, with the request's overall deadline.
    pub(crate) request: ledger::Request,
}

/// Routing table and ledgers of one node.
#[derive(Debug)]
pub(crate) struct Node {
    /// Routing table of the node.
    pub(crate) table: Table,
    /// Ledgers of the engines that have this node as home, by engine.
    pub(crate) ledgers: Vec<Option<Ledger>>,
    /// Ledgers of the node's share of each engine, used while the engine's home does not answer.
    pub(crate) local_ledgers: Vec<Option<Ledger>>,
}

/// All nodes with their requests.
#[derive(Debug)]
pub struct Fleet {
    /// Nodes by number.
    pub(crate) nodes: Vec<Node>,
    /// States of the requests that have not ended, by request.
    pub(crate) pending: Vec<Option<Pending>>,
    /// Time at which the network split last began or ended; zero once the homes reflect it.
    split_changed_at: Time,
    /// Home of each engine as seen from the first availability zone and from the others.
    pub(crate) homes: [Vec<usize>; 2],
}

impl Fleet {
    /// Creates the nodes with all engines in their routing tables.
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
                local_ledgers: none(),
            }
        };
        let mut fleet = Self {
            nodes: world.deployment.nodes.iter().map(node).collect(),
            pending: world.arrivals.iter().map(|_| None).collect(),
            split_changed_at: Time::ZERO,
            homes: [Vec::new(), Vec::new()],
        };
        fleet.assign_homes(world);
        fleet
    }

    /// Accepts a new request and asks for admission.
    pub fn handle_arrival(&mut self, world: &mut World, request: RequestId) {
        let arrival = world.arrival(request);
        let deadline = arrival.at + world.contract(request).queue_timeout;
        let admission_request = ledger::Request {
            id: request,
            node: world.deployment.nodes[arrival.node].id,
            account: if world.without(Part::FairQueue) {
                SHARED_ACCOUNT
            } else {
                arrival.account
            },
            rank: arrival.rank,
            prompt: arrival.prompt,
            cached: 0,
            expected: INITIAL_EXPECTED_OUTPUT,
            deadline: world.events.instant(deadline),
        };
        let pending = Pending {
            tried: Vec::new(),
            home: 0,
            phase: Phase::Asking,
            request: admission_request,
        };
        self.pending[request as usize] = Some(pending);
        self.route(world, request);
    }

    /// Passes a load report to the engine's home, and the cache changes to all nodes.
    pub fn handle_report(
        &mut self,
        world: &mut World,
        engine: usize,
        stats: &Stats,
        measured_at: Time,
        changes: &[Change],
    ) {
        self.broadcast_cache_changes(world, engine, changes);
        let now = world.now();
        let load = world.load(stats, measured_at);
        for side in 0..self.side_count(world) {
            let home = self.homes[side][engine];
            self.ledger(world, home, engine).report(load.clone(), now);
            self.tick_ledger(world, home, engine);
        }
    }

    /// Completes a request whose last token reached its node.
    pub fn handle_completion(&mut self, world: &mut World, engine: usize, request: RequestId) {
        self.release(world, engine, request);
        self.pending[request as usize] = None;
        world.end_request(request, Outcome::Completed);
    }

    /// Reassigns homes once a change of the network split is detected, and ticks all ledgers.
    pub fn tick(&mut self, world: &mut World) {
        if world.events.now() >= self.split_changed_at + SUSPICION_TIMEOUT
            && self.split_changed_at > Time::ZERO
        {
            self.assign_homes(world);
            self.split_changed_at = Time::ZERO;
        }
        for node in 0..self.nodes.len() {
            for engine in 0..world.engines.len() {
                self.tick_ledger(world, node, engine);
            }
        }
    }

    /// Sends the progress of running generations to the homes, and digests to all nodes.
    pub fn publish(&mut self, world: &mut World) {
        for index in 0..self.pending.len() {
            let Some(pending) = &self.pending[index] else {
                continue;
            };
            if pending.phase == Phase::Running {
                let from = world.arrivals[index].node;
                let engine = *pending.tried.last().unwrap_or(&0);
                let home = self.homes[Self::side(world, from)][engine];
                let generated = world.callers[index].received_tokens;
                let content = Content::Progress(pending.request.clone(), generated);
                send(world, from, home, engine, content);
            }
        }
        let now = world.now();
        for engine in 0..world.engines.len() {
            for side in 0..self.side_count(world) {
                let home = self.homes[side][engine];
                let digest = self.ledger(world, home, engine).digest(now);
                for to in 0..self.nodes.len() {
                    let content = Content::Digest(digest.clone());
                    send(world, home, to, engine, content);
                }
            }
        }
    }

    /// Records that the network split began or ended.
    pub fn handle_split_change(&mut self, world: &World) {
        self.split_changed_at = world.events.now();
    }

    /// Chooses an engine and asks its home for admission, or refuses the request.
    pub(crate) fn route(&mut self, world: &mut World, request: RequestId) {
        let Some(pending) = self.pending[request as usize].as_mut() else {
            return;
        };
        let arrival = world.arrival(request);
        let (node, arrived) = (arrival.node, arrival.at);
        let properties = Request {
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
        let tried: Vec<_> = pending
            .tried
            .iter()
            .map(|index| engines[*index].id)
            .collect();
        let (now, seed) = (world.now(), world.random.random());
        let table = &mut self.nodes[node].table;
        let choice = table.choose(&properties, &tried, now, seed);
        let max_asked = if world.without(Part::SecondEngine) {
            1
        } else {
            MAX_ENGINES_ASKED
        };
        let exhausted = tried.len() >= max_asked || now >= pending.request.deadline;
        let Choice::Endpoint(endpoint) = choice else {
            return self.refuse(world, request);
        };
        if exhausted {
            return self.refuse(world, request);
        }
        pending.request.cached = table.cached_tokens(&properties, endpoint);
        if !world.without(Part::OwnSends) {
            table.record_send(endpoint, &properties, now);
        }
        let engine = world.engine_number(endpoint);
        let home = self.homes[Self::side(world, node)][engine];
        let contract = world.terms.contract(properties.rank);
        let asked_at = now.saturating_duration_since(world.events.instant(arrived));
        let nth = pending.tried.len();
        let max_wait = route::max_wait(contract, properties.rank, nth, asked_at);
        let mut admission_request = pending.request.clone();
        admission_request.deadline = world.events.instant(arrived + max_wait);
        pending.tried.push(engine);
        pending.home = home;
        pending.phase = Phase::Asking;
        let content = Content::Ask(admission_request);
        send(world, node, home, engine, content);
        let to_self = |content| Message {
            to: node,
            engine,
            content,
        };
        let message = to_self(Content::AnswerTimeout(request));
        world
            .events
            .schedule_after(ANSWER_TIMEOUT, Event::Message(message));
        let decision_timeout = world.contract(request).queue_timeout + ANSWER_TIMEOUT;
        let message = to_self(Content::DecisionTimeout(request));
        world
            .events
            .schedule_after(decision_timeout, Event::Message(message));
    }

    /// Ticks one ledger and sends its decisions to the nodes of the requests.
    pub(crate) fn tick_ledger(&mut self, world: &mut World, node: usize, engine: usize) {
        let now = world.now();
        let Some(ledger) = &mut self.nodes[node].ledgers[engine] else {
            return;
        };
        for action in ledger.tick(now) {
            let (Action::Grant { request, .. }
            | Action::Refuse { request, .. }
            | Action::Yield { request, .. }) = action;
            let to = world.arrival(request).node;
            send(world, node, to, engine, Content::Decision(action));
        }
    }

    /// Returns the ledger of an engine at a node, creating it on first use.
    pub(crate) fn ledger(&mut self, world: &World, node: usize, engine: usize) -> &mut Ledger {
        let endpoint = &world.deployment.engines[engine];
        let create = || Ledger::new(endpoint, world.terms.clone(), world.now());
        self.nodes[node].ledgers[engine].get_or_insert_with(create)
    }

    /// Returns whether a request is in the given phase at the given engine.
    pub(crate) fn is_in_phase(&self, request: RequestId, engine: usize, phase: Phase) -> bool {
        self.pending[request as usize]
            .as_ref()
            .is_some_and(|pending| pending.phase == phase && pending.tried.last() == Some(&engine))
    }

    /// Sets the phase of a request that has not ended.
    pub(crate) fn set_phase(&mut self, request: RequestId, phase: Phase) {
        if let Some(pending) = self.pending[request as usize].as_mut() {
            pending.phase = phase;
        }
    }

    /// Assigns the home of each engine from the nodes that each side considers live.
    fn assign_homes(&mut self, world: &World) {
        let nodes = &world.deployment.nodes;
        let first_zone = nodes[0].zone.id;
        for side in 0..2 {
            let live = |node: &&crate::deployment::Node| {
                !world.split || (node.zone.id == first_zone) == (side == 0)
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

    /// Returns the side of the network split that a node is on.
    pub(crate) fn side(world: &World, node: usize) -> usize {
        let nodes = &world.deployment.nodes;
        usize::from(nodes[node].zone.id != nodes[0].zone.id)
    }

    /// Returns the number of sides with homes of their own.
    fn side_count(&self, _world: &World) -> usize {
        if self.homes[0] == self.homes[1] { 1 } else { 2 }
    }
}
