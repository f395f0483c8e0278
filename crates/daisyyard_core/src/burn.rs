//! Service-level burn: how fast each service and rank spends its error budget.
//!
//! Requests are counted in slots of five minutes that are aligned to the clock, so that the
//! counts of several nodes can be added.

use std::collections::BTreeMap;
use std::time::{Duration, SystemTime, UNIX_EPOCH};

use daisyyard_derive::{key, record, value};

use crate::contract::{Contract, Rank};
use crate::id::ServiceId;

/// Length of one slot.
pub const SLOT: Duration = Duration::from_mins(5);
/// Slots that are kept, which cover six hours.
pub const SLOTS: u64 = 72;
/// Share of requests that should meet their targets: 95 in 100.
pub const OBJECTIVE: f64 = 0.95;
/// Share of requests that may miss their targets: the error budget.
pub const BUDGET: f64 = 0.05;
/// Burn rate over five minutes and an hour that calls an operator at once: 30 requests in 100 miss
/// their targets, and an hour of it spends a whole six hours' budget. With 5 in 100 allowed, no
/// rate exceeds 20, so the rates that are usual for objectives of 99.9 % would never be reached.
pub const FAST_BURN: f64 = 6.0;
/// Burn rate over half an hour and six hours that calls for a look on the same day: 10 requests in
/// 100 miss their targets.
pub const SLOW_BURN: f64 = 2.0;
/// Requests in the longer window without which nobody is called; one refusal of an idle account is
/// no trend.
pub const LEAST_REQUESTS: u64 = 20;

/// How a request ended.
#[key]
pub enum Verdict {
    /// All targets were met.
    Met,
    /// The request was refused.
    Refused,
    /// The first token came late.
    Late,
    /// The tokens came too slowly.
    Slow,
    /// The answer broke off.
    Interrupted,
}

impl Verdict {
    /// All verdicts, in the order of [`Count::verdicts`].
    pub const ALL: [Self; 5] = [
        Self::Met,
        Self::Refused,
        Self::Late,
        Self::Slow,
        Self::Interrupted,
    ];

    /// Returns the name used in reports.
    pub fn name(self) -> &'static str {
        match self {
            Self::Met => "met",
            Self::Refused => "refused",
            Self::Late => "late_first_token",
            Self::Slow => "slow_tokens",
            Self::Interrupted => "interrupted",
        }
    }
}

/// How a request ended, before its times are compared with its targets.
#[key]
pub enum End {
    /// The answer is whole.
    Whole,
    /// The caller got a refusal and no token.
    Refused,
    /// The answer broke off.
    Interrupted,
    /// The caller left, or read too slowly, before the end.
    Left,
}

/// What was measured of one request.
#[key]
pub struct Observed {
    /// How the request ended.
    pub end: End,
    /// Time from the request to its end.
    pub lasted: Duration,
    /// Time from the request to its first token, if there was one.
    pub first_token: Option<Duration>,
    /// Mean time between two tokens, if there were two.
    pub token_gap: Option<Duration>,
}

impl Observed {
    /// Returns the verdict; none if the caller left before any target could be missed or met.
    pub fn verdict(&self, contract: &Contract) -> Option<Verdict> {
        let first = match self.end {
            End::Refused => return Some(Verdict::Refused),
            End::Interrupted => return Some(Verdict::Interrupted),
            End::Whole | End::Left => self.first_token.unwrap_or(self.lasted),
        };
        if first > contract.first_token {
            return Some(Verdict::Late);
        }
        if self.end == End::Left && self.first_token.is_none() {
            return None;
        }
        let slow = self.token_gap.is_some_and(|gap| gap > contract.token_gap);
        Some(if slow { Verdict::Slow } else { Verdict::Met })
    }
}

/// Size of a client account by its share of the recent work.
#[key]
pub enum Class {
    /// Less than half of the mean share.
    Small,
    /// Up to four times the mean share.
    Medium,
    /// More than four times the mean share.
    Large,
}

impl Class {
    /// All classes, smallest first.
    pub const ALL: [Self; 3] = [Self::Small, Self::Medium, Self::Large];

    /// Returns the class of an account that did `work` where the mean account did `mean`.
    pub fn of(work: f64, mean: f64) -> Self {
        if work < mean / 2.0 {
            Self::Small
        } else if work <= mean * 4.0 {
            Self::Medium
        } else {
            Self::Large
        }
    }

    /// Returns the name used in reports.
    pub fn name(self) -> &'static str {
        match self {
            Self::Small => "small",
            Self::Medium => "medium",
            Self::Large => "large",
        }
    }
}

/// What requests are counted by.
#[key]
pub struct Subject {
    /// Service of the requests.
    pub service: ServiceId,
    /// Rank of the requests.
    pub rank: Rank,
    /// Size class of the client accounts.
    pub class: Class,
}

/// Requests by verdict.
#[value]
#[derive(Copy, Default)]
pub struct Count {
    /// Requests of each verdict, in the order of [`Verdict::ALL`].
    pub verdicts: [u64; 5],
}

impl Count {
    /// Returns all requests.
    pub fn total(&self) -> u64 {
        self.verdicts.iter().sum()
    }

    /// Returns the requests that met their targets.
    pub fn met(&self) -> u64 {
        self.verdicts[Verdict::Met as usize]
    }

    /// Returns the share of requests that met their targets; 1 where there were none.
    pub fn attainment(&self) -> f64 {
        if self.total() == 0 {
            1.0
        } else {
            self.met() as f64 / self.total() as f64
        }
    }

    /// Returns how many times faster than allowed the error budget is spent.
    pub fn burn(&self) -> f64 {
        let missed = (self.total() - self.met()) as f64;
        missed / self.total().max(1) as f64 / BUDGET
    }

    /// Adds other requests.
    pub fn add(&mut self, other: &Self) {
        for (mine, theirs) in self.verdicts.iter_mut().zip(&other.verdicts) {
            *mine += theirs;
        }
    }
}

/// Counts of one node, or of several added up.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Meter {
    /// Counts by subject and by slot number.
    slots: BTreeMap<(Subject, u64), Count>,
    /// Number of the newest slot.
    newest: u64,
}

/// Whether an operator is called.
#[key]
pub enum Alert {
    /// The budget lasts.
    None,
    /// Look into it today.
    Ticket,
    /// Look into it now.
    Page,
}

impl Alert {
    /// Returns the name used in reports.
    pub fn name(self) -> &'static str {
        match self {
            Self::None => "ok",
            Self::Ticket => "ticket",
            Self::Page => "page",
        }
    }
}

/// Burn of one subject, or of all classes of one service and rank.
#[record]
pub struct Line {
    /// Requests of the last six hours.
    pub count: Count,
    /// Share of the six hours' error budget that is left; negative when overspent.
    pub budget_left: f64,
    /// Burn rates over 5 minutes, 1 hour, 30 minutes and 6 hours.
    pub rates: [f64; 4],
    /// Whether an operator is called.
    pub alert: Alert,
}

impl Meter {
    /// Creates an empty meter.
    pub fn new() -> Self {
        Self::default()
    }

    /// Counts one request.
    pub fn record(&mut self, subject: Subject, verdict: Verdict, now: SystemTime) {
        let slot = slot(now);
        self.slots.entry((subject, slot)).or_default().verdicts[verdict as usize] += 1;
        self.prune(slot);
    }

    /// Adds a count of another node.
    pub fn merge(&mut self, subject: Subject, slot: u64, count: &Count) {
        self.slots.entry((subject, slot)).or_default().add(count);
        self.prune(slot);
    }

    /// Drops the slots that are out of every window, once for each new slot.
    fn prune(&mut self, slot: u64) {
        if slot > self.newest {
            self.newest = slot;
            self.slots.retain(|(_, number), _| *number + SLOTS > slot);
        }
    }

    /// Returns all counts with their subjects and slot numbers.
    pub fn counts(&self) -> impl Iterator<Item = (&Subject, u64, &Count)> {
        self.slots
            .iter()
            .map(|((subject, slot), count)| (subject, *slot, count))
    }

    /// Returns the burn of the subjects that a closure selects.
    pub fn line(&self, now: SystemTime, select: impl Fn(&Subject) -> bool) -> Line {
        let present = slot(now);
        let over = |slots: u64| {
            let mut sum = Count::default();
            let recent = self.slots.iter().filter(|((subject, number), _)| {
                select(subject) && *number <= present && *number + slots > present
            });
            for (_, count) in recent {
                sum.add(count);
            }
            sum
        };
        // The slot in progress is short; the five-minute window takes in the one before it.
        let rates = [
            over(2).burn(),
            over(12).burn(),
            over(6).burn(),
            over(SLOTS).burn(),
        ];
        let count = over(SLOTS);
        let enough = |slots| over(slots).total() >= LEAST_REQUESTS;
        let alert = if rates[0] >= FAST_BURN && rates[1] >= FAST_BURN && enough(12) {
            Alert::Page
        } else if rates[2] >= SLOW_BURN && rates[3] >= SLOW_BURN && enough(SLOTS) {
            Alert::Ticket
        } else {
            Alert::None
        };
        Line {
            count,
            budget_left: 1.0 - count.burn(),
            rates,
            alert,
        }
    }
}

/// Returns the number of the slot that a time falls into.
pub fn slot(now: SystemTime) -> u64 {
    now.duration_since(UNIX_EPOCH).unwrap_or_default().as_secs() / SLOT.as_secs()
}
