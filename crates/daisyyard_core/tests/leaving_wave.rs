//! Guards against moves to engines that leave next, and against a wrong idea of the time that a leaving
//! engine has.

use std::net::SocketAddr;
use std::time::{Duration, Instant};

use daisyyard_core::choice::Purpose;
use daisyyard_core::endpoint::{Endpoint, Kind, State};
use daisyyard_core::id;
use daisyyard_core::load::Need;
use daisyyard_core::pool::{Pool, Signal};
use daisyyard_core::wave::Wave;
use daisyyard_core::zone::Zone;

/// Number of choices that are compared.
const CHOICES: usize = 200;

/// Returns a duration in milliseconds.
fn ms(number: u64) -> Duration {
    Duration::from_millis(number)
}

/// Returns an engine.
fn engine(name: &str, zone: &str, incarnation: u64, state: State) -> Endpoint {
    let address = SocketAddr::from(([127, 0, 0, 1], 1));
    let mut endpoint = Endpoint::new(name, "model", Kind::Engine, Zone::new(zone, "r"), address);
    endpoint.incarnation = incarnation;
    endpoint.state = state;
    endpoint.slots = 8;
    endpoint
}

/// Returns the need of a run.
fn need() -> Need {
    Need {
        service: id::of("model"),
        prompt: 1_000,
        output: 400,
        memory: 20_000,
        connections: 100,
        target_gap: None,
        backup: false,
    }
}

/// Counts how often an engine is chosen as the target of a move from zone `a`.
fn count_choices(pool: &mut Pool, name: &str, now: Instant) -> usize {
    let zone = Some(Zone::new("a", "r").id);
    let mut choose = || pool.choose_engine(&need(), zone, &[], Purpose::Run, now);
    let chosen = (0..CHOICES).filter_map(|_| choose());
    chosen.filter(|engine| engine.name == name).count()
}

/// The time of a leaving engine is learned from those that have ended, and one crash or a lease that ran
/// out changes little.
#[test]
fn learns_stay() {
    let now = Instant::now();
    let mut wave = Wave::default();
    wave.notice(1, 0, now);
    let unknown = wave.expected_end(1).expect("it leaves") - now;
    assert_eq!(unknown, ms(1_500));
    for (id, stay) in [(1, 2_000), (2, 2_100), (3, 1_900), (4, 100), (5, 10_000)] {
        wave.notice(id, 0, now);
        wave.end(id, now + ms(stay));
    }
    wave.notice(9, 0, now + ms(3_300));
    let learned = wave.expected_end(9).expect("it leaves") - now;
    assert_eq!(learned, ms(3_300 + 1_900));
    assert!(wave.expected_end(10).is_none());
}

/// The end of a leaving engine is seen by its broken connections and by its entry.
#[test]
fn sees_ends() {
    for by_entry in [true, false] {
        let now = Instant::now();
        let mut pool = Pool::new(Zone::new("a", "r"), 1);
        for name in ["one", "two"] {
            pool.put(engine(name, "a", 1, State::Live), Duration::ZERO, now);
        }
        pool.put(engine("one", "a", 1, State::Leaving), Duration::ZERO, now);
        let end = now + ms(2_000);
        if by_entry {
            pool.remove(id::of("one"), None, end);
        } else {
            pool.observe(id::of("one"), Signal::Failed, end);
        }
        pool.put(engine("two", "a", 1, State::Leaving), Duration::ZERO, end);
        let expected = pool.expected_end(id::of("two"));
        assert_eq!(expected, Some(end + ms(2_000)));
    }
}

/// A deleted entry is a notice, too, if there was none before.
#[test]
fn entry_deleted() {
    let now = Instant::now();
    let mut pool = Pool::new(Zone::new("a", "r"), 1);
    pool.put(engine("one", "a", 1, State::Live), Duration::ZERO, now);
    pool.remove(id::of("one"), None, now);
    assert_eq!(pool.expected_end(id::of("one")), Some(now + ms(1_500)));
}

/// In a wave, an engine that has started since it began is preferred as a target.
#[test]
fn prefers_new_engines() {
    let now = Instant::now();
    let mut pool = Pool::new(Zone::new("a", "r"), 1);
    for name in ["old", "one", "two", "new"] {
        pool.put(engine(name, "a", 1, State::Live), Duration::ZERO, now);
    }
    let later = now + ms(3_000);
    for name in ["one", "two", "new"] {
        pool.put(engine(name, "a", 1, State::Leaving), Duration::ZERO, later);
    }
    let back = later + ms(3_000);
    pool.put(engine("new", "a", 2, State::Live), Duration::ZERO, back);
    let chosen = count_choices(&mut pool, "new", back);
    assert!(chosen > CHOICES * 9 / 10, "{chosen}");
    let much_later = back + Duration::from_secs(30);
    let chosen = count_choices(&mut pool, "new", much_later);
    assert!(chosen < CHOICES * 7 / 10, "the wave has ended: {chosen}");
}

/// If the engines of one zone leave, runs move to another zone although that takes twice as long.
#[test]
fn avoids_leaving_zone() {
    let now = Instant::now();
    let mut pool = Pool::new(Zone::new("a", "r"), 1);
    for name in ["one", "two", "three", "near"] {
        pool.put(engine(name, "a", 1, State::Live), Duration::ZERO, now);
    }
    pool.put(engine("far", "b", 1, State::Live), Duration::ZERO, now);
    assert!(count_choices(&mut pool, "far", now) < CHOICES / 10);
    for name in ["one", "two", "three"] {
        pool.put(engine(name, "a", 1, State::Leaving), Duration::ZERO, now);
    }
    assert_eq!(count_choices(&mut pool, "far", now), CHOICES);
}

/// A copy takes a slot, so an engine without one is no target.
#[test]
fn needs_slot() {
    let now = Instant::now();
    let mut pool = Pool::new(Zone::new("a", "r"), 1);
    pool.put(engine("one", "a", 1, State::Live), Duration::ZERO, now);
    pool.update_load(id::of("one"), |load| load.runs = 8);
    assert_eq!(count_choices(&mut pool, "one", now), 0);
    pool.update_load(id::of("one"), |load| load.runs = 7);
    assert_eq!(count_choices(&mut pool, "one", now), CHOICES);
}
