//! Limits that endpoints state in their answers for the requests of all gateways together.

use std::time::Instant;

use daisyyard_core::endpoint::Endpoint;
use daisyyard_core::id::EndpointId;
use daisyyard_core::pool::Pool as Endpoints;
use daisyyard_core::throttle;
use xtra::{Context, Handler};

use crate::codec::{Limit, Receipt};
use crate::event::Event;
use crate::message::Claim;
use crate::pool::Pool;
use crate::proxy::Proxy;
use crate::statement::refuse_turned_away;

/// Reports what an answer states on the limit of an endpoint.
#[derive(Debug)]
pub(crate) struct LearnLimit {
    /// The endpoint.
    endpoint: EndpointId,
    /// Incarnation to which the request was sent.
    incarnation: u64,
    /// What the answer states.
    limit: Limit,
    /// When the request was placed.
    placed_at: Instant,
}

impl Proxy {
    /// Tells the pool what an answer to a request states on the limit of an endpoint, if it matters.
    pub(crate) async fn report_limit(
        &self,
        endpoint: &Endpoint,
        receipt: &Receipt,
        placed_at: Instant,
    ) {
        let genuine = receipt.signed || receipt.declined;
        let ends = receipt.limit == Limit::Absent && genuine && self.is_limited(endpoint.id);
        if ends || receipt.limit != Limit::Absent {
            let message = LearnLimit {
                endpoint: endpoint.id,
                incarnation: endpoint.incarnation,
                limit: receipt.limit,
                placed_at,
            };
            // The pool ends only with the process.
            let _ = self.pool.send(message).await;
        }
    }

    /// Returns whether an endpoint is limited as far as this gateway knows.
    fn is_limited(&self, endpoint: EndpointId) -> bool {
        self.limited.borrow().contains(&endpoint)
    }
}

impl Pool {
    /// Logs and publishes the endpoints whose limits have changed; returns whether any has.
    pub(crate) fn update_limits(&mut self, now: Instant) -> bool {
        let changes = self.endpoints.limit_changes(now);
        if changes.is_empty() {
            return false;
        }
        for change in &changes {
            let name = &change.endpoint.name;
            let source = if change.first_hand {
                "answer"
            } else {
                "digest"
            };
            let (event, rate) = match change.per_1000_s {
                Some(rate) => (
                    Event::EndpointLimited,
                    format!(" per_s={:.3}", f64::from(rate) / 1_000.0),
                ),
                None => (Event::EndpointUnlimited, String::new()),
            };
            let details = format!("endpoint={name}{rate} source={source}");
            self.log.emit(event, &details);
        }
        let limited: Vec<EndpointId> = self.endpoints.limited(now).collect();
        self.metrics.set_limited(limited.len());
        self.limited.send_replace(limited);
        true
    }

    /// Counts a limit that is no number, and logs the first of an incarnation.
    fn note_unusable_limit(&mut self, id: EndpointId, incarnation: u64) {
        self.metrics.record_statement("unusable");
        if self.endpoints.note_unusable(id, incarnation) {
            let name = self.endpoints.endpoint(id).map(|it| it.name.as_str());
            let name = name.unwrap_or("-");
            let details = format!("endpoint={name} incarnation={incarnation}");
            self.log.emit(Event::LimitUnusable, &details);
        }
    }

    /// Applies what another gateway has heard from endpoints.
    pub(crate) fn hear_limits(&mut self, reports: &[throttle::Report], now: Instant) {
        if !reports.is_empty() {
            self.endpoints.hear_limits(reports, now);
            self.update_limits(now);
        }
    }

    /// Refuses a request at once if all endpoints are limited and none opens in time for it; returns it
    /// otherwise.
    pub(crate) fn refuse_limited(&self, claim: Claim, now: Instant) -> Option<Claim> {
        match late_opening(&self.endpoints, &claim, now) {
            Some(opens) => {
                refuse_turned_away(claim, opens, now);
                None
            }
            None => Some(claim),
        }
    }

    /// Follows the limits that have begun, changed or ended.
    pub(crate) fn review_limits(&mut self, now: Instant) {
        self.update_limits(now);
        if !self.limited.borrow().is_empty() {
            self.refuse_until_opening(late_opening, now);
        }
    }
}

/// Returns when the first endpoint of a request opens, if all are limited and that is too late for it.
fn late_opening(endpoints: &Endpoints, claim: &Claim, now: Instant) -> Option<Instant> {
    let service = claim.need.service;
    let opens = endpoints.limited_opening(service, &claim.excluded, now)?;
    (opens > claim.schedule.expires).then_some(opens)
}

impl Handler<LearnLimit> for Pool {
    type Return = ();

    async fn handle(&mut self, message: LearnLimit, _: &mut Context<Self>) {
        let now = Instant::now();
        let per_1000_s = match message.limit {
            Limit::Rate(per_1000_s) => Some(per_1000_s),
            Limit::Absent => None,
            Limit::Unusable => {
                self.note_unusable_limit(message.endpoint, message.incarnation);
                return;
            }
        };
        let (id, incarnation) = (message.endpoint, message.incarnation);
        let placed_at = message.placed_at;
        self.endpoints
            .learn_limit(id, incarnation, per_1000_s, placed_at, now);
        if self.update_limits(now) {
            // The other gateways follow it too.
            self.changed.notify_one();
        }
    }
}
