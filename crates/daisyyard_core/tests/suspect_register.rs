//! Guards against requests that crash one endpoint after another, and against the refusal of other
//! requests that were in progress at the same crash.

use std::time::{Duration, Instant};

use daisyyard_core::suspect::{RECORD_TTL, Record, Register, Verdict};
use proptest::prelude::*;

/// A request that crashes two endpoints is refused; a request that ran beside it once is not.
#[test]
fn refuses_after_second_crash() {
    let now = Instant::now();
    let mut register = Register::new();
    register.start(1, 10, 100);
    register.start(1, 11, 101);
    assert_eq!(register.crash(1, 10, now).len(), 2);
    assert!(
        register.crash(1, 11, now).is_empty(),
        "the crash counted twice"
    );
    for key in [100, 101] {
        assert_eq!(register.verdict(key, now), Verdict::Isolate);
    }
    register.start(2, 12, 100);
    register.start(2, 13, 102);
    assert_eq!(register.occupied(101, now), [2]);
    assert!(register.occupied(100, now).is_empty());
    register.crash(2, 12, now);
    assert_eq!(register.verdict(100, now), Verdict::Refuse);
    assert_eq!(register.verdict(101, now), Verdict::Isolate);
    assert_eq!(register.verdict(102, now), Verdict::Isolate);
    assert_eq!(register.verdict(103, now), Verdict::Allow);
    assert_eq!(register.verdict(100, now + RECORD_TTL), Verdict::Allow);
}

/// A crash while two suspects ran refuses neither of them.
#[test]
fn needs_single_suspect() {
    let now = Instant::now();
    let mut register = Register::new();
    for endpoint in [1, 2] {
        register.start(endpoint, 10, 100);
        register.start(endpoint, 11, 101);
        register.crash(endpoint, 10, now);
    }
    assert_eq!(register.verdict(100, now), Verdict::Isolate);
    assert_eq!(register.verdict(101, now), Verdict::Isolate);
}

/// A late report of an old crash makes no suspects of the requests at the restarted endpoint.
#[test]
fn ignores_late_report() {
    let now = Instant::now();
    let mut register = Register::new();
    register.start(1, 10, 100);
    register.start(1, 11, 101);
    register.crash(1, 10, now);
    register.start(1, 12, 102);
    assert!(register.crash(1, 11, now).is_empty());
    assert_eq!(register.verdict(102, now), Verdict::Allow);
    register.end(1, 12);
    assert!(register.crash(1, 12, now).is_empty());
}

/// The register keeps at most 4,096 records and evicts the one that expires first.
#[test]
fn stays_bounded() {
    let now = Instant::now();
    let mut register = Register::new();
    for number in 0..5000_u64 {
        let later = now + Duration::from_millis(number);
        register.start(1, number, number.into());
        register.crash(1, number, later);
    }
    let end = now + Duration::from_secs(5);
    assert_eq!(register.records(end).len(), 4096);
    assert_eq!(register.verdict(0, end), Verdict::Allow);
    assert_eq!(register.verdict(4999, end), Verdict::Isolate);
}

proptest! {
    /// Records of other nodes give the same result in any order, and when they arrive repeatedly.
    #[test]
    fn learns_any_order(
        parts in proptest::collection::vec((0_u128..4, 1_u32..4, any::<bool>(), 1_u64..900), 0..20),
        seed in any::<usize>(),
    ) {
        let now = Instant::now();
        let record = |&(key, crashes, alone, seconds): &(u128, u32, bool, u64)| Record {
            key,
            crashes,
            alone,
            expires: now + Duration::from_secs(seconds),
        };
        let records: Vec<Record> = parts.iter().map(record).collect();
        let mut one = Register::new();
        let mut two = Register::new();
        for record in &records {
            one.learn(*record, now);
        }
        let rotation = seed % records.len().max(1);
        for record in records[rotation..].iter().chain(&records).rev() {
            two.learn(*record, now);
        }
        let sorted = |register: &Register| {
            let mut records = register.records(now);
            records.sort();
            records
        };
        prop_assert_eq!(sorted(&one), sorted(&two));
        prop_assert!(one.records(now).iter().all(|record| record.expires <= now + RECORD_TTL));
    }
}
