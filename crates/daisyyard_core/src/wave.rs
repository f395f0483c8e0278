//! Engines that leave one after another, as a platform that takes machines back makes them do: how much
//! time a leaving engine has, and which engines are likely to leave next.

use std::collections::{BTreeMap, VecDeque};
use std::time::{Duration, Instant};

use crate::id::{EndpointId, ZoneId};

/// Time after which the notice of an engine says nothing about others any more.
const NOTICE_RETENTION: Duration = Duration::from_secs(20);
/// Number of engines that have to leave within the retention period to be a wave.
const MIN_LEAVERS: usize = 2;
/// Number of leavers in one zone from which the zone is taken to be leaving.
const MIN_ZONE_LEAVERS: usize = 3;
/// Time of a leaving engine if none was seen to end: the shortest notice that platforms give.
const DEFAULT_STAY: Duration = Duration::from_millis(1_500);
/// Least time that a leaving engine is assumed to have. An earlier sign of its end, such as a deleted
/// entry or one broken connection, says little about the time that others have.
const MIN_STAY: Duration = Duration::from_millis(500);
/// Number of newest stays from which the time is learned.
const STAYS: usize = 12;
/// Quantile of the stays that an engine is assumed to have: three of four stay longer.
const STAY_QUANTILE: f64 = 0.25;
/// Stay above which an engine ended for another reason, such as a lease that ran out.
const MAX_STAY: Duration = Duration::from_secs(8);

/// Engines that were seen to leave.
#[derive(Debug, Default)]
pub struct Wave {
    /// Leaving engines.
    leavers: BTreeMap<EndpointId, Leaver>,
    /// Newest times between a notice and the end of the engine.
    stays: VecDeque<Duration>,
}

/// A leaving engine.
#[derive(Debug)]
struct Leaver {
    /// Zone of the engine.
    zone: ZoneId,
    /// When it was seen to leave.
    noticed: Instant,
    /// Whether it has ended.
    ended: bool,
}

impl Wave {
    /// Records that an engine leaves.
    pub fn notice(&mut self, id: EndpointId, zone: ZoneId, now: Instant) {
        self.leavers.retain(|_, leaver| leaver.is_recent(now));
        self.leavers.entry(id).or_insert(Leaver {
            zone,
            noticed: now,
            ended: false,
        });
    }

    /// Records that an engine that was leaving has ended.
    pub fn end(&mut self, id: EndpointId, now: Instant) {
        let Some(leaver) = self.leavers.get_mut(&id) else {
            return;
        };
        let stay = now.saturating_duration_since(leaver.noticed);
        if leaver.ended || !(MIN_STAY..=MAX_STAY).contains(&stay) {
            return;
        }
        leaver.ended = true;
        if self.stays.len() == STAYS {
            self.stays.pop_front();
        }
        self.stays.push_back(stay);
    }

    /// Records that an engine that was leaving has started anew or stays.
    pub fn stay(&mut self, id: EndpointId) {
        self.leavers.remove(&id);
    }

    /// Returns whether an engine was seen to leave.
    pub(crate) fn contains(&self, id: EndpointId) -> bool {
        self.leavers.contains_key(&id)
    }

    /// Returns when a leaving engine is expected to end; none if it was not seen to leave.
    pub fn expected_end(&self, id: EndpointId) -> Option<Instant> {
        let leaver = self.leavers.get(&id)?;
        Some(leaver.noticed + self.expected_stay())
    }

    /// Returns the time between a notice and the end of an engine that most engines have.
    fn expected_stay(&self) -> Duration {
        let mut sorted: Vec<Duration> = self.stays.iter().copied().collect();
        sorted.sort_unstable();
        let index = (sorted.len() as f64 * STAY_QUANTILE) as usize;
        let stay = sorted.get(index).copied().unwrap_or(DEFAULT_STAY);
        stay.max(MIN_STAY)
    }

    /// Returns when the wave began; none if engines do not leave in a wave.
    pub fn began(&self, now: Instant) -> Option<Instant> {
        let recent = self.leavers.values().filter(|leaver| leaver.is_recent(now));
        let began = recent.clone().map(|leaver| leaver.noticed).min();
        began.filter(|_| recent.count() >= MIN_LEAVERS)
    }

    /// Returns the zone of all recent leavers, if they share one.
    pub fn zone(&self, now: Instant) -> Option<ZoneId> {
        let mut zones = self
            .leavers
            .values()
            .filter(|leaver| leaver.is_recent(now))
            .map(|leaver| leaver.zone);
        let first = zones.next()?;
        let others = zones.try_fold(1, |count, zone| (zone == first).then_some(count + 1));
        others.filter(|count| *count >= MIN_ZONE_LEAVERS)?;
        Some(first)
    }
}

impl Leaver {
    /// Returns whether the notice still says something about other engines.
    fn is_recent(&self, now: Instant) -> bool {
        now.saturating_duration_since(self.noticed) < NOTICE_RETENTION
    }
}
