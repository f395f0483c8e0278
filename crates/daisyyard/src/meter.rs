//! The actor that counts ended requests against the targets of their contracts.

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

use crate::admission::Enforce;
use crate::generation::Actors;
use crate::measure::Metrics;
use crate::refusal::{Kind, Refusal};
use crate::snapshot::{self, Snapshot};

/// Shortest time that a histogram tells from zero, in microseconds.
const SHORTEST: u64 = 100;
/// Longest time that a histogram tells from longer ones, in microseconds.
const LONGEST: u64 = 600_000_000;
/// Significant digits of a histogram.
const DIGITS: u8 = 2;
/// Time between two runs of the upkeep of the metrics.
const UPKEEP: Duration = Duration::from_secs(5);
/// Verdict of a request whose caller left before any target was met or missed.
const LEFT: &str = "left";
/// Verdict of a request of a service that the preset in force does not cover.
const UNCOVERED: &str = "uncovered";

/// Times of one service and rank.
#[derive(Debug)]
pub(crate) struct Times {
    /// Time to the first token, in microseconds.
    pub(crate) first_token: Histogram<u64>,
    /// Time between tokens, in microseconds.
    pub(crate) token_gap: Histogram<u64>,
}

/// Owns the counts of the node.
#[derive(Debug, Actor)]
pub(crate) struct Meter {
    /// Name of the node.
    node: String,
    /// When the node started.
    started: SystemTime,
    /// Preset in force.
    preset: Preset,
    /// Counts by subject and slot.
    burn: burn::Meter,
    /// Times since the start; only services of a preset have entries.
    times: BTreeMap<(ServiceId, Rank), Times>,
    /// Work of the accounts.
    usage: Usage,
    /// Metrics of the node.
    metrics: Metrics,
}

/// Reports that a request ended.
#[derive(Debug)]
pub(crate) struct Ended {
    /// Service of the request.
    pub(crate) service: ServiceId,
    /// Rank of the request.
    pub(crate) rank: Rank,
    /// Account of the request.
    pub(crate) account: AccountId,
    /// Tokens of prompt and output; none if nothing was run.
    pub(crate) work: Tokens,
    /// What was measured.
    pub(crate) observed: Observation,
    /// Times between tokens, in microseconds.
    pub(crate) gaps: Histogram<u32>,
}

/// Asks for a snapshot of the counts.
#[derive(Debug)]
struct Take;

/// Starts the actor and the upkeep of the metrics.
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
    let kept = address.downgrade();
    tokio::spawn(async move {
        let mut interval = tokio::time::interval(UPKEEP);
        while kept.is_connected() {
            interval.tick().await;
            metrics.upkeep();
        }
    });
    address
}

/// Answers a scrape of the metrics.
pub(crate) fn metrics(actors: &Actors) -> Response<Body> {
    let mut response = Response::new(http::full(actors.metrics.render()));
    let kind = HeaderValue::from_static("text/plain; version=0.0.4; charset=utf-8");
    response.headers_mut().insert(CONTENT_TYPE, kind);
    response
}

/// Answers with a snapshot of the counts.
pub(crate) async fn burn(actors: &Actors) -> Result<Response<Body>, Refusal> {
    let snapshot = actors.meter.send(Take).await.map(|one| json!(one));
    let snapshot = snapshot.map_err(|_stopped| {
        let message = "the node is stopping; ask another one";
        Refusal::not_run(Kind::Unavailable, message)
    })?;
    Ok(http::json(StatusCode::OK, &snapshot))
}

/// Creates a histogram of times.
pub(crate) fn histogram<C: Counter>() -> Histogram<C> {
    Histogram::new_with_bounds(SHORTEST, LONGEST, DIGITS).expect("the bounds are valid")
}

/// Records a time, at most the longest that the histogram holds.
pub(crate) fn record<C: Counter>(histogram: &mut Histogram<C>, time: Duration) {
    let micros = u64::try_from(time.as_micros()).unwrap_or(u64::MAX);
    histogram.saturating_record(micros.min(LONGEST));
}

impl Handler<Ended> for Meter {
    type Return = ();

    async fn handle(&mut self, message: Ended, _: &mut Context<Self>) {
        let Ended { service, rank, .. } = message;
        let now = SystemTime::now();
        let Some(terms) = self.preset.terms.get(&service) else {
            self.metrics.ended(service, rank.name(), UNCOVERED);
            return;
        };
        let verdict = message.observed.verdict(terms.contract(rank));
        let name = verdict.map_or(LEFT, burn::Verdict::name);
        self.metrics.ended(service, rank.name(), name);
        let class = self.usage.add(message.account, message.work, now);
        let subject = Subject {
            service,
            rank,
            class,
        };
        if let Some(verdict) = verdict {
            self.burn.record(subject, verdict, now);
        }
        let times = self.times.entry((service, rank)).or_insert_with(|| Times {
            first_token: histogram(),
            token_gap: histogram(),
        });
        if let Some(first) = message.observed.first_token {
            record(&mut times.first_token, first);
        }
        for bucket in message.gaps.iter_recorded() {
            let count = bucket.count_since_last_iteration();
            let _ = times.token_gap.record_n(bucket.value_iterated_to(), count);
        }
    }
}

impl Handler<Enforce> for Meter {
    type Return = ();

    async fn handle(&mut self, message: Enforce, _: &mut Context<Self>) {
        self.preset = message.0;
    }
}

impl Handler<Take> for Meter {
    type Return = Snapshot;

    async fn handle(&mut self, _: Take, _: &mut Context<Self>) -> Snapshot {
        Snapshot {
            format: snapshot::FORMAT,
            node: self.node.clone(),
            started_ms: snapshot::millis(self.started),
            taken_ms: snapshot::millis(SystemTime::now()),
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
