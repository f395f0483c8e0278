//! Metrics of a gateway in the Prometheus text format.

use std::sync::Arc;
use std::time::Duration;

use anyhow::Context;
use metrics::{Key, KeyName, Label, Level, Metadata, Recorder};
use metrics_exporter_prometheus::{
    Matcher, PrometheusBuilder, PrometheusHandle, PrometheusRecorder,
};

/// Histogram buckets of the response latency, in seconds.
const LATENCY_BUCKETS_SECONDS: [f64; 12] = [
    0.02, 0.05, 0.1, 0.2, 0.5, 1.0, 1.5, 2.0, 4.0, 8.0, 16.0, 40.0,
];
/// Counter of requests by kind and outcome.
const REQUESTS: &str = "daisyyard_gateway_requests_total";
/// Histogram of the time until the end of a request.
const LATENCY: &str = "daisyyard_gateway_answer_seconds";
/// Counter of retries by reason.
const RETRIES: &str = "daisyyard_gateway_repeats_total";
/// Counter of runs that moved to another engine, by means.
const MOVES: &str = "daisyyard_gateway_moves_total";
/// Counter of runs that endpoints broke off early, by kind.
const BROKEN: &str = "daisyyard_gateway_broken_runs_total";
/// Counter of admitted and refused requests by account and outcome.
const ADMISSIONS: &str = "daisyyard_gateway_admissions_total";
/// Module and level under which the metrics are registered.
const ORIGIN: Metadata<'static> = Metadata::new(module_path!(), Level::INFO, Some(module_path!()));

/// Metrics of one gateway.
#[derive(Debug, Clone)]
pub(crate) struct Metrics {
    /// Registers and updates the metrics.
    recorder: Arc<PrometheusRecorder>,
    /// Renders the metrics as text.
    handle: PrometheusHandle,
}

impl Metrics {
    /// Creates the metrics of a gateway.
    pub(crate) fn new() -> anyhow::Result<Self> {
        let matcher = Matcher::Full(LATENCY.to_owned());
        let builder =
            PrometheusBuilder::new().set_buckets_for_metric(matcher, &LATENCY_BUCKETS_SECONDS);
        let builder = builder.context("the latency buckets are invalid")?;
        let recorder = builder.build_recorder();
        let handle = recorder.handle();
        Ok(Self {
            recorder: Arc::new(recorder),
            handle,
        })
    }

    /// Returns all metrics as text.
    pub(crate) fn render(&self) -> String {
        self.handle.run_upkeep();
        self.handle.render()
    }

    /// Counts a request that has ended and records its latency.
    pub(crate) fn record_end(&self, kind: &'static str, outcome: &'static str, latency: Duration) {
        self.count(REQUESTS, &[("kind", kind), ("outcome", outcome)]);
        let key = Key::from_parts(KeyName::from_const_str(LATENCY), &[("kind", kind)]);
        let histogram = self.recorder.register_histogram(&key, &ORIGIN);
        histogram.record(latency.as_secs_f64());
    }

    /// Counts a retry.
    pub(crate) fn record_retry(&self, reason: &'static str) {
        self.count(RETRIES, &[("reason", reason)]);
    }

    /// Counts a run that moved to another engine, or failed to.
    pub(crate) fn record_move(&self, means: &'static str) {
        self.count(MOVES, &[("means", means)]);
    }

    /// Counts a run that its endpoint broke off before it had gone well.
    pub(crate) fn record_break(&self, kind: &'static str) {
        self.count(BROKEN, &[("kind", kind)]);
    }

    /// Counts a request of an account that was started or refused.
    pub(crate) fn record_admission(&self, account: &str, outcome: &'static str) {
        let labels = vec![
            Label::new("account", account.to_owned()),
            Label::new("outcome", outcome),
        ];
        let key = Key::from_parts(KeyName::from_const_str(ADMISSIONS), labels);
        self.recorder.register_counter(&key, &ORIGIN).increment(1);
    }

    /// Increments a counter.
    fn count(&self, name: &'static str, labels: &[(&'static str, &'static str)]) {
        let key = Key::from_parts(KeyName::from_const_str(name), labels);
        self.recorder.register_counter(&key, &ORIGIN).increment(1);
    }
}
