//! Decision logic of daisyyard, without sockets, clocks or encodings.
//!
//! Each module models one object (an availability zone, an instance, an endpoint, a client
//! account, a contract, a link) and the decisions about it. A decision takes typed input and the
//! current time, and returns a small enum that says what to do next. The node, the experiments and
//! the protocol checker run the same code.

pub mod access;
pub mod account;
mod admission;
pub mod attempt;
pub mod backlog;
pub mod burn;
pub mod call;
pub mod call_record;
mod candidate;
mod capacity;
pub mod catalog;
pub mod catch_up;
pub mod choice;
pub mod coldness;
pub mod config;
pub mod continuation;
pub mod contract;
pub mod crash;
pub mod difference;
pub mod draft;
pub mod drain;
pub(crate) mod ejection;
pub mod endpoint;
pub mod evacuation;
pub mod finding;
pub mod footprint;
pub mod forecast;
pub mod forward;
pub mod gate;
pub mod gossip;
mod grant;
pub mod home;
pub mod id;
pub mod instance;
pub mod knowledge;
pub mod ledger;
pub mod length;
pub mod link;
pub mod listing;
pub mod load;
mod lru;
pub mod member;
mod memory;
pub mod migration;
pub mod order;
pub mod outage;
pub mod outlook;
mod pace;
pub mod peers;
pub mod placement;
pub mod pool;
pub mod prefix;
pub mod presence;
pub mod preset;
pub mod queue;
pub mod refusals;
pub mod retry_budget;
pub mod room;
pub mod roster;
pub mod route;
mod share;
pub mod shared_retry_budget;
pub mod statement;
pub mod store_budget;
pub mod stream;
pub mod suspect;
pub mod turn;
pub mod usage;
pub mod warmup;
pub mod wave;
pub mod workload;
pub mod zone;
