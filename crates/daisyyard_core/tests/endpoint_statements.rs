//! Guards against requests to endpoints that have stated in an answer that they leave or turn requests
//! away, whatever the store and other nodes say, and against statements that outlive their endpoint.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::time::{Duration, Instant};

use assert_matches::assert_matches;
use daisyyard_core::access::{Access, Reason};
use daisyyard_core::choice::{Choice, Purpose};
use daisyyard_core::endpoint::{Endpoint, Kind, State};
use daisyyard_core::id::{self, EndpointId};
use daisyyard_core::load::Need;
use daisyyard_core::pool::Pool;
use daisyyard_core::statement::{Barrier, Leaver};
use daisyyard_core::zone::Zone;
use rand::{Rng, SeedableRng};
use rand_pcg::Pcg64Mcg;

/// Time after an answer from which its `Retry-After` is kept.
const REACTION_TIME: Duration = Duration::from_millis(500);
/// Maximum number of requests in the rest of the time that an answer states.
const MAX_REQUESTS: usize = 2;
/// Names of the endpoints.
const NAMES: [&str; 3] = ["one", "two", "three"];

/// Returns an engine with an incarnation.
fn engine(name: &str, incarnation: u64) -> Endpoint {
    let address = SocketAddr::from(([127, 0, 0, 1], 1));
    let mut endpoint = Endpoint::new(name, "model", Kind::Engine, Zone::new("a", "r"), address);
    endpoint.slots = 1_000;
    endpoint.incarnation = incarnation;
    endpoint
}

/// Returns the need of a request.
fn need() -> Need {
    Need {
        service: id::of("model"),
        prompt: 1,
        output: 0,
        memory: 10_000,
        connections: 1_000,
        target_gap: None,
        backup: false,
    }
}

/// Returns a pool with these engines of incarnation 1, and the current time.
fn pool(names: &[&str]) -> (Pool, Instant) {
    let now = Instant::now();
    let mut pool = Pool::new(Zone::new("a", "r"), 1);
    pool.advance(10.into());
    for name in names {
        pool.put(engine(name, 1), Duration::ZERO, now);
    }
    (pool, now)
}

/// Returns the endpoint that is chosen for a request.
fn chosen(pool: &mut Pool, now: Instant) -> Option<EndpointId> {
    match pool.choose(&need(), &[], now) {
        Choice::Send { endpoint, .. } => Some(endpoint.id),
        _ => None,
    }
}

/// Returns a leaving incarnation of the first engine.
fn leaver(incarnation: u64) -> Leaver {
    Leaver {
        endpoint: id::of("one"),
        incarnation,
    }
}

/// Returns a time in seconds.
fn seconds(seconds: f64) -> Duration {
    Duration::from_secs_f64(seconds)
}

/// Neither an entry that still says ready, nor a deletion with a later old read, nor the report of another
/// node opens an endpoint that has stated that it leaves.
#[test]
fn stays_leaving() {
    let (mut pool, now) = pool(&["one"]);
    assert!(pool.learn_leaving(leaver(1), true, now));
    assert!(!pool.learn_leaving(leaver(1), true, now), "it is not new");
    let id = id::of("one");
    let leaving = Some(Access::Closed(Reason::Leaving, None));
    assert_eq!(pool.access(id, now), leaving);
    assert!(!pool.is_changed(&engine("one", 1)), "it says nothing new");
    pool.advance(11.into());
    assert!(!pool.put(engine("one", 1), Duration::ZERO, now));
    assert_eq!(pool.access(id, now), leaving);
    assert!(!pool.mark_leaving(id, 5.into(), now));
    pool.remove(id, None, now);
    let later = now + seconds(30.0);
    pool.expire(later);
    pool.put(engine("one", 1), Duration::ZERO, later);
    assert_eq!(pool.access(id, later), leaving);
    assert_matches!(pool.choose(&need(), &[], later), Choice::Missing);
    let target = pool.choose_engine(&need(), None, &[], Purpose::Run, later);
    assert!(target.is_none());
}

/// A new incarnation starts clean, and neither a late answer of the old one nor an old report marks it.
#[test]
fn new_incarnation() {
    let (mut pool, now) = pool(&["one"]);
    pool.learn_leaving(leaver(1), true, now);
    pool.turn_away(id::of("one"), 1, seconds(30.0), now);
    pool.put(engine("one", 2), Duration::ZERO, now);
    assert_eq!(chosen(&mut pool, now), Some(id::of("one")));
    assert!(!pool.learn_leaving(leaver(1), true, now));
    assert!(!pool.learn_leaving(leaver(1), false, now));
    assert_eq!(
        pool.turn_away(id::of("one"), 1, seconds(30.0), now),
        None,
        "a late answer"
    );
    assert_eq!(chosen(&mut pool, now), Some(id::of("one")));
    let new = engine("one", 2);
    let barriers = pool.barriers(now);
    assert!(!barriers.iter().any(|it| it.stops(&new, None, now)));
}

/// Where entries state no incarnation, an entry after a deletion or with another address starts clean.
#[test]
fn unstated_incarnation() {
    let now = Instant::now();
    let mut pool = Pool::new(Zone::new("a", "r"), 1);
    pool.put(engine("one", 0), Duration::ZERO, now);
    pool.learn_leaving(leaver(0), true, now);
    pool.put(engine("one", 0), Duration::ZERO, now);
    assert_eq!(chosen(&mut pool, now), None, "the same start");
    pool.remove(id::of("one"), None, now);
    pool.put(engine("one", 0), Duration::ZERO, now);
    assert_eq!(chosen(&mut pool, now), Some(id::of("one")));
    pool.learn_leaving(leaver(0), true, now);
    let mut moved = engine("one", 0);
    moved.address.set_port(2);
    pool.put(moved, Duration::ZERO, now);
    assert_eq!(chosen(&mut pool, now), Some(id::of("one")));
}

/// Other nodes are told of an endpoint by the node that it has told, and only for some time.
#[test]
fn told_first_hand() {
    let (mut pool, now) = pool(&["one"]);
    pool.learn_leaving(leaver(1), false, now);
    assert_eq!(pool.leavers(now).count(), 0);
    pool.learn_leaving(leaver(1), true, now);
    assert_eq!(pool.leavers(now).collect::<Vec<_>>(), [leaver(1)]);
    assert_eq!(pool.leavers(now + seconds(60.0)).count(), 0);
}

/// Requests go elsewhere while an endpoint turns them away, and return when the time has passed.
#[test]
fn goes_elsewhere() {
    let (mut pool, now) = pool(&["one", "two"]);
    let until = now + seconds(4.0);
    let closed = pool.turn_away(id::of("one"), 1, seconds(4.0), now);
    assert_eq!(closed, Some((until, true)));
    let closed = pool.turn_away(id::of("one"), 1, seconds(1.0), now);
    assert_eq!(closed, Some((until, false)), "a shorter time ends nothing");
    for step in 0..40 {
        let at = now + seconds(0.1) * step;
        assert_eq!(chosen(&mut pool, at), Some(id::of("two")), "step {step}");
    }
    assert!(pool.take_reopened(now).is_empty());
    let opened = pool.take_reopened(until);
    assert_eq!(opened.len(), 1);
    assert!(pool.take_reopened(until).is_empty(), "once");
    assert_eq!(pool.access(id::of("one"), until), Some(Access::Open));
}

/// If all endpoints turn requests away, the first that opens is known, also if it was tried before; one
/// request tries each after half of its time.
#[test]
fn all_closed() {
    let (mut pool, now) = pool(&["one", "two"]);
    pool.turn_away(id::of("one"), 1, seconds(4.0), now);
    pool.turn_away(id::of("two"), 1, seconds(8.0), now);
    let first = now + seconds(4.0);
    let refused = |choice: Choice| matches!(choice, Choice::TurnedAway(opens) if opens == first);
    assert!(refused(pool.choose(&need(), &[], now)));
    assert!(refused(pool.choose(&need(), &[id::of("one")], now)));
    let tried: Vec<EndpointId> = (0..4)
        .filter_map(|_| chosen(&mut pool, now + seconds(3.0)))
        .collect();
    assert_eq!(tried, [id::of("one")]);
    assert!(!pool.try_one(id::of("one"), now + seconds(3.0)));
}

/// A request that was placed before a statement must not leave after it, except as a trial.
#[test]
fn barriers() {
    let (mut pool, now) = pool(&["one", "two"]);
    let (before, after) = (now, now + seconds(1.0));
    pool.turn_away(id::of("one"), 1, seconds(4.0), now + seconds(0.5));
    let stops = |pool: &Pool, endpoint: &Endpoint, placed_at| {
        let barriers = pool.barriers(after);
        let stops = |it: &Barrier| it.stops(endpoint, placed_at, after);
        barriers.iter().any(stops)
    };
    assert!(stops(&pool, &engine("one", 1), Some(before)));
    assert!(!stops(&pool, &engine("one", 1), Some(after)), "a trial");
    assert!(!stops(&pool, &engine("one", 2), Some(before)), "a new one");
    assert!(!stops(&pool, &engine("two", 1), Some(before)));
    pool.learn_leaving(leaver(1), true, after);
    assert!(stops(&pool, &engine("one", 1), Some(after)));
}

/// What is under way in the play of a node and its endpoints.
#[derive(Debug, Clone)]
enum Pending {
    /// A request that was placed at this time connects to an endpoint.
    Connect(Endpoint, Instant),
    /// An endpoint's answer: whether it leaves, and its `Retry-After`.
    Answer(Endpoint, bool, Option<Duration>),
}

/// What engines said and got, by endpoint and incarnation.
#[derive(Debug, Default)]
struct Book {
    /// When requests arrived.
    arrivals: Vec<Instant>,
    /// Times in which few requests may arrive.
    closed: Vec<(Instant, Instant)>,
    /// Whether the engine leaves.
    leaves: bool,
    /// When the node learned that.
    told_at: Option<Instant>,
}

/// A node whose endpoints answer, restart and are listed at random, while old entries and reports arrive.
struct Play {
    /// Seed of the play.
    seed: u64,
    /// Generator of the events.
    random: Pcg64Mcg,
    /// Endpoints as the node sees them.
    pool: Pool,
    /// Newest incarnation of each endpoint.
    incarnations: [u64; NAMES.len()],
    /// What happened at each incarnation.
    books: HashMap<(EndpointId, u64), Book>,
    /// What is under way, with the time at which it happens.
    pending: Vec<(Instant, Pending)>,
    /// Longest time in seconds for which endpoints turn requests away.
    longest: f64,
}

impl Play {
    /// Changes what the node knows, or lets it place a request.
    fn step(&mut self, revision: u64, now: Instant) {
        let index = self.random.random_range(0..NAMES.len());
        let (name, id) = (NAMES[index], id::of(NAMES[index]));
        let known = self.random.random_range(1..=self.incarnations[index]);
        self.pool.advance(revision.into());
        match self.random.random_range(0..400) {
            0 => self.incarnations[index] += 1,
            1..10 => {
                let mut entry = engine(name, known);
                if self.random.random_bool(0.2) {
                    entry.state = State::Leaving;
                }
                self.pool.put(entry, Duration::ZERO, now);
            }
            10 => {
                let grace = self.random.random_bool(0.5).then(|| now + seconds(1.0));
                self.pool.remove(id, grace, now);
            }
            11 => {
                let old = self.random.random_range(0..revision);
                self.pool.mark_leaving(id, old.into(), now);
            }
            12 if self.books.get(&(id, known)).is_some_and(|it| it.leaves) => {
                let report = Leaver {
                    endpoint: id,
                    incarnation: known,
                };
                self.pool.learn_leaving(report, false, now);
            }
            13 => {
                self.pool.expire(now);
            }
            14 => {
                // A run that only this endpoint can continue.
                let endpoint = self.pool.endpoint(id).map(|it| Endpoint::clone(it));
                let is_open = self.pool.access(id, now) == Some(Access::Open);
                if let Some(endpoint) = endpoint
                    && (is_open || self.pool.try_one(id, now))
                {
                    self.connect(endpoint, now);
                }
            }
            15..200 => {
                if let Choice::Send { endpoint, .. } = self.pool.choose(&need(), &[], now) {
                    self.connect(Endpoint::clone(&endpoint), now);
                }
            }
            _ => {}
        }
    }

    /// Connects to an endpoint for a request.
    fn connect(&mut self, endpoint: Endpoint, now: Instant) {
        let connected = now + seconds(self.random.random_range(0.0..1.0));
        let connect = Pending::Connect(endpoint, now);
        self.pending.push((connected, connect));
    }

    /// Sends a request on a connection that is open, unless that is too late; the endpoint answers it.
    fn arrive(&mut self, endpoint: Endpoint, placed_at: Instant, now: Instant) {
        let index = NAMES.iter().position(|name| *name == endpoint.name);
        let runs = index.is_some_and(|it| self.incarnations[it] == endpoint.incarnation);
        let barriers = self.pool.barriers(now);
        let stops = |it: &Barrier| it.stops(&endpoint, Some(placed_at), now);
        if !runs || barriers.iter().any(stops) {
            return;
        }
        let key = (endpoint.id, endpoint.incarnation);
        let book = self.books.entry(key).or_default();
        assert!(book.told_at.is_none(), "seed {}: it leaves", self.seed);
        book.arrivals.push(now);
        book.leaves |= self.random.random_bool(0.005);
        let leaves = book.leaves;
        let turns_away = self.random.random_bool(0.1);
        let time = seconds(self.random.random_range(0.0..self.longest));
        let retry = turns_away.then_some(time);
        if let Some(time) = retry {
            book.closed.push((now + REACTION_TIME, now + time));
        }
        let answered = now + seconds(self.random.random_range(0.0..0.4));
        let answer = Pending::Answer(endpoint, leaves, retry);
        self.pending.push((answered, answer));
    }

    /// Reads an answer.
    fn read(&mut self, endpoint: &Endpoint, leaves: bool, retry: Option<Duration>, now: Instant) {
        let (endpoint, incarnation) = (endpoint.id, endpoint.incarnation);
        if leaves {
            let statement = Leaver {
                endpoint,
                incarnation,
            };
            self.pool.learn_leaving(statement, true, now);
            let book = self.books.entry((endpoint, incarnation)).or_default();
            book.told_at = Some(now);
        }
        if let Some(time) = retry {
            self.pool.turn_away(endpoint, incarnation, time, now);
        }
    }

    /// Handles what is due.
    fn handle_due(&mut self, now: Instant) {
        let due: Vec<_> = self.pending.extract_if(.., |(at, _)| *at <= now).collect();
        for (_, event) in due {
            match event {
                Pending::Connect(endpoint, placed_at) => self.arrive(endpoint, placed_at, now),
                Pending::Answer(endpoint, leaves, retry) => {
                    self.read(&endpoint, leaves, retry, now);
                }
            }
        }
    }

    /// Checks the requests that arrived, and returns their number.
    fn check(&self) -> usize {
        for book in self.books.values() {
            for (from, until) in &book.closed {
                let inside = |at: &&Instant| *at >= from && *at < until;
                let count = book.arrivals.iter().filter(inside).count();
                assert!(count <= MAX_REQUESTS, "seed {}: {count}", self.seed);
            }
        }
        self.books.values().map(|book| book.arrivals.len()).sum()
    }
}

/// Plays one sequence, and returns the number of requests that arrived.
fn play(seed: u64) -> usize {
    let mut random = Pcg64Mcg::seed_from_u64(seed);
    let (pool, start) = pool(&NAMES);
    let longest = random.random_range(0.5..20.0);
    let mut play = Play {
        seed,
        random,
        pool,
        incarnations: [1; NAMES.len()],
        books: HashMap::new(),
        pending: Vec::new(),
        longest,
    };
    for number in 0..4_000_u32 {
        let now = start + Duration::from_millis(10) * number;
        play.step(u64::from(number) + 20, now);
        play.handle_due(now);
    }
    play.check()
}

/// No sequence of answers, entries and reports lets a request out to an endpoint that has told this node
/// that it leaves, or more than two to one that turns requests away.
#[test]
fn random_sequences() {
    let arrived: usize = (0..200).map(play).sum();
    assert!(arrived > 20_000, "{arrived} requests arrived");
}
