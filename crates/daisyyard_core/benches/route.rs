//! Cost of one routing decision and of one ask at a ledger, today's size and the target size.

use std::hint::black_box;
use std::time::{Duration, Instant};

use criterion::Criterion;
use daisyyard_core::contract::Rank;
use daisyyard_core::endpoint::{Endpoint, Kind, Load};
use daisyyard_core::id;
use daisyyard_core::ledger::{Ask, Digest, Ledger};
use daisyyard_core::preset::Terms;
use daisyyard_core::route::{Request, Table};
use daisyyard_core::zone::Zone;

/// Client accounts at the target size.
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

/// Returns an ask of one of the accounts.
fn ask(number: u64, now: Instant) -> Ask {
    Ask {
        request: number,
        node: number % 360,
        account: number % ACCOUNTS,
        rank: Rank::ALL[(number % 2) as usize],
        prompt: 500,
        cached: 0,
        expected: 256,
        deadline: now + Duration::from_mins(10),
    }
}

/// Measures one routing decision.
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
                free: 1 << 21,
                gap: Duration::from_millis(20),
            };
            table.digest(digest, now);
        }
        // The node has routed for a while, so that the index of prefixes is full.
        for number in 0..4096 {
            let request = request(number);
            table.send(id::of(&format!("e{}", number % 11)), &request, now);
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

/// Returns a load report.
fn load(running: u32, gap: Duration, taken: Instant) -> Load {
    Load {
        measured_at: taken,
        running,
        waiting: 0,
        used_tokens: u64::from(running) * 500,
        memory: 1 << 22,
        token_gap: gap,
        preemptions: 0,
    }
}

/// Returns a ledger that has seen all accounts, holds `grants` grants and has a full queue if
/// `full`.
fn ledger(grants: u64, full: bool) -> (Ledger, Instant) {
    let start = Instant::now();
    let mut ledger = Ledger::new(&engine(0), Terms::ordinary("model"), start);
    let now = start + Duration::from_secs(3);
    for number in 0..ACCOUNTS {
        ledger.ask(ask(number, now), now);
        ledger.release(number, 256, now);
    }
    let mut number = ACCOUNTS;
    for _ in 0..grants * 4 {
        if ledger.digest(now).running == grants as u32 {
            break;
        }
        ledger.ask(ask(number, now), now);
        number += 1;
        // Reports of a fast engine let the batch grow.
        let running = ledger.digest(now).running;
        ledger.report(load(running, Duration::from_millis(1), now), now);
    }
    // Reports of a slow engine end the growth of the batch.
    let running = ledger.digest(now).running;
    ledger.report(load(running, Duration::from_millis(60), now), now);
    let most = if full { 4096 } else { 0 };
    for _ in 0..most {
        ledger.ask(ask(number, now), now);
        number += 1;
    }
    (ledger, now)
}

/// Measures one ask with its release, and one ask at a full queue.
fn admit(criterion: &mut Criterion) {
    for grants in [64, 2048] {
        let (mut ledger, now) = ledger(grants, false);
        let mut number = 1 << 32;
        criterion.bench_function(&format!("ask and release, {grants} grants"), |bencher| {
            bencher.iter(|| {
                number += 1;
                black_box(ledger.ask(ask(number, now), now));
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
            black_box(ledger.ask(ask(number, now), now))
        });
    });
    criterion.bench_function("tick, full queue", |bencher| {
        bencher.iter(|| black_box(ledger.tick(now)));
    });
}

/// Runs the measurements.
fn main() {
    let mut criterion = Criterion::default().configure_from_args();
    choose(&mut criterion);
    admit(&mut criterion);
    criterion.final_summary();
}
