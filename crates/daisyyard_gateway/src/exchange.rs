//! Requests from their arrival to the end of their answer.

use std::sync::Arc;
use std::time::{Duration, Instant};

use daisyyard_core::allowance;
use daisyyard_core::attempt::{Attempt, Next, Progress};
use daisyyard_core::catalog::Kind;
use daisyyard_core::id::EndpointId;
use daisyyard_core::pool::Signal;
use daisyyard_http::connection::{self, Answer, Failure};
use http_body_util::{BodyExt, Limited};
use hyper::body::Incoming;
use hyper::header::CONTENT_LENGTH;
use hyper::http::response;
use hyper::{Request, Response, StatusCode};
use tokio::sync::{oneshot, watch};
use xtra::Address;

use crate::body::{self, Body};
use crate::dialect::Dialect;
use crate::event::Event;
use crate::follow::Held;
use crate::front::Phase;
use crate::job::Job;
use crate::log::Log;
use crate::measure::Metrics;
use crate::message::{Claim, Count, Grant, Repeat};
use crate::pool::Pool;
use crate::refusal::Refusal;
use crate::relay::Relay;

/// Sends of one request at most, those that were declined included.
const MOST_SENDS: usize = 4;
/// Time that must be left for another send to be worth it.
const LEAST_LEFT: Duration = Duration::from_millis(50);
/// Largest answer that is kept whole before it is passed on, in bytes.
const MAX_ANSWER: usize = 4 << 20;
/// Share of the time left that an endpoint has for a request that another one may repeat.
const FIRST_SHARE: f64 = 0.5;

/// What every request needs.
#[derive(Debug, Clone)]
pub(crate) struct Exchange {
    /// Functions that read and write messages.
    pub(crate) dialect: Dialect,
    /// Actor that owns endpoints.
    pub(crate) pool: Address<Pool>,
    /// The configuration in force.
    pub(crate) held: Held,
    /// How far a planned stop has come.
    pub(crate) phase: watch::Receiver<Phase>,
    /// Metrics of the gateway.
    pub(crate) metrics: Metrics,
    /// The log.
    pub(crate) log: Log,
}

/// What came of sending a request once.
enum Sent {
    /// The caller gets this answer.
    Answered(Response<Body>),
    /// The endpoint failed; the progress says what may have run. An answer that was received is
    /// passed on unless another endpoint does better.
    Failed {
        /// How far the request got.
        progress: Progress,
        /// Whether the time ran out.
        late: bool,
        /// Name of the failure, for the log.
        reason: &'static str,
        /// Answer that the endpoint gave.
        answer: Option<Response<Body>>,
    },
}

impl Exchange {
    /// Answers one request.
    pub(crate) async fn answer(self, request: Request<Incoming>) -> Response<Body> {
        let arrived = Instant::now();
        let path = request.uri().path().to_owned();
        match self.read(request, arrived).await {
            Ok(job) => self.serve(job).await,
            Err((refusal, attempt)) => {
                let attempt = attempt.as_deref().unwrap_or("-");
                let version = self.held.borrow().as_ref().map(|catalog| catalog.version);
                let details = format!(
                    "request={attempt} path={path} status={} config={version:?} reason={refusal:?}",
                    refusal.status().as_u16(),
                );
                self.log.emit(Event::RequestRefused, &details);
                self.metrics.ended("none", "refused", arrived.elapsed());
                refusal.response()
            }
        }
    }

    /// Sends a request until it is answered or given up.
    async fn serve(self, job: Job) -> Response<Body> {
        let job = Arc::new(job);
        // The pool ends only with the process.
        let _ = self.pool.send(Count(job.service)).await;
        let mut attempt = Attempt::new(job.idempotent());
        let mut tried: Vec<EndpointId> = Vec::new();
        let mut runs = 0;
        loop {
            let Some(grant) = self.claim(&job, &tried).await else {
                let refusal = if tried.is_empty() {
                    Refusal::Full
                } else {
                    Refusal::sent(attempt.outcome(), false)
                };
                return self.refuse(&job, refusal);
            };
            let endpoint = grant.endpoint.id;
            let details = format!(
                "request={} endpoint={} backup={} prompt={} output={} filled={:.2} waited_ms={} \
                 left_ms={} try={}",
                job.attempt,
                grant.endpoint.name,
                grant.backup.as_ref().map_or("-", |backup| &backup.name),
                job.asked.prompt,
                job.output(),
                grant.filled,
                job.arrived.elapsed().as_millis(),
                job.left().as_millis(),
                tried.len() + 1,
            );
            self.log.emit(Event::RequestSent, &details);
            let again = job.idempotent() && runs + 1 < job.route.max_attempts;
            let (progress, late, reason, answer) = match self.send(&job, grant, again).await {
                Sent::Answered(answer) => return answer,
                Sent::Failed {
                    progress,
                    late,
                    reason,
                    answer,
                } => (progress, late, reason, answer),
            };
            tried.push(endpoint);
            attempt.reach(progress);
            let certain = matches!(progress, Progress::Unsent | Progress::Declined);
            runs += u32::from(!certain);
            let worth = tried.len() < MOST_SENDS && job.left() > LEAST_LEFT;
            let allowed = worth && (certain || again) && self.allows(&job).await;
            match attempt.fail(allowed) {
                Next::Retry => {
                    let details = format!("request={} reason={reason}", job.attempt);
                    self.log.emit(Event::RequestRepeated, &details);
                    self.metrics.repeated(reason);
                }
                Next::Finish(outcome) => {
                    let refusal = Refusal::sent(outcome, late);
                    return match answer {
                        Some(answer) => self.pass(&job, answer, reason),
                        None => self.refuse(&job, refusal),
                    };
                }
            }
        }
    }

    /// Asks for an endpoint.
    async fn claim(&self, job: &Job, tried: &[EndpointId]) -> Option<Grant> {
        let (reply, granted) = oneshot::channel();
        let claim = Claim {
            need: job.need(),
            due: job.due(),
            excluded: tried.to_vec(),
            reply,
        };
        self.pool.send(claim).await.ok()?;
        granted.await.ok()
    }

    /// Asks whether the request may be sent once more.
    async fn allows(&self, job: &Job) -> bool {
        let next = self.pool.send(Repeat(job.service)).await;
        next.is_ok_and(|next| next == allowance::Next::Send)
    }

    /// Sends a request once; `again` says whether another endpoint may repeat it.
    async fn send(&self, job: &Arc<Job>, mut grant: Grant, again: bool) -> Sent {
        let backup = grant.backup.as_ref().map(|backup| backup.address);
        let request = job.request(&self.dialect, &grant.endpoint, backup, None);
        let time = if again {
            job.left().mul_f64(FIRST_SHARE)
        } else {
            job.left()
        };
        let until = Instant::now() + time;
        let answer = match connection::open(grant.endpoint.address, request, time).await {
            Ok(answer) => answer,
            Err(failure) => {
                grant.sign = sign(failure);
                return failed(failure);
            }
        };
        let status = answer.response.status();
        let replied = (self.dialect.replied)(status, answer.response.headers());
        if replied.attempt.as_deref() != Some(&job.attempt) && !replied.declined {
            // Bytes of another request: this one may have run, and its answer cannot be told apart.
            grant.sign = Signal::Failed;
            return lost("foreign_answer");
        }
        if replied.declined {
            return Sent::Failed {
                progress: Progress::Declined,
                late: false,
                reason: "declined",
                answer: None,
            };
        }
        if status.is_success() && !replied.signed {
            grant.sign = Signal::Failed;
            return lost("unsigned_answer");
        }
        if status == StatusCode::OK && job.route.kind == Kind::Streaming {
            return Sent::Answered(self.stream(job, grant, answer));
        }
        self.whole(job, grant, answer, until).await
    }

    /// Passes on a stream as it arrives.
    fn stream(&self, job: &Arc<Job>, grant: Grant, answer: Answer) -> Response<Body> {
        let (sender, body) = body::channel();
        let (parts, incoming) = answer.response.into_parts();
        let relay = Relay::new(
            self.clone(),
            Arc::clone(job),
            grant,
            (incoming, answer.driver),
            sender,
        );
        tokio::spawn(relay.run());
        Response::from_parts(clean(parts), body)
    }

    /// Receives a whole answer before it is passed on, so that one that breaks off can be replaced.
    async fn whole(&self, job: &Job, mut grant: Grant, answer: Answer, until: Instant) -> Sent {
        let (parts, incoming) = answer.response.into_parts();
        let collect = Limited::new(incoming, MAX_ANSWER).collect();
        let collected = tokio::time::timeout_at(until.into(), collect).await;
        let Ok(collected) = collected else {
            grant.sign = Signal::Failed;
            return failed(Failure::Silent);
        };
        let Ok(collected) = collected else {
            grant.sign = Signal::Failed;
            return lost("broken_answer");
        };
        let status = parts.status;
        let response = Response::from_parts(clean(parts), body::full(collected.to_bytes()));
        if status.is_server_error() {
            grant.sign = Signal::Failed;
            return Sent::Failed {
                progress: Progress::Written,
                late: status == StatusCode::GATEWAY_TIMEOUT,
                reason: "failed",
                answer: Some(response),
            };
        }
        grant.sign = Signal::Answered;
        Sent::Answered(self.pass(job, response, "answered"))
    }

    /// Passes on an endpoint's answer.
    fn pass(&self, job: &Job, answer: Response<Body>, reason: &'static str) -> Response<Body> {
        self.end(job, answer.status(), reason);
        answer
    }

    /// Answers a request that is given up.
    fn refuse(&self, job: &Job, refusal: Refusal) -> Response<Body> {
        let reason = match refusal {
            Refusal::Full => "full",
            Refusal::Declined => "declined",
            Refusal::Late => "late",
            _ => "lost",
        };
        self.end(job, refusal.status(), reason);
        refusal.response()
    }

    /// Notes the end of a request.
    pub(crate) fn end(&self, job: &Job, status: StatusCode, reason: &'static str) {
        let details = format!(
            "request={} route={} status={} ms={} reason={reason}",
            job.attempt,
            job.route.name,
            status.as_u16(),
            job.arrived.elapsed().as_millis(),
        );
        self.log.emit(Event::RequestEnded, &details);
        self.metrics
            .ended(job.kind(), reason, job.arrived.elapsed());
    }
}

/// Returns the head of an answer without what concerns one connection only.
fn clean(mut parts: response::Parts) -> response::Parts {
    daisyyard_http::remove_hop_by_hop(&mut parts.headers);
    parts.headers.remove(CONTENT_LENGTH);
    parts
}

/// Returns what a connection's failure says about the endpoint.
fn sign(failure: Failure) -> Signal {
    match failure {
        Failure::Refused => Signal::Refused,
        Failure::Unreachable => Signal::Unreachable,
        Failure::Unwritten | Failure::Partial | Failure::Broken => Signal::Lost,
        Failure::Silent => Signal::Failed,
    }
}

/// Returns the failure of a send whose connection failed.
fn failed(failure: Failure) -> Sent {
    let (progress, reason) = match failure {
        Failure::Refused => (Progress::Unsent, "refused"),
        Failure::Unreachable => (Progress::Unsent, "unreachable"),
        Failure::Unwritten => (Progress::Unsent, "unwritten"),
        // An endpoint may begin to work before it has the whole request.
        Failure::Partial | Failure::Broken => (Progress::Written, "broken"),
        Failure::Silent => (Progress::Written, "silent"),
    };
    Sent::Failed {
        progress,
        late: failure == Failure::Silent,
        reason,
        answer: None,
    }
}

/// Returns the failure of a send whose answer cannot be used.
fn lost(reason: &'static str) -> Sent {
    Sent::Failed {
        progress: Progress::Written,
        late: false,
        reason,
        answer: None,
    }
}
