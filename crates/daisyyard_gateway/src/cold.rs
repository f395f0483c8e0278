//! Requests to cold endpoints: the places that this gateway takes in their rates, and what it learns of
//! them.

use std::collections::HashMap;
use std::sync::Arc;
use std::time::{Duration, Instant};

use daisyyard_core::access::{Access, Reason};
use daisyyard_core::endpoint::Endpoint;
use daisyyard_core::id::ServiceId;
use daisyyard_core::rate::Place;
use daisyyard_core::warmup::{Allowance, ColdStart, Rule};
use xtra::{Context, Handler};

use crate::codec::Receipt;
use crate::event::Event;
use crate::message::{Claim, Enter, GiveBack, LearnCold, SetColdAllowance, SetColdStarts};
use crate::metrics::Metrics;
use crate::pool::Pool;
use crate::proxy::Proxy;

/// Least time between two questions for a place.
const MIN_PLACE_WAIT: Duration = Duration::from_millis(5);

/// Time between two questions where only a change of the gateways or of a limit brings a place.
const UNKNOWN_PLACE_WAIT: Duration = Duration::from_secs(1);

/// Time between two questions where the end of any run may bring room.
const ROOM_WAIT: Duration = Duration::from_millis(20);

/// What limits the requests to cold endpoints.
#[derive(Debug)]
pub(crate) struct Cold {
    /// What cold endpoints tolerate, by service.
    starts: HashMap<ServiceId, ColdStart>,
    /// How far requests may exceed that; none if they are not limited.
    allowance: Option<Allowance>,
    /// Changes of the list of gateways that the shares follow.
    listing: Option<u64>,
    /// Metrics of the gateway.
    metrics: Metrics,
}

impl Cold {
    /// Creates the state before the first configuration.
    pub(crate) fn new(allowance: Option<Allowance>, metrics: Metrics) -> Self {
        metrics.set_cold(0);
        Self {
            starts: HashMap::new(),
            allowance,
            listing: None,
            metrics,
        }
    }
}

impl Pool {
    /// Applies the bounds on the requests to cold endpoints.
    fn apply_cold_rules(&mut self) {
        let allowance = self.cold.allowance.as_ref();
        let rules = self.cold.starts.iter().filter_map(|(service, start)| {
            let rule = Rule::new(*start, allowance?)?;
            Some((*service, rule))
        });
        let rules = rules.collect();
        self.endpoints.set_cold_rules(rules);
    }

    /// Follows the list of gateways among which the rates are shared, and reports the endpoints that have
    /// become cold or warm.
    pub(crate) fn update_cold(&mut self, now: Instant) {
        let listing = Some(self.members.listing());
        // Before the first complete read, this gateway knows only a part of the list.
        if self.version.is_some()
            && self.cold.listing != listing
            && let Some(owners) = self.members.owners()
        {
            self.cold.listing = listing;
            self.endpoints.set_owners(self.own_id, &owners, now);
        }
        let changes = self.endpoints.cold_changes(now);
        if changes.is_empty() {
            return;
        }
        self.cold.metrics.set_cold(self.endpoints.cold_count(now));
        for change in changes {
            let Some(endpoint) = self.endpoints.endpoint(change.endpoint) else {
                continue;
            };
            let name = &endpoint.name;
            let (event, details) = match change.cold {
                Some(time) => (Event::EndpointCold, format!(" ms={}", time.as_millis())),
                None => (Event::EndpointWarm, String::new()),
            };
            self.log.emit(event, &format!("endpoint={name}{details}"));
        }
    }

    /// Counts a request that waits because endpoints of its service are cold.
    pub(crate) fn note_cold_wait(&self, mut claim: Claim, now: Instant) -> Claim {
        if !claim.waited_for_cold && self.endpoints.has_cold(claim.need.service, now) {
            claim.waited_for_cold = true;
            self.cold.metrics.record_cold("waited");
        }
        claim
    }

    /// Takes a place for a request to an endpoint that may leave now.
    pub(crate) fn take_place(&mut self, endpoint: &Arc<Endpoint>, now: Instant) -> Option<Place> {
        let place = self.endpoints.take_place(endpoint.id, now)?;
        if place.leave_by.is_none() && self.endpoints.has_cold(endpoint.service, now) {
            self.cold.metrics.record_cold("elsewhere");
        }
        Some(place)
    }
}

impl Proxy {
    /// Tells the pool if an endpoint states that it is cold.
    pub(crate) async fn report_cold(&self, endpoint: &Endpoint, receipt: &Receipt) {
        if let Some(time) = receipt.cold {
            let report = LearnCold(endpoint.id, endpoint.incarnation, time);
            // The pool ends only with the process.
            let _ = self.pool.send(report).await;
        }
    }

    /// Waits for a place at an endpoint at which a run is to resume; returns it with the time of the
    /// question, or none if the endpoint does not open within the timeout.
    pub(crate) async fn enter(
        &self,
        endpoint: &Endpoint,
        timeout: Duration,
    ) -> Option<(Option<Place>, Instant)> {
        let deadline = Instant::now() + timeout;
        loop {
            let asked_at = Instant::now();
            // The pool ends only with the process.
            let opens = match self.pool.send(Enter(endpoint.id)).await.unwrap_or(Ok(None)) {
                Ok(place) => return Some((place, asked_at)),
                Err(opens) => opens.max(Instant::now() + MIN_PLACE_WAIT),
            };
            if opens >= deadline {
                return None;
            }
            tokio::time::sleep_until(opens.into()).await;
        }
    }
}

impl Handler<Enter> for Pool {
    /// The place, if requests to the service or the endpoint are limited, or when to ask again.
    type Return = Result<Option<Place>, Instant>;

    async fn handle(&mut self, Enter(id): Enter, _: &mut Context<Self>) -> Self::Return {
        let now = Instant::now();
        match self.endpoints.resumption_access(id, now) {
            Some(Access::Closed(Reason::TurnedAway, _)) if self.endpoints.try_one(id, now) => {
                Ok(self.endpoints.take_resumption_place(id, now))
            }
            Some(Access::Closed(Reason::Brittle, _)) => Err(now + ROOM_WAIT),
            Some(Access::Closed(Reason::Cold | Reason::Limited | Reason::TurnedAway, opens)) => {
                Err(opens.unwrap_or(now + UNKNOWN_PLACE_WAIT))
            }
            _ => Ok(self.endpoints.take_resumption_place(id, now)),
        }
    }
}

impl Handler<GiveBack> for Pool {
    type Return = ();

    async fn handle(&mut self, GiveBack(id, place): GiveBack, _: &mut Context<Self>) {
        self.endpoints.give_back_place(id, place);
    }
}

impl Handler<LearnCold> for Pool {
    type Return = ();

    async fn handle(&mut self, message: LearnCold, _: &mut Context<Self>) {
        let LearnCold(id, incarnation, time) = message;
        let now = Instant::now();
        let before = self.endpoints.cold_count(now);
        self.endpoints.learn_cold(id, incarnation, time, now);
        if self.endpoints.cold_count(now) > before {
            self.update_cold(now);
            self.changed.notify_one();
        }
    }
}

impl Handler<SetColdStarts> for Pool {
    type Return = ();

    async fn handle(&mut self, SetColdStarts(starts): SetColdStarts, _: &mut Context<Self>) {
        self.cold.starts = starts;
        self.apply_cold_rules();
    }
}

impl Handler<SetColdAllowance> for Pool {
    type Return = ();

    async fn handle(&mut self, message: SetColdAllowance, _: &mut Context<Self>) {
        let SetColdAllowance(allowance) = message;
        if self.cold.allowance != allowance {
            self.cold.allowance = allowance;
            self.apply_cold_rules();
        }
    }
}
