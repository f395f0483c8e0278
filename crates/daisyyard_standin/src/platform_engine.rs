//! Stand-in for the engines and plain endpoints of the platform that gateways run on.
//!
//! All engines of a test share one task that tracks the runs, so that a run can continue on another
//! engine. The task also records the requests that each engine received.

use std::net::SocketAddr;
use std::time::{Duration, Instant};

use bytes::Bytes;
use hyper::body::Incoming;
use hyper::header::{CONTENT_LENGTH, HeaderMap, HeaderValue, RETRY_AFTER};
use hyper::{Request, Response, StatusCode, Uri, Version};
use serde_json::json;
use tokio::net::TcpListener;
use tokio::sync::{mpsc, oneshot, watch};
use tokio::task::JoinHandle;

use daisyyard_http::{self as http, Body};

pub use crate::platform_runs::{Arrival, Close, Room, Runs, StopReply, Stopping};
use crate::platform_runs::{Command, Found};
use crate::proxy::Proxy;

/// Capacity of the channel to a reader.
const READER_BUFFER_EVENTS: usize = 4;
/// Time of a slow copy.
const SLOW_COPY_TIME: Duration = Duration::from_millis(200);
/// Number of tokens that an event stands for.
const TOKENS_PER_EVENT: u64 = 4;

/// Path under which an engine frees a copy of the memory of a run.
const HANDLE_PATH: &str = "/-/kv-handle/";

/// Word in the body of a request that makes each engine break off the connection when it runs the
/// request.
pub const CRASH_WORD: &str = "crash=1";
/// Word in the body of a request that does the same after some events.
pub const LATE_CRASH_WORD: &str = "crash=late";
/// Number of these events.
const EVENTS_BEFORE_CRASH: u64 = 20;
/// Identifier of a part of a prompt that does the same before the first event.
pub const CRASH_PART: &str = "dead";
/// Length that an answer claims to have whose connection breaks, in bytes.
const BROKEN_ANSWER_BYTES: usize = 64;
/// The same of an answer whose connection breaks after some events.
const LATE_ANSWER_BYTES: usize = 1 << 20;

/// Treatment of requests by an engine.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Mode {
    /// Requests are run.
    Serving,
    /// Requests are not run, which the response states.
    Declining,
    /// Requests are run, but the response is status 500.
    Failing,
    /// Requests are recorded as run but never answered; connections stay open.
    Hanging,
    /// Requests are run, but the response is one to another request.
    Mismatching,
    /// Requests are run. A continuation of which the engine has no copy is run as a new request, with
    /// status 500.
    Careless,
}

/// What all responses of an engine state.
#[derive(Debug, Clone, PartialEq, Eq, Default)]
pub struct Stated {
    /// Whether the engine leaves.
    pub leaving: bool,
    /// Value of `Retry-After` in responses with status 503.
    pub retry_after: Option<&'static str>,
    /// Value of `Server-Limit`.
    pub limit: Option<&'static str>,
    /// Value of `Server-Brittle`.
    pub brittle: Option<&'static str>,
    /// Time by which responses are delayed; they state what held when the request arrived.
    pub delay: Duration,
}

/// A running engine; dropping it stops the engine and closes its connections.
#[derive(Debug)]
pub struct PlatformEngine {
    /// Name of the engine.
    pub name: String,
    /// Address that clients use, which is the proxy's for an engine behind one.
    pub address: SocketAddr,
    /// Treatment of requests.
    mode: watch::Sender<Mode>,
    /// Treatment of runs whose connection is closed.
    close: watch::Sender<Close>,
    /// Room for copies at other engines.
    room: watch::Sender<Room>,
    /// Treatment of orders to stop a run.
    stopping: watch::Sender<Stopping>,
    /// Time in milliseconds for which responses state that the engine is cold.
    cold: watch::Sender<Option<u64>>,
    /// What responses state besides.
    stated: watch::Sender<Stated>,
    /// Server task.
    server: JoinHandle<()>,
}

/// Handler of the requests to one engine.
#[derive(Debug, Clone)]
struct Handler {
    /// Name of the engine.
    name: String,
    /// Address that clients use.
    address: SocketAddr,
    /// Treatment of requests.
    mode: watch::Receiver<Mode>,
    /// Treatment of runs whose connection is closed.
    close: watch::Receiver<Close>,
    /// Room for copies at other engines.
    room: watch::Receiver<Room>,
    /// Treatment of orders to stop a run.
    stopping: watch::Receiver<Stopping>,
    /// Time between two events of a stream.
    event_interval: Duration,
    /// Channel to the task that tracks the runs.
    runs: mpsc::UnboundedSender<Command>,
}

impl PlatformEngine {
    /// Starts an engine on a free loopback port.
    ///
    /// # Errors
    ///
    /// Fails if no port is free.
    pub async fn start(name: &str, event_interval: Duration, runs: &Runs) -> anyhow::Result<Self> {
        let listener = TcpListener::bind("127.0.0.1:0").await?;
        let address = listener.local_addr()?;
        Ok(Self::serve(name, event_interval, runs, listener, address))
    }

    /// Starts an engine that clients reach through a proxy.
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

    /// Starts the server of an engine that clients reach at `address`.
    fn serve(
        name: &str,
        event_interval: Duration,
        runs: &Runs,
        listener: TcpListener,
        address: SocketAddr,
    ) -> Self {
        let (mode, current_mode) = watch::channel(Mode::Serving);
        let (close, current_close) = watch::channel(Close::Stops);
        let (room, current_room) = watch::channel(Room::Free);
        let (stopping, current_stopping) = watch::channel(Stopping::default());
        let (cold, current_cold) = watch::channel(None);
        let (stated, current_stated) = watch::channel(Stated::default());
        let handler = Handler {
            name: name.to_owned(),
            address,
            mode: current_mode,
            close: current_close,
            room: current_room,
            stopping: current_stopping,
            event_interval,
            runs: runs.commands.clone(),
        };
        let server = http::serve(listener, move |request| {
            let (handler, cold) = (handler.clone(), *current_cold.borrow());
            let stated = current_stated.borrow().clone();
            async move {
                let response = handler.handle(request).await;
                tokio::time::sleep(stated.delay).await;
                state(state_cold(response, cold), &stated)
            }
        });
        Self {
            name: name.to_owned(),
            address,
            mode,
            close,
            room,
            stopping,
            cold,
            stated,
            server,
        }
    }

    /// Sets the treatment of new requests.
    pub fn set_mode(&self, mode: Mode) {
        self.mode.send_replace(mode);
    }

    /// Sets the treatment of runs whose connection is closed.
    pub fn set_close(&self, close: Close) {
        self.close.send_replace(close);
    }

    /// Sets the time in milliseconds for which responses state that the engine is cold.
    pub fn set_cold(&self, cold: Option<u64>) {
        self.cold.send_replace(cold);
    }

    /// Sets what all responses state.
    pub fn set_stated(&self, stated: Stated) {
        self.stated.send_replace(stated);
    }

    /// Sets the treatment of orders to stop a run.
    pub fn set_stopping(&self, stopping: Stopping) {
        self.stopping.send_replace(stopping);
    }

    /// Sets the room for copies at other engines.
    pub fn set_room(&self, room: Room) {
        self.room.send_replace(room);
    }
}

impl Drop for PlatformEngine {
    fn drop(&mut self) {
        self.server.abort();
    }
}

impl Handler {
    /// Handles one request.
    async fn handle(self, request: Request<Incoming>) -> Response<Body> {
        let (parts, body) = request.into_parts();
        let body = http::read_body(body).await.unwrap_or_default();
        if parts.uri.path() == "/-/kv-move" {
            return self.copy(&body).await;
        }
        let headers = parts.headers;
        if parts.uri.path().starts_with(HANDLE_PATH) {
            self.record(&parts.uri, &headers, body, false);
            return http::json(StatusCode::OK, &json!({}));
        }
        let attempt = header_text(&headers, "x-daisyyard-attempt-id");
        let mode = *self.mode.borrow();
        let expected = header_text(&headers, "x-daisyyard-expected-instance");
        let resumed = headers.contains_key("kv-from");
        let available = !resumed || self.find(&attempt).await.is_some_and(|it| it.has_memory);
        let accepts = available || mode == Mode::Careless;
        let ran = expected == self.name && mode != Mode::Declining && accepts;
        let has_word = |word: &str| {
            let mut words = body.windows(word.len());
            words.any(|found| found == word.as_bytes())
        };
        let crashes_late = has_word(LATE_CRASH_WORD);
        let crashes = has_word(CRASH_WORD)
            || header_text(&headers, "x-daisyyard-prompt-prefix")
                .split(',')
                .any(|part| part.split(':').next() == Some(CRASH_PART));
        self.record(&parts.uri, &headers, body, ran);
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
        if crashes {
            return broken(&attempt);
        }
        if crashes_late {
            return self.break_late(&headers, &attempt);
        }
        match mode {
            Mode::Careless if !available => response(
                StatusCode::INTERNAL_SERVER_ERROR,
                &attempt,
                http::full("no copy"),
            ),
            Mode::Failing => response(
                StatusCode::INTERNAL_SERVER_ERROR,
                &attempt,
                http::full("failed"),
            ),
            Mode::Hanging => std::future::pending().await,
            Mode::Mismatching => response(StatusCode::OK, "another", http::full("of another")),
            Mode::Serving | Mode::Declining | Mode::Careless => self.serve(&headers, &attempt),
        }
    }

    /// Records a received request.
    fn record(&self, uri: &Uri, headers: &HeaderMap, body: Bytes, ran: bool) {
        let arrival = Arrival {
            engine: self.name.clone(),
            path: uri.to_string(),
            headers: headers.clone(),
            body,
            ran,
            at: Instant::now(),
        };
        let _ = self.runs.send(Command::Record(Box::new(arrival)));
    }

    /// Streams some events after the last one that the caller has, and breaks the connection.
    fn break_late(self, headers: &HeaderMap, attempt: &str) -> Response<Body> {
        let last_event = header_text(headers, "last-event-id").parse().unwrap_or(0);
        let (sender, receiver) = mpsc::channel(READER_BUFFER_EVENTS);
        tokio::spawn(async move {
            for number in last_event + 1..=last_event + EVENTS_BEFORE_CRASH {
                tokio::time::sleep(self.event_interval).await;
                let event = format!("id: {number}\ndata: piece {number}\n\n");
                if sender.send(event.into()).await.is_err() {
                    return;
                }
            }
        });
        let mut cut = response(StatusCode::OK, attempt, http::channel(receiver));
        let length = HeaderValue::from(LATE_ANSWER_BYTES);
        cut.headers_mut().insert(CONTENT_LENGTH, length);
        cut
    }

    /// Runs a request: streams events to an engine request, and answers any other at once.
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
        let unframed = self.stopping.borrow().unframed;
        tokio::spawn(async move {
            let mut is_open = true;
            for number in first_event..=events {
                tokio::time::sleep(self.event_interval).await;
                let Some(found) = self.find(&run).await else {
                    return;
                };
                if found.is_stopped && unframed {
                    return;
                }
                let close = *self.close.borrow();
                if found.is_stopped || (!found.is_current && close == Close::Stops) {
                    // The run has moved to another engine: stop sending, but keep the stream open.
                    std::future::pending::<()>().await;
                }
                let _ = self.runs.send(Command::Work(run.clone(), self.address));
                let event = format!("id: {number}\ndata: piece {number}\n\n");
                is_open = is_open && sender.send(event.into()).await.is_ok();
                if !is_open && close == Close::Stops {
                    return;
                }
            }
        });
        let mut stream = response(StatusCode::OK, attempt, http::channel(receiver));
        if unframed {
            // A response of this version has no chunks.
            *stream.version_mut() = Version::HTTP_10;
        }
        stream
    }

    /// Copies the memory of a run to another engine, and moves the run if `last` is set.
    async fn copy(&self, body: &[u8]) -> Response<Body> {
        let body: serde_json::Value = serde_json::from_slice(body).unwrap_or_default();
        let attempt = body["id"].as_str().unwrap_or_default().to_owned();
        let target = body["target"]
            .as_str()
            .and_then(|target| target.parse().ok());
        let Some(target) = target else {
            return http::json(StatusCode::BAD_REQUEST, &json!({}));
        };
        let stopping = *self.stopping.borrow();
        let stopped = self.find(&attempt).await.is_some_and(|it| it.is_stopped);
        let missing = body["last"] == true && stopping.reply == StopReply::Missing;
        if missing || (stopping.unframed && stopped) {
            return http::json(StatusCode::NOT_FOUND, &json!({}));
        }
        let room = *self.room.borrow();
        let copied = self.find_at(&attempt, target).await;
        let copied = copied.is_some_and(|found| found.has_memory);
        if room == Room::Slow {
            tokio::time::sleep(SLOW_COPY_TIME).await;
        }
        if room == Room::Stalled || (room == Room::Once && copied) {
            return std::future::pending().await;
        }
        if self.is_full(target).await {
            return http::json(StatusCode::SERVICE_UNAVAILABLE, &json!({}));
        }
        let stops = body["last"] == true && room != Room::Unavailable;
        if stops {
            let _ = self.runs.send(Command::Stop(attempt.clone(), self.address));
        }
        match stopping.reply {
            StopReply::Lost if stops => return broken(&attempt),
            StopReply::Blank if stops => {
                return http::json(StatusCode::SERVICE_UNAVAILABLE, &json!({}));
            }
            _ => {}
        }
        match room {
            Room::Free | Room::Once | Room::Slow | Room::Stalled => {
                let _ = self.runs.send(Command::Copy(attempt, target));
                http::json(StatusCode::OK, &json!({ "handle": "copy-1", "created": 0 }))
            }
            Room::Full if stops => {
                let kept = json!({ "handle": "kept-1" });
                http::json(StatusCode::SERVICE_UNAVAILABLE, &kept)
            }
            Room::Full | Room::Unavailable => {
                http::json(StatusCode::SERVICE_UNAVAILABLE, &json!({}))
            }
        }
    }

    /// Returns what is known of an attempt at this engine; `None` if the task that tracks the runs
    /// has ended.
    async fn find(&self, attempt: &str) -> Option<Found> {
        self.find_at(attempt, self.address).await
    }

    /// Returns whether an engine refuses copies.
    async fn is_full(&self, engine: SocketAddr) -> bool {
        let (reply, answer) = oneshot::channel();
        let _ = self.runs.send(Command::IsFull(engine, reply));
        answer.await.unwrap_or(false)
    }

    /// Returns what is known of an attempt at any engine.
    async fn find_at(&self, attempt: &str, engine: SocketAddr) -> Option<Found> {
        let (reply, answer) = oneshot::channel();
        let command = Command::Find(attempt.to_owned(), engine, reply);
        let _ = self.runs.send(command);
        answer.await.ok()
    }
}

/// States in a response for how many milliseconds the engine is cold.
fn state_cold(mut response: Response<Body>, cold: Option<u64>) -> Response<Body> {
    if let Some(cold) = cold {
        let value = HeaderValue::from(cold);
        response.headers_mut().insert("x-daisyyard-cold-ms", value);
    }
    response
}

/// Adds to a response what the engine states.
fn state(mut response: Response<Body>, stated: &Stated) -> Response<Body> {
    let unavailable = response.status() == StatusCode::SERVICE_UNAVAILABLE;
    let headers = response.headers_mut();
    if stated.leaving {
        headers.insert("server-leaving", HeaderValue::from_static("1"));
    }
    if let Some(limit) = stated.limit {
        headers.insert("server-limit", HeaderValue::from_static(limit));
    }
    if let Some(rejections) = stated.brittle {
        headers.insert("server-brittle", HeaderValue::from_static(rejections));
    }
    if let Some(time) = stated.retry_after.filter(|_| unavailable) {
        headers.insert(RETRY_AFTER, HeaderValue::from_static(time));
    }
    response
}

/// Returns a response that breaks off before its body.
fn broken(attempt: &str) -> Response<Body> {
    let (_, receiver) = mpsc::channel(READER_BUFFER_EVENTS);
    let mut cut = response(StatusCode::OK, attempt, http::channel(receiver));
    let length = HeaderValue::from(BROKEN_ANSWER_BYTES);
    cut.headers_mut().insert(CONTENT_LENGTH, length);
    cut
}

/// Returns the value of a header, or an empty string.
fn header_text(headers: &HeaderMap, name: &str) -> String {
    let value = headers.get(name).and_then(|value| value.to_str().ok());
    value.unwrap_or_default().to_owned()
}

/// Returns a response that carries the engine's signature and an attempt id.
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
