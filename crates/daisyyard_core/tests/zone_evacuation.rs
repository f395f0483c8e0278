//! Guards against evacuations of availability zones that late, lost or repeated messages end or
//! start, and against paths by which something still reaches an endpoint of an evacuated zone.

use std::net::SocketAddr;
use std::time::{Duration, Instant};

use assert_matches::assert_matches;
use daisyyard_core::access::{Access, Reason};
use daisyyard_core::choice::{Choice, Purpose};
use daisyyard_core::endpoint::{Endpoint, Kind, State};
use daisyyard_core::evacuation::{Change, MAX_ZONES, Order, Register};
use daisyyard_core::id::{self, ZoneId};
use daisyyard_core::load::Need;
use daisyyard_core::pool::{Pool, Signal};
use daisyyard_core::revision::Revision;
use daisyyard_core::zone::Zone;
use proptest::prelude::*;

/// Number of zones in the history of the store.
const ZONES: u64 = 3;
/// Number of nodes that tell each other what they know.
const NODES: usize = 3;

/// Returns an order for a zone.
fn order(zone: ZoneId, revision: impl Into<Revision>, standing: bool) -> Order {
    Order {
        zone,
        revision: revision.into(),
        standing,
    }
}

/// Returns an engine in a zone.
fn engine(name: &str, zone: &str) -> Endpoint {
    let address = SocketAddr::from(([127, 0, 0, 1], 1));
    let mut endpoint = Endpoint::new(name, "model", Kind::Engine, Zone::new(zone, "r"), address);
    endpoint.slots = 8;
    endpoint
}

/// Returns a pool with one engine in each of two zones, `a` and `b`.
fn two_zones(now: Instant) -> Pool {
    let mut pool = Pool::new(Zone::new("a", "r"), 1);
    pool.put(engine("in-a", "a"), Duration::ZERO, now);
    pool.put(engine("in-b", "b"), Duration::ZERO, now);
    pool
}

/// Returns the need of a small request.
fn need(backup: bool) -> Need {
    Need {
        service: id::of("model"),
        prompt: 10,
        output: 500,
        memory: 10_000,
        connections: 100,
        target_gap: None,
        backup,
    }
}

/// Nothing is chosen in an evacuated zone: neither for a run, nor for a copy or a move, nor as a
/// trial after an ejection, nor at an endpoint whose entry is read later.
#[test]
fn nothing_chosen() {
    let now = Instant::now();
    let mut pool = two_zones(now);
    pool.observe(id::of("in-a"), Signal::Refused, now);
    let zone = id::of("a");
    let change = pool.learn_evacuation(order(zone, 5, true), now);
    assert_eq!(change, Some(Change::Started(zone, 5.into())));
    pool.put(engine("late-a", "a"), Duration::ZERO, now);
    let later = now + Duration::from_mins(1);
    for name in ["in-a", "late-a"] {
        let access = pool.access(id::of(name), later);
        assert_eq!(access, Some(Access::Closed(Reason::Evacuated, None)));
        assert!(pool.is_evacuated(id::of(name)));
    }
    for _ in 0..50 {
        assert_matches!(
            pool.choose(&need(true), &[], later),
            Choice::Send { endpoint, backup: None, .. } if endpoint.name == "in-b"
        );
        for purpose in [Purpose::Run, Purpose::Copy] {
            let excluded = [id::of("in-b")];
            let chosen = pool.choose_engine(&need(false), Some(zone), &excluded, purpose, later);
            assert!(chosen.is_none(), "{chosen:?}");
        }
    }
}

/// A request waits only where an endpoint outside the evacuated zones may serve it later.
#[test]
fn only_evacuated() {
    let now = Instant::now();
    let mut pool = two_zones(now);
    pool.learn_evacuation(order(id::of("a"), 5, true), now);
    assert_matches!(
        pool.choose(&need(false), &[id::of("in-b")], now),
        Choice::Evacuated
    );
    pool.observe(id::of("in-b"), Signal::Refused, now);
    assert_matches!(pool.choose(&need(false), &[], now), Choice::Wait);
    pool.learn_evacuation(order(id::of("b"), 6, true), now);
    assert_matches!(pool.choose(&need(false), &[], now), Choice::Evacuated);
    // A service without any endpoint may get one soon.
    let other = Need {
        service: id::of("other"),
        ..need(false)
    };
    assert_matches!(pool.choose(&other, &[], now), Choice::Missing);
    // Endpoints that leave will serve nothing, also after the evacuation.
    for (name, zone) in [("in-a", "a"), ("in-b", "b")] {
        let mut leaving = engine(name, zone);
        leaving.state = State::Leaving;
        pool.put(leaving, Duration::ZERO, now);
    }
    assert_matches!(pool.choose(&need(false), &[], now), Choice::Missing);
}

/// When an evacuation ends, the endpoints are used again, and the time of its end is known.
#[test]
fn ends() {
    let now = Instant::now();
    let mut pool = two_zones(now);
    let zone = id::of("a");
    pool.learn_evacuation(order(zone, 5, true), now);
    assert_eq!(pool.evacuations().ended_at(zone), None);
    let later = now + Duration::from_secs(3);
    let change = pool.learn_evacuation(order(zone, 6, false), later);
    assert_eq!(change, Some(Change::Ended(zone, 6.into())));
    assert_eq!(pool.evacuations().ended_at(zone), Some(later));
    assert_eq!(pool.access(id::of("in-a"), later), Some(Access::Open));
    assert_eq!(pool.evacuations().ended_at(id::of("b")), None);
    pool.learn_evacuation(order(zone, 7, true), later);
    assert_eq!(pool.evacuations().ended_at(zone), None);
}

/// An order that is revoked and given again is not confused by messages that arrive late.
#[test]
fn given_again() {
    let now = Instant::now();
    let mut register = Register::default();
    for (revision, standing) in [(5_u64, true), (7, true), (6, false), (5, true), (6, false)] {
        register.learn(order(1, revision, standing), now);
    }
    assert!(register.is_evacuated(1));
    register.complete(6.into(), &[], now);
    assert!(register.is_evacuated(1), "an old read revokes nothing");
    register.complete(8.into(), &[], now);
    assert!(!register.is_evacuated(1));
    register.learn(order(1, 7, true), now);
    assert!(!register.is_evacuated(1), "a late message restores nothing");
}

/// A zone that a complete read does not name is not evacuated by a message from before the read.
#[test]
fn late_first_message() {
    let now = Instant::now();
    let mut register = Register::default();
    register.complete(10.into(), &[], now);
    assert_eq!(register.learn(order(1, 9, true), now), None);
    assert!(!register.is_evacuated(1));
    register.learn(order(1, 11, true), now);
    assert!(register.is_evacuated(1));
}

/// Orders for many names keep neither memory nor the place of an order that stands.
#[test]
fn bounded() {
    let now = Instant::now();
    let mut register = Register::default();
    register.learn(order(1, 1, true), now);
    for zone in 2..1_000 {
        register.learn(order(zone, zone, true), now);
        register.learn(order(zone, zone + 1_000, false), now);
    }
    assert_eq!(register.orders().count(), MAX_ZONES);
    assert!(register.is_evacuated(1));
    register.complete(5_000.into(), &[order(1, 1, true)], now);
    assert_eq!(register.complete_at(), 5_000.into());
    for zone in 6_000..7_000 {
        register.learn(order(zone, zone, true), now);
    }
    assert_eq!(register.standing().count(), MAX_ZONES);
    assert_eq!(register.complete_at(), 0.into(), "not all orders are known");
    register.complete(8_000.into(), &[order(1, 1, true)], now);
    assert_eq!(register.complete_at(), 8_000.into());
    assert_eq!(register.standing().count(), 1);
}

/// A message to a node.
#[derive(Debug, Clone, Copy)]
enum Message {
    /// A change of the store, from a watch or from another node.
    News(usize),
    /// A complete read of the store as it was after a number of changes.
    Read(usize),
    /// A digest of another node.
    Digest(usize),
}

/// Returns any message about a history of this many changes.
fn message(changes: usize) -> impl Strategy<Value = Message> {
    prop_oneof![
        (0..changes).prop_map(Message::News),
        (0..=changes).prop_map(Message::Read),
        (0..NODES).prop_map(Message::Digest),
    ]
}

/// Changes of the store: each evacuates a zone or revokes that.
type History = Vec<(ZoneId, bool)>;
/// Messages with the nodes that receive them.
type Messages = Vec<(usize, Message)>;

/// Returns a history, and messages to nodes about it.
fn play() -> impl Strategy<Value = (History, Messages)> {
    let change = (0..ZONES, any::<bool>());
    let history = proptest::collection::vec(change, 1..12);
    history.prop_flat_map(|history| {
        let messages = (0..NODES, message(history.len()));
        let messages = proptest::collection::vec(messages, 0..60);
        (Just(history), messages)
    })
}

/// Returns the orders that stand after the first changes of a history, as a complete read names
/// them. The change with index `i` has revision `i + 1`.
fn standing(history: &[(ZoneId, bool)], revision: usize) -> Vec<Order> {
    let zones = (0..ZONES).filter_map(|zone| {
        let known = history[..revision].iter().enumerate();
        let (index, (_, stands)) = known.rev().find(|(_, (one, _))| *one == zone)?;
        stands.then(|| order(zone, index as u64 + 1, true))
    });
    zones.collect()
}

proptest! {
    /// Whatever arrives, in whatever order and however often, each node knows for each zone what
    /// was in force at the highest revision that it has heard of.
    #[test]
    fn highest_revision_wins((history, messages) in play()) {
        let now = Instant::now();
        let mut nodes: Vec<Register> = (0..NODES).map(|_| Register::default()).collect();
        let mut heard = [[0; ZONES as usize]; NODES];
        for (to, message) in messages {
            match message {
                Message::News(index) => {
                    let (zone, standing) = history[index];
                    let revision = index as u64 + 1;
                    nodes[to].learn(order(zone, revision, standing), now);
                    let highest = &mut heard[to][zone as usize];
                    *highest = (index + 1).max(*highest);
                }
                Message::Read(revision) => {
                    nodes[to].complete((revision as u64).into(), &standing(&history, revision), now);
                    heard[to] = heard[to].map(|highest| highest.max(revision));
                }
                Message::Digest(from) => {
                    let orders: Vec<Order> = nodes[from].orders().collect();
                    let revision = nodes[from].complete_at();
                    nodes[to].complete(revision, &orders, now);
                    let told = heard[from];
                    for (highest, told) in heard[to].iter_mut().zip(told) {
                        *highest = told.max(*highest);
                    }
                }
            }
            for zone in 0..ZONES {
                let truth = standing(&history, heard[to][zone as usize]);
                let truth = truth.iter().any(|order| order.zone == zone);
                prop_assert_eq!(nodes[to].is_evacuated(zone), truth, "node {} zone {}", to, zone);
            }
        }
        // One complete read and one digest of its node repair all losses.
        let last = history.len();
        nodes[0].complete((last as u64).into(), &standing(&history, last), now);
        let orders: Vec<Order> = nodes[0].orders().collect();
        let complete_at = nodes[0].complete_at();
        for node in &mut nodes[1..] {
            node.complete(complete_at, &orders, now);
        }
        let zones = |orders: &mut dyn Iterator<Item = Order>| -> Vec<ZoneId> {
            orders.map(|order| order.zone).collect()
        };
        let truth = zones(&mut standing(&history, last).into_iter());
        for node in &nodes {
            prop_assert_eq!(zones(&mut node.standing()), truth.clone());
        }
    }
}
