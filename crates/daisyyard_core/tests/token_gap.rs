//! Guards against concurrency beyond the token-gap target, and against idle capacity.

mod support;

use std::time::Duration;

use daisyyard_core::contract::Rank;
use daisyyard_core::ledger::{Action, Answer, Ledger};
use support::{admission_request, ledger, load};

/// Simulates an engine under urgent load for a minute and returns how many generations run then.
/// Each running generation adds `gap_per_generation` to the time between tokens.
fn run_for_minute(
    ledger: &mut Ledger,
    now: std::time::Instant,
    gap_per_generation: Duration,
) -> usize {
    let (mut now, mut request) = (now, 0);
    let mut running = Vec::new();
    for _ in 0..60 {
        now += Duration::from_secs(1);
        // A tenth of the generations, rounded up, ends each second.
        let ended = running.len().div_ceil(10);
        for request in running.drain(..ended) {
            ledger.release(request, 100, now);
        }
        for action in ledger.tick(now) {
            if let Action::Grant { request, .. } = action {
                running.push(request);
            }
        }
        for _ in 0..20 {
            request += 1;
            if ledger.ask(
                admission_request(request, request, Rank::Urgent, 100, now),
                now,
            ) == Answer::Grant
            {
                running.push(request);
            }
        }
        for request in &running {
            ledger.progress(*request, 10, now);
        }
        let count = running.len() as u32;
        let mut load = load(now, count, u64::from(count) * 20, 1 << 20, 0);
        load.token_gap = gap_per_generation * count;
        ledger.report(load, now);
    }
    running.len()
}

/// The number of generations converges to the token-gap target.
#[test]
fn follows_target() {
    for gap_per_generation in [Duration::from_micros(500), Duration::from_millis(1)] {
        let (mut ledger, now) = ledger(256, 1 << 20);
        let running = run_for_minute(&mut ledger, now, gap_per_generation);
        let ideal = Duration::from_millis(31).as_secs_f64() / gap_per_generation.as_secs_f64();
        let share = running as f64 / ideal;
        assert!((0.7..=1.0).contains(&share), "{running} of {ideal}");
    }
}

/// An engine that is faster than the target uses all its slots.
#[test]
fn uses_slots() {
    let (mut ledger, now) = ledger(64, 1 << 20);
    assert_eq!(
        run_for_minute(&mut ledger, now, Duration::from_micros(100)),
        64
    );
}
