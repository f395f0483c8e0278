//! Guards against a large fleet that offers callers dead gateways or none, that stays divided after a
//! partition, or in which too many gateways read the store. Plays the members of 300 gateways in
//! virtual time.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::{Duration, Instant};

use daisyyard_core::id::{self, InstanceId};
use daisyyard_core::roster::Role;
use daisyyard_gateway::member::{Entry, Members};
use rand::{Rng, SeedableRng};
use rand_pcg::Pcg64Mcg;

/// Number of gateways.
const GATEWAYS: usize = 300;
/// Number of availability zones.
const ZONES: usize = 5;
/// Time between two digests, and the time that one takes.
const TICK: Duration = Duration::from_millis(200);
/// Ticks between two digests to gateways that do not serve callers.
const RESERVE_TICKS: u32 = 3;
/// Share of the datagrams that are lost.
const LOSS: f64 = 0.03;
/// Time within which the offers of live gateways name no lost one.
const LOSS_TIME: Duration = Duration::from_secs(5);
/// Time after a partition within which all gateways divide the fleet in the same way.
const REUNION_TIME: Duration = Duration::from_secs(15);

/// Gateways in virtual time.
struct Fleet {
    /// Current time.
    now: Instant,
    /// Number of ticks so far.
    ticks: u32,
    /// Members as each gateway knows them.
    views: Vec<Members>,
    /// Gateways that run.
    live: Vec<bool>,
    /// Positions of the gateways by the address for digests.
    positions: BTreeMap<SocketAddr, usize>,
    /// Zone that is cut off from the others.
    cut: Option<usize>,
    /// Generator of lost datagrams.
    random: Pcg64Mcg,
}

/// Returns the name of a gateway.
fn name(position: usize) -> String {
    format!("gateway-{position}")
}

/// Returns the identifier of a gateway.
fn identifier(position: usize) -> InstanceId {
    id::of(&name(position))
}

/// Returns the name of the zone of a gateway.
fn zone(position: usize) -> String {
    format!("zone-{}", position % ZONES)
}

/// Returns the entry of a gateway.
fn entry(position: usize) -> Entry {
    let address = |port| SocketAddr::from(([127, 0, 0, 1], port));
    Entry {
        requests: address(1_000 + position as u16),
        digests: address(10_000 + position as u16),
        zone: zone(position),
    }
}

impl Fleet {
    /// Starts all gateways.
    fn start() -> Self {
        let now = Instant::now();
        let view = |position| {
            let mut members = Members::new(&name(position), entry(position));
            for other in 0..GATEWAYS {
                members.put(&name(other), entry(other), now);
            }
            members.start_offering();
            members.update_roster(now);
            members
        };
        Self {
            now,
            ticks: 0,
            views: (0..GATEWAYS).map(view).collect(),
            live: vec![true; GATEWAYS],
            positions: (0..GATEWAYS).map(|at| (entry(at).digests, at)).collect(),
            cut: None,
            random: Pcg64Mcg::seed_from_u64(7),
        }
    }

    /// Returns whether a datagram between two gateways arrives.
    fn arrives(&mut self, from: usize, to: usize) -> bool {
        let divided = |zone| (from % ZONES == zone) != (to % ZONES == zone);
        self.live[to] && !self.cut.is_some_and(divided) && !self.random.random_bool(LOSS)
    }

    /// Lets time pass; all live gateways send digests.
    fn run(&mut self, time: Duration) {
        let end = self.now + time;
        while self.now < end {
            self.now += TICK;
            self.ticks += 1;
            for from in (0..GATEWAYS)
                .filter(|at| self.live[*at])
                .collect::<Vec<_>>()
            {
                self.views[from].update_roster(self.now);
                let targets = self.views[from].digest_targets(self.now);
                if self.ticks.is_multiple_of(RESERVE_TICKS) {
                    self.probe(from, &targets.probed);
                }
                // A gateway in reserve has no part in the load and sends nothing else.
                if self.views[from].role() == Role::Reserve {
                    continue;
                }
                self.send(from, &targets.serving);
                if self.ticks.is_multiple_of(RESERVE_TICKS) {
                    self.send(from, &targets.reserve);
                }
            }
        }
    }

    /// Sends a digest to gateways.
    fn send(&mut self, from: usize, targets: &[SocketAddr]) {
        for address in targets {
            let to = self.positions[address];
            if self.arrives(from, to) {
                self.views[to].record_digest(identifier(from), false, self.now);
            }
        }
    }

    /// Asks lost gateways for a digest.
    fn probe(&mut self, from: usize, targets: &[SocketAddr]) {
        for address in targets {
            let to = self.positions[address];
            if self.arrives(from, to) {
                self.views[to].record_digest(identifier(from), false, self.now);
                if self.arrives(to, from) {
                    self.views[from].record_digest(identifier(to), false, self.now);
                }
            }
        }
    }

    /// Returns the positions of the gateways that one of them offers to callers of its zone.
    fn offer(&mut self, position: usize) -> Vec<usize> {
        let offer = self.views[position].offer(&zone(position), self.now);
        let positions = offer
            .iter()
            .map(|address| usize::from(address.port()) - 1_000);
        positions.collect()
    }

    /// Checks that each live gateway offers some gateways, and live ones only.
    fn check_offers(&mut self) {
        for position in (0..GATEWAYS)
            .filter(|at| self.live[*at])
            .collect::<Vec<_>>()
        {
            let offer = self.offer(position);
            assert!(!offer.is_empty(), "{} offers none", name(position));
            let lost = offer.iter().filter(|at| !self.live[**at]).count();
            assert_eq!(lost, 0, "{} offers lost gateways", name(position));
        }
    }

    /// Returns how many gateways are readers in their own view, and the number of different sizes of
    /// the serving part.
    fn division(&self) -> (usize, usize) {
        let live = self.views.iter().zip(&self.live);
        let live = live.filter_map(|(view, live)| live.then_some(view));
        let readers = live.clone().filter(|view| view.role() == Role::Reader);
        let mut sizes: Vec<usize> = live.clone().map(Members::serving_count).collect();
        sizes.sort_unstable();
        sizes.dedup();
        (readers.count(), sizes.len())
    }
}

/// In a quiet fleet a quarter of the gateways serves, three read the store, and all agree on it.
#[test]
fn quiet_fleet() {
    let mut fleet = Fleet::start();
    fleet.run(Duration::from_secs(6));
    fleet.check_offers();
    assert_eq!(fleet.division(), (3, 1));
    assert_eq!(fleet.views[0].serving_count(), GATEWAYS / 4);
}

/// When a third of the gateways is killed at once, callers are soon offered live ones only, and the
/// killed ones are used again after they have started anew.
#[test]
fn third_killed() {
    let mut fleet = Fleet::start();
    fleet.run(Duration::from_secs(2));
    for position in (0..GATEWAYS).step_by(3) {
        fleet.live[position] = false;
    }
    fleet.run(LOSS_TIME);
    for _ in 0..3 {
        // Longer than the time between two probes of lost gateways.
        fleet.run(Duration::from_secs(4));
        fleet.check_offers();
    }
    let (readers, _) = fleet.division();
    assert!((3..=6).contains(&readers), "{readers} readers");
    let now = fleet.now;
    for position in (0..GATEWAYS).step_by(3) {
        let mut view = Members::new(&name(position), entry(position));
        for other in 0..GATEWAYS {
            view.put(&name(other), entry(other), now);
        }
        view.start_offering();
        fleet.views[position] = view;
        fleet.live[position] = true;
    }
    fleet.run(REUNION_TIME);
    fleet.check_offers();
    assert_eq!(fleet.division().0, 3);
}

/// A zone that is cut off serves its own callers, and after the cut all gateways divide the fleet in
/// the same way again.
#[test]
fn zone_cut() {
    let mut fleet = Fleet::start();
    fleet.run(Duration::from_secs(2));
    fleet.cut = Some(2);
    fleet.run(LOSS_TIME);
    for position in 0..GATEWAYS {
        let offer = fleet.offer(position);
        let same_side = |at: &usize| (at % ZONES == 2) == (position % ZONES == 2);
        assert!(!offer.is_empty() && offer.iter().all(same_side));
    }
    fleet.cut = None;
    fleet.run(REUNION_TIME);
    fleet.check_offers();
    assert_eq!(fleet.division(), (3, 1));
}
