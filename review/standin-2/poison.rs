//! A request crashes each engine that runs it, some events after it has begun, and comes again.

use std::path::Path;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::Duration;

use crate::engine::{Conduct, Engine};
use crate::{Bounds, Gateway, Record, Store, await_ready, stream, tally};

const ZONES: [&str; 3] = ["costa-a", "costa-b", "costa-c"];
const BOUNDS: Bounds = Bounds {
    contact_ms: 3_000,
    config_ms: 2_000,
    evacuation_ms: None,
};
/// Body of the request that crashes engines.
const FATAL: &str = "declare the consignment that no engine survives";
const CLIENTS_PER_GATEWAY: usize = 4;
/// Number of its events before the crash.
const EVENTS_BEFORE: usize = 8;
const EVENTS: usize = 20;
/// Crashes after which retries count, and the number of retries that may follow.
const CRASHES: usize = 3;
const EXCUSED: usize = 3;
const BACK_AFTER: Duration = Duration::from_secs(3);
/// Time between two tries of the client whose request crashes engines.
const INTERVAL: Duration = Duration::from_millis(1_500);
const LENGTH: Duration = Duration::from_secs(30);

/// A configuration with a route for streams, with the figures of the small deployment.
pub const CONFIGURATION: &str = r#"{"version":7,"routes":[{"name":"r-draft","host":"review.example","path_prefix":"/draft/","kind":"streaming","timeout_ms":39000,"target_latency_ms":4000,"priority":2,"service":"model","max_attempts":1,"public":false,"sticky":true,"resumable":false,"target_gap_ms":180}],"services":[{"name":"model","health_path":"/healthz","max_connections":222,"protocol":"h1","tls":false,"cold_start_s":1.0,"cold_per_s":0.0,"engine":{"slots":24,"kv_cache_tokens":34197,"kv_bytes":131072,"link_mbps":19000.0,"moves":true,"backups":true,"stride":4,"most":12,"pin_ms":4000.0,"hold_ms":2000.0,"handle_s":5.0,"models":[{"name":"m"}]}}],"limits":{"max_header_bytes":16384,"max_body_bytes":4194304,"header_timeout_ms":3000,"idle_timeout_ms":15000},"tenants":[{"name":"t1","api_keys":["key-of-t1"],"priority":1}]}"#;

pub fn run(scratch: &Path, record: &Arc<Record>, trouble: bool) -> Option<bool> {
    let store = Store::start();
    store.put("op/config", CONFIGURATION);
    let conduct = Conduct {
        events: EVENTS,
        crashes: trouble.then_some((FATAL, EVENTS_BEFORE)),
        back_after: BACK_AFTER,
    };
    let engines: Vec<Arc<Engine>> = (0..11)
        .map(|index| {
            let id = format!("e-{index:04x}");
            Engine::start(&id, ZONES[index % 3], conduct, &store, record)
        })
        .collect();
    let mut gateways: Vec<Gateway> = (0..6)
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
    thread::sleep(Duration::from_secs(5));

    // Clients with sound requests.
    let stop = Arc::new(AtomicBool::new(false));
    let sound: Arc<Mutex<Vec<u16>>> = Arc::default();
    let clients: Vec<_> = (0..gateways.len() * CLIENTS_PER_GATEWAY)
        .map(|client| {
            let address = gateways[client % gateways.len()].requests;
            let (stop, sound, record) = (Arc::clone(&stop), Arc::clone(&sound), Arc::clone(record));
            thread::spawn(move || {
                let mut number = 0;
                while !stop.load(Ordering::SeqCst) {
                    number += 1;
                    let attempt = format!("s{client:02}{number:06}");
                    record.line(&format!("send attempt={attempt} gateway={address}"));
                    let status =
                        stream(address, &attempt, &format!("declare consignment {attempt}"));
                    record.line(&format!("answer attempt={attempt} status={status}"));
                    sound.lock().unwrap().push(status);
                }
            })
        })
        .collect();

    // The client whose request crashes engines comes again, at one gateway after the other.
    let started = record.seconds();
    let mut fatal = Vec::new();
    let mut number = 0;
    while record.seconds() - started < LENGTH.as_secs_f64() {
        let address = gateways[number % gateways.len()].requests;
        number += 1;
        let attempt = format!("f{number:06}");
        record.line(&format!("send attempt={attempt} gateway={address}"));
        let status = stream(address, &attempt, FATAL);
        record.show(&format!(
            "answer attempt={attempt} status={status} (the request that crashes engines)"
        ));
        fatal.push(status);
        thread::sleep(INTERVAL);
    }
    stop.store(true, Ordering::SeqCst);
    for client in clients {
        let _ = client.join();
    }

    let mut crashes: Vec<f64> = engines
        .iter()
        .flat_map(|it| it.crashes.lock().unwrap().clone())
        .collect();
    crashes.sort_by(f64::total_cmp);
    record.show(&format!("{} crashes at {crashes:.1?}", crashes.len()));
    record.show(&format!(
        "the request that crashes engines: {}",
        tally(&fatal)
    ));
    record.show(&format!(
        "sound requests (0: broken off): {}",
        tally(&sound.lock().unwrap())
    ));
    if !trouble {
        return Some(fatal.iter().all(|status| *status == 200));
    }
    let Some(third) = crashes.get(CRASHES - 1) else {
        return Some(true);
    };
    let from = third + BOUNDS.contact_ms as f64 / 1_000.0;
    let runs = engines
        .iter()
        .flat_map(|it| it.runs.lock().unwrap().clone());
    let retries = runs
        .filter(|(at, body)| *at > from && body == FATAL)
        .count();
    record.show(&format!(
        "later than {} ms after the third crash, it reached engines {retries} times",
        BOUNDS.contact_ms
    ));
    Some(retries <= EXCUSED)
}
