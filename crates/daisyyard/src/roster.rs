//! The task that polls the platform's instance list.

use std::net::SocketAddr;
use std::time::Duration;

use anyhow::Context;
use daisyyard_core::endpoint::{Endpoint, Kind, State};
use daisyyard_core::instance::{self, Instance};
use daisyyard_core::zone::Zone;
use hyper::Method;
use serde::Deserialize;
use tokio::task::JoinHandle;
use xtra::Address;

use crate::dispatch::{Adopt, AdoptNodes, Dispatch};
use crate::event::{self, Event};

/// Time between two polls of the list.
const PERIOD: Duration = Duration::from_secs(1);

/// Answer of the instance list.
#[derive(Debug, Deserialize)]
struct List {
    /// All instances.
    instances: Vec<Entry>,
}

/// One instance in the list.
#[derive(Debug, Deserialize)]
struct Entry {
    /// Name of the instance.
    name: String,
    /// `node`, `engine` or `plain`.
    role: String,
    /// Service of an endpoint.
    service: String,
    /// Availability zone.
    zone: String,
    /// Region.
    region: String,
    /// Address for requests.
    address: SocketAddr,
    /// Address for other nodes.
    peer: SocketAddr,
    /// `live` or `leaving`.
    state: String,
}

impl TryFrom<Entry> for Endpoint {
    type Error = anyhow::Error;

    fn try_from(entry: Entry) -> anyhow::Result<Self> {
        let kind = match entry.role.as_str() {
            "engine" => Kind::Engine,
            "plain" => Kind::Plain,
            role => anyhow::bail!("{role:?} is not the role of an endpoint"),
        };
        let zone = Zone::new(&entry.zone, &entry.region);
        let mut endpoint = Self::new(&entry.name, &entry.service, kind, zone, entry.address);
        if entry.state == "leaving" {
            endpoint.state = State::Leaving;
        }
        Ok(endpoint)
    }
}

impl From<Entry> for Instance {
    fn from(entry: Entry) -> Self {
        let zone = Zone::new(&entry.zone, &entry.region);
        let mut instance = Self::new(&entry.name, zone, entry.address, entry.peer);
        if entry.state == "leaving" {
            instance.state = instance::State::Leaving;
        }
        instance
    }
}

/// Endpoints and nodes of one answer of the list.
#[derive(Debug, Default)]
pub(crate) struct Roster {
    /// Endpoints.
    pub(crate) endpoints: Vec<Endpoint>,
    /// Instances that run nodes.
    pub(crate) nodes: Vec<Instance>,
}

/// Starts the task.
pub(crate) fn spawn(list: SocketAddr, dispatch: Address<Dispatch>) -> JoinHandle<()> {
    tokio::spawn(async move {
        let mut interval = tokio::time::interval(PERIOD);
        loop {
            interval.tick().await;
            match poll(list).await {
                Ok(roster) => {
                    let nodes = dispatch.send(AdoptNodes(roster.nodes)).await;
                    let endpoints = dispatch.send(Adopt(roster.endpoints)).await;
                    if nodes.and(endpoints).is_err() {
                        return;
                    }
                }
                Err(error) => event::emit(Event::ListUnavailable, &format!("error={error:#}")),
            }
        }
    })
}

/// Reads the list once.
pub(crate) async fn poll(list: SocketAddr) -> anyhow::Result<Roster> {
    let call = daisyyard_http::call(list, Method::GET, "/instances", &[], "");
    let (_, body) = tokio::time::timeout(PERIOD, call)
        .await
        .context("the list is slow")??;
    let list: List = serde_json::from_slice(&body).context("the list is malformed")?;
    let mut roster = Roster::default();
    for entry in list.instances {
        if entry.role == "node" {
            roster.nodes.push(entry.into());
        } else if let Ok(endpoint) = Endpoint::try_from(entry) {
            roster.endpoints.push(endpoint);
        }
    }
    Ok(roster)
}
