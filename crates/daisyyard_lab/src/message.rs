//! Messages between the nodes of daisyyard, each about one engine.

use std::time::Duration;

use daisyyard_core::id::{RequestId, Tokens};
use daisyyard_core::ledger::{Action, Answer, Digest, Request};

use crate::world::{Event, World};

/// What a message between nodes says.
#[derive(Debug)]
pub enum Content {
    /// A node asks the home of an engine for admission.
    Ask(Request),
    /// The home answers.
    Answer(RequestId, Answer, Digest),
    /// The home decided about a waiting or running request.
    Decide(Action),
    /// A generation has made this many tokens; a new home needs what it once asked for.
    Progress(Request, Tokens),
    /// A generation has ended after this many tokens, or a waiting request is withdrawn.
    Release(RequestId, Tokens),
    /// The home shares the state of the engine.
    Digest(Digest),
    /// No answer came in time.
    Silence(RequestId),
    /// No decision about a waiting request came in time.
    Late(RequestId),
}

/// A message between nodes about one engine.
#[derive(Debug)]
pub struct Message {
    /// Number of the node that receives the message.
    pub to: usize,
    /// Number of the engine.
    pub engine: usize,
    /// What the message says.
    pub content: Content,
}

/// Sends a message between two nodes, unless they have no contact.
pub(crate) fn send(world: &mut World, from: usize, to: usize, engine: usize, content: Content) {
    let nodes = &world.deployment.nodes;
    let (one, two) = (&nodes[from].zone, &nodes[to].zone);
    if !world.connected(one.id, two.id) {
        return;
    }
    let delay = if from == to {
        Duration::ZERO
    } else {
        world.deployment.between(one, two)
    };
    let message = Message {
        to,
        engine,
        content,
    };
    world.agenda.after(delay, Event::Message(message));
}
