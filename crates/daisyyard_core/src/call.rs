//! One partition of the call registry as one node sees it: which claims may be sent, and what is
//! to be read or written next.
//!
//! The head of a partition changes only by compare-and-swap, and archives are only ever created,
//! so the configuration service serialises all claims of a key. [`Partition::step`] says what to
//! do next, at most one step is in progress, and [`Partition::answers`] returns the claims that
//! were settled.

use std::collections::BTreeMap;
use std::time::SystemTime;

use daisyyard_derive::{key, state};

use crate::id::{ArchiveNumber, Revision};
use crate::record::{self, Answer, Attempt, Head, Record, State};

/// Bounds of one partition at one node.
#[key]
pub struct Limits {
    /// Bytes of records in the head above which the oldest half moves to an archive.
    pub head: usize,
    /// Archives that a head may list; a full partition refuses new claims.
    pub archives: usize,
    /// Claims that may wait for a write.
    pub claims: usize,
    /// Outcomes and releases that may wait for a write.
    pub changes: usize,
}

impl Limits {
    /// Bounds of a node: 64 partitions hold at most 4 MB in heads and 48 MB in archives.
    pub const NODE: Self = Self {
        head: 64 << 10,
        archives: 24,
        claims: 1024,
        changes: 1024,
    };
}

/// What a claim leads to.
#[state]
pub enum Next {
    /// The claim waits for a write; its answer follows in [`Partition::answers`].
    Write,
    /// The claim is confirmed: send the request, once.
    Send,
    /// The call was run before; this was its answer.
    Replay(Answer),
    /// The claim is refused; nothing was sent for it.
    Refuse(Reason),
    /// Another attempt claimed the call, and whether it ran is not known.
    Unknown,
}

/// Why a claim is refused.
#[key]
pub enum Reason {
    /// The key was used with another body.
    KeyReused,
    /// The registry is full, and the key is not in it.
    Full,
    /// Too many claims wait; whether the key is in the registry was not looked up.
    Busy,
}

/// What to do at the configuration service.
#[state]
pub enum Step {
    /// Nothing; a step is in progress or nothing waits.
    Idle,
    /// Read the head and pass it to [`Partition::read`].
    Read,
    /// Read an archive and pass it to [`Partition::archive`].
    ReadArchive(ArchiveNumber),
    /// Create an archive, which must not exist, and pass the result to [`Partition::wrote`].
    WriteArchive(ArchiveNumber, Vec<Record>),
    /// Write the head if it has the expected revision; pass the result to [`Partition::wrote`].
    Write(Revision, Head),
}

/// How a write ended.
#[key]
pub enum Written {
    /// The write took effect and made this revision.
    Done(Revision),
    /// The value had another revision.
    Conflict,
    /// The write certainly did not reach the configuration service.
    Unsent,
    /// The write may have taken effect, now or later.
    Lost,
}

/// A claim that waits for a write.
#[state]
struct Claim {
    /// Attempt that claims.
    attempt: Attempt,
    /// When the claim arrived.
    time: SystemTime,
    /// Whether an earlier write of the claim may have taken effect.
    doubtful: bool,
}

/// A new state of a claimed call.
#[state]
struct Change {
    /// Attempt that made the claim.
    attempt: Attempt,
    /// New state.
    state: State,
}

/// The step in progress.
#[state]
enum Flight {
    /// A read of the head.
    Read,
    /// A read of an archive.
    ReadArchive(ArchiveNumber),
    /// Creation of an archive.
    WriteArchive(ArchiveNumber, Vec<Record>),
    /// A write of the head with what it carries.
    Write(Head, Vec<Claim>, Vec<Change>),
}

/// One partition at one node.
#[state]
pub struct Partition {
    /// Bounds.
    limits: Limits,
    /// Revision of the known head; zero if it does not exist.
    revision: Revision,
    /// Known head.
    head: Head,
    /// Writes by other nodes that were seen since the last own write.
    foreign: u64,
    /// Whether the known head was read or written since the last doubt.
    current: bool,
    /// Archives that were read or written.
    archives: BTreeMap<ArchiveNumber, Vec<Record>>,
    /// Archive whose creation has an unknown result.
    doubtful: Option<ArchiveNumber>,
    /// Claims that wait for a write.
    claims: Vec<Claim>,
    /// Outcomes and releases that wait for a write.
    changes: Vec<Change>,
    /// Step in progress.
    flight: Option<Flight>,
    /// Settled claims that were not collected yet.
    answers: Vec<(Attempt, Next)>,
}

impl Partition {
    /// Creates a partition of which nothing is known.
    pub fn new(limits: Limits) -> Self {
        Self {
            limits,
            revision: 0,
            head: Head::default(),
            foreign: 0,
            current: false,
            archives: BTreeMap::new(),
            doubtful: None,
            claims: Vec::new(),
            changes: Vec::new(),
            flight: None,
            answers: Vec::new(),
        }
    }

    /// Claims a call, or answers from what is known for certain.
    pub fn claim(&mut self, attempt: Attempt, now: SystemTime) -> Next {
        if let Some(next) = self.pending(&attempt) {
            return next;
        }
        match self.judge(&self.head, &attempt, now) {
            Next::Write => {}
            next @ Next::Replay(_) => return next,
            // Another node may have finished or released the call since the last read.
            _ => self.current = false,
        }
        if self.claims.len() >= self.limits.claims {
            return Next::Refuse(Reason::Busy);
        }
        self.claims.push(Claim {
            attempt,
            time: now,
            doubtful: false,
        });
        Next::Write
    }

    /// Records the outcome of a call that was sent; returns whether it can be kept.
    ///
    /// An outcome that is not kept leaves the call claimed, so a repeated call gets `unknown`.
    pub fn finish(&mut self, attempt: Attempt, answer: Answer) -> bool {
        self.change(attempt, State::Done(answer))
    }

    /// Releases a confirmed claim that was certainly not sent; returns whether it can be kept.
    pub fn release(&mut self, attempt: Attempt) -> bool {
        self.change(attempt, State::Released)
    }

    /// Gives up a claim that waits; it is never answered by [`Next::Send`] afterwards.
    pub fn withdraw(&mut self, attempt: Attempt) {
        let mut doubtful = self
            .claims
            .iter()
            .any(|claim| claim.attempt == attempt && claim.doubtful);
        self.claims.retain(|claim| claim.attempt != attempt);
        if let Some(Flight::Write(_, claims, _)) = &mut self.flight {
            let before = claims.len();
            claims.retain(|claim| claim.attempt != attempt);
            doubtful |= claims.len() < before;
        }
        if doubtful {
            self.release(attempt);
        }
    }

    /// Returns the claims that were settled since the last call.
    pub fn answers(&mut self) -> Vec<(Attempt, Next)> {
        std::mem::take(&mut self.answers)
    }

    /// Decides what to do next at the configuration service.
    pub fn step(&mut self, now: SystemTime) -> Step {
        if self.flight.is_some() || (self.claims.is_empty() && self.changes.is_empty()) {
            return Step::Idle;
        }
        if !self.current {
            self.flight = Some(Flight::Read);
            return Step::Read;
        }
        if let Some(number) = self.missing(now) {
            self.flight = Some(Flight::ReadArchive(number));
            return Step::ReadArchive(number);
        }
        self.write(now)
    }

    /// Takes the head that was read; revision zero stands for no value.
    pub fn read(&mut self, revision: Revision, head: Head) {
        self.flight = None;
        self.foreign += head.writes.saturating_sub(self.head.writes);
        self.revision = revision;
        self.head = head;
        self.current = true;
        let first = self.head.archives.first().map(|archive| archive.number);
        let first = first.unwrap_or(self.head.next);
        self.archives.retain(|number, _| *number >= first);
    }

    /// Takes an archive that was read, or learns that it does not exist.
    pub fn archive(&mut self, number: ArchiveNumber, records: Option<Vec<Record>>) {
        self.flight = None;
        if self.doubtful == Some(number) {
            self.doubtful = None;
        }
        if let Some(records) = records {
            self.archives.insert(number, records);
        }
    }

    /// Has the head read before the next write, because other nodes write it as well.
    pub fn doubt(&mut self) {
        self.current = false;
    }

    /// Returns how many writes by other nodes were seen since the last call.
    pub fn foreign(&mut self) -> u64 {
        std::mem::take(&mut self.foreign)
    }

    /// Learns that a read failed.
    pub fn failed(&mut self) {
        self.flight = None;
    }

    /// Takes the result of a write.
    pub fn wrote(&mut self, written: Written) {
        match self.flight.take() {
            Some(Flight::WriteArchive(number, records)) => match written {
                Written::Done(_) => {
                    self.archives.insert(number, records);
                }
                Written::Conflict | Written::Lost => self.doubtful = Some(number),
                Written::Unsent => {}
            },
            Some(Flight::Write(head, claims, changes)) => {
                if let Written::Done(revision) = written {
                    self.revision = revision;
                    self.head = head;
                    let send = |claim: Claim| (claim.attempt, Next::Send);
                    self.answers.extend(claims.into_iter().map(send));
                } else {
                    self.requeue(claims, changes, written == Written::Lost);
                    self.current &= written == Written::Unsent;
                }
            }
            flight => self.flight = flight,
        }
    }

    /// Returns how many claims, and outcomes and releases, wait for a write.
    pub fn waiting(&self) -> (usize, usize) {
        match &self.flight {
            Some(Flight::Write(_, claims, changes)) => (
                self.claims.len() + claims.len(),
                self.changes.len() + changes.len(),
            ),
            _ => (self.claims.len(), self.changes.len()),
        }
    }

    /// Puts what a failed write carried before what arrived since.
    fn requeue(&mut self, mut claims: Vec<Claim>, mut changes: Vec<Change>, doubtful: bool) {
        for claim in &mut claims {
            claim.doubtful |= doubtful;
        }
        claims.append(&mut self.claims);
        changes.append(&mut self.changes);
        self.claims = claims;
        self.changes = changes;
    }

    /// Keeps a new state until it is written.
    fn change(&mut self, attempt: Attempt, state: State) -> bool {
        let kept = self.waiting().1 < self.limits.changes;
        if kept {
            self.changes.push(Change { attempt, state });
        }
        kept
    }

    /// Answers a claim whose key this node is about to write.
    fn pending(&self, attempt: &Attempt) -> Option<Next> {
        let (claims, changes) = match &self.flight {
            Some(Flight::Write(_, claims, changes)) => (claims.as_slice(), changes.as_slice()),
            _ => (&[][..], &[][..]),
        };
        let same = |other: &Attempt| other.key == attempt.key;
        for change in self.changes.iter().chain(changes) {
            if let State::Done(answer) = &change.state
                && same(&change.attempt)
            {
                return Some(replay(&change.attempt, attempt, answer));
            }
        }
        let mut claims = self.claims.iter().chain(claims);
        let claim = claims.find(|claim| same(&claim.attempt))?;
        Some(if claim.attempt.fingerprint == attempt.fingerprint {
            Next::Unknown
        } else {
            Next::Refuse(Reason::KeyReused)
        })
    }

    /// Returns the newest record of a key over a head and the archives that it lists.
    fn find<'a>(&'a self, head: &'a Head, attempt: &Attempt) -> Option<&'a Record> {
        head.find(attempt.key).or_else(|| {
            let listed = head.archives.iter().rev();
            let mut records = listed.filter_map(|archive| self.archives.get(&archive.number));
            records.find_map(|records| records.iter().find(|r| r.attempt.key == attempt.key))
        })
    }

    /// Decides a claim by the record of its key.
    fn judge(&self, head: &Head, attempt: &Attempt, now: SystemTime) -> Next {
        let Some(record) = self.find(head, attempt) else {
            return Next::Write;
        };
        if record::expired(record.time, now) {
            return Next::Write;
        }
        match &record.state {
            State::Released => Next::Write,
            State::Done(answer) => replay(&record.attempt, attempt, answer),
            State::Claimed if record.attempt == *attempt => Next::Send,
            State::Claimed if record.attempt.fingerprint == attempt.fingerprint => Next::Unknown,
            State::Claimed => Next::Refuse(Reason::KeyReused),
        }
    }

    /// Returns an archive that must be read before any claim can be judged.
    fn missing(&self, now: SystemTime) -> Option<ArchiveNumber> {
        let listed = self.head.archives.iter();
        let mut needed = listed.filter(|archive| !record::expired(archive.newest, now));
        let missing = needed.find(|archive| !self.archives.contains_key(&archive.number));
        missing.map(|archive| archive.number).or(self.doubtful)
    }

    /// Settles what the known records decide and writes the rest.
    fn write(&mut self, now: SystemTime) -> Step {
        let mut head = self.head.clone();
        head.expire(now);
        head.writes += 1;
        let changes = std::mem::take(&mut self.changes);
        for change in &changes {
            self.apply(&mut head, change);
        }
        let full = head.archives.len() >= self.limits.archives;
        let mut claims = Vec::new();
        for claim in std::mem::take(&mut self.claims) {
            let attempt = claim.attempt;
            match self.judge(&head, &attempt, now) {
                Next::Write if full && !claim.doubtful && head.weight() >= self.limits.head => {
                    let next = Next::Refuse(Reason::Full);
                    self.answers.push((attempt, next));
                }
                Next::Write => {
                    head.put(Record {
                        attempt,
                        state: State::Claimed,
                        time: claim.time,
                    });
                    claims.push(claim);
                }
                next => self.answers.push((attempt, next)),
            }
        }
        if claims.is_empty() && changes.is_empty() {
            return Step::Idle;
        }
        if !full && head.weight() > self.limits.head && !self.head.records.is_empty() {
            let number = head.next;
            let Some(written) = self.archives.get(&number) else {
                self.claims = claims;
                self.changes = changes;
                return self.roll(number);
            };
            head.roll(number, written);
        }
        self.flight = Some(Flight::Write(head.clone(), claims, changes));
        Step::Write(self.revision, head)
    }

    /// Creates an archive of the oldest half of the known head.
    ///
    /// Only records of a committed head are archived. If another node created the archive first,
    /// that one is read and listed instead, so no archive is left over or written twice.
    fn roll(&mut self, number: ArchiveNumber) -> Step {
        let half = self.head.records.len().div_ceil(2);
        let records = self.head.records[..half].to_vec();
        self.flight = Some(Flight::WriteArchive(number, records.clone()));
        Step::WriteArchive(number, records)
    }

    /// Applies an outcome or a release to the record of its attempt.
    fn apply(&self, head: &mut Head, change: &Change) {
        let record = self.find(head, &change.attempt);
        let record = record.filter(|r| r.attempt == change.attempt && r.state == State::Claimed);
        if let Some(record) = record.cloned() {
            head.put(Record {
                state: change.state.clone(),
                ..record
            });
        }
    }
}

/// Replays an answer to a claim with the same body.
fn replay(done: &Attempt, attempt: &Attempt, answer: &Answer) -> Next {
    if done.fingerprint == attempt.fingerprint {
        Next::Replay(answer.clone())
    } else {
        Next::Refuse(Reason::KeyReused)
    }
}
