//! Stand-in for the platform's configuration service: a key-value service with
//! compare-and-swap, watches and leases, which can be down, slow or lose responses.

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

/// Longest time that a watch waits.
const MAX_WATCH_WAIT: Duration = Duration::from_secs(30);
/// Time for which a lost response keeps its connection silent.
const LOST_RESPONSE_DELAY: Duration = Duration::from_mins(1);

/// A running configuration service; dropping it ends the service.
#[derive(Debug)]
pub struct Store {
    /// Address on which the service accepts calls.
    pub address: SocketAddr,
    /// Commands to the task that owns the keys.
    commands: mpsc::UnboundedSender<Command>,
    /// Faults of the service.
    pub faults: Injector,
    /// View of the faults for the handlers.
    view: watch::Receiver<Faults>,
    /// Task that owns the keys.
    owner: JoinHandle<()>,
    /// Task that accepts calls, unless the service is down.
    server: Option<JoinHandle<()>>,
}

impl Store {
    /// Starts a configuration service on a free loopback port.
    pub async fn start() -> anyhow::Result<Self> {
        let (commands, receiver) = mpsc::unbounded_channel();
        let (faults, view) = Injector::new();
        let mut store = Self {
            address: "127.0.0.1:0".parse()?,
            commands,
            faults,
            view,
            owner: tokio::spawn(keys::run(receiver)),
            server: None,
        };
        store.listen().await?;
        Ok(store)
    }

    /// Refuses connections and breaks the open ones, keeping the values.
    pub async fn stop_listening(&mut self) {
        if let Some(server) = self.server.take() {
            server.abort();
            // The listener is closed once the task has ended.
            let _ = server.await;
        }
    }

    /// Accepts connections again on the same address.
    pub async fn listen(&mut self) -> anyhow::Result<()> {
        let listener = TcpListener::bind(self.address).await?;
        self.address = listener.local_addr()?;
        let (commands, view) = (self.commands.clone(), self.view.clone());
        let server = http::serve(listener, move |request| {
            if view.borrow().down {
                let _ = commands.send(Command::CountDeclined);
            }
            outage::apply(view.clone(), handle(request, commands.clone()))
        });
        self.server = Some(server);
        Ok(())
    }

    /// Holds each call back for a time before it takes effect.
    pub fn delay_calls(&self, delay: Duration) {
        self.faults.set(Faults {
            delay,
            ..Faults::default()
        });
    }

    /// Loses the responses of the next writes after they took effect.
    pub fn lose_responses(&self, count: u32) {
        let _ = self.commands.send(Command::LoseResponses { count });
    }

    /// Returns the calls that the service has seen.
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

/// Answers one call; `docs/protocols.md` lists them.
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

/// Reads a key once it differs from the revision that the caller has.
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

/// Writes a key.
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

/// Grants a lease.
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

/// Sends a command about a lease and answers whether the lease stands.
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

/// Returns a number from the query.
fn query_number(request: &Request<Incoming>, name: &str) -> Option<u64> {
    let pairs = request.uri().query()?.split('&');
    let mut pairs = pairs.filter_map(|pair| pair.split_once('='));
    pairs.find(|(key, _)| *key == name)?.1.parse().ok()
}

/// Returns an error.
fn error_response(status: StatusCode, error: &str) -> Response<Body> {
    http::json(status, &json!({"error": error}))
}

/// Returns a value with its revision in a header.
fn value_response(value: Option<Versioned>) -> Response<Body> {
    let Some((revision, value)) = value else {
        return error_response(StatusCode::NOT_FOUND, "no such key");
    };
    let mut response = Response::new(http::full(value));
    response.headers_mut().insert("x-revision", revision.into());
    response
}
