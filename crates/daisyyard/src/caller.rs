//! A caller of the embedded fleet: it keeps what it receives, and continues at another node when
//! its connection ends early.

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

/// Credential of the callers.
pub const TOKEN: &str = "member-1-token-0";
/// Time without news after which a caller gives up.
const PATIENCE: Duration = Duration::from_secs(15);
/// Connections that a caller opens for one answer at most.
const MAX_CONNECTIONS: usize = 20;
/// Time between two connections.
const PAUSE: Duration = Duration::from_millis(50);
/// Path of generations.
const COMPLETIONS: &str = "/v1/chat/completions";

/// Addresses that callers may use now.
pub type Addresses = watch::Receiver<Vec<SocketAddr>>;

/// A generation that a caller asks for.
#[derive(Debug, Clone)]
pub struct Question {
    /// Model service.
    pub model: String,
    /// Prompt.
    pub prompt: String,
    /// `urgent` or `deferrable`.
    pub rank: &'static str,
}

/// One token as it arrived.
#[derive(Debug, Clone)]
pub struct Token {
    /// Generation that the event names.
    pub generation: String,
    /// Offset that the event names.
    pub offset: Offset,
    /// Text.
    pub text: String,
    /// When the token arrived.
    pub at: Instant,
}

/// How an answer ended.
#[derive(Debug, Clone, PartialEq)]
pub enum End {
    /// The system said that the answer is whole.
    Whole,
    /// The system refused or said that the answer broke off.
    Refused(Value),
    /// Nothing arrived in time from this node.
    Silent(SocketAddr),
    /// No node could be reached.
    Unreachable,
    /// This node sent something that is not an answer.
    Malformed(SocketAddr, String),
}

/// What a caller kept of one answer.
#[derive(Debug)]
pub struct Answer {
    /// When the caller asked.
    pub started: Instant,
    /// Tokens in the order in which they arrived.
    pub tokens: Vec<Token>,
    /// Nodes at which the connection ended early.
    pub cuts: Vec<SocketAddr>,
    /// How the answer ended.
    pub end: End,
}

/// Answer of a plain service or refusal of the system.
#[derive(Debug, Clone, PartialEq)]
pub enum Reply {
    /// Status and body of the answer.
    Answered(StatusCode, Bytes),
    /// The system refused.
    Refused(Value),
    /// No connection was made.
    Unreachable,
    /// The connection ended early.
    Cut(SocketAddr),
    /// Nothing arrived in time.
    Silent(SocketAddr),
}

/// Returns the headers of every request.
pub fn headers() -> [(&'static str, String); 2] {
    [
        ("authorization", format!("Bearer {TOKEN}")),
        ("content-type", "application/json".to_owned()),
    ]
}

/// Streams an answer, starting at the address of the given number; `show` sees each token's text.
pub async fn stream(
    addresses: &Addresses,
    first: usize,
    question: &Question,
    mut show: impl FnMut(&str),
) -> Answer {
    let mut answer = Answer {
        started: Instant::now(),
        tokens: Vec::new(),
        cuts: Vec::new(),
        end: End::Unreachable,
    };
    for number in first..first + MAX_CONNECTIONS {
        let Some(node) = pick(addresses, number) else {
            tokio::time::sleep(PAUSE).await;
            continue;
        };
        let opened = match answer.tokens.last() {
            None => timeout(PATIENCE, open(node, question, true)).await,
            Some(last) => timeout(PATIENCE, resume(node, last)).await,
        };
        let end = match opened {
            Err(_late) => Some(End::Silent(node)),
            Ok(Err(error)) => {
                if !unreachable(&error) {
                    answer.cuts.push(node);
                }
                None
            }
            Ok(Ok(response)) if response.status() != StatusCode::OK => {
                refusal(response, node).await
            }
            Ok(Ok(response)) => read(response, node, &mut answer, &mut show).await,
        };
        if let Some(end) = end {
            answer.end = end;
            return answer;
        }
        tokio::time::sleep(PAUSE).await;
    }
    answer
}

/// Asks for an answer that is not streamed and returns its text, or how it ended instead.
pub async fn ask(node: SocketAddr, question: &Question) -> Result<String, Reply> {
    let response = match timeout(PATIENCE, open(node, question, false)).await {
        Err(_late) => return Err(Reply::Silent(node)),
        Ok(Err(error)) if unreachable(&error) => return Err(Reply::Unreachable),
        Ok(Err(_)) => return Err(Reply::Cut(node)),
        Ok(Ok(response)) => response,
    };
    match reply(response, node).await {
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
    let own = headers();
    let mut headers: Vec<_> = own.iter().map(|(n, v)| (*n, v.as_str())).collect();
    headers.push(("idempotency-key", key));
    let call = daisyyard_http::send(node, Method::POST, path, &headers, body.to_owned());
    match timeout(PATIENCE, call).await {
        Err(_late) => Reply::Silent(node),
        Ok(Err(error)) if unreachable(&error) => Reply::Unreachable,
        Ok(Err(_)) => Reply::Cut(node),
        Ok(Ok(response)) => reply(response, node).await,
    }
}

/// Returns the address of a number.
pub fn pick(addresses: &Addresses, number: usize) -> Option<SocketAddr> {
    let addresses = addresses.borrow();
    let index = number.checked_rem(addresses.len())?;
    addresses.get(index).copied()
}

/// Asks a node for a generation.
async fn open(
    node: SocketAddr,
    question: &Question,
    stream: bool,
) -> anyhow::Result<Response<Incoming>> {
    let body = json!({
        "model": question.model,
        "stream": stream,
        "messages": [{"role": "user", "content": question.prompt}],
    });
    let own = headers();
    let mut headers: Vec<_> = own.iter().map(|(n, v)| (*n, v.as_str())).collect();
    headers.push(("x-rank", question.rank));
    daisyyard_http::send(node, Method::POST, COMPLETIONS, &headers, body.to_string()).await
}

/// Continues a stream after the last token that was kept.
async fn resume(node: SocketAddr, last: &Token) -> anyhow::Result<Response<Incoming>> {
    let own = headers();
    let mut headers: Vec<_> = own.iter().map(|(n, v)| (*n, v.as_str())).collect();
    let position = format!("{}:{}", last.generation, last.offset);
    headers.push(("last-event-id", &position));
    let path = format!("/v1/streams/{}", last.generation);
    daisyyard_http::send(node, Method::GET, &path, &headers, "").await
}

/// Reads events until the stream ends; none if the connection ended first.
async fn read(
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
                Parsed::Token(token) => {
                    show(&token.text);
                    answer.tokens.push(token);
                }
                Parsed::Nothing => {}
                Parsed::End(end) => return Some(end),
                Parsed::Malformed => return Some(End::Malformed(node, event.to_owned())),
            }
            buffer = rest.to_owned();
        }
        match timeout(PATIENCE, body.frame()).await {
            Err(_late) => return Some(End::Silent(node)),
            Ok(Some(Ok(frame))) => {
                let data = frame.into_data().unwrap_or_default();
                buffer.push_str(&String::from_utf8_lossy(&data));
            }
            Ok(None | Some(Err(_))) => {
                answer.cuts.push(node);
                return None;
            }
        }
    }
}

/// What one event says.
enum Parsed {
    /// A token.
    Token(Token),
    /// Nothing that a caller keeps.
    Nothing,
    /// The end of the stream.
    End(End),
    /// Something that is not part of the protocol.
    Malformed,
}

/// Parses one event.
fn parse(event: &str) -> Parsed {
    let field = |name: &str| event.lines().find_map(|line| line.strip_prefix(name));
    let Some(data) = field("data: ") else {
        return Parsed::Nothing;
    };
    if data == "[DONE]" {
        return Parsed::End(End::Whole);
    }
    let Ok(value) = serde_json::from_str::<Value>(data) else {
        return Parsed::Malformed;
    };
    if field("event: ") == Some("error") {
        return Parsed::End(End::Refused(value["error"].clone()));
    }
    let Some(text) = value["choices"][0]["delta"]["content"].as_str() else {
        return Parsed::Nothing;
    };
    let id = field("id: ").and_then(|id| id.rsplit_once(':'));
    let id = id.and_then(|(generation, offset)| Some((generation, offset.parse().ok()?)));
    id.map_or(Parsed::Malformed, |(generation, offset)| {
        Parsed::Token(Token {
            generation: generation.to_owned(),
            offset,
            text: text.to_owned(),
            at: Instant::now(),
        })
    })
}

/// Reads the refusal of a stream; none if the connection ended first.
async fn refusal(response: Response<Incoming>, node: SocketAddr) -> Option<End> {
    match reply(response, node).await {
        Reply::Refused(error) => Some(End::Refused(error)),
        Reply::Answered(status, _) => Some(End::Malformed(node, format!("status {status}"))),
        Reply::Silent(node) => Some(End::Silent(node)),
        Reply::Unreachable | Reply::Cut(_) => None,
    }
}

/// Reads a whole answer and tells refusals of the system apart.
async fn reply(response: Response<Incoming>, node: SocketAddr) -> Reply {
    let status = response.status();
    let body = match timeout(PATIENCE, response.into_body().collect()).await {
        Err(_late) => return Reply::Silent(node),
        Ok(Err(_)) => return Reply::Cut(node),
        Ok(Ok(body)) => body.to_bytes(),
    };
    let value: Value = serde_json::from_slice(&body).unwrap_or_default();
    if value["error"]["outcome"].is_string() {
        return Reply::Refused(value["error"].clone());
    }
    Reply::Answered(status, body)
}

/// Returns whether no connection was made, so that nothing was sent.
fn unreachable(error: &anyhow::Error) -> bool {
    let io = error
        .chain()
        .find_map(|cause| cause.downcast_ref::<std::io::Error>());
    io.is_some_and(|io| io.kind() == ErrorKind::ConnectionRefused)
}
