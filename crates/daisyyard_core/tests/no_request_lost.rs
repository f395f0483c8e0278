//! Guards against queued requests that get no answer or several, and against counts that diverge
//! from the requests they describe.

mod support;

use std::collections::BTreeSet;
use std::time::Duration;

use daisyyard_core::contract::Rank;
use daisyyard_core::ledger::{Action, Answer, Ledger};
use proptest::prelude::*;
use support::{admission_request, ledger, load};

/// Runs a tick and checks that each grant or refusal is for a waiting request, and each yield for a
/// running one.
fn tick(
    ledger: &mut Ledger,
    now: std::time::Instant,
    waiting: &mut BTreeSet<u64>,
    running: &mut BTreeSet<u64>,
) {
    for action in ledger.tick(now) {
        match action {
            Action::Grant { request, .. } => {
                assert!(waiting.remove(&request));
                running.insert(request);
            }
            Action::Refuse { request, .. } => assert!(waiting.remove(&request)),
            Action::Yield { request, .. } => assert!(running.contains(&request)),
        }
    }
    let held = ledger.held_by(1).into_iter().collect();
    assert!(running.is_superset(&held));
    *running = held;
}

proptest! {
    /// A queued request is granted or refused exactly once, whatever nodes and engine report.
    #[test]
    fn answered_once(
        steps in proptest::collection::vec((0_u8..8, 0_u64..40, any::<u64>()), 0..300),
    ) {
        let (mut ledger, mut now) = ledger(4, 5_000);
        let (mut waiting, mut running) = (BTreeSet::new(), BTreeSet::new());
        for (kind, request, value) in steps {
            let known = waiting.contains(&request) || running.contains(&request);
            match kind {
                0..=2 if !known => {
                    let rank = Rank::ALL[(value % 2) as usize];
                    let mut admission_request =
                        admission_request(request, value % 3, rank, value % 5_000, now);
                    admission_request.deadline = now + Duration::from_millis(value % 60_000);
                    match ledger.ask(admission_request, now) {
                        Answer::Grant => drop(running.insert(request)),
                        Answer::Wait => drop(waiting.insert(request)),
                        Answer::Refuse { retry_after } => prop_assert!(!retry_after.is_zero()),
                    }
                }
                3 => {
                    let known = ledger.progress(request, value >> (value % 64), now);
                    prop_assert_eq!(known, running.contains(&request));
                }
                4 => {
                    ledger.release(request, value >> (value % 64), now);
                    waiting.remove(&request);
                    running.remove(&request);
                }
                5 => {
                    let count = (value % 6) as u32;
                    ledger.report(load(now, count, value % 6_000, 5_000, value % 100), now);
                }
                _ => {
                    now += Duration::from_millis(value % 3_000);
                    tick(&mut ledger, now, &mut waiting, &mut running);
                }
            }
            let digest = ledger.digest(now);
            prop_assert_eq!(digest.queued as usize, waiting.len());
            prop_assert!(running.len() <= 4);
        }
        // After the longest queue timeout no request waits.
        tick(&mut ledger, now + Duration::from_secs(31), &mut waiting, &mut running);
        prop_assert!(waiting.is_empty());
    }
}
