//! Reads an incoming request: resolves its route and client and receives its body.

use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use bytes::Bytes;
use daisyyard_core::catalog::{Access, Catalog, Kind, Limits, Route};
use daisyyard_core::footprint::Use;
use daisyyard_core::id::AccountId;
use http_body_util::BodyExt;
use hyper::body::{Body, Incoming};
use hyper::header::{CONTENT_LENGTH, HOST, HeaderValue};
use hyper::http::request;
use hyper::http::uri::Authority;
use hyper::{Request, Uri};

use crate::codec::{Position, Relayed};
use crate::detour::Origin;
use crate::job::{self, Job};
use crate::memory::{Buffer, Full};
use crate::proxy::Proxy;
use crate::refusal::Refusal;
use crate::server::Phase;

/// Maximum time that a request waits for the first configuration.
const MAX_CATALOG_WAIT: Duration = Duration::from_secs(1);
/// Maximum share of a request's timeout that it waits for the first configuration.
const MAX_CATALOG_WAIT_SHARE: f64 = 0.125;
/// Maximum time that a body may take while too many others are incomplete. An ordinary one comes with
/// its head or one round trip later.
const MAX_UNCOUNTED_TIME: Duration = Duration::from_millis(250);

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
        let outdated = self.standing.borrow().stale;
        let not_allowed = |refusal: Refusal| failed(refusal.by_configuration(outdated));
        let route = route(&catalog, &request).map_err(not_allowed)?;
        let client = match catalog.access(&route, parameters.credential.as_deref()) {
            Access::Open => None,
            Access::Granted(client) => Some(client),
            Access::Denied => return Err(not_allowed(Refusal::Denied)),
        };
        if self.is_leaving() && route.kind == Kind::Streaming {
            return Err(failed(Refusal::Leaving));
        }
        let resume_after = position(&route, parameters.position).map_err(failed)?;
        let service = route
            .service(rand::random())
            .ok_or_else(|| not_allowed(Refusal::Missing))?;
        let traits = catalog
            .service(service)
            .ok_or_else(|| not_allowed(Refusal::Missing))?;
        let (connections, engine) = (traits.max_connections, traits.engine);
        let timeout = parameters
            .timeout
            .unwrap_or(route.timeout)
            .min(route.timeout);
        let deadline = arrived + timeout;
        let (mut head, body) = request.into_parts();
        let account = client.as_ref().map(|client| client.account.id);
        let body = tokio::select! {
            body = self.receive_body(body, catalog.limits, account, deadline) => body.map_err(failed)?,
            () = self.ending.reached() => return Err(failed(Refusal::Leaving)),
        };
        daisyyard_http::remove_hop_by_hop(&mut head.headers);
        head.headers.remove(CONTENT_LENGTH);
        adopt_authority(&mut head);
        if self.ending.precedes(deadline) {
            return Err(failed(Refusal::Leaving));
        }
        // Callers cannot state anything in place of a gateway.
        let relayed = match self.origin {
            Origin::Caller => Relayed::default(),
            Origin::Gateway => (self.codec.relay.read_request)(&head.headers)
                .ok_or_else(|| failed(Refusal::Declined))?,
        };
        // A run that is handed over goes on after the last event that its caller has.
        let handover = relayed.handover.as_ref();
        let resume_after = handover.and_then(|it| it.last_event).or(resume_after);
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
            relayed,
            contents,
            client,
            service,
            connections,
            engine,
            method: head.method,
            uri,
            headers: head.headers,
            body: Mutex::new(Some(body)),
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

    /// Receives the body of a request within the configured limits and the room that the gateway has.
    /// A body that is incomplete at the deadline of its request could not be answered any more.
    async fn receive_body(
        &self,
        body: Incoming,
        limits: Limits,
        account: Option<AccountId>,
        deadline: Instant,
    ) -> Result<Bytes, Refusal> {
        if body.is_end_stream() {
            return Ok(Bytes::new());
        }
        let declared = body.size_hint().exact().map(|size| size as usize);
        if declared.is_some_and(|size| size > limits.max_body_bytes) {
            return Err(Refusal::TooLong);
        }
        let hold = self.memory.empty(Use::Body, account);
        // A body that cannot be held now is not read at all.
        hold.check(declared.unwrap_or(1))?;
        let pending = self.memory.hold(Use::Pending, 1);
        let time = match pending {
            Ok(_) => limits.idle_timeout,
            Err(Full) => MAX_UNCOUNTED_TIME,
        };
        let until = deadline.min(Instant::now() + time);
        let buffer = Buffer::new(hold, declared, limits.max_body_bytes);
        let collect = collect(body, buffer, limits.max_body_bytes);
        let collected = tokio::time::timeout_at(until.into(), collect).await;
        collected.unwrap_or(match pending {
            Ok(_) => Err(Refusal::Unread),
            Err(Full) => Err(Refusal::Exhausted),
        })
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

/// Collects a body in one piece, frame by frame, and charges it as it arrives.
async fn collect(
    mut body: Incoming,
    mut buffer: Buffer,
    max_bytes: usize,
) -> Result<Bytes, Refusal> {
    while let Some(frame) = body.frame().await {
        let frame = frame.map_err(|_broken| Refusal::Unread)?;
        // Trailers contain nothing that endpoints need.
        let Ok(data) = frame.into_data() else {
            continue;
        };
        if buffer.len() + data.len() > max_bytes {
            return Err(Refusal::TooLong);
        }
        let missing = buffer
            .capacity_for(data.len())
            .saturating_sub(buffer.charged());
        if missing > 0 {
            buffer.hold().grow(missing)?;
        }
        buffer.push(&data);
    }
    Ok(buffer.freeze())
}

impl From<Full> for Refusal {
    fn from(_: Full) -> Self {
        Self::Exhausted
    }
}

/// Makes the host of an absolute request URI, which takes precedence, that of the headers.
fn adopt_authority(head: &mut request::Parts) {
    let authority = head.uri.authority().map(Authority::as_str);
    if let Some(host) = authority.and_then(|text| HeaderValue::from_str(text).ok()) {
        head.headers.insert(HOST, host);
    }
}

/// Returns the path and query of a request URI.
fn origin_form(uri: &Uri) -> Uri {
    let path = uri.path_and_query().cloned();
    path.map_or_else(|| Uri::from_static("/"), Uri::from)
}
