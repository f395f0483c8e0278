//! A run whose engine falls silent, and whose answer is lost at the engine that continues it.

use std::sync::{Arc, Mutex};
use std::thread;
use std::time::Duration;

use crate::Run;
use crate::engine::{self, Manner, Runs};
use crate::endpoint::{self, Endpoint, MODEL};
use crate::gateway::{Gateway, ZONES};
use crate::store::Store;

/// Attempt of the stream that is watched.
const WATCHED: &str = "watched-1";
/// Number of events of the watched stream.
const EVENTS: u64 = 200;
/// Time for which the engine of the stream is silent.
const SILENCE: Duration = Duration::from_millis(1_900);
/// Time for which two engines may work on one run.
const OVERLAP: Duration = Duration::from_millis(400);
/// Largest share of the requests that an engine ran whose answers are lost.
const MAX_LOST: f64 = 0.05;

pub fn play(run: &Run) -> i32 {
    let record = &run.record;
    let store = Store::start();
    store.put("op/config", &endpoint::config(3));
    let runs: Arc<Mutex<Runs>> = Arc::default();
    let engines: Vec<Arc<Endpoint>> = (0..5)
        .map(|number| {
            let manner = Manner { loses_resumed: run.trouble, ..Manner::default() };
            let handler = engine::handler(run, &runs, manner);
            let name = format!("i-engine-{number}");
            Endpoint::start(&name, MODEL, ZONES[number % 3], 24, &store, handler)
        })
        .collect();
    let gateways: Vec<Gateway> =
        (0..3).map(|number| Gateway::start(&run.folder, number, store.address, record)).collect();
    thread::sleep(Duration::from_secs(4));

    // Other work, so that the one lost answer is within the share that the site names.
    let others: Vec<_> = (0..12)
        .map(|client| {
            let (run, address) = (run.clone(), gateways[client % 3].requests);
            thread::spawn(move || {
                for number in 0..20 {
                    endpoint::draft(&run, address, &format!("other-{client}-{number}"), "300,16");
                }
            })
        })
        .collect();
    for other in others {
        let _ = other.join();
    }
    let watched = {
        let (run, address) = (run.clone(), gateways[0].requests);
        let usage = format!("1000,{}", EVENTS * 4);
        thread::spawn(move || endpoint::draft(&run, address, WATCHED, &usage))
    };
    thread::sleep(Duration::from_millis(2_500));
    let (name, backup) = {
        let runs = runs.lock().unwrap();
        let memory = runs.memory.get(WATCHED);
        let name = memory.and_then(|it| it.segments.last()).map(|it| it.engine.clone());
        (name, memory.and_then(|it| it.backup))
    };
    let (Some(name), Some(backup)) = (name, backup) else {
        record.say("the watched stream does not run, or has no backup");
        return 2;
    };
    let second = engines.iter().find(|engine| engine.address == backup).expect("an engine");
    record.line(&format!("{WATCHED} runs at {name}, its backup is at {}", second.name));
    let ran = runs.lock().unwrap().ran.get(&second.name).copied().unwrap_or(0);
    if 1.0 / (ran + 1) as f64 > MAX_LOST {
        record.say("the engine with the backup has run too few requests");
        return 2;
    }
    let first = engines.iter().find(|engine| engine.name == name).expect("an engine");
    if run.trouble {
        record.line(&format!("{name} is silent"));
        first.set_silent(true);
        thread::sleep(SILENCE);
        first.set_silent(false);
        record.line(&format!("{name} goes on"));
    }
    let answer = watched.join().unwrap_or_default();
    thread::sleep(Duration::from_secs(1));

    let runs = runs.lock().unwrap();
    let segments = &runs.memory[WATCHED].segments;
    let mut broken = false;
    for (index, segment) in segments.iter().enumerate() {
        record.line(&format!(
            "work of {} from {:.3} s to {:.3} s",
            segment.engine,
            segment.started.duration_since(record.started).as_secs_f64(),
            segment.worked.duration_since(record.started).as_secs_f64()
        ));
        for before in &segments[..index] {
            let both = before.worked.saturating_duration_since(segment.started + OVERLAP);
            if before.engine != segment.engine && !both.is_zero() {
                broken = true;
                record.say(&format!(
                    "{WATCHED} goes on at {} while {} still works on it {:.3} s later",
                    segment.engine,
                    before.engine,
                    (both + OVERLAP).as_secs_f64()
                ));
            }
        }
    }
    record.say(&format!(
        "engines of the run: {}; lost answers: {}; the client got status {}, complete {}",
        segments.iter().map(|it| it.engine.as_str()).collect::<Vec<_>>().join(", "),
        runs.lost.len(),
        answer.status,
        answer.complete
    ));
    i32::from(broken)
}
