//! The actor that keeps the call registry at this node, and the run of one call through it.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

use daisyyard_core::call::{Limits, Next, Outcome, Partition, Reason, Step};
use daisyyard_core::call_record::{self, Answer, Attempt};
use daisyyard_core::id::{AccountId, Fingerprint, ServiceId};
use daisyyard_gateway::timer::{self, Tick};
use tokio::sync::oneshot;
use xtra::{Actor, Address, Context, Handler, Mailbox, WeakAddress};

use crate::event::{self, Event};
use crate::registry::{self, Reply};

/// Least time between two writes of one partition; claims that arrive meanwhile share the next.
const WRITE_PERIOD: Duration = Duration::from_millis(200);
/// Longest time between two writes of one partition by one node when others write it too; it
/// stays below [`CLAIM_WAIT`], so that a claim sees at least one write.
const MAX_PERIOD: Duration = Duration::from_millis(1600);
/// Time after which a claim that is not confirmed is given up.
const CLAIM_WAIT: Duration = Duration::from_secs(3);
/// Time between two checks for claims that waited too long.
const TICK: Duration = Duration::from_millis(50);
/// First wait after a failed call to the configuration service; it doubles with each failure.
const FIRST_BACKOFF: Duration = Duration::from_millis(100);
/// Longest wait after a failed call to the configuration service.
const MAX_BACKOFF: Duration = Duration::from_secs(10);
/// Failures in a row after which a partition is reported as unavailable.
const REPORTED_FAILURES: u32 = 3;

/// Owns the partitions of the call registry.
#[derive(Debug, Actor)]
pub struct Calls {
    /// Address of the configuration service.
    store: SocketAddr,
    /// Partitions by number.
    slots: Vec<Slot>,
    /// Calls to the configuration service so far.
    stats: Stats,
}

/// One partition with what the actor needs to drive it.
#[derive(Debug)]
struct Slot {
    /// Decisions of the partition.
    partition: Partition,
    /// Claims of this node that wait for an answer.
    waiting: HashMap<Attempt, Waiting>,
    /// When the next round of calls may start.
    next: Instant,
    /// Time between two writes by this node; longer when other nodes write too.
    period: Duration,
    /// Whether a message that starts the next round is under way.
    woken: bool,
    /// Failures in a row.
    failures: u32,
}

/// A claim that waits.
#[derive(Debug)]
struct Waiting {
    /// Receives the verdict.
    reply: oneshot::Sender<Verdict>,
    /// When the claim is given up.
    until: Instant,
}

/// Claims a call before it is sent.
#[derive(Debug, Clone)]
pub struct Claim {
    /// Client account of the caller.
    pub account: AccountId,
    /// Plain service to call.
    pub service: ServiceId,
    /// Idempotency key of the caller.
    pub key: String,
    /// Fingerprint of method, path and body; must use the same seed on every node.
    pub fingerprint: Fingerprint,
}

/// Answer to a [`Claim`].
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Verdict {
    /// Send the request once, then finish or release the attempt.
    Send(Attempt),
    /// The call was run before; this was its answer.
    Replay(Answer),
    /// Another attempt claimed the call, and whether it ran is not known.
    Unknown,
    /// The key was used with another body.
    KeyReused,
    /// The registry is full and holds no record of the key; nothing was sent for it.
    Full,
    /// The claim could not be confirmed. Nothing was or will be sent for it, but an earlier call
    /// with the same key may have run.
    Unavailable,
}

/// A claim with the channel for its verdict.
#[derive(Debug)]
struct Enter(Claim, oneshot::Sender<Verdict>);

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

/// Releases a claim that was certainly not sent.
#[derive(Debug)]
pub struct Release(pub Attempt);

/// Asks for the counts of calls to the configuration service.
#[derive(Debug)]
pub struct Count;

/// Counts of calls to the configuration service, and what waits for them.
#[derive(Debug, Clone, Copy, Default)]
pub struct Stats {
    /// Reads of heads and archives.
    pub reads: u64,
    /// Writes of heads and archives.
    pub writes: u64,
    /// Outcomes and releases that are not written yet.
    pub unwritten: usize,
}

/// Starts the next round of a partition.
#[derive(Debug)]
struct Wake(usize);

/// Result of a step at the configuration service.
#[derive(Debug)]
struct Stepped(usize, Reply);

/// Starts the actor and its timer.
pub fn spawn(store: SocketAddr) -> Address<Calls> {
    let slot = |_| Slot {
        partition: Partition::new(Limits::NODE),
        waiting: HashMap::new(),
        next: Instant::now(),
        period: WRITE_PERIOD,
        woken: false,
        failures: 0,
    };
    let actor = Calls {
        store,
        slots: (0..call_record::PARTITIONS).map(slot).collect(),
        stats: Stats::default(),
    };
    let address = xtra::spawn_tokio(actor, Mailbox::unbounded());
    timer::spawn(address.downgrade(), TICK);
    address
}

/// Claims a call and waits for the verdict.
///
/// If the caller stops waiting, the claim is released once it is confirmed.
pub async fn claim(calls: &Address<Calls>, claim: Claim) -> Verdict {
    let (reply, verdict) = oneshot::channel();
    if calls.send(Enter(claim, reply)).await.is_err() {
        return Verdict::Unavailable;
    }
    verdict.await.unwrap_or(Verdict::Unavailable)
}

impl Calls {
    /// Starts the next step of a partition if its time has come.
    fn pump(&mut self, index: usize, address: &WeakAddress<Self>) {
        let slot = &mut self.slots[index];
        let now = Instant::now();
        if now < slot.next {
            if !std::mem::replace(&mut slot.woken, true) {
                let (next, address) = (slot.next, address.clone());
                tokio::spawn(async move {
                    tokio::time::sleep_until(next.into()).await;
                    let _ = address.send(Wake(index)).await;
                });
            }
            return;
        }
        let step = slot.partition.step(SystemTime::now());
        slot.settle();
        match &step {
            Step::Idle => return,
            Step::Read | Step::ReadArchive(_) => self.stats.reads += 1,
            Step::WriteArchive(..) => self.stats.writes += 1,
            Step::Write(..) => {
                self.stats.writes += 1;
                // The jitter keeps nodes that write the same partition from staying in step.
                slot.next = now + slot.period.mul_f64(rand::random_range(0.9..1.1));
            }
        }
        let (store, address) = (self.store, address.clone());
        tokio::spawn(async move {
            let reply = registry::perform(store, index, step).await;
            let _ = address.send(Stepped(index, reply)).await;
        });
    }
}

impl Slot {
    /// Answers the claims that the partition settled.
    fn settle(&mut self) {
        for (attempt, next) in self.partition.take_answers() {
            let send = next == Next::Send;
            let waiting = self.waiting.remove(&attempt);
            let told = waiting.is_some_and(|w| w.reply.send(verdict(attempt, next)).is_ok());
            if send && !told {
                self.partition.release(attempt);
            }
        }
    }

    /// Takes the result of a step; returns whether the configuration service replied.
    fn take(&mut self, reply: Reply) -> bool {
        match reply {
            Reply::Head(revision, head) => self.partition.head_read(revision, head),
            Reply::Archive(number, records) => self.partition.archive_read(number, records),
            Reply::Wrote(written) => {
                self.partition.write_finished(written);
                if matches!(written, Outcome::Done(_)) {
                    self.share();
                }
                return matches!(written, Outcome::Done(_) | Outcome::Conflict);
            }
            Reply::Failed => {
                self.partition.read_failed();
                return false;
            }
        }
        true
    }

    /// Sets the pace after a write by what other nodes wrote since the last one.
    ///
    /// A node that sees k writes by others in its period takes (k + 1) x 200 ms as the next one,
    /// so all nodes together approach 5 writes a second.
    fn share(&mut self) {
        let foreign = self.partition.take_foreign_writes();
        let target = WRITE_PERIOD.saturating_mul(foreign.saturating_add(1).min(100) as u32);
        self.period = ((self.period + target) / 2).clamp(WRITE_PERIOD, MAX_PERIOD);
        if foreign > 0 {
            // A read just before the write avoids a conflict, which would cost a write.
            self.partition.invalidate();
        }
    }

    /// Sets the time of the next round after a failed step, with full jitter.
    fn back_off(&mut self) {
        let ceiling = FIRST_BACKOFF.saturating_mul(1 << self.failures.min(10));
        let wait = ceiling.min(MAX_BACKOFF).mul_f64(rand::random());
        self.next = self.next.max(Instant::now() + wait);
        self.failures += 1;
    }
}

impl Handler<Enter> for Calls {
    type Return = ();

    async fn handle(&mut self, message: Enter, ctx: &mut Context<Self>) {
        let Enter(claim, reply) = message;
        let key = call_record::key(claim.account, claim.service, &claim.key);
        let attempt = Attempt {
            key,
            fingerprint: claim.fingerprint,
            id: rand::random(),
        };
        let index = usize::from(call_record::partition(key));
        let slot = &mut self.slots[index];
        let now = Instant::now();
        let until = now + CLAIM_WAIT;
        match slot.partition.claim(attempt, now_millis()) {
            // In an outage the next try may come too late for this claim.
            Next::Write if slot.next > until => {
                slot.partition.withdraw(attempt);
                let _ = reply.send(Verdict::Unavailable);
            }
            Next::Write => {
                slot.waiting.insert(attempt, Waiting { reply, until });
                self.pump(index, &ctx.mailbox().address());
            }
            next => {
                let _ = reply.send(verdict(attempt, next));
            }
        }
    }
}

impl Handler<Finish> for Calls {
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
        self.pump(index, &ctx.mailbox().address());
    }
}

impl Handler<Release> for Calls {
    type Return = ();

    async fn handle(&mut self, message: Release, ctx: &mut Context<Self>) {
        let Release(attempt) = message;
        let index = usize::from(call_record::partition(attempt.key));
        if !self.slots[index].partition.release(attempt) {
            event::emit(Event::OutcomeDropped, &format!("partition={index}"));
        }
        self.pump(index, &ctx.mailbox().address());
    }
}

impl Handler<Stepped> for Calls {
    type Return = ();

    async fn handle(&mut self, message: Stepped, ctx: &mut Context<Self>) {
        let Stepped(index, reply) = message;
        let slot = &mut self.slots[index];
        let read = matches!(reply, Reply::Head(..));
        if slot.take(reply) {
            if slot.failures >= REPORTED_FAILURES {
                event::emit(Event::RegistryRestored, &format!("partition={index}"));
            }
            slot.failures = 0;
        } else {
            slot.back_off();
            if slot.failures == REPORTED_FAILURES {
                event::emit(Event::RegistryUnavailable, &format!("partition={index}"));
            }
        }
        slot.settle();
        let writes = self.stats.writes;
        self.pump(index, &ctx.mailbox().address());
        if read && self.stats.writes == writes {
            // The read settled everything, so the pace of writes applies to the next read.
            let slot = &mut self.slots[index];
            slot.next = slot.next.max(Instant::now() + WRITE_PERIOD);
        }
    }
}

impl Handler<Wake> for Calls {
    type Return = ();

    async fn handle(&mut self, message: Wake, ctx: &mut Context<Self>) {
        let Wake(index) = message;
        self.slots[index].woken = false;
        self.pump(index, &ctx.mailbox().address());
    }
}

impl Handler<Tick> for Calls {
    type Return = ();

    async fn handle(&mut self, _message: Tick, ctx: &mut Context<Self>) {
        let now = Instant::now();
        for index in 0..self.slots.len() {
            let slot = &mut self.slots[index];
            let late = slot.waiting.extract_if(|_, waiting| waiting.until <= now);
            let late: Vec<(Attempt, Waiting)> = late.collect();
            for (attempt, waiting) in late {
                slot.partition.withdraw(attempt);
                let _ = waiting.reply.send(Verdict::Unavailable);
            }
            // Outcomes that could not be written, and releases, need no further message.
            self.pump(index, &ctx.mailbox().address());
        }
    }
}

impl Handler<Count> for Calls {
    type Return = Stats;

    async fn handle(&mut self, _message: Count, _ctx: &mut Context<Self>) -> Stats {
        let unwritten = |slot: &Slot| slot.partition.queue_lengths().1;
        Stats {
            unwritten: self.slots.iter().map(unwritten).sum(),
            ..self.stats
        }
    }
}

/// Returns the verdict on a claim that was settled.
fn verdict(attempt: Attempt, next: Next) -> Verdict {
    match next {
        Next::Send => Verdict::Send(attempt),
        Next::Replay(answer) => Verdict::Replay(answer),
        Next::Unknown => Verdict::Unknown,
        Next::Refuse(Reason::KeyReused) => Verdict::KeyReused,
        Next::Refuse(Reason::Full) => Verdict::Full,
        Next::Refuse(Reason::Busy) | Next::Write => Verdict::Unavailable,
    }
}

/// Returns the present time in the resolution of the encoding, so that a record equals its copy
/// in an archive.
fn now_millis() -> SystemTime {
    let age = SystemTime::now().duration_since(UNIX_EPOCH);
    let millis = age.unwrap_or_default().as_millis();
    UNIX_EPOCH + Duration::from_millis(millis as u64)
}
