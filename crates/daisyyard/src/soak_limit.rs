//! The limit that endpoints state in a soak, and the check that gateways together follow it.

use std::time::{Duration, Instant};

use daisyyard_standin::platform_engine::Stated;

/// Requests per second that an endpoint states to take.
const LIMIT: &str = "3";
/// Period to which the bound on the arrivals applies.
const PERIOD: Duration = Duration::from_secs(4);
/// Maximum number of arrivals in a period: one and a half times the limit, and 5.
const MAX_ARRIVALS: usize = 23;
/// Time after the first statement from which the bound applies.
const CONTACT_TIME: Duration = Duration::from_secs(3);
/// Time for which requests are sent to check the limit.
pub(crate) const CHECK_TIME: Duration = Duration::from_secs(8);

/// Returns what a limited endpoint states.
pub(crate) fn stated() -> Stated {
    Stated {
        limit: Some(LIMIT),
        ..Stated::default()
    }
}

/// Returns by how much arrivals exceed a limit that was first stated at a time; none if they do not.
pub(crate) fn excess(mut times: Vec<Instant>, stated_at: Instant) -> Option<String> {
    times.retain(|at| *at >= stated_at + CONTACT_TIME);
    times.sort();
    let counts = times.iter().enumerate().map(|(index, first)| {
        let later = times[index..].iter();
        later.take_while(|at| **at < *first + PERIOD).count()
    });
    let peak = counts.max().unwrap_or(0);
    (peak > MAX_ARRIVALS)
        .then(|| format!("got {peak} requests in 4 s at a limit of {LIMIT} a second"))
}
