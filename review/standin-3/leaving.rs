//! Streams without a length or chunks at an engine that leaves as it has announced.

use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use crate::Run;
use crate::endpoint::{self, Endpoint, MODEL};
use crate::engine::{self, Manner, Runs};
use crate::gateway::{Gateway, ZONES};
use crate::store::Store;

/// Number of events of a stream: 10 s.
const EVENTS: usize = 200;
/// Number of streams.
const STREAMS: usize = 12;
/// Time from the report of an engine that it drains until it ends.
const LINGER: Duration = Duration::from_millis(2_500);

pub fn play(run: &Run) -> i32 {
    let record = &run.record;
    let store = Store::start();
    store.put("op/config", &endpoint::config(3));
    let runs: Arc<Mutex<Runs>> = Arc::default();
    let engines: Vec<Arc<Endpoint>> = (0..4)
        .map(|number| {
            let unframed = std::env::var("FRAMED").is_err();
            let manner = Manner { unframed, ..Manner::default() };
            let name = format!("i-engine-{number}");
            Endpoint::start(&name, MODEL, ZONES[number % 3], 24, &store, engine::handler(run, &runs, manner))
        })
        .collect();
    let gateways: Vec<Gateway> =
        (0..3).map(|number| Gateway::start(&run.folder, number, store.address, record)).collect();
    thread::sleep(Duration::from_secs(4));

    let streams: Vec<_> = (0..STREAMS)
        .map(|number| {
            let (run, address) = (run.clone(), gateways[number % gateways.len()].requests);
            thread::spawn(move || {
                let attempt = format!("stream-{number}");
                let answer = endpoint::draft(&run, address, &attempt, &format!("1000,{}", EVENTS * 4));
                let text = String::from_utf8_lossy(&answer.body).into_owned();
                (attempt, answer.complete, text.matches("id: ").count())
            })
        })
        .collect();
    thread::sleep(Duration::from_secs(3));
    let count = |engine: &Arc<Endpoint>| {
        let runs = runs.lock().unwrap();
        let all = runs.memory.values().filter_map(|memory| memory.segments.last());
        all.filter(|segment| segment.engine == engine.name && !segment.ended).count()
    };
    let leaving = engines.iter().max_by_key(|engine| count(engine)).expect("an engine");
    record.line(&format!("{} runs {} streams", leaving.name, count(leaving)));
    if run.trouble {
        let Some(acknowledged) = leaving.drain() else { return 2 };
        record.line(&format!("{} reports draining", leaving.name));
        thread::sleep((acknowledged + LINGER).saturating_duration_since(Instant::now()));
        leaving.end();
        leaving.unlist();
        record.line(&format!("{} has ended", leaving.name));
    }
    let answers: Vec<_> = streams.into_iter().filter_map(|one| one.join().ok()).collect();
    let short = answers.iter().filter(|(_, complete, events)| *complete && *events < EVENTS).count();
    let broken = answers.iter().filter(|(_, complete, _)| !complete).count();
    for (attempt, complete, events) in &answers {
        record.line(&format!("{attempt}: {events} of {EVENTS} events, ends as complete: {complete}"));
    }
    record.say(&format!(
        "streams: {STREAMS}; that end as complete before their last piece: {short}; that are broken off: {broken}"
    ));
    i32::from(short > 0)
}
