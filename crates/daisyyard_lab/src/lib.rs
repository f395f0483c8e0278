//! Experiments in virtual time over the decisions of `daisyyard_core`.

pub mod check;
mod check_calls;
mod check_config;
mod check_orders;
mod check_stream;
