//! Task of one generation: admission, attempts at engines, and the final answer to the caller.

mod run;

use std::time::{Duration, Instant};

use daisyyard_core::attempt::Outcome;
use daisyyard_core::burn;
use daisyyard_core::endpoint::{self, Endpoint};
use daisyyard_core::id::{EndpointId, Fingerprint, InstanceId, Offset, Tokens};
use daisyyard_core::ledger;
use daisyyard_core::length;
use daisyyard_core::route::{MAX_ENGINES_ASKED, Request};
use daisyyard_core::stream::Cursor;
use tokio::sync::{mpsc, oneshot};
use tokio_util::task::TaskTracker;
use xtra::Address;

use crate::admission::{self, Admission, Decision};
use crate::attempts::Attempts;
use crate::call_registry::Registry;
use crate::completion::Completion;
use crate::delivery::Delivery;
use crate::dispatch::{Dispatch, EndRequest, ObserveLength, Route, Target};
use crate::event::{self, Event};
use crate::meter::Meter;
use crate::metrics::Metrics;
use crate::refusal::{Kind, Refusal};
use crate::request_metrics::Recorder;
use crate::settings::Timing;
use crate::signature::Signer;
use crate::stream_reader::End;
use crate::upstream::Error;

/// Time past its admission deadline for which a request that asks no further engine waits for the
/// home's refusal, which states a more precise retry delay than [`DEFAULT_RETRY_AFTER`].
const ANSWER_GRACE: Duration = Duration::from_millis(100);
/// Retry delay that a refusal states when no home answered.
const DEFAULT_RETRY_AFTER: Duration = Duration::from_secs(1);

/// Actors and shared state of the node that requests use.
#[derive(Debug, Clone)]
pub(crate) struct Actors {
    /// Node that received the request.
    pub(crate) node: InstanceId,
    /// Routes the request.
    pub(crate) dispatch: Address<Dispatch>,
    /// Admits the request.
    pub(crate) admission: Address<Admission>,
    /// Registry of calls that run at most once.
    pub(crate) calls: Address<Registry>,
    /// Counts finished requests against their latency targets.
    pub(crate) meter: Address<Meter>,
    /// Metrics of the node.
    pub(crate) metrics: Metrics,
    /// Signs generation ids.
    pub(crate) signer: Signer,
    /// Configured time limits.
    pub(crate) timing: Timing,
    /// Tasks of running requests, which a planned shutdown waits for.
    pub(crate) tasks: TaskTracker,
}

/// A generation that a caller asked for.
#[derive(Debug)]
pub(crate) struct Generation {
    /// The request as routing sees it.
    pub(crate) request: Request,
    /// Fingerprint of the request's account and content.
    pub(crate) key: Fingerprint,
    /// Body of the request.
    pub(crate) completion: Completion,
    /// Latest time at which admission is still useful.
    pub(crate) deadline: Instant,
}

/// State of a running generation across its attempts.
struct Run<'a> {
    /// Generation that the caller asked for.
    generation: &'a Generation,
    /// Actors and shared state of the node.
    actors: &'a Actors,
    /// Task of the caller's connection.
    caller: &'a mpsc::Sender<Delivery>,
    /// Position of the caller in the stream.
    cursor: Cursor,
    /// Attempts at engines.
    attempts: Attempts,
    /// Measurements of the request.
    recorder: Recorder,
}

impl Generation {
    /// Runs the generation to its end and sends its deliveries to the caller's task.
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
            recorder: Recorder::new(&actors, &self.request),
        };
        let end = self.run_attempts(&mut run, &actors, &caller).await;
        run.recorder.end(end).await;
    }

    /// Tries engines until one delivers the complete answer or no further attempt is allowed.
    async fn run_attempts(
        &self,
        run: &mut Run<'_>,
        actors: &Actors,
        caller: &mpsc::Sender<Delivery>,
    ) -> burn::End {
        loop {
            let asked = Instant::now();
            let admitted = self.admit(actors, run.attempts.tried(), caller).await;
            run.recorder.admitted(asked.elapsed());
            let endpoint = match admitted {
                Ok(endpoint) => endpoint,
                Err(mut refusal) => {
                    // This attempt did not run, but an earlier one may have.
                    refusal.outcome = run.attempts.outcome();
                    let delivery = Delivery::Refuse(refusal, run.cursor.next());
                    let sent = caller.send(delivery).await;
                    return sent.map_or(burn::End::Left, |()| burn::End::Refused);
                }
            };
            run.attempts.start(endpoint.id);
            let end = run.relay(&endpoint).await;
            let crashed = matches!(end, End::Crashed);
            self.release(actors, endpoint.id, run.cursor.next(), crashed)
                .await;
            match end {
                End::Complete => {
                    self.report_length(actors, run.cursor.next()).await;
                    return burn::End::Complete;
                }
                End::CallerGone => return burn::End::Left,
                End::Answered(status) => {
                    let message = Error::UnexpectedStatus(status).to_string();
                    let _ = caller.send(run.refuse(Kind::Rejected, message)).await;
                    return burn::End::Refused;
                }
                // Nobody would read a new attempt for a caller that is gone. This node may also
                // have stopped and no longer know which engines accept work.
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
            run.recorder.retried();
        }
    }

    /// Returns an engine that admitted the request, after asking up to [`MAX_ENGINES_ASKED`]
    /// of them.
    async fn admit(
        &self,
        actors: &Actors,
        tried: &[EndpointId],
        caller: &mpsc::Sender<Delivery>,
    ) -> Result<Endpoint, Refusal> {
        let arrived = Instant::now();
        let mut tried = tried.to_vec();
        let mut refused = None;
        for engines_asked in 0..MAX_ENGINES_ASKED {
            let route = Route {
                request: self.request.clone(),
                key: self.key,
                kind: endpoint::Kind::Engine,
                tried: tried.clone(),
                engines_asked,
                asked_at: arrived.elapsed(),
            };
            let (endpoint, params, max_wait) = match actors.dispatch.send(route).await {
                Ok(Target::Endpoint {
                    endpoint,
                    cached,
                    expected,
                    max_wait,
                }) => (
                    endpoint,
                    self.admission_params(actors, cached, expected),
                    max_wait,
                ),
                Ok(Target::Suspected) => {
                    let message =
                        "this request crashed engines; change it or ask again in 10 minutes";
                    return Err(Refusal::not_run(Kind::Suspected, message));
                }
                Ok(Target::Unavailable) | Err(_) => break,
            };
            let deadline = max_wait.map_or(self.deadline, |max_wait| arrived + max_wait);
            let deadline = deadline.min(self.deadline);
            let params = ledger::Request { deadline, ..params };
            let may_move_on = engines_asked + 1 < MAX_ENGINES_ASKED && deadline < self.deadline;
            let answer_by = if may_move_on {
                deadline
            } else {
                deadline + ANSWER_GRACE
            };
            let decision = self.ask(actors, &endpoint, params, answer_by, caller).await;
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

    /// Asks for admission to one engine and waits for the answer until `answer_by`; returns none if
    /// the caller is gone or the node stops.
    async fn ask(
        &self,
        actors: &Actors,
        endpoint: &Endpoint,
        params: ledger::Request,
        answer_by: Instant,
        caller: &mpsc::Sender<Delivery>,
    ) -> Option<Decision> {
        let (reply, decision) = oneshot::channel();
        let message = admission::RequestAdmission {
            endpoint: endpoint.clone(),
            params,
            reply,
        };
        let _ = actors.admission.send(message).await;
        tokio::select! {
            decision = decision => decision.ok(),
            () = caller.closed() => None,
            () = tokio::time::sleep_until(answer_by.into()) => {
                Some(Decision::Refuse { retry_after: DEFAULT_RETRY_AFTER })
            }
        }
    }

    /// Returns what the engine's ledger needs to know about the request.
    fn admission_params(
        &self,
        actors: &Actors,
        cached: Tokens,
        expected: Tokens,
    ) -> ledger::Request {
        ledger::Request {
            id: self.request.id,
            node: actors.node,
            account: self.request.account,
            rank: self.request.rank,
            prompt: self.request.prompt,
            cached,
            expected,
            deadline: self.deadline,
        }
    }

    /// Reports the output length of the complete generation, for later estimates.
    async fn report_length(&self, actors: &Actors, length: Tokens) {
        let class = length::Kind {
            service: self.request.service,
            rank: self.request.rank,
            account: self.request.account,
        };
        let _ = actors.dispatch.send(ObserveLength { class, length }).await;
    }

    /// Releases the engine's capacity and ends the request in the routing table.
    async fn release(&self, actors: &Actors, endpoint: EndpointId, generated: u64, crashed: bool) {
        let request = self.request.id;
        let release = admission::Release {
            endpoint,
            request,
            generated,
        };
        let _ = actors.admission.send(release).await;
        let done = EndRequest {
            endpoint,
            request,
            crashed,
        };
        let _ = actors.dispatch.send(done).await;
    }
}

/// Logs that a stream ended before the generation was complete.
pub(crate) fn log_interruption(offset: Offset) {
    event::emit(Event::StreamInterrupted, &format!("offset={offset}"));
}
