//! What one request measures of itself, and reports to the meter when it ends.

use std::time::{Duration, Instant};

use daisyyard_core::burn::{End, Observation};
use daisyyard_core::contract::Rank;
use daisyyard_core::id::{AccountId, ServiceId, Tokens};
use daisyyard_core::route::Request;
use hdrhistogram::Histogram;
use xtra::Address;

use crate::generation::Actors;
use crate::measure::{Metrics, Series, seconds};
use crate::meter::{self, Ended, Meter};

/// Label of a stream that a caller resumed; the node that received the request knows its rank.
const RESUMED: &str = "resumed";

/// Measurements of one request in progress.
#[derive(Debug)]
pub(crate) struct Track {
    /// Service of the request.
    service: ServiceId,
    /// Rank and account; none for a resumed stream, whose first node reports it.
    origin: Option<(Rank, AccountId)>,
    /// Tokens of the prompt.
    prompt: Tokens,
    /// When the request arrived.
    begun: Instant,
    /// Time to the first token.
    first: Option<Duration>,
    /// When the last token was handed to the caller.
    last: Instant,
    /// Tokens that arrived.
    tokens: Tokens,
    /// Sum of the times between tokens.
    span: Duration,
    /// Times between tokens, in microseconds.
    gaps: Histogram<u32>,
    /// Series of the service and rank.
    series: Series,
    /// Metrics of the node.
    metrics: Metrics,
    /// Actor that is told the result.
    meter: Address<Meter>,
}

impl Track {
    /// Starts the measurement of a request.
    pub(crate) fn new(actors: &Actors, request: &Request) -> Self {
        let origin = Some((request.rank, request.account));
        Self::start(actors, request.service, origin, request.prompt)
    }

    /// Starts the measurement of a resumed stream.
    pub(crate) fn resumed(actors: &Actors, service: ServiceId) -> Self {
        Self::start(actors, service, None, 0)
    }

    /// Starts a measurement.
    fn start(
        actors: &Actors,
        service: ServiceId,
        origin: Option<(Rank, AccountId)>,
        prompt: Tokens,
    ) -> Self {
        let rank = origin.map_or(RESUMED, |(rank, _)| rank.name());
        let series = actors.metrics.series(service, rank);
        series.open.increment(1);
        let now = Instant::now();
        Self {
            service,
            origin,
            prompt,
            begun: now,
            first: None,
            last: now,
            tokens: 0,
            span: Duration::ZERO,
            gaps: meter::histogram(),
            series,
            metrics: actors.metrics.clone(),
            meter: actors.meter.clone(),
        }
    }

    /// Notes the time to route and admit one attempt.
    pub(crate) fn admitted(&self, wait: Duration) {
        self.series.wait.record(seconds(wait));
    }

    /// Notes a further attempt, before which no token counts as delivered.
    pub(crate) fn retried(&mut self) {
        self.series.retries.increment(1);
        self.first = None;
    }

    /// Notes a token that arrived in order.
    pub(crate) fn token(&mut self) {
        let now = Instant::now();
        self.tokens += 1;
        self.series.tokens.increment(1);
        if self.first.is_none() {
            self.first = Some(now - self.begun);
            if self.origin.is_some() {
                self.series.first.record(seconds(now - self.begun));
            }
        } else {
            let gap = now - self.last;
            self.span += gap;
            meter::record(&mut self.gaps, gap);
            self.series.gap.record(seconds(gap));
        }
        self.last = now;
    }

    /// Notes that the caller took the token; time that a slow caller takes is no token gap.
    pub(crate) fn handed(&mut self) {
        self.last = Instant::now();
    }

    /// Notes a token that the caller already has.
    pub(crate) fn duplicate(&self) {
        self.series.duplicates.increment(1);
    }

    /// Notes a token of another generation.
    pub(crate) fn foreign(&self) {
        self.series.foreign.increment(1);
    }

    /// Reports the request to the meter.
    pub(crate) async fn end(&mut self, end: End) {
        let rank = self.origin.map_or(RESUMED, |(rank, _)| rank.name());
        if end == End::Interrupted {
            self.metrics.interrupted(self.service, rank);
        }
        let Some((rank, account)) = self.origin else {
            return;
        };
        let gaps = u32::try_from(self.gaps.len()).unwrap_or(u32::MAX);
        let ended = Ended {
            service: self.service,
            rank,
            account,
            work: if self.tokens > 0 {
                self.prompt + self.tokens
            } else {
                0
            },
            observed: Observation {
                end,
                duration: self.begun.elapsed(),
                first_token: self.first,
                token_gap: self.span.checked_div(gaps),
            },
            gaps: self.gaps.clone(),
        };
        let _ = self.meter.send(ended).await;
    }
}

impl Drop for Track {
    fn drop(&mut self) {
        self.series.open.decrement(1);
    }
}
