//! How long a request waits at each engine that its node asks.

use daisyyard_core::contract::{Contract, Rank};
use daisyyard_core::route::{ENGINES_ASKED, patience};

/// Guards against urgent requests that wait past their target at one busy engine, and against a
/// last engine that refuses before the longest queue time.
#[test]
fn urgent_asks_others_in_time() {
    let contract = Contract::ordinary(Rank::Urgent);
    let turns: Vec<_> = (0..ENGINES_ASKED)
        .map(|nth| patience(&contract, Rank::Urgent, nth))
        .collect();
    assert!(turns.is_sorted_by(|one, two| one < two));
    assert!(turns[ENGINES_ASKED - 2] < contract.first_token);
    assert_eq!(turns[ENGINES_ASKED - 1], contract.queue);
}

/// Guards against deferrable requests that lose their place in the queue.
#[test]
fn deferrable_keeps_its_place() {
    let contract = Contract::ordinary(Rank::Deferrable);
    for nth in 0..ENGINES_ASKED {
        assert_eq!(patience(&contract, Rank::Deferrable, nth), contract.queue);
    }
}
