//! Connections to engines; one task owns each connection and parses the stream on it.

use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use daisyyard_core::id::Offset;
use daisyyard_http::connection::{self, Answer, Failure};
use http_body_util::{BodyExt, Full};
use hyper::{Method, Request, StatusCode};
use tokio::sync::mpsc;
use tokio_util::task::AbortOnDropHandle;

use crate::signature;
use crate::sse::{Chunk, Fault, Parser};

/// Items buffered between a connection and its reader before backpressure stops the connection.
const BUFFER_ITEMS: usize = 256;
/// Timeout for receiving the head of an engine's response.
const OPEN_TIMEOUT: Duration = Duration::from_secs(5);
/// Timeout for an engine's answer on one connection of a probe.
const PROBE_TIMEOUT: Duration = Duration::from_millis(500);
/// Number of broken connections after which a probe fails.
const PROBE_ATTEMPTS: u32 = 5;
/// Delay between the connections of a probe.
const PROBE_RETRY_DELAY: Duration = Duration::from_millis(20);

/// An open stream from an engine; dropping it closes the connection.
#[derive(Debug)]
pub(crate) struct Stream {
    /// Name of the stream at the engine.
    pub(crate) name: String,
    /// Items in the order of their arrival; the channel closes with the connection.
    pub(crate) items: mpsc::Receiver<Item>,
    /// Task that owns the connection.
    _reader: AbortOnDropHandle<()>,
}

/// Item read from an engine's connection.
#[derive(Debug)]
pub(crate) enum Item {
    /// Bytes arrived that do not complete a chunk, such as a part of an event.
    Alive,
    /// A chunk of the generation.
    Chunk(Chunk),
    /// The engine sent bytes that are not a valid event stream.
    Fault(Fault),
}

/// Reason why no stream was opened.
#[derive(Debug, Clone, Copy, PartialEq, Eq, thiserror::Error)]
pub(crate) enum Error {
    /// The engine did not accept a connection.
    #[error("the engine did not accept a connection; another engine may")]
    Unconnected {
        /// Whether the connection was refused, which means that no process listens.
        refused: bool,
    },
    /// The engine cannot have received the whole request.
    #[error("the connection broke before the request was written; another engine may accept it")]
    Unsent,
    /// The engine rejected the request and stated that it did not run it.
    #[error("the engine declined the request with status {0}; another engine may accept it")]
    Declined(StatusCode),
    /// The engine answered with something other than a stream.
    #[error("the engine answered with status {0}; correct the request or ask its operators")]
    UnexpectedStatus(StatusCode),
    /// The request may have reached the engine.
    #[error("the connection to the engine broke; ask again")]
    Lost,
}

impl From<Failure> for Error {
    fn from(failure: Failure) -> Self {
        match failure {
            Failure::Refused => Self::Unconnected { refused: true },
            Failure::Unreachable => Self::Unconnected { refused: false },
            // An engine cannot run a request whose JSON body is incomplete.
            Failure::Unwritten | Failure::Partial | Failure::Late => Self::Unsent,
            Failure::Broken | Failure::Silent | Failure::Malformed => Self::Lost,
        }
    }
}

/// Starts a generation at an engine.
pub(crate) async fn start(address: SocketAddr, body: Bytes) -> Result<Stream, Error> {
    open(address, Method::POST, "/v1/chat/completions", body).await
}

/// Resumes a stream at an offset. Engines must not reuse stream names after a restart, because the
/// node cannot distinguish the new stream from the old one.
pub(crate) async fn resume(address: SocketAddr, name: &str, from: Offset) -> Result<Stream, Error> {
    let path = format!("/v1/streams/{name}?from={from}");
    open(address, Method::GET, &path, Bytes::new()).await
}

/// Cancels a stream at the engine unless another connection reads it, which happens if the caller
/// has reconnected through another node.
pub(crate) async fn cancel(address: SocketAddr, name: &str) {
    let path = format!("/v1/streams/{name}?unread=1");
    let request = request(Method::DELETE, &path, Bytes::new());
    // Errors are ignored: the engine ends unread streams by itself after a while.
    if let Some(request) = request {
        let _ = connection::send(address, request, OPEN_TIMEOUT).await;
    }
}

/// Result of a probe of an engine on a new connection.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Probe {
    /// The engine answers.
    Answers,
    /// No process listens at the engine's address.
    Refused,
    /// The engine does not answer in time.
    Silent,
}

/// Probes an engine by requesting its load on a new connection.
pub(crate) async fn probe(address: SocketAddr) -> Probe {
    for _ in 0..PROBE_ATTEMPTS {
        let Some(request) = request(Method::GET, "/load", Bytes::new()) else {
            return Probe::Silent;
        };
        match connection::send(address, request, PROBE_TIMEOUT).await {
            Ok(answer) if answer.response.status() == StatusCode::OK => return Probe::Answers,
            Ok(_) | Err(Failure::Silent | Failure::Unreachable | Failure::Malformed) => {
                return Probe::Silent;
            }
            Err(Failure::Refused) => return Probe::Refused,
            // While a process exits, the kernel accepts connections until its socket is closed.
            Err(Failure::Unwritten | Failure::Late | Failure::Partial | Failure::Broken) => {
                tokio::time::sleep(PROBE_RETRY_DELAY).await;
            }
        }
    }
    Probe::Silent
}

/// Builds a request; returns `None` if the path is invalid.
fn request(method: Method, path: &str, body: Bytes) -> Option<Request<Full<Bytes>>> {
    let builder = Request::builder().method(method).uri(path);
    let builder = builder
        .header("host", "daisyyard")
        .header("content-type", "application/json");
    builder.body(Full::new(body)).ok()
}

/// Sends a request and starts the task that reads the response.
async fn open(
    address: SocketAddr,
    method: Method,
    path: &str,
    body: Bytes,
) -> Result<Stream, Error> {
    let request = request(method, path, body).ok_or(Error::Unsent)?;
    let answer = connection::send(address, request, OPEN_TIMEOUT).await?;
    let status = answer.response.status();
    let headers = answer.response.headers();
    let declined = headers
        .get("x-not-run")
        .is_some_and(|value| value.as_bytes() == b"1");
    match status {
        StatusCode::OK => {}
        StatusCode::TOO_MANY_REQUESTS | StatusCode::SERVICE_UNAVAILABLE if declined => {
            return Err(Error::Declined(status));
        }
        _ => return Err(Error::UnexpectedStatus(status)),
    }
    let name = headers
        .get("x-stream-id")
        .and_then(|name| name.to_str().ok());
    let name = name.filter(|name| signature::is_valid_stream_name(name));
    let name = name.ok_or(Error::Lost)?.to_owned();
    let (sender, items) = mpsc::channel(BUFFER_ITEMS);
    let reader = AbortOnDropHandle::new(tokio::spawn(read(answer, sender)));
    Ok(Stream {
        name,
        items,
        _reader: reader,
    })
}

/// Reads the events of a response until it ends, breaks, is malformed or has no more reader.
async fn read(answer: Answer, sender: mpsc::Sender<Item>) {
    let Answer { response, driver } = answer;
    let mut body = response.into_body();
    let mut parser = Parser::new();
    while let Some(Ok(frame)) = body.frame().await {
        let Ok(data) = frame.into_data() else {
            continue;
        };
        parser.push(&data);
        let mut items = 0;
        loop {
            let item = match parser.parse() {
                Ok(Some(chunk)) => Item::Chunk(chunk),
                Ok(None) if items == 0 => Item::Alive,
                Ok(None) => break,
                Err(fault) => Item::Fault(fault),
            };
            items += 1;
            let last = matches!(item, Item::Chunk(Chunk::Finish) | Item::Fault(_));
            let idle = matches!(item, Item::Alive);
            if sender.send(item).await.is_err() || last {
                return;
            }
            if idle {
                break;
            }
        }
    }
    drop(driver);
}
