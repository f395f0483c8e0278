//! Whether the store answers this gateway, and what is logged and counted of its reads.

use std::net::SocketAddr;
use std::time::{Duration, Instant};

use daisyyard_core::era::Statement;
use daisyyard_core::outage::Outage;
use daisyyard_core::revision::Era;
use daisyyard_http::connection::Failure;
use xtra::Address;

use crate::event::Event;
use crate::log::Log;
use crate::message::StoreReach;
use crate::metrics::Metrics;
use crate::pool::Pool;
use crate::store::{Backoff, Error};

/// Maximum delay between retries while the store is unavailable. A gateway that has just started
/// serves no requests until the store has answered once.
const MAX_RETRY_DELAY: Duration = Duration::from_millis(400);

/// What a gateway reads from the store.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Read {
    /// The changes since the last read.
    Changes,
    /// The configuration, which may be a few seconds old.
    Catalog,
    /// All keys.
    All,
}

impl Read {
    /// Returns the name of the read for metrics.
    pub(crate) fn name(self) -> &'static str {
        match self {
            Self::Changes => "changes",
            Self::Catalog => "catalog",
            Self::All => "all",
        }
    }
}

/// Outcomes of the reads of a gateway.
#[derive(Debug)]
pub(crate) struct Reach {
    /// Address of the store.
    address: SocketAddr,
    /// Actor that is told whether the store answers.
    pool: Address<Pool>,
    /// Delay after failed reads.
    backoff: Backoff,
    /// Outages of the store.
    outage: Outage,
    /// Number of failed reads since the last one that succeeded.
    failures: u32,
    /// Metrics of the gateway.
    metrics: Metrics,
    /// Log of the gateway.
    log: Log,
}

impl Reach {
    /// Creates the state of a store that has not been called yet.
    pub(crate) fn new(
        address: SocketAddr,
        pool: Address<Pool>,
        (log, metrics): (Log, Metrics),
    ) -> Self {
        Self {
            address,
            pool,
            backoff: Backoff::new(MAX_RETRY_DELAY),
            outage: Outage::default(),
            failures: 0,
            metrics,
            log,
        }
    }

    /// Returns whether the last read failed.
    pub(crate) fn is_lost(&self) -> bool {
        self.outage.is_on()
    }

    /// Returns until when a missing entry may be registered again; `None` if it is gone.
    pub(crate) fn relist_deadline(&self, now: Instant) -> Option<Instant> {
        self.outage.relist_deadline(now)
    }

    /// Records that the store has answered a read.
    pub(crate) async fn record_success(&mut self, read: Read) {
        self.backoff.reset();
        self.metrics.record_store_read(read.name(), "complete");
        let failures = std::mem::take(&mut self.failures);
        let Some(lasted) = self.outage.record_success(Instant::now()) else {
            return;
        };
        // The pool ends only with the process.
        let _ = self.pool.send(StoreReach(true)).await;
        let details = format!(
            "address={} ms={} read={read:?} failures={failures}",
            self.address,
            lasted.as_millis()
        );
        self.log.emit(Event::StoreRegained, &details);
    }

    /// Records that the store has come back from a copy, which has lost what was written since.
    pub(crate) fn record_restore(&mut self, from: Era, to: Era) {
        self.outage.record_restore(Instant::now());
        let details = format!("address={} era={to} before={from}", self.address);
        self.log.emit(Event::StoreRestored, &details);
    }

    /// Records that the store no longer states a usable era.
    pub(crate) fn record_doubt(&self, statement: Statement, era: Era) {
        let details = format!(
            "address={} stated={statement:?} assumed={era} remedy=\"check that nothing between the gateway \
             and the store changes headers\"",
            self.address
        );
        self.log.emit(Event::EraUnusable, &details);
    }

    /// Counts changes that the store offered but this gateway did not read.
    pub(crate) fn record_unread(&self, read: Read, error: &Error) {
        self.metrics.record_store_read(read.name(), error.name());
    }

    /// Records that a read, started at the given time, failed, and waits before the next one.
    pub(crate) async fn record_failure(&mut self, read: Read, error: &Error, started: Instant) {
        let timed_out = matches!(
            error,
            Error::Unanswered(Failure::Silent | Failure::Unreachable) | Error::Incomplete(_)
        );
        self.metrics.record_store_read(read.name(), error.name());
        self.failures += 1;
        let since = if timed_out { started } else { Instant::now() };
        if self.outage.record_failure(since) {
            let _ = self.pool.send(StoreReach(false)).await;
            let details = format!("address={} reason={:?}", self.address, error.to_string());
            self.log.emit(Event::StoreLost, &details);
        }
        // Each further line covers twice as many failures, so that a long outage takes few lines.
        if self.failures.is_power_of_two() {
            let details = format!(
                "read={read:?} failures={} ms={} reason={:?}",
                self.failures,
                started.elapsed().as_millis(),
                error.to_string()
            );
            self.log.emit(Event::StoreReadFailed, &details);
        }
        self.backoff.wait().await;
    }
}
