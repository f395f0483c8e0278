//! Reports of runs that endpoints broke off, and of those that go on. Contents of requests that crash
//! endpoints are found by them.

use std::time::Duration;

use crate::event::Event;
use crate::job::Job;
use crate::message::{Break, Grant, Progress};
use crate::proxy::Proxy;
use crate::relay::Relay;

/// Time from the first data of a run to the first report that it goes on. Each further report comes after
/// twice the time, so that a run of any length takes few of them.
const FIRST_REPORT: Duration = Duration::from_millis(250);

impl Proxy {
    /// Reports that an endpoint closed the connection of a run early, after it had sent data for a time
    /// and a number of events.
    pub(crate) async fn report_broken(
        &self,
        job: &Job,
        grant: &Grant,
        events: u64,
        ran_for: Duration,
    ) {
        let details = format!(
            "request={} content={:032x} parts={:032x?} endpoint={} events={events} ran_ms={}",
            job.attempt,
            job.content(),
            job.parameters.shared_parts,
            grant.endpoint.name,
            ran_for.as_millis(),
        );
        self.log.emit(Event::RunBroken, &details);
        self.metrics.record_break(job.kind());
        // The pool ends only with the process.
        let _ = self.pool.send(Break(grant.run, ran_for)).await;
    }
}

impl Relay {
    /// Reports that the engine has broken off the run: the run itself may be the reason.
    pub(crate) async fn report_broken(&self) {
        let events = self.splitter.event_count();
        let ran_for = self.ran_for().unwrap_or_default();
        self.proxy
            .report_broken(&self.job, &self.grant, events, ran_for)
            .await;
    }

    /// Reports now and then that the run goes on.
    pub(crate) async fn report_progress(&mut self) {
        let Some(ran_for) = self.ran_for() else {
            return;
        };
        if ran_for >= FIRST_REPORT.max(self.reported_for * 2) {
            self.reported_for = ran_for;
            // The pool ends only with the process.
            let _ = self
                .proxy
                .pool
                .send(Progress(self.grant.run, ran_for))
                .await;
        }
    }

    /// Returns for how long the engine has sent data; none if it has sent none.
    fn ran_for(&self) -> Option<Duration> {
        self.first_data_at.map(|at| at.elapsed())
    }
}
