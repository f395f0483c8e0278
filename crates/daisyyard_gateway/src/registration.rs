//! Task that registers this gateway in the platform's store and keeps its lease alive.

use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use hyper::StatusCode;
use tokio::sync::watch;

use crate::codec::{self, Codec, LeaseId};
use crate::event::Event;
use crate::log::Log;
use crate::server::Phase;
use crate::store::{self, Backoff, Error, MAX_RESULT_BYTES, Timeouts};

/// Timeout of a call to the store.
const CALL_TIMEOUT: Timeouts = Timeouts::of_result(Duration::from_secs(1));
/// Lifetime of the lease; the entry of a crashed gateway remains this long. Digests show sooner that
/// it is lost, unless no other gateway is left that this one hears.
const LEASE_LIFETIME: Duration = Duration::from_secs(10);
/// Maximum delay between retries of a call.
const MAX_RETRY_DELAY: Duration = Duration::from_millis(1_300);
/// Time between two renewals; two may fail before the lease expires.
const RENEWAL_INTERVAL: Duration = Duration::from_secs(3);

/// Registers this gateway and renews its lease.
#[derive(Debug)]
pub(crate) struct Registration {
    /// Address of the store.
    pub(crate) address: SocketAddr,
    /// Functions that encode and decode the platform's messages.
    pub(crate) codec: Codec,
    /// Name of the gateway.
    pub(crate) name: String,
    /// Encoded value of the entry.
    pub(crate) value: Bytes,
    /// Phase of the graceful shutdown.
    pub(crate) phase: watch::Receiver<Phase>,
    /// Log of the gateway.
    pub(crate) log: Log,
}

impl Registration {
    /// Keeps the gateway registered until it leaves, then deletes the entry.
    pub(crate) async fn run(mut self) {
        let mut backoff = Backoff::new(MAX_RETRY_DELAY);
        let mut lease = None;
        while !self.is_leaving() {
            match self.renew(lease).await {
                Ok(renewed) => {
                    lease = Some(renewed);
                    backoff.reset();
                    self.pause(RENEWAL_INTERVAL).await;
                }
                Err(Error::Declined(StatusCode::NOT_FOUND)) => lease = None,
                // The watcher logs that the store is unavailable.
                Err(_) => backoff.wait().await,
            }
        }
        if let Some(lease) = lease {
            let revocation = (self.codec.store.revoke_lease)(lease);
            // If this fails, the lease expires on its own.
            let _ = store::call(self.address, revocation, CALL_TIMEOUT, MAX_RESULT_BYTES).await;
        }
    }

    /// Renews a lease, or creates one and writes the entry.
    async fn renew(&self, lease: Option<LeaseId>) -> Result<LeaseId, Error> {
        let store = self.codec.store;
        if let Some(lease) = lease {
            store::call(
                self.address,
                (store.renew_lease)(lease),
                CALL_TIMEOUT,
                MAX_RESULT_BYTES,
            )
            .await?;
            return Ok(lease);
        }
        let response = store::call(
            self.address,
            (store.grant_lease)(LEASE_LIFETIME),
            CALL_TIMEOUT,
            MAX_RESULT_BYTES,
        )
        .await?;
        let lease = (store.read_lease)(&response).map_err(Error::Unusable)?;
        let entry = codec::Entry {
            name: self.name.clone(),
            value: self.value.clone(),
            lease,
        };
        store::call(
            self.address,
            (store.put)(&entry),
            CALL_TIMEOUT,
            MAX_RESULT_BYTES,
        )
        .await?;
        self.log.emit(Event::Registered, &format!("lease={lease}"));
        Ok(lease)
    }

    /// Waits for the given time, or until the phase changes.
    async fn pause(&mut self, time: Duration) {
        // The sender lives as long as the gateway.
        let _ = tokio::time::timeout(time, self.phase.changed()).await;
    }

    /// Returns whether a graceful shutdown has begun.
    fn is_leaving(&self) -> bool {
        *self.phase.borrow() != Phase::Serving
    }
}
