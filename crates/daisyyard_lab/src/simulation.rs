//! Simulation of one experiment under one policy.

use daisyyard_core::id::RequestId;
use daisyyard_derive::key;
use std::time::Duration;

use crate::baseline::{Baseline, Strategy};
use crate::cache::Change;
use crate::caller::Outcome;
use crate::central::Scheduler;
use crate::deployment::Deployment;
use crate::engine::Stats;
use crate::event_queue::Time;
use crate::experiment::Experiment;
use crate::fleet::Fleet;
use crate::workload::{self, Selection};
use crate::world::{Event, World};

/// Interval at which nodes process their queues and timeouts, the same as in `serve`.
const TICK_INTERVAL: Duration = Duration::from_millis(20);
/// Interval between two load reports of an engine.
const LOAD_REPORT_INTERVAL: Duration = Duration::from_millis(500);
/// Interval between two progress reports of a generation and between two digests of an engine.
const PUBLISH_INTERVAL: Duration = Duration::from_secs(1);

/// Maximum virtual time after the last arrival. Without it, a request that never ends would make
/// the run loop forever.
const DRAIN_TIMEOUT: Duration = Duration::from_mins(30);

/// Policy that places requests on engines.
#[key]
pub enum Policy {
    /// The decisions of `daisyyard_core`.
    Daisyyard,
    /// Round robin over the engines.
    RoundRobin,
    /// The least loaded engine, judged by its last load report and the sends since.
    LeastLoaded,
    /// Central queue with complete knowledge, as an upper bound.
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

    /// Returns the name used on the command line and in reports.
    pub fn name(self) -> &'static str {
        match self {
            Self::Daisyyard => "daisyyard",
            Self::RoundRobin => "round-robin",
            Self::LeastLoaded => "least-loaded",
            Self::Central => "central",
        }
    }

    /// Returns the policy with the given name, if there is one.
    pub fn parse(name: &str) -> Option<Self> {
        Self::ALL.into_iter().find(|policy| policy.name() == name)
    }
}

/// Nodes in front of the engines, by policy.
#[derive(Debug)]
enum Frontend {
    /// Nodes that run the decisions of `daisyyard_core`.
    Fleet(Box<Fleet>),
    /// Nodes that run a baseline strategy.
    Baseline(Baseline),
    /// Central queue.
    Central(Scheduler),
}

/// Runs an experiment with the selected parts of its workload and returns the final state.
pub fn run(
    deployment: &Deployment,
    experiment: &Experiment,
    policy: Policy,
    seed: u64,
    selection: &Selection,
) -> World {
    let arrivals = workload::arrivals(deployment, experiment, seed, selection);
    let mut world = World::new(deployment.clone(), experiment.clone(), seed, arrivals);
    let mut frontend = match policy {
        Policy::Daisyyard => Frontend::Fleet(Box::new(Fleet::new(&world))),
        Policy::RoundRobin => Frontend::Baseline(Baseline::new(Strategy::RoundRobin, &mut world)),
        Policy::LeastLoaded => Frontend::Baseline(Baseline::new(Strategy::LeastLoaded, &mut world)),
        Policy::Central => Frontend::Central(Scheduler::new(&world)),
    };
    while world.open_requests > 0
        && world.events.now() < experiment.duration + DRAIN_TIMEOUT
        && let Some(event) = world.events.pop()
    {
        handle_event(&mut world, &mut frontend, event);
    }
    world
}

/// Handles one event.
fn handle_event(world: &mut World, frontend: &mut Frontend, event: Event) {
    match event {
        Event::Arrive(request) => handle_arrival(world, frontend, request),
        Event::Submit(engine, job) => {
            world.engines[engine].submit(job);
            world.start_step(engine);
        }
        Event::Cancel(engine, request) => {
            world.engines[engine].cancel(request);
            world.start_step(engine);
        }
        Event::StepEnd(engine) => world.finish_step(engine),
        Event::Done(engine, request) => handle_completion(world, frontend, engine, request),
        Event::MeasureLoad => {
            world.measure_load();
            world
                .events
                .schedule_after(LOAD_REPORT_INTERVAL, Event::MeasureLoad);
        }
        Event::LoadReport(engine, stats, measured_at, changes) => {
            handle_report(world, frontend, engine, &stats, measured_at, &changes);
        }
        Event::Tick => {
            match frontend {
                Frontend::Fleet(fleet) => fleet.tick(world),
                Frontend::Central(central) => central.tick(world),
                Frontend::Baseline(_) => {}
            }
            world.events.schedule_after(TICK_INTERVAL, Event::Tick);
        }
        Event::Publish => {
            if let Frontend::Fleet(fleet) = frontend {
                fleet.publish(world);
            }
            world
                .events
                .schedule_after(PUBLISH_INTERVAL, Event::Publish);
        }
        Event::QueueTimeout(request) => Baseline::handle_queue_timeout(world, request),
        Event::Message(message) => {
            if let Frontend::Fleet(fleet) = frontend {
                fleet.handle_message(world, message);
            }
        }
        Event::Split(split) => {
            world.set_split(split);
            if let Frontend::Fleet(fleet) = frontend {
                fleet.handle_split_change(world);
            }
        }
        Event::Reconnect(request) => world.reconnect(request),
    }
}

/// Passes a new request to the policy.
fn handle_arrival(world: &mut World, frontend: &mut Frontend, request: RequestId) {
    match frontend {
        Frontend::Fleet(fleet) => fleet.handle_arrival(world, request),
        Frontend::Baseline(baseline) => baseline.handle_arrival(world, request),
        Frontend::Central(central) => central.handle_arrival(world, request),
    }
}

/// Completes a request whose last token reached its node.
fn handle_completion(
    world: &mut World,
    frontend: &mut Frontend,
    engine: usize,
    request: RequestId,
) {
    match frontend {
        Frontend::Fleet(fleet) => fleet.handle_completion(world, engine, request),
        Frontend::Baseline(_) => world.end_request(request, Outcome::Completed),
        Frontend::Central(central) => central.handle_completion(world, engine, request),
    }
}

/// Passes a load report to the policy; the central queue reads the engines directly.
fn handle_report(
    world: &mut World,
    frontend: &mut Frontend,
    engine: usize,
    stats: &Stats,
    measured_at: Time,
    changes: &[Change],
) {
    match frontend {
        Frontend::Fleet(fleet) => fleet.handle_report(world, engine, stats, measured_at, changes),
        Frontend::Baseline(baseline) => baseline.handle_report(engine, stats),
        Frontend::Central(_) => {}
    }
}
