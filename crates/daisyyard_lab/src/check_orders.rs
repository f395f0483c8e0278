//! Specification of orders to an engine under a lease with fencing numbers.
//!
//! The rules of the lease holder are stated here a second time, with time in ticks, and do not use
//! `daisyyard_core::order::Holder`.

use std::collections::BTreeSet;

use daisyyard_derive::state;

use crate::check::{Outcome, explore};

/// Duration of a lease.
const LEASE_TICKS: u8 = 3;
/// Time after sending within which an engine that ignores fencing numbers receives an order.
const ORDER_TIMEOUT_TICKS: u8 = 1;
/// Time by which a lease may seem longer to its holder than to the configuration service.
const MAX_DRIFT_TICKS: u8 = 1;
/// End of a history.
const LAST_TICK: u8 = 8;
/// Leases granted in one history.
const MAX_LEASES: u8 = 3;

/// The correct protocol and the faults that the checker must detect.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Variant {
    /// The protocol without a fault.
    Correct,
    /// The engine executes orders with any fencing number.
    IgnoreNumber,
    /// A new lease has the fencing number of the previous one.
    ReuseNumber,
    /// A new holder sends before the orders of its predecessor have timed out.
    SendAtOnce,
    /// A holder sends without checking its lease.
    SkipLeaseCheck,
}

/// A node that may hold the lease.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
struct Holder {
    /// Fencing number of its lease, or zero without a lease.
    fencing_number: u8,
    /// First tick at which it may send.
    send_from_tick: u8,
    /// Tick at which its lease ends by its own clock.
    valid_until_tick: u8,
    /// Whether it has checked its lease for an order that it has not written yet.
    ready_to_send: bool,
}

/// State of the configuration service, two holders and one engine.
#[state]
struct State {
    /// Current tick.
    now_tick: u8,
    /// Fencing number of the newest lease.
    last_fencing_number: u8,
    /// Tick at which the newest lease ends.
    lease_end_tick: u8,
    /// Node that holds the newest lease, if it received the grant.
    owner: Option<usize>,
    /// Nodes that compete for the lease.
    holders: [Holder; 2],
    /// Orders in transit: lease, fencing number, last tick of arrival. They may be delayed and
    /// repeated.
    orders: BTreeSet<(u8, u8, u8)>,
    /// Leases granted so far, which is also the number of the newest lease.
    leases_granted: u8,
    /// Lease that each node believes it holds, or zero.
    holder_leases: [u8; 2],
    /// Highest fencing number of the orders that the engine has executed.
    highest_fencing_number: u8,
    /// Newest lease of which the engine has executed an order.
    newest_executed: u8,
    /// Whether the engine executed an order of an older lease after one of a newer lease.
    stale_executed: bool,
}

impl State {
    /// Returns the initial state, before any lease is granted.
    fn start() -> Self {
        let holder = Holder {
            fencing_number: 0,
            send_from_tick: 0,
            valid_until_tick: 0,
            ready_to_send: false,
        };
        Self {
            now_tick: 0,
            last_fencing_number: 0,
            lease_end_tick: 0,
            owner: None,
            holders: [holder; 2],
            orders: BTreeSet::new(),
            leases_granted: 0,
            holder_leases: [0; 2],
            highest_fencing_number: 0,
            newest_executed: 0,
            stale_executed: false,
        }
    }

    /// Returns all states that one step leads to.
    ///
    /// `engine_fences` says whether the engine checks fencing numbers. If it does not, no time
    /// passes between the check of the lease and the write of the order.
    fn successors(&self, engine_fences: bool, variant: Variant) -> Vec<Self> {
        let mut successors = Vec::new();
        let mut branch = |change: &dyn Fn(&mut Self)| {
            let mut successor = self.clone();
            change(&mut successor);
            if successor != *self {
                successors.push(successor);
            }
        };
        let all_written = self.holders.iter().all(|holder| !holder.ready_to_send);
        if self.now_tick < LAST_TICK && (engine_fences || all_written) {
            branch(&|state| state.now_tick += 1);
        }
        for node in 0..2 {
            let lease_free =
                self.lease_end_tick <= self.now_tick && self.leases_granted < MAX_LEASES;
            if lease_free {
                branch(&|state| state.acquire(node, false, engine_fences, variant));
                // The lease is granted, and the response is lost.
                branch(&|state| state.acquire(node, true, engine_fences, variant));
            }
            if self.owner == Some(node) && self.lease_end_tick > self.now_tick {
                branch(&|state| {
                    state.lease_end_tick = state.now_tick + LEASE_TICKS;
                    state.holders[node].valid_until_tick = state.lease_end_tick + MAX_DRIFT_TICKS;
                });
            }
            let holder = self.holders[node];
            let valid = self.now_tick >= holder.send_from_tick
                && self.now_tick + ORDER_TIMEOUT_TICKS < holder.valid_until_tick;
            if holder.fencing_number > 0 && (valid || variant == Variant::SkipLeaseCheck) {
                branch(&|state| state.holders[node].ready_to_send = true);
            }
            if holder.ready_to_send {
                branch(&|state| {
                    state.holders[node].ready_to_send = false;
                    // If the engine checks fencing numbers, orders may arrive at any later time.
                    let last_tick = if engine_fences {
                        LAST_TICK
                    } else {
                        state.now_tick + ORDER_TIMEOUT_TICKS
                    };
                    state.orders.insert((
                        state.holder_leases[node],
                        holder.fencing_number,
                        last_tick,
                    ));
                });
            }
            if holder.fencing_number > 0 {
                // The node crashes and restarts without a lease.
                branch(&|state| {
                    state.holders[node] = Self::start().holders[node];
                    state.holder_leases[node] = 0;
                });
            }
        }
        for order in &self.orders {
            branch(&|state| state.execute(*order, engine_fences, variant));
        }
        successors
    }

    /// Grants the free lease to a node.
    fn acquire(&mut self, node: usize, response_lost: bool, engine_fences: bool, variant: Variant) {
        self.leases_granted += 1;
        if variant != Variant::ReuseNumber || self.last_fencing_number == 0 {
            self.last_fencing_number += 1;
        }
        self.lease_end_tick = self.now_tick + LEASE_TICKS;
        self.owner = Some(node);
        if response_lost {
            self.owner = None;
            return;
        }
        let wait_ticks = if engine_fences || variant == Variant::SendAtOnce {
            0
        } else {
            ORDER_TIMEOUT_TICKS
        };
        self.holders[node] = Holder {
            fencing_number: self.last_fencing_number,
            send_from_tick: self.now_tick + wait_ticks,
            valid_until_tick: self.lease_end_tick + MAX_DRIFT_TICKS,
            ready_to_send: false,
        };
        self.holder_leases[node] = self.leases_granted;
    }

    /// Delivers an order to the engine, which executes it unless the order is too late or its
    /// fencing number is too low.
    fn execute(&mut self, order: (u8, u8, u8), engine_fences: bool, variant: Variant) {
        let (lease, fencing_number, last_tick) = order;
        if self.now_tick > last_tick {
            return;
        }
        if engine_fences
            && fencing_number < self.highest_fencing_number
            && variant != Variant::IgnoreNumber
        {
            return;
        }
        self.highest_fencing_number = self.highest_fencing_number.max(fencing_number);
        self.stale_executed |= lease < self.newest_executed;
        self.newest_executed = self.newest_executed.max(lease);
    }
}

/// Checks each invariant on the correct protocol and on its broken variants.
pub(crate) fn outcomes() -> Vec<Outcome> {
    let check = |engine_fences, variant| {
        let successors = |state: &State| state.successors(engine_fences, variant);
        explore(State::start(), successors, |state| state.stale_executed)
    };
    vec![
        Outcome {
            protocol: "orders",
            invariant: "no stale order on engines that check the number",
            bounds: "2 holders, 3 leases, 8 ticks, pauses and delays of any length, repeated \
                     orders, lost responses, crashes",
            exploration: check(true, Variant::Correct),
            broken: vec![
                (
                    "engine ignores the number",
                    check(true, Variant::IgnoreNumber),
                ),
                (
                    "new lease reuses the number",
                    check(true, Variant::ReuseNumber),
                ),
            ],
        },
        Outcome {
            protocol: "orders",
            invariant: "no stale order on others, if a write follows its check",
            bounds: "as above, but no pause between check and write, and orders arrive within \
                     their timeout, clocks 1 tick apart",
            exploration: check(false, Variant::Correct),
            broken: vec![
                (
                    "sends without a look at the lease",
                    check(false, Variant::SkipLeaseCheck),
                ),
                (
                    "new holder sends at once",
                    check(false, Variant::SendAtOnce),
                ),
            ],
        },
    ]
}
