//! Discrete-event simulation, protocol checks and cost measurements of the decisions of
//! `daisyyard_core`.

pub mod ablation;
pub mod baseline;
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
pub mod event_queue;
pub mod experiment;
pub mod fit;
pub mod fleet;
pub mod message;
mod message_handler;
pub mod meter;
pub mod plot;
mod probe;
pub mod report;
pub mod scale;
mod scale_call;
mod scale_entry;
mod scale_home;
mod scale_member;
pub mod seed_sweep;
pub mod simulation;
pub mod workload;
pub mod world;
