//! Guards against waiting requests that start in the wrong order, wait in vain, or lose their place.

use std::collections::{BTreeMap, BTreeSet};
use std::time::{Duration, Instant};

use daisyyard_core::gate::{Gate, Waiting};
use daisyyard_core::id::{EndpointId, ServiceId};
use daisyyard_core::outlook::Verdict;
use daisyyard_core::refusals::{Refusals, Refused};
use daisyyard_core::room::Room;
use daisyyard_core::turn::{Ask, Kind};

const SERVICE: ServiceId = 7;
const LONG: Kind = Kind {
    service: SERVICE,
    priority: 2,
    short: false,
};
const SHORT: Kind = Kind {
    service: SERVICE,
    priority: 0,
    short: true,
};

/// Returns what a request asks for that arrives now, with a target in four seconds.
fn ask(kind: Kind, account: u64, size: u64, now: Instant) -> Ask {
    Ask {
        kind,
        account,
        size,
        place: now,
        target: now + Duration::from_secs(4),
        leaves: now + Duration::from_secs(16),
        deadline: now + Duration::from_secs(39),
    }
}

/// Returns room at one engine.
fn room(held: u64) -> Room {
    Room {
        memory: 26_885,
        held,
        short_places: ((26_885 - held) / 2_550) as usize,
        idle: held == 0,
        most: 26_885 - held,
        roomiest: Some(1),
    }
}

/// Starts all waiting requests and returns them in the order of their starts.
fn drain(gate: &mut Gate<u32>, now: Instant) -> Vec<u32> {
    let rooms = BTreeMap::from([(SERVICE, room(0))]);
    let mut order = Vec::new();
    while gate.start(&rooms, now, |request, _| {
        order.push(request);
        None
    }) {}
    order
}

/// Urgent short requests go first, then long ones in time by their first arrival, then late ones. One
/// that returns after a refusal goes before those that arrived after its first attempt.
#[test]
fn order_of_turns() {
    let start = Instant::now();
    let at = |millis| start + Duration::from_millis(millis);
    let mut gate = Gate::new(1);
    let late = Ask {
        target: at(900),
        ..ask(LONG, 1, 3_500, at(0))
    };
    gate.push(late, 0);
    gate.push(ask(LONG, 1, 3_500, at(500)), 1);
    gate.push(ask(LONG, 2, 3_500, at(400)), 2);
    let mut refusals = Refusals::default();
    let content = 99;
    let place = at(300);
    refusals.refuse(Refused { content, place }, at(310));
    let place = refusals
        .take(content, at(900))
        .expect("the refusal is known");
    assert_eq!(refusals.take(content, at(900)), None, "a place counts once");
    let returned = ask(LONG, 3, 3_500, place);
    gate.push(returned, 3);
    gate.push(ask(SHORT, 1, 2_550, at(950)), 4);
    assert_eq!(drain(&mut gate, at(1_000)), [4, 3, 2, 1, 0]);
}

/// A node that was told of a refusal by another one knows the place too.
#[test]
fn place_at_another_node() {
    let now = Instant::now();
    let (mut one, mut two) = (Refusals::default(), Refusals::default());
    let refused = Refused {
        content: 5,
        place: now,
    };
    one.refuse(refused, now);
    for told in one.report(now + Duration::from_millis(300)) {
        two.learn(told, now + Duration::from_millis(400));
    }
    assert_eq!(two.take(5, now + Duration::from_secs(2)), Some(now));
    assert!(one.report(now + Duration::from_secs(2)).is_empty());
}

/// A long request that does not fit for long gets an endpoint for itself, which smaller ones, also
/// of other nodes, leave alone.
#[test]
fn large_gets_endpoint() {
    let start = Instant::now();
    let now = start + Duration::from_secs(2);
    let mut gate = Gate::new(1);
    gate.push(ask(LONG, 1, 20_000, start), 1);
    gate.push(ask(LONG, 2, 3_000, start + Duration::from_millis(1)), 2);
    let rooms = BTreeMap::from([(SERVICE, room(15_000))]);
    let mut seen: Vec<(u32, Vec<EndpointId>)> = Vec::new();
    gate.start(&rooms, now, |request, kept| {
        seen.push((request, kept.to_vec()));
        Some(request)
    });
    assert_eq!(seen, [(1, vec![]), (2, vec![1])]);
    let waiting = gate.waiting(now);
    assert_eq!(waiting[0].kept, Some(1));
    let mut other: Gate<u32> = Gate::new(2);
    other.learn_waiting(9, waiting, now);
    assert_eq!(other.kept_endpoints(LONG, now), [1]);
    assert!(other.kept_endpoints(SHORT, now).is_empty());
    let later = now + Duration::from_secs(3);
    assert!(
        other.kept_endpoints(LONG, later).is_empty(),
        "the news is old"
    );
}

/// Requests that arrive much faster than they end are refused at once, with delays that callers honor
/// and that differ.
#[test]
fn refuses_hopeless() {
    let start = Instant::now();
    let mut gate = Gate::new(1);
    let (mut now, mut refused) = (start, BTreeSet::new());
    let mut count = 0;
    for request in 0..400_u32 {
        now += Duration::from_millis(50);
        let ask = ask(LONG, u64::from(request % 24), 3_500, now);
        gate.arrive(&ask, now);
        if request % 20 == 0 {
            gate.count_start(&ask, now);
            gate.forecast.observe_hold(LONG, Duration::from_secs(7));
            continue;
        }
        match gate.judge(&ask, &room(24_500), now) {
            Verdict::Wait => gate.push(ask, request),
            Verdict::Refuse(delay) => {
                assert!(delay <= Duration::from_secs(13), "{delay:?}");
                refused.insert(delay);
                count += 1;
            }
        }
    }
    assert!(count > 300, "{count}");
    assert!(
        refused.len() * 10 > count * 9,
        "{} of {count}",
        refused.len()
    );
}

/// A node whose first waiting request came later than that of others starts after these.
#[test]
fn turns_of_nodes() {
    let start = Instant::now();
    let now = start + Duration::from_secs(1);
    let mut gate = Gate::new(1);
    gate.push(ask(LONG, 1, 3_500, start), 1);
    let other = |kind, age| Waiting {
        kind,
        size: 3_500,
        age: Duration::from_millis(age),
        kept: None,
    };
    gate.learn_waiting(2, vec![other(LONG, 500)], now);
    assert_eq!(gate.nodes_before(now), 0);
    gate.learn_waiting(3, vec![other(LONG, 1_500)], now);
    gate.learn_waiting(4, vec![other(SHORT, 10)], now);
    assert_eq!(gate.nodes_before(now), 2);
    assert_eq!(gate.nodes_before(now + Duration::from_secs(3)), 0);
}

/// Room is kept for short requests only where runs end too slowly for those that are expected.
#[test]
fn reserve_follows_forecast() {
    let start = Instant::now();
    let reserve = |hold, millis_between| {
        let mut gate: Gate<u32> = Gate::new(1);
        let mut now = start;
        for _ in 0..200 {
            now += Duration::from_millis(millis_between);
            let mut short = ask(SHORT, 1, 2_550, now);
            short.target = now + Duration::from_millis(1_500);
            gate.arrive(&short, now);
            let long = ask(LONG, 1, 3_500, now);
            gate.arrive(&long, now);
            gate.count_start(&long, now);
            gate.forecast.observe_hold(LONG, hold);
        }
        gate.arrive(&ask(SHORT, 1, 2_550, now), now);
        gate.forecast.reserve(SERVICE, 24_000).places
    };
    assert!(reserve(Duration::from_secs(20), 20) > reserve(Duration::from_secs(20), 200));
    assert_eq!(reserve(Duration::from_millis(10), 200), 0);
    let gate: Gate<u32> = Gate::new(1);
    assert_eq!(gate.forecast.reserve(SERVICE, 24_000).places, 0);
}
