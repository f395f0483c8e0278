//! Random changes of the configuration beside random faults of gateways, their ways to the store and the store.

use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use crate::Run;
use crate::endpoint::{self, DESK, Endpoint, HOST, KEY};
use crate::gateway::{Gateway, ZONES};
use crate::http;
use crate::store::Store;

/// `config_apply_ms` and `contact_ms`, with a margin for this process.
const APPLY: Duration = Duration::from_millis(2_050);
const CONTACT: Duration = Duration::from_millis(3_000);

struct Random(u64);

impl Random {
    fn below(&mut self, limit: u64) -> u64 {
        self.0 = self.0.wrapping_mul(6364136223846793005).wrapping_add(1442695040888963407);
        (self.0 >> 33) % limit
    }
}

struct Known {
    number: u64,
    added: Instant,
    removed: Option<Instant>,
}

pub fn play(run: &Run) -> i32 {
    let record = &run.record;
    let env = |name: &str, default: u64| std::env::var(name).ok().and_then(|it| it.parse().ok()).unwrap_or(default);
    let (seed, seconds, count) = (env("SEED", 1), env("FOR", 60), env("GATEWAYS", 6) as usize);
    let mut random = Random(seed.wrapping_mul(7919) + 17);
    let store = Store::start();
    store.set_old(Duration::from_millis(env("OLD", 0)));
    store.put("op/config", &endpoint::changing_config(3, &[], &[]));
    let _desks: Vec<Arc<Endpoint>> = (0..3)
        .map(|number| {
            let name = format!("i-desk-{number}");
            Endpoint::start(&name, DESK, ZONES[number], 6, &store, endpoint::sound_desk(record))
        })
        .collect();
    let views: Vec<_> = (0..count).map(|_| store.view(Vec::new())).collect();
    let mut gateways: Vec<Gateway> = views
        .iter()
        .enumerate()
        .map(|(number, view)| Gateway::start(&run.folder, number, view.address, record))
        .collect();
    thread::sleep(Duration::from_secs(4));
    let addresses: Vec<_> = gateways.iter().map(|gateway| gateway.requests).collect();
    // Until when each gateway, and the store, was disturbed.
    let disturbed: Arc<Mutex<Vec<Instant>>> = Arc::new(Mutex::new(vec![Instant::now(); count + 1]));
    let routes: Arc<Mutex<Vec<Known>>> = Arc::default();
    let keys: Arc<Mutex<Vec<Known>>> = Arc::default();
    let (over, found) = (Arc::new(AtomicBool::new(false)), Arc::new(Mutex::new(0)));
    let probes: Vec<_> = (0..8u64)
        .map(|worker| {
            let (run, addresses, disturbed) = (run.clone(), addresses.clone(), Arc::clone(&disturbed));
            let (routes, keys, over, found) =
                (Arc::clone(&routes), Arc::clone(&keys), Arc::clone(&over), Arc::clone(&found));
            thread::spawn(move || {
                let mut random = Random(seed * 1000 + worker);
                let mut sent = 0;
                while !over.load(Ordering::SeqCst) {
                    thread::sleep(Duration::from_millis(10 + random.below(20)));
                    let pick = |random: &mut Random, known: &Mutex<Vec<Known>>| {
                        let known = known.lock().unwrap();
                        let now = Instant::now();
                        let current: Vec<u64> = known
                            .iter()
                            .filter(|it| now > it.added + APPLY && it.removed.is_none())
                            .map(|it| it.number)
                            .collect();
                        (!current.is_empty()).then(|| {
                            let newest = current.len().saturating_sub(3);
                            current[newest + random.below((current.len() - newest) as u64) as usize]
                        })
                    };
                    let route = pick(&mut random, &routes);
                    let key = pick(&mut random, &keys).filter(|_| random.below(2) == 0);
                    let gateway = random.below(addresses.len() as u64) as usize;
                    let sent_at = Instant::now();
                    sent += 1;
                    let attempt = format!("p{worker}-{sent}");
                    let credential = key.map_or(format!("Bearer {KEY}"), |key| format!("Bearer key{key}"));
                    let path = route.map_or("/stock/1".to_owned(), |route| format!("/r{route}/1"));
                    let headers = [
                        ("host", HOST),
                        ("x-daisyyard-attempt-id", attempt.as_str()),
                        ("x-daisyyard-deadline-ms", "1500"),
                        ("authorization", credential.as_str()),
                    ];
                    let time = Duration::from_millis(1_500);
                    let answer = http::call(addresses[gateway], "GET", &path, &headers, b"", time);
                    if matches!(answer.status, 401 | 404) {
                        let removed = |known: &Mutex<Vec<Known>>, number: Option<u64>| {
                            let known = known.lock().unwrap();
                            number.is_some_and(|number| {
                                known.iter().any(|it| it.number == number && it.removed.is_some())
                            })
                        };
                        if removed(&routes, route) || removed(&keys, key) {
                            continue;
                        }
                        let disturbed = disturbed.lock().unwrap();
                        let (own, core) = (disturbed[gateway], disturbed[disturbed.len() - 1]);
                        let calm = sent_at > own + CONTACT && sent_at > core + CONTACT;
                        run.record.line(&format!(
                            "{attempt} {path} key {key:?} at frontend-{gateway}: {} in touch: {calm}",
                            answer.status
                        ));
                        if calm {
                            *found.lock().unwrap() += 1;
                        }
                    }
                }
                sent
            })
        })
        .collect();
    let end = Instant::now() + Duration::from_secs(seconds);
    let (mut version, mut next_change, mut next_fault) = (3, Instant::now(), Instant::now());
    let mut heal: Vec<(Instant, usize, &str)> = Vec::new();
    while Instant::now() < end {
        thread::sleep(Duration::from_millis(5));
        let now = Instant::now();
        let due: Vec<_> = heal.iter().filter(|(at, ..)| *at <= now).cloned().collect();
        heal.retain(|(at, ..)| *at > now);
        for (_, which, what) in due {
            match what {
                "cut" => views[which].set_cut(false),
                "stop" => gateways[which].signal("-CONT"),
                _ => store.return_unchanged(),
            }
            disturbed.lock().unwrap()[which] = Instant::now();
            record.line(&format!("{which}: {what} ends"));
        }
        for (_, which, _) in &heal {
            disturbed.lock().unwrap()[*which] = now;
        }
        if now >= next_change {
            next_change = now + Duration::from_millis(150 + random.below(1_500));
            version += 1 + random.below(5);
            let (mut routes, mut keys) = (routes.lock().unwrap(), keys.lock().unwrap());
            let (old_routes, old_keys): (Vec<u64>, Vec<u64>) = (
                routes.iter().filter(|it| it.removed.is_none()).map(|it| it.number).collect(),
                keys.iter().filter(|it| it.removed.is_none()).map(|it| it.number).collect(),
            );
            let keep = |numbers: &[u64]| numbers.iter().rev().take(6).copied().collect::<Vec<u64>>();
            let (mut new_routes, mut new_keys) = (keep(&old_routes), keep(&old_keys));
            for (known, kept) in [(&mut *routes, &new_routes), (&mut *keys, &new_keys)] {
                for it in known.iter_mut().filter(|it| it.removed.is_none() && !kept.contains(&it.number)) {
                    it.removed = Some(now);
                }
            }
            new_routes.push(version);
            new_keys.push(version);
            let text = endpoint::changing_config(version, &new_routes, &new_keys);
            if let Some(added) = store.put("op/config", &text) {
                routes.push(Known { number: version, added, removed: None });
                keys.push(Known { number: version, added, removed: None });
                record.line(&format!("version {version} acknowledged"));
            }
        }
        if run.trouble && now >= next_fault {
            next_fault = now + Duration::from_millis(400 + random.below(2_500));
            let which = random.below(count as u64) as usize;
            let busy = heal.iter().any(|(_, it, _)| *it == which);
            let time = Duration::from_millis(300 + random.below(5_000));
            let kind = random.below(10);
            match kind {
                0..=3 if !busy => {
                    views[which].set_cut(true);
                    heal.push((now + time, which, "cut"));
                    record.line(&format!("{which}: cut from the store for {time:?}"));
                }
                4..=5 if !busy => {
                    gateways[which].signal("-STOP");
                    heal.push((now + time.min(Duration::from_millis(3_500)), which, "stop"));
                    record.line(&format!("{which}: stopped"));
                }
                6..=8 if !busy => {
                    gateways[which].restart();
                    disturbed.lock().unwrap()[which] = Instant::now();
                    record.line(&format!("{which}: killed and started"));
                }
                9 if !heal.iter().any(|(_, it, _)| *it == count) => {
                    store.go_away();
                    heal.push((now + time.min(Duration::from_millis(3_000)), count, "away"));
                    record.line("the store is away");
                }
                _ => {}
            }
        }
    }
    over.store(true, Ordering::SeqCst);
    for (_, which, what) in heal {
        if what == "stop" {
            gateways[which].signal("-CONT");
        }
    }
    let sent: usize = probes.into_iter().filter_map(|one| one.join().ok()).sum();
    let found = *found.lock().unwrap();
    record.say(&format!("seed {seed}: probes: {sent}; refused in touch as only an older version allows: {found}"));
    i32::from(found > 0)
}
