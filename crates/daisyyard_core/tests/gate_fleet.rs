//! Guards against gateways that, with loads and news of each other that are late, decide worse than one
//! that sees all.

use std::collections::BTreeMap;
use std::time::{Duration, Instant};

use daisyyard_core::gate::Gate;
use daisyyard_core::outlook::Verdict;
use daisyyard_core::room::Room;
use daisyyard_core::turn::{Ask, Kind};
use rand::{Rng, SeedableRng};
use rand_pcg::Pcg64Mcg;

const SERVICE: u64 = 1;
/// Number of nodes, and of places for one request each.
const NODES: usize = 10;
const PLACES: usize = 100;
/// Time for which a request holds its place.
const HOLD: Duration = Duration::from_secs(2);
/// Age of the news of other nodes.
const NEWS_AGE: Duration = Duration::from_millis(200);

/// Plays requests of one kind at 1.3 times the capacity, whose callers leave after 16 s; returns the
/// numbers of those in time, late, and refused after half a second, and the share of starts that came
/// more than half a second before that of a request that arrived earlier.
fn play(told: bool) -> (u32, u32, u32, f64) {
    let mut random = Pcg64Mcg::seed_from_u64(5);
    let start = Instant::now();
    let mut now = start;
    let mut gates: Vec<Gate<Ask>> = (0..NODES).map(|node| Gate::new(node as u64)).collect();
    let mut running: Vec<(Instant, usize)> = Vec::new();
    let (mut in_time, mut late, mut waited, mut passed) = (0, 0, 0, 0);
    let mut newest = start;
    let kind = Kind {
        service: SERVICE,
        priority: 2,
        short: false,
    };
    for step in 0..4_000_u32 {
        now += Duration::from_millis(10);
        running.retain(|(ends, node)| {
            if *ends <= now {
                gates[*node].forecast.observe_hold(kind, HOLD);
            }
            *ends > now
        });
        let mut started = Vec::new();
        if random.random_bool(1.3 * PLACES as f64 / HOLD.as_secs_f64() / 100.0) {
            let node = random.random_range(0..NODES);
            let ask = Ask {
                kind,
                account: 1,
                size: 1,
                place: now,
                target: now + Duration::from_secs(4),
                leaves: now + Duration::from_secs(16),
                deadline: now + Duration::from_secs(39),
            };
            gates[node].arrive(&ask, now);
            let room = room(running.len());
            if gates[node].may_start(&ask, &room, now) && running.len() < PLACES {
                gates[node].count_start(&ask, now);
                running.push((now + HOLD, node));
                started.push(ask);
            } else if gates[node].judge(&ask, &room, now) == Verdict::Wait {
                gates[node].push(ask, ask);
            }
        }
        // Nodes try to start by the order that they know.
        let mut turns: Vec<(usize, usize)> = (0..NODES)
            .map(|node| (gates[node].nodes_before(now), node))
            .collect();
        turns.sort_unstable();
        for (_, node) in turns {
            let rooms = BTreeMap::from([(SERVICE, room(running.len()))]);
            gates[node].start(&rooms, now, |ask, _| {
                if running.len() >= PLACES {
                    return Some(ask);
                }
                running.push((now + HOLD, node));
                started.push(ask);
                None
            });
            if step % 5 == 0 {
                for (ask, _, _) in gates[node].review(&rooms, now) {
                    waited += u32::from(now > ask.place + Duration::from_millis(500));
                }
            }
        }
        for ask in started {
            if now <= ask.target {
                in_time += 1;
            } else {
                late += 1;
            }
            passed += u32::from(newest > ask.place + Duration::from_millis(500));
            newest = newest.max(ask.place);
        }
        if told && step % (NEWS_AGE.as_millis() as u32 / 10) == 0 {
            for from in 0..NODES {
                let (waiting, streams) =
                    (gates[from].waiting(now), gates[from].forecast.report(now));
                for (to, gate) in gates.iter_mut().enumerate().filter(|(to, _)| *to != from) {
                    assert_ne!(to, from);
                    gate.learn_waiting(from as u64, waiting.clone(), now);
                    gate.forecast.learn(from as u64, streams.clone(), now);
                }
            }
        }
    }
    println!("told {told}: in time {in_time}, late {late}, waited {waited}, passed {passed}");
    (
        in_time,
        late,
        waited,
        f64::from(passed) / f64::from(in_time + late),
    )
}

/// Returns the room when some places are taken.
fn room(taken: usize) -> Room {
    Room {
        memory: PLACES as u64,
        held: taken as u64,
        short_places: PLACES - taken,
        idle: false,
        most: u64::from(taken < PLACES),
        roomiest: None,
    }
}

/// Nodes that tell each other what waits serve more requests in time than those that do not, keep the
/// capacity in use, and refuse few after they have waited.
#[test]
fn acts_as_one() {
    let alone = play(false);
    let (in_time, late, waited, passed) = play(true);
    // 40 s of 50 starts a second.
    assert!(in_time + late > 1_800, "{in_time} {late}");
    assert!(
        in_time * 10 > (in_time + late) * 8,
        "{in_time} {late} {alone:?}"
    );
    assert!(waited * 10 < in_time, "{waited} {alone:?}");
    assert!(passed <= 0.05 && passed <= alone.3, "{passed} {alone:?}");
}
