//! Ablation of parts of the decisions.

use std::time::Duration;

use daisyyard_lab::ablation::Part;
use daisyyard_lab::deployment::Deployment;
use daisyyard_lab::experiment::Experiment;
use daisyyard_lab::report;
use daisyyard_lab::simulation::Policy;

/// Guards against a part whose ablation has no effect or whose name does not select it.
#[test]
fn each_part_changes_results() {
    let run = |without| {
        let deployment = Deployment::parse("association").expect("the deployment exists");
        let experiment = Experiment::parse("flood-urgent").expect("the experiment exists");
        let experiment = Experiment {
            without,
            ..experiment.shortened(Duration::from_secs(12))
        };
        let report = report::measure(&deployment, &experiment, Policy::Daisyyard, 1);
        format!("{report:?}")
    };
    let full = run(None);
    for part in Part::ALL {
        assert_eq!(Part::parse(part.name()), Some(part));
        assert_ne!(run(Some(part)), full, "{}", part.name());
    }
}
