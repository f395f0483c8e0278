//! Stand-in for a model engine with continuous batching, resumable streams and load reports.
//!
//! The text of a generation follows from the prompt alone, so that a test can tell whether an
//! answer is whole. A prompt may contain `length=N` to set the output length, which the system
//! under test does not read.

use std::collections::{HashMap, VecDeque};
use std::net::SocketAddr;
use std::time::{Duration, Instant};

use bytes::Bytes;
use hyper::body::Incoming;
use hyper::{Method, Request, Response, StatusCode};
use serde_json::{Value, json};
use tokio::net::TcpListener;
use tokio::sync::{mpsc, oneshot};
use tokio::task::JoinHandle;

use daisyyard_http::{self as http, Body};

/// Output length of a prompt that does not set one, in tokens.
const DEFAULT_LENGTH: u64 = 32;
/// Time for which a finished or unread stream can be resumed.
const KEEP: Duration = Duration::from_secs(30);

/// How an engine behaves.
#[derive(Debug, Clone)]
pub struct Options {
    /// Time of one decode step with an empty batch.
    pub step: Duration,
    /// Additional time of one decode step for each running generation.
    pub crowding: Duration,
    /// Generations that run at the same time; others wait in the engine's queue.
    pub slots: usize,
    /// Tokens of context that the engine's memory holds.
    pub memory: u64,
}

impl Default for Options {
    fn default() -> Self {
        Self {
            step: Duration::from_millis(5),
            crowding: Duration::from_micros(100),
            slots: 64,
            memory: 131_072,
        }
    }
}

/// A running engine; dropping it ends the engine and cuts its connections.
#[derive(Debug)]
pub struct Engine {
    /// Address on which the engine accepts requests.
    pub address: SocketAddr,
    /// Commands to the task that owns the engine's state.
    commands: mpsc::UnboundedSender<Command>,
    /// Tasks of the engine.
    tasks: Vec<JoinHandle<()>>,
}

/// Message to the task that owns the engine's state.
#[derive(Debug)]
enum Command {
    /// Start a generation and return its identifier.
    Start {
        /// Text of all messages.
        prompt: String,
        /// Priority of the request.
        priority: i64,
        /// Receives the identifier.
        reply: oneshot::Sender<u64>,
    },
    /// Send the tokens of a stream from an offset on, or drop the sender if it is unknown.
    Read {
        /// Stream to read.
        stream: u64,
        /// First offset to send.
        from: u64,
        /// Receives the events.
        sender: mpsc::Sender<Bytes>,
    },
    /// End a stream and free its memory.
    Cancel {
        /// Stream to end.
        stream: u64,
    },
    /// Return the load report.
    Load {
        /// Receives the report.
        reply: oneshot::Sender<Value>,
    },
}

/// One generation.
#[derive(Debug)]
struct Stream {
    /// Text that determines the output.
    prompt: String,
    /// Priority; a higher one is admitted first.
    priority: i64,
    /// Tokens made.
    made: u64,
    /// Tokens that the output has in all.
    length: u64,
    /// Readers with the offset that each needs next.
    readers: Vec<(u64, mpsc::Sender<Bytes>)>,
    /// When the stream was last read or made progress.
    touched: Instant,
}

/// State of the engine, owned by one task.
#[derive(Debug)]
struct State {
    /// How the engine behaves.
    options: Options,
    /// All streams that can be read.
    streams: HashMap<u64, Stream>,
    /// Streams in the batch.
    batch: Vec<u64>,
    /// Streams that wait for a place in the batch.
    queue: VecDeque<u64>,
    /// Identifier of the next stream.
    next: u64,
}

impl Engine {
    /// Starts an engine on a free loopback port.
    pub async fn start(options: Options) -> anyhow::Result<Self> {
        let listener = TcpListener::bind("127.0.0.1:0").await?;
        let address = listener.local_addr()?;
        let (commands, receiver) = mpsc::unbounded_channel();
        let state = State {
            options,
            streams: HashMap::new(),
            batch: Vec::new(),
            queue: VecDeque::new(),
            next: u64::from(address.port()) << 32,
        };
        let decoder = tokio::spawn(decode(state, receiver));
        let sender = commands.clone();
        let server = http::serve(listener, move |request| handle(request, sender.clone()));
        Ok(Self {
            address,
            commands,
            tasks: vec![decoder, server],
        })
    }

    /// Returns the engine's load report.
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

/// Returns the token of a prompt's generation at an offset.
pub fn token(prompt: &str, offset: u64) -> String {
    let seed = daisyyard_core::id::of(prompt).wrapping_add(offset);
    format!("{:04x}.{offset} ", seed & 0xffff)
}

/// Returns the whole text that a prompt generates.
pub fn text(prompt: &str) -> String {
    (0..length(prompt))
        .map(|offset| token(prompt, offset))
        .collect()
}

/// Returns the output length of a prompt, in tokens.
pub fn length(prompt: &str) -> u64 {
    let rest = prompt.split("length=").nth(1);
    let digits = rest.map(|rest| {
        rest.split(|c: char| !c.is_ascii_digit())
            .next()
            .unwrap_or("")
    });
    digits
        .and_then(|digits| digits.parse().ok())
        .unwrap_or(DEFAULT_LENGTH)
}

/// Runs decode steps and commands until the engine is dropped.
async fn decode(mut state: State, mut commands: mpsc::UnboundedReceiver<Command>) {
    loop {
        let command = if state.batch.is_empty() {
            commands.recv().await
        } else {
            let crowding = state.options.crowding * state.batch.len() as u32;
            let step = tokio::time::sleep(state.options.step + crowding);
            tokio::pin!(step);
            loop {
                tokio::select! {
                    command = commands.recv() => match command {
                        Some(command) => state.command(command),
                        None => return,
                    },
                    () = &mut step => break,
                }
            }
            state.step();
            continue;
        };
        let Some(command) = command else { return };
        state.command(command);
    }
}

impl State {
    /// Carries out one command.
    fn command(&mut self, command: Command) {
        match command {
            Command::Start {
                prompt,
                priority,
                reply,
            } => {
                let _ = reply.send(self.start(prompt, priority));
            }
            Command::Read {
                stream,
                from,
                sender,
            } => self.read(stream, from, sender),
            Command::Cancel { stream } => self.cancel(stream),
            Command::Load { reply } => {
                let _ = reply.send(self.load());
            }
        }
    }

    /// Adds a generation to the queue.
    fn start(&mut self, prompt: String, priority: i64) -> u64 {
        let id = self.next;
        self.next += 1;
        let length = length(&prompt);
        let touched = Instant::now();
        let stream = Stream {
            prompt,
            priority,
            made: 0,
            length,
            readers: Vec::new(),
            touched,
        };
        let place = self
            .queue
            .iter()
            .position(|other| self.streams[other].priority < priority);
        self.queue.insert(place.unwrap_or(self.queue.len()), id);
        self.streams.insert(id, stream);
        self.admit();
        id
    }

    /// Moves generations from the queue to the batch while slots are free.
    fn admit(&mut self) {
        while self.batch.len() < self.options.slots {
            let Some(id) = self.queue.pop_front() else {
                return;
            };
            self.batch.push(id);
        }
    }

    /// Makes one token for each generation in the batch.
    fn step(&mut self) {
        for id in &self.batch {
            let Some(stream) = self.streams.get_mut(id) else {
                continue;
            };
            stream.made += 1;
            stream.touched = Instant::now();
            stream.push(*id);
        }
        let streams = &self.streams;
        self.batch.retain(|id| {
            streams
                .get(id)
                .is_some_and(|stream| stream.made < stream.length)
        });
        self.streams
            .retain(|_, stream| !stream.done() || stream.touched.elapsed() < KEEP);
        self.admit();
    }

    /// Adds a reader to a stream.
    fn read(&mut self, id: u64, from: u64, sender: mpsc::Sender<Bytes>) {
        let Some(stream) = self.streams.get_mut(&id) else {
            return;
        };
        stream.touched = Instant::now();
        stream.readers.push((from, sender));
        stream.push(id);
    }

    /// Ends a stream.
    fn cancel(&mut self, id: u64) {
        self.streams.remove(&id);
        self.batch.retain(|other| *other != id);
        self.queue.retain(|other| *other != id);
        self.admit();
    }

    /// Returns the load report.
    fn load(&self) -> Value {
        let running = self.batch.len();
        let step = self.options.step + self.options.crowding * running as u32;
        let used: u64 = self.batch.iter().map(|id| self.streams[id].context()).sum();
        json!({
            "running": running,
            "waiting": self.queue.len(),
            "used_tokens": used,
            "memory_tokens": self.options.memory,
            "gap_ms": step.as_secs_f64() * 1e3,
            "preemptions": 0,
        })
    }
}

impl Stream {
    /// Returns whether all tokens have been made.
    fn done(&self) -> bool {
        self.made >= self.length
    }

    /// Returns the tokens of memory that the generation uses.
    fn context(&self) -> u64 {
        self.prompt.len() as u64 / 4 + self.made
    }

    /// Sends what each reader has not received; a reader that is gone or full keeps its place.
    fn push(&mut self, id: u64) {
        let (made, done) = (self.made, self.done());
        let prompt = &self.prompt;
        self.readers.retain_mut(|(next, sender)| {
            while *next < made {
                match sender.try_send(event(id, *next, &token(prompt, *next))) {
                    Ok(()) => *next += 1,
                    Err(mpsc::error::TrySendError::Full(_)) => return true,
                    Err(mpsc::error::TrySendError::Closed(_)) => return false,
                }
            }
            if done {
                let _ = sender.try_send(finish(id));
            }
            !done
        });
    }
}

/// Returns the server-sent event of one token.
fn event(id: u64, offset: u64, text: &str) -> Bytes {
    let chunk = json!({
        "id": format!("{id:x}"),
        "object": "chat.completion.chunk",
        "choices": [{"index": 0, "delta": {"content": text}, "finish_reason": null}],
    });
    Bytes::from(format!("id: {offset}\ndata: {chunk}\n\n"))
}

/// Returns the events that end a stream.
fn finish(id: u64) -> Bytes {
    let chunk = json!({
        "id": format!("{id:x}"),
        "object": "chat.completion.chunk",
        "choices": [{"index": 0, "delta": {}, "finish_reason": "stop"}],
    });
    Bytes::from(format!("data: {chunk}\n\ndata: [DONE]\n\n"))
}

/// Answers one HTTP request.
async fn handle(
    request: Request<Incoming>,
    commands: mpsc::UnboundedSender<Command>,
) -> Response<Body> {
    let path = request.uri().path().to_owned();
    let stream = path
        .strip_prefix("/v1/streams/")
        .and_then(|id| u64::from_str_radix(id, 16).ok());
    match (request.method(), path.as_str(), stream) {
        (&Method::POST, "/v1/chat/completions", _) => complete(request, commands).await,
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
            read(stream, from, &commands)
        }
        (&Method::DELETE, _, Some(stream)) => {
            let _ = commands.send(Command::Cancel { stream });
            http::json(StatusCode::OK, &json!({}))
        }
        _ => http::json(StatusCode::NOT_FOUND, &json!({"error": "no such path"})),
    }
}

/// Starts a generation and streams it.
async fn complete(
    request: Request<Incoming>,
    commands: mpsc::UnboundedSender<Command>,
) -> Response<Body> {
    let body = http::read(request.into_body()).await.unwrap_or_default();
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
        Ok(stream) => read(stream, 0, &commands),
        Err(_) => http::json(
            StatusCode::SERVICE_UNAVAILABLE,
            &json!({"error": "stopping"}),
        ),
    }
}

/// Returns the text of all messages of a completion request.
pub fn prompt(value: &Value) -> String {
    let messages = value["messages"].as_array().map_or(&[][..], Vec::as_slice);
    let texts: Vec<&str> = messages
        .iter()
        .filter_map(|m| m["content"].as_str())
        .collect();
    texts.join("\n")
}

/// Streams a generation from an offset on.
fn read(stream: u64, from: u64, commands: &mpsc::UnboundedSender<Command>) -> Response<Body> {
    let (sender, receiver) = mpsc::channel(4096);
    let _ = commands.send(Command::Read {
        stream,
        from,
        sender,
    });
    let mut response = Response::new(http::channel(receiver));
    let headers = response.headers_mut();
    let kind = hyper::header::HeaderValue::from_static("text/event-stream");
    headers.insert(hyper::header::CONTENT_TYPE, kind);
    if let Ok(value) = format!("{stream:x}").parse() {
        headers.insert("x-stream-id", value);
    }
    response
}
