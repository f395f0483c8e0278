//! A sound engine that pauses while all engines are full and a gateway is stopped as planned.

use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use crate::Run;
use crate::endpoint::{self, Endpoint, MODEL};
use crate::engine::{self, Manner, Runs};
use crate::gateway::{Gateway, ZONES};
use crate::store::Store;

/// Slots of an engine.
const SLOTS: usize = 6;
/// Number of engines.
const ENGINES: usize = 3;
/// Number of events of a stream: 8.3 s. All would end within the grace period, also after the pause.
const EVENTS: u64 = 166;
/// Time for which the engine is silent.
const SILENCE: Duration = Duration::from_millis(1_600);
/// Time from the start of the silence until the gateway is stopped.
const BEFORE_STOP: Duration = Duration::from_millis(1_400);
/// Start of the last sixth of `grace_s`, in which an engine at work excuses the end of its stream.
const EXCUSED: Duration = Duration::from_millis(6_667);

pub fn play(run: &Run) -> i32 {
    let record = &run.record;
    let store = Store::start();
    store.put("op/config", &endpoint::config(3));
    let runs: Arc<Mutex<Runs>> = Arc::default();
    let engines: Vec<Arc<Endpoint>> = (0..ENGINES)
        .map(|number| {
            let manner = Manner { slots: Some(SLOTS), ..Manner::default() };
            let (name, handler) = (format!("i-engine-{number}"), engine::handler(run, &runs, manner));
            Endpoint::start(&name, MODEL, ZONES[number], SLOTS as u32, &store, handler)
        })
        .collect();
    let gateways: Vec<Gateway> =
        (0..2).map(|number| Gateway::start(&run.folder, number, store.address, record)).collect();
    thread::sleep(Duration::from_secs(4));

    let streams: Vec<_> = (0..SLOTS * ENGINES)
        .map(|number| {
            thread::sleep(Duration::from_millis(30));
            let (run, gateway) = (run.clone(), number % gateways.len());
            let address = gateways[gateway].requests;
            thread::spawn(move || {
                let attempt = format!("stream-{gateway}-{number}");
                let answer = endpoint::draft(&run, address, &attempt, &format!("300,{}", EVENTS * 4));
                (attempt, answer.complete, Instant::now())
            })
        })
        .collect();
    thread::sleep(Duration::from_millis(2_400));
    let at = |engine: &Arc<Endpoint>| {
        let runs = runs.lock().unwrap();
        let own = runs.memory.iter().filter(|(attempt, _)| attempt.starts_with("stream-0-"));
        let last = own.filter_map(|(_, memory)| memory.segments.last());
        last.filter(|segment| segment.engine == engine.name && !segment.ended).count()
    };
    let running = runs.lock().unwrap().memory.len();
    let pausing = engines.iter().max_by_key(|engine| at(engine)).expect("an engine");
    record.line(&format!("{running} streams run; {} of frontend-0 at {}", at(pausing), pausing.name));
    if run.trouble {
        pausing.set_silent(true);
        record.line(&format!("{} is silent", pausing.name));
    }
    thread::sleep(BEFORE_STOP);
    let stopped_at = Instant::now();
    gateways[0].signal("-TERM");
    record.line("frontend-0 gets SIGTERM");
    thread::sleep(SILENCE - BEFORE_STOP);
    if run.trouble {
        pausing.set_silent(false);
        record.line(&format!("{} goes on", pausing.name));
    }
    let ends: Vec<_> = streams.into_iter().filter_map(|one| one.join().ok()).collect();
    let mut cut = [0, 0];
    for (attempt, complete, ended) in &ends {
        let after = ended.duration_since(stopped_at);
        let gateway = usize::from(attempt.starts_with("stream-1-"));
        if !complete && (gateway == 1 || after < EXCUSED) {
            cut[gateway] += 1;
            record.line(&format!("{attempt} was cut off {:.3} s after the SIGTERM", after.as_secs_f64()));
        }
    }
    record.say(&format!(
        "streams: {running}; cut off at frontend-0 before the last sixth of grace_s: {}; cut off at frontend-1, \
         which isn't stopped: {}",
        cut[0], cut[1]
    ));
    i32::from(cut[0] > 0)
}
