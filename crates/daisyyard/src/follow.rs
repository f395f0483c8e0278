//! The task that reads and watches the preset document in the configuration service.

use std::time::Duration;

use daisyyard_core::config;
use daisyyard_core::preset::Document;
use tokio::sync::watch;
use xtra::WeakAddress;

use crate::document::Json;
use crate::event::{self, Event};
use crate::peer::{Offer, Peer};
use crate::store::{Client, Watched};

/// Time that one watch waits at the configuration service.
const WAIT: Duration = Duration::from_secs(20);
/// Time between two calls that failed, if the budget refuses them at once.
const PAUSE: Duration = Duration::from_millis(200);

/// Reads the document from the configuration service at the start, and watches it while this
/// node is one of the watchers.
pub(crate) async fn follow(
    store: Client,
    peer: WeakAddress<Peer>,
    mut watching: watch::Receiver<bool>,
) {
    let mut known = 0;
    let mut read = false;
    loop {
        if read && !*watching.borrow_and_update() {
            if watching.changed().await.is_err() {
                return;
            }
            continue;
        }
        let entry = if read {
            tokio::select! {
                entry = store.watch(config::DOCUMENT_KEY, known, WAIT) => entry,
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
                read = true;
                known = entry.revision;
                match Document::try_from(&Json(entry.value)) {
                    Ok(document) => {
                        if peer.send(Offer(document)).await.is_err() {
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
                // A watch that named the last revision would be answered at once, again and again.
                read = true;
                known = 0;
            }
            Ok(Watched::Same) => {}
            Err(error) => {
                event::emit(Event::StoreUnavailable, &format!("error={error}"));
                // The budget holds back the calls that follow; this bounds those that it refuses.
                tokio::time::sleep(PAUSE).await;
            }
        }
        if !peer.is_connected() {
            return;
        }
    }
}
