//! A view of the stand-in for the platform's store in which engines have other addresses. A gateway
//! that reads the view reaches the engines over links of its own, which a test can cut.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::Arc;

use base64::Engine;
use base64::engine::general_purpose::STANDARD;
use daisyyard_http::{self as http, Body};
use hyper::body::Incoming;
use hyper::{Request, Response, StatusCode};
use serde_json::{Value, json};
use tokio::net::TcpListener;
use tokio::task::JoinHandle;

/// Addresses of engines in a view, by their addresses in the store.
pub type Addresses = HashMap<SocketAddr, SocketAddr>;

/// A running view; dropping it stops the view.
#[derive(Debug)]
pub struct PlatformView {
    /// Address that accepts calls.
    pub address: SocketAddr,
    /// Server task.
    server: JoinHandle<()>,
}

impl PlatformView {
    /// Starts a view of the store on a free loopback port.
    ///
    /// # Errors
    ///
    /// Fails if no port is free.
    pub async fn start(store: SocketAddr, addresses: Addresses) -> anyhow::Result<Self> {
        let listener = TcpListener::bind("127.0.0.1:0").await?;
        let address = listener.local_addr()?;
        let addresses = Arc::new(addresses);
        let server = http::serve(listener, move |request| {
            answer(store, Arc::clone(&addresses), request)
        });
        Ok(Self { address, server })
    }
}

impl Drop for PlatformView {
    fn drop(&mut self) {
        self.server.abort();
    }
}

/// Passes a call on to the store and replaces the addresses in its answer.
async fn answer(
    store: SocketAddr,
    addresses: Arc<Addresses>,
    request: Request<Incoming>,
) -> Response<Body> {
    let (head, body) = request.into_parts();
    let body = http::read_body(body).await.unwrap_or_default();
    let path = head.uri.to_string();
    match http::call(store, head.method, &path, &[], body).await {
        Ok((status, answer)) => {
            let mut answer = serde_json::from_slice(&answer).unwrap_or_default();
            replace(&mut answer, &addresses);
            http::json(status, &answer)
        }
        Err(_) => http::json(StatusCode::SERVICE_UNAVAILABLE, &json!({})),
    }
}

/// Replaces the addresses in all items of an answer.
fn replace(answer: &mut Value, addresses: &Addresses) {
    for list in ["items", "events"] {
        let items = answer.get_mut(list).and_then(Value::as_array_mut);
        for item in items.into_iter().flatten() {
            if let Some(value) = replaced(item, addresses) {
                item["value"] = value.into();
            }
        }
    }
}

/// Returns the value of an item with another address, if it is an engine that has one.
fn replaced(item: &Value, addresses: &Addresses) -> Option<String> {
    let value = STANDARD.decode(item["value"].as_str()?).ok()?;
    let mut entry: Value = serde_json::from_slice(&value).ok()?;
    let address = entry["address"].as_str()?.parse().ok()?;
    entry["address"] = addresses.get(&address)?.to_string().into();
    Some(STANDARD.encode(entry.to_string()))
}
