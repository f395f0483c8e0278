//! Many users come at once, with requests as long as the limits allow. The memory of a gateway has a
//! limit, at which the platform kills the process and starts it again.

use std::sync::Mutex;
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::time::{Duration, Instant};

use crate::engine::{Engine, Habits};
use crate::fleet::{self, Gateway};
use crate::http::Channel;
use crate::{Setting, Verdict};

/// Limit on the memory of a machine, as in the settings of the deployment.
const MEMORY_BYTES: u64 = 110 << 20;
/// Longest body, as in the configuration.
const BODY_BYTES: usize = 4_194_304;
const GATEWAYS: usize = 2;
/// Twice the 34 clients of the deployment: a burst of 2 times the usual number.
const CLIENTS: usize = 68;
/// Length of the burst.
const LENGTH: Duration = Duration::from_millis(5_900);
/// Number of requests on kept channels that may be passed on and never answered.
const MAX_LOST: usize = 3;
/// Pause of a client before it opens a new channel.
const PAUSE: Duration = Duration::from_millis(50);
/// Usual clients, and the time between two short requests of each; together about 42 a second.
const USUAL_CLIENTS: usize = 24;
const USUAL_PAUSE: Duration = Duration::from_millis(540);
const RESTART: Duration = Duration::from_millis(300);

pub fn play(setting: &Setting) -> Verdict {
    let record = &setting.record;
    let _engines: Vec<_> = (0..3)
        .map(|number| {
            let habits = Habits {
                service: "libro-socios".to_owned(),
                zone: ["costa-a", "costa-b", "costa-c"][number].to_owned(),
                slots: 6,
                stream: None,
                queue: Duration::ZERO,
                work: Duration::from_millis(30),
                drops_closed: true,
            };
            let id = format!("i-plain{number}");
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
    let addresses: Vec<_> = gateways.iter().map(|gateway| gateway.requests).collect();
    let ended = AtomicBool::new(false);
    let lost = AtomicUsize::new(0);
    let short_lost = AtomicUsize::new(0);
    let answered = AtomicUsize::new(0);
    let peak = AtomicUsize::new(0);
    // Without the burst, the same requests come one after the other.
    let turn = Mutex::new(());
    let started = Instant::now();
    let mut kills: Vec<usize> = Vec::new();
    let watch = |mut gateway: Gateway| {
        let mut kills = 0;
        while !ended.load(Ordering::Acquire) {
            let memory = gateway.memory();
            peak.fetch_max(memory as usize, Ordering::AcqRel);
            if memory > MEMORY_BYTES {
                record.line(&format!(
                    "gateway {} holds {} MB; the platform kills it",
                    gateway.name,
                    memory >> 20
                ));
                gateway.kill();
                kills += 1;
                std::thread::sleep(RESTART);
                gateway.restart(record);
            }
            std::thread::sleep(Duration::from_millis(1));
        }
        kills
    };
    std::thread::scope(|scope| {
        let gateways = gateways.into_iter();
        let platform: Vec<_> = gateways
            .map(|gateway| scope.spawn(|| watch(gateway)))
            .collect();
        let clients: Vec<_> = (0..CLIENTS)
            .map(|client| {
                let (turn, lost, answered) = (&turn, &lost, &answered);
                let address = addresses[client % GATEWAYS];
                scope.spawn(move || {
                    let mut number = 0;
                    while started.elapsed() < LENGTH {
                        std::thread::sleep(PAUSE);
                        let Ok(mut channel) = Channel::open(address, Duration::from_secs(3)) else {
                            continue;
                        };
                        // The channel is kept from a short request to long ones.
                        number += 1;
                        let id = format!("{client:08x}{number:08x}");
                        let short = fleet::request("GET", "ledger-read", &id, 1_500, Vec::new());
                        if channel.call(&short).is_err() {
                            continue;
                        }
                        while started.elapsed() < LENGTH {
                            number += 1;
                            let id = format!("{client:08x}{number:08x}");
                            let body = vec![b'p'; BODY_BYTES];
                            let long = fleet::request("POST", "ledger-post", &id, 1_500, body);
                            let waits = (!setting.trouble).then(|| turn.lock().unwrap());
                            record.line(&format!("client {client} sends {id}"));
                            let answer = channel.call(&long);
                            drop(waits);
                            let status = answer.as_ref().map_or(0, |answer| answer.status());
                            record.line(&format!("client {client} gets {status} for {id}"));
                            if answer.is_err() {
                                if has_run(setting, &id) {
                                    record.line(&format!("BROKEN: {id} runs and is never answered"));
                                    lost.fetch_add(1, Ordering::AcqRel);
                                }
                                break;
                            }
                            answered.fetch_add(1, Ordering::AcqRel);
                        }
                    }
                })
            })
            .collect();
        let usual: Vec<_> = (0..USUAL_CLIENTS)
            .map(|client| {
                let (lost, short_lost) = (&lost, &short_lost);
                let address = addresses[client % GATEWAYS];
                scope.spawn(move || {
                    let mut number = 0;
                    std::thread::sleep(USUAL_PAUSE / USUAL_CLIENTS as u32 * client as u32);
                    while started.elapsed() < LENGTH {
                        let Ok(mut channel) = Channel::open(address, Duration::from_secs(3)) else {
                            std::thread::sleep(PAUSE);
                            continue;
                        };
                        let mut kept = false;
                        while started.elapsed() < LENGTH {
                            number += 1;
                            let id = format!("{:08x}{number:08x}", 0x1000 + client);
                            let body = b"payment".to_vec();
                            let short = fleet::request("POST", "ledger-post", &id, 1_500, body);
                            record.line(&format!("usual client {client} sends {id}"));
                            let answer = channel.call(&short);
                            let status = answer.as_ref().map_or(0, |answer| answer.status());
                            record.line(&format!("usual client {client} gets {status} for {id}"));
                            if answer.is_err() {
                                if kept && has_run(setting, &id) {
                                    record.line(&format!("BROKEN: {id} runs and is never answered"));
                                    lost.fetch_add(1, Ordering::AcqRel);
                                    short_lost.fetch_add(1, Ordering::AcqRel);
                                }
                                break;
                            }
                            kept = true;
                            std::thread::sleep(USUAL_PAUSE);
                        }
                    }
                })
            })
            .collect();
        for client in clients.into_iter().chain(usual) {
            let _ = client.join();
        }
        ended.store(true, Ordering::Release);
        for one in platform {
            kills.push(one.join().unwrap_or(0));
        }
    });
    let lost = lost.load(Ordering::Acquire);
    record.say(&format!(
        "most memory {} MB of {} MB; processes of the two machines killed {kills:?} times; {} long requests answered; {lost} requests on kept channels, {} of them short ones, were run and never answered",
        peak.load(Ordering::Acquire) >> 20,
        MEMORY_BYTES >> 20,
        answered.load(Ordering::Acquire),
        short_lost.load(Ordering::Acquire),
    ));
    if lost > MAX_LOST {
        Verdict::Broken
    } else {
        Verdict::Held
    }
}

/// Returns whether a server has begun to run an attempt.
fn has_run(setting: &Setting, attempt: &str) -> bool {
    let arrivals = setting.seen.arrivals.lock().unwrap();
    let mut arrivals = arrivals.iter();
    arrivals.any(|one| one.attempt == attempt && one.ran)
}
