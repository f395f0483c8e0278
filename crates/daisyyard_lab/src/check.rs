//! Protocol checker: explores every state of a small specification within stated bounds.

use std::hash::{Hash, Hasher};
use std::time::{Duration, Instant};

use pathfinding::directed::bfs::bfs_reach;

use crate::{check_calls, check_config, check_orders, check_stream};

/// Adds a state that a change of the present one leads to.
pub(crate) type Branch<'a, S> = &'a mut dyn FnMut(&dyn Fn(&mut S));

/// States after which an exploration is given up, which keeps it within a few gigabytes.
const MAX_STATES: usize = 1_000_000;

/// What one invariant of one protocol was checked against.
#[derive(Debug, Clone)]
pub struct Outcome {
    /// Protocol.
    pub protocol: &'static str,
    /// Invariant, with the promise that it stands for.
    pub invariant: &'static str,
    /// Bounds of the exploration.
    pub bounds: &'static str,
    /// Exploration of the protocol as it is.
    pub exploration: Exploration,
    /// Explorations of deliberately broken variants, by name.
    pub broken: Vec<(&'static str, Exploration)>,
}

/// Result of exploring one specification.
#[derive(Debug, Clone, Copy)]
pub struct Exploration {
    /// States that were reached.
    pub states: usize,
    /// Steps from the start to the farthest state that was reached.
    pub depth: usize,
    /// Time that the exploration took.
    pub elapsed: Duration,
    /// Whether no state within the bounds was left out.
    pub complete: bool,
    /// Steps to the nearest state that violates the invariant, if there is one.
    pub violation_depth: Option<usize>,
}

/// A state with its distance from the start, which is no part of its identity.
#[derive(Debug, Clone)]
struct Node<S> {
    /// The state.
    state: S,
    /// Steps from the start.
    depth: usize,
}

impl<S: PartialEq> PartialEq for Node<S> {
    fn eq(&self, other: &Self) -> bool {
        self.state == other.state
    }
}

impl<S: Eq> Eq for Node<S> {}

impl<S: Hash> Hash for Node<S> {
    fn hash<H: Hasher>(&self, state: &mut H) {
        self.state.hash(state);
    }
}

impl Outcome {
    /// Returns whether the invariant holds and every broken variant is rejected.
    pub fn holds(&self) -> bool {
        let rejected = |(_, variant): &(&str, Exploration)| variant.violation_depth.is_some();
        self.exploration.complete
            && self.exploration.violation_depth.is_none()
            && self.broken.iter().all(rejected)
    }
}

/// Explores all states breadth first, and stops at the first that violates the invariant.
pub fn explore<S, I>(
    start: S,
    successors: impl Fn(&S) -> I,
    violates: impl Fn(&S) -> bool,
) -> Exploration
where
    S: Clone + Eq + Hash,
    I: IntoIterator<Item = S>,
{
    let started = Instant::now();
    let start = Node {
        state: start,
        depth: 0,
    };
    let expand = |node: &Node<S>| {
        let depth = node.depth + 1;
        let states = successors(&node.state).into_iter();
        states
            .map(|state| Node { state, depth })
            .collect::<Vec<_>>()
    };
    let mut exploration = Exploration {
        states: 0,
        depth: 0,
        elapsed: Duration::ZERO,
        complete: true,
        violation_depth: None,
    };
    for node in bfs_reach(start, expand) {
        exploration.states += 1;
        exploration.depth = exploration.depth.max(node.depth);
        if violates(&node.state) {
            exploration.violation_depth = Some(node.depth);
            break;
        }
        if exploration.states == MAX_STATES {
            exploration.complete = false;
            break;
        }
    }
    exploration.elapsed = started.elapsed();
    exploration
}

/// Checks all protocols.
pub fn all() -> Vec<Outcome> {
    let mut outcomes = check_stream::outcomes();
    outcomes.extend(check_calls::outcomes());
    outcomes.extend(check_config::outcomes());
    outcomes.extend(check_orders::outcomes());
    outcomes
}

/// Returns the table of all rows.
pub fn table(outcomes: &[Outcome]) -> String {
    let mut table = format!(
        "{:<8} {:<58} {:>8} {:>5} {:>7}  result\n",
        "protocol", "invariant", "states", "depth", "seconds"
    );
    for outcome in outcomes {
        let row = |name: &str, e: &Exploration, result: &str| {
            let seconds = e.elapsed.as_secs_f64();
            format!(
                "{:<8} {name:<58} {:>8} {:>5} {seconds:>7.2}  {result}\n",
                outcome.protocol, e.states, e.depth
            )
        };
        let result = match outcome.exploration.violation_depth {
            Some(depth) => format!("VIOLATED after {depth} steps"),
            None if outcome.exploration.complete => "holds".to_owned(),
            None => "GIVEN UP, too many states".to_owned(),
        };
        table.push_str(&row(outcome.invariant, &outcome.exploration, &result));
        for (name, variant) in &outcome.broken {
            let result = variant.violation_depth.map_or_else(
                || "ACCEPTED".to_owned(),
                |depth| format!("rejected after {depth} steps"),
            );
            table.push_str(&row(&format!("  broken: {name}"), variant, &result));
        }
    }
    table
}

/// Returns all rows as JSON.
pub fn json(outcomes: &[Outcome]) -> serde_json::Value {
    let exploration_json = |e: &Exploration| {
        serde_json::json!({
            "states": e.states,
            "depth": e.depth,
            "seconds": e.elapsed.as_secs_f64(),
            "complete": e.complete,
            "violated_after": e.violation_depth,
        })
    };
    let outcome_json = |outcome: &Outcome| {
        let broken = outcome.broken.iter().map(|(name, variant)| {
            serde_json::json!({
                "name": name,
                "rejected": variant.violation_depth.is_some(),
                "exploration": exploration_json(variant),
            })
        });
        serde_json::json!({
            "protocol": outcome.protocol,
            "invariant": outcome.invariant,
            "bounds": outcome.bounds,
            "holds": outcome.holds(),
            "exploration": exploration_json(&outcome.exploration),
            "broken": broken.collect::<Vec<_>>(),
        })
    };
    outcomes.iter().map(outcome_json).collect()
}
