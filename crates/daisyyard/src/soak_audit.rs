//! Checks of a soak: the promises, from what callers and endpoints have seen.

use std::collections::HashMap;

use daisyyard_standin::platform_engine::Seen;
use daisyyard_standin::platform_site;
use hyper::StatusCode;

use crate::soak_caller::{End, Kind, Record};

/// Endpoints that a request that may run again may be sent to.
const MAX_IDEMPOTENT_RUNS: usize = 2;

/// Returns every broken promise.
pub(crate) fn violations(records: &[Record], seen: &[Seen]) -> Vec<String> {
    let mut runs: HashMap<&str, Vec<&Seen>> = HashMap::new();
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
        let faults = check_record(record, &runs);
        found.extend(faults.map(|fault| format!("{} {:?}: {fault}", record.attempt, record.kind)));
    }
    let unknown = runs.keys().map(|attempt| format!("{attempt} was not sent"));
    found.extend(unknown);
    found
}

/// Returns the promises that were broken for one request.
fn check_record(record: &Record, runs: &[&Seen]) -> impl Iterator<Item = String> {
    // A run that goes on at another engine is the same run.
    let started = runs
        .iter()
        .filter(|run| !run.headers.contains_key("kv-from"));
    let started = started.count();
    let max_runs = if record.kind == Kind::Stock {
        MAX_IDEMPOTENT_RUNS
    } else {
        1
    };
    let repeated = (started > max_runs).then(|| format!("ran {started} times"));
    let answered = match &record.end {
        End::NoAnswer => None,
        End::Answer {
            status,
            attempt,
            text,
            complete,
        } => {
            let foreign = attempt.as_ref().is_some_and(|one| *one != record.attempt);
            if foreign {
                Some(format!("has the answer of {attempt:?}"))
            } else if status.is_success() {
                check_body(record.kind, text, *complete, runs)
            } else {
                check_failure(record.kind, *status, started)
            }
        }
    };
    repeated.into_iter().chain(answered)
}

/// Checks the text of a success.
fn check_body(kind: Kind, text: &str, complete: bool, runs: &[&Seen]) -> Option<String> {
    match kind {
        Kind::Draft(events) => {
            let expected = platform_site::events(events);
            if complete && text != expected {
                return Some(format!("ends as complete after {} bytes", text.len()));
            }
            (!expected.starts_with(text)).then(|| "has events that are lost or doubled".to_owned())
        }
        Kind::Book | Kind::Stock if !complete => None,
        Kind::Book | Kind::Stock => {
            let from_run = runs
                .iter()
                .any(|run| text == format!("whole {}", run.engine));
            (!from_run).then(|| format!("has a body of no endpoint that ran it: {text:?}"))
        }
    }
}

/// Checks the status of a failure.
fn check_failure(kind: Kind, status: StatusCode, started: usize) -> Option<String> {
    let not_run_statuses = [
        StatusCode::REQUEST_TIMEOUT,
        StatusCode::MISDIRECTED_REQUEST,
        StatusCode::TOO_MANY_REQUESTS,
        StatusCode::SERVICE_UNAVAILABLE,
    ];
    let once = kind != Kind::Stock;
    if once && started > 0 && not_run_statuses.contains(&status) {
        return Some(format!("was refused with {status}, but ran"));
    }
    let unexpected = status.is_client_error() && !not_run_statuses.contains(&status);
    unexpected.then(|| format!("was denied with {status}"))
}
