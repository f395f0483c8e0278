//! Reader of one generation's stream, which reconnects to the engine when a connection breaks.

use std::time::Duration;

use daisyyard_core::burn;
use daisyyard_core::endpoint::Endpoint;
use daisyyard_core::id::{AccountId, GenerationId, Offset, RequestId};
use daisyyard_core::link::{Action, Monitor, Signal};
use daisyyard_core::stream::{self, Cursor, Step};
use hyper::StatusCode;
use tokio::sync::mpsc;
use tokio::time::Instant;

use crate::admission;
use crate::delivery::{self, Delivery};
use crate::dispatch::{FindEndpoint, ObserveSignal};
use crate::event::{self, Event};
use crate::generation::{self, Actors};
use crate::refusal::{Kind, Refusal};
use crate::request_metrics::Recorder;
use crate::sse::Chunk;
use crate::upstream::{self, Error, Item, Probe, Stream};

/// Interval between progress reports of a generation.
const PROGRESS_PERIOD: Duration = Duration::from_secs(1);

/// How reading a generation ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum End {
    /// The generation is complete.
    Complete,
    /// The caller disconnected or stopped reading.
    CallerGone,
    /// The engine answered with something other than a stream.
    Answered(StatusCode),
    /// The engine, or the connection to it, is lost.
    Lost,
    /// The engine crashed and lost its streams.
    Crashed,
}

/// Reads the stream of one generation and delivers its tokens to the caller.
#[derive(Debug)]
pub(crate) struct Reader<'a> {
    /// Engine that runs the generation.
    endpoint: &'a Endpoint,
    /// Actors and shared state of the node.
    actors: &'a Actors,
    /// Name under which the caller knows the generation.
    name: String,
    /// Identifier of the generation.
    id: GenerationId,
    /// Name of the stream at the engine.
    stream: String,
    /// Open connection; none after it broke or was closed.
    connection: Option<Stream>,
    /// Task of the caller's connection.
    caller: &'a mpsc::Sender<Delivery>,
    /// Request whose grant is kept alive by progress reports; none for a resumed stream, whose
    /// grant is kept alive by the node that admitted it.
    request: Option<RequestId>,
    /// Total tokens of the generation, if the engine stated them.
    total: Option<Offset>,
    /// Decides when a connection counts as silent and how often it may be replaced.
    watch: Monitor,
    /// Measurements of the request.
    recorder: &'a mut Recorder,
}

impl<'a> Reader<'a> {
    /// Creates a reader with its initial connection.
    pub(crate) fn new(
        endpoint: &'a Endpoint,
        actors: &'a Actors,
        name: String,
        connection: Stream,
        caller: &'a mpsc::Sender<Delivery>,
        request: Option<RequestId>,
        recorder: &'a mut Recorder,
    ) -> Self {
        Self {
            id: daisyyard_core::id::of(&name),
            stream: connection.name.clone(),
            total: None,
            watch: Monitor::new(actors.timing.stall_timeout),
            endpoint,
            actors,
            name,
            connection: Some(connection),
            caller,
            request,
            recorder,
        }
    }

    /// Delivers tokens until the generation ends.
    pub(crate) async fn read(&mut self, cursor: &mut Cursor) -> End {
        let end = self.read_stream(cursor).await;
        match end {
            End::Complete => self.report_signal(Signal::Served).await,
            End::Crashed => self.report_signal(Signal::Dead).await,
            End::Lost => {
                self.report_signal(Signal::Broken).await;
                // The engine may still run the generation, which nobody will read.
                let (address, stream) = (self.endpoint.address, self.stream.clone());
                let cancel = async move { upstream::cancel(address, &stream).await };
                self.actors.tasks.spawn(cancel);
            }
            End::CallerGone | End::Answered(_) => {}
        }
        end
    }

    /// Reads the stream across its connections.
    async fn read_stream(&mut self, cursor: &mut Cursor) -> End {
        let mut reports = tokio::time::interval(PROGRESS_PERIOD);
        let mut last_received = Instant::now();
        loop {
            let Some(connection) = &mut self.connection else {
                return End::Lost;
            };
            let silence_deadline = last_received + self.watch.timeout();
            let received = tokio::select! {
                received = tokio::time::timeout_at(silence_deadline, connection.items.recv()) => received,
                () = self.caller.closed() => return End::CallerGone,
                _ = reports.tick() => {
                    self.report_progress(cursor.next()).await;
                    continue;
                }
            };
            let end = match received {
                Ok(Some(Item::Alive)) => None,
                Ok(Some(Item::Chunk(Chunk::Total(total)))) => {
                    self.total = Some(total);
                    None
                }
                Ok(Some(Item::Chunk(Chunk::Finish))) => self.accept_finish(cursor).await,
                Ok(Some(Item::Chunk(Chunk::Token { offset, text }))) => {
                    self.accept_token(cursor, offset, text).await
                }
                Ok(Some(Item::Fault(fault))) => {
                    event::emit(Event::StreamMalformed, &self.details(&fault.to_string()));
                    self.handle_break(cursor.next()).await
                }
                Ok(None) => self.handle_break(cursor.next()).await,
                Err(_) => self.handle_silence(cursor.next()).await,
            };
            last_received = Instant::now();
            if let Some(end) = end {
                return end;
            }
        }
    }

    /// Ends the generation, or resumes the stream if its last tokens are missing.
    async fn accept_finish(&mut self, cursor: &Cursor) -> Option<End> {
        match cursor.finish(self.total) {
            stream::End::Complete => {
                let finish = Delivery::Finish(self.name.clone());
                let end = self.deliver(finish, cursor.next()).await;
                Some(end.unwrap_or(End::Complete))
            }
            stream::End::Resume(from) => {
                event::emit(Event::StreamGap, &self.details(&format!("from={from}")));
                self.handle_break(from).await
            }
        }
    }

    /// Delivers a token that arrived, or resumes the stream if earlier tokens are missing.
    async fn accept_token(
        &mut self,
        cursor: &mut Cursor,
        offset: Offset,
        text: String,
    ) -> Option<End> {
        match cursor.accept(self.id, offset) {
            Step::Deliver => {
                self.watch.progress();
                self.recorder.token_arrived();
                let generation = self.name.clone();
                let token = Delivery::Token {
                    generation,
                    offset,
                    text,
                };
                let end = self.deliver(token, cursor.next()).await;
                self.recorder.token_delivered();
                end
            }
            Step::Resume(from) => {
                event::emit(Event::StreamGap, &self.details(&format!("from={from}")));
                self.handle_break(from).await
            }
            Step::Duplicate => {
                self.recorder.duplicate();
                None
            }
            Step::Foreign => {
                self.recorder.foreign();
                None
            }
        }
    }

    /// Sends a delivery to the caller's task; ends the stream if the caller does not read in time.
    async fn deliver(&self, delivery: Delivery, generated: Offset) -> Option<End> {
        let limit = Instant::now() + self.actors.timing.slow_caller_timeout;
        let mut reports =
            tokio::time::interval_at(Instant::now() + PROGRESS_PERIOD, PROGRESS_PERIOD);
        loop {
            tokio::select! {
                permit = self.caller.reserve() => {
                    let Ok(permit) = permit else {
                        return Some(End::CallerGone);
                    };
                    permit.send(delivery);
                    return None;
                }
                () = tokio::time::sleep_until(limit) => {
                    event::emit(Event::CallerSlow, &self.details(&format!("offset={generated}")));
                    return Some(End::CallerGone);
                }
                _ = reports.tick() => self.report_progress(generated).await,
            }
        }
    }

    /// Handles a connection that ended early or carried malformed data.
    async fn handle_break(&mut self, from: Offset) -> Option<End> {
        self.connection = None;
        match self.watch.broken() {
            Action::Probe => self.resume(from).await,
            _ => Some(End::Lost),
        }
    }

    /// Handles a connection on which nothing arrived before the silence deadline.
    async fn handle_silence(&mut self, from: Offset) -> Option<End> {
        if self.watch.stalled() != Action::Probe {
            return Some(End::Lost);
        }
        match upstream::probe(self.endpoint.address).await {
            Probe::Answers => {
                event::emit(Event::LinkSilent, &self.details(&format!("from={from}")));
                self.connection = None;
                self.report_signal(Signal::Slow).await;
                self.resume(from).await
            }
            Probe::Refused => Some(End::Crashed),
            Probe::Silent => {
                self.report_signal(Signal::Dead).await;
                Some(End::Lost)
            }
        }
    }

    /// Resumes the stream on a new connection.
    async fn resume(&mut self, from: Offset) -> Option<End> {
        loop {
            match upstream::resume(self.endpoint.address, &self.stream, from).await {
                Ok(stream) => {
                    self.connection = Some(stream);
                    return None;
                }
                // An engine keeps a stream while it is read, so an unknown stream means that the
                // engine restarted.
                Err(
                    Error::Unconnected { refused: true }
                    | Error::UnexpectedStatus(StatusCode::NOT_FOUND),
                ) => {
                    return Some(End::Crashed);
                }
                Err(Error::Unconnected { refused: false }) => return Some(End::Lost),
                Err(_) if self.watch.broken() == Action::Probe => {}
                Err(_) => return Some(End::Lost),
            }
        }
    }

    /// Cancels the stream at the engine unless another connection reads it. A caller that knows the
    /// generation's name first gets the grace period to reconnect, at this node or another one.
    pub(crate) async fn abandon(&mut self, generated: Offset, known: bool) {
        self.connection = None;
        let grace = self.actors.timing.reconnect_grace;
        let until = Instant::now() + if known { grace } else { Duration::ZERO };
        while Instant::now() < until {
            let wait = (until - Instant::now()).min(PROGRESS_PERIOD);
            tokio::time::sleep(wait).await;
            self.report_progress(generated).await;
        }
        upstream::cancel(self.endpoint.address, &self.stream).await;
    }

    /// Reports progress to the engine's ledger.
    async fn report_progress(&self, generated: Offset) {
        let Some(request) = self.request else {
            return;
        };
        let progress = admission::Progress {
            endpoint: self.endpoint.id,
            request,
            generated,
        };
        let _ = self.actors.admission.send(progress).await;
    }

    /// Reports an observation about the health of the engine.
    async fn report_signal(&self, signal: Signal) {
        let observe = ObserveSignal(self.endpoint.id, signal);
        let _ = self.actors.dispatch.send(observe).await;
    }

    /// Formats the details of a log event.
    fn details(&self, extra: &str) -> String {
        format!(
            "endpoint={} stream={} {extra}",
            self.endpoint.name, self.stream
        )
    }
}

/// Resumes the stream of a generation at an offset for a caller that reconnects, and returns the
/// receiver of its deliveries.
pub(crate) async fn reconnect(
    actors: &Actors,
    account: AccountId,
    name: &str,
    from: Offset,
) -> Result<mpsc::Receiver<Delivery>, Refusal> {
    let missing = || Refusal::unknown(Kind::Missing, "no such stream belongs to this account");
    let (endpoint, stream) = actors.signer.verify(account, name).ok_or_else(missing)?;
    let endpoint = actors
        .dispatch
        .send(FindEndpoint(endpoint))
        .await
        .ok()
        .flatten();
    let lost = "the engine no longer has this stream; ask again from the start";
    let endpoint = endpoint.ok_or_else(|| Refusal::unknown(Kind::Interrupted, lost))?;
    let opened = upstream::resume(endpoint.address, &stream, from).await;
    let connection = opened.map_err(|_error| Refusal::unknown(Kind::Interrupted, lost))?;
    let (sender, receiver) = mpsc::channel(delivery::MAX_BUFFERED_TOKENS);
    let (actors, name) = (actors.clone(), name.to_owned());
    let tasks = actors.tasks.clone();
    tasks.spawn(async move {
        let mut cursor = Cursor::resume(daisyyard_core::id::of(&name), from);
        let mut recorder = Recorder::resumed(&actors, endpoint.service);
        let mut reader = Reader::new(
            &endpoint,
            &actors,
            name,
            connection,
            &sender,
            None,
            &mut recorder,
        );
        let end = reader.read(&mut cursor).await;
        if end == End::CallerGone {
            reader.abandon(cursor.next(), true).await;
        }
        if matches!(end, End::Lost | End::Crashed | End::Answered(_)) {
            generation::log_interruption(cursor.next());
            let message = "the engine was lost; what was delivered is valid up to next_offset";
            let refusal = Refusal::unknown(Kind::Interrupted, message);
            let _ = sender.send(Delivery::Refuse(refusal, cursor.next())).await;
            recorder.end(burn::End::Interrupted).await;
        }
    });
    Ok(receiver)
}
