//! Capacity of one engine as seen by its home node: memory, concurrency limits that follow the
//! measured time between tokens, and load from requests that the node did not grant.

use std::collections::VecDeque;
use std::time::{Duration, Instant};

use crate::contract::Rank;
use crate::endpoint::{Endpoint, Load};
use crate::id::Tokens;
use crate::memory::Calibration;
use crate::preset::Terms;

/// Time after its creation during which a ledger grants at most half of the free capacity, because
/// it may not know all running generations.
pub const SETTLING_TIME: Duration = Duration::from_secs(2);
/// Share of the token-gap target above which a concurrency limit is lowered.
const HIGH_GAP_SHARE: f64 = 0.95;
/// Share of the token-gap target below which a concurrency limit is raised.
const LOW_GAP_SHARE: f64 = 0.85;
/// Share of the token-gap target that an adjustment of the concurrency limit aims at.
const AIMED_GAP_SHARE: f64 = 0.9;
/// Smallest factor of one reduction, which bounds the effect of a single wrong report.
const MIN_REDUCTION_FACTOR: f64 = 0.5;
/// Factor of one reduction of the deferrable limit.
const DEFERRABLE_REDUCTION_FACTOR: f64 = 0.7;
/// Factor of one increase of the deferrable limit.
const DEFERRABLE_GROWTH_FACTOR: f64 = 1.1;
/// Largest factor of one increase of the concurrency limit.
const MAX_GROWTH_FACTOR: f64 = 1.5;
/// Concurrency limit of an engine before its first load report.
const INITIAL_LIMIT: f64 = 64.0;
/// Time after the last urgent request during which the urgent token-gap target still applies.
const URGENT_TARGET_HOLD: Duration = Duration::from_mins(5);
/// Half-life, in seconds, of the recorded need of the urgent rank.
const NEED_HALF_LIFE_SECS: f64 = 15.0;
/// Maximum number of ended generations kept, which the next load report may still include.
const MAX_ENDED: usize = 1024;

/// A generation that ended.
#[derive(Debug)]
struct Ended {
    /// When the generation was granted.
    granted: Instant,
    /// When the generation ended.
    end: Instant,
    /// Tokens of memory that the generation held at its end.
    held: Tokens,
}

/// Capacity of one engine.
#[derive(Debug)]
pub(crate) struct Capacity {
    /// Maximum number of concurrent generations that the engine supports.
    pub(crate) slots: f64,
    /// Memory of the engine in tokens.
    pub(crate) memory: Tokens,
    /// Number of concurrent generations that keeps the token-gap target.
    limit: f64,
    /// Number of concurrent deferrable generations that keeps the token-gap target beside the
    /// urgent ones.
    deferrable_limit: f64,
    /// When a limit was last lowered.
    last_lowered: Option<Instant>,
    /// When the ledger was created.
    created: Instant,
    /// Last load report.
    load: Option<Load>,
    /// Number of requests at the engine that this ledger did not grant.
    pub(crate) foreign: u32,
    /// Tokens of memory that these requests hold.
    pub(crate) foreign_held: Tokens,
    /// Generations that ended recently, oldest first.
    ended: VecDeque<Ended>,
    /// Shares of the limit and of the memory that the urgent rank recently needed, and when they
    /// were recorded.
    urgent_need: ([f64; 2], Instant),
    /// When an urgent request was last seen.
    last_urgent: Option<Instant>,
    /// Measured error of the output length estimates.
    pub(crate) calibration: Calibration,
}

impl Capacity {
    /// Creates the capacity of an engine that has sent no load report.
    pub(crate) fn new(endpoint: &Endpoint, now: Instant) -> Self {
        let slots = f64::from(endpoint.slots.max(1));
        Self {
            slots,
            memory: endpoint.memory,
            limit: slots.min(INITIAL_LIMIT),
            deferrable_limit: slots,
            last_lowered: None,
            created: now,
            load: None,
            foreign: 0,
            foreign_held: 0,
            ended: VecDeque::new(),
            urgent_need: ([0.0; 2], now),
            last_urgent: None,
            calibration: Calibration::new(),
        }
    }

    /// Applies a load report; `running` and `held` are the number and the memory of the ledger's
    /// own generations that were granted before the report was taken.
    pub(crate) fn report(
        &mut self,
        load: Load,
        running: u32,
        deferrable: usize,
        held: Tokens,
        terms: &Terms,
    ) {
        let was_running =
            |ended: &&Ended| ended.granted <= load.measured_at && load.measured_at < ended.end;
        let (mut running, mut held) = (running, held);
        for ended in self.ended.iter().filter(was_running) {
            running += 1;
            held += ended.held;
        }
        self.ended.retain(|ended| load.measured_at < ended.end);
        self.memory = load.memory;
        self.foreign = (load.running + load.waiting).saturating_sub(running);
        self.foreign_held = load.used_tokens.saturating_sub(held);
        if let Some(last) = &self.load {
            self.calibration
                .record_preemptions(load.preemptions > last.preemptions);
        }
        self.adjust_limits(&load, deferrable as f64, terms);
        self.load = Some(load);
    }

    /// Adjusts the concurrency limits so that the time between tokens approaches its target.
    fn adjust_limits(&mut self, load: &Load, deferrable: f64, terms: &Terms) {
        let running = f64::from(load.running);
        let target = self.target(load.measured_at, terms).as_secs_f64();
        let gap = load.token_gap.as_secs_f64();
        if running < 1.0 || gap <= 0.0 {
            return;
        }
        // A report taken before the last reduction does not reflect its effect.
        let stale = self
            .last_lowered
            .is_some_and(|last_lowered| load.measured_at <= last_lowered);
        if gap < target * LOW_GAP_SHARE && deferrable >= self.deferrable_limit * LOW_GAP_SHARE {
            let raised =
                (self.deferrable_limit * DEFERRABLE_GROWTH_FACTOR).max(self.deferrable_limit + 1.0);
            self.deferrable_limit = raised.min(self.slots);
        }
        // Deferrable prompts slow the engine down at any concurrency. Lowering the overall limit
        // because of them would keep urgent work out, so the deferrable limit is lowered first.
        let floor = (terms.deferrable.floor * self.limit).max(1.0);
        let lower_deferrable = self.last_urgent.is_some() && deferrable > floor;
        if gap > target * HIGH_GAP_SHARE && !stale && lower_deferrable {
            self.deferrable_limit = (deferrable * DEFERRABLE_REDUCTION_FACTOR).max(floor);
            self.last_lowered = Some(load.measured_at);
        } else if gap > target * HIGH_GAP_SHARE && !stale {
            let factor = (target * AIMED_GAP_SHARE / gap).max(MIN_REDUCTION_FACTOR);
            self.limit = self.limit.min(running * factor).max(1.0);
            self.last_lowered = Some(load.measured_at);
        } else if gap < target * LOW_GAP_SHARE && running >= self.limit * LOW_GAP_SHARE {
            // A step takes a fixed time plus some time for each generation, so a number scaled by
            // target / gap stays below the target.
            let raised = running * (target * AIMED_GAP_SHARE / gap);
            self.limit = raised
                .min(self.limit * MAX_GROWTH_FACTOR)
                .max(self.limit)
                .min(self.slots);
        }
    }

    /// Returns the token-gap target in force: the stricter one while urgent requests are recent.
    pub(crate) fn target(&self, now: Instant, terms: &Terms) -> Duration {
        let recent = |seen| now.saturating_duration_since(seen) < URGENT_TARGET_HOLD;
        if self.last_urgent.is_some_and(recent) {
            terms.urgent.token_gap.min(terms.deferrable.token_gap)
        } else {
            terms.deferrable.token_gap
        }
    }

    /// Returns the time between tokens in the last load report, or zero without a report.
    pub(crate) fn gap(&self) -> Duration {
        self.load
            .as_ref()
            .map_or(Duration::ZERO, |load| load.token_gap)
    }

    /// Returns the measured time between tokens in seconds, or the target without a measurement.
    pub(crate) fn gap_or_target_secs(&self, now: Instant, terms: &Terms) -> f64 {
        let gap = self.gap();
        let gap = if gap.is_zero() {
            self.target(now, terms)
        } else {
            gap
        };
        gap.as_secs_f64().max(0.000_1)
    }

    /// Returns the number of concurrent generations that the ledger may grant.
    pub(crate) fn limit(&self, now: Instant) -> f64 {
        let free = (self.limit.min(self.slots) - f64::from(self.foreign)).max(1.0);
        if self.settling(now) {
            (free / 2.0).max(1.0)
        } else {
            free
        }
    }

    /// Returns the number of concurrent deferrable generations that the ledger may grant.
    pub(crate) fn deferrable_limit(&self) -> f64 {
        self.deferrable_limit
    }

    /// Returns the memory, in tokens, that the ledger may commit to `count` generations.
    pub(crate) fn budget(&self, count: usize, now: Instant) -> Tokens {
        let free = self.memory.saturating_sub(self.foreign_held);
        let free = free.saturating_sub(self.calibration.headroom(count, self.memory));
        if self.settling(now) { free / 2 } else { free }
    }

    /// Returns whether the ledger may not know all running generations yet.
    fn settling(&self, now: Instant) -> bool {
        now.saturating_duration_since(self.created) < SETTLING_TIME
    }

    /// Records the end of a generation and the memory that it held.
    pub(crate) fn record_end(&mut self, granted: Instant, end: Instant, held: Tokens) {
        if self.ended.len() == MAX_ENDED {
            self.ended.pop_front();
        }
        self.ended.push_back(Ended { granted, end, held });
    }

    /// Records the number of urgent requests that run or wait, and the memory committed to them.
    pub(crate) fn record_demand(&mut self, urgent: usize, reserved: Tokens, now: Instant) {
        if urgent > 0 {
            self.last_urgent = Some(now);
        }
        let slots = (urgent as f64 / self.limit(now)).min(1.0);
        let memory = (reserved as f64 / self.memory.max(1) as f64).min(1.0);
        let [slots_before, memory_before] = self.urgent_need(now);
        self.urgent_need = ([slots.max(slots_before), memory.max(memory_before)], now);
    }

    /// Adds a refused urgent request to the recorded need.
    pub(crate) fn record_refusal(&mut self, reserved: Tokens, now: Instant) {
        let [slots, memory] = self.urgent_need(now);
        let slots = slots + 1.0 / self.limit(now);
        let memory = memory + reserved as f64 / self.memory.max(1) as f64;
        self.urgent_need = ([slots.min(1.0), memory.min(1.0)], now);
    }

    /// Returns the decayed shares of the limit and of the memory that the urgent rank needed.
    fn urgent_need(&self, now: Instant) -> [f64; 2] {
        let age = now
            .saturating_duration_since(self.urgent_need.1)
            .as_secs_f64();
        self.urgent_need
            .0
            .map(|urgent_need| urgent_need * (-age / NEED_HALF_LIFE_SECS).exp2())
    }

    /// Returns the shares of the limit and of the memory that are reserved for a rank;
    /// `has_waiting` says whether requests of the rank wait.
    ///
    /// The urgent rank keeps its recent need even if none of its requests wait, because running
    /// deferrable work cannot be preempted without losing tokens.
    pub(crate) fn reserved_shares(
        &self,
        rank: Rank,
        has_waiting: bool,
        now: Instant,
        terms: &Terms,
    ) -> [f64; 2] {
        let floor = if has_waiting {
            terms.contract(rank).floor
        } else {
            0.0
        };
        match rank {
            Rank::Urgent => {
                let max_share = 1.0 - terms.deferrable.floor;
                self.urgent_need(now)
                    .map(|urgent_need| urgent_need.max(floor).min(max_share))
            }
            Rank::Deferrable => [floor; 2],
        }
    }
}
