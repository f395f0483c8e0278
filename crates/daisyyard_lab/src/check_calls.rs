//! Specification of at-most-once calls.
//!
//! The nodes run the production [`Partition`]; the callers, the configuration service, the network
//! and the endpoint are modelled.

use std::collections::{BTreeMap, BTreeSet};
use std::rc::Rc;
use std::time::UNIX_EPOCH;

use daisyyard_core::call::{Decision, Limits, Outcome, Partition, Step};
use daisyyard_core::call_record::{Answer, Attempt, Head, Record};
use daisyyard_derive::state;

use crate::check::{self, Branch, Exploration, explore};

/// The correct protocol and the faults that the checker must detect.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Variant {
    /// The protocol without a fault.
    Correct,
    /// The configuration service accepts a write without comparing the revision.
    Overwrite,
    /// A node treats a lost write response as success.
    AssumeSuccess,
    /// A node releases the claim of a call that was sent and not answered.
    ReleaseAfterSend,
    /// A node sends a call that another attempt has claimed.
    TakeOver,
    /// The head drops records whose archive was not written.
    DropUnarchived,
    /// A caller is notified that its call was not run, although the claim stays in the partition.
    SkipWithdraw,
}

/// Attempts and faults in one history, which bound the exploration.
#[derive(Debug, Clone, Copy)]
struct Bounds {
    /// Node and key of each attempt.
    attempts: &'static [(usize, u128)],
    /// Bytes of records above which a head moves the oldest half to an archive.
    head_bytes: usize,
    /// Maximum number of requests to the configuration service that are lost, delayed or fail.
    faults: u8,
    /// Maximum number of node crashes.
    crashes: u8,
    /// Maximum number of claims that are withdrawn.
    withdrawals: u8,
}

/// One key and two attempts at two nodes, with all kinds of faults.
const ONE_KEY: Bounds = Bounds {
    attempts: &[(0, 1), (1, 1)],
    head_bytes: 1000,
    faults: 2,
    crashes: 1,
    withdrawals: 1,
};

/// One key and three attempts at two nodes, with a fault and a crash.
const THREE_ATTEMPTS: Bounds = Bounds {
    attempts: &[(0, 1), (1, 1), (0, 1)],
    head_bytes: 1000,
    faults: 1,
    crashes: 1,
    withdrawals: 0,
};

/// Two keys whose records exceed one head, with a crash and the delayed write that it may leave.
const ROLL_OVER_CRASH: Bounds = Bounds {
    attempts: &[(0, 1), (0, 2), (1, 1)],
    head_bytes: 100,
    faults: 0,
    crashes: 1,
    withdrawals: 0,
};

/// Two keys whose records exceed one head, with a request that is lost, delayed or fails.
const ROLL_OVER_FAULT: Bounds = Bounds {
    attempts: &[(0, 1), (0, 2), (1, 1)],
    head_bytes: 100,
    faults: 1,
    crashes: 0,
    withdrawals: 0,
};

/// Value stored in the configuration service.
#[state]
enum Value {
    /// Head of the partition.
    Head(Head),
    /// Records that were moved out of the head.
    Archive(Vec<Record>),
}

/// A write: archive number or `None` for the head, expected revision, value.
type Write = (Option<u64>, u64, Value);

/// A write whose result a node awaits.
#[state]
enum Operation {
    /// The request has not reached the configuration service.
    Sent(Write),
    /// The configuration service has applied or refused it; the response is in transit.
    Decided(Outcome),
}

/// Progress of an attempt at its node.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
enum Stage {
    /// The caller has not sent the call yet.
    Idle,
    /// The claim waits for a write.
    Waiting,
    /// The claim is confirmed, and nothing was sent to the endpoint.
    Confirmed,
    /// The request was sent to the endpoint and runs.
    Sent,
    /// The caller has an answer, or the node has crashed.
    Ended,
}

/// Status of one attempt.
#[state]
struct Status {
    /// Progress at the node.
    stage: Stage,
    /// Whether the endpoint ran it.
    ran: bool,
    /// Whether the caller was notified that the call was not run.
    reported_not_run: bool,
}

/// State of the callers, two nodes, the configuration service and the endpoint.
#[state]
struct State {
    /// Partition of each node, shared between states in which it is the same.
    partitions: [Rc<Partition>; 2],
    /// Write whose result each node awaits.
    pending: [Option<Operation>; 2],
    /// Contents of the configuration service with their revisions, by archive number; the head has
    /// `None`.
    values: Rc<BTreeMap<Option<u64>, (u64, Value)>>,
    /// Revision of the last write.
    revision: u64,
    /// Write whose result no node awaits any longer, but which may still arrive.
    delayed_write: Option<Write>,
    /// Status of each attempt.
    attempts: Vec<Status>,
    /// Keys for which an answer was replayed though no attempt had run.
    unrun_replays: BTreeSet<u128>,
    /// Faults that may still occur.
    faults_left: u8,
    /// Crashes that may still occur.
    crashes_left: u8,
    /// Withdrawals that may still occur.
    withdrawals_left: u8,
}

/// Returns the attempt with an index into [`Bounds::attempts`].
fn attempt(bounds: &Bounds, number: usize) -> Attempt {
    Attempt {
        key: bounds.attempts[number].1,
        fingerprint: 0,
        id: number as u128,
    }
}

/// Creates a partition that has not read its head yet.
fn new_partition(bounds: &Bounds) -> Partition {
    Partition::new(Limits {
        max_head_bytes: bounds.head_bytes,
        max_archives: 8,
        max_claims: 8,
        max_changes: 8,
    })
}

impl State {
    /// Returns the initial state.
    fn start(bounds: &Bounds) -> Self {
        let idle = Status {
            stage: Stage::Idle,
            ran: false,
            reported_not_run: false,
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

    /// Returns a partition for modification and copies it if other states share it.
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
                        state.attempts[number].reported_not_run = true;
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
                    // The endpoint's answer is lost, so the caller receives `unknown`.
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

    /// Adds the next steps of a node and of its request to the configuration service.
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
                    let outcome = state.compare_and_swap(write.0, write.1, &write.2, variant);
                    state.pending[node] = Some(Operation::Decided(outcome));
                });
                if self.faults_left > 0 {
                    branch(&|state| {
                        state.faults_left -= 1;
                        state.complete_write(node, Outcome::Unsent, variant);
                    });
                    if self.delayed_write.is_none() {
                        branch(&|state| {
                            state.faults_left -= 1;
                            state.delayed_write = Some(write.clone());
                            state.complete_write(node, Outcome::Unknown, variant);
                        });
                    }
                }
            }
            Some(Operation::Decided(outcome)) => {
                branch(&|state| state.complete_write(node, *outcome, variant));
                if self.faults_left > 0 {
                    branch(&|state| {
                        state.faults_left -= 1;
                        state.complete_write(node, Outcome::Unknown, variant);
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

    /// Claims the call of an attempt at its node.
    fn claim(&mut self, bounds: &Bounds, number: usize, variant: Variant) {
        self.attempts[number].stage = Stage::Waiting;
        let attempt = attempt(bounds, number);
        let decision = self
            .partition_mut(bounds.attempts[number].0)
            .claim(attempt, UNIX_EPOCH);
        if decision != Decision::Write {
            self.apply_answer(attempt, &decision, variant);
        }
    }

    /// Refuses a claim whose write took too long.
    fn withdraw(&mut self, bounds: &Bounds, number: usize, variant: Variant) {
        self.withdrawals_left -= 1;
        self.attempts[number].stage = Stage::Ended;
        self.attempts[number].reported_not_run = true;
        if variant != Variant::SkipWithdraw {
            self.partition_mut(bounds.attempts[number].0)
                .withdraw(attempt(bounds, number));
        }
    }

    /// Crashes and restarts a node; a write that it sent may still arrive.
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

    /// Takes the next step of a partition; a read is answered at once or fails.
    fn step_node(&mut self, node: usize, fails: bool, variant: Variant) {
        match self.partition_mut(node).step(UNIX_EPOCH) {
            Step::Idle => {}
            Step::Read | Step::ReadArchive(_) if fails => self.partition_mut(node).read_failed(),
            Step::Read => {
                let (revision, head) = match self.values.get(&None) {
                    Some((revision, Value::Head(head))) => (*revision, head.clone()),
                    _ => (0, Head::default()),
                };
                self.partition_mut(node).head_read(revision, head);
            }
            Step::ReadArchive(number) => {
                let records = match self.values.get(&Some(number)) {
                    Some((_, Value::Archive(records))) => Some(records.clone()),
                    // This variant never writes archives and reads a missing one as empty.
                    _ if variant == Variant::DropUnarchived => Some(vec![]),
                    _ => None,
                };
                self.partition_mut(node).archive_read(number, records);
            }
            Step::WriteArchive(..) if variant == Variant::DropUnarchived => {
                self.partition_mut(node).write_finished(Outcome::Done(0));
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
        // The count of writes by other nodes affects only the pace of writes; resetting it merges
        // states that are otherwise equal.
        self.partition_mut(node).take_foreign_writes();
        self.take_answers(node, variant);
    }

    /// Passes the result of a write to the partition that sent it.
    fn complete_write(&mut self, node: usize, outcome: Outcome, variant: Variant) {
        self.pending[node] = None;
        let assumed = variant == Variant::AssumeSuccess && outcome == Outcome::Unknown;
        let outcome = if assumed {
            Outcome::Done(self.revision)
        } else {
            outcome
        };
        self.partition_mut(node).write_finished(outcome);
        self.take_answers(node, variant);
    }

    /// Writes a value at the configuration service if the expected revision is the current one.
    fn compare_and_swap(
        &mut self,
        archive: Option<u64>,
        expected: u64,
        value: &Value,
        variant: Variant,
    ) -> Outcome {
        let current = self
            .values
            .get(&archive)
            .map_or(0, |(revision, _)| *revision);
        if current != expected && variant != Variant::Overwrite {
            return Outcome::Conflict;
        }
        self.revision += 1;
        Rc::make_mut(&mut self.values).insert(archive, (self.revision, value.clone()));
        Outcome::Done(self.revision)
    }

    /// Applies all answers that the partition of a node has ready.
    fn take_answers(&mut self, node: usize, variant: Variant) {
        for (attempt, decision) in self.partition_mut(node).take_answers() {
            self.apply_answer(attempt, &decision, variant);
        }
    }

    /// Updates the status of an attempt after an answer from the partition.
    fn apply_answer(&mut self, attempt: Attempt, decision: &Decision, variant: Variant) {
        let number = attempt.id as usize;
        match decision {
            Decision::Send => self.attempts[number].stage = Stage::Confirmed,
            Decision::Unknown if variant == Variant::TakeOver => {
                self.attempts[number].stage = Stage::Confirmed;
            }
            Decision::Refuse(_) => {
                self.attempts[number].stage = Stage::Ended;
                self.attempts[number].reported_not_run = true;
            }
            Decision::Replay(_) => {
                self.attempts[number].stage = Stage::Ended;
                if !self.attempts.iter().any(|status| status.ran) {
                    self.unrun_replays.insert(attempt.key);
                }
            }
            Decision::Write | Decision::Unknown => self.attempts[number].stage = Stage::Ended,
        }
    }

    /// Returns whether a key ran more than once.
    fn ran_twice(&self, bounds: &Bounds) -> bool {
        let ran = |key| {
            let attempts = self.attempts.iter().zip(bounds.attempts);
            attempts
                .filter(|(status, (_, other))| status.ran && *other == key)
                .count()
        };
        bounds.attempts.iter().any(|(_, key)| ran(*key) > 1)
    }

    /// Returns whether a caller received `not_run` for a call that ran, or the replay of a call
    /// that did not run.
    fn misreported(&self) -> bool {
        !self.unrun_replays.is_empty()
            || self
                .attempts
                .iter()
                .any(|status| status.ran && status.reported_not_run)
    }
}

/// Checks each invariant on the correct protocol and on its broken variants.
pub(crate) fn outcomes() -> Vec<check::Outcome> {
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
    let check_accurate = |variant| check(&ONE_KEY, variant, &State::misreported);
    vec![
        check::Outcome {
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
        check::Outcome {
            protocol: "calls",
            invariant: "P4 one key runs at most once, with a repeat",
            bounds: "2 nodes, 1 key, 3 attempts, 1 call lost, delayed or failed, 1 crash",
            exploration: check(&THREE_ATTEMPTS, Variant::Correct, &|state| {
                state.ran_twice(&THREE_ATTEMPTS)
            }),
            broken: vec![],
        },
        check::Outcome {
            protocol: "calls",
            invariant: "P4 one key runs at most once, roll-over and a crash",
            bounds: "2 nodes, 2 keys, 3 attempts, head of one record, 1 crash",
            exploration: check_roll_over(Variant::Correct),
            broken: vec![(
                "drop records before archiving",
                check_roll_over(Variant::DropUnarchived),
            )],
        },
        check::Outcome {
            protocol: "calls",
            invariant: "P4 one key runs at most once, roll-over and a fault",
            bounds: "2 nodes, 2 keys, 3 attempts, head of one record, 1 call lost, delayed or failed",
            exploration: check(&ROLL_OVER_FAULT, Variant::Correct, &|state| {
                state.ran_twice(&ROLL_OVER_FAULT)
            }),
            broken: vec![],
        },
        check::Outcome {
            protocol: "calls",
            invariant: "P3 not_run only if not run, replay only of a run",
            bounds: "as for one key",
            exploration: check_accurate(Variant::Correct),
            broken: vec![(
                "refused claim still waits",
                check_accurate(Variant::SkipWithdraw),
            )],
        },
    ]
}
