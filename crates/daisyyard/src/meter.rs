//! Actor that counts ended requests by whether they met the targets of their contracts.

use std::collections::BTreeMap;
use std::time::{Duration, SystemTime};

use daisyyard_core::burn::{self, Observation, Subject};
use daisyyard_core::contract::Rank;
use daisyyard_core::id::{AccountId, ServiceId, Tokens};
use daisyyard_core::preset::Preset;
use daisyyard_core::usage::Usage;
use daisyyard_http::{self as http, Body};
use hdrhistogram::{Counter, Histogram};
use hyper::header::{CONTENT_TYPE, HeaderValue};
use hyper::{Response, StatusCode};
use serde_json::json;
use xtra::{Actor, Address, Context, Handler, Mailbox};

use crate::admission::AdoptPreset;
use crate::generation::Actors;
use crate::metrics::Metrics;
use crate::refusal::{Kind, Refusal};
use crate::snapshot::{self, Snapshot};

/// Shortest time that a histogram distinguishes from zero.
const MIN_TIME_US: u64 = 100;
/// Longest time that a histogram records; longer times count as this one.
const MAX_TIME_US: u64 = 600_000_000;
/// Precision of histograms, in significant decimal digits.
const SIGNIFICANT_DIGITS: u8 = 2;
/// Interval at which recorded times are moved into their buckets.
const UPKEEP_INTERVAL: Duration = Duration::from_secs(5);
/// Verdict on a request whose caller left before any target was met or missed.
const CALLER_LEFT: &str = "left";
/// Verdict on a request for a service that the preset in force does not cover.
const UNCOVERED: &str = "uncovered";

/// Histograms of one service and rank.
#[derive(Debug)]
pub(crate) struct Times {
    /// Time to the first token.
    pub(crate) first_token_us: Histogram<u64>,
    /// Time between tokens.
    pub(crate) token_gap_us: Histogram<u64>,
}

/// Actor that owns the node's counts of ended requests.
#[derive(Debug, Actor)]
pub(crate) struct Meter {
    /// Name of the node.
    node: String,
    /// When the node started.
    started: SystemTime,
    /// Preset in force, which has the targets.
    preset: Preset,
    /// Number of requests by subject, slot and verdict.
    burn: burn::Meter,
    /// Times since the start; only services that a preset covered have entries.
    times: BTreeMap<(ServiceId, Rank), Times>,
    /// Tokens used by each account, which determine its size class.
    usage: Usage,
    /// Prometheus metrics of the node.
    metrics: Metrics,
}

/// Message: a request ended.
#[derive(Debug)]
pub(crate) struct Ended {
    /// Service of the request.
    pub(crate) service: ServiceId,
    /// Rank of the request.
    pub(crate) rank: Rank,
    /// Account of the request.
    pub(crate) account: AccountId,
    /// Tokens of prompt and output; 0 if nothing was run.
    pub(crate) tokens: Tokens,
    /// How the request ended, and its measured times.
    pub(crate) observation: Observation,
    /// Times between the tokens of the request.
    pub(crate) token_gaps_us: Histogram<u32>,
}

/// Message: request for a snapshot of the counts.
#[derive(Debug)]
struct Query;

/// Starts the actor, and the task that runs the upkeep of the metrics.
pub(crate) fn spawn(node: &str, preset: Preset, metrics: Metrics) -> Address<Meter> {
    let actor = Meter {
        node: node.to_owned(),
        started: SystemTime::now(),
        preset,
        burn: burn::Meter::new(),
        times: BTreeMap::new(),
        usage: Usage::new(),
        metrics: metrics.clone(),
    };
    let address = xtra::spawn_tokio(actor, Mailbox::unbounded());
    let meter = address.downgrade();
    tokio::spawn(async move {
        let mut interval = tokio::time::interval(UPKEEP_INTERVAL);
        while meter.is_connected() {
            interval.tick().await;
            metrics.upkeep();
        }
    });
    address
}

/// Answers `GET /metrics` in the Prometheus text format.
pub(crate) fn metrics(actors: &Actors) -> Response<Body> {
    let mut response = Response::new(http::full(actors.metrics.render()));
    let kind = HeaderValue::from_static("text/plain; version=0.0.4; charset=utf-8");
    response.headers_mut().insert(CONTENT_TYPE, kind);
    response
}

/// Answers `GET /burn` with a snapshot of the counts.
pub(crate) async fn burn(actors: &Actors) -> Result<Response<Body>, Refusal> {
    let snapshot = actors.meter.send(Query).await.map(|one| json!(one));
    let snapshot = snapshot.map_err(|_stopped| {
        let message = "the node is stopping; ask another one";
        Refusal::not_run(Kind::Unavailable, message)
    })?;
    Ok(http::json(StatusCode::OK, &snapshot))
}

/// Creates a histogram of times in microseconds.
pub(crate) fn histogram<C: Counter>() -> Histogram<C> {
    Histogram::new_with_bounds(MIN_TIME_US, MAX_TIME_US, SIGNIFICANT_DIGITS)
        .expect("the bounds are valid")
}

/// Records a time in microseconds; times above [`MAX_TIME_US`] are recorded as that value.
pub(crate) fn record<C: Counter>(histogram: &mut Histogram<C>, time: Duration) {
    let micros = u64::try_from(time.as_micros()).unwrap_or(u64::MAX);
    histogram.saturating_record(micros.min(MAX_TIME_US));
}

impl Handler<Ended> for Meter {
    type Return = ();

    async fn handle(&mut self, message: Ended, _: &mut Context<Self>) {
        let Ended { service, rank, .. } = message;
        let now = SystemTime::now();
        let Some(terms) = self.preset.terms.get(&service) else {
            self.metrics.request_ended(service, rank.name(), UNCOVERED);
            return;
        };
        let verdict = message.observation.verdict(terms.contract(rank));
        let name = verdict.map_or(CALLER_LEFT, burn::Verdict::name);
        self.metrics.request_ended(service, rank.name(), name);
        let class = self.usage.add(message.account, message.tokens, now);
        let subject = Subject {
            service,
            rank,
            class,
        };
        if let Some(verdict) = verdict {
            self.burn.record(subject, verdict, now);
        }
        let times = self.times.entry((service, rank)).or_insert_with(|| Times {
            first_token_us: histogram(),
            token_gap_us: histogram(),
        });
        if let Some(first) = message.observation.first_token {
            record(&mut times.first_token_us, first);
        }
        for bucket in message.token_gaps_us.iter_recorded() {
            let count = bucket.count_since_last_iteration();
            let _ = times
                .token_gap_us
                .record_n(bucket.value_iterated_to(), count);
        }
    }
}

impl Handler<AdoptPreset> for Meter {
    type Return = ();

    async fn handle(&mut self, message: AdoptPreset, _: &mut Context<Self>) {
        self.preset = message.0;
    }
}

impl Handler<Query> for Meter {
    type Return = Snapshot;

    async fn handle(&mut self, _: Query, _: &mut Context<Self>) -> Snapshot {
        Snapshot {
            format: snapshot::FORMAT,
            node: self.node.clone(),
            started_ms: snapshot::unix_millis(self.started),
            taken_ms: snapshot::unix_millis(SystemTime::now()),
            services: self
                .preset
                .terms
                .values()
                .map(snapshot::Service::from)
                .collect(),
            counts: self.burn.counts().map(snapshot::Counts::from).collect(),
            times: self.times.iter().map(snapshot::Times::from).collect(),
        }
    }
}
