//! Task that forwards a stream and resumes its run at another engine if its own is leaving or
//! fails.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::{Duration, Instant};

use bytes::Bytes;
use daisyyard_core::id::EndpointId;
use daisyyard_core::pool::Signal;
use daisyyard_core::stream_end::{Effect, Ending, Framing, Verdict};
use http_body_util::BodyExt;
use hyper::StatusCode;
use hyper::body::Incoming;
use hyper::header::{CONTENT_LENGTH, HeaderMap, TRANSFER_ENCODING};
use tokio::sync::mpsc;
use tokio_util::task::AbortOnDropHandle;

use crate::body::{self, Chunk};
use crate::codec::Transfer;
use crate::event::Event;
use crate::gaps::Gaps;
use crate::halt::Orders;
use crate::job::Job;
use crate::message::{FirstToken, Grant, Notice, ObserveGaps, Taken};
use crate::migration::{COPY_TIMEOUT, State, join_copy};
use crate::passage::Passage;
use crate::proxy::Proxy;
use crate::sse::Splitter;
use crate::store;
use crate::timer::sleep_until;

/// Time without data from an engine after which it counts as silent.
const SILENCE_TIMEOUT: Duration = Duration::from_millis(1_500);
/// Failover reason: the engine is leaving.
pub(crate) const LEAVING: &str = "leaving";
/// Failover reason: the engine is silent. If no other engine can resume the run, silence alone does
/// not end the stream.
pub(crate) const SILENT: &str = "silent";

/// Open response of an engine; dropping it closes the connection.
#[derive(Debug)]
pub(crate) struct Upstream {
    /// Unread body.
    body: Incoming,
    /// How the end of the body is marked.
    framing: Framing,
    /// Task that drives the connection.
    _driver: AbortOnDropHandle<()>,
}

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
    /// Whether an event shows that the current engine has taken the run.
    pub(crate) taken: bool,
    /// Time for which the current engine had sent data when that was last reported; zero before.
    pub(crate) reported_for: Duration,
    /// Gaps between the events.
    pub(crate) gaps: Gaps,
    /// Copy of the run at another engine that is not used yet: the engine that made it, and the handle.
    pub(crate) unused_copy: Option<(SocketAddr, String)>,
    /// Progress of the migration to another engine.
    pub(crate) migration: State,
    /// Number of further engines at which the run may start anew.
    pub(crate) runs_left: u32,
    /// Orders to stop the run, by the engine that got them.
    pub(crate) orders: HashMap<EndpointId, Orders>,
    /// Whether an engine was reached since the failure from which the run recovers.
    pub(crate) reached: bool,
    /// Rest of the stream, once another gateway continues the run.
    pub(crate) passage: Option<Box<Passage>>,
}

/// What the relay does next.
enum Action {
    /// Forward these bytes.
    Deliver(Bytes),
    /// Judge the end of the response.
    Judge(Framing),
    /// Start the migration, because the engine is leaving.
    Leave,
    /// Take the next step of the migration.
    Step,
    /// Handle the result of a copy of the KV cache.
    Copied(Result<Transfer, store::Error>),
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

impl Upstream {
    /// Returns the stream of a response whose headers have arrived.
    pub(crate) fn new(headers: &HeaderMap, body: Incoming, driver: AbortOnDropHandle<()>) -> Self {
        Self {
            body,
            framing: framing(headers),
            _driver: driver,
        }
    }
}

/// Returns how the end of a response with these headers is marked.
pub(crate) fn framing(headers: &HeaderMap) -> Framing {
    let codings = headers.get_all(TRANSFER_ENCODING).iter().next_back();
    let chunked = codings.is_some_and(|codings| {
        let last = codings.as_bytes().rsplit(|byte| *byte == b',').next();
        last.is_some_and(|last| last.trim_ascii().eq_ignore_ascii_case(b"chunked"))
    });
    if chunked || headers.contains_key(CONTENT_LENGTH) {
        Framing::Explicit
    } else {
        Framing::Connection
    }
}

impl Relay {
    /// Creates the relay for a response whose headers have arrived, or that is still to be obtained.
    pub(crate) fn new(
        proxy: Proxy,
        job: Arc<Job>,
        grant: Grant,
        upstream: Option<Upstream>,
        sender: mpsc::Sender<Chunk>,
        runs_left: u32,
    ) -> Self {
        let splitter = Splitter::starting_after(job.resume_after);
        Self {
            proxy,
            job,
            grant,
            upstream,
            sender,
            splitter,
            first_data_at: None,
            taken: false,
            reported_for: Duration::ZERO,
            gaps: Gaps::default(),
            unused_copy: None,
            migration: State::Idle,
            runs_left,
            orders: HashMap::new(),
            reached: false,
            passage: None,
        }
    }

    /// Forwards events until the response is complete or cannot continue.
    pub(crate) async fn run(mut self) {
        let reason = loop {
            if let Some(passage) = self.passage.take() {
                // The run no longer belongs to this gateway.
                self.grant.signal = Signal::Neutral;
                drop(self);
                return passage.run().await;
            }
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
                Action::Judge(framing) => {
                    let verdict = self.judge(framing).await;
                    match verdict {
                        Verdict::Complete => {
                            self.grant.signal = Signal::Answered;
                            // Fails only if the caller has disconnected.
                            let _ = self.sender.send(Chunk::End).await;
                            break "answered";
                        }
                        Verdict::Cut => {
                            self.grant.signal = Signal::Failed;
                            self.report_broken().await;
                        }
                        // The engine has done what it was told to.
                        Verdict::Await | Verdict::Stopped => {}
                    }
                    if !self.recover(verdict.name()).await {
                        break "interrupted";
                    }
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
                    // At a gateway that is cut off, a broken stream shows nothing of its engine.
                    if reason != SILENT && !self.proxy.is_isolated() {
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
        self.free_copies();
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
        let Some(upstream) = &mut self.upstream else {
            return Action::Fail("closed");
        };
        tokio::select! {
            frame = upstream.body.frame() => match frame {
                Some(Ok(frame)) => match frame.into_data() {
                    Ok(data) => Action::Deliver(data),
                    // Trailers contain nothing that callers need.
                    Err(_) => Action::Deliver(Bytes::new()),
                },
                Some(Err(_)) => Action::Fail("broken"),
                None => Action::Judge(upstream.framing),
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

    /// Judges the end of the response, once it is known what the orders to stop the run have done.
    async fn judge(&self, framing: Framing) -> Verdict {
        let mut ending = self.ending(framing);
        if let (Verdict::Await, Some(orders)) = (ending.judge(), self.orders()) {
            let wait = COPY_TIMEOUT.min(self.job.remaining());
            tokio::select! {
                () = orders.settle() => {}
                () = self.sender.closed() => {}
                () = tokio::time::sleep(wait) => {}
            }
            ending = self.ending(framing);
        }
        self.record_end(ending);
        ending.judge()
    }

    /// Returns the orders to stop the run at its engine.
    fn orders(&self) -> Option<&Orders> {
        self.orders.get(&self.grant.endpoint.id)
    }

    /// Returns what these orders may have done.
    pub(crate) fn effect(&self) -> Effect {
        self.orders().map_or(Effect::None, Orders::effect)
    }

    /// Returns what is known now of the end of the response.
    fn ending(&self, framing: Framing) -> Ending {
        // A response that ends before its first event was broken off, unless its end is marked and the
        // caller has all events before it.
        let resumes = self.splitter.event_count() > 0 || self.job.resume_after.is_some();
        let has_events = self.taken || (resumes && framing == Framing::Explicit);
        Ending {
            framing,
            whole: self.splitter.is_complete() && has_events,
            effect: self.effect(),
        }
    }

    /// Counts the end of a response, and logs one that nothing but the connection marks.
    fn record_end(&self, ending: Ending) {
        let verdict = ending.judge();
        self.proxy
            .metrics
            .record_stream_end(ending.framing, verdict);
        if ending.framing == Framing::Connection {
            let details = format!(
                "request={} endpoint={} events={} orders={} verdict={}",
                self.job.attempt,
                self.grant.endpoint.name,
                self.splitter.event_count(),
                ending.effect.name(),
                verdict.name(),
            );
            self.proxy.log.emit(Event::StreamEnded, &details);
        }
    }

    /// Forwards the new events among the bytes.
    async fn deliver(&mut self, bytes: &Bytes) -> Delivery {
        if self.first_data_at.is_none() {
            self.first_data_at = Some(Instant::now());
            // The pool ends only with the process.
            let _ = self.proxy.pool.send(FirstToken(self.grant.run)).await;
        }
        self.report_progress().await;
        let count_before = self.splitter.event_count();
        let Ok(events) = self.splitter.push(bytes) else {
            return Delivery::Malformed;
        };
        let event_count = self.splitter.event_count() - count_before;
        if event_count > 0 && !self.taken {
            self.taken = true;
            // The pool ends only with the process.
            let _ = self.proxy.pool.send(Taken(self.grant.run)).await;
        }
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
        if events.is_empty() {
            return Delivery::Sent;
        }
        match body::pass(&self.sender, &self.proxy.memory, events).await {
            Ok(()) => Delivery::Sent,
            Err(body::CallerLeft) => Delivery::CallerLeft,
        }
    }
}
