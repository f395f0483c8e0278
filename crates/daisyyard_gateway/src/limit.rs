//! Limits that endpoints state in their answers for the requests of all gateways together, and how many
//! they survive turning away.

use std::time::Instant;

use daisyyard_core::brittleness::Statement;
use daisyyard_core::endpoint::Endpoint;
use daisyyard_core::id::EndpointId;
use daisyyard_core::limit::Change;
use daisyyard_core::pool::Pool as Endpoints;
use daisyyard_core::throttle;
use xtra::{Context, Handler};

use crate::codec::{Limit, Receipt};
use crate::event::Event;
use crate::message::Claim;
use crate::pool::Pool;
use crate::proxy::Proxy;
use crate::statement::refuse_turned_away;

/// A limit that is no number, which changes nothing.
#[derive(Debug)]
struct Unusable;

/// Reports what an answer states on the limit and the brittleness of an endpoint.
#[derive(Debug)]
pub(crate) struct LearnLimit {
    /// The endpoint.
    endpoint: EndpointId,
    /// Incarnation to which the request was sent.
    incarnation: u64,
    /// The limit in the answer.
    limit: Limit,
    /// How many requests the endpoint survives turning away.
    brittle: Limit,
    /// Whether it turned the request away.
    turned_away: bool,
    /// When the request was placed.
    placed_at: Instant,
}

impl Proxy {
    /// Tells the pool what an answer to a request states on the limit and the brittleness of an endpoint,
    /// if it matters.
    pub(crate) async fn report_limit(
        &self,
        endpoint: &Endpoint,
        receipt: &Receipt,
        placed_at: Instant,
    ) {
        let genuine = receipt.signed || receipt.declined;
        let states = receipt.limit != Limit::Absent || receipt.brittle != Limit::Absent;
        if states || (genuine && self.is_limited(endpoint.id)) {
            let message = LearnLimit {
                endpoint: endpoint.id,
                incarnation: endpoint.incarnation,
                limit: receipt.limit,
                brittle: receipt.brittle,
                turned_away: receipt.declined,
                placed_at,
            };
            // The pool ends only with the process.
            let _ = self.pool.send(message).await;
        }
    }

    /// Returns whether an endpoint is limited or brittle as far as this gateway knows.
    fn is_limited(&self, endpoint: EndpointId) -> bool {
        self.limited.borrow().contains(&endpoint)
    }
}

impl Pool {
    /// Logs and publishes the endpoints whose limits or brittleness have changed; returns whether any
    /// has.
    pub(crate) fn update_limits(&mut self, now: Instant) -> bool {
        let limits = self.endpoints.limit_changes(now);
        let brittle = self.endpoints.brittle_changes(now);
        if limits.is_empty() && brittle.is_empty() {
            return false;
        }
        self.log_changes(&limits, Event::EndpointLimited, Event::EndpointUnlimited);
        self.log_changes(&brittle, Event::EndpointBrittle, Event::EndpointSound);
        let mut limited: Vec<EndpointId> = self.endpoints.limited(now).collect();
        self.metrics.set_limited(limited.len());
        let known = limited.len();
        limited.extend(self.endpoints.brittle(now));
        self.metrics.set_brittle(limited.len() - known);
        self.limited.send_replace(limited);
        true
    }

    /// Logs endpoints that have begun or ceased to state a rate.
    fn log_changes(&self, changes: &[Change], begins: Event, ends: Event) {
        for change in changes {
            let (event, rate) = match change.per_1000_s {
                Some(rate) => (begins, format!(" per_s={:.3}", f64::from(rate) / 1_000.0)),
                None => (ends, String::new()),
            };
            let (name, source) = (&change.endpoint.name, change.source.name());
            let details = format!("endpoint={name}{rate} source={source}");
            self.log.emit(event, &details);
        }
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
    pub(crate) fn hear_limits(
        &mut self,
        limits: &[throttle::Report],
        brittle: &[throttle::Report],
        now: Instant,
    ) {
        if !limits.is_empty() || !brittle.is_empty() {
            self.endpoints.hear_limits(limits, now);
            self.endpoints.hear_brittle(brittle, now);
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

/// Returns the rate that an answer states, or an error if it is no number.
fn stated_rate(limit: Limit) -> Result<Option<u32>, Unusable> {
    match limit {
        Limit::Rate(per_1000_s) => Ok(Some(per_1000_s)),
        Limit::Absent => Ok(None),
        Limit::Unusable => Err(Unusable),
    }
}

impl Handler<LearnLimit> for Pool {
    type Return = ();

    async fn handle(&mut self, message: LearnLimit, _: &mut Context<Self>) {
        let now = Instant::now();
        let (id, incarnation) = (message.endpoint, message.incarnation);
        let placed_at = message.placed_at;
        match stated_rate(message.limit) {
            Ok(per_1000_s) => {
                self.endpoints
                    .learn_limit(id, incarnation, per_1000_s, placed_at, now);
            }
            Err(Unusable) => self.note_unusable_limit(id, incarnation),
        }
        match stated_rate(message.brittle) {
            Ok(per_1000_s) => {
                let statement = Statement {
                    per_1000_s,
                    turned_away: message.turned_away,
                    placed_at,
                };
                self.endpoints
                    .learn_brittle(id, incarnation, statement, now);
            }
            Err(Unusable) => self.note_unusable_limit(id, incarnation),
        }
        if self.update_limits(now) {
            // The other gateways follow it too.
            self.changed.notify_one();
        }
    }
}
