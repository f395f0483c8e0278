//! Decisions of daisyyard, free of sockets, clocks and encodings.
//!
//! Every module holds one object of the served world (an availability zone, an instance, an
//! endpoint, a client account, a contract, a link) with the decisions that concern it. Each
//! decision takes typed input and the present time, and returns a small enum that says what to
//! do next. The node, the experiments and the protocol checker all drive this same code.

pub mod account;
pub mod attempt;
pub mod config;
pub mod contract;
pub mod endpoint;
pub mod forward;
pub mod home;
pub mod id;
pub mod instance;
pub mod ledger;
pub mod member;
pub mod peers;
pub mod preset;
pub mod record;
pub mod route;
pub mod store_budget;
pub mod stream;
pub mod zone;
