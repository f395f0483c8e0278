//! Specification of at-most-once calls, around the real [`Partition`].

use std::collections::{BTreeMap, BTreeSet};
use std::rc::Rc;
use std::time::UNIX_EPOCH;

use daisyyard_core::call::{Limits, Next, Partition, Step, Written};
use daisyyard_core::record::{Answer, Attempt, Head, Record};
use daisyyard_derive::state;

use crate::check::{Branch, Exploration, Outcome, explore};

/// Deliberate faults of the protocol.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Variant {
    /// The protocol as it is.
    Correct,
    /// The configuration service writes without comparing the revision.
    Overwrite,
    /// A lost response is taken for success.
    AssumeSuccess,
    /// A call that was sent and not answered is released.
    ReleaseAfterSend,
    /// A claim of another attempt is taken over.
    TakeOver,
    /// The head drops records although their archive was not written.
    DropUnarchived,
    /// A claim is refused as not run and still waits.
    SkipWithdraw,
}

/// What is explored: claims by node, key and body, and the faults in one history.
#[derive(Debug, Clone, Copy)]
struct Bounds {
    /// Node and key of each attempt, in the order in which callers ask.
    attempts: &'static [(usize, u128)],
    /// Bytes of records in a head.
    head_bytes: usize,
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
    head_bytes: 1000,
    faults: 2,
    crashes: 1,
    withdrawals: 1,
};

/// One key, three attempts at two nodes, few faults.
const THREE_ATTEMPTS: Bounds = Bounds {
    attempts: &[(0, 1), (1, 1), (0, 1)],
    head_bytes: 1000,
    faults: 1,
    crashes: 1,
    withdrawals: 0,
};

/// Two keys, whose records do not fit one head, with crashes and late writes.
const ROLL_OVER_CRASH: Bounds = Bounds {
    attempts: &[(0, 1), (0, 2), (1, 1)],
    head_bytes: 100,
    faults: 0,
    crashes: 1,
    withdrawals: 0,
};

/// Two keys, whose records do not fit one head, with a call that is lost, delayed or fails.
const ROLL_OVER_FAULT: Bounds = Bounds {
    attempts: &[(0, 1), (0, 2), (1, 1)],
    head_bytes: 100,
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
enum Operation {
    /// It has not arrived.
    Sent(Write),
    /// It took effect or was refused; the response is on its way.
    Decided(Written),
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
    Ended,
}

/// One attempt.
#[state]
struct Status {
    /// Where it stands.
    stage: Stage,
    /// Whether the endpoint ran it.
    ran: bool,
    /// Whether the caller was told that it was not run.
    told_not_run: bool,
}

/// State of the callers, two nodes, the configuration service and the endpoint.
#[state]
struct State {
    /// Partitions by node.
    partitions: [Rc<Partition>; 2],
    /// Writes in progress by node.
    pending: [Option<Operation>; 2],
    /// Values of the configuration service with their revisions.
    values: Rc<BTreeMap<Option<u64>, (u64, Value)>>,
    /// Last revision.
    revision: u64,
    /// Write that arrives late.
    delayed_write: Option<Write>,
    /// Attempts.
    attempts: Vec<Status>,
    /// Keys that were replayed without a run.
    unrun_replays: BTreeSet<u128>,
    /// Faults left.
    faults_left: u8,
    /// Crashes left.
    crashes_left: u8,
    /// Withdrawals left.
    withdrawals_left: u8,
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
fn new_partition(bounds: &Bounds) -> Partition {
    Partition::new(Limits {
        head: bounds.head_bytes,
        archives: 8,
        claims: 8,
        changes: 8,
    })
}

impl State {
    /// Returns the start of a history.
    fn start(bounds: &Bounds) -> Self {
        let idle = Status {
            stage: Stage::Idle,
            ran: false,
            told_not_run: false,
        };
        Self {
            partitions: [
                Rc::new(new_partition(bounds)),
                Rc::new(new_partition(bounds)),
            ],
            pending: [None, None],
            values: Rc::new(BTreeMap::new()),
            revision: 0,
            delayed_write: None,
            attempts: vec![idle; bounds.attempts.len()],
            unrun_replays: BTreeSet::new(),
            faults_left: bounds.faults,
            crashes_left: bounds.crashes,
            withdrawals_left: bounds.withdrawals,
        }
    }

    /// Returns a partition to change; states share those that do not change.
    fn partition_mut(&mut self, node: usize) -> &mut Partition {
        Rc::make_mut(&mut self.partitions[node])
    }

    /// Returns all states that one step leads to.
    fn successors(&self, bounds: &Bounds, variant: Variant) -> Vec<Self> {
        let mut successors = Vec::new();
        let mut branch = |change: &dyn Fn(&mut Self)| {
            let mut successor = self.clone();
            change(&mut successor);
            if successor != *self {
                successors.push(successor);
            }
        };
        for number in 0..self.attempts.len() {
            let node = bounds.attempts[number].0;
            match self.attempts[number].stage {
                Stage::Idle => branch(&|state| state.claim(bounds, number, variant)),
                Stage::Waiting if self.withdrawals_left > 0 => {
                    branch(&|state| state.withdraw(bounds, number, variant));
                }
                Stage::Confirmed => {
                    branch(&|state| {
                        state.attempts[number].stage = Stage::Sent;
                        state.attempts[number].ran = true;
                    });
                    branch(&|state| {
                        state.attempts[number].stage = Stage::Ended;
                        state.attempts[number].told_not_run = true;
                        state.partition_mut(node).release(attempt(bounds, number));
                    });
                }
                Stage::Sent => {
                    branch(&|state| {
                        state.attempts[number].stage = Stage::Ended;
                        let answer = Answer::new(200, b"");
                        state
                            .partition_mut(node)
                            .finish(attempt(bounds, number), answer);
                    });
                    // The endpoint's answer is lost, so the caller is told `unknown`.
                    branch(&|state| {
                        state.attempts[number].stage = Stage::Ended;
                        if variant == Variant::ReleaseAfterSend {
                            state.partition_mut(node).release(attempt(bounds, number));
                        }
                    });
                }
                Stage::Waiting | Stage::Ended => {}
            }
        }
        for node in 0..2 {
            self.advance_node(node, bounds, variant, &mut branch);
        }
        if let Some((archive, expected, value)) = &self.delayed_write {
            branch(&|state| {
                state.delayed_write = None;
                state.compare_and_swap(*archive, *expected, value, variant);
            });
        }
        successors
    }

    /// Branches into what a node and its call to the configuration service do next.
    fn advance_node(
        &self,
        node: usize,
        bounds: &Bounds,
        variant: Variant,
        branch: Branch<'_, Self>,
    ) {
        match &self.pending[node] {
            None => branch(&|state| state.step_node(node, false, variant)),
            Some(Operation::Sent(write)) => {
                branch(&|state| {
                    let written = state.compare_and_swap(write.0, write.1, &write.2, variant);
                    state.pending[node] = Some(Operation::Decided(written));
                });
                if self.faults_left > 0 {
                    branch(&|state| {
                        state.faults_left -= 1;
                        state.complete_write(node, Written::Unsent, variant);
                    });
                    if self.delayed_write.is_none() {
                        branch(&|state| {
                            state.faults_left -= 1;
                            state.delayed_write = Some(write.clone());
                            state.complete_write(node, Written::Lost, variant);
                        });
                    }
                }
            }
            Some(Operation::Decided(written)) => {
                branch(&|state| state.complete_write(node, *written, variant));
                if self.faults_left > 0 {
                    branch(&|state| {
                        state.faults_left -= 1;
                        state.complete_write(node, Written::Lost, variant);
                    });
                }
            }
        }
        if self.faults_left > 0 && self.pending[node].is_none() {
            branch(&|state| {
                state.faults_left -= 1;
                state.step_node(node, true, variant);
            });
        }
        if self.crashes_left > 0 {
            branch(&|state| state.crash(node, bounds));
        }
    }

    /// A caller asks.
    fn claim(&mut self, bounds: &Bounds, number: usize, variant: Variant) {
        self.attempts[number].stage = Stage::Waiting;
        let attempt = attempt(bounds, number);
        let next = self
            .partition_mut(bounds.attempts[number].0)
            .claim(attempt, UNIX_EPOCH);
        if next != Next::Write {
            self.apply_answer(attempt, &next, variant);
        }
    }

    /// A claim waited too long and is refused.
    fn withdraw(&mut self, bounds: &Bounds, number: usize, variant: Variant) {
        self.withdrawals_left -= 1;
        self.attempts[number].stage = Stage::Ended;
        self.attempts[number].told_not_run = true;
        if variant != Variant::SkipWithdraw {
            self.partition_mut(bounds.attempts[number].0)
                .withdraw(attempt(bounds, number));
        }
    }

    /// A node crashes and starts anew; its write may still arrive.
    fn crash(&mut self, node: usize, bounds: &Bounds) {
        self.crashes_left -= 1;
        self.partitions[node] = Rc::new(new_partition(bounds));
        if let Some(Operation::Sent(write)) = self.pending[node].take() {
            self.delayed_write = self.delayed_write.take().or(Some(write));
        }
        for (number, status) in self.attempts.iter_mut().enumerate() {
            if bounds.attempts[number].0 == node && status.stage != Stage::Idle {
                status.stage = Stage::Ended;
            }
        }
    }

    /// A node takes its next step; a read is answered at once or fails.
    fn step_node(&mut self, node: usize, fails: bool, variant: Variant) {
        match self.partition_mut(node).step(UNIX_EPOCH) {
            Step::Idle => {}
            Step::Read | Step::ReadArchive(_) if fails => self.partition_mut(node).failed(),
            Step::Read => {
                let (revision, head) = match self.values.get(&None) {
                    Some((revision, Value::Head(head))) => (*revision, head.clone()),
                    _ => (0, Head::default()),
                };
                self.partition_mut(node).read(revision, head);
            }
            Step::ReadArchive(number) => {
                let records = match self.values.get(&Some(number)) {
                    Some((_, Value::Archive(records))) => Some(records.clone()),
                    // The broken variant reads a lost archive as empty.
                    _ if variant == Variant::DropUnarchived => Some(vec![]),
                    _ => None,
                };
                self.partition_mut(node).archive(number, records);
            }
            Step::WriteArchive(..) if variant == Variant::DropUnarchived => {
                self.partition_mut(node).wrote(Written::Done(0));
            }
            Step::WriteArchive(number, records) => {
                let write = (Some(number), 0, Value::Archive(records));
                self.pending[node] = Some(Operation::Sent(write));
            }
            Step::Write(expected, head) => {
                let write = (None, expected, Value::Head(head));
                self.pending[node] = Some(Operation::Sent(write));
            }
        }
        // The count of foreign writes sets the pace only; dropping it merges equal states.
        self.partition_mut(node).foreign();
        self.take_answers(node, variant);
    }

    /// A node learns how its write ended.
    fn complete_write(&mut self, node: usize, written: Written, variant: Variant) {
        self.pending[node] = None;
        let assumed = variant == Variant::AssumeSuccess && written == Written::Lost;
        let written = if assumed {
            Written::Done(self.revision)
        } else {
            written
        };
        self.partition_mut(node).wrote(written);
        self.take_answers(node, variant);
    }

    /// Compare-and-swap of the configuration service.
    fn compare_and_swap(
        &mut self,
        archive: Option<u64>,
        expected: u64,
        value: &Value,
        variant: Variant,
    ) -> Written {
        let current = self
            .values
            .get(&archive)
            .map_or(0, |(revision, _)| *revision);
        if current != expected && variant != Variant::Overwrite {
            return Written::Conflict;
        }
        self.revision += 1;
        Rc::make_mut(&mut self.values).insert(archive, (self.revision, value.clone()));
        Written::Done(self.revision)
    }

    /// Takes the answers of a node.
    fn take_answers(&mut self, node: usize, variant: Variant) {
        for (attempt, next) in self.partition_mut(node).answers() {
            self.apply_answer(attempt, &next, variant);
        }
    }

    /// Tells a caller or lets it send.
    fn apply_answer(&mut self, attempt: Attempt, next: &Next, variant: Variant) {
        let number = attempt.id as usize;
        match next {
            Next::Send => self.attempts[number].stage = Stage::Confirmed,
            Next::Unknown if variant == Variant::TakeOver => {
                self.attempts[number].stage = Stage::Confirmed;
            }
            Next::Refuse(_) => {
                self.attempts[number].stage = Stage::Ended;
                self.attempts[number].told_not_run = true;
            }
            Next::Replay(_) => {
                self.attempts[number].stage = Stage::Ended;
                if !self.attempts.iter().any(|status| status.ran) {
                    self.unrun_replays.insert(attempt.key);
                }
            }
            Next::Write | Next::Unknown => self.attempts[number].stage = Stage::Ended,
        }
    }

    /// Returns whether a key ran twice.
    fn ran_twice(&self, bounds: &Bounds) -> bool {
        let ran = |key| {
            let attempts = self.attempts.iter().zip(bounds.attempts);
            attempts
                .filter(|(status, (_, other))| status.ran && *other == key)
                .count()
        };
        bounds.attempts.iter().any(|(_, key)| ran(*key) > 1)
    }

    /// Returns whether a caller was told something false.
    fn misreported(&self) -> bool {
        !self.unrun_replays.is_empty()
            || self
                .attempts
                .iter()
                .any(|status| status.ran && status.told_not_run)
    }
}

/// Checks the protocol and its broken variants.
pub(crate) fn outcomes() -> Vec<Outcome> {
    let check = |bounds: &Bounds, variant, violates: &dyn Fn(&State) -> bool| -> Exploration {
        explore(
            State::start(bounds),
            |state| state.successors(bounds, variant),
            violates,
        )
    };
    let check_one_key = |variant| check(&ONE_KEY, variant, &|state| state.ran_twice(&ONE_KEY));
    let check_roll_over = |variant| {
        check(&ROLL_OVER_CRASH, variant, &|state| {
            state.ran_twice(&ROLL_OVER_CRASH)
        })
    };
    let check_truthful = |variant| check(&ONE_KEY, variant, &State::misreported);
    vec![
        Outcome {
            protocol: "calls",
            invariant: "P4 one key runs at most once",
            bounds: "2 nodes, 1 key, 2 attempts, 2 calls lost, delayed or failed, 1 crash, \
                     1 claim given up",
            exploration: check_one_key(Variant::Correct),
            broken: vec![
                ("write without compare", check_one_key(Variant::Overwrite)),
                (
                    "lost response taken for success",
                    check_one_key(Variant::AssumeSuccess),
                ),
                (
                    "release after sending",
                    check_one_key(Variant::ReleaseAfterSend),
                ),
                ("take over another claim", check_one_key(Variant::TakeOver)),
            ],
        },
        Outcome {
            protocol: "calls",
            invariant: "P4 one key runs at most once, with a repeat",
            bounds: "2 nodes, 1 key, 3 attempts, 1 call lost, delayed or failed, 1 crash",
            exploration: check(&THREE_ATTEMPTS, Variant::Correct, &|state| {
                state.ran_twice(&THREE_ATTEMPTS)
            }),
            broken: vec![],
        },
        Outcome {
            protocol: "calls",
            invariant: "P4 one key runs at most once, roll-over and a crash",
            bounds: "2 nodes, 2 keys, 3 attempts, head of one record, 1 crash",
            exploration: check_roll_over(Variant::Correct),
            broken: vec![(
                "drop records before archiving",
                check_roll_over(Variant::DropUnarchived),
            )],
        },
        Outcome {
            protocol: "calls",
            invariant: "P4 one key runs at most once, roll-over and a fault",
            bounds: "2 nodes, 2 keys, 3 attempts, head of one record, 1 call lost, delayed or failed",
            exploration: check(&ROLL_OVER_FAULT, Variant::Correct, &|state| {
                state.ran_twice(&ROLL_OVER_FAULT)
            }),
            broken: vec![],
        },
        Outcome {
            protocol: "calls",
            invariant: "P3 not_run only if not run, replay only of a run",
            bounds: "as for one key",
            exploration: check_truthful(Variant::Correct),
            broken: vec![(
                "refused claim still waits",
                check_truthful(Variant::SkipWithdraw),
            )],
        },
    ]
}
