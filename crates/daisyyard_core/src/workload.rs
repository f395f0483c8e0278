//! Work that client accounts ask for and get in the whole fleet, and the share up to which an
//! account is served as if the others were absent.
//!
//! Each node counts its own work with decay and tells the others its heaviest accounts and the sum of
//! the rest. What a node that is lost has told is kept until it has decayed, so an account gains
//! nothing by the loss of a node.

use std::collections::{BTreeMap, HashMap};
use std::time::{Duration, Instant};

use daisyyard_derive::record;

use crate::id::{AccountId, InstanceId};
use crate::share::{ACTIVE_PERIOD, Demand, MAX_ACCOUNTS};

/// Number of the heaviest accounts that a node reports.
pub const REPORTED_ACCOUNTS: usize = 8;
/// Time between two calculations of the share.
const REFRESH_INTERVAL: Duration = Duration::from_millis(50);
/// Relative excess of the demand over the served work from which capacity counts as scarce. Requests
/// that are about to start make up the rest.
const SCARCITY: f64 = 0.02;
/// Factor on the share above which an account exceeds it. An account that gets just its share must
/// not change its class with each request.
const TOLERANCE: f64 = 1.02;

/// Work of one account.
#[derive(Debug, Clone, Copy)]
struct Work {
    /// Work that was asked for, counted once per request.
    asked: Demand,
    /// Work that was started.
    served: Demand,
}

/// Work of one account, in a report to other nodes.
#[record]
#[derive(Copy)]
pub struct Part {
    /// The account; `None` for the sum of all that the report does not name.
    pub account: Option<AccountId>,
    /// Work that was asked for, decayed.
    pub asked: f64,
    /// Work that was started, decayed.
    pub served: f64,
}

/// Work of all accounts in the fleet.
#[derive(Debug)]
pub struct Workload {
    /// Work at this node.
    own: BTreeMap<AccountId, Work>,
    /// Work at other nodes, as they last reported it.
    others: HashMap<InstanceId, (Vec<Part>, Instant)>,
    /// Served work of each account, and the share, as last calculated.
    served: BTreeMap<AccountId, f64>,
    /// Served work above which an account exceeds its share; infinite while capacity is not scarce.
    share: f64,
    /// Part of the work that was asked for by accounts above their share.
    excess_part: f64,
    /// When these were calculated.
    refreshed: Option<Instant>,
}

impl Work {
    /// Creates the record of an account without work.
    fn new(now: Instant) -> Self {
        Self {
            asked: Demand::new(now),
            served: Demand::new(now),
        }
    }
}

impl Default for Workload {
    fn default() -> Self {
        Self {
            own: BTreeMap::new(),
            others: HashMap::new(),
            served: BTreeMap::new(),
            share: f64::INFINITY,
            excess_part: 0.0,
            refreshed: None,
        }
    }
}

impl Workload {
    /// Counts work that an account asks for.
    pub fn ask(&mut self, account: AccountId, work: f64, now: Instant) {
        if let Some(known) = self.entry(account, now) {
            known.asked.add(work, now);
        }
    }

    /// Counts work of an account that was started.
    pub fn serve(&mut self, account: AccountId, work: f64, now: Instant) {
        if let Some(known) = self.entry(account, now) {
            known.served.add(work, now);
        }
        *self.served.entry(account).or_default() += work;
    }

    /// Returns the record of an account; `None` if there are too many accounts.
    fn entry(&mut self, account: AccountId, now: Instant) -> Option<&mut Work> {
        if self.own.len() >= MAX_ACCOUNTS && !self.own.contains_key(&account) {
            return None;
        }
        let entry = self.own.entry(account);
        Some(entry.or_insert_with(|| Work::new(now)))
    }

    /// Returns whether an account has got more than its share while others lack capacity.
    ///
    /// The share is the max-min fair one: accounts that ask for less than it get all that they ask
    /// for, and the others get equal parts of the rest.
    pub fn exceeds_share(&self, account: AccountId) -> bool {
        let served = self.served.get(&account).copied().unwrap_or_default();
        served > self.share * TOLERANCE
    }

    /// Calculates the shares anew if the last calculation is old.
    pub fn refresh(&mut self, now: Instant) {
        let fresh = |at: Instant| now.saturating_duration_since(at) < REFRESH_INTERVAL;
        if self.refreshed.is_some_and(fresh) {
            return;
        }
        self.refreshed = Some(now);
        let active = |demand: &Demand| demand.is_active(now);
        self.own
            .retain(|_, work| active(&work.asked) || active(&work.served));
        self.others
            .retain(|_, (_, at)| now.saturating_duration_since(*at) < ACTIVE_PERIOD);
        let mut sums: BTreeMap<AccountId, (f64, f64)> = BTreeMap::new();
        let mut rest = (0.0, 0.0);
        let own = self.own.iter().map(|(account, work)| {
            let work = (work.asked.decayed(now), work.served.decayed(now));
            (Some(*account), work)
        });
        let others = self.others.values().flat_map(|(parts, at)| {
            let decay = Demand::decay(*at, now);
            let work = move |part: &Part| (part.asked * decay, part.served * decay);
            parts.iter().map(move |part| (part.account, work(part)))
        });
        for (account, (asked, served)) in own.chain(others) {
            let sum = account.map_or(&mut rest, |account| sums.entry(account).or_default());
            sum.0 += asked;
            sum.1 += served;
        }
        self.served = sums
            .iter()
            .map(|(account, sum)| (*account, sum.1))
            .collect();
        self.share = share(sums.values().copied(), rest);
        let all: f64 = sums.values().map(|sum| sum.0).sum::<f64>() + rest.0;
        let excess = sums
            .iter()
            .filter(|(account, _)| self.exceeds_share(**account));
        let excess: f64 = excess.map(|(_, sum)| sum.0).sum();
        self.excess_part = if all > 0.0 { excess / all } else { 0.0 };
    }

    /// Returns the part of the work asked for by accounts that have got more than their share.
    pub(crate) fn excess_part(&self) -> f64 {
        self.excess_part
    }

    /// Replaces what another node reported.
    pub fn learn(&mut self, from: InstanceId, parts: Vec<Part>, now: Instant) {
        self.others.insert(from, (parts, now));
    }

    /// Returns the heaviest accounts of this node and the sum of the rest.
    pub fn report(&self, now: Instant) -> Vec<Part> {
        let mut parts: Vec<Part> = self
            .own
            .iter()
            .map(|(account, work)| Part {
                account: Some(*account),
                asked: work.asked.decayed(now),
                served: work.served.decayed(now),
            })
            .collect();
        parts.sort_by(|one, two| two.asked.total_cmp(&one.asked));
        let rest = parts.split_off(parts.len().min(REPORTED_ACCOUNTS));
        let sum = |work: fn(&Part) -> f64| rest.iter().map(work).sum::<f64>();
        if !rest.is_empty() {
            parts.push(Part {
                account: None,
                asked: sum(|part| part.asked),
                served: sum(|part| part.served),
            });
        }
        parts
    }

    /// Returns the accounts with the most served work in the fleet, as last calculated.
    pub fn heaviest(&self, count: usize) -> Vec<AccountId> {
        let mut accounts: Vec<(AccountId, f64)> = self
            .served
            .iter()
            .map(|(account, served)| (*account, *served))
            .collect();
        accounts.sort_by(|one, two| two.1.total_cmp(&one.1));
        let accounts = accounts.into_iter().take(count);
        accounts.map(|(account, _)| account).collect()
    }
}

/// Returns the max-min fair share of the served work, or infinity if all that was asked for was
/// served. The work of unnamed accounts counts as within the share, as these are the smallest ones.
fn share(sums: impl Iterator<Item = (f64, f64)>, rest: (f64, f64)) -> f64 {
    let mut demands: Vec<f64> = Vec::new();
    // What the unnamed accounts still lack is kept for them.
    let mut room = (rest.1 - rest.0).min(0.0);
    let (mut asked_total, mut served_total) = rest;
    for (asked, served) in sums {
        // Work that others report late may make an account seem to get more than it asked for.
        demands.push(asked.max(served));
        room += served;
        asked_total += asked.max(served);
        served_total += served;
    }
    if asked_total <= served_total * (1.0 + SCARCITY) {
        return f64::INFINITY;
    }
    demands.sort_by(f64::total_cmp);
    let mut left = demands.len();
    for demand in demands {
        let equal = room / left as f64;
        if demand > equal {
            return equal;
        }
        room -= demand;
        left -= 1;
    }
    f64::INFINITY
}
