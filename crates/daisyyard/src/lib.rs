//! Nodes that serve generations of unknown length on crowded engines, and the commands for
//! operators.

pub(crate) mod admission;
pub mod command;
pub(crate) mod completion;
pub(crate) mod dispatch;
pub mod embedded;
pub(crate) mod event;
pub(crate) mod experiment;
pub(crate) mod front;
pub(crate) mod generation;
pub mod node;
pub(crate) mod refusal;
pub(crate) mod roster;
pub mod settings;
pub(crate) mod upstream;
