//! The preset document in force at one node, and the nodes that watch the configuration service.

use daisyyard_derive::key;

use crate::home;
use crate::id::{self, InstanceId, Revision};
use crate::preset::Document;

/// Key of the preset document in the configuration service.
pub const DOCUMENT_KEY: &str = "config/current";
/// Number of nodes per region that watch the configuration service.
pub const WATCHERS_PER_REGION: usize = 3;

/// What to do with a document or with the announcement of one.
#[key]
pub enum Action {
    /// The document is now in force; announce it to the peers.
    Adopt,
    /// Do nothing: the document is not newer.
    Ignore,
    /// Fetch the document with this revision from the node that announced it.
    Fetch(Revision),
}

/// This node's copy of the preset document.
#[derive(Debug, Clone)]
pub struct Replica {
    /// Document in force.
    document: Document,
}

impl Replica {
    /// Creates a replica with an initial document, such as the built-in one.
    pub fn new(document: Document) -> Self {
        Self { document }
    }

    /// Returns the document in force.
    pub fn document(&self) -> &Document {
        &self.document
    }

    /// Adopts a document if its revision is higher than that of the one in force and it contains
    /// the preset that it puts in force.
    pub fn offer(&mut self, document: Document) -> Action {
        if document.revision <= self.document.revision || document.in_force().is_none() {
            return Action::Ignore;
        }
        self.document = document;
        Action::Adopt
    }

    /// Handles the announcement of a revision by a peer.
    pub fn announced(&self, revision: Revision) -> Action {
        if revision > self.document.revision {
            Action::Fetch(revision)
        } else {
            Action::Ignore
        }
    }
}

/// Returns whether a node watches the configuration service, given the live nodes of its region.
pub fn watches(node: InstanceId, region: impl IntoIterator<Item = InstanceId>) -> bool {
    home::first(id::of(DOCUMENT_KEY), region, WATCHERS_PER_REGION).contains(&node)
}
