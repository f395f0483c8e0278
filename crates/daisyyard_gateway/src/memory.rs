//! Memory and connections that the gateway holds for callers. All connections and requests share one
//! account; its decisions are in `daisyyard_core::footprint`.

use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Instant;

use bytes::Bytes;
use daisyyard_core::footprint::{Change, Footprint, Holder, Machine, USES, Use, Verdict};
use daisyyard_core::id::AccountId;
use tokio::sync::Notify;

use crate::event::Event;
use crate::log::Log;

/// Initial capacity of a buffer, in bytes. Most bodies and answers without a length are smaller.
const MIN_CAPACITY: usize = 1 << 10;

/// Handle of the account; clones share it.
#[derive(Debug, Clone)]
pub(crate) struct Memory {
    /// The account and who waits for it.
    shared: Arc<Shared>,
}

/// The account and who waits for it.
#[derive(Debug)]
struct Shared {
    /// The account. It is locked for single decisions only.
    footprint: Mutex<Footprint>,
    /// Wakes those that wait for room.
    freed: Notify,
    /// Charges that were refused, by use.
    refused: [AtomicU64; USES.len()],
    /// Log of the gateway.
    log: Log,
}

/// Something that is charged; dropping it gives the room back.
#[derive(Debug)]
pub(crate) struct Hold {
    /// The account.
    memory: Memory,
    /// What is charged.
    holder: Holder,
}

/// Figures of one use, for metrics.
#[derive(Debug, Clone, Copy)]
pub(crate) struct Figures {
    /// The use.
    pub(crate) usage: Use,
    /// What is charged.
    pub(crate) used: usize,
    /// The limit.
    pub(crate) limit: usize,
    /// Number of refused charges.
    pub(crate) refused: u64,
}

/// There is no room in the account.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) struct Full;

/// Bytes that grow in one piece, and are charged before they do.
#[derive(Debug)]
pub(crate) struct Buffer {
    /// The bytes.
    bytes: Vec<u8>,
    /// What is charged: at least the capacity.
    hold: Hold,
    /// Number of bytes that are expected in all, if known, or else the maximum.
    expected: usize,
    /// Whether `expected` is known.
    exact: bool,
}

/// Bytes that stay charged until the last reference to them is dropped.
struct Charged {
    /// The bytes.
    bytes: Vec<u8>,
    /// What is charged for them.
    _hold: Hold,
}

impl AsRef<[u8]> for Charged {
    fn as_ref(&self) -> &[u8] {
        &self.bytes
    }
}

impl Memory {
    /// Creates the account of a process.
    pub(crate) fn new(machine: Machine, log: Log) -> Self {
        let shared = Shared {
            footprint: Mutex::new(Footprint::new(machine)),
            freed: Notify::new(),
            refused: USES.map(|_| AtomicU64::new(0)),
            log,
        };
        Self {
            shared: Arc::new(shared),
        }
    }

    /// Adopts the limits of a machine.
    pub(crate) fn resize(&self, machine: Machine) {
        self.decide(|footprint| footprint.resize(machine));
        self.shared.freed.notify_waiters();
    }

    /// Returns the figures of all uses.
    pub(crate) fn figures(&self) -> [Figures; USES.len()] {
        self.decide(|footprint| {
            USES.map(|usage| Figures {
                usage,
                used: footprint.used(usage),
                limit: footprint.limit(usage),
                refused: self.shared.refused[usage as usize].load(Ordering::Relaxed),
            })
        })
    }

    /// Returns a hold for which nothing is charged yet.
    pub(crate) fn empty(&self, usage: Use, account: Option<AccountId>) -> Hold {
        Hold {
            memory: self.clone(),
            holder: Holder::new(usage, account),
        }
    }

    /// Charges an amount.
    pub(crate) fn hold(&self, usage: Use, amount: usize) -> Result<Hold, Full> {
        let mut hold = self.empty(usage, None);
        hold.grow(amount)?;
        Ok(hold)
    }

    /// Makes a decision of the account.
    fn decide<T>(&self, decision: impl FnOnce(&mut Footprint) -> T) -> T {
        let footprint = self.shared.footprint.lock();
        // A decision does not leave the account half changed, so a panic elsewhere is no reason to stop.
        decision(&mut footprint.unwrap_or_else(PoisonError::into_inner))
    }

    /// Logs a change of the account.
    fn report(&self, change: Change) {
        match change {
            Change::Closed(usage) => {
                let [used, limit] =
                    self.decide(|footprint| [footprint.used(usage), footprint.limit(usage)]);
                let details = format!("use={usage:?} used={used} limit={limit}");
                self.shared.log.emit(Event::MemoryShort, &details);
            }
            Change::Opened => {
                let refused = self.shared.refused.iter();
                let refused: u64 = refused.map(|count| count.load(Ordering::Relaxed)).sum();
                let details = format!("refused={refused}");
                self.shared.log.emit(Event::MemoryFree, &details);
            }
        }
    }
}

impl Hold {
    /// Charges a further amount, or nothing.
    pub(crate) fn grow(&mut self, amount: usize) -> Result<(), Full> {
        if self.try_grow(amount) {
            return Ok(());
        }
        Err(self.refuse())
    }

    /// Counts a refusal, and logs it if it closes the account.
    fn refuse(&self) -> Full {
        let usage = self.holder.usage;
        self.memory.shared.refused[usage as usize].fetch_add(1, Ordering::Relaxed);
        let refusal = |footprint: &mut Footprint| footprint.record_refusal(usage, Instant::now());
        if let Some(change) = self.memory.decide(refusal) {
            self.memory.report(change);
        }
        Full
    }

    /// Checks that there is room for a further amount, without charging it.
    pub(crate) fn check(&self, amount: usize) -> Result<(), Full> {
        let holder = &self.holder;
        let check = |footprint: &mut Footprint| footprint.check(holder, amount);
        match self.memory.decide(check) {
            Verdict::Granted => Ok(()),
            Verdict::Full => Err(self.refuse()),
        }
    }

    /// Charges a further amount once there is room for it.
    pub(crate) async fn grow_when_free(&mut self, amount: usize) {
        let mut waits = false;
        loop {
            let memory = self.memory.clone();
            let mut freed = std::pin::pin!(memory.shared.freed.notified());
            // Room that is given back after the charge below must wake this task.
            freed.as_mut().enable();
            // The first refusal counts; what follows is the same wait.
            let granted = if waits {
                self.try_grow(amount)
            } else {
                self.grow(amount).is_ok()
            };
            if granted {
                return;
            }
            waits = true;
            freed.await;
        }
    }

    /// Charges a further amount if there is room for it.
    fn try_grow(&mut self, amount: usize) -> bool {
        let holder = &mut self.holder;
        self.memory
            .decide(|footprint| footprint.charge(holder, amount))
            == Verdict::Granted
    }

    /// Gives back what exceeds an amount.
    fn shrink_to(&mut self, amount: usize) {
        let excess = self.holder.amount.saturating_sub(amount);
        self.give_back(excess);
    }

    /// Gives back an amount.
    fn give_back(&mut self, amount: usize) {
        if amount == 0 {
            return;
        }
        let holder = &mut self.holder;
        let change = self.memory.decide(|footprint| {
            footprint.give_back(holder, amount);
            // The clock is read only while the account is closed.
            let closed = footprint.is_closed();
            closed
                .then(|| footprint.check_opening(Instant::now()))
                .flatten()
        });
        self.memory.shared.freed.notify_waiters();
        if let Some(change) = change {
            self.memory.report(change);
        }
    }
}

impl Drop for Hold {
    fn drop(&mut self) {
        self.give_back(self.holder.amount);
    }
}

impl Buffer {
    /// Creates an empty buffer. `expected` is the number of bytes in all if it is known, and `max`
    /// bounds it.
    pub(crate) fn new(hold: Hold, expected: Option<usize>, max: usize) -> Self {
        Self {
            bytes: Vec::new(),
            hold,
            expected: expected.unwrap_or(max).min(max),
            exact: expected.is_some(),
        }
    }

    /// Returns the number of bytes.
    pub(crate) fn len(&self) -> usize {
        self.bytes.len()
    }

    /// Returns the capacity that is needed for further bytes. It doubles, so that small chunks are
    /// copied a bounded number of times.
    pub(crate) fn capacity_for(&self, count: usize) -> usize {
        let needed = self.bytes.len() + count;
        if needed <= self.bytes.capacity() {
            return self.bytes.capacity();
        }
        let doubled = (self.bytes.capacity() * 2).max(MIN_CAPACITY);
        doubled.min(self.expected).max(needed)
    }

    /// Returns the capacity that is charged.
    pub(crate) fn charged(&self) -> usize {
        self.hold.holder.amount
    }

    /// Returns what the buffer charges to.
    pub(crate) fn hold(&mut self) -> &mut Hold {
        &mut self.hold
    }

    /// Returns the largest size that the buffer may reach.
    pub(crate) fn final_size(&self) -> usize {
        self.expected
    }

    /// Adds bytes, for which the capacity is charged already.
    pub(crate) fn push(&mut self, data: &[u8]) {
        let capacity = self.capacity_for(data.len());
        let additional = capacity - self.bytes.len();
        self.bytes.reserve_exact(additional);
        self.bytes.extend_from_slice(data);
    }

    /// Returns the bytes, which stay charged until the last reference to them is dropped.
    pub(crate) fn freeze(mut self) -> Bytes {
        if self.bytes.is_empty() {
            return Bytes::new();
        }
        // What was expected is used up; a guess may be too large by half.
        if !self.exact {
            self.bytes.shrink_to_fit();
        }
        self.hold.shrink_to(self.bytes.capacity());
        Bytes::from_owner(Charged {
            bytes: self.bytes,
            _hold: self.hold,
        })
    }
}
