//! Live migration of a stream away from an engine that is leaving: the KV cache is copied to
//! another engine in rounds while the run continues, and the run stops only for the last copy.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::{Duration, Instant};

use daisyyard_core::endpoint::Endpoint;
use daisyyard_core::migration::{Round, RunState, next_round};
use tokio_util::task::AbortOnDropHandle;

use crate::codec::Transfer;
use crate::event::Event;
use crate::job::Job;
use crate::message::{Abandon, Copied, Migrate, Plan};
use crate::proxy::Proxy;
use crate::relay::{LEAVING, Relay};
use crate::store::{self, Timeouts};

/// Delay before another attempt to find an engine with capacity for the run.
pub(crate) const RETRY_INTERVAL: Duration = Duration::from_millis(100);
/// Timeout of one copy of a run's KV cache.
pub(crate) const COPY_TIMEOUT: Duration = Duration::from_secs(3);
/// Timeout of the call that frees a copy; an engine frees it by itself later.
const FREE_TIMEOUT: Timeouts = Timeouts::of_result(Duration::from_secs(1));

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
        let job = &self.job;
        let run_state = RunState::new(
            &job.need(),
            job.parameters.max_output_tokens,
            self.splitter.last_number().unwrap_or(0),
            job.priority(),
            job.engine
                .map_or(Duration::ZERO, |engine| engine.token_time),
        );
        let plan = self
            .proxy
            .pool
            .send(Migrate(self.grant.run, run_state))
            .await;
        match plan.unwrap_or(Plan::Stay) {
            Plan::Move(target) if self.supports_moves() => self.begin_copies(target),
            Plan::Move(_) | Plan::Stay => {
                self.migration = State::Due(Instant::now() + RETRY_INTERVAL);
            }
        }
        true
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
        let took = started.elapsed();
        match result {
            Ok(Transfer::Copied(handle)) => self.continue_move(target, handle, took, rounds).await,
            failed => {
                self.log_failed_copy(&target, took, rounds, &failed);
                if matches!(failed, Ok(Transfer::Refused(_))) {
                    self.abandon_target().await;
                } else {
                    // The engine of the run ends, or has another call for it under way. What was copied
                    // before stays of use.
                    self.migration = State::Due(Instant::now() + RETRY_INTERVAL);
                }
                true
            }
        }
    }

    /// Makes the next copy after one that has ended; returns whether the stream continues.
    async fn continue_move(
        &mut self,
        target: Arc<Endpoint>,
        handle: String,
        took: Duration,
        rounds: u32,
    ) -> bool {
        self.unused_copy = Some((self.grant.endpoint.address, handle.clone()));
        // Without a stated time, a copy counts only after the last one, whose answer shows it.
        let lifetime = self
            .job
            .engine
            .map_or(Duration::ZERO, |engine| engine.handle_time);
        let copied = Copied {
            run: self.grant.run,
            target: target.id,
            handle,
            until: Instant::now() + lifetime.saturating_sub(took),
        };
        // The pool ends only with the process.
        let Ok(outlook) = self.proxy.pool.send(copied).await else {
            return false;
        };
        if !outlook.target_open {
            self.abandon_target().await;
            return true;
        }
        match next_round(took, outlook.left, rounds + 1) {
            Round::Again => {
                self.start_copy(target, rounds + 1);
                true
            }
            Round::Last => self.fail_over(LEAVING).await,
        }
    }

    /// Logs a copy that failed.
    fn log_failed_copy(
        &self,
        target: &Endpoint,
        took: Duration,
        rounds: u32,
        failed: &Result<Transfer, store::Error>,
    ) {
        let reason = match failed {
            Ok(answer) => format!("{answer:?}"),
            Err(error) => error.to_string(),
        };
        let details = format!(
            "request={} endpoint={} target={} ms={} rounds={rounds} reason={reason:?}",
            self.job.attempt,
            self.grant.endpoint.name,
            target.name,
            took.as_millis(),
        );
        self.proxy.log.emit(Event::CopyFailed, &details);
    }

    /// Gives up the target engine, and looks for another one at once.
    pub(crate) async fn abandon_target(&mut self) {
        self.free_copies();
        let details = format!(
            "request={} endpoint={}",
            self.job.attempt, self.grant.endpoint.name
        );
        self.proxy.log.emit(Event::TargetChanged, &details);
        // The pool ends only with the process.
        let _ = self.proxy.pool.send(Abandon(self.grant.run)).await;
        self.migration = State::Due(Instant::now());
    }

    /// Frees copies that no engine will use: the one that is known, and the one under way once it has
    /// ended. They would hold memory and a slot at their engine for seconds.
    pub(crate) fn free_copies(&mut self) {
        if let Some((source, handle)) = self.unused_copy.take() {
            tokio::spawn(free_copy(
                self.proxy.clone(),
                Arc::clone(&self.job),
                source,
                handle,
            ));
        }
        if let State::Copying(copying) = std::mem::replace(&mut self.migration, State::Idle) {
            let (proxy, job) = (self.proxy.clone(), Arc::clone(&self.job));
            let source = self.grant.endpoint.address;
            let task = copying.task.detach();
            tokio::spawn(async move {
                if let Ok(Ok(Transfer::Copied(handle))) = task.await {
                    free_copy(proxy, job, source, handle).await;
                }
            });
        }
    }
}

/// Frees a copy at the engine that made it.
async fn free_copy(proxy: Proxy, job: Arc<Job>, source: SocketAddr, handle: String) {
    let call = (proxy.codec.engine.free_copy)(&handle);
    let answer = store::exchange(source, call, FREE_TIMEOUT, store::MAX_RESULT_BYTES).await;
    let status = answer.map_or(0, |(head, _)| head.status.as_u16());
    let details = format!("request={} handle={handle} status={status}", job.attempt);
    proxy.log.emit(Event::CopyFreed, &details);
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
    let timeouts = Timeouts::of_result(COPY_TIMEOUT);
    let exchange = store::exchange(source.address, call, timeouts, store::MAX_RESULT_BYTES);
    let (proxy, source) = (proxy.clone(), source.clone());
    async move {
        let (head, body) = exchange.await?;
        proxy.report_leaving(&source, &head).await;
        (engine.read_transfer)(head.status, &body).map_err(store::Error::Unusable)
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
