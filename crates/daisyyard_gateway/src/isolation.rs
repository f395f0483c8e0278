//! A gateway that is cut off from the endpoints: how it finds out, and which other gateway it relays
//! the requests of its callers to.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::time::{Duration, Instant};

use daisyyard_core::endpoint::Endpoint;
use daisyyard_core::id::{InstanceId, Version};
use daisyyard_core::isolation::{Attempt, Change, Outcome};
use daisyyard_core::peer_choice;
use daisyyard_http::connection::{self, Connection, Failure};
use rand::seq::IteratorRandom;
use tokio::sync::watch;
use xtra::{Context, Handler, WeakAddress};

use crate::event::Event;
use crate::member::{Entry, Members};
use crate::peer::Member;
use crate::pool::Pool;

/// Time within which connections are usually made. Endpoints of the same region are about 1 ms away.
const SLOW_CONNECT: Duration = Duration::from_millis(200);
/// Number of gateways that one in reserve asks for a digest at a time. It gets none unasked from other
/// availability zones, and its own may be cut off as a whole.
const ASKED_PEERS: usize = 3;

/// Another gateway that a request is relayed to; dropping it ends the relayed request.
#[derive(Debug)]
pub(crate) struct Peer {
    /// Identifier of the gateway.
    pub(crate) id: InstanceId,
    /// Address at which the gateway takes requests from others.
    pub(crate) address: SocketAddr,
    /// Address of the pool actor.
    pool: WeakAddress<Pool>,
}

impl Drop for Peer {
    fn drop(&mut self) {
        let (pool, done) = (self.pool.clone(), PeerDone(self.id));
        // The pool outlives all requests unless the process ends.
        tokio::spawn(async move {
            let _ = pool.send(done).await;
        });
    }
}

/// Asks for a gateway that reaches the endpoints, other than the given ones, to relay a request to.
#[derive(Debug)]
pub(crate) struct FindPeer(pub(crate) Vec<InstanceId>);

/// Reports that a request that was relayed to another gateway has ended.
#[derive(Debug)]
struct PeerDone(InstanceId);

/// Requests in progress that this gateway relays, and whether it has to.
#[derive(Debug)]
pub(crate) struct Isolation {
    /// Publishes whether this gateway is cut off from the endpoints.
    view: watch::Sender<bool>,
    /// Number of requests that are relayed to each gateway.
    relayed: HashMap<InstanceId, usize>,
}

impl Isolation {
    /// Creates the state of a gateway that is not cut off.
    pub(crate) fn channel() -> (Self, watch::Receiver<bool>) {
        let (view, receiver) = watch::channel(false);
        let isolation = Self {
            view,
            relayed: HashMap::new(),
        };
        (isolation, receiver)
    }
}

/// Opens a connection to an endpoint and reports the attempt.
pub(crate) async fn open(
    endpoint: &Endpoint,
    leave_by: Option<Instant>,
    pool: &WeakAddress<Pool>,
) -> Result<Connection, Failure> {
    let started = Instant::now();
    let report = async |outcome| {
        let attempt = Attempt {
            endpoint: endpoint.id,
            started,
            outcome,
        };
        // The request does not wait until the pool has handled the report.
        let _ = pool.send(attempt).detach().await;
    };
    let mut open = std::pin::pin!(connection::open(endpoint.address, leave_by));
    let opened = match tokio::time::timeout(SLOW_CONNECT, open.as_mut()).await {
        Ok(opened) => opened,
        Err(_elapsed) => {
            report(Outcome::Slow).await;
            open.await
        }
    };
    match &opened {
        Ok(_) => report(Outcome::Made).await,
        Err(Failure::Refused | Failure::Unreachable) => report(Outcome::Failed).await,
        // The attempt was given up early, or failed at this gateway.
        Err(_) => {}
    }
    opened
}

/// Leaves out the gateways that are cut off from the endpoints. If all are, it is the endpoints that are
/// down, and none is left out.
pub(crate) fn leave_out(gateways: Vec<(&Entry, bool)>) -> Vec<&Entry> {
    let none_reaches = gateways.iter().all(|(_, isolated)| *isolated);
    let offered = gateways.into_iter();
    let offered = offered.filter(|(_, isolated)| none_reaches || !isolated);
    offered.map(|(entry, _)| entry).collect()
}

impl Members {
    /// Sets whether this gateway is cut off from the endpoints.
    pub fn set_isolated(&mut self, isolated: bool) {
        self.isolated = isolated;
    }

    /// Records the version of the configuration of another gateway, and whether it is cut off from the
    /// endpoints; returns whether it has been cut off since its last digest.
    pub fn record_service(&mut self, id: InstanceId, version: Version, isolated: bool) -> bool {
        let Some(member) = self.others.get_mut(&id) else {
            return false;
        };
        member.version = version;
        let was_isolated = std::mem::replace(&mut member.isolated, isolated);
        isolated && !was_isolated
    }

    /// Returns the identifiers of the gateways that take requests from this one.
    pub fn peers(&mut self, now: Instant) -> Vec<InstanceId> {
        self.update_roster(now);
        let usable = self.usable(&[], now);
        usable.into_iter().map(|(id, _)| id).collect()
    }

    /// Returns the digest addresses of some serving gateways that a gateway in reserve asks whether they
    /// take requests.
    pub fn peers_to_ask(&self, now: Instant) -> Vec<SocketAddr> {
        let timeout = self.silence_timeout();
        let asked = |id, member: &Member| self.is_serving(id) && !member.is_isolated(timeout, now);
        let serving = self.others.iter();
        let serving = serving.filter(|(id, member)| asked(**id, member));
        let serving = serving.map(|(_, member)| member.entry.digests);
        serving.choose_multiple(&mut rand::rng(), ASKED_PEERS)
    }

    /// Returns the gateways, other than the excluded ones, that serve requests and reach the endpoints
    /// by their own word; those in reserve only if no serving one is left.
    fn usable(&self, excluded: &[InstanceId], now: Instant) -> Vec<(InstanceId, &Member)> {
        let timeout = self.silence_timeout();
        let usable = |id: &InstanceId, member: &Member| {
            !excluded.contains(id) && member.takes_requests(timeout, now)
        };
        let others = self.others.iter();
        let usable = others.filter(|(id, member)| usable(id, member));
        let usable = usable.map(|(id, member)| (*id, member));
        let (serving, reserve): (Vec<_>, Vec<_>) = usable.partition(|(id, _)| self.is_serving(*id));
        if serving.is_empty() { reserve } else { serving }
    }
}

impl Pool {
    /// Decides anew whether this gateway is cut off from the endpoints.
    pub(crate) fn review_isolation(&mut self, now: Instant) {
        let Some(change) = self.endpoints.review_isolation(now) else {
            return;
        };
        let isolated = self.endpoints.is_isolated();
        self.isolation.view.send_replace(isolated);
        self.members.set_isolated(isolated);
        self.metrics.set_isolated(isolated);
        let peers = self.members.peers(now).len();
        match change {
            Change::Isolated { failed, made_at } => {
                let ms = made_at.map(|at| now.saturating_duration_since(at).as_millis());
                let details = format!("failed={failed} connected_ms={ms:?} peers={peers}");
                self.log.emit(Event::EndpointsUnreachable, &details);
            }
            Change::Reached { reached, since } => {
                let ms = now.saturating_duration_since(since).as_millis();
                let details = format!("reached={reached} ms={ms} peers={peers}");
                self.log.emit(Event::EndpointsReached, &details);
            }
        }
        self.changed.notify_one();
        self.schedule();
    }

    /// Tries to connect to an endpoint if this may show that the gateway is cut off, or no longer is.
    pub(crate) fn probe_endpoints(&mut self, now: Instant) {
        let Some(endpoint) = self.endpoints.next_probe(now) else {
            return;
        };
        let pool = self.address.clone();
        tokio::spawn(async move {
            // The attempt is reported; the connection itself is not needed.
            let _ = open(&endpoint, None, &pool).await;
        });
    }
}

impl Handler<Attempt> for Pool {
    type Return = ();

    async fn handle(&mut self, message: Attempt, _: &mut Context<Self>) {
        self.endpoints.record_attempt(message);
        if message.outcome == Outcome::Failed || self.endpoints.is_isolated() {
            self.review_isolation(Instant::now());
        }
    }
}

impl Handler<FindPeer> for Pool {
    type Return = Option<Peer>;

    async fn handle(
        &mut self,
        FindPeer(excluded): FindPeer,
        _: &mut Context<Self>,
    ) -> Option<Peer> {
        let now = Instant::now();
        self.update_roster(now);
        let usable = self.members.usable(&excluded, now);
        let candidate = |(id, member): &(InstanceId, &Member)| peer_choice::Peer {
            id: *id,
            relayed: self.isolation.relayed.get(id).copied().unwrap_or(0),
            local: member.entry.zone == self.members.own_entry.zone,
        };
        let candidates: Vec<peer_choice::Peer> = usable.iter().map(candidate).collect();
        let id = peer_choice::choose(&candidates, &mut rand::rng())?;
        let peer = Peer {
            id,
            address: self.members.others.get(&id)?.entry.digests,
            pool: self.address.clone(),
        };
        *self.isolation.relayed.entry(id).or_default() += 1;
        Some(peer)
    }
}

impl Handler<PeerDone> for Pool {
    type Return = ();

    async fn handle(&mut self, PeerDone(id): PeerDone, _: &mut Context<Self>) {
        if let Some(count) = self.isolation.relayed.get_mut(&id) {
            *count -= 1;
            if *count == 0 {
                self.isolation.relayed.remove(&id);
            }
        }
    }
}
