//! Stand-in for the platform's configuration service: a key-value service with
//! compare-and-swap.

use std::collections::BTreeMap;
use std::net::SocketAddr;

use bytes::Bytes;
use hyper::body::Incoming;
use hyper::{Method, Request, Response, StatusCode};
use serde_json::json;
use tokio::net::TcpListener;
use tokio::sync::{mpsc, oneshot};
use tokio::task::JoinHandle;

use daisyyard_http::{self as http, Body};

use crate::outage::{self, Faults};

/// A running configuration service; dropping it ends the service.
#[derive(Debug)]
pub struct Store {
    /// Address on which the service accepts calls.
    pub address: SocketAddr,
    /// Faults of the service.
    pub faults: Faults,
    /// Tasks of the service.
    tasks: Vec<JoinHandle<()>>,
}

/// A value with the revision of the write that made it.
type Versioned = (u64, Bytes);

/// Message to the task that owns the values.
#[derive(Debug)]
enum Command {
    /// Return the value of a key.
    Get {
        /// Key to read.
        key: String,
        /// Receives the value, if any.
        reply: oneshot::Sender<Option<Versioned>>,
    },
    /// Write a value if the key's revision is the expected one; zero expects no value.
    Swap {
        /// Key to write.
        key: String,
        /// Revision that the key must have; zero if it must not exist.
        expected: u64,
        /// New value.
        value: Bytes,
        /// Receives the new revision, or the one that the key has.
        reply: oneshot::Sender<Result<u64, u64>>,
    },
}

impl Store {
    /// Starts a configuration service on a free loopback port.
    pub async fn start() -> anyhow::Result<Self> {
        let listener = TcpListener::bind("127.0.0.1:0").await?;
        let address = listener.local_addr()?;
        let (commands, receiver) = mpsc::unbounded_channel();
        let owner = tokio::spawn(own(receiver));
        let (faults, view) = Faults::new();
        let server = http::serve(listener, move |request| {
            outage::wrap(view.clone(), handle(request, commands.clone()))
        });
        Ok(Self {
            address,
            faults,
            tasks: vec![owner, server],
        })
    }
}

impl Drop for Store {
    fn drop(&mut self) {
        for task in &self.tasks {
            task.abort();
        }
    }
}

/// Owns the values until the service is dropped.
async fn own(mut commands: mpsc::UnboundedReceiver<Command>) {
    let mut values: BTreeMap<String, Versioned> = BTreeMap::new();
    let mut revision = 0;
    while let Some(command) = commands.recv().await {
        match command {
            Command::Get { key, reply } => {
                let _ = reply.send(values.get(&key).cloned());
            }
            Command::Swap {
                key,
                expected,
                value,
                reply,
            } => {
                let held = values.get(&key).map_or(0, |(revision, _)| *revision);
                if held == expected {
                    revision += 1;
                    values.insert(key, (revision, value));
                    let _ = reply.send(Ok(revision));
                } else {
                    let _ = reply.send(Err(held));
                }
            }
        }
    }
}

/// Answers one call: `GET /kv/<key>` or `PUT /kv/<key>?expected=<revision>`.
async fn handle(
    request: Request<Incoming>,
    commands: mpsc::UnboundedSender<Command>,
) -> Response<Body> {
    let Some(key) = request.uri().path().strip_prefix("/kv/").map(str::to_owned) else {
        return http::json(StatusCode::NOT_FOUND, &json!({"error": "no such path"}));
    };
    match *request.method() {
        Method::GET => get(key, &commands).await,
        Method::PUT => swap(key, request, &commands).await,
        _ => http::json(
            StatusCode::METHOD_NOT_ALLOWED,
            &json!({"error": "use GET or PUT"}),
        ),
    }
}

/// Reads a key.
async fn get(key: String, commands: &mpsc::UnboundedSender<Command>) -> Response<Body> {
    let (reply, answer) = oneshot::channel();
    let _ = commands.send(Command::Get { key, reply });
    match answer.await.ok().flatten() {
        Some((revision, value)) => versioned(revision, value),
        None => http::json(StatusCode::NOT_FOUND, &json!({"error": "no such key"})),
    }
}

/// Writes a key.
async fn swap(
    key: String,
    request: Request<Incoming>,
    commands: &mpsc::UnboundedSender<Command>,
) -> Response<Body> {
    let query = request.uri().query().unwrap_or_default();
    let expected = query
        .strip_prefix("expected=")
        .and_then(|text| text.parse().ok());
    let Some(expected) = expected else {
        let error = json!({"error": "add ?expected=<revision>"});
        return http::json(StatusCode::BAD_REQUEST, &error);
    };
    let Ok(value) = http::read(request.into_body()).await else {
        return http::json(StatusCode::BAD_REQUEST, &json!({"error": "body broke off"}));
    };
    let (reply, answer) = oneshot::channel();
    let _ = commands.send(Command::Swap {
        key,
        expected,
        value,
        reply,
    });
    match answer.await {
        Ok(Ok(revision)) => http::json(StatusCode::OK, &json!({"revision": revision})),
        Ok(Err(held)) => http::json(StatusCode::CONFLICT, &json!({"revision": held})),
        Err(_) => http::json(
            StatusCode::SERVICE_UNAVAILABLE,
            &json!({"error": "stopping"}),
        ),
    }
}

/// Returns a value with its revision in a header.
fn versioned(revision: u64, value: Bytes) -> Response<Body> {
    let mut response = Response::new(http::full(value));
    response.headers_mut().insert("x-revision", revision.into());
    response
}
