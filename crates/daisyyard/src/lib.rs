//! Nodes that serve generations of unknown length on crowded engines, and the commands for
//! operators.

pub(crate) mod admission;
pub mod command;
pub(crate) mod completion;
pub(crate) mod connection;
pub(crate) mod delivery;
pub(crate) mod dispatch;
pub mod embedded;
pub(crate) mod event;
pub(crate) mod front;
pub(crate) mod generation;
pub mod node;
pub(crate) mod plain;
pub(crate) mod reader;
pub(crate) mod refusal;
pub(crate) mod roster;
pub mod settings;
pub mod signature;
pub(crate) mod socket;
pub mod sse;
pub(crate) mod upstream;
