//! Task that polls the platform's instance list.

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

use crate::admission::Admission;
use crate::dispatch::{AdoptEndpoints, Dispatch};
use crate::event::{self, Event};
use crate::peer::{Peer, Seed};
use crate::remote_admission::AdoptEngines;

/// Interval between polls of the list, and the timeout of one poll.
const POLL_INTERVAL: Duration = Duration::from_secs(1);

/// JSON form of the instance list.
#[derive(Debug, Deserialize)]
struct List {
    /// Nodes and endpoints of the system.
    instances: Vec<Entry>,
}

/// One instance in the list.
#[derive(Debug, Deserialize)]
struct Entry {
    /// Name of the instance.
    name: String,
    /// Role: `node`, `engine` or `plain`.
    role: String,
    /// Service that an endpoint runs.
    service: String,
    /// Name of the availability zone.
    zone: String,
    /// Region of the availability zone.
    region: String,
    /// Address for requests.
    address: SocketAddr,
    /// Address for other nodes, used if the instance is a node.
    peer: SocketAddr,
    /// State: `live` or `leaving`.
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

impl From<&Entry> for Instance {
    fn from(entry: &Entry) -> Self {
        let zone = Zone::new(&entry.zone, &entry.region);
        let mut instance = Self::new(&entry.name, zone, entry.address, entry.peer);
        if entry.state == "leaving" {
            instance.state = instance::State::Leaving;
        }
        instance
    }
}

/// Decoded contents of the instance list.
#[derive(Debug)]
pub(crate) struct Listing {
    /// Nodes of the system.
    nodes: Vec<Instance>,
    /// Engines and plain endpoints.
    endpoints: Vec<Endpoint>,
}

/// Actors that receive every listing.
#[derive(Debug, Clone)]
pub(crate) struct Targets {
    /// Receives the endpoints, for routing.
    pub(crate) dispatch: Address<Dispatch>,
    /// Receives the engines, for admission.
    pub(crate) admission: Address<Admission>,
    /// Receives the nodes, as candidates for links.
    pub(crate) peer: Address<Peer>,
}

impl Targets {
    /// Sends a listing to the actors; returns whether all of them still run.
    pub(crate) async fn publish(&self, listing: Listing) -> bool {
        let seeded = self.peer.send(Seed(listing.nodes)).await;
        let engines = AdoptEngines(listing.endpoints.clone());
        let learned = self.admission.send(engines).await;
        let adopted = self.dispatch.send(AdoptEndpoints(listing.endpoints)).await;
        seeded.is_ok() && learned.is_ok() && adopted.is_ok()
    }
}

/// Starts the polling task, which ends when one of the actors has stopped.
pub(crate) fn spawn(list: SocketAddr, targets: Targets) -> JoinHandle<()> {
    tokio::spawn(async move {
        let mut interval = tokio::time::interval(POLL_INTERVAL);
        loop {
            interval.tick().await;
            match poll(list).await {
                Ok(listing) => {
                    if !targets.publish(listing).await {
                        return;
                    }
                }
                Err(error) => event::emit(Event::ListUnavailable, &format!("error={error:#}")),
            }
        }
    })
}

/// Fetches the list once; entries with an unknown role are skipped.
pub(crate) async fn poll(list: SocketAddr) -> anyhow::Result<Listing> {
    let call = daisyyard_http::call(list, Method::GET, "/instances", &[], "");
    let (_, body) = tokio::time::timeout(POLL_INTERVAL, call)
        .await
        .context("the instance list did not answer in time")??;
    let list: List = serde_json::from_slice(&body).context("the instance list is malformed")?;
    let (nodes, endpoints): (Vec<Entry>, Vec<Entry>) =
        list.instances.into_iter().partition(|e| e.role == "node");
    let endpoints = endpoints.into_iter().map(Endpoint::try_from);
    Ok(Listing {
        nodes: nodes.iter().map(Instance::from).collect(),
        endpoints: endpoints.filter_map(Result::ok).collect(),
    })
}
