//! Continues a run that another gateway hands over, because that one is cut off from the endpoints.
//!
//! The run goes on as one of this gateway whose stream has broken: its engine is told to stop it, and
//! another one continues it only from a copy that is shown.

use std::sync::Arc;
use std::time::Instant;

use daisyyard_core::continuation::{Holder, Standby};
use daisyyard_core::id::Fingerprint;
use daisyyard_core::load::Need;
use daisyyard_core::pool::Signal;
use daisyyard_core::turn;
use hyper::Response;
use tokio::sync::mpsc;
use xtra::{Context, Handler};

use crate::body::{self, Body};
use crate::codec::Handover;
use crate::event::Event;
use crate::job::Job;
use crate::message::Grant;
use crate::pool::Pool;
use crate::proxy::Proxy;
use crate::refusal::Refusal;
use crate::relay::Relay;
use crate::run::Run;

/// Failover reason: another gateway has handed the run over.
const HANDED_OVER: &str = "handed_over";

/// Registers a run that another gateway hands over; fails if its engine is not known, or is one of another
/// service.
#[derive(Debug)]
pub(crate) struct Adopt {
    /// Resources that the run needs.
    need: Need,
    /// Kind of the request.
    kind: turn::Kind,
    /// Fingerprints of what the caller asks for.
    contents: Arc<[Fingerprint]>,
    /// Engine that executes the run, or did so last.
    source: Holder,
    /// What is known of the copy of the run's memory.
    standby: Standby,
}

impl Proxy {
    /// Continues a run that another gateway hands over, and streams what the caller does not have yet.
    pub(crate) async fn adopt(&self, job: &Arc<Job>, handover: &Handover) -> Response<Body> {
        let adopt = Adopt {
            need: job.need(),
            kind: job.ask().kind,
            contents: Arc::clone(&job.contents),
            source: handover.source,
            standby: handover.standby.clone(),
        };
        // A run that cannot be stopped might be executed by two engines.
        if !job.engine.is_some_and(|engine| engine.moves) {
            return self.refuse(job, Refusal::Declined, "-");
        }
        // The pool ends only with the process.
        let Some(grant) = self.pool.send(adopt).await.ok().flatten() else {
            return self.refuse(job, Refusal::Declined, "-");
        };
        let endpoint = grant.endpoint.name.clone();
        let runs_left = if job.route.is_repeatable() {
            job.relayed.runs.unwrap_or(0)
        } else {
            0
        };
        let (sender, body) = body::channel();
        let mut relay = Relay::new(
            self.clone(),
            Arc::clone(job),
            grant,
            None,
            sender,
            runs_left,
        );
        if handover.stopped {
            let orders = relay.orders.entry(handover.source.engine).or_default();
            orders.suspect();
        }
        let resumed = relay.recover(HANDED_OVER).await;
        let outcome = if resumed { "resumed" } else { "lost" };
        let details = format!(
            "request={} endpoint={endpoint} copy={:?} event={:?} outcome={outcome}",
            job.attempt,
            handover.standby.holder().map(|holder| holder.engine),
            handover.last_event,
        );
        self.log.emit(Event::RunAdopted, &details);
        self.metrics.record_relay("adopted", outcome);
        if !resumed {
            // If no engine was asked, none has stopped or continued the run.
            let asked = relay.reached || relay.orders.values().any(|orders| orders.sent);
            let refusal = if asked {
                Refusal::Lost
            } else {
                Refusal::Declined
            };
            return self.refuse(job, refusal, "-");
        }
        tokio::spawn(relay.run());
        let mut response = Response::new(body);
        (self.codec.relay.set_resumed)(response.headers_mut());
        response
    }
}

impl Handler<Adopt> for Pool {
    type Return = Option<Grant>;

    async fn handle(&mut self, message: Adopt, _: &mut Context<Self>) -> Option<Grant> {
        let now = Instant::now();
        let endpoint = self.endpoints.endpoint(message.source.engine)?;
        // The route may lead to another service by now, whose engines cannot continue the run.
        let endpoint = Arc::clone(endpoint);
        if endpoint.service != message.need.service {
            return None;
        }
        let (notices, receiver) = mpsc::channel(1);
        let run = self.register(Run {
            endpoint: endpoint.id,
            standby: message.standby,
            rejected: Vec::new(),
            need: message.need,
            state: None,
            kind: message.kind,
            contents: message.contents,
            sent_at: now,
            awaits_first_token: false,
            notices,
        });
        self.changed.notify_one();
        Some(Grant {
            run,
            endpoint,
            backup: None,
            memory_share: 0.0,
            placed_at: now,
            place: None,
            notices: receiver,
            signal: Signal::Neutral,
            pool: self.address.clone(),
        })
    }
}
