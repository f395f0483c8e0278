//! Actor that owns the gateway's state of endpoints and other gateways, and the queue of requests
//! that wait for capacity.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::{Duration, Instant};

use daisyyard_core::backlog::Backlog;
use daisyyard_core::crash;
use daisyyard_core::endpoint::{Endpoint, State};
use daisyyard_core::id::{
    self, EndpointId, Fingerprint, InstanceId, RequestId, ServiceId, Version, ZoneId,
};
use daisyyard_core::knowledge::Knowledge;
use daisyyard_core::listing::Listing;
use daisyyard_core::revision::{Era, Revision};
use daisyyard_core::shared_retry_budget::{self, Budget};
use daisyyard_core::statement::Barrier;
use daisyyard_core::zone::Zone;
use tokio::sync::{Notify, mpsc, watch};
use xtra::{Actor, Address, Context, Handler, Mailbox, WeakAddress};

use crate::admission::Admission;
use crate::archive;
use crate::codec::{Codec, Item, Record};
use crate::cold::Cold;
use crate::evacuation::Zones;
use crate::event::Event;
use crate::isolation::Isolation;
use crate::log::Log;
use crate::member::{Entry, Members};
use crate::message::{
    Claim, Count, Leave, Notice, Offer, Retry, ReturnRetry, SetRetryLimits, Standing, Update,
};
use crate::metrics::Metrics;
use crate::run::Run;
use crate::settings::Settings;
use crate::timer::{self, Tick};

/// Mean time between the starts of two waiting requests, over all gateways. A digest reaches the
/// other gateways within this time.
const MEAN_START_INTERVAL: Duration = Duration::from_millis(2);
/// Time between two checks for waiting requests and endpoints that have expired.
const CHECK_INTERVAL: Duration = Duration::from_millis(50);

/// Age of the knowledge above which this gateway reads the store itself, as a share of the time in
/// which a change must be in force. The rest is for the read.
const MAX_AGE_SHARE: f64 = 0.75;

/// State of the pool actor.
#[derive(Debug, Actor)]
pub(crate) struct Pool {
    /// Identifier of this gateway.
    pub(crate) own_id: InstanceId,
    /// Functions that decode the platform's messages.
    pub(crate) codec: Codec,
    /// Address of this actor, for the guards of runs.
    pub(crate) address: WeakAddress<Self>,
    /// Endpoints and their loads.
    pub(crate) endpoints: daisyyard_core::pool::Pool,
    /// Availability zones by name.
    pub(crate) zones: HashMap<String, Zone>,
    /// Publishes the evacuated availability zones.
    pub(crate) evacuated: watch::Sender<Vec<ZoneId>>,
    /// Publishes the endpoints that state a limit.
    pub(crate) limited: watch::Sender<Vec<EndpointId>>,
    /// Publishes what endpoints have stated in answers.
    pub(crate) barriers: watch::Sender<Vec<Barrier>>,
    /// Requests that are relayed while this gateway is cut off.
    pub(crate) isolation: Isolation,
    /// Metrics of the gateway.
    pub(crate) metrics: Metrics,
    /// All known gateways.
    pub(crate) members: Members,
    /// Tells the watcher the part of this gateway in the fleet.
    pub(crate) standing: watch::Sender<Standing>,
    /// Age of what this gateway knows of the configuration.
    pub(crate) knowledge: Knowledge,
    /// Runs that this gateway has started.
    pub(crate) runs: HashMap<RequestId, Run>,
    /// Identifier of the next run.
    pub(crate) next_run: RequestId,
    /// Requests that wait for capacity.
    pub(crate) backlog: Backlog<Claim>,
    /// Admission by costs, which replaces the backlog where it is in effect.
    pub(crate) admission: Option<Admission>,
    /// Expected time from the start of a run to its first token, by service.
    pub(crate) leads: HashMap<ServiceId, Duration>,
    /// Whether the start of a waiting request is already scheduled.
    scheduled: bool,
    /// Notifies the digest task of a change.
    pub(crate) changed: Arc<Notify>,
    /// Notifies the watcher that another gateway has read newer data from the store.
    pub(crate) refresh: Arc<Notify>,
    /// When other gateways were last told of each endpoint.
    pub(crate) told_at: HashMap<EndpointId, Instant>,
    /// Endpoints that the readers of the store know.
    pub(crate) listing: Listing,
    /// Version of the current configuration.
    pub(crate) version: Option<Version>,
    /// Latest era of the store that another gateway has reported; zero if none has.
    pub(crate) reported_era: Era,
    /// Retry budget of each service.
    pub(crate) retry_budget: Budget,
    /// Crashes that contents of requests have in common.
    pub(crate) evidence: crash::Evidence,
    /// When this gateway last observed a crash or a proof of each content.
    pub(crate) observed_at: HashMap<Fingerprint, Instant>,
    /// When this gateway last observed a crash whose refusals are not stored yet; none if there is none.
    pub(crate) crash_observed_at: Option<Instant>,
    /// Number of these observations so far.
    pub(crate) observations: u64,
    /// Task that keeps refusals of contents in the store.
    pub(crate) archive: mpsc::UnboundedSender<archive::Change>,
    /// Bound on the requests to cold endpoints.
    pub(crate) cold: Cold,
    /// Whether this gateway is leaving.
    pub(crate) leaving: bool,
    /// Log of the gateway.
    pub(crate) log: Log,
}

/// What the actor publishes for the tasks of requests and for the watcher.
#[derive(Debug)]
pub(crate) struct Views {
    /// Part of this gateway in the fleet.
    pub(crate) standing: watch::Receiver<Standing>,
    /// Evacuated availability zones.
    pub(crate) zones: Zones,
    /// Endpoints that state a limit.
    pub(crate) limited: watch::Receiver<Vec<EndpointId>>,
    /// Whether this gateway is cut off from the endpoints.
    pub(crate) isolated: watch::Receiver<bool>,
}

/// Instructs the actor to start one of the waiting requests.
#[derive(Debug)]
struct Start;

/// Starts the pool actor and its timer.
pub(crate) fn spawn(
    settings: &Settings,
    codec: Codec,
    changed: Arc<Notify>,
    refresh: Arc<Notify>,
    (log, metrics): (Log, Metrics),
) -> (Address<Pool>, Views) {
    let (address, mailbox) = Mailbox::unbounded();
    let (standing, standing_view) = watch::channel(Standing::default());
    let (evacuated, mut zones) = Zones::channel();
    let (barriers, stated) = watch::channel(Vec::new());
    zones.follow(stated);
    let (limited, limited_view) = watch::channel(Vec::new());
    let (isolation, isolated) = Isolation::channel();
    zones.report_to(address.downgrade());
    metrics.set_evacuated(0, 0);
    metrics.set_isolated(false);
    let zone = Zone::new(&settings.zone, &settings.region);
    let pool = Pool {
        own_id: id::of(&settings.name),
        codec,
        address: address.downgrade(),
        endpoints: daisyyard_core::pool::Pool::new(zone, rand::random()),
        zones: settings
            .zones
            .iter()
            .map(|(zone, region)| (zone.clone(), Zone::new(zone, region)))
            .collect(),
        evacuated,
        limited,
        barriers,
        isolation,
        metrics: metrics.clone(),
        members: Members::new(&settings.name, Entry::from(settings)),
        standing,
        knowledge: Knowledge::new(settings.bounds.max_store_delay().mul_f64(MAX_AGE_SHARE)),
        runs: HashMap::new(),
        next_run: 0,
        backlog: Backlog::default(),
        admission: settings
            .admission
            .then(|| Admission::new(rand::random(), metrics.clone())),
        leads: HashMap::new(),
        scheduled: false,
        changed,
        refresh,
        told_at: HashMap::new(),
        listing: Listing::default(),
        version: None,
        reported_era: 0,
        retry_budget: Budget::new(settings.retry_budget.clone()),
        evidence: crash::Evidence::new(),
        observed_at: HashMap::new(),
        crash_observed_at: None,
        observations: 0,
        archive: archive::spawn(settings.store, codec, log.clone()),
        cold: Cold::new(settings.bounds.cold.clone(), metrics),
        leaving: false,
        log,
    };
    tokio::spawn(xtra::run(mailbox, pool));
    timer::spawn(address.downgrade(), CHECK_INTERVAL);
    let views = Views {
        standing: standing_view,
        zones,
        limited: limited_view,
        isolated,
    };
    (address, views)
}

impl Pool {
    /// Schedules the start of one waiting request after a random delay.
    ///
    /// When an engine appears or becomes free, all gateways see its capacity at the same time. They
    /// start their requests one by one at random times, so that each sees what the others have
    /// reserved.
    pub(crate) fn schedule(&mut self) {
        if self.scheduled || !self.has_waiting() {
            return;
        }
        self.scheduled = true;
        let mean = MEAN_START_INTERVAL.saturating_mul(self.members.serving_count() as u32);
        let delay = self.start_delay(MEAN_START_INTERVAL);
        let delay = delay.unwrap_or_else(|| mean.mul_f64(rand::random_range(0.0..2.0)));
        let pool = self.address.clone();
        tokio::spawn(async move {
            tokio::time::sleep(delay).await;
            // The pool outlives all requests.
            let _ = pool.send(Start).await;
        });
    }

    /// Applies one record of the store.
    pub(crate) fn apply(&mut self, record: Record, relist_deadline: Option<Instant>, now: Instant) {
        match record {
            Record::Endpoint(endpoint, warm_up) => self.update_endpoint(endpoint, warm_up, now),
            Record::Unlisted(id) => self.remove_endpoint(id, relist_deadline, now),
            Record::Gateway(name, Some(value)) => match serde_json::from_slice(&value) {
                Ok(entry) => self.members.put(&name, entry, now),
                Err(error) => {
                    let details = format!("key={name} reason={error:?}");
                    self.log.emit(Event::ValueUnusable, &details);
                }
            },
            Record::Gateway(name, None) => self.members.remove(&name, relist_deadline),
            Record::Unusable(key, reason) => {
                let details = format!("key={key} reason={reason:?}");
                self.log.emit(Event::ValueUnusable, &details);
            }
            Record::Refusal(group, stored) => self.apply_refusal(group, stored, now),
            // The watcher keeps the configuration, and evacuations are learned with their source.
            Record::Catalog(_) | Record::Evacuation(..) | Record::Other => {}
        }
    }

    /// Adds or updates an endpoint by its entry.
    fn update_endpoint(&mut self, mut endpoint: Endpoint, warm_up: Duration, now: Instant) {
        // The entry names the zone of the endpoint but not its region.
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
        if self.endpoints.is_changed(&endpoint) {
            self.log.emit(event, &details);
        }
        if self.endpoints.put(endpoint, warm_up, now) {
            self.notify_runs(id);
        }
        if !self.limited.borrow().is_empty() {
            // A new start of an endpoint may be as brittle as the others of its service.
            self.update_limits(now);
        }
    }

    /// Removes an endpoint whose entry was deleted.
    fn remove_endpoint(&mut self, id: EndpointId, relist_deadline: Option<Instant>, now: Instant) {
        let Some(endpoint) = self.endpoints.endpoint(id) else {
            return;
        };
        let details = format!(
            "endpoint={} doubt={}",
            endpoint.name,
            relist_deadline.is_some()
        );
        self.log.emit(Event::EndpointGone, &details);
        if self.endpoints.remove(id, relist_deadline, now) {
            self.notify_runs(id);
        }
    }

    /// Marks an endpoint as leaving because another gateway has read so.
    pub(crate) fn mark_leaving(&mut self, id: EndpointId, revision: Revision) {
        if !self.endpoints.mark_leaving(id, revision, Instant::now()) {
            return;
        }
        if let Some(endpoint) = self.endpoints.endpoint(id) {
            let details = format!(
                "endpoint={} revision={revision} source=digest",
                endpoint.name
            );
            self.log.emit(Event::EndpointLeaving, &details);
        }
        self.notify_runs(id);
    }

    /// Notifies the runs at an endpoint that it is leaving.
    pub(crate) fn notify_runs(&self, id: EndpointId) {
        for run in self.runs.values().filter(|run| run.endpoint == id) {
            // If the channel is full, it already holds the same notice.
            let _ = run.notices.try_send(Notice::Leaving);
        }
    }

    /// Removes endpoints and gateways that a complete list does not name.
    fn retain(&mut self, records: &[Record], relist_deadline: Option<Instant>, now: Instant) {
        let listed: Vec<EndpointId> = records
            .iter()
            .filter_map(|record| match record {
                Record::Endpoint(endpoint, _) => Some(endpoint.id),
                _ => None,
            })
            .collect();
        for id in self.endpoints.listed() {
            if !listed.contains(&id) {
                self.remove_endpoint(id, relist_deadline, now);
            }
        }
        let names: Vec<String> = records
            .iter()
            .filter_map(|record| match record {
                Record::Gateway(name, Some(_)) => Some(name.clone()),
                _ => None,
            })
            .collect();
        if relist_deadline.is_none() {
            self.members.retain(&names);
        }
    }
}

impl Handler<Retry> for Pool {
    type Return = shared_retry_budget::Decision;

    async fn handle(
        &mut self,
        Retry(service): Retry,
        _: &mut Context<Self>,
    ) -> shared_retry_budget::Decision {
        let nodes = self.members.serving_count();
        self.retry_budget.try_retry(service, nodes, Instant::now())
    }
}

impl Handler<ReturnRetry> for Pool {
    type Return = ();

    async fn handle(&mut self, ReturnRetry(service): ReturnRetry, _: &mut Context<Self>) {
        self.retry_budget.give_back(service, Instant::now());
    }
}

impl Handler<Count> for Pool {
    type Return = ();

    async fn handle(&mut self, Count(service): Count, _: &mut Context<Self>) {
        self.retry_budget.count_request(service, Instant::now());
    }
}

impl Handler<SetRetryLimits> for Pool {
    type Return = ();

    async fn handle(&mut self, SetRetryLimits(limits): SetRetryLimits, _: &mut Context<Self>) {
        self.retry_budget.set_limits(limits);
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
        self.members.stop_offering();
    }
}

impl Handler<Update> for Pool {
    /// The changes that this gateway is the first to know.
    type Return = Vec<Item>;

    async fn handle(&mut self, mut message: Update, _: &mut Context<Self>) -> Self::Return {
        let now = Instant::now();
        let mut news = std::mem::take(&mut message.items);
        news.retain(|item| self.is_worth_telling(item, now));
        if message.version.is_some() && !self.leaving {
            self.members.start_offering();
        }
        self.version = message.version;
        if let Some(complete_at) = message.complete_at {
            self.knowledge.read(complete_at);
            self.members.record_store_read(complete_at);
        }
        self.endpoints.advance(message.revision);
        self.read_evacuations(&message.records, message.revision, message.complete, now);
        if message.complete {
            self.listing.reset();
            self.evidence.clear_stored();
            self.retain(&message.records, message.relist_deadline, now);
        }
        for record in message.records {
            self.apply(record, message.relist_deadline, now);
        }
        if self.endpoints.departures(now).next().is_some() {
            // Runs at a leaving endpoint have little time to migrate.
            self.changed.notify_one();
        }
        self.schedule();
        self.update_roster(now);
        news
    }
}

impl Handler<Start> for Pool {
    type Return = ();

    async fn handle(&mut self, _: Start, _: &mut Context<Self>) {
        self.scheduled = false;
        let now = Instant::now();
        if self.start_admitted(now) {
            return;
        }
        let mut backlog = std::mem::take(&mut self.backlog);
        let leads = self.leads.clone();
        let lead = |claim: &Claim| leads.get(&claim.need.service).copied().unwrap_or_default();
        let started = backlog.start(now, lead, |claim| self.grant(claim, now));
        self.backlog = backlog;
        // If nothing could start, the next change in the pool schedules another attempt.
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
            self.notify_runs(id);
        }
        // Dropping a claim refuses the request.
        drop(self.backlog.expire(now));
        self.expire_evacuations(now);
        self.enforce_evacuations(now);
        self.review_statements(now);
        self.review_limits(now);
        self.review_admission(now);
        self.review_isolation(now);
        self.probe_endpoints(now);
        self.store_refusals(now);
        self.update_roster(now);
        self.schedule();
    }
}
