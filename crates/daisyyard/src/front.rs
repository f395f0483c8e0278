//! The HTTP listener for callers; one task owns each connection.

use std::collections::HashMap;
use std::convert::Infallible;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::{Duration, Instant};

use bytes::Bytes;
use daisyyard_core::account::Account;
use daisyyard_core::contract::Rank;
use daisyyard_core::id::{self, Offset};
use daisyyard_core::instance::{Instance, State};
use daisyyard_core::route::Request as Routed;
use daisyyard_core::zone::Zone;
use daisyyard_http::{self as http, Body};
use hyper::body::Incoming;
use hyper::header::{CONNECTION, HeaderValue};
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper::{HeaderMap, Method, Request, Response, StatusCode};
use hyper_util::rt::{TokioIo, TokioTimer};
use serde_json::json;
use tokio::net::{TcpListener, TcpSocket, TcpStream};
use tokio::sync::{mpsc, watch};
use tokio::task::JoinHandle;

use crate::admin::Admin;
use crate::completion::Completion;
use crate::delivery;
use crate::dispatch::Addresses;
use crate::generation::{Actors, Generation};
use crate::meter;
use crate::refusal::{Kind, Refusal};
use crate::service_call;
use crate::settings::Settings;
use crate::socket::Socket;
use crate::stream_reader;

/// Deadline of a request that does not set one.
const DEFAULT_DEADLINE: Duration = Duration::from_mins(1);
/// Time for a caller to send the head of a request.
const HEAD_TIMEOUT: Duration = Duration::from_secs(30);
/// Bytes that the operating system buffers for a caller. By default it grows to megabytes, which
/// is more than 10,000 tokens that a slow caller has not read.
const SEND_BUFFER: u32 = 64 << 10;
/// Connections that wait to be accepted.
const BACKLOG: u32 = 1024;
/// Limits on slow callers after which a connection is closed on which nothing can be written; a
/// stream is ended earlier, after one.
const STUCK_LIMITS: u32 = 3;
/// Time for a caller to send the body of a request.
const BODY_TIMEOUT: Duration = Duration::from_secs(30);

/// How far a planned stop has come.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) enum Phase {
    /// The node serves.
    Serving,
    /// The node accepts connections, but says that it is leaving.
    Leaving,
    /// The node accepts no connections and finishes its requests.
    Finishing,
}

/// What the listener needs for each request.
#[derive(Debug)]
struct Front {
    /// Accounts by credential.
    accounts: HashMap<String, Account>,
    /// This node as callers see it.
    instance: Instance,
    /// Actors that requests talk to.
    actors: Actors,
    /// How far a planned stop has come.
    phase: watch::Receiver<Phase>,
    /// Interface for operators.
    admin: Admin,
}

/// Opens the socket for callers.
pub(crate) fn listen(address: SocketAddr) -> std::io::Result<TcpListener> {
    let socket = if address.is_ipv4() {
        TcpSocket::new_v4()?
    } else {
        TcpSocket::new_v6()?
    };
    socket.set_reuseaddr(true)?;
    socket.set_send_buffer_size(SEND_BUFFER)?;
    socket.bind(address)?;
    socket.listen(BACKLOG)
}

/// Starts the listener; its task ends when the node finishes and all connections have ended.
pub(crate) fn spawn(
    listener: TcpListener,
    address: SocketAddr,
    settings: &Settings,
    actors: Actors,
    phase: watch::Receiver<Phase>,
    admin: Admin,
) -> JoinHandle<()> {
    let account = |c: &crate::settings::Credential| (c.token.clone(), Account::new(&c.name));
    let accounts = settings.accounts.iter().map(account).collect();
    let zone = Zone::new(&settings.zone, &settings.region);
    let instance = Instance::new(&settings.name, zone, address, settings.peer);
    let front = Front {
        accounts,
        instance,
        actors,
        phase,
        admin,
    };
    tokio::spawn(accept(Arc::new(front), listener))
}

impl Front {
    /// Answers one request; a leaving node asks its callers to connect elsewhere.
    async fn answer(&self, request: Request<Incoming>) -> Response<Body> {
        let answer = self.handle(request).await;
        let mut answer = answer.unwrap_or_else(Response::from);
        if self.leaving() {
            let close = HeaderValue::from_static("close");
            answer.headers_mut().insert(CONNECTION, close);
        }
        answer
    }

    /// Returns whether a planned stop was ordered.
    fn leaving(&self) -> bool {
        *self.phase.borrow() != Phase::Serving
    }

    /// Handles one request.
    async fn handle(&self, request: Request<Incoming>) -> Result<Response<Body>, Refusal> {
        let path = request.uri().path().to_owned();
        match (request.method(), path.as_str()) {
            (&Method::GET, "/healthz") => Ok(http::json(StatusCode::OK, &json!({}))),
            (&Method::GET, "/readyz") => Ok(self.ready()),
            (&Method::GET, "/addresses") => Ok(self.addresses().await),
            (&Method::GET, "/metrics") => Ok(meter::metrics(&self.actors)),
            (&Method::GET, "/burn") => meter::burn(&self.actors).await,
            (&Method::POST, "/v1/chat/completions") => self.complete(request).await,
            (&Method::GET, path) if path.starts_with("/v1/streams/") => self.resume(&request).await,
            (_, path) if path.starts_with("/services/") => {
                let account = self.account(request.headers())?.id;
                service_call::call(&self.actors, account, request).await
            }
            (_, path) if path.starts_with("/admin/") => Ok(self.admin.handle(request).await),
            _ => Err(Refusal::not_run(Kind::Missing, "no such path")),
        }
    }

    /// Says whether callers should use this node.
    fn ready(&self) -> Response<Body> {
        if self.leaving() {
            http::json(
                StatusCode::SERVICE_UNAVAILABLE,
                &json!({"state": "leaving"}),
            )
        } else {
            http::json(StatusCode::OK, &json!({"state": "live"}))
        }
    }

    /// Says which addresses callers should use, and for how long.
    async fn addresses(&self) -> Response<Body> {
        let mut own = self.instance.clone();
        if self.leaving() {
            own.state = State::Leaving;
        }
        let addresses = self.actors.dispatch.send(Addresses { own }).await;
        let addresses: Vec<String> = addresses
            .unwrap_or_default()
            .iter()
            .map(ToString::to_string)
            .collect();
        let ttl = self.actors.timing.addresses.as_millis() as u64;
        let answer = json!({"addresses": addresses, "ttl_ms": ttl});
        http::json(StatusCode::OK, &answer)
    }

    /// Runs a generation.
    async fn complete(&self, request: Request<Incoming>) -> Result<Response<Body>, Refusal> {
        let account = self.account(request.headers())?.id;
        let rank = rank(request.headers())?;
        let deadline = deadline(request.headers())?;
        let completion = Completion::parse(&read(request).await?)?;
        let streamed = completion.stream;
        let request = Routed {
            id: rand::random(),
            service: id::of(&completion.model),
            account,
            rank,
            prompt: completion.tokens(),
            prefix: Vec::new(),
        };
        let generation = Generation {
            request,
            // The seed is the account, so that one account cannot block another.
            key: id::fingerprint(account, &completion.body(0)),
            completion,
            deadline,
        };
        let (sender, receiver) = mpsc::channel(delivery::MAX_BUFFERED_TOKENS);
        let run = generation.run(self.actors.clone(), sender);
        self.actors.tasks.spawn(run);
        if streamed {
            delivery::stream(receiver, 0).await
        } else {
            delivery::collect(receiver).await
        }
    }

    /// Resumes a stream for a caller that reconnects.
    async fn resume(&self, request: &Request<Incoming>) -> Result<Response<Body>, Refusal> {
        let account = self.account(request.headers())?.id;
        let name = request.uri().path().strip_prefix("/v1/streams/");
        let name = name.unwrap_or_default();
        let from = position(request.headers(), name)?;
        let deliveries = stream_reader::reconnect(&self.actors, account, name, from).await?;
        delivery::stream(deliveries, from).await
    }

    /// Returns the account whose credential the caller presents.
    fn account(&self, headers: &HeaderMap) -> Result<&Account, Refusal> {
        let value = headers
            .get("authorization")
            .and_then(|value| value.to_str().ok());
        let token = value.and_then(|value| value.strip_prefix("Bearer "));
        token
            .and_then(|token| self.accounts.get(token))
            .ok_or_else(|| {
                let message = "present a known credential: Authorization: Bearer <token>";
                Refusal::not_run(Kind::Unauthorized, message)
            })
    }
}

/// Accepts connections until the node finishes, and waits until all have ended.
async fn accept(front: Arc<Front>, listener: TcpListener) {
    let mut phase = front.phase.clone();
    let mut open = tokio::task::JoinSet::new();
    loop {
        tokio::select! {
            accepted = listener.accept() => match accepted {
                Ok((socket, _)) => {
                    open.spawn(serve(Arc::clone(&front), socket));
                }
                // Out of file descriptors: wait until requests have ended.
                Err(_) => tokio::time::sleep(Duration::from_millis(50)).await,
            },
            _ = open.join_next(), if !open.is_empty() => {}
            () = finishing(&mut phase) => break,
        }
    }
    drop(listener);
    while open.join_next().await.is_some() {}
}

/// Serves one connection; when the node finishes, the request in progress is the last one.
async fn serve(front: Arc<Front>, socket: TcpStream) {
    let mut phase = front.phase.clone();
    let limit = front.actors.timing.slow_caller * STUCK_LIMITS;
    let socket = Socket::new(socket, limit);
    let service = service_fn(move |request| {
        let front = Arc::clone(&front);
        async move { Ok::<_, Infallible>(front.answer(request).await) }
    });
    let connection = http1::Builder::new()
        .timer(TokioTimer::new())
        .header_read_timeout(HEAD_TIMEOUT)
        .serve_connection(TokioIo::new(socket), service);
    tokio::pin!(connection);
    // A connection that the other end breaks needs no answer.
    tokio::select! {
        _ = connection.as_mut() => {}
        () = finishing(&mut phase) => {
            connection.as_mut().graceful_shutdown();
            let _ = connection.await;
        }
    }
}

/// Waits until the node finishes.
async fn finishing(phase: &mut watch::Receiver<Phase>) {
    // A node that is gone finishes as well.
    let _ = phase.wait_for(|phase| *phase == Phase::Finishing).await;
}

/// Reads the body of a request within the limits of size and time.
pub(crate) async fn read(request: Request<Incoming>) -> Result<Bytes, Refusal> {
    let body = tokio::time::timeout(BODY_TIMEOUT, http::read_body(request.into_body())).await;
    let body = body.map_err(|_late| {
        let message = "the body of the request took too long; send it again";
        Refusal::not_run(Kind::Malformed, message)
    })?;
    body.map_err(|error| Refusal::not_run(Kind::Malformed, error.to_string()))
}

/// Returns the offset that a caller expects next, from `Last-Event-ID: <generation>:<offset>`.
fn position(headers: &HeaderMap, name: &str) -> Result<Offset, Refusal> {
    let Some(value) = headers.get("last-event-id") else {
        return Ok(0);
    };
    let last = value.to_str().ok().and_then(|text| text.rsplit_once(':'));
    let offset = last
        .filter(|(generation, _)| *generation == name)
        .and_then(|(_, offset)| offset.parse::<Offset>().ok())
        .and_then(|offset| offset.checked_add(1));
    offset.ok_or_else(|| {
        let message = "Last-Event-ID must be <generation>:<offset> of the stream in the path";
        Refusal::not_run(Kind::Malformed, message)
    })
}

/// Returns the rank that the caller asks for; the default is deferrable.
fn rank(headers: &HeaderMap) -> Result<Rank, Refusal> {
    let Some(value) = headers.get("x-rank") else {
        return Ok(Rank::Deferrable);
    };
    value
        .to_str()
        .ok()
        .and_then(Rank::parse)
        .ok_or_else(|| Refusal::not_run(Kind::Malformed, "X-Rank must be `urgent` or `deferrable`"))
}

/// Returns the time until which admission is of use to the caller.
fn deadline(headers: &HeaderMap) -> Result<Instant, Refusal> {
    let Some(value) = headers.get("x-deadline-ms") else {
        return Ok(Instant::now() + DEFAULT_DEADLINE);
    };
    let millis = value.to_str().ok().and_then(|text| text.parse().ok());
    let millis: u32 = millis.ok_or_else(|| {
        Refusal::not_run(
            Kind::Malformed,
            "X-Deadline-Ms must be a number of milliseconds",
        )
    })?;
    Ok(Instant::now() + Duration::from_millis(millis.into()))
}
