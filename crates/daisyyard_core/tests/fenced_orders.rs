//! Guards against orders that a former holder sends after its lease has expired.

use std::time::{Duration, Instant};

use daisyyard_core::endpoint::{Endpoint, Kind};
use daisyyard_core::order::{Action, Holder, LEASE_TTL, ORDER_TIMEOUT, Permit, SEND_MARGIN};
use daisyyard_core::zone::Zone;
use proptest::prelude::*;

/// Returns an engine that checks or ignores fencing numbers.
fn engine(fencing: bool) -> Endpoint {
    let address = ([127, 0, 0, 1], 1).into();
    let zone = Zone::new("pit-east", "gobi-south");
    let mut engine = Endpoint::new("engine", "assay-model", Kind::Engine, zone, address);
    engine.checks_fencing = fencing;
    engine
}

/// A holder that was paused until its lease expired sends no order afterwards, to any engine.
#[test]
fn paused_holder() {
    let start = Instant::now();
    let mut holder = Holder::new();
    assert_eq!(holder.next(start), Action::Acquire);
    holder.acquired(7, start, start);
    let resumed = start + LEASE_TTL;
    assert_eq!(holder.permit(&engine(true), resumed), Permit::Deny);
    assert_eq!(holder.permit(&engine(false), resumed), Permit::Deny);
    assert_eq!(holder.next(resumed), Action::Acquire);
}

/// The lease time counts from when the request was sent, not from a late answer.
#[test]
fn late_answer() {
    let start = Instant::now();
    let mut holder = Holder::new();
    let answered = start + LEASE_TTL;
    holder.acquired(1, start, answered);
    assert_eq!(holder.permit(&engine(true), answered), Permit::Deny);
}

proptest! {
    /// On an engine that ignores fencing numbers, the orders of two successive holders never
    /// overlap: the last order of the first holder has timed out before the second one sends.
    #[test]
    fn orders_do_not_overlap(
        send_times_ms in proptest::collection::vec(0_u64..40_000, 1..50),
        pause_ms in 0_u64..5_000,
    ) {
        let start = Instant::now();
        let unfenced = engine(false);
        let mut first = Holder::new();
        first.acquired(1, start, start);
        let mut second = Holder::new();
        // The configuration service grants the lease again once that of the first holder expired.
        let granted = start + LEASE_TTL;
        second.acquired(2, granted, granted + Duration::from_millis(pause_ms));
        let mut last_end = None;
        let mut first_start = None;
        let mut times = send_times_ms;
        times.sort_unstable();
        for millis in times {
            let now = start + Duration::from_millis(millis);
            if matches!(first.permit(&unfenced, now), Permit::Send(_)) {
                last_end = Some(now + ORDER_TIMEOUT + SEND_MARGIN);
            }
            if now >= granted && matches!(second.permit(&unfenced, now), Permit::Send(_)) {
                first_start.get_or_insert(now);
            }
        }
        if let (Some(end), Some(begin)) = (last_end, first_start) {
            prop_assert!(end <= begin);
        }
    }
}
