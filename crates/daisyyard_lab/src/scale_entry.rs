//! Cost of an entry node: the choice of an engine, the position of each stream, suspects.

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

/// Engines.
pub(crate) const ENGINES: [u64; 4] = [11, 100, 400, 930];
/// Streams at one node.
const STREAMS: [u64; 4] = [8, 32, 104, 512];
/// Entries of the prefix index.
const PREFIXES: [u64; 4] = [512, 4_096, 16_384, 65_536];
/// Records of suspects.
const SUSPECTS: [u64; 4] = [4, 64, 512, 4_096];
/// Services that share the engines at the target size.
const MODELS: u64 = 5;
/// Availability zones of the target size.
const ZONES: u64 = 6;
/// Prompt blocks of a request.
const BLOCKS: u64 = 8;

/// Returns a zone of the target size; the first half is in the first region.
pub(crate) fn zone(number: u64) -> Zone {
    let number = number % ZONES;
    let region = if number < ZONES / 2 { "one" } else { "two" };
    Zone::new(&format!("zone-{number}"), region)
}

/// Returns an engine of the target size.
pub(crate) fn engine(number: u64) -> Endpoint {
    let address = ([10, 0, (number >> 8) as u8, number as u8], 8_000).into();
    let name = format!("engine-{number}");
    let service = format!("model-{}", number % MODELS);
    Endpoint::new(
        &name,
        &service,
        Kind::Engine,
        zone(number / MODELS),
        address,
    )
}

/// Returns a request whose prompt blocks repeat after 512 requests.
fn request(number: u64) -> Request {
    let block = |block| id::fingerprint(number % 512, &u64::to_le_bytes(block));
    Request {
        id: number,
        service: id::of(&format!("model-{}", number % MODELS)),
        account: number,
        rank: Rank::Urgent,
        prompt: 600,
        prefix: (0..BLOCKS).map(block).collect(),
    }
}

/// Returns a table that knows the load of its engines.
fn table(engines: u64, now: Instant) -> Table {
    let mut table = Table::for_node(1, zone(0));
    for number in 0..engines {
        let endpoint = engine(number);
        let digest = Digest {
            endpoint: endpoint.id,
            running: 40,
            queued: 0,
            free: 30_000,
            gap: Duration::from_millis(25),
        };
        table.insert(endpoint);
        table.record_digest(digest, now);
    }
    table
}

/// Returns an index of prompt prefixes.
fn index(entries: u64) -> Index {
    let mut index = Index::new(entries as usize);
    for number in 0..entries {
        let print = id::fingerprint(0, &number.to_le_bytes());
        index.record_routed(number % ENGINES[3], &[print]);
    }
    index
}

/// Returns a register of suspects.
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

/// Measures resident memory.
pub(crate) fn memory() -> anyhow::Result<Vec<Series>> {
    let now = Instant::now();
    Ok(vec![
        Series::measure("route table", "engines", "B", &ENGINES, |engines| {
            probe::resident_bytes(|| table(engines, now))
        })?,
        Series::measure("prefix index", "entries", "B", &PREFIXES, |entries| {
            probe::resident_bytes(|| index(entries))
        })?,
        Series::measure("stream cursors", "streams", "B", &STREAMS, |streams| {
            probe::resident_bytes(|| (0..streams).map(|_| Cursor::new()).collect::<Vec<_>>())
        })?,
        Series::measure("suspects", "records", "B", &SUSPECTS, |records| {
            probe::resident_bytes(|| register(records, now))
        })?,
    ])
}

/// Measures processor time.
pub(crate) fn time() -> anyhow::Result<Vec<Series>> {
    let now = Instant::now();
    Ok(vec![
        Series::measure("route choose and send", "engines", "ns", &ENGINES, |size| {
            let mut table = table(size, now);
            let requests: Vec<Request> = (0..4_096).map(request).collect();
            let mut number = 0;
            probe::cpu_ns(|| {
                number += 1;
                let request = &requests[number % requests.len()];
                let choice = table.choose(request, &[], now, number as u64);
                if let daisyyard_core::route::Choice::Ask(engine) = black_box(choice) {
                    table.record_send(engine, request, now);
                }
            })
        })?,
        Series::measure("route mark", "engines", "ns", &ENGINES, |size| {
            let mut table = table(size, now);
            let mut number = 0;
            probe::cpu_ns(|| {
                number += 1;
                let id = id::of(&format!("engine-{}", number % size));
                let live = daisyyard_core::endpoint::State::Live;
                table.set_state(id, live);
            })
        })?,
        Series::measure("stream cursor accept", "streams", "ns", &STREAMS, |size| {
            let mut cursors = vec![Cursor::resume(7, 0); size as usize];
            let mut token = 0;
            probe::cpu_ns(|| {
                let cursor = &mut cursors[token % size as usize];
                black_box(cursor.accept(7, (token / size as usize) as u64));
                token += 1;
            })
        })?,
        Series::measure(
            "suspect check and run",
            "records",
            "ns",
            &SUSPECTS,
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
