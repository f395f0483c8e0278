//! A part of prompts that crashes engines, in requests that come several at a time.

use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use crate::Run;
use crate::endpoint::{self, Endpoint, HOST, KEY, MODEL};
use crate::gateway::{Gateway, ZONES};
use crate::http;
use crate::store::Store;

/// Part of a prompt that crashes engines.
const DEADLY: &str = "dead01:40";
/// Parts that all requests share.
const SHARED: &str = "5e1f:47,acc0:32";
/// Time until the first token: 2,200 prompt tokens at 14 in a ms.
const PREFILL: Duration = Duration::from_millis(157);
/// Time for which a crashed engine is down.
const DOWN: Duration = Duration::from_millis(2_500);
/// Silence after which an entry is removed: three heartbeats.
const EXPIRY: Duration = Duration::from_millis(3_600);
/// `contact_ms`.
const CONTACT: Duration = Duration::from_millis(3_000);
/// Number of requests with the part that are sent together.
const TOGETHER: usize = 5;
/// Time between two such groups.
const PERIOD: Duration = Duration::from_millis(5_000);
/// Number of groups.
const GROUPS: usize = 8;
/// Crash after whose notice the part must be known.
const FREE_CRASHES: usize = 5;
/// Requests with the part that may reach engines after that.
const ALLOWED: usize = 3;

#[derive(Default)]
struct Seen {
    reached: Mutex<Vec<Instant>>,
    crashes: Mutex<Vec<Instant>>,
    engines: AtomicUsize,
}

pub fn play(run: &Run) -> i32 {
    let record = &run.record;
    let store = Store::start();
    store.put("op/config", &endpoint::config(3));
    let seen: Arc<Seen> = Arc::default();
    for _ in 0..12 {
        start_engine(run, &store, &seen);
    }
    let gateways: Vec<Gateway> =
        (0..3).map(|number| Gateway::start(&run.folder, number, store.address, record)).collect();
    thread::sleep(Duration::from_secs(4));

    let until = Instant::now() + PERIOD * GROUPS as u32;
    let sound: Vec<_> = (0..6)
        .map(|client| {
            let (run, address) = (run.clone(), gateways[client % gateways.len()].requests);
            thread::spawn(move || {
                let (mut number, mut cut) = (0, 0);
                while Instant::now() < until {
                    number += 1;
                    let attempt = format!("sound-{client}-{number}");
                    let parts = format!("{SHARED},{client:x}{number:03x}0a:2121");
                    let (status, complete) = draft(&run, address, &attempt, &parts);
                    cut += usize::from(status == 200 && !complete);
                    thread::sleep(Duration::from_millis(400));
                }
                (number, cut)
            })
        })
        .collect();
    for group in 0..GROUPS {
        let together: Vec<_> = (0..TOGETHER)
            .map(|number| {
                let (run, address) = (run.clone(), gateways[number % gateways.len()].requests);
                thread::spawn(move || {
                    let attempt = format!("deadly-{group}-{number}");
                    let parts = format!("{SHARED},{DEADLY},{group:x}{number:x}0b:2081");
                    draft(&run, address, &attempt, &parts);
                })
            })
            .collect();
        thread::sleep(PERIOD);
        drop(together);
    }
    let sound: Vec<(usize, usize)> = sound.into_iter().filter_map(|one| one.join().ok()).collect();
    let (sent, cut) = sound.iter().fold((0, 0), |sum, one| (sum.0 + one.0, sum.1 + one.1));

    let mut crashes = seen.crashes.lock().unwrap().clone();
    crashes.sort();
    let reached = seen.reached.lock().unwrap().clone();
    let fifth = crashes.get(FREE_CRASHES - 1).copied();
    let late = fifth.map_or(0, |fifth| reached.iter().filter(|at| **at > fifth + CONTACT).count());
    record.say(&format!(
        "requests with the part: {} sent, {} reached engines, {} crashes; later than contact_ms after the fifth \
         crash: {late} ({ALLOWED} are allowed); sound streams: {sent} sent, {cut} cut off",
        GROUPS * TOGETHER,
        reached.len(),
        crashes.len()
    ));
    i32::from(late > ALLOWED)
}

/// Starts an engine, which starts again under a new name some time after it has crashed.
fn start_engine(run: &Run, store: &Store, seen: &Arc<Seen>) {
    let number = seen.engines.fetch_add(1, Ordering::SeqCst);
    let (again, again_store, again_seen) = (run.clone(), store.clone(), Arc::clone(seen));
    let handler: Arc<endpoint::Handler> = Arc::new(move |engine, request, socket| {
        let attempt = request.header("x-daisyyard-attempt-id").to_owned();
        let headers = [
            ("x-daisyyard-attempt-id", attempt.as_str()),
            ("x-daisyyard-instance-id", engine.name.as_str()),
            ("x-daisyyard-server-signature", "3e1b.07.5a2.600.0.c9f2a4d1"),
            ("content-type", "text/event-stream"),
        ];
        if request.path.starts_with("/-/") {
            return http::respond(socket, 404, &headers[1..2], b"{}");
        }
        if request.header("x-daisyyard-expected-instance") != engine.name {
            return http::respond(socket, 421, &headers[..2], b"");
        }
        if !request.header("kv-from").is_empty() {
            let declined = [headers[0], headers[1], ("x-daisyyard-not-executed", "1")];
            return http::respond(socket, 503, &declined, b"");
        }
        let deadly = request.header("x-daisyyard-prompt-prefix").contains(DEADLY);
        again.record.line(&format!("{} runs {attempt}", engine.name));
        if deadly {
            again_seen.reached.lock().unwrap().push(Instant::now());
        }
        thread::sleep(PREFILL);
        if !engine.is_alive() {
            return Ok(());
        }
        http::begin_chunks(socket, &headers)?;
        if deadly && again.trouble {
            again_seen.crashes.lock().unwrap().push(Instant::now());
            again.record.line(&format!("{} crashes", engine.name));
            crash(&again, &again_store, &again_seen, engine);
            return Ok(());
        }
        for event in 1..=40 {
            thread::sleep(Duration::from_millis(30));
            if !engine.is_alive() {
                return Ok(());
            }
            let text = format!("id: {event}\ndata: tokens {event}\n\n");
            http::write_chunk(socket, text.as_bytes())?;
        }
        http::write_chunk(socket, b"")
    });
    let name = format!("i-engine-{number}");
    Endpoint::start(&name, MODEL, ZONES[number % 3], 24, store, handler);
}

fn crash(run: &Run, store: &Store, seen: &Arc<Seen>, engine: &Arc<Endpoint>) {
    engine.end();
    let (run, store, seen, engine) = (run.clone(), store.clone(), Arc::clone(seen), Arc::clone(engine));
    thread::spawn(move || {
        thread::sleep(DOWN);
        start_engine(&run, &store, &seen);
        thread::sleep(EXPIRY - DOWN);
        engine.unlist();
    });
}

/// Sends a request for a stream; returns its status and whether the answer was complete.
fn draft(run: &Run, address: std::net::SocketAddr, attempt: &str, parts: &str) -> (u16, bool) {
    let credential = format!("Bearer {KEY}");
    let headers = [
        ("host", HOST),
        ("x-daisyyard-attempt-id", attempt),
        ("x-daisyyard-model", "m"),
        ("x-daisyyard-token-usage", "2200,160"),
        ("x-daisyyard-prompt-prefix", parts),
        ("x-daisyyard-deadline-ms", "39000"),
        ("authorization", credential.as_str()),
    ];
    let path = format!("/draft/{attempt}");
    let answer = http::call(address, "POST", &path, &headers, attempt.as_bytes(), Duration::from_secs(20));
    let (status, complete) = (answer.status, answer.complete);
    run.record.line(&format!("{attempt} sent to {address}: status {status}, complete {complete}"));
    (status, complete)
}
