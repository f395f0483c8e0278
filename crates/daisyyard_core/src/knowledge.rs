//! Age of what a node knows of the store, from its own reads and from reports of other nodes.
//!
//! A node that relies on others cannot tell a store in which nothing changes from readers that have
//! lost it. Nodes therefore report how old their knowledge is, and a node whose knowledge becomes too
//! old reads the store itself. The time that a report takes makes knowledge look younger, so reports
//! are passed on once at most: nodes that report to each other must not keep it young.

use std::time::{Duration, Instant};

use daisyyard_derive::key;

/// Age of the knowledge of a node, as the node reports it.
#[key]
pub struct Report {
    /// Time for which changes may be unknown to the node.
    pub age: Duration,
    /// Whether the node has read the store itself, rather than heard from another one.
    pub first_hand: bool,
}

/// When the knowledge of a node was last known to be complete.
#[derive(Debug)]
pub struct Knowledge {
    /// Age above which the knowledge is stale.
    max_age: Duration,
    /// Latest time up to which the node has read all changes; none before the first read.
    read_at: Option<Instant>,
    /// Latest time up to which another node knows no change that this one does not.
    told_at: Option<Instant>,
}

impl Knowledge {
    /// Creates the knowledge of a node that has not read anything.
    #[must_use]
    pub fn new(max_age: Duration) -> Self {
        Self {
            max_age,
            read_at: None,
            told_at: None,
        }
    }

    /// Records that the node has read all changes up to a time.
    pub fn read(&mut self, at: Instant) {
        self.read_at = self.read_at.max(Some(at));
    }

    /// Records the report of another node that knows no change that this one does not.
    pub fn hear(&mut self, report: Report, now: Instant) {
        self.told_at = self.told_at.max(now.checked_sub(report.age));
    }

    /// Returns the report of this node; none if it has nothing to report.
    #[must_use]
    pub fn report(&self, now: Instant) -> Option<Report> {
        let fresh = |at: Option<Instant>| {
            let age = now.saturating_duration_since(at?);
            (age <= self.max_age).then_some(age)
        };
        let report = |first_hand| move |age| Report { age, first_hand };
        let read = fresh(self.read_at).map(report(true));
        read.or_else(|| fresh(self.told_at).map(report(false)))
    }

    /// Returns whether the node must read the store itself.
    #[must_use]
    pub fn is_stale(&self, now: Instant) -> bool {
        self.report(now).is_none()
    }
}
