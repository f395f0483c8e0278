//! Guards against state of a store that came back from a copy being taken for older than what was known
//! before, because the store gives out its revisions again.

use std::net::SocketAddr;
use std::time::{Duration, Instant};

use daisyyard_core::endpoint::{Endpoint, Kind};
use daisyyard_core::era::{Statement, Tracker, Verdict};
use daisyyard_core::evacuation::{Change, Order, Register};
use daisyyard_core::id::{self, ZoneId};
use daisyyard_core::outage::Outage;
use daisyyard_core::pool::Pool;
use daisyyard_core::revision::{Era, Revision};
use daisyyard_core::zone::Zone;
use proptest::prelude::*;

/// Number of zones in the histories of the store.
const ZONES: u64 = 3;
/// Number of nodes that tell each other what they know.
const NODES: usize = 3;
/// Time after which nothing that the store has lost is expected to be written again.
const SETTLED: Duration = Duration::from_secs(3);

/// Returns an order for a zone.
fn order(zone: ZoneId, revision: Revision, standing: bool) -> Order {
    Order {
        zone,
        revision,
        standing,
    }
}

/// A later era wins over any number of an earlier one.
#[test]
fn era_first() {
    assert!(Revision::new(2, 5) > Revision::new(1, 900));
    assert!(Revision::new(2, 5) < Revision::new(2, 6));
    assert!(Revision::from(900) < Revision::new(1, 1));
    assert_eq!(Revision::new(2, 5).number_in(2), Some(5));
    assert_eq!(Revision::new(2, 5).number_in(1), None);
}

/// The era only rises; a response of an earlier one is not used, and one without a usable era counts for
/// the known one.
#[test]
fn stated_eras() {
    let mut tracker = Tracker::default();
    assert_eq!(tracker.record(Statement::Stated(3)), Verdict::Current);
    assert_eq!(tracker.record(Statement::Stated(4)), Verdict::Restored(3));
    assert_eq!(tracker.record(Statement::Stated(3)), Verdict::Outdated);
    for odd in [Statement::Absent, Statement::Unusable] {
        assert_eq!(tracker.record(odd), Verdict::Current);
        assert!(tracker.is_newly_doubtful(odd));
        assert!(!tracker.is_newly_doubtful(odd));
        assert!(!tracker.is_newly_doubtful(Statement::Stated(4)));
    }
    assert_eq!(tracker.era(), 4);
}

/// A store that states no era stays in era 0, and one that begins to state eras is read again.
#[test]
fn no_eras() {
    let mut tracker = Tracker::default();
    assert_eq!(tracker.record(Statement::Absent), Verdict::Current);
    assert!(!tracker.is_newly_doubtful(Statement::Absent));
    assert_eq!(tracker.era(), 0);
    assert_eq!(tracker.record(Statement::Stated(1)), Verdict::Restored(0));
}

/// An order is followed although its number is below that of a complete read before the store came back.
#[test]
fn order_after_restore() {
    let now = Instant::now();
    let mut register = Register::default();
    register.complete(Revision::new(1, 900), &[], now);
    register.complete(Revision::new(2, 800), &[], now);
    let started = register.learn(order(1, Revision::new(2, 810), true), now);
    assert_eq!(started, Some(Change::Started(1, Revision::new(2, 810))));
    register.learn(order(1, Revision::new(1, 890), false), now);
    assert!(register.is_evacuated(1), "an ended era revokes nothing");
}

/// An order that the copy lacks stands while the operator may write it again, and no longer.
#[test]
fn order_missing_in_copy() {
    let now = Instant::now();
    let mut register = Register::default();
    for zone in [1, 2] {
        register.learn(order(zone, Revision::new(1, 890 + zone), true), now);
    }
    assert!(
        register
            .complete(Revision::new(2, 800), &[], now)
            .is_empty()
    );
    register.learn(order(1, Revision::new(2, 803), true), now);
    register.complete(
        Revision::new(2, 805),
        &[order(1, Revision::new(2, 803), true)],
        now,
    );
    assert!(register.is_evacuated(1) && register.is_evacuated(2));
    let ended = register.expire(now + SETTLED);
    assert_eq!(ended, [Change::Ended(2, Revision::new(2, 805))]);
    assert!(register.is_evacuated(1));
}

/// An endpoint whose entry left the store in an ended era is usable when a later era lists it, and its
/// leaving in that era is news.
#[test]
fn endpoint_after_restore() {
    let now = Instant::now();
    let address = SocketAddr::from(([127, 0, 0, 1], 1));
    let entry = |revision| {
        let zone = Zone::new("a", "r");
        let mut endpoint = Endpoint::new("one", "desk", Kind::Plain, zone, address);
        endpoint.revision = revision;
        endpoint
    };
    let mut pool = Pool::new(Zone::new("a", "r"), 1);
    pool.advance(Revision::new(1, 900));
    pool.put(entry(Revision::new(1, 899)), Duration::ZERO, now);
    pool.advance(Revision::new(2, 800));
    pool.put(entry(Revision::new(2, 799)), Duration::ZERO, now);
    assert!(pool.is_news(id::of("one"), Revision::new(2, 801)));
    assert!(!pool.is_news(id::of("one"), Revision::new(1, 950)));
    assert!(!pool.mark_leaving(id::of("one"), Revision::new(1, 950), now));
    assert!(pool.mark_leaving(id::of("one"), Revision::new(2, 801), now));
}

/// After a restore, missing entries may be written again however short the outage was.
#[test]
fn relisting_after_restore() {
    let now = Instant::now();
    let mut outage = Outage::default();
    outage.record_failure(now);
    outage.record_success(now + Duration::from_millis(300));
    assert_eq!(outage.relist_deadline(now), None);
    outage.record_restore(now);
    assert!(outage.relist_deadline(now).is_some());
    assert_eq!(outage.relist_deadline(now + SETTLED), None);
}

/// A message to a node about the store in one of two eras.
#[derive(Debug, Clone, Copy)]
enum Message {
    /// A change of the store, from a watch or from another node.
    News(Era, usize),
    /// A complete read of the store as it was after a number of changes.
    Read(Era, usize),
    /// A digest of another node.
    Digest(usize),
}

/// Changes of a store: each evacuates a zone or revokes that.
type History = Vec<(ZoneId, bool)>;

/// The histories of a store in two eras, of which the second one begins with a copy.
#[derive(Debug, Clone)]
struct Store {
    /// History by era.
    eras: [History; 2],
}

impl Store {
    /// Returns the history of an era, which is 1 or 2.
    fn history(&self, era: Era) -> &History {
        &self.eras[era as usize - 1]
    }

    /// Returns the orders that stand at a revision.
    fn standing(&self, at: Revision) -> Vec<Order> {
        if at.is_unknown() {
            return Vec::new();
        }
        let zones = (0..ZONES).filter_map(|zone| {
            let known = &self.history(at.era)[..at.number as usize];
            let mut known = known.iter().enumerate();
            let (index, (_, stands)) = known.rfind(|(_, (one, _))| *one == zone)?;
            stands.then(|| order(zone, Revision::new(at.era, index as u64 + 1), true))
        });
        zones.collect()
    }
}

/// Returns a store, and messages to nodes about it.
fn play() -> impl Strategy<Value = (Store, Vec<(usize, Message)>)> {
    let history = || proptest::collection::vec((0..ZONES, any::<bool>()), 1..8);
    (history(), history(), any::<prop::sample::Index>()).prop_flat_map(|(first, rest, copy)| {
        let mut second = first[..copy.index(first.len())].to_vec();
        second.extend(rest);
        let (one, two) = (first.len(), second.len());
        let message = prop_oneof![
            (0..one).prop_map(|index| Message::News(1, index)),
            (0..two).prop_map(|index| Message::News(2, index)),
            (1..=one).prop_map(|number| Message::Read(1, number)),
            (1..=two).prop_map(|number| Message::Read(2, number)),
            (0..NODES).prop_map(Message::Digest),
        ];
        let messages = proptest::collection::vec((0..NODES, message), 0..60);
        let store = Store {
            eras: [first, second],
        };
        (Just(store), messages)
    })
}

proptest! {
    /// Whatever arrives, in whatever order, each node knows for each zone what was in force at the
    /// highest revision that it has heard of, once orders that the copy lacks are given up.
    #[test]
    fn highest_revision_wins((store, messages) in play()) {
        let now = Instant::now();
        let mut nodes: Vec<Register> = (0..NODES).map(|_| Register::default()).collect();
        let mut heard = [[Revision::default(); ZONES as usize]; NODES];
        for (to, message) in messages {
            match message {
                Message::News(era, index) => {
                    let (zone, standing) = store.history(era)[index];
                    let revision = Revision::new(era, index as u64 + 1);
                    nodes[to].learn(order(zone, revision, standing), now);
                    let highest = &mut heard[to][zone as usize];
                    *highest = revision.max(*highest);
                }
                Message::Read(era, number) => {
                    let revision = Revision::new(era, number as u64);
                    nodes[to].complete(revision, &store.standing(revision), now);
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
        }
        for (node, heard) in nodes.iter_mut().zip(heard) {
            node.expire(now + SETTLED);
            for zone in 0..ZONES {
                let truth = store.standing(heard[zone as usize]);
                let truth = truth.iter().any(|order| order.zone == zone);
                prop_assert_eq!(node.is_evacuated(zone), truth, "zone {}", zone);
            }
        }
    }
}
