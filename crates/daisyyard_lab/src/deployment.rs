//! Simulated deployments.

use std::net::SocketAddr;
use std::time::Duration;

use daisyyard_core::contract::Rank;
use daisyyard_core::endpoint::{Endpoint, Kind};
use daisyyard_core::id::{self, InstanceId, Tokens};
use daisyyard_core::zone::{Distance, Zone};

use crate::engine::Profile;

/// Number of nodes in each deployment.
const NODE_COUNT: usize = 8;
/// Number of client accounts in each deployment.
const ACCOUNT_COUNT: usize = 10;
/// Number of accounts that make far more requests than the rest; they have the lowest numbers.
pub const LARGE_ACCOUNT_COUNT: usize = 2;
/// Share of all ordinary requests that each large account makes.
const LARGE_ACCOUNT_SHARE: f64 = 0.25;
/// One-way delay within an availability zone.
const INTRA_ZONE_DELAY: Duration = Duration::from_micros(100);

/// Log-normal distribution of token counts, clamped to the range from 1 to a maximum.
#[derive(Debug, Clone, Copy)]
pub struct Length {
    /// Median number of tokens.
    pub median: f64,
    /// Standard deviation of the logarithm.
    pub sigma: f64,
    /// Maximum number of tokens.
    pub max: Tokens,
}

/// Class of requests with the same rank and length distributions.
#[derive(Debug, Clone)]
pub struct Workload {
    /// Name of the workload.
    pub name: &'static str,
    /// Rank of its requests.
    pub rank: Rank,
    /// Ordinary arrival rate of all accounts together.
    pub requests_per_s: f64,
    /// Additional arrival rate in a flood, as a multiple of the ordinary rate.
    pub flood_factor: f64,
    /// Distribution of prompt lengths.
    pub prompt: Length,
    /// Distribution of output lengths.
    pub output: Length,
}

/// Node of the deployment.
#[derive(Debug, Clone)]
pub struct Node {
    /// Identifier derived from the node's name.
    pub id: InstanceId,
    /// Availability zone of the node.
    pub zone: Zone,
}

/// Nodes, engines and workloads of one simulated site.
#[derive(Debug, Clone)]
pub struct Deployment {
    /// Name used on the command line and in reports.
    pub name: &'static str,
    /// Name of the model service.
    pub service: &'static str,
    /// Nodes that receive requests.
    pub nodes: Vec<Node>,
    /// Engines of the model service.
    pub engines: Vec<Endpoint>,
    /// Capacity and speed of each engine.
    pub profile: Profile,
    /// One-way delay between availability zones.
    pub inter_zone_delay: Duration,
    /// One-way delay between nodes and callers.
    pub client_delay: Duration,
    /// Workload with long outputs, then the one with short outputs.
    pub workloads: [Workload; 2],
}

impl Deployment {
    /// Names of all deployments.
    pub const NAMES: [&str; 2] = ["association", "pit-works"];

    /// Returns the deployment with the given name, if there is one.
    pub fn parse(name: &str) -> Option<Self> {
        match name {
            "association" => Some(association()),
            "pit-works" => Some(pit_works()),
            _ => None,
        }
    }

    /// Returns the share of all ordinary requests that an account makes.
    pub fn request_share(account: usize) -> f64 {
        if account < LARGE_ACCOUNT_COUNT {
            LARGE_ACCOUNT_SHARE
        } else {
            (1.0 - LARGE_ACCOUNT_SHARE * LARGE_ACCOUNT_COUNT as f64)
                / (ACCOUNT_COUNT - LARGE_ACCOUNT_COUNT) as f64
        }
    }

    /// Returns the numbers of all accounts.
    pub fn accounts() -> std::ops::Range<usize> {
        0..ACCOUNT_COUNT
    }

    /// Returns the one-way delay between two availability zones.
    pub fn delay_between(&self, from: &Zone, to: &Zone) -> Duration {
        match from.distance(to) {
            Distance::Local => INTRA_ZONE_DELAY,
            Distance::Regional | Distance::Remote => self.inter_zone_delay,
        }
    }
}

/// Returns the deployment of the importers' association.
fn association() -> Deployment {
    let zones = ["costa-a", "costa-b", "costa-c"].map(|name| Zone::new(name, "costa"));
    let declaration = Workload {
        name: "declaration",
        rank: Rank::Deferrable,
        requests_per_s: 13.0,
        flood_factor: 4.0,
        prompt: length(600.0, 0.4, 4_000),
        output: length(500.0, 1.0, 16_000),
    };
    let check = Workload {
        name: "check",
        rank: Rank::Urgent,
        requests_per_s: 40.0,
        flood_factor: 16.0,
        prompt: length(400.0, 0.4, 2_000),
        output: length(40.0, 0.7, 1_000),
    };
    Deployment {
        name: "association",
        service: "asistente",
        nodes: nodes(&zones),
        engines: engines(11, "asistente", &zones),
        profile: Profile::standard(),
        inter_zone_delay: Duration::from_micros(500),
        client_delay: Duration::from_millis(1),
        workloads: [declaration, check],
    }
}

/// Returns the deployment of the pigment works.
fn pit_works() -> Deployment {
    let zones = ["pit-north", "pit-east", "mill-yard"].map(|name| Zone::new(name, "gobi-south"));
    let log = Workload {
        name: "shift log",
        rank: Rank::Urgent,
        requests_per_s: 20.0,
        flood_factor: 3.0,
        prompt: length(1_200.0, 0.4, 6_000),
        output: length(400.0, 0.9, 12_000),
    };
    let grade = Workload {
        name: "grade",
        rank: Rank::Deferrable,
        requests_per_s: 40.0,
        flood_factor: 25.0,
        prompt: length(700.0, 0.4, 3_000),
        output: length(2.0, 0.3, 4),
    };
    Deployment {
        name: "pit-works",
        service: "assay-model",
        nodes: nodes(&zones),
        engines: engines(12, "assay-model", &zones),
        profile: Profile::standard(),
        inter_zone_delay: Duration::from_millis(1),
        client_delay: Duration::from_millis(3),
        workloads: [log, grade],
    }
}

/// Creates a distribution of token counts.
fn length(median: f64, sigma: f64, max: Tokens) -> Length {
    Length { median, sigma, max }
}

/// Creates the nodes, distributed over the availability zones in turn.
fn nodes(zones: &[Zone; 3]) -> Vec<Node> {
    let node = |index: usize| Node {
        id: id::of(&format!("node-{index}")),
        zone: zones[index % zones.len()].clone(),
    };
    (0..NODE_COUNT).map(node).collect()
}

/// Creates the engines, distributed over the availability zones in turn.
fn engines(count: usize, service: &str, zones: &[Zone; 3]) -> Vec<Endpoint> {
    let profile = Profile::standard();
    let engine = |index: usize| {
        let name = format!("{service}-{index}");
        let zone = zones[index % zones.len()].clone();
        let address = SocketAddr::from(([127, 0, 0, 1], 9000 + index as u16));
        let mut endpoint = Endpoint::new(&name, service, Kind::Engine, zone, address);
        endpoint.slots = profile.slots as u32;
        endpoint.memory = profile.memory;
        endpoint
    };
    (0..count).map(engine).collect()
}
