//! The task that passes on a stream, and lets its run go on at another engine when its own leaves
//! or fails.

use std::sync::Arc;
use std::time::{Duration, Instant};

use bytes::Bytes;
use daisyyard_core::allowance;
use daisyyard_core::endpoint::Endpoint;
use daisyyard_core::pool::Sign;
use daisyyard_http::connection;
use http_body_util::BodyExt;
use hyper::StatusCode;
use hyper::body::Incoming;
use tokio::sync::mpsc;
use tokio_util::task::AbortOnDropHandle;

use crate::body::Chunk;
use crate::codec::Resume;
use crate::event::Event;
use crate::job::Job;
use crate::message::{Failover, FirstToken, Grant, Notice, Retry, Rollback};
use crate::migration::{State, join_copy};
use crate::proxy::Proxy;
use crate::sse::Splitter;
use crate::store;
use crate::timer::sleep_until;

/// Time without an event after which an engine counts as silent.
const SILENCE_TIMEOUT: Duration = Duration::from_millis(1_500);
/// Time for an engine to go on with a run.
const RESUME_TIMEOUT: Duration = Duration::from_secs(3);

/// Longest time for which two engines work on one run while it goes from one to the other.
const MAX_OVERLAP: Duration = Duration::from_millis(250);
/// Reason to go on elsewhere: the engine leaves.
pub(crate) const LEAVING: &str = "leaving";
/// Reason to go on elsewhere: the engine is silent. Without another engine to go on at, silence is no
/// reason to end the stream.
const SILENT: &str = "silent";

/// An open answer of an engine; the connection closes when it is dropped.
type Upstream = (Incoming, AbortOnDropHandle<()>);

/// Passes on one stream.
#[derive(Debug)]
pub(crate) struct Relay {
    /// What every request needs.
    pub(crate) proxy: Proxy,
    /// The request.
    pub(crate) job: Arc<Job>,
    /// Room at the engine.
    pub(crate) grant: Grant,
    /// Answer of the engine; none between two engines.
    upstream: Option<Upstream>,
    /// Passes events on to the caller.
    sender: mpsc::Sender<Chunk>,
    /// Events that were passed on.
    pub(crate) splitter: Splitter,
    /// When the first event came from the present engine.
    pub(crate) first_event_at: Option<Instant>,
    /// How far the way to another engine is prepared.
    pub(crate) migration: State,
}

/// What to do next.
enum Next {
    /// Pass on bytes.
    Deliver(Bytes),
    /// The answer is complete.
    Finish,
    /// The engine leaves.
    Leave,
    /// The next step of leaving is due.
    Step,
    /// The memory of the run was copied, or not.
    Copied(Result<Bytes, store::Error>),
    /// The engine failed.
    Fail(&'static str),
    /// The caller has left.
    CallerLeft,
    /// The time is up.
    Expire,
}

impl Relay {
    /// Creates the relay of an answer whose head has arrived.
    pub(crate) fn new(
        proxy: Proxy,
        job: Arc<Job>,
        grant: Grant,
        upstream: Upstream,
        sender: mpsc::Sender<Chunk>,
    ) -> Self {
        Self {
            proxy,
            job,
            grant,
            upstream: Some(upstream),
            sender,
            splitter: Splitter::default(),
            first_event_at: None,
            migration: State::Idle,
        }
    }

    /// Passes on events until the answer is complete or cannot go on.
    pub(crate) async fn run(mut self) {
        let reason = loop {
            match self.next().await {
                Next::Deliver(bytes) => {
                    if let Err(reason) = self.deliver(&bytes).await {
                        break reason;
                    }
                }
                Next::Finish => {
                    self.grant.sign = Sign::Sound;
                    // A caller that has left needs no end.
                    let _ = self.sender.send(Chunk::End).await;
                    break "answered";
                }
                Next::Leave => self.migration = State::Due(Instant::now()),
                Next::Step => {
                    if !self.advance_migration().await {
                        break "interrupted";
                    }
                }
                Next::Copied(result) => {
                    if !self.finish_copy(result).await {
                        break "interrupted";
                    }
                }
                Next::Fail(reason) => {
                    if reason != SILENT {
                        self.grant.sign = Sign::Failed;
                    }
                    if !self.fail_over(None, reason).await {
                        break "interrupted";
                    }
                }
                Next::CallerLeft => break "caller_left",
                Next::Expire => break "expired",
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

    /// Waits for what happens next.
    async fn next(&mut self) -> Next {
        let idle = matches!(self.migration, State::Idle);
        let due = match self.migration {
            State::Due(due) => Some(due),
            _ => None,
        };
        let copying = match &mut self.migration {
            State::Copying(copying) => Some(&mut copying.task),
            _ => None,
        };
        let Some((incoming, _)) = &mut self.upstream else {
            return Next::Fail("closed");
        };
        tokio::select! {
            frame = incoming.frame() => match frame {
                Some(Ok(frame)) => match frame.into_data() {
                    Ok(data) => Next::Deliver(data),
                    // Trailers say nothing that callers need.
                    Err(_) => Next::Deliver(Bytes::new()),
                },
                Some(Err(_)) => Next::Fail("broken"),
                None if self.splitter.is_complete() => Next::Finish,
                None => Next::Fail("cut"),
            },
            notice = self.grant.notices.recv(), if idle => match notice {
                Some(Notice::Leaving) => Next::Leave,
                None => Next::CallerLeft,
            },
            result = join_copy(copying) => Next::Copied(result),
            () = sleep_until(due) => Next::Step,
            () = self.sender.closed() => Next::CallerLeft,
            () = sleep_until(Some(self.job.deadline)) => Next::Expire,
            () = tokio::time::sleep(SILENCE_TIMEOUT) => Next::Fail(SILENT),
        }
    }

    /// Passes on the new events among the bytes; fails with the reason to end.
    async fn deliver(&mut self, bytes: &Bytes) -> Result<(), &'static str> {
        if self.first_event_at.is_none() {
            self.first_event_at = Some(Instant::now());
            // The pool ends only with the process.
            let _ = self.proxy.pool.send(FirstToken(self.grant.run)).await;
        }
        let events = self.splitter.push(bytes).map_err(|_too_long| "malformed")?;
        if !events.is_empty() {
            let sent = self.sender.send(Chunk::Data(events)).await;
            sent.map_err(|_closed| "caller_left")?;
        }
        Ok(())
    }

    /// Lets the run go on at its backup engine, from the copy there or from one that was moved
    /// under a name; returns whether the stream goes on, here or there.
    pub(crate) async fn fail_over(&mut self, moved: Option<String>, reason: &'static str) -> bool {
        let started = Instant::now();
        let source = Arc::clone(&self.grant.endpoint);
        // An engine that leaves or is silent runs the request until another one does.
        let running = moved.is_none() && (reason == LEAVING || reason == SILENT);
        let failover = self.proxy.pool.send(Failover(self.grant.run)).await;
        let Ok(Some((engine, backup))) = failover else {
            return running;
        };
        let means = if moved.is_some() { "move" } else { "backup" };
        let resume = Resume {
            // A copy that was moved is known to the engine that moved it.
            holder: if moved.is_some() {
                source.address
            } else {
                engine.address
            },
            handle: moved.unwrap_or_else(|| self.job.attempt.clone()),
            last_event: self.splitter.last_number().unwrap_or(0),
        };
        let last_event = resume.last_event;
        if !running {
            self.upstream = None;
        }
        let resumed = self.resume(&engine, backup.as_deref(), resume).await;
        let details = format!(
            "request={} from={} to={} means={means} reason={reason} event={last_event} ms={} \
             outcome={}",
            self.job.attempt,
            source.name,
            engine.name,
            started.elapsed().as_millis(),
            resumed.err().unwrap_or("resumed"),
        );
        self.proxy.log.emit(Event::RunMoved, &details);
        self.proxy
            .metrics
            .record_move(if resumed.is_ok() { means } else { "failed" });
        if resumed.is_ok() {
            self.switch_to(engine);
            return true;
        }
        if self.upstream.is_none() {
            return false;
        }
        // The present engine still runs the request; the other one has no copy or no answer.
        let rollback = Rollback(self.grant.run, source.id, engine.id);
        let _ = self.proxy.pool.send(rollback).await;
        self.abandon_target().await;
        if reason == SILENT {
            self.migration = State::Idle;
        }
        true
    }

    /// Sends the request to the engine that holds the memory of its run; its answer replaces the
    /// present one.
    async fn resume(
        &mut self,
        engine: &Endpoint,
        backup: Option<&Endpoint>,
        resume: Resume,
    ) -> Result<(), &'static str> {
        let allowed = self.proxy.pool.send(Retry(self.job.service)).await;
        if !allowed.is_ok_and(|next| next == allowance::Next::Send) {
            return Err("not_allowed");
        }
        let codec = &self.proxy.codec;
        let address = backup.map(|backup| backup.address);
        let request = self.job.request(codec, engine, address, Some(resume));
        let open = connection::open(engine.address, request, RESUME_TIMEOUT);
        let mut open = std::pin::pin!(open);
        // Two engines may work on a run for a moment only.
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

    /// Takes the engine that the run goes on at for its own.
    fn switch_to(&mut self, engine: Arc<Endpoint>) {
        self.grant.endpoint = engine;
        self.grant.sign = Sign::Nothing;
        self.migration = State::Idle;
        self.first_event_at = Some(Instant::now());
        // A notice from before the move is about the engine that was left.
        while self.grant.notices.try_recv().is_ok() {}
    }
}
