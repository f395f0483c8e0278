//! JSON snapshot of a node's counts of met and missed targets: the response to `GET /burn`.

use std::time::{Duration, SystemTime, UNIX_EPOCH};

use anyhow::{Context, ensure};
use daisyyard_core::burn::{Class, Count, Subject};
use daisyyard_core::contract::Rank;
use daisyyard_core::id::ServiceId;
use daisyyard_core::preset::Terms;
use hdrhistogram::Histogram;
use serde::{Deserialize, Serialize};

use crate::meter;

/// Version of the snapshot format that this program writes and reads.
pub(crate) const FORMAT: u32 = 1;

/// Counts of one node since its start.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub(crate) struct Snapshot {
    /// Version of the format.
    pub(crate) format: u32,
    /// Name of the node.
    pub(crate) node: String,
    /// When the node started, in milliseconds since 1970; distinguishes the starts of a node.
    pub(crate) started_ms: u64,
    /// When the counts were taken, in milliseconds since 1970.
    pub(crate) taken_ms: u64,
    /// Services of the preset in force, with their targets.
    pub(crate) services: Vec<Service>,
    /// Number of requests by subject and slot.
    pub(crate) counts: Vec<Counts>,
    /// Distributions of times by service and rank.
    pub(crate) times: Vec<Times>,
}

/// Name and targets of one service.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub(crate) struct Service {
    /// Identifier of the service.
    pub(crate) id: ServiceId,
    /// Name of the service.
    pub(crate) name: String,
    /// Target of the time to the first token by rank, in the order of [`Rank::ALL`].
    pub(crate) first_token_us: [u64; 2],
    /// Target of the mean time between tokens by rank, in the order of [`Rank::ALL`].
    pub(crate) token_gap_us: [u64; 2],
}

/// Number of requests of one subject in one slot.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub(crate) struct Counts {
    /// Service of the requests.
    service: ServiceId,
    /// Name of the rank.
    rank: String,
    /// Name of the account's size class.
    class: String,
    /// Index of the five-minute slot, counted from 1970.
    slot: u64,
    /// Number of requests of each verdict: met, refused, late, slow, interrupted.
    verdicts: [u64; 5],
}

/// Distributions of one service and rank since the node started, as pairs of value and count.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub(crate) struct Times {
    /// Service of the requests.
    service: ServiceId,
    /// Name of the rank.
    rank: String,
    /// Times to the first token.
    first_token_us: Vec<(u64, u64)>,
    /// Times between tokens.
    token_gap_us: Vec<(u64, u64)>,
}

/// Converts a time to milliseconds since 1970.
pub(crate) fn unix_millis(time: SystemTime) -> u64 {
    time.duration_since(UNIX_EPOCH)
        .unwrap_or_default()
        .as_millis() as u64
}

impl Snapshot {
    /// Returns the snapshot if this program can read its format version.
    pub(crate) fn check_format(self) -> anyhow::Result<Self> {
        let format = self.format;
        ensure!(
            format == FORMAT,
            "the snapshot has format {format}, but this program reads format {FORMAT}; use the version \
             of the program that wrote it"
        );
        Ok(self)
    }

    /// Returns when the counts were taken.
    pub(crate) fn taken(&self) -> SystemTime {
        UNIX_EPOCH + Duration::from_millis(self.taken_ms)
    }
}

impl From<&Terms> for Service {
    fn from(terms: &Terms) -> Self {
        let contracts = Rank::ALL.map(|rank| terms.contract(rank));
        Self {
            id: terms.service,
            name: terms.name.clone(),
            first_token_us: contracts.map(|one| one.first_token.as_micros() as u64),
            token_gap_us: contracts.map(|one| one.token_gap.as_micros() as u64),
        }
    }
}

impl From<(&Subject, u64, &Count)> for Counts {
    fn from((subject, slot, count): (&Subject, u64, &Count)) -> Self {
        Self {
            service: subject.service,
            rank: subject.rank.name().to_owned(),
            class: subject.class.name().to_owned(),
            slot,
            verdicts: count.verdicts,
        }
    }
}

impl TryFrom<&Counts> for (Subject, u64, Count) {
    type Error = anyhow::Error;

    fn try_from(counts: &Counts) -> anyhow::Result<Self> {
        let class = Class::ALL
            .into_iter()
            .find(|one| one.name() == counts.class);
        let subject = Subject {
            service: counts.service,
            rank: rank(&counts.rank)?,
            class: class.with_context(|| format!("unknown size class {:?}", counts.class))?,
        };
        let verdicts = counts.verdicts;
        Ok((subject, counts.slot, Count { verdicts }))
    }
}

impl From<(&(ServiceId, Rank), &meter::Times)> for Times {
    fn from(((service, rank), times): (&(ServiceId, Rank), &meter::Times)) -> Self {
        Self {
            service: *service,
            rank: rank.name().to_owned(),
            first_token_us: buckets(&times.first_token_us),
            token_gap_us: buckets(&times.token_gap_us),
        }
    }
}

impl Times {
    /// Returns the service and rank.
    pub(crate) fn key(&self) -> anyhow::Result<(ServiceId, Rank)> {
        Ok((self.service, rank(&self.rank)?))
    }

    /// Adds the times to histograms; each time falls into the same bucket as at the node.
    pub(crate) fn add(&self, times: &mut meter::Times) -> anyhow::Result<()> {
        for (value, count) in &self.first_token_us {
            times.first_token_us.record_n(*value, *count)?;
        }
        for (value, count) in &self.token_gap_us {
            times.token_gap_us.record_n(*value, *count)?;
        }
        Ok(())
    }
}

/// Parses the name of a rank.
fn rank(name: &str) -> anyhow::Result<Rank> {
    Rank::parse(name).with_context(|| format!("unknown rank {name:?}"))
}

/// Returns the values of the non-empty buckets, with their counts.
fn buckets(histogram: &Histogram<u64>) -> Vec<(u64, u64)> {
    let recorded = histogram.iter_recorded();
    recorded
        .map(|bucket| {
            (
                bucket.value_iterated_to(),
                bucket.count_since_last_iteration(),
            )
        })
        .collect()
}
