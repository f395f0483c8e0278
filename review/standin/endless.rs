//! An engine answers part of its requests with bytes that are no answer and never end. What it sends
//! looks like interim answers, which come before an answer.

use std::sync::Mutex;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::{Duration, Instant};

use crate::engine::{Engine, Habits};
use crate::fleet::{self, Gateway};
use crate::http::Channel;
use crate::{Setting, Verdict};

const GATEWAYS: usize = 1;
/// Time between two streams: 4.24 a second.
const STREAM_PAUSE: Duration = Duration::from_millis(236);
const STREAMS: usize = 64;
/// Clients of the ledger and the time between two requests of each; together about 42 a second.
const CLIENTS: usize = 24;
const PAUSE: Duration = Duration::from_millis(540);
/// Share of a core that a machine has.
const PROCESSOR_SHARE: f64 = 0.25;
const ROUTE_TIMEOUT: Duration = Duration::from_millis(800);
const SLACK: Duration = Duration::from_millis(500);
const CLIENT_TIMEOUT: Duration = Duration::from_millis(1_500);

pub fn play(setting: &Setting) -> Verdict {
    let record = &setting.record;
    let start = |service: &str, zone: usize, id: &str, stream| {
        let habits = Habits {
            service: service.to_owned(),
            zone: ["costa-a", "costa-b", "costa-c"][zone].to_owned(),
            slots: if service == "asistente" { 24 } else { 6 },
            stream,
            queue: Duration::ZERO,
            late_head: false,
            work: Duration::from_millis(30),
        };
        Engine::start(id, habits, &setting.store, &setting.seen, record)
    };
    let _plain: Vec<_> = (0..3)
        .map(|number| start("libro-socios", number, &format!("i-plain{number}"), None))
        .collect();
    let models: Vec<_> = (0..4)
        .map(|number| {
            let stream = Some((233, Duration::from_millis(28)));
            start("asistente", number % 3, &format!("i-model{number}"), stream)
        })
        .collect();
    let gateways: Vec<Gateway> = (0..GATEWAYS)
        .map(|number| Gateway::start(number, &setting.store, &setting.folder, record))
        .collect();
    if !gateways.iter().all(Gateway::wait_until_ready) {
        return Verdict::Unable("a gateway did not become ready");
    }
    let ended = AtomicBool::new(false);
    let times: Mutex<Vec<Option<Duration>>> = Mutex::default();
    std::thread::scope(|scope| {
        for gateway in &gateways {
            scope.spawn(|| gateway.limit_processor(PROCESSOR_SHARE, &ended));
        }
        std::thread::sleep(Duration::from_secs(4));
        for client in 0..CLIENTS {
            let (ended, gateways, times) = (&ended, &gateways, &times);
            scope.spawn(move || {
                std::thread::sleep(PAUSE / CLIENTS as u32 * client as u32);
                let mut number = 0;
                while !ended.load(Ordering::Acquire) {
                    let id = format!("{client:08x}{number:08x}");
                    let request = fleet::request("POST", "ledger-post", &id, 1_500, b"p".to_vec());
                    let gateway = &gateways[(client + number) % GATEWAYS];
                    let sent = Instant::now();
                    let answer = Channel::open(gateway.requests, CLIENT_TIMEOUT)
                        .and_then(|mut channel| channel.call(&request));
                    let time = sent.elapsed();
                    let status = answer.as_ref().map_or(0, |answer| answer.status());
                    let name = &gateway.name;
                    record.line(&format!(
                        "client {client} gets {status} for {id} from {name} after {} ms",
                        time.as_millis()
                    ));
                    times.lock().unwrap().push(answer.is_ok().then_some(time));
                    number += 1;
                    std::thread::sleep(PAUSE);
                }
            });
        }
        std::thread::sleep(Duration::from_secs(1));
        if setting.trouble {
            record.line("two of four engines begin to spoil one of 20 answers");
            for model in &models[..2] {
                model.set_endless(20);
            }
        }
        let streams: Vec<_> = (0..STREAMS)
            .map(|number| {
                std::thread::sleep(STREAM_PAUSE);
                let gateway = &gateways[number % GATEWAYS];
                scope.spawn(move || {
                    let id = format!("{:016x}", 0x7000 + number);
                    let body = b"draft".to_vec();
                    let request = fleet::request("POST", "customs-draft", &id, 39_000, body);
                    record.line(&format!("client sends {id} to {}", gateway.name));
                    // Clients abandon a stream after a gap of four times the objective.
                    let answer = Channel::open(gateway.requests, Duration::from_secs(16))
                        .and_then(|mut channel| channel.call(&request));
                    let status = answer.map_or(0, |answer| answer.status());
                    record.line(&format!("client gets {status} for {id}"));
                })
            })
            .collect();
        for stream in streams {
            let _ = stream.join();
        }
        ended.store(true, Ordering::Release);
    });
    let times = times.lock().unwrap();
    let long = |time: &&Option<Duration>| time.is_none_or(|time| time > ROUTE_TIMEOUT);
    let lasting = times.iter().filter(long).count();
    let late = |time: &&Option<Duration>| time.is_none_or(|time| time > ROUTE_TIMEOUT + SLACK);
    let unanswered = times.iter().filter(late).count();
    let mut sorted: Vec<Duration> = times.iter().flatten().copied().collect();
    sorted.sort();
    let median = sorted.get(sorted.len() / 2).copied().unwrap_or_default();
    record.say(&format!(
        "{} requests, median {} ms; {lasting} lasted longer than the timeout of their route; {unanswered} of these had no answer {} ms after it",
        times.len(),
        median.as_millis(),
        SLACK.as_millis()
    ));
    if unanswered >= 8 && unanswered * 4 > lasting {
        Verdict::Broken
    } else {
        Verdict::Held
    }
}
