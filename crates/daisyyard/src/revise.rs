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
    Faulty(Vec<Fault>),
    /// Another change came first; nothing was written. The document is the one that won.
    Lost(Document),
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
    pub(crate) async fn revise(&self, edit: Edit, by: &str, seen: Revision) -> Outcome {
        let outcome = revise(&self.store, &self.built_in, edit, by, seen).await;
        if let Outcome::Accepted(document) | Outcome::Lost(document) = &outcome {
            let _ = self.peers.send(Offer(document.clone())).await;
        }
        outcome
    }
}

/// Changes the document if it still has the revision that the operator saw.
async fn revise(
    store: &Client,
    built_in: &Document,
    edit: Edit,
    by: &str,
    seen: Revision,
) -> Outcome {
    let (held, expected) = match read(store, built_in).await {
        Ok(held) => held,
        Err(reason) => return Outcome::Refused(reason),
    };
    if held.revision != seen {
        return Outcome::Lost(held);
    }
    let write = rand::random();
    let next = match held.edit(edit, write, by, SystemTime::now()) {
        Ok(next) => next,
        Err(faults) => return Outcome::Faulty(faults),
    };
    let mine = |bytes: &Bytes| {
        Document::try_from(&Json(bytes.clone())).is_ok_and(|held| held.contains(write))
    };
    let written = store
        .replace(config::DOCUMENT_KEY, expected, Json::from(&next).0, mine)
        .await;
    match written {
        Ok(()) => Outcome::Accepted(next),
        Err(Error::Conflict(_)) => match read(store, built_in).await {
            Ok((winner, _)) => Outcome::Lost(winner),
            Err(_) => Outcome::Refused("another change came first; ask again".to_owned()),
        },
        Err(Error::Unanswered) => Outcome::Unknown { write },
        Err(error) => Outcome::Refused(error.to_string()),
    }
}

/// Returns the document of the configuration service, or the built-in one if there is none, with
/// the revision of its key.
async fn read(store: &Client, built_in: &Document) -> Result<(Document, u64), String> {
    let entry = store.get(config::DOCUMENT_KEY).await;
    let Some(entry) = entry.map_err(|error| format!("nothing was written: {error}"))? else {
        return Ok((built_in.clone(), 0));
    };
    match Document::try_from(&Json(entry.value)) {
        Ok(document) => Ok((document, entry.revision)),
        Err(faults) => Err(format!(
            "nothing was written: the document in the configuration service is invalid ({}); \
             restore a valid value of {}",
            faults[0],
            config::DOCUMENT_KEY
        )),
    }
}
