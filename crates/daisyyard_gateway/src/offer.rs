//! Which gateways callers are offered, and when those that are silent count as lost.

use std::net::SocketAddr;
use std::time::{Duration, Instant};

use daisyyard_core::id::InstanceId;

use crate::isolation;
use crate::member::{Entry, Members};
use crate::peer::Member;

/// Maximum number of addresses in one response.
const MAX_ADDRESSES: usize = 64;
/// Minimum number of members in a caller's zone for which only that zone is offered; with fewer,
/// one failure could leave the caller without a gateway until it asks again.
const MIN_LOCAL_MEMBERS: usize = 2;

impl Members {
    /// Returns whether this gateway may be the one that is cut off, so that it cannot tell which of the
    /// others are lost: all that should send digests are silent, and the store does not show that it
    /// is connected.
    pub(crate) fn is_partitioned(&self, now: Instant) -> bool {
        let timeout = self.silence_timeout();
        let present = self.others.values();
        let mut present = present.filter(|member| member.lost_since.is_none());
        let silent =
            |member: &Member| member.expected_since.is_none() || member.is_silent(timeout, now);
        present.all(silent) && !self.is_otherwise_connected(timeout)
    }

    /// Returns whether this gateway reaches endpoints, and has read the store after all others had been
    /// silent for the timeout: it is they who are lost then.
    fn is_otherwise_connected(&self, timeout: Duration) -> bool {
        let others = self.others.values();
        let expected =
            others.filter_map(|member| Some(member.expected_since?.max(member.last_heard)));
        let last_heard = expected.max();
        !self.isolated && last_heard.is_some_and(|at| self.store_read_at >= Some(at + timeout))
    }

    /// Returns the gateway addresses that a caller in a zone may use.
    ///
    /// While this gateway may be the one that is cut off, it offers all that were present before.
    pub fn offer(&mut self, zone: &str, now: Instant) -> Vec<SocketAddr> {
        let expired = |member: &Member| {
            member
                .relist_deadline
                .is_some_and(|deadline| deadline <= now)
        };
        let before = self.others.len();
        self.others.retain(|_, member| !expired(member));
        self.listing += u64::from(self.others.len() != before);
        self.update_roster(now);
        let timeout = self.silence_timeout();
        let partitioned = self.is_partitioned(now);
        let serves = |id: &InstanceId, member: &Member| {
            self.roster.is_serving(*id) && !member.is_silent(timeout, now)
        };
        let others = self.others.iter();
        let others = others.filter(|(_, member)| !member.leaving && member.lost_since.is_none());
        let others = others.filter(|(id, member)| partitioned || serves(id, member));
        let others = others.map(|(_, member)| (&member.entry, member.is_isolated(timeout, now)));
        let offers_itself = self.offered && self.roster.is_serving(self.own_id);
        let own_entry = offers_itself.then_some((&self.own_entry, self.isolated));
        let all = isolation::leave_out(own_entry.into_iter().chain(others).collect());
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
