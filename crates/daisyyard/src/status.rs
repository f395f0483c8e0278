//! Status of a node, for the admin interface and tests.

use daisyyard_core::id::InstanceId;
use daisyyard_core::instance::Instance;
use daisyyard_core::preset::Document;
use daisyyard_derive::key;
use xtra::{Context, Handler};

use crate::peer::Peer;

/// Source of the preset document in force.
#[key]
pub enum Source {
    /// Built into the program.
    BuiltIn,
    /// The configuration service.
    Store,
    /// Another node.
    Peer,
}

impl Source {
    /// Returns the name used in status reports and logs.
    pub fn name(self) -> &'static str {
        match self {
            Self::BuiltIn => "the program",
            Self::Store => "the configuration service",
            Self::Peer => "a peer",
        }
    }
}

/// Traffic over all links.
#[derive(Debug, Clone, Copy, Default)]
pub struct Traffic {
    /// Bytes sent.
    pub sent: u64,
    /// Bytes received.
    pub received: u64,
}

/// Message: request for the status of the node.
#[derive(Debug)]
pub(crate) struct Query;

/// Status of the node.
#[derive(Debug, Clone)]
pub struct Status {
    /// Preset document in force.
    pub document: Document,
    /// All known instances, the node itself included.
    pub members: Vec<Instance>,
    /// Source of the document in force.
    pub source: Source,
    /// Nodes to which a link is open.
    pub links: Vec<InstanceId>,
    /// Whether the node watches the configuration service.
    pub watching: bool,
    /// Traffic over all links since the start.
    pub traffic: Traffic,
}

impl Handler<Query> for Peer {
    type Return = Status;

    async fn handle(&mut self, _: Query, _: &mut Context<Self>) -> Status {
        Status {
            document: self.config.document().clone(),
            source: self.source,
            members: self.view.all().cloned().collect(),
            links: self.links.keys().copied().collect(),
            watching: *self.watching.borrow(),
            traffic: self.traffic,
        }
    }
}
