//! The store comes back from a copy some seconds old; then the operator evacuates a zone.

use std::path::Path;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use crate::{
    Bounds, Endpoint, Gateway, Record, Store, await_ready, configuration, keep_entries, post, tally,
};

const ZONES: [&str; 3] = ["lub-a", "lub-b", "lub-c"];
/// The zone that is evacuated.
const ZONE: &str = "lub-b";
const BOUNDS: Bounds = Bounds {
    contact_ms: 4_000,
    config_ms: 3_000,
    evacuation_ms: Some(5_000),
};
/// Longest time by which an unstable store stretches the bound of an evacuation.
const MAX_STRETCH: Duration = Duration::from_millis(6_000);
/// Longest time until a gateway reads the whole store.
const MAX_READ_WAIT: Duration = Duration::from_secs(50);
/// Time between such a read and the loss of the store.
const READ_TO_DRILL: Duration = Duration::from_millis(1_500);
/// Time for which the store is away.
const AWAY: Duration = Duration::from_millis(500);
/// Age of the copy from which it comes back.
const AGE: Duration = Duration::from_secs(8);
/// Time after the return at which the operator evacuates the zone.
const ORDER_DELAY: Duration = Duration::from_millis(1_000);
const HEARTBEAT: Duration = Duration::from_millis(1_200);
/// Time for which requests are judged once the order must be in force.
const JUDGED: Duration = Duration::from_secs(12);

pub fn run(scratch: &Path, record: &Arc<Record>, trouble: bool) -> Option<bool> {
    let store = Store::start();
    store.put("op/config", &configuration(7, 1_500));
    let work = Duration::from_millis(30);
    let endpoints: Vec<Arc<Endpoint>> = (0..12)
        .map(|index| {
            let (zone, id) = (ZONES[index % 3], format!("i-{index:04x}"));
            Endpoint::start(&id, "ledger", zone, work, record)
        })
        .collect();
    keep_entries(&store, &endpoints, HEARTBEAT);
    let mut gateways: Vec<Gateway> = (0..7)
        .map(|index| {
            let zone = ZONES[index % 3];
            Gateway::new(
                scratch,
                &format!("frontend-{zone}-{index}"),
                zone,
                &ZONES,
                &store,
                &BOUNDS,
            )
        })
        .collect();
    for gateway in &mut gateways {
        gateway.start();
    }
    if !await_ready(&gateways) {
        return None;
    }
    record.show("gateways are ready");
    thread::sleep(Duration::from_secs(20));

    // Clients at all gateways, one request after the other.
    let stop = Arc::new(AtomicBool::new(false));
    let statuses: Arc<Mutex<Vec<u16>>> = Arc::default();
    let clients: Vec<_> = gateways
        .iter()
        .enumerate()
        .map(|(client, gateway)| {
            let (address, name) = (gateway.requests, gateway.name.clone());
            let (stop, statuses, record) =
                (Arc::clone(&stop), Arc::clone(&statuses), Arc::clone(record));
            thread::spawn(move || {
                let mut number = 0;
                while !stop.load(Ordering::SeqCst) {
                    number += 1;
                    let attempt = format!("a{client:02}{number:06}");
                    record.line(&format!("send attempt={attempt} gateway={name}"));
                    let status = post(address, &attempt);
                    record.line(&format!(
                        "answer attempt={attempt} gateway={name} status={status}"
                    ));
                    statuses.lock().unwrap().push(status);
                    thread::sleep(Duration::from_millis(60));
                }
            })
        })
        .collect();

    // Gateways read the whole store now and then; each does so once a minute.
    let reads = store.complete_reads.load(Ordering::SeqCst);
    let until = Instant::now() + MAX_READ_WAIT;
    while store.complete_reads.load(Ordering::SeqCst) == reads {
        if Instant::now() > until {
            return None;
        }
        thread::sleep(Duration::from_millis(20));
    }
    record.show(&format!(
        "a gateway has read the whole store at revision {}",
        store.revision()
    ));
    thread::sleep(READ_TO_DRILL);

    if trouble {
        let (before, after) = store.drill(AWAY, AGE);
        // What the operator and the endpoints wrote is written again.
        for endpoint in &endpoints {
            store.put(&endpoint.key(), &endpoint.entry());
        }
        record.show(&format!(
            "store came back from a copy: revision {before} before, {after} after, {} with what was written again",
            store.revision()
        ));
    } else {
        thread::sleep(AWAY);
    }
    thread::sleep(ORDER_DELAY);
    let revision = store.put(&format!("op/evacuate/{ZONE}"), "{}");
    let acknowledged = Instant::now();
    record.show(&format!(
        "evacuation of {ZONE} acknowledged at revision {revision}"
    ));

    let bound = Duration::from_millis(BOUNDS.evacuation_ms.unwrap_or(0)) + MAX_STRETCH;
    thread::sleep(bound.saturating_sub(acknowledged.elapsed()));
    let judged_from = record.seconds();
    thread::sleep(JUDGED);
    let judged_to = record.seconds();
    let count = |inside: bool| -> usize {
        let endpoints = endpoints
            .iter()
            .filter(|endpoint| (endpoint.zone == ZONE) == inside);
        let runs = endpoints.flat_map(|endpoint| endpoint.runs.lock().unwrap().clone());
        runs.filter(|(at, _)| (judged_from..judged_to).contains(at))
            .count()
    };
    let (inside, outside) = (count(true), count(false));
    record.show(&format!(
        "from {:.1} s to {:.1} s after the order: {inside} requests reached {ZONE}, {outside} the other zones",
        bound.as_secs_f64(),
        (bound + JUDGED).as_secs_f64()
    ));

    // The operator takes the machines of the zone away, which is empty according to the order.
    let before = statuses.lock().unwrap().len();
    for endpoint in endpoints.iter().filter(|endpoint| endpoint.zone == ZONE) {
        endpoint.dead.store(true, Ordering::SeqCst);
    }
    record.show(&format!("the endpoints of {ZONE} are switched off"));
    thread::sleep(Duration::from_secs(2));
    stop.store(true, Ordering::SeqCst);
    for client in clients {
        let _ = client.join();
    }
    let statuses = statuses.lock().unwrap();
    record.show(&format!(
        "answers before: {}; after: {}",
        tally(&statuses[..before]),
        tally(&statuses[before..])
    ));
    if outside == 0 {
        return None;
    }
    Some(inside == 0)
}
