//! Guards against offering callers a gateway that has ended or is leaving, or no gateway at all.

use std::net::SocketAddr;
use std::time::{Duration, Instant};

use daisyyard_core::id;
use daisyyard_core::roster::Role;
use daisyyard_gateway::member::{Entry, Members};

/// Returns an entry whose addresses derive from a port.
fn entry(port: u16, zone: &str) -> Entry {
    Entry {
        requests: SocketAddr::from(([127, 0, 0, 1], port)),
        digests: SocketAddr::from(([127, 0, 0, 1], port + 1_000)),
        zone: zone.to_owned(),
    }
}

/// Returns the members of a gateway that is offered to callers.
fn serving() -> Members {
    let mut members = Members::new("one", entry(1, "a"));
    members.start_offering();
    members
}

/// Returns the ports of the gateways that a caller in a zone is offered.
fn ports(members: &mut Members, zone: &str, now: Instant) -> Vec<u16> {
    let mut ports: Vec<u16> = members
        .offer(zone, now)
        .iter()
        .map(SocketAddr::port)
        .collect();
    ports.sort_unstable();
    ports
}

/// Callers get only gateways of their zone if it has enough of them, and otherwise all gateways.
#[test]
fn own_zone() {
    let now = Instant::now();
    let mut members = serving();
    members.put("two", entry(2, "a"), now);
    members.put("three", entry(3, "b"), now);
    assert_eq!(ports(&mut members, "a", now), [1, 2]);
    assert_eq!(ports(&mut members, "b", now), [1, 2, 3]);
}

/// A silent gateway is not offered while others are heard from. If all are silent, this gateway is
/// partitioned and offers all of them.
#[test]
fn silent_gateway() {
    let start = Instant::now();
    let later = start + Duration::from_secs(2);
    let mut members = serving();
    members.put("two", entry(2, "a"), start);
    members.put("three", entry(3, "a"), start);
    assert_eq!(ports(&mut members, "a", later), [1, 2, 3]);
    assert!(members.record_digest(id::of("two"), false, later));
    assert_eq!(ports(&mut members, "a", later), [1, 2]);
    assert!(!members.record_digest(id::of("unknown"), false, later));
}

/// A leaving gateway is not offered, including this one.
#[test]
fn leaving_gateway() {
    let now = Instant::now();
    let mut members = serving();
    members.put("two", entry(2, "a"), now);
    members.record_digest(id::of("two"), true, now);
    assert_eq!(ports(&mut members, "a", now), [1]);
    members.stop_offering();
    assert!(ports(&mut members, "a", now).is_empty());
}

/// A gateway whose entry expired during a store outage is offered until the relisting deadline.
#[test]
fn doubtful_gateway() {
    let now = Instant::now();
    let until = now + Duration::from_secs(2);
    let mut members = serving();
    members.put("two", entry(2, "a"), now);
    members.remove("two", Some(until));
    assert_eq!(ports(&mut members, "a", now), [1, 2]);
    assert_eq!(ports(&mut members, "a", until), [1]);
    members.put("two", entry(2, "a"), now);
    members.remove("two", None);
    assert_eq!(ports(&mut members, "a", now), [1]);
}

/// A gateway that has just started is offered once it has a configuration.
#[test]
fn started_gateway() {
    let now = Instant::now();
    let mut members = Members::new("one", entry(1, "a"));
    assert!(ports(&mut members, "a", now).is_empty());
    members.start_offering();
    assert_eq!(ports(&mut members, "a", now), [1]);
}

/// In a large fleet a part of the gateways is offered. When one of these falls silent, another one
/// takes its place, and when it is heard again, it has its place back.
#[test]
fn part_offered() {
    let start = Instant::now();
    let mut members = serving();
    for port in 2..=60 {
        members.put(&format!("gateway-{port}"), entry(port, "a"), start);
    }
    let offered = ports(&mut members, "a", start);
    assert_eq!(offered.len(), 24);
    let silent = offered[10];
    let mut now = start;
    let mut hear = |members: &mut Members, ports: std::ops::RangeInclusive<u16>, silent| {
        for _ in 0..20 {
            now += Duration::from_millis(100);
            for port in ports.clone().filter(|port| *port != silent) {
                members.record_digest(id::of(&format!("gateway-{port}")), false, now);
            }
            members.update_roster(now);
        }
        now
    };
    let later = hear(&mut members, 2..=60, silent);
    let without = ports(&mut members, "a", later);
    assert_eq!(without.len(), 24);
    assert!(!without.contains(&silent), "a silent gateway is offered");
    let kept = offered.iter().filter(|port| without.contains(port));
    assert_eq!(kept.count(), 23);
    let later = hear(&mut members, 2..=60, 0);
    assert_eq!(ports(&mut members, "a", later), offered);
}

/// The entry of a gateway that is heard but not listed counts as missed after a while, and once only
/// for each list that is read.
#[test]
fn unlisted_gateway() {
    let start = Instant::now();
    let mut members = serving();
    let id = id::of("two");
    assert!(!members.record_digest(id, false, start));
    assert!(!members.record_unlisted(id, start));
    let later = start + Duration::from_secs(10);
    assert!(members.record_unlisted(id, later));
    members.retain(&[]);
    assert!(!members.record_unlisted(id, later));
    members.put("two", entry(2, "a"), later);
    assert!(members.record_digest(id, false, later));
    members.remove("two", None);
    let later = later + Duration::from_secs(10);
    assert!(!members.record_unlisted(id, later));
}

/// A gateway that stays silent is not offered again as long as its entry lasts, but it is probed, so
/// that two gateways that count each other as lost meet again after a partition.
#[test]
fn probed_gateway() {
    let start = Instant::now();
    let mut members = serving();
    members.put("two", entry(2, "b"), start);
    members.put("three", entry(3, "b"), start);
    let mut probes = 0;
    for tick in 1..=300 {
        let now = start + Duration::from_millis(100) * tick;
        members.record_digest(id::of("two"), false, now);
        let lost = tick > 15;
        let offered = ports(&mut members, "b", now).contains(&3);
        assert!(!(lost && offered), "offered after {tick} x 100 ms");
        let targets = members.digest_targets(now);
        let silent = entry(3, "b").digests;
        assert!(!(lost && targets.serving.contains(&silent)));
        probes += usize::from(targets.probed.contains(&silent));
    }
    // A probe is due for 1.3 s of each 5 s.
    assert!((50..=80).contains(&probes), "{probes} of 300 times");
    let now = start + Duration::from_secs(31);
    members.record_digest(id::of("two"), false, now);
    members.record_digest(id::of("three"), false, now);
    assert_eq!(ports(&mut members, "b", now), [2, 3]);
}

/// A gateway that reads the store is not woken by the digests of one whose entry has ended, which
/// would make it read the store at the rate of these digests.
#[test]
fn reader_unlisted() {
    let start = Instant::now();
    let mut members = serving();
    members.update_roster(start);
    assert_eq!(members.role(), Role::Reader);
    let id = id::of("two");
    assert!(!members.record_unlisted(id, start));
    assert!(!members.record_unlisted(id, start + Duration::from_secs(10)));
}

/// A lost gateway counts as heard even if it reports at the same time that it is leaving.
#[test]
fn heard_leaving() {
    let start = Instant::now();
    let mut members = serving();
    members.put("two", entry(2, "b"), start);
    members.put("three", entry(3, "b"), start);
    let probed = |members: &Members, now| {
        let targets = members.digest_targets(now);
        targets.probed.contains(&entry(3, "b").digests)
    };
    members.update_roster(start);
    let lost = start + Duration::from_secs(2);
    members.record_digest(id::of("two"), false, lost);
    members.update_roster(lost);
    let later = lost + Duration::from_millis(5_200);
    assert!(probed(&members, later));
    members.record_digest(id::of("three"), true, later);
    assert!(!probed(&members, later + Duration::from_secs(5)));
}

/// If all others are silent and the store answers calls made since, they are lost and not offered again
/// until they are heard, even if the store is lost afterwards.
#[test]
fn lost_fleet() {
    let start = Instant::now();
    let after = |ms| start + Duration::from_millis(ms);
    let mut members = serving();
    for port in 2..=6 {
        members.put(&format!("gateway-{port}"), entry(port, "a"), start);
    }
    members.record_store_read(after(1_400));
    assert_eq!(ports(&mut members, "a", after(2_000)), [1, 2, 3, 4, 5, 6]);
    members.record_store_read(after(1_500));
    assert_eq!(ports(&mut members, "a", after(2_000)), [1]);
    assert_eq!(ports(&mut members, "a", after(3_000)), [1]);
    members.set_reach(false);
    members.set_isolated(true);
    assert_eq!(ports(&mut members, "a", after(4_000)), [1]);
    members.put("new", entry(7, "a"), after(4_000));
    assert_eq!(ports(&mut members, "a", after(4_000)), [7]);
    members.set_isolated(false);
    assert!(members.record_digest(id::of("gateway-2"), false, after(4_100)));
    assert_eq!(ports(&mut members, "a", after(4_200)), [1, 2, 7]);
}

/// A gateway that neither hears others nor reaches the endpoints may be cut off, whatever it reads from
/// the store, and leaves the callers to the others.
#[test]
fn lone_isolated() {
    let start = Instant::now();
    let later = start + Duration::from_secs(3);
    let mut members = serving();
    members.put("two", entry(2, "a"), start);
    members.put("three", entry(3, "a"), start);
    members.set_isolated(true);
    members.record_store_read(later);
    assert_eq!(ports(&mut members, "a", later), [2, 3]);
}

/// A gateway in reserve hears only the serving ones of its zone. If all of these are lost, it offers the
/// gateways that take their places.
#[test]
fn lost_zone() {
    let start = Instant::now();
    let mut members = serving();
    for port in 2..=100 {
        members.put(&format!("gateway-{port}"), entry(port, "a"), start);
    }
    members.update_roster(start);
    let serving = ports(&mut members, "a", start);
    assert_eq!(members.role(), Role::Reserve);
    let later = start + Duration::from_secs(3);
    members.record_store_read(later);
    let offered = ports(&mut members, "a", later);
    assert_eq!(offered.len(), 24);
    let lost = offered.iter().filter(|port| serving.contains(port));
    assert_eq!(lost.count(), 0, "of {offered:?}");
}
