//! Guards against admission requests that no node or more than one node decides.

use std::collections::HashSet;
use std::time::{Duration, Instant};

use daisyyard_core::forward::{ANSWER_TIMEOUT, Action, Authority, Relay};
use proptest::prelude::*;

/// An event at the relay of node 0.
#[derive(Debug, Clone)]
enum Step {
    /// A request for an engine arrives: request and engine.
    Assign(u64, u64),
    /// A node answers a request, possibly one that was not asked: request and node.
    Answer(u64, u64),
    /// A node reports that it has queued a request: request and node.
    Queue(u64, u64),
    /// The link to a node is lost.
    LoseLink(u64),
    /// The set of nodes changes.
    UpdateHomes(Vec<u64>),
    /// This many milliseconds pass.
    Wait(u64),
}

/// Generates events over 30 requests, 6 engines and 5 nodes.
fn step() -> impl Strategy<Value = Step> {
    let nodes = proptest::collection::btree_set(1_u64..5, 0..5);
    prop_oneof![
        (0_u64..30, 0_u64..6).prop_map(|(request, engine)| Step::Assign(request, engine)),
        (0_u64..30, 0_u64..5).prop_map(|(request, node)| Step::Answer(request, node)),
        (0_u64..30, 0_u64..5).prop_map(|(request, node)| Step::Queue(request, node)),
        (1_u64..5).prop_map(Step::LoseLink),
        nodes.prop_map(|nodes| Step::UpdateHomes(std::iter::once(0).chain(nodes).collect())),
        (0_u64..800).prop_map(Step::Wait),
    ]
}

proptest! {
    /// Each request is decided exactly once: by this node, as the home of the engine or within its
    /// local share, or by the home that was asked last.
    #[test]
    fn decides_once(steps in proptest::collection::vec(step(), 0..80)) {
        let mut now = Instant::now();
        let mut relay = Relay::new(0);
        let mut waiting = HashSet::new();
        let mut assigned = HashSet::new();
        for step in steps {
            let actions = match step {
                Step::Assign(request, engine) => {
                    if assigned.insert(request)
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
                Step::LoseLink(node) => relay.link_lost(node, now),
                Step::UpdateHomes(nodes) => relay.update_homes(nodes, now),
                Step::Wait(millis) => {
                    now += Duration::from_millis(millis);
                    relay.tick(now)
                }
            };
            for action in actions {
                match action {
                    Action::Decide(request, _) => prop_assert!(waiting.remove(&request)),
                    Action::Forward { request, home, previous: previous_home } => {
                        prop_assert!(waiting.contains(&request));
                        prop_assert!(home != 0 && home != previous_home);
                    }
                }
            }
        }
        // Without further answers, the loss of all links leaves no request undecided.
        for node in 1..5 {
            for action in relay.link_lost(node, now) {
                if let Action::Decide(request, _) = action {
                    waiting.remove(&request);
                }
            }
        }
        prop_assert!(waiting.is_empty());
    }
}

/// A home that did not answer in time is not asked again for a second.
#[test]
fn skips_unresponsive_home() {
    let start = Instant::now();
    let mut relay = Relay::new(0);
    relay.update_homes(vec![0, 1, 2], start);
    let engine = (0..1000)
        .find(|engine| !relay.is_home(*engine))
        .expect("an engine");
    assert!(matches!(relay.assign(1, engine, start), Authority::Home(_)));
    let timed_out = start + ANSWER_TIMEOUT;
    assert_eq!(relay.tick(timed_out), [Action::Decide(1, Authority::Share)]);
    assert_eq!(relay.assign(2, engine, timed_out), Authority::Share);
    let retry_at = timed_out + Duration::from_secs(1);
    assert!(matches!(
        relay.assign(3, engine, retry_at),
        Authority::Home(_)
    ));
}
