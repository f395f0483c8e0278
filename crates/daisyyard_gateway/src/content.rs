//! Contents of requests that crash endpoints: what the runs of this gateway show, what other gateways
//! report, and the refusal of requests that wait.

use std::time::{Duration, Instant};

use daisyyard_core::crash::{Crash, Record, Verdict};
use daisyyard_core::id::Fingerprint;
use daisyyard_core::roster::Role;
use xtra::{Context, Handler};

use crate::archive::Change;
use crate::event::Event;
use crate::message::{Break, EvidenceReport, Placement, Proof, ShareEvidence};
use crate::pool::Pool;

/// Time for which an observation is reported to the other gateways. Each report is repeated several
/// times, as datagrams are lost.
const REPORT_TIME: Duration = Duration::from_secs(3);

/// Time after the last crash by which the refusal of a content is in the store, unless the gateway
/// that observed the crash has ended.
const STORE_TIME: Duration = Duration::from_secs(2);

impl Pool {
    /// Records that a run with these contents went well.
    pub(crate) fn record_proof(&mut self, contents: &[Fingerprint]) {
        let now = Instant::now();
        for content in contents.iter().copied() {
            let refused = self.is_refused(content);
            let changed = self.evidence.record_proof(&[content], now);
            self.report_observations(&changed, now);
            self.apply_change(content, refused, now);
            if refused && !self.is_refused(content) {
                // The task ends only with the process.
                let _ = self.archive.send(Change::Remove(content));
            }
        }
    }

    /// Learns crashes and proofs of contents from another gateway.
    pub(crate) fn learn_evidence(&mut self, records: &[Record], now: Instant) {
        for record in records {
            let refused = self.is_refused(record.content);
            if self.evidence.learn(record, now) {
                self.apply_change(record.content, refused, now);
            }
        }
    }

    /// Records that the store has the refusal of a content, or no longer.
    pub(crate) fn apply_refusal(&mut self, content: Fingerprint, stored: bool, now: Instant) {
        let refused = self.is_refused(content);
        self.evidence.record_stored(content, stored, now);
        self.apply_change(content, refused, now);
    }

    /// Stores the refusals that the gateway which observed the last crash has not stored, because it
    /// has ended since.
    pub(crate) fn store_refusals(&mut self, now: Instant) {
        if self.members.role() != Role::Reader {
            return;
        }
        let missing = |record: &&Record| {
            let last_crash = record.last_crash();
            let due = |at: Instant| now.saturating_duration_since(at) >= STORE_TIME;
            record.stored_at.is_none() && last_crash.is_some_and(due)
        };
        let missing: Vec<Fingerprint> = self
            .evidence
            .refused(now)
            .filter(missing)
            .map(|record| record.content)
            .collect();
        for content in missing {
            // The watch confirms it; until then it counts as stored.
            self.evidence.record_stored(content, true, now);
            // The task ends only with the process.
            let _ = self.archive.send(Change::Put(content));
        }
    }

    /// Reports changed records to the other gateways.
    fn report_observations(&mut self, changed: &[Record], now: Instant) {
        if changed.is_empty() {
            return;
        }
        for record in changed {
            self.observed_at.insert(record.content, now);
        }
        self.observations += 1;
        self.changed.notify_one();
    }

    /// Returns whether requests with a content are refused.
    fn is_refused(&self, content: Fingerprint) -> bool {
        self.evidence.get(content).is_some_and(Record::is_refused)
    }

    /// Logs a content that is refused now, or no longer, and refuses the requests that wait with it.
    fn apply_change(&mut self, content: Fingerprint, was_refused: bool, now: Instant) {
        let Some(record) = self.evidence.get(content) else {
            return;
        };
        if record.is_refused() == was_refused {
            return;
        }
        let crashes: Vec<String> = record
            .crashes
            .iter()
            .map(|crash| format!("{:x}", crash.endpoint))
            .collect();
        let details = format!(
            "content={content:032x} refused={} crashes={} endpoints={}",
            record.is_refused(),
            record.count(),
            crashes.join(","),
        );
        self.log.emit(Event::ContentRefused, &details);
        let evidence = &self.evidence;
        let refused = |contents: &[Fingerprint]| evidence.verdict(contents, now);
        let claims = self
            .backlog
            .remove(|claim| refused(&claim.contents) != Verdict::Allow);
        for claim in claims {
            if let Verdict::Refuse(until) = refused(&claim.contents) {
                // If the caller has disconnected, nobody needs the refusal.
                let _ = claim.reply.send(Placement::Refused(until - now));
            }
        }
    }
}

impl Handler<Break> for Pool {
    type Return = ();

    async fn handle(&mut self, Break(id): Break, _: &mut Context<Self>) {
        let Some(run) = self.runs.get(&id) else {
            return;
        };
        let now = Instant::now();
        let crash = Crash {
            endpoint: run.endpoint,
            sent_at: run.sent_at,
            at: now,
        };
        let contents = std::sync::Arc::clone(&run.contents);
        for content in contents.iter().copied() {
            let refused = self.is_refused(content);
            let changed = self.evidence.record_crash(&[content], crash);
            self.report_observations(&changed, now);
            self.apply_change(content, refused, now);
            if !refused && self.is_refused(content) {
                // The task ends only with the process.
                let _ = self.archive.send(Change::Put(content));
            }
        }
    }
}

impl Handler<Proof> for Pool {
    type Return = ();

    async fn handle(&mut self, Proof(id): Proof, _: &mut Context<Self>) {
        if let Some(run) = self.runs.get(&id) {
            let contents = std::sync::Arc::clone(&run.contents);
            self.record_proof(&contents);
        }
    }
}

impl Handler<ShareEvidence> for Pool {
    type Return = EvidenceReport;

    async fn handle(&mut self, _: ShareEvidence, _: &mut Context<Self>) -> EvidenceReport {
        let now = Instant::now();
        let refused: Vec<Record> = self.evidence.refused(now).cloned().collect();
        self.observed_at
            .retain(|_, at| now.saturating_duration_since(*at) < REPORT_TIME);
        let observed = self.observed_at.keys();
        let observed = observed.filter_map(|content| self.evidence.get(*content));
        let mut recent: Vec<Record> = observed.cloned().collect();
        if self.members.role() == Role::Reader {
            // Gateways that have just started have heard none of the earlier reports.
            let missing = |record: &&Record| !self.observed_at.contains_key(&record.content);
            recent.extend(refused.iter().filter(missing).cloned());
        }
        EvidenceReport {
            from: self.own_id,
            revision: self.observations,
            recent,
            refused,
        }
    }
}
