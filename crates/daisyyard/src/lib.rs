//! Nodes that serve generations of unknown length on crowded engines, and the commands for
//! operators.

pub(crate) mod admin;
pub(crate) mod admission;
pub mod command;
pub(crate) mod completion;
pub(crate) mod convert;
pub(crate) mod dispatch;
pub mod document;
pub mod embedded;
pub(crate) mod event;
pub(crate) mod exchange;
pub(crate) mod follow;
pub(crate) mod front;
pub(crate) mod generated;
pub(crate) mod generation;
pub mod link;
pub(crate) mod load;
pub mod node;
pub mod operator;
pub(crate) mod peer;
pub(crate) mod progress;
pub(crate) mod refusal;
pub(crate) mod remote;
pub mod revise;
pub(crate) mod roster;
pub mod settings;
pub mod status;
pub(crate) mod store;
pub(crate) mod upstream;
pub mod wire;
