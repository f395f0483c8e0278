//! Guards against long streams at engines where they pause for longer than their route allows,
//! while other engines have room.

use std::net::SocketAddr;
use std::time::{Duration, Instant};

use daisyyard_core::choice::{Choice, Purpose};
use daisyyard_core::endpoint::{Endpoint, Kind};
use daisyyard_core::id;
use daisyyard_core::load::Need;
use daisyyard_core::pool::Pool;
use daisyyard_core::zone::Zone;

/// Gap between two events at an engine of usual pace when nothing disturbs it.
const USUAL_GAP: Duration = Duration::from_millis(30);
/// Factor by which slow engines take longer.
const SLOWNESS: f64 = 1.3;
/// Longest pause with which a stream has its full worth.
const TARGET_GAP: Duration = Duration::from_millis(180);
/// Factor by which a prompt and a slow moment together stretch one gap in ten.
const STRETCH: f64 = 5.0;

/// Returns an engine of a service in the node's zone.
fn engine(name: &str) -> Endpoint {
    let zone = Zone::new("a", "r");
    let address = SocketAddr::from(([127, 0, 0, 1], 1));
    Endpoint::new(name, "model", Kind::Engine, zone, address)
}

/// Returns a pool with one usual and one slow engine, neither of which is loaded.
fn pool(now: Instant) -> Pool {
    let mut pool = Pool::new(Zone::new("a", "r"), 1);
    for name in ["usual", "slow"] {
        pool.put(engine(name), Duration::ZERO, now);
    }
    pool
}

/// Returns the need of a stream of this many output tokens.
fn need(output: u64) -> Need {
    Need {
        service: id::of("model"),
        prompt: 3_000,
        output,
        memory: 40_000,
        connections: 100,
        target_gap: Some(TARGET_GAP),
        backup: false,
    }
}

/// Returns the gaps of a stream at an engine that is slower than usual by a factor.
fn gaps(slowness: f64) -> Vec<Duration> {
    let stretch = |number| if number % 10 == 9 { STRETCH } else { 1.0 };
    let gap = |number| USUAL_GAP.mul_f64(slowness * stretch(number));
    (0..200).map(gap).collect()
}

/// Returns how many of 100 streams go to the slow engine. The pool knows no load, so that only the
/// pace decides.
fn sent_to_slow(pool: &mut Pool, output: u64, now: Instant) -> u32 {
    let mut count = 0;
    for _ in 0..100 {
        if let Choice::Send { endpoint, .. } = pool.choose(&need(output), &[], now) {
            count += u32::from(endpoint.name == "slow");
        }
    }
    count
}

/// Long streams avoid an engine where they would pause for too long. Short ones use it unless their
/// prompts would delay the streams that run there.
#[test]
fn avoids_slow() {
    let now = Instant::now();
    let mut pool = pool(now);
    pool.observe_gaps(id::of("usual"), &gaps(1.0));
    pool.observe_gaps(id::of("slow"), &gaps(SLOWNESS));
    assert_eq!(sent_to_slow(&mut pool, 900, now), 0);
    assert!(sent_to_slow(&mut pool, 20, now) > 20);
    pool.update_load(id::of("slow"), |load| load.runs += 1);
    assert_eq!(sent_to_slow(&mut pool, 20, now), 0);
}

/// A stream that must move, or needs an engine for its backup, avoids the slow engine as well.
#[test]
fn moves_to_usual() {
    let now = Instant::now();
    let mut pool = pool(now);
    pool.put(engine("other"), Duration::ZERO, now);
    pool.observe_gaps(id::of("usual"), &gaps(1.0));
    pool.observe_gaps(id::of("slow"), &gaps(SLOWNESS));
    let mut slow = 0;
    for purpose in [Purpose::Run, Purpose::Copy] {
        for _ in 0..100 {
            let zone = Some(Zone::new("a", "r").id);
            let engine = pool.choose_engine(&need(900), zone, &[id::of("other")], purpose, now);
            slow += u32::from(engine.expect("both have room").name == "slow");
        }
    }
    // Copies are spread at random, with less weight on the slow engine.
    assert!(slow < 50, "{slow} of 200");
}

/// Without observations, all engines are alike.
#[test]
fn unknown_is_usual() {
    let now = Instant::now();
    let mut pool = pool(now);
    assert!((20..80).contains(&sent_to_slow(&mut pool, 900, now)));
}

/// The pace of an engine that another node has observed counts as well.
#[test]
fn learns_from_others() {
    let now = Instant::now();
    let mut pool = pool(now);
    pool.observe_gaps(id::of("usual"), &gaps(1.0));
    pool.learn_paces(&[(id::of("slow"), USUAL_GAP.mul_f64(SLOWNESS))]);
    assert_eq!(sent_to_slow(&mut pool, 900, now), 0);
}

/// An engine that starts anew has no known pace.
#[test]
fn restart_resets() {
    let now = Instant::now();
    let mut pool = pool(now);
    pool.observe_gaps(id::of("usual"), &gaps(1.0));
    pool.observe_gaps(id::of("slow"), &gaps(SLOWNESS));
    let mut restarted = engine("slow");
    restarted.incarnation = 1;
    pool.put(restarted, Duration::ZERO, now);
    assert!(sent_to_slow(&mut pool, 900, now) > 20);
    assert!(pool.paces().all(|(id, _)| id == id::of("usual")));
}

/// If all engines are slow, streams are still sent.
#[test]
fn sends_anyway() {
    let now = Instant::now();
    let mut pool = pool(now);
    for name in ["usual", "slow"] {
        pool.observe_gaps(id::of(name), &gaps(SLOWNESS));
    }
    assert!((20..80).contains(&sent_to_slow(&mut pool, 900, now)));
}
