//! Every request ends, and every completed answer has all tokens in order, in every experiment.

use std::time::Duration;

use daisyyard_lab::bench::Policy;
use daisyyard_lab::deployment::Deployment;
use daisyyard_lab::experiment::Experiment;
use daisyyard_lab::report;

/// Guards against tokens that are lost, repeated or reordered, and against requests without end.
#[test]
fn all_requests_end_whole_or_refused() {
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
