//! Messages between the simulated nodes.

use std::time::Duration;

use daisyyard_core::id::{RequestId, Tokens};
use daisyyard_core::ledger::{Action, Answer, Digest, Request};

use crate::world::{Event, World};

/// Content of a message between nodes.
#[derive(Debug)]
pub enum Content {
    /// Asks the home of an engine for admission.
    Ask(Request),
    /// Answers an admission request, with the digest of the engine.
    Answer(RequestId, Answer, Digest),
    /// Decision of the home about a queued or running request.
    Decision(Action),
    /// Number of generated tokens, with the request from which a new home restores the grant.
    Progress(Request, Tokens),
    /// A generation has ended after this many tokens, or a queued request is withdrawn.
    Release(RequestId, Tokens),
    /// State of the engine, published by its home.
    Digest(Digest),
    /// Timer of the node itself: the home may not have answered an admission request.
    AnswerTimeout(RequestId),
    /// Timer of the node itself: the home may not have decided about a queued request.
    DecisionTimeout(RequestId),
}

/// Message to a node about one engine.
#[derive(Debug)]
pub struct Message {
    /// Number of the node that receives the message.
    pub to: usize,
    /// Number of the engine.
    pub engine: usize,
    /// Content of the message.
    pub content: Content,
}

/// Sends a message between two nodes; it is lost if a network split separates them.
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
