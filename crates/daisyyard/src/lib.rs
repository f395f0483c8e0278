//! Nodes that serve generations of unknown length on crowded engines, and the commands for
//! operators.

pub(crate) mod admission;
pub mod calls;
pub mod command;
pub(crate) mod completion;
pub(crate) mod dispatch;
pub mod embedded;
pub(crate) mod event;
pub(crate) mod front;
pub(crate) mod generation;
pub(crate) mod kv;
pub mod node;
pub mod once;
pub(crate) mod refusal;
pub(crate) mod registry;
pub(crate) mod roster;
pub mod scan;
pub mod settings;
pub(crate) mod upstream;
