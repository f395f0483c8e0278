//! The task that passes on a stream, and lets its run go on at another engine when its own leaves
//! or fails.

use std::net::SocketAddr;
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

use crate::body::Piece;
use crate::dialect::Resume;
use crate::event::Event;
use crate::events::Events;
use crate::exchange::Exchange;
use crate::job::Job;
use crate::pool::{First, Grant, Hop, Notice, Repeat, Reserve};
use crate::store;

/// Time without an event after which an engine counts as silent.
const SILENCE: Duration = Duration::from_millis(1_500);
/// Time for an engine to go on with a run.
const RESUME_TIMEOUT: Duration = Duration::from_secs(3);
/// Time for an engine to copy the memory of a run.
const COPY_TIMEOUT: Duration = Duration::from_secs(3);

/// An open answer of an engine; the connection closes when it is dropped.
type Upstream = (Incoming, AbortOnDropHandle<()>);

/// Passes on one stream.
#[derive(Debug)]
pub(crate) struct Relay {
    /// What every request needs.
    exchange: Exchange,
    /// The request.
    job: Arc<Job>,
    /// Room at the engine.
    grant: Grant,
    /// Answer of the engine.
    upstream: Option<Upstream>,
    /// Passes events on to the caller.
    sender: mpsc::Sender<Piece>,
    /// Events that were passed on.
    events: Events,
    /// Whether the first event has arrived.
    begun: bool,
    /// Whether the engine is leaving.
    leaving: bool,
}

/// What to do next.
enum Next {
    /// Pass on bytes.
    Deliver(Bytes),
    /// The answer is complete.
    Finish,
    /// The engine leaves.
    Leave,
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
            begun: false,
            leaving: false,
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
                    let _ = self.sender.send(Piece::End).await;
                    break "answered";
                }
                Next::Leave => {
                    self.leaving = true;
                    if self.worth_moving() && !self.go_on("leaving").await {
                        break "interrupted";
                    }
                }
                Next::Break(reason) => {
                    self.grant.sign = Sign::Failed;
                    if !self.go_on(reason).await {
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
            notice = self.grant.notices.recv(), if !self.leaving => match notice {
                Some(Notice::Leaving) => Next::Leave,
                None => Next::Drop,
            },
            () = self.sender.closed() => Next::Drop,
            () = tokio::time::sleep_until(self.job.until.into()) => Next::Expire,
            () = tokio::time::sleep(SILENCE) => Next::Break("silent"),
        }
    }

    /// Passes on the new events among the bytes; fails with the reason to end.
    async fn deliver(&mut self, bytes: &Bytes) -> Result<(), &'static str> {
        if !self.begun {
            self.begun = true;
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

    /// Returns whether the run would outlast its engine.
    fn worth_moving(&self) -> bool {
        true
    }

    /// Lets the run go on at another engine; returns whether it does.
    async fn go_on(&mut self, reason: &'static str) -> bool {
        let began = Instant::now();
        let allowed = self.exchange.pool.send(Repeat(self.job.service)).await;
        if !allowed.is_ok_and(|next| next == allowance::Next::Send) {
            return reason == "leaving";
        }
        let source = self.grant.endpoint.address;
        let (means, copy) = if self.grant.backup.is_some() {
            ("backup", None)
        } else if reason == "leaving" {
            match self.copy(source).await {
                Some(copy) => ("move", Some(copy)),
                None => return true,
            }
        } else {
            return false;
        };
        // The old run ends when its connection closes.
        self.upstream = None;
        self.events.restart();
        let hopped = self.exchange.pool.send(Hop(self.grant.run)).await;
        let Ok(Some((engine, backup))) = hopped else {
            return false;
        };
        let resume = Resume {
            holder: if copy.is_some() { source } else { engine.address },
            copy: copy.unwrap_or_else(|| self.job.attempt.clone()),
            event: self.events.last().unwrap_or(0),
        };
        let event = resume.event;
        let from = self.grant.endpoint.name.clone();
        let to = engine.name.clone();
        let went = self.resume(engine, backup, resume).await;
        let details = format!(
            "request={} from={from} to={to} means={means} reason={reason} event={event} ms={} \
             outcome={}",
            self.job.attempt,
            began.elapsed().as_millis(),
            went.err().unwrap_or("resumed"),
        );
        self.exchange.log.emit(Event::RunMoved, &details);
        self.exchange.metrics.moved(if went.is_ok() { means } else { "failed" });
        went.is_ok()
    }

    /// Copies the memory of the run to another engine and ends it here; returns the copy's name.
    async fn copy(&mut self, source: SocketAddr) -> Option<String> {
        let target = self.exchange.pool.send(Reserve(self.grant.run)).await;
        let target = target.ok().flatten()?;
        let engine = self.exchange.dialect.engine;
        for last in [false, true] {
            let call = (engine.copy)(&self.job.attempt, target.address, last);
            let answer = store::call(source, call, COPY_TIMEOUT).await;
            match answer {
                Ok(answer) if last => {
                    let copied = (engine.copied)(&answer).ok()?;
                    self.grant.backup = Some(target);
                    return Some(copied.copy);
                }
                Ok(_) => {}
                Err(error) => {
                    let details = format!("request={} reason={error}", self.job.attempt);
                    self.exchange.log.emit(Event::ConnectionFailed, &details);
                    return None;
                }
            }
        }
        None
    }

    /// Sends the request to the engine that holds the memory of its run.
    async fn resume(
        &mut self,
        engine: Arc<Endpoint>,
        backup: Option<Arc<Endpoint>>,
        resume: Resume,
    ) -> Result<(), &'static str> {
        let address = backup.as_ref().map(|backup| backup.address);
        let dialect = &self.exchange.dialect;
        let request = self.job.request(dialect, &engine, address, Some(resume));
        let opened = connection::open(engine.address, request, RESUME_TIMEOUT).await;
        self.grant.endpoint = engine;
        self.grant.backup = backup;
        self.grant.sign = Sign::Nothing;
        self.leaving = false;
        let answer = opened.map_err(|_failure| "unanswered")?;
        let status = answer.response.status();
        let replied = (dialect.replied)(status, answer.response.headers());
        if status != StatusCode::OK || replied.attempt.as_deref() != Some(&self.job.attempt) {
            return Err("declined");
        }
        self.upstream = Some((answer.response.into_body(), answer.driver));
        Ok(())
    }
}
