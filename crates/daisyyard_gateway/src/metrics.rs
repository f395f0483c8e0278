//! Metrics of a gateway in the Prometheus text format.

use std::sync::Arc;
use std::sync::atomic::{AtomicU32, Ordering};
use std::time::Duration;

use anyhow::Context;
use daisyyard_core::footprint::Use;
use daisyyard_core::stream_end::{Framing, Verdict};
use metrics::{Key, KeyName, Label, Level, Metadata, Recorder};
use metrics_exporter_prometheus::{
    Matcher, PrometheusBuilder, PrometheusHandle, PrometheusRecorder,
};

use crate::memory::Figures;

/// Histogram buckets of the response latency, in seconds.
const LATENCY_BUCKETS_SECONDS: [f64; 12] = [
    0.02, 0.05, 0.1, 0.2, 0.5, 1.0, 1.5, 2.0, 4.0, 8.0, 16.0, 40.0,
];
/// Number of latencies after which they are added to the buckets. Until then each takes 8 B, and nobody
/// may read the metrics.
const MAX_SAMPLES: u32 = 1_024;
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
/// Counter of the ends of streams, by how they were marked and what they showed.
const STREAM_ENDS: &str = "daisyyard_gateway_stream_ends_total";
/// Gauge of evacuated availability zones.
const EVACUATED_ZONES: &str = "daisyyard_gateway_evacuated_zones";
/// Gauge of runs of this gateway at endpoints of evacuated zones.
const EVACUATED_RUNS: &str = "daisyyard_gateway_runs_in_evacuated_zones";
/// Gauge of endpoints to which requests are limited because they are cold.
const COLD_ENDPOINTS: &str = "daisyyard_gateway_cold_endpoints";
/// Counter of sends that waited or went to a warm endpoint because endpoints were cold, by effect.
const COLD_SENDS: &str = "daisyyard_gateway_cold_sends_total";
/// Gauge of the memory and connections that are charged, by use.
const HELD: &str = "daisyyard_gateway_held";
/// Gauge of the limits on them, by use.
const HELD_LIMIT: &str = "daisyyard_gateway_held_limit";
/// Counter of the charges that were refused, by use.
const HELD_REFUSED: &str = "daisyyard_gateway_held_refused_total";
/// Counter of admitted and refused requests by account and outcome.
const ADMISSIONS: &str = "daisyyard_gateway_admissions_total";
/// Counter of what endpoints stated in answers, by reason.
const STATEMENTS: &str = "daisyyard_gateway_endpoint_statements_total";
/// Gauge of endpoints that state a limit for all gateways together.
const LIMITED_ENDPOINTS: &str = "daisyyard_gateway_limited_endpoints";
/// Gauge of whether this gateway is cut off from the endpoints.
const ISOLATED: &str = "daisyyard_gateway_isolated";
/// Gauge of endpoints that fall over if they have to turn many requests away.
const BRITTLE_ENDPOINTS: &str = "daisyyard_gateway_brittle_endpoints";
/// Counter of reads of the store, by what was read and outcome.
const STORE_READS: &str = "daisyyard_gateway_store_reads_total";
/// Counter of requests that were relayed to other gateways or taken from them, by outcome.
const RELAYS: &str = "daisyyard_gateway_relayed_requests_total";
/// Module and level under which the metrics are registered.
const ORIGIN: Metadata<'static> = Metadata::new(module_path!(), Level::INFO, Some(module_path!()));

/// Returns the name of a use for metrics.
fn name(usage: Use) -> &'static str {
    match usage {
        Use::Body => "body_bytes",
        Use::Answer => "answer_bytes",
        Use::Relay => "relay_bytes",
        Use::Connection => "connections",
        Use::Pending => "pending_bodies",
        Use::Control => "control_connections",
    }
}

/// Metrics of one gateway.
#[derive(Debug, Clone)]
pub(crate) struct Metrics {
    /// Registers and updates the metrics.
    recorder: Arc<PrometheusRecorder>,
    /// Renders the metrics as text.
    handle: PrometheusHandle,
    /// Number of latencies that were recorded.
    samples: Arc<AtomicU32>,
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
            samples: Arc::new(AtomicU32::new(0)),
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
        let samples = self.samples.fetch_add(1, Ordering::Relaxed);
        if samples % MAX_SAMPLES == MAX_SAMPLES - 1 {
            self.handle.run_upkeep();
        }
    }

    /// Counts a retry.
    pub(crate) fn record_retry(&self, reason: &'static str) {
        self.count(RETRIES, &[("reason", reason)]);
    }

    /// Counts a run that moved to another engine, or failed to.
    pub(crate) fn record_move(&self, means: &'static str) {
        self.count(MOVES, &[("means", means)]);
    }

    /// Counts the end of a stream that came without an error.
    pub(crate) fn record_stream_end(&self, framing: Framing, verdict: Verdict) {
        let framing = match framing {
            Framing::Explicit => "explicit",
            Framing::Connection => "connection",
        };
        let labels = [("framing", framing), ("verdict", verdict.name())];
        self.count(STREAM_ENDS, &labels);
    }

    /// Counts a request that was relayed to another gateway or taken from it.
    pub(crate) fn record_relay(&self, side: &'static str, outcome: &'static str) {
        self.count(RELAYS, &[("side", side), ("outcome", outcome)]);
    }

    /// Counts a run that its endpoint broke off.
    pub(crate) fn record_break(&self, kind: &'static str) {
        self.count(BROKEN, &[("kind", kind)]);
    }

    /// Sets the number of evacuated availability zones and of runs of this gateway there.
    pub(crate) fn set_evacuated(&self, zones: usize, runs: usize) {
        self.set(EVACUATED_ZONES, zones);
        self.set(EVACUATED_RUNS, runs);
    }

    /// Sets the number of cold endpoints.
    pub(crate) fn set_cold(&self, endpoints: usize) {
        self.set(COLD_ENDPOINTS, endpoints);
    }

    /// Sets the number of endpoints that state a limit.
    pub(crate) fn set_limited(&self, endpoints: usize) {
        self.set(LIMITED_ENDPOINTS, endpoints);
    }

    /// Sets whether this gateway is cut off from the endpoints.
    pub(crate) fn set_isolated(&self, isolated: bool) {
        self.set(ISOLATED, usize::from(isolated));
    }

    /// Sets the number of brittle endpoints.
    pub(crate) fn set_brittle(&self, endpoints: usize) {
        self.set(BRITTLE_ENDPOINTS, endpoints);
    }

    /// Counts a send that waited or went elsewhere because endpoints were cold.
    pub(crate) fn record_cold(&self, effect: &'static str) {
        self.count(COLD_SENDS, &[("effect", effect)]);
    }

    /// Counts what an endpoint stated in an answer.
    pub(crate) fn record_statement(&self, reason: &'static str) {
        self.count(STATEMENTS, &[("reason", reason)]);
    }

    /// Counts a read of the store.
    pub(crate) fn record_store_read(&self, read: &'static str, outcome: &'static str) {
        self.count(STORE_READS, &[("read", read), ("outcome", outcome)]);
    }

    /// Sets a gauge.
    fn set(&self, name: &'static str, value: usize) {
        let key = Key::from_name(KeyName::from_const_str(name));
        let gauge = self.recorder.register_gauge(&key, &ORIGIN);
        gauge.set(value as f64);
    }

    /// Sets the gauges of the account of memory and connections.
    pub(crate) fn set_memory(&self, figures: &[Figures]) {
        for one in figures {
            let labels = [("use", name(one.usage))];
            let key = |name| Key::from_parts(KeyName::from_const_str(name), &labels);
            let gauge = |name, value: f64| {
                self.recorder.register_gauge(&key(name), &ORIGIN).set(value);
            };
            gauge(HELD, one.used as f64);
            gauge(HELD_LIMIT, one.limit as f64);
            let refused = self.recorder.register_counter(&key(HELD_REFUSED), &ORIGIN);
            refused.absolute(one.refused);
        }
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
