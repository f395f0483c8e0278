//! Members: the gateways as one of them sees them, from the store and from their digests.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::{Duration, Instant};

use daisyyard_core::id::{self, InstanceId};
use serde::{Deserialize, Serialize};

use crate::settings::Settings;

/// Time without a digest after which a member is not offered to callers. Digests are sent several
/// times a second.
const SILENCE_TIMEOUT: Duration = Duration::from_millis(1_500);
/// Most addresses in one answer to a caller.
const MAX_ADDRESSES: usize = 64;
/// Least members in the zone of a caller for which only that zone is offered; one could fail
/// before the caller asks again.
const MIN_LOCAL_MEMBERS: usize = 2;

/// What a gateway writes of itself into the store.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Entry {
    /// Address for requests.
    pub requests: SocketAddr,
    /// Address for digests.
    pub digests: SocketAddr,
    /// Availability zone.
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

/// A gateway.
#[derive(Debug)]
struct Member {
    /// Its entry in the store.
    entry: Entry,
    /// When it was first seen or last heard from.
    last_heard: Instant,
    /// Whether it said that it is leaving.
    leaving: bool,
    /// When it counts as gone unless it is listed again.
    relist_deadline: Option<Instant>,
}

/// The gateways that one of them knows, itself included.
#[derive(Debug)]
pub struct Members {
    /// This gateway.
    own_entry: Entry,
    /// Identifier of this gateway.
    own_id: InstanceId,
    /// Whether this gateway may be offered to callers.
    offered: bool,
    /// The other gateways.
    others: BTreeMap<InstanceId, Member>,
}

impl Members {
    /// Creates the view of a gateway that knows only itself and serves nothing yet.
    pub fn new(name: &str, own_entry: Entry) -> Self {
        Self {
            own_entry,
            own_id: id::of(name),
            offered: false,
            others: BTreeMap::new(),
        }
    }

    /// Takes the entry of a gateway.
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

    /// Removes a gateway whose entry has ended, at once or after a time in which it may be listed
    /// again.
    pub fn remove(&mut self, name: &str, relist_deadline: Option<Instant>) {
        let id = id::of(name);
        match (relist_deadline, self.others.get_mut(&id)) {
            (Some(until), Some(member)) => {
                member.relist_deadline.get_or_insert(until);
            }
            _ => {
                self.others.remove(&id);
            }
        }
    }

    /// Keeps only the gateways that a complete list names.
    pub fn retain(&mut self, names: &[String]) {
        let listed: Vec<InstanceId> = names.iter().map(|name| id::of(name)).collect();
        self.others.retain(|id, _| listed.contains(id));
    }

    /// Notes a digest; returns whether the sender is known.
    pub fn record_digest(&mut self, id: InstanceId, leaving: bool, now: Instant) -> bool {
        let Some(member) = self.others.get_mut(&id) else {
            return false;
        };
        member.last_heard = now;
        member.leaving = leaving;
        true
    }

    /// Offers this gateway to callers.
    pub fn enable(&mut self) {
        self.offered = true;
    }

    /// Stops offering this gateway to callers.
    pub fn disable(&mut self) {
        self.offered = false;
    }

    /// Returns the number of gateways that share the allowance for repeated sends.
    pub fn count(&self) -> usize {
        self.others.len() + 1
    }

    /// Returns where digests are sent.
    pub fn digest_targets(&self) -> Vec<SocketAddr> {
        let entries = self.others.values().map(|member| member.entry.digests);
        entries.collect()
    }

    /// Returns the addresses that a caller in a zone may use.
    ///
    /// When no other gateway was heard from for a while, this one is cut off and cannot tell which
    /// of the others live, so all are offered.
    pub fn offer(&mut self, zone: &str, now: Instant) -> Vec<SocketAddr> {
        let expired = |member: &Member| member.relist_deadline.is_some_and(|until| until <= now);
        self.others.retain(|_, member| !expired(member));
        let silent =
            |member: &Member| now.saturating_duration_since(member.last_heard) >= SILENCE_TIMEOUT;
        let cut_off = self.others.values().all(silent);
        let others = self
            .others
            .values()
            .filter(|member| !member.leaving && (cut_off || !silent(member)))
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
