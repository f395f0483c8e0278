//! Parts of the datagrams between gateways in their wire format.

use std::time::{Duration, Instant};

use bytes::Bytes;
use daisyyard_core::crash;
use daisyyard_core::evacuation::Order;
use daisyyard_core::id::{EndpointId, Fingerprint, ServiceId, ZoneId};
use daisyyard_core::knowledge;
use daisyyard_core::load::Load;
use daisyyard_core::revision::{Era, Revision};
use daisyyard_core::shared_retry_budget::Count;
use daisyyard_core::statement::Leaver;
use daisyyard_core::warmup;
use prost::Message;

use crate::codec::Item;

/// A part of a frame with the era of the store to which its revision belongs.
pub(crate) struct Dated<P>(pub(crate) P, pub(crate) Era);

/// What the sender knows of the crashes of a content.
#[derive(Clone, PartialEq, Eq, Message)]
pub(crate) struct ContentRecord {
    /// Higher half of the fingerprint of the content.
    #[prost(fixed64, tag = "1")]
    pub(crate) content_high: u64,
    /// Lower half of the fingerprint of the content.
    #[prost(fixed64, tag = "2")]
    pub(crate) content_low: u64,
    /// Crashes of endpoints that ran the content.
    #[prost(message, repeated, tag = "3")]
    pub(crate) crashes: Vec<Crash>,
    /// Time in milliseconds since a run with the content went well; absent if none has.
    #[prost(uint32, optional, tag = "4")]
    pub(crate) proven_age_ms: Option<u32>,
}

/// A crash of an endpoint that ran a content.
#[derive(Clone, Copy, PartialEq, Eq, Message)]
pub(crate) struct Crash {
    /// Identifier of the endpoint.
    #[prost(fixed64, tag = "1")]
    pub(crate) endpoint: EndpointId,
    /// Time in milliseconds since the run was sent.
    #[prost(uint32, tag = "2")]
    pub(crate) sent_age_ms: u32,
    /// Time in milliseconds since the run was broken off.
    #[prost(uint32, tag = "3")]
    pub(crate) age_ms: u32,
    /// Time in milliseconds for which the endpoint had sent data of the run.
    #[prost(uint32, tag = "4")]
    pub(crate) ran_ms: u32,
}

impl ContentRecord {
    /// Returns a record in wire format.
    pub(crate) fn new(record: &crash::Record, now: Instant) -> Self {
        let age = |at| millis(now.saturating_duration_since(at));
        let crash = |crash: &crash::Crash| Crash {
            endpoint: crash.endpoint,
            sent_age_ms: age(crash.sent_at),
            age_ms: age(crash.at),
            ran_ms: millis(crash.ran_for),
        };
        Self {
            content_high: (record.content >> u64::BITS) as u64,
            content_low: record.content as u64,
            crashes: record.crashes.iter().map(crash).collect(),
            proven_age_ms: record.proven_at.map(age),
        }
    }

    /// Returns the record that was received now; crashes before the start of the clock are left out.
    pub(crate) fn record(&self, now: Instant) -> crash::Record {
        let at = |age_ms: u32| now.checked_sub(Duration::from_millis(age_ms.into()));
        let crash = |crash: &Crash| {
            Some(crash::Crash {
                endpoint: crash.endpoint,
                sent_at: at(crash.sent_age_ms)?,
                at: at(crash.age_ms)?,
                ran_for: Duration::from_millis(crash.ran_ms.into()),
                common: false,
            })
        };
        let mut crashes: Vec<crash::Crash> = self.crashes.iter().filter_map(crash).collect();
        crashes.sort_by_key(|crash| crash.at);
        crash::Record {
            content: Fingerprint::from(self.content_high) << u64::BITS
                | Fingerprint::from(self.content_low),
            crashes,
            proven_at: self.proven_age_ms.and_then(at),
        }
    }
}

/// Returns a time in whole milliseconds.
fn millis(time: Duration) -> u32 {
    u32::try_from(time.as_millis()).unwrap_or(u32::MAX)
}

/// Age of what the sender knows of the configuration.
#[derive(Clone, Copy, PartialEq, Eq, Message)]
pub(crate) struct Knowledge {
    /// Time in milliseconds for which changes may be unknown to the sender.
    #[prost(uint32, tag = "1")]
    pub(crate) age_ms: u32,
    /// Whether the sender has read the store itself.
    #[prost(bool, tag = "2")]
    pub(crate) first_hand: bool,
}

/// An endpoint that is leaving.
#[derive(Clone, Copy, PartialEq, Eq, Message)]
pub(crate) struct Departure {
    /// Identifier of the endpoint.
    #[prost(fixed64, tag = "1")]
    pub(crate) endpoint: EndpointId,
    /// Number of the revision at which the endpoint began to leave.
    #[prost(uint64, tag = "2")]
    pub(crate) revision: u64,
}

/// The newest order to evacuate an availability zone that the sender knows.
#[derive(Clone, Copy, PartialEq, Eq, Message)]
pub(crate) struct Evacuation {
    /// Identifier of the zone.
    #[prost(fixed64, tag = "1")]
    pub(crate) zone: ZoneId,
    /// Number of the revision at which the order was given or revoked.
    #[prost(uint64, tag = "2")]
    pub(crate) revision: u64,
    /// Whether the zone is evacuated.
    #[prost(bool, tag = "3")]
    pub(crate) standing: bool,
}

/// A cold endpoint.
#[derive(Clone, Copy, PartialEq, Eq, Message)]
pub(crate) struct ColdEndpoint {
    /// Identifier of the endpoint.
    #[prost(fixed64, tag = "1")]
    pub(crate) endpoint: EndpointId,
    /// Incarnation that is cold.
    #[prost(uint64, tag = "2")]
    pub(crate) incarnation: u64,
    /// Time in milliseconds for which it is still cold.
    #[prost(uint32, tag = "3")]
    pub(crate) remaining_ms: u32,
    /// Number of the revision of the latest entry of the endpoint that the sender has read.
    #[prost(uint64, tag = "4")]
    pub(crate) revision: u64,
}

impl ColdEndpoint {
    /// Returns whether this report, which was sent before the other one, covers it.
    pub(crate) fn covers(&self, later: &Self) -> bool {
        let same = |one: &Self| (one.endpoint, one.incarnation, one.revision);
        same(self) == same(later) && self.remaining_ms >= later.remaining_ms
    }
}

impl From<warmup::Report> for ColdEndpoint {
    fn from(report: warmup::Report) -> Self {
        Self {
            endpoint: report.endpoint,
            incarnation: report.incarnation,
            remaining_ms: millis(report.remaining),
            revision: report.revision.number,
        }
    }
}

impl From<Dated<ColdEndpoint>> for warmup::Report {
    fn from(Dated(cold, era): Dated<ColdEndpoint>) -> Self {
        Self {
            endpoint: cold.endpoint,
            incarnation: cold.incarnation,
            revision: Revision::new(era, cold.revision),
            remaining: Duration::from_millis(cold.remaining_ms.into()),
        }
    }
}

/// An incarnation of an endpoint that has stated to the sender that it leaves.
#[derive(Clone, Copy, PartialEq, Eq, Message)]
pub(crate) struct LeavingEndpoint {
    /// Identifier of the endpoint.
    #[prost(fixed64, tag = "1")]
    pub(crate) endpoint: EndpointId,
    /// Incarnation that leaves.
    #[prost(uint64, tag = "2")]
    pub(crate) incarnation: u64,
}

impl From<Leaver> for LeavingEndpoint {
    fn from(leaver: Leaver) -> Self {
        Self {
            endpoint: leaver.endpoint,
            incarnation: leaver.incarnation,
        }
    }
}

impl From<LeavingEndpoint> for Leaver {
    fn from(leaving: LeavingEndpoint) -> Self {
        Self {
            endpoint: leaving.endpoint,
            incarnation: leaving.incarnation,
        }
    }
}

/// A change of a key in the store.
#[derive(Clone, PartialEq, Eq, Message)]
pub(crate) struct Change {
    /// Name of the key.
    #[prost(string, tag = "1")]
    pub(crate) key: String,
    /// Value of the key; absent if it was deleted.
    #[prost(bytes = "bytes", optional, tag = "2")]
    pub(crate) value: Option<Bytes>,
    /// Number of the revision of the change.
    #[prost(uint64, tag = "3")]
    pub(crate) revision: u64,
}

/// Request counts of the sender for one service.
#[derive(Clone, Copy, PartialEq, Eq, Message)]
pub(crate) struct Counts {
    /// Identifier of the service.
    #[prost(fixed64, tag = "1")]
    pub(crate) service: ServiceId,
    /// Requests in the current window.
    #[prost(uint32, tag = "2")]
    pub(crate) requests: u32,
    /// Retries in the current window.
    #[prost(uint32, tag = "3")]
    pub(crate) retries: u32,
}

/// Load of the sender at one endpoint.
#[derive(Clone, Copy, PartialEq, Eq, Message)]
pub(crate) struct EndpointLoad {
    /// Identifier of the endpoint.
    #[prost(fixed64, tag = "1")]
    pub(crate) endpoint: EndpointId,
    /// Requests in progress.
    #[prost(uint32, tag = "2")]
    pub(crate) runs: u32,
    /// Reserved KV cache, in tokens of context.
    #[prost(uint64, tag = "3")]
    pub(crate) tokens: u64,
    /// Prompt tokens of requests that have no first token yet.
    #[prost(uint64, tag = "4")]
    pub(crate) prefill: u64,
    /// Time between two events at the engine in microseconds; zero if the sender does not know it.
    #[prost(uint32, tag = "5")]
    pub(crate) gap_us: u32,
}

impl EndpointLoad {
    /// Returns the load and the pace of an endpoint in wire format.
    pub(crate) fn new(
        (endpoint, load): &(EndpointId, Load),
        paces: &[(EndpointId, Duration)],
    ) -> Self {
        let pace = paces.iter().find(|(id, _)| id == endpoint);
        let gap_us = pace.map_or(0, |(_, gap)| gap.as_micros());
        Self {
            gap_us: u32::try_from(gap_us).unwrap_or(u32::MAX),
            endpoint: *endpoint,
            runs: load.runs,
            tokens: load.tokens,
            prefill: load.prefill,
        }
    }
}

impl From<EndpointLoad> for (EndpointId, Load) {
    fn from(endpoint_load: EndpointLoad) -> Self {
        let load = Load {
            runs: endpoint_load.runs,
            tokens: endpoint_load.tokens,
            prefill: endpoint_load.prefill,
        };
        (endpoint_load.endpoint, load)
    }
}

impl From<&(EndpointId, Revision)> for Departure {
    fn from((endpoint, revision): &(EndpointId, Revision)) -> Self {
        Self {
            endpoint: *endpoint,
            revision: revision.number,
        }
    }
}

impl From<Dated<Departure>> for (EndpointId, Revision) {
    fn from(Dated(departure, era): Dated<Departure>) -> Self {
        let revision = Revision::new(era, departure.revision);
        (departure.endpoint, revision)
    }
}

impl From<&Order> for Evacuation {
    fn from(order: &Order) -> Self {
        Self {
            zone: order.zone,
            revision: order.revision.number,
            standing: order.standing,
        }
    }
}

impl From<Dated<Evacuation>> for Order {
    fn from(Dated(evacuation, era): Dated<Evacuation>) -> Self {
        Self {
            zone: evacuation.zone,
            revision: Revision::new(era, evacuation.revision),
            standing: evacuation.standing,
        }
    }
}

impl From<Item> for Change {
    fn from(item: Item) -> Self {
        Self {
            key: item.key,
            value: item.value,
            revision: item.revision.number,
        }
    }
}

impl From<Dated<Change>> for Item {
    fn from(Dated(change, era): Dated<Change>) -> Self {
        Self {
            key: change.key,
            value: change.value,
            revision: Revision::new(era, change.revision),
        }
    }
}

impl From<&(ServiceId, Count)> for Counts {
    fn from((service, count): &(ServiceId, Count)) -> Self {
        Self {
            service: *service,
            requests: count.requests,
            retries: count.retries,
        }
    }
}

impl From<Counts> for (ServiceId, Count) {
    fn from(counts: Counts) -> Self {
        let count = Count {
            requests: counts.requests,
            retries: counts.retries,
        };
        (counts.service, count)
    }
}

impl From<knowledge::Report> for Knowledge {
    fn from(report: knowledge::Report) -> Self {
        // Rounded up, so that knowledge never looks younger than it is.
        let age_ms = report.age.as_micros().div_ceil(1_000);
        Self {
            age_ms: u32::try_from(age_ms).unwrap_or(u32::MAX),
            first_hand: report.first_hand,
        }
    }
}

impl From<Knowledge> for knowledge::Report {
    fn from(knowledge: Knowledge) -> Self {
        Self {
            age: Duration::from_millis(knowledge.age_ms.into()),
            first_hand: knowledge.first_hand,
        }
    }
}
