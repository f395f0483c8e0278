//! Measurements of one request, reported to the meter when the request ends.

use std::time::{Duration, Instant};

use daisyyard_core::burn::{End, Observation};
use daisyyard_core::contract::Rank;
use daisyyard_core::id::{AccountId, ServiceId, Tokens};
use daisyyard_core::route::Request;
use hdrhistogram::Histogram;
use xtra::Address;

use crate::generation::Actors;
use crate::meter::{self, Ended, Meter};
use crate::metrics::{Metrics, Series, seconds};

/// Rank label of resumed streams; only the node that received the request knows its rank.
const RESUMED: &str = "resumed";

/// Recorder of the times and tokens of one request in progress.
#[derive(Debug)]
pub(crate) struct Recorder {
    /// Service of the request.
    service: ServiceId,
    /// Rank and account; `None` for a resumed stream, which the node that received the request
    /// reports.
    origin: Option<(Rank, AccountId)>,
    /// Number of prompt tokens.
    prompt: Tokens,
    /// When the request arrived.
    started: Instant,
    /// Time to the first token, once it has arrived.
    first_token: Option<Duration>,
    /// When the last token arrived or was delivered to the caller.
    last_token_at: Instant,
    /// Number of tokens that arrived in order.
    tokens: Tokens,
    /// Sum of the times between tokens.
    gap_sum: Duration,
    /// Times between tokens.
    gaps_us: Histogram<u32>,
    /// Prometheus series of the service and rank.
    series: Series,
    /// Prometheus metrics of the node.
    metrics: Metrics,
    /// Actor that receives the result.
    meter: Address<Meter>,
}

impl Recorder {
    /// Starts measuring a request.
    pub(crate) fn new(actors: &Actors, request: &Request) -> Self {
        let origin = Some((request.rank, request.account));
        Self::start(actors, request.service, origin, request.prompt)
    }

    /// Starts measuring a resumed stream.
    pub(crate) fn resumed(actors: &Actors, service: ServiceId) -> Self {
        Self::start(actors, service, None, 0)
    }

    /// Starts measuring and counts the stream as open.
    fn start(
        actors: &Actors,
        service: ServiceId,
        origin: Option<(Rank, AccountId)>,
        prompt: Tokens,
    ) -> Self {
        let rank = origin.map_or(RESUMED, |(rank, _)| rank.name());
        let series = actors.metrics.series(service, rank);
        series.open_streams.increment(1);
        let now = Instant::now();
        Self {
            service,
            origin,
            prompt,
            started: now,
            first_token: None,
            last_token_at: now,
            tokens: 0,
            gap_sum: Duration::ZERO,
            gaps_us: meter::histogram(),
            series,
            metrics: actors.metrics.clone(),
            meter: actors.meter.clone(),
        }
    }

    /// Records the time to route and admit one attempt.
    pub(crate) fn admitted(&self, wait: Duration) {
        self.series.admission_wait.record(seconds(wait));
    }

    /// Records an attempt after the first; the time to the first token is measured anew.
    pub(crate) fn retried(&mut self) {
        self.series.retries.increment(1);
        self.first_token = None;
    }

    /// Records a token that arrived in order.
    pub(crate) fn token_arrived(&mut self) {
        let now = Instant::now();
        self.tokens += 1;
        self.series.tokens.increment(1);
        if self.first_token.is_none() {
            self.first_token = Some(now - self.started);
            if self.origin.is_some() {
                self.series.first_token.record(seconds(now - self.started));
            }
        } else {
            let gap = now - self.last_token_at;
            self.gap_sum += gap;
            meter::record(&mut self.gaps_us, gap);
            self.series.token_gap.record(seconds(gap));
        }
        self.last_token_at = now;
    }

    /// Records that the caller received the token, so that the time that a slow caller needs does
    /// not count as time between tokens.
    pub(crate) fn token_delivered(&mut self) {
        self.last_token_at = Instant::now();
    }

    /// Counts a dropped token that the caller already had.
    pub(crate) fn duplicate(&self) {
        self.series.duplicates.increment(1);
    }

    /// Counts a dropped token of another generation.
    pub(crate) fn foreign(&self) {
        self.series.foreign.increment(1);
    }

    /// Ends the measurement and reports the request to the meter.
    pub(crate) async fn end(&mut self, end: End) {
        let rank = self.origin.map_or(RESUMED, |(rank, _)| rank.name());
        if end == End::Interrupted {
            self.metrics.answer_interrupted(self.service, rank);
        }
        let Some((rank, account)) = self.origin else {
            return;
        };
        let gap_count = u32::try_from(self.gaps_us.len()).unwrap_or(u32::MAX);
        let ended = Ended {
            service: self.service,
            rank,
            account,
            tokens: if self.tokens > 0 {
                self.prompt + self.tokens
            } else {
                0
            },
            observation: Observation {
                end,
                duration: self.started.elapsed(),
                first_token: self.first_token,
                token_gap: self.gap_sum.checked_div(gap_count),
            },
            token_gaps_us: self.gaps_us.clone(),
        };
        let _ = self.meter.send(ended).await;
    }
}

impl Drop for Recorder {
    fn drop(&mut self) {
        self.series.open_streams.decrement(1);
    }
}
