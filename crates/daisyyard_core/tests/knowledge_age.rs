//! Guards against a node that relies on others although none of them has read the store for too
//! long.

use std::time::{Duration, Instant};

use daisyyard_core::knowledge::{Knowledge, Report};
use proptest::prelude::*;

/// Age above which the knowledge in these tests is stale.
const MAX_AGE: Duration = Duration::from_millis(1_500);

/// Knowledge is stale before the first read, and once it is older than allowed.
#[test]
fn grows_stale() {
    let now = Instant::now();
    let mut knowledge = Knowledge::new(MAX_AGE);
    assert!(knowledge.is_stale(now));
    knowledge.read(now);
    assert!(!knowledge.is_stale(now + MAX_AGE));
    assert!(knowledge.is_stale(now + MAX_AGE + Duration::from_millis(1)));
}

/// A report that arrives late, or after a later one, does not shorten the time for which the node
/// relies on others.
#[test]
fn keeps_latest_report() {
    let now = Instant::now();
    let mut knowledge = Knowledge::new(MAX_AGE);
    let report = |millis| Report {
        age: Duration::from_millis(millis),
        first_hand: true,
    };
    knowledge.hear(report(100), now);
    knowledge.hear(report(1_400), now);
    let heard = knowledge.report(now).expect("a report was heard");
    assert_eq!(heard.age, Duration::from_millis(100));
    assert!(!heard.first_hand);
}

proptest! {
    /// Nodes that pass on first-hand reports only do not keep each other's knowledge young, however
    /// long their reports take.
    #[test]
    fn reports_renew_nothing(delays in proptest::collection::vec(1_u64..400, 30..60)) {
        let mut now = Instant::now();
        let mut nodes = [(); 3].map(|()| Knowledge::new(MAX_AGE));
        nodes[0].read(now);
        let longest = delays.iter().max().copied().unwrap_or_default();
        let mut passed = Duration::ZERO;
        for (turn, delay) in delays.into_iter().enumerate() {
            let (from, to) = (turn % 3, (turn + 1) % 3);
            let report = nodes[from].report(now).filter(|report| report.first_hand);
            now += Duration::from_millis(delay);
            passed += Duration::from_millis(delay);
            if let Some(report) = report {
                nodes[to].hear(report, now);
            }
            if passed > MAX_AGE + Duration::from_millis(longest) {
                prop_assert!(nodes.iter().all(|node| node.is_stale(now)));
            }
        }
    }
}
