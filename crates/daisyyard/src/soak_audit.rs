//! Checks the guarantees of gateways in a soak, from the records of callers and endpoints.

use std::collections::HashMap;

use daisyyard_standin::platform_engine::Arrival;
use daisyyard_standin::platform_fixture;
use hyper::StatusCode;

use crate::soak_caller::{End, Kind, Record};

/// Maximum number of runs of an idempotent request, which may be retried at another endpoint.
const MAX_IDEMPOTENT_RUNS: usize = 2;

/// Returns all violations.
pub(crate) fn violations(records: &[Record], arrivals: &[Arrival]) -> Vec<String> {
    let mut runs: HashMap<&str, Vec<&Arrival>> = HashMap::new();
    for request in arrivals.iter().filter(|request| request.ran) {
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
    let unknown = runs
        .keys()
        .map(|attempt| format!("{attempt} ran, but no caller sent it"));
    found.extend(unknown);
    found
}

/// Returns the violations of one request, given its runs.
fn check_record(record: &Record, runs: &[&Arrival]) -> impl Iterator<Item = String> {
    // A generation that is moved to another engine continues the same run.
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
                Some(format!("received the answer of {attempt:?}"))
            } else if status.is_success() {
                check_body(record.kind, text, *complete, runs)
            } else {
                check_failure(record.kind, *status, started)
            }
        }
    };
    repeated.into_iter().chain(answered)
}

/// Checks the body of a successful answer.
fn check_body(kind: Kind, text: &str, complete: bool, runs: &[&Arrival]) -> Option<String> {
    match kind {
        Kind::Draft(events) => {
            let expected = platform_fixture::events(events);
            if complete && text != expected {
                return Some(format!("was reported complete after {} bytes", text.len()));
            }
            (!expected.starts_with(text)).then(|| "has lost or duplicate events".to_owned())
        }
        Kind::Book | Kind::Stock if !complete => None,
        Kind::Book | Kind::Stock => {
            let from_run = runs
                .iter()
                .any(|run| text == format!("whole {}", run.engine));
            (!from_run).then(|| format!("has a body that no endpoint sent for it: {text:?}"))
        }
    }
}

/// Checks the status of a failed answer. The statuses listed state that the request was not run.
fn check_failure(kind: Kind, status: StatusCode, started: usize) -> Option<String> {
    let not_run_statuses = [
        StatusCode::REQUEST_TIMEOUT,
        StatusCode::MISDIRECTED_REQUEST,
        StatusCode::TOO_MANY_REQUESTS,
        StatusCode::SERVICE_UNAVAILABLE,
    ];
    let once = kind != Kind::Stock;
    if once && started > 0 && not_run_statuses.contains(&status) {
        return Some(format!("was refused with status {status}, but ran"));
    }
    let unexpected = status.is_client_error() && !not_run_statuses.contains(&status);
    unexpected.then(|| format!("was rejected with unexpected status {status}"))
}

/// Summarises the results of all requests in one line.
pub(crate) fn summary(records: &[Record]) -> String {
    let served = |record: &&Record| record.end.is_served();
    let refused =
        |record: &&Record| matches!(record.end, End::Answer { status, .. } if !status.is_success());
    let unanswered = |record: &&Record| record.end == End::NoAnswer;
    format!(
        "{} requests: {} served, {} refused or failed, {} without an answer",
        records.len(),
        records.iter().filter(served).count(),
        records.iter().filter(refused).count(),
        records.iter().filter(unanswered).count(),
    )
}
