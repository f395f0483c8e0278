//! Guards against orders that a former holder sends after its lease ended.

use std::time::{Duration, Instant};

use daisyyard_core::endpoint::{Endpoint, Kind};
use daisyyard_core::order::{Action, Holder, LEASE_TTL, ORDER_TIMEOUT, Permit, SEND_MARGIN};
use daisyyard_core::zone::Zone;
use proptest::prelude::*;

/// Returns an engine that checks fencing numbers or ignores them.
fn engine(fencing: bool) -> Endpoint {
    let address = ([127, 0, 0, 1], 1).into();
    let zone = Zone::new("pit-east", "gobi-south");
    let mut engine = Endpoint::new("engine", "assay-model", Kind::Engine, zone, address);
    engine.checks_fencing = fencing;
    engine
}

/// A holder that was paused past its lease sends nothing on waking, to any engine.
#[test]
fn paused_holder() {
    let start = Instant::now();
    let mut holder = Holder::new();
    assert_eq!(holder.next(start), Action::Acquire);
    holder.acquired(7, start, start);
    let woken = start + LEASE_TTL;
    assert_eq!(holder.permit(&engine(true), woken), Permit::Deny);
    assert_eq!(holder.permit(&engine(false), woken), Permit::Deny);
    assert_eq!(holder.next(woken), Action::Acquire);
}

/// A lease counts from the sending of the request, not from its late answer.
#[test]
fn late_answer() {
    let start = Instant::now();
    let mut holder = Holder::new();
    let answered = start + LEASE_TTL;
    holder.acquired(1, start, answered);
    assert_eq!(holder.permit(&engine(true), answered), Permit::Deny);
}

proptest! {
    /// On an engine that ignores the number, the orders of two successive holders never overlap:
    /// the first one's last order has timed out before the second one's first is sent.
    #[test]
    fn orders_apart(asks in proptest::collection::vec(0_u64..40_000, 1..50), pause in 0_u64..5_000) {
        let start = Instant::now();
        let ignoring = engine(false);
        let mut first = Holder::new();
        first.acquired(1, start, start);
        let mut second = Holder::new();
        // The service grants the lease to the second holder once the first one's time is over.
        let granted = start + LEASE_TTL;
        second.acquired(2, granted, granted + Duration::from_millis(pause));
        let mut last_end = None;
        let mut first_start = None;
        let mut times = asks;
        times.sort_unstable();
        for millis in times {
            let now = start + Duration::from_millis(millis);
            if matches!(first.permit(&ignoring, now), Permit::Send(_)) {
                last_end = Some(now + ORDER_TIMEOUT + SEND_MARGIN);
            }
            if now >= granted && matches!(second.permit(&ignoring, now), Permit::Send(_)) {
                first_start.get_or_insert(now);
            }
        }
        if let (Some(end), Some(begin)) = (last_end, first_start) {
            prop_assert!(end <= begin);
        }
    }
}
