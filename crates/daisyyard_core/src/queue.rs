//! Fair queue of one engine: a start-time fair queue over the accounts for each rank.
//!
//! Each account has a tag, a virtual time that grows with the tokens served to the account, and the
//! account with the lowest tag goes first.

use std::collections::{BTreeMap, BTreeSet, HashMap};
use std::time::Instant;

use daisyyard_derive::value;

use crate::contract::Rank;
use crate::id::{AccountId, RequestId, Tokens};
use crate::ledger::Request;

/// Maximum number of requests that wait at one engine.
pub const CAPACITY: usize = 1024;
/// Divisor of the capacity that gives the places the urgent rank leaves to the deferrable one.
const DEFERRABLE_DIVISOR: usize = 16;
/// Maximum lag, in tokens, of an idle account's tag behind the virtual time.
const MAX_CREDIT: Tokens = 1024;
/// Maximum number of accounts without waiting requests whose tag is kept.
const MAX_IDLE_ACCOUNTS: usize = 2048;
/// Initial virtual time, large enough that credit and refunds cannot underflow.
const INITIAL_VIRTUAL_TIME: Tokens = 1 << 40;

/// Queued request.
#[value]
pub struct Entry {
    /// The admission request.
    pub request: Request,
    /// When the request was queued.
    pub since: Instant,
    /// When the first-token target can no longer be met.
    pub target: Instant,
    /// When the request is refused.
    pub expires: Instant,
    /// Tokens deducted from the rate limit of the account.
    pub taken: Tokens,
}

/// Result of queueing a request.
#[value]
pub enum Step {
    /// The request is queued.
    Queued,
    /// The request is queued in place of another one, which must be refused.
    Displaced(Box<Entry>),
    /// The queue is full, and the request must be refused.
    Full,
}

/// Queue of one account in one rank.
#[derive(Debug, Default)]
struct Flow {
    /// Start tag: the virtual time of the account.
    tag: Tokens,
    /// Requests that can still meet their target, by arrival number.
    waiting: BTreeMap<u64, Entry>,
}

/// Fair queue of one rank.
#[derive(Debug)]
struct Lane {
    /// Virtual time: the highest start tag of any served request.
    time: Tokens,
    /// Queues by account.
    flows: BTreeMap<AccountId, Flow>,
    /// Accounts with waiting requests by tag.
    order: BTreeSet<(Tokens, AccountId)>,
    /// Accounts with waiting requests by the number of their requests.
    by_waiting: BTreeSet<(usize, AccountId)>,
    /// Accounts without waiting requests by tag.
    idle: BTreeSet<(Tokens, AccountId)>,
    /// Number of waiting requests that can still meet their target.
    on_time: usize,
    /// Requests past their target, by arrival number. They run only when no others wait, because
    /// serving them first would make the others miss their target too.
    late: BTreeMap<u64, Entry>,
}

/// Fair queue of one engine.
#[derive(Debug)]
pub struct Queue {
    /// Maximum number of waiting requests.
    capacity: usize,
    /// Queue of each rank, most urgent first.
    lanes: [Lane; 2],
    /// Rank, account and arrival number by request.
    index: HashMap<RequestId, (Rank, AccountId, u64)>,
    /// Requests by the time when they become late or expire.
    expiry: BTreeSet<(Instant, RequestId)>,
    /// Number of the last arrival.
    arrival: u64,
}

impl Queue {
    /// Creates an empty queue for at most `capacity` requests.
    pub fn new(capacity: usize) -> Self {
        Self {
            capacity,
            lanes: [Lane::new(), Lane::new()],
            index: HashMap::new(),
            expiry: BTreeSet::new(),
            arrival: 0,
        }
    }

    /// Appends a request to the queue of its account.
    ///
    /// A full queue displaces deferrable work in favor of urgent work and, within a rank, a request
    /// of the account with the most requests in favor of accounts with fewer.
    pub fn push(&mut self, entry: Entry) -> Step {
        let rank = entry.request.rank;
        let deferrable_places = self.capacity / DEFERRABLE_DIVISOR;
        let urgent_full =
            rank == Rank::Urgent && self.len(rank) + deferrable_places >= self.capacity;
        let mut displaced = None;
        if urgent_full || self.index.len() >= self.capacity {
            let Some(victim) = self.victim(&entry.request, deferrable_places, urgent_full) else {
                return Step::Full;
            };
            displaced = self.remove(victim);
        }
        self.arrival += 1;
        let (request, account) = (entry.request.id, entry.request.account);
        self.index.insert(request, (rank, account, self.arrival));
        self.expiry
            .insert((entry.target.min(entry.expires), request));
        self.lanes[rank as usize].push(account, self.arrival, entry);
        displaced.map_or(Step::Queued, |entry| Step::Displaced(Box::new(entry)))
    }

    /// Returns the next request of a rank without removing it.
    pub fn peek(&self, rank: Rank) -> Option<&Entry> {
        let lane = &self.lanes[rank as usize];
        let Some((_, account)) = lane.order.first() else {
            return lane.late.values().next();
        };
        lane.flows.get(account)?.waiting.values().next()
    }

    /// Returns the first request of each account with requests that can meet their target, in the
    /// order of service.
    pub(crate) fn heads(&self, rank: Rank) -> impl Iterator<Item = &Entry> {
        let lane = &self.lanes[rank as usize];
        let accounts = lane.order.iter().map(|(_, account)| account);
        accounts.filter_map(|account| lane.flows.get(account)?.waiting.values().next())
    }

    /// Removes and returns the next request of a rank.
    pub fn pop(&mut self, rank: Rank) -> Option<Entry> {
        let request = self.peek(rank)?.request.id;
        self.remove(request)
    }

    /// Removes and returns a request.
    pub fn remove(&mut self, request: RequestId) -> Option<Entry> {
        let (rank, account, arrival) = self.index.remove(&request)?;
        let lane = &mut self.lanes[rank as usize];
        if let Some(entry) = lane.late.remove(&arrival) {
            self.expiry.remove(&(entry.expires, request));
            return Some(entry);
        }
        let entry = lane.remove(account, arrival)?;
        let expiry = entry.target.min(entry.expires);
        self.expiry.remove(&(expiry, request));
        Some(entry)
    }

    /// Moves requests past their target to the late ones, until it finds an expired one to remove
    /// and return.
    pub fn expire(&mut self, now: Instant) -> Option<Entry> {
        while let Some(&(expiry, request)) = self.expiry.first()
            && expiry <= now
        {
            let entry = self.remove(request)?;
            if entry.expires <= now {
                return Some(entry);
            }
            self.arrival += 1;
            let (rank, account) = (entry.request.rank, entry.request.account);
            self.index.insert(request, (rank, account, self.arrival));
            self.expiry.insert((entry.expires, request));
            self.lanes[rank as usize].late.insert(self.arrival, entry);
        }
        None
    }

    /// Charges an account for a request that starts to run.
    pub fn charge(&mut self, rank: Rank, account: AccountId, cost: Tokens) {
        let lane = &mut self.lanes[rank as usize];
        let start = lane.raise_tag(account);
        lane.time = lane.time.max(start);
        lane.retag(account, start + cost);
        lane.prune();
    }

    /// Corrects the charge of an account from `charged` to the tokens that were `used`.
    pub fn settle(&mut self, rank: Rank, account: AccountId, charged: Tokens, used: Tokens) {
        let lane = &mut self.lanes[rank as usize];
        // A pruned account counts as if the virtual time had reached its tag.
        let known = lane.flows.get(&account).map(|flow| flow.tag);
        let tag = known.unwrap_or(lane.time);
        lane.retag(account, (tag + used).saturating_sub(charged));
        lane.prune();
    }

    /// Returns whether a request is in the queue.
    pub fn contains(&self, request: RequestId) -> bool {
        self.index.contains_key(&request)
    }

    /// Returns the number of waiting requests of a rank.
    pub fn len(&self, rank: Rank) -> usize {
        let lane = &self.lanes[rank as usize];
        lane.on_time + lane.late.len()
    }

    /// Returns whether the queue is empty.
    pub fn is_empty(&self) -> bool {
        self.index.is_empty()
    }

    /// Returns an upper bound on the requests of a rank that are served before a new one of the
    /// account.
    pub fn ahead(&self, rank: Rank, account: AccountId) -> usize {
        let lane = &self.lanes[rank as usize];
        let own = lane
            .flows
            .get(&account)
            .map_or(0, |flow| flow.waiting.len());
        // Accounts take turns, so each is served at most once for each request of this account.
        lane.on_time.min((own + 1) * lane.order.len())
    }

    /// Returns the request that a full queue displaces for a new one.
    fn victim(
        &self,
        request: &Request,
        deferrable_places: usize,
        urgent_full: bool,
    ) -> Option<RequestId> {
        let lane = &self.lanes[request.rank as usize];
        let flow = lane.flows.get(&request.account);
        let own = flow.map_or(0, |flow| flow.waiting.len());
        if request.rank == Rank::Urgent
            && !urgent_full
            && self.len(Rank::Deferrable) > deferrable_places
        {
            let deferrable = &self.lanes[Rank::Deferrable as usize];
            return deferrable.evictable(0);
        }
        lane.evictable(own + 1)
    }
}

impl Lane {
    /// Creates an empty queue.
    fn new() -> Self {
        Self {
            time: INITIAL_VIRTUAL_TIME,
            flows: BTreeMap::new(),
            order: BTreeSet::new(),
            by_waiting: BTreeSet::new(),
            idle: BTreeSet::new(),
            on_time: 0,
            late: BTreeMap::new(),
        }
    }

    /// Adds a request to the queue of an account.
    fn push(&mut self, account: AccountId, arrival: u64, entry: Entry) {
        self.raise_tag(account);
        let flow = self.flows.entry(account).or_default();
        let before = flow.waiting.len();
        if before == 0 {
            self.idle.remove(&(flow.tag, account));
            self.order.insert((flow.tag, account));
        } else {
            self.by_waiting.remove(&(before, account));
        }
        flow.waiting.insert(arrival, entry);
        self.by_waiting.insert((before + 1, account));
        self.on_time += 1;
    }

    /// Removes a request from the queue of an account.
    fn remove(&mut self, account: AccountId, arrival: u64) -> Option<Entry> {
        let flow = self.flows.get_mut(&account)?;
        let before = flow.waiting.len();
        let entry = flow.waiting.remove(&arrival)?;
        self.by_waiting.remove(&(before, account));
        if before == 1 {
            self.order.remove(&(flow.tag, account));
            self.idle.insert((flow.tag, account));
        } else {
            self.by_waiting.insert((before - 1, account));
        }
        self.on_time -= 1;
        Some(entry)
    }

    /// Returns the tag of an account, raised to the virtual time less the credit if it is idle.
    fn raise_tag(&mut self, account: AccountId) -> Tokens {
        let least = self.time - MAX_CREDIT;
        let flow = self.flows.get(&account);
        let tag = flow.map_or(least, |flow| flow.tag);
        if flow.is_none_or(|flow| flow.waiting.is_empty()) {
            self.retag(account, tag.max(least));
        }
        self.flows[&account].tag
    }

    /// Sets the tag of an account.
    fn retag(&mut self, account: AccountId, tag: Tokens) {
        let flow = self.flows.entry(account).or_default();
        let set = if flow.waiting.is_empty() {
            &mut self.idle
        } else {
            &mut self.order
        };
        set.remove(&(flow.tag, account));
        set.insert((tag, account));
        flow.tag = tag;
    }

    /// Drops idle accounts whose tag is not above the virtual time less the credit, and those with
    /// the lowest tags while there are more than [`MAX_IDLE_ACCOUNTS`].
    fn prune(&mut self) {
        while let Some(&(tag, account)) = self.idle.first() {
            if tag > self.time - MAX_CREDIT && self.idle.len() <= MAX_IDLE_ACCOUNTS {
                return;
            }
            self.idle.remove(&(tag, account));
            self.flows.remove(&account);
        }
    }

    /// Returns the oldest late request, or else the newest request of the account with the most if
    /// it has more than `min_waiting`.
    fn evictable(&self, min_waiting: usize) -> Option<RequestId> {
        if let Some(late) = self.late.values().next() {
            return Some(late.request.id);
        }
        let (count, account) = self.by_waiting.last()?;
        if *count <= min_waiting {
            return None;
        }
        let newest = self.flows.get(account)?.waiting.values().next_back()?;
        Some(newest.request.id)
    }
}
