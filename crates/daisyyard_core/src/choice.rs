//! Choice of an endpoint for a request, of an engine for a copy, or of one to which a run moves.
//!
//! The loads of other nodes are a fraction of a second old. If all nodes sent their next runs to the
//! engine that they know to be the least loaded, dozens could reach it before any digest shows the
//! first. A node therefore compares only a random sample of the engines, which is the smaller the
//! more runs other nodes are likely to have started meanwhile. If the engines have fewer places than
//! that, it starts the run only with the probability that a place is left. This answers many nodes
//! that serve many requests, and single engines that become free while all others are full.

use std::sync::Arc;
use std::time::Instant;

use daisyyard_derive::key;
use rand::Rng;
use rand::seq::SliceRandom;

use crate::candidate::{Candidate, MAX_MEMORY_SHARE};
use crate::coldness;
use crate::endpoint::{Endpoint, Kind};
use crate::id::{EndpointId, ZoneId};
use crate::load::Need;
use crate::pool::Pool;

/// Share of the memory of an engine up to which it receives copies of runs at other engines. The
/// rest is for new runs.
const MAX_COPY_MEMORY_SHARE: f64 = 0.6;
/// Weight of an engine in another availability zone for a copy, which then takes twice as long.
const COPY_ZONE_WEIGHT: f64 = 1.0;
/// Weight of a cold engine to which requests are limited for a copy; it exceeds all others together.
const COPY_COLD_WEIGHT: f64 = 8.0;
/// Largest random weight, which prevents nodes with the same view from choosing the same endpoint.
const JITTER: f64 = 0.05;
/// Largest random weight of an engine for a copy. An engine transfers copies one after another
/// over its links, so they are spread more widely than runs.
const COPY_JITTER: f64 = 0.8;
/// Weight of an engine that was there when a wave of leaving engines began, which it may join next. A
/// further move costs less than a copy between zones.
const OLD_ENGINE_WEIGHT: f64 = 0.7;
/// Weight of an engine in a zone whose engines leave. It outweighs a copy between zones.
const LEAVING_ZONE_WEIGHT: f64 = 2.0;
/// Minimum number of engines to compare, so that a failing or slow one is still avoided.
const MIN_SAMPLE: usize = 4;

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
    /// All endpoints turn requests away, the first of them until this time.
    TurnedAway(Instant),
    /// Wait, because no endpoint can take the request now.
    Wait,
    /// The service has no live endpoint, apart from excluded ones.
    Missing,
    /// The service has live endpoints in evacuated zones only, apart from excluded ones.
    Evacuated,
}

/// Purpose for which an engine is chosen.
#[key]
pub enum Purpose {
    /// A run.
    Run,
    /// A copy of a run that another engine executes.
    Copy,
}

impl Pool {
    /// Chooses an endpoint for a request among those that are not excluded.
    pub fn choose(&mut self, need: &Need, excluded: &[EndpointId], now: Instant) -> Choice {
        if let Some(opens) = self.first_opening(need.service, excluded, now) {
            return match self.try_closed(need, excluded, now) {
                Some((endpoint, memory_share)) => Choice::Send {
                    endpoint,
                    backup: None,
                    memory_share,
                },
                None => Choice::TurnedAway(opens),
            };
        }
        let serving = self.candidates.iter();
        let serving = serving.filter(|(_, candidate)| candidate.serves(need.service, now));
        let failing = self
            .ejections
            .ejected(serving.clone().map(|(id, _)| *id), now);
        let mut live: Vec<(EndpointId, &Candidate)> = serving
            .map(|(id, candidate)| (*id, candidate))
            .filter(|(id, _)| !excluded.contains(id))
            .collect();
        if live.is_empty() {
            return if self.only_evacuated(need.service, excluded, now) {
                Choice::Evacuated
            } else {
                Choice::Missing
            };
        }
        live.retain(|(id, candidate)| !failing.contains(id) && candidate.access(now).is_open());
        coldness::prefer_warm(&mut live, need, now);
        let unseen_runs = if serves_engines(&live) {
            self.unseen_runs
        } else {
            // Calls to plain endpoints end before digests could show them.
            0
        };
        if !self
            .random
            .random_bool(place_share(&live, need, unseen_runs, now))
        {
            return Choice::Wait;
        }
        let sample = (live.len() / (unseen_runs + 1)).max(MIN_SAMPLE);
        if sample < live.len() {
            live.shuffle(&mut self.random);
        }
        let fitting = live
            .into_iter()
            .filter(|(_, candidate)| candidate.fits(need, now));
        let (random, stretches) = (&mut self.random, &self.stretches);
        let weighed = fitting.take(sample).map(|(id, candidate)| {
            let weight = candidate.weight(need, &self.zone, stretches, now);
            (weight + random.random_range(0.0..JITTER), id, candidate)
        });
        let least = weighed.min_by(|one, two| one.0.total_cmp(&two.0));
        let Some((_, id, candidate)) = least else {
            return Choice::Wait;
        };
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
                && candidate.endpoint.service == need.service
                && candidate.grace_until.is_none()
                && match purpose {
                    Purpose::Run => candidate.accepts_move(now),
                    Purpose::Copy => candidate.accepts_copy(now),
                }
        });
        let (random, stretches) = (&mut self.random, &self.stretches);
        let (began, wave_zone) = (self.wave.began(now), self.wave.zone(now));
        let weighed = candidates.filter_map(|(_, candidate)| {
            let share = candidate.memory_share(need, now);
            // A copy within a zone takes half the time.
            let distance = if zone == Some(candidate.endpoint.zone.id) {
                0.0
            } else {
                COPY_ZONE_WEIGHT
            };
            let pauses = candidate.pause_weight(need, candidate.load(now).runs, stretches);
            let in_wave = began.is_some_and(|began| candidate.since <= began);
            let next_to_leave = if in_wave { OLD_ENGINE_WEIGHT } else { 0.0 };
            let zone_leaves = if wave_zone == Some(candidate.endpoint.zone.id) {
                LEAVING_ZONE_WEIGHT
            } else {
                0.0
            };
            let cold = if candidate.warmup.is_cold(now) {
                COPY_COLD_WEIGHT
            } else {
                0.0
            };
            let spread = random.random_range(0.0..COPY_JITTER);
            let weight = share + distance + cold + pauses + next_to_leave + zone_leaves + spread;
            let has_slot = match purpose {
                Purpose::Run => candidate.load(now).runs < candidate.endpoint.slots,
                Purpose::Copy => true,
            };
            (has_slot && share <= max_share).then_some((weight, candidate))
        });
        let least = weighed.min_by(|one, two| one.0.total_cmp(&two.0));
        least.map(|(_, candidate)| Arc::clone(&candidate.endpoint))
    }
}

/// Returns whether the endpoints are engines.
fn serves_engines(live: &[(EndpointId, &Candidate)]) -> bool {
    let first = live.first();
    first.is_some_and(|(_, candidate)| candidate.endpoint.kind == Kind::Engine)
}

/// Returns the probability that a place is left for a request if other nodes have started runs that
/// this one does not see.
fn place_share(
    live: &[(EndpointId, &Candidate)],
    need: &Need,
    unseen_runs: usize,
    now: Instant,
) -> f64 {
    let wanted = unseen_runs + 1;
    let mut places = 0;
    for (_, candidate) in live {
        places += candidate.places(need, now);
        if places >= wanted {
            return 1.0;
        }
    }
    places as f64 / wanted as f64
}
