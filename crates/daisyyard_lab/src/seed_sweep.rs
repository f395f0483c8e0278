//! Runs of one experiment with several seeds, and their mean and standard deviation.

use std::collections::BTreeMap;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::mpsc;

use serde_json::{Value, json};

use crate::deployment::Deployment;
use crate::experiment::Experiment;
use crate::report::{self, Report};
use crate::simulation::Policy;

/// Threads that run the experiment concurrently.
const MAX_THREADS: usize = 4;

/// Runs an experiment with each seed and returns a report per distinct seed, by ascending seed.
pub fn measure(
    deployment: &Deployment,
    experiment: &Experiment,
    policy: Policy,
    seeds: &[u64],
) -> Vec<Report> {
    let next_index = AtomicUsize::new(0);
    let (sender, receiver) = mpsc::channel();
    std::thread::scope(|scope| {
        for _ in 0..MAX_THREADS.min(seeds.len()) {
            let sender = sender.clone();
            let next_index = &next_index;
            scope.spawn(move || {
                while let Some(seed) = seeds.get(next_index.fetch_add(1, Ordering::Relaxed)) {
                    let report = report::measure(deployment, experiment, policy, *seed);
                    if sender.send((*seed, report)).is_err() {
                        return;
                    }
                }
            });
        }
    });
    drop(sender);
    let reports: BTreeMap<u64, Report> = receiver.into_iter().collect();
    reports.into_values().collect()
}

/// Returns the mean and the standard deviation of each numeric field of the reports but the seed.
pub fn summarise(reports: &[Report]) -> Value {
    let mut numbers: BTreeMap<String, Vec<f64>> = BTreeMap::new();
    for report in reports {
        let value = serde_json::to_value(report).unwrap_or(Value::Null);
        for (key, value) in value.as_object().into_iter().flatten() {
            if let Some(number) = value.as_f64()
                && key != "seed"
            {
                numbers.entry(key.clone()).or_default().push(number);
            }
        }
    }
    let summary = numbers.into_iter().map(|(key, numbers)| {
        let count = numbers.len() as f64;
        let mean = numbers.iter().sum::<f64>() / count;
        let squared_errors = numbers.iter().map(|number| (number - mean).powi(2));
        let deviation = (squared_errors.sum::<f64>() / count).sqrt();
        (key, json!({ "mean": mean, "deviation": deviation }))
    });
    Value::Object(summary.collect())
}
