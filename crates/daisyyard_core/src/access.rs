//! Whether requests may go to an endpoint now and, if not, why and until when.
//!
//! Every way by which something reaches an endpoint asks here: first sends, repeats, resumptions,
//! moves and backups, so that no path goes on sending to an endpoint that another one avoids.

use std::time::Instant;

use daisyyard_derive::key;

use crate::candidate::Candidate;
use crate::endpoint::State;
use crate::rate::Opening;

/// Why nothing may be sent to an endpoint now.
#[key]
pub enum Reason {
    /// The endpoint is no longer listed.
    Unlisted,
    /// The endpoint accepts no new requests and shuts down soon.
    Leaving,
    /// The availability zone of the endpoint is evacuated.
    Evacuated,
    /// The endpoint turns requests of this node away, which it has stated in an answer.
    TurnedAway,
    /// Requests to the endpoint failed, so that it is avoided for some time.
    Ejected,
    /// The endpoint is cold, and this node has no place left in the rate that it tolerates.
    Cold,
    /// The endpoint states a limit for all nodes together, and this node has no place left in it.
    Limited,
    /// The endpoint falls over if it has to turn many requests away, and might have no room for one of
    /// this node.
    Brittle,
}

/// Whether something may be sent to an endpoint now.
#[key]
pub enum Access {
    /// Requests may be sent.
    Open,
    /// Nothing may be sent for this reason until this time, as far as it is known.
    Closed(Reason, Option<Instant>),
}

impl Access {
    /// Returns whether requests may be sent.
    #[must_use]
    pub fn is_open(self) -> bool {
        self == Self::Open
    }
}

impl Opening {
    /// Returns the access that follows if this rate alone decides.
    pub(crate) fn access(self, reason: Reason) -> Access {
        match self {
            Self::Now => Access::Open,
            Self::At(opens) => Access::Closed(reason, Some(opens)),
            Self::Unknown => Access::Closed(reason, None),
        }
    }
}

impl Candidate {
    /// Returns whether something may be sent to the endpoint now.
    pub(crate) fn access(&self, now: Instant) -> Access {
        if self.unlisted_at.is_some() {
            return Access::Closed(Reason::Unlisted, None);
        }
        if self.endpoint.state != State::Live || self.statements.current().is_leaving() {
            return Access::Closed(Reason::Leaving, None);
        }
        if self.evacuated {
            return Access::Closed(Reason::Evacuated, None);
        }
        if let Some(until) = self.statements.current().closed_until(now) {
            return Access::Closed(Reason::TurnedAway, Some(until));
        }
        match self.ejected_until() {
            Some(until) if until > now => Access::Closed(Reason::Ejected, Some(until)),
            _ => match self.warmup.closed_until(now) {
                Some(until) => Access::Closed(Reason::Cold, Some(until)),
                None => match self.throttle.share.opening(now) {
                    Opening::Now => self.brittle_opening(0, now).access(Reason::Brittle),
                    opening => opening.access(Reason::Limited),
                },
            },
        }
    }
}
