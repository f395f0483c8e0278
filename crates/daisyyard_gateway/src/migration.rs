//! How a stream leaves an engine that leaves: its memory is copied to another engine while the run
//! goes on, until the run can stop for the last copy.

use std::sync::Arc;
use std::time::{Duration, Instant};

use bytes::Bytes;
use daisyyard_core::endpoint::Endpoint;
use tokio_util::task::AbortOnDropHandle;

use crate::event::Event;
use crate::job::Job;
use crate::message::{Abandon, Grant, Migrate, Plan};
use crate::proxy::Proxy;
use crate::relay::{LEAVING, Relay};
use crate::store;

/// Time after the first event of a run at an engine until its first copy is complete elsewhere.
const FIRST_BACKUP_TIME: Duration = Duration::from_millis(800);
/// Time between two looks for an engine with room for a run whose own engine leaves.
const RETRY_INTERVAL: Duration = Duration::from_millis(100);
/// Time for an engine to copy the memory of a run.
const COPY_TIMEOUT: Duration = Duration::from_secs(3);
/// A copy that takes no longer leaves so little for the last one that callers see no pause.
const SHORT_COPY_TIME: Duration = Duration::from_millis(50);
/// Copies before the last one at most.
const MAX_LIVE_COPIES: u32 = 8;

/// How far the way from an engine that leaves is prepared.
#[derive(Debug)]
pub(crate) enum State {
    /// The engine stays.
    Idle,
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
    started: Instant,
    /// Copies before this one.
    rounds: u32,
}

impl Relay {
    /// Returns whether the engines of the service move runs.
    fn supports_moves(&self) -> bool {
        self.job.engine.is_some_and(|engine| engine.moves)
    }

    /// Takes the next step away from an engine that leaves; returns whether the stream goes on.
    pub(crate) async fn advance_migration(&mut self) -> bool {
        let plan = self.proxy.pool.send(Migrate(self.grant.run)).await;
        match plan.unwrap_or(Plan::Unavailable) {
            Plan::Backup => {
                let now = Instant::now();
                let backup_ready_at = self.first_event_at.unwrap_or(now) + FIRST_BACKUP_TIME;
                if backup_ready_at > now {
                    self.migration = State::Due(backup_ready_at);
                    return true;
                }
                self.fail_over(None, LEAVING).await
            }
            Plan::Move(target) if self.supports_moves() => {
                let details = format!(
                    "request={} endpoint={} target={} events={}",
                    self.job.attempt,
                    self.grant.endpoint.name,
                    target.name,
                    self.splitter.event_count(),
                );
                self.proxy.log.emit(Event::CopyStarted, &details);
                self.start_copy(target, 0);
                true
            }
            Plan::Move(_) | Plan::Unavailable => {
                self.migration = State::Due(Instant::now() + RETRY_INTERVAL);
                true
            }
        }
    }

    /// Starts a copy that is not the last.
    fn start_copy(&mut self, target: Arc<Endpoint>, rounds: u32) {
        let copy = request_copy(&self.proxy, &self.job, &self.grant, &target, false);
        self.migration = State::Copying(Copying {
            task: AbortOnDropHandle::new(tokio::spawn(copy)),
            target,
            started: Instant::now(),
            rounds,
        });
    }

    /// Goes on after a copy: with another one, with the last one, or at the engine that has it;
    /// returns whether the stream goes on.
    pub(crate) async fn finish_copy(&mut self, result: Result<Bytes, store::Error>) -> bool {
        let state = std::mem::replace(&mut self.migration, State::Idle);
        let State::Copying(Copying {
            target,
            started,
            rounds,
            ..
        }) = state
        else {
            return true;
        };
        let last = match result {
            Ok(_) if started.elapsed() > SHORT_COPY_TIME && rounds < MAX_LIVE_COPIES => {
                self.start_copy(target, rounds + 1);
                return true;
            }
            Ok(_) => request_copy(&self.proxy, &self.job, &self.grant, &target, true).await,
            Err(error) => Err(error),
        };
        let read = self.proxy.codec.engine.read_copy;
        let replica = last.and_then(|answer| read(&answer).map_err(store::Error::Unusable));
        match replica {
            Ok(replica) => self.fail_over(Some(replica.handle), LEAVING).await,
            Err(error) => {
                let details = format!(
                    "request={} endpoint={} target={} ms={} rounds={rounds} reason={:?}",
                    self.job.attempt,
                    self.grant.endpoint.name,
                    target.name,
                    started.elapsed().as_millis(),
                    error.to_string(),
                );
                self.proxy.log.emit(Event::CopyFailed, &details);
                self.abandon_target().await;
                true
            }
        }
    }

    /// Gives up the engine that was to receive the run, and looks for another one soon.
    pub(crate) async fn abandon_target(&mut self) {
        // The pool ends only with the process.
        let _ = self.proxy.pool.send(Abandon(self.grant.run)).await;
        self.migration = State::Due(Instant::now() + RETRY_INTERVAL);
    }
}

/// Asks the engine of a run to copy its memory to another engine; the last copy ends the run there.
fn request_copy(
    proxy: &Proxy,
    job: &Job,
    grant: &Grant,
    target: &Endpoint,
    last: bool,
) -> impl Future<Output = Result<Bytes, store::Error>> + use<> {
    let call = (proxy.codec.engine.copy_cache)(&job.attempt, target.address, last);
    let source = grant.endpoint.address;
    store::call(source, call, COPY_TIMEOUT)
}

/// Waits for a task, or for ever if there is none.
pub(crate) async fn join_copy(
    task: Option<&mut AbortOnDropHandle<Result<Bytes, store::Error>>>,
) -> Result<Bytes, store::Error> {
    match task {
        Some(task) => task.await.unwrap_or(Err(store::Error::Broken)),
        None => std::future::pending().await,
    }
}
