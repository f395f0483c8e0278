//! Small stand-ins for the platform: engines, plain services, the configuration service and the
//! instance list, and the platform that gateways run on. Tests and `daisyyard try` use them.
//!
//! They implement the protocols of `docs/protocols.md` on real sockets and support fault injection.

pub mod brittle_endpoint;
pub(crate) mod decoder;
pub mod engine;
pub mod fault;
pub mod faulty_endpoint;
pub mod instance_list;
pub(crate) mod keys;
pub mod outage;
pub mod plain;
pub mod platform_engine;
pub mod platform_fixture;
pub(crate) mod platform_keys;
pub mod platform_runs;
pub mod platform_store;
pub mod platform_view;
pub mod ports;
pub mod proxy;
pub mod store;
