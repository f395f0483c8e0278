//! The gateways among which the rates of cold endpoints are shared.

use daisyyard_core::id::{self, InstanceId};
use daisyyard_core::roster::{Node, Roster};

use crate::member::Members;

impl Members {
    /// Records whether this gateway's own entry is listed.
    pub(crate) fn list_own(&mut self, listed: bool) {
        if listed || self.own_listed.is_some() {
            self.listing += u64::from(self.own_listed != Some(listed));
            self.own_listed = Some(listed);
        }
    }

    /// Returns the number of changes of the list of gateways.
    pub fn listing(&self) -> u64 {
        self.listing
    }

    /// Returns the gateways among which the rates of cold endpoints are shared: those that serve callers
    /// at least, if all listed ones run. Digests do not change them, so that gateways that do not hear
    /// each other agree. Returns none if the others do not count this gateway any more, because its own
    /// entry is gone; its shares then stay as they were.
    pub fn owners(&self) -> Option<Vec<InstanceId>> {
        let entries = self.others.iter().map(|(id, member)| (*id, &member.entry));
        let all = entries.chain([(self.own_id, &self.own_entry)]);
        let nodes = all.map(|(id, entry)| Node {
            id,
            zone: id::of(&entry.zone),
            reaches_store: true,
        });
        let nodes: Vec<Node> = nodes.collect();
        let counted = self.own_listed != Some(false);
        counted.then(|| Roster::new(&nodes, 0.0).serving().collect())
    }
}
