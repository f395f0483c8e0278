//! The gateway: nodes that stand between callers and endpoints on a platform that brings its own
//! store, engines and messages.
//!
//! An adapter describes the platform's messages by a [`dialect::Dialect`]; routing, limits,
//! retries, membership and recovery are decided here and in `daisyyard_core`.

pub mod body;
pub mod dialect;
pub(crate) mod digest;
pub(crate) mod escape;
pub(crate) mod event;
pub mod events;
pub(crate) mod exchange;
pub(crate) mod follow;
pub(crate) mod front;
pub mod gateway;
pub(crate) mod intake;
pub(crate) mod job;
pub(crate) mod log;
pub(crate) mod measure;
pub mod member;
pub(crate) mod message;
pub(crate) mod pool;
pub(crate) mod refusal;
pub(crate) mod register;
pub(crate) mod relay;
pub(crate) mod run;
pub mod settings;
pub(crate) mod store;
pub mod timer;
