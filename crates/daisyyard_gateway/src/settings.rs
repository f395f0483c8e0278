//! Settings of a gateway. The code that reads them also checks them.

use std::net::SocketAddr;
use std::time::Duration;

use daisyyard_core::footprint::Machine;
use daisyyard_core::shared_retry_budget::Limits;
use daisyyard_core::warmup::Allowance;
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
    /// All availability zones and their regions.
    pub zones: Vec<(String, String)>,
    /// Addresses on which the gateway listens.
    pub listen: Listen,
    /// Address of the platform's store.
    pub store: SocketAddr,
    /// Limits of the deployment on times and rates.
    pub bounds: Bounds,
    /// Limits of the retry budget, which all gateways share.
    pub retry_budget: Limits,
    /// Memory and descriptors of the machine.
    pub machine: Machine,
    /// Whether requests are admitted by what waiting costs callers, instead of in the order of the
    /// backlog.
    pub admission: bool,
}

/// The smallest machine on which gateways run. It is assumed if the settings state none: a gateway
/// that was sized for it holds less for its callers than the account of this machine allows.
pub const SMALLEST_MACHINE: Machine = Machine {
    memory: 88_000_000,
    descriptors: 3_075,
};

/// Addresses on which a gateway listens.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Listen {
    /// Address for requests.
    pub requests: SocketAddr,
    /// Address for readiness probes of the platform.
    pub ready: SocketAddr,
    /// Address on which callers ask for gateway addresses.
    pub directory: SocketAddr,
    /// Address for other gateways: UDP for their digests, TCP for requests that they relay.
    pub digests: SocketAddr,
    /// Address for metrics.
    pub metrics: SocketAddr,
}

/// Limits of a deployment on times and rates.
#[record]
pub struct Bounds {
    /// Maximum time after the end of a fault until the gateway's state is up to date again.
    pub max_recovery_time: Duration,
    /// Maximum time from the confirmation of a configuration until it is in force.
    pub max_config_delay: Duration,
    /// Maximum time from the confirmation of an order to evacuate an availability zone until it is in
    /// force; unlimited where there are no evacuations.
    pub max_evacuation_delay: Duration,
    /// Time between the stop signal and the end of the process.
    pub grace: Duration,
    /// Maximum time for which callers may cache gateway addresses.
    pub max_addresses_lifetime: Duration,
    /// How far the requests to a cold endpoint may exceed the rate that it tolerates; none if they are
    /// not limited.
    pub cold: Option<Allowance>,
}

impl Bounds {
    /// Returns the maximum time from the confirmation of a change in the store until it is in force.
    pub(crate) fn max_store_delay(&self) -> Duration {
        self.max_config_delay.min(self.max_evacuation_delay)
    }
}
