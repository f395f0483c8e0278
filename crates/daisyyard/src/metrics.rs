//! Metrics of one node in the Prometheus text format.

use std::collections::HashMap;
use std::sync::Arc;
use std::time::Duration;

use anyhow::Context;
use daisyyard_core::id::{self, ServiceId};
use metrics::{Counter, Gauge, Histogram, Unit};
use metrics_exporter_prometheus::PrometheusRecorder;
use metrics_exporter_prometheus::{Matcher, PrometheusBuilder, PrometheusHandle};

/// Buckets of the time to the first token and of the admission wait; the target is 0.51 s.
const FIRST_TOKEN_BUCKETS_S: [f64; 13] = [
    0.05, 0.1, 0.2, 0.3, 0.4, 0.51, 0.65, 0.8, 1.0, 2.0, 5.0, 10.0, 30.0,
];
/// Buckets of the time between tokens; the targets are 31 ms and 62 ms.
const TOKEN_GAP_BUCKETS_S: [f64; 13] = [
    0.005, 0.01, 0.015, 0.02, 0.025, 0.031, 0.04, 0.05, 0.062, 0.1, 0.25, 1.0, 5.0,
];
/// Label of services that the settings do not name, so that callers cannot create labels.
const OTHER_SERVICE: &str = "other";

/// Rank label of calls to plain services, which have no rank.
const PLAIN_CALL: &str = "call";

/// Counter of requests by service, rank and verdict.
const REQUESTS: &str = "daisyyard_requests_total";
/// Counter of tokens delivered to callers.
const TOKENS_DELIVERED: &str = "daisyyard_tokens_delivered_total";
/// Histogram of the time to the first token.
const FIRST_TOKEN: &str = "daisyyard_first_token_seconds";
/// Histogram of the time between tokens.
const TOKEN_GAP: &str = "daisyyard_token_gap_seconds";
/// Histogram of the time to route and admit one attempt.
const ADMISSION_WAIT: &str = "daisyyard_admission_wait_seconds";
/// Counter of attempts after the first.
const RETRIES: &str = "daisyyard_retries_total";
/// Counter of answers that ended before they were complete.
const INTERRUPTIONS: &str = "daisyyard_interruptions_total";
/// Counter of tokens that were dropped, by reason.
const TOKENS_DROPPED: &str = "daisyyard_tokens_dropped_total";
/// Gauge of requests in progress.
const OPEN_STREAMS: &str = "daisyyard_open_streams";
/// Counter of calls to plain services, by verdict.
const CALLS: &str = "daisyyard_calls_total";

/// Metrics of one node; each node has its own recorder, so that several nodes can share a process.
#[derive(Debug, Clone)]
pub(crate) struct Metrics {
    /// Holds the series.
    recorder: Arc<PrometheusRecorder>,
    /// Renders the series as text.
    handle: PrometheusHandle,
    /// Names of the services in the settings, used as labels.
    names: Arc<HashMap<ServiceId, String>>,
}

/// Series of one service and rank, looked up once per request.
#[derive(Debug)]
pub(crate) struct Series {
    /// Tokens delivered.
    pub(crate) tokens: Counter,
    /// Time to the first token.
    pub(crate) first_token: Histogram,
    /// Time between tokens.
    pub(crate) token_gap: Histogram,
    /// Time to route and admit one attempt.
    pub(crate) admission_wait: Histogram,
    /// Attempts after the first one.
    pub(crate) retries: Counter,
    /// Tokens dropped because the caller already had them.
    pub(crate) duplicates: Counter,
    /// Tokens dropped because they belong to another generation.
    pub(crate) foreign: Counter,
    /// Requests in progress.
    pub(crate) open_streams: Gauge,
}

impl Metrics {
    /// Creates the metrics of a node that serves the named services.
    pub(crate) fn new(services: &[String]) -> anyhow::Result<Self> {
        let exact = |name: &str| Matcher::Full(name.to_owned());
        let recorder = PrometheusBuilder::new()
            .set_buckets_for_metric(exact(FIRST_TOKEN), &FIRST_TOKEN_BUCKETS_S)
            .and_then(|builder| {
                builder.set_buckets_for_metric(exact(ADMISSION_WAIT), &FIRST_TOKEN_BUCKETS_S)
            })
            .and_then(|builder| {
                builder.set_buckets_for_metric(exact(TOKEN_GAP), &TOKEN_GAP_BUCKETS_S)
            })
            .context("the buckets of the metrics are invalid")?
            .build_recorder();
        let named = services.iter().map(|name| (id::of(name), name.clone()));
        let metrics = Self {
            handle: recorder.handle(),
            recorder: Arc::new(recorder),
            names: Arc::new(named.collect()),
        };
        metrics.with_recorder(describe_all);
        Ok(metrics)
    }

    /// Runs a closure that records its metrics with this node's recorder.
    fn with_recorder<T>(&self, action: impl FnOnce() -> T) -> T {
        metrics::with_local_recorder(self.recorder.as_ref(), action)
    }

    /// Returns the label of a service.
    fn label(&self, service: ServiceId) -> String {
        let name = self.names.get(&service);
        name.map_or_else(|| OTHER_SERVICE.to_owned(), Clone::clone)
    }

    /// Looks up the series of a service and rank.
    pub(crate) fn series(&self, service: ServiceId, rank: &'static str) -> Series {
        let labels = [("service", self.label(service)), ("rank", rank.to_owned())];
        let dropped = |reason: &'static str| {
            let [service, rank] = labels.clone();
            let labels = [service, rank, ("reason", reason.to_owned())];
            metrics::counter!(TOKENS_DROPPED, &labels)
        };
        self.with_recorder(|| Series {
            tokens: metrics::counter!(TOKENS_DELIVERED, &labels),
            first_token: metrics::histogram!(FIRST_TOKEN, &labels),
            token_gap: metrics::histogram!(TOKEN_GAP, &labels),
            admission_wait: metrics::histogram!(ADMISSION_WAIT, &labels),
            retries: metrics::counter!(RETRIES, &labels),
            duplicates: dropped("duplicate"),
            foreign: dropped("foreign"),
            open_streams: metrics::gauge!(OPEN_STREAMS, &labels),
        })
    }

    /// Counts a generation request that ended.
    pub(crate) fn request_ended(
        &self,
        service: ServiceId,
        rank: &'static str,
        verdict: &'static str,
    ) {
        let labels = [
            ("service", self.label(service)),
            ("rank", rank.to_owned()),
            ("verdict", verdict.to_owned()),
        ];
        self.with_recorder(|| metrics::counter!(REQUESTS, &labels).increment(1));
    }

    /// Counts an answer that ended before it was complete.
    pub(crate) fn answer_interrupted(&self, service: ServiceId, rank: &'static str) {
        let labels = [("service", self.label(service)), ("rank", rank.to_owned())];
        self.with_recorder(|| metrics::counter!(INTERRUPTIONS, &labels).increment(1));
    }

    /// Counts an attempt after the first of a call to a plain service.
    pub(crate) fn call_retried(&self, service: ServiceId) {
        let labels = [
            ("service", self.label(service)),
            ("rank", PLAIN_CALL.to_owned()),
        ];
        self.with_recorder(|| metrics::counter!(RETRIES, &labels).increment(1));
    }

    /// Counts a call to a plain service that ended.
    pub(crate) fn call_ended(&self, service: ServiceId, verdict: &'static str) {
        let labels = [
            ("service", self.label(service)),
            ("verdict", verdict.to_owned()),
        ];
        self.with_recorder(|| metrics::counter!(CALLS, &labels).increment(1));
    }

    /// Renders all series in the Prometheus text format.
    pub(crate) fn render(&self) -> String {
        self.handle.render()
    }

    /// Moves recorded times into their buckets; without it, they accumulate until the next scrape.
    pub(crate) fn upkeep(&self) {
        self.handle.run_upkeep();
    }
}

/// Returns a time in seconds, as histograms record it.
pub(crate) fn seconds(time: Duration) -> f64 {
    time.as_secs_f64()
}

/// Registers the descriptions of all metrics.
fn describe_all() {
    metrics::describe_counter!(REQUESTS, Unit::Count, "Generations that ended, by verdict.");
    metrics::describe_counter!(TOKENS_DELIVERED, Unit::Count, "Tokens handed to callers.");
    metrics::describe_histogram!(
        FIRST_TOKEN,
        Unit::Seconds,
        "Time from the request to its first token."
    );
    metrics::describe_histogram!(
        TOKEN_GAP,
        Unit::Seconds,
        "Time between two tokens of a stream."
    );
    metrics::describe_histogram!(
        ADMISSION_WAIT,
        Unit::Seconds,
        "Time to route and admit one attempt of a generation."
    );
    metrics::describe_counter!(RETRIES, Unit::Count, "Attempts after the first.");
    metrics::describe_counter!(INTERRUPTIONS, Unit::Count, "Answers that broke off.");
    metrics::describe_counter!(
        TOKENS_DROPPED,
        Unit::Count,
        "Tokens dropped before callers."
    );
    metrics::describe_gauge!(
        OPEN_STREAMS,
        Unit::Count,
        "Generations and streams in progress."
    );
    metrics::describe_counter!(CALLS, Unit::Count, "Calls of plain services, by verdict.");
}
