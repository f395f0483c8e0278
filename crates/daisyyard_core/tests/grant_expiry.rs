//! Guards against capacity that nodes which are gone keep, and against a new home that grants more
//! than is free.

mod support;

use std::time::{Duration, Instant};

use daisyyard_core::contract::Rank;
use daisyyard_core::ledger::{Action, Answer, GRANT_LIFETIME, Ledger};
use daisyyard_core::preset::Terms;
use daisyyard_core::zone::Zone;
use support::{admission_request, engine, ledger, load};

/// A grant expires unless progress renews it.
#[test]
fn progress_renews() {
    let (mut ledger, now) = ledger(64, 100_000);
    for request in [1, 2] {
        ledger.ask(admission_request(request, 1, Rank::Urgent, 100, now), now);
    }
    let half = now + GRANT_LIFETIME / 2;
    assert!(ledger.progress(1, 50, half));
    ledger.tick(now + GRANT_LIFETIME);
    assert_eq!(ledger.held_by(1), [1]);
    assert!(!ledger.progress(2, 50, now + GRANT_LIFETIME));
}

/// The slot of an expired grant goes to a queued request.
#[test]
fn expiry_frees() {
    let (mut ledger, now) = ledger(1, 100_000);
    assert_eq!(
        ledger.ask(admission_request(1, 1, Rank::Deferrable, 10, now), now),
        Answer::Grant
    );
    assert_eq!(
        ledger.ask(admission_request(2, 2, Rank::Deferrable, 10, now), now),
        Answer::Wait
    );
    let actions = ledger.tick(now + GRANT_LIFETIME);
    assert_eq!(
        actions,
        [Action::Grant {
            node: 1,
            request: 2
        }]
    );
}

/// A repeated admission request gets the same answer and takes no further capacity.
#[test]
fn repeated_ask() {
    let (mut ledger, now) = ledger(1, 100_000);
    for _ in 0..3 {
        assert_eq!(
            ledger.ask(admission_request(1, 1, Rank::Deferrable, 10, now), now),
            Answer::Grant
        );
        assert_eq!(
            ledger.ask(admission_request(2, 1, Rank::Deferrable, 10, now), now),
            Answer::Wait
        );
    }
    assert_eq!(
        (ledger.digest(now).running, ledger.digest(now).queued),
        (1, 1)
    );
}

/// A new home grants at most half of the free slots until its settling time is over.
#[test]
fn limits_grants_while_settling() {
    let now = Instant::now();
    let engine = engine("e", &Zone::new("a", "r"), 64, 1 << 20);
    let mut ledger = Ledger::new(&engine, Terms::ordinary("model"), now);
    ledger.report(load(now, 24, 2_000, 1 << 20, 10), now);
    for (start, granted) in [(now, 20), (now + Duration::from_secs(2), 40)] {
        ledger.tick(start);
        for request in 0..64 {
            ledger.ask(
                admission_request(request, request, Rank::Urgent, 100, start),
                start,
            );
        }
        assert_eq!(ledger.held_by(1).len(), granted);
    }
}

/// Generations that the previous home granted are restored and count as load.
#[test]
fn restores() {
    let (mut ledger, now) = ledger(2, 100_000);
    for request in [1, 2] {
        ledger.restore(
            &admission_request(request, 1, Rank::Deferrable, 10, now),
            5,
            now,
        );
    }
    assert_eq!(ledger.held_by(1), [1, 2]);
    assert_eq!(
        ledger.ask(admission_request(3, 1, Rank::Deferrable, 10, now), now),
        Answer::Wait
    );
    ledger.release(1, 10, now);
    assert_eq!(
        ledger.tick(now),
        [Action::Grant {
            node: 1,
            request: 3
        }]
    );
}
