//! Guards against requests that wait although they cannot meet their target, and against retry
//! delays that are too short or all equal.

mod support;

use std::time::Duration;

use daisyyard_core::account::Limit;
use daisyyard_core::contract::Rank;
use daisyyard_core::ledger::{Action, Answer};
use daisyyard_core::preset::Terms;
use support::{admission_request, ledger};

/// Requests that would wait past their target are refused at once, with a retry delay that grows
/// with the queue.
#[test]
fn refuses_unreachable_target() {
    let (mut ledger, now) = ledger(4, 1 << 20);
    let mut retry_delays = Vec::new();
    for request in 0..200 {
        let expected = if request < 100 { 1_000 } else { 10_000 };
        let request = admission_request(request, request, Rank::Urgent, expected, now);
        if let Answer::Refuse { retry_after } = ledger.ask(request, now) {
            retry_delays.push(retry_after);
        }
    }
    assert!(retry_delays.len() >= 190, "{}", retry_delays.len());
    assert!(
        retry_delays
            .iter()
            .all(|delay| *delay >= Duration::from_millis(100))
    );
    assert!(retry_delays[190] > retry_delays[0] * 4, "{retry_delays:?}");
}

/// Retry delays differ, so that refused callers do not all retry at the same time.
#[test]
fn spreads_retries() {
    let (mut ledger, now) = ledger(1, 1 << 20);
    let mut retry_delays = std::collections::BTreeSet::new();
    for request in 0..50 {
        let request = admission_request(request, request, Rank::Urgent, 4_000, now);
        if let Answer::Refuse { retry_after } = ledger.ask(request, now) {
            retry_delays.insert(retry_after);
        }
    }
    assert!(retry_delays.len() > 30, "{retry_delays:?}");
}

/// A request whose deadline has passed, or whose prompt exceeds the memory, is refused at once.
#[test]
fn refuses_impossible() {
    let (mut ledger, now) = ledger(4, 1_000);
    let mut expired = admission_request(1, 1, Rank::Urgent, 10, now);
    expired.deadline = now;
    assert!(matches!(ledger.ask(expired, now), Answer::Refuse { .. }));
    let mut large = admission_request(2, 1, Rank::Urgent, 10, now);
    large.prompt = 2_000;
    assert!(matches!(ledger.ask(large, now), Answer::Refuse { .. }));
}

/// A queued request is refused at its deadline and not before.
#[test]
fn refuses_at_deadline() {
    let (mut ledger, now) = ledger(1, 100_000);
    ledger.ask(admission_request(1, 1, Rank::Deferrable, 10, now), now);
    let mut queued = admission_request(2, 1, Rank::Deferrable, 10, now);
    queued.deadline = now + Duration::from_secs(3);
    assert_eq!(ledger.ask(queued, now), Answer::Wait);
    assert!(ledger.tick(now + Duration::from_millis(2_900)).is_empty());
    let actions = ledger.tick(now + Duration::from_secs(3));
    assert!(
        matches!(actions[..], [Action::Refuse { request: 2, .. }]),
        "{actions:?}"
    );
}

/// A queued urgent request is refused no later than its first-token target, and is not granted
/// afterwards.
#[test]
fn refuses_at_target() {
    let (mut ledger, now) = ledger(1, 100_000);
    ledger.ask(admission_request(1, 1, Rank::Urgent, 10, now), now);
    assert_eq!(
        ledger.ask(admission_request(2, 1, Rank::Urgent, 10, now), now),
        Answer::Wait
    );
    let target = now + Terms::ordinary("model").urgent.first_token;
    let actions = ledger.tick(target);
    assert!(
        matches!(actions[..], [Action::Refuse { request: 2, .. }]),
        "{actions:?}"
    );
    ledger.release(1, 10, target);
    assert!(ledger.tick(target).is_empty());
}

/// The rate limit applies to each account separately, and the retry delay is long enough.
#[test]
fn limits_account() {
    let (mut ledger, now) = ledger(64, 1 << 20);
    let mut terms = Terms::ordinary("model");
    terms.limit = Limit {
        rate: 100.0,
        burst: 500.0,
    };
    ledger.set_terms(terms);
    let mut request = 0;
    let retry_after = loop {
        request += 1;
        match ledger.ask(admission_request(request, 1, Rank::Urgent, 100, now), now) {
            Answer::Refuse { retry_after } => break retry_after,
            _ => assert!(request < 10, "the limit never refuses"),
        }
    };
    assert_eq!(
        ledger.ask(admission_request(100, 2, Rank::Urgent, 100, now), now),
        Answer::Grant
    );
    let later = now + retry_after;
    assert_eq!(
        ledger.ask(admission_request(101, 1, Rank::Urgent, 100, later), later),
        Answer::Grant
    );
}
