//! Completeness of answers in every experiment: each request ends, and no token is lost, repeated
//! or reordered.

use std::time::Duration;

use daisyyard_lab::deployment::Deployment;
use daisyyard_lab::experiment::Experiment;
use daisyyard_lab::report;
use daisyyard_lab::simulation::Policy;

/// Guards against lost, repeated or reordered tokens, and against requests that never end.
#[test]
fn all_requests_complete_or_are_refused() {
    for name in Deployment::NAMES {
        let deployment = Deployment::parse(name).expect("the deployment exists");
        for experiment in Experiment::all() {
            let experiment = experiment.shortened(Duration::from_secs(6));
            let report = report::measure(&deployment, &experiment, Policy::Daisyyard, 2);
            let ended = report.completed_whole + report.refused_not_run + report.interrupted;
            assert_eq!(ended, report.requests, "{name} {}", experiment.name);
            let faults = report.duplicate_tokens + report.missing_tokens + report.reordered_tokens;
            assert_eq!(faults, 0, "{name} {}", experiment.name);
            assert_eq!(report.interrupted, 0, "{name} {}", experiment.name);
        }
    }
}
