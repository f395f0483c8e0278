//! Guards against second runs, false replays and lost records under any order of claims, faults,
//! crashes and roll-overs, by comparing partitions with a reference model.

use std::collections::{BTreeMap, HashMap, HashSet};
use std::time::{Duration, SystemTime, UNIX_EPOCH};

use daisyyard_core::call::{Decision, Limits, Outcome, Partition, Reason, Step};
use daisyyard_core::call_record::{Answer, Attempt, Head, RETENTION, Record, State};
use proptest::prelude::*;

/// Bounds that make roll-overs frequent.
const LIMITS: Limits = Limits {
    max_head_bytes: 300,
    max_archives: 1000,
    max_claims: 8,
    max_changes: 1000,
};

/// One event of a history.
#[derive(Debug, Clone)]
enum Op {
    /// A caller uses a key with a body at a node.
    Claim(usize, u8, u8),
    /// A node takes its next step with this fate.
    Step(usize, Fate),
    /// A delayed write arrives.
    Late(usize),
    /// An endpoint runs a confirmed claim and answers.
    Finish(usize),
    /// A confirmed claim was certainly not sent.
    Release(usize),
    /// A node gives up a waiting claim.
    Withdraw(usize),
    /// A node ends and starts anew.
    Crash(usize),
}

/// What happens to a call to the configuration service.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Fate {
    /// It takes effect and is answered.
    Answered,
    /// It takes effect and the response is lost.
    Lost,
    /// It takes effect after the node gave up, if at all.
    Delayed,
    /// It does not reach the service.
    Unsent,
}

/// Value in the configuration service.
#[derive(Debug, Clone)]
enum Value {
    /// Head.
    Head(Head),
    /// Archive.
    Archive(Vec<Record>),
}

/// Key in the configuration service: nothing for the head, or the number of an archive.
type Place = Option<u64>;

/// Reference state of one attempt.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Stage {
    /// Waits for the registry at a node.
    Waiting(usize),
    /// May be sent by a node.
    Confirmed(usize),
    /// Was run.
    Run,
    /// Was certainly not run and never will be.
    Over,
}

/// The nodes, the configuration service and the reference model.
#[derive(Debug)]
struct World {
    /// One partition per node.
    nodes: Vec<Partition>,
    /// Values of the configuration service.
    values: BTreeMap<Place, (u64, Value)>,
    /// Last revision.
    revision: u64,
    /// Write in progress of each node.
    flights: Vec<Option<(Place, u64, Value)>>,
    /// Writes that arrive late.
    late: Vec<(Place, u64, Value)>,
    /// Reference state of each attempt.
    stages: HashMap<Attempt, Stage>,
    /// Attempts in order.
    attempts: Vec<Attempt>,
    /// Node of each attempt, while that node has not ended.
    alive: HashMap<Attempt, usize>,
    /// Present time.
    now: SystemTime,
}

impl World {
    /// Creates a world of nodes that know nothing.
    fn new(nodes: usize) -> Self {
        Self {
            nodes: vec![Partition::new(LIMITS); nodes],
            values: BTreeMap::new(),
            revision: 0,
            flights: vec![None; nodes],
            late: Vec::new(),
            stages: HashMap::new(),
            attempts: Vec::new(),
            alive: HashMap::new(),
            now: UNIX_EPOCH + RETENTION,
        }
    }

    /// Performs one event.
    fn apply(&mut self, op: &Op) {
        self.now += Duration::from_millis(1);
        match *op {
            Op::Claim(node, key, body) => self.claim(node, key, body),
            Op::Step(node, fate) => {
                self.step(node, fate);
            }
            Op::Late(index) if !self.late.is_empty() => {
                let (place, expected, value) = self.late.remove(index % self.late.len());
                self.swap(place, expected, value);
            }
            Op::Finish(index) => self.end(index, true),
            Op::Release(index) => self.end(index, false),
            Op::Withdraw(index) => {
                if let Some((attempt, Stage::Waiting(node))) = self.pick(index) {
                    self.nodes[node].withdraw(attempt);
                    self.stages.insert(attempt, Stage::Over);
                }
            }
            Op::Crash(node) => {
                self.nodes[node] = Partition::new(LIMITS);
                self.alive.retain(|_, other| *other != node);
                // What was in progress may still arrive.
                self.late.extend(self.flights[node].take());
                for stage in self.stages.values_mut() {
                    if *stage == Stage::Waiting(node) {
                        *stage = Stage::Over;
                    }
                }
            }
            Op::Late(_) => {}
        }
    }

    /// Returns an attempt and its stage.
    fn pick(&self, index: usize) -> Option<(Attempt, Stage)> {
        let attempt = *self.attempts.get(index % self.attempts.len().max(1))?;
        Some((attempt, self.stages[&attempt]))
    }

    /// Claims a key at a node.
    fn claim(&mut self, node: usize, key: u8, body: u8) {
        let attempt = Attempt {
            key: key.into(),
            fingerprint: body.into(),
            id: self.attempts.len() as u128,
        };
        self.attempts.push(attempt);
        self.stages.insert(attempt, Stage::Waiting(node));
        self.alive.insert(attempt, node);
        let next = self.nodes[node].claim(attempt, self.now);
        if next != Decision::Write {
            self.settle(node, attempt, &next);
        }
    }

    /// Ends a confirmed claim.
    fn end(&mut self, index: usize, run: bool) {
        let Some((attempt, Stage::Confirmed(node))) = self.pick(index) else {
            return;
        };
        if run {
            self.stages.insert(attempt, Stage::Run);
            self.nodes[node].finish(attempt, answer(&attempt));
        } else {
            self.stages.insert(attempt, Stage::Over);
            self.nodes[node].release(attempt);
        }
    }

    /// Ends the write in progress of a node or lets it take its next step; returns whether there
    /// was one.
    fn step(&mut self, node: usize, fate: Fate) -> bool {
        if let Some((place, expected, value)) = self.flights[node].take() {
            self.write(node, fate, place, expected, value);
            self.collect(node);
            return true;
        }
        let step = self.nodes[node].step(self.now);
        let idle = step == Step::Idle;
        match step {
            Step::Idle => {}
            Step::Read | Step::ReadArchive(_) if fate != Fate::Answered => {
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
                self.flights[node] = Some((Some(number), 0, Value::Archive(records)));
            }
            Step::Write(expected, head) => {
                self.flights[node] = Some((None, expected, Value::Head(head)));
            }
        }
        self.collect(node);
        !idle
    }

    /// Checks the answers of a node.
    fn collect(&mut self, node: usize) {
        for (attempt, next) in self.nodes[node].take_answers() {
            self.settle(node, attempt, &next);
        }
    }

    /// Performs a write with its fate.
    fn write(&mut self, node: usize, fate: Fate, place: Place, expected: u64, value: Value) {
        let outcome = match fate {
            Fate::Answered => self.swap(place, expected, value),
            Fate::Lost => {
                self.swap(place, expected, value);
                Outcome::Unknown
            }
            Fate::Delayed => {
                self.late.push((place, expected, value));
                Outcome::Unknown
            }
            Fate::Unsent => Outcome::Unsent,
        };
        self.nodes[node].write_finished(outcome);
    }

    /// Compare-and-swap of the configuration service.
    fn swap(&mut self, place: Place, expected: u64, value: Value) -> Outcome {
        let held = self.values.get(&place).map_or(0, |(revision, _)| *revision);
        if held != expected {
            return Outcome::Conflict;
        }
        self.revision += 1;
        self.values.insert(place, (self.revision, value));
        Outcome::Done(self.revision)
    }

    /// Lets all nodes work without faults until none has a step to take.
    fn drain(&mut self) {
        for _ in 0..200 {
            let mut busy = false;
            for node in 0..self.nodes.len() {
                busy |= self.step(node, Fate::Answered);
            }
            if !busy {
                return;
            }
        }
    }

    /// Returns the keys that are claimed by attempts which are over and whose node knows it.
    fn blocked(&self) -> Vec<Attempt> {
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
        let over = |attempt: &Attempt| {
            self.stages[attempt] == Stage::Over && self.alive.contains_key(attempt)
        };
        attempts.into_iter().filter(over).collect()
    }

    /// Checks an answer against the reference model.
    fn settle(&mut self, node: usize, attempt: Attempt, next: &Decision) {
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
        let may_run = |stage: &Stage| matches!(stage, Stage::Confirmed(_) | Stage::Run);
        match next {
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
            Decision::Write => panic!("a waiting claim is not settled"),
        }
        let stage = match next {
            Decision::Send => Stage::Confirmed(node),
            _ => Stage::Over,
        };
        self.stages.insert(attempt, stage);
    }
}

/// Returns the answer that an endpoint gives to an attempt.
fn answer(attempt: &Attempt) -> Answer {
    Answer::new(200, attempt.id.to_string().as_bytes())
}

/// Returns any event over three nodes, four keys and two bodies.
fn op() -> impl Strategy<Value = Op> {
    let fate = prop_oneof![
        4 => Just(Fate::Answered),
        1 => Just(Fate::Lost),
        1 => Just(Fate::Delayed),
        1 => Just(Fate::Unsent),
    ];
    let body = prop_oneof![5 => Just(0_u8), 1 => Just(1_u8)];
    prop_oneof![
        4 => (0..3_usize, 0..8_u8, body).prop_map(|(n, k, b)| Op::Claim(n, k, b)),
        12 => (0..3_usize, fate).prop_map(|(n, f)| Op::Step(n, f)),
        1 => any::<usize>().prop_map(Op::Late),
        3 => any::<usize>().prop_map(Op::Finish),
        1 => any::<usize>().prop_map(Op::Release),
        1 => any::<usize>().prop_map(Op::Withdraw),
        1 => (0..3_usize).prop_map(Op::Crash),
    ]
}

proptest! {
    #![proptest_config(ProptestConfig::with_cases(2_000))]

    /// Every answer agrees with the reference model, and all claims settle once faults end.
    #[test]
    fn agrees(ops in proptest::collection::vec(op(), 0..300)) {
        let mut world = World::new(3);
        for op in &ops {
            world.apply(op);
        }
        world.drain();
        for _ in 0..world.late.len() {
            world.apply(&Op::Late(0));
        }
        world.drain();
        for (node, partition) in world.nodes.iter().enumerate() {
            prop_assert_eq!(partition.queue_lengths(), (0, 0), "node {} did not settle", node);
        }
        // A key that stays claimed for a call that was refused would get `unknown` for 24 h.
        prop_assert_eq!(world.blocked(), vec![]);
    }
}

/// A claim whose response was lost is confirmed by reading back, not given up.
#[test]
fn reads_back() {
    for fate in [Fate::Lost, Fate::Delayed] {
        let mut world = World::new(1);
        world.claim(0, 0, 0);
        world.step(0, Fate::Answered);
        world.step(0, Fate::Answered);
        world.step(0, fate);
        world.apply(&Op::Late(0));
        world.drain();
        assert_eq!(
            world.stages[&world.attempts[0]],
            Stage::Confirmed(0),
            "{fate:?}"
        );
    }
}

/// Past the retention a key is free again, and archives of that age are not read.
#[test]
fn forgets_after_retention() {
    let mut world = World::new(2);
    for key in 0..10 {
        world.claim(0, key, 0);
        while world.step(0, Fate::Answered) {}
        world.end(usize::from(key), true);
        while world.step(0, Fate::Answered) {}
    }
    let archives = world.values.len() - 1;
    assert!(archives > 0, "no roll-over took place");
    world.claim(1, 0, 0);
    while world.step(1, Fate::Answered) {}
    assert_eq!(world.stages[&world.attempts[10]], Stage::Over);
    world.now += RETENTION + Duration::from_secs(1);
    world.stages.clear();
    world.nodes[1] = Partition::new(LIMITS);
    world.claim(1, 0, 0);
    while world.step(1, Fate::Answered) {}
    assert_eq!(world.stages[&world.attempts[11]], Stage::Confirmed(1));
}

/// A full registry refuses claims and still takes outcomes.
#[test]
fn refuses_when_full() {
    let limits = Limits {
        max_archives: 1,
        ..LIMITS
    };
    let mut world = World::new(1);
    world.nodes[0] = Partition::new(limits);
    let mut confirmed = Vec::new();
    for key in 0..20 {
        world.claim(0, key, 0);
        while world.step(0, Fate::Answered) {}
        let attempt = world.attempts[usize::from(key)];
        if world.stages[&attempt] == Stage::Confirmed(0) {
            confirmed.push(usize::from(key));
        }
    }
    assert!((4..10).contains(&confirmed.len()), "{confirmed:?}");
    for index in confirmed {
        world.end(index, true);
    }
    while world.step(0, Fate::Answered) {}
    assert_eq!(world.nodes[0].queue_lengths(), (0, 0));
}
