//! Placement of models on engines, according to the demand and the preset in force.

use std::collections::{BTreeMap, BTreeSet};
use std::time::{Duration, Instant};

use daisyyard_derive::{key, record};

use crate::id::{EndpointId, ServiceId};

/// One engine in this many may load weights at the same time.
const ENGINES_PER_LOAD: usize = 10;
/// Time for which a model must lack engines before an engine changes to it.
const SHORTAGE_TIME: Duration = Duration::from_mins(1);
/// Time after a change of model during which an engine does not change again.
const COOLDOWN: Duration = Duration::from_mins(5);

/// State of an engine that the placement depends on.
#[record]
pub struct Engine {
    /// Identifier of the engine.
    pub id: EndpointId,
    /// Model that the engine serves or loads.
    pub model: ServiceId,
    /// Phase of a change of model.
    pub phase: Phase,
    /// Number of running generations.
    pub running: u32,
}

/// Phase of an engine in a change of its model.
#[key]
pub enum Phase {
    /// The engine serves its model.
    Serving,
    /// The engine finishes its generations before it changes to another model.
    Draining(ServiceId),
    /// The engine loads weights and does not serve yet.
    Loading,
}

/// Engines required for one model.
#[record]
pub struct Requirement {
    /// Identifier of the model.
    pub model: ServiceId,
    /// Smallest number of engines, regardless of the demand.
    pub minimum: usize,
    /// Number of engines that the demand calls for; may be fractional.
    pub demand: f64,
}

/// A step towards the target placement.
#[key]
pub enum Step {
    /// Send the engine no new requests, because it will change to the model.
    Drain(EndpointId, ServiceId),
    /// Order the engine to load the model.
    Load(EndpointId, ServiceId),
}

/// Plans changes of models, with hysteresis against frequent changes.
#[derive(Debug, Default)]
pub struct Planner {
    /// Models that lack engines, with the time since when they do.
    short_since: BTreeMap<ServiceId, Instant>,
    /// Time of the last change of each engine.
    changed_at: BTreeMap<EndpointId, Instant>,
}

impl Planner {
    /// Creates a planner without a history of changes.
    pub fn new() -> Self {
        Self::default()
    }

    /// Returns the steps to take now; each call starts at most one change.
    pub fn plan(
        &mut self,
        engines: &[Engine],
        requirements: &[Requirement],
        now: Instant,
    ) -> Vec<Step> {
        let mut steps = ready_loads(engines);
        let targets = targets(engines.len(), requirements);
        let Some(model) = self.largest_deficit(engines, &targets, now) else {
            return steps;
        };
        if changing(engines) >= max_changing(engines.len()) {
            return steps;
        }
        if let Some(engine) = self.donor(engines, &targets, model, now) {
            self.changed_at.insert(engine, now);
            steps.push(Step::Drain(engine, model));
        }
        self.forget(engines);
        steps
    }

    /// Returns the model with the largest deficit among those that have lacked engines for long
    /// enough or that no engine serves.
    fn largest_deficit(
        &mut self,
        engines: &[Engine],
        targets: &BTreeMap<ServiceId, usize>,
        now: Instant,
    ) -> Option<ServiceId> {
        let mut worst: Option<(usize, ServiceId)> = None;
        for (model, target) in targets {
            let deficit = target.saturating_sub(assigned(engines, *model));
            if deficit == 0 {
                self.short_since.remove(model);
                continue;
            }
            let since = *self.short_since.entry(*model).or_insert(now);
            let unserved = serving(engines, *model) == 0;
            let waited = unserved || now.saturating_duration_since(since) >= SHORTAGE_TIME;
            if waited && worst.is_none_or(|(most, _)| deficit > most) {
                worst = Some((deficit, *model));
            }
        }
        worst.map(|(_, model)| model)
    }

    /// Returns the engine to change: the least loaded one of the model with the largest surplus.
    fn donor(
        &self,
        engines: &[Engine],
        targets: &BTreeMap<ServiceId, usize>,
        wanted: ServiceId,
        now: Instant,
    ) -> Option<EndpointId> {
        let cooled_down = |engine: &&Engine| {
            let changed = self.changed_at.get(&engine.id);
            changed.is_none_or(|at| now.saturating_duration_since(*at) >= COOLDOWN)
        };
        let surplus = |engine: &Engine| {
            let target = targets.get(&engine.model).copied().unwrap_or(0);
            serving(engines, engine.model).saturating_sub(target)
        };
        let donors = engines.iter().filter(|engine| {
            let other = engine.phase == Phase::Serving && engine.model != wanted;
            // The last engine of a required model keeps serving it.
            let last = targets.contains_key(&engine.model) && serving(engines, engine.model) <= 1;
            other && !last && surplus(engine) > 0
        });
        let donor = donors.filter(cooled_down).max_by_key(|engine| {
            (
                surplus(engine),
                std::cmp::Reverse(engine.running),
                std::cmp::Reverse(engine.id),
            )
        });
        donor.map(|engine| engine.id)
    }

    /// Removes the history of engines that no longer exist.
    fn forget(&mut self, engines: &[Engine]) {
        let present: BTreeSet<EndpointId> = engines.iter().map(|engine| engine.id).collect();
        self.changed_at.retain(|engine, _| present.contains(engine));
    }
}

/// Returns the load steps of drained engines, within the limit on concurrent loads.
fn ready_loads(engines: &[Engine]) -> Vec<Step> {
    let loading = engines
        .iter()
        .filter(|engine| engine.phase == Phase::Loading)
        .count();
    let room = max_changing(engines.len()).saturating_sub(loading);
    let drained = engines.iter().filter(|engine| engine.running == 0);
    let step = |engine: &Engine| match engine.phase {
        Phase::Draining(model) => Some(Step::Load(engine.id, model)),
        Phase::Serving | Phase::Loading => None,
    };
    drained.filter_map(step).take(room).collect()
}

/// Returns the target number of engines of each model: its minimum, plus engines by unmet demand.
fn targets(engines: usize, requirements: &[Requirement]) -> BTreeMap<ServiceId, usize> {
    let mut targets: BTreeMap<ServiceId, usize> = requirements
        .iter()
        .map(|requirement| (requirement.model, requirement.minimum))
        .collect();
    let mut left = engines.saturating_sub(targets.values().sum());
    while left > 0 {
        let unmet =
            |requirement: &&Requirement| requirement.demand - targets[&requirement.model] as f64;
        let most = requirements
            .iter()
            .max_by(|one, two| unmet(one).total_cmp(&unmet(two)));
        let Some(requirement) = most.filter(|requirement| unmet(requirement) > 0.0) else {
            break;
        };
        targets
            .entry(requirement.model)
            .and_modify(|count| *count += 1);
        left -= 1;
    }
    targets
}

/// Returns the number of engines that may load weights at the same time.
fn max_changing(engines: usize) -> usize {
    engines.div_ceil(ENGINES_PER_LOAD)
}

/// Returns the number of engines that are changing their model.
fn changing(engines: &[Engine]) -> usize {
    engines
        .iter()
        .filter(|engine| engine.phase != Phase::Serving)
        .count()
}

/// Returns the number of engines that serve a model now.
fn serving(engines: &[Engine], model: ServiceId) -> usize {
    let serves = |engine: &&Engine| engine.model == model && engine.phase == Phase::Serving;
    engines.iter().filter(serves).count()
}

/// Returns the number of engines that serve a model or are changing to it.
fn assigned(engines: &[Engine], model: ServiceId) -> usize {
    let assigned = |engine: &&Engine| match engine.phase {
        Phase::Draining(next) => next == model,
        Phase::Serving | Phase::Loading => engine.model == model,
    };
    engines.iter().filter(assigned).count()
}
