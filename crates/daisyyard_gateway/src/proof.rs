//! Reports of runs that endpoints broke off early, and of those that went well. Contents of requests
//! that crash endpoints are found by them.

use std::time::{Duration, Instant};

use crate::event::Event;
use crate::job::Job;
use crate::message::{Break, Grant, Proof};
use crate::proxy::Proxy;
use crate::relay::Relay;

/// Time from the first data of a run after which its engine does not crash because of the run.
const PROOF_TIME: Duration = Duration::from_millis(250);

impl Proxy {
    /// Reports that an endpoint closed the connection of a run early, after a number of events.
    pub(crate) async fn report_broken(&self, job: &Job, grant: &Grant, events: u64) {
        let details = format!(
            "request={} content={:032x} parts={:032x?} endpoint={} events={events}",
            job.attempt,
            job.content(),
            job.parameters.shared_parts,
            grant.endpoint.name,
        );
        self.log.emit(Event::RunBroken, &details);
        self.metrics.record_break(job.kind());
        // The pool ends only with the process.
        let _ = self.pool.send(Break(grant.run)).await;
    }
}

impl Relay {
    /// Reports that the engine has broken off the run, unless it had run well for some time: the run
    /// itself may be the reason.
    pub(crate) async fn report_broken(&self) {
        if !self.proven {
            let events = self.splitter.event_count();
            self.proxy
                .report_broken(&self.job, &self.grant, events)
                .await;
        }
    }

    /// Reports once that the run does not crash its engine.
    pub(crate) async fn report_proof(&mut self) {
        let ran_well = |first_data: Instant| first_data.elapsed() >= PROOF_TIME;
        if !self.proven && self.first_data_at.is_some_and(ran_well) {
            self.proven = true;
            // The pool ends only with the process.
            let _ = self.proxy.pool.send(Proof(self.grant.run)).await;
        }
    }
}
