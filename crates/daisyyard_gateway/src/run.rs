//! Runs that this gateway has started: their engines, their load, and the engines that can take
//! over.

use std::sync::Arc;
use std::time::Instant;

use daisyyard_core::access::{Access, Reason};
use daisyyard_core::choice::{Choice, Purpose};
use daisyyard_core::continuation::{Holder, Standby};
use daisyyard_core::crash::Verdict;
use daisyyard_core::endpoint::{Endpoint, Kind};
use daisyyard_core::id::{EndpointId, Fingerprint, RequestId, ServiceId};
use daisyyard_core::load::{Load, Need};
use daisyyard_core::migration::RunState;
use daisyyard_core::pool::Signal;
use daisyyard_core::turn;
use tokio::sync::mpsc;
use xtra::{Context, Handler};

use crate::digest::early_interval;
use crate::message::{Claim, FirstToken, Grant, Notice, ObserveGaps, Placement, Release};
use crate::pool::Pool;
use crate::statement::refuse_turned_away;

/// Maximum number of waiting requests; a request beyond it is refused and may be retried later.
const MAX_WAITING_REQUESTS: usize = 512;

/// Upper end of the age of digests, in times of the least interval between two of them.
const DIGEST_AGE_FACTOR: u32 = 4;
/// Weight of the newest run in the expected time to the first token.
const LEAD_SMOOTHING: f64 = 0.1;

/// A run of this gateway at an endpoint.
#[derive(Debug)]
pub(crate) struct Run {
    /// Endpoint that runs the request.
    pub(crate) endpoint: EndpointId,
    /// Copy of the run's KV cache at another engine.
    pub(crate) standby: Standby,
    /// Engines that failed to take over the run.
    pub(crate) rejected: Vec<EndpointId>,
    /// Resources that the request needs.
    pub(crate) need: Need,
    /// Kind of the request.
    pub(crate) kind: turn::Kind,
    /// Memory that is to be moved, once the engine leaves.
    pub(crate) state: Option<RunState>,
    /// Fingerprints of what the caller asks for.
    pub(crate) contents: Arc<[Fingerprint]>,
    /// When the run was sent to its endpoint.
    pub(crate) sent_at: Instant,
    /// Whether the first token has not arrived yet.
    pub(crate) awaits_first_token: bool,
    /// Notifies the task of the request of changes of the endpoint.
    pub(crate) notices: mpsc::Sender<Notice>,
}

impl Pool {
    /// Reserves an endpoint for a claim, or returns the claim if it must wait.
    pub(crate) fn grant(&mut self, claim: Claim, now: Instant) -> Option<Claim> {
        if claim.reply.is_closed() {
            return None;
        }
        if let Verdict::Refuse(until) = self.evidence.verdict(&claim.contents, now) {
            // If the caller has disconnected, nobody needs the refusal.
            let _ = claim.reply.send(Placement::Refused(until - now));
            return None;
        }
        let unseen_runs = self.count_unseen_runs(claim.need.service, now);
        self.endpoints.set_unseen_runs(unseen_runs);
        let choice = self.endpoints.choose(&claim.need, &claim.excluded, now);
        if matches!(choice, Choice::Evacuated) {
            // If the caller has disconnected, nobody needs the refusal.
            let _ = claim.reply.send(Placement::Evacuated);
            return None;
        }
        if let Choice::TurnedAway(opens) = choice {
            refuse_turned_away(claim, opens, now);
            return None;
        }
        let Choice::Send {
            endpoint,
            backup,
            memory_share,
        } = choice
        else {
            return Some(self.note_cold_wait(claim, now));
        };
        let place = self.take_place(&endpoint, now);
        let (notices, receiver) = mpsc::channel(1);
        let record = Run {
            endpoint: endpoint.id,
            standby: order_backup(backup.as_ref()),
            rejected: Vec::new(),
            need: claim.need,
            state: None,
            kind: claim.ask.kind,
            contents: claim.contents,
            sent_at: now,
            awaits_first_token: true,
            notices,
        };
        let run = self.register(record);
        // A call to a plain endpoint ends before other gateways can use its load, and digests at the
        // starts of calls would overstate their number.
        if endpoint.kind == Kind::Engine {
            self.changed.notify_one();
        }
        let grant = Grant {
            run,
            endpoint,
            backup,
            memory_share,
            placed_at: now,
            place,
            notices: receiver,
            signal: Signal::Neutral,
            pool: self.address.clone(),
        };
        // If the caller has disconnected, the grant is dropped, which releases the capacity.
        let _ = claim.reply.send(Placement::Granted(grant));
        None
    }

    /// Adds a run and its load; returns its identifier.
    pub(crate) fn register(&mut self, record: Run) -> RequestId {
        let run = self.next_run;
        self.next_run += 1;
        self.apply_load(&record, true);
        self.runs.insert(run, record);
        run
    }

    /// Returns how many runs of a service other gateways are likely to have started since their last
    /// digests. A number that is too high costs less than one that is too low, and the rate of
    /// requests is that of the last seconds, so the age of digests is taken at its upper end.
    fn count_unseen_runs(&self, service: ServiceId, now: Instant) -> usize {
        let age = early_interval(self.members.serving_count() as u32) * DIGEST_AGE_FACTOR;
        (self.retry_budget.service_rate(service, now) * age.as_secs_f64()) as usize
    }

    /// Adds the load of a run to its endpoint and backup engine, or subtracts it.
    fn apply_load(&mut self, run: &Run, add: bool) {
        let run_load = Load {
            runs: 1,
            tokens: run.need.tokens(),
            prefill: if run.awaits_first_token {
                run.need.prompt
            } else {
                0
            },
        };
        // A copy of a move has a slot, in which the run continues; a backup has only memory.
        let has_slot = matches!(run.standby, Standby::Moving(_) | Standby::Moved(..));
        let backup_load = Load {
            runs: u32::from(has_slot),
            prefill: 0,
            ..run_load
        };
        self.endpoints
            .update_load(run.endpoint, |load| adjust(load, run_load, add));
        if let Some(holder) = run.standby.holder() {
            self.endpoints
                .update_load(holder.engine, |load| adjust(load, backup_load, add));
        }
    }

    /// Changes a run and the loads that it causes; returns `None` if the run has ended.
    pub(crate) fn update_run<T>(
        &mut self,
        id: RequestId,
        change: impl FnOnce(&mut Self, &mut Run) -> T,
    ) -> Option<T> {
        let mut run = self.runs.remove(&id)?;
        self.apply_load(&run, false);
        let result = change(self, &mut run);
        self.apply_load(&run, true);
        self.runs.insert(id, run);
        Some(result)
    }

    /// Chooses an engine for a copy of a run, other than its own and those that failed to take
    /// over.
    pub(crate) fn choose_backup(&mut self, run: &Run, purpose: Purpose) -> Option<Arc<Endpoint>> {
        let now = Instant::now();
        let mut excluded = run.rejected.clone();
        excluded.push(run.endpoint);
        let zone = self
            .endpoints
            .endpoint(run.endpoint)
            .map(|endpoint| endpoint.zone.id);
        self.endpoints
            .choose_engine(&run.need, zone, &excluded, purpose, now)
    }

    /// Updates the health of an endpoint, and reports a failure that concerns all gateways at once.
    pub(crate) fn observe(&mut self, endpoint: EndpointId, signal: Signal) {
        self.endpoints.observe(endpoint, signal, Instant::now());
        if matches!(signal, Signal::Lost | Signal::Refused) {
            self.changed.notify_one();
        }
    }

    /// Returns an endpoint that takes part in the service. One that is ejected, cold, limited, brittle
    /// or turns requests away counts, because it may still hold a run or a copy that no other endpoint has.
    pub(crate) fn live(&self, id: EndpointId) -> Option<Arc<Endpoint>> {
        match self.endpoints.access(id, Instant::now())? {
            Access::Open
            | Access::Closed(
                Reason::TurnedAway
                | Reason::Ejected
                | Reason::Cold
                | Reason::Limited
                | Reason::Brittle,
                _,
            ) => self.endpoints.endpoint(id).map(Arc::clone),
            Access::Closed(..) => None,
        }
    }
}

/// Returns what is known of a backup when the run is sent with the order for it.
pub(crate) fn order_backup(backup: Option<&Arc<Endpoint>>) -> Standby {
    backup.map_or(Standby::None, |backup| Standby::Ordered(Holder::of(backup)))
}

/// Adds a load to another one, or subtracts it.
fn adjust(load: &mut Load, change: Load, add: bool) {
    if add {
        load.runs += change.runs;
        load.tokens += change.tokens;
        load.prefill += change.prefill;
    } else {
        // The loads of an endpoint are forgotten if it is unlisted for a long time.
        load.runs = load.runs.saturating_sub(change.runs);
        load.tokens = load.tokens.saturating_sub(change.tokens);
        load.prefill = load.prefill.saturating_sub(change.prefill);
    }
}

impl Handler<Claim> for Pool {
    type Return = ();

    async fn handle(&mut self, message: Claim, _: &mut Context<Self>) {
        let now = Instant::now();
        let Some(message) = self.place_turned_away(message, now) else {
            return;
        };
        let Some(message) = self.refuse_limited(message, now) else {
            return;
        };
        if self.admission.is_some() {
            self.admit(message, now);
            return;
        }
        let schedule = message.schedule;
        let service = message.need.service;
        // A request must not overtake those that already wait for the same service, unless it comes
        // before them by its priority or because it is short.
        let waits = self
            .backlog
            .any(|waiting, claim| claim.need.service == service && !schedule.overtakes(waiting));
        let claim = if waits {
            Some(message)
        } else {
            self.grant(message, now)
        };
        let Some(claim) = claim else {
            return;
        };
        // Dropping a claim refuses the request.
        if self.backlog.len() < MAX_WAITING_REQUESTS {
            self.backlog.push(schedule, claim);
            self.schedule();
        }
    }
}

impl Handler<Release> for Pool {
    type Return = ();

    async fn handle(&mut self, Release(id, signal): Release, _: &mut Context<Self>) {
        if let Some(run) = self.runs.remove(&id) {
            self.apply_load(&run, false);
            if let Some(admission) = &mut self.admission {
                admission.observe_hold(run.kind, run.sent_at.elapsed());
            }
            self.observe(run.endpoint, signal);
            if signal == Signal::Answered {
                self.record_proof(&run.contents);
            }
            self.schedule();
        }
    }
}

impl Handler<FirstToken> for Pool {
    type Return = ();

    async fn handle(&mut self, FirstToken(id): FirstToken, _: &mut Context<Self>) {
        let observe = |pool: &mut Self, run: &mut Run| {
            run.awaits_first_token = false;
            if let Some(admission) = &mut pool.admission {
                admission.observe_lead(run.kind, run.sent_at.elapsed());
            }
            let lead = pool.leads.entry(run.need.service).or_default();
            *lead =
                lead.mul_f64(1.0 - LEAD_SMOOTHING) + run.sent_at.elapsed().mul_f64(LEAD_SMOOTHING);
        };
        self.update_run(id, observe);
    }
}

impl Handler<ObserveGaps> for Pool {
    type Return = ();

    async fn handle(&mut self, ObserveGaps(id, gaps): ObserveGaps, _: &mut Context<Self>) {
        if let Some(run) = self.runs.get(&id) {
            self.endpoints.observe_gaps(run.endpoint, &gaps);
        }
    }
}
