//! Service-level objectives: how fast each service and rank burns its error budget.
//!
//! Requests are counted in five-minute slots that are aligned to the system clock, so that the
//! counts of several nodes can be added.

use std::collections::BTreeMap;
use std::time::{Duration, SystemTime, UNIX_EPOCH};

use daisyyard_derive::{key, record, value};

use crate::contract::{Contract, Rank};
use crate::id::ServiceId;

/// Length of one slot of counts.
pub const SLOT_LENGTH: Duration = Duration::from_mins(5);
/// Number of slots kept, which cover six hours.
pub const KEPT_SLOTS: u64 = 72;
/// Objective: share of requests that meet their targets, 95 in 100.
pub const OBJECTIVE: f64 = 0.95;
/// Error budget: share of requests that may miss their targets.
pub const ERROR_BUDGET: f64 = 0.05;
/// Burn rate over five minutes and an hour that pages an operator: 30 requests in 100 miss their
/// targets, and an hour at this rate spends the error budget of six hours. With 5 in 100 allowed,
/// the rate cannot exceed 20, so the thresholds common for objectives of 99.9 % are out of reach.
pub const PAGE_BURN_RATE: f64 = 6.0;
/// Burn rate over half an hour and six hours that opens a ticket for the same day: 10 requests in
/// 100 miss their targets.
pub const TICKET_BURN_RATE: f64 = 2.0;
/// Minimum number of requests in the longer window for an alert, so that one refusal of an
/// otherwise idle account raises none.
pub const MIN_ALERT_REQUESTS: u64 = 20;

/// Result of a request against its targets.
#[key]
pub enum Verdict {
    /// The request met all targets.
    Met,
    /// The request was refused before its first token.
    Refused,
    /// The first token exceeded its target.
    Late,
    /// The mean time between tokens exceeded its target.
    Slow,
    /// The answer ended before it was complete.
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
    /// The answer is complete.
    Complete,
    /// The caller received a refusal and no token.
    Refused,
    /// The answer ended before it was complete.
    Interrupted,
    /// The caller disconnected, or read too slowly, before the end.
    Left,
}

/// Measurements of one request.
#[key]
pub struct Observation {
    /// How the request ended.
    pub end: End,
    /// Time from the request to its end.
    pub duration: Duration,
    /// Time from the request to its first token, if there was one.
    pub first_token: Option<Duration>,
    /// Mean time between two tokens, if there were two.
    pub token_gap: Option<Duration>,
}

impl Observation {
    /// Returns the verdict, or none if the caller left before the first token was due.
    pub fn verdict(&self, contract: &Contract) -> Option<Verdict> {
        let first = match self.end {
            End::Refused => return Some(Verdict::Refused),
            End::Interrupted => return Some(Verdict::Interrupted),
            End::Complete | End::Left => self.first_token.unwrap_or(self.duration),
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

/// Size class of a client account by its share of the recent work.
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

    /// Returns the class of an account with the given work, compared with the mean of all accounts.
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

/// Key by which requests are counted.
#[key]
pub struct Subject {
    /// Service of the requests.
    pub service: ServiceId,
    /// Rank of the requests.
    pub rank: Rank,
    /// Size class of the client accounts.
    pub class: Class,
}

/// Number of requests by verdict.
#[value]
#[derive(Copy, Default)]
pub struct Count {
    /// Number of requests of each verdict, in the order of [`Verdict::ALL`].
    pub verdicts: [u64; 5],
}

impl Count {
    /// Returns the number of all requests.
    pub fn total(&self) -> u64 {
        self.verdicts.iter().sum()
    }

    /// Returns the number of requests that met their targets.
    pub fn met(&self) -> u64 {
        self.verdicts[Verdict::Met as usize]
    }

    /// Returns the share of requests that met their targets, or 1 without requests.
    pub fn attainment(&self) -> f64 {
        if self.total() == 0 {
            1.0
        } else {
            self.met() as f64 / self.total() as f64
        }
    }

    /// Returns the burn rate: the share of missed requests as a multiple of the error budget.
    pub fn burn_rate(&self) -> f64 {
        let missed = (self.total() - self.met()) as f64;
        missed / self.total().max(1) as f64 / ERROR_BUDGET
    }

    /// Adds another count.
    pub fn add(&mut self, other: &Self) {
        for (mine, theirs) in self.verdicts.iter_mut().zip(&other.verdicts) {
            *mine += theirs;
        }
    }
}

/// Request counts of one node, or the sum over several nodes.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Meter {
    /// Counts by subject and by slot number.
    slots: BTreeMap<(Subject, u64), Count>,
    /// Number of the newest slot.
    newest: u64,
}

/// Alert level for operators.
#[key]
pub enum Alert {
    /// The burn rates are below the thresholds.
    None,
    /// An operator should look into it on the same day.
    Ticket,
    /// An operator should look into it at once.
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

/// Error budget and burn rates of a selection of subjects, such as one service and rank.
#[record]
pub struct Summary {
    /// Requests of the last six hours.
    pub count: Count,
    /// Remaining share of the error budget of the last six hours; negative when overspent.
    pub budget_left: f64,
    /// Burn rates over 5 minutes, 1 hour, 30 minutes and 6 hours.
    pub burn_rates: [f64; 4],
    /// Alert level that follows from the burn rates.
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

    /// Adds a count that another node reported.
    pub fn merge(&mut self, subject: Subject, slot: u64, count: &Count) {
        self.slots.entry((subject, slot)).or_default().add(count);
        self.prune(slot);
    }

    /// Drops the slots that no window covers any more, once for each new slot.
    fn prune(&mut self, slot: u64) {
        if slot > self.newest {
            self.newest = slot;
            self.slots
                .retain(|(_, number), _| *number + KEPT_SLOTS > slot);
        }
    }

    /// Returns all counts with their subjects and slot numbers.
    pub fn counts(&self) -> impl Iterator<Item = (&Subject, u64, &Count)> {
        self.slots
            .iter()
            .map(|((subject, slot), count)| (subject, *slot, count))
    }

    /// Summarizes the subjects for which `select` returns true.
    pub fn summarize(&self, now: SystemTime, select: impl Fn(&Subject) -> bool) -> Summary {
        let current = slot(now);
        let count_over = |slots: u64| {
            let mut sum = Count::default();
            let recent = self.slots.iter().filter(|((subject, number), _)| {
                select(subject) && *number <= current && *number + slots > current
            });
            for (_, count) in recent {
                sum.add(count);
            }
            sum
        };
        // The current slot is incomplete, so the five-minute window includes the one before it.
        let burn_rates = [
            count_over(2).burn_rate(),
            count_over(12).burn_rate(),
            count_over(6).burn_rate(),
            count_over(KEPT_SLOTS).burn_rate(),
        ];
        let count = count_over(KEPT_SLOTS);
        let has_enough = |slots| count_over(slots).total() >= MIN_ALERT_REQUESTS;
        let alert =
            if burn_rates[0] >= PAGE_BURN_RATE && burn_rates[1] >= PAGE_BURN_RATE && has_enough(12)
            {
                Alert::Page
            } else if burn_rates[2] >= TICKET_BURN_RATE
                && burn_rates[3] >= TICKET_BURN_RATE
                && has_enough(KEPT_SLOTS)
            {
                Alert::Ticket
            } else {
                Alert::None
            };
        Summary {
            count,
            budget_left: 1.0 - count.burn_rate(),
            burn_rates,
            alert,
        }
    }
}

/// Returns the number of the slot that a time falls into.
pub fn slot(now: SystemTime) -> u64 {
    now.duration_since(UNIX_EPOCH).unwrap_or_default().as_secs() / SLOT_LENGTH.as_secs()
}
