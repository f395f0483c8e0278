//! Small stand-ins for the platform: engines, plain services, the configuration service and the
//! instance list, for tests and for `daisyyard try`.
//!
//! They speak the protocols that `docs/protocols.md` publishes, on real sockets, and can be made
//! to fail.

pub mod engine;
pub(crate) mod keys;
pub mod list;
pub mod plain;
pub mod store;
