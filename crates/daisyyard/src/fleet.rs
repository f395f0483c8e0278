//! The embedded fleet: nodes and stand-ins for the platform, in one process on loopback.

use std::net::SocketAddr;

use anyhow::{Context, bail};
use daisyyard_standin::engine::{self, Engine};
use daisyyard_standin::instance_list::{Entry, List};
use daisyyard_standin::plain::{Run, Service};
use daisyyard_standin::store::Store;
use tokio::sync::watch;

use crate::caller::{Addresses, CALLER_TOKEN};
use crate::node::Node;
use crate::settings::{Credential, Settings, Timing};

/// Names and sizes of a deployment, and the prompts and the call that are sent to it.
#[derive(Debug)]
pub struct Deployment {
    /// Region of all instances.
    pub region: &'static str,
    /// Availability zones, each with one node at the start.
    pub zones: [&'static str; 3],
    /// Name of the model service, and the number of its engines.
    pub model: (&'static str, usize),
    /// Name of the plain service, and the number of its endpoints.
    pub plain: (&'static str, usize),
    /// Beginning of the prompt for a long answer, and the rank of the request.
    pub long: (&'static str, &'static str),
    /// Beginning of the prompt for a short answer.
    pub short: &'static str,
    /// Path and body of a call to the plain service that must not run more than once.
    pub booking: (&'static str, &'static str),
}

/// Bearer token of the operator of the embedded fleet.
pub(crate) const OPERATOR_TOKEN: &str = "operator-token-0";

/// The deployment of the hammock importers' association.
pub const ASSOCIATION: Deployment = Deployment {
    region: "costa",
    zones: ["costa-a", "costa-b", "costa-c"],
    model: ("asistente", 11),
    plain: ("libro-socios", 3),
    long: ("customs declaration, line by line", "deferrable"),
    short: "is this certificate of origin valid?",
    booking: ("/containers", "one container of hammocks"),
};

/// The deployment of the pigment works.
pub const PIT_WORKS: Deployment = Deployment {
    region: "gobi-south",
    zones: ["pit-north", "pit-east", "mill-yard"],
    model: ("assay-model", 12),
    plain: ("yard-office", 3),
    long: ("shift log from the assay notes", "urgent"),
    short: "grade of this batch, one word",
    booking: ("/loads", "one load of ochre"),
};

/// Running nodes and stand-ins; dropping the fleet stops them all.
#[derive(Debug)]
pub struct Fleet {
    /// Deployment that the fleet runs.
    pub deployment: &'static Deployment,
    /// Nodes that callers use.
    pub nodes: Vec<Node>,
    /// Engines of the model service.
    pub engines: Vec<Engine>,
    /// Endpoints of the plain service.
    pub plain_endpoints: Vec<Service>,
    /// Stand-in for the configuration service.
    pub store: Store,
    /// Stand-in for the instance list.
    pub list: List,
    /// Replaced engines, kept for their record of generations.
    replaced_engines: Vec<Engine>,
    /// Timeouts of the nodes.
    timing: Timing,
    /// Number of nodes started so far.
    nodes_started: usize,
    /// Addresses of the nodes that callers may use.
    addresses: watch::Sender<Vec<SocketAddr>>,
}

impl Deployment {
    /// Looks up a deployment by name.
    pub fn find(name: &str) -> anyhow::Result<&'static Self> {
        match name {
            "association" => Ok(&ASSOCIATION),
            "pit-works" => Ok(&PIT_WORKS),
            _ => bail!("unknown deployment {name:?}; use association or pit-works"),
        }
    }

    /// Returns the path of the booking call at a node.
    pub fn booking_path(&self) -> String {
        format!("/services/{}{}", self.plain.0, self.booking.0)
    }

    /// Returns the instance-list entry of an instance.
    fn entry(&self, role: &str, service: &str, index: usize, address: SocketAddr) -> Entry {
        let name = if service.is_empty() { role } else { service };
        Entry {
            name: format!("{name}-{index}"),
            role: role.to_owned(),
            service: service.to_owned(),
            zone: self.zones[index % self.zones.len()].to_owned(),
            region: self.region.to_owned(),
            address,
            peer: address,
            state: "live".to_owned(),
        }
    }
}

impl Fleet {
    /// Starts the stand-ins and a node in each availability zone.
    pub async fn start(deployment: &'static Deployment, timing: Timing) -> anyhow::Result<Self> {
        let mut entries = Vec::new();
        let mut engines = Vec::new();
        for index in 0..deployment.model.1 {
            let engine = Engine::start(engine::Options::default()).await?;
            entries.push(deployment.entry("engine", deployment.model.0, index, engine.address));
            engines.push(engine);
        }
        let mut plain_endpoints = Vec::new();
        for index in 0..deployment.plain.1 {
            let service = Service::start().await?;
            entries.push(deployment.entry("plain", deployment.plain.0, index, service.address));
            plain_endpoints.push(service);
        }
        let mut fleet = Self {
            deployment,
            nodes: Vec::new(),
            engines,
            plain_endpoints,
            store: Store::start().await?,
            list: List::start(entries).await?,
            replaced_engines: Vec::new(),
            timing,
            nodes_started: 0,
            addresses: watch::channel(Vec::new()).0,
        };
        for _ in deployment.zones {
            fleet.add_node().await?;
        }
        Ok(fleet)
    }

    /// Subscribes to the addresses of the nodes that callers may use.
    pub fn addresses(&self) -> Addresses {
        self.addresses.subscribe()
    }

    /// Starts a node in the next availability zone and adds it to the instance list.
    pub async fn add_node(&mut self) -> anyhow::Result<()> {
        let index = self.nodes_started;
        self.nodes_started += 1;
        let node = Node::start(self.settings(index)?).await?;
        let mut entries = self.list.entries();
        entries.push(Entry {
            peer: node.peer,
            ..self.deployment.entry("node", "", index, node.address)
        });
        self.list.set_entries(entries);
        self.nodes.push(node);
        self.publish_addresses();
        Ok(())
    }

    /// Removes a node from service: marks it as leaving and withdraws its address from callers.
    pub fn take_node(&mut self, index: usize) -> Node {
        let node = self.nodes.remove(index);
        self.update_entry(node.address, |entry| "leaving".clone_into(&mut entry.state));
        self.publish_addresses();
        node
    }

    /// Kills a node and returns its address, which callers and the instance list still have.
    pub fn kill_node(&mut self, index: usize) -> SocketAddr {
        self.nodes.remove(index).address
    }

    /// Replaces an engine by a new process of the same name at another address.
    pub async fn replace_engine(&mut self, index: usize) -> anyhow::Result<()> {
        let engine = Engine::start(engine::Options::default()).await?;
        let address = engine.address;
        let old = std::mem::replace(&mut self.engines[index], engine);
        self.update_entry(old.address, |entry| {
            entry.address = address;
            entry.peer = address;
        });
        self.replaced_engines.push(old);
        Ok(())
    }

    /// Changes the entries of an address in the instance list.
    pub fn update_entry(&self, address: SocketAddr, change: impl Fn(&mut Entry)) {
        let mut entries = self.list.entries();
        let found = entries.iter_mut().filter(|entry| entry.address == address);
        found.for_each(change);
        self.list.set_entries(entries);
    }

    /// Sends the addresses of the running nodes to callers.
    pub fn publish_addresses(&self) {
        let addresses = self.nodes.iter().map(|node| node.address).collect();
        self.addresses.send_replace(addresses);
    }

    /// Returns the prompts of all generations that were started, also by replaced engines.
    pub async fn prompts(&self) -> Vec<String> {
        let mut prompts = Vec::new();
        for engine in self.engines.iter().chain(&self.replaced_engines) {
            prompts.extend(engine.prompts().await);
        }
        prompts
    }

    /// Returns all calls that were run by the plain endpoints.
    pub async fn runs(&self) -> Vec<Run> {
        let mut runs = Vec::new();
        for service in &self.plain_endpoints {
            runs.extend(service.runs().await);
        }
        runs
    }

    /// Returns the settings of a node.
    fn settings(&self, index: usize) -> anyhow::Result<Settings> {
        let deployment = self.deployment;
        let free = "127.0.0.1:0".parse().context("the address is valid")?;
        let credential = Credential {
            name: "member-1".to_owned(),
            token: CALLER_TOKEN.to_owned(),
        };
        Ok(Settings {
            name: format!("node-{index}"),
            zone: deployment.zones[index % deployment.zones.len()].to_owned(),
            region: deployment.region.to_owned(),
            listen: free,
            peer: free,
            instance_list: self.list.address,
            store: self.store.address,
            key: "embedded-fleet-key".to_owned(),
            services: vec![deployment.model.0.to_owned(), deployment.plain.0.to_owned()],
            accounts: vec![credential],
            operators: vec![Credential {
                name: "operator".to_owned(),
                token: OPERATOR_TOKEN.to_owned(),
            }],
            timing: self.timing,
            log: Settings::DEFAULT_LOG,
        })
    }
}
