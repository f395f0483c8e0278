//! Continues a run at another engine, once its own engine has stopped it.

use std::sync::Arc;
use std::time::{Duration, Instant};

use daisyyard_core::endpoint::Endpoint;
use daisyyard_core::pool::Signal;
use daisyyard_core::shared_retry_budget;
use daisyyard_http::connection::{self, Failure};
use hyper::StatusCode;

use crate::codec::Replica;
use crate::event::Event;
use crate::halt::{Halt, halt};
use crate::message::{Failover, Retry, Rollback, Takeover};
use crate::migration::State;
use crate::relay::{LEAVING, Relay, SILENT};

/// Timeout for an engine to resume a run.
const RESUME_TIMEOUT: Duration = Duration::from_secs(3);
/// Maximum time for which an engine may execute a run beside one that is asked to resume it.
const MAX_OVERLAP: Duration = Duration::from_millis(250);
/// Why an engine did not resume a run.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Obstacle {
    /// The retry budget allows no further send.
    NotAllowed,
    /// The request did not reach the engine.
    Unsent,
    /// The engine did not run the request.
    Declined,
    /// The engine may have run the request, but its answer is missing or unusable.
    Unanswered,
}

impl Obstacle {
    /// Returns the name of the obstacle for the log.
    fn name(self) -> &'static str {
        match self {
            Self::NotAllowed => "not_allowed",
            Self::Unsent => "unsent",
            Self::Declined => "declined",
            Self::Unanswered => "unanswered",
        }
    }
}

/// Result of stopping a run and asking other engines to resume it.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Outcome {
    /// An engine has resumed the run.
    Resumed,
    /// Engines were asked and have not resumed the run.
    Refused,
    /// No engine was asked.
    Unchanged,
}

/// An engine at which a run can resume, and the copy of its KV cache that is used there.
#[derive(Debug)]
struct Place {
    /// Engine that resumes the run.
    engine: Arc<Endpoint>,
    /// Engine that receives the next backup.
    backup: Option<Arc<Endpoint>>,
    /// Copy of the KV cache.
    replica: Replica,
    /// Name of the kind of copy for logs and metrics.
    means: &'static str,
}

impl Relay {
    /// Stops the run at its engine and resumes it at its backup engine; returns whether the stream
    /// continues at either engine.
    pub(crate) async fn fail_over(&mut self, reason: &'static str) -> bool {
        let started = Instant::now();
        let source = Arc::clone(&self.grant.endpoint);
        // The stream of an engine that is leaving or silent stays open until another one resumes it.
        let stays_open = reason == LEAVING || reason == SILENT;
        let failover = Failover(self.grant.run, self.grant.signal);
        let Ok(Some(takeover)) = self.proxy.pool.send(failover).await else {
            return stays_open;
        };
        if !stays_open {
            self.upstream = None;
        }
        let target = Arc::clone(&takeover.engine);
        let outcome = self.resume_elsewhere(takeover, reason, started).await;
        if outcome == Outcome::Resumed {
            return true;
        }
        if self.upstream.is_none() {
            return false;
        }
        self.roll_back(&source, &target).await;
        if outcome == Outcome::Refused || reason == LEAVING {
            self.abandon_target().await;
        }
        if reason == SILENT {
            self.migration = State::Idle;
        }
        true
    }

    /// Stops the run at its engine, and asks one engine after the other to resume it.
    async fn resume_elsewhere(
        &mut self,
        takeover: Takeover,
        reason: &'static str,
        started: Instant,
    ) -> Outcome {
        let source = Arc::clone(&self.grant.endpoint);
        let target = Arc::clone(&takeover.engine);
        // A run is not stopped if nothing may be sent that resumes it.
        if !self.may_send_again().await {
            let log = ("backup", reason);
            let refused = Err(Obstacle::NotAllowed);
            self.record_move(&source, &target, started, log, refused);
            return Outcome::Unchanged;
        }
        let halt = self.halt(&source, &target, reason).await;
        let mut outcome = Outcome::Unchanged;
        for place in self.places(halt, reason, &source, takeover) {
            let resumed = if outcome == Outcome::Unchanged || self.may_send_again().await {
                let (engine, backup) = (&place.engine, place.backup.as_deref());
                self.resume(engine, backup, Some(place.replica), RESUME_TIMEOUT)
                    .await
            } else {
                Err(Obstacle::NotAllowed)
            };
            let log = (place.means, reason);
            self.record_move(&source, &place.engine, started, log, resumed);
            outcome = Outcome::Refused;
            match resumed {
                Ok(()) => {
                    if place.engine.id == source.id {
                        self.roll_back(&source, &target).await;
                    }
                    self.switch_to(place.engine);
                    return Outcome::Resumed;
                }
                // Only a request that has not run may be sent to the next engine.
                Err(Obstacle::Unsent | Obstacle::Declined) => {}
                Err(Obstacle::NotAllowed | Obstacle::Unanswered) => return outcome,
            }
        }
        outcome
    }

    /// Stops the run at its engine if the engines of the service can do so.
    pub(crate) async fn halt(
        &self,
        source: &Arc<Endpoint>,
        target: &Arc<Endpoint>,
        reason: &'static str,
    ) -> Halt {
        if !self.supports_moves() {
            return Halt::Unanswered;
        }
        halt(&self.proxy, &self.job, source, target, reason != LEAVING).await
    }

    /// Returns the engines at which the run can resume, in the order in which they are asked; none
    /// if its own engine may still execute it.
    fn places(
        &self,
        halt: Halt,
        reason: &'static str,
        source: &Arc<Endpoint>,
        takeover: Takeover,
    ) -> Vec<Place> {
        let target = takeover.engine;
        let at_target = |replica, means| Place {
            engine: Arc::clone(&target),
            backup: takeover.backup.clone(),
            replica,
            means,
        };
        let backup = || Replica {
            holder: target.address,
            handle: self.job.attempt.clone(),
        };
        let at_source = |handle| {
            // An engine that is leaving accepts no requests.
            takeover.source_live.then(|| Place {
                engine: Arc::clone(source),
                backup: Some(Arc::clone(&target)),
                replica: Replica {
                    holder: source.address,
                    handle,
                },
                means: "kept",
            })
        };
        match halt {
            Halt::Moved(handle) => {
                let replica = Replica {
                    holder: source.address,
                    handle: handle.clone(),
                };
                let moved = std::iter::once(at_target(replica, "move"));
                moved.chain(at_source(handle)).collect()
            }
            Halt::Kept(handle) => {
                let backed_up = std::iter::once(at_target(backup(), "backup"));
                backed_up.chain(at_source(handle)).collect()
            }
            Halt::Ended | Halt::Unanswered if reason != LEAVING => {
                vec![at_target(backup(), "backup")]
            }
            Halt::Ended | Halt::Unanswered | Halt::Running => Vec::new(),
        }
    }

    /// Makes `source` the engine of the run again, and `target` its backup engine.
    async fn roll_back(&self, source: &Endpoint, target: &Endpoint) {
        let rollback = Rollback(self.grant.run, source.id, target.id);
        // The pool ends only with the process.
        let _ = self.proxy.pool.send(rollback).await;
    }

    /// Asks the pool whether the retry budget allows another send.
    pub(crate) async fn may_send_again(&self) -> bool {
        if !self.job.is_sendable() {
            return false;
        }
        let allowed = self.proxy.pool.send(Retry(self.job.service)).await;
        allowed.is_ok_and(|decision| decision == shared_retry_budget::Decision::Retry)
    }

    /// Logs and counts a move of the run, given its means and the reason for it.
    pub(crate) fn record_move(
        &self,
        source: &Endpoint,
        engine: &Endpoint,
        started: Instant,
        (means, reason): (&'static str, &'static str),
        resumed: Result<(), Obstacle>,
    ) {
        let details = format!(
            "request={} from={} to={} means={means} reason={reason} event={} ms={} outcome={}",
            self.job.attempt,
            source.name,
            engine.name,
            self.splitter.last_number().unwrap_or(0),
            started.elapsed().as_millis(),
            resumed.err().map_or("resumed", Obstacle::name),
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
    ) -> Result<(), Obstacle> {
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
        let answer = opened.map_err(|failure| match failure {
            Failure::Refused | Failure::Unreachable | Failure::Unwritten => Obstacle::Unsent,
            Failure::Partial | Failure::Broken | Failure::Silent => Obstacle::Unanswered,
        })?;
        let status = answer.response.status();
        let receipt = (codec.read_response)(status, answer.response.headers());
        if !receipt.answers(&self.job.attempt) {
            return Err(Obstacle::Unanswered);
        }
        if receipt.declined {
            return Err(Obstacle::Declined);
        }
        if status != StatusCode::OK {
            return Err(Obstacle::Unanswered);
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
