//! Edits of the preset document: one compare-and-swap each, whose outcome may be unknown.

use std::time::SystemTime;

use bytes::Bytes;
use daisyyard_core::config;
use daisyyard_core::id::Revision;
use daisyyard_core::preset::{Document, Edit, Fault};
use xtra::Address;

use crate::document::Json;
use crate::kv::Error;
use crate::peer::{OfferDocument, Peer};
use crate::store::Client;

/// Outcome of an edit.
#[derive(Debug, Clone, PartialEq)]
pub enum Outcome {
    /// The edit is durable; holds the new document.
    Accepted(Document),
    /// The edit is invalid; nothing was written.
    Invalid(Vec<Fault>),
    /// Another edit was written first and nothing was written; holds the current document.
    Conflict(Document),
    /// Nothing was written, for the given reason.
    Refused(String),
    /// The edit may or may not have been written.
    Unknown {
        /// Id of the write, which appears in the history if it took effect.
        write: u64,
    },
}

/// Edits the preset document and puts the result in force at this node immediately.
#[derive(Debug, Clone)]
pub(crate) struct Editor {
    /// Client of the configuration service.
    pub(crate) store: Client,
    /// Document in force until the configuration service has one.
    pub(crate) built_in: Document,
    /// Actor that owns the document in force.
    pub(crate) peers: Address<Peer>,
}

impl Editor {
    /// Edits the document if it still has the revision that the operator saw, and offers the newest
    /// document to this node.
    pub(crate) async fn edit(&self, edit: Edit, by: &str, seen: Revision) -> Outcome {
        let outcome = write_edit(&self.store, &self.built_in, edit, by, seen).await;
        if let Outcome::Accepted(document) | Outcome::Conflict(document) = &outcome {
            let _ = self.peers.send(OfferDocument(document.clone())).await;
        }
        outcome
    }
}

/// Writes an edited document if the stored one still has the revision that the operator saw.
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
        Document::try_from(&Json(bytes.clone())).is_ok_and(|document| document.contains(write))
    };
    let written = store
        .swap_confirmed(config::DOCUMENT_KEY, expected, Json::from(&next).0, is_own)
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

/// Reads the document and the revision of its key from the configuration service; returns the
/// built-in document and revision 0 if the key does not exist.
async fn read_document(store: &Client, built_in: &Document) -> Result<(Document, u64), String> {
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
