//! Guards against outcomes that state more than is known, wherever a connection breaks.

use daisyyard_core::attempt::{Decision, History, Outcome, Progress};
use proptest::prelude::*;

/// Every progress of an attempt.
const PROGRESS: [Progress; 4] = [
    Progress::Unsent,
    Progress::Written,
    Progress::Declined,
    Progress::Answered,
];

/// The progress of a single attempt decides its outcome and whether a retry is safe.
#[test]
fn outcome_by_progress() {
    for (progress, outcome, non_idempotent_retried, idempotent_retried) in [
        (Progress::Unsent, Outcome::NotRun, true, true),
        (Progress::Written, Outcome::Unknown, false, true),
        (Progress::Declined, Outcome::NotRun, true, true),
        (Progress::Answered, Outcome::Run, false, false),
    ] {
        for (idempotent, retried) in [(false, non_idempotent_retried), (true, idempotent_retried)] {
            let mut history = History::new(idempotent);
            history.advance(progress);
            assert_eq!(history.outcome(), outcome, "{progress:?}");
            let decision = history.fail(true);
            assert_eq!(
                decision == Decision::Retry,
                retried,
                "{progress:?} {idempotent}"
            );
            let mut history = History::new(idempotent);
            history.advance(progress);
            assert_eq!(
                history.fail(false),
                Decision::Finish(outcome),
                "{progress:?}"
            );
        }
    }
}

proptest! {
    /// Over several attempts, the outcome is `not_run` only if each was unsent or declined. After an
    /// attempt that may have run it, a request that is not idempotent is not sent again, and no
    /// later outcome is `not_run`.
    #[test]
    fn keeps_uncertainty(
        idempotent in any::<bool>(),
        attempts in proptest::collection::vec((0_usize..4, any::<bool>()), 1..6),
    ) {
        let mut history = History::new(idempotent);
        let mut may_have_run = false;
        for (index, within_budget) in attempts {
            let progress = PROGRESS[index];
            history.advance(progress);
            let written = matches!(progress, Progress::Written | Progress::Answered);
            may_have_run |= written;
            match history.fail(within_budget) {
                Decision::Retry => {
                    prop_assert!(within_budget);
                    prop_assert!(!written || idempotent);
                    prop_assert_ne!(progress, Progress::Answered);
                    prop_assert_eq!(history.outcome() == Outcome::NotRun, !may_have_run);
                }
                Decision::Finish(outcome) => {
                    prop_assert_eq!(outcome == Outcome::NotRun, !may_have_run);
                    return Ok(());
                }
            }
        }
    }
}
