//! Guards against accounts in the wrong size class, and against state that grows with the number
//! of accounts.

use std::time::{Duration, SystemTime, UNIX_EPOCH};

use daisyyard_core::burn::{Class, End, Observation, SLOT_LENGTH, Verdict};
use daisyyard_core::contract::{Contract, Rank};
use daisyyard_core::usage::{MAX_ACCOUNTS, Usage};

/// Returns the start of a slot, counted from an arbitrary one.
fn slot_start(slot: u32) -> SystemTime {
    UNIX_EPOCH + SLOT_LENGTH * (1_000_000 + slot)
}

/// An account with nearly all the tokens is large, and the others are small.
#[test]
fn size_classes() {
    let mut usage = Usage::new();
    for account in 1..10 {
        usage.add(account, 100, slot_start(0));
    }
    assert_eq!(usage.add(0, 100_000, slot_start(0)), Class::Large);
    assert_eq!(usage.add(1, 100, slot_start(1)), Class::Small);
    assert_eq!(usage.add(1, 20_000, slot_start(1)), Class::Medium);
}

/// Tokens older than an hour no longer count, whether or not the account is still active.
#[test]
fn expires_old_work() {
    let mut usage = Usage::new();
    usage.add(0, 100_000, slot_start(0));
    for slot in 0..12 {
        usage.add(1, 10, slot_start(slot));
    }
    assert_eq!(usage.add(1, 10, slot_start(11)), Class::Small);
    assert_eq!(usage.add(1, 10, slot_start(12)), Class::Medium);
    assert_eq!(usage.accounts(), 1);
    usage.add(0, 10, slot_start(12));
    assert_eq!(usage.add(0, 0, slot_start(12)), Class::Small);
}

/// Beyond the maximum number of accounts, those idle for the longest time are evicted.
#[test]
fn bounded_accounts() {
    let mut usage = Usage::new();
    let most = MAX_ACCOUNTS as u64;
    for account in 0..most {
        usage.add(account, 10, slot_start(0));
    }
    usage.add(u64::MAX, 10, slot_start(1));
    for account in most..most + 100 {
        usage.add(account, 10, slot_start(1));
    }
    assert_eq!(usage.accounts(), MAX_ACCOUNTS);
    assert_eq!(usage.add(u64::MAX, 0, slot_start(1)), Class::Medium);
    assert_eq!(usage.accounts(), MAX_ACCOUNTS);
}

/// The class equals the one computed from all tokens of the last hour, after any expiry.
#[test]
fn exact_mean() {
    let mut usage = Usage::new();
    let mut added: Vec<(u64, u32, u64)> = Vec::new();
    let mut random = 7_u64;
    for step in 0..3_000_u32 {
        random = random
            .wrapping_mul(6_364_136_223_846_793_005)
            .wrapping_add(1);
        let (account, tokens, slot) = (random >> 60, (random >> 40) % 1_000, step / 40);
        added.push((account, slot, tokens));
        let class = usage.add(account, tokens, slot_start(slot));
        let recent: Vec<_> = added.iter().filter(|entry| entry.1 + 12 > slot).collect();
        let mut accounts: Vec<u64> = recent.iter().map(|entry| entry.0).collect();
        accounts.sort_unstable();
        accounts.dedup();
        let total: u64 = recent.iter().map(|entry| entry.2).sum();
        let own = recent.iter().filter(|entry| entry.0 == account);
        let own: u64 = own.map(|entry| entry.2).sum();
        let mean = total as f64 / accounts.len() as f64;
        assert_eq!(class, Class::of(own as f64, mean), "step {step}");
    }
}

/// Each missed target has its own verdict; a caller that leaves before the first-token target
/// has none.
#[test]
fn verdicts() {
    let contract = Contract::ordinary(Rank::Urgent);
    let met = Observation {
        end: End::Complete,
        duration: Duration::from_secs(2),
        first_token: Some(Duration::from_millis(510)),
        token_gap: Some(Duration::from_millis(31)),
    };
    let late = Some(Duration::from_millis(511));
    let slow = Some(Duration::from_millis(32));
    let left_early = Observation {
        end: End::Left,
        duration: Duration::from_millis(100),
        first_token: None,
        token_gap: None,
    };
    let cases = [
        (met, Some(Verdict::Met)),
        (
            Observation {
                first_token: late,
                ..met
            },
            Some(Verdict::Late),
        ),
        (
            Observation {
                token_gap: slow,
                ..met
            },
            Some(Verdict::Slow),
        ),
        (
            Observation {
                end: End::Refused,
                ..met
            },
            Some(Verdict::Refused),
        ),
        (
            Observation {
                end: End::Interrupted,
                ..met
            },
            Some(Verdict::Interrupted),
        ),
        (left_early, None),
        (
            Observation {
                duration: Duration::from_secs(1),
                ..left_early
            },
            Some(Verdict::Late),
        ),
    ];
    for (observed, verdict) in cases {
        assert_eq!(observed.verdict(&contract), verdict, "{observed:?}");
    }
}
