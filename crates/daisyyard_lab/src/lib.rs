//! Experiments in virtual time over the decisions of `daisyyard_core`.

pub mod ablation;
pub mod agenda;
pub mod baseline;
pub mod bench;
pub mod cache;
pub mod caller;
pub mod central;
pub mod check;
mod check_calls;
mod check_config;
mod check_orders;
mod check_stream;
pub mod deployment;
pub mod engine;
pub mod experiment;
pub mod fleet;
mod mailbox;
pub mod message;
pub mod meter;
pub mod plot;
pub mod report;
pub mod spread;
pub mod workload;
pub mod world;
