//! Guards against contents that crash one endpoint after another, and against the refusal of contents
//! that were in progress at crashes by chance.

use std::time::{Duration, Instant};

use daisyyard_core::crash::{Crash, Evidence, MAX_CRASHES, Record, Verdict};
use daisyyard_core::id::Fingerprint;
use daisyyard_core::suspect::RECORD_TTL;
use proptest::prelude::*;

/// Content that crashes endpoints.
const DEADLY: Fingerprint = 1;
/// Content that is in progress at some crashes.
const SOUND: Fingerprint = 2;

/// Returns a time after the start of the test.
fn after(start: Instant, millis: u64) -> Instant {
    start + Duration::from_millis(millis)
}

/// Returns a crash of an endpoint after a run of 100 ms.
fn crash(start: Instant, endpoint: u64, millis: u64) -> Crash {
    Crash {
        endpoint,
        sent_at: after(start, millis - 100),
        at: after(start, millis),
        ran_for: Duration::ZERO,
        common: false,
    }
}

/// A content is refused after three crashes in a row, until the records expire.
#[test]
fn refuses_third_crash() {
    let start = Instant::now();
    let mut evidence = Evidence::new();
    for number in 1..=MAX_CRASHES as u64 {
        assert_eq!(evidence.verdict(&[DEADLY], start), Verdict::Allow);
        evidence.record_crash(&[DEADLY], crash(start, number, number * 1_000));
    }
    let until = after(start, 3_000) + RECORD_TTL;
    assert_eq!(
        evidence.verdict(&[SOUND, DEADLY], after(start, 3_000)),
        Verdict::Refuse(until)
    );
    assert_eq!(
        evidence.verdict(&[SOUND], after(start, 3_000)),
        Verdict::Allow
    );
    assert_eq!(evidence.verdict(&[DEADLY], until), Verdict::Allow);
}

/// Repeats that are each sent right after the crash before count separately.
#[test]
fn counts_quick_repeats() {
    let start = Instant::now();
    let mut evidence = Evidence::new();
    for number in 1..=3 {
        let mut crash = crash(start, number, 100 + number * 30);
        crash.sent_at = after(start, 100 + number * 30 - 20);
        evidence.record_crash(&[DEADLY], crash);
    }
    assert!(evidence.verdict(&[DEADLY], start) != Verdict::Allow);
}

/// A rack that is lost endpoint by endpoint with runs of one content is one crash; one that is lost as a
/// whole is none.
#[test]
fn counts_rack_once() {
    let start = Instant::now();
    for (gap, count) in [(110, 1), (1, 0)] {
        let mut evidence = Evidence::new();
        for endpoint in 1..=5 {
            let lost = Crash {
                sent_at: after(start, 900),
                ..crash(start, endpoint, 1_000 + endpoint * gap)
            };
            evidence.record_crash(&[SOUND], lost);
        }
        assert_eq!(evidence.get(SOUND).map(Record::count), Some(count));
    }
}

/// Several nodes that report the break of runs at one endpoint report one crash.
#[test]
fn counts_endpoint_once() {
    let start = Instant::now();
    let mut evidence = Evidence::new();
    for delay in [0, 600, 1_200] {
        let late = Crash {
            sent_at: after(start, 900),
            ..crash(start, 1, 1_000 + delay)
        };
        evidence.record_crash(&[SOUND], late);
    }
    assert_eq!(evidence.get(SOUND).map(Record::count), Some(1));
}

/// A run that goes well cancels the crashes before it, at this node and at those that hear of it.
#[test]
fn proof_cancels_crashes() {
    let start = Instant::now();
    let mut evidence = Evidence::new();
    let mut other = Evidence::new();
    for number in 1..=2 {
        for record in evidence.record_crash(&[SOUND], crash(start, number, number * 1_000)) {
            other.learn(&record, start);
        }
    }
    for record in evidence.record_proof(&[SOUND], after(start, 2_500)) {
        assert!(other.learn(&record, start));
    }
    for evidence in [&mut evidence, &mut other] {
        evidence.record_crash(&[SOUND], crash(start, 3, 3_000));
        assert_eq!(evidence.get(SOUND).map(Record::count), Some(1));
    }
}

/// Returns a crash of an endpoint after it has sent data of a run for a time.
fn late_crash(start: Instant, endpoint: u64, millis: u64, ran_for: Duration) -> Crash {
    Crash {
        ran_for,
        ..crash(start, endpoint, millis)
    }
}

/// A run that outlasts by far those that were broken off proves its contents sound before its end.
#[test]
fn long_run_proves() {
    let start = Instant::now();
    let mut evidence = Evidence::new();
    for number in 1..=2 {
        let crash = late_crash(start, number, number * 1_000, Duration::from_millis(400));
        evidence.record_crash(&[SOUND], crash);
    }
    let now = after(start, 3_000);
    let short = Duration::from_millis(500);
    assert!(evidence.record_progress(&[SOUND], short, now).is_empty());
    assert_eq!(evidence.get(SOUND).map(Record::count), Some(2));
    let long = Duration::from_millis(800);
    assert_eq!(evidence.record_progress(&[SOUND], long, now).len(), 1);
    assert_eq!(evidence.get(SOUND).map(Record::count), Some(0));
}

/// Of several runs that one crash broke off, the one that lasted longest says how long others must.
#[test]
fn longest_run_counts() {
    let start = Instant::now();
    let mut evidence = Evidence::new();
    for millis in [100, 3_000, 700] {
        let crash = late_crash(start, 1, 1_000, Duration::from_millis(millis));
        evidence.record_crash(&[SOUND], crash);
    }
    let record = evidence.get(SOUND).expect("a record");
    assert_eq!(record.count(), 1);
    assert_eq!(record.proof_time(), Duration::from_secs(6));
}

/// Crashes of most endpoints at once say nothing of what they ran, however often they come and whichever
/// of them ran it.
#[test]
fn ignores_mass_crash() {
    let start = Instant::now();
    let mut evidence = Evidence::new();
    let mut told = Evidence::new();
    for event in 1..=4 {
        for endpoint in 1..=8 {
            let content = if endpoint < 3 { SOUND } else { 100 };
            let at = event * 4_000 + endpoint * 5;
            for record in evidence.record_crash(&[content], crash(start, endpoint, at)) {
                told.learn(&record, start);
            }
        }
        for evidence in [&evidence, &told] {
            assert_eq!(evidence.get(SOUND).map(Record::count), Some(0));
        }
    }
    evidence.record_crash(&[SOUND], crash(start, 1, 30_000));
    assert_eq!(evidence.get(SOUND).map(Record::count), Some(1));
}

/// A request that shares a sound part with those that crash endpoints is allowed, and proves the part;
/// one with the part that they all have stays refused.
#[test]
fn spares_shared_part() {
    let start = Instant::now();
    let mut evidence = Evidence::new();
    for number in 1..=3 {
        let request = u128::from(number) + 100;
        evidence.record_crash(
            &[request, SOUND, DEADLY],
            crash(start, number, number * 1_000),
        );
    }
    let now = after(start, 3_000);
    assert!(evidence.verdict(&[200, SOUND, DEADLY], now) != Verdict::Allow);
    assert_eq!(evidence.verdict(&[201, SOUND], now), Verdict::Allow);
    assert_eq!(
        evidence.unstored_groups(now, now),
        [vec![DEADLY, SOUND]],
        "either part may be the culprit"
    );
    evidence.record_proof(&[201, SOUND], after(start, 3_500));
    assert_eq!(evidence.unstored_groups(now, now), [vec![DEADLY]]);
    assert!(evidence.verdict(&[202, DEADLY], now) != Verdict::Allow);
}

/// A second part that crashes endpoints is found although the first one explains some crashes.
#[test]
fn finds_second_part() {
    let start = Instant::now();
    let mut evidence = Evidence::new();
    for number in 1..=3 {
        evidence.record_crash(&[SOUND, DEADLY], crash(start, number, number * 1_000));
    }
    for number in 4..=6 {
        assert_eq!(
            evidence.verdict(&[SOUND], after(start, number * 1_000)),
            Verdict::Allow
        );
        evidence.record_crash(&[SOUND], crash(start, number, number * 1_000));
    }
    assert!(evidence.verdict(&[SOUND], after(start, 6_000)) != Verdict::Allow);
}

/// A group that was read from the store is refused without any crash, until the store has it no longer
/// or a run with all of it goes well.
#[test]
fn keeps_stored_group() {
    let start = Instant::now();
    let mut evidence = Evidence::new();
    let group = vec![DEADLY, SOUND];
    evidence.record_stored(group.clone(), start);
    let refused = Verdict::Refuse(start + RECORD_TTL);
    assert_eq!(evidence.verdict(&[3, SOUND, DEADLY], start), refused);
    assert_eq!(evidence.verdict(&[3, DEADLY], start), Verdict::Allow);
    assert!(evidence.disprove(&[3, SOUND]).is_empty());
    let disproved = evidence.disprove(&[3, SOUND, DEADLY]);
    assert_eq!(disproved, std::slice::from_ref(&group));
    assert_eq!(evidence.verdict(&[SOUND, DEADLY], start), Verdict::Allow);
    evidence.record_stored(group.clone(), start);
    evidence.remove_stored(&group);
    assert_eq!(evidence.verdict(&[SOUND, DEADLY], start), Verdict::Allow);
}

/// Contents of a flood of broken runs do not exhaust the memory, and refused ones stay refused.
#[test]
fn stays_bounded() {
    let start = Instant::now();
    let mut evidence = Evidence::new();
    for number in 1..=3 {
        evidence.record_crash(&[DEADLY], crash(start, number, number * 1_000));
    }
    for content in 10..5_000 {
        evidence.record_crash(&[content], crash(start, 9, 5_000));
    }
    let kept = (10..5_000).filter(|content| evidence.get(*content).is_some());
    assert!(kept.count() < 1_024);
    assert!(evidence.verdict(&[DEADLY], start) != Verdict::Allow);
}

proptest! {
    /// A content that crashes each endpoint at about the same time of its run is refused after the third
    /// crash, however long its runs last.
    #[test]
    fn refuses_late_crashes(
        base in 1_u64..15_000,
        factors in proptest::array::uniform3(1.0_f64..2.0),
    ) {
        let start = Instant::now();
        let mut evidence = Evidence::new();
        let mut at = 0;
        for (number, factor) in factors.into_iter().enumerate() {
            prop_assert_eq!(evidence.verdict(&[DEADLY], start), Verdict::Allow);
            let ran_for = Duration::from_millis((base as f64 * factor) as u64);
            let mut lasted = Duration::from_millis(250);
            while lasted < ran_for {
                evidence.record_progress(&[DEADLY], lasted, after(start, at));
                lasted *= 2;
            }
            at += 40_000;
            evidence.record_crash(&[DEADLY], late_crash(start, number as u64, at, ran_for));
        }
        prop_assert!(evidence.verdict(&[DEADLY], start) != Verdict::Allow);
    }

    /// Records that arrive in any order, repeatedly, lead all nodes to the same verdict.
    #[test]
    fn merges_any_order(
        crashes in proptest::collection::vec((1_u64..4, 1_u64..40), 1..5),
        proof in proptest::option::of(1_u64..40),
        rotation in 0_usize..6,
    ) {
        let start = Instant::now();
        let mut records = Vec::new();
        let mut one = Evidence::new();
        for (endpoint, decisecond) in crashes {
            // Each crash is reported by the node that saw it, which may know no other one.
            let mut source = Evidence::new();
            records.extend(source.record_crash(&[SOUND], crash(start, endpoint, decisecond * 3_000)));
        }
        let proven_at = proof.map(|proof| after(start, proof * 3_000));
        records.push(Record { content: SOUND, crashes: Vec::new(), proven_at });
        for record in &records {
            one.learn(record, start);
        }
        let mut two = Evidence::new();
        let rotation = rotation % records.len();
        for record in records[rotation..].iter().chain(&records).rev() {
            two.learn(record, start);
        }
        let count = |evidence: &Evidence| evidence.get(SOUND).map(Record::count);
        prop_assert_eq!(count(&one), count(&two));
    }
}
