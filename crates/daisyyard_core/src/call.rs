//! State machine of one partition of the call registry at one node.
//!
//! The registry runs each call at most once. The head of a partition changes only by
//! compare-and-swap, and archives are created but never changed, so the configuration service
//! serialises all claims of a key. [`Partition::step`] returns the next read or write; at most one
//! is in progress. [`Partition::take_answers`] returns the claims that were decided.

use std::collections::BTreeMap;
use std::time::SystemTime;

use daisyyard_derive::{key, state};

use crate::call_record::{self, Answer, Attempt, Head, Record, State};
use crate::id::{ArchiveNumber, Revision};

/// Limits of one partition at one node.
#[key]
pub struct Limits {
    /// Bytes of records in the head above which its oldest half moves to an archive.
    pub max_head_bytes: usize,
    /// Archives that a head may list. A partition with a full head and no archive left refuses new
    /// claims.
    pub max_archives: usize,
    /// Claims that may wait for a write at the same time.
    pub max_claims: usize,
    /// Completions and releases that may wait for a write at the same time.
    pub max_changes: usize,
}

impl Limits {
    /// Limits of a node: 64 partitions hold at most 4 MB in heads and 48 MB in archives.
    pub const NODE: Self = Self {
        max_head_bytes: 64 << 10,
        max_archives: 24,
        max_claims: 1024,
        max_changes: 1024,
    };
}

/// The decision on a claim.
#[state]
pub enum Decision {
    /// The claim waits for a write; [`Partition::take_answers`] returns the decision later.
    Write,
    /// The claim is committed: send the request once.
    Send,
    /// The call has already run with this answer.
    Replay(Answer),
    /// The claim is refused, and nothing was sent for it.
    Refuse(Reason),
    /// Another attempt claimed the call, and it is not known whether the call ran.
    Unknown,
}

/// Why a claim is refused.
#[key]
pub enum Reason {
    /// The key was used before with a different body.
    KeyReused,
    /// The partition is full and does not contain the key.
    Full,
    /// Too many claims wait; the key was not looked up.
    Busy,
}

/// The next operation at the configuration service.
#[state]
pub enum Step {
    /// Nothing to do: an operation is in progress, or no claim or change waits.
    Idle,
    /// Read the head and pass it to [`Partition::head_read`].
    Read,
    /// Read an archive and pass it to [`Partition::archive_read`].
    ReadArchive(ArchiveNumber),
    /// Create an archive if it does not exist, and pass the outcome to
    /// [`Partition::write_finished`].
    WriteArchive(ArchiveNumber, Vec<Record>),
    /// Write the head if it has the expected revision, and pass the outcome to
    /// [`Partition::write_finished`].
    Write(Revision, Head),
}

/// Outcome of a write.
#[key]
pub enum Outcome {
    /// The write succeeded and created this revision.
    Done(Revision),
    /// The value had a different revision.
    Conflict,
    /// The write did not reach the configuration service.
    Unsent,
    /// The write may have taken effect or may still do so.
    Unknown,
}

/// A claim that waits for a write.
#[state]
struct Claim {
    /// Attempt that claims the call.
    attempt: Attempt,
    /// Time at which the claim arrived.
    claimed_at: SystemTime,
    /// Whether an earlier write of the claim may have taken effect.
    in_doubt: bool,
}

/// A new state of a claimed call.
#[state]
struct Change {
    /// Attempt that claimed the call.
    attempt: Attempt,
    /// New state of the call.
    state: State,
}

/// The operation in progress.
#[state]
enum Operation {
    /// Reads the head.
    Read,
    /// Reads an archive.
    ReadArchive(ArchiveNumber),
    /// Creates an archive from these records.
    WriteArchive(ArchiveNumber, Vec<Record>),
    /// Writes the head with these claims and changes.
    Write(Head, Vec<Claim>, Vec<Change>),
}

/// A partition of the call registry at one node.
#[state]
pub struct Partition {
    /// Limits on records and queues.
    limits: Limits,
    /// Revision of the cached head; zero if the head does not exist.
    revision: Revision,
    /// Cached head.
    head: Head,
    /// Writes by other nodes that reads showed since the count was last taken.
    foreign_writes: u64,
    /// Whether the cached head may be used without a new read.
    current: bool,
    /// Cached archives that this node read or wrote.
    archives: BTreeMap<ArchiveNumber, Vec<Record>>,
    /// Archive that may exist because the outcome of its creation is not known.
    archive_in_doubt: Option<ArchiveNumber>,
    /// Queued claims.
    claims: Vec<Claim>,
    /// Queued completions and releases.
    changes: Vec<Change>,
    /// Operation in progress.
    in_progress: Option<Operation>,
    /// Decisions that were not yet collected.
    answers: Vec<(Attempt, Decision)>,
}

impl Partition {
    /// Creates a partition with an empty cache.
    pub fn new(limits: Limits) -> Self {
        Self {
            limits,
            revision: 0,
            head: Head::default(),
            foreign_writes: 0,
            current: false,
            archives: BTreeMap::new(),
            archive_in_doubt: None,
            claims: Vec::new(),
            changes: Vec::new(),
            in_progress: None,
            answers: Vec::new(),
        }
    }

    /// Claims a call, or replays its answer if the cache contains one.
    pub fn claim(&mut self, attempt: Attempt, now: SystemTime) -> Decision {
        if let Some(decision) = self.resolve_pending(&attempt) {
            return decision;
        }
        match self.resolve(&self.head, &attempt, now) {
            Decision::Write => {}
            decision @ Decision::Replay(_) => return decision,
            // Another node may have completed or released the call since the last read.
            _ => self.current = false,
        }
        if self.claims.len() >= self.limits.max_claims {
            return Decision::Refuse(Reason::Busy);
        }
        self.claims.push(Claim {
            attempt,
            claimed_at: now,
            in_doubt: false,
        });
        Decision::Write
    }

    /// Queues the answer of a call that was sent; returns false if the queue is full.
    ///
    /// The call then stays claimed, and a repeated call is answered with `unknown`.
    pub fn finish(&mut self, attempt: Attempt, answer: Answer) -> bool {
        self.queue_change(attempt, State::Done(answer))
    }

    /// Queues the release of a committed claim that was not sent; returns false if the queue is
    /// full.
    pub fn release(&mut self, attempt: Attempt) -> bool {
        self.queue_change(attempt, State::Released)
    }

    /// Withdraws a queued claim, which is never decided as [`Decision::Send`] afterwards.
    pub fn withdraw(&mut self, attempt: Attempt) {
        let mut in_doubt = self
            .claims
            .iter()
            .any(|claim| claim.attempt == attempt && claim.in_doubt);
        self.claims.retain(|claim| claim.attempt != attempt);
        if let Some(Operation::Write(_, claims, _)) = &mut self.in_progress {
            let before = claims.len();
            claims.retain(|claim| claim.attempt != attempt);
            in_doubt |= claims.len() < before;
        }
        if in_doubt {
            self.release(attempt);
        }
    }

    /// Returns the decisions since the last call of this method.
    pub fn take_answers(&mut self) -> Vec<(Attempt, Decision)> {
        std::mem::take(&mut self.answers)
    }

    /// Returns the next operation at the configuration service and marks it as in progress.
    pub fn step(&mut self, now: SystemTime) -> Step {
        if self.in_progress.is_some() || (self.claims.is_empty() && self.changes.is_empty()) {
            return Step::Idle;
        }
        if !self.current {
            self.in_progress = Some(Operation::Read);
            return Step::Read;
        }
        if let Some(number) = self.missing_archive(now) {
            self.in_progress = Some(Operation::ReadArchive(number));
            return Step::ReadArchive(number);
        }
        self.next_write(now)
    }

    /// Handles the result of a read of the head; revision zero means that there is no value.
    pub fn head_read(&mut self, revision: Revision, head: Head) {
        self.in_progress = None;
        self.foreign_writes += head.writes.saturating_sub(self.head.writes);
        self.revision = revision;
        self.head = head;
        self.current = true;
        let first = self.head.archives.first().map(|archive| archive.number);
        let first = first.unwrap_or(self.head.next_archive);
        self.archives.retain(|number, _| *number >= first);
    }

    /// Handles the result of a read of an archive, which may not exist.
    pub fn archive_read(&mut self, number: ArchiveNumber, records: Option<Vec<Record>>) {
        self.in_progress = None;
        if self.archive_in_doubt == Some(number) {
            self.archive_in_doubt = None;
        }
        if let Some(records) = records {
            self.archives.insert(number, records);
        }
    }

    /// Invalidates the cached head, so that it is read again before the next write.
    pub fn invalidate(&mut self) {
        self.current = false;
    }

    /// Returns the number of writes by other nodes that were seen since the last call.
    pub fn take_foreign_writes(&mut self) -> u64 {
        std::mem::take(&mut self.foreign_writes)
    }

    /// Handles a failed read, which is then repeated.
    pub fn read_failed(&mut self) {
        self.in_progress = None;
    }

    /// Handles the outcome of a write.
    pub fn write_finished(&mut self, outcome: Outcome) {
        match self.in_progress.take() {
            Some(Operation::WriteArchive(number, records)) => match outcome {
                Outcome::Done(_) => {
                    self.archives.insert(number, records);
                }
                Outcome::Conflict | Outcome::Unknown => self.archive_in_doubt = Some(number),
                Outcome::Unsent => {}
            },
            Some(Operation::Write(head, claims, changes)) => {
                if let Outcome::Done(revision) = outcome {
                    self.revision = revision;
                    self.head = head;
                    let send = |claim: Claim| (claim.attempt, Decision::Send);
                    self.answers.extend(claims.into_iter().map(send));
                } else {
                    self.requeue(claims, changes, outcome == Outcome::Unknown);
                    self.current &= outcome == Outcome::Unsent;
                }
            }
            other => self.in_progress = other,
        }
    }

    /// Returns the numbers of claims and of completions and releases that are not yet written.
    pub fn queue_lengths(&self) -> (usize, usize) {
        match &self.in_progress {
            Some(Operation::Write(_, claims, changes)) => (
                self.claims.len() + claims.len(),
                self.changes.len() + changes.len(),
            ),
            _ => (self.claims.len(), self.changes.len()),
        }
    }

    /// Puts the claims and changes of a failed write back at the front of the queues.
    fn requeue(&mut self, mut claims: Vec<Claim>, mut changes: Vec<Change>, in_doubt: bool) {
        for claim in &mut claims {
            claim.in_doubt |= in_doubt;
        }
        claims.append(&mut self.claims);
        changes.append(&mut self.changes);
        self.claims = claims;
        self.changes = changes;
    }

    /// Queues a new state of a call; returns false if the queue is full.
    fn queue_change(&mut self, attempt: Attempt, state: State) -> bool {
        let kept = self.queue_lengths().1 < self.limits.max_changes;
        if kept {
            self.changes.push(Change { attempt, state });
        }
        kept
    }

    /// Decides a claim from queued claims and changes of the same key.
    fn resolve_pending(&self, attempt: &Attempt) -> Option<Decision> {
        let (claims, changes) = match &self.in_progress {
            Some(Operation::Write(_, claims, changes)) => (claims.as_slice(), changes.as_slice()),
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
            Decision::Unknown
        } else {
            Decision::Refuse(Reason::KeyReused)
        })
    }

    /// Returns the newest record of a key in a head and the cached archives that it lists.
    fn find<'a>(&'a self, head: &'a Head, attempt: &Attempt) -> Option<&'a Record> {
        head.find(attempt.key).or_else(|| {
            let listed = head.archives.iter().rev();
            let mut records = listed.filter_map(|archive| self.archives.get(&archive.number));
            records.find_map(|records| records.iter().find(|r| r.attempt.key == attempt.key))
        })
    }

    /// Decides a claim from the record of its key.
    fn resolve(&self, head: &Head, attempt: &Attempt, now: SystemTime) -> Decision {
        let Some(record) = self.find(head, attempt) else {
            return Decision::Write;
        };
        if call_record::expired(record.claimed_at, now) {
            return Decision::Write;
        }
        match &record.state {
            State::Released => Decision::Write,
            State::Done(answer) => replay(&record.attempt, attempt, answer),
            State::Claimed if record.attempt == *attempt => Decision::Send,
            State::Claimed if record.attempt.fingerprint == attempt.fingerprint => {
                Decision::Unknown
            }
            State::Claimed => Decision::Refuse(Reason::KeyReused),
        }
    }

    /// Returns an archive that must be read before claims can be decided.
    fn missing_archive(&self, now: SystemTime) -> Option<ArchiveNumber> {
        let listed = self.head.archives.iter();
        let mut needed = listed.filter(|archive| !call_record::expired(archive.newest, now));
        let missing = needed.find(|archive| !self.archives.contains_key(&archive.number));
        missing
            .map(|archive| archive.number)
            .or(self.archive_in_doubt)
    }

    /// Decides the claims that the cached records settle, and returns the write of the others.
    fn next_write(&mut self, now: SystemTime) -> Step {
        let mut head = self.head.clone();
        head.expire(now);
        head.writes += 1;
        let changes = std::mem::take(&mut self.changes);
        for change in &changes {
            self.apply(&mut head, change);
        }
        let full = head.archives.len() >= self.limits.max_archives;
        let mut claims = Vec::new();
        for claim in std::mem::take(&mut self.claims) {
            let attempt = claim.attempt;
            match self.resolve(&head, &attempt, now) {
                Decision::Write
                    if full
                        && !claim.in_doubt
                        && head.encoded_bytes() >= self.limits.max_head_bytes =>
                {
                    let decision = Decision::Refuse(Reason::Full);
                    self.answers.push((attempt, decision));
                }
                Decision::Write => {
                    head.put(Record {
                        attempt,
                        state: State::Claimed,
                        claimed_at: claim.claimed_at,
                    });
                    claims.push(claim);
                }
                decision => self.answers.push((attempt, decision)),
            }
        }
        if claims.is_empty() && changes.is_empty() {
            return Step::Idle;
        }
        if !full
            && head.encoded_bytes() > self.limits.max_head_bytes
            && !self.head.records.is_empty()
        {
            let number = head.next_archive;
            let Some(written) = self.archives.get(&number) else {
                self.claims = claims;
                self.changes = changes;
                return self.roll(number);
            };
            head.roll(number, written);
        }
        self.in_progress = Some(Operation::Write(head.clone(), claims, changes));
        Step::Write(self.revision, head)
    }

    /// Returns the creation of an archive with the oldest half of the cached head.
    ///
    /// Only records of a committed head are archived. If another node has created the archive
    /// first, its archive is read and listed instead, so that no archive is orphaned or written
    /// twice.
    fn roll(&mut self, number: ArchiveNumber) -> Step {
        let half = self.head.records.len().div_ceil(2);
        let records = self.head.records[..half].to_vec();
        self.in_progress = Some(Operation::WriteArchive(number, records.clone()));
        Step::WriteArchive(number, records)
    }

    /// Applies a completion or a release to the record of its attempt.
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

/// Replays an answer if the claim has the same body, or refuses the claim.
fn replay(done: &Attempt, attempt: &Attempt, answer: &Answer) -> Decision {
    if done.fingerprint == attempt.fingerprint {
        Decision::Replay(answer.clone())
    } else {
        Decision::Refuse(Reason::KeyReused)
    }
}
