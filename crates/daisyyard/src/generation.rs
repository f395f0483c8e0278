//! One task per generation: admission, the stream from the engine, and its delivery.

use std::net::SocketAddr;
use std::time::{Duration, Instant};

use bytes::Bytes;
use daisyyard_core::attempt::{Attempt, Next, Outcome, Progress};
use daisyyard_core::contract::Rank;
use daisyyard_core::endpoint::Endpoint;
use daisyyard_core::id::{EndpointId, InstanceId};
use daisyyard_core::ledger;
use daisyyard_core::route::Request;
use daisyyard_core::stream::{Cursor, Loss, Step};
use tokio::sync::{mpsc, oneshot};
use xtra::Address;

use crate::admission::{self, Admission, Decision};
use crate::completion::{self, Completion};
use crate::dispatch::{Dispatch, Route, Target};
use crate::event::{self, Event};
use crate::refusal::{Kind, Refusal};
use crate::upstream::{self, Piece};

/// Output tokens that are expected before any length is known.
const EXPECTED_OUTPUT: u64 = 256;
/// Time between two progress reports of a generation.
const PROGRESS_PERIOD: Duration = Duration::from_secs(1);

/// The actors that a generation talks to.
#[derive(Debug, Clone)]
pub(crate) struct Actors {
    /// Node that holds the request.
    pub(crate) node: InstanceId,
    /// Routes the request.
    pub(crate) dispatch: Address<Dispatch>,
    /// Admits the request.
    pub(crate) admission: Address<Admission>,
}

/// A generation that a caller asked for.
#[derive(Debug)]
pub(crate) struct Generation {
    /// What routing needs to know.
    pub(crate) request: Request,
    /// Body of the request.
    pub(crate) completion: Completion,
    /// When admission is of no more use.
    pub(crate) deadline: Instant,
}

/// What a generation delivers.
#[derive(Debug)]
pub(crate) enum Delivery {
    /// One token, already in order.
    Token {
        /// Name of the generation.
        generation: String,
        /// Offset of the token.
        offset: u64,
        /// Text of the token.
        text: String,
    },
    /// The generation is whole.
    Finish(String),
    /// The generation did not start or broke off at an offset.
    Refuse(Refusal, u64),
}

/// How the reading of one stream ended.
enum End {
    /// The generation is whole.
    Whole,
    /// The caller is gone.
    Unread,
    /// The engine or the link to it is lost.
    Lost,
}

impl Generation {
    /// Runs the generation to its end and sends what happens to the caller's task.
    pub(crate) async fn run(self, actors: Actors, caller: mpsc::Sender<Delivery>) {
        let mut cursor = Cursor::new();
        let mut attempt = Attempt::new(true);
        let mut tried = Vec::new();
        loop {
            let endpoint = match self.admit(&actors, &tried).await {
                Ok(endpoint) => endpoint,
                Err(refusal) => {
                    let _ = caller.send(Delivery::Refuse(refusal, cursor.next())).await;
                    return;
                }
            };
            tried.push(endpoint.id);
            let end = self
                .relay(&endpoint, &actors, &mut cursor, &mut attempt, &caller)
                .await;
            self.release(&actors, endpoint.id, cursor.next()).await;
            match end {
                End::Whole | End::Unread => return,
                End::Lost => {}
            }
            let budget = tried.len() < 3 && matches!(cursor.lose(false), Loss::Restart);
            if let Next::Finish(outcome) = attempt.fail(budget) {
                let _ = caller.send(broken(outcome, cursor.next())).await;
                return;
            }
        }
    }

    /// Finds an engine that grants the request.
    async fn admit(&self, actors: &Actors, tried: &[EndpointId]) -> Result<Endpoint, Refusal> {
        let route = Route {
            request: self.request.clone(),
            tried: tried.to_vec(),
        };
        let Ok(Target::Endpoint(endpoint)) = actors.dispatch.send(route).await else {
            let message = "no engine of this service may receive work; ask again later";
            return Err(Refusal::not_run(Kind::Overloaded, message));
        };
        let terms = ledger::Ask {
            request: self.request.id,
            node: actors.node,
            account: self.request.account,
            rank: self.request.rank,
            prompt: self.request.prompt,
            cached: 0,
            expected: EXPECTED_OUTPUT,
            deadline: self.deadline,
        };
        let (reply, decision) = oneshot::channel();
        let ask = admission::Ask {
            endpoint: endpoint.clone(),
            terms,
            reply,
        };
        let _ = actors.admission.send(ask).await;
        match decision.await {
            Ok(Decision::Grant) => Ok(endpoint),
            Ok(Decision::Refuse { retry_after }) => {
                let message = "the service is overloaded; ask again after retry_after_ms";
                let refusal = Refusal::not_run(Kind::Overloaded, message);
                Err(Refusal {
                    retry_after: Some(retry_after),
                    ..refusal
                })
            }
            Err(_) => Err(Refusal::not_run(Kind::Overloaded, "the node is stopping")),
        }
    }

    /// Starts the generation at an engine and delivers its tokens.
    async fn relay(
        &self,
        endpoint: &Endpoint,
        actors: &Actors,
        cursor: &mut Cursor,
        attempt: &mut Attempt,
        caller: &mpsc::Sender<Delivery>,
    ) -> End {
        let priority = match self.request.rank {
            Rank::Urgent => 1,
            Rank::Deferrable => 0,
        };
        let stream = match upstream::start(endpoint.address, self.completion.body(priority)).await {
            Ok(stream) => stream,
            Err(upstream::Error::Unsent(_)) => return End::Lost,
            Err(upstream::Error::Declined(_)) => {
                attempt.reach(Progress::Declined);
                return End::Lost;
            }
            Err(upstream::Error::Lost(_)) => {
                attempt.reach(Progress::Written);
                return End::Lost;
            }
        };
        attempt.reach(Progress::Written);
        let name = format!("{:x}-{}", endpoint.id, stream.name);
        let id = daisyyard_core::id::of(&name);
        if !cursor.bind(id) {
            return End::Lost;
        }
        let mut reader = Reader {
            endpoint,
            actors,
            name,
            id,
            stream,
            caller,
        };
        reader.read(self, cursor).await
    }

    /// Gives back what the generation held.
    async fn release(&self, actors: &Actors, endpoint: EndpointId, made: u64) {
        let release = admission::Release {
            endpoint,
            request: self.request.id,
            made,
        };
        let _ = actors.admission.send(release).await;
    }
}

/// Reads one generation from its engine, over as many connections as it takes.
struct Reader<'a> {
    /// Engine that runs the generation.
    endpoint: &'a Endpoint,
    /// Actors to report to.
    actors: &'a Actors,
    /// Name of the generation towards the caller.
    name: String,
    /// Identifier of the generation.
    id: u64,
    /// Open stream.
    stream: upstream::Stream,
    /// Task of the caller's connection.
    caller: &'a mpsc::Sender<Delivery>,
}

impl Reader<'_> {
    /// Delivers tokens until the generation ends.
    async fn read(&mut self, generation: &Generation, cursor: &mut Cursor) -> End {
        let mut reported = Instant::now();
        loop {
            let step = match self.stream.pieces.recv().await {
                Some(Piece::Token { offset, text }) => {
                    (cursor.accept(self.id, offset), offset, text)
                }
                Some(Piece::Finish) => {
                    let _ = self.caller.send(Delivery::Finish(self.name.clone())).await;
                    return End::Whole;
                }
                Some(Piece::Broken) | None => (Step::Resume(cursor.next()), 0, String::new()),
            };
            match step {
                (Step::Deliver, offset, text) => {
                    let generation = self.name.clone();
                    let token = Delivery::Token {
                        generation,
                        offset,
                        text,
                    };
                    if self.caller.send(token).await.is_err() {
                        upstream::cancel(self.endpoint.address, &self.stream.name).await;
                        return End::Unread;
                    }
                }
                (Step::Resume(from), ..) => {
                    if !self.resume(self.endpoint.address, from).await {
                        return End::Lost;
                    }
                }
                (Step::Duplicate | Step::Foreign, ..) => {}
            }
            if reported.elapsed() >= PROGRESS_PERIOD {
                reported = Instant::now();
                self.report(generation, cursor.next()).await;
            }
        }
    }

    /// Resumes the stream on a fresh connection.
    async fn resume(&mut self, address: SocketAddr, from: u64) -> bool {
        match upstream::resume(address, &self.stream.name, from).await {
            Ok(stream) => {
                self.stream = stream;
                true
            }
            Err(_) => false,
        }
    }

    /// Reports progress to the engine's ledger.
    async fn report(&self, generation: &Generation, made: u64) {
        let request = generation.request.id;
        let progress = admission::Progress {
            endpoint: self.endpoint.id,
            request,
            made,
        };
        let _ = self.actors.admission.send(progress).await;
    }
}

/// Returns the delivery that ends a generation which is not whole.
fn broken(outcome: Outcome, offset: u64) -> Delivery {
    event::emit(Event::StreamInterrupted, &format!("offset={offset}"));
    let message = "the engine was lost; what was delivered is valid up to next_offset";
    let refusal = Refusal {
        kind: Kind::Interrupted,
        message: message.to_owned(),
        outcome,
        retry_after: None,
    };
    Delivery::Refuse(refusal, offset)
}

/// Returns the bytes of the event that carries a delivery to a streaming caller.
pub(crate) fn event(delivery: &Delivery) -> Bytes {
    match delivery {
        Delivery::Token {
            generation,
            offset,
            text,
        } => completion::token(generation, *offset, text),
        Delivery::Finish(generation) => completion::finish(generation),
        Delivery::Refuse(refusal, offset) => completion::broken(refusal, *offset),
    }
}
