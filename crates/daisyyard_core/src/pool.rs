//! Pool of the endpoints of all services as one node sees them.
//!
//! A node knows its own load exactly, and the load of other nodes from their digests, which are a
//! fraction of a second old. The expected memory is reserved when a request is sent, so that
//! engines are filled without preemptions.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::{Duration, Instant};

use daisyyard_derive::key;
use rand::SeedableRng;
use rand_pcg::Pcg64Mcg;

use crate::access::Access;
use crate::brittleness::Brittleness;
use crate::candidate::Candidate;
use crate::coldness::Coldness;
use crate::ejection::Ejections;
use crate::endpoint::{Endpoint, Kind, State};
use crate::evacuation::Register;
use crate::id::{EndpointId, InstanceId};
use crate::isolation::Detector;
use crate::load::Load;
use crate::pace::{Pace, Stretches};
use crate::rate::Owners;
use crate::revision::Revision;
use crate::throttle::{self, Throttle};
use crate::wave::Wave;
use crate::zone::Zone;

/// Time for which the loads of an endpoint are kept after it is no longer listed. Its entry may be
/// listed again within seconds, and its runs continue in the meantime.
const LOAD_RETENTION: Duration = Duration::from_secs(10);
/// Time for which other nodes are informed that an endpoint is leaving. Within this time, they
/// read it from the store themselves.
const DEPARTURE_REPORT_TIME: Duration = Duration::from_secs(3);
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
    pub(crate) zone: Zone,
    /// Endpoints by identifier.
    pub(crate) candidates: BTreeMap<EndpointId, Candidate>,
    /// Endpoints that other nodes have ejected.
    pub(crate) ejections: Ejections,
    /// Attempts of this node to connect, which show whether it is cut off.
    pub(crate) isolation: Detector,
    /// Evacuated availability zones.
    pub(crate) evacuations: Register,
    /// Revision of the store up to which its entries have been read.
    revision: Revision,
    /// Engines that leave one after another.
    pub(crate) wave: Wave,
    /// Factors by which pauses in streams are stretched.
    pub(crate) stretches: Stretches,
    /// Number of runs that other nodes are likely to have started since their last digests.
    pub(crate) unseen_runs: usize,
    /// Bounds on the requests to cold endpoints.
    pub(crate) coldness: Coldness,
    /// Nodes that share the rates of cold and of limited endpoints.
    pub(crate) owners: Owners,
    /// Generator of the random weights.
    pub(crate) random: Pcg64Mcg,
}

impl Pool {
    /// Creates an empty pool of a node in a zone.
    pub fn new(zone: Zone, seed: u64) -> Self {
        Self {
            zone,
            candidates: BTreeMap::new(),
            ejections: Ejections::default(),
            isolation: Detector::default(),
            evacuations: Register::default(),
            revision: Revision::default(),
            wave: Wave::default(),
            stretches: Stretches::default(),
            unseen_runs: 0,
            coldness: Coldness::default(),
            owners: Owners::default(),
            random: Pcg64Mcg::seed_from_u64(seed),
        }
    }

    /// Sets the revision of the store to which the following changes belong, and returns the one
    /// before.
    pub fn advance(&mut self, revision: Revision) -> Revision {
        std::mem::replace(&mut self.revision, revision)
    }

    /// Returns the revision of the store up to which its entries have been read.
    #[must_use]
    pub fn revision(&self) -> Revision {
        self.revision
    }

    /// Sets how many runs other nodes are likely to have started since their last digests.
    pub fn set_unseen_runs(&mut self, runs: usize) {
        self.unseen_runs = runs;
    }

    /// Adds or updates an endpoint; returns whether it has started to leave.
    pub fn put(&mut self, mut endpoint: Endpoint, cold: Duration, now: Instant) -> bool {
        let id = endpoint.id;
        let entry_leaves = endpoint.state != State::Live;
        if self.keep_statement(&endpoint) && !entry_leaves {
            // The entry is older than the answer, or the endpoint has not changed it.
            endpoint.state = State::Leaving;
        }
        let leaving = endpoint.state != State::Live;
        let endpoint = Arc::new(endpoint);
        if let Some(candidate) = self.candidates.get_mut(&id)
            && candidate.is_restart(&endpoint)
        {
            candidate.throttle = Throttle::new(throttle::rate);
            candidate.brittleness = Brittleness::default();
        }
        let known = self.endpoint(endpoint.id);
        let left = known.is_some_and(|endpoint| endpoint.state != State::Live);
        let candidate = self
            .candidates
            .entry(endpoint.id)
            .or_insert_with(|| Candidate::new(Arc::clone(&endpoint), now, now));
        let anew = candidate.endpoint.incarnation != endpoint.incarnation;
        if anew {
            candidate.pace = Pace::default();
        }
        candidate.evacuated = self.evacuations.is_evacuated(endpoint.zone.id);
        if !leaving && (anew || left || candidate.unlisted_at.is_some()) {
            candidate.since = now;
        }
        if !leaving {
            self.wave.stay(endpoint.id);
        } else if endpoint.kind == Kind::Engine {
            self.wave.notice(endpoint.id, endpoint.zone.id, now);
        }
        candidate.endpoint = endpoint;
        candidate.cold_until = now + cold;
        candidate.grace_until = None;
        candidate.unlisted_at = None;
        candidate.listed_at = self.revision;
        candidate.departed =
            entry_leaves.then(|| candidate.departed.unwrap_or((now, self.revision)));
        self.read_cold_entry(id, cold, now);
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
            if self.wave.contains(id) {
                self.wave.end(id, now);
            } else if candidate.endpoint.kind == Kind::Engine {
                // Some engines delete their entry as the notice.
                self.wave.notice(id, candidate.endpoint.zone.id, now);
            }
            candidate.grace_until = None;
            candidate.unlisted_at = Some(now);
            candidate.departed.get_or_insert((now, self.revision));
            true
        })
    }

    /// Returns a value that identifies the set of listed endpoints, to compare it with that of another
    /// node.
    pub fn listing(&self) -> u64 {
        let listed = self.candidates.iter();
        let listed = listed.filter(|(_, candidate)| candidate.unlisted_at.is_none());
        listed.fold(0, |sum, (id, _)| sum ^ id)
    }

    /// Returns whether an entry differs from what is known of its endpoint. Endpoints write their
    /// entries again and again as a sign of life.
    pub fn is_changed(&self, entry: &Endpoint) -> bool {
        self.candidates.get(&entry.id).is_none_or(|candidate| {
            let known = &candidate.endpoint;
            let in_doubt = candidate.unlisted_at.is_some() || candidate.grace_until.is_some();
            in_doubt
                || (known.address, known.service, known.zone.id)
                    != (entry.address, entry.service, entry.zone.id)
                || (known.slots, known.incarnation) != (entry.slots, entry.incarnation)
                || (known.state != entry.state && !candidate.statements.current().is_leaving())
        })
    }

    /// Returns whether a change of an endpoint at a revision is later than all that is known of it.
    pub fn is_news(&self, id: EndpointId, revision: Revision) -> bool {
        let known = self.candidates.get(&id);
        let known = known.map_or(Revision::default(), |known| {
            let departed = known.departed.map(|(_, revision)| revision);
            known.listed_at.max(departed.unwrap_or_default())
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
    pub fn mark_leaving(&mut self, id: EndpointId, revision: Revision, now: Instant) -> bool {
        let candidate = self.candidates.get_mut(&id);
        let candidate = candidate.filter(|candidate| {
            let listed = candidate.unlisted_at.is_none() && candidate.endpoint.state == State::Live;
            listed && candidate.listed_at < revision
        });
        candidate.is_some_and(|candidate| {
            Arc::make_mut(&mut candidate.endpoint).state = State::Leaving;
            if candidate.endpoint.kind == Kind::Engine {
                self.wave.notice(id, candidate.endpoint.zone.id, now);
            }
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
        let kept = |since: Instant, candidate: &Candidate| {
            let recent = now.saturating_duration_since(since) < LOAD_RETENTION;
            recent || candidate.statements.are_kept(since, now)
        };
        self.candidates
            .retain(|_, candidate| candidate.unlisted_at.is_none_or(|at| kept(at, candidate)));
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

    /// Returns whether something may be sent to an endpoint now; none if the endpoint is not known.
    pub fn access(&self, id: EndpointId, now: Instant) -> Option<Access> {
        Some(self.candidates.get(&id)?.access(now))
    }

    /// Returns when a leaving engine is expected to end; none if it was not seen to leave.
    pub fn expected_end(&self, id: EndpointId) -> Option<Instant> {
        self.wave.expected_end(id)
    }

    /// Returns the time between two events at an engine, if it is known.
    pub fn pace(&self, id: EndpointId) -> Option<Duration> {
        self.candidates.get(&id)?.pace.estimate()
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
            if candidate.ejected_at() == Some(now) {
                self.isolation.doubt(now);
            }
            let broke = !matches!(signal, Signal::Neutral | Signal::Answered);
            if broke && candidate.endpoint.state != State::Live {
                self.wave.end(id, now);
            }
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
