//! An engine that leaves is one of those that go on with a request when its channel closes. Its runs
//! continue at their backup engines, and it still works on them.

use std::sync::Arc;
use std::time::{Duration, Instant};

use crate::engine::{Arrival, Engine, Habits};
use crate::fleet::{self, Gateway};
use crate::http::{self, Channel};
use crate::{Setting, Verdict};

const GATEWAYS: usize = 3;
const ENGINES: usize = 6;
const STREAMS: usize = 18;
const EVENTS: u64 = 233;
const GAP: Duration = Duration::from_millis(28);
/// Time for which two engines may work on one request.
const OVERLAP: Duration = Duration::from_millis(400);

pub fn play(setting: &Setting) -> Verdict {
    let record = &setting.record;
    let engines: Vec<_> = (0..ENGINES)
        .map(|number| {
            let habits = Habits {
                service: "asistente".to_owned(),
                zone: ["costa-a", "costa-b", "costa-c"][number % 3].to_owned(),
                slots: 24,
                stream: Some((EVENTS, GAP)),
                queue: Duration::ZERO,
                late_head: false,
                work: Duration::ZERO,
            };
            let id = format!("i-model{number}");
            Engine::start(&id, habits, &setting.store, &setting.seen, record)
        })
        .collect();
    let gateways: Vec<Gateway> = (0..GATEWAYS)
        .map(|number| Gateway::start(number, &setting.store, &setting.folder, record))
        .collect();
    if !gateways.iter().all(Gateway::wait_until_ready) {
        return Verdict::Unable("a gateway did not become ready");
    }
    std::thread::sleep(Duration::from_secs(4));
    let mut whole = 0;
    std::thread::scope(|scope| {
        let clients: Vec<_> = (0..STREAMS)
            .map(|number| {
                std::thread::sleep(Duration::from_millis(60));
                let gateway = &gateways[number % GATEWAYS];
                scope.spawn(move || {
                    let id = format!("{:016x}", 0x5000 + number);
                    let request =
                        fleet::request("POST", "customs-draft", &id, 39_000, b"draft".to_vec());
                    record.line(&format!("client sends {id} to {}", gateway.name));
                    let events = read_stream(gateway, &request);
                    record.line(&format!("client has {events:?} events of {id}"));
                    events == Some(EVENTS)
                })
            })
            .collect();
        std::thread::sleep(Duration::from_millis(1_500));
        if setting.trouble {
            // The engine with most streams leaves, and is one that doesn't drop them.
            let arrivals = setting.seen.arrivals.lock().unwrap().clone();
            let streams = |engine: &&Arc<Engine>| {
                arrivals.iter().filter(|one| one.engine == engine.id).count()
            };
            if let Some(leaving) = engines.iter().max_by_key(streams) {
                leaving.keep_closed();
                leaving.drain();
            }
        }
        let results = clients.into_iter().map(|client| client.join());
        whole = results.filter(|result| matches!(result, Ok(true))).count();
    });
    std::thread::sleep(Duration::from_secs(1));
    let arrivals = setting.seen.arrivals.lock().unwrap().clone();
    let mut moved = 0;
    let mut broken = 0;
    for later in arrivals.iter().filter(|later| later.ran) {
        let earlier = |one: &&Arrival| {
            one.attempt == later.attempt && one.ran && one.at < later.at && one.engine != later.engine
        };
        for before in arrivals.iter().filter(earlier) {
            moved += 1;
            let overlap = before.worked_until.saturating_duration_since(later.at);
            let verdict = if overlap > OVERLAP { "BROKEN" } else { "kept" };
            broken += usize::from(overlap > OVERLAP);
            record.line(&format!(
                "{verdict}: {} goes on at {} at {:.3}, and {} still works on it {} ms later",
                later.attempt,
                later.engine,
                record.time(later.at),
                before.engine,
                overlap.as_millis()
            ));
        }
    }
    record.say(&format!(
        "{whole} of {STREAMS} streams are whole; {moved} went on at another engine; {broken} of these were still worked on at the engine before over {} ms later",
        OVERLAP.as_millis()
    ));
    if setting.trouble && moved == 0 {
        return Verdict::Unable("no stream ran at the engine that left");
    }
    if broken > 0 {
        Verdict::Broken
    } else {
        Verdict::Held
    }
}

/// Returns the number of the last event of a complete stream.
fn read_stream(gateway: &Gateway, request: &http::Message) -> Option<u64> {
    let mut channel = Channel::open(gateway.requests, Duration::from_secs(15)).ok()?;
    let started = Instant::now();
    let head = channel.send(request).ok()?;
    if head.status() != 200 || !http::is_chunked(&head) {
        return None;
    }
    let mut text = Vec::new();
    while let Some(chunk) = http::read_chunk(&mut channel.reader).ok()? {
        text.extend_from_slice(&chunk);
        if started.elapsed() > Duration::from_secs(39) {
            return None;
        }
    }
    let text = String::from_utf8_lossy(&text);
    let ids = text.lines().filter_map(|line| line.strip_prefix("id:"));
    let ids: Vec<u64> = ids.filter_map(|id| id.trim().parse().ok()).collect();
    let in_order = ids.iter().copied().eq(1..=ids.len() as u64);
    in_order.then_some(ids.len() as u64)
}
