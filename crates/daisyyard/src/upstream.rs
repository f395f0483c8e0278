//! Connections to engines: one task owns each connection and reports what it reads.

use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use daisyyard_core::id::Offset;
use http_body_util::BodyExt;
use hyper::body::Incoming;
use hyper::{Method, Response, StatusCode};
use serde_json::Value;
use tokio::sync::mpsc;

/// Tokens that are buffered between an engine and its reader before the link is held back.
const BUFFER: usize = 256;
/// Time to connect to an engine and receive the head of its answer.
const OPEN_TIMEOUT: Duration = Duration::from_secs(5);

/// What a connection to an engine reports.
#[derive(Debug)]
pub(crate) enum Piece {
    /// A token with its offset.
    Token {
        /// Offset within the generation.
        offset: Offset,
        /// Text of the token.
        text: String,
    },
    /// The generation is whole.
    Finish,
    /// The connection broke before the generation was whole.
    Broken,
}

/// An open stream from an engine.
#[derive(Debug)]
pub(crate) struct Stream {
    /// Name of the stream at the engine.
    pub(crate) name: String,
    /// Pieces in the order in which they arrived.
    pub(crate) pieces: mpsc::Receiver<Piece>,
}

/// Why no stream could be opened.
#[derive(Debug, thiserror::Error)]
pub(crate) enum Error {
    /// Nothing reached the engine.
    #[error("the engine at {0} did not accept a connection; another engine may")]
    Unsent(SocketAddr),
    /// The engine declined the request.
    #[error("the engine declined the request with status {0}; another engine may accept it")]
    Declined(StatusCode),
    /// The request may have reached the engine.
    #[error("the connection to the engine at {0} broke; ask again")]
    Lost(SocketAddr),
}

/// Starts a generation at an engine.
pub(crate) async fn start(address: SocketAddr, body: Bytes) -> Result<Stream, Error> {
    open(address, Method::POST, "/v1/chat/completions", body).await
}

/// Resumes a stream at an offset.
pub(crate) async fn resume(address: SocketAddr, name: &str, from: Offset) -> Result<Stream, Error> {
    let path = format!("/v1/streams/{name}?from={from}");
    open(address, Method::GET, &path, Bytes::new()).await
}

/// Ends a stream and frees what it holds at the engine.
pub(crate) async fn cancel(address: SocketAddr, name: &str) {
    let path = format!("/v1/streams/{name}");
    let call = daisyyard_http::call(address, Method::DELETE, &path, &[], Bytes::new());
    // The engine ends unread streams by itself, so a lost cancel costs only time.
    let _ = tokio::time::timeout(OPEN_TIMEOUT, call).await;
}

/// Sends a request and starts the task that reads the answer.
async fn open(
    address: SocketAddr,
    method: Method,
    path: &str,
    body: Bytes,
) -> Result<Stream, Error> {
    let headers = [("content-type", "application/json")];
    let call = daisyyard_http::open(address, method, path, &headers, body);
    let response = match tokio::time::timeout(OPEN_TIMEOUT, call).await {
        Ok(Ok(response)) => response,
        Ok(Err(error)) if error.downcast_ref::<std::io::Error>().is_some() => {
            return Err(Error::Unsent(address));
        }
        _ => return Err(Error::Lost(address)),
    };
    if response.status() != StatusCode::OK {
        return Err(Error::Declined(response.status()));
    }
    let name = response
        .headers()
        .get("x-stream-id")
        .and_then(|name| name.to_str().ok());
    let name = name.unwrap_or_default().to_owned();
    let (sender, pieces) = mpsc::channel(BUFFER);
    tokio::spawn(read(response, sender));
    Ok(Stream { name, pieces })
}

/// Reads the events of an answer until it ends, breaks or nobody listens.
async fn read(response: Response<Incoming>, sender: mpsc::Sender<Piece>) {
    let mut body = response.into_body();
    let mut buffer = Vec::new();
    while let Some(Ok(frame)) = body.frame().await {
        let Ok(data) = frame.into_data() else {
            continue;
        };
        buffer.extend_from_slice(&data);
        while let Some(end) = find(&buffer) {
            let event: Vec<u8> = buffer.drain(..end + 2).collect();
            let Some(piece) = parse(&event) else { continue };
            let last = matches!(piece, Piece::Finish);
            if sender.send(piece).await.is_err() || last {
                return;
            }
        }
    }
    let _ = sender.send(Piece::Broken).await;
}

/// Returns where the first event in the buffer ends.
fn find(buffer: &[u8]) -> Option<usize> {
    buffer.windows(2).position(|pair| pair == b"\n\n")
}

/// Returns the piece that an event carries, if any.
fn parse(event: &[u8]) -> Option<Piece> {
    let event = std::str::from_utf8(event).ok()?;
    let data = event.lines().find_map(|line| line.strip_prefix("data: "))?;
    if data == "[DONE]" {
        return Some(Piece::Finish);
    }
    let offset = event
        .lines()
        .find_map(|line| line.strip_prefix("id: "))?
        .parse()
        .ok()?;
    let value: Value = serde_json::from_str(data).ok()?;
    let text = value["choices"][0]["delta"]["content"].as_str()?.to_owned();
    Some(Piece::Token { offset, text })
}
