//! All gateways but one are lost at once; the last one tells clients where to connect.

use std::path::Path;
use std::sync::Arc;
use std::thread;
use std::time::{Duration, Instant};

use crate::{Bounds, Endpoint, Gateway, Record, Store, await_ready, configuration, keep_entries};

const ZONES: [&str; 3] = ["lub-a", "lub-b", "lub-c"];
const BOUNDS: Bounds = Bounds {
    contact_ms: 4_000,
    config_ms: 3_000,
    evacuation_ms: Some(5_000),
};
/// Time after its loss from which a machine must not be named any more.
const NAMED_FOR: Duration = Duration::from_millis(BOUNDS.contact_ms + 3_000);
/// Number of answers that may name a lost machine nevertheless.
const EXCUSED: usize = 3;
const HEARTBEAT: Duration = Duration::from_millis(1_200);

pub fn run(scratch: &Path, record: &Arc<Record>, trouble: bool) -> Option<bool> {
    let store = Store::start();
    store.put("op/config", &configuration(7, 1_500));
    let endpoints: Vec<Arc<Endpoint>> = (0..3)
        .map(|index| {
            let (zone, id) = (ZONES[index], format!("i-{index:04x}"));
            Endpoint::start(&id, "ledger", zone, Duration::from_millis(30), record)
        })
        .collect();
    keep_entries(&store, &endpoints, HEARTBEAT);
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
    thread::sleep(Duration::from_secs(10));
    let all = gateways[0].resolve(ZONES[0])?;
    record.show(&format!("the directory names {all:?}"));

    let mut rest = gateways.split_off(1);
    let lost: Vec<_> = rest.iter().map(|gateway| gateway.requests).collect();
    if trouble {
        for gateway in &mut rest {
            gateway.kill();
        }
        record.show("five of six gateways are killed for good");
    }
    let lost_at = Instant::now();
    let (mut asked, mut named) = (0, 0);
    while lost_at.elapsed() < Duration::from_secs(14) {
        let since = lost_at.elapsed();
        let offered = gateways[0].resolve(ZONES[0]);
        let Some(offered) = offered else {
            record.line("the directory has not answered");
            thread::sleep(Duration::from_millis(100));
            continue;
        };
        let dead = offered
            .iter()
            .filter(|address| lost.contains(address))
            .count();
        let alive = offered.contains(&gateways[0].requests);
        record.line(&format!(
            "directory {:.2} s after the loss: {} addresses, {dead} of the five, the last one: {alive}",
            since.as_secs_f64(),
            offered.len()
        ));
        if since > NAMED_FOR {
            asked += 1;
            named += usize::from(dead > 0 && alive);
        }
        thread::sleep(Duration::from_millis(100));
    }
    record.show(&format!(
        "later than {:.1} s after the loss: {named} of {asked} answers name one of the five beside the last one",
        NAMED_FOR.as_secs_f64()
    ));
    if !trouble {
        // They run, so that naming them is right.
        return Some(asked > 0);
    }
    Some(named <= EXCUSED)
}
