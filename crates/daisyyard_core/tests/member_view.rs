//! Guards against views that lose live members, keep dead ones, or do not converge.

use std::time::{Duration, Instant};

use daisyyard_core::gossip::Record;
use daisyyard_core::instance::{Instance, State};
use daisyyard_core::member::{Action, GONE_AFTER, MAX_RECORDS, SUSPECT_AFTER, View};
use daisyyard_core::peers::MAX_PEERS;
use daisyyard_core::zone::Zone;
use proptest::prelude::*;

/// Returns an instance whose zone is derived from its number.
fn instance(number: u16) -> Instance {
    let zone = Zone::new(["a", "b", "c"][usize::from(number) % 3], "region");
    let address = std::net::SocketAddr::from(([127, 0, 0, 1], number + 1));
    let mut instance = Instance::new(&format!("node-{number}"), zone, address, address);
    instance.incarnation = 1;
    instance
}

/// Returns the record that an instance sends about itself.
fn own_record(number: u16) -> Record {
    View::new(instance(number)).hello_record()
}

/// Returns the view of node 0 after direct records from the nodes 1 to `nodes` - 1.
fn view(nodes: u16, now: Instant) -> View {
    let mut view = View::new(instance(0));
    for number in 1..nodes {
        view.receive_direct(own_record(number), now);
    }
    view
}

/// Returns the state of a node in a view.
fn state(view: &View, number: u16) -> Option<State> {
    view.get(instance(number).id).map(|instance| instance.state)
}

/// A peer without heartbeats is suspected after 3 s and gone after 10 s.
#[test]
fn silent_peer_is_gone() {
    let start = Instant::now();
    let mut view = view(2, start);
    let just_before = |time: Duration| time.saturating_sub(Duration::from_millis(1));
    for (after, expected) in [
        (just_before(SUSPECT_AFTER), State::Live),
        (SUSPECT_AFTER, State::Suspected),
        (just_before(GONE_AFTER), State::Suspected),
        (GONE_AFTER, State::Gone),
    ] {
        view.tick(start + after);
        assert_eq!(state(&view, 1), Some(expected), "after {after:?}");
    }
}

/// A suspected node refutes the suspicion with a higher incarnation, which takes precedence.
#[test]
fn refutes_suspicion() {
    let start = Instant::now();
    let mut observer = view(3, start);
    let mut subject = View::new(instance(1));
    let suspicion = Record {
        state: State::Suspected,
        ..own_record(1)
    };
    let later = start + SUSPECT_AFTER;
    assert_eq!(
        observer.receive_relayed(suspicion.clone(), later),
        Action::Done
    );
    assert_eq!(state(&observer, 1), Some(State::Suspected));
    subject.receive_relayed(suspicion, later);
    let refutation = subject.hello_record();
    assert_eq!(refutation.incarnation, 2);
    observer.receive_relayed(refutation, later);
    assert_eq!(state(&observer, 1), Some(State::Live));
}

/// A node that is considered gone is notified when it sends again; otherwise it would never refute
/// that record at the other nodes.
#[test]
fn notifies_gone() {
    let start = Instant::now();
    let mut view = view(2, start);
    view.tick(start + SUSPECT_AFTER);
    view.tick(start + GONE_AFTER);
    let action = view.receive_direct(own_record(1), start + GONE_AFTER);
    assert!(matches!(action, Action::Notify(record) if record.state == State::Gone));
    assert_eq!(state(&view, 1), Some(State::Live));
}

/// A relayed record does not override recent direct evidence from the node itself.
#[test]
fn direct_evidence_wins() {
    let now = Instant::now();
    let mut view = view(2, now);
    let suspicion = Record {
        state: State::Gone,
        ..own_record(1)
    };
    assert!(matches!(
        view.receive_relayed(suspicion, now),
        Action::Notify(_)
    ));
    assert_eq!(state(&view, 1), Some(State::Live));
}

/// The instance list adds members and marks leaving ones; an empty or incomplete list removes none.
#[test]
fn short_list_removes_none() {
    let now = Instant::now();
    let mut view = view(4, now);
    view.merge_list([], now);
    view.merge_list([instance(1)], now);
    assert_eq!(view.all().count(), 4);
    let leaving = Instance {
        state: State::Leaving,
        ..instance(2)
    };
    view.merge_list([leaving], now);
    assert_eq!(state(&view, 2), Some(State::Leaving));
    view.merge_list([instance(2)], now);
    assert_eq!(state(&view, 2), Some(State::Live));
}

/// Every member appears within 30 heartbeats, and changed ones come first.
#[test]
fn records_rotate() {
    let now = Instant::now();
    let mut view = view(101, now);
    let mut seen = std::collections::BTreeSet::new();
    for _ in 0..30 {
        let records = view.records(false);
        assert!(records.len() <= MAX_RECORDS);
        seen.extend(records.into_iter().map(|record| record.id));
    }
    assert_eq!(seen.len(), 100);
    let changed = Record {
        incarnation: 2,
        state: State::Leaving,
        ..own_record(77)
    };
    view.receive_relayed(changed, now);
    let first = &view.records(false)[0];
    assert_eq!((first.id, first.state), (instance(77).id, State::Leaving));
}

/// The number of peers is bounded, three are in the own zone, and few change when a peer is gone.
///
/// The loss of the member with the next id may change one more peer, because its successor becomes
/// a peer in any zone.
#[test]
fn peers_are_stable() {
    let now = Instant::now();
    let view = view(60, now);
    let before = view.peers();
    assert_eq!(before.len(), MAX_PEERS);
    let local = Zone::new("a", "region").id;
    let zone = |id: &u64| view.get(*id).expect("a member").zone.id;
    assert_eq!(before.iter().filter(|id| zone(id) == local).count(), 3);
    let mut ids: Vec<u64> = view.all().map(|member| member.id).collect();
    ids.sort_unstable();
    let local_index = ids.iter().position(|id| *id == view.local().id);
    let successor = ids[(local_index.expect("the node itself") + 1) % ids.len()];
    assert!(before.contains(&successor));
    for id in &before {
        let mut view = view.clone();
        let gone = Record {
            id: *id,
            incarnation: 2,
            state: State::Gone,
            location: None,
        };
        view.receive_relayed(gone, now + SUSPECT_AFTER);
        let after = view.peers();
        let kept = before.iter().filter(|id| after.contains(id)).count();
        assert_eq!(after.len(), MAX_PEERS);
        let moved = if *id == successor { 2 } else { 1 };
        assert!(kept >= MAX_PEERS - moved, "{kept} of {MAX_PEERS} kept");
    }
}

/// Generates a record about one of five nodes.
fn record() -> impl Strategy<Value = Record> {
    let states = [State::Live, State::Leaving, State::Suspected, State::Gone];
    let state = proptest::sample::select(states.to_vec());
    (0_u16..5, 0_u64..4, state).prop_map(|(number, incarnation, state)| Record {
        incarnation,
        state,
        ..own_record(number)
    })
}

proptest! {
    /// Views that receive the same records in different orders agree on all other nodes.
    #[test]
    fn order_is_irrelevant(
        (records, shuffled) in proptest::collection::vec(record(), 0..40).prop_flat_map(|records| {
            (Just(records.clone()), Just(records).prop_shuffle())
        }),
    ) {
        let now = Instant::now();
        // The direct evidence is too old by then, so only the records count.
        let later = now + GONE_AFTER;
        let mut one = view(5, now);
        let mut two = view(5, now);
        for record in records {
            one.receive_relayed(record, later);
        }
        for record in shuffled {
            two.receive_relayed(record, later);
        }
        for number in 1..5 {
            let known = |view: &View| view
                .get(instance(number).id)
                .map(|i| (i.incarnation, i.state));
            prop_assert_eq!(known(&one), known(&two));
        }
    }

    /// Whatever records arrive about the local node, it stays live in its own view, with a higher
    /// incarnation than any record of another state.
    #[test]
    fn stays_live(records in proptest::collection::vec(record(), 0..40)) {
        let mut view = View::new(instance(0));
        let now = Instant::now();
        for record in records {
            view.receive_relayed(record.clone(), now);
            prop_assert_eq!(view.local().state, State::Live);
            if record.id == view.local().id && record.state > State::Live {
                prop_assert!(view.local().incarnation > record.incarnation
                    || record.incarnation < view.local().incarnation);
            }
        }
        prop_assert!(view.records(true).len() <= MAX_RECORDS);
        prop_assert!(view.peers().len() <= MAX_PEERS);
    }
}

/// A leaving node is no home, neither in its own view nor while others suspect it after its exit;
/// otherwise homes would move back to a node that has exited.
#[test]
fn leaving_is_no_home() {
    let start = Instant::now();
    let mut observer = view(2, start);
    let mut subject = View::new(instance(1));
    subject.receive_direct(own_record(0), start);
    let (local, leaving) = (instance(0).id, instance(1).id);
    assert!(observer.homes().any(|id| id == leaving));
    subject.leave();
    assert_eq!(subject.homes().collect::<Vec<_>>(), [local]);
    observer.receive_direct(subject.hello_record(), start);
    assert_eq!(observer.homes().collect::<Vec<_>>(), [local]);
    observer.tick(start + SUSPECT_AFTER);
    assert_eq!(state(&observer, 1), Some(State::Suspected));
    assert_eq!(observer.homes().collect::<Vec<_>>(), [local]);
}
