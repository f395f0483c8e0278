//! Stand-in for the platform's instance list.

use std::net::SocketAddr;

use hyper::StatusCode;
use serde_json::{Value, json};
use tokio::net::TcpListener;
use tokio::sync::watch;
use tokio::task::JoinHandle;

use daisyyard_http as http;

/// A running instance list; dropping it ends the list.
#[derive(Debug)]
pub struct List {
    /// Address on which the list answers `GET /instances`.
    pub address: SocketAddr,
    /// Entries that the list shows.
    entries: watch::Sender<Vec<Entry>>,
    /// Task of the list.
    task: JoinHandle<()>,
}

/// One line of the list.
#[derive(Debug, Clone)]
pub struct Entry {
    /// Name of the instance.
    pub name: String,
    /// `node`, `engine` or `plain`.
    pub role: String,
    /// Service of an endpoint; empty for a node.
    pub service: String,
    /// Availability zone.
    pub zone: String,
    /// Region of the zone.
    pub region: String,
    /// Address for requests.
    pub address: SocketAddr,
    /// Address for other nodes; the same as `address` for an endpoint.
    pub peer: SocketAddr,
    /// `live` or `leaving`.
    pub state: String,
}

impl List {
    /// Starts a list on a free loopback port.
    pub async fn start(entries: Vec<Entry>) -> anyhow::Result<Self> {
        let listener = TcpListener::bind("127.0.0.1:0").await?;
        let address = listener.local_addr()?;
        let (entries, current) = watch::channel(entries);
        let task = http::serve(listener, move |_request| {
            let lines: Vec<Value> = current.borrow().iter().map(Entry::json).collect();
            async move { http::json(StatusCode::OK, &json!({"instances": lines})) }
        });
        Ok(Self {
            address,
            entries,
            task,
        })
    }

    /// Replaces the entries that the list shows.
    pub fn set_entries(&self, entries: Vec<Entry>) {
        self.entries.send_replace(entries);
    }

    /// Returns the entries that the list shows.
    pub fn entries(&self) -> Vec<Entry> {
        self.entries.borrow().clone()
    }
}

impl Drop for List {
    fn drop(&mut self) {
        self.task.abort();
    }
}

impl Entry {
    /// Returns the entry's line in the list.
    fn json(&self) -> Value {
        json!({
            "name": self.name,
            "role": self.role,
            "service": self.service,
            "zone": self.zone,
            "region": self.region,
            "address": self.address.to_string(),
            "peer": self.peer.to_string(),
            "state": self.state,
        })
    }
}
