//! Guards against wrong limits on the time that a request waits at each engine that it asks.

use std::time::Duration;

use daisyyard_core::contract::{Contract, Rank};
use daisyyard_core::route::{MAX_ENGINES_ASKED, max_wait};

/// Returns the waits of a request that asks each engine when its wait at the one before ends.
fn waits(contract: &Contract, rank: Rank) -> Vec<Duration> {
    let mut asked_at = Duration::ZERO;
    let next = |nth| {
        asked_at = max_wait(contract, rank, nth, asked_at);
        asked_at
    };
    (0..MAX_ENGINES_ASKED).map(next).collect()
}

/// An urgent request leaves each engine but the last in time to ask the next one. At the last one
/// it waits for most of its first-token target, but not beyond it.
#[test]
fn urgent_asks_others_in_time() {
    let contract = Contract::ordinary(Rank::Urgent);
    let waits = waits(&contract, Rank::Urgent);
    assert!(waits.is_sorted_by(|one, two| one < two));
    assert!(waits[MAX_ENGINES_ASKED - 2] < contract.first_token);
    let last = waits[MAX_ENGINES_ASKED - 1];
    assert!(last < contract.first_token);
    assert!(last > contract.first_token.mul_f64(0.9));
}

/// A request that is delayed until after its turn at the second engine still waits there, with half
/// of the time that is left, and leaves the other half to the third.
#[test]
fn late_turn_keeps_time() {
    let contract = Contract::ordinary(Rank::Urgent);
    let asked_at = contract.first_token.mul_f64(0.6);
    let until = max_wait(&contract, Rank::Urgent, 1, asked_at);
    let last = max_wait(&contract, Rank::Urgent, 2, until);
    assert!(until > asked_at, "no time is left at the second engine");
    let third = last.saturating_sub(until);
    let difference = third.abs_diff(until.saturating_sub(asked_at));
    assert!(difference < Duration::from_millis(1), "{difference:?}");
    assert!(last < contract.first_token);
}

/// A deferrable request may wait for its whole queue timeout at each engine, so that it keeps its
/// position in the queue.
#[test]
fn deferrable_keeps_position() {
    let contract = Contract::ordinary(Rank::Deferrable);
    for nth in 0..MAX_ENGINES_ASKED {
        assert_eq!(
            max_wait(&contract, Rank::Deferrable, nth, Duration::ZERO),
            contract.queue_timeout
        );
    }
}
