//! Guards against outcomes that claim more than is known, at every position where a link can break.

use daisyyard_core::attempt::{Decision, History, Outcome, Progress};
use proptest::prelude::*;

/// All positions.
const ALL: [Progress; 4] = [
    Progress::Unsent,
    Progress::Written,
    Progress::Declined,
    Progress::Answered,
];

/// Each position of a single attempt gives its outcome, and only safe positions are retried.
#[test]
fn judges_positions() {
    for (progress, outcome, once, repeatable) in [
        (Progress::Unsent, Outcome::NotRun, true, true),
        (Progress::Written, Outcome::Unknown, false, true),
        (Progress::Declined, Outcome::NotRun, true, true),
        (Progress::Answered, Outcome::Run, false, false),
    ] {
        for (idempotent, retried) in [(false, once), (true, repeatable)] {
            let mut attempt = History::new(idempotent);
            attempt.advance(progress);
            assert_eq!(attempt.outcome(), outcome, "{progress:?}");
            let next = attempt.fail(true);
            assert_eq!(
                next == Decision::Retry,
                retried,
                "{progress:?} {idempotent}"
            );
            let mut attempt = History::new(idempotent);
            attempt.advance(progress);
            assert_eq!(
                attempt.fail(false),
                Decision::Finish(outcome),
                "{progress:?}"
            );
        }
    }
}

proptest! {
    /// Over any attempts: `not_run` only if each was unsent or declined; a request that must run
    /// once is not sent again after a byte was written; doubt is never forgotten.
    #[test]
    fn keeps_doubt(
        idempotent in any::<bool>(),
        positions in proptest::collection::vec((0_usize..4, any::<bool>()), 1..6),
    ) {
        let mut attempt = History::new(idempotent);
        let mut doubt = false;
        for (index, budget) in positions {
            let progress = ALL[index];
            attempt.advance(progress);
            let written = matches!(progress, Progress::Written | Progress::Answered);
            doubt |= written;
            match attempt.fail(budget) {
                Decision::Retry => {
                    prop_assert!(budget);
                    prop_assert!(!written || idempotent);
                    prop_assert_ne!(progress, Progress::Answered);
                    prop_assert_eq!(attempt.outcome() == Outcome::NotRun, !doubt);
                }
                Decision::Finish(outcome) => {
                    prop_assert_eq!(outcome == Outcome::NotRun, !doubt);
                    return Ok(());
                }
            }
        }
    }
}
