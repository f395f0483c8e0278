//! Kinds of requests, and the figures of their callers.

use daisyyard_core::id::Tokens;

/// Requests of one kind.
#[derive(Debug, Clone, Copy)]
pub struct Class {
    /// Name in tables.
    pub name: &'static str,
    /// Requests per second.
    pub rate: f64,
    /// Priority.
    pub priority: u8,
    /// Prompt tokens, mean output events, and factor on both for the largest tenth.
    pub work: (Tokens, Tokens, u64),
    /// Target, and time limit, in milliseconds.
    pub times: (u64, u64),
    /// Worth in time and late.
    pub worth: (f64, f64),
}

/// Figures of the callers of one group.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub struct Tally {
    /// Requests.
    pub sent: u32,
    /// Served in time.
    pub in_time: u32,
    /// Served late.
    pub late: u32,
    /// Refused in the end.
    pub refused: u32,
    /// Left by their callers before the first event.
    pub lost: u32,
    /// Refused after more than an eighth of the target.
    pub refused_after_waiting: u32,
    /// Worth of the answers.
    pub worth: f64,
}

impl Tally {
    /// Returns the sum of two tallies.
    pub fn plus(self, other: &Self) -> Self {
        Self {
            sent: self.sent + other.sent,
            in_time: self.in_time + other.in_time,
            late: self.late + other.late,
            refused: self.refused + other.refused,
            lost: self.lost + other.lost,
            refused_after_waiting: self.refused_after_waiting + other.refused_after_waiting,
            worth: self.worth + other.worth,
        }
    }

    /// Returns the share of the requests that were served.
    pub fn served_share(&self) -> f64 {
        f64::from(self.in_time + self.late) / f64::from(self.sent.max(1))
    }

    /// Returns the share of the requests that were served in time.
    pub fn in_time_share(&self) -> f64 {
        f64::from(self.in_time) / f64::from(self.sent.max(1))
    }
}

/// Season plans and clash checks for a number of engines at their capacity, which the prompts that
/// engines read bound.
pub fn lublin(engines: usize) -> Vec<Class> {
    let scale = engines as f64 * 0.95 / (18.5 * 0.2355 + 36.2 * 0.182);
    let plan = Class {
        name: "season plan",
        rate: 18.5 * scale,
        priority: 2,
        work: (3_079, 188, 2),
        times: (4_000, 39_000),
        worth: (140.0, 31.0),
    };
    let check = Class {
        name: "clash check",
        rate: 36.2 * scale,
        priority: 0,
        work: (2_550, 2, 1),
        times: (1_500, 6_000),
        worth: (70.0, 4.2),
    };
    vec![plan, check]
}

/// Answer summaries and reply labels for a number of engines at their capacity.
pub fn flanders(engines: usize) -> Vec<Class> {
    let scale = engines as f64 * 0.95 / (23.4 * 0.242 + 26.1 * 0.182);
    let summary = Class {
        name: "answer summary",
        rate: 23.4 * scale,
        priority: 1,
        work: (3_079, 187, 2),
        times: (1_800, 39_000),
        worth: (180.0, 27.0),
    };
    let label = Class {
        name: "reply label",
        rate: 26.1 * scale,
        priority: 1,
        work: (2_550, 2, 1),
        times: (1_500, 6_000),
        worth: (24.0, 3.6),
    };
    vec![summary, label]
}
