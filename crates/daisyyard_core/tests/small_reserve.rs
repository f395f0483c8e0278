//! Guards against an engine that is so full of urgent requests of one account that others wait.

mod support;

use daisyyard_core::contract::Rank;
use daisyyard_core::ledger::Answer;
use support::{admission_request, ledger};

/// Account that demands far more than the others.
const LARGE: u64 = 1;

/// An account far above an equal share cannot use the reserve. An account below its share is
/// granted at once, before the waiting requests of the large one.
#[test]
fn large_leaves_room() {
    let (mut ledger, now) = ledger(64, 1 << 20);
    for small in 2..7 {
        ledger.ask(admission_request(small, small, Rank::Urgent, 100, now), now);
        ledger.release(small, 100, now);
    }
    let waited = (100..200).any(|request| {
        let request = admission_request(request, LARGE, Rank::Urgent, 100, now);
        ledger.ask(request, now) == Answer::Wait
    });
    assert!(waited);
    assert!(ledger.tick(now).is_empty());
    let answer = ledger.ask(admission_request(1_000, 2, Rank::Urgent, 100, now), now);
    assert_eq!(answer, Answer::Grant);
}

/// Without other active accounts there is no reserve.
#[test]
fn alone_fills_engine() {
    let (mut ledger, now) = ledger(64, 1 << 20);
    let granted = (0..100).filter(|request| {
        let request = admission_request(*request, LARGE, Rank::Urgent, 100, now);
        ledger.ask(request, now) == Answer::Grant
    });
    assert_eq!(granted.count(), 64);
}
