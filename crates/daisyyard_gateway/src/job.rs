//! A request that the gateway serves: what was asked, and what an endpoint receives.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::{Duration, Instant};

use bytes::Bytes;
use daisyyard_core::backlog::Due;
use daisyyard_core::catalog::{Client, Engine, Kind, Priority, Route};
use daisyyard_core::endpoint::Endpoint;
use daisyyard_core::id::{ServiceId, Tokens};
use daisyyard_core::load::{Need, SHORT_OUTPUT};
use http_body_util::Full;
use hyper::{HeaderMap, Method, Request, Uri};

use crate::dialect::{Asked, Dialect, Order, Resume};

/// Tokens that are expected where neither the caller nor its limit says more.
const DEFAULT_OUTPUT: Tokens = 256;
/// Factor on the caller's estimate of the output, which is right in half of the cases only.
const HINT_FACTOR: f64 = 1.25;

/// A request that the gateway serves.
#[derive(Debug)]
pub(crate) struct Job {
    /// What the caller said.
    pub(crate) asked: Asked,
    /// Identifier of the caller's attempt, for the log and the engines.
    pub(crate) attempt: String,
    /// Route of the request.
    pub(crate) route: Arc<Route>,
    /// Client of the request.
    pub(crate) client: Option<Arc<Client>>,
    /// Service that answers.
    pub(crate) service: ServiceId,
    /// Connections that one endpoint of the service accepts.
    pub(crate) connections: u32,
    /// Traits of the engines, if the service is a model.
    pub(crate) engine: Option<Engine>,
    /// Method.
    pub(crate) method: Method,
    /// Path and query.
    pub(crate) target: Uri,
    /// Head as the caller sent it, without what concerns one connection only.
    pub(crate) headers: HeaderMap,
    /// Body.
    pub(crate) body: Bytes,
    /// When the request arrived.
    pub(crate) arrived: Instant,
    /// When its answer is due at the latest.
    pub(crate) until: Instant,
}

impl Job {
    /// Returns the time that is left.
    pub(crate) fn left(&self) -> Duration {
        self.until.saturating_duration_since(Instant::now())
    }

    /// Returns whether the request may run more than once.
    pub(crate) fn idempotent(&self) -> bool {
        self.route.kind == Kind::Idempotent
    }

    /// Returns the name of the kind, for metrics and logs.
    pub(crate) fn kind(&self) -> &'static str {
        match self.route.kind {
            Kind::Idempotent => "idempotent",
            Kind::NonIdempotent => "once",
            Kind::Streaming => "streaming",
        }
    }

    /// Returns the rank of the request.
    pub(crate) fn priority(&self) -> Priority {
        let own = self.client.as_ref().and_then(|client| client.priority);
        own.unwrap_or(self.route.priority)
    }

    /// Returns what the request needs of an endpoint.
    pub(crate) fn need(&self) -> Need {
        let output = if self.engine.is_some() {
            self.output()
        } else {
            0
        };
        Need {
            service: self.service,
            prompt: self.asked.prompt,
            output,
            connections: self.connections,
            memory: self.engine.map_or(0, |engine| engine.memory),
            backup: output >= SHORT_OUTPUT && self.engine.is_some_and(|engine| engine.backups),
        }
    }

    /// Returns the tokens that are expected to be generated.
    pub(crate) fn output(&self) -> Tokens {
        let limit = self.asked.output_limit.unwrap_or(Tokens::MAX);
        let hint = self
            .asked
            .output_hint
            .map(|hint| (hint as f64 * HINT_FACTOR) as Tokens);
        hint.unwrap_or(DEFAULT_OUTPUT).min(limit)
    }

    /// Returns when the request is due.
    pub(crate) fn due(&self) -> Due {
        let target = self.arrived + self.route.target_latency;
        Due {
            priority: self.priority(),
            arrived: self.arrived,
            target,
            until: target.min(self.until),
        }
    }

    /// Returns the request as an endpoint receives it.
    pub(crate) fn request(
        &self,
        dialect: &Dialect,
        endpoint: &Endpoint,
        backup: Option<SocketAddr>,
        resume: Option<Resume>,
    ) -> Request<Full<Bytes>> {
        let mut request = Request::new(Full::new(self.body.clone()));
        *request.method_mut() = self.method.clone();
        *request.uri_mut() = self.target.clone();
        let headers = request.headers_mut();
        headers.clone_from(&self.headers);
        let account = self
            .client
            .as_ref()
            .map(|client| client.account.name.clone());
        let order = Order {
            endpoint: endpoint.name.clone(),
            account,
            deadline: self.left(),
            backup,
            resume,
        };
        (dialect.order)(headers, &order);
        request
    }
}
