//! How long a request waits at each engine that its node asks.

use daisyyard_core::contract::{Contract, Rank};
use daisyyard_core::route::{MAX_ENGINES_ASKED, max_wait};

/// Guards against urgent requests that wait past their target at one busy engine or at the last
/// one, and against a last engine that refuses while the target can still be met.
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

/// Guards against deferrable requests that lose their place in the queue.
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
