//! The set of gateways as one of them knows it, from the store and from digests.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::{Duration, Instant};

use daisyyard_core::id::{self, InstanceId};
use serde::{Deserialize, Serialize};

use crate::settings::Settings;

/// Time without a digest after which a member is no longer offered to callers. Members send several
/// digests per second.
const SILENCE_TIMEOUT: Duration = Duration::from_millis(1_500);
/// Maximum number of addresses in one response.
const MAX_ADDRESSES: usize = 64;
/// Minimum number of members in a caller's zone for which only that zone is offered; with fewer,
/// one failure could leave the caller without a gateway until it asks again.
const MIN_LOCAL_MEMBERS: usize = 2;

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

/// Another gateway.
#[derive(Debug)]
struct Member {
    /// Entry of the gateway in the store.
    entry: Entry,
    /// When the gateway was first listed or last sent a digest.
    last_heard: Instant,
    /// Whether the gateway reports that it is leaving.
    leaving: bool,
    /// When the gateway is removed unless its entry is written again.
    relist_deadline: Option<Instant>,
}

/// All gateways known to one of them, including itself.
#[derive(Debug)]
pub struct Members {
    /// Entry of this gateway.
    own_entry: Entry,
    /// Identifier of this gateway.
    own_id: InstanceId,
    /// Whether this gateway is offered to callers.
    offered: bool,
    /// The other gateways.
    others: BTreeMap<InstanceId, Member>,
}

impl Members {
    /// Creates the member set of a gateway that knows only itself and is not offered to callers
    /// yet.
    pub fn new(name: &str, own_entry: Entry) -> Self {
        Self {
            own_entry,
            own_id: id::of(name),
            offered: false,
            others: BTreeMap::new(),
        }
    }

    /// Adds or updates a gateway by its entry.
    pub fn put(&mut self, name: &str, entry: Entry, now: Instant) {
        let id = id::of(name);
        if id == self.own_id {
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
            relist_deadline: None,
        };
        self.others.insert(id, member);
    }

    /// Removes a gateway whose entry was deleted, at once or at the deadline by which it may
    /// register again.
    pub fn remove(&mut self, name: &str, relist_deadline: Option<Instant>) {
        let id = id::of(name);
        match (relist_deadline, self.others.get_mut(&id)) {
            (Some(deadline), Some(member)) => {
                member.relist_deadline.get_or_insert(deadline);
            }
            _ => {
                self.others.remove(&id);
            }
        }
    }

    /// Removes all gateways that a complete list does not name.
    pub fn retain(&mut self, names: &[String]) {
        let listed: Vec<InstanceId> = names.iter().map(|name| id::of(name)).collect();
        self.others.retain(|id, _| listed.contains(id));
    }

    /// Records a digest; returns whether its sender is known.
    pub fn record_digest(&mut self, id: InstanceId, leaving: bool, now: Instant) -> bool {
        let Some(member) = self.others.get_mut(&id) else {
            return false;
        };
        member.last_heard = now;
        member.leaving = leaving;
        true
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

    /// Returns the addresses to which digests are sent.
    pub fn digest_targets(&self) -> Vec<SocketAddr> {
        let entries = self.others.values().map(|member| member.entry.digests);
        entries.collect()
    }

    /// Returns the gateway addresses that a caller in a zone may use.
    ///
    /// If no digest has arrived recently from any gateway, this one is partitioned and cannot
    /// determine which of the others are alive, so it offers all of them.
    pub fn offer(&mut self, zone: &str, now: Instant) -> Vec<SocketAddr> {
        let expired = |member: &Member| {
            member
                .relist_deadline
                .is_some_and(|deadline| deadline <= now)
        };
        self.others.retain(|_, member| !expired(member));
        let silent =
            |member: &Member| now.saturating_duration_since(member.last_heard) >= SILENCE_TIMEOUT;
        let partitioned = self.others.values().all(silent);
        let others = self
            .others
            .values()
            .filter(|member| !member.leaving && (partitioned || !silent(member)))
            .map(|member| &member.entry);
        let own_entry = self.offered.then_some(&self.own_entry);
        let all: Vec<&Entry> = own_entry.into_iter().chain(others).collect();
        let local: Vec<&Entry> = all
            .iter()
            .copied()
            .filter(|entry| entry.zone == zone)
            .collect();
        let chosen = if local.len() >= MIN_LOCAL_MEMBERS {
            local
        } else {
            all
        };
        chosen
            .iter()
            .take(MAX_ADDRESSES)
            .map(|entry| entry.requests)
            .collect()
    }
}
