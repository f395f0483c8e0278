//! Guards against accounts that are counted in the wrong size class or without a bound.

use std::time::{Duration, SystemTime, UNIX_EPOCH};

use daisyyard_core::burn::{Class, End, Observation, SLOT_LENGTH, Verdict};
use daisyyard_core::contract::{Contract, Rank};
use daisyyard_core::usage::{MAX_ACCOUNTS, Usage};

/// Returns a time by its slot number.
fn at(slot: u32) -> SystemTime {
    UNIX_EPOCH + SLOT_LENGTH * (1_000_000 + slot)
}

/// One account that does nearly all the work is large, the others are small.
#[test]
fn size_classes() {
    let mut usage = Usage::new();
    for account in 1..10 {
        usage.add(account, 100, at(0));
    }
    assert_eq!(usage.add(0, 100_000, at(0)), Class::Large);
    assert_eq!(usage.add(1, 100, at(1)), Class::Small);
    assert_eq!(usage.add(1, 20_000, at(1)), Class::Medium);
}

/// Work older than an hour no longer counts, whether or not the account went on.
#[test]
fn forgets_work() {
    let mut usage = Usage::new();
    usage.add(0, 100_000, at(0));
    for slot in 0..12 {
        usage.add(1, 10, at(slot));
    }
    assert_eq!(usage.add(1, 10, at(11)), Class::Small);
    assert_eq!(usage.add(1, 10, at(12)), Class::Medium);
    assert_eq!(usage.accounts(), 1);
    usage.add(0, 10, at(12));
    assert_eq!(usage.add(0, 0, at(12)), Class::Small);
}

/// More accounts than the bound displace those that were idle longest.
#[test]
fn bounded_accounts() {
    let mut usage = Usage::new();
    usage.add(u64::MAX, 10, at(1));
    for account in 0..MAX_ACCOUNTS as u64 + 100 {
        usage.add(account, 10, at(0));
    }
    assert_eq!(usage.accounts(), MAX_ACCOUNTS);
    assert_eq!(usage.add(u64::MAX, 0, at(1)), Class::Medium);
    assert_eq!(usage.accounts(), MAX_ACCOUNTS);
}

/// The classes follow from the tokens of the last hour, whatever was dropped or went out of date.
#[test]
fn exact_mean() {
    let mut usage = Usage::new();
    let mut work: Vec<(u64, u32, u64)> = Vec::new();
    let mut state = 7_u64;
    for step in 0..3_000_u32 {
        state = state
            .wrapping_mul(6_364_136_223_846_793_005)
            .wrapping_add(1);
        let (account, tokens, slot) = (state >> 60, (state >> 40) % 1_000, step / 40);
        work.push((account, slot, tokens));
        let class = usage.add(account, tokens, at(slot));
        let recent: Vec<_> = work.iter().filter(|one| one.1 + 12 > slot).collect();
        let mut accounts: Vec<u64> = recent.iter().map(|one| one.0).collect();
        accounts.sort_unstable();
        accounts.dedup();
        let total: u64 = recent.iter().map(|one| one.2).sum();
        let own = recent.iter().filter(|one| one.0 == account);
        let own: u64 = own.map(|one| one.2).sum();
        let mean = total as f64 / accounts.len() as f64;
        assert_eq!(class, Class::of(own as f64, mean), "step {step}");
    }
}

/// Each target that is missed gives its own verdict, and a caller that leaves early gives none.
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
    let early = Observation {
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
        (early, None),
        (
            Observation {
                duration: Duration::from_secs(1),
                ..early
            },
            Some(Verdict::Late),
        ),
    ];
    for (observed, verdict) in cases {
        assert_eq!(observed.verdict(&contract), verdict, "{observed:?}");
    }
}
