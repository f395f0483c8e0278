//! Decode loop of the stand-in engine. One task owns the batch, the streams and their readers.

use std::collections::{HashMap, VecDeque};
use std::time::{Duration, Instant};

use bytes::Bytes;
use serde_json::{Value, json};
use tokio::sync::{mpsc, oneshot};
use tokio::task::AbortHandle;

use crate::engine::{Options, output_tokens, token};
use crate::fault::Fault;

/// Time for which a finished stream can be resumed after it was last active.
const STREAM_RETENTION: Duration = Duration::from_secs(30);

/// Message to the decode task.
#[derive(Debug)]
pub(crate) enum Command {
    /// Start a generation.
    Start {
        /// Text of all messages of the request.
        prompt: String,
        /// Priority of the request; a higher one is admitted first.
        priority: i64,
        /// Receives the stream of the generation, or the refusal.
        reply: oneshot::Sender<Started>,
    },
    /// Send the tokens of a stream, starting at an offset.
    Read {
        /// Identifier of the stream.
        stream: u64,
        /// Offset of the first token to send.
        from: u64,
        /// Receives the events.
        sender: mpsc::Sender<Bytes>,
        /// Receives whether the stream exists.
        reply: oneshot::Sender<bool>,
    },
    /// Remove a stream and free its place in the batch.
    Cancel {
        /// Identifier of the stream to remove.
        stream: u64,
        /// Whether the stream is kept if a connection reads it.
        only_unread: bool,
    },
    /// Return the load report.
    Load {
        /// Receives the report.
        reply: oneshot::Sender<Value>,
    },
    /// Return the prompts of all generations started so far.
    Prompts {
        /// Receives the prompts.
        reply: oneshot::Sender<Vec<String>>,
    },
    /// Inject a fault.
    Inject(Fault),
}

/// Result of [`Command::Start`].
#[derive(Debug, Clone, Copy)]
pub(crate) enum Started {
    /// Identifier of the stream, and the delay before the head of the response is sent.
    Stream(u64, Duration),
    /// The engine refuses the request.
    Refused {
        /// Whether the refusal carries `x-not-run: 1`.
        not_run: bool,
    },
}

/// One generation.
#[derive(Debug)]
struct Stream {
    /// Text of all messages, which determines the output.
    prompt: String,
    /// Priority of the request; a higher one is admitted first.
    priority: i64,
    /// Number of tokens generated so far.
    generated_tokens: u64,
    /// Number of tokens of the whole output.
    output_tokens: u64,
    /// Readers, each with the offset of the next token to send.
    readers: Vec<(u64, mpsc::Sender<Bytes>)>,
    /// Time when a reader was last added or a token last generated.
    last_active: Instant,
}

/// State of the engine, owned by the decode task.
#[derive(Debug)]
pub(crate) struct State {
    /// Speed and capacity of the engine.
    options: Options,
    /// Streams by identifier.
    streams: HashMap<u64, Stream>,
    /// Streams that generate a token in each decode step.
    batch: Vec<u64>,
    /// Streams that wait for a free slot, in order of admission.
    queue: VecDeque<u64>,
    /// Identifier of the next stream.
    next_id: u64,
    /// Handle that aborts the server task, which owns the listener and all connections.
    server: AbortHandle,
    /// How the engine treats requests for new generations.
    start: Start,
    /// Readers that get no more events although their connections stay open.
    stalled_readers: Vec<mpsc::Sender<Bytes>>,
    /// Set once the engine hangs: commands kept so that their callers wait forever.
    unanswered: Option<Vec<Command>>,
    /// Prompts of all generations started so far, including those before a crash.
    prompts: Vec<String>,
}

/// Treatment of requests for new generations.
#[derive(Debug, Clone, Copy)]
enum Start {
    /// Generations start, and the head of each response is sent after this delay.
    Delayed(Duration),
    /// Requests are refused.
    Refused {
        /// Whether the refusal carries `x-not-run: 1`.
        not_run: bool,
    },
}

/// Runs decode steps and executes commands until the engine is dropped.
pub(crate) async fn decode(mut state: State, mut commands: mpsc::UnboundedReceiver<Command>) {
    loop {
        let command = if state.is_idle() {
            commands.recv().await
        } else {
            let batch_time = state.options.step_time_per_generation * state.batch.len() as u32;
            let step = tokio::time::sleep(state.options.step_time + batch_time);
            tokio::pin!(step);
            loop {
                tokio::select! {
                    command = commands.recv() => match command {
                        Some(command) => state.execute(command),
                        None => return,
                    },
                    () = &mut step => break,
                }
            }
            state.step();
            continue;
        };
        let Some(command) = command else { return };
        state.execute(command);
    }
}

impl State {
    /// Creates the state of an engine whose first stream has the identifier `next_id`.
    pub(crate) fn new(options: Options, next_id: u64, server: AbortHandle) -> Self {
        Self {
            options,
            streams: HashMap::new(),
            batch: Vec::new(),
            queue: VecDeque::new(),
            next_id,
            server,
            start: Start::Delayed(Duration::ZERO),
            stalled_readers: Vec::new(),
            unanswered: None,
            prompts: Vec::new(),
        }
    }

    /// Returns whether there is nothing to do until the next command.
    fn is_idle(&self) -> bool {
        let unread = self.streams.values().all(|one| one.readers.is_empty());
        self.unanswered.is_some() || (self.batch.is_empty() && unread)
    }

    /// Executes a command. Once the engine hangs, it answers only `Prompts`.
    fn execute(&mut self, command: Command) {
        if let Some(unanswered) = &mut self.unanswered
            && !matches!(command, Command::Prompts { .. })
        {
            unanswered.push(command);
            return;
        }
        if matches!(&command, Command::Start { prompt, .. } if prompt.contains("crash=1")) {
            self.inject(Fault::Crash);
            // Dropping the command would send a response before the connections are closed.
            self.unanswered = Some(vec![command]);
            return;
        }
        match command {
            Command::Start {
                prompt,
                priority,
                reply,
            } => {
                let started = match self.start {
                    Start::Delayed(delay) => Started::Stream(self.start(prompt, priority), delay),
                    Start::Refused { not_run } => Started::Refused { not_run },
                };
                let _ = reply.send(started);
            }
            Command::Read {
                stream,
                from,
                sender,
                reply,
            } => {
                let _ = reply.send(self.streams.contains_key(&stream));
                self.add_reader(stream, from, sender);
            }
            Command::Cancel {
                stream,
                only_unread,
            } => self.cancel(stream, only_unread),
            Command::Inject(fault) => self.inject(fault),
            Command::Load { reply } => {
                let _ = reply.send(self.load());
            }
            Command::Prompts { reply } => {
                let _ = reply.send(self.prompts.clone());
            }
        }
    }

    /// Enqueues a generation by priority and returns its identifier.
    fn start(&mut self, prompt: String, priority: i64) -> u64 {
        let id = self.next_id;
        self.next_id += 1;
        let output_tokens = output_tokens(&prompt);
        self.prompts.push(prompt.clone());
        let last_active = Instant::now();
        let stream = Stream {
            prompt,
            priority,
            generated_tokens: 0,
            output_tokens,
            readers: Vec::new(),
            last_active,
        };
        let position = self
            .queue
            .iter()
            .position(|other| self.streams[other].priority < priority);
        self.queue.insert(position.unwrap_or(self.queue.len()), id);
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

    /// Generates one token for each stream in the batch and removes expired streams.
    fn step(&mut self) {
        for id in &self.batch {
            let Some(stream) = self.streams.get_mut(id) else {
                continue;
            };
            stream.generated_tokens += 1;
            stream.last_active = Instant::now();
        }
        for (id, stream) in &mut self.streams {
            stream.send_pending(*id);
        }
        let streams = &self.streams;
        self.batch.retain(|id| {
            streams
                .get(id)
                .is_some_and(|stream| stream.generated_tokens < stream.output_tokens)
        });
        self.streams.retain(|_, stream| {
            !stream.is_finished() || stream.last_active.elapsed() < STREAM_RETENTION
        });
        self.admit();
    }

    /// Adds a reader to a stream and sends it the tokens that exist.
    fn add_reader(&mut self, id: u64, from: u64, sender: mpsc::Sender<Bytes>) {
        let Some(stream) = self.streams.get_mut(&id) else {
            return;
        };
        stream.last_active = Instant::now();
        stream.readers.push((from, sender));
        stream.send_pending(id);
    }

    /// Applies a fault to the open streams or to later requests.
    fn inject(&mut self, fault: Fault) {
        let readers = self.streams.values_mut().flat_map(|one| &mut one.readers);
        match fault {
            Fault::Silence => {
                let streams = self.streams.values_mut();
                let stalled = streams.flat_map(|one| one.readers.drain(..));
                self.stalled_readers
                    .extend(stalled.map(|(_, sender)| sender));
            }
            Fault::Disconnect => {
                for stream in self.streams.values_mut() {
                    stream.readers.clear();
                }
            }
            Fault::Garbage(bytes) => {
                for (_, sender) in readers {
                    let _ = sender.try_send(bytes.clone());
                }
            }
            Fault::Skip(count) => {
                for (next, _) in readers {
                    *next += count;
                }
            }
            Fault::Refuse { not_run } => self.start = Start::Refused { not_run },
            Fault::Delay(delay) => self.start = Start::Delayed(delay),
            Fault::Hang => self.unanswered = Some(Vec::new()),
            Fault::Crash => {
                self.server.abort();
                self.streams.clear();
                self.batch.clear();
                self.queue.clear();
                self.stalled_readers.clear();
            }
        }
    }

    /// Removes a stream; with `only_unread`, keeps it if a connection reads it.
    fn cancel(&mut self, id: u64, only_unread: bool) {
        let is_read = |one: &Stream| one.readers.iter().any(|(_, sender)| !sender.is_closed());
        if only_unread && self.streams.get(&id).is_some_and(is_read) {
            return;
        }
        self.streams.remove(&id);
        self.batch.retain(|other| *other != id);
        self.queue.retain(|other| *other != id);
        self.admit();
    }

    /// Returns the load report in the engine's JSON format.
    fn load(&self) -> Value {
        let running = self.batch.len();
        let step = self.options.step_time + self.options.step_time_per_generation * running as u32;
        let used: u64 = self
            .batch
            .iter()
            .map(|id| self.streams[id].context_tokens())
            .sum();
        json!({
            "running": running,
            "streams": self.streams.len(),
            "waiting": self.queue.len(),
            "used_tokens": used,
            "memory_tokens": self.options.memory_tokens,
            "gap_ms": step.as_secs_f64() * 1e3,
            "preemptions": 0,
        })
    }
}

impl Stream {
    /// Returns whether all tokens have been generated.
    fn is_finished(&self) -> bool {
        self.generated_tokens >= self.output_tokens
    }

    /// Returns the number of tokens in memory: those of the prompt and the generated ones.
    fn context_tokens(&self) -> u64 {
        self.prompt.len() as u64 / 4 + self.generated_tokens
    }

    /// Sends each reader the events that it lacks, until its channel is full, and drops the readers
    /// that have disconnected or received the end.
    fn send_pending(&mut self, id: u64) {
        let (generated, finished, output_tokens) = (
            self.generated_tokens,
            self.is_finished(),
            self.output_tokens,
        );
        let prompt = &self.prompt;
        self.readers.retain_mut(|(next, sender)| {
            while *next < generated {
                match sender.try_send(token_event(id, *next, &token(prompt, *next))) {
                    Ok(()) => *next += 1,
                    Err(mpsc::error::TrySendError::Full(_)) => return true,
                    Err(mpsc::error::TrySendError::Closed(_)) => return false,
                }
            }
            // Keep a reader whose channel is full until it has room for the last events.
            !finished
                || matches!(
                    sender.try_send(end_events(id, output_tokens)),
                    Err(mpsc::error::TrySendError::Full(_))
                )
        });
    }
}

/// Returns the server-sent event that carries one token.
fn token_event(id: u64, offset: u64, text: &str) -> Bytes {
    let chunk = json!({
        "id": format!("{id:x}"),
        "object": "chat.completion.chunk",
        "choices": [{"index": 0, "delta": {"content": text}, "finish_reason": null}],
    });
    Bytes::from(format!("id: {offset}\ndata: {chunk}\n\n"))
}

/// Returns the server-sent events that end a stream.
fn end_events(id: u64, output_tokens: u64) -> Bytes {
    let chunk = json!({
        "id": format!("{id:x}"),
        "object": "chat.completion.chunk",
        "choices": [{"index": 0, "delta": {}, "finish_reason": "stop"}],
        "usage": {"completion_tokens": output_tokens},
    });
    Bytes::from(format!("data: {chunk}\n\ndata: [DONE]\n\n"))
}
