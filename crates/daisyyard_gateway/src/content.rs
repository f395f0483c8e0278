//! Contents of requests that crash endpoints: what the runs of this gateway show, what other gateways
//! report, and the refusal of requests that wait.

use std::sync::Arc;
use std::time::{Duration, Instant};

use daisyyard_core::crash::{Crash, Group, Record, Verdict};
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
/// Maximum number of contents in a group that is stored, as the key names them all. Larger groups become
/// smaller with the first proofs.
const MAX_STORED_CONTENTS: usize = 5;
/// Maximum number of records that are reported at a time, the newest ones. When many endpoints are lost
/// at once, the rest goes unreported; a content that crashes endpoints is soon observed again.
const MAX_REPORTED: usize = 16;
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
        }
        for group in self.evidence.disprove(contents) {
            // The task ends only with the process.
            let _ = self.archive.send(Change::Remove(group));
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

    /// Records that the store has the refusal of a group of contents, or no longer.
    pub(crate) fn apply_refusal(&mut self, group: Group, stored: bool, now: Instant) {
        if stored {
            self.evidence.record_stored(group, now);
            self.refuse_waiting(now);
        } else {
            self.evidence.remove_stored(&group);
        }
    }

    /// Stores the refusals that the gateway which observed the last crash has not stored, because it
    /// has ended since, or because proofs have made the group smaller.
    pub(crate) fn store_refusals(&mut self, now: Instant) {
        if self.members.role() == Role::Reader
            && let Some(until) = now.checked_sub(STORE_TIME)
        {
            self.store_groups(until, now);
        }
    }

    /// Stores the refusals that the crashes up to a time show.
    fn store_groups(&mut self, until: Instant, now: Instant) {
        let mut groups = self.evidence.unstored_groups(until, now);
        groups.retain(|group| group.len() <= MAX_STORED_CONTENTS);
        for group in groups {
            // The task repeats the write until it succeeds.
            self.evidence.record_stored(group.clone(), now);
            // The task ends only with the process.
            let _ = self.archive.send(Change::Put(group));
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
        self.refuse_waiting(now);
    }

    /// Refuses the waiting requests that must not be sent any longer.
    fn refuse_waiting(&mut self, now: Instant) {
        let evidence = &self.evidence;
        let verdict = |contents: &[Fingerprint]| evidence.verdict(contents, now);
        let claims = self
            .backlog
            .remove(|claim| verdict(&claim.contents) != Verdict::Allow);
        for claim in claims {
            if let Verdict::Refuse(until) = verdict(&claim.contents) {
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
        let contents = Arc::clone(&run.contents);
        for content in contents.iter().copied() {
            let refused = self.is_refused(content);
            let changed = self.evidence.record_crash(&[content], crash);
            self.report_observations(&changed, now);
            self.apply_change(content, refused, now);
        }
        self.store_groups(now, now);
    }
}

impl Handler<Proof> for Pool {
    type Return = ();

    async fn handle(&mut self, Proof(id): Proof, _: &mut Context<Self>) {
        if let Some(run) = self.runs.get(&id) {
            let contents = Arc::clone(&run.contents);
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
        let mut observed: Vec<(&Fingerprint, &Instant)> = self.observed_at.iter().collect();
        observed.sort_by_key(|(_, at)| std::cmp::Reverse(**at));
        let observed = observed.into_iter();
        let observed = observed.filter_map(|(content, _)| self.evidence.get(*content));
        let mut recent: Vec<Record> = observed.take(MAX_REPORTED).cloned().collect();
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
