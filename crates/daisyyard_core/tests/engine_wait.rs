//! Guards against wrong limits on the time that a request waits at each engine that it asks.

use daisyyard_core::contract::{Contract, Rank};
use daisyyard_core::route::{MAX_ENGINES_ASKED, max_wait};

/// An urgent request leaves each engine but the last in time to ask the next one. At the last one
/// it waits for most of its first-token target, but not beyond it.
#[test]
fn urgent_asks_others_in_time() {
    let contract = Contract::ordinary(Rank::Urgent);
    let waits: Vec<_> = (0..MAX_ENGINES_ASKED)
        .map(|nth| max_wait(&contract, Rank::Urgent, nth))
        .collect();
    assert!(waits.is_sorted_by(|one, two| one < two));
    assert!(waits[MAX_ENGINES_ASKED - 2] < contract.first_token);
    let last = waits[MAX_ENGINES_ASKED - 1];
    assert!(last < contract.first_token);
    assert!(last > contract.first_token.mul_f64(0.9));
}

/// A deferrable request may wait for its whole queue timeout at each engine, so that it keeps its
/// position in the queue.
#[test]
fn deferrable_keeps_position() {
    let contract = Contract::ordinary(Rank::Deferrable);
    for nth in 0..MAX_ENGINES_ASKED {
        assert_eq!(
            max_wait(&contract, Rank::Deferrable, nth),
            contract.queue_timeout
        );
    }
}
