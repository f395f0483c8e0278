//! Many users come at once, and their drafts have bodies as long as the limits allow. The memory of a
//! gateway has a limit, at which the platform kills the process and starts it again.

use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::time::{Duration, Instant};

use crate::engine::{Engine, Habits};
use crate::fleet::{self, Gateway};
use crate::http::{self, Channel};
use crate::{Setting, Verdict};

/// Limit on the memory of a machine, as in the settings of the deployment.
const MEMORY_BYTES: u64 = 110 << 20;
/// Longest body, as in the configuration.
const BODY_BYTES: usize = 4_194_304;
const GATEWAYS: usize = 3;
const ENGINES: usize = 11;
const EVENTS: u64 = 233;
const GAP: Duration = Duration::from_millis(28);
/// Time until the first event: a prompt of 3,079 tokens at 14 a ms, beside other runs.
const FIRST: Duration = Duration::from_millis(400);
/// Time between two drafts: 4.24 a second.
const PAUSE: Duration = Duration::from_millis(236);
/// Time between two origin checks: 5.92 a second. Their bodies are as on the sheet.
const CHECK_PAUSE: Duration = Duration::from_millis(169);
const CHECK_BYTES: usize = 2_900;
/// The burst: times the usual number of drafts, and its length.
const BURST: f64 = 2.6;
const LENGTH: Duration = Duration::from_millis(5_900);
/// Time of the usual traffic before the burst and after it.
const USUAL: Duration = Duration::from_secs(10);
/// Number of requests on kept channels that may be passed on and never answered.
const MAX_LOST: usize = 3;
/// Clients of the ledger, and the time between two requests of each; together about 42 a second.
const LEDGER_CLIENTS: usize = 24;
const LEDGER_PAUSE: Duration = Duration::from_millis(540);
const RESTART: Duration = Duration::from_millis(300);

/// What the clients have seen.
#[derive(Default)]
struct Counts {
    drafts: AtomicUsize,
    whole: AtomicUsize,
    refused: AtomicUsize,
    /// Requests that were passed on and got no byte of an answer: drafts, origin checks and those of
    /// the ledger.
    lost_drafts: AtomicUsize,
    lost_checks: AtomicUsize,
    lost_short: AtomicUsize,
    /// Streams that were broken off after their head.
    broken_off: AtomicUsize,
}

pub fn play(setting: &Setting) -> Verdict {
    let record = &setting.record;
    let start = |service: &str, number: usize| {
        let plain = service == "libro-socios";
        let habits = Habits {
            service: service.to_owned(),
            zone: ["costa-a", "costa-b", "costa-c"][number % 3].to_owned(),
            slots: if plain { 6 } else { 24 },
            stream: (!plain).then_some((EVENTS, GAP)),
            queue: FIRST,
            late_head: true,
            work: Duration::from_millis(30),
        };
        let id = format!("i-{}{number}", if plain { "plain" } else { "model" });
        Engine::start(&id, habits, &setting.store, &setting.seen, record)
    };
    let _plain: Vec<_> = (0..3).map(|number| start("libro-socios", number)).collect();
    let _engines: Vec<_> = (0..ENGINES).map(|number| start("asistente", number)).collect();
    let gateways: Vec<Gateway> = (0..GATEWAYS)
        .map(|number| Gateway::start(number, &setting.store, &setting.folder, record))
        .collect();
    if !gateways.iter().all(Gateway::wait_until_ready) {
        return Verdict::Unable("a gateway did not become ready");
    }
    std::thread::sleep(Duration::from_secs(4));
    let addresses: Vec<_> = gateways.iter().map(|gateway| gateway.requests).collect();
    let ended = AtomicBool::new(false);
    let sent_all = AtomicBool::new(false);
    let peak = AtomicUsize::new(0);
    let counts = Counts::default();
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
        let (counts, sent_all) = (&counts, &sent_all);
        let ledger: Vec<_> = (0..LEDGER_CLIENTS)
            .map(|client| {
                let address = addresses[client % GATEWAYS];
                scope.spawn(move || {
                    std::thread::sleep(LEDGER_PAUSE / LEDGER_CLIENTS as u32 * client as u32);
                    let mut number = 0;
                    while !sent_all.load(Ordering::Acquire) {
                        use_ledger(setting, address, client, &mut number, (counts, sent_all));
                        std::thread::sleep(LEDGER_PAUSE);
                    }
                })
            })
            .collect();
        let addresses = &addresses;
        let checks = scope.spawn(move || {
            let mut number = 0;
            while !sent_all.load(Ordering::Acquire) {
                std::thread::sleep(CHECK_PAUSE);
                number += 1;
                let address = addresses[number % GATEWAYS];
                scope.spawn(move || check(setting, address, number, counts));
            }
        });
        let started = Instant::now();
        let mut clients = Vec::new();
        while started.elapsed() < USUAL + LENGTH + USUAL {
            let elapsed = started.elapsed();
            let many = setting.trouble && elapsed >= USUAL && elapsed < USUAL + LENGTH;
            std::thread::sleep(if many { PAUSE.div_f64(BURST) } else { PAUSE });
            let number = clients.len();
            let address = addresses[number % GATEWAYS];
            clients.push(scope.spawn(move || draft(setting, address, number, counts)));
        }
        for client in clients {
            let _ = client.join();
        }
        sent_all.store(true, Ordering::Release);
        for client in ledger {
            let _ = client.join();
        }
        let _ = checks.join();
        ended.store(true, Ordering::Release);
        for one in platform {
            kills.push(one.join().unwrap_or(0));
        }
    });
    let count = |number: &AtomicUsize| number.load(Ordering::Acquire);
    let lost =
        count(&counts.lost_drafts) + count(&counts.lost_checks) + count(&counts.lost_short);
    record.say(&format!(
        "most memory {} MB of {} MB; processes of the machines killed {kills:?} times; {} drafts, {} whole, {} refused, {} broken off after their head; {lost} requests on kept channels ({} drafts, {} origin checks, {} of the ledger) were run and got no answer",
        count(&peak) >> 20,
        MEMORY_BYTES >> 20,
        count(&counts.drafts),
        count(&counts.whole),
        count(&counts.refused),
        count(&counts.broken_off),
        count(&counts.lost_drafts),
        count(&counts.lost_checks),
        count(&counts.lost_short),
    ));
    if lost > MAX_LOST {
        Verdict::Broken
    } else {
        Verdict::Held
    }
}

/// Asks for a draft on a channel that is kept from a short request.
fn draft(setting: &Setting, address: std::net::SocketAddr, number: usize, counts: &Counts) {
    let Some(mut channel) = open_kept(address, &format!("{:08x}{number:08x}", 1)) else {
        return;
    };
    let record = &setting.record;
    let id = format!("{:08x}{number:08x}", 2);
    let request = fleet::request("POST", "customs-draft", &id, 39_000, vec![b'p'; BODY_BYTES]);
    record.line(&format!("client sends draft {id}"));
    counts.drafts.fetch_add(1, Ordering::AcqRel);
    let Some(status) = open_stream(setting, &mut channel, &request, &id, &counts.lost_drafts) else {
        return;
    };
    if status != 200 {
        counts.refused.fetch_add(1, Ordering::AcqRel);
        return;
    }
    let whole = read_rest(&mut channel);
    record.line(&format!("client has the stream of {id}, whole: {whole}"));
    let counter = if whole { &counts.whole } else { &counts.broken_off };
    counter.fetch_add(1, Ordering::AcqRel);
}

/// Asks for an origin check on such a channel.
fn check(setting: &Setting, address: std::net::SocketAddr, number: usize, counts: &Counts) {
    let Some(mut channel) = open_kept(address, &format!("{:08x}{number:08x}", 3)) else {
        return;
    };
    let id = format!("{:08x}{number:08x}", 4);
    let request = fleet::request("POST", "origin-check", &id, 6_000, vec![b'c'; CHECK_BYTES]);
    setting.record.line(&format!("client sends check {id}"));
    if open_stream(setting, &mut channel, &request, &id, &counts.lost_checks).is_some() {
        read_rest(&mut channel);
    }
}

/// Opens a channel and gets one short answer on it.
fn open_kept(address: std::net::SocketAddr, id: &str) -> Option<Channel> {
    let mut channel = Channel::open(address, Duration::from_secs(16)).ok()?;
    let short = fleet::request("GET", "ledger-read", id, 1_500, Vec::new());
    channel.call(&short).ok()?;
    Some(channel)
}

/// Sends a request for a stream and returns the status of its answer; none if the channel ends without
/// one.
fn open_stream(
    setting: &Setting,
    channel: &mut Channel,
    request: &http::Message,
    id: &str,
    lost: &AtomicUsize,
) -> Option<u16> {
    let record = &setting.record;
    let Ok(head) = channel.send(request) else {
        record.line(&format!("client gets no answer to {id}"));
        if has_run(setting, id) {
            record.line(&format!("BROKEN: {id} runs and gets no answer"));
            lost.fetch_add(1, Ordering::AcqRel);
        }
        return None;
    };
    if head.status() != 200 {
        record.line(&format!("client gets {} for {id}", head.status()));
    }
    Some(head.status())
}

/// Reads a stream to its end; returns whether it is whole.
fn read_rest(channel: &mut Channel) -> bool {
    loop {
        match http::read_chunk(&mut channel.reader) {
            Ok(Some(_)) => {}
            Ok(None) => return true,
            Err(_) => return false,
        }
    }
}

/// Sends payments on one channel until it breaks.
fn use_ledger(
    setting: &Setting,
    address: std::net::SocketAddr,
    client: usize,
    number: &mut usize,
    (counts, sent_all): (&Counts, &AtomicBool),
) {
    let record = &setting.record;
    let Ok(mut channel) = Channel::open(address, Duration::from_secs(3)) else {
        return;
    };
    let mut kept = false;
    while !sent_all.load(Ordering::Acquire) {
        *number += 1;
        let id = format!("{:08x}{number:08x}", 0x1000 + client);
        let payment = fleet::request("POST", "ledger-post", &id, 1_500, b"payment".to_vec());
        if channel.call(&payment).is_err() {
            if kept && has_run(setting, &id) {
                record.line(&format!("BROKEN: {id} runs and gets no answer"));
                counts.lost_short.fetch_add(1, Ordering::AcqRel);
            }
            return;
        }
        kept = true;
        std::thread::sleep(LEDGER_PAUSE);
    }
}

/// Returns whether a server has begun to run an attempt.
fn has_run(setting: &Setting, attempt: &str) -> bool {
    let arrivals = setting.seen.arrivals.lock().unwrap();
    let mut arrivals = arrivals.iter();
    arrivals.any(|one| one.attempt == attempt && one.ran)
}
