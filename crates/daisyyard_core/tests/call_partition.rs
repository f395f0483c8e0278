//! Guards against calls that run twice, wrong replays and lost records under any order of claims,
//! faults, crashes and archiving, by comparing partitions with a reference model.

use std::collections::{BTreeMap, HashMap, HashSet};
use std::time::{Duration, SystemTime, UNIX_EPOCH};

use daisyyard_core::call::{Decision, Limits, Outcome, Partition, Reason, Step};
use daisyyard_core::call_record::{Answer, Attempt, Head, RETENTION, Record, State};
use proptest::prelude::*;

/// Limits that make archiving frequent.
const LIMITS: Limits = Limits {
    max_head_bytes: 300,
    max_archives: 1000,
    max_claims: 8,
    max_changes: 1000,
};

/// An event of the simulation.
#[derive(Debug, Clone)]
enum Op {
    /// A caller sends a call to a node: node, key and body.
    Claim(usize, u8, u8),
    /// A node takes its next step, and its operation is delivered like this.
    Step(usize, Delivery),
    /// A delayed write reaches the configuration service.
    DelayedWrite(usize),
    /// An endpoint runs the call of a committed claim and answers.
    Finish(usize),
    /// A committed claim is released, because its call was certainly not sent.
    Release(usize),
    /// A node withdraws a waiting claim.
    Withdraw(usize),
    /// A node crashes and restarts without state.
    Crash(usize),
}

/// Delivery of an operation at the configuration service.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Delivery {
    /// The operation takes effect, and the response arrives.
    Answered,
    /// The operation takes effect, and the response is lost.
    ResponseLost,
    /// The operation takes effect after the node has stopped waiting for it, if at all.
    Delayed,
    /// The operation does not reach the service.
    Unsent,
}

/// Value in the configuration service.
#[derive(Debug, Clone)]
enum Value {
    /// Head of the partition.
    Head(Head),
    /// Records of an archive.
    Archive(Vec<Record>),
}

/// Key in the configuration service: none for the head, otherwise the number of an archive.
type Key = Option<u64>;

/// State of one attempt in the reference model.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Stage {
    /// The claim waits at this node.
    Waiting(usize),
    /// The claim is committed, and this node may send the call.
    Committed(usize),
    /// The attempt ran.
    Run,
    /// The attempt did not run and never will.
    NotRun,
}

/// The nodes, the configuration service and the reference model.
#[derive(Debug)]
struct Simulation {
    /// One partition per node.
    nodes: Vec<Partition>,
    /// Values in the configuration service, with their revisions.
    values: BTreeMap<Key, (u64, Value)>,
    /// Last revision of the configuration service.
    revision: u64,
    /// Write in progress at each node: key, expected revision and value.
    writes_in_progress: Vec<Option<(Key, u64, Value)>>,
    /// Writes that may still arrive although the node no longer waits for them.
    delayed_writes: Vec<(Key, u64, Value)>,
    /// State of each attempt in the reference model.
    stages: HashMap<Attempt, Stage>,
    /// Attempts in the order of their claims.
    attempts: Vec<Attempt>,
    /// Node of each attempt, unless that node has crashed since.
    owners: HashMap<Attempt, usize>,
    /// Present time.
    now: SystemTime,
}

impl Simulation {
    /// Creates nodes with empty caches and an empty configuration service.
    fn new(nodes: usize) -> Self {
        Self {
            nodes: vec![Partition::new(LIMITS); nodes],
            values: BTreeMap::new(),
            revision: 0,
            writes_in_progress: vec![None; nodes],
            delayed_writes: Vec::new(),
            stages: HashMap::new(),
            attempts: Vec::new(),
            owners: HashMap::new(),
            now: UNIX_EPOCH + RETENTION,
        }
    }

    /// Applies one event.
    fn apply(&mut self, op: &Op) {
        self.now += Duration::from_millis(1);
        match *op {
            Op::Claim(node, key, body) => self.claim(node, key, body),
            Op::Step(node, delivery) => {
                self.step(node, delivery);
            }
            Op::DelayedWrite(index) if !self.delayed_writes.is_empty() => {
                let (key, expected, value) = self
                    .delayed_writes
                    .remove(index % self.delayed_writes.len());
                self.compare_and_swap(key, expected, value);
            }
            Op::Finish(index) => self.end(index, true),
            Op::Release(index) => self.end(index, false),
            Op::Withdraw(index) => {
                if let Some((attempt, Stage::Waiting(node))) = self.pick(index) {
                    self.nodes[node].withdraw(attempt);
                    self.stages.insert(attempt, Stage::NotRun);
                }
            }
            Op::Crash(node) => {
                self.nodes[node] = Partition::new(LIMITS);
                self.owners.retain(|_, other| *other != node);
                // The write in progress may still arrive.
                self.delayed_writes
                    .extend(self.writes_in_progress[node].take());
                for stage in self.stages.values_mut() {
                    if *stage == Stage::Waiting(node) {
                        *stage = Stage::NotRun;
                    }
                }
            }
            Op::DelayedWrite(_) => {}
        }
    }

    /// Returns the attempt that an arbitrary index selects, and its stage.
    fn pick(&self, index: usize) -> Option<(Attempt, Stage)> {
        let attempt = *self.attempts.get(index % self.attempts.len().max(1))?;
        Some((attempt, self.stages[&attempt]))
    }

    /// Claims a call at a node.
    fn claim(&mut self, node: usize, key: u8, body: u8) {
        let attempt = Attempt {
            key: key.into(),
            fingerprint: body.into(),
            id: self.attempts.len() as u128,
        };
        self.attempts.push(attempt);
        self.stages.insert(attempt, Stage::Waiting(node));
        self.owners.insert(attempt, node);
        let decision = self.nodes[node].claim(attempt, self.now);
        if decision != Decision::Write {
            self.check_answer(node, attempt, &decision);
        }
    }

    /// Completes or releases a committed claim.
    fn end(&mut self, index: usize, run: bool) {
        let Some((attempt, Stage::Committed(node))) = self.pick(index) else {
            return;
        };
        if run {
            self.stages.insert(attempt, Stage::Run);
            self.nodes[node].finish(attempt, answer(&attempt));
        } else {
            self.stages.insert(attempt, Stage::NotRun);
            self.nodes[node].release(attempt);
        }
    }

    /// Finishes the write in progress of a node, or else lets it take its next step; returns false
    /// if there was neither.
    fn step(&mut self, node: usize, delivery: Delivery) -> bool {
        if let Some((key, expected, value)) = self.writes_in_progress[node].take() {
            self.write(node, delivery, key, expected, value);
            self.collect_answers(node);
            return true;
        }
        let step = self.nodes[node].step(self.now);
        let idle = step == Step::Idle;
        match step {
            Step::Idle => {}
            Step::Read | Step::ReadArchive(_) if delivery != Delivery::Answered => {
                self.nodes[node].read_failed();
            }
            Step::Read => {
                let (revision, head) = match self.values.get(&None) {
                    Some((revision, Value::Head(head))) => (*revision, head.clone()),
                    _ => (0, Head::default()),
                };
                self.nodes[node].head_read(revision, head);
            }
            Step::ReadArchive(number) => {
                let records = match self.values.get(&Some(number)) {
                    Some((_, Value::Archive(records))) => Some(records.clone()),
                    _ => None,
                };
                self.nodes[node].archive_read(number, records);
            }
            Step::WriteArchive(number, records) => {
                self.writes_in_progress[node] = Some((Some(number), 0, Value::Archive(records)));
            }
            Step::Write(expected, head) => {
                self.writes_in_progress[node] = Some((None, expected, Value::Head(head)));
            }
        }
        self.collect_answers(node);
        !idle
    }

    /// Collects the answers of a node and checks them.
    fn collect_answers(&mut self, node: usize) {
        for (attempt, decision) in self.nodes[node].take_answers() {
            self.check_answer(node, attempt, &decision);
        }
    }

    /// Performs a write with the given delivery and reports its outcome to the node.
    fn write(&mut self, node: usize, delivery: Delivery, key: Key, expected: u64, value: Value) {
        let outcome = match delivery {
            Delivery::Answered => self.compare_and_swap(key, expected, value),
            Delivery::ResponseLost => {
                self.compare_and_swap(key, expected, value);
                Outcome::Unknown
            }
            Delivery::Delayed => {
                self.delayed_writes.push((key, expected, value));
                Outcome::Unknown
            }
            Delivery::Unsent => Outcome::Unsent,
        };
        self.nodes[node].write_finished(outcome);
    }

    /// Writes a value in the configuration service if the key has the expected revision.
    fn compare_and_swap(&mut self, key: Key, expected: u64, value: Value) -> Outcome {
        let current = self.values.get(&key).map_or(0, |(revision, _)| *revision);
        if current != expected {
            return Outcome::Conflict;
        }
        self.revision += 1;
        self.values.insert(key, (self.revision, value));
        Outcome::Done(self.revision)
    }

    /// Runs all nodes without faults until they are idle.
    fn run_until_idle(&mut self) {
        for _ in 0..200 {
            let mut busy = false;
            for node in 0..self.nodes.len() {
                busy |= self.step(node, Delivery::Answered);
            }
            if !busy {
                return;
            }
        }
    }

    /// Returns the claims in the store whose attempt did not run and whose node is still live, so
    /// that it should have released them.
    fn stuck_claims(&self) -> Vec<Attempt> {
        let mut records: HashMap<u128, &Record> = HashMap::new();
        let archives = self.values.values().filter_map(|(_, value)| match value {
            Value::Archive(records) => Some(records),
            Value::Head(_) => None,
        });
        let head = self.values.values().filter_map(|(_, value)| match value {
            Value::Head(head) => Some(&head.records),
            Value::Archive(_) => None,
        });
        for record in archives.chain(head).flatten() {
            records.insert(record.attempt.key, record);
        }
        let claimed = records.values().filter(|r| r.state == State::Claimed);
        let attempts: HashSet<Attempt> = claimed.map(|record| record.attempt).collect();
        let not_run = |attempt: &Attempt| {
            self.stages[attempt] == Stage::NotRun && self.owners.contains_key(attempt)
        };
        attempts.into_iter().filter(not_run).collect()
    }

    /// Checks an answer against the reference model.
    fn check_answer(&mut self, node: usize, attempt: Attempt, decision: &Decision) {
        assert_eq!(
            self.stages[&attempt],
            Stage::Waiting(node),
            "an answer to a claim that does not wait"
        );
        let others = self
            .stages
            .iter()
            .filter(|(other, _)| other.key == attempt.key && **other != attempt);
        let others: Vec<(Attempt, Stage)> = others.map(|(a, s)| (*a, *s)).collect();
        let may_run = |stage: &Stage| matches!(stage, Stage::Committed(_) | Stage::Run);
        match decision {
            Decision::Send => assert!(
                !others.iter().any(|(_, stage)| may_run(stage)),
                "a second run of {attempt:?} beside {others:?}"
            ),
            Decision::Replay(replayed) => assert!(
                others.iter().any(|(other, stage)| *stage == Stage::Run
                    && other.fingerprint == attempt.fingerprint
                    && answer(other) == *replayed),
                "a replay of a call that was not run"
            ),
            Decision::Refuse(Reason::KeyReused) => assert!(
                others
                    .iter()
                    .any(|(other, _)| other.fingerprint != attempt.fingerprint),
                "no other body used the key"
            ),
            Decision::Refuse(Reason::Full | Reason::Busy) | Decision::Unknown => {}
            Decision::Write => panic!("the claim is still waiting"),
        }
        let stage = match decision {
            Decision::Send => Stage::Committed(node),
            _ => Stage::NotRun,
        };
        self.stages.insert(attempt, stage);
    }
}

/// Returns the answer that an endpoint gives to an attempt.
fn answer(attempt: &Attempt) -> Answer {
    Answer::new(200, attempt.id.to_string().as_bytes())
}

/// Generates events over three nodes, eight keys and two bodies.
fn op() -> impl Strategy<Value = Op> {
    let delivery = prop_oneof![
        4 => Just(Delivery::Answered),
        1 => Just(Delivery::ResponseLost),
        1 => Just(Delivery::Delayed),
        1 => Just(Delivery::Unsent),
    ];
    let body = prop_oneof![5 => Just(0_u8), 1 => Just(1_u8)];
    prop_oneof![
        4 => (0..3_usize, 0..8_u8, body).prop_map(|(n, k, b)| Op::Claim(n, k, b)),
        12 => (0..3_usize, delivery).prop_map(|(n, d)| Op::Step(n, d)),
        1 => any::<usize>().prop_map(Op::DelayedWrite),
        3 => any::<usize>().prop_map(Op::Finish),
        1 => any::<usize>().prop_map(Op::Release),
        1 => any::<usize>().prop_map(Op::Withdraw),
        1 => (0..3_usize).prop_map(Op::Crash),
    ]
}

proptest! {
    #![proptest_config(ProptestConfig::with_cases(2_000))]

    /// Every answer agrees with the reference model, and all claims are decided once faults end.
    #[test]
    fn agrees_with_model(ops in proptest::collection::vec(op(), 0..300)) {
        let mut simulation = Simulation::new(3);
        for op in &ops {
            simulation.apply(op);
        }
        simulation.run_until_idle();
        for _ in 0..simulation.delayed_writes.len() {
            simulation.apply(&Op::DelayedWrite(0));
        }
        simulation.run_until_idle();
        for (node, partition) in simulation.nodes.iter().enumerate() {
            prop_assert_eq!(partition.queue_lengths(), (0, 0), "node {} is not idle", node);
        }
        // A claim left behind by a refused call would answer `unknown` for 24 h.
        prop_assert_eq!(simulation.stuck_claims(), vec![]);
    }
}

/// After a lost response, a node reads the head again to find out whether its claim was committed.
#[test]
fn reads_back() {
    for delivery in [Delivery::ResponseLost, Delivery::Delayed] {
        let mut simulation = Simulation::new(1);
        simulation.claim(0, 0, 0);
        simulation.step(0, Delivery::Answered);
        simulation.step(0, Delivery::Answered);
        simulation.step(0, delivery);
        simulation.apply(&Op::DelayedWrite(0));
        simulation.run_until_idle();
        assert_eq!(
            simulation.stages[&simulation.attempts[0]],
            Stage::Committed(0),
            "{delivery:?}"
        );
    }
}

/// After the retention time a key is free again, and archives of that age are not read.
#[test]
fn forgets_after_retention() {
    let mut simulation = Simulation::new(2);
    for key in 0..10 {
        simulation.claim(0, key, 0);
        while simulation.step(0, Delivery::Answered) {}
        simulation.end(usize::from(key), true);
        while simulation.step(0, Delivery::Answered) {}
    }
    let archives = simulation.values.len() - 1;
    assert!(archives > 0, "no archive was written");
    simulation.claim(1, 0, 0);
    while simulation.step(1, Delivery::Answered) {}
    assert_eq!(simulation.stages[&simulation.attempts[10]], Stage::NotRun);
    simulation.now += RETENTION + Duration::from_secs(1);
    simulation.stages.clear();
    simulation.nodes[1] = Partition::new(LIMITS);
    simulation.claim(1, 0, 0);
    while simulation.step(1, Delivery::Answered) {}
    assert_eq!(
        simulation.stages[&simulation.attempts[11]],
        Stage::Committed(1)
    );
}

/// A full partition refuses new claims and still records the answers of committed ones.
#[test]
fn refuses_when_full() {
    let limits = Limits {
        max_archives: 1,
        ..LIMITS
    };
    let mut simulation = Simulation::new(1);
    simulation.nodes[0] = Partition::new(limits);
    let mut committed = Vec::new();
    for key in 0..20 {
        simulation.claim(0, key, 0);
        while simulation.step(0, Delivery::Answered) {}
        let attempt = simulation.attempts[usize::from(key)];
        if simulation.stages[&attempt] == Stage::Committed(0) {
            committed.push(usize::from(key));
        }
    }
    assert!((4..10).contains(&committed.len()), "{committed:?}");
    for index in committed {
        simulation.end(index, true);
    }
    while simulation.step(0, Delivery::Answered) {}
    assert_eq!(simulation.nodes[0].queue_lengths(), (0, 0));
}
