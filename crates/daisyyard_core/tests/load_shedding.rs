//! Guards against an order or a refusal under overload that costs callers more than it must.

mod play;

use std::collections::BTreeSet;
use std::time::Duration;

use play::{Class, Play, Policy, Tally, flanders, lublin};

/// Index of the long class of both mixes.
const LONG: usize = 0;
/// Index of the short class of both mixes.
const SHORT: usize = 1;
/// Number of engines.
const ENGINES: usize = 12;

/// Plays a mix with two large accounts among 24 at a load.
fn mix(policy: Policy, classes: &[Class], load: f64, seed: u64) -> Play {
    let mut play = Play::new(policy, classes, ENGINES, 24, seed);
    play.accounts[0] = 6.0;
    play.accounts[1] = 4.0;
    play.run(Duration::from_mins(1), |_| load);
    play.finish();
    play
}

/// Returns the part of the worth of all requests that callers got.
fn worth(play: &Play) -> f64 {
    let classes = play.classes.iter().enumerate();
    let possible = classes.map(|(class, one)| f64::from(play.class(class).sent) * one.worth.0);
    let got: f64 = play.by_class.values().map(|tally| tally.worth).sum();
    got / possible.sum::<f64>()
}

/// Prints the figures of one group.
fn print(name: &str, tally: &Tally, possible: f64) {
    let share = |count: u32| 100.0 * f64::from(count) / f64::from(tally.sent.max(1));
    println!(
        "| {name} | {} | {:.1} | {:.1} | {:.1} | {:.1} | {:.1} | {:.1} |",
        tally.sent,
        share(tally.in_time),
        share(tally.late),
        share(tally.refused),
        share(tally.refused_after_waiting),
        share(tally.lost),
        100.0 * tally.worth / possible.max(1.0),
    );
}

/// Plays both mixes at three loads with each order, prints the figures, and compares the worth that
/// callers get. The orders must not be better than the new admission by more than a fiftieth
/// at capacity, and not at all above it.
#[test]
fn compares_orders() {
    let mut worse = Vec::new();
    let policies = [Policy::Today, Policy::Fcfs, Policy::Shortest, Policy::Gate];
    for (name, classes) in [("Lublin", lublin(ENGINES)), ("fv", flanders(ENGINES))] {
        for load in [1.0, 1.3, 2.5] {
            let mut all = Vec::new();
            for policy in policies {
                let play = mix(policy, &classes, load, 7);
                for (&(class, large), tally) in &play.by_class {
                    let one = play.classes[class];
                    let size = if large { ", largest tenth" } else { "" };
                    let group = format!("{name} x {load} | {policy:?} | {}{size}", one.name);
                    print(&group, tally, f64::from(tally.sent) * one.worth.0);
                }
                let (large, rest): (Vec<_>, Vec<_>) = play
                    .by_account
                    .iter()
                    .partition(|(account, _)| **account <= 2);
                for (title, group) in [("two large accounts", large), ("other accounts", rest)] {
                    let tallies = group.iter().map(|(_, tally)| *tally);
                    let sum = tallies.fold(Tally::default(), Tally::plus);
                    print(
                        &format!("{name} x {load} | {policy:?} | {title}"),
                        &sum,
                        0.0,
                    );
                }
                println!(
                    "{name} x {load} {policy:?}: worth {:.1}",
                    100.0 * worth(&play)
                );
                all.push(worth(&play));
            }
            if name == "Lublin" {
                let [today, fcfs, shortest, gate] = all[..] else {
                    unreachable!("four orders were played")
                };
                let best = today.max(fcfs).max(shortest);
                let tolerance = if load > 1.0 { 0.0 } else { 0.02 };
                if gate < best - tolerance {
                    worse.push(format!("{name} x {load}: {all:?}"));
                }
            }
        }
    }
    assert!(worse.is_empty(), "{worse:?}");
}

/// Short urgent requests are not served less often, nor for a smaller part of their worth, than the long ones.
#[test]
fn kinds_stay_fair() {
    for load in [1.0, 1.3, 2.5] {
        let play = mix(Policy::Gate, &lublin(ENGINES), load, 11);
        let (long, short) = (play.class(LONG), play.class(SHORT));
        let part = |tally: Tally, class: usize| {
            tally.worth / (f64::from(tally.sent) * play.classes[class].worth.0)
        };
        assert!(
            short.served_share() >= long.served_share() - 0.05,
            "{load}: {short:?} {long:?}"
        );
        assert!(
            part(short, SHORT) >= part(long, LONG) - 0.15,
            "{load}: {short:?} {long:?}"
        );
    }
}

/// A burst of urgent short requests on engines that are full of long ones meets its targets.
#[test]
fn urgent_burst() {
    let mut classes = lublin(ENGINES);
    // Runs of some ten seconds, so that few places become free during the burst.
    classes[LONG].work = (3_079, 800, 1);
    classes[LONG].rate *= 0.5;
    let mut play = Play::new(Policy::Gate, &classes, ENGINES, 24, 3);
    play.run(Duration::from_secs(30), |_| 1.0);
    play.by_class.clear();
    let burst = |class: &Class| if class.priority == 0 { 1.4 } else { 1.0 };
    play.run(Duration::from_secs(10), burst);
    play.run(Duration::from_secs(10), |_| 1.0);
    play.finish();
    let short = play.class(SHORT);
    assert!(short.in_time_share() >= 0.95, "{short:?}");
}

/// Long requests in a flood neither delay urgent short ones nor are refused late.
#[test]
fn long_flood() {
    let mut play = Play::new(Policy::Gate, &lublin(ENGINES), ENGINES, 24, 4);
    let flood = |class: &Class| if class.priority == 0 { 1.0 } else { 4.0 };
    play.run(Duration::from_secs(40), flood);
    play.finish();
    let (long, short) = (play.class(LONG), play.class(SHORT));
    assert!(short.in_time_share() >= 0.95, "{short:?}");
    assert!(
        long.refused_after_waiting * 4 <= long.refused + long.sent / 10,
        "{long:?}"
    );
}

/// An account with ten times its usual load does not take capacity from those within their shares:
/// they are served as often in time as without it.
#[test]
fn large_account() {
    let run = |weight: f64| {
        let classes = lublin(ENGINES);
        let accounts = 24;
        let mut play = Play::new(Policy::Gate, &classes, ENGINES, accounts, 5);
        play.accounts[0] = weight;
        // The rate grows with the weight, so that the others send as much as before.
        let factor = 0.9 * (weight + 23.0) / 24.0;
        play.run(Duration::from_mins(1), |_| factor);
        play.finish();
        let others = play.by_account.iter().filter(|(account, _)| **account > 1);
        let sum = others.fold(Tally::default(), |sum, (_, tally)| sum.plus(tally));
        (sum, play.by_account[&1])
    };
    let ((calm, _), (flooded, large)) = (run(1.0), run(10.0));
    assert!(
        flooded.in_time_share() >= calm.in_time_share() - 0.05,
        "{calm:?} {flooded:?} {large:?}"
    );
    assert!(large.served_share() > 0.1, "{large:?}");
}

/// While capacity appears slowly, long requests that would be late are still served, and none is
/// refused while an engine is idle.
#[test]
fn slow_capacity() {
    let mut play = Play::new(Policy::Gate, &lublin(ENGINES), ENGINES, 24, 6);
    play.open = 4;
    for _ in 0..8 {
        play.run(Duration::from_millis(1_500), |_| 0.6);
        play.open += 1;
    }
    play.run(Duration::from_secs(20), |_| 0.6);
    play.finish();
    let (long, short) = (play.class(LONG), play.class(SHORT));
    assert!(long.served_share() >= 0.9 && long.late > 0, "{long:?}");
    assert!(short.in_time_share() >= 0.95, "{short:?}");
    assert_eq!(play.idle_refusals, 0);
}

/// Under lasting overload no account and no size starves.
#[test]
fn nobody_starves() {
    let play = mix(Policy::Gate, &lublin(ENGINES), 1.3, 8);
    for (account, tally) in &play.by_account {
        assert!(tally.served_share() > 0.3, "account {account}: {tally:?}");
    }
    let largest = play.by_class[&(LONG, true)];
    let rest = play.by_class[&(LONG, false)];
    assert!(
        largest.served_share() > 0.5 * rest.served_share(),
        "{largest:?} {rest:?}"
    );
}

/// Most refusals come at once, with delays that callers honor and that differ.
#[test]
fn early_refusals() {
    let play = mix(Policy::Gate, &lublin(ENGINES), 2.5, 9);
    let short = play.class(SHORT);
    assert!(short.refused_after_waiting * 10 <= short.sent, "{short:?}");
    let delays: BTreeSet<Duration> = play.refusals.iter().map(|(_, delay, _)| *delay).collect();
    assert!(
        delays.len() * 10 > play.refusals.len() * 9,
        "{}",
        delays.len()
    );
    assert_eq!(play.idle_refusals, 0);
}

/// Below capacity nothing is refused.
#[test]
fn calm_serves_all() {
    let play = mix(Policy::Gate, &lublin(ENGINES), 0.6, 10);
    assert!(play.refusals.is_empty(), "{:?}", play.refusals.len());
    assert!(play.class(LONG).in_time_share() > 0.99);
}
