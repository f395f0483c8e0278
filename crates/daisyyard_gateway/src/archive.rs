//! Task that keeps the refusals of contents in the platform's store, from which gateways read them when
//! they start. All gateways can end at the same moment, and with them what they know.

use std::net::SocketAddr;
use std::time::Duration;

use daisyyard_core::crash::Group;
use daisyyard_core::suspect::RECORD_TTL;
use tokio::sync::mpsc;

use crate::codec::{Call, Codec};
use crate::event::Event;
use crate::log::Log;
use crate::store::{self, Backoff, Error, MAX_RESULT_BYTES, Timeouts};

/// Timeout of a call to the store.
const CALL_TIMEOUT: Timeouts = Timeouts::of_result(Duration::from_secs(1));
/// Maximum delay between two tries of a call.
const MAX_RETRY_DELAY: Duration = Duration::from_secs(2);

/// Change of the refusals in the store.
#[derive(Debug)]
pub(crate) enum Change {
    /// The group of contents is refused.
    Put(Group),
    /// The group of contents is no longer refused.
    Remove(Group),
}

/// Writes refusals to the store.
#[derive(Debug)]
struct Archive {
    /// Address of the store.
    address: SocketAddr,
    /// Functions that encode and decode the platform's messages.
    codec: Codec,
    /// Log of the gateway.
    log: Log,
}

/// Starts the task, which ends when the returned sender is dropped.
pub(crate) fn spawn(address: SocketAddr, codec: Codec, log: Log) -> mpsc::UnboundedSender<Change> {
    let (sender, mut changes) = mpsc::unbounded_channel();
    let archive = Archive {
        address,
        codec,
        log,
    };
    tokio::spawn(async move {
        while let Some(change) = changes.recv().await {
            archive.apply(&change).await;
        }
    });
    sender
}

impl Archive {
    /// Makes a change, with retries until the store has confirmed it.
    async fn apply(&self, change: &Change) {
        let mut backoff = Backoff::new(MAX_RETRY_DELAY);
        while let Err(error) = self.write(change).await {
            // The watcher logs that the store is unavailable.
            if matches!(error, Error::Declined(_) | Error::Unusable(_)) {
                let details = format!("change={change:x?} reason={:?}", error.to_string());
                self.log.emit(Event::RefusalUnstored, &details);
            }
            backoff.wait().await;
        }
    }

    /// Makes a change once. A repeated change has the same result.
    async fn write(&self, change: &Change) -> Result<(), Error> {
        let store = self.codec.store;
        let call = match change {
            Change::Put(group) => {
                let response = self.call((store.grant_lease)(RECORD_TTL)).await?;
                let lease = (store.read_lease)(&response).map_err(Error::Unusable)?;
                (store.put_refusal)(group, lease)
            }
            Change::Remove(group) => (store.remove_refusal)(group),
        };
        self.call(call).await.map(drop)
    }

    /// Sends a call to the store.
    async fn call(&self, call: Call) -> Result<bytes::Bytes, Error> {
        store::call(self.address, call, CALL_TIMEOUT, MAX_RESULT_BYTES).await
    }
}
