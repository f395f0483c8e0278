//! Guards against accounts that get more than their share of scarce capacity, and against usage that
//! is forgotten with a node.

use std::time::{Duration, Instant};

use daisyyard_core::workload::{REPORTED_ACCOUNTS, Workload};

/// Time after which the shares are calculated anew.
const LATER: Duration = Duration::from_millis(100);

/// Asks for work of an account, and serves a part of it.
fn work(workload: &mut Workload, account: u64, asked: f64, served: f64, now: Instant) {
    workload.ask(account, asked, now);
    workload.serve(account, served, now);
}

/// While all that is asked for is served, no account exceeds its share, however large it is.
#[test]
fn no_share_in_plenty() {
    let now = Instant::now();
    let mut workload = Workload::default();
    work(&mut workload, 1, 1_000.0, 1_000.0, now);
    work(&mut workload, 2, 10.0, 10.0, now);
    workload.refresh(now + LATER);
    assert!(!workload.exceeds_share(1));
}

/// Where capacity is short, the account that takes most exceeds its share, and those that ask for
/// little do not, also if they got all that they asked for.
#[test]
fn large_exceeds() {
    let now = Instant::now();
    let mut workload = Workload::default();
    work(&mut workload, 1, 1_000.0, 500.0, now);
    work(&mut workload, 2, 100.0, 100.0, now);
    work(&mut workload, 3, 100.0, 50.0, now);
    workload.refresh(now + LATER);
    assert!(workload.exceeds_share(1));
    assert!(!workload.exceeds_share(2));
    assert!(!workload.exceeds_share(3));
}

/// What a node told counts at the others after it is lost, decays, and is bounded in size.
#[test]
fn survives_loss() {
    let now = Instant::now();
    let mut lost = Workload::default();
    work(&mut lost, 1, 1_000.0, 500.0, now);
    for account in 10..40 {
        work(&mut lost, account, 10.0, 5.0, now);
    }
    let report = lost.report(now);
    assert_eq!(report.len(), REPORTED_ACCOUNTS + 1);
    assert_eq!(report[0].account, Some(1));
    assert_eq!(report.last().map(|part| part.account), Some(None));
    let asked: f64 = report.iter().map(|part| part.asked).sum();
    assert!((asked - 1_300.0).abs() < 1e-6, "{asked}");
    drop(lost);
    let mut workload = Workload::default();
    work(&mut workload, 2, 100.0, 50.0, now);
    workload.learn(9, report, now);
    workload.refresh(now + LATER);
    assert!(workload.exceeds_share(1));
    let much_later = now + Duration::from_mins(2);
    work(&mut workload, 2, 100.0, 50.0, much_later);
    workload.refresh(much_later);
    assert!(!workload.exceeds_share(1));
}
