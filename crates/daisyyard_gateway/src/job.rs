//! A request in progress, and how it is rewritten for an endpoint.

use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};

use bytes::Bytes;
use daisyyard_core::backlog::Schedule;
use daisyyard_core::catalog::{Client, Engine, Kind, Priority, Route};
use daisyyard_core::endpoint::Endpoint;
use daisyyard_core::id::{self, Fingerprint, ServiceId, Tokens};
use daisyyard_core::load::{Need, SHORT_OUTPUT_TOKENS};
use daisyyard_core::turn::{self, Ask, patience};
use http_body_util::Full;
use hyper::{HeaderMap, Method, Request, Uri};

use crate::codec::{Codec, Directive, Parameters, Relayed, Replica};

/// Expected output if the caller gives no hint.
const DEFAULT_OUTPUT_TOKENS: Tokens = 256;
/// Factor on the caller's hint of the output length, which is right only half of the time.
const HINT_FACTOR: f64 = 1.25;

/// A request that the gateway has accepted.
#[derive(Debug)]
pub(crate) struct Job {
    /// Parameters from the caller's headers.
    pub(crate) parameters: Parameters,
    /// Identifier of the caller's attempt, for the log and the engines.
    pub(crate) attempt: String,
    /// What another gateway states that relays the request for its caller.
    pub(crate) relayed: Relayed,
    /// Fingerprints of what the caller asks for: its account, method, path and body as a whole, and the
    /// parts of its prompt that other requests may share.
    pub(crate) contents: Arc<[Fingerprint]>,
    /// Route of the request.
    pub(crate) route: Arc<Route>,
    /// Client account; `None` if the route needs no credential.
    pub(crate) client: Option<Arc<Client>>,
    /// Service that the request is sent to.
    pub(crate) service: ServiceId,
    /// Maximum number of connections to one endpoint of the service.
    pub(crate) connections: u32,
    /// Properties of the engines, if the service is a model.
    pub(crate) engine: Option<Engine>,
    /// HTTP method.
    pub(crate) method: Method,
    /// Path and query.
    pub(crate) uri: Uri,
    /// Headers of the caller, without those that apply only to its connection.
    pub(crate) headers: HeaderMap,
    /// Complete body, until no further send can need it.
    pub(crate) body: Mutex<Option<Bytes>>,
    /// Number of the event after which the caller resumes the stream.
    pub(crate) resume_after: Option<u64>,
    /// When the request arrived.
    pub(crate) arrived: Instant,
    /// When the response must be complete.
    pub(crate) deadline: Instant,
}

/// Returns the fingerprints of what a caller asks for: the request as a whole, then the parts of its
/// prompt that other requests may share.
pub(crate) fn contents(
    client: Option<&Client>,
    method: &Method,
    uri: &Uri,
    body: &[u8],
    shared_parts: &[Fingerprint],
) -> Arc<[Fingerprint]> {
    let whole = content(client, method, uri, body);
    std::iter::once(whole)
        .chain(shared_parts.iter().copied())
        .collect()
}

/// Returns the fingerprint of a request as a whole. It covers the account, so that one account
/// cannot affect the requests of another one.
fn content(client: Option<&Client>, method: &Method, uri: &Uri, body: &[u8]) -> Fingerprint {
    let account = client.map_or(0, |client| client.account.id);
    let head = format!("{method} {uri}\n");
    id::fingerprint_parts(account, &[head.as_bytes(), body])
}

impl Job {
    /// Returns the fingerprint of what the caller asks for as a whole.
    pub(crate) fn content(&self) -> Fingerprint {
        self.contents.first().copied().unwrap_or_default()
    }

    /// Returns the body, if it is still held.
    fn body(&self) -> MutexGuard<'_, Option<Bytes>> {
        // The lock is held for single reads and writes only.
        self.body.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Returns whether the request can be sent, or whether its body was dropped.
    pub(crate) fn is_sendable(&self) -> bool {
        self.body().is_some()
    }

    /// Drops the body of a request that an endpoint is answering, unless a later send may need it: at
    /// a further endpoint, or at an engine that continues the run.
    pub(crate) fn drop_body(&self, runs_left: u32) {
        let continues = |engine: Engine| engine.moves || engine.backups;
        let is_streaming = self.route.kind == Kind::Streaming;
        let may_continue = is_streaming && self.engine.is_some_and(continues);
        if runs_left == 0 && !may_continue {
            self.clear_body();
        }
    }

    /// Returns the maximum number of endpoints that may run the request.
    pub(crate) fn max_runs(&self) -> u32 {
        let stated = self.relayed.runs.unwrap_or(u32::MAX);
        self.route.max_attempts.min(stated)
    }

    /// Drops the body of a request that is not sent again.
    pub(crate) fn clear_body(&self) {
        *self.body() = None;
    }

    /// Returns the time until the deadline.
    pub(crate) fn remaining(&self) -> Duration {
        self.deadline.saturating_duration_since(Instant::now())
    }

    /// Returns the name of the route's kind for metrics and logs.
    pub(crate) fn kind(&self) -> &'static str {
        match self.route.kind {
            Kind::Idempotent => "idempotent",
            Kind::NonIdempotent => "once",
            Kind::Streaming => "streaming",
        }
    }

    /// Returns the priority of the request; that of the client overrides that of the route.
    pub(crate) fn priority(&self) -> Priority {
        let client_priority = self.client.as_ref().and_then(|client| client.priority);
        client_priority.unwrap_or(self.route.priority)
    }

    /// Returns the resources that the request needs at an endpoint.
    pub(crate) fn need(&self) -> Need {
        let output = if self.engine.is_some() {
            self.expected_output()
        } else {
            0
        };
        Need {
            service: self.service,
            prompt: self.parameters.prompt_tokens,
            output,
            connections: self.connections,
            memory: self.engine.map_or(0, |engine| engine.memory),
            target_gap: self.route.target_gap,
            backup: !self.is_short() && self.engine.is_some_and(|engine| engine.backups),
        }
    }

    /// Returns the expected number of output tokens.
    pub(crate) fn expected_output(&self) -> Tokens {
        let limit = self.parameters.max_output_tokens.unwrap_or(Tokens::MAX);
        let hint = self
            .parameters
            .expected_output_tokens
            .map(|hint| (hint as f64 * HINT_FACTOR) as Tokens);
        hint.unwrap_or(DEFAULT_OUTPUT_TOKENS).min(limit)
    }

    /// Returns whether the expected output is short.
    fn is_short(&self) -> bool {
        self.expected_output() < SHORT_OUTPUT_TOKENS
    }

    /// Returns the priority and the times by which waiting requests are ordered.
    pub(crate) fn schedule(&self) -> Schedule {
        let target = self.arrived + self.route.target_latency;
        Schedule {
            priority: self.priority(),
            short: self.is_short(),
            arrived: self.arrived,
            target,
            expires: target.min(self.deadline),
        }
    }

    /// Returns what the request asks for, by which it is admitted under overload.
    pub(crate) fn ask(&self) -> Ask {
        let size = if self.engine.is_some() {
            self.need().tokens()
        } else {
            1
        };
        // The caller of a plain service waits for the whole answer.
        let leaves = if self.route.kind == Kind::Streaming {
            self.arrived + patience(self.route.target_latency, self.route.target_gap)
        } else {
            self.deadline
        };
        Ask {
            kind: turn::Kind {
                service: self.service,
                priority: self.priority(),
                short: self.is_short() || self.engine.is_none(),
            },
            account: self.client.as_ref().map_or(0, |client| client.account.id),
            size,
            place: self.arrived,
            target: self.arrived + self.route.target_latency,
            leaves,
            deadline: self.deadline,
        }
    }

    /// Builds the request that another gateway handles in place of this one.
    pub(crate) fn relayed_request(&self, codec: &Codec, relayed: &Relayed) -> Request<Full<Bytes>> {
        let mut request = self.copy();
        (codec.relay.write_request)(request.headers_mut(), self.remaining(), relayed);
        request
    }

    /// Returns the request as it came from the caller, without what applies only to its connection.
    fn copy(&self) -> Request<Full<Bytes>> {
        let body = self.body().clone().unwrap_or_default();
        let mut request = Request::new(Full::new(body));
        *request.method_mut() = self.method.clone();
        *request.uri_mut() = self.uri.clone();
        request.headers_mut().clone_from(&self.headers);
        request
    }

    /// Builds the request that is sent to an endpoint; a stream starts after the event
    /// `last_event`.
    pub(crate) fn request(
        &self,
        codec: &Codec,
        endpoint: &Endpoint,
        backup: Option<SocketAddr>,
        replica: Option<Replica>,
        last_event: Option<u64>,
    ) -> Request<Full<Bytes>> {
        let mut request = self.copy();
        let headers = request.headers_mut();
        let account = self
            .client
            .as_ref()
            .map(|client| client.account.name.clone());
        let directive = Directive {
            endpoint: endpoint.name.clone(),
            account,
            timeout: self.remaining(),
            backup,
            replica,
            last_event,
        };
        (codec.write_request)(headers, &directive);
        request
    }
}
