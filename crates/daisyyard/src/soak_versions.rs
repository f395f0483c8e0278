//! Versions of the configuration in a soak, and which of them the answers to requests follow.

use std::collections::BTreeMap;
use std::time::{Duration, Instant};

use daisyyard_derive::{key, value};
use rand::Rng;
use rand_pcg::Pcg64Mcg;

/// Time from the confirmation of a version until no answer may follow an older one (`config_apply_ms`).
const APPLY_TIME: Duration = Duration::from_secs(2);
/// Time before a request in which a fault of its gateway excuses the answer (`contact_ms`).
const CONTACT_TIME: Duration = Duration::from_secs(3);
/// Time after an answer from which no answer of the same process may follow an older version
/// (`rollback_slack_ms`).
const ROLLBACK_TIME: Duration = Duration::from_millis(250);
/// Maximum number of violations that are listed.
const MAX_LISTED: usize = 20;

/// What a version demands for a request.
#[key]
pub(crate) enum Follows {
    /// No route leads to the path: 404.
    NoRoute,
    /// The key is not known: 401.
    NoKey,
    /// The service with this number runs the request.
    Service(usize),
}

/// What the answer to a request shows.
#[key]
pub(crate) enum Outcome {
    /// It follows the versions that demand this.
    Clear(Follows),
    /// It says nothing of the configuration.
    Unclear,
}

/// A version of the configuration.
#[value]
pub(crate) struct Version {
    /// Number of the version.
    pub(crate) number: u64,
    /// Service of the route to each path; none if there is no route.
    pub(crate) routes: Vec<Option<usize>>,
    /// Whether each key is known.
    pub(crate) keys: Vec<bool>,
    /// When the version was sent to the store.
    pub(crate) sent_at: Instant,
    /// When the store confirmed it; none before.
    pub(crate) confirmed_at: Option<Instant>,
}

/// A request and its answer.
#[value]
pub(crate) struct Probe {
    /// Number of the gateway.
    pub(crate) gateway: usize,
    /// Identifier of the attempt.
    pub(crate) attempt: String,
    /// Number of the path.
    pub(crate) path: usize,
    /// Number of the key.
    pub(crate) key: usize,
    /// When the request was sent.
    pub(crate) sent_at: Instant,
    /// When the answer arrived.
    pub(crate) ended_at: Instant,
    /// What the answer shows.
    pub(crate) outcome: Outcome,
}

/// Versions in the order in which they were written, and the times in which gateways were disturbed.
#[derive(Debug, Default)]
pub(crate) struct History {
    /// Versions.
    pub(crate) versions: Vec<Version>,
    /// Disturbances: the gateway, and when they began and ended.
    excuses: Vec<(usize, Instant, Instant)>,
}

impl Version {
    /// Returns the first version, with all keys and a route to every second path.
    pub(crate) fn first(paths: usize, keys: usize) -> Self {
        let routes = (0..paths).map(|path| path.is_multiple_of(2).then_some(0));
        Self {
            number: 1,
            routes: routes.collect(),
            keys: vec![true; keys],
            sent_at: Instant::now(),
            confirmed_at: None,
        }
    }

    /// Returns the next version, in which a route is added, moved or dropped, or a key is taken away or
    /// given back.
    pub(crate) fn next(&self, services: usize, random: &mut Pcg64Mcg) -> Self {
        let mut next = self.clone();
        next.number += random.random_range(1..4);
        next.confirmed_at = None;
        if random.random_bool(0.25) {
            let key = random.random_range(1..next.keys.len());
            next.keys[key] = !next.keys[key];
        } else {
            let path = random.random_range(0..next.routes.len());
            next.routes[path] = match next.routes[path] {
                None => Some(random.random_range(0..services)),
                Some(_) if random.random_bool(0.4) => None,
                Some(service) => Some((service + 1) % services),
            };
        }
        next
    }

    /// Returns what the version demands for a request.
    fn demand(&self, path: usize, key: usize) -> Follows {
        match self.routes[path] {
            None => Follows::NoRoute,
            Some(_) if !self.keys[key] => Follows::NoKey,
            Some(service) => Follows::Service(service),
        }
    }
}

impl History {
    /// Returns the last version.
    pub(crate) fn last(&self) -> Version {
        self.versions.last().expect("a first version").clone()
    }

    /// Records that a gateway was disturbed.
    pub(crate) fn excuse(&mut self, gateway: usize, from: Instant, to: Instant) {
        self.excuses.push((gateway, from, to));
    }

    /// Returns a line that describes the soak.
    pub(crate) fn summary(&self, probes: &[Probe]) -> String {
        let clear = |probe: &&Probe| probe.outcome != Outcome::Unclear;
        let judged = probes.iter().filter(|probe| !self.is_excused(probe));
        format!(
            "{} versions, {} disturbances, {} requests, {} clear answers, {} judged",
            self.versions.len(),
            self.excuses.len(),
            probes.len(),
            probes.iter().filter(clear).count(),
            judged.filter(clear).count(),
        )
    }

    /// Returns the answers that follow a version that is too old.
    pub(crate) fn violations(&self, probes: &[Probe]) -> Vec<String> {
        let mut violations: Vec<String> = probes
            .iter()
            .filter(|probe| !self.is_excused(probe))
            .filter_map(|probe| self.late(probe))
            .collect();
        violations.extend(self.regressions(probes));
        let excess = violations.len().saturating_sub(MAX_LISTED);
        if excess > 0 {
            violations.truncate(MAX_LISTED);
            violations.push(format!("and {excess} more"));
        }
        violations
    }

    /// Returns whether a fault excuses the answer to a request.
    fn is_excused(&self, probe: &Probe) -> bool {
        let excuses = self.excuses.iter();
        let mut excuses = excuses.filter(|(gateway, ..)| *gateway == probe.gateway);
        excuses.any(|(_, from, to)| *from <= probe.ended_at && probe.sent_at <= *to + CONTACT_TIME)
    }

    /// Returns the indexes of the versions that an answer follows, among those sent before it arrived.
    fn followed(&self, probe: &Probe) -> Vec<usize> {
        let Outcome::Clear(follows) = probe.outcome else {
            return Vec::new();
        };
        let versions = self.versions.iter().enumerate();
        let sent = versions.take_while(|(_, version)| version.sent_at <= probe.ended_at);
        let followed = sent.filter(|(_, version)| version.demand(probe.path, probe.key) == follows);
        followed.map(|(index, _)| index).collect()
    }

    /// Returns a violation if an answer follows only versions that may no longer be in force.
    fn late(&self, probe: &Probe) -> Option<String> {
        if probe.outcome == Outcome::Unclear {
            return None;
        }
        let due = |version: &Version| {
            let confirmed_at = version.confirmed_at;
            confirmed_at.is_some_and(|at| at + APPLY_TIME < probe.sent_at)
        };
        let oldest = self.versions.iter().rposition(due).unwrap_or(0);
        let followed = self.followed(probe);
        if followed.iter().any(|index| *index >= oldest) {
            return None;
        }
        let newest = followed.last().map(|index| self.versions[*index].number);
        let required = &self.versions[oldest];
        let age = required.confirmed_at.map(|at| probe.sent_at - at);
        Some(format!(
            "{} at gateway {}: {:?} follows {newest:?} at most; {} was confirmed {age:?} before",
            probe.attempt, probe.gateway, probe.outcome, required.number,
        ))
    }

    /// Returns the answers that follow only versions older than one whose effect an earlier answer of the
    /// same process has shown.
    fn regressions(&self, probes: &[Probe]) -> Vec<String> {
        let mut gateways: BTreeMap<usize, Vec<&Probe>> = BTreeMap::new();
        for probe in probes {
            gateways.entry(probe.gateway).or_default().push(probe);
        }
        let regressions = gateways.into_values();
        regressions
            .flat_map(|probes| self.regressions_of(probes))
            .collect()
    }

    /// Returns these answers of one gateway.
    fn regressions_of(&self, mut probes: Vec<&Probe>) -> Vec<String> {
        probes.sort_by_key(|probe| probe.ended_at);
        let ended: Vec<&Probe> = probes.clone();
        let mut ended = ended.into_iter().peekable();
        probes.sort_by_key(|probe| probe.sent_at);
        let mut newest: Option<(usize, &Probe)> = None;
        let mut violations = Vec::new();
        for probe in probes {
            while let Some(earlier) =
                ended.next_if(|earlier| earlier.ended_at + ROLLBACK_TIME < probe.sent_at)
            {
                let served = matches!(earlier.outcome, Outcome::Clear(Follows::Service(_)));
                let lowest = self.followed(earlier).first().copied().filter(|_| served);
                let seen = lowest.map(|lowest| (lowest, earlier));
                newest = match (newest, seen) {
                    (Some(known), Some(seen)) if known.0 >= seen.0 => Some(known),
                    (known, seen) => seen.or(known),
                };
            }
            newest = newest.filter(|(_, earlier)| !self.restarted_between(earlier, probe));
            let highest = self.followed(probe).last().copied();
            if let (Some((lowest, earlier)), Some(highest)) = (newest, highest)
                && highest < lowest
            {
                violations.push(format!(
                    "{} at gateway {}: {:?} follows {} at most, but {} had followed {}",
                    probe.attempt,
                    probe.gateway,
                    probe.outcome,
                    self.versions[highest].number,
                    earlier.attempt,
                    self.versions[lowest].number,
                ));
            }
        }
        violations
    }

    /// Returns whether a gateway was disturbed between two answers, and may have been started anew.
    fn restarted_between(&self, earlier: &Probe, later: &Probe) -> bool {
        let excuses = self.excuses.iter();
        let mut excuses = excuses.filter(|(gateway, ..)| *gateway == later.gateway);
        excuses.any(|(_, from, to)| *from <= later.ended_at && earlier.sent_at <= *to)
    }
}
