//! Limits of endpoints in the wire format of the datagrams between gateways.

use std::time::Duration;

use daisyyard_core::id::EndpointId;
use daisyyard_core::throttle::Report;
use prost::Message;

/// What the latest answer of an endpoint to the sender stated on its limit, or on its brittleness.
#[derive(Clone, Copy, PartialEq, Eq, Message)]
pub(crate) struct LimitedEndpoint {
    /// Identifier of the endpoint.
    #[prost(fixed64, tag = "1")]
    pub(crate) endpoint: EndpointId,
    /// Incarnation that made the statement.
    #[prost(uint64, tag = "2")]
    pub(crate) incarnation: u64,
    /// Requests in 1,000 seconds; absent if the endpoint no longer states any.
    #[prost(uint32, optional, tag = "3")]
    pub(crate) per_1000_s: Option<u32>,
    /// Time in milliseconds since the answer.
    #[prost(uint32, tag = "4")]
    pub(crate) age_ms: u32,
}

impl LimitedEndpoint {
    /// Returns whether this statement tells nothing that an earlier one did not. A later answer with the
    /// same limit only confirms it.
    pub(crate) fn is_told_by(&self, earlier: &Self) -> bool {
        let content = |it: &Self| (it.endpoint, it.incarnation, it.per_1000_s);
        content(self) == content(earlier)
    }
}

impl From<Report> for LimitedEndpoint {
    fn from(report: Report) -> Self {
        Self {
            endpoint: report.endpoint,
            incarnation: report.incarnation,
            per_1000_s: report.per_1000_s,
            age_ms: u32::try_from(report.age.as_millis()).unwrap_or(u32::MAX),
        }
    }
}

impl From<LimitedEndpoint> for Report {
    fn from(limited: LimitedEndpoint) -> Self {
        Self {
            endpoint: limited.endpoint,
            incarnation: limited.incarnation,
            per_1000_s: limited.per_1000_s,
            age: Duration::from_millis(limited.age_ms.into()),
        }
    }
}
