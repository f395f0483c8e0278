//! Evacuated availability zones: nothing is sent to the endpoints of a zone while an order of the
//! operator to evacuate it stands.
//!
//! Nodes learn orders from reads of the store, from news and from digests, in any order, late and
//! repeatedly. Each order has the revision of the store at which it was given or revoked. The highest
//! revision wins, whatever its source, and a complete read decides only what was known up to its
//! revision, so that neither old reads nor late datagrams change what is known. Revisions of a later era
//! of the store are higher than all of an earlier one.

use std::collections::BTreeMap;
use std::time::Instant;

use daisyyard_derive::key;

use crate::candidate::Candidate;
use crate::id::{EndpointId, ServiceId, ZoneId};
use crate::outage::RELISTING_TIME;
use crate::pool::Pool;
use crate::revision::Revision;

/// Maximum number of zones whose orders are known, so that all of them fit into a digest.
pub const MAX_ZONES: usize = 16;

/// Whether a zone is evacuated, as of a revision of the store.
#[key]
pub struct Order {
    /// The zone.
    pub zone: ZoneId,
    /// Revision of the store at which the order was given or revoked.
    pub revision: Revision,
    /// Whether the zone is evacuated.
    pub standing: bool,
}

/// Effect of an order on what is known.
#[key]
pub enum Change {
    /// The evacuation of a zone starts at a revision.
    Started(ZoneId, Revision),
    /// The evacuation of a zone ends at a revision.
    Ended(ZoneId, Revision),
    /// The order has no effect, because too many zones are evacuated.
    Ignored(ZoneId, Revision),
}

/// The newest order for a zone.
#[derive(Debug, Clone, Copy)]
struct Entry {
    /// The order.
    order: Order,
    /// When an evacuation that this node had in force ended; none if there was none.
    ended_at: Option<Instant>,
    /// When the order is revoked unless it is written again, and the revision at which it is missing.
    missing: Option<(Instant, Revision)>,
}

/// The newest known order for each zone.
#[derive(Debug, Default)]
pub struct Register {
    /// Newest orders by zone. A revoked order is kept, so that an older one cannot replace it.
    zones: BTreeMap<ZoneId, Entry>,
    /// Revision up to which a zone that has no entry is not evacuated; unknown if there was no complete
    /// read.
    complete_at: Revision,
    /// Revision of the newest order that was ignored; none if none was since the last complete read.
    ignored_at: Option<Revision>,
}

impl Register {
    /// Records an order, and returns its effect unless an order that is as new is known.
    pub fn learn(&mut self, order: Order, now: Instant) -> Option<Change> {
        let absent = (self.complete_at, false);
        let known = match self.zones.get(&order.zone) {
            Some(Entry {
                missing: Some((_, revision)),
                ..
            }) => (*revision, false),
            Some(known) if known.order.standing => (known.order.revision, true),
            Some(known) => (known.order.revision, false).max(absent),
            None => absent,
        };
        if (order.revision, order.standing) <= known {
            return None;
        }
        if !self.zones.contains_key(&order.zone) && !self.make_room() {
            if !order.standing {
                return None;
            }
            self.ignored_at = self.ignored_at.max(Some(order.revision));
            return Some(Change::Ignored(order.zone, order.revision));
        }
        let entry = self.zones.entry(order.zone).or_insert(Entry {
            order: Order {
                standing: false,
                ..order
            },
            ended_at: None,
            missing: None,
        });
        entry.missing = None;
        let stood = std::mem::replace(&mut entry.order, order).standing;
        match (stood, order.standing) {
            (false, true) => Some(Change::Started(order.zone, order.revision)),
            (true, false) => {
                entry.ended_at = Some(now);
                Some(Change::Ended(order.zone, order.revision))
            }
            _ => None,
        }
    }

    /// Records all orders that are known at a revision: zones that are not among them are not
    /// evacuated at it. If the store has come back from a copy since such an order was given, the
    /// operator may still write it again, so that it stands a little longer.
    pub fn complete(&mut self, revision: Revision, orders: &[Order], now: Instant) -> Vec<Change> {
        let mut changes: Vec<Change> = orders
            .iter()
            .filter_map(|order| self.learn(*order, now))
            .collect();
        // An order of an earlier era is one that another node holds although the copy lacks it.
        let confirms = |order: &Order| order.standing && order.revision.era == revision.era;
        let stands = |zone| orders.iter().any(|one| one.zone == zone && confirms(one));
        for (zone, entry) in &mut self.zones {
            let order = entry.order;
            let precedes = order.revision < revision && !revision.is_unknown();
            if order.standing && precedes && !stands(*zone) {
                let lost = order.revision.era < revision.era;
                let until = if lost { now + RELISTING_TIME } else { now };
                let (_, missing_at) = entry.missing.get_or_insert((until, revision));
                *missing_at = revision.max(*missing_at);
            }
        }
        if !revision.is_unknown() {
            self.complete_at = self.complete_at.max(revision);
        }
        changes.extend(self.expire(now));
        let ignored = |change: &Change| matches!(change, Change::Ignored(..));
        if Some(revision) >= self.ignored_at && !changes.iter().any(ignored) {
            self.ignored_at = None;
        }
        changes
    }

    /// Revokes the orders that are not in the store and were not written again in time.
    pub fn expire(&mut self, now: Instant) -> Vec<Change> {
        let revocation = |entry: &mut Entry| {
            let (_, revision) = entry.missing.take_if(|(until, _)| *until <= now)?;
            Some(Order {
                revision,
                standing: false,
                ..entry.order
            })
        };
        let revoked: Vec<Order> = self.zones.values_mut().filter_map(revocation).collect();
        let revoked = revoked.into_iter();
        revoked.filter_map(|order| self.learn(order, now)).collect()
    }

    /// Returns the newest order for each zone.
    pub fn orders(&self) -> impl Iterator<Item = Order> {
        self.zones.values().map(|entry| entry.order)
    }

    /// Returns the revision up to which zones without an order are not evacuated; an unknown one if
    /// there was no complete read or an order was ignored after it.
    #[must_use]
    pub fn complete_at(&self) -> Revision {
        match self.ignored_at {
            None => self.complete_at,
            Some(_) => Revision::default(),
        }
    }

    /// Returns the orders that stand.
    pub fn standing(&self) -> impl Iterator<Item = Order> {
        self.orders().filter(|order| order.standing)
    }

    /// Returns whether a zone is evacuated.
    #[must_use]
    pub fn is_evacuated(&self, zone: ZoneId) -> bool {
        let entry = self.zones.get(&zone);
        entry.is_some_and(|entry| entry.order.standing)
    }

    /// Returns when the last evacuation of a zone ended; none if the zone is evacuated, or if this
    /// node had no evacuation of it in force.
    #[must_use]
    pub fn ended_at(&self, zone: ZoneId) -> Option<Instant> {
        let entry = self.zones.get(&zone)?;
        entry.ended_at.filter(|_| !entry.order.standing)
    }

    /// Makes room for the entry of another zone; returns whether there is any.
    fn make_room(&mut self) -> bool {
        if self.zones.len() < MAX_ZONES {
            return true;
        }
        let revoked = self.orders().filter(|order| !order.standing);
        let oldest = revoked.min_by_key(|order| order.revision);
        oldest.is_some_and(|order| self.zones.remove(&order.zone).is_some())
    }
}

impl Pool {
    /// Records an order to evacuate a zone, and returns its effect.
    pub fn learn_evacuation(&mut self, order: Order, now: Instant) -> Option<Change> {
        let change = self.evacuations.learn(order, now);
        self.apply_changes(change.as_slice(), now);
        change
    }

    /// Records all orders that are known at a revision, and returns their effects.
    pub fn complete_evacuations(
        &mut self,
        revision: Revision,
        orders: &[Order],
        now: Instant,
    ) -> Vec<Change> {
        let changes = self.evacuations.complete(revision, orders, now);
        self.apply_changes(&changes, now);
        changes
    }

    /// Revokes the orders that were not written again in time, and returns the effects.
    pub fn expire_evacuations(&mut self, now: Instant) -> Vec<Change> {
        let changes = self.evacuations.expire(now);
        self.apply_changes(&changes, now);
        changes
    }

    /// Returns the known orders.
    pub fn evacuations(&self) -> &Register {
        &self.evacuations
    }

    /// Returns whether an endpoint is in an evacuated zone.
    pub fn is_evacuated(&self, id: EndpointId) -> bool {
        let candidate = self.candidates.get(&id);
        candidate.is_some_and(|candidate| candidate.evacuated)
    }

    /// Returns whether any endpoint is in a zone.
    pub fn has_zone(&self, zone: ZoneId) -> bool {
        let mut candidates = self.candidates.values();
        candidates.any(|candidate| candidate.endpoint.zone.id == zone)
    }

    /// Returns whether only evacuations keep a service from being served: it has endpoints in
    /// evacuated zones, and all other ones are excluded or end.
    pub fn only_evacuated(
        &self,
        service: ServiceId,
        excluded: &[EndpointId],
        now: Instant,
    ) -> bool {
        let considered = |id: &EndpointId| !excluded.contains(id);
        let serves = |candidate: &Candidate| candidate.serves(service, now);
        let evacuated = |candidate: &Candidate| candidate.would_serve(service, now);
        let candidates = || self.candidates.iter().filter(|(id, _)| considered(id));
        candidates().any(|(_, candidate)| evacuated(candidate))
            && !candidates().any(|(_, candidate)| serves(candidate))
    }

    /// Marks the endpoints in evacuated zones, and those whose evacuation has ended as cold.
    fn apply_changes(&mut self, changes: &[Change], now: Instant) {
        for change in changes {
            if let Change::Ended(zone, _) = change {
                self.end_evacuation(*zone, now);
            }
        }
        for candidate in self.candidates.values_mut() {
            candidate.evacuated = self.evacuations.is_evacuated(candidate.endpoint.zone.id);
        }
    }
}
