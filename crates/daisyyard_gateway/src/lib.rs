//! The gateway: a proxy between callers and endpoints on a platform that has its own store, engines
//! and messages.
//!
//! An adapter describes the platform's messages with a [`codec::Codec`]; this crate and
//! `daisyyard_core` decide on routing, limits, retries, membership and recovery.

pub(crate) mod admission;
pub(crate) mod adoption;
pub(crate) mod answer;
pub(crate) mod archive;
pub mod body;
pub(crate) mod buffer;
pub mod codec;
pub(crate) mod cold;
pub(crate) mod content;
pub(crate) mod detour;
pub(crate) mod digest;
pub(crate) mod ending;
pub mod evacuation;
pub(crate) mod event;
pub(crate) mod failover;
pub(crate) mod fleet;
pub(crate) mod frame;
pub(crate) mod gaps;
pub mod gateway;
pub(crate) mod halt;
pub(crate) mod handover;
pub(crate) mod ingress;
pub(crate) mod isolation;
pub(crate) mod job;
pub(crate) mod limit;
pub(crate) mod log;
pub mod member;
pub(crate) mod memory;
pub(crate) mod message;
pub(crate) mod metrics;
pub(crate) mod migration;
pub(crate) mod offer;
pub(crate) mod owners;
pub(crate) mod pages;
pub(crate) mod passage;
pub(crate) mod peer;
pub(crate) mod pool;
pub(crate) mod proof;
pub(crate) mod proxy;
pub(crate) mod reach;
pub(crate) mod refusal;
pub(crate) mod registration;
pub(crate) mod relay;
pub(crate) mod restart;
pub(crate) mod run;
pub(crate) mod sent;
pub(crate) mod server;
pub mod settings;
pub(crate) mod socket;
pub mod sse;
pub(crate) mod standby;
mod statement;
pub(crate) mod store;
pub mod timer;
pub(crate) mod watcher;
pub(crate) mod wire;
pub(crate) mod wire_demand;
pub(crate) mod wire_limit;
