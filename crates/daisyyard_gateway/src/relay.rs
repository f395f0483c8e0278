//! Task that forwards a stream and resumes its run at another engine if its own is leaving or
//! fails.

use std::sync::Arc;
use std::time::{Duration, Instant};

use bytes::Bytes;
use daisyyard_core::endpoint::Endpoint;
use daisyyard_core::pool::Signal;
use daisyyard_core::shared_retry_budget;
use daisyyard_http::connection;
use http_body_util::BodyExt;
use hyper::StatusCode;
use hyper::body::Incoming;
use tokio::sync::mpsc;
use tokio_util::task::AbortOnDropHandle;

use crate::body::Chunk;
use crate::codec::Replica;
use crate::event::Event;
use crate::gaps::Gaps;
use crate::job::Job;
use crate::message::{Failover, FirstToken, Grant, Notice, ObserveGaps, Retry, Rollback};
use crate::migration::{State, join_copy};
use crate::proxy::Proxy;
use crate::sse::Splitter;
use crate::store;
use crate::timer::sleep_until;

/// Time without data from an engine after which it counts as silent.
const SILENCE_TIMEOUT: Duration = Duration::from_millis(1_500);
/// Timeout for an engine to resume a run.
const RESUME_TIMEOUT: Duration = Duration::from_secs(3);

/// Maximum time for which two engines execute the same run during a failover.
const MAX_OVERLAP: Duration = Duration::from_millis(250);
/// Failover reason: the engine is leaving.
pub(crate) const LEAVING: &str = "leaving";
/// Failover reason: the engine is silent. If no other engine can resume the run, silence alone does
/// not end the stream.
const SILENT: &str = "silent";

/// Open response of an engine; dropping it closes the connection.
type Upstream = (Incoming, AbortOnDropHandle<()>);

/// Forwards one stream.
#[derive(Debug)]
pub(crate) struct Relay {
    /// Shared handles of the gateway.
    pub(crate) proxy: Proxy,
    /// Request that the stream answers.
    pub(crate) job: Arc<Job>,
    /// Reservation of the engine.
    pub(crate) grant: Grant,
    /// Response of the current engine; `None` during a failover.
    pub(crate) upstream: Option<Upstream>,
    /// Sends events to the caller.
    pub(crate) sender: mpsc::Sender<Chunk>,
    /// Splits the stream and tracks the forwarded events.
    pub(crate) splitter: Splitter,
    /// When the first data arrived from the current engine, or when the run resumed there.
    pub(crate) first_data_at: Option<Instant>,
    /// Whether the run has gone well at an engine for some time.
    pub(crate) proven: bool,
    /// Gaps between the events.
    gaps: Gaps,
    /// Progress of the migration to another engine.
    pub(crate) migration: State,
    /// Number of further engines at which the run may start anew.
    pub(crate) runs_left: u32,
}

/// What the relay does next.
enum Action {
    /// Forward these bytes.
    Deliver(Bytes),
    /// End the complete response.
    Finish,
    /// Start the migration, because the engine is leaving.
    Leave,
    /// Take the next step of the migration.
    Step,
    /// Handle the result of a copy of the KV cache.
    Copied(Result<Bytes, store::Error>),
    /// Fail over to another engine for this reason.
    Fail(&'static str),
    /// Stop, because the caller has disconnected.
    CallerLeft,
    /// Stop, because the deadline has passed.
    Expire,
}

/// Result of forwarding bytes of an engine.
enum Delivery {
    /// The complete events among the bytes were forwarded.
    Sent,
    /// The caller has disconnected.
    CallerLeft,
    /// The bytes are not events.
    Malformed,
}

impl Relay {
    /// Creates the relay for a response whose headers have arrived.
    pub(crate) fn new(
        proxy: Proxy,
        job: Arc<Job>,
        grant: Grant,
        upstream: Upstream,
        sender: mpsc::Sender<Chunk>,
        runs_left: u32,
    ) -> Self {
        let splitter = Splitter::starting_after(job.resume_after);
        Self {
            proxy,
            job,
            grant,
            upstream: Some(upstream),
            sender,
            splitter,
            first_data_at: None,
            proven: false,
            gaps: Gaps::default(),
            migration: State::Idle,
            runs_left,
        }
    }

    /// Forwards events until the response is complete or cannot continue.
    pub(crate) async fn run(mut self) {
        let reason = loop {
            match self.next().await {
                Action::Deliver(bytes) => match self.deliver(&bytes).await {
                    Delivery::Sent => {}
                    Delivery::CallerLeft => break "caller_left",
                    Delivery::Malformed => {
                        // What follows cannot be told apart from the event without an end.
                        self.upstream = None;
                        self.grant.signal = Signal::Lost;
                        if !self.recover("malformed").await {
                            break "interrupted";
                        }
                    }
                },
                Action::Finish => {
                    self.grant.signal = Signal::Answered;
                    // Fails only if the caller has disconnected.
                    let _ = self.sender.send(Chunk::End).await;
                    break "answered";
                }
                Action::Leave => self.migration = State::Due(Instant::now()),
                Action::Step => {
                    if !self.advance_migration().await && !self.restart(LEAVING).await {
                        break "interrupted";
                    }
                }
                Action::Copied(result) => {
                    if !self.finish_copy(result).await && !self.restart(LEAVING).await {
                        break "interrupted";
                    }
                }
                Action::Fail(reason) => {
                    if reason != SILENT {
                        self.grant.signal = Signal::Failed;
                        self.report_broken().await;
                    }
                    if !self.recover(reason).await {
                        break "interrupted";
                    }
                }
                Action::CallerLeft => break "caller_left",
                Action::Expire => break "expired",
            }
        };
        if reason == "interrupted" {
            let details = format!(
                "request={} endpoint={} events={}",
                self.job.attempt,
                self.grant.endpoint.name,
                self.splitter.event_count(),
            );
            self.proxy.log.emit(Event::RunLost, &details);
        }
        self.proxy.record_end(&self.job, StatusCode::OK, reason);
    }

    /// Waits for the next event from the engine, the pool, the caller or a timer.
    async fn next(&mut self) -> Action {
        let idle = matches!(self.migration, State::Idle);
        let due = match self.migration {
            State::Due(due) => Some(due),
            _ => None,
        };
        let copying = match &mut self.migration {
            State::Copying(copying) => Some(&mut copying.task),
            _ => None,
        };
        // A response that ends before its first event was broken off, whether or not it has a length,
        // unless the caller has resumed the stream at its end.
        let has_events = self.splitter.event_count() > 0 || self.job.resume_after.is_some();
        let is_complete = self.splitter.is_complete() && has_events;
        let Some((incoming, _)) = &mut self.upstream else {
            return Action::Fail("closed");
        };
        tokio::select! {
            frame = incoming.frame() => match frame {
                Some(Ok(frame)) => match frame.into_data() {
                    Ok(data) => Action::Deliver(data),
                    // Trailers contain nothing that callers need.
                    Err(_) => Action::Deliver(Bytes::new()),
                },
                Some(Err(_)) => Action::Fail("broken"),
                None if is_complete => Action::Finish,
                None => Action::Fail("cut"),
            },
            notice = self.grant.notices.recv(), if idle => match notice {
                Some(Notice::Leaving) => Action::Leave,
                None => Action::CallerLeft,
            },
            result = join_copy(copying) => Action::Copied(result),
            () = sleep_until(due) => Action::Step,
            () = self.sender.closed() => Action::CallerLeft,
            () = sleep_until(Some(self.job.deadline)) => Action::Expire,
            () = tokio::time::sleep(SILENCE_TIMEOUT) => Action::Fail(SILENT),
        }
    }

    /// Continues the run at another engine after a failure; returns whether the stream continues.
    async fn recover(&mut self, reason: &'static str) -> bool {
        self.fail_over(None, reason).await || self.restart(reason).await
    }

    /// Forwards the new events among the bytes.
    async fn deliver(&mut self, bytes: &Bytes) -> Delivery {
        if self.first_data_at.is_none() {
            self.first_data_at = Some(Instant::now());
            // The pool ends only with the process.
            let _ = self.proxy.pool.send(FirstToken(self.grant.run)).await;
        }
        self.report_proof().await;
        let count_before = self.splitter.event_count();
        let Ok(events) = self.splitter.push(bytes) else {
            return Delivery::Malformed;
        };
        let event_count = self.splitter.event_count() - count_before;
        let blocked = self.sender.capacity() == 0;
        self.gaps.observe(event_count, blocked, Instant::now());
        if let Some(gaps) = self.gaps.take_batch() {
            // The pool ends only with the process.
            let _ = self
                .proxy
                .pool
                .send(ObserveGaps(self.grant.run, gaps))
                .await;
        }
        if !events.is_empty() && self.sender.send(Chunk::Data(events)).await.is_err() {
            return Delivery::CallerLeft;
        }
        Delivery::Sent
    }

    /// Resumes the run at its backup engine, from the backup there or from the copy with the handle
    /// `moved`; returns whether the stream continues at either engine.
    pub(crate) async fn fail_over(&mut self, moved: Option<String>, reason: &'static str) -> bool {
        let started = Instant::now();
        let source = Arc::clone(&self.grant.endpoint);
        // An engine that is leaving or silent executes the run until another one resumes it.
        let running = moved.is_none() && (reason == LEAVING || reason == SILENT);
        let failover = Failover(self.grant.run, self.grant.signal);
        let failover = self.proxy.pool.send(failover).await;
        let Ok(Some((engine, backup))) = failover else {
            return running;
        };
        let means = if moved.is_some() { "move" } else { "backup" };
        let replica = Replica {
            // Only the engine that made the move knows the handle of the copy.
            holder: if moved.is_some() {
                source.address
            } else {
                engine.address
            },
            handle: moved.unwrap_or_else(|| self.job.attempt.clone()),
        };
        if !running {
            self.upstream = None;
        }
        let resumed = self
            .resume(&engine, backup.as_deref(), Some(replica), RESUME_TIMEOUT)
            .await;
        self.record_move(&source, &engine, started, (means, reason), resumed);
        if resumed.is_ok() {
            self.switch_to(engine);
            return true;
        }
        if self.upstream.is_none() {
            return false;
        }
        // The current engine still executes the run; the other one has no copy or did not answer.
        let rollback = Rollback(self.grant.run, source.id, engine.id);
        let _ = self.proxy.pool.send(rollback).await;
        self.abandon_target().await;
        if reason == SILENT {
            self.migration = State::Idle;
        }
        true
    }

    /// Logs and counts a move of the run, given its means and the reason for it.
    pub(crate) fn record_move(
        &self,
        source: &Endpoint,
        engine: &Endpoint,
        started: Instant,
        (means, reason): (&'static str, &'static str),
        resumed: Result<(), &'static str>,
    ) {
        let details = format!(
            "request={} from={} to={} means={means} reason={reason} event={} ms={} outcome={}",
            self.job.attempt,
            source.name,
            engine.name,
            self.splitter.last_number().unwrap_or(0),
            started.elapsed().as_millis(),
            resumed.err().unwrap_or("resumed"),
        );
        self.proxy.log.emit(Event::RunMoved, &details);
        let means = if resumed.is_ok() { means } else { "failed" };
        self.proxy.metrics.record_move(means);
    }

    /// Sends the request to another engine, which continues after the last event that the caller
    /// has, from a copy of the KV cache if there is one; the new response replaces the current one.
    pub(crate) async fn resume(
        &mut self,
        engine: &Endpoint,
        backup: Option<&Endpoint>,
        replica: Option<Replica>,
        timeout: Duration,
    ) -> Result<(), &'static str> {
        let allowed = self.proxy.pool.send(Retry(self.job.service)).await;
        if !allowed.is_ok_and(|decision| decision == shared_retry_budget::Decision::Retry) {
            return Err("not_allowed");
        }
        let codec = &self.proxy.codec;
        let address = backup.map(|backup| backup.address);
        // An engine continues a copied run after event 0 if the caller has no event yet.
        let first = replica.as_ref().map(|_| 0);
        let last_event = self.splitter.last_number().or(first);
        let request = self
            .job
            .request(codec, engine, address, replica, last_event);
        let open = connection::send(engine.address, request, timeout);
        let mut open = std::pin::pin!(open);
        // Two engines may execute the same run only for a short time.
        let opened_early = tokio::time::timeout(MAX_OVERLAP, open.as_mut()).await;
        let opened = if let Ok(opened) = opened_early {
            opened
        } else {
            self.upstream = None;
            open.await
        };
        let answer = opened.map_err(|_failure| "unanswered")?;
        let status = answer.response.status();
        let receipt = (codec.read_response)(status, answer.response.headers());
        if status != StatusCode::OK || receipt.attempt.as_deref() != Some(&self.job.attempt) {
            return Err("declined");
        }
        self.splitter.discard_partial();
        self.upstream = Some((answer.response.into_body(), answer.driver));
        Ok(())
    }

    /// Makes the engine that resumed the run the current one.
    pub(crate) fn switch_to(&mut self, engine: Arc<Endpoint>) {
        self.grant.endpoint = engine;
        self.grant.signal = Signal::Neutral;
        self.migration = State::Idle;
        self.gaps.reset();
        self.first_data_at = Some(Instant::now());
        // Notices from before the failover are about the previous engine.
        while self.grant.notices.try_recv().is_ok() {}
    }
}
