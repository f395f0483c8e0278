//! Guards against large accounts that starve small ones, and against unbounded credit of idle
//! accounts.

mod support;

use std::time::{Duration, Instant};

use daisyyard_core::contract::Rank;
use daisyyard_core::queue::{Entry, Queue, Step};
use proptest::prelude::*;
use support::{Job, Simulation, admission_request};

/// Returns a queue entry of an account.
fn entry(request: u64, account: u64, rank: Rank, now: Instant) -> Entry {
    Entry {
        request: admission_request(request, account, rank, 100, now),
        since: now,
        target: now + Duration::from_secs(10),
        expires: now + Duration::from_secs(20),
        taken: 0,
    }
}

/// Serves `count` urgent requests and returns their accounts in the order of service.
fn serve(queue: &mut Queue, count: usize, cost: impl Fn(u64) -> u64) -> Vec<u64> {
    let mut served = Vec::new();
    for _ in 0..count {
        let entry = queue.pop(Rank::Urgent).expect("requests wait");
        queue.charge(
            Rank::Urgent,
            entry.request.account,
            cost(entry.request.account),
        );
        served.push(entry.request.account);
    }
    served
}

/// Accounts get equal numbers of tokens, not of requests.
#[test]
fn equal_tokens() {
    let (mut queue, now) = (Queue::new(1024), Instant::now());
    for request in 0..800 {
        queue.push(entry(request, request % 2, Rank::Urgent, now));
    }
    let served = serve(
        &mut queue,
        220,
        |account| if account == 0 { 1_000 } else { 100 },
    );
    let large = served.iter().filter(|account| **account == 0).count();
    assert!((18..=22).contains(&large), "{large}");
}

/// An account that was idle goes first, but its credit is bounded.
#[test]
fn idle_credit_bounded() {
    let (mut queue, now) = (Queue::new(1024), Instant::now());
    for request in 0..500 {
        queue.push(entry(request, 1, Rank::Urgent, now));
    }
    serve(&mut queue, 400, |_| 1_000);
    for request in 1_000..1_100 {
        queue.push(entry(request, 2, Rank::Urgent, now));
    }
    let served = serve(&mut queue, 40, |_| 1_000);
    assert_eq!(served[0], 2);
    let idle = served.iter().filter(|account| **account == 2).count();
    assert!((19..=23).contains(&idle), "{idle}");
}

/// Tokens beyond the charged estimate are charged when a request settles.
#[test]
fn charges_generated_tokens() {
    let (mut queue, now) = (Queue::new(1024), Instant::now());
    for request in 0..100 {
        queue.push(entry(request, request % 2, Rank::Urgent, now));
    }
    queue.settle(Rank::Urgent, 0, 100, 5_000);
    let served = serve(&mut queue, 40, |_| 100);
    assert!(served.iter().all(|account| *account == 1), "{served:?}");
}

/// A full queue displaces a request of the account with the most waiting, or of the lower rank.
#[test]
fn full_queue_takes_small() {
    let (mut queue, now) = (Queue::new(64), Instant::now());
    for request in 0..64 {
        queue.push(entry(request, 1, Rank::Deferrable, now));
    }
    assert_eq!(queue.push(entry(100, 1, Rank::Deferrable, now)), Step::Full);
    let step = queue.push(entry(101, 2, Rank::Deferrable, now));
    assert!(matches!(step, Step::Displaced(entry) if entry.request.account == 1));
    let step = queue.push(entry(102, 3, Rank::Urgent, now));
    assert!(matches!(step, Step::Displaced(entry) if entry.request.rank == Rank::Deferrable));
}

/// At least 90 of 100 requests of a small account complete while another account demands ten times
/// the capacity.
#[test]
fn small_account_in_flood() {
    let mut simulation = Simulation::new(64, 131_072);
    let mut request = 0;
    for step in 0..4_000 {
        let small = step % 40 == 0;
        for account in [1, 2] {
            request += 1;
            if account == 1 || small {
                let request =
                    admission_request(request, account, Rank::Deferrable, 256, simulation.now);
                simulation.ask(Job {
                    request,
                    length: 200,
                });
            }
        }
        simulation.step();
    }
    let small = simulation.tally.completed_tokens[&2] / 200;
    assert!(small >= 90, "{small} of 100");
}

proptest! {
    /// Every request leaves the queue exactly once, and the queue never exceeds its capacity.
    #[test]
    fn loses_nothing(steps in proptest::collection::vec((0_u8..6, 0_u64..8, 0_u64..60), 0..300)) {
        let (mut queue, start) = (Queue::new(32), Instant::now());
        let (mut queued, mut now) = (std::collections::BTreeSet::new(), start);
        for (request, (kind, account, value)) in steps.into_iter().enumerate() {
            let request = request as u64;
            let rank = Rank::ALL[(value % 2) as usize];
            match kind {
                0..=2 => match queue.push(entry(request, account, rank, now)) {
                    Step::Queued => prop_assert!(queued.insert(request)),
                    Step::Displaced(displaced) => {
                        prop_assert!(queued.insert(request));
                        prop_assert!(queued.remove(&displaced.request.id));
                    }
                    Step::Full => {}
                },
                3 => if let Some(entry) = queue.pop(rank) {
                    queue.charge(rank, entry.request.account, value);
                    prop_assert!(queued.remove(&entry.request.id));
                },
                4 => prop_assert_eq!(queue.remove(value).is_some(), queued.remove(&value)),
                _ => {
                    now += Duration::from_secs(value / 6);
                    while let Some(entry) = queue.expire(now) {
                        prop_assert!(entry.expires <= now);
                        prop_assert!(queued.remove(&entry.request.id));
                    }
                }
            }
            let waiting: usize = Rank::ALL.into_iter().map(|rank| queue.len(rank)).sum();
            prop_assert_eq!(waiting, queued.len());
            prop_assert!(waiting <= 32);
        }
    }
}
