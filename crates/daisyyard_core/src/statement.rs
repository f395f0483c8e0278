//! What endpoints state about themselves in their answers to this node: that they leave, or that they
//! turn requests away for some time.
//!
//! A statement holds for one incarnation of an endpoint. It is newer than anything that the store or
//! other nodes say of this incarnation, so that neither can undo it.

use std::sync::Arc;
use std::time::{Duration, Instant};

use daisyyard_derive::key;

use crate::access::{Access, Reason};
use crate::candidate::Candidate;
use crate::endpoint::{Endpoint, Kind, State};
use crate::id::{EndpointId, ServiceId};
use crate::load::Need;
use crate::pool::Pool;
use crate::rate::Opening;

/// Share of the time for which an endpoint turns requests away after which one request may try it. An
/// earlier trial would rarely find it changed.
const TRIAL_SHARE: f64 = 0.5;
/// Time for which other nodes are told that an endpoint stated that it leaves. Within this time they
/// have read the entry of this incarnation, without which they cannot apply the report.
const REPORT_TIME: Duration = Duration::from_secs(10);
/// Time for which a leaving endpoint is remembered after it is no longer listed. An old entry of it
/// could be read again.
const RETENTION: Duration = Duration::from_mins(10);

/// Maximum number of other incarnations of an endpoint whose statements are kept.
const MAX_OTHERS: usize = 4;

/// What the incarnations of an endpoint have stated.
#[derive(Debug, Default)]
pub(crate) struct Statements {
    /// That of the incarnation of the entry.
    current: Statement,
    /// Those of others, the latest at the end. An old entry may bring their incarnation back.
    others: Vec<(u64, Statement)>,
}

/// What one incarnation of an endpoint has stated.
#[derive(Debug, Default)]
pub(crate) struct Statement {
    /// Whether the endpoint leaves.
    left: Option<Departure>,
    /// The latest time in which the endpoint turns requests away; it may have passed.
    closure: Option<Closure>,
    /// Whether an unusable time or limit was reported to the log.
    noted_unusable: bool,
    /// Whether the closure was reported to the log as ended.
    noted_open: bool,
}

/// When it became known that an endpoint states that it leaves.
#[derive(Debug, Clone, Copy)]
struct Departure {
    /// When it became known.
    at: Instant,
    /// Whether the endpoint has told this node, not another one.
    first_hand: bool,
}

/// Time in which an endpoint turns requests away.
#[derive(Debug, Clone, Copy)]
struct Closure {
    /// When it began.
    since: Instant,
    /// When it ends.
    until: Instant,
    /// When a request may try the endpoint.
    trial_at: Instant,
}

/// An incarnation of an endpoint that has stated that it leaves.
#[key]
pub struct Leaver {
    /// The endpoint.
    pub endpoint: EndpointId,
    /// The incarnation that leaves.
    pub incarnation: u64,
}

/// An endpoint to which requests that were placed before its statement must not leave any more.
#[key]
pub struct Barrier {
    /// The endpoint.
    pub endpoint: EndpointId,
    /// The incarnation that made the statement.
    pub incarnation: u64,
    /// When the statement began to apply and when it ends; none if the endpoint leaves.
    pub closed: Option<(Instant, Instant)>,
}

impl Barrier {
    /// Returns whether a request that was placed at a time must not leave to an endpoint now.
    #[must_use]
    pub fn stops(&self, endpoint: &Endpoint, placed_at: Option<Instant>, now: Instant) -> bool {
        let same = (self.endpoint, self.incarnation) == (endpoint.id, endpoint.incarnation);
        // A request that was placed later is a trial.
        let applies = |(since, until)| now < until && placed_at.is_none_or(|at| at < since);
        same && self.closed.is_none_or(applies)
    }
}

impl Statement {
    /// Returns whether the endpoint leaves.
    pub(crate) fn is_leaving(&self) -> bool {
        self.left.is_some()
    }

    /// Records that the endpoint leaves; returns whether this is new.
    fn leave(&mut self, first_hand: bool, now: Instant) -> bool {
        let known = self.left.is_some();
        let left = self.left.get_or_insert(Departure {
            at: now,
            first_hand,
        });
        left.first_hand |= first_hand;
        !known
    }

    /// Returns when the endpoint stops turning requests away; none if it does not.
    pub(crate) fn closed_until(&self, now: Instant) -> Option<Instant> {
        let until = self.closure.map(|closure| closure.until);
        until.filter(|until| *until > now)
    }

    /// Records that the endpoint turns requests away for some time; returns whether it was open before.
    fn close(&mut self, time: Duration, now: Instant) -> bool {
        let until = now + time;
        match &mut self.closure {
            Some(closure) if closure.until > now => {
                closure.until = closure.until.max(until);
                false
            }
            _ => {
                self.closure = Some(Closure {
                    since: now,
                    until,
                    trial_at: now + time.mul_f64(TRIAL_SHARE),
                });
                self.noted_open = false;
                true
            }
        }
    }

    /// Returns whether a request may try the endpoint while it turns others away.
    fn allows_trial(&self, now: Instant) -> bool {
        let closure = self.closure;
        closure.is_some_and(|closure| closure.trial_at <= now && now < closure.until)
    }

    /// Takes the trial. The next one may follow only after the end of all times that are known now, so that
    /// none of them sees two trials.
    fn take_trial(&mut self) {
        if let Some(closure) = &mut self.closure {
            closure.trial_at = closure.until;
        }
    }

    /// Returns what the statement forbids to requests that were placed before.
    fn barrier(&self, endpoint: EndpointId, incarnation: u64, now: Instant) -> Option<Barrier> {
        let closure = self.closure.filter(|closure| closure.until > now);
        let closed = if self.is_leaving() {
            None
        } else {
            let closure = closure?;
            Some((closure.since, closure.until))
        };
        Some(Barrier {
            endpoint,
            incarnation,
            closed,
        })
    }
}

impl Statements {
    /// Returns the statement of the incarnation of the entry.
    pub(crate) fn current(&self) -> &Statement {
        &self.current
    }

    /// Changes to the statement of the incarnation of an entry that replaces that of another one.
    fn replace(&mut self, known: u64, entry: u64) {
        let last = std::mem::take(&mut self.current);
        if known == entry {
            // Nothing tells the two starts apart but this change.
            return;
        }
        if let Some(index) = self.others.iter().position(|(id, _)| *id == entry) {
            self.current = self.others.remove(index).1;
        }
        self.keep(known, last);
    }

    /// Keeps the statement of another incarnation than that of the entry, and returns it.
    fn keep(&mut self, incarnation: u64, statement: Statement) -> &mut Statement {
        if self.others.len() == MAX_OTHERS {
            self.others.remove(0);
        }
        self.others.push((incarnation, statement));
        let last = self.others.len() - 1;
        &mut self.others[last].1
    }

    /// Returns the statement of an incarnation, given that of the entry.
    fn of(&mut self, incarnation: u64, entry: u64) -> &mut Statement {
        if incarnation == entry {
            return &mut self.current;
        }
        match self.others.iter().position(|(id, _)| *id == incarnation) {
            Some(index) => &mut self.others[index].1,
            None => self.keep(incarnation, Statement::default()),
        }
    }

    /// Returns all statements with their incarnations, given that of the entry.
    fn all(&self, entry: u64) -> impl Iterator<Item = (u64, &Statement)> {
        let others = self.others.iter().map(|(id, statement)| (*id, statement));
        std::iter::once((entry, &self.current)).chain(others)
    }

    /// Returns whether the endpoint must be remembered, given when it was last listed.
    pub(crate) fn are_kept(&self, unlisted_at: Instant, now: Instant) -> bool {
        let matters = |(_, statement): (u64, &Statement)| {
            statement.is_leaving() || statement.closed_until(now).is_some()
        };
        self.all(0).any(matters) && now.saturating_duration_since(unlisted_at) < RETENTION
    }
}

impl Candidate {
    /// Returns whether an entry describes another start of the endpoint than the one that made the
    /// statements. Without a stated incarnation, an entry after a deletion or with another address does.
    pub(crate) fn is_restart(&self, entry: &Endpoint) -> bool {
        let known = &self.endpoint;
        let unstated = entry.incarnation == 0 && known.incarnation == 0;
        let replaced = self.unlisted_at.is_some() || known.address != entry.address;
        known.incarnation != entry.incarnation || (unstated && replaced)
    }

    /// Returns whether this node has a place left in the rates of the endpoint.
    fn has_place(&self, now: Instant) -> bool {
        let cold = self.warmup.closed_until(now).is_some();
        let limited = self.throttle.share.opening(now) != Opening::Now;
        !cold && !limited && self.brittle_opening(0, now) == Opening::Now
    }

    /// Returns whether the endpoint is open but for requests that it turns away.
    fn is_turned_away(&self, now: Instant) -> bool {
        matches!(self.access(now), Access::Closed(Reason::TurnedAway, _))
    }
}

impl Pool {
    /// Records that an incarnation of an endpoint leaves, which it has stated in an answer to this node
    /// (`first_hand`) or another one; returns whether this is new and concerns the incarnation of the entry.
    pub fn learn_leaving(&mut self, leaver: Leaver, first_hand: bool, now: Instant) -> bool {
        let Some(candidate) = self.candidates.get_mut(&leaver.endpoint) else {
            return false;
        };
        let known = candidate.endpoint.incarnation;
        let statement = candidate.statements.of(leaver.incarnation, known);
        let is_new = statement.leave(first_hand, now);
        if !is_new || known != leaver.incarnation {
            return false;
        }
        if candidate.endpoint.state == State::Live {
            Arc::make_mut(&mut candidate.endpoint).state = State::Leaving;
            if candidate.endpoint.kind == Kind::Engine {
                let zone = candidate.endpoint.zone.id;
                self.wave.notice(leaver.endpoint, zone, now);
            }
        }
        true
    }

    /// Makes the statement of the incarnation of an entry the current one; returns whether this incarnation
    /// has stated that it leaves.
    pub(crate) fn keep_statement(&mut self, entry: &Endpoint) -> bool {
        let Some(candidate) = self.candidates.get_mut(&entry.id) else {
            return false;
        };
        if candidate.is_restart(entry) {
            let known = candidate.endpoint.incarnation;
            candidate.statements.replace(known, entry.incarnation);
        }
        candidate.statements.current().is_leaving()
    }

    /// Records that an incarnation of an endpoint turns requests away for some time; returns until when
    /// and whether it was open before, or none if the incarnation is not the known one.
    pub fn turn_away(
        &mut self,
        id: EndpointId,
        incarnation: u64,
        time: Duration,
        now: Instant,
    ) -> Option<(Instant, bool)> {
        let candidate = self.candidates.get_mut(&id)?;
        let known = candidate.endpoint.incarnation;
        let statement = candidate.statements.of(incarnation, known);
        let was_open = !time.is_zero() && statement.close(time, now);
        let until = statement.closed_until(now)?;
        (incarnation == known).then_some((until, was_open))
    }

    /// Records that an incarnation of an endpoint stated an unusable time or limit; returns whether this is
    /// its first.
    pub fn note_unusable(&mut self, id: EndpointId, incarnation: u64) -> bool {
        let candidate = self.candidates.get_mut(&id);
        candidate.is_some_and(|candidate| {
            let known = candidate.endpoint.incarnation;
            let statement = candidate.statements.of(incarnation, known);
            !std::mem::replace(&mut statement.noted_unusable, true)
        })
    }

    /// Returns the incarnations to tell other nodes of, which stated to this node that they leave.
    pub fn leavers(&self, now: Instant) -> impl Iterator<Item = Leaver> {
        let recent = move |left: &Departure| {
            left.first_hand && now.saturating_duration_since(left.at) < REPORT_TIME
        };
        let candidates = self.candidates.iter();
        candidates.flat_map(move |(id, candidate)| {
            let all = candidate.statements.all(candidate.endpoint.incarnation);
            let leave = all.filter(move |(_, it)| it.left.as_ref().is_some_and(recent));
            leave.map(|(incarnation, _)| Leaver {
                endpoint: *id,
                incarnation,
            })
        })
    }

    /// Returns the endpoints to which requests that were placed before must not leave any more.
    pub fn barriers(&self, now: Instant) -> Vec<Barrier> {
        let candidates = self.candidates.iter();
        let barriers = candidates.flat_map(|(id, candidate)| {
            let all = candidate.statements.all(candidate.endpoint.incarnation);
            all.filter_map(|(incarnation, it)| it.barrier(*id, incarnation, now))
        });
        barriers.collect()
    }

    /// Returns the endpoints that have stopped turning requests away since the last call.
    pub fn take_reopened(&mut self, now: Instant) -> Vec<Arc<Endpoint>> {
        let reopened = self.candidates.values_mut().filter_map(|candidate| {
            let statement = &mut candidate.statements.current;
            let ended = statement
                .closure
                .is_some_and(|closure| closure.until <= now);
            (ended && !std::mem::replace(&mut statement.noted_open, true))
                .then(|| Arc::clone(&candidate.endpoint))
        });
        reopened.collect()
    }

    /// Returns when the first endpoint of a service opens that could serve a request, if all that are not
    /// excluded turn requests away; none otherwise. Excluded endpoints count for the time, because the
    /// caller may come back.
    pub fn first_opening(
        &self,
        service: ServiceId,
        excluded: &[EndpointId],
        now: Instant,
    ) -> Option<Instant> {
        let mut first: Option<Instant> = None;
        let mut turned_away = false;
        for (id, candidate) in &self.candidates {
            if !candidate.serves(service, now) {
                continue;
            }
            let closed = candidate.is_turned_away(now);
            if !closed && !excluded.contains(id) {
                return None;
            }
            turned_away |= closed;
            let opens = match candidate.access(now) {
                Access::Closed(_, until) => until.unwrap_or(now),
                Access::Open => now,
            };
            first = Some(first.map_or(opens, |first| first.min(opens)));
        }
        first.filter(|_| turned_away)
    }

    /// Takes the trial of an endpoint that turns requests away and has room for the request, if one is
    /// left; it is meant for requests that nothing else can serve.
    pub(crate) fn try_closed(
        &mut self,
        need: &Need,
        excluded: &[EndpointId],
        now: Instant,
    ) -> Option<(Arc<Endpoint>, f64)> {
        let (_, candidate) = self.candidates.iter_mut().find(|(id, candidate)| {
            candidate.endpoint.service == need.service
                && !excluded.contains(id)
                && candidate.is_turned_away(now)
                && candidate.statements.current.allows_trial(now)
                && candidate.has_place(now)
                && candidate.fits(need, now)
        })?;
        candidate.statements.current.take_trial();
        let share = candidate.memory_share(need, now);
        Some((Arc::clone(&candidate.endpoint), share))
    }

    /// Takes the trial of one endpoint that turns requests away, for a run that no other endpoint can
    /// continue; returns whether one was left.
    pub fn try_one(&mut self, id: EndpointId, now: Instant) -> bool {
        let candidate = self.candidates.get_mut(&id);
        let candidate = candidate.filter(|candidate| {
            candidate.is_turned_away(now)
                && candidate.statements.current.allows_trial(now)
                && candidate.has_place(now)
        });
        candidate.is_some_and(|candidate| {
            candidate.statements.current.take_trial();
            true
        })
    }
}
