//! Client of the embedded fleet. It records the answers that it receives and resumes a stream at
//! another node when the connection is lost.

use std::io::ErrorKind;
use std::net::SocketAddr;
use std::time::{Duration, Instant};

use bytes::Bytes;
use daisyyard_core::id::Offset;
use http_body_util::BodyExt;
use hyper::body::Incoming;
use hyper::{Method, Response, StatusCode};
use serde_json::{Value, json};
use tokio::sync::watch;
use tokio::time::timeout;

/// Bearer token that callers send.
pub const CALLER_TOKEN: &str = "member-1-token-0";
/// Limit on each wait for a response head, for the next part of a stream or for a complete body.
const RESPONSE_TIMEOUT: Duration = Duration::from_secs(15);
/// Maximum number of connection attempts for one streamed answer.
const MAX_CONNECTIONS: usize = 20;
/// Delay before the next connection attempt.
const RECONNECT_DELAY: Duration = Duration::from_millis(50);
/// Path of generation requests.
const COMPLETIONS_PATH: &str = "/v1/chat/completions";

/// Current addresses of the nodes that callers may use.
pub type Addresses = watch::Receiver<Vec<SocketAddr>>;

/// Request for a generation.
#[derive(Debug, Clone)]
pub struct Request {
    /// Name of the model service.
    pub model: String,
    /// Prompt, sent as one user message.
    pub prompt: String,
    /// Value of the `x-rank` header, `urgent` or `deferrable`.
    pub rank: &'static str,
}

/// Token received in a stream.
#[derive(Debug, Clone)]
pub struct Token {
    /// Generation in the `id` field of the event.
    pub generation: String,
    /// Offset in the `id` field of the event.
    pub offset: Offset,
    /// Text of the token.
    pub text: String,
    /// Time at which the token was received.
    pub received_at: Instant,
}

/// How a streamed answer ended.
#[derive(Debug, Clone, PartialEq)]
pub enum End {
    /// The node sent the end-of-stream marker.
    Complete,
    /// The node refused the request or reported that the answer was interrupted.
    Refused(Value),
    /// This node sent nothing within the time limit.
    TimedOut(SocketAddr),
    /// All connection attempts failed, or their connections were lost.
    Unreachable,
    /// This node sent data that violates the protocol.
    Malformed(SocketAddr, String),
}

/// Record of a streamed answer.
#[derive(Debug)]
pub struct Answer {
    /// Time at which the request was started.
    pub started: Instant,
    /// Tokens in the order of their arrival.
    pub tokens: Vec<Token>,
    /// Nodes whose connection was lost before the end of the answer.
    pub lost_connections: Vec<SocketAddr>,
    /// End of the answer.
    pub end: End,
}

/// Result of a request whose answer is not streamed.
#[derive(Debug, Clone, PartialEq)]
pub enum Reply {
    /// An answer with this status and body, other than a refusal.
    Answered(StatusCode, Bytes),
    /// The node refused the request with this error.
    Refused(Value),
    /// The node did not accept a connection.
    Unreachable,
    /// The connection was lost before the end of the answer.
    ConnectionLost(SocketAddr),
    /// The node did not answer within the time limit.
    TimedOut(SocketAddr),
}

/// Returns the headers that all requests carry.
pub fn headers() -> [(&'static str, String); 2] {
    [
        ("authorization", format!("Bearer {CALLER_TOKEN}")),
        ("content-type", "application/json".to_owned()),
    ]
}

/// Streams an answer, resuming it at the next node when a connection is lost. `first` selects the
/// node to start with, and `show` is called with the text of each token.
pub async fn stream(
    addresses: &Addresses,
    first: usize,
    request: &Request,
    mut show: impl FnMut(&str),
) -> Answer {
    let mut answer = Answer {
        started: Instant::now(),
        tokens: Vec::new(),
        lost_connections: Vec::new(),
        end: End::Unreachable,
    };
    for number in first..first + MAX_CONNECTIONS {
        let Some(node) = select_node(addresses, number) else {
            tokio::time::sleep(RECONNECT_DELAY).await;
            continue;
        };
        let opened = match answer.tokens.last() {
            None => timeout(RESPONSE_TIMEOUT, open(node, request, true)).await,
            Some(last) => timeout(RESPONSE_TIMEOUT, resume(node, last)).await,
        };
        let end = match opened {
            Err(_elapsed) => Some(End::TimedOut(node)),
            Ok(Err(error)) => {
                if !connection_refused(&error) {
                    answer.lost_connections.push(node);
                }
                None
            }
            Ok(Ok(response)) if response.status() != StatusCode::OK => {
                read_refusal(response, node).await
            }
            Ok(Ok(response)) => read_events(response, node, &mut answer, &mut show).await,
        };
        if let Some(end) = end {
            answer.end = end;
            return answer;
        }
        tokio::time::sleep(RECONNECT_DELAY).await;
    }
    answer
}

/// Requests an answer that is not streamed and returns its text, or the result if it has none.
pub async fn request_text(node: SocketAddr, request: &Request) -> Result<String, Reply> {
    let response = match timeout(RESPONSE_TIMEOUT, open(node, request, false)).await {
        Err(_elapsed) => return Err(Reply::TimedOut(node)),
        Ok(Err(error)) if connection_refused(&error) => return Err(Reply::Unreachable),
        Ok(Err(_)) => return Err(Reply::ConnectionLost(node)),
        Ok(Ok(response)) => response,
    };
    match read_reply(response, node).await {
        Reply::Answered(status, body) => {
            let value: Value = serde_json::from_slice(&body).unwrap_or_default();
            let text = value["choices"][0]["message"]["content"].as_str();
            text.map(str::to_owned).ok_or(Reply::Answered(status, body))
        }
        other => Err(other),
    }
}

/// Calls a plain service with an idempotency key.
pub async fn call(node: SocketAddr, path: &str, key: &str, body: &str) -> Reply {
    let common = headers();
    let mut headers: Vec<_> = common.iter().map(|(n, v)| (*n, v.as_str())).collect();
    headers.push(("idempotency-key", key));
    let call = daisyyard_http::send(node, Method::POST, path, &headers, body.to_owned());
    match timeout(RESPONSE_TIMEOUT, call).await {
        Err(_elapsed) => Reply::TimedOut(node),
        Ok(Err(error)) if connection_refused(&error) => Reply::Unreachable,
        Ok(Err(_)) => Reply::ConnectionLost(node),
        Ok(Ok(response)) => read_reply(response, node).await,
    }
}

/// Returns the address with this number, wrapping around the list; none if it is empty.
pub fn select_node(addresses: &Addresses, number: usize) -> Option<SocketAddr> {
    let addresses = addresses.borrow();
    let index = number.checked_rem(addresses.len())?;
    addresses.get(index).copied()
}

/// Sends a generation request to a node.
async fn open(
    node: SocketAddr,
    request: &Request,
    stream: bool,
) -> anyhow::Result<Response<Incoming>> {
    let body = json!({
        "model": request.model,
        "stream": stream,
        "messages": [{"role": "user", "content": request.prompt}],
    });
    let common = headers();
    let mut headers: Vec<_> = common.iter().map(|(n, v)| (*n, v.as_str())).collect();
    headers.push(("x-rank", request.rank));
    daisyyard_http::send(
        node,
        Method::POST,
        COMPLETIONS_PATH,
        &headers,
        body.to_string(),
    )
    .await
}

/// Requests the rest of a stream after the last token received.
async fn resume(node: SocketAddr, last: &Token) -> anyhow::Result<Response<Incoming>> {
    let common = headers();
    let mut headers: Vec<_> = common.iter().map(|(n, v)| (*n, v.as_str())).collect();
    let position = format!("{}:{}", last.generation, last.offset);
    headers.push(("last-event-id", &position));
    let path = format!("/v1/streams/{}", last.generation);
    daisyyard_http::send(node, Method::GET, &path, &headers, "").await
}

/// Reads events until the answer ends; returns none if the connection is lost first.
async fn read_events(
    response: Response<Incoming>,
    node: SocketAddr,
    answer: &mut Answer,
    show: &mut impl FnMut(&str),
) -> Option<End> {
    let mut body = response.into_body();
    let mut buffer = String::new();
    loop {
        while let Some((event, rest)) = buffer.split_once("\n\n") {
            match parse(event) {
                Event::Token(token) => {
                    show(&token.text);
                    answer.tokens.push(token);
                }
                Event::Ignored => {}
                Event::End(end) => return Some(end),
                Event::Malformed => return Some(End::Malformed(node, event.to_owned())),
            }
            buffer = rest.to_owned();
        }
        match timeout(RESPONSE_TIMEOUT, body.frame()).await {
            Err(_elapsed) => return Some(End::TimedOut(node)),
            Ok(Some(Ok(frame))) => {
                let data = frame.into_data().unwrap_or_default();
                buffer.push_str(&String::from_utf8_lossy(&data));
            }
            Ok(None | Some(Err(_))) => {
                answer.lost_connections.push(node);
                return None;
            }
        }
    }
}

/// Parsed server-sent event.
enum Event {
    /// A token of the answer.
    Token(Token),
    /// An event without a token, such as a comment or the role.
    Ignored,
    /// The end-of-stream marker or an error.
    End(End),
    /// Data that is not JSON, or a token without a valid `id`.
    Malformed,
}

/// Parses the lines of one server-sent event.
fn parse(event: &str) -> Event {
    let field = |name: &str| event.lines().find_map(|line| line.strip_prefix(name));
    let Some(data) = field("data: ") else {
        return Event::Ignored;
    };
    if data == "[DONE]" {
        return Event::End(End::Complete);
    }
    let Ok(value) = serde_json::from_str::<Value>(data) else {
        return Event::Malformed;
    };
    if field("event: ") == Some("error") {
        return Event::End(End::Refused(value["error"].clone()));
    }
    let Some(text) = value["choices"][0]["delta"]["content"].as_str() else {
        return Event::Ignored;
    };
    let id = field("id: ").and_then(|id| id.rsplit_once(':'));
    let id = id.and_then(|(generation, offset)| Some((generation, offset.parse().ok()?)));
    id.map_or(Event::Malformed, |(generation, offset)| {
        Event::Token(Token {
            generation: generation.to_owned(),
            offset,
            text: text.to_owned(),
            received_at: Instant::now(),
        })
    })
}

/// Reads the refusal of a stream request; returns none if the connection is lost first.
async fn read_refusal(response: Response<Incoming>, node: SocketAddr) -> Option<End> {
    match read_reply(response, node).await {
        Reply::Refused(error) => Some(End::Refused(error)),
        Reply::Answered(status, _) => Some(End::Malformed(node, format!("status {status}"))),
        Reply::TimedOut(node) => Some(End::TimedOut(node)),
        Reply::Unreachable | Reply::ConnectionLost(_) => None,
    }
}

/// Reads a complete response and distinguishes refusals of the node from other answers.
async fn read_reply(response: Response<Incoming>, node: SocketAddr) -> Reply {
    let status = response.status();
    let body = match timeout(RESPONSE_TIMEOUT, response.into_body().collect()).await {
        Err(_elapsed) => return Reply::TimedOut(node),
        Ok(Err(_)) => return Reply::ConnectionLost(node),
        Ok(Ok(body)) => body.to_bytes(),
    };
    let value: Value = serde_json::from_slice(&body).unwrap_or_default();
    if value["error"]["outcome"].is_string() {
        return Reply::Refused(value["error"].clone());
    }
    Reply::Answered(status, body)
}

/// Returns whether the connection was refused, in which case no part of the request was sent.
fn connection_refused(error: &anyhow::Error) -> bool {
    let io = error
        .chain()
        .find_map(|cause| cause.downcast_ref::<std::io::Error>());
    io.is_some_and(|io| io.kind() == ErrorKind::ConnectionRefused)
}
