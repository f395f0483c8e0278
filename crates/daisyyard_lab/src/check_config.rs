//! Specification of how a preset document spreads.
//!
//! The rules of adoption are stated here; they are to be replaced by `config::Held` once it is
//! part of `daisyyard_core`.

use std::collections::{BTreeMap, BTreeSet};

use daisyyard_derive::state;

use crate::check::{Branch, Row, explore};

/// Operators who change the preset at the same time.
const OPERATORS: usize = 3;
/// Nodes.
const NODES: usize = 3;
/// Lost responses, delayed writes and outages in one history.
const FAULTS: u8 = 2;
/// Nodes that restart.
const RESTARTS: u8 = 1;

/// A revision with the write that made it; each write chooses another preset.
type Document = (u8, u8);

/// Deliberate faults of the protocol.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Variant {
    /// The protocol as it is.
    Whole,
    /// A node adopts any document that it hears of.
    Newest,
    /// The configuration service writes without comparing the revision.
    Overwrite,
    /// A lost response is reported as a refusal.
    Assume,
    /// A node that restarts adopts what it hears without reading the configuration service.
    Restart,
}

/// Where an operator's change stands.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
enum Change {
    /// The operator has not begun.
    Idle,
    /// The document was read at this revision.
    Read(u8),
    /// The write is on its way with this expected revision.
    Sent(u8),
    /// The response was lost; the write may arrive yet.
    Lost(u8),
    /// The operator was told that the change was accepted.
    Accepted,
    /// The operator was told that the change was refused.
    Refused,
}

/// State of the operators, the configuration service and the nodes.
#[state]
struct World {
    /// Changes by operator; the write of operator `n` has the identifier `n + 1`.
    changes: [Change; OPERATORS],
    /// Document in the configuration service.
    stored: Document,
    /// Writes in the history that the document carries.
    history: Vec<u8>,
    /// Writes whose response was lost and which have not arrived.
    late: BTreeSet<(u8, u8)>,
    /// Documents in force by node; a restarted node has none until it adopts one.
    nodes: [Option<Document>; NODES],
    /// Announcements by peers, which may arrive late, repeatedly and in any order.
    announced: BTreeSet<Document>,
    /// Presets by revision, as any node has ever adopted them.
    seen: BTreeMap<u8, u8>,
    /// Whether a node went back or two presets had one revision.
    violated: bool,
    /// Highest revision that any node had in force when a node restarted.
    faults: u8,
    /// Restarts left.
    restarts: u8,
}

impl World {
    /// Returns the start: all nodes have the first revision.
    fn start() -> Self {
        Self {
            changes: [Change::Idle; OPERATORS],
            stored: (0, 0),
            history: vec![0],
            late: BTreeSet::new(),
            nodes: [Some((0, 0)); NODES],
            announced: BTreeSet::from([(0, 0)]),
            seen: BTreeMap::from([(0, 0)]),
            violated: false,
            faults: FAULTS,
            restarts: RESTARTS,
        }
    }

    /// Returns all states that one step leads to.
    fn next(&self, variant: Variant) -> Vec<Self> {
        let mut next = Vec::new();
        let mut branch = |change: &dyn Fn(&mut Self)| {
            let mut world = self.clone();
            change(&mut world);
            if world != *self {
                next.push(world);
            }
        };
        for operator in 0..OPERATORS {
            self.operate(operator, variant, &mut branch);
        }
        for write in &self.late {
            branch(&|w| {
                w.late.remove(write);
                w.swap(write.0, write.1, variant);
            });
        }
        for node in 0..NODES {
            // A watch or a read; it may be answered late only as an announcement.
            branch(&|w| w.adopt(node, w.stored, true, variant));
            for document in &self.announced {
                branch(&|w| w.adopt(node, *document, false, variant));
            }
            if self.restarts > 0 {
                branch(&|w| {
                    w.restarts -= 1;
                    w.nodes[node] = None;
                });
            }
        }
        next
    }

    /// Branches into what an operator's command does next.
    fn operate(&self, operator: usize, variant: Variant, branch: Branch<'_, Self>) {
        let write = operator as u8 + 1;
        match self.changes[operator] {
            Change::Idle => branch(&|w| w.changes[operator] = Change::Read(w.stored.0)),
            Change::Read(expected) => {
                branch(&|w| w.changes[operator] = Change::Sent(expected));
            }
            Change::Sent(expected) => {
                branch(&|w| {
                    let done = w.swap(expected, write, variant);
                    w.changes[operator] = if done {
                        Change::Accepted
                    } else {
                        Change::Refused
                    };
                });
                if self.faults > 0 {
                    branch(&|w| {
                        w.faults -= 1;
                        w.swap(expected, write, variant);
                        w.lose(operator, expected, variant);
                    });
                    branch(&|w| {
                        w.faults -= 1;
                        w.late.insert((expected, write));
                        w.lose(operator, expected, variant);
                    });
                }
            }
            Change::Lost(expected) => branch(&|w| {
                // Reads back: the history shows the write, or a higher revision rules it out.
                if w.history.contains(&write) {
                    w.changes[operator] = Change::Accepted;
                } else if w.stored.0 > expected {
                    w.changes[operator] = Change::Refused;
                }
            }),
            Change::Accepted | Change::Refused => {}
        }
    }

    /// A response is lost.
    fn lose(&mut self, operator: usize, expected: u8, variant: Variant) {
        self.changes[operator] = if variant == Variant::Assume {
            Change::Refused
        } else {
            Change::Lost(expected)
        };
    }

    /// Compare-and-swap of the configuration service.
    fn swap(&mut self, expected: u8, write: u8, variant: Variant) -> bool {
        if self.stored.0 != expected && variant != Variant::Overwrite {
            return false;
        }
        self.stored = (expected + 1, write);
        self.history.truncate(usize::from(expected) + 1);
        self.history.push(write);
        true
    }

    /// A node learns of a document, from the configuration service or from a peer.
    fn adopt(&mut self, node: usize, document: Document, stored: bool, variant: Variant) {
        let held = self.nodes[node];
        let rule = match held {
            // A new node reads the configuration service before it adopts what peers announce.
            None => stored || variant == Variant::Restart,
            Some(held) => document.0 > held.0 || variant == Variant::Newest,
        };
        if !rule {
            return;
        }
        let highest = self.seen.keys().next_back().copied().unwrap_or(0);
        self.violated |= match held {
            Some(held) => document.0 < held.0,
            None => document.0 < highest,
        };
        let known = *self.seen.entry(document.0).or_insert(document.1);
        self.violated |= known != document.1;
        self.nodes[node] = Some(document);
        self.announced.insert(document);
    }

    /// Returns whether an operator was told something that is not in the history.
    fn lied(&self) -> bool {
        let told = |(operator, change): (usize, &Change)| {
            let written = self.history.contains(&(operator as u8 + 1));
            match change {
                Change::Accepted => !written,
                Change::Refused => written,
                _ => false,
            }
        };
        self.changes.iter().enumerate().any(told)
    }
}

/// Checks the protocol and its broken variants.
pub(crate) fn rows() -> Vec<Row> {
    let check = |variant, violates: fn(&World) -> bool| {
        explore(World::start(), |world| world.next(variant), violates)
    };
    let spread = |variant| check(variant, |world| world.violated);
    let told = |variant| check(variant, World::lied);
    let bounds = "3 operators, 3 nodes, 2 responses lost or writes delayed, 1 restart, \
                  announcements in any order and repeated; the configuration service answers \
                  the restarted node";
    vec![
        Row {
            protocol: "config",
            invariant: "P7 no revision goes back, one preset per revision",
            bounds,
            whole: spread(Variant::Whole),
            broken: vec![
                ("adopt whatever is announced", spread(Variant::Newest)),
                ("write without compare", spread(Variant::Overwrite)),
                ("restart from one peer", spread(Variant::Restart)),
            ],
        },
        Row {
            protocol: "config",
            invariant: "P7 accepted changes stay, refused ones never appear",
            bounds,
            whole: told(Variant::Whole),
            broken: vec![("lost response reported as refused", told(Variant::Assume))],
        },
    ]
}
