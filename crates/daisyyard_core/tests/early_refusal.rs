//! Guards against requests that wait although they cannot meet their target, and against useless
//! retry times.

mod support;

use std::time::Duration;

use daisyyard_core::account::Limit;
use daisyyard_core::contract::Rank;
use daisyyard_core::ledger::{Action, Answer};
use daisyyard_core::preset::Terms;
use support::{ask, ledger};

/// A queue longer than the target allows is refused at once, with a time that grows with it.
#[test]
fn refuses_hopeless() {
    let (mut ledger, now) = ledger(4, 1 << 20);
    let mut waits = Vec::new();
    for request in 0..200 {
        let expected = if request < 100 { 1_000 } else { 10_000 };
        let ask = ask(request, request, Rank::Urgent, expected, now);
        if let Answer::Refuse { retry_after } = ledger.ask(ask, now) {
            waits.push(retry_after);
        }
    }
    assert!(waits.len() >= 190, "{}", waits.len());
    assert!(waits.iter().all(|wait| *wait >= Duration::from_millis(100)));
    assert!(waits[190] > waits[0] * 4, "{waits:?}");
}

/// Refused callers do not all return at the same time.
#[test]
fn spreads_retries() {
    let (mut ledger, now) = ledger(1, 1 << 20);
    let mut waits = std::collections::BTreeSet::new();
    for request in 0..50 {
        let ask = ask(request, request, Rank::Urgent, 4_000, now);
        if let Answer::Refuse { retry_after } = ledger.ask(ask, now) {
            waits.insert(retry_after);
        }
    }
    assert!(waits.len() > 30, "{waits:?}");
}

/// A request whose deadline has passed, or whose prompt cannot fit, never waits.
#[test]
fn refuses_impossible() {
    let (mut ledger, now) = ledger(4, 1_000);
    let mut late = ask(1, 1, Rank::Urgent, 10, now);
    late.deadline = now;
    assert!(matches!(ledger.ask(late, now), Answer::Refuse { .. }));
    let mut large = ask(2, 1, Rank::Urgent, 10, now);
    large.prompt = 2_000;
    assert!(matches!(ledger.ask(large, now), Answer::Refuse { .. }));
}

/// A request that waits is refused by its deadline and not before.
#[test]
fn refuses_at_deadline() {
    let (mut ledger, now) = ledger(1, 100_000);
    ledger.ask(ask(1, 1, Rank::Deferrable, 10, now), now);
    let mut waits = ask(2, 1, Rank::Deferrable, 10, now);
    waits.deadline = now + Duration::from_secs(3);
    assert_eq!(ledger.ask(waits, now), Answer::Wait);
    assert!(ledger.tick(now + Duration::from_millis(2_900)).is_empty());
    let next = ledger.tick(now + Duration::from_secs(3));
    assert!(
        matches!(next[..], [Action::Refuse { request: 2, .. }]),
        "{next:?}"
    );
}

/// Urgent work that waits is refused while its first token could still come in time, and is not
/// granted after that.
#[test]
fn refuses_at_target() {
    let (mut ledger, now) = ledger(1, 100_000);
    ledger.ask(ask(1, 1, Rank::Urgent, 10, now), now);
    assert_eq!(
        ledger.ask(ask(2, 1, Rank::Urgent, 10, now), now),
        Answer::Wait
    );
    let late = now + Terms::ordinary("model").urgent.first_token;
    let next = ledger.tick(late);
    assert!(
        matches!(next[..], [Action::Refuse { request: 2, .. }]),
        "{next:?}"
    );
    ledger.release(1, 10, late);
    assert!(ledger.tick(late).is_empty());
}

/// The rate limit refuses one account and no other, and says when it has tokens again.
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
    let refused = loop {
        request += 1;
        match ledger.ask(ask(request, 1, Rank::Urgent, 100, now), now) {
            Answer::Refuse { retry_after } => break retry_after,
            _ => assert!(request < 10, "the limit never refuses"),
        }
    };
    assert_eq!(
        ledger.ask(ask(100, 2, Rank::Urgent, 100, now), now),
        Answer::Grant
    );
    let later = now + refused;
    assert_eq!(
        ledger.ask(ask(101, 1, Rank::Urgent, 100, later), later),
        Answer::Grant
    );
}
