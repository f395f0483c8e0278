//! Orders to engines, sent by one lease holder per service and protected by fencing numbers.
//!
//! An order states the target state of one engine and is idempotent. Engines that check the
//! fencing number reject orders of earlier holders. For engines that ignore it, a holder sends an
//! order only if the order times out before the lease expires, and a new holder first waits until
//! every order of its predecessor must have ended.

use std::collections::BTreeSet;
use std::time::{Duration, Instant};

use daisyyard_derive::{key, value};

use crate::endpoint::Endpoint;
use crate::id::{EndpointId, ServiceId};

/// Time for which a lease is granted.
pub const LEASE_TTL: Duration = Duration::from_secs(10);
/// Time between two renewals; three can fail before the lease expires.
pub const RENEW_PERIOD: Duration = Duration::from_secs(3);
/// Time after which the sender cancels an order in progress.
pub const ORDER_TIMEOUT: Duration = Duration::from_secs(2);
/// Upper bound of the delay between the check of the lease and the last byte of the order.
pub const SEND_MARGIN: Duration = Duration::from_millis(500);
/// Time between two attempts to acquire a lease that another node holds.
pub const ACQUIRE_PERIOD: Duration = Duration::from_secs(2);

/// Target state of an engine.
#[value]
pub struct Target {
    /// Model to serve.
    pub model: ServiceId,
    /// Version of the model's weights.
    pub version: u64,
    /// Adapters to load in addition to the model.
    pub adapters: BTreeSet<u64>,
    /// Part of a generation that the engine runs.
    pub role: Role,
}

/// Part of a generation that an engine runs.
#[key]
pub enum Role {
    /// Prompt and output.
    Unified,
    /// Only the prompt.
    Prefill,
    /// Only the output.
    Decode,
}

/// An order to an engine.
#[value]
pub struct Order {
    /// Engine that carries out the order.
    pub endpoint: EndpointId,
    /// Fencing number of the lease of the sender.
    pub fencing: u64,
    /// State that the engine must reach.
    pub target: Target,
}

/// What a node does next to acquire or keep its lease.
#[key]
pub enum Action {
    /// Ask the configuration service for the lease.
    Acquire,
    /// Renew the lease.
    Renew,
    /// Do nothing for this time.
    Wait(Duration),
}

/// Whether an order may be sent now.
#[key]
pub enum Permit {
    /// Send the order with this fencing number.
    Send(u64),
    /// Do not send the order yet; check again after this time.
    Wait(Duration),
    /// Do not send the order, because this node does not hold the lease.
    Deny,
}

/// A lease held by this node.
#[key]
struct Lease {
    /// Fencing number of the lease.
    fencing: u64,
    /// Time at which the lease expires, counted from when the request for it was sent.
    expires: Instant,
    /// Time by which all orders of the previous holder must have ended.
    predecessor_settled: Instant,
    /// Time at which to renew the lease.
    renew_at: Instant,
}

/// The lease of one service, as one node holds it or tries to acquire it.
#[derive(Debug)]
pub struct Holder {
    /// Lease, if this node holds it.
    lease: Option<Lease>,
    /// Time of the next attempt to acquire the lease.
    retry_at: Option<Instant>,
}

impl Holder {
    /// Creates a holder without a lease.
    pub fn new() -> Self {
        Self {
            lease: None,
            retry_at: None,
        }
    }

    /// Decides whether to acquire or renew the lease now.
    pub fn next(&mut self, now: Instant) -> Action {
        if self.lease.is_some_and(|lease| lease.expires <= now) {
            self.lease = None;
        }
        let due = match self.lease {
            Some(lease) => lease.renew_at,
            None => self.retry_at.unwrap_or(now),
        };
        if due > now {
            return Action::Wait(due - now);
        }
        if self.lease.is_some() {
            Action::Renew
        } else {
            Action::Acquire
        }
    }

    /// Records that the lease was acquired with a request sent at `sent`.
    ///
    /// The lease is counted from `sent`, since the service may have granted it at any time after
    /// that.
    pub fn acquired(&mut self, fencing: u64, sent: Instant, now: Instant) {
        let predecessor_settled = now + ORDER_TIMEOUT + SEND_MARGIN;
        let renew_at = now + RENEW_PERIOD;
        self.lease = Some(Lease {
            fencing,
            expires: sent + LEASE_TTL,
            predecessor_settled,
            renew_at,
        });
    }

    /// Records that the lease was renewed with a request sent at `sent`.
    pub fn renewed(&mut self, sent: Instant, now: Instant) {
        if let Some(lease) = &mut self.lease {
            lease.expires = lease.expires.max(sent + LEASE_TTL);
            lease.renew_at = now + RENEW_PERIOD;
        }
    }

    /// Records that the service refused the lease or no longer knows it.
    pub fn refused(&mut self, now: Instant) {
        self.lease = None;
        self.retry_at = Some(now + ACQUIRE_PERIOD);
    }

    /// Records that the service did not answer; a held lease stays valid until it expires.
    pub fn unanswered(&mut self, now: Instant) {
        self.retry_at = Some(now + ACQUIRE_PERIOD);
        if let Some(lease) = &mut self.lease {
            lease.renew_at = now + RENEW_PERIOD / 3;
        }
    }

    /// Decides whether an order to an engine may be sent now.
    pub fn permit(&self, endpoint: &Endpoint, now: Instant) -> Permit {
        let Some(lease) = self.lease.filter(|lease| lease.expires > now) else {
            return Permit::Deny;
        };
        if endpoint.checks_fencing {
            return Permit::Send(lease.fencing);
        }
        if lease.predecessor_settled > now {
            return Permit::Wait(lease.predecessor_settled - now);
        }
        if now + ORDER_TIMEOUT + SEND_MARGIN < lease.expires {
            return Permit::Send(lease.fencing);
        }
        Permit::Wait(RENEW_PERIOD)
    }

    /// Returns the fencing number of the lease if this node holds it.
    pub fn fencing_number(&self, now: Instant) -> Option<u64> {
        self.lease
            .filter(|lease| lease.expires > now)
            .map(|lease| lease.fencing)
    }
}

impl Default for Holder {
    fn default() -> Self {
        Self::new()
    }
}
