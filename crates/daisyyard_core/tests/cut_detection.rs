//! Guards against a node that does not notice that it is cut off from all endpoints, or takes endpoints
//! that are down for that.

use std::net::SocketAddr;
use std::time::{Duration, Instant};

use assert_matches::assert_matches;
use daisyyard_core::endpoint::{Endpoint, Kind};
use daisyyard_core::id::EndpointId;
use daisyyard_core::isolation::{Attempt, Change, Detector, Outcome};
use daisyyard_core::pool::Pool;
use daisyyard_core::zone::Zone;
use proptest::prelude::*;
use rand::seq::{IndexedRandom, SliceRandom};
use rand::{Rng, SeedableRng};
use rand_pcg::Pcg64Mcg;

/// Time after which an attempt fails that is not answered.
const TIMEOUT: Duration = Duration::from_secs(1);
/// Time after which such an attempt counts as slow.
const SLOW: Duration = Duration::from_millis(200);
/// Time between two steps of a play.
const STEP: Duration = Duration::from_millis(10);
/// When the network of a play changes.
const CUT_AT: Duration = Duration::from_secs(10);

/// How the network treats an attempt.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Path {
    /// It is answered.
    Open,
    /// It is refused.
    Refused,
    /// It gets no answer.
    Silent,
}

/// A node with endpoints that it calls from time to time.
struct Node {
    detector: Detector,
    live: Vec<EndpointId>,
    random: Pcg64Mcg,
    /// What will be known of the attempts in progress, and when.
    pending: Vec<(Instant, Attempt)>,
    /// Number of probes that were made.
    probes: usize,
}

impl Node {
    fn new(endpoints: u64, seed: u64) -> Self {
        Self {
            detector: Detector::default(),
            live: (1..=endpoints).collect(),
            random: Pcg64Mcg::seed_from_u64(seed),
            pending: Vec::new(),
            probes: 0,
        }
    }

    fn connect(&mut self, endpoint: EndpointId, path: Path, started: Instant) {
        let mut expect = |after, outcome| {
            let attempt = Attempt {
                endpoint,
                started,
                outcome,
            };
            self.pending.push((started + after, attempt));
        };
        match path {
            Path::Open => expect(STEP, Outcome::Made),
            Path::Refused => expect(STEP, Outcome::Failed),
            Path::Silent => {
                expect(SLOW, Outcome::Slow);
                expect(TIMEOUT, Outcome::Failed);
            }
        }
    }

    /// Lives for some time with calls at random times, of this interval on average, and returns the
    /// changes with their times.
    fn play(
        &mut self,
        time: Duration,
        interval: Duration,
        path: impl Fn(EndpointId, Duration) -> Path,
    ) -> Vec<(Duration, Change)> {
        let start = Instant::now();
        let mut changes = Vec::new();
        let mut at = Duration::ZERO;
        let share = STEP.as_secs_f64() / interval.as_secs_f64();
        while at < time {
            let now = start + at;
            let (due, pending) = std::mem::take(&mut self.pending)
                .into_iter()
                .partition(|(known, _)| *known <= now);
            self.pending = pending;
            for (_, attempt) in due {
                self.detector.record(attempt);
                let change = self.detector.review(&self.live, now);
                changes.extend(change.map(|change| (at, change)));
            }
            if self.random.random_bool(share.min(1.0)) {
                let endpoint = *self.live.choose(&mut self.random).unwrap();
                self.connect(endpoint, path(endpoint, at), now);
            }
            if let Some(probed) = self.detector.next_probe(&self.live, now) {
                self.probes += 1;
                self.connect(probed, path(probed, at), now);
            }
            at += STEP;
        }
        changes
    }
}

/// Returns an attempt that started some time after another time.
fn attempt(endpoint: EndpointId, start: Instant, ms: u64, outcome: Outcome) -> Attempt {
    Attempt {
        endpoint,
        started: start + Duration::from_millis(ms),
        outcome,
    }
}

proptest! {
    /// A cut is noticed soon after the first attempt in it, and its end soon after it, with any traffic.
    #[test]
    fn cut_and_return(
        endpoints in 1..30_u64,
        interval_ms in 10..400_u64,
        refuses: bool,
        seed: u64,
    ) {
        let end = CUT_AT * 2;
        let path = |_, at| match at {
            at if at < CUT_AT || at >= end => Path::Open,
            _ if refuses => Path::Refused,
            _ => Path::Silent,
        };
        let interval = Duration::from_millis(interval_ms);
        let changes = Node::new(endpoints, seed).play(CUT_AT * 3, interval, path);
        prop_assert_eq!(changes.len(), 2, "{:?}", changes);
        // The first call may come late.
        let reaction = if refuses { 2 * SLOW } else { SLOW + TIMEOUT };
        let latest = CUT_AT + interval * 12 + reaction + 5 * STEP;
        prop_assert!(changes[0].0 >= CUT_AT && changes[0].0 <= latest, "{:?}", changes);
        assert_matches!(changes[0].1, Change::Isolated { .. });
        prop_assert!(changes[1].0 >= end && changes[1].0 <= end + 3 * SLOW, "{:?}", changes);
        assert_matches!(changes[1].1, Change::Reached { .. });
    }

    /// One endpoint that is down does not cut a node off that has others.
    #[test]
    fn endpoint_down(endpoints in 2..10_u64, interval_ms in 10..2_000_u64, refuses: bool, seed: u64) {
        let path = |endpoint, _| match endpoint {
            1 if refuses => Path::Refused,
            1 => Path::Silent,
            _ => Path::Open,
        };
        let interval = Duration::from_millis(interval_ms);
        let changes = Node::new(endpoints, seed).play(CUT_AT, interval, path);
        prop_assert_eq!(changes, []);
    }

    /// Some endpoints that are down may deceive a node with little traffic, but only for a moment.
    #[test]
    fn some_down(interval_ms in 10..2_000_u64, refuses: bool, seed: u64) {
        let path = |endpoint, _| match endpoint {
            1..=3 if refuses => Path::Refused,
            1..=3 => Path::Silent,
            _ => Path::Open,
        };
        let interval = Duration::from_millis(interval_ms);
        let changes = Node::new(12, seed).play(CUT_AT * 3, interval, path);
        let mut since = Duration::ZERO;
        for (at, change) in changes {
            match change {
                Change::Isolated { .. } => since = at,
                Change::Reached { .. } => prop_assert!(at <= since + 6 * SLOW, "{since:?} {at:?}"),
            }
        }
    }

    /// A link that drops 35% of the packets in each direction hardly ever cuts a node off.
    #[test]
    fn lossy_link(interval_ms in 10..2_000_u64, seed: u64) {
        let path = |endpoint: EndpointId, at: Duration| {
            let seed = seed ^ (endpoint << 32) ^ at.as_millis() as u64;
            let passes = Pcg64Mcg::seed_from_u64(seed).random_bool(0.65 * 0.65);
            if passes { Path::Open } else { Path::Silent }
        };
        let time = CUT_AT * 6;
        let changes = Node::new(12, seed).play(time, Duration::from_millis(interval_ms), path);
        let (mut since, mut isolated) = (None, Duration::ZERO);
        for (at, change) in changes {
            match change {
                Change::Isolated { .. } => since = Some(at),
                Change::Reached { .. } => isolated += at.saturating_sub(since.take().unwrap()),
            }
        }
        isolated += since.map_or(Duration::ZERO, |since| time.saturating_sub(since));
        prop_assert!(isolated <= time / 10, "{isolated:?}");
    }

    /// The order in which attempts become known does not matter.
    #[test]
    fn any_order(kinds in prop::collection::vec((1..5_u64, 0..3_000_u64, 0..3_u8), 1..20), seed: u64) {
        let start = Instant::now();
        let now = start + Duration::from_secs(4);
        let mut attempts: Vec<Attempt> = kinds
            .into_iter()
            .map(|(endpoint, ms, kind)| {
                let outcome = [Outcome::Made, Outcome::Slow, Outcome::Failed][usize::from(kind)];
                attempt(endpoint, start, ms, outcome)
            })
            .collect();
        let decide = |attempts: &[Attempt]| {
            let mut detector = Detector::default();
            for attempt in attempts {
                detector.record(*attempt);
            }
            detector.review(&[1, 2, 3, 4], now)
        };
        let decision = decide(&attempts);
        attempts.shuffle(&mut Pcg64Mcg::seed_from_u64(seed));
        prop_assert_eq!(decide(&attempts), decision);
    }
}

/// A connection that was made before the failed attempts started proves nothing, even if it is known
/// later.
#[test]
fn old_connection() {
    let start = Instant::now();
    let now = start + Duration::from_secs(2);
    let mut detector = Detector::default();
    detector.record(attempt(1, start, 500, Outcome::Failed));
    detector.record(attempt(3, start, 499, Outcome::Made));
    assert_eq!(detector.review(&[1, 2, 3], now), None);
    detector.record(attempt(2, start, 600, Outcome::Failed));
    detector.record(attempt(3, start, 400, Outcome::Made));
    assert_matches!(
        detector.review(&[1, 2, 3], now),
        Some(Change::Isolated { failed: 2, .. })
    );
    detector.record(attempt(3, start, 700, Outcome::Made));
    detector.record(attempt(4, start, 700, Outcome::Made));
    assert_eq!(detector.review(&[1, 2, 3, 4], now), None);
}

/// A node that hardly has traffic finds out with probes of its own, which stop when all is well.
#[test]
fn quiet_node() {
    let mut node = Node::new(5, 1);
    let start = Instant::now();
    node.detector.record(attempt(1, start, 0, Outcome::Failed));
    let hour = Duration::from_hours(1);
    let changes = node.play(CUT_AT, hour, |_, _| Path::Silent);
    assert_matches!(&*changes, [(at, Change::Isolated { failed: 2, .. })] if *at < SLOW + TIMEOUT + 5 * STEP);
    let mut node = Node::new(5, 1);
    node.detector.record(attempt(1, start, 0, Outcome::Slow));
    assert_eq!(node.play(CUT_AT, hour, |_, _| Path::Open), []);
    assert_eq!(node.probes, 1);
}

/// A node that hears that another one is cut off tries an endpoint once.
#[test]
fn heard_cut() {
    let now = Instant::now();
    let mut pool = Pool::new(Zone::new("a", "r"), 1);
    for name in ["one", "two"] {
        let address = SocketAddr::from(([127, 0, 0, 1], 1));
        let endpoint = Endpoint::new(name, "m", Kind::Plain, Zone::new("a", "r"), address);
        pool.put(endpoint, Duration::ZERO, now);
    }
    assert!(pool.next_probe(now + SLOW).is_none());
    pool.doubt_reach(now);
    assert!(pool.next_probe(now).is_none());
    let probed = pool.next_probe(now + SLOW).unwrap();
    let made = attempt(probed.id, now + SLOW, 0, Outcome::Made);
    pool.record_attempt(made);
    assert!(pool.next_probe(now + TIMEOUT).is_none());
}

/// The return does not wait for the endpoints that are still out of reach, and they do not undo it.
#[test]
fn partial_return() {
    let path = |endpoint, at| match endpoint {
        _ if at < CUT_AT => Path::Silent,
        1 | 4 | 7 | 10 => Path::Open,
        _ => Path::Silent,
    };
    let mut node = Node::new(10, 1);
    let changes = node.play(CUT_AT * 2, Duration::from_millis(50), path);
    assert_matches!(
        &*changes,
        [(_, Change::Isolated { .. }), (at, Change::Reached { reached: 2, .. })] if *at < CUT_AT + TIMEOUT
    );
}

/// A node without endpoints is not cut off, and one endpoint is enough where there is only one.
#[test]
fn few_endpoints() {
    let start = Instant::now();
    let mut detector = Detector::default();
    detector.record(attempt(1, start, 0, Outcome::Failed));
    assert_eq!(detector.review(&[], start), None);
    detector.record(attempt(1, start, 0, Outcome::Failed));
    assert_matches!(
        detector.review(&[1], start),
        Some(Change::Isolated { failed: 1, .. })
    );
    assert_matches!(detector.review(&[], start), Some(Change::Reached { .. }));
}
