//! Keys, leases and waiting watches of the configuration service, owned by one task.

use std::collections::BTreeMap;
use std::time::{Duration, Instant};

use bytes::Bytes;
use tokio::sync::{mpsc, oneshot};

/// Time between two checks for leases that have expired.
const CHECK_INTERVAL: Duration = Duration::from_millis(50);

/// A value with the revision of the write that made it.
pub(crate) type Versioned = (u64, Bytes);

/// Calls that the service has seen.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Counters {
    /// Reads that did not wait.
    pub gets: u64,
    /// Writes.
    pub puts: u64,
    /// Reads that were ready to wait.
    pub watches: u64,
    /// Calls about leases.
    pub leases: u64,
    /// Calls that were declined without effect.
    pub declined: u64,
}

/// A lease as its holder sees it.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) struct Grant {
    /// Identifier for renewal and release.
    pub(crate) id: u64,
    /// Fencing number, higher than that of every earlier lease.
    pub(crate) fencing_token: u64,
}

/// Message to the task that owns the keys.
#[derive(Debug)]
pub(crate) enum Command {
    /// Count a call that was declined.
    CountDeclined,
    /// Return the value of a key.
    Get {
        /// Key to read.
        key: String,
        /// Receives the value, if any.
        reply: oneshot::Sender<Option<Versioned>>,
    },
    /// Return the value of a key once its revision differs from the one given.
    Watch {
        /// Key to read.
        key: String,
        /// Revision that the caller has; zero if it has none.
        after: u64,
        /// Receives the value, if any.
        reply: oneshot::Sender<Option<Versioned>>,
    },
    /// Write a value if the key's revision is the expected one; zero expects no value.
    Put {
        /// Key to write.
        key: String,
        /// Revision that the key must have; zero if it must not exist.
        expected: u64,
        /// Grant with which the key ends, if any.
        lease: Option<u64>,
        /// New value.
        value: Bytes,
        /// Receives the new revision, or the one that the key has.
        reply: oneshot::Sender<Outcome>,
    },
    /// Grant a lease if nobody holds the name.
    Acquire {
        /// Name that at most one lease has at a time.
        name: String,
        /// Time until the lease ends unless it is renewed.
        ttl: Duration,
        /// Receives the lease, or the time for which another one lasts.
        reply: oneshot::Sender<Result<Grant, Duration>>,
    },
    /// Extend a lease by its time, or fail if it has ended.
    Renew {
        /// Grant to extend.
        id: u64,
        /// Receives whether the lease still stands.
        reply: oneshot::Sender<bool>,
    },
    /// End a lease.
    Release {
        /// Grant to end.
        id: u64,
        /// Receives whether the lease stood.
        reply: oneshot::Sender<bool>,
    },
    /// Lose the responses of this number of coming writes.
    LoseResponses {
        /// Number of responses.
        count: u32,
    },
    /// Return the counters.
    Count {
        /// Receives the counters.
        reply: oneshot::Sender<Counters>,
    },
}

/// Result of a write.
#[derive(Debug)]
pub(crate) struct Outcome {
    /// New revision, or the one that the key has.
    pub(crate) result: Result<u64, u64>,
    /// Whether the response must be lost.
    pub(crate) response_lost: bool,
}

/// A lease that stands.
#[derive(Debug)]
struct Lease {
    /// Name of the lease.
    name: String,
    /// Time by which a renewal extends it.
    ttl: Duration,
    /// When the lease ends.
    expires_at: Instant,
    /// Keys that end with it.
    keys: Vec<String>,
}

/// A watch that waits.
#[derive(Debug)]
struct Waiter {
    /// Key to read.
    key: String,
    /// Revision that the caller has.
    after: u64,
    /// Receives the value.
    reply: oneshot::Sender<Option<Versioned>>,
}

/// All state of the service.
#[derive(Debug, Default)]
struct Keys {
    /// Values by key.
    values: BTreeMap<String, Versioned>,
    /// Revision of the last write.
    revision: u64,
    /// Leases by identifier.
    leases: BTreeMap<u64, Lease>,
    /// Identifier and fencing number of the last lease.
    last_lease: u64,
    /// Watches that wait.
    waiters: Vec<Waiter>,
    /// Responses that are still to be lost.
    responses_to_lose: u32,
    /// Calls so far.
    counters: Counters,
}

/// Owns the keys until the service is dropped.
pub(crate) async fn run(mut commands: mpsc::UnboundedReceiver<Command>) {
    let mut keys = Keys::default();
    let mut check = tokio::time::interval(CHECK_INTERVAL);
    loop {
        tokio::select! {
            command = commands.recv() => match command {
                Some(command) => keys.execute(command, Instant::now()),
                None => return,
            },
            _ = check.tick() => {}
        }
        keys.expire_leases(Instant::now());
    }
}

impl Keys {
    /// Carries out one command.
    fn execute(&mut self, command: Command, now: Instant) {
        match command {
            Command::CountDeclined => self.counters.declined += 1,
            Command::Get { key, reply } => {
                self.counters.gets += 1;
                let _ = reply.send(self.values.get(&key).cloned());
            }
            Command::Watch { key, after, reply } => {
                self.counters.watches += 1;
                self.waiters.push(Waiter { key, after, reply });
                self.notify_watches();
            }
            Command::Put {
                key,
                expected,
                lease,
                value,
                reply,
            } => {
                self.counters.puts += 1;
                let result = self.put(key, expected, lease, value);
                let response_lost = self.responses_to_lose > 0;
                self.responses_to_lose = self.responses_to_lose.saturating_sub(1);
                let _ = reply.send(Outcome {
                    result,
                    response_lost,
                });
            }
            Command::Acquire { name, ttl, reply } => {
                self.counters.leases += 1;
                let _ = reply.send(self.grant(name, ttl, now));
            }
            Command::Renew { id, reply } => {
                self.counters.leases += 1;
                let lease = self.leases.get_mut(&id);
                let renewed = lease.map(|lease| lease.expires_at = now + lease.ttl);
                let _ = reply.send(renewed.is_some());
            }
            Command::Release { id, reply } => {
                self.counters.leases += 1;
                let _ = reply.send(self.revoke(id));
            }
            Command::LoseResponses { count } => self.responses_to_lose = count,
            Command::Count { reply } => {
                let _ = reply.send(self.counters);
            }
        }
    }

    /// Writes a value if the key's revision is the expected one.
    fn put(
        &mut self,
        key: String,
        expected: u64,
        lease: Option<u64>,
        value: Bytes,
    ) -> Result<u64, u64> {
        let current = self.values.get(&key).map_or(0, |(revision, _)| *revision);
        if current != expected {
            return Err(current);
        }
        if let Some(id) = lease {
            let lease = self.leases.get_mut(&id).ok_or(current)?;
            lease.keys.push(key.clone());
        }
        self.revision += 1;
        self.values.insert(key, (self.revision, value));
        self.notify_watches();
        Ok(self.revision)
    }

    /// Grants a lease if nobody holds the name.
    fn grant(&mut self, name: String, ttl: Duration, now: Instant) -> Result<Grant, Duration> {
        if let Some(held) = self.leases.values().find(|lease| lease.name == name) {
            return Err(held.expires_at.saturating_duration_since(now));
        }
        self.last_lease += 1;
        let lease = Lease {
            name,
            ttl,
            expires_at: now + ttl,
            keys: Vec::new(),
        };
        self.leases.insert(self.last_lease, lease);
        Ok(Grant {
            id: self.last_lease,
            fencing_token: self.last_lease,
        })
    }

    /// Ends a lease and the keys that are bound to it.
    fn revoke(&mut self, id: u64) -> bool {
        let Some(lease) = self.leases.remove(&id) else {
            return false;
        };
        for key in lease.keys {
            self.values.remove(&key);
        }
        self.notify_watches();
        true
    }

    /// Ends the leases whose time is over.
    fn expire_leases(&mut self, now: Instant) {
        let expired = self
            .leases
            .iter()
            .filter(|(_, lease)| lease.expires_at <= now);
        for id in expired.map(|(id, _)| *id).collect::<Vec<_>>() {
            self.revoke(id);
        }
    }

    /// Answers the watches whose key has changed and forgets those that nobody waits for.
    fn notify_watches(&mut self) {
        for waiter in std::mem::take(&mut self.waiters) {
            let value = self.values.get(&waiter.key);
            let changed = value.map_or(0, |(revision, _)| *revision) != waiter.after;
            if changed {
                let _ = waiter.reply.send(value.cloned());
            } else if !waiter.reply.is_closed() {
                self.waiters.push(waiter);
            }
        }
    }
}
