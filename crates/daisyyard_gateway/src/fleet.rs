//! What gateways tell each other: their digests, the changes that they read from the store, and the
//! parts that each of them has in the fleet.

use std::net::SocketAddr;
use std::time::{Duration, Instant};

use daisyyard_core::id::InstanceId;
use daisyyard_core::knowledge;
use daisyyard_core::roster::Role;
use xtra::{Context, Handler};

use crate::codec::{Item, Record};
use crate::evacuation::Source;
use crate::event::Event;
use crate::member::Targets;
use crate::message::{Digest, Lost, Report, ShareNews, Standing, StoreReach};
use crate::pool::Pool;

/// Time after which an unchanged entry of an endpoint is told to the other gateways again.
const RETELL_INTERVAL: Duration = Duration::from_secs(10);

impl Pool {
    /// Applies changes that another gateway has read from the store.
    fn apply_news(&mut self, report: Report, now: Instant) {
        let relist_time = report.relist_time;
        let relist_deadline = (!relist_time.is_zero()).then(|| now + relist_time);
        for item in report.news {
            let record = (self.codec.store.read_item)(&item);
            if let Record::Evacuation(name, order) = record {
                self.learn_evacuation(&name, order, Source::News, now);
                continue;
            }
            let id = match &record {
                Record::Endpoint(endpoint, _) => Some(endpoint.id),
                Record::Unlisted(id) => Some(*id),
                _ => None,
            };
            let Some(id) = id else {
                self.apply(record, relist_deadline, now);
                continue;
            };
            if self.endpoints.is_news(id, item.revision) {
                let read = self.endpoints.advance(item.revision);
                self.apply(record, relist_deadline, now);
                self.endpoints.advance(read);
            }
        }
    }

    /// Returns the part of this gateway in the fleet.
    pub(crate) fn current_standing(&self, now: Instant) -> Standing {
        Standing {
            gateways: self.members.count(),
            role: self.members.role(),
            connected: self.members.is_connected(now),
            stale: self.knowledge.is_stale(now),
            era: self.reported_era.max(self.endpoints.revision().era),
        }
    }

    /// Divides the fleet anew, and tells the watcher if the part of this gateway has changed.
    pub(crate) fn update_roster(&mut self, now: Instant) {
        let requests_per_s = self.retry_budget.request_rate(now);
        self.members.set_request_rate(requests_per_s);
        self.members.update_roster(now);
        self.update_cold(now);
        let new = self.current_standing(now);
        let changed = self.standing.send_if_modified(|standing| {
            let old = std::mem::replace(standing, new);
            old != new
        });
        if changed {
            let details = format!(
                "role={:?} told={} stale={} gateways={} era={}",
                new.role,
                new.is_told(),
                new.stale,
                new.gateways,
                new.era
            );
            self.log.emit(Event::StandingChanged, &details);
        }
    }

    /// Returns the age of what this gateway knows of the configuration. A gateway in reserve does not
    /// pass on what it has heard, because others may have passed that on to it.
    fn report_knowledge(&self, now: Instant) -> Option<knowledge::Report> {
        let report = self.version.and_then(|_| self.knowledge.report(now))?;
        let passes_on = self.members.role() != Role::Reserve;
        (report.first_hand || passes_on).then_some(report)
    }

    /// Applies the digest of another gateway.
    fn apply_report(&mut self, report: Report, now: Instant) {
        let from = report.from;
        self.endpoints.set_loads(from, &report.loads, now);
        self.endpoints.learn_paces(&report.paces);
        self.endpoints.learn_ejections(from, &report.ejections, now);
        self.retry_budget.learn(from, report.counts, now);
        for (id, revision) in report.departures {
            self.mark_leaving(id, revision);
        }
        // What the sender knows counts as known here only after this.
        let orders = &report.evacuations;
        self.complete_evacuations(report.evacuations_at, orders, Source::Digest, now);
        let outdated = self.version.unwrap_or(0) < report.version;
        let own_era = self.endpoints.revision().era;
        self.reported_era = self.reported_era.max(report.era);
        // A gateway in reserve hears no reader if there is none in its zone.
        let in_reserve = self.members.role() == Role::Reserve;
        let heard = report
            .knowledge
            .filter(|heard| heard.first_hand || in_reserve);
        if let Some(heard) = heard.filter(|_| !outdated && report.era <= own_era) {
            self.knowledge.hear(heard, now);
        }
        if self.is_incomplete(from, report.listing, now) || outdated {
            self.refresh.notify_one();
        }
    }

    /// Returns whether this gateway lacks endpoints that the readers of the store know, or the other
    /// way round. A gateway in reserve hears of the readers from those that serve.
    fn is_incomplete(&mut self, from: InstanceId, readers: u64, now: Instant) -> bool {
        let relayed = self.members.role_of(from) != Role::Reader;
        match self.members.role() {
            Role::Reader => false,
            // The readers reach this gateway directly, and a relayed value may be an older one.
            Role::Serving if relayed => false,
            Role::Serving | Role::Reserve => {
                let own = self.endpoints.listing();
                self.listing.compare(readers, own, now)
            }
        }
    }

    /// Returns the value of the set of endpoints that the readers of the store know.
    fn readers_listing(&self) -> u64 {
        if self.members.role() == Role::Reader {
            self.endpoints.listing()
        } else {
            self.listing.readers()
        }
    }

    /// Returns whether a change that this gateway has read is worth telling the others: they do not
    /// know it from their own reads, or were not told for so long that they may have missed it.
    pub(crate) fn is_worth_telling(&mut self, item: &Item, now: Instant) -> bool {
        match (self.codec.store.read_item)(item) {
            Record::Endpoint(endpoint, cold) => {
                let (id, revision) = (endpoint.id, endpoint.revision);
                let cold_news = self.endpoints.is_cold_news(id, revision, cold, now);
                let told = self.told_at.get(&endpoint.id);
                let due =
                    told.is_none_or(|at| now.saturating_duration_since(*at) >= RETELL_INTERVAL);
                let tells = self.endpoints.is_news(endpoint.id, item.revision)
                    && (due || self.endpoints.is_changed(&endpoint) || cold_news);
                if tells {
                    self.told_at.insert(endpoint.id, now);
                }
                tells
            }
            Record::Unlisted(id) => {
                self.told_at.remove(&id);
                self.endpoints.is_news(id, item.revision)
            }
            _ => true,
        }
    }
}

impl Handler<Digest> for Pool {
    /// The digest and its recipients.
    type Return = (Report, Targets);

    async fn handle(&mut self, _: Digest, _: &mut Context<Self>) -> Self::Return {
        let now = Instant::now();
        let evacuations = self.endpoints.evacuations();
        let report = Report {
            from: self.own_id,
            era: self.endpoints.revision().era,
            leaving: self.leaving,
            lost: Lost {
                store: !self.members.reaches_store(),
                endpoints: self.endpoints.is_isolated(),
            },
            version: self.version.unwrap_or(0),
            knowledge: self.report_knowledge(now),
            listing: self.readers_listing(),
            evacuations: evacuations.orders().collect(),
            evacuations_at: evacuations.complete_at(),
            continuation: false,
            ejections: self.endpoints.ejections(now).collect(),
            cold: self.endpoints.cold_reports(now).collect(),
            departures: self.endpoints.departures(now).collect(),
            leavers: self.endpoints.leavers(now).collect(),
            limits: self.endpoints.limit_reports(now).collect(),
            brittle: self.endpoints.brittle_reports(now).collect(),
            loads: self.endpoints.loads().collect(),
            paces: self.endpoints.paces().collect(),
            news: Vec::new(),
            relist_time: Duration::ZERO,
            counts: self.retry_budget.counts(now),
            evidence: Vec::new(),
            demand: self
                .admission
                .as_mut()
                .map(|admission| admission.report(now))
                .unwrap_or_default(),
        };
        // A gateway in reserve that has no part in the load has nothing to tell.
        let idle = report.loads.is_empty() && report.counts.is_empty();
        let mut targets = self.members.digest_targets(now);
        if idle && self.members.role() == Role::Reserve {
            targets.serving.clear();
            targets.reserve.clear();
            if report.lost.endpoints {
                targets.probed.extend(self.members.peers_to_ask(now));
            }
        }
        (report, targets)
    }
}

impl Handler<StoreReach> for Pool {
    type Return = ();

    async fn handle(&mut self, StoreReach(reaches): StoreReach, _: &mut Context<Self>) {
        self.members.set_reach(reaches);
        self.changed.notify_one();
    }
}

impl Handler<ShareNews> for Pool {
    type Return = (InstanceId, Vec<SocketAddr>);

    async fn handle(&mut self, _: ShareNews, _: &mut Context<Self>) -> Self::Return {
        (self.own_id, self.members.news_targets())
    }
}

impl Handler<Report> for Pool {
    type Return = ();

    async fn handle(&mut self, mut message: Report, _: &mut Context<Self>) {
        let now = Instant::now();
        let known = if message.continuation {
            self.members.record_heard(message.from, now)
        } else {
            self.members
                .record_digest(message.from, message.leaving, now)
        };
        if !known {
            if self.members.record_unlisted(message.from, now) {
                self.refresh.notify_one();
            }
            return;
        }
        if !message.continuation {
            let reaches_store = !message.lost.store;
            self.members.record_reach(message.from, reaches_store);
            let (version, isolated) = (message.version, message.lost.endpoints);
            if self.members.record_service(message.from, version, isolated) {
                self.endpoints.doubt_reach(now);
            }
        }
        if let Some(admission) = &mut self.admission {
            let demand = std::mem::take(&mut message.demand);
            // Waiting requests that exceed the room of a digest follow in a frame of their own.
            let digest = !message.continuation || !demand.waiting.is_empty();
            admission.learn(message.from, demand, digest, now);
        }
        self.learn_evidence(&message.evidence, now);
        self.endpoints.hear_cold(&message.cold, now);
        self.hear_leavers(&message.leavers, now);
        self.hear_limits(&message.limits, &message.brittle, now);
        if !message.news.is_empty() {
            self.apply_news(message, now);
        } else if message.continuation {
            self.endpoints.add_loads(message.from, &message.loads, now);
        } else {
            self.apply_report(message, now);
        }
        self.schedule();
    }
}
