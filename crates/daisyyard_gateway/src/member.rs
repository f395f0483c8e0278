//! The set of gateways as one of them knows it, from the store and from digests.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::{Duration, Instant};

use daisyyard_core::id::{self, InstanceId};
use daisyyard_core::roster::{Node, Role, Roster};
use serde::{Deserialize, Serialize};

use crate::peer::Member;
use crate::settings::Settings;

/// Time without a digest after which a serving member counts as lost. Members send several digests
/// per second.
const SILENCE_TIMEOUT: Duration = Duration::from_millis(1_500);
/// The same at a gateway in reserve, which gets fewer digests.
const RESERVE_SILENCE_TIMEOUT: Duration = Duration::from_millis(2_500);
/// Time between two divisions of the fleet if no member changes.
const ROSTER_INTERVAL: Duration = Duration::from_millis(500);
/// Time for which the entry of a gateway that sends digests may be unknown. Its entry is then read
/// from the store, as the news of it must be lost.
const UNLISTED_TIME: Duration = Duration::from_secs(8);
/// Maximum number of unlisted gateways that are remembered.
const MAX_UNLISTED: usize = 64;

/// Entry that a gateway writes about itself into the store.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Entry {
    /// Address for requests.
    pub requests: SocketAddr,
    /// Address for digests.
    pub digests: SocketAddr,
    /// Name of the availability zone.
    pub zone: String,
}

impl From<&Settings> for Entry {
    fn from(settings: &Settings) -> Self {
        Self {
            requests: settings.listen.requests,
            digests: settings.listen.digests,
            zone: settings.zone.clone(),
        }
    }
}

/// Recipients of a digest.
#[derive(Debug, Default)]
pub struct Targets {
    /// Gateways that serve callers, or did so recently; they get each digest.
    pub serving: Vec<SocketAddr>,
    /// The other gateways of the zone, which get fewer digests.
    pub reserve: Vec<SocketAddr>,
    /// Lost gateways that are asked for a digest.
    pub probed: Vec<SocketAddr>,
}

/// All gateways known to one of them, including itself.
#[derive(Debug)]
pub struct Members {
    /// Entry of this gateway.
    pub(crate) own_entry: Entry,
    /// Identifier of this gateway.
    pub(crate) own_id: InstanceId,
    /// Whether this gateway is offered to callers.
    pub(crate) offered: bool,
    /// Whether this gateway reaches the store.
    reaches_store: bool,
    /// Latest time up to which this gateway has read the store; none before the first read.
    pub(crate) store_read_at: Option<Instant>,
    /// Whether this gateway is cut off from the endpoints.
    pub(crate) isolated: bool,
    /// The other gateways.
    pub(crate) others: BTreeMap<InstanceId, Member>,
    /// When gateways that are not listed first sent a digest.
    unlisted: BTreeMap<InstanceId, Instant>,
    /// Whether this gateway's own entry is listed; none if it never was.
    pub(crate) own_listed: Option<bool>,
    /// Number of changes of the list of gateways.
    pub(crate) listing: u64,
    /// Division of the gateways.
    pub(crate) roster: Roster,
    /// When the gateways were last divided; none after a change.
    divided_at: Option<Instant>,
    /// Requests per second of the whole fleet.
    requests_per_s: f64,
}

impl Members {
    /// Creates the member set of a gateway that knows only itself and is not offered to callers
    /// yet.
    pub fn new(name: &str, own_entry: Entry) -> Self {
        Self {
            own_entry,
            own_id: id::of(name),
            offered: false,
            reaches_store: true,
            store_read_at: None,
            isolated: false,
            others: BTreeMap::new(),
            unlisted: BTreeMap::new(),
            own_listed: None,
            listing: 0,
            roster: Roster::default(),
            divided_at: None,
            requests_per_s: 0.0,
        }
    }

    /// Adds or updates a gateway by its entry.
    pub fn put(&mut self, name: &str, entry: Entry, now: Instant) {
        let id = id::of(name);
        if id == self.own_id {
            self.list_own(true);
            return;
        }
        let known = self.others.get(&id);
        let same = known.is_some_and(|member| member.entry == entry);
        if let Some(member) = self.others.get_mut(&id).filter(|_| same) {
            member.relist_deadline = None;
            return;
        }
        let member = Member {
            entry,
            last_heard: now,
            leaving: false,
            reaches_store: true,
            version: 0,
            isolated: false,
            expected_since: Some(now),
            lost_since: None,
            relist_deadline: None,
        };
        self.others.insert(id, member);
        self.unlisted.remove(&id);
        self.divided_at = None;
        self.listing += 1;
    }

    /// Removes a gateway whose entry was deleted, at once or at the deadline by which it may
    /// register again.
    pub fn remove(&mut self, name: &str, relist_deadline: Option<Instant>) {
        let id = id::of(name);
        if let (Some(deadline), Some(member)) = (relist_deadline, self.others.get_mut(&id)) {
            member.relist_deadline.get_or_insert(deadline);
        } else if id == self.own_id {
            self.list_own(false);
        } else {
            self.others.remove(&id);
            self.divided_at = None;
            self.listing += 1;
        }
    }

    /// Removes all gateways that a complete list does not name.
    pub fn retain(&mut self, names: &[String]) {
        let listed: Vec<InstanceId> = names.iter().map(|name| id::of(name)).collect();
        let before = self.others.len();
        self.others.retain(|id, _| listed.contains(id));
        self.listing += u64::from(self.others.len() != before);
        self.list_own(listed.contains(&self.own_id));
        self.unlisted.clear();
        self.divided_at = None;
    }

    /// Records a digest of a gateway that is not listed; returns whether it has sent digests for so
    /// long that its entry must have been missed. A reader of the store misses none.
    pub fn record_unlisted(&mut self, id: InstanceId, now: Instant) -> bool {
        if self.role() == Role::Reader {
            return false;
        }
        if self.unlisted.len() >= MAX_UNLISTED && !self.unlisted.contains_key(&id) {
            return false;
        }
        let since = *self.unlisted.entry(id).or_insert(now);
        now.saturating_duration_since(since) >= UNLISTED_TIME
    }

    /// Records a digest; returns whether its sender is known.
    pub fn record_digest(&mut self, id: InstanceId, leaving: bool, now: Instant) -> bool {
        let Some(member) = self.others.get_mut(&id) else {
            return false;
        };
        if member.leaving != leaving {
            member.leaving = leaving;
            self.divided_at = None;
        }
        self.record_heard(id, now)
    }

    /// Records a datagram that adds to a digest, which does not change whether its sender is leaving;
    /// returns whether the sender is known.
    pub fn record_heard(&mut self, id: InstanceId, now: Instant) -> bool {
        let Some(member) = self.others.get_mut(&id) else {
            return false;
        };
        member.last_heard = now;
        if member.lost_since.take().is_some() {
            self.divided_at = None;
        }
        true
    }

    /// Records whether another gateway reaches the store.
    pub fn record_reach(&mut self, id: InstanceId, reaches_store: bool) {
        if let Some(member) = self.others.get_mut(&id)
            && member.reaches_store != reaches_store
        {
            member.reaches_store = reaches_store;
            self.divided_at = None;
        }
    }

    /// Sets whether this gateway reaches the store.
    pub fn set_reach(&mut self, reaches_store: bool) {
        self.reaches_store = reaches_store;
        self.divided_at = None;
    }

    /// Returns whether this gateway reaches the store.
    pub fn reaches_store(&self) -> bool {
        self.reaches_store
    }

    /// Records that this gateway has read all changes of the store up to a time.
    pub fn record_store_read(&mut self, at: Instant) {
        self.store_read_at = self.store_read_at.max(Some(at));
    }

    /// Starts offering this gateway to callers.
    pub fn start_offering(&mut self) {
        self.offered = true;
    }

    /// Stops offering this gateway to callers.
    pub fn stop_offering(&mut self) {
        self.offered = false;
    }

    /// Returns the number of gateways that share the retry budget.
    pub fn count(&self) -> usize {
        self.others.len() + 1
    }

    /// Returns the number of gateways that serve callers.
    pub fn serving_count(&self) -> usize {
        self.roster.serving_count().max(1)
    }

    /// Returns the part of this gateway in the fleet.
    pub fn role(&self) -> Role {
        self.roster.role(self.own_id)
    }

    /// Returns the part of another gateway in the fleet.
    pub fn role_of(&self, id: InstanceId) -> Role {
        self.roster.role(id)
    }

    /// Returns whether another gateway serves callers.
    pub(crate) fn is_serving(&self, id: InstanceId) -> bool {
        self.roster.is_serving(id)
    }

    /// Returns whether a digest of another gateway has arrived recently.
    pub fn is_connected(&self, now: Instant) -> bool {
        let timeout = self.silence_timeout();
        let heard = |member: &Member| now.saturating_duration_since(member.last_heard) < timeout;
        self.others.values().any(heard)
    }

    /// Returns the addresses to which digests are sent.
    pub fn digest_targets(&self, now: Instant) -> Targets {
        let mut targets = Targets::default();
        for (id, member) in &self.others {
            // A gateway in reserve sends digests only while it has a part in the load.
            let heard = now.saturating_duration_since(member.last_heard) < SILENCE_TIMEOUT;
            if heard || self.roster.is_serving(*id) {
                targets.serving.push(member.entry.digests);
            } else if member.is_probed(now) {
                targets.probed.push(member.entry.digests);
            } else if member.entry.zone == self.own_entry.zone {
                targets.reserve.push(member.entry.digests);
            }
        }
        targets
    }

    /// Returns the addresses to which news of the store is sent.
    pub fn news_targets(&self) -> Vec<SocketAddr> {
        let entries = self.others.values().map(|member| member.entry.digests);
        entries.collect()
    }

    /// Sets the rate of requests to the whole fleet.
    pub fn set_request_rate(&mut self, requests_per_s: f64) {
        self.requests_per_s = requests_per_s;
    }

    /// Divides the gateways into those that serve callers and the others, if a member has changed or
    /// the last division is old.
    pub fn update_roster(&mut self, now: Instant) {
        let current = |divided_at| now.saturating_duration_since(divided_at) < ROSTER_INTERVAL;
        if self.divided_at.is_some_and(current) {
            return;
        }
        self.divided_at = Some(now);
        let timeout = self.silence_timeout();
        let partitioned = self.is_partitioned(now);
        for member in self.others.values_mut() {
            if !partitioned && member.is_silent(timeout, now) {
                member.lost_since.get_or_insert(now);
            }
        }
        let live = self.others.iter();
        let live = live.filter(|(_, member)| !member.leaving && member.lost_since.is_none());
        let live = live.map(|(id, member)| Node {
            id: *id,
            zone: id::of(&member.entry.zone),
            reaches_store: member.reaches_store,
        });
        let own = Node {
            id: self.own_id,
            zone: id::of(&self.own_entry.zone),
            reaches_store: self.reaches_store,
        };
        let nodes: Vec<Node> = std::iter::once(own).chain(live).collect();
        self.roster = Roster::new(&nodes, self.requests_per_s);
        let in_reserve = self.role() == Role::Reserve;
        for (id, member) in &mut self.others {
            let sends = !in_reserve || member.entry.zone == self.own_entry.zone;
            if sends && self.roster.is_serving(*id) {
                member.expected_since.get_or_insert(now);
            } else {
                member.expected_since = None;
            }
        }
    }

    /// Returns the time without a digest after which a serving gateway counts as lost.
    pub(crate) fn silence_timeout(&self) -> Duration {
        if self.role() == Role::Reserve {
            RESERVE_SILENCE_TIMEOUT
        } else {
            SILENCE_TIMEOUT
        }
    }
}
