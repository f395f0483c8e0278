//! Processor time and memory of a call registry partition, and processor time of an order lease
//! holder.

use std::hint::black_box;
use std::time::{Duration, Instant, SystemTime};

use daisyyard_core::call::{Limits, Outcome, Partition, Step};
use daisyyard_core::call_record::{Answer, Attempt, Head, Record, State};
use daisyyard_core::id;
use daisyyard_core::order::Holder;

use crate::probe;
use crate::scale::Series;
use crate::scale_entry::{ENGINE_COUNTS, engine};

/// Records in the head of one partition; a head of 64 KiB holds about 700 with short answers.
const RECORD_COUNTS: [u64; 4] = [10, 100, 300, 600];

/// Returns an attempt whose key, fingerprint and identifier derive from a number.
fn attempt(number: u64) -> Attempt {
    let hash = id::fingerprint(3, &number.to_le_bytes());
    Attempt {
        key: hash,
        fingerprint: hash ^ 1,
        id: hash ^ 2,
    }
}

/// Returns a partition whose head lists finished calls.
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

/// Measures the resident memory of a partition.
pub(crate) fn measure_memory() -> anyhow::Result<Vec<Series>> {
    let now = SystemTime::now();
    let series = Series::measure("call partition", "records", "B", &RECORD_COUNTS, |size| {
        probe::resident_bytes(|| partition(size, now))
    })?;
    Ok(vec![series])
}

/// Measures the processor time of claims and of order permits.
pub(crate) fn measure_time() -> anyhow::Result<Vec<Series>> {
    let now = SystemTime::now();
    let calls = Series::measure(
        "call claim and write",
        "records",
        "ns",
        &RECORD_COUNTS,
        |size| {
            let base = partition(size, now);
            let copy_ns = probe::cpu_ns(|| {
                black_box(base.clone());
            })?;
            let mut number = size;
            let total_ns = probe::cpu_ns(|| {
                number += 1;
                let mut partition = base.clone();
                partition.claim(attempt(number), now);
                if let Step::Write(revision, head) = partition.step(now) {
                    black_box(head);
                    partition.write_finished(Outcome::Done(revision + 1));
                }
                black_box(partition.take_answers());
            })?;
            Ok(total_ns - copy_ns)
        },
    )?;
    let start = Instant::now();
    let orders = Series::measure("order permits", "engines", "ns", &ENGINE_COUNTS, |size| {
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
