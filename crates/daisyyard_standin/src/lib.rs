//! Small stand-ins for the platform: engines, plain services, the configuration service and the
//! instance list, for tests and for `daisyyard try`.
//!
//! They speak the protocols that `docs/protocols.md` publishes, on real sockets, and can be made
//! to fail.

pub(crate) mod decoder;
pub mod engine;
pub mod fault;
pub mod instance_list;
pub(crate) mod keys;
pub mod outage;
pub mod plain;
pub mod platform_engine;
pub mod platform_fixture;
pub(crate) mod platform_keys;
pub mod platform_store;
pub mod ports;
pub mod proxy;
pub mod store;
