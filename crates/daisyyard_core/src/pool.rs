//! The pool: endpoints of all services as one node sees them, and the choice among them.
//!
//! A node knows its own load exactly and that of the other nodes from their digests, which are a
//! fraction of a second old. Expected memory is reserved when a request is sent, so that engines
//! are filled without preemptions.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::{Duration, Instant};

use daisyyard_derive::key;
use rand::{Rng, SeedableRng};
use rand_pcg::Pcg64Mcg;

use crate::ejection::Ejections;
use crate::endpoint::{Endpoint, State};
use crate::id::{EndpointId, InstanceId, Revision, ZoneId};
use crate::load::{Load, Need};
use crate::seat::{MEMORY_FOR_ALL, Seat};
use crate::zone::Zone;

/// Share of an engine's memory up to which it takes copies of runs at other engines. New runs use
/// the rest.
const MEMORY_FOR_COPIES: f64 = 0.6;
/// Time for which the loads of an endpoint are kept after its entry has ended. Entries come back
/// within seconds, and runs go on meanwhile.
const LOADS_KEPT: Duration = Duration::from_secs(10);
/// Time for which other nodes are told that an endpoint leaves. They read it from the store
/// themselves within this time.
const DEPARTURE_TOLD: Duration = Duration::from_secs(2);
/// Weight of an engine in another availability zone for a copy, which takes twice as long.
const COPY_ZONE_WEIGHT: f64 = 1.0;
/// Largest random weight; it keeps nodes with the same view from choosing the same endpoint.
const JITTER: f64 = 0.05;
/// Largest random weight of an engine that receives a copy. Copies travel one after another over
/// the links of an engine, so that they are spread more widely than runs.
const COPY_JITTER: f64 = 0.8;

/// Where to send a request.
#[derive(Debug, Clone)]
pub enum Choice {
    /// Send it to an endpoint.
    Send {
        /// Endpoint that runs the request.
        endpoint: Arc<Endpoint>,
        /// Engine that keeps a copy of the run's memory.
        backup: Option<Arc<Endpoint>>,
        /// Share of the endpoint's memory that is reserved with the request.
        filled: f64,
    },
    /// Every endpoint is full; wait.
    Wait,
    /// No endpoint of the service is known to be live.
    Missing,
}

/// What room at an engine is wanted for.
#[key]
pub enum Room {
    /// A run.
    Run,
    /// A copy of a run at another engine.
    Copy,
}

/// How a request ended, as far as it says something about the endpoint.
#[key]
pub enum Sign {
    /// The endpoint answered.
    Sound,
    /// The endpoint failed the request.
    Failed,
    /// The endpoint could not be reached from here.
    Unreachable,
    /// Nothing listens at the endpoint's address.
    Refused,
    /// The endpoint broke the connection without an answer.
    Lost,
    /// The request ended for reasons of its own.
    Nothing,
}

/// Endpoints of all services.
#[derive(Debug)]
pub struct Pool {
    /// Zone of the node.
    zone: Zone,
    /// Endpoints by identifier.
    seats: BTreeMap<EndpointId, Seat>,
    /// Endpoints that other nodes leave out.
    ejections: Ejections,
    /// Revision of the store up to which its entries are known.
    revision: Revision,
    /// Revision at which the newest endpoint was listed.
    arrival: Revision,
    /// Source of the random weights.
    random: Pcg64Mcg,
}

impl Pool {
    /// Creates an empty pool of a node in a zone.
    pub fn new(zone: Zone, seed: u64) -> Self {
        Self {
            zone,
            seats: BTreeMap::new(),
            ejections: Ejections::default(),
            revision: 0,
            arrival: 0,
            random: Pcg64Mcg::seed_from_u64(seed),
        }
    }

    /// Notes the revision of the store to which the entries that follow belong.
    pub fn advance(&mut self, revision: Revision) {
        self.revision = revision;
    }

    /// Takes the present description of an endpoint; returns whether it has begun to leave.
    pub fn put(&mut self, endpoint: Endpoint, cold: Duration, now: Instant) -> bool {
        let leaving = endpoint.state != State::Live;
        let endpoint = Arc::new(endpoint);
        let known = self.endpoint(endpoint.id);
        let left = known.is_some_and(|endpoint| endpoint.state != State::Live);
        let seat = self.seats.entry(endpoint.id).or_insert_with(|| {
            self.arrival = self.revision;
            Seat::new(Arc::clone(&endpoint), now)
        });
        seat.endpoint = endpoint;
        seat.cold_until = now + cold;
        seat.doubtful_until = None;
        seat.unlisted = None;
        seat.listed_at = self.revision;
        seat.departed = leaving.then(|| seat.departed.unwrap_or((now, self.revision)));
        leaving && !left
    }

    /// Removes an endpoint that is no longer listed, at once or after a time in which it may be
    /// listed again; returns whether it is gone now.
    pub fn remove(&mut self, id: EndpointId, doubt: Option<Instant>, now: Instant) -> bool {
        match doubt {
            Some(until) if until > now => {
                if let Some(seat) = self.seats.get_mut(&id) {
                    seat.doubtful_until.get_or_insert(until);
                }
                false
            }
            _ => self.unlist(id, now),
        }
    }

    /// Marks an endpoint as no longer listed; returns whether it was.
    fn unlist(&mut self, id: EndpointId, now: Instant) -> bool {
        let seat = self.seats.get_mut(&id);
        let seat = seat.filter(|seat| seat.unlisted.is_none());
        seat.is_some_and(|seat| {
            seat.doubtful_until = None;
            seat.unlisted = Some(now);
            seat.departed.get_or_insert((now, self.revision));
            true
        })
    }

    /// Returns the revision of the store at which the newest endpoint was listed.
    pub fn arrival(&self) -> Revision {
        self.arrival
    }

    /// Returns whether the entries of the store are known only up to before a revision.
    pub fn is_behind(&self, revision: Revision) -> bool {
        self.revision < revision
    }

    /// Returns the endpoints that began to leave a short time ago, with the revisions of the store
    /// that say so.
    pub fn departures(&self, now: Instant) -> impl Iterator<Item = (EndpointId, Revision)> {
        let departed = self.seats.iter().filter_map(|(id, seat)| {
            let (since, revision) = seat.departed?;
            Some((*id, since, revision))
        });
        let told = move |since| now.saturating_duration_since(since) < DEPARTURE_TOLD;
        departed
            .filter(move |(_, since, _)| told(*since))
            .map(|(id, _, revision)| (id, revision))
    }

    /// Takes from another node that an endpoint leaves; returns whether this is news. A node that
    /// has read a later entry of the endpoint knows better.
    pub fn depart(&mut self, id: EndpointId, revision: Revision) -> bool {
        let seat = self.seats.get_mut(&id);
        let seat = seat.filter(|seat| {
            let listed = seat.unlisted.is_none() && seat.endpoint.state == State::Live;
            listed && seat.listed_at < revision
        });
        seat.is_some_and(|seat| {
            Arc::make_mut(&mut seat.endpoint).state = State::Leaving;
            true
        })
    }

    /// Removes the endpoints whose time to be listed again has passed.
    pub fn expire(&mut self, now: Instant) -> Vec<EndpointId> {
        let late = |seat: &Seat| seat.doubtful_until.is_some_and(|until| until <= now);
        let gone: Vec<EndpointId> = self
            .seats
            .iter()
            .filter(|(_, seat)| late(seat))
            .map(|(id, _)| *id)
            .collect();
        for id in &gone {
            self.unlist(*id, now);
        }
        let kept = |since: Instant| now.saturating_duration_since(since) < LOADS_KEPT;
        self.seats.retain(|_, seat| seat.unlisted.is_none_or(kept));
        gone
    }

    /// Returns the identifiers of all endpoints that are listed.
    pub fn known(&self) -> Vec<EndpointId> {
        let listed = self
            .seats
            .iter()
            .filter(|(_, seat)| seat.unlisted.is_none());
        listed.map(|(id, _)| *id).collect()
    }

    /// Returns an endpoint that is listed.
    pub fn endpoint(&self, id: EndpointId) -> Option<&Arc<Endpoint>> {
        let seat = self.seats.get(&id)?;
        seat.unlisted.is_none().then_some(&seat.endpoint)
    }

    /// Chooses an endpoint for a request, other than the excluded ones.
    pub fn choose(&mut self, need: &Need, excluded: &[EndpointId], now: Instant) -> Choice {
        let mut best: Option<(f64, EndpointId)> = None;
        let mut live = 0;
        let serving = self.seats.iter();
        let serving = serving.filter(|(_, seat)| seat.serves(need.service));
        let failing = self
            .ejections
            .among(serving.clone().map(|(id, _)| *id), now);
        for (id, seat) in serving.filter(|(id, _)| !excluded.contains(id)) {
            live += 1;
            if failing.contains(id) || !seat.usable(now) || !seat.fits(need, now) {
                continue;
            }
            let weight = seat.weight(need, &self.zone, now) + self.random.random_range(0.0..JITTER);
            if best.is_none_or(|(least, _)| weight < least) {
                best = Some((weight, *id));
            }
        }
        let Some((_, id)) = best else {
            return if live > 0 {
                Choice::Wait
            } else {
                Choice::Missing
            };
        };
        let seat = &self.seats[&id];
        let (endpoint, filled) = (Arc::clone(&seat.endpoint), seat.filled(need, now));
        let zone = Some(endpoint.zone.id);
        let backup = need
            .backup
            .then(|| self.spare(need, zone, &[id], Room::Copy, now));
        Choice::Send {
            endpoint,
            backup: backup.flatten(),
            filled,
        }
    }

    /// Chooses an engine for a copy of a run in a zone, or for the run itself once it must move.
    pub fn spare(
        &mut self,
        need: &Need,
        zone: Option<ZoneId>,
        excluded: &[EndpointId],
        room: Room,
        now: Instant,
    ) -> Option<Arc<Endpoint>> {
        let most = match room {
            Room::Run => MEMORY_FOR_ALL,
            Room::Copy => MEMORY_FOR_COPIES,
        };
        let candidates = self.seats.iter().filter(|(id, seat)| {
            !excluded.contains(id)
                && seat.serves(need.service)
                && seat.usable(now)
                && seat.doubtful_until.is_none()
        });
        let random = &mut self.random;
        let weighed = candidates.filter_map(|(_, seat)| {
            let share = seat.filled(need, now);
            // A copy within a zone travels in half the time.
            let distance = if zone == Some(seat.endpoint.zone.id) {
                0.0
            } else {
                COPY_ZONE_WEIGHT
            };
            let weight = share + distance + random.random_range(0.0..COPY_JITTER);
            (share <= most).then_some((weight, seat))
        });
        let least = weighed.min_by(|one, two| one.0.total_cmp(&two.0));
        least.map(|(_, seat)| Arc::clone(&seat.endpoint))
    }

    /// Changes this node's load at an endpoint.
    pub fn change(&mut self, id: EndpointId, change: impl FnOnce(&mut Load)) {
        if let Some(seat) = self.seats.get_mut(&id) {
            change(&mut seat.own);
        }
    }

    /// Learns from the end of a request.
    pub fn observe(&mut self, id: EndpointId, sign: Sign, now: Instant) {
        if let Some(seat) = self.seats.get_mut(&id) {
            seat.observe(sign, now);
        }
    }

    /// Returns the endpoints that this node leaves out for reasons that concern every node, unlike a
    /// path that is broken here.
    pub fn ejections(&self, now: Instant) -> impl Iterator<Item = EndpointId> {
        let failing = move |seat: &Seat| seat.fails_all && !seat.usable(now);
        let seats = self.seats.iter().filter(move |(_, seat)| failing(seat));
        seats.map(|(id, _)| *id)
    }

    /// Takes the endpoints that another node leaves out, which replace those known of it.
    pub fn hear_ejections(&mut self, from: InstanceId, endpoints: &[EndpointId], now: Instant) {
        self.ejections.hear(from, endpoints, now);
    }

    /// Returns this node's loads.
    pub fn loads(&self) -> impl Iterator<Item = (EndpointId, Load)> {
        let used = |load: &Load| load.runs > 0 || load.tokens > 0;
        let seats = self.seats.iter().map(|(id, seat)| (*id, seat.own));
        seats.filter(move |(_, load)| used(load))
    }

    /// Takes the loads of another node, which replace those known of it.
    pub fn learn(&mut self, from: InstanceId, loads: &[(EndpointId, Load)], now: Instant) {
        for seat in self.seats.values_mut() {
            seat.others.remove(&from);
        }
        self.learn_more(from, loads, now);
    }

    /// Takes further loads of another node.
    pub fn learn_more(&mut self, from: InstanceId, loads: &[(EndpointId, Load)], now: Instant) {
        for (id, load) in loads {
            if let Some(seat) = self.seats.get_mut(id) {
                seat.others.insert(from, (*load, now));
            }
        }
    }
}
