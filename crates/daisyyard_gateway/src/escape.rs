//! How a stream leaves an engine that leaves: its memory is copied to another engine while the run
//! goes on, until the run can stop for the last copy.

use std::sync::Arc;
use std::time::{Duration, Instant};

use bytes::Bytes;
use daisyyard_core::endpoint::Endpoint;
use tokio_util::task::AbortOnDropHandle;

use crate::event::Event;
use crate::exchange::Exchange;
use crate::job::Job;
use crate::message::{Abandon, Escape, Grant, Way};
use crate::relay::{LEAVING, Relay};
use crate::store;

/// Time after the first event of a run at an engine until its first copy is complete elsewhere.
const FIRST_BACKUP: Duration = Duration::from_millis(800);
/// Time between two looks for an engine with room for a run whose own engine leaves.
const STEP_PAUSE: Duration = Duration::from_millis(100);
/// Time for an engine to copy the memory of a run.
const COPY_TIMEOUT: Duration = Duration::from_secs(3);
/// A copy that takes no longer leaves so little for the last one that callers see no pause.
const SHORT_COPY: Duration = Duration::from_millis(50);
/// Copies before the last one at most.
const MOST_COPIES: u32 = 8;

/// How far the way from an engine that leaves is prepared.
#[derive(Debug)]
pub(crate) enum Leaving {
    /// The engine stays.
    Stays,
    /// The next step is due at a time.
    Due(Instant),
    /// The memory of the run is being copied to the engine with the room for it.
    Copying(Copying),
}

/// A copy of the run's memory that is under way. The run goes on meanwhile, and copies follow each
/// other until one has so little left that the run can stop for the last.
#[derive(Debug)]
pub(crate) struct Copying {
    /// Asks the engine for the copy.
    pub(crate) task: AbortOnDropHandle<Result<Bytes, store::Error>>,
    /// Engine that receives the memory.
    target: Arc<Endpoint>,
    /// When the copy began.
    began: Instant,
    /// Copies before this one.
    rounds: u32,
}

impl Relay {
    /// Returns whether the engines of the service move runs.
    fn movable(&self) -> bool {
        self.job.engine.is_some_and(|engine| engine.moves)
    }

    /// Takes the next step away from an engine that leaves; returns whether the stream goes on.
    pub(crate) async fn step(&mut self) -> bool {
        let way = self.exchange.pool.send(Escape(self.grant.run)).await;
        match way.unwrap_or(Way::Nowhere) {
            Way::Backup => {
                let now = Instant::now();
                let ready = self.begun.unwrap_or(now) + FIRST_BACKUP;
                if ready > now {
                    self.leaving = Leaving::Due(ready);
                    return true;
                }
                self.go_on(None, LEAVING).await
            }
            Way::Move(target) if self.movable() => {
                let details = format!(
                    "request={} endpoint={} target={} events={}",
                    self.job.attempt,
                    self.grant.endpoint.name,
                    target.name,
                    self.events.count(),
                );
                self.exchange.log.emit(Event::CopyStarted, &details);
                self.copy_on(target, 0);
                true
            }
            Way::Move(_) | Way::Nowhere => {
                self.leaving = Leaving::Due(Instant::now() + STEP_PAUSE);
                true
            }
        }
    }

    /// Starts a copy that is not the last.
    fn copy_on(&mut self, target: Arc<Endpoint>, rounds: u32) {
        let copy = copy(&self.exchange, &self.job, &self.grant, &target, false);
        self.leaving = Leaving::Copying(Copying {
            task: AbortOnDropHandle::new(tokio::spawn(copy)),
            target,
            began: Instant::now(),
            rounds,
        });
    }

    /// Goes on after a copy: with another one, with the last one, or at the engine that has it;
    /// returns whether the stream goes on.
    pub(crate) async fn copied(&mut self, result: Result<Bytes, store::Error>) -> bool {
        let leaving = std::mem::replace(&mut self.leaving, Leaving::Stays);
        let Leaving::Copying(Copying {
            target,
            began,
            rounds,
            ..
        }) = leaving
        else {
            return true;
        };
        let last = match result {
            Ok(_) if began.elapsed() > SHORT_COPY && rounds < MOST_COPIES => {
                self.copy_on(target, rounds + 1);
                return true;
            }
            Ok(_) => copy(&self.exchange, &self.job, &self.grant, &target, true).await,
            Err(error) => Err(error),
        };
        let read = self.exchange.dialect.engine.copied;
        let copied = last.and_then(|answer| read(&answer).map_err(store::Error::Unusable));
        match copied {
            Ok(copied) => self.go_on(Some(copied.copy), LEAVING).await,
            Err(error) => {
                let details = format!(
                    "request={} endpoint={} target={} ms={} rounds={rounds} reason={:?}",
                    self.job.attempt,
                    self.grant.endpoint.name,
                    target.name,
                    began.elapsed().as_millis(),
                    error.to_string(),
                );
                self.exchange.log.emit(Event::CopyFailed, &details);
                self.abandon().await;
                true
            }
        }
    }

    /// Gives up the engine that was to receive the run, and looks for another one soon.
    pub(crate) async fn abandon(&mut self) {
        // The pool ends only with the process.
        let _ = self.exchange.pool.send(Abandon(self.grant.run)).await;
        self.leaving = Leaving::Due(Instant::now() + STEP_PAUSE);
    }
}

/// Asks the engine of a run to copy its memory to another engine; the last copy ends the run there.
fn copy(
    exchange: &Exchange,
    job: &Job,
    grant: &Grant,
    target: &Endpoint,
    last: bool,
) -> impl Future<Output = Result<Bytes, store::Error>> + use<> {
    let call = (exchange.dialect.engine.copy)(&job.attempt, target.address, last);
    let source = grant.endpoint.address;
    store::call(source, call, COPY_TIMEOUT)
}

/// Waits for a task, or for ever if there is none.
pub(crate) async fn wait(
    task: Option<&mut AbortOnDropHandle<Result<Bytes, store::Error>>>,
) -> Result<Bytes, store::Error> {
    match task {
        Some(task) => task.await.unwrap_or(Err(store::Error::Broken)),
        None => std::future::pending().await,
    }
}
