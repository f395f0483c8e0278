//! Pool of the endpoints of all services as one node sees them, and the choice among them.
//!
//! A node knows its own load exactly, and the load of other nodes from their digests, which are a
//! fraction of a second old. The expected memory is reserved when a request is sent, so that
//! engines are filled without preemptions.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::{Duration, Instant};

use daisyyard_derive::key;
use rand::{Rng, SeedableRng};
use rand_pcg::Pcg64Mcg;

use crate::candidate::{Candidate, MAX_MEMORY_SHARE};
use crate::ejection::Ejections;
use crate::endpoint::{Endpoint, State};
use crate::id::{EndpointId, InstanceId, Revision, ZoneId};
use crate::load::{Load, Need};
use crate::pace::{Pace, Stretches};
use crate::zone::Zone;

/// Share of the memory of an engine up to which it receives copies of runs at other engines. The
/// rest is for new runs.
const MAX_COPY_MEMORY_SHARE: f64 = 0.6;
/// Time for which the loads of an endpoint are kept after it is no longer listed. Its entry may be
/// listed again within seconds, and its runs continue in the meantime.
const LOAD_RETENTION: Duration = Duration::from_secs(10);
/// Time for which other nodes are informed that an endpoint is leaving. Within this time, they
/// read it from the store themselves.
const DEPARTURE_REPORT_TIME: Duration = Duration::from_secs(3);
/// Weight of an engine in another availability zone for a copy, which then takes twice as long.
const COPY_ZONE_WEIGHT: f64 = 1.0;
/// Largest random weight, which prevents nodes with the same view from choosing the same endpoint.
const JITTER: f64 = 0.05;
/// Largest random weight of an engine for a copy. An engine transfers copies one after another
/// over its links, so they are spread more widely than runs.
const COPY_JITTER: f64 = 0.8;

/// Result of the choice of an endpoint for a request.
#[derive(Debug, Clone)]
pub enum Choice {
    /// Send the request to an endpoint.
    Send {
        /// Endpoint that runs the request.
        endpoint: Arc<Endpoint>,
        /// Engine that receives a copy of the memory of the run.
        backup: Option<Arc<Endpoint>>,
        /// Share of the memory of the endpoint that is reserved, including the request.
        memory_share: f64,
    },
    /// Wait, because no endpoint can take the request now.
    Wait,
    /// The service has no live endpoint, apart from excluded ones.
    Missing,
}

/// Purpose for which an engine is chosen.
#[key]
pub enum Purpose {
    /// A run.
    Run,
    /// A copy of a run that another engine executes.
    Copy,
}

/// Result of a request, as far as it concerns the health of the endpoint.
#[key]
pub enum Signal {
    /// The endpoint answered.
    Answered,
    /// The endpoint failed the request.
    Failed,
    /// The endpoint could not be reached from this node.
    Unreachable,
    /// The endpoint refused the connection.
    Refused,
    /// The endpoint closed the connection without an answer.
    Lost,
    /// The request ended for a reason unrelated to the endpoint.
    Neutral,
}

/// Endpoints of all services, with their load and health.
#[derive(Debug)]
pub struct Pool {
    /// Availability zone of the node.
    zone: Zone,
    /// Endpoints by identifier.
    candidates: BTreeMap<EndpointId, Candidate>,
    /// Endpoints that other nodes have ejected.
    ejections: Ejections,
    /// Revision of the store up to which its entries have been read.
    revision: Revision,
    /// Revision of the store at which the newest endpoint was first listed.
    newest_listing: Revision,
    /// Factors by which pauses in streams are stretched.
    stretches: Stretches,
    /// Generator of the random weights.
    random: Pcg64Mcg,
}

impl Pool {
    /// Creates an empty pool of a node in a zone.
    pub fn new(zone: Zone, seed: u64) -> Self {
        Self {
            zone,
            candidates: BTreeMap::new(),
            ejections: Ejections::default(),
            revision: 0,
            newest_listing: 0,
            stretches: Stretches::default(),
            random: Pcg64Mcg::seed_from_u64(seed),
        }
    }

    /// Sets the revision of the store to which the following changes belong, and returns the one
    /// before.
    pub fn advance(&mut self, revision: Revision) -> Revision {
        std::mem::replace(&mut self.revision, revision)
    }

    /// Adds or updates an endpoint; returns whether it has started to leave.
    pub fn put(&mut self, endpoint: Endpoint, cold: Duration, now: Instant) -> bool {
        let leaving = endpoint.state != State::Live;
        let endpoint = Arc::new(endpoint);
        let known = self.endpoint(endpoint.id);
        let left = known.is_some_and(|endpoint| endpoint.state != State::Live);
        let candidate = self.candidates.entry(endpoint.id).or_insert_with(|| {
            self.newest_listing = self.revision;
            Candidate::new(Arc::clone(&endpoint), now)
        });
        if candidate.endpoint.incarnation != endpoint.incarnation {
            candidate.pace = Pace::default();
        }
        candidate.endpoint = endpoint;
        candidate.cold_until = now + cold;
        candidate.grace_until = None;
        candidate.unlisted_at = None;
        candidate.listed_at = self.revision;
        candidate.departed = leaving.then(|| candidate.departed.unwrap_or((now, self.revision)));
        leaving && !left
    }

    /// Removes an endpoint that is no longer listed, immediately or after a grace period in which
    /// it may be listed again; returns whether it was removed now.
    pub fn remove(&mut self, id: EndpointId, grace_until: Option<Instant>, now: Instant) -> bool {
        match grace_until {
            Some(until) if until > now => {
                if let Some(candidate) = self.candidates.get_mut(&id) {
                    candidate.grace_until.get_or_insert(until);
                }
                false
            }
            _ => self.unlist(id, now),
        }
    }

    /// Marks an endpoint as no longer listed; returns whether it was listed.
    fn unlist(&mut self, id: EndpointId, now: Instant) -> bool {
        let candidate = self.candidates.get_mut(&id);
        let candidate = candidate.filter(|candidate| candidate.unlisted_at.is_none());
        candidate.is_some_and(|candidate| {
            candidate.grace_until = None;
            candidate.unlisted_at = Some(now);
            candidate.departed.get_or_insert((now, self.revision));
            true
        })
    }

    /// Returns the revision of the store at which the newest endpoint was first listed.
    pub fn newest_listing(&self) -> Revision {
        self.newest_listing
    }

    /// Returns whether an endpoint that was listed at a revision may not be known yet.
    pub fn is_behind(&self, revision: Revision) -> bool {
        self.revision.max(self.newest_listing) < revision
    }

    /// Returns whether a change of an endpoint at a revision is later than all that is known of it.
    pub fn is_news(&self, id: EndpointId, revision: Revision) -> bool {
        let known = self.candidates.get(&id).map_or(0, |known| {
            let departed = known.departed.map_or(0, |(_, revision)| revision);
            known.listed_at.max(departed)
        });
        known.max(self.revision) < revision
    }

    /// Returns the endpoints that recently started to leave, each with the revision of the store at
    /// which it did.
    pub fn departures(&self, now: Instant) -> impl Iterator<Item = (EndpointId, Revision)> {
        let departed = self.candidates.iter().filter_map(|(id, candidate)| {
            let (since, revision) = candidate.departed?;
            Some((*id, since, revision))
        });
        let recent = move |since| now.saturating_duration_since(since) < DEPARTURE_REPORT_TIME;
        departed
            .filter(move |(_, since, _)| recent(*since))
            .map(|(id, _, revision)| (id, revision))
    }

    /// Marks an endpoint as leaving on the report of another node; returns whether this is new. A
    /// report is ignored if this node has read a later entry of the endpoint.
    pub fn mark_leaving(&mut self, id: EndpointId, revision: Revision) -> bool {
        let candidate = self.candidates.get_mut(&id);
        let candidate = candidate.filter(|candidate| {
            let listed = candidate.unlisted_at.is_none() && candidate.endpoint.state == State::Live;
            listed && candidate.listed_at < revision
        });
        candidate.is_some_and(|candidate| {
            Arc::make_mut(&mut candidate.endpoint).state = State::Leaving;
            true
        })
    }

    /// Removes the endpoints whose grace period has ended, and returns them.
    pub fn expire(&mut self, now: Instant) -> Vec<EndpointId> {
        let expired =
            |candidate: &Candidate| candidate.grace_until.is_some_and(|until| until <= now);
        let gone: Vec<EndpointId> = self
            .candidates
            .iter()
            .filter(|(_, candidate)| expired(candidate))
            .map(|(id, _)| *id)
            .collect();
        for id in &gone {
            self.unlist(*id, now);
        }
        let kept = |since: Instant| now.saturating_duration_since(since) < LOAD_RETENTION;
        self.candidates
            .retain(|_, candidate| candidate.unlisted_at.is_none_or(kept));
        gone
    }

    /// Returns the identifiers of all endpoints that are listed.
    pub fn listed(&self) -> Vec<EndpointId> {
        let listed = self
            .candidates
            .iter()
            .filter(|(_, candidate)| candidate.unlisted_at.is_none());
        listed.map(|(id, _)| *id).collect()
    }

    /// Returns an endpoint that is listed.
    pub fn endpoint(&self, id: EndpointId) -> Option<&Arc<Endpoint>> {
        let candidate = self.candidates.get(&id)?;
        candidate
            .unlisted_at
            .is_none()
            .then_some(&candidate.endpoint)
    }

    /// Chooses an endpoint for a request among those that are not excluded.
    pub fn choose(&mut self, need: &Need, excluded: &[EndpointId], now: Instant) -> Choice {
        let mut best: Option<(f64, EndpointId)> = None;
        let mut live = 0;
        let serving = self.candidates.iter();
        let serving = serving.filter(|(_, candidate)| candidate.serves(need.service));
        let failing = self
            .ejections
            .ejected(serving.clone().map(|(id, _)| *id), now);
        for (id, candidate) in serving.filter(|(id, _)| !excluded.contains(id)) {
            live += 1;
            if failing.contains(id) || !candidate.usable(now) || !candidate.fits(need, now) {
                continue;
            }
            let weight = candidate.weight(need, &self.zone, &self.stretches, now)
                + self.random.random_range(0.0..JITTER);
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
        let candidate = &self.candidates[&id];
        let (endpoint, memory_share) = (
            Arc::clone(&candidate.endpoint),
            candidate.memory_share(need, now),
        );
        let zone = Some(endpoint.zone.id);
        let backup = need
            .backup
            .then(|| self.choose_engine(need, zone, &[id], Purpose::Copy, now));
        Choice::Send {
            endpoint,
            backup: backup.flatten(),
            memory_share,
        }
    }

    /// Chooses an engine for a copy of a run in a zone, or for the run itself when it must move.
    pub fn choose_engine(
        &mut self,
        need: &Need,
        zone: Option<ZoneId>,
        excluded: &[EndpointId],
        purpose: Purpose,
        now: Instant,
    ) -> Option<Arc<Endpoint>> {
        let max_share = match purpose {
            Purpose::Run => MAX_MEMORY_SHARE,
            Purpose::Copy => MAX_COPY_MEMORY_SHARE,
        };
        let candidates = self.candidates.iter().filter(|(id, candidate)| {
            !excluded.contains(id)
                && candidate.serves(need.service)
                && candidate.usable(now)
                && candidate.grace_until.is_none()
        });
        let (random, stretches) = (&mut self.random, &self.stretches);
        let weighed = candidates.filter_map(|(_, candidate)| {
            let share = candidate.memory_share(need, now);
            // A copy within a zone takes half the time.
            let distance = if zone == Some(candidate.endpoint.zone.id) {
                0.0
            } else {
                COPY_ZONE_WEIGHT
            };
            let pauses = candidate.pause_weight(need, candidate.load(now).runs, stretches);
            let weight = share + distance + pauses + random.random_range(0.0..COPY_JITTER);
            (share <= max_share).then_some((weight, candidate))
        });
        let least = weighed.min_by(|one, two| one.0.total_cmp(&two.0));
        least.map(|(_, candidate)| Arc::clone(&candidate.endpoint))
    }

    /// Changes the load of this node at an endpoint.
    pub fn update_load(&mut self, id: EndpointId, change: impl FnOnce(&mut Load)) {
        if let Some(candidate) = self.candidates.get_mut(&id) {
            change(&mut candidate.local_load);
        }
    }

    /// Updates the health of an endpoint after a request.
    pub fn observe(&mut self, id: EndpointId, signal: Signal, now: Instant) {
        if let Some(candidate) = self.candidates.get_mut(&id) {
            candidate.observe(signal, now);
        }
    }

    /// Adds gaps between events of a stream at an engine.
    pub fn observe_gaps(&mut self, id: EndpointId, gaps: &[Duration]) {
        let Some(candidate) = self.candidates.get_mut(&id) else {
            return;
        };
        for gap in gaps {
            candidate.pace.observe(*gap);
            if let Some(pace) = candidate.pace.estimate() {
                let service = candidate.endpoint.service;
                self.stretches.observe(service, *gap, pace);
            }
        }
    }

    /// Returns the engines that this node uses and whose pace it has observed.
    pub fn paces(&self) -> impl Iterator<Item = (EndpointId, Duration)> {
        let used = self.candidates.iter();
        let used = used.filter(|(_, candidate)| candidate.local_load.runs > 0);
        used.filter_map(|(id, candidate)| Some((*id, candidate.pace.own()?)))
    }

    /// Adds the paces of engines that another node observed.
    pub fn learn_paces(&mut self, paces: &[(EndpointId, Duration)]) {
        for (id, pace) in paces {
            if let Some(candidate) = self.candidates.get_mut(id) {
                candidate.pace.learn(*pace);
            }
        }
    }

    /// Returns the endpoints that this node has ejected because they fail for all nodes. Those with
    /// a broken path from this node only are left out.
    pub fn ejections(&self, now: Instant) -> impl Iterator<Item = EndpointId> {
        let failing =
            move |candidate: &Candidate| candidate.fails_everywhere && !candidate.usable(now);
        let candidates = self
            .candidates
            .iter()
            .filter(move |(_, candidate)| failing(candidate));
        candidates.map(|(id, _)| *id)
    }

    /// Replaces the ejected endpoints that another node reported.
    pub fn learn_ejections(&mut self, from: InstanceId, endpoints: &[EndpointId], now: Instant) {
        self.ejections.record(from, endpoints, now);
    }

    /// Returns the loads of this node at all endpoints that it uses.
    pub fn loads(&self) -> impl Iterator<Item = (EndpointId, Load)> {
        let used = |load: &Load| load.runs > 0 || load.tokens > 0;
        let candidates = self
            .candidates
            .iter()
            .map(|(id, candidate)| (*id, candidate.local_load));
        candidates.filter(move |(_, load)| used(load))
    }

    /// Replaces the loads of another node.
    pub fn set_loads(&mut self, from: InstanceId, loads: &[(EndpointId, Load)], now: Instant) {
        for candidate in self.candidates.values_mut() {
            candidate.node_loads.remove(&from);
        }
        self.add_loads(from, loads, now);
    }

    /// Adds loads of another node to those already known.
    pub fn add_loads(&mut self, from: InstanceId, loads: &[(EndpointId, Load)], now: Instant) {
        for (id, load) in loads {
            if let Some(candidate) = self.candidates.get_mut(id) {
                candidate.node_loads.insert(from, (*load, now));
            }
        }
    }
}
