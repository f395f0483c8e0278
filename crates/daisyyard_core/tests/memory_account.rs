//! Guards against an account of memory that lets more be held than the machine has, or that refuses
//! what is free.

use std::time::{Duration, Instant};

use daisyyard_core::footprint::{
    Change, Footprint, Holder, LARGE_BYTES, Machine, USES, Use, Verdict,
};
use proptest::prelude::*;

/// The smallest machine of the stated target.
const SMALLEST: Machine = Machine {
    memory: 88_000_000,
    descriptors: 3_075,
};
/// Maximum size of a body in the stated target.
const MAX_BODY_BYTES: usize = 4 << 20;

/// One step of a schedule.
#[derive(Debug, Clone)]
enum Step {
    /// A new holder is charged this amount.
    Start(Use, Option<u64>, usize),
    /// The holder at this place grows by this amount.
    Grow(usize, usize),
    /// The holder at this place gives back this amount.
    Shrink(usize, usize),
    /// The holder at this place is dropped: it ended, was cancelled or refused.
    Drop(usize),
    /// The machine changes.
    Resize(usize),
}

/// Returns any step.
fn step() -> impl Strategy<Value = Step> {
    let usage = prop::sample::select(USES.to_vec());
    let account = prop::option::of(0_u64..4);
    let amount = prop_oneof![0_usize..20_000, 0_usize..3_000_000];
    prop_oneof![
        4 => (usage, account, amount.clone()).prop_map(|(usage, account, amount)| {
            Step::Start(usage, account, amount)
        }),
        4 => (any::<usize>(), amount.clone()).prop_map(|(place, amount)| Step::Grow(place, amount)),
        2 => (any::<usize>(), amount).prop_map(|(place, amount)| Step::Shrink(place, amount)),
        3 => any::<usize>().prop_map(Step::Drop),
        1 => (64_usize..512).prop_map(Step::Resize),
    ]
}

/// Returns the sums over the holders that a predicate selects.
fn sum(holders: &[Holder], selects: impl Fn(&Holder) -> bool) -> usize {
    let selected = holders.iter().filter(|holder| selects(holder));
    selected.map(|holder| holder.amount).sum()
}

/// Returns whether a holder with this amount is large.
fn is_large(usage: Use, amount: usize) -> bool {
    matches!(usage, Use::Body | Use::Answer) && amount > LARGE_BYTES
}

/// Returns whether the holders with one of them grown stay within every limit, as the design note
/// states them.
fn fits(footprint: &Footprint, holders: &[Holder], grown: &Holder) -> bool {
    let limit = footprint.limit(grown.usage);
    let same = |holder: &Holder| holder.usage == grown.usage;
    let account = |holder: &Holder| same(holder) && holder.account == grown.account;
    let large = |holder: &Holder| is_large(holder.usage, holder.amount);
    let limited = grown.usage == Use::Body && grown.account.is_some();
    let percent = |parts: usize| limit * parts / 100;
    sum(holders, same) <= limit
        && (!large(grown) || sum(holders, |one| same(one) && large(one)) <= percent(75))
        && (!limited || sum(holders, account) <= percent(85))
        && (!limited
            || !large(grown)
            || sum(holders, |one| account(one) && large(one)) <= percent(50))
}

/// Applies a charge and checks the verdict: granted if and only if the result fits.
fn charge(footprint: &mut Footprint, holders: &mut [Holder], place: usize, amount: usize) {
    let before = holders[place].clone();
    let mut grown = before.clone();
    grown.amount += amount;
    holders[place] = grown.clone();
    let fits = amount == 0 || fits(footprint, holders, &grown);
    holders[place] = before;
    let checked = footprint.check(&holders[place], amount);
    let verdict = footprint.charge(&mut holders[place], amount);
    assert_eq!(verdict, checked);
    assert_eq!(verdict == Verdict::Granted, fits, "{grown:?}");
    if verdict == Verdict::Granted {
        assert_eq!(holders[place].amount, grown.amount);
    }
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 400, ..ProptestConfig::default() })]

    /// No sequence of charges, drops, cancellations and refusals leaves the account above its limit or
    /// short of what is free, and what is held is always what is charged.
    #[test]
    fn exact_account(steps in prop::collection::vec(step(), 1..200)) {
        let mut footprint = Footprint::new(SMALLEST);
        let mut holders: Vec<Holder> = Vec::new();
        for step in steps {
            match step {
                Step::Start(usage, account, amount) => {
                    holders.push(Holder::new(usage, account));
                    let place = holders.len() - 1;
                    charge(&mut footprint, &mut holders, place, amount);
                }
                Step::Grow(place, amount) if !holders.is_empty() => {
                    let place = place % holders.len();
                    charge(&mut footprint, &mut holders, place, amount);
                }
                Step::Shrink(place, amount) if !holders.is_empty() => {
                    let place = place % holders.len();
                    footprint.give_back(&mut holders[place], amount);
                }
                Step::Drop(place) if !holders.is_empty() => {
                    let mut holder = holders.swap_remove(place % holders.len());
                    footprint.give_back(&mut holder, usize::MAX);
                }
                Step::Resize(megabytes) => {
                    footprint.resize(Machine { memory: megabytes * 1_000_000, ..SMALLEST });
                }
                _ => {}
            }
            for usage in USES {
                let held = sum(&holders, |holder| holder.usage == usage);
                prop_assert_eq!(footprint.used(usage), held);
            }
        }
        for mut holder in holders {
            footprint.give_back(&mut holder, usize::MAX);
        }
        footprint.resize(SMALLEST);
        prop_assert_eq!(footprint, Footprint::new(SMALLEST));
    }
}

/// Stalled large bodies, of one account or several, cannot take the room of ordinary ones.
#[test]
fn room_for_ordinary() {
    let mut footprint = Footprint::new(SMALLEST);
    let crowd = (0..40).map(|number| Holder::new(Use::Body, Some(number % 3)));
    let mut crowd: Vec<Holder> = crowd.collect();
    for _ in 0..MAX_BODY_BYTES / LARGE_BYTES {
        for holder in &mut crowd {
            footprint.charge(holder, LARGE_BYTES);
        }
    }
    for _ in 0..20 {
        let mut ordinary = Holder::new(Use::Body, Some(0));
        assert_eq!(footprint.charge(&mut ordinary, 16 << 10), Verdict::Granted);
    }
}

/// One client account with many small bodies leaves room for the others.
#[test]
fn room_for_accounts() {
    let mut footprint = Footprint::new(SMALLEST);
    let mut crowd = Vec::new();
    loop {
        let mut holder = Holder::new(Use::Body, Some(1));
        if footprint.charge(&mut holder, 16 << 10) == Verdict::Full {
            break;
        }
        crowd.push(holder);
    }
    let mut other = Holder::new(Use::Body, Some(2));
    assert_eq!(footprint.charge(&mut other, 16 << 10), Verdict::Granted);
}

/// A single body or answer of the maximum size fits at the smallest machine, and the connections stay
/// below its descriptors, each with one to an endpoint.
#[test]
fn smallest_machine() {
    for usage in [Use::Body, Use::Answer] {
        let mut footprint = Footprint::new(SMALLEST);
        let mut holder = Holder::new(usage, Some(1));
        assert_eq!(
            footprint.charge(&mut holder, MAX_BODY_BYTES),
            Verdict::Granted
        );
    }
    let footprint = Footprint::new(SMALLEST);
    let connections = footprint.limit(Use::Connection) * 2 + footprint.limit(Use::Control);
    assert!(connections + 200 < SMALLEST.descriptors, "{connections}");
    assert!(footprint.limit(Use::Connection) > 500);
}

/// The log gets one line when the account closes and one when it opens, at most one in 10 s.
#[test]
fn bounded_reports() {
    let start = Instant::now();
    let at = |seconds| start + Duration::from_secs(seconds);
    let mut footprint = Footprint::new(SMALLEST);
    assert_eq!(footprint.check_opening(at(0)), None);
    let closed = Some(Change::Closed(Use::Body));
    assert_eq!(footprint.record_refusal(Use::Body, at(0)), closed);
    assert_eq!(footprint.record_refusal(Use::Body, at(1)), None);
    assert_eq!(footprint.check_opening(at(2)), None);
    assert_eq!(footprint.check_opening(at(10)), Some(Change::Opened));
    assert_eq!(footprint.record_refusal(Use::Answer, at(12)), None);
    let closed = Some(Change::Closed(Use::Answer));
    assert_eq!(footprint.record_refusal(Use::Answer, at(20)), closed);
}
