//! Handles a request from its arrival to the end of its response.

use std::sync::Arc;
use std::time::{Duration, Instant};

use daisyyard_core::attempt::{Decision, History, Outcome, Progress};
use daisyyard_core::catalog::Kind;
use daisyyard_core::id::EndpointId;
use daisyyard_core::pool::Signal;
use daisyyard_core::shared_retry_budget;
use daisyyard_http::connection::{Answer, Failure};
use hyper::body::Incoming;
use hyper::{Request, Response, StatusCode};
use tokio::sync::{oneshot, watch};
use xtra::Address;

use crate::answer::strip_connection;
use crate::body::{self, Body};
use crate::buffer;
use crate::codec::Codec;
use crate::detour::{Detour, Origin};
use crate::ending::Ending;
use crate::evacuation::{Unsent, Zones};
use crate::event::Event;
use crate::job::Job;
use crate::log::Log;
use crate::memory::Memory;
use crate::message::{Claim, Count, Grant, Placement, Retry, Standing};
use crate::metrics::Metrics;
use crate::pool::Pool;
use crate::refusal::Refusal;
use crate::relay::{Relay, Upstream};
use crate::sent::{self, Sent, answer_unusable, connection_failed, health_signal};
use crate::server::Phase;
use crate::watcher::Configuration;

/// Maximum number of times that a request is sent, including sends that endpoints declined.
const MAX_SENDS: usize = 4;
/// Minimum remaining time for a retry.
pub(crate) const MIN_REMAINING: Duration = Duration::from_millis(50);
/// Share of the remaining time for a send that another endpoint can repeat if it fails.
pub(crate) const FIRST_SEND_SHARE: f64 = 0.5;

/// Shared handles that every request needs.
#[derive(Debug, Clone)]
pub(crate) struct Proxy {
    /// Functions that encode and decode the platform's messages.
    pub(crate) codec: Codec,
    /// Actor that owns the endpoints.
    pub(crate) pool: Address<Pool>,
    /// Current configuration.
    pub(crate) configuration: Configuration,
    /// Part of this gateway in the fleet, and whether its configuration may be outdated.
    pub(crate) standing: watch::Receiver<Standing>,
    /// Who sends the requests.
    pub(crate) origin: Origin,
    /// Whether this gateway is cut off from the endpoints.
    pub(crate) isolated: watch::Receiver<bool>,
    /// Phase of the graceful shutdown.
    pub(crate) phase: watch::Receiver<Phase>,
    /// When the process ends.
    pub(crate) ending: Ending,
    /// Evacuated availability zones.
    pub(crate) zones: Zones,
    /// Endpoints that state a limit.
    pub(crate) limited: watch::Receiver<Vec<EndpointId>>,
    /// Memory for what the gateway holds for callers.
    pub(crate) memory: Memory,
    /// Metrics of the gateway.
    pub(crate) metrics: Metrics,
    /// Log of the gateway.
    pub(crate) log: Log,
}

impl Proxy {
    /// Handles one request and returns the response.
    pub(crate) async fn handle(self, request: Request<Incoming>) -> Response<Body> {
        let arrived = Instant::now();
        let path = request.uri().path().to_owned();
        match self.receive_request(request, arrived).await {
            Ok(job) => self.serve(job).await,
            Err((refusal, attempt)) => {
                let attempt = attempt.as_deref().unwrap_or("-");
                let version = self
                    .configuration
                    .borrow()
                    .as_ref()
                    .map(|catalog| catalog.version);
                let details = format!(
                    "request={attempt} path={path} status={} config={version:?} reason={refusal:?}",
                    refusal.status().as_u16(),
                );
                self.log.emit(Event::RequestRefused, &details);
                self.metrics
                    .record_end("none", "refused", arrived.elapsed());
                refusal.response()
            }
        }
    }

    /// Sends a request, with retries, until it is answered or cannot be retried.
    async fn serve(self, job: Job) -> Response<Body> {
        let job = Arc::new(job);
        if self.origin == Origin::Gateway && self.is_isolated() {
            return self.refuse(&job, Refusal::Isolated, "-");
        }
        if let Some(handover) = &job.relayed.handover {
            return self.adopt(&job, handover).await;
        }
        let mut detour = Detour::new(job.relayed.counted);
        let repeatable = job.route.is_repeatable();
        let mut history = History::new(repeatable);
        let mut tried: Vec<EndpointId> = Vec::new();
        let mut possible_runs = 0;
        let mut cause = "-";
        loop {
            if self.is_open(&detour, &history)
                && let Some(response) = self.relay_request(&job, &mut detour).await
            {
                return response;
            }
            self.count(&job, &mut detour).await;
            let claimed = tokio::select! {
                claimed = self.claim(&job, &tried) => claimed,
                () = self.opened(&detour, &history) => continue,
            };
            let grant = match claimed {
                Ok(grant) => grant,
                Err(refusal) if tried.is_empty() => return self.refuse(&job, refusal, "-"),
                Err(refusal) => {
                    let outcome = history.outcome();
                    let accurate = matches!(refusal, Refusal::Evacuated | Refusal::TurnedAway(_));
                    let refusal = if accurate && outcome == Outcome::NotRun {
                        refusal
                    } else {
                        Refusal::after_send(outcome, false)
                    };
                    return self.refuse(&job, refusal, cause);
                }
            };
            let endpoint = grant.endpoint.id;
            self.log_send(&job, &grant, tried.len() + 1);
            let runs_left = if repeatable {
                job.max_runs().saturating_sub(possible_runs + 1)
            } else {
                0
            };
            let may_repeat = runs_left > 0;
            let sent = tokio::select! {
                sent = self.send(&job, grant, runs_left) => sent,
                () = self.ending.reached() => sent::stopped(),
            };
            let (progress, late, reason, response) = match sent {
                Sent::Answered(response) => return response,
                Sent::Failed {
                    progress,
                    late,
                    reason,
                    response,
                } => (progress, late, reason, response),
            };
            cause = reason;
            tried.push(endpoint);
            history.advance(progress);
            let not_run = matches!(progress, Progress::Unsent | Progress::Declined);
            possible_runs += u32::from(!not_run);
            let worth_retrying = tried.len() < MAX_SENDS
                && job.remaining() > MIN_REMAINING
                && !self.ending.precedes(job.deadline);
            // Another gateway sends the request for the first time.
            let unsent = progress == Progress::Unsent;
            let retry = worth_retrying
                && (unsent && self.is_open(&detour, &history)
                    || (not_run || may_repeat) && self.retry_allowed(&job).await);
            match history.fail(retry) {
                Decision::Retry => {
                    let details = format!("request={} reason={reason}", job.attempt);
                    self.log.emit(Event::RequestRepeated, &details);
                    self.metrics.record_retry(reason);
                }
                Decision::Finish(outcome) => {
                    let refusal = Refusal::after_send(outcome, late);
                    let refusal = self.add_opening(&job, refusal).await;
                    return match response {
                        Some(response) => self.forward(&job, response, reason),
                        None => self.refuse(&job, refusal, cause),
                    };
                }
            }
        }
    }

    /// Logs that a request is sent to an endpoint.
    fn log_send(&self, job: &Job, grant: &Grant, number: usize) {
        let details = format!(
            "request={} content={:032x} endpoint={} backup={} prompt={} output={} filled={:.2} \
             waited_ms={} left_ms={} try={number}",
            job.attempt,
            job.content(),
            grant.endpoint.name,
            grant.backup.as_ref().map_or("-", |backup| &backup.name),
            job.parameters.prompt_tokens,
            job.expected_output(),
            grant.memory_share,
            job.arrived.elapsed().as_millis(),
            job.remaining().as_millis(),
        );
        self.log.emit(Event::RequestSent, &details);
    }

    /// Asks the pool for an endpoint; returns the refusal if none may run the request in time.
    async fn claim(&self, job: &Job, tried: &[EndpointId]) -> Result<Grant, Refusal> {
        let (reply, granted) = oneshot::channel();
        let claim = Claim {
            need: job.need(),
            schedule: job.schedule(),
            ask: job.ask(),
            client: job.client.clone(),
            excluded: tried.to_vec(),
            contents: Arc::clone(&job.contents),
            waited_for_cold: false,
            reply,
        };
        // The pool ends only with the process.
        let _ = self.pool.send(claim).await;
        let granted = tokio::select! {
            biased;
            () = self.ending.precluding(job.deadline) => return Err(Refusal::Leaving),
            granted = granted => granted,
        };
        match granted {
            Ok(Placement::Granted(grant)) => Ok(grant),
            Ok(Placement::Refused(time)) => Err(Refusal::Suspected(time)),
            Ok(Placement::Evacuated) => Err(Refusal::Evacuated),
            Ok(Placement::Shed(time)) => Err(Refusal::Shed(time)),
            Ok(Placement::TurnedAway(time)) => Err(Refusal::TurnedAway(time)),
            Err(_) => Err(Refusal::Full),
        }
    }

    /// Counts a request toward the retry budget, unless it is counted already.
    async fn count(&self, job: &Job, detour: &mut Detour) {
        if !detour.counted {
            detour.counted = true;
            // The pool ends only with the process.
            let _ = self.pool.send(Count(job.service)).await;
        }
    }

    /// Asks the pool whether the retry budget allows another send.
    pub(crate) async fn retry_allowed(&self, job: &Job) -> bool {
        let decision = self.pool.send(Retry(job.service)).await;
        decision.is_ok_and(|decision| decision == shared_retry_budget::Decision::Retry)
    }

    /// Sends a request once; `runs_left` is the number of further endpoints that may run it.
    async fn send(&self, job: &Arc<Job>, mut grant: Grant, runs_left: u32) -> Sent {
        let backup = grant.backup.as_ref().map(|backup| backup.address);
        let request = job.request(&self.codec, &grant.endpoint, backup, None, job.resume_after);
        // A stream that waits at a full engine would only wait longer at another one.
        let timeout = if runs_left > 0 && job.route.kind != Kind::Streaming {
            job.remaining().mul_f64(FIRST_SEND_SHARE)
        } else {
            job.remaining()
        };
        let deadline = Instant::now() + timeout;
        // From here on, the request may reach the endpoint.
        let place = grant.place.take();
        let leave_by = place.and_then(|place| place.leave_by);
        let (endpoint, backup) = (&grant.endpoint, grant.backup.as_deref());
        let zones = self.zones.as_of(grant.placed_at);
        let sent = zones.send(endpoint, backup, request, timeout, leave_by);
        let answer = match sent.await {
            Ok(answer) => answer,
            Err(unsent @ (Unsent::Evacuated | Unsent::Closed)) => {
                grant.place = place;
                let evacuated = unsent == Unsent::Evacuated;
                return sent::withheld(if evacuated { "evacuated" } else { "closed" });
            }
            Err(Unsent::Failed(failure)) => {
                grant.place = place.filter(|_| sent::is_unsent(failure));
                if matches!(failure, Failure::Partial | Failure::Broken) {
                    self.report_broken(job, &grant, 0, Duration::ZERO).await;
                }
                grant.signal = health_signal(failure);
                return connection_failed(failure);
            }
        };
        let status = answer.response.status();
        let receipt = (self.codec.read_response)(status, answer.response.headers());
        self.report_statements(&grant.endpoint, &receipt).await;
        if !receipt.answers(&job.attempt) {
            // The response belongs to another request. This request may have run, but its response
            // cannot be identified.
            grant.signal = Signal::Failed;
            return answer_unusable("foreign_answer");
        }
        self.report_limit(&grant.endpoint, &receipt, grant.placed_at)
            .await;
        if receipt.declined {
            return Sent::Failed {
                progress: Progress::Declined,
                late: false,
                reason: "declined",
                response: None,
            };
        }
        job.drop_body(runs_left);
        if status.is_success() && !receipt.signed {
            grant.signal = Signal::Failed;
            return answer_unusable("unsigned_answer");
        }
        if status == StatusCode::OK && job.route.kind == Kind::Streaming {
            return Sent::Answered(self.stream_response(job, grant, answer, runs_left));
        }
        self.buffer_response(job, grant, answer, deadline).await
    }

    /// Forwards a stream in a task of its own.
    fn stream_response(
        &self,
        job: &Arc<Job>,
        grant: Grant,
        answer: Answer,
        runs_left: u32,
    ) -> Response<Body> {
        let (sender, body) = body::channel();
        let (parts, incoming) = answer.response.into_parts();
        let upstream = Upstream::new(&parts.headers, incoming, answer.driver);
        let relay = Relay::new(
            self.clone(),
            Arc::clone(job),
            grant,
            Some(upstream),
            sender,
            runs_left,
        );
        tokio::spawn(relay.run());
        Response::from_parts(strip_connection(parts), body)
    }

    /// Buffers a response before it is forwarded, so that a retry can replace an interrupted one.
    async fn buffer_response(
        &self,
        job: &Job,
        mut grant: Grant,
        answer: Answer,
        deadline: Instant,
    ) -> Sent {
        let (parts, incoming) = answer.response.into_parts();
        let read = buffer::read(&self.memory, incoming);
        let bytes = match tokio::time::timeout_at(deadline.into(), read).await {
            Ok(Ok(bytes)) => bytes,
            Ok(Err(buffer::Error::Broken)) => {
                self.report_broken(job, &grant, 0, Duration::ZERO).await;
                grant.signal = Signal::Failed;
                return answer_unusable("broken_answer");
            }
            Ok(Err(buffer::Error::TooLong)) => {
                grant.signal = Signal::Lost;
                return answer_unusable("endless_answer");
            }
            Err(_elapsed) => {
                grant.signal = Signal::Failed;
                return connection_failed(Failure::Silent);
            }
        };
        let status = parts.status;
        let response = Response::from_parts(strip_connection(parts), body::full(bytes));
        if status.is_server_error() {
            grant.signal = Signal::Failed;
            return Sent::Failed {
                progress: Progress::Written,
                late: status == StatusCode::GATEWAY_TIMEOUT,
                reason: "failed",
                response: Some(response),
            };
        }
        grant.signal = Signal::Answered;
        Sent::Answered(self.forward(job, response, "answered"))
    }
}
