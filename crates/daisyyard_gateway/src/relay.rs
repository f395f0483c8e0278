//! The task that passes on a stream, and lets its run go on at another engine when its own leaves
//! or fails.

use std::sync::Arc;
use std::time::{Duration, Instant};

use bytes::Bytes;
use daisyyard_core::allowance;
use daisyyard_core::endpoint::Endpoint;
use daisyyard_core::pool::Signal;
use daisyyard_http::connection;
use http_body_util::BodyExt;
use hyper::StatusCode;
use hyper::body::Incoming;
use tokio::sync::mpsc;
use tokio_util::task::AbortOnDropHandle;

use crate::body::Piece;
use crate::dialect::Resume;
use crate::escape::{Leaving, wait};
use crate::event::Event;
use crate::events::Events;
use crate::exchange::Exchange;
use crate::job::Job;
use crate::message::{First, Grant, Hop, Notice, Repeat, Undo};
use crate::store;
use crate::timer::sleep_until;

/// Time without an event after which an engine counts as silent.
const SILENCE: Duration = Duration::from_millis(1_500);
/// Time for an engine to go on with a run.
const RESUME_TIMEOUT: Duration = Duration::from_secs(3);

/// Longest time for which two engines work on one run while it goes from one to the other.
const OVERLAP: Duration = Duration::from_millis(250);
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
    pub(crate) exchange: Exchange,
    /// The request.
    pub(crate) job: Arc<Job>,
    /// Room at the engine.
    pub(crate) grant: Grant,
    /// Answer of the engine; none between two engines.
    upstream: Option<Upstream>,
    /// Passes events on to the caller.
    sender: mpsc::Sender<Piece>,
    /// Events that were passed on.
    pub(crate) events: Events,
    /// When the first event came from the present engine.
    pub(crate) begun: Option<Instant>,
    /// How far the way to another engine is prepared.
    pub(crate) leaving: Leaving,
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
    Break(&'static str),
    /// The caller has left.
    Drop,
    /// The time is up.
    Expire,
}

impl Relay {
    /// Creates the relay of an answer whose head has arrived.
    pub(crate) fn new(
        exchange: Exchange,
        job: Arc<Job>,
        grant: Grant,
        upstream: Upstream,
        sender: mpsc::Sender<Piece>,
    ) -> Self {
        Self {
            exchange,
            job,
            grant,
            upstream: Some(upstream),
            sender,
            events: Events::default(),
            begun: None,
            leaving: Leaving::Stays,
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
                    self.grant.sign = Signal::Answered;
                    // A caller that has left needs no end.
                    let _ = self.sender.send(Piece::End).await;
                    break "answered";
                }
                Next::Leave => self.leaving = Leaving::Due(Instant::now()),
                Next::Step => {
                    if !self.step().await {
                        break "interrupted";
                    }
                }
                Next::Copied(result) => {
                    if !self.copied(result).await {
                        break "interrupted";
                    }
                }
                Next::Break(reason) => {
                    if reason != SILENT {
                        self.grant.sign = Signal::Failed;
                    }
                    if !self.go_on(None, reason).await {
                        break "interrupted";
                    }
                }
                Next::Drop => break "caller_left",
                Next::Expire => break "expired",
            }
        };
        if reason == "interrupted" {
            let details = format!(
                "request={} endpoint={} events={}",
                self.job.attempt,
                self.grant.endpoint.name,
                self.events.count(),
            );
            self.exchange.log.emit(Event::RunLost, &details);
        }
        self.exchange.end(&self.job, StatusCode::OK, reason);
    }

    /// Waits for what happens next.
    async fn next(&mut self) -> Next {
        let stays = matches!(self.leaving, Leaving::Stays);
        let due = match self.leaving {
            Leaving::Due(due) => Some(due),
            _ => None,
        };
        let copying = match &mut self.leaving {
            Leaving::Copying(copying) => Some(&mut copying.task),
            _ => None,
        };
        let Some((incoming, _)) = &mut self.upstream else {
            return Next::Break("closed");
        };
        tokio::select! {
            frame = incoming.frame() => match frame {
                Some(Ok(frame)) => match frame.into_data() {
                    Ok(data) => Next::Deliver(data),
                    // Trailers say nothing that callers need.
                    Err(_) => Next::Deliver(Bytes::new()),
                },
                Some(Err(_)) => Next::Break("broken"),
                None if self.events.is_whole() => Next::Finish,
                None => Next::Break("cut"),
            },
            notice = self.grant.notices.recv(), if stays => match notice {
                Some(Notice::Leaving) => Next::Leave,
                None => Next::Drop,
            },
            result = wait(copying) => Next::Copied(result),
            () = sleep_until(due) => Next::Step,
            () = self.sender.closed() => Next::Drop,
            () = sleep_until(Some(self.job.until)) => Next::Expire,
            () = tokio::time::sleep(SILENCE) => Next::Break(SILENT),
        }
    }

    /// Passes on the new events among the bytes; fails with the reason to end.
    async fn deliver(&mut self, bytes: &Bytes) -> Result<(), &'static str> {
        if self.begun.is_none() {
            self.begun = Some(Instant::now());
            // The pool ends only with the process.
            let _ = self.exchange.pool.send(First(self.grant.run)).await;
        }
        let events = self.events.push(bytes).map_err(|_too_long| "malformed")?;
        if !events.is_empty() {
            let sent = self.sender.send(Piece::Data(events)).await;
            sent.map_err(|_closed| "caller_left")?;
        }
        Ok(())
    }

    /// Lets the run go on at its backup engine, from the copy there or from one that was moved
    /// under a name; returns whether the stream goes on, here or there.
    pub(crate) async fn go_on(&mut self, moved: Option<String>, reason: &'static str) -> bool {
        let began = Instant::now();
        let source = Arc::clone(&self.grant.endpoint);
        // An engine that leaves or is silent runs the request until another one does.
        let running = moved.is_none() && (reason == LEAVING || reason == SILENT);
        let hop = self.exchange.pool.send(Hop(self.grant.run)).await;
        let Ok(Some((engine, backup))) = hop else {
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
            copy: moved.unwrap_or_else(|| self.job.attempt.clone()),
            event: self.events.last().unwrap_or(0),
        };
        let event = resume.event;
        if !running {
            self.upstream = None;
        }
        let went = self.resume(&engine, backup.as_deref(), resume).await;
        let details = format!(
            "request={} from={} to={} means={means} reason={reason} event={event} ms={} \
             outcome={}",
            self.job.attempt,
            source.name,
            engine.name,
            began.elapsed().as_millis(),
            went.err().unwrap_or("resumed"),
        );
        self.exchange.log.emit(Event::RunMoved, &details);
        self.exchange
            .metrics
            .moved(if went.is_ok() { means } else { "failed" });
        if went.is_ok() {
            self.settle(engine);
            return true;
        }
        if self.upstream.is_none() {
            return false;
        }
        // The present engine still runs the request; the other one has no copy or no answer.
        let undo = Undo(self.grant.run, source.id, engine.id);
        let _ = self.exchange.pool.send(undo).await;
        self.abandon().await;
        if reason == SILENT {
            self.leaving = Leaving::Stays;
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
        let allowed = self.exchange.pool.send(Repeat(self.job.service)).await;
        if !allowed.is_ok_and(|next| next == allowance::Next::Send) {
            return Err("not_allowed");
        }
        let dialect = &self.exchange.dialect;
        let address = backup.map(|backup| backup.address);
        let request = self.job.request(dialect, engine, address, Some(resume));
        let open = connection::open(engine.address, request, RESUME_TIMEOUT);
        let mut open = std::pin::pin!(open);
        // Two engines may work on a run for a moment only.
        let early = tokio::time::timeout(OVERLAP, open.as_mut()).await;
        let opened = if let Ok(opened) = early {
            opened
        } else {
            self.upstream = None;
            open.await
        };
        let answer = opened.map_err(|_failure| "unanswered")?;
        let status = answer.response.status();
        let replied = (dialect.replied)(status, answer.response.headers());
        if status != StatusCode::OK || replied.attempt.as_deref() != Some(&self.job.attempt) {
            return Err("declined");
        }
        self.events.restart();
        self.upstream = Some((answer.response.into_body(), answer.driver));
        Ok(())
    }

    /// Takes the engine that the run goes on at for its own.
    fn settle(&mut self, engine: Arc<Endpoint>) {
        self.grant.endpoint = engine;
        self.grant.sign = Signal::Neutral;
        self.leaving = Leaving::Stays;
        self.begun = Some(Instant::now());
        // A notice from before the move is about the engine that was left.
        while self.grant.notices.try_recv().is_ok() {}
    }
}
