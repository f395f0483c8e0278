//! Relays requests to another gateway, while this one is cut off from the endpoints.
//!
//! The other gateway handles the request as one of a caller of its own. It takes such requests on a
//! listener that callers do not reach, and never relays them itself, so that no request goes in circles.

use std::sync::Arc;
use std::time::{Duration, Instant};

use daisyyard_core::attempt::{Decision, History, Outcome, Progress};
use daisyyard_core::catalog::Kind;
use daisyyard_core::id::InstanceId;
use daisyyard_core::stream_end::Framing;
use daisyyard_derive::key;
use daisyyard_http::connection::{self, Answer, Connection, Failure};
use hyper::body::{Body as _, Incoming};
use hyper::{Request, Response, StatusCode};

use crate::answer::strip_connection;
use crate::body::{self, Body};
use crate::buffer;
use crate::codec::Relayed;
use crate::event::Event;
use crate::isolation::{FindPeer, Peer};
use crate::job::Job;
use crate::passage::Passage;
use crate::proxy::{FIRST_SEND_SHARE, MIN_REMAINING, Proxy};
use crate::refusal::Refusal;
use crate::relay;
use crate::sent::{self, Sent, answer_unusable, connection_failed};

/// Maximum number of times that a request is relayed.
pub(crate) const MAX_RELAYS: usize = 3;
/// Timeout of a connection attempt. One that hangs leaves time for another gateway.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(300);

/// Who sends the requests of a listener.
#[key]
pub(crate) enum Origin {
    /// Callers.
    Caller,
    /// Other gateways, which relay requests of their callers.
    Gateway,
}

/// Way of one request to other gateways.
#[derive(Debug, Default)]
pub(crate) struct Detour {
    /// Gateways that did not take the request.
    excluded: Vec<InstanceId>,
    /// Number of times that the request was relayed.
    relays: usize,
    /// Number of endpoints that may have run the request.
    possible_runs: u32,
    /// Whether no gateway is left that could take the request.
    closed: bool,
    /// Whether the request counts toward the retry budget.
    pub(crate) counted: bool,
}

impl Detour {
    /// Creates the way of a request that was not relayed.
    pub(crate) fn new(counted: bool) -> Self {
        Self {
            counted,
            ..Self::default()
        }
    }

    /// Returns how many endpoints may run the request at the next gateway. Some are left for a further
    /// gateway, in case the answer of this one is lost.
    fn next_runs(&self, job: &Job) -> u32 {
        let left = job.max_runs().saturating_sub(self.possible_runs);
        if job.route.is_repeatable() {
            left.div_ceil(2)
        } else {
            left
        }
    }
}

/// Opens a connection to another gateway.
pub(crate) async fn open(peer: &Peer) -> Result<Connection, Failure> {
    connection::open(peer.address, Some(Instant::now() + CONNECT_TIMEOUT)).await
}

/// Returns whether the answer of another gateway means that a further one should be asked: it does not know
/// the route or credential yet, or states that the request was not run, although an earlier one may have.
fn is_declined(status: StatusCode, signed: bool, ran_before: bool) -> bool {
    match status {
        StatusCode::UNAUTHORIZED | StatusCode::FORBIDDEN | StatusCode::NOT_FOUND => !signed,
        StatusCode::REQUEST_TIMEOUT
        | StatusCode::MISDIRECTED_REQUEST
        | StatusCode::TOO_MANY_REQUESTS
        | StatusCode::SERVICE_UNAVAILABLE => ran_before,
        _ => false,
    }
}

impl Proxy {
    /// Handles a request that another gateway relays, and marks the response if that one should ask
    /// elsewhere.
    pub(crate) async fn handle_relayed(self, request: Request<Incoming>) -> Response<Body> {
        let (codec, metrics) = (self.codec, self.metrics.clone());
        let mut response = self.handle(request).await;
        let refusal = response.extensions().get::<Refusal>();
        let elsewhere = refusal.is_some_and(|refusal| refusal.is_local());
        (codec.relay.set_elsewhere)(response.headers_mut(), elsewhere);
        metrics.record_relay("taken", if elsewhere { "turned_away" } else { "handled" });
        response
    }

    /// Returns whether this gateway is cut off from the endpoints.
    pub(crate) fn is_isolated(&self) -> bool {
        *self.isolated.borrow()
    }

    /// Waits until this gateway is cut off from the endpoints. One that continues runs for others does not
    /// hand them on, so that nothing follows from it there.
    pub(crate) async fn cut_off(&self) {
        let mut isolated = self.isolated.clone();
        let ended = isolated.wait_for(|isolated| *isolated).await.is_err();
        if ended || self.origin == Origin::Gateway {
            std::future::pending::<()>().await;
        }
    }

    /// Returns whether a request may be relayed to another gateway.
    pub(crate) fn is_open(&self, detour: &Detour, history: &History) -> bool {
        self.is_isolated() && self.may_open(detour, history)
    }

    /// Returns whether a request may be relayed once this gateway is cut off from the endpoints.
    fn may_open(&self, detour: &Detour, history: &History) -> bool {
        let unsent = history.outcome() == Outcome::NotRun;
        self.origin == Origin::Caller && unsent && !detour.closed
    }

    /// Waits until a request may be relayed to another gateway.
    pub(crate) async fn opened(&self, detour: &Detour, history: &History) {
        let mut isolated = self.isolated.clone();
        if !self.may_open(detour, history) || isolated.wait_for(|isolated| *isolated).await.is_err()
        {
            std::future::pending::<()>().await;
        }
    }

    /// Relays a request until another gateway has answered it; returns nothing if none has taken it.
    pub(crate) async fn relay_request(
        &self,
        job: &Arc<Job>,
        detour: &mut Detour,
    ) -> Option<Response<Body>> {
        let mut history = History::new(job.route.is_repeatable());
        let mut ended = None;
        while detour.relays < MAX_RELAYS
            && job.remaining() > MIN_REMAINING
            && !self.ending.precedes(job.deadline)
        {
            let Some(peer) = self.find_peer(detour).await else {
                break;
            };
            detour.relays += 1;
            let id = peer.id;
            let sent = tokio::select! {
                sent = self.send_to_peer(job, peer, detour) => sent,
                () = self.ending.reached() => sent::stopped(),
            };
            let (progress, late, reason, response) = match sent {
                Sent::Answered(response) => return Some(response),
                Sent::Failed {
                    progress,
                    late,
                    reason,
                    response,
                } => (progress, late, reason, response),
            };
            let details = format!("request={} gateway={id:016x} reason={reason}", job.attempt);
            self.log.emit(Event::RelayFailed, &details);
            self.metrics.record_relay("sent", reason);
            if response.is_none() {
                detour.excluded.push(id);
            }
            history.advance(progress);
            let not_run = matches!(progress, Progress::Unsent | Progress::Declined);
            let runs_left = job.max_runs() > detour.possible_runs;
            let retry =
                not_run || runs_left && job.route.is_repeatable() && self.retry_allowed(job).await;
            // A gateway that did not take the request does not change what is known of the others.
            if !not_run || ended.is_none() {
                ended = Some((late, reason, response));
            }
            if history.fail(retry) != Decision::Retry {
                break;
            }
        }
        detour.closed = true;
        let (late, reason, response) = ended?;
        match (history.outcome(), response) {
            (Outcome::NotRun, _) => None,
            (_, Some(response)) => Some(self.forward(job, response, reason)),
            (outcome, None) => Some(self.refuse(job, Refusal::after_send(outcome, late), reason)),
        }
    }

    /// Asks the pool for a gateway that has not failed to take the request.
    async fn find_peer(&self, detour: &Detour) -> Option<Peer> {
        let found = self.pool.send(FindPeer(detour.excluded.clone())).await;
        // The pool ends only with the process.
        found.ok().flatten()
    }

    /// Relays a request to another gateway once.
    async fn send_to_peer(&self, job: &Arc<Job>, peer: Peer, detour: &mut Detour) -> Sent {
        let runs = detour.next_runs(job);
        let relayed = Relayed {
            counted: detour.counted,
            runs: Some(runs),
            handover: None,
        };
        let request = job.relayed_request(&self.codec, &relayed);
        let details = format!(
            "request={} gateway={:016x} address={} runs={runs} counted={} left_ms={} try={}",
            job.attempt,
            peer.id,
            peer.address,
            relayed.counted,
            job.remaining().as_millis(),
            detour.relays,
        );
        self.log.emit(Event::RequestRelayed, &details);
        let repeats = job.route.is_repeatable() && job.max_runs() > detour.possible_runs + runs;
        let timeout = if repeats && job.route.kind != Kind::Streaming {
            job.remaining().mul_f64(FIRST_SEND_SHARE)
        } else {
            job.remaining()
        };
        let deadline = Instant::now() + timeout;
        let sent = match open(&peer).await {
            Ok(connection) => connection.send(request, timeout).await,
            Err(failure) => Err(failure),
        };
        let answer = match sent {
            Ok(answer) => answer,
            Err(failure) if sent::is_unsent(failure) => return connection_failed(failure),
            Err(failure) => {
                detour.possible_runs += runs;
                return connection_failed(failure);
            }
        };
        if (self.codec.relay.is_elsewhere)(answer.response.headers()) {
            return Sent::Failed {
                progress: Progress::Declined,
                late: false,
                reason: "turned_away",
                response: None,
            };
        }
        let ran_before = detour.possible_runs > 0;
        detour.possible_runs += runs;
        self.pass_on(job, peer, answer, (deadline, ran_before))
            .await
    }

    /// Passes the answer of another gateway on to the caller. It is whole by the deadline; before, the
    /// request may have run through another gateway.
    async fn pass_on(
        &self,
        job: &Arc<Job>,
        peer: Peer,
        answer: Answer,
        (deadline, ran_before): (Instant, bool),
    ) -> Sent {
        let (mut parts, incoming) = answer.response.into_parts();
        let receipt = (self.codec.read_response)(parts.status, &parts.headers);
        if parts.status.is_success() && !(receipt.signed && receipt.answers(&job.attempt)) {
            return answer_unusable("foreign_answer");
        }
        (self.codec.relay.set_elsewhere)(&mut parts.headers, false);
        // A gateway marks the end of each response, so that an early one is an error.
        let framing = relay::framing(&parts.headers);
        if framing == Framing::Connection && !incoming.is_end_stream() {
            return answer_unusable("unframed_answer");
        }
        let status = parts.status;
        if is_declined(status, receipt.signed, ran_before) {
            return Sent::Failed {
                progress: Progress::Declined,
                late: false,
                reason: "declined",
                response: None,
            };
        }
        if status == StatusCode::OK && job.route.kind == Kind::Streaming {
            job.clear_body();
            let (sender, body) = body::channel();
            let passage = Passage {
                proxy: self.clone(),
                job: Arc::clone(job),
                body: incoming,
                sender,
                _peer: peer,
                _driver: answer.driver,
            };
            tokio::spawn(passage.run());
            self.metrics.record_relay("sent", "answered");
            return Sent::Answered(Response::from_parts(strip_connection(parts), body));
        }
        let read = buffer::read(&self.memory, incoming);
        let bytes = match tokio::time::timeout_at(deadline.into(), read).await {
            Ok(Ok(bytes)) => bytes,
            Ok(Err(buffer::Error::Broken)) => return answer_unusable("broken_answer"),
            Ok(Err(buffer::Error::TooLong)) => return answer_unusable("endless_answer"),
            Err(_elapsed) => return connection_failed(Failure::Silent),
        };
        let response = Response::from_parts(strip_connection(parts), body::full(bytes));
        // The other gateway states with status 503 that the request has not run.
        if status.is_server_error() && status != StatusCode::SERVICE_UNAVAILABLE {
            return Sent::Failed {
                progress: Progress::Written,
                late: status == StatusCode::GATEWAY_TIMEOUT,
                reason: "failed",
                response: Some(response),
            };
        }
        self.metrics.record_relay("sent", "answered");
        Sent::Answered(self.forward(job, response, "relayed"))
    }
}
