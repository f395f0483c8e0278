//! The document in force at one node, and which nodes watch the configuration service.

use daisyyard_derive::key;

use crate::home;
use crate::id::{self, InstanceId, Revision};
use crate::preset::Document;

/// Key of the document in the configuration service.
pub const KEY: &str = "config/current";
/// Nodes per region that watch the configuration service.
pub const WATCHERS: usize = 3;

/// What to do with a document or with the news of one.
#[key]
pub enum Next {
    /// The document is in force now; tell the peers.
    Adopt,
    /// Nothing is new.
    Ignore,
    /// Fetch the document of this revision from the node that announced it.
    Fetch(Revision),
}

/// The document in force at this node.
#[derive(Debug, Clone)]
pub struct Held {
    /// The document.
    document: Document,
}

impl Held {
    /// Starts with a document, which is the built-in one until another is known.
    pub fn new(document: Document) -> Self {
        Self { document }
    }

    /// Returns the document in force.
    pub fn document(&self) -> &Document {
        &self.document
    }

    /// Takes a document if its revision is higher than that of the one in force.
    pub fn offer(&mut self, document: Document) -> Next {
        if document.revision <= self.document.revision || document.in_force().is_none() {
            return Next::Ignore;
        }
        self.document = document;
        Next::Adopt
    }

    /// Takes the news that a peer holds a revision.
    pub fn announced(&self, revision: Revision) -> Next {
        if revision > self.document.revision {
            Next::Fetch(revision)
        } else {
            Next::Ignore
        }
    }
}

/// Returns whether a node watches the configuration service, given the live nodes of its region.
pub fn watches(node: InstanceId, region: impl IntoIterator<Item = InstanceId>) -> bool {
    home::first(id::of(KEY), region, WATCHERS).contains(&node)
}
