//! Hands a run in progress over to another gateway, once this one is cut off from the endpoints.

use std::sync::Arc;
use std::time::Duration;

use daisyyard_core::continuation::{Holder, Standby};
use daisyyard_core::id::{InstanceId, RequestId};
use daisyyard_core::stream_end::{Effect, Framing};
use daisyyard_http::connection::Answer;
use hyper::StatusCode;
use xtra::{Context, Handler};

use crate::codec::{Handover, Relayed};
use crate::detour::{MAX_RELAYS, Origin, open};
use crate::event::Event;
use crate::halt::Orders;
use crate::isolation::{FindPeer, Peer};
use crate::passage::Passage;
use crate::pool::Pool;
use crate::relay::{Relay, framing};
use crate::sent;

/// Time within which a gateway finds out that it is cut off, after its own ways to continue a run failed.
const DETECTION_TIME: Duration = Duration::from_millis(800);

/// Asks what is known of the copy of a run.
#[derive(Debug)]
struct Describe(RequestId);

/// What became of a run that was to be handed over.
enum Outcome {
    /// Another gateway continues it.
    Taken(Box<Passage>),
    /// No other gateway has tried to continue it.
    Declined,
    /// Another gateway may have continued it, but the rest of the stream is lost.
    Lost,
}

impl Outcome {
    /// Returns the name of the outcome for logs and metrics.
    fn name(&self) -> &'static str {
        match self {
            Self::Taken(_) => "taken",
            Self::Declined => "declined",
            Self::Lost => "lost",
        }
    }
}

impl Relay {
    /// Continues the run after a failure: at another engine, or at another gateway if this one is cut off
    /// from the endpoints. Returns whether the stream continues.
    pub(crate) async fn recover(&mut self, reason: &'static str) -> bool {
        // What is known now gets lost when an engine does not continue the run.
        let relayed = self.describe().await;
        if self.proxy.is_isolated() {
            match self.hand_over(&relayed).await {
                Outcome::Taken(passage) => return self.leave_to(passage),
                Outcome::Lost => {
                    self.upstream = None;
                    return false;
                }
                Outcome::Declined => {}
            }
        }
        self.reached = false;
        if self.fail_over(reason).await || self.restart(reason).await {
            return true;
        }
        if self.reached || !self.becomes_isolated().await {
            return false;
        }
        match self.hand_over(&relayed).await {
            Outcome::Taken(passage) => self.leave_to(passage),
            Outcome::Declined | Outcome::Lost => false,
        }
    }

    /// Leaves the rest of the stream to a passage.
    fn leave_to(&mut self, passage: Box<Passage>) -> bool {
        self.upstream = None;
        self.passage = Some(passage);
        true
    }

    /// Returns whether this gateway is found to be cut off from the endpoints.
    async fn becomes_isolated(&self) -> bool {
        if self.proxy.origin == Origin::Gateway {
            return false;
        }
        let mut isolated = self.proxy.isolated.clone();
        let found = isolated.wait_for(|isolated| *isolated);
        tokio::select! {
            found = tokio::time::timeout(DETECTION_TIME, found) => matches!(found, Ok(Ok(_))),
            () = self.sender.closed() => false,
        }
    }

    /// Returns what another gateway needs to continue the run.
    async fn describe(&self) -> Relayed {
        let standby = self.proxy.pool.send(Describe(self.grant.run)).await;
        let handover = Handover {
            source: Holder::of(&self.grant.endpoint),
            // The pool ends only with the process.
            standby: standby.unwrap_or_default(),
            last_event: self.splitter.last_number(),
            stopped: false,
        };
        Relayed {
            counted: true,
            runs: Some(self.runs_left),
            handover: Some(handover),
        }
    }

    /// Returns whether another gateway could continue the run.
    fn may_hand_over(&self) -> bool {
        // Without numbers, nobody could tell where the stream goes on.
        let numbered = self.splitter.last_number().is_some() || self.splitter.event_count() == 0;
        self.proxy.origin == Origin::Caller && self.job.is_sendable() && numbered
    }

    /// Hands the run over to one gateway after the other until one tries to continue it.
    async fn hand_over(&mut self, relayed: &Relayed) -> Outcome {
        if !self.may_hand_over() {
            return Outcome::Declined;
        }
        // An order to stop the run that arrives late could stop it where the other gateway continues it.
        self.orders.values_mut().for_each(Orders::withdraw);
        let mut relayed = relayed.clone();
        if let Some(handover) = &mut relayed.handover {
            handover.stopped = self.effect() != Effect::None;
        }
        let mut excluded = Vec::new();
        while excluded.len() < MAX_RELAYS && !self.job.remaining().is_zero() {
            let found = self.proxy.pool.send(FindPeer(excluded.clone())).await;
            let Some(peer) = found.ok().flatten() else {
                break;
            };
            let id = peer.id;
            excluded.push(id);
            let outcome = tokio::select! {
                outcome = self.hand_to(peer, &relayed) => outcome,
                () = self.sender.closed() => Outcome::Lost,
            };
            self.report(id, &outcome);
            if !matches!(outcome, Outcome::Declined) {
                return outcome;
            }
        }
        Outcome::Declined
    }

    /// Hands the run over to a gateway.
    async fn hand_to(&self, peer: Peer, relayed: &Relayed) -> Outcome {
        let request = self.job.relayed_request(&self.proxy.codec, relayed);
        let answer = match open(&peer).await {
            Ok(connection) => connection.send(request, self.job.remaining()).await,
            Err(failure) => Err(failure),
        };
        match answer {
            Ok(answer) => self.take(peer, answer),
            Err(failure) if sent::is_unsent(failure) => Outcome::Declined,
            Err(_) => Outcome::Lost,
        }
    }

    /// Takes the answer of a gateway to which the run was handed over.
    fn take(&self, peer: Peer, answer: Answer) -> Outcome {
        let (parts, body) = answer.response.into_parts();
        match parts.status {
            StatusCode::OK
                if framing(&parts.headers) == Framing::Explicit
                    && (self.proxy.codec.relay.is_resumed)(&parts.headers) =>
            {
                self.job.clear_body();
                Outcome::Taken(Box::new(Passage {
                    proxy: self.proxy.clone(),
                    job: Arc::clone(&self.job),
                    body,
                    sender: self.sender.clone(),
                    _peer: peer,
                    _driver: answer.driver,
                }))
            }
            // The gateway states that it has not continued the run.
            StatusCode::SERVICE_UNAVAILABLE => Outcome::Declined,
            _ => Outcome::Lost,
        }
    }

    /// Logs and counts a handover.
    fn report(&self, gateway: InstanceId, outcome: &Outcome) {
        let details = format!(
            "request={} gateway={gateway:016x} endpoint={} event={:?} outcome={}",
            self.job.attempt,
            self.grant.endpoint.name,
            self.splitter.last_number(),
            outcome.name(),
        );
        self.proxy.log.emit(Event::RunHandedOver, &details);
        self.proxy
            .metrics
            .record_relay("handed_over", outcome.name());
    }
}

impl Handler<Describe> for Pool {
    type Return = Standby;

    async fn handle(&mut self, Describe(run): Describe, _: &mut Context<Self>) -> Standby {
        let run = self.runs.get(&run);
        run.map_or(Standby::None, |run| run.standby.clone())
    }
}
