//! Guards against grants beyond the memory of an engine, and against yields that lose more work
//! than necessary.

mod support;

use std::collections::BTreeMap;
use std::time::Duration;

use daisyyard_core::contract::Rank;
use daisyyard_core::ledger::{Action, Answer};
use proptest::prelude::*;
use support::{admission_request, ledger, load};

/// Returns the requests whose generations must yield.
fn yields(actions: &[Action]) -> Vec<u64> {
    let request = |action: &Action| match action {
        Action::Yield { request, .. } => Some(*request),
        _ => None,
    };
    actions.iter().filter_map(request).collect()
}

/// Memory limits admission although slots are free.
#[test]
fn waits_for_memory() {
    let (mut ledger, now) = ledger(64, 2_000);
    let mut answers = Vec::new();
    for request in 0..10 {
        answers.push(ledger.ask(admission_request(request, 1, Rank::Urgent, 400, now), now));
    }
    let granted = answers
        .iter()
        .filter(|answer| **answer == Answer::Grant)
        .count();
    assert!((3..=6).contains(&granted), "{granted}");
}

/// The deferrable generation that loses the least work yields, and urgent ones never do.
#[test]
fn least_work_yields() {
    let (mut ledger, mut now) = ledger(64, 10_000);
    for (request, rank) in [Rank::Urgent, Rank::Deferrable, Rank::Deferrable]
        .into_iter()
        .enumerate()
    {
        let request = admission_request(request as u64, 1, rank, 500, now);
        assert_eq!(ledger.ask(request, now), Answer::Grant);
    }
    now += Duration::from_secs(1);
    for (request, generated) in [(0, 10), (1, 3_000), (2, 1_000)] {
        ledger.progress(request, generated, now);
    }
    assert!(yields(&ledger.tick(now)).is_empty());
    // The engine reports more tokens than the ledger knows of.
    ledger.report(load(now, 3, 9_990, 10_000, 20), now);
    assert_eq!(yields(&ledger.tick(now)), [2]);
    assert!(yields(&ledger.tick(now)).is_empty(), "one yield suffices");
    ledger.release(2, 1_000, now);
    for (request, generated) in [(0, 4_000), (1, 6_000)] {
        ledger.progress(request, generated, now);
    }
    assert_eq!(yields(&ledger.tick(now)), [1]);
    ledger.release(1, 6_000, now);
    ledger.progress(0, 20_000, now);
    assert!(
        yields(&ledger.tick(now)).is_empty(),
        "urgent work does not yield"
    );
}

/// Memory that is in use by generations of another home is not granted again.
#[test]
fn counts_foreign_load() {
    let (mut ledger, now) = ledger(64, 10_000);
    ledger.report(load(now, 30, 9_000, 10_000, 20), now);
    let free = ledger.digest(now).free_tokens;
    assert!(free <= 1_000, "{free}");
    assert_eq!(ledger.digest(now).running, 30);
    assert_ne!(
        ledger.ask(admission_request(1, 1, Rank::Urgent, 2_000, now), now),
        Answer::Grant
    );
}

/// Own generations in a late report are not counted as foreign load, even if they have ended.
#[test]
fn knows_own_load() {
    let (mut ledger, now) = ledger(64, 10_000);
    ledger.ask(admission_request(1, 1, Rank::Urgent, 100, now), now);
    ledger.ask(admission_request(2, 1, Rank::Urgent, 100, now), now);
    let measured_at = now + Duration::from_millis(500);
    let later = now + Duration::from_secs(1);
    ledger.release(2, 10, later);
    ledger.report(load(measured_at, 2, 40, 10_000, 20), later);
    assert_eq!(ledger.digest(later).running, 1);
}

proptest! {
    /// If deferrable generations yield when the ledger asks for it, the memory in use never exceeds
    /// the memory of the engine, however wrong the expected lengths are.
    #[test]
    fn stays_within_memory(asks in proptest::collection::vec((1_u64..800, 1_u64..800), 1..200)) {
        let (mut ledger, mut now) = ledger(256, 4_000);
        let (mut running, mut lengths) = (BTreeMap::new(), BTreeMap::new());
        for (request, (expected, length)) in asks.into_iter().enumerate() {
            now += Duration::from_millis(20);
            let request = request as u64;
            lengths.insert(request, length);
            let admission_request =
                admission_request(request, request % 5, Rank::Deferrable, expected, now);
            if ledger.ask(admission_request, now) == Answer::Grant {
                running.insert(request, 0);
            }
            for action in ledger.tick(now) {
                match action {
                    Action::Grant { request, .. } => drop(running.insert(request, 0)),
                    Action::Yield { request, .. } => {
                        let generated = running.remove(&request).expect("it runs");
                        ledger.release(request, generated, now);
                    }
                    Action::Refuse { .. } => {}
                }
            }
            running.retain(|request, generated| {
                *generated += 1;
                if *generated < lengths[request] {
                    return ledger.progress(*request, *generated, now);
                }
                ledger.release(*request, *generated, now);
                false
            });
            let used: u64 = running.values().map(|generated| 10 + generated).sum();
            prop_assert!(used <= 4_000);
        }
    }
}
