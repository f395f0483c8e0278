//! Specification of at-most-once calls, around the real [`Partition`].

use std::collections::{BTreeMap, BTreeSet};
use std::rc::Rc;
use std::time::UNIX_EPOCH;

use daisyyard_core::call::{Limits, Next, Outcome, Partition, Step};
use daisyyard_core::call_record::{Answer, Attempt, Head, Record};
use daisyyard_derive::state;

use crate::check::{Branch, Exploration, Row, explore};

/// Deliberate faults of the protocol.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Variant {
    /// The protocol as it is.
    Whole,
    /// The configuration service writes without comparing the revision.
    Overwrite,
    /// A lost response is taken for success.
    Assume,
    /// A call that was sent and not answered is released.
    Release,
    /// A claim of another attempt is taken over.
    TakeOver,
    /// The head drops records although their archive was not written.
    Drop,
    /// A claim is refused as not run and still waits.
    Forget,
}

/// What is explored: claims by node, key and body, and the faults in one history.
#[derive(Debug, Clone, Copy)]
struct Bounds {
    /// Node and key of each attempt, in the order in which callers ask.
    attempts: &'static [(usize, u128)],
    /// Bytes of records in a head.
    head: usize,
    /// Calls to the configuration service that are lost, delayed or fail.
    faults: u8,
    /// Nodes that crash.
    crashes: u8,
    /// Claims that are given up.
    withdrawals: u8,
}

/// One key, two attempts at two nodes, many faults.
const ONE_KEY: Bounds = Bounds {
    attempts: &[(0, 1), (1, 1)],
    head: 1000,
    faults: 2,
    crashes: 1,
    withdrawals: 1,
};

/// One key, three attempts at two nodes, few faults.
const REPEAT: Bounds = Bounds {
    attempts: &[(0, 1), (1, 1), (0, 1)],
    head: 1000,
    faults: 1,
    crashes: 1,
    withdrawals: 0,
};

/// Two keys, whose records do not fit one head, with crashes and late writes.
const ROLL_OVER: Bounds = Bounds {
    attempts: &[(0, 1), (0, 2), (1, 1)],
    head: 100,
    faults: 0,
    crashes: 1,
    withdrawals: 0,
};

/// Two keys, whose records do not fit one head, with a call that is lost, delayed or fails.
const ROLL_FAULT: Bounds = Bounds {
    attempts: &[(0, 1), (0, 2), (1, 1)],
    head: 100,
    faults: 1,
    crashes: 0,
    withdrawals: 0,
};

/// Value in the configuration service.
#[state]
enum Value {
    /// Head.
    Head(Head),
    /// Archive.
    Archive(Vec<Record>),
}

/// A write on its way: number of the archive or none for the head, expected revision, value.
type Write = (Option<u64>, u64, Value);

/// A write in progress at a node.
#[state]
enum Flight {
    /// It has not arrived.
    Sent(Write),
    /// It took effect or was refused; the response is on its way.
    Decided(Outcome),
}

/// Where an attempt stands at its node.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
enum Stage {
    /// The caller has not asked yet.
    Idle,
    /// The claim waits.
    Waiting,
    /// The claim is confirmed and nothing was sent.
    Confirmed,
    /// The request was sent and runs.
    Sent,
    /// The caller was told or the node has crashed.
    Over,
}

/// One attempt.
#[state]
struct Try {
    /// Where it stands.
    stage: Stage,
    /// Whether the endpoint ran it.
    ran: bool,
    /// Whether the caller was told that it was not run.
    denied: bool,
}

/// State of the callers, two nodes, the configuration service and the endpoint.
#[state]
struct World {
    /// Partitions by node.
    nodes: [Rc<Partition>; 2],
    /// Writes in progress by node.
    flights: [Option<Flight>; 2],
    /// Values of the configuration service with their revisions.
    values: Rc<BTreeMap<Option<u64>, (u64, Value)>>,
    /// Last revision.
    revision: u64,
    /// Write that arrives late.
    late: Option<Write>,
    /// Attempts.
    tries: Vec<Try>,
    /// Keys that were replayed without a run.
    forged: BTreeSet<u128>,
    /// Faults left.
    faults: u8,
    /// Crashes left.
    crashes: u8,
    /// Withdrawals left.
    withdrawals: u8,
}

/// Returns the attempt with a number.
fn attempt(bounds: &Bounds, number: usize) -> Attempt {
    Attempt {
        key: bounds.attempts[number].1,
        fingerprint: 0,
        id: number as u128,
    }
}

/// Returns a partition of which nothing is known.
fn partition(bounds: &Bounds) -> Partition {
    Partition::new(Limits {
        max_head_bytes: bounds.head,
        max_archives: 8,
        max_claims: 8,
        max_changes: 8,
    })
}

impl World {
    /// Returns the start of a history.
    fn start(bounds: &Bounds) -> Self {
        let idle = Try {
            stage: Stage::Idle,
            ran: false,
            denied: false,
        };
        Self {
            nodes: [Rc::new(partition(bounds)), Rc::new(partition(bounds))],
            flights: [None, None],
            values: Rc::new(BTreeMap::new()),
            revision: 0,
            late: None,
            tries: vec![idle; bounds.attempts.len()],
            forged: BTreeSet::new(),
            faults: bounds.faults,
            crashes: bounds.crashes,
            withdrawals: bounds.withdrawals,
        }
    }

    /// Returns a partition to change; states share those that do not change.
    fn node(&mut self, node: usize) -> &mut Partition {
        Rc::make_mut(&mut self.nodes[node])
    }

    /// Returns all states that one step leads to.
    fn next(&self, bounds: &Bounds, variant: Variant) -> Vec<Self> {
        let mut next = Vec::new();
        let mut branch = |change: &dyn Fn(&mut Self)| {
            let mut world = self.clone();
            change(&mut world);
            if world != *self {
                next.push(world);
            }
        };
        for number in 0..self.tries.len() {
            let node = bounds.attempts[number].0;
            match self.tries[number].stage {
                Stage::Idle => branch(&|w| w.claim(bounds, number, variant)),
                Stage::Waiting if self.withdrawals > 0 => {
                    branch(&|w| w.withdraw(bounds, number, variant));
                }
                Stage::Confirmed => {
                    branch(&|w| {
                        w.tries[number].stage = Stage::Sent;
                        w.tries[number].ran = true;
                    });
                    branch(&|w| {
                        w.tries[number].stage = Stage::Over;
                        w.tries[number].denied = true;
                        w.node(node).release(attempt(bounds, number));
                    });
                }
                Stage::Sent => {
                    branch(&|w| {
                        w.tries[number].stage = Stage::Over;
                        let answer = Answer::new(200, b"");
                        w.node(node).finish(attempt(bounds, number), answer);
                    });
                    // The endpoint's answer is lost, so the caller is told `unknown`.
                    branch(&|w| {
                        w.tries[number].stage = Stage::Over;
                        if variant == Variant::Release {
                            w.node(node).release(attempt(bounds, number));
                        }
                    });
                }
                Stage::Waiting | Stage::Over => {}
            }
        }
        for node in 0..2 {
            self.advance(node, bounds, variant, &mut branch);
        }
        if let Some((place, expected, value)) = &self.late {
            branch(&|w| {
                w.late = None;
                w.swap(*place, *expected, value, variant);
            });
        }
        next
    }

    /// Branches into what a node and its call to the configuration service do next.
    fn advance(&self, node: usize, bounds: &Bounds, variant: Variant, branch: Branch<'_, Self>) {
        match &self.flights[node] {
            None => branch(&|w| w.step(node, false, variant)),
            Some(Flight::Sent(write)) => {
                branch(&|w| {
                    let written = w.swap(write.0, write.1, &write.2, variant);
                    w.flights[node] = Some(Flight::Decided(written));
                });
                if self.faults > 0 {
                    branch(&|w| {
                        w.faults -= 1;
                        w.finish(node, Outcome::Unsent, variant);
                    });
                    if self.late.is_none() {
                        branch(&|w| {
                            w.faults -= 1;
                            w.late = Some(write.clone());
                            w.finish(node, Outcome::Unknown, variant);
                        });
                    }
                }
            }
            Some(Flight::Decided(written)) => {
                branch(&|w| w.finish(node, *written, variant));
                if self.faults > 0 {
                    branch(&|w| {
                        w.faults -= 1;
                        w.finish(node, Outcome::Unknown, variant);
                    });
                }
            }
        }
        if self.faults > 0 && self.flights[node].is_none() {
            branch(&|w| {
                w.faults -= 1;
                w.step(node, true, variant);
            });
        }
        if self.crashes > 0 {
            branch(&|w| w.crash(node, bounds));
        }
    }

    /// A caller asks.
    fn claim(&mut self, bounds: &Bounds, number: usize, variant: Variant) {
        self.tries[number].stage = Stage::Waiting;
        let attempt = attempt(bounds, number);
        let next = self
            .node(bounds.attempts[number].0)
            .claim(attempt, UNIX_EPOCH);
        if next != Next::Write {
            self.settle(attempt, &next, variant);
        }
    }

    /// A claim waited too long and is refused.
    fn withdraw(&mut self, bounds: &Bounds, number: usize, variant: Variant) {
        self.withdrawals -= 1;
        self.tries[number].stage = Stage::Over;
        self.tries[number].denied = true;
        if variant != Variant::Forget {
            self.node(bounds.attempts[number].0)
                .withdraw(attempt(bounds, number));
        }
    }

    /// A node crashes and starts anew; its write may still arrive.
    fn crash(&mut self, node: usize, bounds: &Bounds) {
        self.crashes -= 1;
        self.nodes[node] = Rc::new(partition(bounds));
        if let Some(Flight::Sent(write)) = self.flights[node].take() {
            self.late = self.late.take().or(Some(write));
        }
        for (number, attempt) in self.tries.iter_mut().enumerate() {
            if bounds.attempts[number].0 == node && attempt.stage != Stage::Idle {
                attempt.stage = Stage::Over;
            }
        }
    }

    /// A node takes its next step; a read is answered at once or fails.
    fn step(&mut self, node: usize, fails: bool, variant: Variant) {
        match self.node(node).step(UNIX_EPOCH) {
            Step::Idle => {}
            Step::Read | Step::ReadArchive(_) if fails => self.node(node).read_failed(),
            Step::Read => {
                let (revision, head) = match self.values.get(&None) {
                    Some((revision, Value::Head(head))) => (*revision, head.clone()),
                    _ => (0, Head::default()),
                };
                self.node(node).head_read(revision, head);
            }
            Step::ReadArchive(number) => {
                let records = match self.values.get(&Some(number)) {
                    Some((_, Value::Archive(records))) => Some(records.clone()),
                    // The broken variant reads a lost archive as empty.
                    _ if variant == Variant::Drop => Some(vec![]),
                    _ => None,
                };
                self.node(node).archive_read(number, records);
            }
            Step::WriteArchive(..) if variant == Variant::Drop => {
                self.node(node).write_finished(Outcome::Done(0));
            }
            Step::WriteArchive(number, records) => {
                let write = (Some(number), 0, Value::Archive(records));
                self.flights[node] = Some(Flight::Sent(write));
            }
            Step::Write(expected, head) => {
                let write = (None, expected, Value::Head(head));
                self.flights[node] = Some(Flight::Sent(write));
            }
        }
        // The count of foreign writes sets the pace only; dropping it merges equal states.
        self.node(node).take_foreign_writes();
        self.collect(node, variant);
    }

    /// A node learns how its write ended.
    fn finish(&mut self, node: usize, written: Outcome, variant: Variant) {
        self.flights[node] = None;
        let assumed = variant == Variant::Assume && written == Outcome::Unknown;
        let written = if assumed {
            Outcome::Done(self.revision)
        } else {
            written
        };
        self.node(node).write_finished(written);
        self.collect(node, variant);
    }

    /// Compare-and-swap of the configuration service.
    fn swap(
        &mut self,
        place: Option<u64>,
        expected: u64,
        value: &Value,
        variant: Variant,
    ) -> Outcome {
        let held = self.values.get(&place).map_or(0, |(revision, _)| *revision);
        if held != expected && variant != Variant::Overwrite {
            return Outcome::Conflict;
        }
        self.revision += 1;
        Rc::make_mut(&mut self.values).insert(place, (self.revision, value.clone()));
        Outcome::Done(self.revision)
    }

    /// Takes the answers of a node.
    fn collect(&mut self, node: usize, variant: Variant) {
        for (attempt, next) in self.node(node).take_answers() {
            self.settle(attempt, &next, variant);
        }
    }

    /// Tells a caller or lets it send.
    fn settle(&mut self, attempt: Attempt, next: &Next, variant: Variant) {
        let number = attempt.id as usize;
        match next {
            Next::Send => self.tries[number].stage = Stage::Confirmed,
            Next::Unknown if variant == Variant::TakeOver => {
                self.tries[number].stage = Stage::Confirmed;
            }
            Next::Refuse(_) => {
                self.tries[number].stage = Stage::Over;
                self.tries[number].denied = true;
            }
            Next::Replay(_) => {
                self.tries[number].stage = Stage::Over;
                if !self.tries.iter().any(|t| t.ran) {
                    self.forged.insert(attempt.key);
                }
            }
            Next::Write | Next::Unknown => self.tries[number].stage = Stage::Over,
        }
    }

    /// Returns whether a key ran twice.
    fn twice(&self, bounds: &Bounds) -> bool {
        let ran = |key| {
            let tries = self.tries.iter().zip(bounds.attempts);
            tries.filter(|(t, (_, k))| t.ran && *k == key).count()
        };
        bounds.attempts.iter().any(|(_, key)| ran(*key) > 1)
    }

    /// Returns whether a caller was told something false.
    fn lied(&self) -> bool {
        !self.forged.is_empty() || self.tries.iter().any(|t| t.ran && t.denied)
    }
}

/// Checks the protocol and its broken variants.
pub(crate) fn rows() -> Vec<Row> {
    let check = |bounds: &Bounds, variant, violates: &dyn Fn(&World) -> bool| -> Exploration {
        explore(World::start(bounds), |w| w.next(bounds, variant), violates)
    };
    let one = |variant| check(&ONE_KEY, variant, &|w| w.twice(&ONE_KEY));
    let rolled = |variant| check(&ROLL_OVER, variant, &|w| w.twice(&ROLL_OVER));
    let truthful = |variant| check(&ONE_KEY, variant, &World::lied);
    vec![
        Row {
            protocol: "calls",
            invariant: "P4 one key runs at most once",
            bounds: "2 nodes, 1 key, 2 attempts, 2 calls lost, delayed or failed, 1 crash, \
                     1 claim given up",
            whole: one(Variant::Whole),
            broken: vec![
                ("write without compare", one(Variant::Overwrite)),
                ("lost response taken for success", one(Variant::Assume)),
                ("release after sending", one(Variant::Release)),
                ("take over another claim", one(Variant::TakeOver)),
            ],
        },
        Row {
            protocol: "calls",
            invariant: "P4 one key runs at most once, with a repeat",
            bounds: "2 nodes, 1 key, 3 attempts, 1 call lost, delayed or failed, 1 crash",
            whole: check(&REPEAT, Variant::Whole, &|w| w.twice(&REPEAT)),
            broken: vec![],
        },
        Row {
            protocol: "calls",
            invariant: "P4 one key runs at most once, roll-over and a crash",
            bounds: "2 nodes, 2 keys, 3 attempts, head of one record, 1 crash",
            whole: rolled(Variant::Whole),
            broken: vec![("drop records before archiving", rolled(Variant::Drop))],
        },
        Row {
            protocol: "calls",
            invariant: "P4 one key runs at most once, roll-over and a fault",
            bounds: "2 nodes, 2 keys, 3 attempts, head of one record, 1 call lost, delayed or failed",
            whole: check(&ROLL_FAULT, Variant::Whole, &|w| w.twice(&ROLL_FAULT)),
            broken: vec![],
        },
        Row {
            protocol: "calls",
            invariant: "P3 not_run only if not run, replay only of a run",
            bounds: "as for one key",
            whole: truthful(Variant::Whole),
            broken: vec![("refused claim still waits", truthful(Variant::Forget))],
        },
    ]
}
