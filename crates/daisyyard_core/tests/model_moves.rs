//! Guards against a placement that leaves a model without an engine, loads too many engines at
//! once, or oscillates.

use std::time::{Duration, Instant};

use daisyyard_core::placement::{Engine, Phase, Planner, Requirement, Step};
use proptest::prelude::*;

/// Applies steps to the engines without delay.
fn carry_out(engines: &mut [Engine], steps: &[Step]) {
    for step in steps {
        let (Step::Drain(id, model) | Step::Load(id, model)) = *step;
        let engine = engines
            .iter_mut()
            .find(|engine| engine.id == id)
            .expect("a known engine");
        match step {
            Step::Drain(..) => engine.phase = Phase::Draining(model),
            Step::Load(..) => {
                engine.phase = Phase::Loading;
                engine.model = model;
            }
        }
    }
}

proptest! {
    /// Under any demand, each required model that is served stays served, and at most one engine in
    /// ten, rounded up, loads at a time.
    #[test]
    fn stays_served(demands in proptest::collection::vec((0.0_f64..12.0, 0.0_f64..12.0), 1..60)) {
        let mut now = Instant::now();
        let mut planner = Planner::new();
        let mut engines: Vec<Engine> = (0..12)
            .map(|id| Engine { id, model: id % 2, phase: Phase::Serving, running: 1 })
            .collect();
        for (one, two) in demands {
            let requirements = [
                Requirement { model: 0, minimum: 1, demand: one },
                Requirement { model: 1, minimum: 1, demand: two },
            ];
            let steps = planner.plan(&engines, &requirements, now);
            carry_out(&mut engines, &steps);
            let loading = engines.iter().filter(|e| e.phase == Phase::Loading).count();
            prop_assert!(loading <= 2);
            for model in [0, 1] {
                let served = engines.iter().any(|e| e.model == model && e.phase == Phase::Serving);
                prop_assert!(served, "model {} is not served", model);
            }
            for engine in &mut engines {
                match engine.phase {
                    Phase::Draining(_) => engine.running = 0,
                    Phase::Loading => engine.phase = Phase::Serving,
                    Phase::Serving => engine.running = 1,
                }
            }
            now += Duration::from_secs(45);
        }
    }
}

/// A demand that alternates every half minute changes no engine.
#[test]
fn no_flapping() {
    let mut now = Instant::now();
    let mut planner = Planner::new();
    let engines: Vec<Engine> = (0..10)
        .map(|id| Engine {
            id,
            model: id % 2,
            phase: Phase::Serving,
            running: 1,
        })
        .collect();
    for round in 0..40 {
        let (one, two) = if round % 2 == 0 {
            (9.0, 1.0)
        } else {
            (1.0, 9.0)
        };
        let requirements = [
            Requirement {
                model: 0,
                minimum: 1,
                demand: one,
            },
            Requirement {
                model: 1,
                minimum: 1,
                demand: two,
            },
        ];
        assert!(planner.plan(&engines, &requirements, now).is_empty());
        now += Duration::from_secs(30);
    }
}

/// A model that no engine serves gets one at once.
#[test]
fn unserved_model() {
    let mut planner = Planner::new();
    let engines: Vec<Engine> = (0..4)
        .map(|id| Engine {
            id,
            model: 0,
            phase: Phase::Serving,
            running: 0,
        })
        .collect();
    let requirements = [
        Requirement {
            model: 0,
            minimum: 1,
            demand: 1.0,
        },
        Requirement {
            model: 5,
            minimum: 1,
            demand: 0.0,
        },
    ];
    let steps = planner.plan(&engines, &requirements, Instant::now());
    assert!(matches!(steps[..], [Step::Drain(_, 5)]));
}
