//! Settings of a gateway, checked by whoever reads them.

use std::net::SocketAddr;
use std::time::Duration;

use daisyyard_core::allowance::Bound;
use daisyyard_derive::record;

/// Settings of a gateway.
#[record]
pub struct Settings {
    /// Name of the instance.
    pub name: String,
    /// Availability zone of the instance.
    pub zone: String,
    /// Region of the availability zone.
    pub region: String,
    /// Availability zones and their regions.
    pub zones: Vec<(String, String)>,
    /// Addresses of the gateway.
    pub listen: Listen,
    /// Address of the platform's store.
    pub store: SocketAddr,
    /// Time bounds of the deployment.
    pub bounds: Bounds,
    /// Bound on the repeated sends of all gateways together.
    pub retry_budget: Bound,
}

/// Addresses of a gateway.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Listen {
    /// Address for requests.
    pub requests: SocketAddr,
    /// Address on which the platform asks whether the gateway is ready.
    pub ready: SocketAddr,
    /// Address on which callers ask for addresses.
    pub directory: SocketAddr,
    /// Address for the digests of other gateways, over UDP.
    pub digests: SocketAddr,
    /// Address for metrics.
    pub metrics: SocketAddr,
}

/// Time bounds of a deployment.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Bounds {
    /// Time without trouble after which the gateway must be up to date again.
    pub max_staleness: Duration,
    /// Time between the order to stop and the end of the process.
    pub grace: Duration,
    /// Longest lifetime of an answer with addresses that callers respect.
    pub max_addresses_lifetime: Duration,
}
