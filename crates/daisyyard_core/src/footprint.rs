//! Account of the memory and connections that a gateway holds for callers.
//!
//! The shares are exclusive: callers cannot take the room of answers, since what an endpoint has run
//! must not be lost to make room.

use std::collections::HashMap;
use std::time::{Duration, Instant};

use daisyyard_derive::{key, value};

use crate::id::AccountId;

/// Parts in which shares are expressed.
const PARTS: usize = 100;
/// Share of a machine's memory that the account covers. The rest is for the process itself, what the
/// HTTP library holds for each connection beyond `CONNECTION_BYTES`, and the allocator's waste.
const ACCOUNT_PARTS: usize = 50;
/// Share of the account for bodies of requests.
const BODY_PARTS: usize = 40;
/// Share of the account for answers that are read whole.
const ANSWER_PARTS: usize = 30;
/// Share of the account for parts of streams that wait for slow callers.
const RELAY_PARTS: usize = 8;
/// Share of the account for connections of callers.
const CONNECTION_PARTS: usize = 22;
/// Part of the room for bodies or answers that large ones may take; ordinary ones use the rest.
const LARGE_PARTS: usize = 75;
/// Part of the room for bodies that the large ones of one client account may take.
const ACCOUNT_LARGE_PARTS: usize = 50;
/// Part of the room for bodies that one client account may take.
const ACCOUNT_ALL_PARTS: usize = 85;
/// Part of the connections on which bodies may be incomplete. Requests whose bodies come with their
/// heads use the rest.
const PENDING_PARTS: usize = 75;
/// Size up to which a body or an answer is not large, in bytes; ordinary ones have a few kB.
pub const LARGE_BYTES: usize = 64 << 10;
/// Memory of a connection, in bytes: the first read buffer and the task.
const CONNECTION_BYTES: usize = 8 << 10;
/// Descriptors of a gateway for its listeners, the store, other gateways, logs and the connections that
/// it refuses, and 200 that machines keep for files.
const OWN_DESCRIPTORS: usize = 300;
/// Smallest memory that is divided, in bytes. With less, a body or an answer of 4 MiB would never fit
/// into its share.
const MIN_MEMORY_BYTES: usize = 48_000_000;
/// Descriptors that a caller's connection needs, in parts: its own, one to an endpoint, and in a
/// part of the cases one more to another endpoint.
const CONNECTION_DESCRIPTOR_PARTS: usize = 225;
/// Part of the connections that the other listeners may have open in addition.
const CONTROL_PARTS: usize = 10;
/// Part of each share to which use must fall for the account to count as open again.
const REOPEN_PARTS: usize = 75;
/// Minimum time between two reported changes, so that the log stays bounded.
const REPORT_INTERVAL: Duration = Duration::from_secs(10);

/// Memory and descriptors of the machine.
#[key]
pub struct Machine {
    /// Memory for the whole process, in bytes.
    pub memory: usize,
    /// Number of descriptors that the process may open.
    pub descriptors: usize,
}

/// What something is held for.
#[key]
pub enum Use {
    /// Body of a request, in bytes.
    Body,
    /// Answer that is read whole, in bytes.
    Answer,
    /// Parts of streams that wait for slow callers, in bytes.
    Relay,
    /// Connections of callers, counted.
    Connection,
    /// Connections on which a body is incomplete, counted.
    Pending,
    /// Connections to the other listeners, counted.
    Control,
}

/// All uses, in the order of their fields in [`Footprint`].
pub const USES: [Use; 6] = [
    Use::Body,
    Use::Answer,
    Use::Relay,
    Use::Connection,
    Use::Pending,
    Use::Control,
];

/// One body, answer, part of a stream or connection, and what is charged for it.
#[value]
pub struct Holder {
    /// What it is.
    pub usage: Use,
    /// Client account, if it is known and matters.
    pub account: Option<AccountId>,
    /// Amount that is charged for it.
    pub amount: usize,
}

/// Result of a charge.
#[key]
pub enum Verdict {
    /// The amount is charged.
    Granted,
    /// Nothing is charged, because the share does not suffice now.
    Full,
}

/// A change of the account that operators are told.
#[key]
pub enum Change {
    /// The account has refused a charge of this use.
    Closed(Use),
    /// There is room again.
    Opened,
}

/// Use of the account by one client account.
#[key]
struct Client {
    /// Bytes of all bodies.
    all: usize,
    /// Bytes of the large bodies.
    large: usize,
}

/// What a gateway holds for callers, and the limits on it.
#[value]
pub struct Footprint {
    /// Limit of each use.
    limits: [usize; USES.len()],
    /// What is charged for each use.
    used: [usize; USES.len()],
    /// What is charged for large bodies and large answers.
    large: [usize; USES.len()],
    /// Bodies by client account; accounts without bodies are absent.
    clients: HashMap<AccountId, Client>,
    /// Whether a charge was refused since the last reported opening.
    closed: bool,
    /// When the last change was reported.
    reported_at: Option<Instant>,
}

/// Returns a number of parts of an amount.
fn parts(amount: usize, parts: usize) -> usize {
    amount / PARTS * parts + amount % PARTS * parts / PARTS
}

impl Holder {
    /// Returns a holder for which nothing is charged yet.
    pub fn new(usage: Use, account: Option<AccountId>) -> Self {
        Self {
            usage,
            account,
            amount: 0,
        }
    }

    /// Returns whether it counts as large with the given amount.
    fn is_large(&self, amount: usize) -> bool {
        matches!(self.usage, Use::Body | Use::Answer) && amount > LARGE_BYTES
    }
}

impl Footprint {
    /// Creates an empty account for a machine.
    pub fn new(machine: Machine) -> Self {
        let mut footprint = Self {
            limits: [0; USES.len()],
            used: [0; USES.len()],
            large: [0; USES.len()],
            clients: HashMap::new(),
            closed: false,
            reported_at: None,
        };
        footprint.resize(machine);
        footprint
    }

    /// Adopts the limits of a machine. What is held stays charged.
    pub fn resize(&mut self, machine: Machine) {
        let account = parts(machine.memory.max(MIN_MEMORY_BYTES), ACCOUNT_PARTS);
        let descriptors = machine.descriptors.saturating_sub(OWN_DESCRIPTORS);
        let by_descriptors = descriptors * PARTS / (CONNECTION_DESCRIPTOR_PARTS + CONTROL_PARTS);
        let by_memory = parts(account, CONNECTION_PARTS) / CONNECTION_BYTES;
        let connections = by_descriptors.min(by_memory).max(1);
        self.limits = USES.map(|usage| match usage {
            Use::Body => parts(account, BODY_PARTS),
            Use::Answer => parts(account, ANSWER_PARTS),
            Use::Relay => parts(account, RELAY_PARTS),
            Use::Connection => connections,
            Use::Pending => parts(connections, PENDING_PARTS).max(1),
            Use::Control => parts(connections, CONTROL_PARTS).max(1),
        });
    }

    /// Returns whether a further amount would be granted to a holder.
    pub fn check(&self, holder: &Holder, amount: usize) -> Verdict {
        if amount > self.free(holder, amount) {
            Verdict::Full
        } else {
            Verdict::Granted
        }
    }

    /// Returns the largest amount that would be granted to a holder for which nothing is charged.
    pub fn room(&self, holder: &Holder) -> usize {
        let ordinary = self.free(holder, 0).min(LARGE_BYTES);
        ordinary.max(self.free(holder, LARGE_BYTES + 1))
    }

    /// Charges a further amount for a holder, or nothing.
    pub fn charge(&mut self, holder: &mut Holder, amount: usize) -> Verdict {
        if self.check(holder, amount) == Verdict::Full {
            return Verdict::Full;
        }
        self.remove(holder);
        holder.amount += amount;
        self.add(holder);
        Verdict::Granted
    }

    /// Gives back a part of what is charged for a holder.
    pub fn give_back(&mut self, holder: &mut Holder, amount: usize) {
        self.remove(holder);
        holder.amount = holder.amount.saturating_sub(amount);
        self.add(holder);
    }

    /// Returns how much more could be charged for a holder that would grow by `amount`.
    fn free(&self, holder: &Holder, amount: usize) -> usize {
        let (index, total) = (holder.usage as usize, holder.amount.saturating_add(amount));
        let limit = self.limits[index];
        let mut free = limit.saturating_sub(self.used[index]);
        let grows_large = holder.is_large(total);
        // What the holder has already counts as large from now on.
        let own = if holder.is_large(holder.amount) {
            0
        } else {
            holder.amount
        };
        if grows_large {
            let large = parts(limit, LARGE_PARTS).saturating_sub(self.large[index]);
            free = free.min(large.saturating_sub(own));
        }
        let (Use::Body, Some(account)) = (holder.usage, holder.account) else {
            return free;
        };
        let client = self.clients.get(&account).copied();
        let (all, large) = client.map_or((0, 0), |client| (client.all, client.large));
        free = free.min(parts(limit, ACCOUNT_ALL_PARTS).saturating_sub(all));
        if grows_large {
            let large = parts(limit, ACCOUNT_LARGE_PARTS).saturating_sub(large);
            free = free.min(large.saturating_sub(own));
        }
        free
    }

    /// Adds what is charged for a holder to the sums.
    fn add(&mut self, holder: &Holder) {
        let (index, large) = (holder.usage as usize, holder.is_large(holder.amount));
        self.used[index] += holder.amount;
        if large {
            self.large[index] += holder.amount;
        }
        let (Use::Body, Some(account)) = (holder.usage, holder.account) else {
            return;
        };
        if holder.amount > 0 {
            let none = Client { all: 0, large: 0 };
            let client = self.clients.entry(account).or_insert(none);
            client.all += holder.amount;
            client.large += if large { holder.amount } else { 0 };
        }
    }

    /// Subtracts what is charged for a holder from the sums.
    fn remove(&mut self, holder: &Holder) {
        let (index, large) = (holder.usage as usize, holder.is_large(holder.amount));
        self.used[index] = self.used[index].saturating_sub(holder.amount);
        if large {
            self.large[index] = self.large[index].saturating_sub(holder.amount);
        }
        let Some(account) = holder.account else {
            return;
        };
        if let Some(client) = self.clients.get_mut(&account)
            && holder.usage == Use::Body
        {
            client.all = client.all.saturating_sub(holder.amount);
            client.large = client
                .large
                .saturating_sub(if large { holder.amount } else { 0 });
            if client.all == 0 {
                self.clients.remove(&account);
            }
        }
    }

    /// Returns what is charged for a use.
    pub fn used(&self, usage: Use) -> usize {
        self.used[usage as usize]
    }

    /// Returns the limit of a use.
    pub fn limit(&self, usage: Use) -> usize {
        self.limits[usage as usize]
    }

    /// Returns whether a refusal was reported, and no opening since.
    pub fn is_closed(&self) -> bool {
        self.closed
    }

    /// Records that a charge was refused; returns the change that operators are told.
    pub fn record_refusal(&mut self, usage: Use, now: Instant) -> Option<Change> {
        if self.closed || !self.may_report(now) {
            return None;
        }
        (self.closed, self.reported_at) = (true, Some(now));
        Some(Change::Closed(usage))
    }

    /// Returns the change that operators are told if there is room again.
    pub fn check_opening(&mut self, now: Instant) -> Option<Change> {
        let has_room = USES
            .iter()
            .all(|usage| self.used(*usage) <= parts(self.limit(*usage), REOPEN_PARTS));
        if !self.closed || !has_room || !self.may_report(now) {
            return None;
        }
        (self.closed, self.reported_at) = (false, Some(now));
        Some(Change::Opened)
    }

    /// Returns whether enough time has passed since the last reported change.
    fn may_report(&self, now: Instant) -> bool {
        let passed = |at| now.saturating_duration_since(at) >= REPORT_INTERVAL;
        self.reported_at.is_none_or(passed)
    }
}
