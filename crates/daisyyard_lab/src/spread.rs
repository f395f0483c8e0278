//! Several seeds of one experiment: mean and spread.

use std::collections::BTreeMap;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::mpsc;

use serde_json::{Value, json};

use crate::deployment::Deployment;
use crate::experiment::Experiment;
use crate::report::{self, Report};
use crate::simulation::Policy;

/// Threads that run seeds at the same time at most.
const THREADS: usize = 4;

/// Runs an experiment with each seed and returns the reports in the order of the seeds.
pub fn measure(
    deployment: &Deployment,
    experiment: &Experiment,
    policy: Policy,
    seeds: &[u64],
) -> Vec<Report> {
    let next = AtomicUsize::new(0);
    let (sender, receiver) = mpsc::channel();
    std::thread::scope(|scope| {
        for _ in 0..THREADS.min(seeds.len()) {
            let sender = sender.clone();
            let next = &next;
            scope.spawn(move || {
                while let Some(seed) = seeds.get(next.fetch_add(1, Ordering::Relaxed)) {
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

/// Returns the mean and the standard deviation of every number in the reports.
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
        let squares = numbers.iter().map(|number| (number - mean).powi(2));
        let deviation = (squares.sum::<f64>() / count).sqrt();
        (key, json!({ "mean": mean, "deviation": deviation }))
    });
    Value::Object(summary.collect())
}
