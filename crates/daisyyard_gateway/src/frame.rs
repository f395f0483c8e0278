//! Datagrams between gateways in their wire format.

use std::time::{Duration, Instant};

use daisyyard_core::crash;
use daisyyard_core::id::{EndpointId, InstanceId, Version};
use daisyyard_core::knowledge;
use daisyyard_core::revision::{Era, Revision};
use prost::Message;

use crate::codec::Item;
use crate::message::{Demand, Lost, Report};
use crate::wire::{
    Change, ColdEndpoint, ContentRecord, Counts, Dated, Departure, EndpointLoad, Evacuation,
    Knowledge, LeavingEndpoint,
};
use crate::wire_demand::{AccountPart, KindStream, RefusedPart, WaitingPart};
use crate::wire_limit::LimitedEndpoint;

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
/// Maximum number of cold endpoints that a sender reports; they fill a datagram of their own.
const MAX_COLD: usize = 32;
/// Maximum number of incarnations in one datagram that have stated that they leave.
const MAX_LEAVERS: usize = 48;
/// Maximum number of limits of endpoints in one datagram.
const MAX_LIMITS: usize = 40;
/// Maximum number of records of contents in one datagram.
const MAX_CONTENTS: usize = 6;
/// Maximum number of kinds of requests in one datagram, or of waiting ones in a digest.
const MAX_KINDS: usize = 8;
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
    /// Whether the sender is leaving; a continuation does not tell it.
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
    version: Version,
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
    /// Newest orders to evacuate availability zones that the sender knows.
    #[prost(message, repeated, tag = "16")]
    evacuations: Vec<Evacuation>,
    /// Number of the revision up to which other zones are not evacuated; zero if it is unknown.
    #[prost(uint64, tag = "17")]
    evacuations_at: u64,
    /// Cold endpoints that the sender knows by itself.
    #[prost(message, repeated, tag = "20")]
    cold: Vec<ColdEndpoint>,
    /// Incarnations of endpoints that have stated to the sender that they leave.
    #[prost(message, repeated, tag = "21")]
    leavers: Vec<LeavingEndpoint>,
    /// What endpoints have stated to the sender on their limits.
    #[prost(message, repeated, tag = "22")]
    limits: Vec<LimitedEndpoint>,
    /// What endpoints have stated to the sender on their brittleness.
    #[prost(message, repeated, tag = "30")]
    brittle: Vec<LimitedEndpoint>,
    /// Work of the heaviest accounts and of the rest.
    #[prost(message, repeated, tag = "24")]
    accounts: Vec<AccountPart>,
    /// Requests that arrive and start, by kind.
    #[prost(message, repeated, tag = "25")]
    streams: Vec<KindStream>,
    /// Requests that were refused lately.
    #[prost(message, repeated, tag = "26")]
    refused: Vec<RefusedPart>,
    /// Requests that wait, by kind.
    #[prost(message, repeated, tag = "27")]
    waiting: Vec<WaitingPart>,
    /// Whether the sender is cut off from the endpoints.
    #[prost(bool, tag = "28")]
    isolated: bool,
    /// Era of the store to which all revisions in the frame belong; absent if the sender knows none.
    #[prost(uint64, optional, tag = "31")]
    era: Option<Era>,
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

impl Frame {
    /// Splits a report into frames; its loads may need more than one datagram.
    pub(crate) fn from_report(report: &Report) -> Vec<Self> {
        let load = |load| EndpointLoad::new(load, &report.paces);
        // An order for a zone takes no more bytes than a load.
        let max_first = MAX_LOADS.saturating_sub(report.evacuations.len());
        let (first, rest) = report.loads.split_at(report.loads.len().min(max_first));
        let rest = rest.chunks(MAX_LOADS);
        let rest = rest.map(|loads| Self {
            instance: report.from,
            leaving: report.leaving,
            loads: loads.iter().map(load).collect(),
            purpose: Purpose::Continuation.into(),
            ..Self::default()
        });
        let mut first = Self {
            loads: first.iter().map(load).collect(),
            ..Self::without_loads(report)
        };
        let demand = first.split_demand();
        let frames = std::iter::once(first).chain(rest).chain(demand);
        frames.chain(Self::from_statements(report)).collect()
    }

    /// Returns the frames that tell of single endpoints: which are cold, leave or are limited.
    pub(crate) fn from_statements(report: &Report) -> Vec<Self> {
        let frames = Self::from_cold(report).into_iter();
        frames
            .chain(Self::from_leavers(report))
            .chain(Self::from_limits(report))
            .chain(Self::from_brittle(report))
            .collect()
    }

    /// Splits what brittle endpoints state into frames; none is left out either.
    fn from_brittle(report: &Report) -> impl Iterator<Item = Self> {
        report.brittle.chunks(MAX_LIMITS).map(|brittle| Self {
            instance: report.from,
            leaving: report.leaving,
            purpose: Purpose::Continuation.into(),
            brittle: brittle.iter().copied().map(Into::into).collect(),
            ..Self::default()
        })
    }

    /// Splits the limits of endpoints into frames. None is left out, as one gateway that does not know of a
    /// limit could exceed it alone.
    fn from_limits(report: &Report) -> impl Iterator<Item = Self> {
        report.limits.chunks(MAX_LIMITS).map(|limits| Self {
            instance: report.from,
            leaving: report.leaving,
            purpose: Purpose::Continuation.into(),
            limits: limits.iter().copied().map(Into::into).collect(),
            ..Self::default()
        })
    }

    /// Moves the waiting and refused requests to a frame of their own if both together are too long for
    /// a datagram.
    fn split_demand(&mut self) -> Option<Self> {
        (self.encoded_len() > MAX_DATAGRAM_BYTES).then(|| Self {
            instance: self.instance,
            leaving: self.leaving,
            purpose: Purpose::Continuation.into(),
            refused: std::mem::take(&mut self.refused),
            waiting: std::mem::take(&mut self.waiting),
            ..Self::default()
        })
    }

    /// Returns the frame of the cold endpoints in a report; none if there are none. If there are too
    /// many, those that are cold for the longest time are reported.
    fn from_cold(report: &Report) -> Option<Self> {
        let mut cold = report.cold.clone();
        cold.retain(|cold| cold.revision.era == report.era);
        cold.sort_unstable_by_key(|cold| (std::cmp::Reverse(cold.remaining), cold.endpoint));
        cold.truncate(MAX_COLD);
        (!cold.is_empty()).then(|| Self {
            instance: report.from,
            leaving: report.leaving,
            purpose: Purpose::Continuation.into(),
            cold: cold.into_iter().map(ColdEndpoint::from).collect(),
            era: stated(report.era),
            ..Self::default()
        })
    }

    /// Returns the frame of the incarnations in a report that have stated that they leave; none if there
    /// are none.
    fn from_leavers(report: &Report) -> Option<Self> {
        let leavers = report.leavers.iter().copied().take(MAX_LEAVERS);
        (!report.leavers.is_empty()).then(|| Self {
            instance: report.from,
            leaving: report.leaving,
            purpose: Purpose::Continuation.into(),
            leavers: leavers.map(LeavingEndpoint::from).collect(),
            ..Self::default()
        })
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

    /// Returns the frame that tells the work of accounts and the requests by kind.
    pub(crate) fn from_demand(from: InstanceId, leaving: bool, demand: &Demand) -> Self {
        Self {
            instance: from,
            leaving,
            purpose: Purpose::Continuation.into(),
            accounts: demand.accounts.iter().map(Into::into).collect(),
            streams: demand
                .streams
                .iter()
                .take(MAX_KINDS)
                .map(Into::into)
                .collect(),
            ..Self::default()
        }
    }

    /// Splits changes of the store into frames. A change that is too large for a datagram is left
    /// out; the gateways find it in their next complete read.
    pub(crate) fn from_news(news: News) -> Vec<Self> {
        let relist_ms = news.relist_time.as_millis() as u32;
        let era = news.items.first().map_or(0, |item| item.revision.era);
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
                    era: stated(era),
                    ..Self::default()
                });
            }
            room = room.saturating_sub(size);
            let last = frames.len() - 1;
            frames[last].news.push(change);
        }
        frames
    }

    /// Returns whether the frame tells more than the one before. Knowledge and cold times that have only
    /// aged tell nothing, as the recipients know how long ago they were reported.
    pub(crate) fn tells_more_than(&self, last: &Self) -> bool {
        let renewed = match (self.knowledge, last.knowledge) {
            (Some(new), Some(old)) => new.first_hand != old.first_hand || new.age_ms < old.age_ms,
            (new, old) => new.is_some() != old.is_some(),
        };
        let (knowledge, cold) = (last.knowledge, last.cold.clone());
        let told = |cold: &ColdEndpoint| last.cold.iter().any(|last| last.covers(cold));
        let same = |new: &[LimitedEndpoint], last: &[LimitedEndpoint]| {
            let mut pairs = new.iter().zip(last);
            new.len() == last.len() && pairs.all(|(new, last)| new.is_told_by(last))
        };
        renewed
            || !self.cold.iter().all(told)
            || !same(&self.limits, &last.limits)
            || !same(&self.brittle, &last.brittle)
            || *last
                != Self {
                    knowledge,
                    cold,
                    limits: last.limits.clone(),
                    brittle: last.brittle.clone(),
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
        let (now, demand) = (Instant::now(), &report.demand);
        Self {
            accounts: Vec::new(),
            streams: Vec::new(),
            refused: demand
                .refused
                .iter()
                .map(|refused| RefusedPart::new(refused, now))
                .collect(),
            waiting: demand
                .waiting
                .iter()
                .take(MAX_KINDS)
                .map(Into::into)
                .collect(),
            purpose: Purpose::Digest.into(),
            news: Vec::new(),
            relist_ms: 0,
            store_lost: report.lost.store,
            isolated: report.lost.endpoints,
            knowledge: report.knowledge.map(Knowledge::from),
            evidence: Vec::new(),
            evacuations: report
                .evacuations
                .iter()
                .filter(|order| order.revision.era == report.era)
                .map(Evacuation::from)
                .collect(),
            evacuations_at: report.evacuations_at.number_in(report.era).unwrap_or(0),
            era: stated(report.era),
            cold: Vec::new(),
            leavers: Vec::new(),
            limits: Vec::new(),
            brittle: Vec::new(),
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
                .filter(|(_, revision)| revision.era == report.era)
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

/// Decodes parts whose revisions belong to an era.
fn in_era<P, T: From<Dated<P>>>(parts: Vec<P>, era: Era) -> Vec<T> {
    let parts = parts.into_iter();
    parts.map(|part| Dated(part, era).into()).collect()
}

/// Returns an era in wire format.
fn stated(era: Era) -> Option<Era> {
    (era > 0).then_some(era)
}

impl Frame {
    /// Returns the report in the frame, which was received by a gateway that knows an era of the store. A
    /// sender that states no era may not know of eras, but reads the same store.
    pub(crate) fn into_report(self, known_era: Era) -> Report {
        let frame = self;
        let era = frame.era.unwrap_or(known_era);
        let now = Instant::now();
        let known = frame.loads.iter().filter(|load| load.gap_us > 0);
        let pace = |load: &EndpointLoad| {
            let gap = Duration::from_micros(load.gap_us.into());
            (load.endpoint, gap)
        };
        Report {
            era,
            paces: known.map(pace).collect(),
            from: frame.instance,
            lost: Lost {
                store: frame.store_lost,
                endpoints: frame.isolated,
            },
            leaving: frame.leaving,
            version: frame.version,
            knowledge: frame.knowledge.map(knowledge::Report::from),
            listing: frame.listing,
            continuation: frame.purpose() == Purpose::Continuation,
            evacuations: in_era(frame.evacuations, era),
            evacuations_at: Revision::new(era, frame.evacuations_at),
            ejections: frame.ejections,
            cold: in_era(frame.cold, era),
            departures: in_era(frame.departures, era),
            leavers: frame.leavers.into_iter().map(Into::into).collect(),
            limits: frame.limits.into_iter().map(Into::into).collect(),
            brittle: frame.brittle.into_iter().map(Into::into).collect(),
            loads: frame.loads.into_iter().map(Into::into).collect(),
            news: in_era(frame.news, era),
            relist_time: Duration::from_millis(frame.relist_ms.into()),
            counts: frame.counts.into_iter().map(Into::into).collect(),
            evidence: frame
                .evidence
                .iter()
                .map(|record| record.record(now))
                .collect(),
            demand: Demand {
                waiting: frame.waiting.into_iter().map(Into::into).collect(),
                refused: frame
                    .refused
                    .iter()
                    .filter_map(|refused| refused.refused(now))
                    .collect(),
                accounts: frame.accounts.into_iter().map(Into::into).collect(),
                streams: frame.streams.into_iter().map(Into::into).collect(),
            },
        }
    }
}
