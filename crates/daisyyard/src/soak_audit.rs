//! Checks of a soak: the promises, from what callers and endpoints have seen.

use std::collections::HashMap;

use daisyyard_standin::platform_engine::Arrival;
use daisyyard_standin::platform_fixture;
use hyper::StatusCode;

use crate::soak_caller::{End, Kind, Record};

/// Endpoints that a request that may run again may be sent to.
const MOST_RUNS: usize = 2;

/// Returns every broken promise.
pub(crate) fn violations(records: &[Record], seen: &[Arrival]) -> Vec<String> {
    let mut runs: HashMap<&str, Vec<&Arrival>> = HashMap::new();
    for request in seen.iter().filter(|request| request.ran) {
        let attempt = request.headers.get("x-daisyyard-attempt-id");
        let attempt = attempt.and_then(|value| value.to_str().ok());
        runs.entry(attempt.unwrap_or_default())
            .or_default()
            .push(request);
    }
    let mut found = Vec::new();
    for record in records {
        let runs = runs.remove(record.attempt.as_str()).unwrap_or_default();
        let faults = check(record, &runs);
        found.extend(faults.map(|fault| format!("{} {:?}: {fault}", record.attempt, record.kind)));
    }
    let unasked = runs.keys().map(|attempt| format!("{attempt} was not sent"));
    found.extend(unasked);
    found
}

/// Returns the promises that were broken for one request.
fn check(record: &Record, runs: &[&Arrival]) -> impl Iterator<Item = String> {
    // A run that goes on at another engine is the same run.
    let begun = runs
        .iter()
        .filter(|run| !run.headers.contains_key("kv-from"));
    let begun = begun.count();
    let most = if record.kind == Kind::Stock {
        MOST_RUNS
    } else {
        1
    };
    let often = (begun > most).then(|| format!("ran {begun} times"));
    let answered = match &record.end {
        End::Nothing => None,
        End::Answer {
            status,
            attempt,
            text,
            whole,
        } => {
            let foreign = attempt.as_ref().is_some_and(|one| *one != record.attempt);
            if foreign {
                Some(format!("has the answer of {attempt:?}"))
            } else if status.is_success() {
                content(record.kind, text, *whole, runs)
            } else {
                refused(record.kind, *status, begun)
            }
        }
    };
    often.into_iter().chain(answered)
}

/// Checks the text of a success.
fn content(kind: Kind, text: &str, whole: bool, runs: &[&Arrival]) -> Option<String> {
    match kind {
        Kind::Draft(events) => {
            let all = platform_fixture::events(events);
            if whole && text != all {
                return Some(format!("ends as complete after {} bytes", text.len()));
            }
            (!all.starts_with(text)).then(|| "has events that are lost or doubled".to_owned())
        }
        Kind::Book | Kind::Stock if !whole => None,
        Kind::Book | Kind::Stock => {
            let own = runs
                .iter()
                .any(|run| text == format!("whole {}", run.engine));
            (!own).then(|| format!("has a body of no endpoint that ran it: {text:?}"))
        }
    }
}

/// Checks the status of a failure.
fn refused(kind: Kind, status: StatusCode, begun: usize) -> Option<String> {
    let promises = [
        StatusCode::REQUEST_TIMEOUT,
        StatusCode::MISDIRECTED_REQUEST,
        StatusCode::TOO_MANY_REQUESTS,
        StatusCode::SERVICE_UNAVAILABLE,
    ];
    let once = kind != Kind::Stock;
    if once && begun > 0 && promises.contains(&status) {
        return Some(format!("was refused with {status}, but ran"));
    }
    let denied = status.is_client_error() && !promises.contains(&status);
    denied.then(|| format!("was denied with {status}"))
}
