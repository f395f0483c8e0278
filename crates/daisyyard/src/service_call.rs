//! Calls of plain HTTP services, which are not engines: `ANY /services/<name>/<path>`.

use std::time::Duration;

use bytes::Bytes;
use daisyyard_core::attempt::{Decision, Outcome, Progress};
use daisyyard_core::contract::Rank;
use daisyyard_core::endpoint::{self, Endpoint};
use daisyyard_core::id::{self, AccountId};
use daisyyard_core::link::Signal;
use daisyyard_core::route::Request as RouteRequest;
use daisyyard_http::connection::{self, Answer, Failure};
use daisyyard_http::{self as http, Body};
use http_body_util::{BodyExt, Full, Limited};
use hyper::body::Incoming;
use hyper::header::{AUTHORIZATION, CONTENT_LENGTH, HOST, HeaderMap, HeaderValue};
use hyper::http::request::Parts;
use hyper::{Method, Request, Response, StatusCode};
use tokio::sync::oneshot;

use crate::at_most_once::{self, End};
use crate::attempts::Attempts;
use crate::call_registry::Claim;
use crate::dispatch::{EndRequest, ObserveSignal, Route, Target};
use crate::generation::Actors;
use crate::refusal::{Kind, Refusal};
use crate::server;

/// Time limit for an endpoint's response head, and again for its body.
const ANSWER_TIMEOUT: Duration = Duration::from_secs(30);
/// Maximum size of an endpoint's answer, in bytes.
const MAX_ANSWER_BYTES: usize = 16 << 20;
/// Maximum length of an idempotency key, in bytes.
const MAX_KEY_BYTES: usize = 255;
/// Seed of the fingerprint of a call's content; all nodes must use the same one.
const FINGERPRINT_SEED: u64 = 0x636f_6e74_656e_7431;
/// Message to a caller when it is not known whether its call ran.
const UNCERTAIN_MESSAGE: &str =
    "an earlier call with this key may have run; check before a new key";
/// Header that marks an answer as the stored answer of an earlier call with the same key.
const REPLAYED_HEADER: &str = "idempotent-replayed";

/// A call of a plain service.
#[derive(Debug)]
struct Call {
    /// Head of the request, as sent to the endpoint.
    head: Parts,
    /// Body of the call.
    body: Bytes,
    /// The call as routing sees it.
    route_request: RouteRequest,
}

/// Forwards a call to a live endpoint of its service.
pub(crate) async fn call(
    actors: &Actors,
    account: AccountId,
    request: Request<Incoming>,
) -> Result<Response<Body>, Refusal> {
    let call = Call::read(account, request).await?;
    let service = call.route_request.service;
    let result = match call.key()? {
        Some(key) => run_once(actors, call, key).await,
        None => call.run(actors).await.map(Response::from),
    };
    let verdict = match &result {
        Ok(answer) if answer.headers().contains_key(REPLAYED_HEADER) => "replayed",
        Ok(_) => "answered",
        Err(refusal) => refusal.kind.code(),
    };
    actors.metrics.call_ended(service, verdict);
    result
}

/// Runs a call with an idempotency key at most once across all nodes.
async fn run_once(actors: &Actors, call: Call, key: String) -> Result<Response<Body>, Refusal> {
    let claim = Claim {
        account: call.route_request.account,
        service: call.route_request.service,
        key,
        fingerprint: id::fingerprint(FINGERPRINT_SEED, &call.content()),
    };
    let (report, reported) = oneshot::channel();
    let sender = actors.clone();
    let send = move || async move {
        let result = call.run(&sender).await;
        let sent = at_most_once::Exchange::from(&result);
        let _ = report.send(result);
        sent
    };
    let end = at_most_once::run_once(actors.calls.clone(), claim, send).await;
    match end {
        // Returns the original answer, because the registry does not store the headers.
        End::Answer(..) | End::NotSent(_) => match reported.await {
            Ok(result) => result.map(Response::from),
            Err(_) => Err(Refusal::unknown(Kind::Uncertain, UNCERTAIN_MESSAGE)),
        },
        End::Replay(status, body) => Ok(replay(status, body)),
        End::NotKept(status) => {
            let message = format!("the call ran with status {status}; its answer was not kept");
            let refusal = Refusal::not_run(Kind::NotKept, message);
            Err(Refusal {
                outcome: Outcome::Run,
                ..refusal
            })
        }
        End::Unknown => Err(Refusal::unknown(Kind::Uncertain, UNCERTAIN_MESSAGE)),
        End::KeyReused => {
            let message = "the key was used with another body; use a new key for a new call";
            Err(Refusal::not_run(Kind::KeyReused, message))
        }
        End::Full => {
            let message = "the call registry is full; repeat the call after the retention of 24 h";
            Err(Refusal::not_run(Kind::Unavailable, message))
        }
        End::Unavailable => {
            let message = "the call was not sent, since the call registry does not answer; an \
                           earlier call with this key may have run; repeat it with the same key";
            Err(Refusal::unknown(Kind::Unavailable, message))
        }
    }
}

/// Creates the response to a repeated call from its stored answer.
fn replay(status: u16, body: Bytes) -> Response<Body> {
    let mut response = Response::new(http::full(body));
    *response.status_mut() = StatusCode::from_u16(status).unwrap_or(StatusCode::OK);
    let headers = response.headers_mut();
    headers.insert(REPLAYED_HEADER, HeaderValue::from_static("true"));
    response
}

impl From<&Result<Reply, Refusal>> for at_most_once::Exchange {
    fn from(result: &Result<Reply, Refusal>) -> Self {
        match result {
            Ok(reply) => Self {
                progress: Progress::Answered,
                answer: Some((reply.head.status.as_u16(), reply.body.clone())),
            },
            Err(refusal) => Self {
                progress: match refusal.outcome {
                    Outcome::NotRun => Progress::Unsent,
                    Outcome::Run | Outcome::Unknown => Progress::Written,
                },
                answer: None,
            },
        }
    }
}

/// The complete answer of an endpoint.
#[derive(Debug)]
struct Reply {
    /// Head of the answer, without hop-by-hop headers.
    head: hyper::http::response::Parts,
    /// Body of the answer.
    body: Bytes,
}

impl From<Reply> for Response<Body> {
    fn from(reply: Reply) -> Self {
        Self::from_parts(reply.head, http::full(reply.body))
    }
}

impl Call {
    /// Reads a call from its request.
    async fn read(account: AccountId, request: Request<Incoming>) -> Result<Self, Refusal> {
        let path = request.uri().path_and_query();
        let path = path.map_or("/", |path| path.as_str());
        let rest = path.strip_prefix("/services/").unwrap_or_default();
        let (name, rest) = match rest.find(['/', '?']) {
            Some(end) => rest.split_at(end),
            None => (rest, ""),
        };
        let service = id::of(name);
        let target = if rest.starts_with('/') {
            rest.to_owned()
        } else {
            format!("/{rest}")
        };
        let mut builder = Request::builder().method(request.method()).uri(target);
        if let Some(headers) = builder.headers_mut() {
            *headers = end_to_end_headers(request.headers());
            headers.remove(AUTHORIZATION);
            headers.remove(HOST);
            headers.remove(CONTENT_LENGTH);
        }
        let head = builder.body(()).map_err(|error| {
            Refusal::not_run(Kind::Malformed, format!("the call is malformed: {error}"))
        })?;
        let head = head.into_parts().0;
        let route_request = RouteRequest {
            id: rand::random(),
            service,
            account,
            rank: Rank::Urgent,
            prompt: 0,
            prefix: Vec::new(),
        };
        let body = server::read_body(request).await?;
        Ok(Self {
            head,
            body,
            route_request,
        })
    }

    /// Returns the idempotency key, if the call has one and its method is not idempotent.
    fn key(&self) -> Result<Option<String>, Refusal> {
        let Some(value) = self.head.headers.get("idempotency-key") else {
            return Ok(None);
        };
        if self.idempotent() {
            return Ok(None);
        }
        let key = value.to_str().ok();
        let key = key.filter(|key| !key.is_empty() && key.len() <= MAX_KEY_BYTES);
        key.map(|key| Some(key.to_owned())).ok_or_else(|| {
            let message = "Idempotency-Key must be 1 to 255 visible ASCII characters";
            Refusal::not_run(Kind::Malformed, message)
        })
    }

    /// Returns whether the method makes it safe to run the call twice.
    fn idempotent(&self) -> bool {
        matches!(self.head.method, Method::GET | Method::HEAD)
    }

    /// Sends the call to endpoints until one answers or no further attempt is allowed.
    async fn run(&self, actors: &Actors) -> Result<Reply, Refusal> {
        let mut attempts = Attempts::new(
            actors.dispatch.clone(),
            self.route_request.account,
            self.route_request.service,
            self.idempotent(),
        );
        loop {
            let route = Route {
                request: self.route_request.clone(),
                key: id::fingerprint(self.route_request.account, &self.content()),
                kind: endpoint::Kind::Plain,
                tried: attempts.tried().to_vec(),
                engines_asked: 0,
                asked_at: Duration::ZERO,
            };
            let endpoint = match actors.dispatch.send(route).await {
                Ok(Target::Endpoint { endpoint, .. }) => endpoint,
                Ok(Target::Suspected) => {
                    let message = "this call crashed endpoints; change it or wait 10 minutes";
                    return Err(refuse(Kind::Suspected, message, &attempts));
                }
                Ok(Target::Unavailable) | Err(_) => {
                    let message = "no endpoint of this service may receive work; ask again later";
                    return Err(refuse(Kind::Unavailable, message, &attempts));
                }
            };
            attempts.start(endpoint.id);
            let sent = self.send(&endpoint).await;
            let (signal, lost) = match sent {
                Ok(_) => (Signal::Served, false),
                Err(Failure::Refused | Failure::Unreachable) => (Signal::Dead, false),
                Err(Failure::Broken | Failure::Partial) => (Signal::Broken, true),
                Err(Failure::Unwritten | Failure::Late | Failure::Silent | Failure::Malformed) => {
                    (Signal::Broken, false)
                }
            };
            self.report(actors, &endpoint, signal, lost).await;
            match sent {
                Ok(Disposition::Answered(reply)) => return Ok(reply),
                Ok(Disposition::Declined) => attempts.reach(Progress::Declined),
                Err(
                    Failure::Refused | Failure::Unreachable | Failure::Unwritten | Failure::Late,
                ) => {
                    attempts.reach(Progress::Unsent);
                }
                Err(Failure::Partial | Failure::Broken | Failure::Silent | Failure::Malformed) => {
                    attempts.reach(Progress::Written);
                }
            }
            if let Decision::Finish(outcome) = attempts.fail(true).await {
                let (kind, message) = match outcome {
                    Outcome::NotRun => (Kind::Unavailable, "no endpoint took the call; ask again"),
                    _ => (
                        Kind::Interrupted,
                        "the endpoint was lost; check whether the call took effect",
                    ),
                };
                return Err(refuse(kind, message, &attempts));
            }
            actors.metrics.call_retried(self.route_request.service);
        }
    }

    /// Sends the call to one endpoint and reads its complete answer.
    async fn send(&self, endpoint: &Endpoint) -> Result<Disposition, Failure> {
        let mut request = Request::new(Full::new(self.body.clone()));
        *request.method_mut() = self.head.method.clone();
        *request.uri_mut() = self.head.uri.clone();
        *request.headers_mut() = self.head.headers.clone();
        let host = endpoint.address.to_string();
        if let Ok(host) = host.parse() {
            request.headers_mut().insert(HOST, host);
        }
        let Answer { response, driver } =
            connection::send(endpoint.address, request, ANSWER_TIMEOUT).await?;
        let (head, body) = response.into_parts();
        let declines = [
            StatusCode::TOO_MANY_REQUESTS,
            StatusCode::SERVICE_UNAVAILABLE,
        ];
        let proof = head.headers.get("x-not-run");
        if declines.contains(&head.status) && proof.is_some_and(|proof| proof.as_bytes() == b"1") {
            return Ok(Disposition::Declined);
        }
        let body = Limited::new(body, MAX_ANSWER_BYTES).collect();
        let body = tokio::time::timeout(ANSWER_TIMEOUT, body).await;
        let Ok(Ok(body)) = body else {
            return Err(Failure::Broken);
        };
        drop(driver);
        let mut head = head;
        head.headers = end_to_end_headers(&head.headers);
        Ok(Disposition::Answered(Reply {
            head,
            body: body.to_bytes(),
        }))
    }

    /// Reports the health of an endpoint and the end of the call there; `lost` says that the
    /// connection broke after a byte was written.
    async fn report(&self, actors: &Actors, endpoint: &Endpoint, signal: Signal, lost: bool) {
        let _ = actors
            .dispatch
            .send(ObserveSignal(endpoint.id, signal))
            .await;
        let done = EndRequest {
            endpoint: endpoint.id,
            request: self.route_request.id,
            crashed: lost && connection::is_refused(endpoint.address).await,
        };
        let _ = actors.dispatch.send(done).await;
    }

    /// Returns the bytes to fingerprint: method, path and body.
    fn content(&self) -> Vec<u8> {
        let mut content = format!("{} {}\n", self.head.method, self.head.uri).into_bytes();
        content.extend_from_slice(&self.body);
        content
    }
}

/// How an endpoint handled a call.
#[derive(Debug)]
enum Disposition {
    /// The endpoint answered.
    Answered(Reply),
    /// The endpoint stated that it did not run the call.
    Declined,
}

/// Returns the headers without the hop-by-hop headers.
fn end_to_end_headers(headers: &HeaderMap) -> HeaderMap {
    let mut kept = headers.clone();
    http::remove_hop_by_hop(&mut kept);
    kept
}

/// Creates a refusal with the known outcome.
fn refuse(kind: Kind, message: &str, attempts: &Attempts) -> Refusal {
    Refusal {
        outcome: attempts.outcome(),
        ..Refusal::not_run(kind, message)
    }
}
