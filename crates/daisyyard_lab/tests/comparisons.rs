//! Comparison runs and reference policies.

use std::time::Duration;

use daisyyard_lab::deployment::Deployment;
use daisyyard_lab::experiment::Experiment;
use daisyyard_lab::report::{self, Report};
use daisyyard_lab::seed_sweep;
use daisyyard_lab::simulation::Policy;

/// Runs a shortened experiment in the deployment `association`.
fn run(name: &str, policy: Policy) -> Report {
    let deployment = Deployment::parse("association").expect("the deployment exists");
    let experiment = Experiment::parse(name).expect("the experiment exists");
    let experiment = experiment.shortened(Duration::from_secs(18));
    report::measure(&deployment, &experiment, policy, 1)
}

/// Guards against an upper bound that does not exceed the baselines.
#[test]
fn central_is_upper_bound() {
    let central = run("flood-urgent", Policy::Central);
    for policy in [Policy::RoundRobin, Policy::LeastLoaded] {
        let baseline = run("flood-urgent", policy);
        assert!(
            central.urgent_target_met > baseline.urgent_target_met,
            "{} {} against {}",
            policy.name(),
            baseline.urgent_target_met,
            central.urgent_target_met
        );
    }
}

/// Guards against comparison values that are missing, or present where no comparison run exists.
#[test]
fn comparison_values_where_defined() {
    let calm = run("ordinary", Policy::RoundRobin);
    assert_eq!(calm.deferrable_kept, None);
    assert_eq!(calm.small_account_target_met_alone, None);
    let flood = run("flood-urgent", Policy::RoundRobin);
    assert!(flood.deferrable_kept.is_some_and(|kept| kept > 0.0));
    let large = run("large-accounts", Policy::RoundRobin);
    assert!(large.small_account_target_met_alone.is_some());
}

/// Guards against parallel runs that change results or their order.
#[test]
fn parallel_runs_keep_results() {
    let deployment = Deployment::parse("pit-works").expect("the deployment exists");
    let experiment = Experiment::parse("ordinary").expect("the experiment exists");
    let experiment = experiment.shortened(Duration::from_secs(3));
    let seeds = [1, 2, 3, 4, 5];
    let parallel = seed_sweep::measure(&deployment, &experiment, Policy::Daisyyard, &seeds);
    for (report, seed) in parallel.iter().zip(seeds) {
        let single = report::measure(&deployment, &experiment, Policy::Daisyyard, seed);
        assert_eq!(format!("{report:?}"), format!("{single:?}"));
    }
}
