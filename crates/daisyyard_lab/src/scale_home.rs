//! Cost of a home node: the ledgers of its engines and the choice of homes.

use std::hint::black_box;
use std::time::{Duration, Instant};

use daisyyard_core::contract::Rank;
use daisyyard_core::endpoint::Load;
use daisyyard_core::home;
use daisyyard_core::id::InstanceId;
use daisyyard_core::ledger::{Ask, Ledger};
use daisyyard_core::preset::Terms;

use crate::probe;
use crate::scale::Series;
use crate::scale_entry::{ENGINES, engine};

/// Nodes.
pub(crate) const NODES: [u64; 4] = [8, 32, 128, 360];
/// Client accounts.
const ACCOUNTS: [u64; 4] = [10, 1_000, 10_000, 46_000];
/// Generations that run at one engine.
const RUNNING: [u64; 4] = [8, 40, 160, 640];
/// Requests that wait at one engine.
const WAITING: [u64; 4] = [8, 64, 160, 300];
/// Accounts of the series about generations.
const FEW: u64 = 100;
/// Slots of an engine at which requests wait; with fewer, most would be refused at once.
const TAKEN: u32 = 4_000;
/// Slots that never run out in a measurement.
const SLOTS: u32 = 100_000;

/// Returns a request to run a generation.
fn ask(request: u64, accounts: u64, now: Instant) -> Ask {
    Ask {
        request,
        node: request % NODES[3],
        account: request % accounts,
        rank: Rank::ALL[request as usize % 2],
        prompt: 300,
        cached: 0,
        expected: 256,
        deadline: now + Duration::from_secs(30),
    }
}

/// Returns a load report of an engine.
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

/// Returns a ledger with running generations and the time at which it has settled.
fn ledger(slots: u32, running: u64, accounts: u64) -> (Ledger, Instant) {
    let mut endpoint = engine(0);
    endpoint.slots = slots;
    endpoint.memory = 1 << 40;
    let start = Instant::now();
    let mut ledger = Ledger::new(&endpoint, terms(), start);
    let now = start + Duration::from_secs(3);
    ledger.report(load(0, now), now);
    for request in 0..running {
        ledger.restore(&ask(request, accounts, now), 100, now);
    }
    ledger.report(load(running, now), now);
    (ledger, now)
}

/// Returns terms whose rate limit refuses nobody, so that every ask reaches the queue.
fn terms() -> Terms {
    let mut terms = Terms::ordinary("model-0");
    terms.limit.rate = 1e15;
    terms.limit.burst = 1e15;
    terms
}

/// Returns a ledger whose slots are all taken, with requests that wait.
fn crowded(waiting: u64) -> (Ledger, Instant) {
    let (mut ledger, now) = ledger(TAKEN, TAKEN.into(), FEW);
    for request in 0..waiting {
        let request = request + u64::from(TAKEN);
        ledger.ask(ask(request, FEW, now), now);
    }
    (ledger, now)
}

/// Measures resident memory.
pub(crate) fn memory() -> anyhow::Result<Vec<Series>> {
    Ok(vec![
        Series::measure("ledger", "running generations", "B", &RUNNING, |size| {
            probe::resident_bytes(|| ledger(SLOTS, size, FEW))
        })?,
        Series::measure("ledger", "accounts that ask", "B", &ACCOUNTS, |size| {
            probe::resident_bytes(|| {
                let (mut ledger, now) = ledger(SLOTS, 0, size);
                for request in 0..size {
                    ledger.ask(ask(request, size, now), now);
                    ledger.release(request, 200, now);
                }
                ledger
            })
        })?,
    ])
}

/// Measures processor time.
pub(crate) fn time() -> anyhow::Result<Vec<Series>> {
    let mut series = running()?;
    series.push(Series::measure(
        "ledger ask and release",
        "accounts",
        "ns",
        &ACCOUNTS,
        |size| {
            let (mut ledger, now) = ledger(SLOTS, 40, FEW);
            let mut request = 1_000_000;
            probe::cpu_ns(|| {
                request += 1;
                black_box(ledger.ask(ask(request, size, now), now));
                ledger.release(request, 200, now);
            })
        },
    )?);
    series.push(Series::measure(
        "ledger tick",
        "waiting requests",
        "ns",
        &WAITING,
        |size| {
            let (mut ledger, now) = crowded(size);
            let queued = u64::from(ledger.digest(now).queued);
            anyhow::ensure!(queued == size, "{queued} of {size} requests wait");
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
        &NODES,
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
        &ENGINES,
        |size| {
            let nodes = nodes(NODES[3]);
            probe::cpu_ns(|| {
                for engine in 0..size {
                    black_box(home::of(engine, nodes.iter().copied()));
                }
            })
        },
    )?);
    Ok(series)
}

/// Measures processor time against the generations that run at one engine.
fn running() -> anyhow::Result<Vec<Series>> {
    let axis = "running generations";
    Ok(vec![
        Series::measure("ledger ask and release", axis, "ns", &RUNNING, |size| {
            let (mut ledger, now) = ledger(SLOTS, size, FEW);
            let mut request = 1_000_000;
            probe::cpu_ns(|| {
                request += 1;
                black_box(ledger.ask(ask(request, FEW, now), now));
                ledger.release(request, 200, now);
            })
        })?,
        Series::measure("ledger progress", axis, "ns", &RUNNING, |size| {
            let (mut ledger, now) = ledger(SLOTS, size, FEW);
            let mut request = 0;
            probe::cpu_ns(|| {
                request += 1;
                black_box(ledger.progress(request % size, 100 + request / size, now));
            })
        })?,
        Series::measure("ledger load report", axis, "ns", &RUNNING, |size| {
            let (mut ledger, now) = ledger(SLOTS, size, FEW);
            probe::cpu_ns(|| ledger.report(load(size, now), now))
        })?,
        Series::measure("ledger tick", axis, "ns", &RUNNING, |size| {
            let (mut ledger, now) = ledger(SLOTS, size, FEW);
            probe::cpu_ns(|| {
                black_box(ledger.tick(now));
            })
        })?,
        Series::measure("ledger digest", axis, "ns", &RUNNING, |size| {
            let (ledger, now) = ledger(SLOTS, size, FEW);
            probe::cpu_ns(|| {
                black_box(ledger.digest(now));
            })
        })?,
    ])
}
