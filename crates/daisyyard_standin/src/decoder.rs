//! Decoder of the stand-in engine: one task owns the batch, the streams and their readers.

use std::collections::{HashMap, VecDeque};
use std::time::{Duration, Instant};

use bytes::Bytes;
use serde_json::{Value, json};
use tokio::sync::{mpsc, oneshot};
use tokio::task::AbortHandle;

use crate::engine::{Options, length, token};
use crate::fault::Fault;

/// Time for which a finished or unread stream can be resumed.
const KEEP: Duration = Duration::from_secs(30);

/// Message to the task that owns the engine's state.
#[derive(Debug)]
pub(crate) enum Command {
    /// Start a generation and return its identifier.
    Start {
        /// Text of all messages.
        prompt: String,
        /// Priority of the request.
        priority: i64,
        /// Receives the identifier.
        reply: oneshot::Sender<Started>,
    },
    /// Send the tokens of a stream from an offset on.
    Read {
        /// Stream to read.
        stream: u64,
        /// First offset to send.
        from: u64,
        /// Receives the events.
        sender: mpsc::Sender<Bytes>,
        /// Receives whether the stream is known.
        reply: oneshot::Sender<bool>,
    },
    /// End a stream and free its memory.
    Cancel {
        /// Stream to end.
        stream: u64,
        /// Whether a stream that a connection reads goes on.
        unread: bool,
    },
    /// Return the load report.
    Load {
        /// Receives the report.
        reply: oneshot::Sender<Value>,
    },
    /// Return the prompts of all generations that were started.
    Prompts {
        /// Receives the prompts.
        reply: oneshot::Sender<Vec<String>>,
    },
    /// Misbehave.
    Fault(Fault),
}

/// Answer to the start of a generation.
#[derive(Debug, Clone, Copy)]
pub(crate) enum Started {
    /// The generation runs; the head of the answer is sent after a delay.
    Stream(u64, Duration),
    /// The engine refuses, and states that nothing was run if `proof` is set.
    Refused {
        /// Whether the refusal carries `x-not-run: 1`.
        proof: bool,
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
pub(crate) struct State {
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
    /// Task that owns the listener and all connections.
    server: AbortHandle,
    /// How the next generations start.
    start: Start,
    /// Readers whose connections stay open and silent.
    silent: Vec<mpsc::Sender<Bytes>>,
    /// Commands that are never carried out, once the engine hangs.
    hung: Option<Vec<Command>>,
    /// Prompts of all generations that were started; a crash keeps them.
    prompts: Vec<String>,
}

/// How generations start.
#[derive(Debug, Clone, Copy)]
enum Start {
    /// After this delay.
    Delayed(Duration),
    /// Not at all.
    Refused {
        /// Whether the refusal carries `x-not-run: 1`.
        proof: bool,
    },
}

/// Runs decode steps and commands until the engine is dropped.
pub(crate) async fn decode(mut state: State, mut commands: mpsc::UnboundedReceiver<Command>) {
    loop {
        let command = if state.idle() {
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
    /// Creates the state of an engine whose streams are numbered from `next` on.
    pub(crate) fn new(options: Options, next: u64, server: AbortHandle) -> Self {
        Self {
            options,
            streams: HashMap::new(),
            batch: Vec::new(),
            queue: VecDeque::new(),
            next,
            server,
            start: Start::Delayed(Duration::ZERO),
            silent: Vec::new(),
            hung: None,
            prompts: Vec::new(),
        }
    }

    /// Returns whether nothing is left to do until a command arrives.
    fn idle(&self) -> bool {
        let unread = self.streams.values().all(|one| one.readers.is_empty());
        self.hung.is_some() || (self.batch.is_empty() && unread)
    }

    /// Carries out one command.
    fn command(&mut self, command: Command) {
        if let Some(hung) = &mut self.hung
            && !matches!(command, Command::Prompts { .. })
        {
            hung.push(command);
            return;
        }
        if matches!(&command, Command::Start { prompt, .. } if prompt.contains("crash=1")) {
            self.fault(Fault::Crash);
            // An answer would leave the engine before its connections are cut.
            self.hung = Some(vec![command]);
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
                    Start::Refused { proof } => Started::Refused { proof },
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
                self.read(stream, from, sender);
            }
            Command::Cancel { stream, unread } => self.cancel(stream, unread),
            Command::Fault(fault) => self.fault(fault),
            Command::Load { reply } => {
                let _ = reply.send(self.load());
            }
            Command::Prompts { reply } => {
                let _ = reply.send(self.prompts.clone());
            }
        }
    }

    /// Adds a generation to the queue.
    fn start(&mut self, prompt: String, priority: i64) -> u64 {
        let id = self.next;
        self.next += 1;
        let length = length(&prompt);
        self.prompts.push(prompt.clone());
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
        }
        for (id, stream) in &mut self.streams {
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

    /// Misbehaves.
    fn fault(&mut self, fault: Fault) {
        let readers = self.streams.values_mut().flat_map(|one| &mut one.readers);
        match fault {
            Fault::Silence => {
                let streams = self.streams.values_mut();
                let silent = streams.flat_map(|one| one.readers.drain(..));
                self.silent.extend(silent.map(|(_, sender)| sender));
            }
            Fault::Cut => {
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
            Fault::Refuse { proof } => self.start = Start::Refused { proof },
            Fault::Delay(delay) => self.start = Start::Delayed(delay),
            Fault::Hang => self.hung = Some(Vec::new()),
            Fault::Crash => {
                self.server.abort();
                self.streams.clear();
                self.batch.clear();
                self.queue.clear();
                self.silent.clear();
            }
        }
    }

    /// Ends a stream; `unread` spares one that a connection reads.
    fn cancel(&mut self, id: u64, unread: bool) {
        let open = |one: &Stream| one.readers.iter().any(|(_, sender)| !sender.is_closed());
        if unread && self.streams.get(&id).is_some_and(open) {
            return;
        }
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
            "streams": self.streams.len(),
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
        let (made, done, length) = (self.made, self.done(), self.length);
        let prompt = &self.prompt;
        self.readers.retain_mut(|(next, sender)| {
            while *next < made {
                match sender.try_send(event(id, *next, &token(prompt, *next))) {
                    Ok(()) => *next += 1,
                    Err(mpsc::error::TrySendError::Full(_)) => return true,
                    Err(mpsc::error::TrySendError::Closed(_)) => return false,
                }
            }
            // A reader that is full stays until it has room for the end.
            !done
                || matches!(
                    sender.try_send(finish(id, length)),
                    Err(mpsc::error::TrySendError::Full(_))
                )
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
fn finish(id: u64, length: u64) -> Bytes {
    let chunk = json!({
        "id": format!("{id:x}"),
        "object": "chat.completion.chunk",
        "choices": [{"index": 0, "delta": {}, "finish_reason": "stop"}],
        "usage": {"completion_tokens": length},
    });
    Bytes::from(format!("data: {chunk}\n\ndata: [DONE]\n\n"))
}
