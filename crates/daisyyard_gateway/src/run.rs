//! Runs of the gateway at endpoints: where they are, what they occupy, and where they can go.

use std::sync::Arc;
use std::time::Instant;

use daisyyard_core::endpoint::{Endpoint, State};
use daisyyard_core::id::{EndpointId, RequestId};
use daisyyard_core::load::{Load, Need};
use daisyyard_core::pool::{Choice, Purpose, Signal};
use tokio::sync::mpsc;
use xtra::{Context, Handler};

use crate::message::{Abandon, Claim, Done, Escape, First, Grant, Hop, Notice, Undo, Way};
use crate::pool::Pool;

/// Requests that wait at most; a caller that would wait behind more is told to come back.
const MOST_WAITING: usize = 512;

/// A run of this gateway at an endpoint.
#[derive(Debug)]
pub(crate) struct Run {
    /// Endpoint that runs the request.
    pub(crate) endpoint: EndpointId,
    /// Engine with a copy of the run's memory.
    backup: Option<EndpointId>,
    /// Engines that could not take a copy.
    refused: Vec<EndpointId>,
    /// What the request needs.
    need: Need,
    /// Whether the first token is awaited.
    prefill: bool,
    /// Tells the task of the request what happens to the endpoint.
    pub(crate) notices: mpsc::Sender<Notice>,
}

impl Pool {
    /// Grants an endpoint, or returns the claim if it must wait.
    pub(crate) fn grant(&mut self, claim: Claim, now: Instant) -> Option<Claim> {
        if claim.reply.is_closed() {
            return None;
        }
        let choice = self.endpoints.choose(&claim.need, &claim.excluded, now);
        let Choice::Send {
            endpoint,
            backup,
            memory_share: filled,
        } = choice
        else {
            return Some(claim);
        };
        let run = self.next;
        self.next += 1;
        let (notices, receiver) = mpsc::channel(1);
        let record = Run {
            endpoint: endpoint.id,
            backup: backup.as_ref().map(|backup| backup.id),
            refused: Vec::new(),
            need: claim.need,
            prefill: true,
            notices,
        };
        self.load(&record, true);
        self.runs.insert(run, record);
        self.changed.notify_one();
        let grant = Grant {
            run,
            endpoint,
            backup,
            filled,
            notices: receiver,
            sign: Signal::Neutral,
            pool: self.address.clone(),
        };
        // A caller that has left drops the grant, which frees the room again.
        let _ = claim.reply.send(grant);
        None
    }

    /// Adds the load of a run to its endpoints, or takes it away.
    fn load(&mut self, run: &Run, add: bool) {
        let one = Load {
            runs: 1,
            tokens: run.need.tokens(),
            prefill: if run.prefill { run.need.prompt } else { 0 },
        };
        let copy = Load {
            runs: 0,
            prefill: 0,
            ..one
        };
        self.endpoints
            .update_load(run.endpoint, |load| shift(load, one, add));
        if let Some(backup) = run.backup {
            self.endpoints
                .update_load(backup, |load| shift(load, copy, add));
        }
    }

    /// Changes a run and books its load anew; returns nothing if the run has ended.
    fn rebook<T>(
        &mut self,
        id: RequestId,
        change: impl FnOnce(&mut Self, &mut Run) -> T,
    ) -> Option<T> {
        let mut run = self.runs.remove(&id)?;
        self.load(&run, false);
        let result = change(self, &mut run);
        self.load(&run, true);
        self.runs.insert(id, run);
        Some(result)
    }

    /// Chooses an engine for a copy of a run, other than the one that runs it.
    fn spare(&mut self, run: &Run, room: Purpose) -> Option<Arc<Endpoint>> {
        let now = Instant::now();
        let mut excluded = run.refused.clone();
        excluded.push(run.endpoint);
        let zone = self.endpoints.endpoint(run.endpoint).map(|one| one.zone.id);
        self.endpoints
            .choose_engine(&run.need, zone, &excluded, room, now)
    }

    /// Returns an endpoint unless it leaves or has left.
    fn live(&self, id: EndpointId) -> Option<Arc<Endpoint>> {
        let endpoint = self.endpoints.endpoint(id)?;
        (endpoint.state == State::Live).then(|| Arc::clone(endpoint))
    }
}

/// Adds a load to another, or takes it away.
fn shift(load: &mut Load, change: Load, add: bool) {
    if add {
        load.runs += change.runs;
        load.tokens += change.tokens;
        load.prefill += change.prefill;
    } else {
        // An endpoint that was unlisted for long has forgotten the loads of its runs.
        load.runs = load.runs.saturating_sub(change.runs);
        load.tokens = load.tokens.saturating_sub(change.tokens);
        load.prefill = load.prefill.saturating_sub(change.prefill);
    }
}

impl Handler<Claim> for Pool {
    type Return = ();

    async fn handle(&mut self, message: Claim, _: &mut Context<Self>) {
        let now = Instant::now();
        let due = message.due;
        let service = message.need.service;
        // A request does not overtake those that wait.
        let waits = self.backlog.any(|claim| claim.need.service == service);
        let claim = if waits {
            Some(message)
        } else {
            self.grant(message, now)
        };
        let Some(claim) = claim else {
            return;
        };
        // A claim that is dropped is refused.
        if self.backlog.len() < MOST_WAITING {
            self.backlog.push(due, claim);
            self.schedule();
        }
    }
}

impl Handler<Done> for Pool {
    type Return = ();

    async fn handle(&mut self, Done(id, sign): Done, _: &mut Context<Self>) {
        if let Some(run) = self.runs.remove(&id) {
            self.load(&run, false);
            self.endpoints.observe(run.endpoint, sign, Instant::now());
            if matches!(sign, Signal::Lost | Signal::Refused) {
                self.changed.notify_one();
            }
            self.schedule();
        }
    }
}

impl Handler<First> for Pool {
    type Return = ();

    async fn handle(&mut self, First(id): First, _: &mut Context<Self>) {
        self.rebook(id, |_, run| run.prefill = false);
    }
}

impl Handler<Hop> for Pool {
    type Return = Option<(Arc<Endpoint>, Option<Arc<Endpoint>>)>;

    async fn handle(&mut self, Hop(id): Hop, _: &mut Context<Self>) -> Self::Return {
        let hop = |pool: &mut Self, run: &mut Run| {
            let target = run.backup.take().and_then(|id| pool.live(id))?;
            run.endpoint = target.id;
            run.prefill = false;
            let spare = if run.need.backup {
                pool.spare(run, Purpose::Copy)
            } else {
                None
            };
            run.backup = spare.as_ref().map(|spare| spare.id);
            Some((target, spare))
        };
        self.rebook(id, hop)?
    }
}

impl Handler<Undo> for Pool {
    type Return = ();

    async fn handle(&mut self, Undo(id, engine, backup): Undo, _: &mut Context<Self>) {
        self.rebook(id, |_, run| {
            run.endpoint = engine;
            run.backup = Some(backup);
        });
    }
}

impl Handler<Abandon> for Pool {
    type Return = ();

    async fn handle(&mut self, Abandon(id): Abandon, _: &mut Context<Self>) {
        self.rebook(id, |_, run| run.refused.extend(run.backup.take()));
    }
}

impl Handler<Escape> for Pool {
    type Return = Way;

    async fn handle(&mut self, Escape(id): Escape, _: &mut Context<Self>) -> Way {
        let escape = |pool: &mut Self, run: &mut Run| {
            if run.backup.and_then(|id| pool.live(id)).is_some() {
                return Way::Backup;
            }
            let spare = pool.spare(run, Purpose::Run);
            run.backup = spare.as_ref().map(|spare| spare.id);
            spare.map_or(Way::Nowhere, Way::Move)
        };
        self.rebook(id, escape).unwrap_or(Way::Nowhere)
    }
}
