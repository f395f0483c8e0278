//! Messages between the nodes of daisyyard, each about one engine.

use std::time::Duration;

use daisyyard_core::id::{RequestId, Tokens};
use daisyyard_core::ledger::{Answer, Ask, Digest, Next};

use crate::world::{Event, World};

/// What a message between nodes says.
#[derive(Debug)]
pub enum Content {
    /// A node asks the home of an engine for admission.
    Ask(Ask),
    /// The home answers.
    Answer(RequestId, Answer, Digest),
    /// The home decided about a waiting or running request.
    Decision(Next),
    /// A generation has made this many tokens; a new home needs what it once asked for.
    Progress(Ask, Tokens),
    /// A generation has ended after this many tokens, or a waiting request is withdrawn.
    Release(RequestId, Tokens),
    /// The home shares the state of the engine.
    Digest(Digest),
    /// No answer came in time.
    AnswerTimeout(RequestId),
    /// No decision about a waiting request came in time.
    DecisionTimeout(RequestId),
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
    let (source, target) = (&nodes[from].zone, &nodes[to].zone);
    if !world.connected(source.id, target.id) {
        return;
    }
    let delay = if from == to {
        Duration::ZERO
    } else {
        world.deployment.delay_between(source, target)
    };
    let message = Message {
        to,
        engine,
        content,
    };
    world.events.schedule_after(delay, Event::Message(message));
}
