//! Live migration of a stream away from an engine that is leaving: the KV cache is copied to
//! another engine in rounds while the run continues, and the run stops only for the last copy.

use std::sync::Arc;
use std::time::{Duration, Instant};

use daisyyard_core::endpoint::Endpoint;
use tokio_util::task::AbortOnDropHandle;

use crate::codec::Transfer;
use crate::event::Event;
use crate::job::Job;
use crate::message::{Abandon, Copied, Migrate, Plan};
use crate::proxy::Proxy;
use crate::relay::{LEAVING, Relay};
use crate::store;

/// Delay before another attempt to find an engine with capacity for the run.
const RETRY_INTERVAL: Duration = Duration::from_millis(100);
/// Timeout of one copy of a run's KV cache.
pub(crate) const COPY_TIMEOUT: Duration = Duration::from_secs(3);
/// After a copy this short, the last one is small enough that callers notice no pause.
const SHORT_COPY_TIME: Duration = Duration::from_millis(50);
/// Maximum number of repeated copies before the last one, which stops the run.
const MAX_LIVE_COPIES: u32 = 8;

/// Progress of a migration.
#[derive(Debug)]
pub(crate) enum State {
    /// No migration is needed.
    Idle,
    /// The next step is due at this time.
    Due(Instant),
    /// The KV cache is being copied to the engine that has reserved capacity.
    Copying(Copying),
}

/// A copy of the KV cache in progress. The run continues meanwhile, and copies follow each other
/// until one leaves so little that the run can stop for the last.
#[derive(Debug)]
pub(crate) struct Copying {
    /// Task that waits for the engine to finish the copy.
    pub(crate) task: AbortOnDropHandle<Result<Transfer, store::Error>>,
    /// Engine that receives the KV cache.
    target: Arc<Endpoint>,
    /// When the copy started.
    started: Instant,
    /// Number of copies before this one.
    rounds: u32,
}

impl Relay {
    /// Returns whether the engines of the service can move runs.
    pub(crate) fn supports_moves(&self) -> bool {
        self.job.engine.is_some_and(|engine| engine.moves)
    }

    /// Takes the next step of the migration; returns whether the stream continues.
    pub(crate) async fn advance_migration(&mut self) -> bool {
        let plan = self.proxy.pool.send(Migrate(self.grant.run)).await;
        match plan.unwrap_or(Plan::Unavailable) {
            Plan::Move(target) if self.supports_moves() => {
                self.begin_copies(target);
                true
            }
            // A run with a backup goes on until the engine ends, which leaves the engine's link to the
            // runs without one. The backup engine then continues it.
            Plan::Backup | Plan::Move(_) | Plan::Unavailable => {
                self.migration = State::Due(Instant::now() + RETRY_INTERVAL);
                true
            }
        }
    }

    /// Starts the first copy.
    fn begin_copies(&mut self, target: Arc<Endpoint>) {
        let details = format!(
            "request={} endpoint={} target={} events={}",
            self.job.attempt,
            self.grant.endpoint.name,
            target.name,
            self.splitter.event_count(),
        );
        self.proxy.log.emit(Event::CopyStarted, &details);
        self.start_copy(target, 0);
    }

    /// Starts a copy that is not the last one.
    fn start_copy(&mut self, target: Arc<Endpoint>, rounds: u32) {
        let copy = request_copy(&self.proxy, &self.job, &self.grant.endpoint, &target, false);
        self.migration = State::Copying(Copying {
            task: AbortOnDropHandle::new(tokio::spawn(copy)),
            target,
            started: Instant::now(),
            rounds,
        });
    }

    /// Handles the end of a copy: starts another one, or makes the last one and resumes at the target;
    /// returns whether the stream continues.
    pub(crate) async fn finish_copy(&mut self, result: Result<Transfer, store::Error>) -> bool {
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
        if let Ok(Transfer::Copied(handle)) = &result {
            let copied = Copied(self.grant.run, target.id, handle.clone());
            // The pool ends only with the process.
            let _ = self.proxy.pool.send(copied).await;
        }
        match result {
            Ok(Transfer::Copied(_))
                if started.elapsed() > SHORT_COPY_TIME && rounds < MAX_LIVE_COPIES =>
            {
                self.start_copy(target, rounds + 1);
                true
            }
            Ok(Transfer::Copied(_)) => self.fail_over(LEAVING).await,
            failed => {
                let reason = match failed {
                    Ok(answer) => format!("{answer:?}"),
                    Err(error) => error.to_string(),
                };
                let details = format!(
                    "request={} endpoint={} target={} ms={} rounds={rounds} reason={reason:?}",
                    self.job.attempt,
                    self.grant.endpoint.name,
                    target.name,
                    started.elapsed().as_millis(),
                );
                self.proxy.log.emit(Event::CopyFailed, &details);
                self.abandon_target().await;
                true
            }
        }
    }

    /// Gives up the target engine and schedules the search for another one.
    pub(crate) async fn abandon_target(&mut self) {
        // The pool ends only with the process.
        let _ = self.proxy.pool.send(Abandon(self.grant.run)).await;
        self.migration = State::Due(Instant::now() + RETRY_INTERVAL);
    }
}

/// Asks the engine `source` of a run to copy the KV cache to another engine; the last copy stops the
/// run at the source.
pub(crate) fn request_copy(
    proxy: &Proxy,
    job: &Job,
    source: &Endpoint,
    target: &Endpoint,
    last: bool,
) -> impl Future<Output = Result<Transfer, store::Error>> + use<> {
    let engine = proxy.codec.engine;
    let call = (engine.copy_cache)(&job.attempt, target.address, last);
    let exchange = store::exchange(source.address, call, COPY_TIMEOUT, store::MAX_RESULT_BYTES);
    async move {
        let (status, body) = exchange.await?;
        (engine.read_transfer)(status, &body).map_err(store::Error::Unusable)
    }
}

/// Waits for the result of a copy, or forever if there is none.
pub(crate) async fn join_copy(
    task: Option<&mut AbortOnDropHandle<Result<Transfer, store::Error>>>,
) -> Result<Transfer, store::Error> {
    match task {
        Some(task) => task.await.unwrap_or(Err(store::Error::Broken)),
        None => std::future::pending().await,
    }
}
