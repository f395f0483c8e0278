//! Runs one experiment under one policy.

use daisyyard_core::id::RequestId;
use daisyyard_derive::key;
use std::time::Duration;

use crate::agenda::At;
use crate::baseline::{Baseline, Pick};
use crate::cache::Change;
use crate::caller::End;
use crate::central::Central;
use crate::deployment::Deployment;
use crate::engine::Gauge;
use crate::experiment::Experiment;
use crate::fleet::Fleet;
use crate::workload::{self, Parts};
use crate::world::{Event, World};

/// Time between two checks of what waits; the nodes of `serve` use the same.
const TICK: Duration = Duration::from_millis(20);
/// Time between two load reports of an engine.
const MEASURE: Duration = Duration::from_millis(500);
/// Time between two progress reports of a generation.
const SECOND: Duration = Duration::from_secs(1);

/// Longest time after the last arrival; without it a request that never ends would hang the run.
const DRAIN: Duration = Duration::from_mins(30);

/// How requests are placed on engines.
#[key]
pub enum Policy {
    /// The decisions of `daisyyard_core`.
    Daisyyard,
    /// Each engine in turn.
    RoundRobin,
    /// The least loaded engine by its last report.
    LeastLoaded,
    /// One queue that sees everything: an upper bound.
    Central,
}

impl Policy {
    /// All policies.
    pub const ALL: [Self; 4] = [
        Self::Daisyyard,
        Self::RoundRobin,
        Self::LeastLoaded,
        Self::Central,
    ];

    /// Returns the name on the command line.
    pub fn name(self) -> &'static str {
        match self {
            Self::Daisyyard => "daisyyard",
            Self::RoundRobin => "round-robin",
            Self::LeastLoaded => "least-loaded",
            Self::Central => "central",
        }
    }

    /// Returns the policy with the given name.
    pub fn parse(name: &str) -> Option<Self> {
        Self::ALL.into_iter().find(|policy| policy.name() == name)
    }
}

/// The nodes in front of the engines under one policy.
#[derive(Debug)]
enum Front {
    /// Nodes of daisyfleet.
    Fleet(Box<Fleet>),
    /// Nodes of a baseline.
    Baseline(Baseline),
    /// The one queue.
    Central(Central),
}

/// Runs an experiment with some parts of its workload and returns the deployment at the end.
pub fn run(
    deployment: &Deployment,
    experiment: &Experiment,
    policy: Policy,
    seed: u64,
    parts: &Parts,
) -> World {
    let arrivals = workload::arrivals(deployment, experiment, seed, parts);
    let mut world = World::new(deployment.clone(), experiment.clone(), seed, arrivals);
    let mut front = match policy {
        Policy::Daisyyard => Front::Fleet(Box::new(Fleet::new(&world))),
        Policy::RoundRobin => Front::Baseline(Baseline::new(Pick::RoundRobin, &mut world)),
        Policy::LeastLoaded => Front::Baseline(Baseline::new(Pick::LeastLoaded, &mut world)),
        Policy::Central => Front::Central(Central::new(&world)),
    };
    while world.open > 0
        && world.agenda.now() < experiment.duration + DRAIN
        && let Some(event) = world.agenda.take()
    {
        handle(&mut world, &mut front, event);
    }
    world
}

/// Carries out one event.
fn handle(world: &mut World, front: &mut Front, event: Event) {
    match event {
        Event::Arrive(request) => arrive(world, front, request),
        Event::Submit(engine, job) => {
            world.engines[engine].submit(job);
            world.step(engine);
        }
        Event::Cancel(engine, request) => {
            world.engines[engine].cancel(request);
            world.step(engine);
        }
        Event::Step(engine) => world.finish(engine),
        Event::Done(engine, request) => done(world, front, engine, request),
        Event::Measure => {
            world.measure();
            world.agenda.after(MEASURE, Event::Measure);
        }
        Event::Report(engine, gauge, taken, changes) => {
            report(world, front, engine, &gauge, taken, &changes);
        }
        Event::Tick => {
            match front {
                Front::Fleet(fleet) => fleet.tick(world),
                Front::Central(central) => central.tick(world),
                Front::Baseline(_) => {}
            }
            world.agenda.after(TICK, Event::Tick);
        }
        Event::Second => {
            if let Front::Fleet(fleet) = front {
                fleet.second(world);
            }
            world.agenda.after(SECOND, Event::Second);
        }
        Event::Patience(request) => Baseline::patience(world, request),
        Event::Message(message) => {
            if let Front::Fleet(fleet) = front {
                fleet.message(world, message);
            }
        }
        Event::Cut(cut) => {
            world.sever(cut);
            if let Front::Fleet(fleet) = front {
                fleet.cut(world);
            }
        }
        Event::Reconnect(request) => world.reconnect(request),
    }
}

/// Gives a new request to its node.
fn arrive(world: &mut World, front: &mut Front, request: RequestId) {
    match front {
        Front::Fleet(fleet) => fleet.arrive(world, request),
        Front::Baseline(baseline) => baseline.arrive(world, request),
        Front::Central(central) => central.arrive(world, request),
    }
}

/// Ends a request whose last token arrived.
fn done(world: &mut World, front: &mut Front, engine: usize, request: RequestId) {
    match front {
        Front::Fleet(fleet) => fleet.done(world, engine, request),
        Front::Baseline(_) => world.end(request, End::Whole),
        Front::Central(central) => central.done(world, engine, request),
    }
}

/// Gives a load report to the nodes.
fn report(
    world: &mut World,
    front: &mut Front,
    engine: usize,
    gauge: &Gauge,
    taken: At,
    changes: &[Change],
) {
    match front {
        Front::Fleet(fleet) => fleet.report(world, engine, gauge, taken, changes),
        Front::Baseline(baseline) => baseline.report(engine, gauge),
        Front::Central(_) => {}
    }
}
