//! Nodes that serve generations of unknown length on crowded engines, and the commands for
//! operators.

pub(crate) mod admission;
pub mod calls;
pub mod command;
pub(crate) mod completion;
pub(crate) mod connection;
pub(crate) mod delivery;
pub(crate) mod dispatch;
pub mod embedded;
pub(crate) mod event;
pub(crate) mod experiment;
pub(crate) mod front;
pub(crate) mod generation;
pub(crate) mod kv;
pub(crate) mod measure;
pub(crate) mod meter;
pub mod node;
pub mod once;
pub(crate) mod plain;
pub(crate) mod reader;
pub(crate) mod refusal;
pub(crate) mod registry;
pub(crate) mod report;
pub(crate) mod report_page;
pub(crate) mod report_table;
pub(crate) mod roster;
pub mod scan;
pub mod settings;
pub mod signature;
pub(crate) mod snapshot;
pub(crate) mod socket;
pub mod sse;
pub(crate) mod track;
pub(crate) mod upstream;
