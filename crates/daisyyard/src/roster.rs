//! The task that polls the platform's instance list.

use std::net::SocketAddr;
use std::time::Duration;

use anyhow::Context;
use daisyyard_core::endpoint::{Endpoint, Kind, State};
use daisyyard_core::zone::Zone;
use hyper::Method;
use serde::Deserialize;
use tokio::task::JoinHandle;
use xtra::Address;

use crate::dispatch::{Adopt, Dispatch};
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

/// Starts the task.
pub(crate) fn spawn(list: SocketAddr, dispatch: Address<Dispatch>) -> JoinHandle<()> {
    tokio::spawn(async move {
        let mut interval = tokio::time::interval(PERIOD);
        loop {
            interval.tick().await;
            match poll(list).await {
                Ok(endpoints) => {
                    if dispatch.send(Adopt(endpoints)).await.is_err() {
                        return;
                    }
                }
                Err(error) => event::emit(Event::ListUnavailable, &format!("error={error:#}")),
            }
        }
    })
}

/// Reads the list once.
pub(crate) async fn poll(list: SocketAddr) -> anyhow::Result<Vec<Endpoint>> {
    let call = daisyyard_http::call(list, Method::GET, "/instances", &[], "");
    let (_, body) = tokio::time::timeout(PERIOD, call)
        .await
        .context("the list is slow")??;
    let list: List = serde_json::from_slice(&body).context("the list is malformed")?;
    Ok(list
        .instances
        .into_iter()
        .filter_map(|entry| Endpoint::try_from(entry).ok())
        .collect())
}
