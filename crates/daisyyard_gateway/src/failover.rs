//! Continues a run at another engine, once its own engine has stopped it.

use std::sync::Arc;
use std::time::{Duration, Instant};

use daisyyard_core::continuation::{
    Cause, Holder, Obstacle, Place, Proof, Situation, Standby, Step, Stop,
};
use daisyyard_core::endpoint::Endpoint;
use daisyyard_core::pool::Signal;
use daisyyard_core::shared_retry_budget;
use daisyyard_core::stream_end::Effect;
use hyper::StatusCode;

use crate::codec::Replica;
use crate::event::Event;
use crate::halt::Halt;
use crate::message::{Confirm, Failover, GiveBack, Retry, ReturnRetry, Rollback, Takeover};
use crate::migration::{RETRY_INTERVAL, State};
use crate::relay::{LEAVING, Relay, SILENT, Upstream};

/// Timeout for an engine to resume a run.
const RESUME_TIMEOUT: Duration = Duration::from_secs(3);
/// Maximum time for which an engine may execute a run beside one that is asked to resume it.
const MAX_OVERLAP: Duration = Duration::from_millis(250);
/// Maximum number of engines to which one stopped run is moved until one continues it.
const MAX_TARGETS: usize = 3;

/// A run that another engine is to continue.
#[derive(Debug)]
struct Departure {
    /// Engine of the run, as it was when it took the run.
    source: Arc<Endpoint>,
    /// Reason for the log.
    reason: &'static str,
    /// When the failover began.
    started: Instant,
}

/// Returns the cause of a failover for the decision about it.
fn cause(reason: &'static str) -> Cause {
    match reason {
        LEAVING => Cause::Leaving,
        SILENT => Cause::Silent,
        _ => Cause::Broken,
    }
}

impl Relay {
    /// Stops the run at its engine and resumes it at the one that holds a copy of it or receives one;
    /// returns whether the stream continues at either engine.
    pub(crate) async fn fail_over(&mut self, reason: &'static str) -> bool {
        let departure = Departure {
            source: Arc::clone(&self.grant.endpoint),
            reason,
            started: Instant::now(),
        };
        let cause = cause(reason);
        let migrating = !matches!(self.migration, State::Idle);
        let step = self.leave(&departure, cause).await;
        if step == Step::Stay && cause == Cause::Leaving && matches!(self.migration, State::Idle) {
            self.migration = State::Due(Instant::now() + RETRY_INTERVAL);
        }
        if step == Step::Stay && !migrating && cause == Cause::Silent {
            // A silent engine does not leave, so that its run is not moved further.
            self.migration = State::Idle;
        }
        // The stream of an engine that is leaving or silent stays open until another one resumes it.
        match step {
            Step::Resume(_) => true,
            Step::Stay => self.upstream.is_some(),
            Step::Retarget | Step::Restart | Step::End => false,
        }
    }

    /// Moves the run to one target after the other; returns what follows, which is `Resume` if an engine
    /// has resumed the run.
    async fn leave(&mut self, departure: &Departure, cause: Cause) -> Step {
        let mut step = Step::Retarget;
        for number in 0..MAX_TARGETS {
            let takeover = self.take_over(departure, cause, number).await;
            let Some(takeover) = takeover else {
                return match cause {
                    Cause::Broken => Step::Restart,
                    Cause::Leaving | Cause::Silent => Step::Stay,
                };
            };
            // A run is not stopped if nothing may be sent that resumes it.
            if !self.may_send_again().await {
                let (source, target) = (&departure.source, &takeover.engine);
                let log = (Place::Target.name(), departure.reason);
                let refused = Err(Obstacle::NotAllowed);
                self.record_move(source, target, departure.started, log, refused);
                self.roll_back(departure, takeover.standby).await;
                return match cause {
                    Cause::Broken => Step::End,
                    Cause::Leaving | Cause::Silent => Step::Stay,
                };
            }
            step = self.move_to(departure, cause, takeover).await;
            if step != Step::Retarget {
                return step;
            }
        }
        step
    }

    /// Asks the pool for the engine that continues the run, and closes a stream that has ended.
    async fn take_over(
        &mut self,
        departure: &Departure,
        cause: Cause,
        number: usize,
    ) -> Option<Takeover> {
        let once = self.runs_left == 0;
        let failover = Failover {
            run: self.grant.run,
            // The health of the previous endpoint is updated once.
            signal: if number == 0 {
                self.grant.signal
            } else {
                Signal::Neutral
            },
            source: Holder::of(&departure.source),
            // A run that may start anew is moved by `restart`, if its engine still executes it.
            moves: self.supports_moves() && (number > 0 || (once && cause == Cause::Broken)),
        };
        let takeover = self.proxy.pool.send(failover).await.ok().flatten();
        if cause == Cause::Broken {
            self.upstream = None;
        }
        takeover
    }

    /// Stops the run at its engine, and asks for its continuation at one place after the other; returns
    /// what follows, which is `Resume` if an engine has resumed the run.
    async fn move_to(&mut self, departure: &Departure, cause: Cause, takeover: Takeover) -> Step {
        let (source, target) = (&departure.source, Arc::clone(&takeover.engine));
        let repeatable = self.runs_left > 0;
        let proof = takeover.standby.proof(&target, Instant::now());
        // A broken-off run without a copy has nothing to lose by waiting for its engine.
        let hopeless = cause == Cause::Broken && proof == Proof::None && !repeatable;
        let patient = cause == Cause::Leaving || hopeless;
        let halt = self.halt(source, &target, patient).await;
        let situation = Situation {
            cause,
            proof,
            stop: halt.stop(),
            source_open: takeover.source_open,
            repeatable,
        };
        if matches!(halt.stop(), Stop::Moved | Stop::Kept) {
            // Freeing an earlier copy could free the memory of the stopped run.
            self.unused_copy = None;
        }
        let mut asked = false;
        let mut step = situation.begin();
        while let Step::Resume(place) = step {
            let resumed = self
                .resume_at(place, &halt, departure, &takeover, asked)
                .await;
            let engine = if place == Place::Source {
                source
            } else {
                &target
            };
            let log = (place.name(), departure.reason);
            self.record_move(source, engine, departure.started, log, resumed);
            match resumed {
                Ok(()) => {
                    if place == Place::Backup {
                        self.free_copies();
                    }
                    self.unused_copy = None;
                    if place == Place::Source {
                        let backup = self.keeps_backup().then(|| Holder::of(&target));
                        let standby = backup.map_or(Standby::None, Standby::Ordered);
                        self.roll_back(departure, standby).await;
                    }
                    self.switch_to(Arc::clone(engine)).await;
                    return step;
                }
                Err(obstacle) => {
                    asked = true;
                    if matches!(obstacle, Obstacle::Unsent | Obstacle::Cold) {
                        self.return_send().await;
                    }
                    if obstacle == Obstacle::Unanswered {
                        self.runs_left = self.runs_left.saturating_sub(1);
                        if matches!(halt.stop(), Stop::Moved | Stop::Kept) {
                            // The source has stopped the run, and the engine that was asked may go on
                            // with it, so that no other one may.
                            self.upstream = None;
                        }
                    }
                    step = situation.fail(place, obstacle);
                }
            }
        }
        if !asked {
            self.return_send().await;
        }
        self.roll_back(departure, takeover.standby).await;
        // An engine that did not answer may end. A copy that was made before is used then.
        let refused = match halt.stop() {
            Stop::Kept => true,
            // The copy at the target may be all that is left of a run that was stopped.
            Stop::Running => cause == Cause::Leaving && self.effect() != Effect::Possible,
            _ => false,
        };
        if asked || refused {
            self.abandon_target().await;
        }
        step
    }

    /// Asks for the continuation of the run at a place, unless the engine there has been started anew.
    async fn resume_at(
        &mut self,
        place: Place,
        halt: &Halt,
        departure: &Departure,
        takeover: &Takeover,
        asked: bool,
    ) -> Result<(), Obstacle> {
        let (source, target) = (&departure.source, &takeover.engine);
        let from_source = |handle: &str| Replica {
            holder: source.address,
            handle: handle.to_owned(),
        };
        let replica = match (place, halt) {
            (Place::Target | Place::Source, Halt::Moved(handle) | Halt::Kept(handle)) => {
                from_source(handle)
            }
            (Place::Copied, _) => from_source(takeover.standby.handle().unwrap_or_default()),
            (Place::Backup, _) => Replica {
                holder: target.address,
                handle: self.job.attempt.clone(),
            },
            _ => return Err(Obstacle::Unsent),
        };
        let (engine, backup) = match place {
            Place::Source => (source, self.keeps_backup().then_some(target)),
            _ => (target, takeover.backup.as_ref()),
        };
        // A copy is lost when its engine starts anew, which may happen while the run is stopped.
        let confirm = Confirm(Holder::of(engine));
        if !self.proxy.pool.send(confirm).await.unwrap_or(false) {
            return Err(Obstacle::Unsent);
        }
        if asked && !self.may_send_again().await {
            return Err(Obstacle::NotAllowed);
        }
        let backup = backup.map(AsRef::as_ref);
        self.resume(engine, backup, Some(replica), RESUME_TIMEOUT)
            .await
    }

    /// Returns whether the run has backups.
    fn keeps_backup(&self) -> bool {
        self.job.need().backup
    }

    /// Makes the source the engine of the run again, with what is known of its copy.
    async fn roll_back(&self, departure: &Departure, standby: Standby) {
        let rollback = Rollback(self.grant.run, departure.source.id, standby);
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

    /// Gives back a send that the retry budget allowed and that has reached no engine. A run at a silent
    /// or leaving engine is asked for again and again, and must not use up the budget of the others.
    async fn return_send(&self) {
        // The pool ends only with the process.
        let _ = self.proxy.pool.send(ReturnRetry(self.job.service)).await;
    }

    /// Logs and counts a move of the run, given its means and the reason for it.
    pub(crate) fn record_move(
        &mut self,
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
        let unsent = [Obstacle::NotAllowed, Obstacle::Unsent, Obstacle::Cold];
        self.reached |=
            resumed.is_ok() || resumed.is_err_and(|obstacle| !unsent.contains(&obstacle));
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
        let place = self.proxy.enter(engine, timeout).await;
        let (place, placed_at) = place.ok_or(Obstacle::Cold)?;
        let leave_by = place.and_then(|place| place.leave_by);
        let zones = self.proxy.zones.as_of(placed_at);
        let open = zones.send(engine, backup, request, timeout, leave_by);
        let mut open = std::pin::pin!(open);
        // Two engines may execute the same run only for a short time.
        let opened_early = tokio::time::timeout(MAX_OVERLAP, open.as_mut()).await;
        let opened = if let Ok(opened) = opened_early {
            opened
        } else {
            self.upstream = None;
            open.await
        };
        let answer = match opened {
            Ok(answer) => answer,
            Err(unsent) if unsent.is_certain() => {
                if let Some(place) = place {
                    // The pool ends only with the process.
                    let _ = self.proxy.pool.send(GiveBack(engine.id, place)).await;
                }
                return Err(Obstacle::Unsent);
            }
            Err(_) => return Err(Obstacle::Unanswered),
        };
        let status = answer.response.status();
        let receipt = (codec.read_response)(status, answer.response.headers());
        self.proxy.report_statements(engine, &receipt).await;
        if !receipt.answers(&self.job.attempt) {
            return Err(Obstacle::Unanswered);
        }
        self.proxy.report_limit(engine, &receipt, placed_at).await;
        if receipt.declined {
            return Err(Obstacle::Declined);
        }
        if status != StatusCode::OK || !receipt.signed {
            return Err(Obstacle::Unanswered);
        }
        self.splitter.discard_partial();
        let (parts, incoming) = answer.response.into_parts();
        self.upstream = Some(Upstream::new(&parts.headers, incoming, answer.driver));
        Ok(())
    }

    /// Makes the engine that resumed the run the current one.
    pub(crate) async fn switch_to(&mut self, engine: Arc<Endpoint>) {
        self.orders.entry(engine.id).or_default().reset();
        self.grant.endpoint = engine;
        self.grant.signal = Signal::Neutral;
        self.migration = State::Idle;
        self.taken = false;
        self.gaps.reset();
        self.first_data_at = Some(Instant::now());
        self.reported_for = Duration::ZERO;
        // Notices from before the failover are about the previous engine.
        while self.grant.notices.try_recv().is_ok() {}
        // Among them may be that the new engine has begun to leave.
        let confirm = Confirm(Holder::of(&self.grant.endpoint));
        if !self.proxy.pool.send(confirm).await.unwrap_or(true) {
            self.migration = State::Due(Instant::now());
        }
    }
}
