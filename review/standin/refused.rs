//! A server fails part of its requests, after it has run them, with a 503 that does not say that the
//! request was not executed. The client of a request that may run once must not get a 503.

use std::sync::atomic::{AtomicUsize, Ordering};
use std::time::{Duration, Instant};

use crate::engine::{Engine, Habits};
use crate::fleet::{self, Gateway};
use crate::http::Channel;
use crate::{Setting, Verdict};

const GATEWAYS: usize = 3;
const CLIENTS: usize = 12;
/// Time between two requests of a client; together about 30 a second.
const PAUSE: Duration = Duration::from_millis(370);
const LENGTH: Duration = Duration::from_secs(9);

pub fn play(setting: &Setting) -> Verdict {
    let record = &setting.record;
    let engines: Vec<_> = (0..3)
        .map(|number| {
            let habits = Habits {
                service: "libro-socios".to_owned(),
                zone: ["costa-a", "costa-b", "costa-c"][number].to_owned(),
                slots: 6,
                stream: None,
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
    let started = Instant::now();
    let refused_though_run = AtomicUsize::new(0);
    let run_again = AtomicUsize::new(0);
    let sent = AtomicUsize::new(0);
    std::thread::scope(|scope| {
        for client in 0..CLIENTS {
            let (gateways, refused_though_run, run_again, sent) =
                (&gateways, &refused_though_run, &run_again, &sent);
            scope.spawn(move || {
                std::thread::sleep(PAUSE / CLIENTS as u32 * client as u32);
                let mut number = 0;
                while started.elapsed() < LENGTH {
                    let mut runs = 0;
                    // The client repeats a request once, after a promise that it has not run.
                    for attempt in 0..2 {
                        let id = format!("{client:04x}{number:08x}{attempt:04x}");
                        let gateway = &gateways[(client + number + attempt) % GATEWAYS];
                        let body = format!("payment {client}-{number}").into_bytes();
                        let request = fleet::request("POST", "ledger-post", &id, 1_500, body);
                        record.line(&format!("client {client} sends {id} to {}", gateway.name));
                        sent.fetch_add(1, Ordering::AcqRel);
                        let answer = Channel::open(gateway.requests, Duration::from_millis(1_500))
                            .and_then(|mut channel| channel.call(&request));
                        let status = answer.map_or(0, |answer| answer.status());
                        record.line(&format!("client {client} gets {status} for {id}"));
                        let arrivals = setting.seen.arrivals.lock().unwrap();
                        let ran = arrivals.iter().any(|one| one.attempt == id && one.ran);
                        drop(arrivals);
                        runs += usize::from(ran);
                        let promised = matches!(status, 408 | 421 | 429 | 503);
                        if promised && ran {
                            refused_though_run.fetch_add(1, Ordering::AcqRel);
                            record.line(&format!("BROKEN: {id} has run, and was answered {status}"));
                        }
                        if !promised {
                            break;
                        }
                    }
                    if runs > 1 {
                        run_again.fetch_add(1, Ordering::AcqRel);
                        record.line(&format!("payment {client}-{number} was made {runs} times"));
                    }
                    number += 1;
                    std::thread::sleep(PAUSE);
                }
            });
        }
        if setting.trouble {
            std::thread::sleep(Duration::from_secs(1));
            record.line("server i-plain0 begins to fail 41 in 100 of its requests");
            engines[0].fail(Some((41, "503 Service Unavailable")));
            std::thread::sleep(Duration::from_secs(7));
            engines[0].fail(None);
            record.line("server i-plain0 is sound again");
        }
    });
    let refused = refused_though_run.load(Ordering::Acquire);
    record.say(&format!(
        "{} attempts; {refused} were answered with a promise not to have run, and had run; {} payments were made twice",
        sent.load(Ordering::Acquire),
        run_again.load(Ordering::Acquire)
    ));
    if refused > 0 {
        Verdict::Broken
    } else {
        Verdict::Held
    }
}
