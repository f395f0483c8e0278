//! Admission of requests by what waiting and refusals cost callers; `daisyyard_core::gate` decides.

use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;
use std::time::{Duration, Instant};

use daisyyard_core::catalog::Client;
use daisyyard_core::gate::Gate;
use daisyyard_core::id::{AccountId, EndpointId, InstanceId, ServiceId, Tokens};
use daisyyard_core::outlook::Verdict;
use daisyyard_core::refusals::{self, Refusals, Refused};
use daisyyard_core::room::{FORECAST_LONG_RUN_SHARE, MAX_WAITING_PREFILL, Room};
use daisyyard_core::turn::Kind;
use xtra::{Context, Handler};

use crate::event::Event;
use crate::message::{Claim, Demand, Placement, ShareDemand};
use crate::metrics::Metrics;
use crate::pool::Pool;

/// Number of the heaviest accounts that the log and the metrics name.
const NAMED_ACCOUNTS: usize = 8;
/// Maximum number of account names in the metrics of a process, since the heaviest accounts change.
const MAX_LABELS: usize = 32;
/// Label of all other accounts.
const OTHER_ACCOUNTS: &str = "other";
/// Time without refusals after which the gateway no longer counts as shedding load.
const CALM_TIME: Duration = Duration::from_secs(10);
/// Time between two log lines on the heaviest accounts while load is shed.
const WORKLOAD_LOG_INTERVAL: Duration = Duration::from_secs(10);

/// What became of a request, as far as the admission decides.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Outcome {
    /// It started in time.
    Served,
    /// It started after the time by which its first token would be in time.
    Late,
    /// It was refused.
    Refused,
}

/// Requests of one account since the last log line.
#[derive(Debug, Clone, Copy, Default)]
struct Figures {
    /// Requests that started in time.
    served: u32,
    /// Requests that started late.
    late: u32,
    /// Requests that were refused.
    refused: u32,
}

/// Admission of a gateway by costs.
#[derive(Debug)]
pub(crate) struct Admission {
    /// Waiting requests, and what is known of capacity and demand.
    pub(crate) gate: Gate<Claim>,
    /// Requests that were refused lately.
    refusals: Refusals,
    /// Names of the accounts that the metrics show.
    labels: BTreeSet<String>,
    /// Figures by account.
    figures: BTreeMap<AccountId, (String, Figures)>,
    /// When requests were last refused while load is shed.
    shed_at: Option<Instant>,
    /// When the figures were last logged.
    logged_at: Instant,
    /// Metrics of the gateway.
    metrics: Metrics,
}

impl Admission {
    /// Creates the admission of a gateway without requests.
    pub(crate) fn new(seed: u64, metrics: Metrics) -> Self {
        Self {
            gate: Gate::new(seed),
            refusals: Refusals::default(),
            labels: BTreeSet::new(),
            figures: BTreeMap::new(),
            shed_at: None,
            logged_at: Instant::now(),
            metrics,
        }
    }

    /// Records the time for which a run held its memory.
    pub(crate) fn observe_hold(&mut self, kind: Kind, hold: Duration) {
        self.gate.forecast.observe_hold(kind, hold);
    }

    /// Records the time from the start of a run to its first token.
    pub(crate) fn observe_lead(&mut self, kind: Kind, lead: Duration) {
        self.gate.forecast.observe_lead(kind, lead);
    }

    /// Counts a request that arrives; one that returns after a refusal gets its first place.
    fn arrive(&mut self, claim: &mut Claim, now: Instant) {
        let content = refusals::content(claim.contents.first().copied().unwrap_or_default());
        if claim.excluded.is_empty()
            && let Some(place) = self.refusals.take(content, now)
        {
            let ask = &mut claim.ask;
            let passed = ask.place.saturating_duration_since(place);
            ask.target = ask.target.checked_sub(passed).unwrap_or(ask.target);
            ask.place = place;
        }
        self.gate.arrive(&claim.ask, now);
    }

    /// Refuses a request.
    fn refuse(&mut self, claim: Claim, delay: Duration, now: Instant) {
        let content = refusals::content(claim.contents.first().copied().unwrap_or_default());
        let place = claim.ask.place;
        self.refusals.refuse(Refused { content, place }, now);
        self.shed_at = Some(now);
        self.count(claim.client.as_ref(), Outcome::Refused);
        // If the caller has disconnected, nobody needs the refusal.
        let _ = claim.reply.send(Placement::Shed(delay));
    }

    /// Removes and returns the waiting requests that satisfy the predicate.
    pub(crate) fn remove(&mut self, predicate: impl Fn(&Claim) -> bool) -> Vec<Claim> {
        self.gate.remove(predicate)
    }

    /// Counts the fate of a request for the log and the metrics.
    pub(crate) fn count(&mut self, client: Option<&Arc<Client>>, fate: Outcome) {
        let account = client.map(|client| &client.account);
        let (id, name) = account.map_or((0, "-"), |account| (account.id, &account.name));
        let heavy = self.gate.workload.heaviest(NAMED_ACCOUNTS).contains(&id);
        let known = self.labels.contains(name);
        let label = if known || heavy && self.labels.len() < MAX_LABELS {
            self.labels.insert(name.to_owned());
            name
        } else {
            OTHER_ACCOUNTS
        };
        let outcome = match fate {
            Outcome::Served => "served",
            Outcome::Late => "late",
            Outcome::Refused => "refused",
        };
        self.metrics.record_admission(label, outcome);
        if !heavy {
            return;
        }
        let (_, figures) = self
            .figures
            .entry(id)
            .or_insert_with(|| (name.to_owned(), Figures::default()));
        match fate {
            Outcome::Served => figures.served += 1,
            Outcome::Late => figures.late += 1,
            Outcome::Refused => figures.refused += 1,
        }
    }

    /// Returns the figures of the heaviest accounts as text, and starts new ones.
    fn take_figures(&mut self) -> String {
        let heaviest = self.gate.workload.heaviest(NAMED_ACCOUNTS);
        let mut figures = std::mem::take(&mut self.figures);
        let lines = heaviest.into_iter().filter_map(|account| {
            let above = self.gate.workload.exceeds_share(account);
            let (name, figures) = figures.remove(&account)?;
            let Figures {
                served,
                late,
                refused,
            } = figures;
            Some(format!("{name}:{served}/{late}/{refused}/{above}"))
        });
        lines.collect::<Vec<_>>().join(",")
    }

    /// Returns what other gateways are told in each digest.
    pub(crate) fn report(&mut self, now: Instant) -> Demand {
        Demand {
            waiting: self.gate.waiting(now),
            refused: self.refusals.report(now),
            ..Demand::default()
        }
    }

    /// Applies what another gateway has told.
    pub(crate) fn learn(&mut self, from: InstanceId, demand: Demand, digest: bool, now: Instant) {
        if digest {
            self.gate.learn_waiting(from, demand.waiting, now);
        }
        for refused in demand.refused {
            self.refusals.learn(refused, now);
        }
        if !demand.accounts.is_empty() {
            self.gate.workload.learn(from, demand.accounts, now);
        }
        if !demand.streams.is_empty() {
            self.gate.forecast.learn(from, demand.streams, now);
        }
    }
}

impl Pool {
    /// Returns whether requests wait.
    pub(crate) fn has_waiting(&self) -> bool {
        match &self.admission {
            Some(admission) => !admission.gate.is_empty(),
            None => !self.backlog.is_empty(),
        }
    }

    /// Returns the delay after which a waiting request is started, if requests are admitted by costs.
    /// Gateways whose first waiting request has an earlier turn go first.
    pub(crate) fn start_delay(&self, interval: Duration) -> Option<Duration> {
        let admission = self.admission.as_ref()?;
        let before = admission.gate.nodes_before(Instant::now()) as f64;
        Some(interval.mul_f64(before + rand::random_range(0.0..1.0)))
    }

    /// Returns the room at a service whose engines have this memory.
    fn room(&self, service: ServiceId, memory: Tokens, now: Instant) -> Room {
        let admission = self.admission.as_ref();
        let short = admission.map(|admission| admission.gate.forecast.reserve(service, 0).size);
        let short = short.unwrap_or_default();
        self.endpoints.room(service, memory, short, now)
    }

    /// Tries to start a claim at endpoints other than some; returns it if it cannot start.
    fn grant_beside(
        &mut self,
        mut claim: Claim,
        kept: &[EndpointId],
        now: Instant,
    ) -> Option<Claim> {
        let tried = claim.excluded.len();
        claim.excluded.extend_from_slice(kept);
        let mut claim = self.grant(claim, now)?;
        claim.excluded.truncate(tried);
        Some(claim)
    }

    /// Starts a request that arrives, lets it wait, or refuses it.
    pub(crate) fn admit(&mut self, claim: Claim, now: Instant) {
        let Some(mut claim) = self.refuse_if_evacuated(claim, now) else {
            return;
        };
        let Some(mut admission) = self.admission.take() else {
            return;
        };
        admission.arrive(&mut claim, now);
        self.admission = Some(admission);
        let (ask, client) = (claim.ask, claim.client.clone());
        let room = self.room(ask.kind.service, claim.need.memory, now);
        let Some(admission) = &self.admission else {
            return;
        };
        let gate = &admission.gate;
        let claim = if gate.may_start(&ask, &room, now) {
            let kept = gate.kept_endpoints(ask.kind, now);
            self.grant_beside(claim, &kept, now)
        } else {
            Some(claim)
        };
        let Some(admission) = &mut self.admission else {
            return;
        };
        let Some(claim) = claim else {
            admission.gate.count_start(&ask, now);
            admission.count(client.as_ref(), fate(ask.target, now));
            return;
        };
        match admission.gate.judge(&ask, &room, now) {
            Verdict::Wait => {
                admission.gate.push(ask, claim);
                self.schedule();
                // Other gateways order their waiting requests by this one too.
                self.changed.notify_one();
            }
            Verdict::Refuse(delay) => self.shed(claim, delay, now),
        }
    }

    /// Refuses a request, and logs the first refusal for some time.
    fn shed(&mut self, claim: Claim, delay: Duration, now: Instant) {
        let Some(admission) = &mut self.admission else {
            return;
        };
        if admission.shed_at.is_none() {
            let details = format!(
                "shedding=true waiting={} retry_ms={}",
                admission.gate.len(),
                delay.as_millis()
            );
            self.log.emit(Event::SheddingChanged, &details);
        }
        admission.refuse(claim, delay, now);
    }

    /// Returns the room at the services for which requests wait.
    fn rooms(&self, now: Instant) -> BTreeMap<ServiceId, Room> {
        let Some(admission) = &self.admission else {
            return BTreeMap::new();
        };
        let services = admission.gate.services().into_iter();
        let rooms =
            services.map(|(service, claim)| (service, self.room(service, claim.need.memory, now)));
        rooms.collect()
    }

    /// Starts the waiting request whose turn it is, and schedules the next; returns whether requests are
    /// admitted by costs.
    pub(crate) fn start_admitted(&mut self, now: Instant) -> bool {
        let Some(admission) = &mut self.admission else {
            return false;
        };
        drop(admission.gate.remove(|claim| claim.reply.is_closed()));
        let rooms = self.rooms(now);
        let Some(mut admission) = self.admission.take() else {
            return false;
        };
        let mut granted = None;
        let started = admission.gate.start(&rooms, now, |claim, kept| {
            let outcome = (claim.client.clone(), fate(claim.ask.target, now));
            let rest = self.grant_beside(claim, kept, now);
            if rest.is_none() {
                granted = Some(outcome);
            }
            rest
        });
        if let Some((client, fate)) = granted {
            admission.count(client.as_ref(), fate);
        }
        self.admission = Some(admission);
        // If nothing could start, the next change in the pool schedules another attempt.
        if started {
            self.schedule();
        }
        true
    }

    /// Judges the waiting requests again, and logs what the heaviest accounts get while load is shed.
    pub(crate) fn review_admission(&mut self, now: Instant) {
        if self.admission.is_none() {
            return;
        }
        self.endpoints
            .limit_engines(FORECAST_LONG_RUN_SHARE, MAX_WAITING_PREFILL);
        let rooms = self.rooms(now);
        let Some(admission) = &mut self.admission else {
            return;
        };
        drop(admission.gate.remove(|claim| claim.reply.is_closed()));
        for (_, claim, delay) in admission.gate.review(&rooms, now) {
            self.shed(claim, delay, now);
        }
        let Some(admission) = &mut self.admission else {
            return;
        };
        let Some(shed_at) = admission.shed_at else {
            return;
        };
        if now.saturating_duration_since(admission.logged_at) >= WORKLOAD_LOG_INTERVAL {
            admission.logged_at = now;
            let accounts = admission.take_figures();
            let details = format!("served/late/refused/above_share={accounts}");
            self.log.emit(Event::AccountWorkload, &details);
        }
        if now.saturating_duration_since(shed_at) >= CALM_TIME {
            admission.shed_at = None;
            let details = format!("shedding=false waiting={}", admission.gate.len());
            self.log.emit(Event::SheddingChanged, &details);
        }
    }
}

/// Returns the fate of a request that starts now.
fn fate(target: Instant, now: Instant) -> Outcome {
    if now <= target {
        Outcome::Served
    } else {
        Outcome::Late
    }
}

impl Handler<ShareDemand> for Pool {
    /// This gateway, whether it is leaving, and its demand.
    type Return = Option<(InstanceId, bool, Demand)>;

    async fn handle(&mut self, _: ShareDemand, _: &mut Context<Self>) -> Self::Return {
        let now = Instant::now();
        let admission = self.admission.as_ref()?;
        let demand = Demand {
            accounts: admission.gate.workload.report(now),
            streams: admission.gate.forecast.report(now),
            ..Demand::default()
        };
        Some((self.own_id, self.leaving, demand))
    }
}
