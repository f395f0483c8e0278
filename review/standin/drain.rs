//! The store cuts a watch that is waiting, and the entry of a server that leaves is removed in the gap.

use std::sync::atomic::{AtomicBool, Ordering};
use std::time::{Duration, Instant};

use crate::engine::{Engine, Habits};
use crate::fleet::{self, Gateway};
use crate::http::Channel;
use crate::{Setting, Verdict};

const CLIENTS: usize = 24;
const PAUSE: Duration = Duration::from_millis(530);
const DRAIN: Duration = Duration::from_millis(2_000);

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
    let gateway = Gateway::start(0, &setting.store, &setting.folder, record);
    if !gateway.wait_until_ready() {
        return Verdict::Unable("the gateway did not become ready");
    }
    std::thread::sleep(Duration::from_secs(4));
    let ended = AtomicBool::new(false);
    let mut removed = None;
    std::thread::scope(|scope| {
        for client in 0..CLIENTS {
            let (ended, gateway) = (&ended, &gateway);
            scope.spawn(move || {
                std::thread::sleep(PAUSE / CLIENTS as u32 * client as u32);
                let mut number = 0;
                while !ended.load(Ordering::Acquire) {
                    let id = format!("{client:08x}{number:08x}");
                    let request = fleet::request("POST", "ledger-post", &id, 1_500, b"p".to_vec());
                    let answer = Channel::open(gateway.requests, Duration::from_millis(1_500))
                        .and_then(|mut channel| channel.call(&request));
                    let status = answer.map_or(0, |answer| answer.status());
                    record.line(&format!("client {client} gets {status} for {id}"));
                    number += 1;
                    std::thread::sleep(PAUSE);
                }
            });
        }
        std::thread::sleep(Duration::from_secs(1));
        engines[0].fall_silent();
        let key = format!("servers/{}", engines[0].id);
        if setting.trouble {
            if setting.store.cut_watches_and_remove(&key) {
                removed = Some(Instant::now());
            }
        } else {
            setting.store.remove(&key);
            removed = Some(Instant::now());
        }
        record.line(&format!("the entry of server {} is removed", engines[0].id));
        std::thread::sleep(Duration::from_secs(4));
        ended.store(true, Ordering::Release);
    });
    let Some(removed) = removed else {
        return Verdict::Unable("no watch was waiting");
    };
    let arrivals = setting.seen.arrivals.lock().unwrap().clone();
    let mut late = 0;
    let mut last = Duration::ZERO;
    for one in arrivals.iter().filter(|one| one.engine == engines[0].id) {
        let after = one.at.saturating_duration_since(removed);
        last = last.max(after);
        if after > DRAIN {
            late += 1;
            record.line(&format!(
                "BROKEN: {} reaches {} {} ms after its entry was removed",
                one.attempt,
                one.engine,
                after.as_millis()
            ));
        }
    }
    record.say(&format!(
        "the last request reached the server {} ms after its removal; {late} came after {} ms",
        last.as_millis(),
        DRAIN.as_millis()
    ));
    if late > 0 {
        Verdict::Broken
    } else {
        Verdict::Held
    }
}
