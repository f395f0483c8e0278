//! Task that watches the preset document in the configuration service.

use std::time::Duration;

use daisyyard_core::config;
use daisyyard_core::preset::Document;
use tokio::sync::watch;
use xtra::WeakAddress;

use crate::document::Json;
use crate::event::{self, Event};
use crate::peer::{OfferDocument, Peer};
use crate::store::{Client, Watched};

/// Time for which the configuration service holds a watch request open without a change.
const WATCH_WAIT: Duration = Duration::from_secs(20);
/// Delay after a failed call, which limits the rate when the call budget rejects calls immediately.
const RETRY_PAUSE: Duration = Duration::from_millis(200);

/// Reads the document from the configuration service at startup, then watches it while this node
/// is one of the watchers.
pub(crate) async fn run(
    store: Client,
    peer: WeakAddress<Peer>,
    mut watching: watch::Receiver<bool>,
) {
    let mut known_revision = 0;
    let mut loaded = false;
    loop {
        if loaded && !*watching.borrow_and_update() {
            if watching.changed().await.is_err() {
                return;
            }
            continue;
        }
        let entry = if loaded {
            tokio::select! {
                entry = store.watch(config::DOCUMENT_KEY, known_revision, WATCH_WAIT) => entry,
                changed = watching.changed() => {
                    if changed.is_err() {
                        return;
                    }
                    continue;
                }
            }
        } else {
            let entry = store.get(config::DOCUMENT_KEY).await;
            entry.map(|entry| entry.map_or(Watched::Missing, Watched::Changed))
        };
        match entry {
            Ok(Watched::Changed(entry)) => {
                loaded = true;
                known_revision = entry.revision;
                match Document::try_from(&Json(entry.value)) {
                    Ok(document) => {
                        if peer.send(OfferDocument(document)).await.is_err() {
                            return;
                        }
                    }
                    Err(faults) => {
                        let fault = faults.first().map(ToString::to_string).unwrap_or_default();
                        event::emit(Event::ConfigRejected, &format!("store {fault}"));
                    }
                }
            }
            Ok(Watched::Missing) => {
                // With the last revision, the service would answer each watch immediately: the
                // missing key has another revision.
                loaded = true;
                known_revision = 0;
            }
            Ok(Watched::Unchanged) => {}
            Err(error) => {
                event::emit(Event::StoreUnavailable, &format!("error={error}"));
                // The call budget delays further calls; this delay is for those that it rejects.
                tokio::time::sleep(RETRY_PAUSE).await;
            }
        }
        if !peer.is_connected() {
            return;
        }
    }
}
