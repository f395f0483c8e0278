//! What endpoints state in their answers to this gateway: that they leave, or that they turn requests
//! away for some time.

use std::time::{Duration, Instant};

use daisyyard_core::access::{Access, Reason};
use daisyyard_core::endpoint::Endpoint;
use daisyyard_core::id::{EndpointId, ServiceId};
use daisyyard_core::pool::Pool as Endpoints;
use daisyyard_core::statement::Leaver;
use hyper::http::response;
use xtra::{Context, Handler};

use crate::codec::{Receipt, RetryAfter};
use crate::event::Event;
use crate::job::Job;
use crate::message::{Claim, Placement};
use crate::pool::Pool;
use crate::proxy::Proxy;
use crate::refusal::Refusal;

/// Range of random factors on the delay of a refused request, so that callers do not return together.
const SPREAD: std::ops::Range<f64> = 1.0..1.3;
/// Shortest delay of a refused request.
const MIN_RETRY_DELAY: Duration = Duration::from_millis(50);

/// Reports what an endpoint has stated in an answer.
#[derive(Debug)]
pub(crate) struct LearnStatement {
    /// The endpoint.
    endpoint: EndpointId,
    /// Incarnation to which the request was sent.
    incarnation: u64,
    /// Whether the endpoint leaves.
    leaving: bool,
    /// For how long it turns requests away.
    retry_after: RetryAfter,
}

/// Asks when the first endpoint of a service opens, if all turn requests away.
#[derive(Debug)]
pub(crate) struct Opening(ServiceId);

/// Returns the delay after which the caller of a refused request should return.
fn retry_delay(opens: Instant, now: Instant) -> Duration {
    let left = opens.saturating_duration_since(now).max(MIN_RETRY_DELAY);
    left.mul_f64(rand::random_range(SPREAD))
}

/// Refuses a request because all endpoints turn requests away, the first until a time.
pub(crate) fn refuse_turned_away(claim: Claim, opens: Instant, now: Instant) {
    let refusal = Placement::TurnedAway(retry_delay(opens, now));
    // If the caller has disconnected, nobody needs the refusal.
    let _ = claim.reply.send(refusal);
}

impl Proxy {
    /// Tells the pool what an endpoint states in an answer, before the answer is passed on.
    pub(crate) async fn report_statements(&self, endpoint: &Endpoint, receipt: &Receipt) {
        self.report_cold(endpoint, receipt).await;
        self.report(endpoint, receipt.leaving, receipt.retry_after)
            .await;
    }

    /// Tells the pool if an engine states that it leaves in the answer to a call about a run. A call is
    /// turned away for the other engine's lack of room, so that its `Retry-After` closes nothing.
    pub(crate) async fn report_leaving(&self, endpoint: &Endpoint, head: &response::Parts) {
        let receipt = (self.codec.read_response)(head.status, &head.headers);
        self.report(endpoint, receipt.leaving, RetryAfter::Absent)
            .await;
    }

    /// Tells the pool what an endpoint has stated, if it is anything.
    async fn report(&self, endpoint: &Endpoint, leaving: bool, retry_after: RetryAfter) {
        if leaving || retry_after != RetryAfter::Absent {
            let statement = LearnStatement {
                endpoint: endpoint.id,
                incarnation: endpoint.incarnation,
                leaving,
                retry_after,
            };
            // The pool ends only with the process.
            let _ = self.pool.send(statement).await;
        }
    }

    /// Adds to a refusal of a request that has not run when the first endpoint opens, if all turn
    /// requests away.
    pub(crate) async fn add_opening(&self, job: &Job, refusal: Refusal) -> Refusal {
        if refusal != Refusal::Declined {
            return refusal;
        }
        let opening = self.pool.send(Opening(job.service)).await;
        opening.ok().flatten().map_or(refusal, Refusal::TurnedAway)
    }
}

impl Pool {
    /// Returns whether an endpoint turns requests away.
    pub(crate) fn turns_away(&self, id: EndpointId) -> bool {
        let access = self.endpoints.access(id, Instant::now());
        matches!(access, Some(Access::Closed(Reason::TurnedAway, _)))
    }

    /// Places or refuses a request at once if all endpoints turn requests away, as waiting would not help;
    /// returns it otherwise.
    pub(crate) fn place_turned_away(&mut self, claim: Claim, now: Instant) -> Option<Claim> {
        let service = claim.need.service;
        let opening = self.endpoints.first_opening(service, &claim.excluded, now);
        match opening {
            Some(_) => self.grant(claim, now),
            None => Some(claim),
        }
    }

    /// Applies what other gateways report of endpoints that leave.
    pub(crate) fn hear_leavers(&mut self, leavers: &[Leaver], now: Instant) {
        for leaver in leavers {
            self.learn_leaver(*leaver, false, now);
        }
    }

    /// Records that an incarnation of an endpoint leaves, as it has stated to this gateway or another one.
    fn learn_leaver(&mut self, leaver: Leaver, first_hand: bool, now: Instant) {
        let is_new = self.endpoints.learn_leaving(leaver, first_hand, now);
        self.publish_barriers(now);
        if !is_new {
            return;
        }
        if let Some(endpoint) = self.endpoints.endpoint(leaver.endpoint) {
            let source = if first_hand { "answer" } else { "digest" };
            let details = format!(
                "endpoint={} incarnation={} source={source}",
                endpoint.name, leaver.incarnation
            );
            self.log.emit(Event::EndpointStatedLeaving, &details);
            let reason = if first_hand {
                "leaving"
            } else {
                "leaving_told"
            };
            self.metrics.record_statement(reason);
        }
        self.notify_runs(leaver.endpoint);
        if first_hand {
            // Runs at a leaving endpoint have little time to migrate.
            self.changed.notify_one();
        }
        self.schedule();
    }

    /// Publishes what endpoints have stated to the tasks of requests that have been granted an endpoint.
    fn publish_barriers(&self, now: Instant) {
        let barriers = self.endpoints.barriers(now);
        self.barriers.send_if_modified(|known| {
            let changed = *known != barriers;
            *known = barriers;
            changed
        });
    }

    /// Closes an endpoint that turns requests away.
    fn close(&mut self, id: EndpointId, incarnation: u64, time: Duration, now: Instant) {
        let closed = self.endpoints.turn_away(id, incarnation, time, now);
        self.publish_barriers(now);
        let Some((until, was_open)) = closed else {
            return;
        };
        self.metrics.record_statement("turned_away");
        if was_open {
            let name = self.endpoints.endpoint(id).map(|it| it.name.as_str());
            let details = format!(
                "endpoint={} incarnation={incarnation} until_ms={}",
                name.unwrap_or("-"),
                until.saturating_duration_since(now).as_millis()
            );
            self.log.emit(Event::EndpointClosed, &details);
        }
        self.refuse_closed(now);
    }

    /// Counts a time that is unusable or too long, and logs the first of an incarnation.
    fn note_unusable(&mut self, message: &LearnStatement) {
        self.metrics.record_statement("unusable");
        let (id, incarnation) = (message.endpoint, message.incarnation);
        if self.endpoints.note_unusable(id, incarnation) {
            let name = self.endpoints.endpoint(id).map(|it| it.name.as_str());
            let details = format!(
                "endpoint={} incarnation={incarnation} used={:?}",
                name.unwrap_or("-"),
                message.retry_after
            );
            self.log.emit(Event::RetryAfterUnusable, &details);
        }
    }

    /// Refuses the waiting requests whose endpoints all turn requests away.
    fn refuse_closed(&mut self, now: Instant) {
        let opens = |endpoints: &Endpoints, claim: &Claim, now| {
            endpoints.first_opening(claim.need.service, &claim.excluded, now)
        };
        self.refuse_until_opening(opens, now);
    }

    /// Refuses the waiting requests for which it is known that their endpoints are closed until a time.
    pub(crate) fn refuse_until_opening(
        &mut self,
        opening: impl Fn(&Endpoints, &Claim, Instant) -> Option<Instant>,
        now: Instant,
    ) {
        let endpoints = &self.endpoints;
        let opens = |claim: &Claim| opening(endpoints, claim, now);
        let mut claims = self.backlog.remove(|claim| opens(claim).is_some());
        if let Some(admission) = &mut self.admission {
            claims.extend(admission.remove(|claim| opens(claim).is_some()));
        }
        for claim in claims {
            if let Some(first) = opens(&claim) {
                refuse_turned_away(claim, first, now);
            }
        }
    }

    /// Logs the endpoints that no longer turn requests away.
    pub(crate) fn review_statements(&mut self, now: Instant) {
        let reopened = self.endpoints.take_reopened(now);
        if reopened.is_empty() {
            return;
        }
        for endpoint in reopened {
            let details = format!(
                "endpoint={} incarnation={}",
                endpoint.name, endpoint.incarnation
            );
            self.log.emit(Event::EndpointOpened, &details);
        }
        self.publish_barriers(now);
    }
}

impl Handler<LearnStatement> for Pool {
    type Return = ();

    async fn handle(&mut self, message: LearnStatement, _: &mut Context<Self>) {
        let now = Instant::now();
        let (endpoint, incarnation) = (message.endpoint, message.incarnation);
        if message.leaving {
            let leaver = Leaver {
                endpoint,
                incarnation,
            };
            self.learn_leaver(leaver, true, now);
        }
        match message.retry_after {
            RetryAfter::Absent => {}
            RetryAfter::After(time) => self.close(endpoint, incarnation, time, now),
            RetryAfter::Bounded(time) => {
                self.note_unusable(&message);
                self.close(endpoint, incarnation, time, now);
            }
            RetryAfter::Unusable => self.note_unusable(&message),
        }
    }
}

impl Handler<Opening> for Pool {
    /// The delay after which the caller should return.
    type Return = Option<Duration>;

    async fn handle(&mut self, Opening(service): Opening, _: &mut Context<Self>) -> Self::Return {
        let now = Instant::now();
        let opens = self.endpoints.first_opening(service, &[], now)?;
        Some(retry_delay(opens, now))
    }
}
