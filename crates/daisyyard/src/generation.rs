//! One task per generation: admission, attempts at engines, and the truthful end.

use std::time::{Duration, Instant};

use daisyyard_core::attempt::{Next, Outcome, Progress};
use daisyyard_core::burn;
use daisyyard_core::contract::Rank;
use daisyyard_core::endpoint::{self, Endpoint};
use daisyyard_core::id::{EndpointId, Fingerprint, InstanceId, Offset, Tokens};
use daisyyard_core::ledger;
use daisyyard_core::length;
use daisyyard_core::link::Signal;
use daisyyard_core::route::{ENGINES_ASKED, Request};
use daisyyard_core::stream::{Cursor, Loss};
use tokio::sync::{mpsc, oneshot};
use tokio_util::task::TaskTracker;
use xtra::Address;

use crate::admission::{self, Admission, Decision};
use crate::attempts::Attempts;
use crate::calls::Calls;
use crate::completion::Completion;
use crate::delivery::Delivery;
use crate::dispatch::{Dispatch, Done, Finished, Observe, Route, Target};
use crate::event::{self, Event};
use crate::measure::Metrics;
use crate::meter::Meter;
use crate::reader::{End, Reader};
use crate::refusal::{Kind, Refusal};
use crate::settings::Timing;
use crate::signature::Signer;
use crate::track::Track;
use crate::upstream::{self, Error};

/// Time beyond its patience that a request waits for the refusal of a home, which names a better
/// time to ask again.
const ANSWER_GRACE: Duration = Duration::from_millis(100);
/// Time after which asking again may help when no home named one.
const RETRY_AFTER: Duration = Duration::from_secs(1);

/// What a generation needs of its node.
#[derive(Debug, Clone)]
pub(crate) struct Actors {
    /// Node that holds the request.
    pub(crate) node: InstanceId,
    /// Routes the request.
    pub(crate) dispatch: Address<Dispatch>,
    /// Admits the request.
    pub(crate) admission: Address<Admission>,
    /// Registers calls that run at most once.
    pub(crate) calls: Address<Calls>,
    /// Counts ended requests against their targets.
    pub(crate) meter: Address<Meter>,
    /// Metrics of the node.
    pub(crate) metrics: Metrics,
    /// Signs generation ids.
    pub(crate) signer: Signer,
    /// Time limits.
    pub(crate) timing: Timing,
    /// Tasks of requests, which a planned stop waits for.
    pub(crate) tasks: TaskTracker,
}

/// A generation that a caller asked for.
#[derive(Debug)]
pub(crate) struct Generation {
    /// What routing needs to know.
    pub(crate) request: Request,
    /// Account and content of the request.
    pub(crate) key: Fingerprint,
    /// Body of the request.
    pub(crate) completion: Completion,
    /// When admission is of no more use.
    pub(crate) deadline: Instant,
}

/// One caller's progress through the attempts of its request.
struct Run<'a> {
    /// The request.
    generation: &'a Generation,
    /// What the node offers.
    actors: &'a Actors,
    /// Task of the caller's connection.
    caller: &'a mpsc::Sender<Delivery>,
    /// Position of the caller.
    cursor: Cursor,
    /// Attempts at engines.
    attempts: Attempts,
    /// What the request measures of itself.
    track: Track,
}

impl Generation {
    /// Runs the generation to its end and sends what happens to the caller's task.
    pub(crate) async fn run(self, actors: Actors, caller: mpsc::Sender<Delivery>) {
        let mut run = Run {
            generation: &self,
            actors: &actors,
            caller: &caller,
            cursor: Cursor::new(),
            attempts: Attempts::new(
                actors.dispatch.clone(),
                self.request.account,
                self.request.service,
                true,
            ),
            track: Track::new(&actors, &self.request),
        };
        let end = self.attempts(&mut run, &actors, &caller).await;
        run.track.end(end).await;
    }

    /// Tries engines until one delivers the whole answer or no further attempt is permitted.
    async fn attempts(
        &self,
        run: &mut Run<'_>,
        actors: &Actors,
        caller: &mpsc::Sender<Delivery>,
    ) -> burn::End {
        loop {
            let asked = Instant::now();
            let admitted = self.admit(actors, run.attempts.tried(), caller).await;
            run.track.admitted(asked.elapsed());
            let endpoint = match admitted {
                Ok(endpoint) => endpoint,
                Err(mut refusal) => {
                    // An earlier attempt may have run, whatever the reason of this refusal.
                    refusal.outcome = run.attempts.outcome();
                    let delivery = Delivery::Refuse(refusal, run.cursor.next());
                    let told = caller.send(delivery).await;
                    return told.map_or(burn::End::Left, |()| burn::End::Refused);
                }
            };
            run.attempts.start(endpoint.id);
            let end = run.relay(&endpoint).await;
            let crashed = matches!(end, End::Crashed);
            self.release(actors, endpoint.id, run.cursor.next(), crashed)
                .await;
            match end {
                End::Whole => {
                    self.finished(actors, run.cursor.next()).await;
                    return burn::End::Whole;
                }
                End::Unread => return burn::End::Left,
                End::Answered(status) => {
                    let message = Error::Answered(status).to_string();
                    let _ = caller.send(run.refuse(Kind::Rejected, message)).await;
                    return burn::End::Refused;
                }
                // A new attempt for a caller that is gone would be work for nobody, and this
                // node may have stopped and no longer know which engines may receive work.
                End::Lost | End::Crashed if caller.is_closed() => return burn::End::Left,
                End::Lost | End::Crashed => {}
            }
            if let Some(refusal) = run.retry().await {
                let _ = caller.send(refusal).await;
                return match run.attempts.outcome() {
                    Outcome::NotRun => burn::End::Refused,
                    Outcome::Run | Outcome::Unknown => burn::End::Interrupted,
                };
            }
            run.track.retried();
        }
    }

    /// Finds an engine that grants the request, asking several if need be.
    async fn admit(
        &self,
        actors: &Actors,
        tried: &[EndpointId],
        caller: &mpsc::Sender<Delivery>,
    ) -> Result<Endpoint, Refusal> {
        let arrived = Instant::now();
        let mut tried = tried.to_vec();
        let mut refused = None;
        for asked in 0..ENGINES_ASKED {
            let route = Route {
                request: self.request.clone(),
                key: self.key,
                kind: endpoint::Kind::Engine,
                tried: tried.clone(),
                asked,
            };
            let (endpoint, terms, patience) = match actors.dispatch.send(route).await {
                Ok(Target::Endpoint {
                    endpoint,
                    cached,
                    expected,
                    patience,
                }) => (endpoint, self.terms(actors, cached, expected), patience),
                Ok(Target::Suspected) => {
                    let message =
                        "this request crashed engines; change it or ask again in 10 minutes";
                    return Err(Refusal::not_run(Kind::Suspected, message));
                }
                Ok(Target::Nowhere) | Err(_) => break,
            };
            let until = patience.map_or(self.deadline, |patience| arrived + patience);
            let until = until.min(self.deadline);
            let terms = ledger::Ask {
                deadline: until,
                ..terms
            };
            let decision = self.ask(actors, &endpoint, terms, caller).await;
            if decision == Some(Decision::Grant) {
                return Ok(endpoint);
            }
            self.release(actors, endpoint.id, 0, false).await;
            let Some(Decision::Refuse { retry_after }) = decision else {
                let message = "the node is stopping; use another one";
                return Err(Refusal::not_run(Kind::Overloaded, message));
            };
            let message = "the service is overloaded; ask again after retry_after_ms";
            refused = Some(Refusal {
                retry_after: Some(retry_after),
                ..Refusal::not_run(Kind::Overloaded, message)
            });
            if Instant::now() >= self.deadline {
                break;
            }
            tried.push(endpoint.id);
        }
        let message = "no engine of this service may receive work; ask again later";
        Err(refused.unwrap_or_else(|| Refusal::not_run(Kind::Overloaded, message)))
    }

    /// Asks for admission to one engine; no decision means that the caller or the node is gone.
    async fn ask(
        &self,
        actors: &Actors,
        endpoint: &Endpoint,
        terms: ledger::Ask,
        caller: &mpsc::Sender<Delivery>,
    ) -> Option<Decision> {
        let limit = terms.deadline + ANSWER_GRACE;
        let (reply, decision) = oneshot::channel();
        let ask = admission::Ask {
            endpoint: endpoint.clone(),
            terms,
            reply,
        };
        let _ = actors.admission.send(ask).await;
        tokio::select! {
            decision = decision => decision.ok(),
            () = caller.closed() => None,
            () = tokio::time::sleep_until(limit.into()) => {
                Some(Decision::Refuse { retry_after: RETRY_AFTER })
            }
        }
    }

    /// Returns the request for admission to an engine.
    fn terms(&self, actors: &Actors, cached: Tokens, expected: Tokens) -> ledger::Ask {
        ledger::Ask {
            request: self.request.id,
            node: actors.node,
            account: self.request.account,
            rank: self.request.rank,
            prompt: self.request.prompt,
            cached,
            expected,
            deadline: self.deadline,
        }
    }

    /// Reports the length of the generation, which is whole.
    async fn finished(&self, actors: &Actors, length: Tokens) {
        let class = length::Kind {
            service: self.request.service,
            rank: self.request.rank,
            account: self.request.account,
        };
        let _ = actors.dispatch.send(Finished { class, length }).await;
    }

    /// Gives back what the generation held.
    async fn release(&self, actors: &Actors, endpoint: EndpointId, made: u64, crashed: bool) {
        let request = self.request.id;
        let release = admission::Release {
            endpoint,
            request,
            made,
        };
        let _ = actors.admission.send(release).await;
        let done = Done {
            endpoint,
            request,
            crashed,
        };
        let _ = actors.dispatch.send(done).await;
    }
}

impl Run<'_> {
    /// Starts the generation at an engine and delivers its tokens.
    async fn relay(&mut self, endpoint: &Endpoint) -> End {
        let priority = match self.generation.request.rank {
            Rank::Urgent => 1,
            Rank::Deferrable => 0,
        };
        let body = self.generation.completion.body(priority);
        let stream = match upstream::start(endpoint.address, body).await {
            Ok(stream) => stream,
            Err(error) => return self.failed(endpoint, error).await,
        };
        self.attempts.reach(Progress::Written);
        let account = self.generation.request.account;
        let name = self.actors.signer.sign(account, endpoint.id, &stream.name);
        if !self.cursor.bind(daisyyard_core::id::of(&name)) {
            return End::Lost;
        }
        let request = Some(self.generation.request.id);
        let (actors, caller, track) = (self.actors, self.caller, &mut self.track);
        let mut reader = Reader::new(endpoint, actors, name, stream, caller, request, track);
        let end = reader.read(&mut self.cursor).await;
        if end == End::Unread {
            let streamed = self.generation.completion.stream;
            // Only a caller that was told the generation's name can reconnect.
            let known = streamed && self.cursor.next() > 0;
            reader.abandon(self.cursor.next(), known).await;
        }
        end
    }

    /// Records why an attempt did not start.
    async fn failed(&mut self, endpoint: &Endpoint, error: Error) -> End {
        let (progress, signal) = match error {
            Error::Unconnected { .. } => (Progress::Unsent, Some(Signal::Dead)),
            Error::Unsent => (Progress::Unsent, Some(Signal::Broken)),
            Error::Declined(_) => (Progress::Declined, None),
            Error::Answered(_) => (Progress::Written, None),
            Error::Lost => (Progress::Written, Some(Signal::Broken)),
        };
        self.attempts.reach(progress);
        if let Error::Answered(status) = error {
            return End::Answered(status);
        }
        let mut crashed = false;
        if error == Error::Lost {
            crashed = upstream::probe(endpoint.address).await == upstream::Probe::Refused;
        }
        if let Some(signal) = signal {
            let signal = if crashed { Signal::Dead } else { signal };
            let _ = self
                .actors
                .dispatch
                .send(Observe(endpoint.id, signal))
                .await;
        }
        if crashed { End::Crashed } else { End::Lost }
    }

    /// Prepares another attempt, or returns the truthful end.
    async fn retry(&mut self) -> Option<Delivery> {
        let buffered = !self.generation.completion.stream;
        let restartable = buffered || self.cursor.link_lost(false) == Loss::Restart;
        match self.attempts.fail(restartable).await {
            Next::Retry => {
                if buffered {
                    self.cursor.reset();
                    let _ = self.caller.send(Delivery::Restart).await;
                }
                None
            }
            Next::Finish(Outcome::NotRun) => {
                let message = "no engine took the request; ask again later";
                Some(self.refuse(Kind::Unavailable, message.to_owned()))
            }
            Next::Finish(_) => {
                interrupted(self.cursor.next());
                let message = "the engine was lost; what was delivered is valid up to next_offset";
                Some(self.refuse(Kind::Interrupted, message.to_owned()))
            }
        }
    }

    /// Returns a refusal with the outcome that is known.
    fn refuse(&self, kind: Kind, message: String) -> Delivery {
        let refusal = Refusal {
            kind,
            message,
            outcome: self.attempts.outcome(),
            retry_after: None,
        };
        Delivery::Refuse(refusal, self.cursor.next())
    }
}

/// Logs that a stream ended before its generation did.
pub(crate) fn interrupted(offset: Offset) {
    event::emit(Event::StreamInterrupted, &format!("offset={offset}"));
}
