//! Nodes that serve generations of unknown length on crowded engines, and the commands for
//! operators.

pub(crate) mod admission;
pub(crate) mod audit;
pub mod caller;
pub mod calls;
pub mod command;
pub(crate) mod completion;
pub(crate) mod connection;
pub(crate) mod delivery;
pub(crate) mod dispatch;
pub mod embedded;
pub(crate) mod event;
pub(crate) mod experiment;
pub mod faults;
pub mod fleet;
pub(crate) mod front;
pub(crate) mod generation;
pub(crate) mod kv;
pub mod node;
pub mod once;
pub(crate) mod plain;
pub(crate) mod reader;
pub(crate) mod refusal;
pub(crate) mod registry;
pub(crate) mod roster;
pub mod scan;
pub(crate) mod schedule;
pub mod settings;
pub mod signature;
pub(crate) mod socket;
pub mod sse;
pub(crate) mod table;
pub(crate) mod upstream;
