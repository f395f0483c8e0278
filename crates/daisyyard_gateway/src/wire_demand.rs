//! Demand of a gateway in the wire format of its datagrams.

use std::time::{Duration, Instant};

use daisyyard_core::catalog::Priority;
use daisyyard_core::forecast::Stream;
use daisyyard_core::gate::Waiting;
use daisyyard_core::id::{AccountId, EndpointId, ServiceId, Tokens};
use daisyyard_core::refusals::Refused;
use daisyyard_core::turn::Kind;
use daisyyard_core::workload::Part;
use prost::Message;

/// Number by which rates are multiplied, so that they are whole.
const RATE_SCALE: f64 = 1_000.0;

/// Work of an account.
#[derive(Clone, Copy, PartialEq, Eq, Message)]
pub(crate) struct AccountPart {
    /// The account; absent for the sum of the rest.
    #[prost(fixed64, optional, tag = "1")]
    account: Option<AccountId>,
    /// Work that was asked for, in token seconds.
    #[prost(uint64, tag = "2")]
    asked: u64,
    /// Work that was started.
    #[prost(uint64, tag = "3")]
    served: u64,
}

/// Requests of one kind.
#[derive(Clone, Copy, PartialEq, Eq, Message)]
pub(crate) struct KindStream {
    /// Service that answers.
    #[prost(fixed64, tag = "1")]
    service: ServiceId,
    /// Priority of the requests.
    #[prost(uint32, tag = "2")]
    priority: u32,
    /// Whether the requests are short.
    #[prost(bool, tag = "3")]
    short: bool,
    /// Requests that arrive in a thousand seconds.
    #[prost(uint32, tag = "4")]
    arrivals: u32,
    /// Requests that are started in a thousand seconds.
    #[prost(uint32, tag = "5")]
    starts: u32,
    /// Mean memory of a request.
    #[prost(uint64, tag = "6")]
    size: Tokens,
    /// Mean time for which it is held, in milliseconds.
    #[prost(uint32, tag = "7")]
    hold_ms: u32,
    /// Mean time that a request may wait for a place, in milliseconds.
    #[prost(uint32, tag = "8")]
    patience_ms: u32,
}

/// A request that was refused.
#[derive(Clone, Copy, PartialEq, Eq, Message)]
pub(crate) struct RefusedPart {
    /// Part of the fingerprint of what the request asks for.
    #[prost(fixed64, tag = "1")]
    content: u64,
    /// Time in milliseconds since it was first sent.
    #[prost(uint32, tag = "2")]
    age_ms: u32,
}

/// Requests of one kind that wait.
#[derive(Clone, Copy, PartialEq, Eq, Message)]
pub(crate) struct WaitingPart {
    /// Service that answers.
    #[prost(fixed64, tag = "1")]
    service: ServiceId,
    /// Priority of the requests.
    #[prost(uint32, tag = "2")]
    priority: u32,
    /// Whether the requests are short.
    #[prost(bool, tag = "3")]
    short: bool,
    /// Memory that they need together.
    #[prost(uint64, tag = "4")]
    size: Tokens,
    /// Age of the oldest one in milliseconds.
    #[prost(uint32, tag = "5")]
    age_ms: u32,
    /// Endpoint that is left to the first one.
    #[prost(fixed64, optional, tag = "6")]
    kept: Option<EndpointId>,
}

/// Returns a time in whole milliseconds.
fn millis(time: Duration) -> u32 {
    u32::try_from(time.as_millis()).unwrap_or(u32::MAX)
}

/// Returns a time from milliseconds.
fn time(millis: u32) -> Duration {
    Duration::from_millis(millis.into())
}

/// Returns the kind of requests; a priority that is out of range counts as the lowest.
fn kind(service: ServiceId, priority: u32, short: bool) -> Kind {
    let priority = Priority::try_from(priority).unwrap_or(Priority::MAX);
    Kind {
        service,
        priority,
        short,
    }
}

impl From<&Part> for AccountPart {
    fn from(part: &Part) -> Self {
        Self {
            account: part.account,
            asked: part.asked as u64,
            served: part.served as u64,
        }
    }
}

impl From<AccountPart> for Part {
    fn from(part: AccountPart) -> Self {
        Self {
            account: part.account,
            asked: part.asked as f64,
            served: part.served as f64,
        }
    }
}

impl From<&Stream> for KindStream {
    fn from(stream: &Stream) -> Self {
        Self {
            service: stream.kind.service,
            priority: stream.kind.priority.into(),
            short: stream.kind.short,
            arrivals: (stream.arrivals * RATE_SCALE) as u32,
            starts: (stream.starts * RATE_SCALE) as u32,
            size: stream.size as Tokens,
            hold_ms: millis(stream.hold),
            patience_ms: millis(stream.patience),
        }
    }
}

impl From<KindStream> for Stream {
    fn from(stream: KindStream) -> Self {
        Self {
            kind: kind(stream.service, stream.priority, stream.short),
            arrivals: f64::from(stream.arrivals) / RATE_SCALE,
            starts: f64::from(stream.starts) / RATE_SCALE,
            size: stream.size as f64,
            hold: time(stream.hold_ms),
            patience: time(stream.patience_ms),
        }
    }
}

impl RefusedPart {
    /// Returns a refused request in wire format.
    pub(crate) fn new(refused: &Refused, now: Instant) -> Self {
        Self {
            content: refused.content,
            age_ms: millis(now.saturating_duration_since(refused.place)),
        }
    }

    /// Returns the refused request that was received now; none if it is older than the clock.
    pub(crate) fn refused(&self, now: Instant) -> Option<Refused> {
        Some(Refused {
            content: self.content,
            place: now.checked_sub(time(self.age_ms))?,
        })
    }
}

impl From<&Waiting> for WaitingPart {
    fn from(waiting: &Waiting) -> Self {
        Self {
            service: waiting.kind.service,
            priority: waiting.kind.priority.into(),
            short: waiting.kind.short,
            size: waiting.size,
            age_ms: millis(waiting.age),
            kept: waiting.kept,
        }
    }
}

impl From<WaitingPart> for Waiting {
    fn from(waiting: WaitingPart) -> Self {
        Self {
            kind: kind(waiting.service, waiting.priority, waiting.short),
            size: waiting.size,
            age: time(waiting.age_ms),
            kept: waiting.kept,
        }
    }
}
