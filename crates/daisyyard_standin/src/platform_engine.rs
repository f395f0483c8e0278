//! Stand-in for engines and plain endpoints of the users' platform.
//!
//! All engines of a test share one task that knows the runs, so that a run can go on at another
//! engine, and that records what each engine was sent.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use hyper::body::Incoming;
use hyper::header::{HeaderMap, HeaderValue};
use hyper::{Request, Response, StatusCode};
use serde_json::json;
use tokio::net::TcpListener;
use tokio::sync::{mpsc, oneshot, watch};
use tokio::task::JoinHandle;

use daisyyard_http::{self as http, Body};

use crate::proxy::Proxy;

/// Events that wait for a slow reader.
const READER_BUFFER_EVENTS: usize = 4;
/// Tokens of an event.
const TOKENS_PER_EVENT: u64 = 4;

/// How an engine treats requests.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Mode {
    /// It runs them.
    Serving,
    /// It states that it does not run them.
    Declining,
    /// It runs them and fails them with status 500.
    Failing,
    /// It runs them and closes the connection without an answer.
    Hanging,
    /// It runs them and answers with the answer of another request.
    Mismatching,
}

/// A request as an engine received it.
#[derive(Debug, Clone)]
pub struct Arrival {
    /// Name of the engine.
    pub engine: String,
    /// Path and query.
    pub path: String,
    /// Head.
    pub headers: HeaderMap,
    /// Body.
    pub body: Bytes,
    /// Whether the engine ran it.
    pub ran: bool,
}

/// Message to the task that knows the runs.
#[derive(Debug)]
enum Command {
    /// Record a request.
    Record(Box<Arrival>),
    /// Return all requests.
    Arrivals(oneshot::Sender<Vec<Arrival>>),
    /// Note the engine that runs an attempt now.
    Run(String, SocketAddr),
    /// Note that an attempt has a copy at an engine.
    Copy(String, SocketAddr),
    /// Return the engine that runs an attempt, and whether a copy is at another engine.
    Find(
        String,
        SocketAddr,
        oneshot::Sender<(Option<SocketAddr>, bool)>,
    ),
}

/// The task that knows the runs of all engines; dropping it ends it.
#[derive(Debug)]
pub struct Runs {
    /// Commands to the task.
    commands: mpsc::UnboundedSender<Command>,
    /// The task.
    owner: JoinHandle<()>,
}

/// A running engine; dropping it ends it and breaks its connections.
#[derive(Debug)]
pub struct PlatformEngine {
    /// Name of the engine.
    pub name: String,
    /// Address by which others know the engine.
    pub address: SocketAddr,
    /// How requests are treated.
    mode: watch::Sender<Mode>,
    /// Task that accepts requests.
    server: JoinHandle<()>,
}

/// What an engine needs for each request.
#[derive(Debug, Clone)]
struct Handler {
    /// Name of the engine.
    name: String,
    /// Address of the engine.
    address: SocketAddr,
    /// How requests are treated.
    mode: watch::Receiver<Mode>,
    /// Time between two events.
    event_interval: Duration,
    /// Commands to the task that knows the runs.
    runs: mpsc::UnboundedSender<Command>,
}

impl Runs {
    /// Starts the task.
    pub fn start() -> Self {
        let (commands, receiver) = mpsc::unbounded_channel();
        Self {
            commands,
            owner: tokio::spawn(run(receiver)),
        }
    }

    /// Returns all requests that engines received.
    pub async fn arrivals(&self) -> Vec<Arrival> {
        let (reply, answer) = oneshot::channel();
        let _ = self.commands.send(Command::Arrivals(reply));
        answer.await.unwrap_or_default()
    }
}

impl Drop for Runs {
    fn drop(&mut self) {
        self.owner.abort();
    }
}

impl PlatformEngine {
    /// Starts an engine on a free loopback port, with the time between two events.
    ///
    /// # Errors
    ///
    /// Fails if no port is free.
    pub async fn start(name: &str, event_interval: Duration, runs: &Runs) -> anyhow::Result<Self> {
        let listener = TcpListener::bind("127.0.0.1:0").await?;
        let address = listener.local_addr()?;
        Ok(Self::serve(name, event_interval, runs, listener, address))
    }

    /// Starts an engine that others reach through a proxy.
    ///
    /// # Errors
    ///
    /// Fails if no port is free.
    pub async fn start_behind(
        proxy: &Proxy,
        name: &str,
        event_interval: Duration,
        runs: &Runs,
    ) -> anyhow::Result<Self> {
        let listener = TcpListener::bind("127.0.0.1:0").await?;
        proxy.set_target(listener.local_addr()?);
        Ok(Self::serve(
            name,
            event_interval,
            runs,
            listener,
            proxy.address,
        ))
    }

    /// Serves an engine that others know by an address.
    fn serve(
        name: &str,
        event_interval: Duration,
        runs: &Runs,
        listener: TcpListener,
        address: SocketAddr,
    ) -> Self {
        let (mode, current_mode) = watch::channel(Mode::Serving);
        let handler = Handler {
            name: name.to_owned(),
            address,
            mode: current_mode,
            event_interval,
            runs: runs.commands.clone(),
        };
        let server = http::serve(listener, move |request| handler.clone().handle(request));
        Self {
            name: name.to_owned(),
            address,
            mode,
            server,
        }
    }

    /// Changes how requests are treated.
    pub fn set_mode(&self, mode: Mode) {
        self.mode.send_replace(mode);
    }
}

impl Drop for PlatformEngine {
    fn drop(&mut self) {
        self.server.abort();
    }
}

/// Owns the runs until the senders of commands are gone.
async fn run(mut commands: mpsc::UnboundedReceiver<Command>) {
    let mut arrivals = Vec::new();
    let mut running: HashMap<String, SocketAddr> = HashMap::new();
    let mut copies: HashMap<String, Vec<SocketAddr>> = HashMap::new();
    while let Some(command) = commands.recv().await {
        match command {
            Command::Record(request) => arrivals.push(*request),
            Command::Arrivals(reply) => {
                let _ = reply.send(arrivals.clone());
            }
            Command::Run(attempt, engine) => {
                running.insert(attempt, engine);
            }
            Command::Copy(attempt, engine) => copies.entry(attempt).or_default().push(engine),
            Command::Find(attempt, engine, reply) => {
                let locations = copies.get(&attempt);
                let copied = locations.is_some_and(|engines| engines.contains(&engine));
                let _ = reply.send((running.get(&attempt).copied(), copied));
            }
        }
    }
}

impl Handler {
    /// Answers one request.
    async fn handle(self, request: Request<Incoming>) -> Response<Body> {
        let (parts, body) = request.into_parts();
        let body = http::read_body(body).await.unwrap_or_default();
        if parts.uri.path() == "/-/kv-move" {
            return self.copy(&body);
        }
        let headers = parts.headers;
        let attempt = header_text(&headers, "x-daisyyard-attempt-id");
        let mode = *self.mode.borrow();
        let expected = header_text(&headers, "x-daisyyard-expected-instance");
        let resumed = headers.contains_key("kv-from");
        let available = !resumed || self.has_copy(&attempt).await;
        let ran = expected == self.name && mode != Mode::Declining && available;
        let arrival = Arrival {
            engine: self.name.clone(),
            path: parts.uri.to_string(),
            headers: headers.clone(),
            body,
            ran,
        };
        let _ = self.runs.send(Command::Record(Box::new(arrival)));
        if expected != self.name {
            return response(StatusCode::MISDIRECTED_REQUEST, &attempt, http::full(""));
        }
        if !ran {
            let mut declined = response(StatusCode::SERVICE_UNAVAILABLE, &attempt, http::full(""));
            let yes = HeaderValue::from_static("1");
            declined
                .headers_mut()
                .insert("x-daisyyard-not-executed", yes);
            return declined;
        }
        match mode {
            Mode::Failing => response(
                StatusCode::INTERNAL_SERVER_ERROR,
                &attempt,
                http::full("failed"),
            ),
            Mode::Hanging => std::future::pending().await,
            Mode::Mismatching => response(StatusCode::OK, "another", http::full("of another")),
            Mode::Serving | Mode::Declining => self.serve(&headers, &attempt),
        }
    }

    /// Runs a request.
    fn serve(self, headers: &HeaderMap, attempt: &str) -> Response<Body> {
        let usage = header_text(headers, "x-daisyyard-token-usage");
        let Some((_, output)) = usage.split_once(',') else {
            return response(
                StatusCode::OK,
                attempt,
                http::full(format!("whole {}", self.name)),
            );
        };
        let events = output.parse().unwrap_or(0) / TOKENS_PER_EVENT;
        let first_event = header_text(headers, "last-event-id")
            .parse()
            .map_or(1, |last: u64| last + 1);
        let backup = header_text(headers, "x-daisyyard-kv-backup").parse().ok();
        let (sender, receiver) = mpsc::channel(READER_BUFFER_EVENTS);
        let _ = self
            .runs
            .send(Command::Run(attempt.to_owned(), self.address));
        if let Some(backup) = backup {
            let _ = self.runs.send(Command::Copy(attempt.to_owned(), backup));
        }
        let run = attempt.to_owned();
        tokio::spawn(async move {
            for number in first_event..=events {
                tokio::time::sleep(self.event_interval).await;
                if self.current_engine(&run).await != Some(self.address) {
                    // The run was moved: its stream closes without its end.
                    std::future::pending::<()>().await;
                }
                let event = format!("id: {number}\ndata: piece {number}\n\n");
                if sender.send(event.into()).await.is_err() {
                    return;
                }
            }
        });
        response(StatusCode::OK, attempt, http::channel(receiver))
    }

    /// Copies the memory of a run to another engine.
    fn copy(&self, body: &[u8]) -> Response<Body> {
        let body: serde_json::Value = serde_json::from_slice(body).unwrap_or_default();
        let attempt = body["id"].as_str().unwrap_or_default().to_owned();
        let target = body["target"]
            .as_str()
            .and_then(|target| target.parse().ok());
        if let Some(target) = target {
            let _ = self.runs.send(Command::Copy(attempt.clone(), target));
            if body["last"] == true {
                let _ = self.runs.send(Command::Run(attempt, target));
            }
        }
        http::json(StatusCode::OK, &json!({ "handle": "copy-1", "created": 0 }))
    }

    /// Returns whether a copy of a run is at this engine.
    async fn has_copy(&self, attempt: &str) -> bool {
        let (reply, answer) = oneshot::channel();
        let command = Command::Find(attempt.to_owned(), self.address, reply);
        let _ = self.runs.send(command);
        answer.await.is_ok_and(|(_, copied)| copied)
    }

    /// Returns the engine at which a run is.
    async fn current_engine(&self, attempt: &str) -> Option<SocketAddr> {
        let (reply, answer) = oneshot::channel();
        let command = Command::Find(attempt.to_owned(), self.address, reply);
        let _ = self.runs.send(command);
        answer.await.ok()?.0
    }
}

/// Returns a header's text.
fn header_text(headers: &HeaderMap, name: &str) -> String {
    let value = headers.get(name).and_then(|value| value.to_str().ok());
    value.unwrap_or_default().to_owned()
}

/// Returns an answer with the engine's signature.
fn response(status: StatusCode, attempt: &str, body: Body) -> Response<Body> {
    let mut response = Response::new(body);
    *response.status_mut() = status;
    let headers = response.headers_mut();
    let signature = HeaderValue::from_static("stand-in");
    headers.insert("x-daisyyard-server-signature", signature);
    if let Ok(attempt) = HeaderValue::from_str(attempt) {
        headers.insert("x-daisyyard-attempt-id", attempt);
    }
    response
}
