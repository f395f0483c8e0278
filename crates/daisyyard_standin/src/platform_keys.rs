//! Keys, leases, watches and change history of the platform's store, owned by one task.

use std::collections::{BTreeMap, HashMap, VecDeque};
use std::time::{Duration, Instant};

use serde_json::{Value, json};
use tokio::sync::{mpsc, oneshot};

/// Time between two checks for expired leases and watches.
const CHECK_INTERVAL: Duration = Duration::from_millis(5);
/// Time between two copies of the keys.
const COPY_INTERVAL: Duration = Duration::from_millis(250);
/// Maximum number of copies.
const MAX_COPIES: usize = 60;

/// Message to the task that owns the keys.
#[derive(Debug)]
pub(crate) enum Command {
    /// Read the items whose keys have a prefix, as they were this long ago.
    Range(String, Duration, oneshot::Sender<Value>),
    /// Wait for changes after a revision, up to a deadline.
    Watch(Watch),
    /// Write and delete keys in one revision.
    Write {
        /// Keys with their values and leases; lease 0 stands for none.
        puts: Vec<(String, String, u64)>,
        /// Keys to delete.
        removed: Vec<String>,
        /// Receives the new revision, or nothing if one of the leases does not exist.
        reply: oneshot::Sender<Option<u64>>,
    },
    /// Grant a lease with a lifetime; receives its identifier.
    Grant(Duration, oneshot::Sender<u64>),
    /// Restart the lifetime of a lease; receives whether the lease exists.
    Renew(u64, oneshot::Sender<bool>),
    /// Revoke a lease and delete its keys.
    Revoke(u64),
    /// Discard the history of changes and fail the waiting watches.
    Compact,
    /// Continue from the newest copy that has at least this age, and fail the waiting watches.
    Restore(Duration),
}

/// A watch that waits for changes.
#[derive(Debug)]
pub(crate) struct Watch {
    /// Prefix of the watched keys.
    pub(crate) prefix: String,
    /// Last revision that the caller has.
    pub(crate) after: u64,
    /// Time when the watch is answered even without changes.
    pub(crate) deadline: Instant,
    /// Receives the response, or nothing if the history after the revision was discarded.
    pub(crate) reply: oneshot::Sender<Option<Value>>,
}

/// A lease that has not ended.
#[derive(Debug, Clone)]
struct Lease {
    /// Lifetime after the grant and after each renewal.
    lifetime: Duration,
    /// Time when the lease expires unless it is renewed.
    expires_at: Instant,
}

/// State of the store.
#[derive(Debug, Default)]
struct Keys {
    /// Revision of the last write.
    revision: u64,
    /// Items by key, in the JSON format of the responses.
    items: BTreeMap<String, Value>,
    /// Changes since the last compaction: revision, key and event as JSON.
    events: Vec<(u64, String, Value)>,
    /// Revision up to which the history was discarded.
    compacted_revision: u64,
    /// Leases by identifier.
    leases: HashMap<u64, Lease>,
    /// Identifier of the last lease.
    last_lease: u64,
    /// Watches that wait for changes.
    watches: Vec<Watch>,
    /// Copies of the keys with their times, the oldest first.
    copies: VecDeque<(Instant, Copy)>,
}

/// What a copy of the store holds.
#[derive(Debug, Clone)]
struct Copy {
    /// Revision of the last write.
    revision: u64,
    /// Items by key.
    items: BTreeMap<String, Value>,
    /// Leases by identifier.
    leases: HashMap<u64, Lease>,
    /// Identifier of the last lease.
    last_lease: u64,
}

/// Executes commands and expires leases until all senders of commands are dropped.
pub(crate) async fn run(mut commands: mpsc::UnboundedReceiver<Command>) {
    let mut keys = Keys::default();
    let mut interval = tokio::time::interval(CHECK_INTERVAL);
    loop {
        tokio::select! {
            command = commands.recv() => match command {
                Some(command) => keys.execute(command),
                None => return,
            },
            _ = interval.tick() => {
                let now = Instant::now();
                keys.expire_leases(now);
                keys.copy(now);
            }
        }
        keys.notify_watches(Instant::now());
    }
}

impl Keys {
    /// Executes a command.
    fn execute(&mut self, command: Command) {
        match command {
            Command::Range(prefix, age, reply) => {
                let _ = reply.send(self.range(&prefix, age));
            }
            Command::Watch(watch) => self.watches.push(watch),
            Command::Write {
                puts,
                removed,
                reply,
            } => {
                let _ = reply.send(self.write(puts, removed));
            }
            Command::Grant(lifetime, reply) => {
                self.last_lease += 1;
                let expires_at = Instant::now() + lifetime;
                self.leases.insert(
                    self.last_lease,
                    Lease {
                        lifetime,
                        expires_at,
                    },
                );
                let _ = reply.send(self.last_lease);
            }
            Command::Renew(lease, reply) => {
                let renewed = self.leases.get_mut(&lease).map(|lease| {
                    lease.expires_at = Instant::now() + lease.lifetime;
                });
                let _ = reply.send(renewed.is_some());
            }
            Command::Revoke(lease) => self.revoke(lease),
            Command::Restore(age) => self.restore(age),
            Command::Compact => {
                self.compacted_revision = self.revision;
                self.events.clear();
                for watch in self.watches.drain(..) {
                    let _ = watch.reply.send(None);
                }
            }
        }
    }

    /// Returns the items whose keys have a prefix, as they were this long ago.
    fn range(&self, prefix: &str, age: Duration) -> Value {
        let copy = (!age.is_zero()).then(|| self.copy_of(age)).flatten();
        let (items, revision) = match copy {
            Some(copy) => (&copy.items, copy.revision),
            None => (&self.items, self.revision),
        };
        let items = items.iter().filter(|(key, _)| key.starts_with(prefix));
        let items: Vec<&Value> = items.map(|(_, item)| item).collect();
        json!({ "items": items, "more_pages": false, "at": revision })
    }

    /// Returns the newest copy that has at least an age, or the oldest one.
    fn copy_of(&self, age: Duration) -> Option<&Copy> {
        let now = Instant::now();
        let old = |(at, _): &&(Instant, Copy)| now.saturating_duration_since(*at) >= age;
        let found = self.copies.iter().rev().find(old);
        let (_, copy) = found.or_else(|| self.copies.front())?;
        Some(copy)
    }

    /// Makes a copy if the last one is old enough.
    fn copy(&mut self, now: Instant) {
        let is_recent = |at: Instant| now.saturating_duration_since(at) < COPY_INTERVAL;
        if self.copies.back().is_some_and(|(at, _)| is_recent(*at)) {
            return;
        }
        let copy = Copy {
            revision: self.revision,
            items: self.items.clone(),
            leases: self.leases.clone(),
            last_lease: self.last_lease,
        };
        self.copies.push_back((now, copy));
        if self.copies.len() > MAX_COPIES {
            self.copies.pop_front();
        }
    }

    /// Continues from the newest copy that has at least an age. Its leases last as long as after a
    /// renewal.
    fn restore(&mut self, age: Duration) {
        let Some(copy) = self.copy_of(age).cloned() else {
            return;
        };
        let now = Instant::now();
        (self.revision, self.last_lease) = (copy.revision, copy.last_lease);
        (self.items, self.leases) = (copy.items, copy.leases);
        let revision = self.revision;
        self.events.retain(|(at, ..)| *at <= revision);
        self.compacted_revision = self.compacted_revision.min(revision);
        for lease in self.leases.values_mut() {
            lease.expires_at = now + lease.lifetime;
        }
        for watch in self.watches.drain(..) {
            let _ = watch.reply.send(None);
        }
    }

    /// Writes and deletes keys and returns the new revision; does nothing and returns `None` if one
    /// of the leases does not exist.
    fn write(&mut self, puts: Vec<(String, String, u64)>, removed: Vec<String>) -> Option<u64> {
        let ended = |lease: u64| lease != 0 && !self.leases.contains_key(&lease);
        if puts.iter().any(|(_, _, lease)| ended(*lease)) {
            return None;
        }
        self.revision += 1;
        let revision = self.revision;
        for (key, value, lease) in puts {
            let created = self
                .items
                .get(&key)
                .map_or(json!(revision), |item| item["created"].clone());
            let item = json!({
                "key": key, "value": value, "revision": revision, "created": created, "lease": lease,
            });
            self.events.push((revision, key.clone(), item.clone()));
            self.items.insert(key, item);
        }
        for key in removed {
            if self.items.remove(&key).is_some() {
                let event = json!({ "key": key, "revision": revision, "deleted": true });
                self.events.push((revision, key, event));
            }
        }
        Some(revision)
    }

    /// Ends a lease and deletes its keys.
    fn revoke(&mut self, lease: u64) {
        if self.leases.remove(&lease).is_some() {
            let bound = self.items.iter().filter(|(_, item)| item["lease"] == lease);
            let keys = bound.map(|(key, _)| key.clone()).collect();
            self.write(Vec::new(), keys);
        }
    }

    /// Ends the expired leases.
    fn expire_leases(&mut self, now: Instant) {
        let expired = self
            .leases
            .iter()
            .filter(|(_, lease)| lease.expires_at <= now);
        let expired: Vec<u64> = expired.map(|(lease, _)| *lease).collect();
        for lease in expired {
            self.revoke(lease);
        }
    }

    /// Answers the watches that have changes or whose deadline has passed.
    fn notify_watches(&mut self, now: Instant) {
        for watch in std::mem::take(&mut self.watches) {
            if watch.after < self.compacted_revision || watch.after > self.revision {
                let _ = watch.reply.send(None);
                continue;
            }
            let events = self.events.iter().filter(|(revision, key, _)| {
                *revision > watch.after && key.starts_with(&watch.prefix)
            });
            let events: Vec<&Value> = events.map(|(_, _, event)| event).collect();
            if events.is_empty() && watch.deadline > now {
                self.watches.push(watch);
                continue;
            }
            let answer = json!({ "events": events, "at": self.revision });
            let _ = watch.reply.send(Some(answer));
        }
    }
}
