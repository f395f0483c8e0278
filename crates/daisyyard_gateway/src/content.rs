//! Contents of requests that crash endpoints: what the runs of this gateway show, what other gateways
//! report, and the refusal of requests that wait.

use std::sync::Arc;
use std::time::{Duration, Instant};

use daisyyard_core::crash::{Crash, Group, Record, Verdict};
use daisyyard_core::endpoint::State;
use daisyyard_core::id::Fingerprint;
use daisyyard_core::roster::Role;
use xtra::{Context, Handler};

use crate::archive::Change;
use crate::event::Event;
use crate::message::{Break, EvidenceReport, Placement, Progress, ShareEvidence};
use crate::pool::Pool;

/// Time for which an observation is reported to the other gateways. Each report is repeated several
/// times, as datagrams are lost.
const REPORT_TIME: Duration = Duration::from_secs(3);
/// Maximum number of contents in a group that is stored, as the key names them all. Larger groups become
/// smaller with the first proofs.
const MAX_STORED_CONTENTS: usize = 5;
/// Maximum number of records that are reported at a time, those with most crashes and the newest ones
/// first. When many endpoints are lost at once, the rest goes unreported; a content that crashes
/// endpoints is soon observed again.
const MAX_REPORTED: usize = 16;
/// Time after a crash at which the refusals that it has shown are stored. Other endpoints may turn out to
/// have crashed at the same moment.
const SETTLE_TIME: Duration = Duration::from_millis(250);
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
        self.log_cleared(now);
    }

    /// Logs the contents that are no longer refused, as their last crash turned out to be one of many.
    fn log_cleared(&mut self, now: Instant) {
        for content in self.evidence.take_cleared() {
            self.apply_change(content, true, now);
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

    /// Stores the refusals that the crashes which this gateway has observed have shown. A reader also
    /// stores those that another gateway has not stored, because it has ended since, or because proofs
    /// have made the group smaller.
    pub(crate) fn store_refusals(&mut self, now: Instant) {
        let settled = |at: &mut Instant| now.saturating_duration_since(*at) >= SETTLE_TIME;
        if let Some(crashed_at) = self.crash_observed_at.take_if(settled) {
            self.store_groups(crashed_at, now);
        }
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

    async fn handle(&mut self, Break(id, ran_for): Break, _: &mut Context<Self>) {
        let Some(run) = self.runs.get(&id) else {
            return;
        };
        // An endpoint that leaves ends its connections whatever it runs.
        let endpoint = self.endpoints.endpoint(run.endpoint);
        if endpoint.is_none_or(|endpoint| endpoint.state != State::Live) {
            return;
        }
        let now = Instant::now();
        let crash = Crash {
            endpoint: run.endpoint,
            sent_at: run.sent_at,
            at: now,
            ran_for,
            common: false,
        };
        let contents = Arc::clone(&run.contents);
        for content in contents.iter().copied() {
            let refused = self.is_refused(content);
            let changed = self.evidence.record_crash(&[content], crash);
            self.report_observations(&changed, now);
            self.apply_change(content, refused, now);
        }
        self.log_cleared(now);
        self.crash_observed_at = Some(now);
    }
}

impl Handler<Progress> for Pool {
    type Return = ();

    async fn handle(&mut self, Progress(id, lasted): Progress, _: &mut Context<Self>) {
        let Some(run) = self.runs.get(&id) else {
            return;
        };
        let now = Instant::now();
        let contents = Arc::clone(&run.contents);
        for content in contents.iter().copied() {
            let refused = self.is_refused(content);
            let changed = self.evidence.record_progress(&[content], lasted, now);
            self.report_observations(&changed, now);
            self.apply_change(content, refused, now);
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
        let observed = self.observed_at.iter();
        let observed = observed.filter_map(|(id, at)| Some((self.evidence.get(*id)?, *at)));
        let mut observed: Vec<(&Record, Instant)> = observed.collect();
        observed.sort_by_key(|(record, at)| std::cmp::Reverse((record.count(), *at)));
        let observed = observed.into_iter().map(|(record, _)| record);
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
