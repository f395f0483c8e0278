//! Explicit-state model checker for the core protocols.
//!
//! Each protocol has a small specification, of which all states within its bounds are explored.

use std::hash::{Hash, Hasher};
use std::time::{Duration, Instant};

use pathfinding::directed::bfs::bfs_reach;

use crate::{check_calls, check_config, check_orders, check_stream};

/// Adds a successor to the state being expanded, given as a change to a copy of that state.
pub(crate) type Branch<'a, S> = &'a mut dyn FnMut(&dyn Fn(&mut S));

/// Limit at which an exploration stops incomplete, which keeps its memory to a few gigabytes.
const MAX_STATES: usize = 1_000_000;

/// Outcome of checking one invariant of one protocol.
#[derive(Debug, Clone)]
pub struct Outcome {
    /// Name of the protocol.
    pub protocol: &'static str,
    /// Invariant, preceded by the number of the guarantee that it covers, if any.
    pub invariant: &'static str,
    /// Bounds of the exploration.
    pub bounds: &'static str,
    /// Exploration of the correct protocol.
    pub exploration: Exploration,
    /// Explorations of deliberately broken variants by name; each must violate the invariant.
    pub broken: Vec<(&'static str, Exploration)>,
}

/// Result of exploring one specification.
#[derive(Debug, Clone, Copy)]
pub struct Exploration {
    /// Distinct states reached.
    pub states: usize,
    /// Steps from the initial state to the most distant state reached.
    pub depth: usize,
    /// Wall-clock time of the exploration.
    pub elapsed: Duration,
    /// Whether the exploration ended before it reached `MAX_STATES`.
    pub complete: bool,
    /// Steps to the nearest state that violates the invariant, if any does.
    pub violation_depth: Option<usize>,
}

/// A state with its depth, which is ignored by equality and hashing so that each state is visited
/// once.
#[derive(Debug, Clone)]
struct Node<S> {
    /// State of the specification.
    state: S,
    /// Steps from the initial state.
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
    /// Returns whether the invariant holds in all states and every broken variant violates it.
    pub fn holds(&self) -> bool {
        let rejected = |(_, variant): &(&str, Exploration)| variant.violation_depth.is_some();
        self.exploration.complete
            && self.exploration.violation_depth.is_none()
            && self.broken.iter().all(rejected)
    }
}

/// Explores the state space breadth first and stops at the first state that violates the
/// invariant, or at `MAX_STATES`.
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

/// Checks every invariant of all protocols.
pub fn all() -> Vec<Outcome> {
    let mut outcomes = check_stream::outcomes();
    outcomes.extend(check_calls::outcomes());
    outcomes.extend(check_config::outcomes());
    outcomes.extend(check_orders::outcomes());
    outcomes
}

/// Formats the outcomes as a text table, with a row for each broken variant.
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

/// Formats the outcomes as a JSON array.
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
