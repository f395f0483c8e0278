//! Streams wait in the queues of sound engines while other engines lose power. A wait for the first
//! event that is well inside the objective must not cost the request.

use std::io::Read;
use std::sync::Mutex;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::time::{Duration, Instant};

use crate::engine::{Arrival, Engine, Habits};
use crate::fleet::{self, Gateway};
use crate::http::{self, Channel};
use crate::{Setting, Verdict};

const GATEWAYS: usize = 3;
const ENGINES: usize = 11;
/// Engines that lose power together: a share of 0.17.
const DARK: usize = 2;
const DARK_TIME: Duration = Duration::from_millis(4_500);
/// Time after its return in which an engine doesn't count as sound yet.
const CONTACT: Duration = Duration::from_secs(3);
/// Time from the return of engines until others lose power.
const BETWEEN: Duration = Duration::from_millis(2_500);
const WAVES: usize = 5;
/// Time between two streams: 4.24 a second.
const PAUSE: Duration = Duration::from_millis(236);
const EVENTS: u64 = 60;
const GAP: Duration = Duration::from_millis(28);
/// Wait for the first event; the objective is 4 s.
const QUEUE: Duration = Duration::from_millis(2_000);
/// Number of requests on kept channels that may be passed on and not answered.
const MAX_LOST: usize = 3;

pub fn play(setting: &Setting) -> Verdict {
    let record = &setting.record;
    let start = |service: &str, number: usize, id: String| {
        let plain = service == "libro-socios";
        let habits = Habits {
            service: service.to_owned(),
            zone: ["costa-a", "costa-b", "costa-c"][number % 3].to_owned(),
            slots: if plain { 6 } else { 24 },
            stream: (!plain).then_some((EVENTS, GAP)),
            queue: QUEUE,
            late_head: false,
            work: Duration::from_millis(30),
        };
        Engine::start(&id, habits, &setting.store, &setting.seen, record)
    };
    let _plain: Vec<_> = (0..3)
        .map(|number| start("libro-socios", number, format!("i-plain{number}")))
        .collect();
    let engines: Vec<_> = (0..ENGINES)
        .map(|number| start("asistente", number, format!("i-model{number}")))
        .collect();
    let gateways: Vec<Gateway> = (0..GATEWAYS)
        .map(|number| Gateway::start(number, &setting.store, &setting.folder, record))
        .collect();
    if !gateways.iter().all(Gateway::wait_until_ready) {
        return Verdict::Unable("a gateway did not become ready");
    }
    std::thread::sleep(Duration::from_secs(4));
    // When engines were dark.
    let outages: Mutex<Vec<(String, Instant)>> = Mutex::default();
    let (sent, whole, lost) = (AtomicUsize::new(0), AtomicUsize::new(0), AtomicUsize::new(0));
    let wave_time = DARK_TIME + BETWEEN;
    let streams = (wave_time * WAVES as u32).as_millis() / PAUSE.as_millis();
    std::thread::scope(|scope| {
        if setting.trouble {
            scope.spawn(|| {
                for wave in 0..WAVES {
                    std::thread::sleep(BETWEEN);
                    let chosen = (0..DARK).map(|one| &engines[(wave * DARK + one) % ENGINES]);
                    let chosen: Vec<_> = chosen.collect();
                    for engine in &chosen {
                        let outage = (engine.id.clone(), Instant::now());
                        outages.lock().unwrap().push(outage);
                        engine.go_dark();
                    }
                    std::thread::sleep(DARK_TIME);
                    for engine in &chosen {
                        engine.return_from_dark();
                    }
                }
            });
        }
        for number in 0..streams as usize {
            std::thread::sleep(PAUSE);
            let gateway = &gateways[number % GATEWAYS];
            let (sent, whole, lost, outages) = (&sent, &whole, &lost, &outages);
            scope.spawn(move || {
                let Ok(mut channel) = Channel::open(gateway.requests, Duration::from_secs(16)) else {
                    return;
                };
                // The channel is kept from a short request.
                let id = format!("{:08x}{number:08x}", 1);
                let short = fleet::request("GET", "ledger-read", &id, 1_500, Vec::new());
                if channel.call(&short).is_err() {
                    return;
                }
                let id = format!("{:08x}{number:08x}", 2);
                let request = fleet::request("POST", "customs-draft", &id, 39_000, b"draft".to_vec());
                record.line(&format!("client sends {id} to {}", gateway.name));
                sent.fetch_add(1, Ordering::AcqRel);
                let (events, complete) = read_stream(&mut channel, &request);
                record.line(&format!("client has {events} events of {id}, complete: {complete}"));
                if complete {
                    whole.fetch_add(1, Ordering::AcqRel);
                    return;
                }
                let arrivals = setting.seen.arrivals.lock().unwrap().clone();
                let at: Vec<_> = arrivals
                    .iter()
                    .filter(|one| one.attempt == id && one.ran)
                    .collect();
                let outages = outages.lock().unwrap();
                let is_sound = |one: &&Arrival| {
                    let mut own = outages.iter().filter(|(engine, _)| *engine == one.engine);
                    own.all(|(_, since)| *since + DARK_TIME + CONTACT < one.at)
                };
                let sound = !at.is_empty() && at.iter().all(is_sound);
                if events == 0 && sound {
                    lost.fetch_add(1, Ordering::AcqRel);
                    record.line(&format!(
                        "BROKEN: {id} was passed on to a sound engine, and its channel closes without an answer"
                    ));
                }
            });
        }
    });
    let lost = lost.load(Ordering::Acquire);
    record.say(&format!(
        "{} streams, {} whole; {lost} were passed on to a sound engine and closed without an answer",
        sent.load(Ordering::Acquire),
        whole.load(Ordering::Acquire)
    ));
    if lost > MAX_LOST {
        Verdict::Broken
    } else {
        Verdict::Held
    }
}

/// Returns the number of events of a stream, and whether it is complete.
fn read_stream(channel: &mut Channel, request: &http::Message) -> (usize, bool) {
    let mut events = 0;
    let Ok(head) = channel.send(request) else {
        return (0, false);
    };
    if head.status() != 200 {
        // An answer of another kind, which is complete if its body is.
        let mut rest = Vec::new();
        let length = head.header("content-length").and_then(|length| length.parse().ok());
        let read = (&mut channel.reader).take(length.unwrap_or(0)).read_to_end(&mut rest);
        return (0, read.is_ok());
    }
    loop {
        match http::read_chunk(&mut channel.reader) {
            Ok(Some(chunk)) => {
                let text = String::from_utf8_lossy(&chunk);
                events += text.lines().filter(|line| line.starts_with("id:")).count();
            }
            Ok(None) => return (events, true),
            Err(_) => return (events, false),
        }
    }
}
