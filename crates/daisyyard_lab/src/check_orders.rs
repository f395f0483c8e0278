//! Specification of orders under a lease with fencing numbers.
//!
//! The rules of the holder are stated here; they are to be replaced by `order::Holder` once it is
//! part of `daisyyard_core`. Time passes in ticks.

use std::collections::BTreeSet;

use daisyyard_derive::state;

use crate::check::{Row, explore};

/// Ticks for which a lease is granted.
const LEASE: u8 = 3;
/// Ticks after which an order that was sent is no longer carried out.
const TIMEOUT: u8 = 1;
/// Ticks by which a holder's clock may run behind.
const DRIFT: u8 = 1;
/// Last tick of a history.
const END: u8 = 8;
/// Last fencing number of a history.
const NUMBERS: u8 = 3;

/// Deliberate faults of the protocol.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Variant {
    /// The protocol as it is.
    Whole,
    /// The engine carries out every order.
    Ignore,
    /// A new lease has the number of the old one.
    Reuse,
    /// A new holder sends at once.
    Hurry,
    /// A holder sends without a look at its own lease.
    Trust,
}

/// A node that may hold the lease.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
struct Holder {
    /// Fencing number of its lease; zero if it has none.
    number: u8,
    /// First tick at which it may send.
    from: u8,
    /// Tick at which its lease ends by its own clock.
    until: u8,
    /// Whether it has decided to send an order and not written it yet.
    ready: bool,
}

/// State of the configuration service, two holders and one engine.
#[state]
struct World {
    /// Present tick.
    now: u8,
    /// Number of the newest lease.
    number: u8,
    /// Tick at which the newest lease ends.
    expires: u8,
    /// Node that holds the newest lease.
    owner: Option<usize>,
    /// Nodes.
    holders: [Holder; 2],
    /// Orders on their way: lease, fencing number, last tick; they may be delayed and repeated.
    orders: BTreeSet<(u8, u8, u8)>,
    /// Leases granted so far; each holder's orders are told apart by it.
    leases: u8,
    /// Lease by which each holder acts.
    acts: [u8; 2],
    /// Highest fencing number that the engine has seen.
    fence: u8,
    /// Newest lease whose order was carried out.
    newest: u8,
    /// Whether an order of an older lease was carried out after one of a newer.
    stale: bool,
}

impl World {
    /// Returns the start: no lease was granted.
    fn start() -> Self {
        let holder = Holder {
            number: 0,
            from: 0,
            until: 0,
            ready: false,
        };
        Self {
            now: 0,
            number: 0,
            expires: 0,
            owner: None,
            holders: [holder; 2],
            orders: BTreeSet::new(),
            leases: 0,
            acts: [0; 2],
            fence: 0,
            newest: 0,
            stale: false,
        }
    }

    /// Returns all states that one step leads to; `fencing` says whether the engine checks the
    /// number, and otherwise no pause falls between the look at the lease and the write.
    fn next(&self, fencing: bool, variant: Variant) -> Vec<Self> {
        let mut next = Vec::new();
        let mut branch = |change: &dyn Fn(&mut Self)| {
            let mut world = self.clone();
            change(&mut world);
            if world != *self {
                next.push(world);
            }
        };
        let written = self.holders.iter().all(|holder| !holder.ready);
        if self.now < END && (fencing || written) {
            branch(&|w| w.now += 1);
        }
        for node in 0..2 {
            let free = self.expires <= self.now && self.leases < NUMBERS;
            if free {
                branch(&|w| w.acquire(node, false, fencing, variant));
                // The response is lost after the lease was granted.
                branch(&|w| w.acquire(node, true, fencing, variant));
            }
            if self.owner == Some(node) && self.expires > self.now {
                branch(&|w| {
                    w.expires = w.now + LEASE;
                    w.holders[node].until = w.expires + DRIFT;
                });
            }
            let holder = self.holders[node];
            let valid = self.now >= holder.from && self.now + TIMEOUT < holder.until;
            if holder.number > 0 && (valid || variant == Variant::Trust) {
                branch(&|w| w.holders[node].ready = true);
            }
            if holder.ready {
                branch(&|w| {
                    w.holders[node].ready = false;
                    // An engine that checks numbers may receive an order at any later time.
                    let last = if fencing { END } else { w.now + TIMEOUT };
                    w.orders.insert((w.acts[node], holder.number, last));
                });
            }
            if holder.number > 0 {
                // A crash; the node starts anew without a lease.
                branch(&|w| {
                    w.holders[node] = Self::start().holders[node];
                    w.acts[node] = 0;
                });
            }
        }
        for order in &self.orders {
            branch(&|w| w.carry_out(*order, fencing, variant));
        }
        next
    }

    /// A node asks for the lease, which is free.
    fn acquire(&mut self, node: usize, lost: bool, fencing: bool, variant: Variant) {
        self.leases += 1;
        if variant != Variant::Reuse || self.number == 0 {
            self.number += 1;
        }
        self.expires = self.now + LEASE;
        self.owner = Some(node);
        if lost {
            self.owner = None;
            return;
        }
        let wait = if fencing || variant == Variant::Hurry {
            0
        } else {
            TIMEOUT
        };
        self.holders[node] = Holder {
            number: self.number,
            from: self.now + wait,
            until: self.expires + DRIFT,
            ready: false,
        };
        self.acts[node] = self.leases;
    }

    /// The engine receives an order.
    fn carry_out(&mut self, order: (u8, u8, u8), fencing: bool, variant: Variant) {
        let (lease, number, last) = order;
        if self.now > last {
            return;
        }
        if fencing && number < self.fence && variant != Variant::Ignore {
            return;
        }
        self.fence = self.fence.max(number);
        self.stale |= lease < self.newest;
        self.newest = self.newest.max(lease);
    }
}

/// Checks the protocol and its broken variants.
pub(crate) fn rows() -> Vec<Row> {
    let check = |fencing, variant| {
        let next = |world: &World| world.next(fencing, variant);
        explore(World::start(), next, |world| world.stale)
    };
    vec![
        Row {
            protocol: "orders",
            invariant: "no stale order on engines that check the number",
            bounds: "2 holders, 3 leases, 8 ticks, pauses and delays of any length, repeated \
                     orders, lost responses, crashes",
            whole: check(true, Variant::Whole),
            broken: vec![
                ("engine ignores the number", check(true, Variant::Ignore)),
                ("new lease reuses the number", check(true, Variant::Reuse)),
            ],
        },
        Row {
            protocol: "orders",
            invariant: "no stale order on others, if a write follows its check",
            bounds: "as above, but no pause between check and write, and orders arrive within \
                     their timeout, clocks 1 tick apart",
            whole: check(false, Variant::Whole),
            broken: vec![
                (
                    "sends without a look at the lease",
                    check(false, Variant::Trust),
                ),
                ("new holder sends at once", check(false, Variant::Hurry)),
            ],
        },
    ]
}
