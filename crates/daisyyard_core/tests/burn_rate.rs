//! Guards against burn rates that lose requests, count expired ones, or raise no alert when a flood
//! of requests is refused.

use std::time::{Duration, SystemTime, UNIX_EPOCH};

use daisyyard_core::burn::{Alert, Class, Meter, SLOT_LENGTH, Subject, Verdict};
use daisyyard_core::contract::Rank;
use proptest::prelude::*;

/// Service, rank and account class of all requests.
const SUBJECT: Subject = Subject {
    service: 1,
    rank: Rank::Urgent,
    class: Class::Small,
};

/// Returns the start of a slot, counted from an arbitrary one.
fn slot_start(slot: u32) -> SystemTime {
    UNIX_EPOCH + SLOT_LENGTH * (1_000_000 + slot)
}

proptest! {
    /// The merged counts of two nodes equal those of one node that recorded all requests.
    #[test]
    fn merge_exact(events in proptest::collection::vec((0_usize..5, 0_u32..70, any::<bool>()), 0..300)) {
        let (mut one, mut two, mut combined) = (Meter::new(), Meter::new(), Meter::new());
        for (verdict, slot, first) in events {
            let verdict = Verdict::ALL[verdict];
            let node = if first { &mut one } else { &mut two };
            node.record(SUBJECT, verdict, slot_start(slot));
            combined.record(SUBJECT, verdict, slot_start(slot));
        }
        let counts: Vec<_> = two.counts().map(|(s, n, c)| (*s, n, *c)).collect();
        for (subject, slot, count) in counts {
            one.merge(subject, slot, &count);
        }
        prop_assert_eq!(one, combined);
    }
}

/// One missed request in ten, twice the error budget of one in twenty, is a burn rate of 2.
#[test]
fn rate_scale() {
    let mut meter = Meter::new();
    for index in 0..1000 {
        let verdict = if index % 10 == 0 {
            Verdict::Late
        } else {
            Verdict::Met
        };
        meter.record(SUBJECT, verdict, slot_start(0));
    }
    let summary = meter.summarize(slot_start(0), |_| true);
    assert!((summary.burn_rates[0] - 2.0).abs() < 1e-9);
    assert!((summary.budget_left + 1.0).abs() < 1e-9);
    assert_eq!(summary.alert, Alert::Ticket);
}

/// Refusing half of the requests for 40 minutes pages, although most of the six hours met the
/// targets. Nineteen refusals are too few requests for an alert.
#[test]
fn pages_on_half_refused() {
    let mut meter = Meter::new();
    for slot in 0..70 {
        for index in 0..100 {
            let refused = slot >= 62 && index % 2 == 0;
            let verdict = if refused {
                Verdict::Refused
            } else {
                Verdict::Met
            };
            meter.record(SUBJECT, verdict, slot_start(slot));
        }
    }
    assert_eq!(meter.summarize(slot_start(69), |_| true).alert, Alert::Page);
    let mut idle = Meter::new();
    for _ in 0..19 {
        idle.record(SUBJECT, Verdict::Refused, slot_start(0));
    }
    assert_eq!(idle.summarize(slot_start(0), |_| true).alert, Alert::None);
}

/// Refusing all requests pages until the short windows have passed, and the requests count for six
/// hours.
#[test]
fn pages_on_flood() {
    let mut meter = Meter::new();
    for _ in 0..100 {
        meter.record(SUBJECT, Verdict::Refused, slot_start(0));
    }
    assert_eq!(meter.summarize(slot_start(0), |_| true).alert, Alert::Page);
    assert_eq!(meter.summarize(slot_start(20), |_| true).alert, Alert::None);
    let later = slot_start(0) + Duration::from_hours(7);
    assert_eq!(meter.summarize(later, |_| true).count.total(), 0);
}

/// A meter keeps only 72 slots, the last six hours, after days of service.
#[test]
fn bounded_state() {
    let mut meter = Meter::new();
    for slot in 0..5_000 {
        meter.record(SUBJECT, Verdict::Met, slot_start(slot));
    }
    assert_eq!(meter.counts().count(), 72);
}
