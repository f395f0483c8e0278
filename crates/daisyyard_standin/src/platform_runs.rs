//! Record of the runs of all engines of a test, so that a run can continue on another engine.

use std::collections::{HashMap, HashSet};
use std::net::SocketAddr;
use std::time::Instant;

use bytes::Bytes;
use hyper::header::HeaderMap;
use tokio::sync::{mpsc, oneshot};
use tokio::task::JoinHandle;

/// A request as an engine received it.
#[derive(Debug, Clone)]
pub struct Arrival {
    /// Name of the engine.
    pub engine: String,
    /// Path and query of the request.
    pub path: String,
    /// Headers of the request.
    pub headers: HeaderMap,
    /// Body of the request.
    pub body: Bytes,
    /// Whether the engine ran the request.
    pub ran: bool,
    /// When the engine received the request.
    pub at: Instant,
}

/// What an engine does with a run whose connection is closed.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Close {
    /// The run ends.
    Stops,
    /// The run goes on to its end unless the engine is told to stop it.
    Ignored,
}

/// Room that an engine finds for copies of its runs at other engines.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Room {
    /// Copies succeed.
    Free,
    /// Copies are refused; the last one stops the run all the same.
    Full,
    /// Copies are refused, and no run is stopped.
    Unavailable,
    /// Copies do not end, and no run is stopped.
    Stalled,
    /// The first copy of a run succeeds, and further ones do not end.
    Once,
    /// Copies succeed after some time.
    Slow,
}

/// What an engine does when it is told to stop a run.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub struct Stopping {
    /// Whether streams have neither a length nor chunks, and end when their run is stopped. The engine
    /// then has no such run any more.
    pub unframed: bool,
    /// Answer to the order.
    pub reply: StopReply,
}

/// Answer of an engine to the order to stop a run.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub enum StopReply {
    /// The answer states what the engine has done.
    #[default]
    Accurate,
    /// The run is stopped, and the connection breaks before the answer is complete.
    Lost,
    /// The run is stopped, and the answer is a refusal without a handle.
    Blank,
    /// The run has come to its end, so that there is nothing to stop. What it sent is still under way.
    Missing,
}

/// Message to the task that tracks the runs.
#[derive(Debug)]
pub(crate) enum Command {
    /// Record a received request.
    Record(Box<Arrival>),
    /// Return all received requests.
    Arrivals(oneshot::Sender<Vec<Arrival>>),
    /// Set the engine that runs an attempt.
    Run(String, SocketAddr),
    /// Note that an engine was told to stop its run of an attempt.
    Stop(String, SocketAddr),
    /// Note that an engine works on an attempt at the moment.
    Work(String, SocketAddr),
    /// Return when an engine last worked on an attempt.
    LastWork(String, SocketAddr, oneshot::Sender<Option<Instant>>),
    /// Note that an engine has a second address.
    Alias(SocketAddr, SocketAddr),
    /// Note that an engine has a copy of the memory of an attempt.
    Copy(String, SocketAddr),
    /// Note that an engine has lost its copy of the memory of an attempt.
    Forget(String, SocketAddr),
    /// Note that an engine has lost all copies and kept memory.
    Restart(SocketAddr),
    /// Make an engine refuse copies.
    Fill(SocketAddr),
    /// Return whether an engine refuses copies.
    IsFull(SocketAddr, oneshot::Sender<bool>),
    /// Return what is known of an attempt at an engine.
    Find(String, SocketAddr, oneshot::Sender<Found>),
}

/// What is known of an attempt at an engine.
#[derive(Debug, Clone, Copy)]
pub(crate) struct Found {
    /// Whether this engine, and no other, runs the attempt since the last start of it.
    pub(crate) is_current: bool,
    /// Whether the engine was told to stop its run of the attempt.
    pub(crate) is_stopped: bool,
    /// Whether the engine has a copy of the memory of the attempt, or keeps that of a stopped run.
    pub(crate) has_memory: bool,
}

/// Handle to the task that tracks the runs of all engines; dropping it stops the task.
#[derive(Debug)]
pub struct Runs {
    /// Channel to the task.
    pub(crate) commands: mpsc::UnboundedSender<Command>,
    /// Task that tracks the runs.
    owner: JoinHandle<()>,
}

impl Runs {
    /// Starts the task that tracks the runs.
    pub fn start() -> Self {
        let (commands, receiver) = mpsc::unbounded_channel();
        Self {
            commands,
            owner: tokio::spawn(run(receiver)),
        }
    }

    /// Returns all requests that the engines received, in order of arrival.
    pub async fn arrivals(&self) -> Vec<Arrival> {
        let (reply, answer) = oneshot::channel();
        let _ = self.commands.send(Command::Arrivals(reply));
        answer.await.unwrap_or_default()
    }

    /// Gives an engine a second address, under which it receives copies as well.
    pub fn alias(&self, address: SocketAddr, engine: SocketAddr) {
        let _ = self.commands.send(Command::Alias(address, engine));
    }

    /// Makes an engine lose all copies and kept memory, as when it is started anew.
    pub fn restart(&self, engine: SocketAddr) {
        let _ = self.commands.send(Command::Restart(engine));
    }

    /// Makes an engine refuse copies of runs at other engines.
    pub fn fill(&self, engine: SocketAddr) {
        let _ = self.commands.send(Command::Fill(engine));
    }

    /// Makes an engine lose its copy of the memory of an attempt, as if it had been started anew.
    pub fn forget(&self, attempt: &str, engine: SocketAddr) {
        let _ = self
            .commands
            .send(Command::Forget(attempt.to_owned(), engine));
    }

    /// Returns whether an engine was told to stop its run of an attempt.
    pub async fn is_stopped(&self, attempt: &str, engine: SocketAddr) -> bool {
        let (reply, answer) = oneshot::channel();
        let command = Command::Find(attempt.to_owned(), engine, reply);
        let _ = self.commands.send(command);
        answer.await.is_ok_and(|found| found.is_stopped)
    }

    /// Returns when an engine last worked on an attempt.
    pub async fn last_work(&self, attempt: &str, engine: SocketAddr) -> Option<Instant> {
        let (reply, answer) = oneshot::channel();
        let command = Command::LastWork(attempt.to_owned(), engine, reply);
        let _ = self.commands.send(command);
        answer.await.ok()?
    }
}

impl Drop for Runs {
    fn drop(&mut self) {
        self.owner.abort();
    }
}

/// Tracks the runs until all senders of commands are dropped.
async fn run(mut commands: mpsc::UnboundedReceiver<Command>) {
    let mut arrivals = Vec::new();
    let mut running: HashMap<String, SocketAddr> = HashMap::new();
    let mut copies: HashSet<(String, SocketAddr)> = HashSet::new();
    let mut full: HashSet<SocketAddr> = HashSet::new();
    let mut stopped: HashSet<(String, SocketAddr)> = HashSet::new();
    let mut worked: HashMap<(String, SocketAddr), Instant> = HashMap::new();
    let mut aliases: HashMap<SocketAddr, SocketAddr> = HashMap::new();
    while let Some(command) = commands.recv().await {
        match command {
            Command::Record(request) => arrivals.push(*request),
            Command::Arrivals(reply) => {
                let _ = reply.send(arrivals.clone());
            }
            Command::Run(attempt, engine) => {
                stopped.remove(&(attempt.clone(), engine));
                running.insert(attempt, engine);
            }
            Command::Stop(attempt, engine) => {
                stopped.insert((attempt, engine));
            }
            Command::Work(attempt, engine) => {
                worked.insert((attempt, engine), Instant::now());
            }
            Command::LastWork(attempt, engine, reply) => {
                let _ = reply.send(worked.get(&(attempt, engine)).copied());
            }
            Command::Alias(address, engine) => {
                aliases.insert(address, engine);
            }
            Command::Copy(attempt, engine) => {
                let engine = aliases.get(&engine).copied().unwrap_or(engine);
                copies.insert((attempt, engine));
            }
            Command::Restart(engine) => {
                copies.retain(|(_, holder)| *holder != engine);
                stopped.retain(|(_, holder)| *holder != engine);
            }
            Command::Fill(engine) => {
                full.insert(engine);
            }
            Command::IsFull(engine, reply) => {
                let _ = reply.send(full.contains(&engine));
            }
            Command::Forget(attempt, engine) => {
                copies.remove(&(attempt, engine));
            }
            Command::Find(attempt, engine, reply) => {
                let is_current = running.get(&attempt) == Some(&engine);
                let key = (attempt, engine);
                let is_stopped = stopped.contains(&key);
                let _ = reply.send(Found {
                    is_current,
                    is_stopped,
                    has_memory: is_stopped || copies.contains(&key),
                });
            }
        }
    }
}
