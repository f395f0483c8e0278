//! Stand-in for a model engine with continuous batching, resumable streams and load reports.
//!
//! The text of a generation is a function of the prompt, so that a test can check whether a
//! response is complete. A prompt may contain `length=N` to set the number of output tokens, which
//! the system under test does not interpret.

use std::net::SocketAddr;
use std::time::Duration;

use hyper::body::Incoming;
use hyper::{Method, Request, Response, StatusCode};
use serde_json::{Value, json};
use tokio::net::TcpListener;
use tokio::sync::{mpsc, oneshot};
use tokio::task::JoinHandle;

use daisyyard_http::{self as http, Body};

use crate::decoder::{self, Command, Started, State};
use crate::fault::Fault;

/// Output length of a prompt without `length=N`.
const DEFAULT_OUTPUT_TOKENS: u64 = 32;
/// Capacity of the channel to a reader.
const READER_BUFFER_EVENTS: usize = 64;

/// Speed and capacity of an engine.
#[derive(Debug, Clone)]
pub struct Options {
    /// Duration of a decode step, without the share of the running generations.
    pub step_time: Duration,
    /// Additional duration of a decode step for each running generation.
    pub step_time_per_generation: Duration,
    /// Maximum number of running generations; further ones wait in a queue.
    pub slots: usize,
    /// Memory for context that the load report states; the engine does not enforce it.
    pub memory_tokens: u64,
}

impl Default for Options {
    fn default() -> Self {
        Self {
            step_time: Duration::from_millis(5),
            step_time_per_generation: Duration::from_micros(100),
            slots: 64,
            memory_tokens: 131_072,
        }
    }
}

/// A running engine; dropping it stops the engine and closes its connections.
#[derive(Debug)]
pub struct Engine {
    /// Address on which the engine accepts requests.
    pub address: SocketAddr,
    /// Channel to the decode task.
    commands: mpsc::UnboundedSender<Command>,
    /// Decode task and server task.
    tasks: Vec<JoinHandle<()>>,
}

impl Engine {
    /// Starts an engine on a free loopback port.
    pub async fn start(options: Options) -> anyhow::Result<Self> {
        let listener = TcpListener::bind("127.0.0.1:0").await?;
        let address = listener.local_addr()?;
        let (commands, receiver) = mpsc::unbounded_channel();
        let sender = commands.clone();
        let server = http::serve(listener, move |request| handle(request, sender.clone()));
        // A restarted engine must not reuse the identifiers of streams that callers may resume.
        let first_id = rand::random::<u64>() << 16;
        let state = State::new(options, first_id, server.abort_handle());
        let decoder = tokio::spawn(decoder::decode(state, receiver));
        Ok(Self {
            address,
            commands,
            tasks: vec![decoder, server],
        })
    }

    /// Injects a fault.
    pub fn inject(&self, fault: Fault) {
        let _ = self.commands.send(Command::Inject(fault));
    }

    /// Returns the prompts of all generations started so far, even after a crash.
    pub async fn prompts(&self) -> Vec<String> {
        let (reply, answer) = oneshot::channel();
        let _ = self.commands.send(Command::Prompts { reply });
        answer.await.unwrap_or_default()
    }

    /// Returns the load report, or `None` if the decode task has ended.
    pub async fn load(&self) -> Option<Value> {
        let (reply, answer) = oneshot::channel();
        self.commands.send(Command::Load { reply }).ok()?;
        answer.await.ok()
    }
}

impl Drop for Engine {
    fn drop(&mut self) {
        for task in &self.tasks {
            task.abort();
        }
    }
}

/// Returns the token at an offset of the output for a prompt.
pub fn token(prompt: &str, offset: u64) -> String {
    let seed = daisyyard_core::id::of(prompt).wrapping_add(offset);
    format!("{:04x}.{offset} ", seed & 0xffff)
}

/// Returns the whole output for a prompt.
pub fn text(prompt: &str) -> String {
    (0..output_tokens(prompt))
        .map(|offset| token(prompt, offset))
        .collect()
}

/// Returns the length of the output for a prompt, in tokens.
pub fn output_tokens(prompt: &str) -> u64 {
    let rest = prompt.split("length=").nth(1);
    let digits = rest.map(|rest| {
        rest.split(|c: char| !c.is_ascii_digit())
            .next()
            .unwrap_or("")
    });
    digits
        .and_then(|digits| digits.parse().ok())
        .unwrap_or(DEFAULT_OUTPUT_TOKENS)
}

/// Handles one HTTP request.
async fn handle(
    request: Request<Incoming>,
    commands: mpsc::UnboundedSender<Command>,
) -> Response<Body> {
    let path = request.uri().path().to_owned();
    let stream = path
        .strip_prefix("/v1/streams/")
        .and_then(|id| u64::from_str_radix(id, 16).ok());
    match (request.method(), path.as_str(), stream) {
        (&Method::POST, "/v1/chat/completions", _) => start_generation(request, commands).await,
        (&Method::GET, "/load", _) => {
            let (reply, answer) = oneshot::channel();
            let _ = commands.send(Command::Load { reply });
            http::json(StatusCode::OK, &answer.await.unwrap_or_default())
        }
        (&Method::GET, _, Some(stream)) => {
            let query = request.uri().query().unwrap_or_default();
            let from = query
                .strip_prefix("from=")
                .and_then(|from| from.parse().ok())
                .unwrap_or(0);
            stream_generation(stream, from, &commands).await
        }
        (&Method::DELETE, _, Some(stream)) => {
            let only_unread = request.uri().query() == Some("unread=1");
            let _ = commands.send(Command::Cancel {
                stream,
                only_unread,
            });
            http::json(StatusCode::OK, &json!({}))
        }
        _ => http::json(StatusCode::NOT_FOUND, &json!({"error": "no such path"})),
    }
}

/// Starts a generation and streams its tokens.
async fn start_generation(
    request: Request<Incoming>,
    commands: mpsc::UnboundedSender<Command>,
) -> Response<Body> {
    let body = http::read_body(request.into_body())
        .await
        .unwrap_or_default();
    let Ok(value) = serde_json::from_slice::<Value>(&body) else {
        return http::json(
            StatusCode::BAD_REQUEST,
            &json!({"error": "the body is not JSON"}),
        );
    };
    let priority = value["priority"].as_i64().unwrap_or(0);
    let (reply, answer) = oneshot::channel();
    let _ = commands.send(Command::Start {
        prompt: prompt(&value),
        priority,
        reply,
    });
    match answer.await {
        Ok(Started::Stream(stream, delay)) => {
            tokio::time::sleep(delay).await;
            stream_generation(stream, 0, &commands).await
        }
        Ok(Started::Refused { not_run }) => {
            let error = json!({"error": "refused"});
            let mut response = http::json(StatusCode::SERVICE_UNAVAILABLE, &error);
            if not_run {
                let value = hyper::header::HeaderValue::from_static("1");
                response.headers_mut().insert("x-not-run", value);
            }
            response
        }
        Err(_) => http::json(
            StatusCode::SERVICE_UNAVAILABLE,
            &json!({"error": "stopping"}),
        ),
    }
}

/// Returns the text of all messages of a completion request, joined by line breaks.
pub fn prompt(value: &Value) -> String {
    let messages = value["messages"].as_array().map_or(&[][..], Vec::as_slice);
    let texts: Vec<&str> = messages
        .iter()
        .filter_map(|m| m["content"].as_str())
        .collect();
    texts.join("\n")
}

/// Streams the tokens of a generation, starting at an offset.
async fn stream_generation(
    stream: u64,
    from: u64,
    commands: &mpsc::UnboundedSender<Command>,
) -> Response<Body> {
    let (sender, receiver) = mpsc::channel(READER_BUFFER_EVENTS);
    let (reply, known) = oneshot::channel();
    let _ = commands.send(Command::Read {
        stream,
        from,
        sender,
        reply,
    });
    if !known.await.unwrap_or(false) {
        let error = json!({"error": "no such stream"});
        return http::json(StatusCode::NOT_FOUND, &error);
    }
    let mut response = Response::new(http::channel(receiver));
    let headers = response.headers_mut();
    let content_type = hyper::header::HeaderValue::from_static("text/event-stream");
    headers.insert(hyper::header::CONTENT_TYPE, content_type);
    if let Ok(value) = format!("{stream:x}").parse() {
        headers.insert("x-stream-id", value);
    }
    response
}
