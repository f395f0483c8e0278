//! Keys, leases and watches of the configuration service, owned by one task.

use std::collections::BTreeMap;
use std::time::{Duration, Instant};

use bytes::Bytes;
use tokio::sync::{mpsc, oneshot};

/// Time between two checks for expired leases.
const CHECK_INTERVAL: Duration = Duration::from_millis(50);

/// A value, preceded by the revision of the write that stored it.
pub(crate) type Versioned = (u64, Bytes);

/// Number of calls by kind.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Counters {
    /// Reads that return at once.
    pub gets: u64,
    /// Writes, including those that changed nothing.
    pub puts: u64,
    /// Reads with a wait time.
    pub watches: u64,
    /// Calls that grant, renew or release a lease.
    pub leases: u64,
    /// Calls that failed with status 503 during an outage.
    pub declined: u64,
}

/// A granted lease, as the holder receives it.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) struct Grant {
    /// Identifier that renewals and releases state.
    pub(crate) id: u64,
    /// Fencing token, which is higher than that of every earlier lease.
    pub(crate) fencing_token: u64,
}

/// Message to the task that owns the keys.
#[derive(Debug)]
pub(crate) enum Command {
    /// Count a call that failed during an outage.
    CountDeclined,
    /// Return the value of a key.
    Get {
        /// Key to read.
        key: String,
        /// Receives the value, or nothing if the key does not exist.
        reply: oneshot::Sender<Option<Versioned>>,
    },
    /// Return the value of a key once its revision differs from `after`.
    Watch {
        /// Key to read.
        key: String,
        /// Revision that the caller has, or zero if it has none.
        after: u64,
        /// Receives the value, or nothing if the key does not exist.
        reply: oneshot::Sender<Option<Versioned>>,
    },
    /// Write a value if the key has the expected revision.
    Put {
        /// Key to write.
        key: String,
        /// Revision that the key must have, or zero if the key must not exist.
        expected: u64,
        /// Lease whose end deletes the key, if any.
        lease: Option<u64>,
        /// Value to write.
        value: Bytes,
        /// Receives the outcome of the write.
        reply: oneshot::Sender<Outcome>,
    },
    /// Grant a lease unless another lease has the name.
    Acquire {
        /// Name that at most one lease can have at a time.
        name: String,
        /// Time after which the lease expires unless it is renewed.
        ttl: Duration,
        /// Receives the grant, or the remaining time of the other lease.
        reply: oneshot::Sender<Result<Grant, Duration>>,
    },
    /// Restart the lifetime of a lease.
    Renew {
        /// Identifier of the lease.
        id: u64,
        /// Receives whether the lease exists.
        reply: oneshot::Sender<bool>,
    },
    /// Release a lease and delete its keys.
    Release {
        /// Identifier of the lease.
        id: u64,
        /// Receives whether the lease existed.
        reply: oneshot::Sender<bool>,
    },
    /// Lose the responses of the next writes.
    LoseResponses {
        /// Number of responses to lose.
        count: u32,
    },
    /// Return the number of calls so far.
    Count {
        /// Receives the counters.
        reply: oneshot::Sender<Counters>,
    },
}

/// Result of a write.
#[derive(Debug)]
pub(crate) struct Outcome {
    /// New revision, or the current revision of the key if the write failed.
    pub(crate) result: Result<u64, u64>,
    /// Whether the caller must not get the response.
    pub(crate) response_lost: bool,
}

/// A lease that has not ended.
#[derive(Debug)]
struct Lease {
    /// Name that the lease was granted for.
    name: String,
    /// Lifetime after the grant and after each renewal.
    ttl: Duration,
    /// Time when the lease expires unless it is renewed.
    expires_at: Instant,
    /// Keys that are deleted when the lease ends.
    keys: Vec<String>,
}

/// A watch that waits for a change of its key.
#[derive(Debug)]
struct Waiter {
    /// Key to watch.
    key: String,
    /// Revision that the caller has, or zero if it has none.
    after: u64,
    /// Receives the value, or nothing if the key was deleted.
    reply: oneshot::Sender<Option<Versioned>>,
}

/// State of the service.
#[derive(Debug, Default)]
struct Keys {
    /// Values by key.
    values: BTreeMap<String, Versioned>,
    /// Revision of the last write.
    revision: u64,
    /// Leases by identifier.
    leases: BTreeMap<u64, Lease>,
    /// Identifier of the last lease, which is also its fencing token.
    last_lease: u64,
    /// Watches that wait for a change.
    waiters: Vec<Waiter>,
    /// Number of writes whose responses are still to be lost.
    responses_to_lose: u32,
    /// Number of calls so far.
    counters: Counters,
}

/// Executes commands and expires leases until the service is dropped.
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
    /// Executes a command.
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

    /// Writes a value if the key has the expected revision.
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

    /// Grants a lease unless another lease has the name.
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

    /// Ends a lease and deletes its keys; returns whether the lease existed.
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

    /// Ends the expired leases.
    fn expire_leases(&mut self, now: Instant) {
        let expired = self
            .leases
            .iter()
            .filter(|(_, lease)| lease.expires_at <= now);
        for id in expired.map(|(id, _)| *id).collect::<Vec<_>>() {
            self.revoke(id);
        }
    }

    /// Answers the watches whose keys have changed and drops those whose callers have left.
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
