//! The actor that owns the gateway's view of endpoints and of other gateways, and the requests
//! that wait for room.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::{Duration, Instant};

use daisyyard_core::allowance::{self, Allowance};
use daisyyard_core::backlog::Backlog;
use daisyyard_core::endpoint::{Endpoint, State};
use daisyyard_core::id::{self, EndpointId, InstanceId, RequestId, Revision};
use daisyyard_core::zone::Zone;
use tokio::sync::Notify;
use xtra::{Actor, Address, Context, Handler, Mailbox, WeakAddress};

use crate::dialect::Fact;
use crate::event::Event;
use crate::log::Log;
use crate::member::{Entry, Members};
use crate::message::{Claim, Count, Digest, Facts, Leave, Notice, Offer, Rebind, Repeat, Report};
use crate::run::Run;
use crate::settings::Settings;
use crate::timer::{self, Tick};

/// Mean time between two starts of waiting requests, over all gateways. A digest reaches the others
/// within this time.
const PACE: Duration = Duration::from_millis(2);
/// Time between two checks of waiting requests and of endpoints that may be gone.
const PERIOD: Duration = Duration::from_millis(50);

/// Owns the view of endpoints and gateways.
#[derive(Debug, Actor)]
pub(crate) struct Pool {
    /// Identifier of this gateway.
    me: InstanceId,
    /// Address of the actor, for the guards of runs.
    pub(crate) address: WeakAddress<Self>,
    /// Endpoints and their loads.
    pub(crate) endpoints: daisyyard_core::pool::Pool,
    /// Availability zones by name.
    zones: HashMap<String, Zone>,
    /// Gateways.
    members: Members,
    /// Runs of this gateway.
    pub(crate) runs: HashMap<RequestId, Run>,
    /// Number of the next run.
    pub(crate) next: RequestId,
    /// Requests that wait for room.
    pub(crate) backlog: Backlog<Claim>,
    /// Whether the start of a waiting request is due.
    scheduled: bool,
    /// Tells the task that sends digests that the loads have changed.
    pub(crate) changed: Arc<Notify>,
    /// Tells the follower of the store that another gateway has read something that matters here.
    behind: Arc<Notify>,
    /// Version of the configuration in force.
    version: Option<Revision>,
    /// Allowance for repeated sends.
    allowance: Allowance,
    /// Whether this gateway is leaving.
    leaving: bool,
    /// The log.
    log: Log,
}

/// Starts one of the waiting requests.
#[derive(Debug)]
struct Start;

/// Starts the actor.
pub(crate) fn spawn(
    settings: &Settings,
    changed: Arc<Notify>,
    behind: Arc<Notify>,
    log: Log,
) -> Address<Pool> {
    let (address, mailbox) = Mailbox::unbounded();
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
        members: Members::new(&settings.name, Entry::from(settings)),
        runs: HashMap::new(),
        next: 0,
        backlog: Backlog::default(),
        scheduled: false,
        changed,
        behind,
        version: None,
        allowance: Allowance::new(settings.repeats.clone()),
        leaving: false,
        log,
    };
    tokio::spawn(xtra::run(mailbox, pool));
    timer::spawn(address.downgrade(), PERIOD);
    address
}

impl Pool {
    /// Lets one of the waiting requests start soon.
    ///
    /// When an engine is listed or becomes free, all gateways see its room at the same moment. They
    /// start their requests one by one, at random times, so that each sees what the others took.
    pub(crate) fn schedule(&mut self) {
        if self.scheduled || self.backlog.is_empty() {
            return;
        }
        self.scheduled = true;
        let mean = PACE.saturating_mul(self.members.count() as u32);
        let delay = mean.mul_f64(rand::random_range(0.0..2.0));
        let pool = self.address.clone();
        tokio::spawn(async move {
            tokio::time::sleep(delay).await;
            // The actor outlives the requests.
            let _ = pool.send(Start).await;
        });
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
        let details = format!(
            "endpoint={name} address={} state={state:?}",
            endpoint.address
        );
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

    /// Takes the digest of another gateway.
    fn learn(&mut self, report: Report, now: Instant) {
        let from = report.from;
        self.endpoints.set_loads(from, &report.loads, now);
        self.endpoints.learn_ejections(from, &report.ejections, now);
        self.allowance.learn(from, report.counts, now);
        for (id, revision) in report.departures {
            self.depart(id, revision);
        }
        // Requests that wait may find room at an endpoint that is new.
        let wanted = !self.backlog.is_empty() && self.endpoints.is_behind(report.arrival);
        let old = self.version.is_some_and(|held| held < report.version);
        if wanted || old {
            self.behind.notify_one();
        }
    }

    /// Takes from another gateway that an endpoint leaves.
    fn depart(&mut self, id: EndpointId, revision: Revision) {
        if !self.endpoints.mark_leaving(id, revision) {
            return;
        }
        if let Some(endpoint) = self.endpoints.endpoint(id) {
            let details = format!(
                "endpoint={} revision={revision} source=digest",
                endpoint.name
            );
            self.log.emit(Event::EndpointLeaving, &details);
        }
        self.notify(id);
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
        for id in self.endpoints.listed() {
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
    /// Number of gateways.
    type Return = usize;

    async fn handle(&mut self, message: Facts, _: &mut Context<Self>) -> usize {
        let now = Instant::now();
        if message.version.is_some() && !self.leaving {
            self.members.join();
        }
        self.version = message.version;
        self.endpoints.advance(message.revision);
        if message.complete {
            self.retain(&message.list, message.doubt, now);
        }
        for fact in message.list {
            self.take(fact, message.doubt, now);
        }
        let departures = self.endpoints.departures(now).next().is_some();
        if departures || self.endpoints.newest_listing() == message.revision {
            // The runs at an endpoint that leaves have little time to go elsewhere, and requests
            // may wait for one that is new.
            self.changed.notify_one();
        }
        self.schedule();
        self.members.count()
    }
}

impl Handler<Digest> for Pool {
    /// The digest, and where it is sent.
    type Return = (Report, Vec<SocketAddr>);

    async fn handle(&mut self, _: Digest, _: &mut Context<Self>) -> Self::Return {
        let now = Instant::now();
        let report = Report {
            from: self.me,
            leaving: self.leaving,
            version: self.version.unwrap_or(0),
            arrival: self.endpoints.newest_listing(),
            rest: false,
            ejections: self.endpoints.ejections(now).collect(),
            departures: self.endpoints.departures(now).collect(),
            loads: self.endpoints.loads().collect(),
            counts: self.allowance.counts(now),
        };
        (report, self.members.targets())
    }
}

impl Handler<Report> for Pool {
    type Return = ();

    async fn handle(&mut self, message: Report, _: &mut Context<Self>) {
        let now = Instant::now();
        if !self.members.hear(message.from, message.leaving, now) {
            return;
        }
        if message.rest {
            self.endpoints.add_loads(message.from, &message.loads, now);
        } else {
            self.learn(message, now);
        }
        self.schedule();
    }
}

impl Handler<Start> for Pool {
    type Return = ();

    async fn handle(&mut self, _: Start, _: &mut Context<Self>) {
        self.scheduled = false;
        let now = Instant::now();
        let mut backlog = std::mem::take(&mut self.backlog);
        let started = backlog.start(now, |claim| self.grant(claim, now));
        self.backlog = backlog;
        // Without room, the next change of the view lets requests start.
        if started {
            self.schedule();
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
        // Dropping a claim refuses it.
        drop(self.backlog.expire(now));
        self.schedule();
    }
}
