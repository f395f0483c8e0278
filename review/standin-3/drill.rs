//! A store that comes back from an older copy, in which an endpoint that leaves is still ready.

use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use crate::Run;
use crate::endpoint::{self, DESK, Endpoint, HOST, KEY};
use crate::gateway::{Gateway, ZONES};
use crate::http;

/// Bound on requests to an endpoint that leaves (`drain_ms`).
const DRAIN: Duration = Duration::from_millis(2_000);
/// Time of a booking: between the mean of 60 ms and the longest of 450 ms.
const WORK: Duration = Duration::from_millis(400);
/// Time from the report of an endpoint that it drains until it ends: `drain_ms` and some seconds.
const LINGER: Duration = Duration::from_millis(5_550);
/// Time for which the store is away.
const AWAY: Duration = Duration::from_millis(950);
/// Time between two bookings once work has picked up.
const BUSY: Duration = Duration::from_millis(33);
/// Time between two bookings while it is quiet.
const QUIET: Duration = Duration::from_millis(250);

struct Arrival {
    at: Instant,
    endpoint: String,
    attempt: String,
    done: Option<Instant>,
}

pub fn play(run: &Run) -> i32 {
    let record = &run.record;
    let store = crate::store::Store::start();
    store.put("op/config", &endpoint::config(3));
    let arrivals: Arc<Mutex<Vec<Arrival>>> = Arc::default();
    let seen = Arc::clone(&arrivals);
    let log = record.clone();
    let handler: Arc<endpoint::Handler> = Arc::new(move |endpoint, request, socket| {
        let attempt = request.header("x-daisyyard-attempt-id").to_owned();
        let mut headers = vec![
            ("x-daisyyard-attempt-id", attempt.as_str()),
            ("x-daisyyard-instance-id", endpoint.name.as_str()),
        ];
        if endpoint.is_draining() {
            headers.push(("server-leaving", "1"));
        }
        if request.header("x-daisyyard-expected-instance") != endpoint.name {
            return http::respond(socket, 421, &headers, b"");
        }
        log.line(&format!("{} runs {attempt}", endpoint.name));
        let index = {
            let mut all = seen.lock().unwrap();
            all.push(Arrival {
                at: Instant::now(),
                endpoint: endpoint.name.clone(),
                attempt: attempt.clone(),
                done: None,
            });
            all.len() - 1
        };
        thread::sleep(WORK);
        if !endpoint.is_alive() {
            return Ok(());
        }
        headers.push(("x-daisyyard-server-signature", "3e1b.07.5a2.600.0.c9f2a4d1"));
        http::respond(socket, 200, &headers, b"booked")?;
        seen.lock().unwrap()[index].done = Some(Instant::now());
        Ok(())
    });
    let desks: Vec<Arc<Endpoint>> = (0..3)
        .map(|number| {
            let name = format!("i-desk-{number}");
            Endpoint::start(&name, DESK, ZONES[number], 6, &store, Arc::clone(&handler))
        })
        .collect();
    let gateways: Vec<Gateway> =
        (0..3).map(|number| Gateway::start(&run.folder, number, store.address, record)).collect();
    // All know each other, and the core has been stable for `contact_ms`.
    thread::sleep(Duration::from_secs(4));

    let mut number = 0;
    let mut quiet = |time: Duration| {
        let end = Instant::now() + time;
        while Instant::now() < end {
            number += 1;
            let gateway = &gateways[number % gateways.len()];
            book(run, gateway, &format!("quiet-{number}"));
            thread::sleep(QUIET);
        }
    };
    quiet(Duration::from_secs(3));
    // No booking is in progress here.
    let leaving = &desks[1];
    leaving.wait_for_beat();
    store.take_copy();
    let copied = Instant::now();
    record.line("a copy of the store is taken");
    let Some(acknowledged) = leaving.drain() else {
        record.say("the store did not acknowledge that the endpoint drains");
        return 2;
    };
    record.line(&format!("{} reports draining, the store has acknowledged it", leaving.name));
    quiet(Duration::from_millis(2_300));
    let after_bound = acknowledged + DRAIN;
    // A heartbeat falls into the time in which the store is away; the next one comes 1.15 s after its return.
    leaving.wait_for_beat();
    thread::sleep(Duration::from_millis(300));
    if run.trouble {
        store.go_away();
        record.line("the store is away");
    }
    thread::sleep(AWAY);
    if run.trouble {
        store.come_back();
        let age = copied.elapsed().as_secs_f64();
        record.line(&format!("the store is back from a copy that is {age:.1} s old"));
    }
    // Work picks up: ten bookings a second at each gateway.
    let exit_at = acknowledged + LINGER;
    let busy_until = Instant::now() + Duration::from_secs(3);
    let exit = {
        let (leaving, record) = (Arc::clone(leaving), record.clone());
        thread::spawn(move || {
            thread::sleep(exit_at.saturating_duration_since(Instant::now()));
            leaving.end();
            leaving.unlist();
            record.line(&format!("{} has ended {} ms after its report", leaving.name, LINGER.as_millis()));
        })
    };
    let mut sent = Vec::new();
    while Instant::now() < busy_until {
        for gateway in &gateways {
            let (run, address) = (run.clone(), gateway.requests);
            let attempt = format!("busy-{}", sent.len() + 1);
            sent.push(thread::spawn(move || book_at(&run, address, &attempt)));
            thread::sleep(BUSY);
        }
    }
    let _ = exit.join();
    let lost = sent.into_iter().filter_map(|one| one.join().ok()).filter(|answered| !answered).count();

    let arrivals = arrivals.lock().unwrap();
    let at_leaving = arrivals.iter().filter(|arrival| arrival.endpoint == leaving.name);
    let late: Vec<&Arrival> = at_leaving.filter(|arrival| arrival.at > after_bound).collect();
    let cut = late.iter().filter(|arrival| arrival.done.is_none()).count();
    for arrival in &late {
        let after = arrival.at.duration_since(acknowledged).as_secs_f64();
        record.line(&format!(
            "late: {} reached {} {after:.3} s after the report was acknowledged, answered: {}",
            arrival.attempt,
            arrival.endpoint,
            arrival.done.is_some()
        ));
    }
    record.say(&format!(
        "requests to {} later than 2 s after it was acknowledged that it leaves: {}; of these cut off by its \
         end: {cut}; bookings without a complete answer or a promise: {lost}; all: {}",
        leaving.name,
        late.len(),
        arrivals.len()
    ));
    i32::from(!late.is_empty())
}

fn book(run: &Run, gateway: &Gateway, attempt: &str) -> bool {
    book_at(run, gateway.requests, attempt)
}

/// Sends a booking; returns whether it was answered with success or a promise.
fn book_at(run: &Run, address: std::net::SocketAddr, attempt: &str) -> bool {
    let credential = format!("Bearer {KEY}");
    let headers = [
        ("host", HOST),
        ("x-daisyyard-attempt-id", attempt),
        ("x-daisyyard-deadline-ms", "1500"),
        ("authorization", credential.as_str()),
    ];
    let time = Duration::from_millis(1_500);
    let answer = http::call(address, "POST", "/book/1", &headers, b"load", time);
    let (status, complete) = (answer.status, answer.complete);
    run.record.line(&format!("{attempt} sent to {address}: status {status}, complete {complete}"));
    complete && matches!(status, 200 | 429 | 503)
}
