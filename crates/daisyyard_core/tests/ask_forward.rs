//! Guards against requests for admission that no node decides on, or two nodes do.

use std::collections::HashSet;
use std::time::{Duration, Instant};

use daisyyard_core::forward::{ANSWER_TIMEOUT, Action, Authority, Relay};
use proptest::prelude::*;

/// What happens at a relay of node 0.
#[derive(Debug, Clone)]
enum Step {
    /// A request for an engine arrives.
    Place(u64, u64),
    /// A home answers, perhaps one that was not asked.
    Answer(u64, u64),
    /// A home queues a request.
    Queue(u64, u64),
    /// A home is lost.
    Lose(u64),
    /// The nodes change.
    Adopt(Vec<u64>),
    /// Time passes.
    Wait(u64),
}

/// Any step over few nodes, engines and requests.
fn step() -> impl Strategy<Value = Step> {
    let nodes = proptest::collection::btree_set(1_u64..5, 0..5);
    prop_oneof![
        (0_u64..30, 0_u64..6).prop_map(|(request, engine)| Step::Place(request, engine)),
        (0_u64..30, 0_u64..5).prop_map(|(request, node)| Step::Answer(request, node)),
        (0_u64..30, 0_u64..5).prop_map(|(request, node)| Step::Queue(request, node)),
        (1_u64..5).prop_map(Step::Lose),
        nodes.prop_map(|nodes| Step::Adopt(std::iter::once(0).chain(nodes).collect())),
        (0_u64..800).prop_map(Step::Wait),
    ]
}

proptest! {
    /// Each request is decided exactly once: here, in the share, or by the home asked last.
    #[test]
    fn decides_once(steps in proptest::collection::vec(step(), 0..80)) {
        let mut now = Instant::now();
        let mut relay = Relay::new(0);
        let mut waiting = HashSet::new();
        let mut seen = HashSet::new();
        for step in steps {
            let next = match step {
                Step::Place(request, engine) => {
                    if seen.insert(request)
                        && let Authority::Home(home) = relay.assign(request, engine, now)
                    {
                        prop_assert_ne!(home, 0);
                        waiting.insert(request);
                    }
                    Vec::new()
                }
                Step::Answer(request, node) => {
                    if relay.answered(request, node) {
                        prop_assert!(waiting.remove(&request));
                    }
                    Vec::new()
                }
                Step::Queue(request, node) => {
                    relay.queued(request, node);
                    Vec::new()
                }
                Step::Lose(node) => relay.link_lost(node, now),
                Step::Adopt(nodes) => relay.update_homes(nodes, now),
                Step::Wait(millis) => {
                    now += Duration::from_millis(millis);
                    relay.tick(now)
                }
            };
            for next in next {
                match next {
                    Action::Decide(request, _) => prop_assert!(waiting.remove(&request)),
                    Action::Forward { request, home, previous: before } => {
                        prop_assert!(waiting.contains(&request));
                        prop_assert!(home != 0 && home != before);
                    }
                }
            }
        }
        // Without any further answer, the loss of all homes leaves no request undecided.
        for node in 1..5 {
            for next in relay.link_lost(node, now) {
                if let Action::Decide(request, _) = next {
                    waiting.remove(&request);
                }
            }
        }
        prop_assert!(waiting.is_empty());
    }
}

/// A home that does not answer is left alone for a while, and asked again later.
#[test]
fn avoids_silent_home() {
    let start = Instant::now();
    let mut relay = Relay::new(0);
    relay.update_homes(vec![0, 1, 2], start);
    let engine = (0..1000)
        .find(|engine| !relay.is_home(*engine))
        .expect("an engine");
    assert!(matches!(relay.assign(1, engine, start), Authority::Home(_)));
    let late = start + ANSWER_TIMEOUT;
    assert_eq!(relay.tick(late), [Action::Decide(1, Authority::Share)]);
    assert_eq!(relay.assign(2, engine, late), Authority::Share);
    let later = late + Duration::from_secs(1);
    assert!(matches!(relay.assign(3, engine, later), Authority::Home(_)));
}
