//! Determinism: results and arrivals depend only on the seed and the selected workload.

use std::time::Duration;

use daisyyard_lab::deployment::Deployment;
use daisyyard_lab::experiment::Experiment;
use daisyyard_lab::report;
use daisyyard_lab::simulation::Policy;
use daisyyard_lab::workload::{Selection, arrivals};

/// Runs a shortened experiment and returns its report as JSON.
fn run(policy: Policy, seed: u64) -> String {
    let deployment = Deployment::parse("association").expect("the deployment exists");
    let experiment = Experiment::parse("flood-deferrable").expect("the experiment exists");
    let experiment = experiment.shortened(Duration::from_secs(12));
    let report = report::measure(&deployment, &experiment, policy, seed);
    serde_json::to_string(&report).expect("a report has a text form")
}

/// Guards against decisions that depend on the order of a hash map or on the real clock.
#[test]
fn same_seed_gives_same_bytes() {
    for policy in Policy::ALL {
        assert_eq!(run(policy, 3), run(policy, 3), "{}", policy.name());
    }
}

/// Guards against a seed that is ignored.
#[test]
fn other_seed_gives_other_result() {
    assert_ne!(run(Policy::RoundRobin, 3), run(Policy::RoundRobin, 4));
}

/// Guards against comparison runs whose requests differ from those of the run that they are
/// compared with.
#[test]
fn selection_keeps_other_arrivals() {
    let deployment = Deployment::parse("association").expect("the deployment exists");
    let experiment = Experiment::parse("flood-urgent").expect("the experiment exists");
    let experiment = experiment.shortened(Duration::from_secs(12));
    let draw = |flood, large_accounts| {
        arrivals(
            &deployment,
            &experiment,
            5,
            &Selection {
                flood,
                large_accounts,
            },
        )
    };
    let key = |all: Vec<daisyyard_lab::workload::Arrival>| {
        let small = all.into_iter().filter(|arrival| !arrival.large_account);
        small
            .map(|arrival| (arrival.at, arrival.account, arrival.prompt, arrival.output))
            .collect::<Vec<_>>()
    };
    let (without_flood, full, small_only) =
        (draw(false, true), draw(true, true), draw(false, false));
    assert!(full.len() > 2 * without_flood.len());
    let full = key(full);
    let without_flood = key(without_flood);
    assert!(without_flood.iter().all(|arrival| full.contains(arrival)));
    assert_eq!(without_flood, key(small_only));
}
