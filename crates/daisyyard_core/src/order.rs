//! Orders to engines: one holder per service under a lease, with fencing numbers.
//!
//! An order states the wanted end state of one engine and is safe to repeat. Engines that check
//! the fencing number are safe by that check. For engines that ignore it, a holder sends only
//! while its lease outlasts the longest order, and a new holder first waits until every order of
//! its predecessor must have ended.

use std::collections::BTreeSet;
use std::time::{Duration, Instant};

use daisyyard_derive::{key, value};

use crate::endpoint::Endpoint;
use crate::id::{EndpointId, ServiceId};

/// Time for which a lease is granted.
pub const LEASE_TTL: Duration = Duration::from_secs(10);
/// Time between two renewals; three can fail before the lease ends.
pub const RENEW_PERIOD: Duration = Duration::from_secs(3);
/// Time after which an order in progress is given up by its sender.
pub const ORDER_TIMEOUT: Duration = Duration::from_secs(2);
/// Margin for the delay between the check of the lease and the last byte of the order.
pub const MARGIN: Duration = Duration::from_millis(500);
/// Time between two tries to acquire a lease that another node holds.
pub const ACQUIRE_PERIOD: Duration = Duration::from_secs(2);

/// The state that an engine should reach.
#[value]
pub struct Wanted {
    /// Model to serve.
    pub model: ServiceId,
    /// Version of the model's weights.
    pub version: u64,
    /// Adapters to hold beside the model.
    pub adapters: BTreeSet<u64>,
    /// Part of the work that the engine takes.
    pub role: Role,
}

/// Part of the work that an engine takes.
#[key]
pub enum Role {
    /// Whole generations.
    Whole,
    /// Only prompts.
    Prefill,
    /// Only output tokens.
    Decode,
}

/// An order to one engine.
#[value]
pub struct Order {
    /// Engine that carries out the order.
    pub endpoint: EndpointId,
    /// Fencing number of the sender's lease.
    pub fencing: u64,
    /// State that the engine should reach.
    pub wanted: Wanted,
}

/// What the holder does next about its lease.
#[key]
pub enum Next {
    /// Ask the configuration service for the lease.
    Acquire,
    /// Renew the lease.
    Renew,
    /// Do nothing until this much time has passed.
    Wait(Duration),
}

/// Whether an order may be sent now.
#[key]
pub enum Permit {
    /// Send the order with this fencing number.
    Send(u64),
    /// Ask again after this time.
    Wait(Duration),
    /// Send nothing; this node does not hold the lease.
    Deny,
}

/// A lease as its holder knows it.
#[key]
struct Lease {
    /// Fencing number.
    fencing: u64,
    /// When the lease ends, counted from the sending of the request that obtained it.
    until: Instant,
    /// When the orders of the previous holder must have ended.
    settled: Instant,
    /// When to renew.
    renew: Instant,
}

/// A node's part in ordering the engines of one service.
#[derive(Debug)]
pub struct Holder {
    /// Lease, if this node holds it.
    lease: Option<Lease>,
    /// When to ask for the lease again.
    retry: Option<Instant>,
}

impl Holder {
    /// Creates a holder without a lease.
    pub fn new() -> Self {
        Self {
            lease: None,
            retry: None,
        }
    }

    /// Decides what to do about the lease.
    pub fn next(&mut self, now: Instant) -> Next {
        if self.lease.is_some_and(|lease| lease.until <= now) {
            self.lease = None;
        }
        let due = match self.lease {
            Some(lease) => lease.renew,
            None => self.retry.unwrap_or(now),
        };
        if due > now {
            return Next::Wait(due - now);
        }
        if self.lease.is_some() {
            Next::Renew
        } else {
            Next::Acquire
        }
    }

    /// Records that the lease was acquired with a request sent at `sent`.
    ///
    /// The lease counts from the sending, since the service may have granted it at any time
    /// after that.
    pub fn acquired(&mut self, fencing: u64, sent: Instant, now: Instant) {
        let settled = now + ORDER_TIMEOUT + MARGIN;
        let renew = now + RENEW_PERIOD;
        self.lease = Some(Lease {
            fencing,
            until: sent + LEASE_TTL,
            settled,
            renew,
        });
    }

    /// Records that the lease was renewed with a request sent at `sent`.
    pub fn renewed(&mut self, sent: Instant, now: Instant) {
        if let Some(lease) = &mut self.lease {
            lease.until = lease.until.max(sent + LEASE_TTL);
            lease.renew = now + RENEW_PERIOD;
        }
    }

    /// Records that the service refused the lease or lost it.
    pub fn refused(&mut self, now: Instant) {
        self.lease = None;
        self.retry = Some(now + ACQUIRE_PERIOD);
    }

    /// Records that the service did not answer; a held lease stays until it ends.
    pub fn unanswered(&mut self, now: Instant) {
        self.retry = Some(now + ACQUIRE_PERIOD);
        if let Some(lease) = &mut self.lease {
            lease.renew = now + RENEW_PERIOD / 3;
        }
    }

    /// Decides whether an order to an engine may be sent now.
    pub fn permit(&self, endpoint: &Endpoint, now: Instant) -> Permit {
        let Some(lease) = self.lease.filter(|lease| lease.until > now) else {
            return Permit::Deny;
        };
        if endpoint.fencing {
            return Permit::Send(lease.fencing);
        }
        if lease.settled > now {
            return Permit::Wait(lease.settled - now);
        }
        if now + ORDER_TIMEOUT + MARGIN < lease.until {
            return Permit::Send(lease.fencing);
        }
        Permit::Wait(RENEW_PERIOD)
    }

    /// Returns the fencing number if this node holds the lease.
    pub fn held(&self, now: Instant) -> Option<u64> {
        self.lease
            .filter(|lease| lease.until > now)
            .map(|lease| lease.fencing)
    }
}

impl Default for Holder {
    fn default() -> Self {
        Self::new()
    }
}
