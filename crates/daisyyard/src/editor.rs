//! Changes of the preset document: one compare-and-swap each, with a truthful outcome.

use std::time::SystemTime;

use bytes::Bytes;
use daisyyard_core::config;
use daisyyard_core::id::Revision;
use daisyyard_core::preset::{Document, Edit, Fault};
use xtra::Address;

use crate::document::Json;
use crate::kv::Error;
use crate::peer::{Offer, Peer};
use crate::store::Client;

/// What became of a change.
#[derive(Debug, Clone, PartialEq)]
pub enum Outcome {
    /// The change is durable; the document is the one that it made.
    Accepted(Document),
    /// The change has faults; nothing was written.
    Invalid(Vec<Fault>),
    /// Another change came first; nothing was written. The document is the one that won.
    Conflict(Document),
    /// Nothing was written, for this reason.
    Refused(String),
    /// The change may or may not have been written.
    Unknown {
        /// Identifier of the write, which the history shows if it took effect.
        write: u64,
    },
}

/// Changes the document and puts the change in force at this node at once.
#[derive(Debug, Clone)]
pub(crate) struct Editor {
    /// Client of the configuration service.
    pub(crate) store: Client,
    /// Document that is in force until the configuration service has one.
    pub(crate) built_in: Document,
    /// Actor that owns the document in force.
    pub(crate) peers: Address<Peer>,
}

impl Editor {
    /// Changes the document if it still has the revision that the operator saw.
    pub(crate) async fn edit(&self, edit: Edit, by: &str, seen: Revision) -> Outcome {
        let outcome = write_edit(&self.store, &self.built_in, edit, by, seen).await;
        if let Outcome::Accepted(document) | Outcome::Conflict(document) = &outcome {
            let _ = self.peers.send(Offer(document.clone())).await;
        }
        outcome
    }
}

/// Changes the document if it still has the revision that the operator saw.
async fn write_edit(
    store: &Client,
    built_in: &Document,
    edit: Edit,
    by: &str,
    seen: Revision,
) -> Outcome {
    let (current, expected) = match read_document(store, built_in).await {
        Ok(current) => current,
        Err(reason) => return Outcome::Refused(reason),
    };
    if current.revision != seen {
        return Outcome::Conflict(current);
    }
    let write = rand::random();
    let next = match current.edit(edit, write, by, SystemTime::now()) {
        Ok(next) => next,
        Err(faults) => return Outcome::Invalid(faults),
    };
    let is_own = |bytes: &Bytes| {
        Document::try_from(&Json(bytes.clone())).is_ok_and(|current| current.contains(write))
    };
    let written = store
        .swap_confirmed(config::KEY, expected, Json::from(&next).0, is_own)
        .await;
    match written {
        Ok(()) => Outcome::Accepted(next),
        Err(Error::Conflict(_)) => match read_document(store, built_in).await {
            Ok((winner, _)) => Outcome::Conflict(winner),
            Err(_) => Outcome::Refused("another change came first; ask again".to_owned()),
        },
        Err(Error::Unanswered) => Outcome::Unknown { write },
        Err(error) => Outcome::Refused(error.to_string()),
    }
}

/// Returns the document of the configuration service, or the built-in one if there is none, with
/// the revision of its key.
async fn read_document(store: &Client, built_in: &Document) -> Result<(Document, u64), String> {
    let entry = store.get(config::KEY).await;
    let Some(entry) = entry.map_err(|error| format!("nothing was written: {error}"))? else {
        return Ok((built_in.clone(), 0));
    };
    match Document::try_from(&Json(entry.value)) {
        Ok(document) => Ok((document, entry.revision)),
        Err(faults) => Err(format!(
            "nothing was written: the document in the configuration service is invalid ({}); \
             restore a valid value of {}",
            faults[0],
            config::KEY
        )),
    }
}
