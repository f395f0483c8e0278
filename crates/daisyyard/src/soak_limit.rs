//! The limit that endpoints state in a soak, and the check that gateways together keep it.

use std::net::SocketAddr;
use std::time::{Duration, Instant};

use daisyyard_standin::platform_engine::{PlatformEngine, Runs, Stated};

use crate::soak_caller::{self, Kind, Record};

/// Requests per second that an endpoint states to take.
const LIMIT: &str = "3";
/// Period to which the bound on the arrivals applies.
const PERIOD: Duration = Duration::from_secs(4);
/// Maximum number of arrivals in a period: one and a half times the limit, and 5.
const MAX_ARRIVALS: usize = 23;
/// Time after the first statement from which the bound applies.
const CONTACT_TIME: Duration = Duration::from_secs(3);
/// Time for which requests are sent to check the limit.
const CHECK_TIME: Duration = Duration::from_secs(8);
/// Pause between two requests through each gateway.
const PAUSE: Duration = Duration::from_millis(50);

/// Returns what a limited endpoint states.
pub(crate) fn stated() -> Stated {
    Stated {
        limit: Some(LIMIT),
        ..Stated::default()
    }
}

/// Lets a plain endpoint state a limit while nothing else is wrong, and returns the records of the requests
/// that were sent through the gateways, and a violation if these together exceed the limit.
pub(crate) async fn check(
    seed: u64,
    endpoint: &PlatformEngine,
    gateways: &[SocketAddr],
    runs: &Runs,
) -> (Vec<Record>, Option<String>) {
    endpoint.set_stated(stated());
    let from = Instant::now();
    let mut records = Vec::new();
    while from.elapsed() < CHECK_TIME {
        for gateway in gateways {
            let attempt = format!("s{seed}-limit-{}", records.len());
            records.push(soak_caller::send_request(*gateway, attempt, Kind::Stock).await);
        }
        tokio::time::sleep(PAUSE).await;
    }
    endpoint.set_stated(Stated::default());
    let arrivals = runs.arrivals().await;
    let arrivals = arrivals.iter().filter(|one| one.engine == endpoint.name);
    let peak = peak(arrivals.map(|one| one.at), from + CONTACT_TIME);
    let name = &endpoint.name;
    let violation = format!("{name} got {peak} requests in 4 s at a limit of {LIMIT} a second");
    (records, (peak > MAX_ARRIVALS).then_some(violation))
}

/// Returns the largest number of arrivals in one period after a time.
fn peak(arrivals: impl Iterator<Item = Instant>, from: Instant) -> usize {
    let mut times: Vec<Instant> = arrivals.filter(|at| *at >= from).collect();
    times.sort();
    let counts = times.iter().enumerate().map(|(index, first)| {
        let later = times[index..].iter();
        later.take_while(|at| **at < *first + PERIOD).count()
    });
    counts.max().unwrap_or(0)
}
