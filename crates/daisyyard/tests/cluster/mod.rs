//! A cluster of linked nodes on loopback, with stand-ins for the platform.

#![allow(dead_code, reason = "each test file uses a part of the cluster")]

use std::time::{Duration, Instant};

use daisyyard::node::Node;
use daisyyard::settings::{Credential, Settings, Timing};
use daisyyard::status::Status;
use daisyyard_core::preset::Preset;
use daisyyard_standin::engine::{self, Engine};
use daisyyard_standin::instance_list::{Entry, List};
use daisyyard_standin::store::Store;

/// Availability zones, over which the instances are spread in turn.
pub const ZONES: [&str; 3] = ["costa-a", "costa-b", "costa-c"];
/// Model service of the engines.
pub const MODEL: &str = "asistente";
/// Shared key of the nodes.
pub const KEY: &str = "fleet key";

/// Nodes and stand-ins for the platform; dropping it stops all of them.
pub struct Cluster {
    /// Running nodes.
    pub nodes: Vec<Node>,
    /// Stand-in engines.
    pub engines: Vec<Engine>,
    /// Stand-in for the configuration service.
    pub store: Store,
    /// Stand-in for the instance list.
    pub list: List,
}

impl Cluster {
    /// Starts nodes and engines and waits until each node knows all others.
    pub async fn start(nodes: usize, engines: usize) -> Self {
        let mut cluster = Self {
            nodes: Vec::new(),
            engines: Vec::new(),
            store: Store::start().await.expect("the store starts"),
            list: List::start(Vec::new()).await.expect("the list starts"),
        };
        for index in 0..engines {
            let engine = Engine::start(engine::Options::default()).await;
            let engine = engine.expect("an engine starts");
            let name = format!("engine-{index}");
            let mut entries = cluster.list.entries();
            entries.push(entry(
                &name,
                "engine",
                index,
                engine.address,
                engine.address,
            ));
            cluster.list.set_entries(entries);
            cluster.engines.push(engine);
        }
        for _ in 0..nodes {
            cluster.add_node().await;
        }
        let all_known = |status: &Status| status.members.len() == nodes;
        cluster.wait_until(Duration::from_secs(10), all_known).await;
        cluster
    }

    /// Starts one more node and adds it to the instance list.
    pub async fn add_node(&mut self) {
        let index = self.nodes.len();
        let node = Node::start(self.settings(index)).await;
        let node = node.expect("a node starts");
        let mut entries = self.list.entries();
        let name = format!("node-{index}");
        entries.push(entry(&name, "node", index, node.address, node.peer));
        self.list.set_entries(entries);
        self.nodes.push(node);
    }

    /// Returns the settings of the node with this index.
    pub fn settings(&self, index: usize) -> Settings {
        let loopback = "127.0.0.1:0".parse().expect("an address");
        let credential = |account: &str, token: &str| Credential {
            name: account.to_owned(),
            token: token.to_owned(),
        };
        Settings {
            name: format!("node-{index}"),
            zone: ZONES[index % ZONES.len()].to_owned(),
            region: "costa".to_owned(),
            listen: loopback,
            peer: loopback,
            instance_list: self.list.address,
            store: self.store.address,
            key: KEY.to_owned(),
            accounts: vec![credential("member-1", "token-member-0001")],
            operators: vec![credential("ines", "operator-1")],
            services: vec![MODEL.to_owned()],
            timing: Timing::default(),
            log: Settings::DEFAULT_LOG,
        }
    }

    /// Waits until the status of every node meets a condition; returns the time at which each did.
    pub async fn wait_until(
        &self,
        limit: Duration,
        condition: impl Fn(&Status) -> bool,
    ) -> Vec<Instant> {
        let started = Instant::now();
        let mut met = vec![None; self.nodes.len()];
        while met.iter().any(Option::is_none) {
            assert!(
                started.elapsed() < limit,
                "not met by {met:?} within {limit:?}"
            );
            for (node, met) in self.nodes.iter().zip(&mut met) {
                let status = node.status().await.expect("the node runs");
                if met.is_none() && condition(&status) {
                    *met = Some(Instant::now());
                }
            }
            tokio::time::sleep(Duration::from_millis(1)).await;
        }
        met.into_iter().flatten().collect()
    }
}

/// Returns an entry of the instance list for a live instance.
pub fn entry(
    name: &str,
    role: &str,
    index: usize,
    address: std::net::SocketAddr,
    peer: std::net::SocketAddr,
) -> Entry {
    Entry {
        name: name.to_owned(),
        role: role.to_owned(),
        service: if role == "engine" { MODEL } else { "" }.to_owned(),
        zone: ZONES[index % ZONES.len()].to_owned(),
        region: "costa".to_owned(),
        address,
        peer,
        state: "live".to_owned(),
    }
}

/// Returns the ordinary preset under another name.
pub fn preset(name: &str) -> Preset {
    Preset {
        name: name.to_owned(),
        ..Preset::ordinary(&[MODEL])
    }
}
