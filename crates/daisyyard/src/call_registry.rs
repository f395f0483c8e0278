//! The actor of the call registry, which makes sure that a call with an idempotency key runs at
//! most once.
//!
//! The registry is split into partitions, stored in the configuration service. The actor batches
//! the claims and outcomes of this node into writes of the partitions.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

use daisyyard_core::call::{Decision, Limits, Outcome, Partition, Reason, Step};
use daisyyard_core::call_record::{self, Answer, Attempt};
use daisyyard_core::id::{AccountId, Fingerprint, ServiceId};
use daisyyard_gateway::timer::{self, Tick};
use tokio::sync::oneshot;
use xtra::{Actor, Address, Context, Handler, Mailbox, WeakAddress};

use crate::call_store::{self, Reply};
use crate::event::{self, Event};

/// Minimum interval between writes of one partition; claims that arrive in between share the next
/// write.
const WRITE_PERIOD: Duration = Duration::from_millis(200);
/// Maximum interval between writes of one partition by this node while other nodes write it too;
/// it stays below [`CLAIM_TIMEOUT`], so that at least one write happens before a claim expires.
const MAX_WRITE_PERIOD: Duration = Duration::from_millis(1600);
/// Time after which an unconfirmed claim is withdrawn.
const CLAIM_TIMEOUT: Duration = Duration::from_secs(3);
/// Interval between checks for expired claims.
const TICK_PERIOD: Duration = Duration::from_millis(50);
/// Upper bound of the delay after the first failed call to the configuration service; it doubles
/// with each further failure.
const INITIAL_BACKOFF: Duration = Duration::from_millis(100);
/// Maximum delay after a failed call to the configuration service.
const MAX_BACKOFF: Duration = Duration::from_secs(10);
/// Consecutive failures after which a partition is reported as unavailable.
const FAILURES_BEFORE_REPORT: u32 = 3;

/// Owns this node's view of the partitions of the call registry.
#[derive(Debug, Actor)]
pub struct Registry {
    /// Address of the configuration service.
    store: SocketAddr,
    /// Partitions by number.
    slots: Vec<Slot>,
    /// Counts of calls to the configuration service.
    stats: Stats,
}

/// A partition with its pending claims and the schedule of its reads and writes.
#[derive(Debug)]
struct Slot {
    /// State machine of the partition.
    partition: Partition,
    /// Claims of this node that wait for a verdict.
    pending: HashMap<Attempt, PendingClaim>,
    /// Earliest time of the next round of calls.
    next_round: Instant,
    /// Interval between writes by this node; longer when other nodes write too.
    period: Duration,
    /// Whether a [`Wake`] message for the next round is scheduled.
    wake_scheduled: bool,
    /// Consecutive failures.
    failures: u32,
}

/// A claim that is not confirmed yet.
#[derive(Debug)]
struct PendingClaim {
    /// Receives the verdict.
    reply: oneshot::Sender<Verdict>,
    /// Time at which the claim is withdrawn.
    deadline: Instant,
}

/// Claims a call before it is sent.
#[derive(Debug, Clone)]
pub struct Claim {
    /// Client account of the caller.
    pub account: AccountId,
    /// Service to call.
    pub service: ServiceId,
    /// Idempotency key of the caller.
    pub key: String,
    /// Fingerprint of method, path and body; all nodes must use the same seed.
    pub fingerprint: Fingerprint,
}

/// Answer to a [`Claim`].
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Verdict {
    /// The claim is confirmed: send the request once, then finish or release the attempt.
    Send(Attempt),
    /// The call ran before, with this answer.
    Replay(Answer),
    /// Another attempt claimed the call, and it is not known whether it ran.
    Unknown,
    /// The key was used before for another method, path or body.
    KeyReused,
    /// The registry is full and holds no record of the key; nothing was sent for it.
    Full,
    /// The claim could not be confirmed. Nothing was or will be sent for it, but an earlier call
    /// with the same key may have run.
    Unavailable,
}

/// A claim with the channel for its verdict.
#[derive(Debug)]
struct Submit(Claim, oneshot::Sender<Verdict>);

/// Records the answer of a call that was sent.
#[derive(Debug)]
pub struct Finish {
    /// Attempt that was sent.
    pub attempt: Attempt,
    /// Status of the answer.
    pub status: u16,
    /// Body of the answer.
    pub body: Vec<u8>,
}

/// Releases a claim whose request is known not to have been sent.
#[derive(Debug)]
pub struct Release(pub Attempt);

/// Asks for the [`Stats`].
#[derive(Debug)]
pub struct GetStats;

/// Counts of calls to the configuration service and of unwritten outcomes.
#[derive(Debug, Clone, Copy, Default)]
pub struct Stats {
    /// Reads of heads and archives.
    pub reads: u64,
    /// Writes of heads and archives.
    pub writes: u64,
    /// Outcomes and releases that are not yet written.
    pub unwritten: usize,
}

/// Starts the next round of a partition after its delay.
#[derive(Debug)]
struct Wake(usize);

/// Result of a step at the configuration service.
#[derive(Debug)]
struct StepDone(usize, Reply);

/// Starts the registry actor and its timer.
pub fn spawn(store: SocketAddr) -> Address<Registry> {
    let slot = |_| Slot {
        partition: Partition::new(Limits::NODE),
        pending: HashMap::new(),
        next_round: Instant::now(),
        period: WRITE_PERIOD,
        wake_scheduled: false,
        failures: 0,
    };
    let actor = Registry {
        store,
        slots: (0..call_record::PARTITIONS).map(slot).collect(),
        stats: Stats::default(),
    };
    let address = xtra::spawn_tokio(actor, Mailbox::unbounded());
    timer::spawn(address.downgrade(), TICK_PERIOD);
    address
}

/// Claims a call and waits for the verdict.
///
/// If the caller stops waiting, the claim is released once it is confirmed.
pub async fn claim(calls: &Address<Registry>, claim: Claim) -> Verdict {
    let (reply, verdict) = oneshot::channel();
    if calls.send(Submit(claim, reply)).await.is_err() {
        return Verdict::Unavailable;
    }
    verdict.await.unwrap_or(Verdict::Unavailable)
}

impl Registry {
    /// Starts the next step of a partition if it is due; otherwise schedules a [`Wake`].
    fn advance(&mut self, index: usize, address: &WeakAddress<Self>) {
        let slot = &mut self.slots[index];
        let now = Instant::now();
        if now < slot.next_round {
            if !std::mem::replace(&mut slot.wake_scheduled, true) {
                let (next, address) = (slot.next_round, address.clone());
                tokio::spawn(async move {
                    tokio::time::sleep_until(next.into()).await;
                    let _ = address.send(Wake(index)).await;
                });
            }
            return;
        }
        let step = slot.partition.step(SystemTime::now());
        slot.answer_claims();
        match &step {
            Step::Idle => return,
            Step::Read | Step::ReadArchive(_) => self.stats.reads += 1,
            Step::WriteArchive(..) => self.stats.writes += 1,
            Step::Write(..) => {
                self.stats.writes += 1;
                // The jitter keeps nodes that write the same partition from synchronizing.
                slot.next_round = now + slot.period.mul_f64(rand::random_range(0.9..1.1));
            }
        }
        let (store, address) = (self.store, address.clone());
        tokio::spawn(async move {
            let reply = call_store::perform(store, index, step).await;
            let _ = address.send(StepDone(index, reply)).await;
        });
    }
}

impl Slot {
    /// Answers the claims that the partition has decided on, and releases a confirmed claim whose
    /// caller no longer waits.
    fn answer_claims(&mut self) {
        for (attempt, decision) in self.partition.take_answers() {
            let send = decision == Decision::Send;
            let claim = self.pending.remove(&attempt);
            let notified =
                claim.is_some_and(|claim| claim.reply.send(verdict(attempt, decision)).is_ok());
            if send && !notified {
                self.partition.release(attempt);
            }
        }
    }

    /// Applies the result of a step; returns whether the configuration service replied.
    fn apply_reply(&mut self, reply: Reply) -> bool {
        match reply {
            Reply::Head(revision, head) => self.partition.head_read(revision, head),
            Reply::Archive(number, records) => self.partition.archive_read(number, records),
            Reply::Wrote(outcome) => {
                self.partition.write_finished(outcome);
                if matches!(outcome, Outcome::Done(_)) {
                    self.adjust_period();
                }
                return matches!(outcome, Outcome::Done(_) | Outcome::Conflict);
            }
            Reply::Failed => {
                self.partition.read_failed();
                return false;
            }
        }
        true
    }

    /// Adjusts the write period to the number of writes by other nodes since the last write.
    ///
    /// A node that sees k writes by others in its period moves its period towards (k + 1) x 200 ms,
    /// so that all nodes together approach 5 writes per second.
    fn adjust_period(&mut self) {
        let foreign = self.partition.take_foreign_writes();
        let target = WRITE_PERIOD.saturating_mul(foreign.saturating_add(1).min(100) as u32);
        self.period = ((self.period + target) / 2).clamp(WRITE_PERIOD, MAX_WRITE_PERIOD);
        if foreign > 0 {
            // Reading just before the write avoids a conflict, which would waste a write.
            self.partition.invalidate();
        }
    }

    /// Delays the next round after a failed step: exponential backoff with full jitter.
    fn back_off(&mut self) {
        let ceiling = INITIAL_BACKOFF.saturating_mul(1 << self.failures.min(10));
        let wait = ceiling.min(MAX_BACKOFF).mul_f64(rand::random());
        self.next_round = self.next_round.max(Instant::now() + wait);
        self.failures += 1;
    }
}

impl Handler<Submit> for Registry {
    type Return = ();

    async fn handle(&mut self, message: Submit, ctx: &mut Context<Self>) {
        let Submit(claim, reply) = message;
        let key = call_record::key(claim.account, claim.service, &claim.key);
        let attempt = Attempt {
            key,
            fingerprint: claim.fingerprint,
            id: rand::random(),
        };
        let index = usize::from(call_record::partition(key));
        let slot = &mut self.slots[index];
        let now = Instant::now();
        let deadline = now + CLAIM_TIMEOUT;
        match slot.partition.claim(attempt, now_millis()) {
            // During an outage, the backoff may end after the deadline of this claim.
            Decision::Write if slot.next_round > deadline => {
                slot.partition.withdraw(attempt);
                let _ = reply.send(Verdict::Unavailable);
            }
            Decision::Write => {
                slot.pending
                    .insert(attempt, PendingClaim { reply, deadline });
                self.advance(index, &ctx.mailbox().address());
            }
            decision => {
                let _ = reply.send(verdict(attempt, decision));
            }
        }
    }
}

impl Handler<Finish> for Registry {
    type Return = ();

    async fn handle(&mut self, message: Finish, ctx: &mut Context<Self>) {
        let Finish {
            attempt,
            status,
            body,
        } = message;
        let index = usize::from(call_record::partition(attempt.key));
        let answer = Answer::new(status, &body);
        if !self.slots[index].partition.finish(attempt, answer) {
            event::emit(Event::OutcomeDropped, &format!("partition={index}"));
        }
        self.advance(index, &ctx.mailbox().address());
    }
}

impl Handler<Release> for Registry {
    type Return = ();

    async fn handle(&mut self, message: Release, ctx: &mut Context<Self>) {
        let Release(attempt) = message;
        let index = usize::from(call_record::partition(attempt.key));
        if !self.slots[index].partition.release(attempt) {
            event::emit(Event::OutcomeDropped, &format!("partition={index}"));
        }
        self.advance(index, &ctx.mailbox().address());
    }
}

impl Handler<StepDone> for Registry {
    type Return = ();

    async fn handle(&mut self, message: StepDone, ctx: &mut Context<Self>) {
        let StepDone(index, reply) = message;
        let slot = &mut self.slots[index];
        let read = matches!(reply, Reply::Head(..));
        if slot.apply_reply(reply) {
            if slot.failures >= FAILURES_BEFORE_REPORT {
                event::emit(Event::RegistryRestored, &format!("partition={index}"));
            }
            slot.failures = 0;
        } else {
            slot.back_off();
            if slot.failures == FAILURES_BEFORE_REPORT {
                event::emit(Event::RegistryUnavailable, &format!("partition={index}"));
            }
        }
        slot.answer_claims();
        let writes = self.stats.writes;
        self.advance(index, &ctx.mailbox().address());
        if read && self.stats.writes == writes {
            // No write followed the read, so the read itself is rate-limited like a write.
            let slot = &mut self.slots[index];
            slot.next_round = slot.next_round.max(Instant::now() + WRITE_PERIOD);
        }
    }
}

impl Handler<Wake> for Registry {
    type Return = ();

    async fn handle(&mut self, message: Wake, ctx: &mut Context<Self>) {
        let Wake(index) = message;
        self.slots[index].wake_scheduled = false;
        self.advance(index, &ctx.mailbox().address());
    }
}

impl Handler<Tick> for Registry {
    type Return = ();

    async fn handle(&mut self, _message: Tick, ctx: &mut Context<Self>) {
        let now = Instant::now();
        for index in 0..self.slots.len() {
            let slot = &mut self.slots[index];
            let expired = slot.pending.extract_if(|_, claim| claim.deadline <= now);
            let expired: Vec<(Attempt, PendingClaim)> = expired.collect();
            for (attempt, claim) in expired {
                slot.partition.withdraw(attempt);
                let _ = claim.reply.send(Verdict::Unavailable);
            }
            // Retries outcomes that could not be written, and writes releases, for which no
            // message arrives.
            self.advance(index, &ctx.mailbox().address());
        }
    }
}

impl Handler<GetStats> for Registry {
    type Return = Stats;

    async fn handle(&mut self, _message: GetStats, _ctx: &mut Context<Self>) -> Stats {
        let unwritten = |slot: &Slot| slot.partition.queue_lengths().1;
        Stats {
            unwritten: self.slots.iter().map(unwritten).sum(),
            ..self.stats
        }
    }
}

/// Converts the decision of a partition into the verdict on a claim.
fn verdict(attempt: Attempt, decision: Decision) -> Verdict {
    match decision {
        Decision::Send => Verdict::Send(attempt),
        Decision::Replay(answer) => Verdict::Replay(answer),
        Decision::Unknown => Verdict::Unknown,
        Decision::Refuse(Reason::KeyReused) => Verdict::KeyReused,
        Decision::Refuse(Reason::Full) => Verdict::Full,
        Decision::Refuse(Reason::Busy) | Decision::Write => Verdict::Unavailable,
    }
}

/// Returns the current time, truncated to the milliseconds of the encoding, so that a record equals
/// its decoded copy in an archive.
fn now_millis() -> SystemTime {
    let age = SystemTime::now().duration_since(UNIX_EPOCH);
    let millis = age.unwrap_or_default().as_millis();
    UNIX_EPOCH + Duration::from_millis(millis as u64)
}
