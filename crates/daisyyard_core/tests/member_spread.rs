//! Guards against failures, restarts and partitions that some nodes of a large fleet never detect.
//!
//! Views exchange heartbeats in rounds of one second, as nodes do, but without sockets.

use std::collections::BTreeMap;
use std::time::{Duration, Instant};

use daisyyard_core::gossip::Record;
use daisyyard_core::id::InstanceId;
use daisyyard_core::instance::{Instance, State};
use daisyyard_core::member::{Action, View};
use daisyyard_core::zone::Zone;

/// Names of the availability zones.
const ZONES: [&str; 6] = ["a", "b", "c", "d", "e", "f"];

/// A fleet of nodes that exchange heartbeats.
struct Fleet {
    /// Views of the running nodes.
    views: BTreeMap<InstanceId, View>,
    /// Present time.
    now: Instant,
    /// Number of rounds so far.
    rounds: u64,
    /// Returns whether two nodes reach each other.
    reachable: fn(InstanceId, InstanceId) -> bool,
}

/// Returns an instance whose zone is derived from its number.
fn instance(number: usize, incarnation: u64) -> Instance {
    let zone = Zone::new(ZONES[number % ZONES.len()], "region");
    let port = u16::try_from(number + 1).expect("a port");
    let address = std::net::SocketAddr::from(([127, 0, 0, 1], port));
    let mut instance = Instance::new(&format!("node-{number}"), zone, address, address);
    instance.incarnation = incarnation;
    instance
}

impl Fleet {
    /// Creates nodes that know each other from the instance list.
    fn new(nodes: usize) -> Self {
        let now = Instant::now();
        let listed: Vec<Instance> = (0..nodes).map(|number| instance(number, 0)).collect();
        let view = |number| {
            let mut view = View::new(instance(number, 1));
            view.merge_list(listed.iter().cloned(), now);
            (instance(number, 1).id, view)
        };
        Self {
            views: (0..nodes).map(view).collect(),
            now,
            rounds: 0,
            reachable: |_, _| true,
        }
    }

    /// Delivers a heartbeat and returns whether it arrived.
    fn deliver(
        &mut self,
        from: InstanceId,
        to: InstanceId,
        own: Record,
        records: &[Record],
    ) -> bool {
        if !(self.reachable)(from, to) {
            return false;
        }
        let Some(view) = self.views.get_mut(&to) else {
            return false;
        };
        let mut actions = vec![view.receive_direct(own, self.now)];
        for record in records {
            actions.push(view.receive_relayed(record.clone(), self.now));
        }
        for action in actions {
            if let Action::Notify(record) = action
                && (self.reachable)(to, record.id)
                && let Some(subject) = self.views.get_mut(&record.id)
            {
                subject.receive_relayed(record, self.now);
            }
        }
        true
    }

    /// Runs one round, in which one second passes.
    fn round(&mut self) {
        self.now += Duration::from_secs(1);
        self.rounds += 1;
        for id in self.views.keys().copied().collect::<Vec<_>>() {
            let view = self.views.get_mut(&id).expect("a view");
            view.tick(self.now);
            let mut peers = view.peers();
            if self.rounds.is_multiple_of(3) {
                peers.extend(view.gone_member(self.rounds.wrapping_mul(id)));
            }
            let (own, records) = (
                view.hello_record(),
                view.records(self.rounds.is_multiple_of(8)),
            );
            for peer in peers {
                if self.deliver(id, peer, own.clone(), &records) {
                    let view = &self.views[&peer];
                    let (own, records) = (view.hello_record(), view.changed());
                    self.deliver(peer, id, own, &records);
                }
            }
        }
    }

    /// Runs rounds until every view has the expected state of every node, and returns their number.
    fn rounds_until(&mut self, max_rounds: u64, expected: impl Fn(InstanceId) -> State) -> u64 {
        for rounds in 0..=max_rounds {
            let agree = self
                .views
                .values()
                .all(|view| view.all().all(|member| member.state == expected(member.id)));
            if agree {
                return rounds;
            }
            self.round();
        }
        let mut disagreeing = BTreeMap::new();
        for view in self.views.values() {
            for member in view
                .all()
                .filter(|member| member.state != expected(member.id))
            {
                *disagreeing
                    .entry((member.name.clone(), member.state))
                    .or_insert(0) += 1;
            }
        }
        panic!("the views do not agree after {max_rounds} rounds: {disagreeing:?}");
    }
}

/// No node is suspected while all run, and every node is the peer of another one.
#[test]
fn suspects_no_live_node() {
    let mut fleet = Fleet::new(360);
    for _ in 0..20 {
        fleet.round();
        for view in fleet.views.values() {
            assert!(view.all().all(|member| member.state == State::Live));
        }
    }
    let mut watched: Vec<InstanceId> = fleet.views.values().flat_map(View::peers).collect();
    watched.sort_unstable();
    watched.dedup();
    assert_eq!(watched.len(), 360);
}

/// All nodes detect the failure of one node, and of a whole availability zone.
#[test]
fn detects_failures() {
    let mut fleet = Fleet::new(360);
    fleet.rounds_until(1, |_| State::Live);
    fleet.round();
    let failed = instance(0, 1).id;
    fleet.views.remove(&failed);
    let gone = |id| {
        if id == failed {
            State::Gone
        } else {
            State::Live
        }
    };
    println!(
        "one of 360 nodes gone everywhere after {} s",
        fleet.rounds_until(20, gone)
    );
    let failed_zone: Vec<InstanceId> = (1..360)
        .step_by(6)
        .map(|number| instance(number, 1).id)
        .collect();
    for id in &failed_zone {
        fleet.views.remove(id);
    }
    let gone = |id| {
        let lost = id == failed || failed_zone.contains(&id);
        if lost { State::Gone } else { State::Live }
    };
    println!(
        "a zone of 60 nodes gone everywhere after {} s",
        fleet.rounds_until(40, gone)
    );
}

/// A node that restarts is live in all views within 10 s, although they considered it gone.
#[test]
fn detects_restart() {
    let mut fleet = Fleet::new(60);
    let id = instance(7, 1).id;
    fleet.views.remove(&id);
    fleet.rounds_until(20, |other| {
        if other == id {
            State::Gone
        } else {
            State::Live
        }
    });
    let mut view = View::new(instance(7, 2));
    view.merge_list((0..60).map(|number| instance(number, 0)), fleet.now);
    fleet.views.insert(id, view);
    println!(
        "restart of 1 of 60 nodes seen after {} s",
        fleet.rounds_until(10, |_| State::Live)
    );
}

/// After a network partition of 30 s, both sides find each other again.
#[test]
fn rejoins() {
    let mut fleet = Fleet::new(60);
    fleet.round();
    fleet.reachable = |one, other| one % 2 == other % 2;
    for _ in 0..30 {
        fleet.round();
    }
    for view in fleet.views.values() {
        let side = view.local().id % 2;
        for member in view.all() {
            let expected = if member.id % 2 == side {
                State::Live
            } else {
                State::Gone
            };
            assert_eq!(member.state, expected);
        }
    }
    fleet.reachable = |_, _| true;
    println!(
        "two halves of 60 nodes rejoined after {} s",
        fleet.rounds_until(60, |_| State::Live)
    );
}
