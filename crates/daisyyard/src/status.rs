//! The state of a node as operators and tests see it.

use daisyyard_core::id::InstanceId;
use daisyyard_core::instance::Instance;
use daisyyard_core::preset::Document;
use daisyyard_derive::key;
use xtra::{Context, Handler};

use crate::peer::Peer;

/// Where the document in force came from.
#[key]
pub enum Source {
    /// It is part of the program.
    BuiltIn,
    /// The configuration service.
    Store,
    /// Another node.
    Peer,
}

impl Source {
    /// Returns the name used in reports.
    pub fn name(self) -> &'static str {
        match self {
            Self::BuiltIn => "the program",
            Self::Store => "the configuration service",
            Self::Peer => "a peer",
        }
    }
}

/// Bytes over all links.
#[derive(Debug, Clone, Copy, Default)]
pub struct Traffic {
    /// Bytes sent.
    pub sent: u64,
    /// Bytes received.
    pub received: u64,
}

/// Asks for the state of the node.
#[derive(Debug)]
pub(crate) struct Ask;

/// State of the node.
#[derive(Debug, Clone)]
pub struct Status {
    /// Document in force.
    pub document: Document,
    /// The node itself and all members.
    pub members: Vec<Instance>,
    /// Where the document in force came from.
    pub source: Source,
    /// Nodes with a link.
    pub links: Vec<InstanceId>,
    /// Whether the node watches the configuration service.
    pub watching: bool,
    /// Traffic so far.
    pub traffic: Traffic,
}

impl Handler<Ask> for Peer {
    type Return = Status;

    async fn handle(&mut self, _: Ask, _: &mut Context<Self>) -> Status {
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
