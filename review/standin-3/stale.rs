//! A machine that is partitioned from all engines, and another one that is partitioned from the store.

use std::net::SocketAddr;
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use crate::Run;
use crate::endpoint::{self, DESK, Endpoint, HOST, KEY, NEW_DESK};
use crate::gateway::{Gateway, ZONES};
use crate::http;
use crate::link::Link;
use crate::store::Store;

/// `config_apply_ms`.
const APPLY: Duration = Duration::from_millis(2_000);
/// `rollback_slack_ms`.
const SLACK: Duration = Duration::from_millis(250);
/// Time for which a machine is partitioned from the store.
const CUT: Duration = Duration::from_millis(5_500);
/// Time between two bookings.
const PAUSE: Duration = Duration::from_millis(40);

pub fn play(run: &Run) -> i32 {
    let record = &run.record;
    let store = Store::start();
    store.put("op/config", &endpoint::config(3));
    // Which service ran which attempt.
    let ran: Arc<Mutex<Vec<(String, &'static str)>>> = Arc::default();
    let start = |number: usize, service: &'static str| {
        let (seen, log) = (Arc::clone(&ran), record.clone());
        let handler: Arc<endpoint::Handler> = Arc::new(move |desk, request, socket| {
            let attempt = request.header("x-daisyyard-attempt-id").to_owned();
            let headers = [
                ("x-daisyyard-attempt-id", attempt.as_str()),
                ("x-daisyyard-instance-id", desk.name.as_str()),
                ("x-daisyyard-server-signature", "3e1b.07.5a2.600.0.c9f2a4d1"),
            ];
            if request.header("x-daisyyard-expected-instance") != desk.name {
                return http::respond(socket, 421, &headers[..2], b"");
            }
            log.line(&format!("{} of {} runs {attempt}", desk.name, desk.service));
            seen.lock().unwrap().push((attempt.clone(), desk.service));
            thread::sleep(Duration::from_millis(60));
            http::respond(socket, 200, &headers, b"booked")
        });
        Endpoint::start(&format!("i-{service}-{number}"), service, ZONES[number], 6, &store, handler)
    };
    let desks: Vec<Arc<Endpoint>> =
        (0..3).flat_map(|number| [start(number, DESK), start(number, NEW_DESK)]).collect();
    let links: Vec<(SocketAddr, Link)> =
        desks.iter().map(|desk| (desk.address, Link::start(desk.address))).collect();
    let views = [
        store.view(links.iter().map(|(address, link)| (*address, link.address)).collect()),
        store.view(Vec::new()),
        store.view(Vec::new()),
    ];
    let gateways: Vec<Gateway> = views
        .iter()
        .enumerate()
        .map(|(number, view)| Gateway::start(&run.folder, number, view.address, record))
        .collect();
    thread::sleep(Duration::from_secs(4));

    let first = &gateways[0];
    let cut_at = Instant::now();
    if run.trouble {
        views[2].set_cut(true);
        record.line("frontend-2 is partitioned from the store");
    }
    thread::sleep(Duration::from_millis(300));
    let Some(acknowledged) = store.put("op/config", &endpoint::moved_config(5)) else { return 2 };
    record.line("version 5 moves the bookings to another service, and is acknowledged");
    thread::sleep(Duration::from_millis(900));
    book(run, first.requests, "first");
    let seen = ran.lock().unwrap().iter().any(|(attempt, service)| attempt == "first" && *service == NEW_DESK);
    if !seen {
        record.say("frontend-0 has not adopted version 5 in 0.9 s");
        return 2;
    }
    let seen_at = Instant::now();
    if run.trouble {
        links.iter().for_each(|(_, link)| link.cut());
        record.line("frontend-0 is partitioned from all engines");
    }
    let sent_from = (acknowledged + APPLY).max(seen_at + SLACK) + Duration::from_millis(100);
    thread::sleep(sent_from.saturating_duration_since(Instant::now()));
    let mut sent = Vec::new();
    while cut_at.elapsed() < CUT - Duration::from_millis(500) {
        let (run, address, attempt) = (run.clone(), first.requests, format!("late-{}", sent.len() + 1));
        sent.push(thread::spawn(move || book(&run, address, &attempt)));
        thread::sleep(PAUSE);
    }
    let served = sent.into_iter().filter_map(|one| one.join().ok()).filter(|status| *status == 200).count();
    views[2].set_cut(false);
    let ran = ran.lock().unwrap();
    let late = ran.iter().filter(|(attempt, _)| attempt.starts_with("late-"));
    let (old, new): (Vec<_>, Vec<_>) = late.partition(|(_, service)| *service == DESK);
    record.say(&format!(
        "bookings sent to frontend-0 later than config_apply_ms after the ack, and after it had served version 5: \
         run by the old service: {}, by the new one: {}; answered 200: {served}",
        old.len(),
        new.len()
    ));
    i32::from(!old.is_empty())
}

/// Sends a booking and returns the status of its answer.
fn book(run: &Run, address: SocketAddr, attempt: &str) -> u16 {
    let credential = format!("Bearer {KEY}");
    let headers = [
        ("host", HOST),
        ("x-daisyyard-attempt-id", attempt),
        ("x-daisyyard-deadline-ms", "1500"),
        ("authorization", credential.as_str()),
    ];
    let time = Duration::from_millis(1_500);
    let answer = http::call(address, "POST", "/book/1", &headers, b"load", time);
    run.record.line(&format!("{attempt} sent to {address}: status {}, complete {}", answer.status, answer.complete));
    answer.status
}
