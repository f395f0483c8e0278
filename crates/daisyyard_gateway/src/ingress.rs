//! Reads an incoming request: resolves its route and client and receives its body.

use std::sync::Arc;
use std::time::{Duration, Instant};

use bytes::Bytes;
use daisyyard_core::catalog::{Access, Catalog, Kind, Limits, Route};
use http_body_util::{BodyExt, LengthLimitError, Limited};
use hyper::body::Incoming;
use hyper::header::{CONTENT_LENGTH, HOST};
use hyper::{Request, Uri};

use crate::codec::Position;
use crate::job::{self, Job};
use crate::proxy::Proxy;
use crate::refusal::Refusal;
use crate::server::Phase;

/// Maximum time that a request waits for the first configuration.
const MAX_CATALOG_WAIT: Duration = Duration::from_secs(1);
/// Maximum share of a request's timeout that it waits for the first configuration.
const MAX_CATALOG_WAIT_SHARE: f64 = 0.125;

impl Proxy {
    /// Reads a request and resolves its route; on failure, returns the refusal and the attempt.
    pub(crate) async fn receive_request(
        &self,
        request: Request<Incoming>,
        arrived: Instant,
    ) -> Result<Job, (Refusal, Option<String>)> {
        let parameters = (self.codec.read_request)(request.headers());
        let id = parameters.attempt.clone();
        let failed = |refusal| (refusal, id.clone());
        let attempt = id.clone().ok_or_else(|| failed(Refusal::Malformed))?;
        let catalog = self
            .wait_for_catalog(parameters.timeout)
            .await
            .map_err(failed)?;
        let route = route(&catalog, &request).map_err(failed)?;
        let client = match catalog.access(&route, parameters.credential.as_deref()) {
            Access::Open => None,
            Access::Granted(client) => Some(client),
            Access::Denied => return Err(failed(Refusal::Denied)),
        };
        if self.is_leaving() && route.kind == Kind::Streaming {
            return Err(failed(Refusal::Leaving));
        }
        let resume_after = position(&route, parameters.position).map_err(failed)?;
        let service = route
            .service(rand::random())
            .ok_or_else(|| failed(Refusal::Missing))?;
        let traits = catalog
            .service(service)
            .ok_or_else(|| failed(Refusal::Missing))?;
        let (connections, engine) = (traits.max_connections, traits.engine);
        let (mut head, body) = request.into_parts();
        let body = tokio::select! {
            body = receive_body(body, catalog.limits) => body.map_err(failed)?,
            () = self.ending.reached() => return Err(failed(Refusal::Leaving)),
        };
        daisyyard_http::remove_hop_by_hop(&mut head.headers);
        head.headers.remove(CONTENT_LENGTH);
        let timeout = parameters
            .timeout
            .unwrap_or(route.timeout)
            .min(route.timeout);
        let deadline = arrived + timeout;
        if self.ending.precedes(deadline) {
            return Err(failed(Refusal::Leaving));
        }
        let uri = origin_form(&head.uri);
        let contents = job::contents(
            client.as_deref(),
            &head.method,
            &uri,
            &body,
            &parameters.shared_parts,
        );
        Ok(Job {
            parameters,
            attempt,
            contents,
            client,
            service,
            connections,
            engine,
            method: head.method,
            uri,
            headers: head.headers,
            body,
            resume_after,
            arrived,
            deadline,
            route,
        })
    }

    /// Returns the current configuration. A gateway that has just started waits briefly for the
    /// first one, since a response in time is worth more to the caller than an early refusal.
    async fn wait_for_catalog(&self, timeout: Option<Duration>) -> Result<Arc<Catalog>, Refusal> {
        let timeout = timeout.unwrap_or_default();
        let wait = timeout
            .mul_f64(MAX_CATALOG_WAIT_SHARE)
            .min(MAX_CATALOG_WAIT);
        let mut configuration = self.configuration.clone();
        let known = tokio::time::timeout(wait, configuration.wait_for(Option::is_some)).await;
        let catalog = known
            .ok()
            .and_then(|configuration| configuration.ok()?.clone());
        catalog.ok_or(Refusal::Unconfigured)
    }

    /// Returns whether a graceful shutdown has begun.
    fn is_leaving(&self) -> bool {
        *self.phase.borrow() != Phase::Serving
    }
}

/// Finds the route of a request by its host and path.
fn route(catalog: &Catalog, request: &Request<Incoming>) -> Result<Arc<Route>, Refusal> {
    let host = request
        .headers()
        .get(HOST)
        .and_then(|host| host.to_str().ok());
    let host = request.uri().host().or(host).ok_or(Refusal::Malformed)?;
    let route = catalog.route(host, request.uri().path());
    route.cloned().ok_or(Refusal::Missing)
}

/// Returns the number of the event after which the caller resumes the stream of a route. The
/// position is ignored if the stream cannot be resumed.
fn position(route: &Route, position: Position) -> Result<Option<u64>, Refusal> {
    match position {
        _ if !route.is_repeatable() || route.kind != Kind::Streaming => Ok(None),
        Position::Start => Ok(None),
        Position::After(number) => Ok(Some(number)),
        Position::Malformed => Err(Refusal::Misplaced),
    }
}

/// Receives the body of a request within the configured limits.
async fn receive_body(body: Incoming, limits: Limits) -> Result<Bytes, Refusal> {
    let collect = Limited::new(body, limits.max_body_bytes).collect();
    let collected = tokio::time::timeout(limits.idle_timeout, collect).await;
    let collected = collected.map_err(|_elapsed| Refusal::Unread)?;
    let collected = collected.map_err(|error| {
        if error.is::<LengthLimitError>() {
            Refusal::TooLong
        } else {
            Refusal::Unread
        }
    })?;
    Ok(collected.to_bytes())
}

/// Returns the path and query of a request URI.
fn origin_form(uri: &Uri) -> Uri {
    let path = uri.path_and_query().cloned();
    path.map_or_else(|| Uri::from_static("/"), Uri::from)
}
