//! Runs of this gateway that go on at another engine: what is known of their copies, and the plan for
//! those at leaving engines.

use std::time::{Duration, Instant};

use daisyyard_core::choice::{Choice, Purpose};
use daisyyard_core::continuation::{Holder, Standby};
use daisyyard_core::crash::Verdict;
use daisyyard_core::id::{EndpointId, RequestId};
use daisyyard_core::migration::{self, Action, LeavingRun, Stage};
use xtra::{Context, Handler};

use crate::message::{
    Abandon, Confirm, Copied, Failover, Migrate, Outlook, Place, Plan, Restart, Rollback, Taken,
    Takeover,
};
use crate::pool::Pool;
use crate::run::{Run, order_backup};

impl Pool {
    /// Returns what is to be done with a run at a leaving engine, among all runs of this gateway there.
    fn action(&self, id: RequestId, now: Instant) -> Option<Action> {
        let endpoint = self.runs.get(&id)?.endpoint;
        let there = self.runs.iter();
        let there = there.filter(|(_, run)| run.endpoint == endpoint);
        let leaving: Vec<LeavingRun> = there
            .filter_map(|(id, run)| {
                Some(LeavingRun {
                    run: *id,
                    run_state: run.state.clone()?,
                    stage: self.stage(&run.standby),
                })
            })
            .collect();
        let left = self.time_left(endpoint, now);
        let actions = migration::plan(&leaving, left, self.endpoints.pace(endpoint));
        let action = actions.into_iter().find(|(run, _)| *run == id);
        action.map(|(_, action)| action)
    }

    /// Returns how far the memory of a run with this copy is secured.
    fn stage(&self, standby: &Standby) -> Stage {
        let holds = standby.holder().is_some_and(|holder| self.is_same(holder));
        match standby {
            Standby::Ordered(_) | Standby::Backup(_) if holds => Stage::BackedUp,
            Standby::Moving(_) if holds => Stage::Copying,
            Standby::Moved(..) if holds => Stage::Copied,
            _ => Stage::Unsecured,
        }
    }

    /// Returns the time that a leaving engine is expected to have.
    fn time_left(&self, endpoint: EndpointId, now: Instant) -> Duration {
        let end = self.endpoints.expected_end(endpoint);
        end.map_or(Duration::ZERO, |end| end.saturating_duration_since(now))
    }

    /// Returns whether an engine takes part in the service and has not been started anew.
    pub(crate) fn is_same(&self, holder: Holder) -> bool {
        self.live(holder.engine)
            .is_some_and(|endpoint| Holder::of(&endpoint) == holder)
    }
}

impl Handler<Failover> for Pool {
    type Return = Option<Takeover>;

    async fn handle(&mut self, message: Failover, _: &mut Context<Self>) -> Self::Return {
        let (id, signal) = (message.run, message.signal);
        let fail_over = |pool: &mut Self, run: &mut Run| {
            pool.observe(run.endpoint, signal);
            let now = Instant::now();
            if pool.evidence.verdict(&run.contents, now) != Verdict::Allow {
                return None;
            }
            let standby = std::mem::take(&mut run.standby);
            let known = standby.holder().and_then(|holder| pool.live(holder.engine));
            let (engine, standby) = match known {
                Some(engine) => (engine, standby),
                None if message.moves => {
                    let engine = pool.choose_backup(run, Purpose::Run)?;
                    let standby = Standby::Moving(Holder::of(&engine));
                    (engine, standby)
                }
                None => return None,
            };
            let source_open = pool.is_same(message.source);
            run.endpoint = engine.id;
            run.sent_at = now;
            run.awaits_first_token = false;
            let backup = if run.need.backup {
                pool.choose_backup(run, Purpose::Copy)
            } else {
                None
            };
            run.standby = order_backup(backup.as_ref());
            Some(Takeover {
                engine,
                standby,
                backup,
                source_open,
            })
        };
        self.update_run(id, fail_over)?
    }
}

impl Handler<Restart> for Pool {
    type Return = Place;

    async fn handle(&mut self, Restart(id, signal): Restart, _: &mut Context<Self>) -> Place {
        let restart = |pool: &mut Self, run: &mut Run| {
            pool.observe(run.endpoint, signal);
            run.standby = Standby::None;
            if !run.rejected.contains(&run.endpoint) {
                run.rejected.push(run.endpoint);
            }
            let now = Instant::now();
            if pool.evidence.verdict(&run.contents, now) != Verdict::Allow {
                return Place::Missing;
            }
            match pool.endpoints.choose(&run.need, &run.rejected, now) {
                Choice::Send {
                    endpoint, backup, ..
                } => {
                    run.endpoint = endpoint.id;
                    run.standby = order_backup(backup.as_ref());
                    run.sent_at = now;
                    run.awaits_first_token = true;
                    Place::Engine(endpoint, backup)
                }
                Choice::Wait | Choice::TurnedAway(_) => Place::Full,
                Choice::Missing | Choice::Evacuated => Place::Missing,
            }
        };
        let place = self.update_run(id, restart).unwrap_or(Place::Missing);
        self.changed.notify_one();
        place
    }
}

impl Handler<Rollback> for Pool {
    type Return = ();

    async fn handle(&mut self, message: Rollback, _: &mut Context<Self>) {
        let Rollback(id, engine, standby) = message;
        self.update_run(id, |_, run| {
            run.endpoint = engine;
            run.standby = standby;
        });
    }
}

impl Handler<Abandon> for Pool {
    type Return = ();

    async fn handle(&mut self, Abandon(id): Abandon, _: &mut Context<Self>) {
        self.update_run(id, |_, run| {
            let standby = std::mem::take(&mut run.standby);
            run.rejected
                .extend(standby.holder().map(|holder| holder.engine));
        });
    }
}

impl Handler<Confirm> for Pool {
    type Return = bool;

    async fn handle(&mut self, Confirm(holder): Confirm, _: &mut Context<Self>) -> bool {
        self.is_same(holder)
    }
}

impl Handler<Taken> for Pool {
    type Return = ();

    async fn handle(&mut self, Taken(id): Taken, _: &mut Context<Self>) {
        self.update_run(id, |_, run| run.standby.take_run());
    }
}

impl Handler<Copied> for Pool {
    type Return = Outlook;

    async fn handle(&mut self, message: Copied, _: &mut Context<Self>) -> Outlook {
        let complete = |pool: &mut Self, run: &mut Run| {
            run.standby
                .complete(message.target, message.handle, message.until);
            let holder = run.standby.holder();
            Outlook {
                left: pool.time_left(run.endpoint, Instant::now()),
                target_open: holder
                    .is_some_and(|holder| pool.is_same(holder) && !pool.turns_away(holder.engine)),
            }
        };
        self.update_run(message.run, complete).unwrap_or(Outlook {
            left: Duration::ZERO,
            target_open: false,
        })
    }
}

impl Handler<Migrate> for Pool {
    type Return = Plan;

    async fn handle(&mut self, Migrate(id, run_state): Migrate, _: &mut Context<Self>) -> Plan {
        if let Some(run) = self.runs.get_mut(&id) {
            run.state = Some(run_state);
        }
        let action = self.action(id, Instant::now());
        let migrate = |pool: &mut Self, run: &mut Run| {
            if action != Some(Action::Move) {
                return Plan::Stay;
            }
            let known = match &run.standby {
                Standby::Moving(holder) | Standby::Moved(holder, ..) => Some(*holder),
                _ => None,
            };
            let known = known.filter(|holder| pool.is_same(*holder));
            if let Some(target) = known.and_then(|holder| pool.live(holder.engine)) {
                return Plan::Move(target);
            }
            let target = pool.choose_backup(run, Purpose::Run);
            run.standby = target
                .as_ref()
                .map_or(Standby::None, |target| Standby::Moving(Holder::of(target)));
            target.map_or(Plan::Stay, Plan::Move)
        };
        self.update_run(id, migrate).unwrap_or(Plan::Stay)
    }
}
