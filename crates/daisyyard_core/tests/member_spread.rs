//! Guards against failures, restarts and partitions that some nodes of a large system never see.
//!
//! Views exchange records in rounds of one second, as the links of nodes do, without sockets.

use std::collections::BTreeMap;
use std::time::{Duration, Instant};

use daisyyard_core::gossip::Record;
use daisyyard_core::id::InstanceId;
use daisyyard_core::instance::{Instance, State};
use daisyyard_core::member::{Action, View};
use daisyyard_core::zone::Zone;

/// Availability zones.
const ZONES: [&str; 6] = ["a", "b", "c", "d", "e", "f"];

/// Nodes that exchange records.
struct System {
    /// Views of the nodes that run.
    views: BTreeMap<InstanceId, View>,
    /// Present time.
    now: Instant,
    /// Rounds so far.
    rounds: u64,
    /// Returns whether two nodes reach each other.
    reach: fn(InstanceId, InstanceId) -> bool,
}

/// Returns an instance; its zone follows from its number.
fn instance(number: usize, incarnation: u64) -> Instance {
    let zone = Zone::new(ZONES[number % ZONES.len()], "region");
    let port = u16::try_from(number + 1).expect("a port");
    let address = std::net::SocketAddr::from(([127, 0, 0, 1], port));
    let mut instance = Instance::new(&format!("node-{number}"), zone, address, address);
    instance.incarnation = incarnation;
    instance
}

impl System {
    /// Starts a number of nodes that know each other from the instance list.
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
            reach: |_, _| true,
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
        if !(self.reach)(from, to) {
            return false;
        }
        let Some(view) = self.views.get_mut(&to) else {
            return false;
        };
        let mut told = vec![view.receive_direct(own, self.now)];
        for record in records {
            told.push(view.receive_relayed(record.clone(), self.now));
        }
        for next in told {
            if let Action::Notify(record) = next
                && (self.reach)(to, record.id)
                && let Some(subject) = self.views.get_mut(&record.id)
            {
                subject.receive_relayed(record, self.now);
            }
        }
        true
    }

    /// Lets one second pass.
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

    /// Lets rounds pass until every node holds another for what a function says; returns how many.
    fn until(&mut self, limit: u64, expected: impl Fn(InstanceId) -> State) -> u64 {
        for rounds in 0..=limit {
            let agree = self
                .views
                .values()
                .all(|view| view.all().all(|member| member.state == expected(member.id)));
            if agree {
                return rounds;
            }
            self.round();
        }
        let mut wrong = BTreeMap::new();
        for view in self.views.values() {
            for member in view
                .all()
                .filter(|member| member.state != expected(member.id))
            {
                *wrong
                    .entry((member.name.clone(), member.state))
                    .or_insert(0) += 1;
            }
        }
        panic!("the views do not agree after {limit} rounds: {wrong:?}");
    }
}

/// Nobody is suspected while all nodes run, and every node is watched by another one.
#[test]
fn stays_quiet() {
    let mut system = System::new(360);
    for _ in 0..20 {
        system.round();
        for view in system.views.values() {
            assert!(view.all().all(|member| member.state == State::Live));
        }
    }
    let mut watched: Vec<InstanceId> = system.views.values().flat_map(View::peers).collect();
    watched.sort_unstable();
    watched.dedup();
    assert_eq!(watched.len(), 360);
}

/// The failure of one node, and of a whole availability zone, is seen by all others.
#[test]
fn sees_failures() {
    let mut system = System::new(360);
    system.until(1, |_| State::Live);
    system.round();
    let one = instance(0, 1).id;
    system.views.remove(&one);
    let gone = |id| if id == one { State::Gone } else { State::Live };
    println!(
        "one of 360 nodes gone everywhere after {} s",
        system.until(20, gone)
    );
    let zone: Vec<InstanceId> = (1..360)
        .step_by(6)
        .map(|number| instance(number, 1).id)
        .collect();
    for id in &zone {
        system.views.remove(id);
    }
    let gone = |id| {
        let lost = id == one || zone.contains(&id);
        if lost { State::Gone } else { State::Live }
    };
    println!(
        "a zone of 60 nodes gone everywhere after {} s",
        system.until(40, gone)
    );
}

/// A node that starts again is live for all others soon, though they held it for gone.
#[test]
fn sees_restart() {
    let mut system = System::new(60);
    let id = instance(7, 1).id;
    system.views.remove(&id);
    system.until(20, |other| {
        if other == id {
            State::Gone
        } else {
            State::Live
        }
    });
    let mut view = View::new(instance(7, 2));
    view.merge_list((0..60).map(|number| instance(number, 0)), system.now);
    system.views.insert(id, view);
    println!(
        "restart of 1 of 60 nodes seen after {} s",
        system.until(10, |_| State::Live)
    );
}

/// After a partition both sides find each other again.
#[test]
fn rejoins() {
    let mut system = System::new(60);
    system.round();
    system.reach = |one, other| one % 2 == other % 2;
    for _ in 0..30 {
        system.round();
    }
    for view in system.views.values() {
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
    system.reach = |_, _| true;
    println!(
        "two halves of 60 nodes rejoined after {} s",
        system.until(60, |_| State::Live)
    );
}
