//! `daisyyard try`: a small fleet with stand-ins for the platform, in one process on loopback.

use std::net::SocketAddr;
use std::time::Instant;

use anyhow::{Context, bail};
use daisyyard_standin::engine::{self, Engine};
use daisyyard_standin::list::{Entry, List};
use daisyyard_standin::plain::Service;
use daisyyard_standin::store::Store;
use hyper::Method;
use serde_json::{Value, json};

use crate::node::Node;
use crate::settings::{Credential, Settings, Timing};

/// Names of one deployment.
#[derive(Debug)]
struct Deployment {
    /// Region.
    region: &'static str,
    /// Availability zones.
    zones: [&'static str; 3],
    /// Model service and its engines.
    model: (&'static str, usize),
    /// Plain service and its endpoints.
    plain: (&'static str, usize),
}

/// The deployment of the hammock importers' association.
const ASSOCIATION: Deployment = Deployment {
    region: "costa",
    zones: ["costa-a", "costa-b", "costa-c"],
    model: ("asistente", 11),
    plain: ("libro-socios", 3),
};

/// The deployment of the pigment works.
const PIT_WORKS: Deployment = Deployment {
    region: "gobi-south",
    zones: ["pit-north", "pit-east", "mill-yard"],
    model: ("assay-model", 12),
    plain: ("yard-office", 3),
};

/// A fleet of nodes and stand-ins; dropping it ends them all.
#[derive(Debug)]
struct Fleet {
    /// Nodes.
    nodes: Vec<Node>,
    /// Engines.
    _engines: Vec<Engine>,
    /// Endpoints of the plain service.
    _services: Vec<Service>,
    /// Configuration service.
    _store: Store,
    /// Instance list.
    _list: List,
}

/// Runs the fleet and returns whether every promise that was checked held.
pub async fn run(name: &str) -> anyhow::Result<bool> {
    let deployment = match name {
        "association" => ASSOCIATION,
        "pit-works" => PIT_WORKS,
        _ => bail!("unknown deployment {name:?}; use association or pit-works"),
    };
    let fleet = Fleet::start(&deployment).await?;
    let long = "customs declaration, line by line, length=200";
    let short = "is this certificate of origin valid? length=1";
    let streamed = stream(fleet.nodes[0].address, deployment.model.0, long);
    let checked = complete(fleet.nodes[1].address, deployment.model.0, short);
    let (streamed, checked) = tokio::try_join!(streamed, checked)?;
    let whole = streamed == engine::text(long) && checked == engine::text(short);
    println!("stream whole: {}", streamed == engine::text(long));
    println!("short answer whole: {}", checked == engine::text(short));
    Ok(whole)
}

impl Fleet {
    /// Starts the stand-ins and three nodes.
    async fn start(deployment: &Deployment) -> anyhow::Result<Self> {
        let mut entries = Vec::new();
        let mut engines = Vec::new();
        for index in 0..deployment.model.1 {
            let engine = Engine::start(engine::Options::default()).await?;
            entries.push(deployment.entry("engine", deployment.model.0, index, engine.address));
            engines.push(engine);
        }
        let mut services = Vec::new();
        for index in 0..deployment.plain.1 {
            let service = Service::start().await?;
            entries.push(deployment.entry("plain", deployment.plain.0, index, service.address));
            services.push(service);
        }
        let list = List::start(entries).await?;
        let store = Store::start().await?;
        let mut nodes = Vec::new();
        for (index, zone) in deployment.zones.iter().enumerate() {
            let settings = deployment.settings(index, zone, list.address, store.address)?;
            nodes.push(Node::start(settings).await?);
        }
        let entry = |(index, node): (usize, &Node)| Entry {
            name: format!("node-{index}"),
            peer: node.peer,
            ..deployment.entry("node", "", index, node.address)
        };
        let nodes_listed = nodes.iter().enumerate().map(entry);
        list.show(list.entries().into_iter().chain(nodes_listed).collect());
        Ok(Self {
            nodes,
            _engines: engines,
            _services: services,
            _store: store,
            _list: list,
        })
    }
}

impl Deployment {
    /// Returns the instance-list entry of an endpoint.
    fn entry(&self, role: &str, service: &str, index: usize, address: SocketAddr) -> Entry {
        Entry {
            name: format!("{service}-{index}"),
            role: role.to_owned(),
            service: service.to_owned(),
            zone: self.zones[index % self.zones.len()].to_owned(),
            region: self.region.to_owned(),
            address,
            peer: address,
            state: "live".to_owned(),
        }
    }

    /// Returns the settings of a node.
    fn settings(
        &self,
        index: usize,
        zone: &str,
        list: SocketAddr,
        store: SocketAddr,
    ) -> anyhow::Result<Settings> {
        let credential = Credential {
            name: "member-1".to_owned(),
            token: "member-1-token-0".to_owned(),
        };
        Ok(Settings {
            name: format!("node-{index}"),
            zone: zone.to_owned(),
            region: self.region.to_owned(),
            listen: "127.0.0.1:0".parse()?,
            peer: "127.0.0.1:0".parse()?,
            list,
            store,
            key: "embedded-fleet-key".to_owned(),
            services: vec![self.model.0.to_owned(), self.plain.0.to_owned()],
            accounts: vec![credential],
            operators: Vec::new(),
            timing: Timing::default(),
            log: Settings::LOG,
        })
    }
}

/// Headers of the embedded caller.
const HEADERS: [(&str, &str); 2] = [
    ("authorization", "Bearer member-1-token-0"),
    ("content-type", "application/json"),
];

/// Streams an answer and returns its text.
async fn stream(address: SocketAddr, model: &str, prompt: &str) -> anyhow::Result<String> {
    let started = Instant::now();
    let body = json!({
        "model": model,
        "stream": true,
        "messages": [{"role": "user", "content": prompt}],
    });
    let path = "/v1/chat/completions";
    let call = daisyyard_http::call(address, Method::POST, path, &HEADERS, body.to_string());
    let (_, bytes) = call.await?;
    let answer = String::from_utf8(bytes.to_vec())?;
    let mut text = String::new();
    for data in answer
        .lines()
        .filter_map(|line| line.strip_prefix("data: "))
    {
        let value: Value = serde_json::from_str(data).unwrap_or_default();
        text.push_str(
            value["choices"][0]["delta"]["content"]
                .as_str()
                .unwrap_or_default(),
        );
    }
    println!("streamed {} bytes in {:?}", text.len(), started.elapsed());
    Ok(text)
}

/// Asks for an answer that is not streamed and returns its text.
async fn complete(address: SocketAddr, model: &str, prompt: &str) -> anyhow::Result<String> {
    let body = json!({"model": model, "messages": [{"role": "user", "content": prompt}]});
    let path = "/v1/chat/completions";
    let call = daisyyard_http::call(address, Method::POST, path, &HEADERS, body.to_string());
    let (status, bytes) = call.await?;
    let value: Value = serde_json::from_slice(&bytes).context("the answer is not JSON")?;
    let text = value["choices"][0]["message"]["content"].as_str();
    text.map(str::to_owned)
        .with_context(|| format!("status {status}: {value}"))
}
