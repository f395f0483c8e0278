//! The task that keeps this gateway listed in the platform's store.

use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use hyper::StatusCode;
use tokio::sync::watch;

use crate::codec::{self, Codec, LeaseId};
use crate::event::Event;
use crate::log::Log;
use crate::server::Phase;
use crate::store::{self, Backoff, Error};

/// Time for the store to answer a call.
const CALL_TIMEOUT: Duration = Duration::from_secs(1);
/// Lifetime of the entry of a gateway that has ended.
const LEASE_LIFETIME: Duration = Duration::from_secs(4);
/// Time between two renewals: two may fail before the entry ends.
const RENEWAL_INTERVAL: Duration = Duration::from_millis(1_300);

/// Keeps this gateway listed.
#[derive(Debug)]
pub(crate) struct Registration {
    /// Address of the store.
    pub(crate) address: SocketAddr,
    /// Functions that write and read messages.
    pub(crate) codec: Codec,
    /// Name of the gateway.
    pub(crate) name: String,
    /// Value of the entry.
    pub(crate) value: Bytes,
    /// How far a planned stop has come.
    pub(crate) phase: watch::Receiver<Phase>,
    /// The log.
    pub(crate) log: Log,
}

impl Registration {
    /// Keeps the entry until the gateway leaves, then removes it.
    pub(crate) async fn run(mut self) {
        let mut backoff = Backoff::new(RENEWAL_INTERVAL);
        let mut lease = None;
        while !self.is_leaving() {
            match self.renew(lease).await {
                Ok(renewed) => {
                    lease = Some(renewed);
                    backoff.reset();
                    self.pause(RENEWAL_INTERVAL).await;
                }
                Err(Error::Declined(StatusCode::NOT_FOUND)) => lease = None,
                // The follower logs that the store is away.
                Err(_) => backoff.wait().await,
            }
        }
        if let Some(lease) = lease {
            let revocation = (self.codec.store.revoke_lease)(lease);
            // The lease ends by itself if this fails.
            let _ = store::call(self.address, revocation, CALL_TIMEOUT).await;
        }
    }

    /// Renews a lease, or creates one and writes the entry.
    async fn renew(&self, lease: Option<LeaseId>) -> Result<LeaseId, Error> {
        let store = self.codec.store;
        if let Some(lease) = lease {
            store::call(self.address, (store.renew_lease)(lease), CALL_TIMEOUT).await?;
            return Ok(lease);
        }
        let answer = store::call(
            self.address,
            (store.grant_lease)(LEASE_LIFETIME),
            CALL_TIMEOUT,
        )
        .await?;
        let lease = (store.read_lease)(&answer).map_err(Error::Unusable)?;
        let entry = codec::Entry {
            name: self.name.clone(),
            value: self.value.clone(),
            lease,
        };
        store::call(self.address, (store.put)(&entry), CALL_TIMEOUT).await?;
        self.log.emit(Event::Registered, &format!("lease={lease}"));
        Ok(lease)
    }

    /// Waits for a time or until the gateway leaves.
    async fn pause(&mut self, time: Duration) {
        // The sender lives as long as the gateway.
        let _ = tokio::time::timeout(time, self.phase.changed()).await;
    }

    /// Returns whether the gateway was told to stop.
    fn is_leaving(&self) -> bool {
        *self.phase.borrow() != Phase::Serving
    }
}
