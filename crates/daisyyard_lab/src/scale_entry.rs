//! Processor time and memory of a node that receives requests: its route table, prefix index,
//! stream cursors and register of suspects.

use std::hint::black_box;
use std::time::{Duration, Instant};

use daisyyard_core::contract::Rank;
use daisyyard_core::endpoint::{Endpoint, Kind};
use daisyyard_core::id;
use daisyyard_core::ledger::Digest;
use daisyyard_core::prefix::Index;
use daisyyard_core::route::{Request, Table};
use daisyyard_core::stream::Cursor;
use daisyyard_core::suspect::{Record, Register};
use daisyyard_core::zone::Zone;

use crate::probe;
use crate::scale::Series;

/// Engines that a node knows.
pub(crate) const ENGINE_COUNTS: [u64; 4] = [11, 100, 400, 930];
/// Open streams at one node.
const STREAM_COUNTS: [u64; 4] = [8, 32, 104, 512];
/// Entries of the prefix index.
const PREFIX_COUNTS: [u64; 4] = [512, 4_096, 16_384, 65_536];
/// Records in the register of suspects.
const SUSPECT_COUNTS: [u64; 4] = [4, 64, 512, 4_096];
/// Services that share the engines at the target size.
const SERVICE_COUNT: u64 = 5;
/// Availability zones at the target size.
const ZONE_COUNT: u64 = 6;
/// Prompt blocks whose prefixes each request lists.
const PROMPT_BLOCKS: u64 = 8;

/// Returns an availability zone; the first half of the zones is in the first of two regions.
pub(crate) fn zone(number: u64) -> Zone {
    let number = number % ZONE_COUNT;
    let region = if number < ZONE_COUNT / 2 {
        "one"
    } else {
        "two"
    };
    Zone::new(&format!("zone-{number}"), region)
}

/// Returns an engine; successive numbers go round the services, then the zones.
pub(crate) fn engine(number: u64) -> Endpoint {
    let address = ([10, 0, (number >> 8) as u8, number as u8], 8_000).into();
    let name = format!("engine-{number}");
    let service = format!("model-{}", number % SERVICE_COUNT);
    Endpoint::new(
        &name,
        &service,
        Kind::Engine,
        zone(number / SERVICE_COUNT),
        address,
    )
}

/// Returns a request; there are 512 different prompts, which repeat in turn.
fn request(number: u64) -> Request {
    let block = |block| id::fingerprint(number % 512, &u64::to_le_bytes(block));
    Request {
        id: number,
        service: id::of(&format!("model-{}", number % SERVICE_COUNT)),
        account: number,
        rank: Rank::Urgent,
        prompt: 600,
        prefix: (0..PROMPT_BLOCKS).map(block).collect(),
    }
}

/// Returns a route table with a recent digest of the load of each engine.
fn table(engines: u64, now: Instant) -> Table {
    let mut table = Table::for_node(1, zone(0));
    for number in 0..engines {
        let endpoint = engine(number);
        let digest = Digest {
            endpoint: endpoint.id,
            running: 40,
            queued: 0,
            free_tokens: 30_000,
            token_gap: Duration::from_millis(25),
        };
        table.insert(endpoint);
        table.record_digest(digest, now);
    }
    table
}

/// Returns a full prefix index, whose entries are spread over the engines.
fn index(entries: u64) -> Index {
    let mut index = Index::new(entries as usize);
    for number in 0..entries {
        let block_hash = id::fingerprint(0, &number.to_le_bytes());
        index.record_routed(number % ENGINE_COUNTS[3], &[block_hash]);
    }
    index
}

/// Returns a register of suspects, each with one crash.
fn register(records: u64, now: Instant) -> Register {
    let mut register = Register::new();
    for number in 0..records {
        let record = Record {
            key: id::fingerprint(1, &number.to_le_bytes()),
            crashes: 1,
            alone: false,
            expires: now + Duration::from_mins(10),
        };
        register.learn(record, now);
    }
    register
}

/// Measures the resident memory of each structure.
pub(crate) fn measure_memory() -> anyhow::Result<Vec<Series>> {
    let now = Instant::now();
    Ok(vec![
        Series::measure("route table", "engines", "B", &ENGINE_COUNTS, |engines| {
            probe::resident_bytes(|| table(engines, now))
        })?,
        Series::measure("prefix index", "entries", "B", &PREFIX_COUNTS, |entries| {
            probe::resident_bytes(|| index(entries))
        })?,
        Series::measure(
            "stream cursors",
            "streams",
            "B",
            &STREAM_COUNTS,
            |streams| {
                probe::resident_bytes(|| (0..streams).map(|_| Cursor::new()).collect::<Vec<_>>())
            },
        )?,
        Series::measure("suspects", "records", "B", &SUSPECT_COUNTS, |records| {
            probe::resident_bytes(|| register(records, now))
        })?,
    ])
}

/// Measures the processor time of the operations on each request or token.
pub(crate) fn measure_time() -> anyhow::Result<Vec<Series>> {
    let now = Instant::now();
    Ok(vec![
        Series::measure(
            "route choose and send",
            "engines",
            "ns",
            &ENGINE_COUNTS,
            |size| {
                let mut table = table(size, now);
                let requests: Vec<Request> = (0..4_096).map(request).collect();
                let mut number = 0;
                probe::cpu_ns(|| {
                    number += 1;
                    let request = &requests[number % requests.len()];
                    let choice = table.choose(request, &[], now, number as u64);
                    if let daisyyard_core::route::Choice::Endpoint(engine) = black_box(choice) {
                        table.record_send(engine, request, now);
                    }
                })
            },
        )?,
        Series::measure("route mark", "engines", "ns", &ENGINE_COUNTS, |size| {
            let mut table = table(size, now);
            let mut number = 0;
            probe::cpu_ns(|| {
                number += 1;
                let id = id::of(&format!("engine-{}", number % size));
                let live = daisyyard_core::endpoint::State::Live;
                table.set_state(id, live);
            })
        })?,
        Series::measure(
            "stream cursor accept",
            "streams",
            "ns",
            &STREAM_COUNTS,
            |size| {
                let mut cursors = vec![Cursor::resume(7, 0); size as usize];
                let mut token = 0;
                probe::cpu_ns(|| {
                    let cursor = &mut cursors[token % size as usize];
                    black_box(cursor.accept(7, (token / size as usize) as u64));
                    token += 1;
                })
            },
        )?,
        Series::measure(
            "suspect check and run",
            "records",
            "ns",
            &SUSPECT_COUNTS,
            |size| {
                let mut register = register(size, now);
                let mut number = 0_u64;
                probe::cpu_ns(|| {
                    number += 1;
                    let key = id::fingerprint(1, &(number % 10_000).to_le_bytes());
                    black_box(register.verdict(key, now));
                    register.start(number % 16, number, key);
                    register.end(number % 16, number);
                })
            },
        )?,
    ])
}
