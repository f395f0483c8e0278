//! Specification of changes to the preset document and of their propagation to the nodes.
//!
//! The rules by which a node adopts a document are stated here a second time and do not use
//! `daisyyard_core::config::Replica`.

use std::collections::{BTreeMap, BTreeSet};

use daisyyard_derive::state;

use crate::check::{Branch, Outcome, explore};

/// Operators who change the preset concurrently.
const OPERATOR_COUNT: usize = 3;
/// Nodes that adopt documents.
const NODE_COUNT: usize = 3;
/// Lost responses and delayed writes in one history.
const MAX_FAULTS: u8 = 2;
/// Node restarts in one history.
const MAX_RESTARTS: u8 = 1;

/// A revision and the identifier of the write that made it; each write sets a different preset.
type Document = (u8, u8);

/// The correct protocol and the faults that the checker must detect.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Variant {
    /// The protocol without a fault.
    Correct,
    /// A node adopts every announced document, whatever its revision.
    AdoptAny,
    /// The configuration service accepts a write without comparing the revision.
    Overwrite,
    /// A change whose response was lost is reported as refused.
    AssumeRefusal,
    /// A restarted node adopts an announced document before it reads the configuration service.
    RestartFromPeer,
}

/// Progress of an operator's change.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
enum Change {
    /// The operator has not read the document.
    Idle,
    /// The document was read at this revision.
    Read(u8),
    /// The write was sent with this expected revision.
    Sent(u8),
    /// The response was lost; the write with this expected revision may still arrive.
    Lost(u8),
    /// The operator was notified that the change was accepted.
    Accepted,
    /// The operator was notified that the change was refused.
    Refused,
}

/// State of the operators, the configuration service and the nodes.
#[state]
struct State {
    /// Change of each operator; the write of operator `n` has the identifier `n + 1`.
    changes: [Change; OPERATOR_COUNT],
    /// Document in the configuration service.
    stored: Document,
    /// Identifiers of the writes in the history that the document carries, by revision.
    history: Vec<u8>,
    /// Writes that have not arrived though their operators no longer await a response: expected
    /// revision and identifier.
    delayed_writes: BTreeSet<(u8, u8)>,
    /// Document in force at each node; a restarted node has none until it adopts one.
    nodes: [Option<Document>; NODE_COUNT],
    /// Documents announced by peers, which may arrive late, repeatedly and in any order.
    announcements: BTreeSet<Document>,
    /// Write of each revision that any node has adopted.
    adopted: BTreeMap<u8, u8>,
    /// Whether a node adopted a lower revision, or nodes adopted two presets of one revision.
    violated: bool,
    /// Faults that may still occur.
    faults_left: u8,
    /// Restarts that may still occur.
    restarts_left: u8,
}

impl State {
    /// Returns the initial state, in which all nodes have the first revision.
    fn start() -> Self {
        Self {
            changes: [Change::Idle; OPERATOR_COUNT],
            stored: (0, 0),
            history: vec![0],
            delayed_writes: BTreeSet::new(),
            nodes: [Some((0, 0)); NODE_COUNT],
            announcements: BTreeSet::from([(0, 0)]),
            adopted: BTreeMap::from([(0, 0)]),
            violated: false,
            faults_left: MAX_FAULTS,
            restarts_left: MAX_RESTARTS,
        }
    }

    /// Returns all states that one step leads to.
    fn successors(&self, variant: Variant) -> Vec<Self> {
        let mut successors = Vec::new();
        let mut branch = |change: &dyn Fn(&mut Self)| {
            let mut successor = self.clone();
            change(&mut successor);
            if successor != *self {
                successors.push(successor);
            }
        };
        for operator in 0..OPERATOR_COUNT {
            self.advance_operator(operator, variant, &mut branch);
        }
        for write in &self.delayed_writes {
            branch(&|state| {
                state.delayed_writes.remove(write);
                state.compare_and_swap(write.0, write.1, variant);
            });
        }
        for node in 0..NODE_COUNT {
            // A watch or a read, answered with the stored document; the announcements cover late
            // answers.
            branch(&|state| state.adopt(node, state.stored, true, variant));
            for document in &self.announcements {
                branch(&|state| state.adopt(node, *document, false, variant));
            }
            if self.restarts_left > 0 {
                branch(&|state| {
                    state.restarts_left -= 1;
                    state.nodes[node] = None;
                });
            }
        }
        successors
    }

    /// Adds the next steps of an operator's change.
    fn advance_operator(&self, operator: usize, variant: Variant, branch: Branch<'_, Self>) {
        let write = operator as u8 + 1;
        match self.changes[operator] {
            Change::Idle => branch(&|state| state.changes[operator] = Change::Read(state.stored.0)),
            Change::Read(expected) => {
                branch(&|state| state.changes[operator] = Change::Sent(expected));
            }
            Change::Sent(expected) => {
                branch(&|state| {
                    let written = state.compare_and_swap(expected, write, variant);
                    state.changes[operator] = if written {
                        Change::Accepted
                    } else {
                        Change::Refused
                    };
                });
                if self.faults_left > 0 {
                    branch(&|state| {
                        state.faults_left -= 1;
                        state.compare_and_swap(expected, write, variant);
                        state.lose_response(operator, expected, variant);
                    });
                    branch(&|state| {
                        state.faults_left -= 1;
                        state.delayed_writes.insert((expected, write));
                        state.lose_response(operator, expected, variant);
                    });
                }
            }
            Change::Lost(expected) => branch(&|state| {
                // The operator reads the document again: either the history has the write, or a
                // higher revision rules it out.
                if state.history.contains(&write) {
                    state.changes[operator] = Change::Accepted;
                } else if state.stored.0 > expected {
                    state.changes[operator] = Change::Refused;
                }
            }),
            Change::Accepted | Change::Refused => {}
        }
    }

    /// Loses the response to a write.
    fn lose_response(&mut self, operator: usize, expected: u8, variant: Variant) {
        self.changes[operator] = if variant == Variant::AssumeRefusal {
            Change::Refused
        } else {
            Change::Lost(expected)
        };
    }

    /// Writes a preset at the configuration service if the expected revision is the current one.
    fn compare_and_swap(&mut self, expected: u8, write: u8, variant: Variant) -> bool {
        if self.stored.0 != expected && variant != Variant::Overwrite {
            return false;
        }
        self.stored = (expected + 1, write);
        self.history.truncate(usize::from(expected) + 1);
        self.history.push(write);
        true
    }

    /// Offers a node a document from the configuration service or from a peer.
    fn adopt(&mut self, node: usize, document: Document, from_store: bool, variant: Variant) {
        let current = self.nodes[node];
        let adopts = match current {
            // A restarted node reads the configuration service before it adopts announcements.
            None => from_store || variant == Variant::RestartFromPeer,
            Some(current) => document.0 > current.0 || variant == Variant::AdoptAny,
        };
        if !adopts {
            return;
        }
        let highest = self.adopted.keys().next_back().copied().unwrap_or(0);
        self.violated |= match current {
            Some(current) => document.0 < current.0,
            None => document.0 < highest,
        };
        let known_preset = *self.adopted.entry(document.0).or_insert(document.1);
        self.violated |= known_preset != document.1;
        self.nodes[node] = Some(document);
        self.announcements.insert(document);
    }

    /// Returns whether an accepted change is missing from the history or a refused one is in it.
    fn misreported(&self) -> bool {
        let wrong = |(operator, change): (usize, &Change)| {
            let in_history = self.history.contains(&(operator as u8 + 1));
            match change {
                Change::Accepted => !in_history,
                Change::Refused => in_history,
                _ => false,
            }
        };
        self.changes.iter().enumerate().any(wrong)
    }
}

/// Checks each invariant on the correct protocol and on its broken variants.
pub(crate) fn outcomes() -> Vec<Outcome> {
    let check = |variant, violates: fn(&State) -> bool| {
        explore(State::start(), |state| state.successors(variant), violates)
    };
    let check_adoption = |variant| check(variant, |state| state.violated);
    let check_reports = |variant| check(variant, State::misreported);
    let bounds = "3 operators, 3 nodes, 2 responses lost or writes delayed, 1 restart, \
                  announcements in any order and repeated; the configuration service answers \
                  the restarted node";
    vec![
        Outcome {
            protocol: "config",
            invariant: "P7 no revision goes back, one preset per revision",
            bounds,
            exploration: check_adoption(Variant::Correct),
            broken: vec![
                (
                    "adopt whatever is announced",
                    check_adoption(Variant::AdoptAny),
                ),
                ("write without compare", check_adoption(Variant::Overwrite)),
                (
                    "restart from one peer",
                    check_adoption(Variant::RestartFromPeer),
                ),
            ],
        },
        Outcome {
            protocol: "config",
            invariant: "P7 accepted changes stay, refused ones never appear",
            bounds,
            exploration: check_reports(Variant::Correct),
            broken: vec![(
                "lost response reported as refused",
                check_reports(Variant::AssumeRefusal),
            )],
        },
    ]
}
