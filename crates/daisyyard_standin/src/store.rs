//! Stand-in for the configuration service of the platform: a key-value store with compare-and-swap,
//! watches and leases, and with fault injection for outages, delays and lost responses.

use std::net::SocketAddr;
use std::time::Duration;

use hyper::body::Incoming;
use hyper::{Method, Request, Response, StatusCode};
use serde_json::{Value, json};
use tokio::net::TcpListener;
use tokio::sync::{mpsc, oneshot, watch};
use tokio::task::JoinHandle;

use daisyyard_http::{self as http, Body};

pub use crate::keys::Counters;
use crate::keys::{self, Command, Versioned};
use crate::outage::{self, Faults, Injector};

/// Maximum time that a watch waits.
const MAX_WATCH_WAIT: Duration = Duration::from_secs(30);
/// Delay of a response that is to be lost, which is longer than callers wait.
const LOST_RESPONSE_DELAY: Duration = Duration::from_mins(1);

/// A running configuration service; dropping it stops the service.
#[derive(Debug)]
pub struct Store {
    /// Address that accepts calls.
    pub address: SocketAddr,
    /// Channel to the task that owns the keys.
    commands: mpsc::UnboundedSender<Command>,
    /// Sets the faults of the service.
    pub faults: Injector,
    /// Current faults, for the handlers.
    current_faults: watch::Receiver<Faults>,
    /// Task that owns the keys.
    owner: JoinHandle<()>,
    /// Server task, or `None` while the service does not listen.
    server: Option<JoinHandle<()>>,
}

impl Store {
    /// Starts a configuration service on a free loopback port.
    pub async fn start() -> anyhow::Result<Self> {
        let (commands, receiver) = mpsc::unbounded_channel();
        let (faults, current_faults) = Injector::new();
        let mut store = Self {
            address: "127.0.0.1:0".parse()?,
            commands,
            faults,
            current_faults,
            owner: tokio::spawn(keys::run(receiver)),
            server: None,
        };
        store.listen().await?;
        Ok(store)
    }

    /// Closes the listener and all connections, but keeps the values.
    pub async fn stop_listening(&mut self) {
        if let Some(server) = self.server.take() {
            server.abort();
            // The task closes the listener when it ends.
            let _ = server.await;
        }
    }

    /// Starts to listen, on the same address as before if there was one.
    pub async fn listen(&mut self) -> anyhow::Result<()> {
        let listener = TcpListener::bind(self.address).await?;
        self.address = listener.local_addr()?;
        let (commands, faults) = (self.commands.clone(), self.current_faults.clone());
        let server = http::serve(listener, move |request| {
            if faults.borrow().down {
                let _ = commands.send(Command::CountDeclined);
            }
            outage::apply(faults.clone(), handle(request, commands.clone()))
        });
        self.server = Some(server);
        Ok(())
    }

    /// Sets a delay before each call takes effect, and clears all other faults.
    pub fn delay_calls(&self, delay: Duration) {
        self.faults.set(Faults {
            delay,
            ..Faults::default()
        });
    }

    /// Loses the responses of the next `count` writes after they took effect.
    pub fn lose_responses(&self, count: u32) {
        let _ = self.commands.send(Command::LoseResponses { count });
    }

    /// Returns the number of calls so far.
    pub async fn counters(&self) -> Counters {
        let (reply, answer) = oneshot::channel();
        let _ = self.commands.send(Command::Count { reply });
        answer.await.unwrap_or_default()
    }
}

impl Drop for Store {
    fn drop(&mut self) {
        self.owner.abort();
        if let Some(server) = &self.server {
            server.abort();
        }
    }
}

/// Handles one call; `docs/protocols.md` lists the calls.
async fn handle(
    request: Request<Incoming>,
    commands: mpsc::UnboundedSender<Command>,
) -> Response<Body> {
    let path = request.uri().path().to_owned();
    if let Some(key) = path.strip_prefix("/kv/") {
        let key = key.to_owned();
        return match *request.method() {
            Method::GET if query_number(&request, "wait_ms").is_some() => {
                watch(key, &request, &commands).await
            }
            Method::GET => get(key, &commands).await,
            Method::PUT => put(key, request, &commands).await,
            _ => error_response(StatusCode::METHOD_NOT_ALLOWED, "use GET or PUT"),
        };
    }
    if path == "/leases" && request.method() == Method::POST {
        return acquire_lease(request, &commands).await;
    }
    let rest = path.strip_prefix("/leases/").unwrap_or_default();
    let (id, renew) = match rest.strip_suffix("/renew") {
        Some(id) => (id.parse(), true),
        None => (rest.parse(), false),
    };
    match (id, request.method(), renew) {
        (Ok(id), &Method::POST, true) => {
            send_lease_command(&commands, |reply| Command::Renew { id, reply }).await
        }
        (Ok(id), &Method::DELETE, false) => {
            send_lease_command(&commands, |reply| Command::Release { id, reply }).await
        }
        _ => error_response(StatusCode::NOT_FOUND, "no such path"),
    }
}

/// Reads a key.
async fn get(key: String, commands: &mpsc::UnboundedSender<Command>) -> Response<Body> {
    let (reply, answer) = oneshot::channel();
    let _ = commands.send(Command::Get { key, reply });
    value_response(answer.await.ok().flatten())
}

/// Reads a key once its revision differs from the one that the caller has.
async fn watch(
    key: String,
    request: &Request<Incoming>,
    commands: &mpsc::UnboundedSender<Command>,
) -> Response<Body> {
    let after = query_number(request, "after").unwrap_or(0);
    let wait =
        Duration::from_millis(query_number(request, "wait_ms").unwrap_or(0)).min(MAX_WATCH_WAIT);
    let (reply, answer) = oneshot::channel();
    let _ = commands.send(Command::Watch { key, after, reply });
    if let Ok(answer) = tokio::time::timeout(wait, answer).await {
        return value_response(answer.ok().flatten());
    }
    let mut response = Response::new(http::full(""));
    *response.status_mut() = StatusCode::NOT_MODIFIED;
    response
}

/// Writes a key by compare-and-swap.
async fn put(
    key: String,
    request: Request<Incoming>,
    commands: &mpsc::UnboundedSender<Command>,
) -> Response<Body> {
    let Some(expected) = query_number(&request, "expected") else {
        return error_response(StatusCode::BAD_REQUEST, "add ?expected=<revision>");
    };
    let lease = query_number(&request, "lease");
    let Ok(value) = http::read_body(request.into_body()).await else {
        return error_response(StatusCode::BAD_REQUEST, "the body broke off");
    };
    let (reply, answer) = oneshot::channel();
    let _ = commands.send(Command::Put {
        key,
        expected,
        lease,
        value,
        reply,
    });
    let Ok(outcome) = answer.await else {
        return error_response(StatusCode::SERVICE_UNAVAILABLE, "stopping");
    };
    if outcome.response_lost {
        tokio::time::sleep(LOST_RESPONSE_DELAY).await;
    }
    match outcome.result {
        Ok(revision) => http::json(StatusCode::OK, &json!({"revision": revision})),
        Err(current) => http::json(StatusCode::CONFLICT, &json!({"revision": current})),
    }
}

/// Grants a lease unless another lease has the name.
async fn acquire_lease(
    request: Request<Incoming>,
    commands: &mpsc::UnboundedSender<Command>,
) -> Response<Body> {
    let body = http::read_body(request.into_body())
        .await
        .unwrap_or_default();
    let body: Value = serde_json::from_slice(&body).unwrap_or_default();
    let (Some(name), Some(ttl)) = (body["name"].as_str(), body["ttl_ms"].as_u64()) else {
        return error_response(StatusCode::BAD_REQUEST, "send name and ttl_ms");
    };
    let (reply, answer) = oneshot::channel();
    let _ = commands.send(Command::Acquire {
        name: name.to_owned(),
        ttl: Duration::from_millis(ttl),
        reply,
    });
    match answer.await {
        Ok(Ok(lease)) => {
            let lease = json!({"lease": lease.id, "fence": lease.fencing_token});
            http::json(StatusCode::OK, &lease)
        }
        Ok(Err(remaining)) => {
            let body = json!({"remaining_ms": remaining.as_millis() as u64});
            http::json(StatusCode::CONFLICT, &body)
        }
        Err(_) => error_response(StatusCode::SERVICE_UNAVAILABLE, "stopping"),
    }
}

/// Sends a command about a lease, and responds with status 404 if the lease has ended.
async fn send_lease_command(
    commands: &mpsc::UnboundedSender<Command>,
    command: impl FnOnce(oneshot::Sender<bool>) -> Command,
) -> Response<Body> {
    let (reply, answer) = oneshot::channel();
    let _ = commands.send(command(reply));
    if answer.await.unwrap_or(false) {
        http::json(StatusCode::OK, &json!({}))
    } else {
        error_response(StatusCode::NOT_FOUND, "the lease has ended")
    }
}

/// Returns a numeric parameter of the query string.
fn query_number(request: &Request<Incoming>, name: &str) -> Option<u64> {
    let pairs = request.uri().query()?.split('&');
    let mut pairs = pairs.filter_map(|pair| pair.split_once('='));
    pairs.find(|(key, _)| *key == name)?.1.parse().ok()
}

/// Returns a response with an error message as JSON.
fn error_response(status: StatusCode, error: &str) -> Response<Body> {
    http::json(status, &json!({"error": error}))
}

/// Returns a response with a value, and its revision in `x-revision`.
fn value_response(value: Option<Versioned>) -> Response<Body> {
    let Some((revision, value)) = value else {
        return error_response(StatusCode::NOT_FOUND, "no such key");
    };
    let mut response = Response::new(http::full(value));
    response.headers_mut().insert("x-revision", revision.into());
    response
}
