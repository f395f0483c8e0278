//! Cost of a writer of the call registry and of a holder of order leases.

use std::hint::black_box;
use std::time::{Duration, Instant, SystemTime};

use daisyyard_core::call::{Limits, Outcome, Partition, Step};
use daisyyard_core::call_record::{Answer, Attempt, Head, Record, State};
use daisyyard_core::id;
use daisyyard_core::order::Holder;

use crate::probe;
use crate::scale::Series;
use crate::scale_entry::{ENGINES, engine};

/// Records in the head of one partition; 64 KiB hold about 700 with short answers.
const RECORDS: [u64; 4] = [10, 100, 300, 600];

/// Returns an attempt to claim a call.
fn attempt(number: u64) -> Attempt {
    let hash = id::fingerprint(3, &number.to_le_bytes());
    Attempt {
        key: hash,
        fingerprint: hash ^ 1,
        id: hash ^ 2,
    }
}

/// Returns a partition whose head holds records of finished calls.
fn partition(records: u64, now: SystemTime) -> Partition {
    let record = |number| Record {
        attempt: attempt(number),
        state: State::Done(Answer::new(200, b"{\"ok\":true}")),
        claimed_at: now,
    };
    let mut partition = Partition::new(Limits::NODE);
    let head = Head {
        records: (0..records).map(record).collect(),
        ..Head::default()
    };
    partition.head_read(1, head);
    partition
}

/// Measures resident memory.
pub(crate) fn memory() -> anyhow::Result<Vec<Series>> {
    let now = SystemTime::now();
    let series = Series::measure("call partition", "records", "B", &RECORDS, |size| {
        probe::resident_bytes(|| partition(size, now))
    })?;
    Ok(vec![series])
}

/// Measures processor time.
pub(crate) fn time() -> anyhow::Result<Vec<Series>> {
    let now = SystemTime::now();
    let calls = Series::measure("call claim and write", "records", "ns", &RECORDS, |size| {
        let base = partition(size, now);
        let copy = probe::cpu_ns(|| {
            black_box(base.clone());
        })?;
        let mut number = size;
        let whole = probe::cpu_ns(|| {
            number += 1;
            let mut partition = base.clone();
            partition.claim(attempt(number), now);
            if let Step::Write(revision, head) = partition.step(now) {
                black_box(head);
                partition.write_finished(Outcome::Done(revision + 1));
            }
            black_box(partition.take_answers());
        })?;
        Ok(whole - copy)
    })?;
    let start = Instant::now();
    let orders = Series::measure("order permits", "engines", "ns", &ENGINES, |size| {
        let engines: Vec<_> = (0..size).map(engine).collect();
        let mut holder = Holder::new();
        holder.acquired(1, start, start);
        let now = start + Duration::from_secs(3);
        probe::cpu_ns(|| {
            for engine in &engines {
                black_box(holder.permit(engine, now));
            }
        })
    })?;
    Ok(vec![calls, orders])
}
