//! Outlook of a request that cannot start now: when capacity is expected for it, whether it waits for
//! that, and when it should return if not.

use std::collections::BTreeMap;
use std::time::{Duration, Instant};

use daisyyard_derive::key;
use rand::Rng;

use crate::gate::{Gate, MAX_WAITING};
use crate::id::{ServiceId, Tokens};
use crate::room::{FORECAST_LONG_RUN_SHARE, Room};
use crate::turn::{Ask, Kind, Standing};

/// Least share of the released memory on which a forecast of a wait is based; with less, none is made.
const MIN_ADVANCE_SHARE: f64 = 0.03;
/// Share of the time until its target that a request may be expected to wait and still counts as in
/// time. The rest covers the error of the forecast.
const IN_TIME_SHARE: f64 = 0.45;
/// Range of random factors on the delay of a refused request.
const SPREAD: std::ops::Range<f64> = 1.0..1.3;
/// Shortest delay of a refused request.
const MIN_RETRY_DELAY: Duration = Duration::from_millis(200);
/// Share of the time left for which callers wait at most before they return.
const MAX_RETRY_SHARE: f64 = 1.0 / 3.0;

/// Factor on the time that a request has left when it is judged again. A refusal after waiting costs
/// its caller more than one at arrival.
const WAITED_LENIENCE: f64 = 3.0;

/// Decision on a request that cannot start at once.
#[key]
pub enum Verdict {
    /// The request waits.
    Wait,
    /// The request is refused; capacity is expected after this delay.
    Refuse(Duration),
}

/// Returns the time at which a request must start at the latest: its caller has not left, and the
/// answer can be complete by the deadline.
fn latest_start(ask: &Ask, hold: Duration) -> Instant {
    let complete = ask.deadline.checked_sub(hold).unwrap_or(ask.deadline);
    ask.leaves.min(complete)
}

impl<T> Gate<T> {
    /// Decides whether a request that cannot start now waits.
    ///
    /// A request that is expected to be in time waits. One that would be late waits if capacity is
    /// expected for it before its caller leaves, because a late answer is worth more than none.
    /// Otherwise it is refused at once, as a refusal costs the more the later it comes.
    pub fn judge(&mut self, ask: &Ask, room: &Room, now: Instant) -> Verdict {
        if self.entries.len() >= MAX_WAITING {
            return Verdict::Refuse(self.retry_delay(ask, None, now));
        }
        let ahead = [false, true].map(|late| self.ahead(ask, late, now));
        self.judge_behind(ask, ahead, room, 1.0, now)
    }

    /// Returns the memory that waiting requests of this node need that go before one in time or late.
    fn ahead(&self, ask: &Ask, late: bool, now: Instant) -> f64 {
        let turn = self.turn_if(ask, late);
        let before = self.entries.iter().filter(|entry| {
            let same = entry.ask.kind.service == ask.kind.service;
            same && self.turn(&entry.ask, now) < turn
        });
        before.map(|entry| entry.ask.size as f64).sum()
    }

    /// Decides as [`Gate::judge`], with the memory needed by waiting requests of this node that go first if
    /// the request is in time or late, and with a factor on the time that the request has left.
    pub(crate) fn judge_behind(
        &mut self,
        ask: &Ask,
        ahead: [f64; 2],
        room: &Room,
        lenience: f64,
        now: Instant,
    ) -> Verdict {
        if room.memory == 0 {
            // Nothing is known of the capacity that may appear, so the target decides.
            return if now < ask.target.min(ask.deadline) {
                Verdict::Wait
            } else {
                Verdict::Refuse(self.retry_delay(ask, None, now))
            };
        }
        let hold = self.forecast.hold(ask.kind);
        let left = |until: Instant| until.saturating_duration_since(now).mul_f64(lenience);
        let last = latest_start(ask, hold);
        let lead = self.forecast.lead(ask.kind);
        let in_time = left(ask.target.min(last))
            .mul_f64(IN_TIME_SHARE)
            .saturating_sub(lead);
        let wait = self.wait(ask, false, ahead[0], room, now);
        if !self.is_late(ask, now) && wait.is_some_and(|wait| wait <= in_time) {
            return Verdict::Wait;
        }
        let wait = self.wait(ask, true, ahead[1], room, now);
        if last > now && wait.is_some_and(|wait| wait <= left(last).saturating_sub(lead)) {
            return Verdict::Wait;
        }
        Verdict::Refuse(self.retry_delay(ask, wait, now))
    }

    /// Returns the expected time until a request can start, in time or late; `None` if no capacity
    /// is expected for it while the demand lasts.
    ///
    /// The memory that it needs, and that of the requests before it, becomes free at the rate at which
    /// runs end, less the part that is taken by requests that will arrive and go first.
    fn wait(
        &self,
        ask: &Ask,
        late: bool,
        ahead: f64,
        room: &Room,
        now: Instant,
    ) -> Option<Duration> {
        let release = self.forecast.release_rate(ask.kind.service, room.held);
        let ahead = ahead + self.waiting_before(ask, late, now);
        let free = self.free(ask, room);
        let needed = ahead + ask.size as f64 - free;
        if needed <= 0.0 {
            return self.wait_in_line(ask, late, ahead);
        }
        let advance = release - self.overtaking(ask, late);
        if advance < release * MIN_ADVANCE_SHARE || advance <= 0.0 {
            return None;
        }
        Duration::try_from_secs_f64(needed / advance).ok()
    }

    /// Returns the expected time until a request can start if there is memory for it and for those before
    /// it, but something else delays them, such as prompts that engines have to read. They go on as
    /// fast as requests were started lately.
    fn wait_in_line(&self, ask: &Ask, late: bool, ahead: f64) -> Option<Duration> {
        let started = self.forecast.started(ask.kind.service);
        if ahead <= 0.0 || started <= 0.0 {
            return Some(Duration::ZERO);
        }
        let advance = started - self.overtaking(ask, late);
        if advance < started * MIN_ADVANCE_SHARE {
            return None;
        }
        Duration::try_from_secs_f64(ahead / advance).ok()
    }

    /// Returns the memory per second of the requests that are expected to arrive and to go before one
    /// that waits.
    fn overtaking(&self, ask: &Ask, late: bool) -> f64 {
        let service = ask.kind.service;
        let overtakes = |kind: &Kind| match (late, ask.kind.short) {
            (true, false) => true,
            (true, true) => !ask.kind.precedes(kind),
            (false, _) => kind.precedes(&ask.kind),
        };
        match self.standing(ask) {
            Standing::Last => {
                let within = 1.0 - self.workload.excess_part();
                within * self.forecast.demand(service, |_| true)
            }
            Standing::Within | Standing::Above => self.forecast.demand(service, overtakes),
        }
    }

    /// Returns the memory that a request may use now beside that kept for short ones.
    fn free(&self, ask: &Ask, room: &Room) -> f64 {
        let memory = room.memory as f64;
        if ask.kind.short {
            return memory - room.held as f64;
        }
        let reserve = self.forecast.reserve(ask.kind.service, room.held);
        let kept = reserve.places as f64 * reserve.size as f64;
        memory * FORECAST_LONG_RUN_SHARE - kept - room.held as f64
    }

    /// Returns the memory that requests need that wait at other nodes and go before this one. Those of
    /// its own kind are taken to have arrived evenly since the oldest one.
    pub(crate) fn waiting_before(&self, ask: &Ask, late: bool, now: Instant) -> f64 {
        let age = now.saturating_duration_since(ask.place).as_secs_f64();
        let reports = self.fresh(now).flat_map(|report| &report.waiting);
        let same = reports.filter(|waiting| waiting.kind.service == ask.kind.service);
        let before = same.map(|waiting| {
            let size = waiting.size as f64;
            if waiting.kind.precedes(&ask.kind) || late && !ask.kind.short {
                size
            } else if waiting.kind == ask.kind {
                let oldest = waiting.age.as_secs_f64();
                size * ((oldest - age) / oldest.max(1e-3)).clamp(0.0, 1.0)
            } else {
                0.0
            }
        });
        before.sum()
    }

    /// Returns the delay after which a refused request should return: when capacity is expected for
    /// it, but no later than its caller waits, and spread so that callers do not return together.
    fn retry_delay(&mut self, ask: &Ask, wait: Option<Duration>, now: Instant) -> Duration {
        let left = ask.deadline.saturating_duration_since(now);
        let longest = left.mul_f64(MAX_RETRY_SHARE);
        let spread = self.random.random_range(SPREAD);
        let delay = wait.unwrap_or(longest).max(MIN_RETRY_DELAY);
        // Also the longest delays are spread.
        delay
            .mul_f64(spread)
            .min(longest.mul_f64(spread / SPREAD.end))
    }

    /// Judges the waiting requests again, and removes and returns those that are refused, with their
    /// delays.
    pub fn review(
        &mut self,
        rooms: &BTreeMap<ServiceId, Room>,
        now: Instant,
    ) -> Vec<(Ask, T, Duration)> {
        self.refresh(now);
        self.sort(now);
        let asks: Vec<(u64, Ask)> = self
            .entries
            .iter()
            .map(|entry| (entry.number, entry.ask))
            .collect();
        let mut all: BTreeMap<ServiceId, Tokens> = BTreeMap::new();
        for (_, ask) in &asks {
            *all.entry(ask.kind.service).or_default() += ask.size;
        }
        let mut before: BTreeMap<ServiceId, Tokens> = BTreeMap::new();
        let mut refused = BTreeMap::new();
        for (number, ask) in asks {
            let service = ask.kind.service;
            let room = rooms.get(&service).copied().unwrap_or_default();
            let before = before.entry(service).or_default();
            let late = if self.is_late(&ask, now) || ask.kind.short {
                *before
            } else {
                // Once it is late, all the others go first.
                all[&service] - ask.size
            };
            let ahead = [*before, late].map(|size| size as f64);
            let verdict = self.judge_behind(&ask, ahead, &room, WAITED_LENIENCE, now);
            if let Verdict::Refuse(delay) = verdict {
                refused.insert(number, delay);
            } else {
                *before += ask.size;
            }
        }
        let removed = self
            .entries
            .extract_if(.., |entry| refused.contains_key(&entry.number));
        removed
            .map(|entry| (entry.ask, entry.request, refused[&entry.number]))
            .collect()
    }
}
