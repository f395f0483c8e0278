//! Stand-in for the instance list of the platform.

use std::net::SocketAddr;

use hyper::StatusCode;
use serde_json::{Value, json};
use tokio::net::TcpListener;
use tokio::sync::watch;
use tokio::task::JoinHandle;

use daisyyard_http as http;

/// A running instance list; dropping it stops the server.
#[derive(Debug)]
pub struct List {
    /// Address that serves `GET /instances`.
    pub address: SocketAddr,
    /// Entries that the list returns.
    entries: watch::Sender<Vec<Entry>>,
    /// Server task.
    task: JoinHandle<()>,
}

/// An instance in the list.
#[derive(Debug, Clone)]
pub struct Entry {
    /// Name of the instance.
    pub name: String,
    /// `node`, `engine` or `plain`.
    pub role: String,
    /// Service of an endpoint, or empty for a node.
    pub service: String,
    /// Availability zone of the instance.
    pub zone: String,
    /// Region of the zone.
    pub region: String,
    /// Address that accepts requests.
    pub address: SocketAddr,
    /// Address that accepts connections of other nodes; equals `address` for an endpoint.
    pub peer: SocketAddr,
    /// `live` or `leaving`.
    pub state: String,
}

impl List {
    /// Starts an instance list on a free loopback port.
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

    /// Replaces the entries that the list returns.
    pub fn set_entries(&self, entries: Vec<Entry>) {
        self.entries.send_replace(entries);
    }

    /// Returns the current entries.
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
    /// Returns the entry in the JSON format of the list.
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
