//! Capacity of one engine as its home node knows it: slots, memory, measured pace, foreign load.

use std::collections::VecDeque;
use std::time::{Duration, Instant};

use crate::contract::Rank;
use crate::endpoint::{Endpoint, Load};
use crate::id::Tokens;
use crate::memory::Spread;
use crate::preset::Terms;

/// Time during which a new home node grants at most half of the free capacity.
pub const SETTLING: Duration = Duration::from_secs(2);
/// Share of the token-gap target above which the concurrency is lowered.
const GAP_HIGH: f64 = 0.95;
/// Share of the token-gap target below which the concurrency is raised.
const GAP_LOW: f64 = 0.85;
/// Share of the token-gap target that a lowered concurrency aims at.
const GAP_AIM: f64 = 0.9;
/// Least factor of one reduction, so that one wrong report does little harm.
const LEAST_REDUCTION: f64 = 0.5;
/// Factor of one reduction of the deferrable concurrency.
const DEFERRABLE_REDUCTION: f64 = 0.7;
/// Factor of one raise of the deferrable concurrency.
const DEFERRABLE_GROWTH: f64 = 1.1;
/// Largest factor of one raise.
const GROWTH: f64 = 1.5;
/// Generations at an engine of which no load report has arrived yet.
const FIRST_LIMIT: f64 = 64.0;
/// Time for which urgent requests determine the token-gap target after the last one.
const URGENT_MEMORY: Duration = Duration::from_mins(5);
/// Time in which the remembered need of the urgent rank halves.
const NEED_HALF_LIFE: f64 = 15.0;
/// Generations that ended recently and may still be part of the next load report.
const ENDED: usize = 1024;

/// A generation that ended.
#[derive(Debug)]
struct Ended {
    /// When it was granted.
    granted: Instant,
    /// When it ended.
    end: Instant,
    /// Tokens that it held.
    held: Tokens,
}

/// Capacity of one engine.
#[derive(Debug)]
pub(crate) struct Capacity {
    /// Generations that the engine can run at the same time.
    pub(crate) slots: f64,
    /// Tokens that the engine's memory holds.
    pub(crate) memory: Tokens,
    /// Generations that the engine may run within the token-gap target.
    limit: f64,
    /// Deferrable generations that the engine may run within the token-gap target beside the
    /// urgent ones.
    deferrable: f64,
    /// When a limit was last lowered.
    lowered: Option<Instant>,
    /// When the ledger was created.
    created: Instant,
    /// Last load report.
    load: Option<Load>,
    /// Requests at the engine that this ledger did not grant.
    pub(crate) foreign: u32,
    /// Tokens that these requests hold.
    pub(crate) foreign_held: Tokens,
    /// Generations that ended recently, oldest first.
    ended: VecDeque<Ended>,
    /// Shares of the limit and of the memory that the urgent rank needed recently, and when.
    need: ([f64; 2], Instant),
    /// When an urgent request was last seen.
    urgent: Option<Instant>,
    /// Measured error of the estimates.
    pub(crate) spread: Spread,
}

impl Capacity {
    /// Creates the capacity of an engine without load report.
    pub(crate) fn new(endpoint: &Endpoint, now: Instant) -> Self {
        let slots = f64::from(endpoint.slots.max(1));
        Self {
            slots,
            memory: endpoint.memory,
            limit: slots.min(FIRST_LIMIT),
            deferrable: slots,
            lowered: None,
            created: now,
            load: None,
            foreign: 0,
            foreign_held: 0,
            ended: VecDeque::new(),
            need: ([0.0; 2], now),
            urgent: None,
            spread: Spread::new(),
        }
    }

    /// Takes a load report; `running` and `held` describe the ledger's own generations that were
    /// granted before the report was taken.
    pub(crate) fn report(
        &mut self,
        load: Load,
        running: u32,
        deferrable: usize,
        held: Tokens,
        terms: &Terms,
    ) {
        let known =
            |ended: &&Ended| ended.granted <= load.measured_at && load.measured_at < ended.end;
        let (mut running, mut held) = (running, held);
        for ended in self.ended.iter().filter(known) {
            running += 1;
            held += ended.held;
        }
        self.ended.retain(|ended| load.measured_at < ended.end);
        self.memory = load.memory;
        self.foreign = (load.running + load.waiting).saturating_sub(running);
        self.foreign_held = load.used_tokens.saturating_sub(held);
        if let Some(last) = &self.load {
            self.spread.preempted(load.preemptions > last.preemptions);
        }
        self.pace(&load, deferrable as f64, terms);
        self.load = Some(load);
    }

    /// Moves the concurrency limit towards the token-gap target.
    fn pace(&mut self, load: &Load, deferrable: f64, terms: &Terms) {
        let running = f64::from(load.running);
        let target = self.target(load.measured_at, terms).as_secs_f64();
        let gap = load.token_gap.as_secs_f64();
        if running < 1.0 || gap <= 0.0 {
            return;
        }
        // A report from before the last reduction does not show its effect.
        let stale = self
            .lowered
            .is_some_and(|lowered| load.measured_at <= lowered);
        if gap < target * GAP_LOW && deferrable >= self.deferrable * GAP_LOW {
            let grown = (self.deferrable * DEFERRABLE_GROWTH).max(self.deferrable + 1.0);
            self.deferrable = grown.min(self.slots);
        }
        // Prompts of deferrable work slow the engine down at any concurrency. Lowering the whole
        // limit for them would keep urgent work out, so that deferrable work goes first.
        let floor = (terms.deferrable.floor * self.limit).max(1.0);
        let both = self.urgent.is_some() && deferrable > floor;
        if gap > target * GAP_HIGH && !stale && both {
            self.deferrable = (deferrable * DEFERRABLE_REDUCTION).max(floor);
            self.lowered = Some(load.measured_at);
        } else if gap > target * GAP_HIGH && !stale {
            let factor = (target * GAP_AIM / gap).max(LEAST_REDUCTION);
            self.limit = self.limit.min(running * factor).max(1.0);
            self.lowered = Some(load.measured_at);
        } else if gap < target * GAP_LOW && running >= self.limit * GAP_LOW {
            // A step takes a fixed time and some for each generation, so growth in proportion to
            // the gap stays below the target.
            let aim = running * (target * GAP_AIM / gap);
            self.limit = aim.min(self.limit * GROWTH).max(self.limit).min(self.slots);
        }
    }

    /// Returns the token-gap target of the most demanding rank that was seen recently.
    pub(crate) fn target(&self, now: Instant, terms: &Terms) -> Duration {
        let recent = |seen| now.saturating_duration_since(seen) < URGENT_MEMORY;
        if self.urgent.is_some_and(recent) {
            terms.urgent.token_gap.min(terms.deferrable.token_gap)
        } else {
            terms.deferrable.token_gap
        }
    }

    /// Returns the measured time between tokens.
    pub(crate) fn gap(&self) -> Duration {
        self.load
            .as_ref()
            .map_or(Duration::ZERO, |load| load.token_gap)
    }

    /// Returns the measured time between tokens, or the target where nothing was measured.
    pub(crate) fn gap_or_target(&self, now: Instant, terms: &Terms) -> f64 {
        let gap = self.gap();
        let gap = if gap.is_zero() {
            self.target(now, terms)
        } else {
            gap
        };
        gap.as_secs_f64().max(0.000_1)
    }

    /// Returns the generations that the ledger itself may grant at the same time.
    pub(crate) fn limit(&self, now: Instant) -> f64 {
        let free = (self.limit.min(self.slots) - f64::from(self.foreign)).max(1.0);
        if self.settling(now) {
            (free / 2.0).max(1.0)
        } else {
            free
        }
    }

    /// Returns the deferrable generations that may run at the same time.
    pub(crate) fn deferrable(&self) -> f64 {
        self.deferrable
    }

    /// Returns the memory that the ledger itself may promise to `count` generations.
    pub(crate) fn budget(&self, count: usize, now: Instant) -> Tokens {
        let free = self.memory.saturating_sub(self.foreign_held);
        let free = free.saturating_sub(self.spread.headroom(count, self.memory));
        if self.settling(now) { free / 2 } else { free }
    }

    /// Returns whether the ledger may not know all running generations yet.
    fn settling(&self, now: Instant) -> bool {
        now.saturating_duration_since(self.created) < SETTLING
    }

    /// Records a generation that ended.
    pub(crate) fn end(&mut self, granted: Instant, end: Instant, held: Tokens) {
        if self.ended.len() == ENDED {
            self.ended.pop_front();
        }
        self.ended.push_back(Ended { granted, end, held });
    }

    /// Records the number of urgent requests that run or wait, and the memory promised to them.
    pub(crate) fn demand(&mut self, urgent: usize, reserved: Tokens, now: Instant) {
        if urgent > 0 {
            self.urgent = Some(now);
        }
        let slots = (urgent as f64 / self.limit(now)).min(1.0);
        let memory = (reserved as f64 / self.memory.max(1) as f64).min(1.0);
        let [slots_before, memory_before] = self.need(now);
        self.need = ([slots.max(slots_before), memory.max(memory_before)], now);
    }

    /// Records an urgent request that was refused, which is demand too.
    pub(crate) fn miss(&mut self, reserved: Tokens, now: Instant) {
        let [slots, memory] = self.need(now);
        let slots = slots + 1.0 / self.limit(now);
        let memory = memory + reserved as f64 / self.memory.max(1) as f64;
        self.need = ([slots.min(1.0), memory.min(1.0)], now);
    }

    /// Returns the shares of the limit and of the memory that the urgent rank needed recently.
    fn need(&self, now: Instant) -> [f64; 2] {
        let age = now.saturating_duration_since(self.need.1).as_secs_f64();
        self.need
            .0
            .map(|need| need * (-age / NEED_HALF_LIFE).exp2())
    }

    /// Returns the shares of the limit and of the memory that are kept for a rank; `waits` says
    /// whether requests of the rank wait.
    ///
    /// Urgent work gets what it needed recently even if none waits, because deferrable work that
    /// runs cannot be displaced without losing tokens.
    pub(crate) fn kept(&self, rank: Rank, waits: bool, now: Instant, terms: &Terms) -> [f64; 2] {
        let floor = if waits {
            terms.contract(rank).floor
        } else {
            0.0
        };
        match rank {
            Rank::Urgent => {
                let most = 1.0 - terms.deferrable.floor;
                self.need(now).map(|need| need.max(floor).min(most))
            }
            Rank::Deferrable => [floor; 2],
        }
    }
}
