//! What a request asks of a service that is short of capacity, and its turn among those that wait.

use std::time::{Duration, Instant};

use daisyyard_derive::{key, record};

use crate::catalog::Priority;
use crate::id::{AccountId, ServiceId, Tokens};

/// Shortest silence after which a caller leaves a stream.
const MIN_PATIENCE: Duration = Duration::from_secs(2);
/// Silence after which a caller leaves a stream, in times of the target for its first event.
const PATIENCE_TARGETS: u32 = 4;
/// The same in times of the longest pause that the caller allows.
const PATIENCE_GAPS: u32 = 8;

/// Part of the time until the target by which a request goes later for each mean size of its kind
/// that it needs in addition: it takes the places of as many others.
const SIZE_WEIGHT: f64 = 0.125;
/// Number of additional mean sizes from which the request goes no later, so that it does not starve.
const MAX_EXCESS_SIZE: f64 = 3.0;

/// Part of the time until the target by which a request goes later if its account has got more than its
/// share. Requests of others then wait for a fraction of their time, and while few wait, those of the
/// account are still in time.
const EXCESS_WEIGHT: f64 = 0.75;

/// Kind of a request: requests of one kind are expected to need about the same.
#[key]
pub struct Kind {
    /// Service that answers.
    pub service: ServiceId,
    /// Priority of the request.
    pub priority: Priority,
    /// Whether the request frees its place almost at once.
    pub short: bool,
}

/// What a request asks for.
#[record]
#[derive(Copy)]
pub struct Ask {
    /// Kind of the request.
    pub kind: Kind,
    /// Account of the client; zero if there is none.
    pub account: AccountId,
    /// Memory that the request needs in tokens, or one for a request to a plain endpoint.
    pub size: Tokens,
    /// When the caller first sent the request, as far as is known. A request that returns after a
    /// refusal keeps its place by this.
    pub place: Instant,
    /// Latest time of the first token that still meets the target.
    pub target: Instant,
    /// When the caller is expected to have left if nothing was sent to it.
    pub leaves: Instant,
    /// When the answer must be complete.
    pub deadline: Instant,
}

/// How an account stands to its share.
#[key]
pub(crate) enum Standing {
    /// It has got no more than its share.
    Within,
    /// It has got more, and its requests go after others of their rank that were sent somewhat later.
    Above,
    /// It has got more, and its requests go after all others, because urgent requests alone exceed the
    /// capacity.
    Last,
}

/// Stage of waiting requests; those of one stage go before those of the next.
#[key]
enum Stage {
    /// Short requests, and long ones that can be in time.
    Usual,
    /// Long requests that are late.
    LongLate,
    /// Requests of accounts that go last.
    Last,
}

/// Turn of a waiting request; the lowest goes first.
///
/// A long request that is already late goes after all that can be in time, because it costs its
/// caller little to wait longer and would make others late. A short one that is late keeps its rank: it
/// delays the others by little.
#[key]
pub struct Turn {
    /// Stage to which the request belongs.
    stage: Stage,
    /// Priority of the request.
    priority: Priority,
    /// Whether the request is late.
    late: bool,
    /// Whether the request is long.
    long: bool,
    /// When the caller first sent the request, or later if it is larger than others of its kind or its
    /// account has got more than its share.
    place: Instant,
}

impl Kind {
    /// Returns whether requests in time of this kind go before those of another kind.
    pub(crate) fn precedes(&self, other: &Self) -> bool {
        (self.priority, !self.short) < (other.priority, !other.short)
    }
}

impl Ask {
    /// Returns the turn of the request by the standing of its account, the mean size of its kind, and
    /// whether it is late.
    pub(crate) fn turn(&self, standing: Standing, mean_size: f64, late: bool) -> Turn {
        let excess_size = (self.size as f64 / mean_size.max(1.0) - 1.0).clamp(0.0, MAX_EXCESS_SIZE);
        let excess = if standing == Standing::Within {
            0.0
        } else {
            EXCESS_WEIGHT
        };
        let stage = match standing {
            Standing::Last => Stage::Last,
            _ if late && !self.kind.short => Stage::LongLate,
            _ => Stage::Usual,
        };
        let target = self.target.saturating_duration_since(self.place);
        Turn {
            stage,
            priority: self.kind.priority,
            late,
            long: !self.kind.short,
            place: self.place + target.mul_f64(excess_size * SIZE_WEIGHT + excess),
        }
    }
}

/// Returns the silence after which a caller leaves a stream, also before its first event.
#[must_use]
pub fn patience(target: Duration, gap: Option<Duration>) -> Duration {
    let gap = gap.unwrap_or_default();
    MIN_PATIENCE
        .max(target.saturating_mul(PATIENCE_TARGETS))
        .max(gap.saturating_mul(PATIENCE_GAPS))
}
