//! Guards against batches that grow beyond the token-gap target, and against idle capacity.

mod support;

use std::time::Duration;

use daisyyard_core::contract::Rank;
use daisyyard_core::ledger::{Action, Answer, Ledger};
use support::{ask, ledger, load};

/// Runs urgent generations of endless length at an engine with the given time per generation and
/// returns how many run after a minute.
fn settle(ledger: &mut Ledger, now: std::time::Instant, cost: Duration) -> usize {
    let (mut now, mut request) = (now, 0);
    let mut running = Vec::new();
    for _ in 0..60 {
        now += Duration::from_secs(1);
        // A tenth of the generations ends each second.
        let ended = running.len().div_ceil(10);
        for request in running.drain(..ended) {
            ledger.release(request, 100, now);
        }
        for next in ledger.tick(now) {
            if let Action::Grant { request, .. } = next {
                running.push(request);
            }
        }
        for _ in 0..20 {
            request += 1;
            if ledger.ask(ask(request, request, Rank::Urgent, 100, now), now) == Answer::Grant {
                running.push(request);
            }
        }
        for request in &running {
            ledger.progress(*request, 10, now);
        }
        let count = running.len() as u32;
        let mut load = load(now, count, u64::from(count) * 20, 1 << 20, 0);
        load.token_gap = cost * count;
        ledger.report(load, now);
    }
    running.len()
}

/// The number of generations settles where the measured time between tokens meets the target.
#[test]
fn follows_target() {
    for cost in [Duration::from_micros(500), Duration::from_millis(1)] {
        let (mut ledger, now) = ledger(256, 1 << 20);
        let running = settle(&mut ledger, now, cost);
        let ideal = Duration::from_millis(31).as_secs_f64() / cost.as_secs_f64();
        let share = running as f64 / ideal;
        assert!((0.7..=1.0).contains(&share), "{running} of {ideal}");
    }
}

/// A fast engine uses all its slots.
#[test]
fn uses_slots() {
    let (mut ledger, now) = ledger(64, 1 << 20);
    assert_eq!(settle(&mut ledger, now, Duration::from_micros(100)), 64);
}
