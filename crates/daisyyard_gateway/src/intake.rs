//! Requests as they arrive: their configuration, route, client and body.

use std::sync::Arc;
use std::time::{Duration, Instant};

use bytes::Bytes;
use daisyyard_core::catalog::{Access, Catalog, Kind, Limits, Route};
use http_body_util::{BodyExt, LengthLimitError, Limited};
use hyper::body::Incoming;
use hyper::header::{CONTENT_LENGTH, HOST};
use hyper::{Request, Uri};

use crate::exchange::Exchange;
use crate::front::Phase;
use crate::job::Job;
use crate::refusal::Refusal;

/// Longest time that a request waits for the first configuration.
const CATALOG_WAIT: Duration = Duration::from_secs(1);
/// Share of a request's time that it waits for the first configuration at most.
const CATALOG_SHARE: f64 = 0.125;

impl Exchange {
    /// Reads a request and finds its route.
    pub(crate) async fn read(
        &self,
        request: Request<Incoming>,
        arrived: Instant,
    ) -> Result<Job, (Refusal, Option<String>)> {
        let asked = (self.dialect.asked)(request.headers());
        let id = asked.attempt.clone();
        let failed = |refusal| (refusal, id.clone());
        let attempt = id.clone().ok_or_else(|| failed(Refusal::Malformed))?;
        let catalog = self.catalog(asked.deadline).await.map_err(failed)?;
        let route = route(&catalog, &request).map_err(failed)?;
        let client = match catalog.access(&route, asked.credential.as_deref()) {
            Access::Open => None,
            Access::Granted(client) => Some(client),
            Access::Denied => return Err(failed(Refusal::Denied)),
        };
        if self.leaves() && route.kind == Kind::Streaming {
            return Err(failed(Refusal::Leaving));
        }
        let service = route
            .service(rand::random())
            .ok_or_else(|| failed(Refusal::Missing))?;
        let traits = catalog
            .service(service)
            .ok_or_else(|| failed(Refusal::Missing))?;
        let (connections, engine) = (traits.max_connections, traits.engine);
        let (mut head, body) = request.into_parts();
        let body = receive(body, catalog.limits).await.map_err(failed)?;
        daisyyard_http::remove_hop_by_hop(&mut head.headers);
        head.headers.remove(CONTENT_LENGTH);
        let time = asked.deadline.unwrap_or(route.timeout).min(route.timeout);
        Ok(Job {
            asked,
            attempt,
            client,
            service,
            connections,
            engine,
            method: head.method,
            target: origin_form(&head.uri),
            headers: head.headers,
            body,
            arrived,
            until: arrived + time,
            route,
        })
    }

    /// Returns the configuration in force. A gateway that has just started waits a moment for it,
    /// for an answer in time is worth more to the caller than an early refusal.
    async fn catalog(&self, deadline: Option<Duration>) -> Result<Arc<Catalog>, Refusal> {
        let deadline = deadline.unwrap_or_default();
        let wait = deadline.mul_f64(CATALOG_SHARE).min(CATALOG_WAIT);
        let mut held = self.held.clone();
        let known = tokio::time::timeout(wait, held.wait_for(Option::is_some)).await;
        let catalog = known.ok().and_then(|held| held.ok()?.clone());
        catalog.ok_or(Refusal::Unconfigured)
    }

    /// Returns whether the gateway was told to stop.
    fn leaves(&self) -> bool {
        *self.phase.borrow() != Phase::Serving
    }
}

/// Finds the route of a request.
fn route(catalog: &Catalog, request: &Request<Incoming>) -> Result<Arc<Route>, Refusal> {
    let host = request
        .headers()
        .get(HOST)
        .and_then(|host| host.to_str().ok());
    let host = request.uri().host().or(host).ok_or(Refusal::Malformed)?;
    let route = catalog.route(host, request.uri().path());
    route.cloned().ok_or(Refusal::Missing)
}

/// Receives the body of a request within the limits.
async fn receive(body: Incoming, limits: Limits) -> Result<Bytes, Refusal> {
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

/// Returns the path and query of a target.
fn origin_form(uri: &Uri) -> Uri {
    let path = uri.path_and_query().cloned();
    path.map_or_else(|| Uri::from_static("/"), Uri::from)
}
