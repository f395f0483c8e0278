//! HTTP server for callers and operators; one task owns each connection.

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
use daisyyard_core::route::Request as RouteRequest;
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

/// Time for the admission of a request that sets no deadline.
const DEFAULT_DEADLINE: Duration = Duration::from_mins(1);
/// Timeout for reading the head of a request.
const REQUEST_HEAD_TIMEOUT: Duration = Duration::from_secs(30);
/// Size of a connection's send buffer in the kernel. By default it grows to megabytes, which hold
/// more than 10,000 tokens that a slow caller has not read.
const SEND_BUFFER_BYTES: u32 = 64 << 10;
/// Maximum number of connections that wait to be accepted.
const ACCEPT_BACKLOG: u32 = 1024;
/// Number of slow-caller timeouts without a written byte after which a connection is closed; the
/// stream on it ends earlier, after 1.
const CLOSE_AFTER_TIMEOUTS: u32 = 3;
/// Timeout for reading the body of a request.
const REQUEST_BODY_TIMEOUT: Duration = Duration::from_secs(30);

/// Phase of a planned stop.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) enum Phase {
    /// No planned stop was ordered.
    Serving,
    /// The node still accepts connections, but announces that it is leaving.
    Leaving,
    /// The node accepts no more connections and finishes its requests.
    Finishing,
}

/// State that all connections share.
#[derive(Debug)]
struct Server {
    /// Client accounts by bearer token.
    accounts: HashMap<String, Account>,
    /// This node as an instance, with the address for callers.
    instance: Instance,
    /// Actors that requests send messages to.
    actors: Actors,
    /// Receives the phase of a planned stop.
    phase: watch::Receiver<Phase>,
    /// Handler of requests under `/admin/`.
    admin: Admin,
}

/// Binds the listening socket; accepted connections inherit its send buffer size.
pub(crate) fn listen(address: SocketAddr) -> std::io::Result<TcpListener> {
    let socket = if address.is_ipv4() {
        TcpSocket::new_v4()?
    } else {
        TcpSocket::new_v6()?
    };
    socket.set_reuseaddr(true)?;
    socket.set_send_buffer_size(SEND_BUFFER_BYTES)?;
    socket.bind(address)?;
    socket.listen(ACCEPT_BACKLOG)
}

/// Starts the server; its task ends when the node is finishing and all connections are closed.
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
    let server = Server {
        accounts,
        instance,
        actors,
        phase,
        admin,
    };
    tokio::spawn(accept(Arc::new(server), listener))
}

impl Server {
    /// Answers one request; a leaving node adds `Connection: close`, so that callers connect to
    /// another node.
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

    /// Routes a request to its handler by method and path.
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

    /// Answers a readiness check: 200 unless a planned stop was ordered.
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

    /// Answers with the addresses of nodes that callers should use, and how long to cache them.
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
        let ttl = self.actors.timing.addresses_ttl.as_millis() as u64;
        let answer = json!({"addresses": addresses, "ttl_ms": ttl});
        http::json(StatusCode::OK, &answer)
    }

    /// Starts a generation and answers with its stream or, if the caller asked for it, its text.
    async fn complete(&self, request: Request<Incoming>) -> Result<Response<Body>, Refusal> {
        let account = self.account(request.headers())?.id;
        let rank = rank(request.headers())?;
        let deadline = deadline(request.headers())?;
        let completion = Completion::parse(&read_body(request).await?)?;
        let streamed = completion.stream;
        let request = RouteRequest {
            id: rand::random(),
            service: id::of(&completion.model),
            account,
            rank,
            prompt: completion.prompt_tokens(),
            prefix: Vec::new(),
        };
        let generation = Generation {
            request,
            // The fingerprint covers the account, so that one account cannot block another.
            key: id::fingerprint(account, &completion.engine_body(0)),
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

    /// Resumes the stream of a caller that reconnects.
    async fn resume(&self, request: &Request<Incoming>) -> Result<Response<Body>, Refusal> {
        let account = self.account(request.headers())?.id;
        let name = request.uri().path().strip_prefix("/v1/streams/");
        let name = name.unwrap_or_default();
        let from = resume_offset(request.headers(), name)?;
        let deliveries = stream_reader::reconnect(&self.actors, account, name, from).await?;
        delivery::stream(deliveries, from).await
    }

    /// Returns the account whose bearer token the request carries.
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

/// Accepts connections until the node is finishing, then waits until all are closed.
async fn accept(server: Arc<Server>, listener: TcpListener) {
    let mut phase = server.phase.clone();
    let mut connections = tokio::task::JoinSet::new();
    loop {
        tokio::select! {
            accepted = listener.accept() => match accepted {
                Ok((socket, _)) => {
                    connections.spawn(serve(Arc::clone(&server), socket));
                }
                // The process is out of file descriptors; wait for connections to close.
                Err(_) => tokio::time::sleep(Duration::from_millis(50)).await,
            },
            _ = connections.join_next(), if !connections.is_empty() => {}
            () = wait_for_finishing(&mut phase) => break,
        }
    }
    drop(listener);
    while connections.join_next().await.is_some() {}
}

/// Serves one connection; once the node is finishing, closes it after the request in progress.
async fn serve(server: Arc<Server>, socket: TcpStream) {
    let mut phase = server.phase.clone();
    let write_timeout = server.actors.timing.slow_caller_timeout * CLOSE_AFTER_TIMEOUTS;
    let socket = Socket::new(socket, write_timeout);
    let service = service_fn(move |request| {
        let server = Arc::clone(&server);
        async move { Ok::<_, Infallible>(server.answer(request).await) }
    });
    let connection = http1::Builder::new()
        .timer(TokioTimer::new())
        .header_read_timeout(REQUEST_HEAD_TIMEOUT)
        .serve_connection(TokioIo::new(socket), service);
    tokio::pin!(connection);
    // Errors are ignored: the caller has closed or broken the connection.
    tokio::select! {
        _ = connection.as_mut() => {}
        () = wait_for_finishing(&mut phase) => {
            connection.as_mut().graceful_shutdown();
            let _ = connection.await;
        }
    }
}

/// Waits until the node is finishing.
async fn wait_for_finishing(phase: &mut watch::Receiver<Phase>) {
    // An error means that the node was dropped, which ends its connections as well.
    let _ = phase.wait_for(|phase| *phase == Phase::Finishing).await;
}

/// Reads the body of a request, up to a limit of size and time.
pub(crate) async fn read_body(request: Request<Incoming>) -> Result<Bytes, Refusal> {
    let body =
        tokio::time::timeout(REQUEST_BODY_TIMEOUT, http::read_body(request.into_body())).await;
    let body = body.map_err(|_late| {
        let message = "the body of the request took too long; send it again";
        Refusal::not_run(Kind::Malformed, message)
    })?;
    body.map_err(|error| Refusal::not_run(Kind::Malformed, error.to_string()))
}

/// Returns the offset of the next token that a caller expects: one past the offset in
/// `Last-Event-ID: <generation>:<offset>`, or 0 without the header.
fn resume_offset(headers: &HeaderMap, name: &str) -> Result<Offset, Refusal> {
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

/// Returns the requested rank, which is deferrable by default.
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

/// Returns the deadline for admission that the caller set, or the default.
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
