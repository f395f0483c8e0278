//! Processor time and memory of a home node: the ledgers of its engines and the assignment of
//! homes.

use std::hint::black_box;
use std::time::{Duration, Instant};

use daisyyard_core::contract::Rank;
use daisyyard_core::endpoint::Load;
use daisyyard_core::home;
use daisyyard_core::id::InstanceId;
use daisyyard_core::ledger::{Ledger, Request};
use daisyyard_core::preset::Terms;

use crate::probe;
use crate::scale::Series;
use crate::scale_entry::{ENGINE_COUNTS, engine};

/// Nodes among which homes are chosen.
pub(crate) const NODE_COUNTS: [u64; 4] = [8, 32, 128, 360];
/// Client accounts that send requests.
const ACCOUNT_COUNTS: [u64; 4] = [10, 1_000, 10_000, 46_000];
/// Generations running at one engine.
const RUNNING_COUNTS: [u64; 4] = [8, 40, 160, 640];
/// Requests waiting for one engine.
const WAITING_COUNTS: [u64; 4] = [8, 64, 160, 300];
/// Client accounts in the series that vary another quantity.
const FEW_ACCOUNTS: u64 = 100;
/// Slots of an engine with a queue; with fewer slots, most requests would be refused at once.
const TAKEN_SLOTS: u32 = 4_000;
/// Slots of an engine that never fills up during a measurement.
const AMPLE_SLOTS: u32 = 100_000;

/// Returns a request for admission; the ranks alternate.
fn admission_request(request: u64, accounts: u64, now: Instant) -> Request {
    Request {
        id: request,
        node: request % NODE_COUNTS[3],
        account: request % accounts,
        rank: Rank::ALL[request as usize % 2],
        prompt: 300,
        cached: 0,
        expected: 256,
        deadline: now + Duration::from_secs(30),
    }
}

/// Returns a load report with 400 used tokens for each running generation.
fn load(running: u64, now: Instant) -> Load {
    Load {
        measured_at: now,
        running: running as u32,
        waiting: 0,
        used_tokens: running * 400,
        memory: 1 << 40,
        token_gap: Duration::from_millis(20),
        preemptions: 0,
    }
}

/// Returns a ledger with running generations and the time of its last load report, three seconds
/// after its start.
fn ledger(slots: u32, running: u64, accounts: u64) -> (Ledger, Instant) {
    let mut endpoint = engine(0);
    endpoint.slots = slots;
    endpoint.memory = 1 << 40;
    let start = Instant::now();
    let mut ledger = Ledger::new(&endpoint, terms(), start);
    let now = start + Duration::from_secs(3);
    ledger.report(load(0, now), now);
    for request in 0..running {
        ledger.restore(&admission_request(request, accounts, now), 100, now);
    }
    ledger.report(load(running, now), now);
    (ledger, now)
}

/// Returns terms whose rate limit refuses no request, so that every request reaches the queue.
fn terms() -> Terms {
    let mut terms = Terms::ordinary("model-0");
    terms.limit.rate = 1e15;
    terms.limit.burst = 1e15;
    terms
}

/// Returns a ledger whose slots are all taken, with a queue of waiting requests.
fn full_ledger(waiting: u64) -> (Ledger, Instant) {
    let (mut ledger, now) = ledger(TAKEN_SLOTS, TAKEN_SLOTS.into(), FEW_ACCOUNTS);
    for request in 0..waiting {
        let request = request + u64::from(TAKEN_SLOTS);
        ledger.ask(admission_request(request, FEW_ACCOUNTS, now), now);
    }
    (ledger, now)
}

/// Measures the resident memory of a ledger.
pub(crate) fn measure_memory() -> anyhow::Result<Vec<Series>> {
    Ok(vec![
        Series::measure(
            "ledger",
            "running generations",
            "B",
            &RUNNING_COUNTS,
            |size| probe::resident_bytes(|| ledger(AMPLE_SLOTS, size, FEW_ACCOUNTS)),
        )?,
        Series::measure(
            "ledger",
            "accounts that ask",
            "B",
            &ACCOUNT_COUNTS,
            |size| {
                probe::resident_bytes(|| {
                    let (mut ledger, now) = ledger(AMPLE_SLOTS, 0, size);
                    for request in 0..size {
                        ledger.ask(admission_request(request, size, now), now);
                        ledger.release(request, 200, now);
                    }
                    ledger
                })
            },
        )?,
    ])
}

/// Measures the processor time of the ledger operations and of the assignment of homes.
pub(crate) fn measure_time() -> anyhow::Result<Vec<Series>> {
    let mut series = running_series()?;
    series.push(Series::measure(
        "ledger ask and release",
        "accounts",
        "ns",
        &ACCOUNT_COUNTS,
        |size| {
            let (mut ledger, now) = ledger(AMPLE_SLOTS, 40, FEW_ACCOUNTS);
            let mut request = 1_000_000;
            probe::cpu_ns(|| {
                request += 1;
                black_box(ledger.ask(admission_request(request, size, now), now));
                ledger.release(request, 200, now);
            })
        },
    )?);
    series.push(Series::measure(
        "ledger tick",
        "waiting requests",
        "ns",
        &WAITING_COUNTS,
        |size| {
            let (mut ledger, now) = full_ledger(size);
            let queued = u64::from(ledger.digest(now).queued);
            anyhow::ensure!(queued == size, "{queued} of {size} requests are queued");
            probe::cpu_ns(|| {
                black_box(ledger.tick(now));
            })
        },
    )?);
    let nodes = |size| -> Vec<InstanceId> { (0..size).map(|node| home::weight(0, node)).collect() };
    series.push(Series::measure(
        "home of one engine",
        "nodes",
        "ns",
        &NODE_COUNTS,
        |size| {
            let (nodes, mut engine) = (nodes(size), 0);
            probe::cpu_ns(|| {
                engine += 1;
                black_box(home::of(engine, nodes.iter().copied()));
            })
        },
    )?);
    series.push(Series::measure(
        "homes of all engines at 360 nodes",
        "engines",
        "ns",
        &ENGINE_COUNTS,
        |size| {
            let nodes = nodes(NODE_COUNTS[3]);
            probe::cpu_ns(|| {
                for engine in 0..size {
                    black_box(home::of(engine, nodes.iter().copied()));
                }
            })
        },
    )?);
    Ok(series)
}

/// Measures the processor time of the ledger operations against the running generations.
fn running_series() -> anyhow::Result<Vec<Series>> {
    let axis = "running generations";
    Ok(vec![
        Series::measure(
            "ledger ask and release",
            axis,
            "ns",
            &RUNNING_COUNTS,
            |size| {
                let (mut ledger, now) = ledger(AMPLE_SLOTS, size, FEW_ACCOUNTS);
                let mut request = 1_000_000;
                probe::cpu_ns(|| {
                    request += 1;
                    black_box(ledger.ask(admission_request(request, FEW_ACCOUNTS, now), now));
                    ledger.release(request, 200, now);
                })
            },
        )?,
        Series::measure("ledger progress", axis, "ns", &RUNNING_COUNTS, |size| {
            let (mut ledger, now) = ledger(AMPLE_SLOTS, size, FEW_ACCOUNTS);
            let mut request = 0;
            probe::cpu_ns(|| {
                request += 1;
                black_box(ledger.progress(request % size, 100 + request / size, now));
            })
        })?,
        Series::measure("ledger load report", axis, "ns", &RUNNING_COUNTS, |size| {
            let (mut ledger, now) = ledger(AMPLE_SLOTS, size, FEW_ACCOUNTS);
            probe::cpu_ns(|| ledger.report(load(size, now), now))
        })?,
        Series::measure("ledger tick", axis, "ns", &RUNNING_COUNTS, |size| {
            let (mut ledger, now) = ledger(AMPLE_SLOTS, size, FEW_ACCOUNTS);
            probe::cpu_ns(|| {
                black_box(ledger.tick(now));
            })
        })?,
        Series::measure("ledger digest", axis, "ns", &RUNNING_COUNTS, |size| {
            let (ledger, now) = ledger(AMPLE_SLOTS, size, FEW_ACCOUNTS);
            probe::cpu_ns(|| {
                black_box(ledger.digest(now));
            })
        })?,
    ])
}
