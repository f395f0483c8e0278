//! Cost of a routing decision and of an admission request, at the current and at the target size.

use std::hint::black_box;
use std::time::{Duration, Instant};

use criterion::Criterion;
use daisyyard_core::contract::Rank;
use daisyyard_core::endpoint::{Endpoint, Kind, Load};
use daisyyard_core::id;
use daisyyard_core::ledger::{self, Digest, Ledger};
use daisyyard_core::preset::Terms;
use daisyyard_core::route::{Request, Table};
use daisyyard_core::zone::Zone;

/// Number of client accounts at the target size.
const ACCOUNTS: u64 = 46_000;

/// Returns an engine in one of six zones of two regions.
fn engine(number: usize) -> Endpoint {
    let zone = Zone::new(&format!("z{}", number % 6), &format!("r{}", number % 2));
    let address = "127.0.0.1:1".parse().expect("a valid address");
    let name = format!("e{number}");
    let mut endpoint = Endpoint::new(&name, "model", Kind::Engine, zone, address);
    endpoint.slots = 4096;
    endpoint.memory = 1 << 22;
    endpoint
}

/// Returns a request with a prompt of 32 blocks.
fn request(number: u64) -> Request {
    Request {
        id: number,
        service: id::of("model"),
        account: number % ACCOUNTS,
        rank: Rank::Urgent,
        prompt: 2048,
        prefix: (0..32)
            .map(|block| u128::from(number % 512 * 32 + block))
            .collect(),
    }
}

/// Returns an admission request of one of the accounts.
fn admission_request(number: u64, now: Instant) -> ledger::Request {
    ledger::Request {
        id: number,
        node: number % 360,
        account: number % ACCOUNTS,
        rank: Rank::ALL[(number % 2) as usize],
        prompt: 500,
        cached: 0,
        expected: 256,
        deadline: now + Duration::from_mins(10),
    }
}

/// Measures a routing decision.
fn choose(criterion: &mut Criterion) {
    for engines in [11, 930] {
        let now = Instant::now();
        let mut table = Table::for_node(1, Zone::new("z0", "r0"));
        for endpoint in (0..engines).map(engine) {
            let endpoint_id = endpoint.id;
            table.insert(endpoint);
            let digest = Digest {
                endpoint: endpoint_id,
                running: (endpoint_id % 64) as u32,
                queued: 0,
                free_tokens: 1 << 21,
                token_gap: Duration::from_millis(20),
            };
            table.record_digest(digest, now);
        }
        // Fills the prefix index, as on a node that has routed requests for a while.
        for number in 0..4096 {
            let request = request(number);
            table.record_send(id::of(&format!("e{}", number % 11)), &request, now);
        }
        let mut number = 0;
        criterion.bench_function(&format!("choose, {engines} engines"), |bencher| {
            bencher.iter(|| {
                number += 1;
                black_box(table.choose(&request(number), &[], now, number))
            });
        });
    }
}

/// Returns a load report of an engine.
fn load(running: u32, token_gap: Duration, measured_at: Instant) -> Load {
    Load {
        measured_at,
        running,
        waiting: 0,
        used_tokens: u64::from(running) * 500,
        memory: 1 << 22,
        token_gap,
        preemptions: 0,
    }
}

/// Returns a ledger with requests of all accounts in its history, `grants` running generations and,
/// if `full`, a full queue.
fn ledger(grants: u64, full: bool) -> (Ledger, Instant) {
    let start = Instant::now();
    let mut ledger = Ledger::new(&engine(0), Terms::ordinary("model"), start);
    let now = start + Duration::from_secs(3);
    for number in 0..ACCOUNTS {
        ledger.ask(admission_request(number, now), now);
        ledger.release(number, 256, now);
    }
    let mut number = ACCOUNTS;
    for _ in 0..grants * 4 {
        if ledger.digest(now).running == grants as u32 {
            break;
        }
        ledger.ask(admission_request(number, now), now);
        number += 1;
        // A short time between tokens raises the concurrency limit.
        let running = ledger.digest(now).running;
        ledger.report(load(running, Duration::from_millis(1), now), now);
    }
    // A long time between tokens stops the limit from rising.
    let running = ledger.digest(now).running;
    ledger.report(load(running, Duration::from_millis(60), now), now);
    let most = if full { 4096 } else { 0 };
    for _ in 0..most {
        ledger.ask(admission_request(number, now), now);
        number += 1;
    }
    (ledger, now)
}

/// Measures an admission request with its release, and one at a full queue.
fn admit(criterion: &mut Criterion) {
    for grants in [64, 2048] {
        let (mut ledger, now) = ledger(grants, false);
        let mut number = 1 << 32;
        criterion.bench_function(&format!("ask and release, {grants} grants"), |bencher| {
            bencher.iter(|| {
                number += 1;
                black_box(ledger.ask(admission_request(number, now), now));
                ledger.release(number, 256, now);
            });
        });
    }
    let (mut ledger, now) = ledger(2048, true);
    println!("full queue: {:?}", ledger.digest(now));
    let mut number = 1 << 32;
    criterion.bench_function("ask, full queue", |bencher| {
        bencher.iter(|| {
            number += 1;
            black_box(ledger.ask(admission_request(number, now), now))
        });
    });
    criterion.bench_function("tick, full queue", |bencher| {
        bencher.iter(|| black_box(ledger.tick(now)));
    });
}

/// Runs all benchmarks.
fn main() {
    let mut criterion = Criterion::default().configure_from_args();
    choose(&mut criterion);
    admit(&mut criterion);
    criterion.final_summary();
}
