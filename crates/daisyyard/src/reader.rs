//! Reads one generation from its engine, over as many connections as it takes.

use std::time::Duration;

use daisyyard_core::burn;
use daisyyard_core::endpoint::Endpoint;
use daisyyard_core::id::{AccountId, GenerationId, Offset, RequestId};
use daisyyard_core::link::{Monitor, Next, Signal};
use daisyyard_core::stream::{self, Cursor, Step};
use hyper::StatusCode;
use tokio::sync::mpsc;
use tokio::time::Instant;

use crate::admission;
use crate::delivery::{self, Delivery};
use crate::dispatch::{Find, Observe};
use crate::event::{self, Event};
use crate::generation::{self, Actors};
use crate::refusal::{Kind, Refusal};
use crate::sse::Piece;
use crate::track::Track;
use crate::upstream::{self, Error, Item, Probe, Stream};

/// Time between two progress reports of a generation.
const PROGRESS_PERIOD: Duration = Duration::from_secs(1);

/// How the reading of one generation ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum End {
    /// The generation is whole.
    Whole,
    /// The caller is gone or does not read.
    Unread,
    /// The engine answered with something other than a stream.
    Answered(StatusCode),
    /// The engine or the link to it is lost.
    Lost,
    /// The engine crashed and lost its streams.
    Crashed,
}

/// Reader of one generation.
#[derive(Debug)]
pub(crate) struct Reader<'a> {
    /// Engine that runs the generation.
    endpoint: &'a Endpoint,
    /// What the node offers.
    actors: &'a Actors,
    /// Name of the generation towards the caller.
    name: String,
    /// Identifier of the generation.
    id: GenerationId,
    /// Name of the stream at the engine.
    stream: String,
    /// Items of the open connection; none after it was given up.
    link: Option<Stream>,
    /// Task of the caller's connection.
    caller: &'a mpsc::Sender<Delivery>,
    /// Request whose grant is kept alive; none for a resumed stream, whose first node keeps it.
    request: Option<RequestId>,
    /// Tokens of the generation in all, if the engine stated them.
    total: Option<Offset>,
    /// Watch over the connections.
    watch: Monitor,
    /// Measurements of the request.
    track: &'a mut Track,
}

impl<'a> Reader<'a> {
    /// Creates a reader with its first connection.
    pub(crate) fn new(
        endpoint: &'a Endpoint,
        actors: &'a Actors,
        name: String,
        link: Stream,
        caller: &'a mpsc::Sender<Delivery>,
        request: Option<RequestId>,
        track: &'a mut Track,
    ) -> Self {
        Self {
            id: daisyyard_core::id::of(&name),
            stream: link.name.clone(),
            total: None,
            watch: Monitor::new(actors.timing.stall),
            endpoint,
            actors,
            name,
            link: Some(link),
            caller,
            request,
            track,
        }
    }

    /// Delivers tokens until the generation ends.
    pub(crate) async fn read(&mut self, cursor: &mut Cursor) -> End {
        let end = self.follow(cursor).await;
        match end {
            End::Whole => self.observe(Signal::Served).await,
            End::Crashed => self.observe(Signal::Dead).await,
            End::Lost => {
                self.observe(Signal::Broken).await;
                // The generation may still run where nobody will read it.
                let (address, stream) = (self.endpoint.address, self.stream.clone());
                let cancel = async move { upstream::cancel(address, &stream).await };
                self.actors.tasks.spawn(cancel);
            }
            End::Unread | End::Answered(_) => {}
        }
        end
    }

    /// Follows the stream over its connections.
    async fn follow(&mut self, cursor: &mut Cursor) -> End {
        let mut reports = tokio::time::interval(PROGRESS_PERIOD);
        let mut heard = Instant::now();
        loop {
            let Some(link) = &mut self.link else {
                return End::Lost;
            };
            let patience = heard + self.watch.timeout();
            let received = tokio::select! {
                received = tokio::time::timeout_at(patience, link.items.recv()) => received,
                () = self.caller.closed() => return End::Unread,
                _ = reports.tick() => {
                    self.report(cursor.next()).await;
                    continue;
                }
            };
            let end = match received {
                Ok(Some(Item::Alive)) => None,
                Ok(Some(Item::Piece(Piece::Total(total)))) => {
                    self.total = Some(total);
                    None
                }
                Ok(Some(Item::Piece(Piece::Finish))) => self.finish(cursor).await,
                Ok(Some(Item::Piece(Piece::Token { offset, text }))) => {
                    self.token(cursor, offset, text).await
                }
                Ok(Some(Item::Fault(fault))) => {
                    event::emit(Event::StreamMalformed, &self.details(&fault.to_string()));
                    self.broken(cursor.next()).await
                }
                Ok(None) => self.broken(cursor.next()).await,
                Err(_) => self.silent(cursor.next()).await,
            };
            heard = Instant::now();
            if let Some(end) = end {
                return end;
            }
        }
    }

    /// Takes the end of the generation, unless its last tokens are missing.
    async fn finish(&mut self, cursor: &Cursor) -> Option<End> {
        match cursor.finish(self.total) {
            stream::End::Complete => {
                let finish = Delivery::Finish(self.name.clone());
                let end = self.deliver(finish, cursor.next()).await;
                Some(end.unwrap_or(End::Whole))
            }
            stream::End::Resume(from) => {
                event::emit(Event::StreamGap, &self.details(&format!("from={from}")));
                self.broken(from).await
            }
        }
    }

    /// Takes a token that arrived.
    async fn token(&mut self, cursor: &mut Cursor, offset: Offset, text: String) -> Option<End> {
        match cursor.accept(self.id, offset) {
            Step::Deliver => {
                self.watch.progress();
                self.track.token();
                let generation = self.name.clone();
                let token = Delivery::Token {
                    generation,
                    offset,
                    text,
                };
                let end = self.deliver(token, cursor.next()).await;
                self.track.handed();
                end
            }
            Step::Resume(from) => {
                event::emit(Event::StreamGap, &self.details(&format!("from={from}")));
                self.broken(from).await
            }
            Step::Duplicate => {
                self.track.duplicate();
                None
            }
            Step::Foreign => {
                self.track.foreign();
                None
            }
        }
    }

    /// Hands a delivery to the caller's task; a caller that does not read ends the stream.
    async fn deliver(&self, delivery: Delivery, made: Offset) -> Option<End> {
        let limit = Instant::now() + self.actors.timing.slow_caller;
        let mut reports =
            tokio::time::interval_at(Instant::now() + PROGRESS_PERIOD, PROGRESS_PERIOD);
        loop {
            tokio::select! {
                permit = self.caller.reserve() => {
                    let Ok(permit) = permit else {
                        return Some(End::Unread);
                    };
                    permit.send(delivery);
                    return None;
                }
                () = tokio::time::sleep_until(limit) => {
                    event::emit(Event::CallerSlow, &self.details(&format!("offset={made}")));
                    return Some(End::Unread);
                }
                _ = reports.tick() => self.report(made).await,
            }
        }
    }

    /// Handles a connection that ended early or carried unusable bytes.
    async fn broken(&mut self, from: Offset) -> Option<End> {
        self.link = None;
        match self.watch.broken() {
            Next::Probe => self.resume(from).await,
            _ => Some(End::Lost),
        }
    }

    /// Handles a connection on which nothing arrived for the patience.
    async fn silent(&mut self, from: Offset) -> Option<End> {
        if self.watch.stalled() != Next::Probe {
            return Some(End::Lost);
        }
        match upstream::probe(self.endpoint.address).await {
            Probe::Answers => {
                event::emit(Event::LinkSilent, &self.details(&format!("from={from}")));
                self.link = None;
                self.observe(Signal::Slow).await;
                self.resume(from).await
            }
            Probe::Refused => Some(End::Crashed),
            Probe::Silent => {
                self.observe(Signal::Dead).await;
                Some(End::Lost)
            }
        }
    }

    /// Resumes the stream on a fresh connection.
    async fn resume(&mut self, from: Offset) -> Option<End> {
        loop {
            match upstream::resume(self.endpoint.address, &self.stream, from).await {
                Ok(stream) => {
                    self.link = Some(stream);
                    return None;
                }
                // An engine that does not know a stream that is being read has restarted.
                Err(
                    Error::Unconnected { refused: true } | Error::Answered(StatusCode::NOT_FOUND),
                ) => {
                    return Some(End::Crashed);
                }
                Err(Error::Unconnected { refused: false }) => return Some(End::Lost),
                Err(_) if self.watch.broken() == Next::Probe => {}
                Err(_) => return Some(End::Lost),
            }
        }
    }

    /// Ends the stream unless somebody reads it; a caller that knows the generation's name has
    /// the grace period to reconnect, here or at another node.
    pub(crate) async fn abandon(&mut self, made: Offset, known: bool) {
        self.link = None;
        let grace = self.actors.timing.grace;
        let until = Instant::now() + if known { grace } else { Duration::ZERO };
        while Instant::now() < until {
            let wait = (until - Instant::now()).min(PROGRESS_PERIOD);
            tokio::time::sleep(wait).await;
            self.report(made).await;
        }
        upstream::cancel(self.endpoint.address, &self.stream).await;
    }

    /// Reports progress to the engine's ledger.
    async fn report(&self, made: Offset) {
        let Some(request) = self.request else {
            return;
        };
        let progress = admission::Progress {
            endpoint: self.endpoint.id,
            request,
            made,
        };
        let _ = self.actors.admission.send(progress).await;
    }

    /// Reports what was learned about the engine.
    async fn observe(&self, signal: Signal) {
        let observe = Observe(self.endpoint.id, signal);
        let _ = self.actors.dispatch.send(observe).await;
    }

    /// Returns the details of a log event.
    fn details(&self, more: &str) -> String {
        format!(
            "endpoint={} stream={} {more}",
            self.endpoint.name, self.stream
        )
    }
}

/// Finds the engine of a generation id and opens its stream at an offset for a caller that
/// reconnects; the answer is a receiver of the deliveries.
pub(crate) async fn reconnect(
    actors: &Actors,
    account: AccountId,
    name: &str,
    from: Offset,
) -> Result<mpsc::Receiver<Delivery>, Refusal> {
    let missing = || Refusal::unknown(Kind::Missing, "no such stream belongs to this account");
    let (endpoint, stream) = actors.signer.verify(account, name).ok_or_else(missing)?;
    let endpoint = actors.dispatch.send(Find(endpoint)).await.ok().flatten();
    let lost = "the engine no longer has this stream; ask again from the start";
    let endpoint = endpoint.ok_or_else(|| Refusal::unknown(Kind::Interrupted, lost))?;
    let opened = upstream::resume(endpoint.address, &stream, from).await;
    let link = opened.map_err(|_error| Refusal::unknown(Kind::Interrupted, lost))?;
    let (sender, receiver) = mpsc::channel(delivery::BUFFER);
    let (actors, name) = (actors.clone(), name.to_owned());
    let tasks = actors.tasks.clone();
    tasks.spawn(async move {
        let mut cursor = Cursor::resume(daisyyard_core::id::of(&name), from);
        let mut track = Track::resumed(&actors, endpoint.service);
        let mut reader = Reader::new(&endpoint, &actors, name, link, &sender, None, &mut track);
        let end = reader.read(&mut cursor).await;
        if end == End::Unread {
            reader.abandon(cursor.next(), true).await;
        }
        if matches!(end, End::Lost | End::Crashed | End::Answered(_)) {
            generation::interrupted(cursor.next());
            let message = "the engine was lost; what was delivered is valid up to next_offset";
            let refusal = Refusal::unknown(Kind::Interrupted, message);
            let _ = sender.send(Delivery::Refuse(refusal, cursor.next())).await;
            track.end(burn::End::Interrupted).await;
        }
    });
    Ok(receiver)
}
