//! The actor that owns the gateway's view of endpoints and of other gateways, and the requests
//! that wait for room.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::{Duration, Instant};

use daisyyard_core::allowance::{self, Allowance, Bound};
use daisyyard_core::backlog::{Backlog, Due};
use daisyyard_core::endpoint::{Endpoint, State};
use daisyyard_core::id::{self, EndpointId, InstanceId, RequestId, ServiceId};
use daisyyard_core::pool::{Choice, Load, Need, Room, Sign};
use daisyyard_core::zone::Zone;
use tokio::sync::{mpsc, oneshot};
use xtra::{Actor, Address, Context, Handler, Mailbox, WeakAddress};

use crate::dialect::Fact;
use crate::event::Event;
use crate::log::Log;
use crate::member::{Entry, Members};
use crate::settings::Settings;

/// Time between two checks of waiting requests and of endpoints that may be gone.
const PERIOD: Duration = Duration::from_millis(50);
/// Requests that wait at most; a caller that would wait behind more is told to come back.
const MOST_WAITING: usize = 512;

/// Owns the view of endpoints and gateways.
#[derive(Debug, Actor)]
pub(crate) struct Pool {
    /// Identifier of this gateway.
    me: InstanceId,
    /// Address of the actor, for the guards of runs.
    address: WeakAddress<Self>,
    /// Endpoints and their loads.
    endpoints: daisyyard_core::pool::Pool,
    /// Availability zones by name.
    zones: HashMap<String, Zone>,
    /// Gateways.
    members: Members,
    /// Runs of this gateway.
    runs: HashMap<RequestId, Run>,
    /// Number of the next run.
    next: RequestId,
    /// Requests that wait for room.
    backlog: Backlog<Claim>,
    /// Allowance for repeated sends.
    allowance: Allowance,
    /// Whether this gateway is leaving.
    leaving: bool,
    /// The log.
    log: Log,
}

/// A run of this gateway at an endpoint.
#[derive(Debug)]
struct Run {
    /// Endpoint that runs the request.
    endpoint: EndpointId,
    /// Engine with a copy of the run's memory.
    backup: Option<EndpointId>,
    /// Engines that could not take a copy.
    refused: Vec<EndpointId>,
    /// What the request needs.
    need: Need,
    /// Whether the first token is awaited.
    prefill: bool,
    /// Tells the task of the request what happens to the endpoint.
    notices: mpsc::Sender<Notice>,
}

/// What happens to the endpoint of a run.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Notice {
    /// The endpoint leaves soon, or has left the list.
    Leaving,
}

/// Asks for an endpoint.
#[derive(Debug)]
pub(crate) struct Claim {
    /// What the request needs.
    pub(crate) need: Need,
    /// When the request is due.
    pub(crate) due: Due,
    /// Endpoints that are not asked again.
    pub(crate) excluded: Vec<EndpointId>,
    /// Receives the endpoint.
    pub(crate) reply: oneshot::Sender<Result<Grant, Refused>>,
}

/// Why no endpoint is granted.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Refused {
    /// Every endpoint stayed full, or none is live.
    Full,
    /// Too many requests wait already.
    Crowded,
}

/// An endpoint that a request may be sent to; dropping it frees the room.
#[derive(Debug)]
pub(crate) struct Grant {
    /// Identifier of the run.
    pub(crate) run: RequestId,
    /// Endpoint that runs the request.
    pub(crate) endpoint: Arc<Endpoint>,
    /// Engine that keeps a copy of the run's memory.
    pub(crate) backup: Option<Arc<Endpoint>>,
    /// What happens to the endpoint.
    pub(crate) notices: mpsc::Receiver<Notice>,
    /// How the run ended, as far as is known.
    pub(crate) sign: Sign,
    /// Address of the actor.
    pool: WeakAddress<Pool>,
}

impl Drop for Grant {
    fn drop(&mut self) {
        let (pool, done) = (self.pool.clone(), Done(self.run, self.sign));
        // The actor outlives requests except when the process ends.
        tokio::spawn(async move {
            let _ = pool.send(done).await;
        });
    }
}

/// Says that a run has ended.
#[derive(Debug)]
struct Done(RequestId, Sign);

/// Says that the first token of a run has arrived.
#[derive(Debug)]
pub(crate) struct First(pub(crate) RequestId);

/// Makes the engine with the copy the endpoint of a run, and asks for an engine for a new copy.
#[derive(Debug)]
pub(crate) struct Hop(pub(crate) RequestId);

/// Takes a hop back: the run stays at its engine, and the other one keeps the copy.
#[derive(Debug)]
pub(crate) struct Undo(pub(crate) RequestId, pub(crate) EndpointId, pub(crate) EndpointId);

/// Gives up the engine with the copy of a run; it is not chosen for this run again.
#[derive(Debug)]
pub(crate) struct Abandon(pub(crate) RequestId);

/// Asks how a run can get away from an engine that leaves; room for it is reserved.
#[derive(Debug)]
pub(crate) struct Escape(pub(crate) RequestId);

/// How a run can get away from its engine.
#[derive(Debug, Clone)]
pub(crate) enum Way {
    /// It goes on at the engine that keeps a copy.
    Backup,
    /// Its memory is moved to an engine with room.
    Move(Arc<Endpoint>),
    /// No engine has room now.
    Nowhere,
}

/// Asks whether a request may be sent once more to a service.
#[derive(Debug)]
pub(crate) struct Repeat(pub(crate) ServiceId);

/// Counts a request for a service.
#[derive(Debug)]
pub(crate) struct Count(pub(crate) ServiceId);

/// Asks which addresses a caller in a zone may use.
#[derive(Debug)]
pub(crate) struct Offer(pub(crate) String);

/// Says that this gateway is leaving.
#[derive(Debug)]
pub(crate) struct Leave;

/// Replaces the bound on repeated sends.
#[derive(Debug)]
pub(crate) struct Rebind(pub(crate) Bound);

/// Changes of the store.
#[derive(Debug)]
pub(crate) struct Facts {
    /// What the keys say.
    pub(crate) facts: Vec<Fact>,
    /// Until when an entry that is missing may come back, if the store was away.
    pub(crate) doubt: Option<Instant>,
    /// Whether the facts are a complete list, so that what it does not name is gone.
    pub(crate) complete: bool,
}

/// Asks for this gateway's digest.
#[derive(Debug)]
pub(crate) struct Digest;

/// The loads of one gateway.
#[derive(Debug)]
pub(crate) struct Report {
    /// Gateway that has the loads.
    pub(crate) from: InstanceId,
    /// Whether it is leaving.
    pub(crate) leaving: bool,
    /// Its loads.
    pub(crate) loads: Vec<(EndpointId, Load)>,
    /// Its requests and repeated sends.
    pub(crate) counts: Vec<(ServiceId, allowance::Count)>,
    /// Where the report of this gateway is sent.
    pub(crate) targets: Vec<SocketAddr>,
}

/// Lets time pass.
#[derive(Debug)]
struct Tick;

/// Starts the actor.
pub(crate) fn spawn(settings: &Settings, log: Log) -> Address<Pool> {
    let (address, mailbox) = Mailbox::unbounded();
    let own = Entry {
        requests: settings.listen.requests,
        digests: settings.listen.digests,
        zone: settings.zone.clone(),
    };
    let zone = Zone::new(&settings.zone, &settings.region);
    let pool = Pool {
        me: id::of(&settings.name),
        address: address.downgrade(),
        endpoints: daisyyard_core::pool::Pool::new(zone, rand::random()),
        zones: settings
            .zones
            .iter()
            .map(|(zone, region)| (zone.clone(), Zone::new(zone, region)))
            .collect(),
        members: Members::new(&settings.name, own),
        runs: HashMap::new(),
        next: 0,
        backlog: Backlog::default(),
        allowance: Allowance::new(settings.repeats.clone()),
        leaving: false,
        log,
    };
    tokio::spawn(xtra::run(mailbox, pool));
    tokio::spawn(tick(address.downgrade()));
    address
}

/// Lets time pass for the actor until it ends.
async fn tick(pool: WeakAddress<Pool>) {
    let mut interval = tokio::time::interval(PERIOD);
    interval.set_missed_tick_behavior(tokio::time::MissedTickBehavior::Delay);
    loop {
        interval.tick().await;
        if pool.send(Tick).await.is_err() {
            return;
        }
    }
}

impl Pool {
    /// Starts the requests that find room.
    fn start(&mut self) {
        if self.backlog.is_empty() {
            return;
        }
        let now = Instant::now();
        let mut backlog = std::mem::take(&mut self.backlog);
        backlog.start(now, |_, claim| self.grant(claim, now));
        self.backlog = backlog;
    }

    /// Grants an endpoint, or returns the claim if it must wait.
    fn grant(&mut self, claim: Claim, now: Instant) -> Option<Claim> {
        if claim.reply.is_closed() {
            return None;
        }
        let choice = self.endpoints.choose(&claim.need, &claim.excluded, now);
        let Choice::Send { endpoint, backup } = choice else {
            return Some(claim);
        };
        let run = self.next;
        self.next += 1;
        let (notices, receiver) = mpsc::channel(1);
        let record = Run {
            endpoint: endpoint.id,
            backup: backup.as_ref().map(|backup| backup.id),
            refused: Vec::new(),
            need: claim.need,
            prefill: true,
            notices,
        };
        self.load(&record, true);
        self.runs.insert(run, record);
        let grant = Grant {
            run,
            endpoint,
            backup,
            notices: receiver,
            sign: Sign::Nothing,
            pool: self.address.clone(),
        };
        // A caller that has left drops the grant, which frees the room again.
        let _ = claim.reply.send(Ok(grant));
        None
    }

    /// Adds the load of a run to its endpoints, or takes it away.
    fn load(&mut self, run: &Run, add: bool) {
        let one = Load {
            runs: 1,
            tokens: run.need.tokens(),
            prefill: if run.prefill { run.need.prompt } else { 0 },
        };
        let copy = Load {
            runs: 0,
            prefill: 0,
            ..one
        };
        self.endpoints.change(run.endpoint, |load| shift(load, one, add));
        if let Some(backup) = run.backup {
            self.endpoints.change(backup, |load| shift(load, copy, add));
        }
    }

    /// Takes what a key of the store says.
    fn take(&mut self, fact: Fact, doubt: Option<Instant>, now: Instant) {
        match fact {
            Fact::Endpoint(endpoint, cold) => self.list(endpoint, cold, now),
            Fact::Unlisted(id) => self.unlist(id, doubt, now),
            Fact::Gateway(name, Some(value)) => match serde_json::from_slice(&value) {
                Ok(entry) => self.members.put(&name, entry, now),
                Err(error) => {
                    let details = format!("key={name} reason={error:?}");
                    self.log.emit(Event::ValueUnusable, &details);
                }
            },
            Fact::Gateway(name, None) => self.members.remove(&name, doubt),
            Fact::Unusable(key, reason) => {
                let details = format!("key={key} reason={reason:?}");
                self.log.emit(Event::ValueUnusable, &details);
            }
            // The follower keeps the configuration.
            Fact::Catalog(_) | Fact::Other => {}
        }
    }

    /// Takes the present description of an endpoint.
    fn list(&mut self, mut endpoint: Endpoint, cold: Duration, now: Instant) {
        // The entry of an endpoint names its zone, but not the region.
        if let Some(zone) = self.zones.get(&endpoint.zone.name) {
            endpoint.zone = zone.clone();
        }
        let (id, name, state) = (endpoint.id, endpoint.name.clone(), endpoint.state);
        let details = format!("endpoint={name} address={} state={state:?}", endpoint.address);
        let event = if state == State::Live {
            Event::EndpointListed
        } else {
            Event::EndpointLeaving
        };
        self.log.emit(event, &details);
        if self.endpoints.put(endpoint, cold, now) {
            self.notify(id);
        }
    }

    /// Removes an endpoint that is no longer listed.
    fn unlist(&mut self, id: EndpointId, doubt: Option<Instant>, now: Instant) {
        let Some(endpoint) = self.endpoints.endpoint(id) else {
            return;
        };
        let details = format!("endpoint={} doubt={}", endpoint.name, doubt.is_some());
        self.log.emit(Event::EndpointGone, &details);
        if self.endpoints.remove(id, doubt, now) {
            self.notify(id);
        }
    }

    /// Tells the runs at an endpoint that it leaves.
    fn notify(&self, id: EndpointId) {
        for run in self.runs.values().filter(|run| run.endpoint == id) {
            // A notice that is not read yet says the same.
            let _ = run.notices.try_send(Notice::Leaving);
        }
    }

    /// Removes what a complete list does not name.
    fn retain(&mut self, facts: &[Fact], doubt: Option<Instant>, now: Instant) {
        let listed: Vec<EndpointId> = facts
            .iter()
            .filter_map(|fact| match fact {
                Fact::Endpoint(endpoint, _) => Some(endpoint.id),
                _ => None,
            })
            .collect();
        for id in self.endpoints.known() {
            if !listed.contains(&id) {
                self.unlist(id, doubt, now);
            }
        }
        let names: Vec<String> = facts
            .iter()
            .filter_map(|fact| match fact {
                Fact::Gateway(name, Some(_)) => Some(name.clone()),
                _ => None,
            })
            .collect();
        if doubt.is_none() {
            self.members.retain(&names);
        }
    }

    /// Chooses an engine for a copy of a run, other than the one that runs it.
    fn spare(&mut self, run: &Run, room: Room) -> Option<Arc<Endpoint>> {
        let now = Instant::now();
        let mut excluded = run.refused.clone();
        excluded.push(run.endpoint);
        let zone = self.endpoints.endpoint(run.endpoint).map(|one| one.zone.id);
        self.endpoints.spare(&run.need, zone, &excluded, room, now)
    }

    /// Returns an endpoint unless it leaves or has left.
    fn live(&self, id: EndpointId) -> Option<Arc<Endpoint>> {
        let endpoint = self.endpoints.endpoint(id)?;
        (endpoint.state == State::Live).then(|| Arc::clone(endpoint))
    }
}

/// Adds a load to another, or takes it away.
fn shift(load: &mut Load, change: Load, add: bool) {
    if add {
        load.runs += change.runs;
        load.tokens += change.tokens;
        load.prefill += change.prefill;
    } else {
        // An endpoint that was listed anew has forgotten the load of earlier runs.
        load.runs = load.runs.saturating_sub(change.runs);
        load.tokens = load.tokens.saturating_sub(change.tokens);
        load.prefill = load.prefill.saturating_sub(change.prefill);
    }
}

impl Handler<Claim> for Pool {
    type Return = ();

    async fn handle(&mut self, claim: Claim, _: &mut Context<Self>) {
        let now = Instant::now();
        let due = claim.due;
        let Some(claim) = self.grant(claim, now) else {
            return;
        };
        if self.backlog.len() >= MOST_WAITING {
            let _ = claim.reply.send(Err(Refused::Crowded));
        } else {
            self.backlog.push(due, claim);
        }
    }
}

impl Handler<Done> for Pool {
    type Return = ();

    async fn handle(&mut self, Done(id, sign): Done, _: &mut Context<Self>) {
        if let Some(run) = self.runs.remove(&id) {
            self.load(&run, false);
            self.endpoints.observe(run.endpoint, sign, Instant::now());
            self.start();
        }
    }
}

impl Handler<First> for Pool {
    type Return = ();

    async fn handle(&mut self, First(id): First, _: &mut Context<Self>) {
        if let Some(mut run) = self.runs.remove(&id) {
            self.load(&run, false);
            run.prefill = false;
            self.load(&run, true);
            self.runs.insert(id, run);
        }
    }
}

impl Handler<Hop> for Pool {
    type Return = Option<(Arc<Endpoint>, Option<Arc<Endpoint>>)>;

    async fn handle(&mut self, Hop(id): Hop, _: &mut Context<Self>) -> Self::Return {
        let mut run = self.runs.remove(&id)?;
        self.load(&run, false);
        let target = run.backup.take().and_then(|id| self.live(id));
        let hopped = target.map(|target| {
            run.endpoint = target.id;
            run.prefill = false;
            let spare = run.need.backup.then(|| self.spare(&run, Room::Copy)).flatten();
            run.backup = spare.as_ref().map(|spare| spare.id);
            (target, spare)
        });
        self.load(&run, true);
        self.runs.insert(id, run);
        hopped
    }
}

impl Handler<Undo> for Pool {
    type Return = ();

    async fn handle(&mut self, Undo(id, engine, backup): Undo, _: &mut Context<Self>) {
        if let Some(mut run) = self.runs.remove(&id) {
            self.load(&run, false);
            run.endpoint = engine;
            run.backup = Some(backup);
            self.load(&run, true);
            self.runs.insert(id, run);
        }
    }
}

impl Handler<Abandon> for Pool {
    type Return = ();

    async fn handle(&mut self, Abandon(id): Abandon, _: &mut Context<Self>) {
        if let Some(mut run) = self.runs.remove(&id) {
            self.load(&run, false);
            run.refused.extend(run.backup.take());
            self.load(&run, true);
            self.runs.insert(id, run);
        }
    }
}

impl Handler<Escape> for Pool {
    type Return = Way;

    async fn handle(&mut self, Escape(id): Escape, _: &mut Context<Self>) -> Way {
        let Some(mut run) = self.runs.remove(&id) else {
            return Way::Nowhere;
        };
        let way = match run.backup.and_then(|id| self.live(id)) {
            Some(_) => Way::Backup,
            None => {
                self.load(&run, false);
                let spare = self.spare(&run, Room::Run);
                run.backup = spare.as_ref().map(|spare| spare.id);
                self.load(&run, true);
                spare.map_or(Way::Nowhere, Way::Move)
            }
        };
        self.runs.insert(id, run);
        way
    }
}

impl Handler<Repeat> for Pool {
    type Return = allowance::Next;

    async fn handle(&mut self, Repeat(service): Repeat, _: &mut Context<Self>) -> allowance::Next {
        let nodes = self.members.count();
        self.allowance.repeat(service, nodes, Instant::now())
    }
}

impl Handler<Count> for Pool {
    type Return = ();

    async fn handle(&mut self, Count(service): Count, _: &mut Context<Self>) {
        self.allowance.request(service, Instant::now());
    }
}

impl Handler<Rebind> for Pool {
    type Return = ();

    async fn handle(&mut self, Rebind(bound): Rebind, _: &mut Context<Self>) {
        self.allowance.rebind(bound);
    }
}

impl Handler<Offer> for Pool {
    type Return = Vec<SocketAddr>;

    async fn handle(&mut self, Offer(zone): Offer, _: &mut Context<Self>) -> Vec<SocketAddr> {
        self.members.offer(&zone, Instant::now())
    }
}

impl Handler<Leave> for Pool {
    type Return = ();

    async fn handle(&mut self, _: Leave, _: &mut Context<Self>) {
        self.leaving = true;
        self.members.leave();
    }
}

impl Handler<Facts> for Pool {
    type Return = ();

    async fn handle(&mut self, message: Facts, _: &mut Context<Self>) {
        let now = Instant::now();
        if message.complete {
            self.retain(&message.facts, message.doubt, now);
        }
        for fact in message.facts {
            self.take(fact, message.doubt, now);
        }
        self.start();
    }
}

impl Handler<Digest> for Pool {
    type Return = Report;

    async fn handle(&mut self, _: Digest, _: &mut Context<Self>) -> Report {
        Report {
            from: self.me,
            leaving: self.leaving,
            loads: self.endpoints.loads().collect(),
            counts: self.allowance.counts(Instant::now()),
            targets: self.members.targets(),
        }
    }
}

impl Handler<Report> for Pool {
    type Return = ();

    async fn handle(&mut self, report: Report, _: &mut Context<Self>) {
        let now = Instant::now();
        if self.members.hear(report.from, report.leaving, now) {
            self.endpoints.learn(report.from, &report.loads, now);
            self.allowance.learn(report.from, report.counts, now);
            self.start();
        }
    }
}

impl Handler<Tick> for Pool {
    type Return = ();

    async fn handle(&mut self, _: Tick, _: &mut Context<Self>) {
        let now = Instant::now();
        for id in self.endpoints.expire(now) {
            self.notify(id);
        }
        for claim in self.backlog.expire(now) {
            let _ = claim.reply.send(Err(Refused::Full));
        }
        self.start();
    }
}
