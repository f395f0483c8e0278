//! Datagrams between gateways in their wire format.

use std::time::{Duration, Instant};

use bytes::Bytes;
use daisyyard_core::crash;
use daisyyard_core::id::{EndpointId, Fingerprint, InstanceId, Revision, ServiceId};
use daisyyard_core::knowledge;
use daisyyard_core::load::Load;
use daisyyard_core::shared_retry_budget::Count;
use prost::Message;

use crate::codec::Item;
use crate::message::Report;

/// Maximum size of a datagram; it fits into one packet on any path.
pub(crate) const MAX_DATAGRAM_BYTES: usize = 1_400;
/// Maximum size of the tag and length of a field, in bytes.
const MAX_FIELD_OVERHEAD_BYTES: usize = 12;
/// Maximum size of the changes in a datagram; the rest is for the other fields.
const MAX_NEWS_BYTES: usize = MAX_DATAGRAM_BYTES - MAX_FIELD_OVERHEAD_BYTES * 4;
/// Maximum number of endpoint loads in one datagram.
const MAX_LOADS: usize = 32;
/// Maximum number of leaving endpoints in one datagram.
const MAX_DEPARTURES: usize = 16;
/// Maximum number of ejected endpoints in one datagram.
const MAX_EJECTIONS: usize = 12;
/// Maximum number of records of contents in one datagram.
const MAX_CONTENTS: usize = 8;
/// Maximum number of services in one datagram.
const MAX_SERVICES: usize = 8;

/// Changes of the store to pass on to other gateways.
#[derive(Debug)]
pub(crate) struct News {
    /// The changes.
    pub(crate) items: Vec<Item>,
    /// Time for which a deleted entry may be written again, after an outage of the store.
    pub(crate) relist_time: Duration,
}

/// A digest in its wire format.
#[derive(Clone, PartialEq, Eq, Message)]
pub(crate) struct Frame {
    /// Identifier of the sender.
    #[prost(fixed64, tag = "1")]
    instance: InstanceId,
    /// Whether the sender is leaving.
    #[prost(bool, tag = "2")]
    leaving: bool,
    /// Load of the sender at each endpoint.
    #[prost(message, repeated, tag = "3")]
    loads: Vec<EndpointLoad>,
    /// Requests and retries of the sender for each service.
    #[prost(message, repeated, tag = "4")]
    counts: Vec<Counts>,
    /// Version of the sender's current configuration.
    #[prost(uint64, tag = "5")]
    version: Revision,
    /// Endpoints that the sender knows to be leaving.
    #[prost(message, repeated, tag = "6")]
    departures: Vec<Departure>,
    /// Endpoints that the sender has ejected after failures.
    #[prost(fixed64, repeated, tag = "8")]
    ejections: Vec<EndpointId>,
    /// What the frame is for.
    #[prost(enumeration = "Purpose", tag = "9")]
    purpose: i32,
    /// Identifies the set of endpoints that the readers of the store know.
    #[prost(fixed64, tag = "10")]
    listing: u64,
    /// Changes that the sender has read from the store.
    #[prost(message, repeated, tag = "11")]
    news: Vec<Change>,
    /// Time in milliseconds for which a deleted entry may be written again, after an outage of the
    /// store.
    #[prost(uint32, tag = "12")]
    relist_ms: u32,
    /// Whether the sender does not reach the store.
    #[prost(bool, tag = "13")]
    store_lost: bool,
    /// Age of what the sender knows of the configuration; absent if it is stale.
    #[prost(message, optional, tag = "14")]
    knowledge: Option<Knowledge>,
    /// Crashes and proofs of contents.
    #[prost(message, repeated, tag = "15")]
    evidence: Vec<ContentRecord>,
}

/// What a frame is for.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord, prost::Enumeration)]
#[repr(i32)]
enum Purpose {
    /// It reports the state of the sender.
    Digest = 0,
    /// It adds to the previous frame, or tells news of the store.
    Continuation = 1,
    /// It reports the state of the sender and asks for that of the recipient, which counts as lost.
    Probe = 2,
}

/// What the sender knows of the crashes of a content.
#[derive(Clone, PartialEq, Eq, Message)]
struct ContentRecord {
    /// Higher half of the fingerprint of the content.
    #[prost(fixed64, tag = "1")]
    content_high: u64,
    /// Lower half of the fingerprint of the content.
    #[prost(fixed64, tag = "2")]
    content_low: u64,
    /// Crashes of endpoints that ran the content.
    #[prost(message, repeated, tag = "3")]
    crashes: Vec<Crash>,
    /// Time in milliseconds since a run with the content went well; absent if none has.
    #[prost(uint32, optional, tag = "4")]
    proven_age_ms: Option<u32>,
}

/// A crash of an endpoint that ran a content.
#[derive(Clone, Copy, PartialEq, Eq, Message)]
struct Crash {
    /// Identifier of the endpoint.
    #[prost(fixed64, tag = "1")]
    endpoint: EndpointId,
    /// Time in milliseconds since the run was sent.
    #[prost(uint32, tag = "2")]
    sent_age_ms: u32,
    /// Time in milliseconds since the run was broken off.
    #[prost(uint32, tag = "3")]
    age_ms: u32,
}

impl ContentRecord {
    /// Returns a record in wire format.
    fn new(record: &crash::Record, now: Instant) -> Self {
        let age = |at| millis(now.saturating_duration_since(at));
        let crash = |crash: &crash::Crash| Crash {
            endpoint: crash.endpoint,
            sent_age_ms: age(crash.sent_at),
            age_ms: age(crash.at),
        };
        Self {
            content_high: (record.content >> u64::BITS) as u64,
            content_low: record.content as u64,
            crashes: record.crashes.iter().map(crash).collect(),
            proven_age_ms: record.proven_at.map(age),
        }
    }

    /// Returns the record that was received now; crashes before the start of the clock are left out.
    fn record(&self, now: Instant) -> crash::Record {
        let at = |age_ms: u32| now.checked_sub(Duration::from_millis(age_ms.into()));
        let crash = |crash: &Crash| {
            Some(crash::Crash {
                endpoint: crash.endpoint,
                sent_at: at(crash.sent_age_ms)?,
                at: at(crash.age_ms)?,
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
struct Knowledge {
    /// Time in milliseconds for which changes may be unknown to the sender.
    #[prost(uint32, tag = "1")]
    age_ms: u32,
    /// Whether the sender has read the store itself.
    #[prost(bool, tag = "2")]
    first_hand: bool,
}

/// An endpoint that is leaving.
#[derive(Clone, Copy, PartialEq, Eq, Message)]
struct Departure {
    /// Identifier of the endpoint.
    #[prost(fixed64, tag = "1")]
    endpoint: EndpointId,
    /// Revision of the store at which the endpoint began to leave.
    #[prost(uint64, tag = "2")]
    revision: Revision,
}

/// A change of a key in the store.
#[derive(Clone, PartialEq, Eq, Message)]
struct Change {
    /// Name of the key.
    #[prost(string, tag = "1")]
    key: String,
    /// Value of the key; absent if it was deleted.
    #[prost(bytes = "bytes", optional, tag = "2")]
    value: Option<Bytes>,
    /// Revision of the store at the change.
    #[prost(uint64, tag = "3")]
    revision: Revision,
}

/// Request counts of the sender for one service.
#[derive(Clone, Copy, PartialEq, Eq, Message)]
struct Counts {
    /// Identifier of the service.
    #[prost(fixed64, tag = "1")]
    service: ServiceId,
    /// Requests in the current window.
    #[prost(uint32, tag = "2")]
    requests: u32,
    /// Retries in the current window.
    #[prost(uint32, tag = "3")]
    retries: u32,
}

/// Load of the sender at one endpoint.
#[derive(Clone, Copy, PartialEq, Eq, Message)]
struct EndpointLoad {
    /// Identifier of the endpoint.
    #[prost(fixed64, tag = "1")]
    endpoint: EndpointId,
    /// Requests in progress.
    #[prost(uint32, tag = "2")]
    runs: u32,
    /// Reserved KV cache, in tokens of context.
    #[prost(uint64, tag = "3")]
    tokens: u64,
    /// Prompt tokens of requests that have no first token yet.
    #[prost(uint64, tag = "4")]
    prefill: u64,
    /// Time between two events at the engine in microseconds; zero if the sender does not know it.
    #[prost(uint32, tag = "5")]
    gap_us: u32,
}

impl EndpointLoad {
    /// Returns the load and the pace of an endpoint in wire format.
    fn new((endpoint, load): &(EndpointId, Load), paces: &[(EndpointId, Duration)]) -> Self {
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
            revision: *revision,
        }
    }
}

impl From<Departure> for (EndpointId, Revision) {
    fn from(departure: Departure) -> Self {
        (departure.endpoint, departure.revision)
    }
}

impl From<Item> for Change {
    fn from(item: Item) -> Self {
        Self {
            key: item.key,
            value: item.value,
            revision: item.revision,
        }
    }
}

impl From<Change> for Item {
    fn from(change: Change) -> Self {
        Self {
            key: change.key,
            value: change.value,
            revision: change.revision,
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

impl Frame {
    /// Splits a report into frames; its loads may need more than one datagram.
    pub(crate) fn from_report(report: &Report) -> Vec<Self> {
        let load = |load| EndpointLoad::new(load, &report.paces);
        let (first, rest) = report.loads.split_at(report.loads.len().min(MAX_LOADS));
        let rest = rest.chunks(MAX_LOADS);
        let rest = rest.map(|loads| Self {
            instance: report.from,
            leaving: report.leaving,
            loads: loads.iter().map(load).collect(),
            purpose: Purpose::Continuation.into(),
            ..Self::default()
        });
        let first = Self {
            loads: first.iter().map(load).collect(),
            ..Self::without_loads(report)
        };
        std::iter::once(first).chain(rest).collect()
    }

    /// Splits records of contents into frames.
    pub(crate) fn from_evidence(from: InstanceId, records: &[crash::Record]) -> Vec<Self> {
        let now = Instant::now();
        let frame = |records: &[crash::Record]| Self {
            instance: from,
            purpose: Purpose::Continuation.into(),
            evidence: records
                .iter()
                .map(|record| ContentRecord::new(record, now))
                .collect(),
            ..Self::default()
        };
        records.chunks(MAX_CONTENTS).map(frame).collect()
    }

    /// Splits changes of the store into frames. A change that is too large for a datagram is left
    /// out; the gateways find it in their next complete read.
    pub(crate) fn from_news(news: News) -> Vec<Self> {
        let relist_ms = news.relist_time.as_millis() as u32;
        let mut frames: Vec<Self> = Vec::new();
        let mut room = 0;
        for change in news.items.into_iter().map(Change::from) {
            let size = change.encoded_len() + MAX_FIELD_OVERHEAD_BYTES;
            if size > MAX_NEWS_BYTES {
                continue;
            }
            if size > room || frames.is_empty() {
                room = MAX_NEWS_BYTES;
                frames.push(Self {
                    purpose: Purpose::Continuation.into(),
                    relist_ms,
                    ..Self::default()
                });
            }
            room = room.saturating_sub(size);
            let last = frames.len() - 1;
            frames[last].news.push(change);
        }
        frames
    }

    /// Returns whether the frame tells more than the one before. Knowledge that has only aged tells
    /// nothing, as the recipients know how long ago it was reported.
    pub(crate) fn tells_more_than(&self, last: &Self) -> bool {
        let renewed = match (self.knowledge, last.knowledge) {
            (Some(new), Some(old)) => new.first_hand != old.first_hand || new.age_ms < old.age_ms,
            (new, old) => new.is_some() != old.is_some(),
        };
        let knowledge = last.knowledge;
        renewed
            || *last
                != Self {
                    knowledge,
                    ..self.clone()
                }
    }

    /// Returns the frame as one that asks the recipient for a digest.
    pub(crate) fn into_probe(self) -> Self {
        Self {
            purpose: Purpose::Probe.into(),
            ..self
        }
    }

    /// Returns whether the sender asks for a digest.
    pub(crate) fn is_probe(&self) -> bool {
        self.purpose() == Purpose::Probe
    }

    /// Sets the sender.
    pub(crate) fn set_sender(&mut self, sender: InstanceId) {
        self.instance = sender;
    }

    /// Returns the first frame of a report without the loads.
    pub(crate) fn without_loads(report: &Report) -> Self {
        Self {
            purpose: Purpose::Digest.into(),
            news: Vec::new(),
            relist_ms: 0,
            store_lost: report.store_lost,
            knowledge: report.knowledge.map(Knowledge::from),
            evidence: Vec::new(),
            instance: report.from,
            leaving: report.leaving,
            loads: Vec::new(),
            version: report.version,
            listing: report.listing,
            ejections: report
                .ejections
                .iter()
                .copied()
                .take(MAX_EJECTIONS)
                .collect(),
            departures: report
                .departures
                .iter()
                .take(MAX_DEPARTURES)
                .map(Departure::from)
                .collect(),
            counts: report
                .counts
                .iter()
                .take(MAX_SERVICES)
                .map(Counts::from)
                .collect(),
        }
    }
}

impl From<Frame> for Report {
    fn from(frame: Frame) -> Self {
        let now = Instant::now();
        let known = frame.loads.iter().filter(|load| load.gap_us > 0);
        let pace = |load: &EndpointLoad| {
            let gap = Duration::from_micros(load.gap_us.into());
            (load.endpoint, gap)
        };
        Self {
            paces: known.map(pace).collect(),
            from: frame.instance,
            store_lost: frame.store_lost,
            leaving: frame.leaving,
            version: frame.version,
            knowledge: frame.knowledge.map(knowledge::Report::from),
            listing: frame.listing,
            continuation: frame.purpose() == Purpose::Continuation,
            ejections: frame.ejections,
            departures: frame.departures.into_iter().map(Into::into).collect(),
            loads: frame.loads.into_iter().map(Into::into).collect(),
            news: frame.news.into_iter().map(Into::into).collect(),
            relist_time: Duration::from_millis(frame.relist_ms.into()),
            counts: frame.counts.into_iter().map(Into::into).collect(),
            evidence: frame
                .evidence
                .iter()
                .map(|record| record.record(now))
                .collect(),
        }
    }
}
