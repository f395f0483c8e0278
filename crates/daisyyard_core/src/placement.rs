//! Placement: which model each engine should serve, given the demand and the wishes of the preset
//! in force.

use std::collections::{BTreeMap, BTreeSet};
use std::time::{Duration, Instant};

use daisyyard_derive::{key, record};

use crate::id::{EndpointId, ServiceId};

/// Share of the engines that may load weights at the same time, as one engine in this many.
const ENGINES_PER_LOAD: usize = 10;
/// Time for which a model must be short of engines before an engine changes its model.
const SHORTAGE_TIME: Duration = Duration::from_mins(1);
/// Time after a change during which an engine is not changed again.
const REST_TIME: Duration = Duration::from_mins(5);

/// An engine as placement sees it.
#[record]
pub struct Engine {
    /// The engine.
    pub id: EndpointId,
    /// Model that it serves or loads.
    pub model: ServiceId,
    /// Phase of a change.
    pub phase: Phase,
    /// Running generations.
    pub running: u32,
}

/// Where an engine is in a change of its model.
#[key]
pub enum Phase {
    /// Serves its model.
    Serving,
    /// Finishes its generations before a change to another model.
    Draining(ServiceId),
    /// Loads weights and does not serve yet.
    Loading,
}

/// What a preset wishes for one model.
#[record]
pub struct Wish {
    /// The model.
    pub model: ServiceId,
    /// Engines that the model keeps in any case.
    pub minimum: usize,
    /// Engines that the demand calls for; may be fractional.
    pub demand: f64,
}

/// One step towards the wanted placement.
#[key]
pub enum Step {
    /// Send the engine no new work, since it will change to the model.
    Drain(EndpointId, ServiceId),
    /// Order the engine to load the model.
    Load(EndpointId, ServiceId),
}

/// Plans changes of models with hysteresis.
#[derive(Debug, Default)]
pub struct Planner {
    /// Since when each model has been short of engines.
    short: BTreeMap<ServiceId, Instant>,
    /// When each engine was last changed.
    changed: BTreeMap<EndpointId, Instant>,
}

impl Planner {
    /// Creates a planner.
    pub fn new() -> Self {
        Self::default()
    }

    /// Returns the steps to take now, at most one change begun a call.
    pub fn plan(&mut self, engines: &[Engine], wishes: &[Wish], now: Instant) -> Vec<Step> {
        let mut steps = loads(engines);
        let targets = targets(engines.len(), wishes);
        let Some(model) = self.shortest(engines, &targets, now) else {
            return steps;
        };
        if changing(engines) >= limit(engines.len()) {
            return steps;
        }
        if let Some(engine) = self.donor(engines, &targets, model, now) {
            self.changed.insert(engine, now);
            steps.push(Step::Drain(engine, model));
        }
        self.forget(engines);
        steps
    }

    /// Returns the model that has been short of engines for long enough and lacks the most.
    fn shortest(
        &mut self,
        engines: &[Engine],
        targets: &BTreeMap<ServiceId, usize>,
        now: Instant,
    ) -> Option<ServiceId> {
        let mut worst: Option<(usize, ServiceId)> = None;
        for (model, target) in targets {
            let lack = target.saturating_sub(heading(engines, *model));
            if lack == 0 {
                self.short.remove(model);
                continue;
            }
            let since = *self.short.entry(*model).or_insert(now);
            let unserved = serving(engines, *model) == 0;
            let waited = unserved || now.saturating_duration_since(since) >= SHORTAGE_TIME;
            if waited && worst.is_none_or(|(most, _)| lack > most) {
                worst = Some((lack, *model));
            }
        }
        worst.map(|(_, model)| model)
    }

    /// Returns the engine to change: of the model with the largest surplus, the least loaded.
    fn donor(
        &self,
        engines: &[Engine],
        targets: &BTreeMap<ServiceId, usize>,
        wanted: ServiceId,
        now: Instant,
    ) -> Option<EndpointId> {
        let rested = |engine: &&Engine| {
            let changed = self.changed.get(&engine.id);
            changed.is_none_or(|at| now.saturating_duration_since(*at) >= REST_TIME)
        };
        let surplus = |engine: &Engine| {
            let target = targets.get(&engine.model).copied().unwrap_or(0);
            serving(engines, engine.model).saturating_sub(target)
        };
        let donors = engines.iter().filter(|engine| {
            let other = engine.phase == Phase::Serving && engine.model != wanted;
            // The last engine of a model that anyone wishes for stays in service.
            let last = targets.contains_key(&engine.model) && serving(engines, engine.model) <= 1;
            other && !last && surplus(engine) > 0
        });
        let donor = donors.filter(rested).max_by_key(|engine| {
            (
                surplus(engine),
                std::cmp::Reverse(engine.running),
                std::cmp::Reverse(engine.id),
            )
        });
        donor.map(|engine| engine.id)
    }

    /// Drops what is remembered about engines that are gone.
    fn forget(&mut self, engines: &[Engine]) {
        let present: BTreeSet<EndpointId> = engines.iter().map(|engine| engine.id).collect();
        self.changed.retain(|engine, _| present.contains(engine));
    }
}

/// Returns the engines that have drained and can load their new model now.
fn loads(engines: &[Engine]) -> Vec<Step> {
    let loading = engines
        .iter()
        .filter(|engine| engine.phase == Phase::Loading)
        .count();
    let room = limit(engines.len()).saturating_sub(loading);
    let drained = engines.iter().filter(|engine| engine.running == 0);
    let step = |engine: &Engine| match engine.phase {
        Phase::Draining(model) => Some(Step::Load(engine.id, model)),
        Phase::Serving | Phase::Loading => None,
    };
    drained.filter_map(step).take(room).collect()
}

/// Returns how many engines each model should have: its minimum, then shares by demand.
fn targets(engines: usize, wishes: &[Wish]) -> BTreeMap<ServiceId, usize> {
    let mut targets: BTreeMap<ServiceId, usize> = wishes
        .iter()
        .map(|wish| (wish.model, wish.minimum))
        .collect();
    let mut left = engines.saturating_sub(targets.values().sum());
    while left > 0 {
        let lack = |wish: &&Wish| wish.demand - targets[&wish.model] as f64;
        let most = wishes
            .iter()
            .max_by(|one, two| lack(one).total_cmp(&lack(two)));
        let Some(wish) = most.filter(|wish| lack(wish) > 0.0) else {
            break;
        };
        targets.entry(wish.model).and_modify(|count| *count += 1);
        left -= 1;
    }
    targets
}

/// Returns how many engines may load weights at the same time.
fn limit(engines: usize) -> usize {
    engines.div_ceil(ENGINES_PER_LOAD)
}

/// Returns how many engines are in a change.
fn changing(engines: &[Engine]) -> usize {
    engines
        .iter()
        .filter(|engine| engine.phase != Phase::Serving)
        .count()
}

/// Returns how many engines serve a model now.
fn serving(engines: &[Engine], model: ServiceId) -> usize {
    let serves = |engine: &&Engine| engine.model == model && engine.phase == Phase::Serving;
    engines.iter().filter(serves).count()
}

/// Returns how many engines serve a model or are on their way to it.
fn heading(engines: &[Engine], model: ServiceId) -> usize {
    let heads = |engine: &&Engine| match engine.phase {
        Phase::Draining(next) => next == model,
        Phase::Serving | Phase::Loading => engine.model == model,
    };
    engines.iter().filter(heads).count()
}
