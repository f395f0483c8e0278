//! Evacuated availability zones in a gateway: what it learns of them, and the requests and runs that
//! they concern.

use std::time::{Duration, Instant};

use bytes::Bytes;
use daisyyard_core::endpoint::Endpoint;
use daisyyard_core::evacuation::{Change, Order};
use daisyyard_core::id::ZoneId;
use daisyyard_core::revision::Revision;
use daisyyard_core::statement::Barrier;
use daisyyard_http::connection::{self, Answer, Failure};
use http_body_util::Full;
use hyper::Request;
use tokio::sync::watch;
use xtra::WeakAddress;

use crate::admission::Outcome;
use crate::codec::Record;
use crate::event::Event;
use crate::isolation;
use crate::message::{Claim, Placement};
use crate::pool::Pool;
use crate::sent::is_unsent;

/// Where a gateway learned an order to evacuate a zone.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Source {
    /// Its own read of the store.
    Read,
    /// A change that another gateway has passed on.
    News,
    /// The digest of another gateway.
    Digest,
}

/// The evacuated zones and what endpoints have stated, for tasks that have been granted an endpoint.
#[derive(Debug, Clone)]
pub struct Zones {
    /// The evacuated zones.
    evacuated: watch::Receiver<Vec<ZoneId>>,
    /// What endpoints have stated in answers.
    barriers: watch::Receiver<Vec<Barrier>>,
    /// When the endpoint of a request was chosen; none for any time.
    placed_at: Option<Instant>,
    /// Actor that is told which endpoints are reached.
    pool: Option<WeakAddress<Pool>>,
}

/// Reason why a request to an endpoint got no response.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Unsent {
    /// It was not sent, because its endpoint or its backup engine is in an evacuated zone.
    Evacuated,
    /// It was not sent, because its endpoint has stated that it leaves or turns requests away, or its
    /// backup engine leaves.
    Closed,
    /// The connection failed.
    Failed(Failure),
}

impl Unsent {
    /// Returns whether nothing of the request has certainly reached the endpoint.
    pub(crate) fn is_certain(self) -> bool {
        match self {
            Self::Evacuated | Self::Closed => true,
            Self::Failed(failure) => is_unsent(failure),
        }
    }
}

impl Zones {
    /// Returns a channel for the evacuated zones, of which there are none.
    pub fn channel() -> (watch::Sender<Vec<ZoneId>>, Self) {
        let (sender, receiver) = watch::channel(Vec::new());
        let (_, barriers) = watch::channel(Vec::new());
        let zones = Self {
            evacuated: receiver,
            barriers,
            placed_at: None,
            pool: None,
        };
        (sender, zones)
    }

    /// Follows what endpoints state in answers.
    pub fn follow(&mut self, barriers: watch::Receiver<Vec<Barrier>>) {
        self.barriers = barriers;
    }

    /// Reports to the pool which endpoints are reached.
    pub(crate) fn report_to(&mut self, pool: WeakAddress<Pool>) {
        self.pool = Some(pool);
    }

    /// Returns these for a request whose endpoint was chosen at a time.
    #[must_use]
    pub fn as_of(&self, placed_at: Instant) -> Self {
        Self {
            placed_at: Some(placed_at),
            ..self.clone()
        }
    }

    /// Returns why a request must not leave to an endpoint; none if it may.
    fn obstacle(&self, endpoint: &Endpoint, backup: Option<&Endpoint>) -> Option<Unsent> {
        let mut concerned = std::iter::once(endpoint).chain(backup);
        if concerned.any(|endpoint| self.contain(endpoint)) {
            return Some(Unsent::Evacuated);
        }
        let now = Instant::now();
        let closed = self.barriers.borrow().iter().any(|barrier| {
            let leaves = |backup| barrier.closed.is_none() && barrier.stops(backup, None, now);
            barrier.stops(endpoint, self.placed_at, now) || backup.is_some_and(leaves)
        });
        closed.then_some(Unsent::Closed)
    }

    /// Returns whether an endpoint is in one of the zones.
    pub fn contain(&self, endpoint: &Endpoint) -> bool {
        self.evacuated.borrow().contains(&endpoint.zone.id)
    }

    /// Sends a request to an endpoint unless an evacuation has started, or one of them has stated that it
    /// is closed, since the endpoint or the backup engine was chosen. Connecting may take a second, so
    /// this is checked after it. If a time is given, the request leaves by then or not at all.
    pub async fn send(
        &self,
        endpoint: &Endpoint,
        backup: Option<&Endpoint>,
        request: Request<Full<Bytes>>,
        timeout: Duration,
        leave_by: Option<Instant>,
    ) -> Result<Answer, Unsent> {
        if let Some(unsent) = self.obstacle(endpoint, backup) {
            return Err(unsent);
        }
        let connection = match &self.pool {
            Some(pool) => isolation::open(endpoint, leave_by, pool).await,
            None => connection::open(endpoint.address, leave_by).await,
        };
        let connection = connection.map_err(Unsent::Failed)?;
        if let Some(unsent) = self.obstacle(endpoint, backup) {
            return Err(unsent);
        }
        let answer = connection.send(request, timeout).await;
        answer.map_err(Unsent::Failed)
    }
}

impl Pool {
    /// Learns the orders among records of the store that are known up to a revision.
    pub(crate) fn read_evacuations(
        &mut self,
        records: &[Record],
        revision: Revision,
        complete: bool,
        now: Instant,
    ) {
        let mut orders = Vec::new();
        for record in records {
            let Record::Evacuation(name, order) = record else {
                continue;
            };
            let mut order = *order;
            if order.revision.is_unknown() {
                order.revision = revision;
            }
            self.learn_evacuation(name, order, Source::Read, now);
            orders.push(order);
        }
        if complete {
            self.complete_evacuations(revision, &orders, Source::Read, now);
        }
    }

    /// Learns the newest order for a zone with this name.
    pub(crate) fn learn_evacuation(
        &mut self,
        name: &str,
        order: Order,
        source: Source,
        now: Instant,
    ) {
        if let Some(change) = self.endpoints.learn_evacuation(order, now) {
            self.apply_evacuation(change, Some(name), source);
            self.publish_evacuations(now);
        }
    }

    /// Learns all orders that stand at a revision.
    pub(crate) fn complete_evacuations(
        &mut self,
        revision: Revision,
        orders: &[Order],
        source: Source,
        now: Instant,
    ) {
        let changes = self.endpoints.complete_evacuations(revision, orders, now);
        if changes.is_empty() {
            return;
        }
        for change in changes {
            self.apply_evacuation(change, None, source);
        }
        self.publish_evacuations(now);
    }

    /// Revokes the orders that the store has lost and that were not written again in time.
    pub(crate) fn expire_evacuations(&mut self, now: Instant) {
        let changes = self.endpoints.expire_evacuations(now);
        if changes.is_empty() {
            return;
        }
        for change in changes {
            self.apply_evacuation(change, None, Source::Read);
        }
        self.publish_evacuations(now);
    }

    /// Logs an evacuation that has started or ended.
    fn apply_evacuation(&self, change: Change, name: Option<&str>, source: Source) {
        let (event, zone, revision) = match change {
            Change::Started(zone, revision) => (Event::EvacuationStarted, zone, revision),
            Change::Ended(zone, revision) => (Event::EvacuationEnded, zone, revision),
            Change::Ignored(zone, revision) => (Event::EvacuationVoid, zone, revision),
        };
        let known = self.zones.values().find(|known| known.id == zone);
        let name = name.or(known.map(|known| known.name.as_str()));
        let name = name.map_or_else(|| format!("{zone:x}"), |name| format!("{name:?}"));
        let runs = self.count_runs(|endpoint| endpoint.zone.id == zone);
        let details = format!("zone={name} revision={revision} source={source:?} runs={runs}");
        self.log.emit(event, &details);
        let is_known = known.is_some() || self.endpoints.has_zone(zone);
        if event == Event::EvacuationStarted && !is_known {
            let details = format!("zone={name} revision={revision} reason=\"unknown zone\"");
            self.log.emit(Event::EvacuationVoid, &details);
        }
    }

    /// Publishes the evacuated zones within the gateway and to other gateways.
    fn publish_evacuations(&mut self, now: Instant) {
        let standing = self.endpoints.evacuations().standing();
        self.evacuated
            .send_replace(standing.map(|order| order.zone).collect());
        self.changed.notify_one();
        self.enforce_evacuations(now);
        self.schedule();
    }

    /// Refuses the waiting requests that only evacuations keep from being served, and counts the runs in
    /// evacuated zones.
    pub(crate) fn enforce_evacuations(&mut self, now: Instant) {
        let zones = self.endpoints.evacuations().standing().count();
        let endpoints = &self.endpoints;
        if zones == 0 {
            self.metrics.set_evacuated(0, 0);
            return;
        }
        let runs = self.runs.values();
        let runs = runs.filter(|run| endpoints.is_evacuated(run.endpoint));
        self.metrics.set_evacuated(zones, runs.count());
        let refused =
            |claim: &Claim| endpoints.only_evacuated(claim.need.service, &claim.excluded, now);
        let mut claims = self.backlog.remove(refused);
        if let Some(admission) = &mut self.admission {
            claims.extend(admission.gate.remove(refused));
        }
        for claim in claims {
            self.refuse_evacuated(claim);
        }
    }

    /// Refuses a request that only evacuations keep from being served.
    fn refuse_evacuated(&mut self, claim: Claim) {
        if let Some(admission) = &mut self.admission {
            admission.count(claim.client.as_ref(), Outcome::Refused);
        }
        // If the caller has disconnected, nobody needs the refusal.
        let _ = claim.reply.send(Placement::Evacuated);
    }

    /// Refuses a request if only evacuations keep it from being served, and returns it otherwise.
    pub(crate) fn refuse_if_evacuated(&mut self, claim: Claim, now: Instant) -> Option<Claim> {
        let evacuated = self.endpoints.evacuations().standing().next().is_some();
        let (service, excluded) = (claim.need.service, &claim.excluded);
        if evacuated && self.endpoints.only_evacuated(service, excluded, now) {
            self.refuse_evacuated(claim);
            return None;
        }
        Some(claim)
    }

    /// Returns the number of runs at endpoints that satisfy the predicate.
    fn count_runs(&self, predicate: impl Fn(&Endpoint) -> bool) -> usize {
        let runs = self.runs.values();
        let endpoints = runs.filter_map(|run| self.endpoints.endpoint(run.endpoint));
        endpoints.filter(|endpoint| predicate(endpoint)).count()
    }
}
