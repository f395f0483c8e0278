//! Stand-in for the store of the platform that gateways run on: items, watches, leases and
//! transactions. It can decline calls, leave them unanswered or discard its history.

use std::net::SocketAddr;
use std::time::{Duration, Instant};

use base64::Engine;
use base64::engine::general_purpose::STANDARD;
use hyper::body::Incoming;
use hyper::{Method, Request, Response, StatusCode};
use serde_json::{Value, json};
use tokio::net::TcpListener;
use tokio::sync::{mpsc, oneshot, watch};
use tokio::task::JoinHandle;

use daisyyard_http::{self as http, Body};

use crate::platform_keys::{self, Command, Watch};

/// Header with the era of the store.
const ERA: &str = "store-era";
/// Path of a watch.
const WATCH_PATH: &str = "/-/kv-watch";

/// Treatment of calls by the store.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Mode {
    /// Calls are executed.
    Serving,
    /// Calls fail with status 503 and have no effect.
    Declining,
    /// Calls other than reads that may be old fail with status 503.
    RecentOnly,
    /// Calls are neither executed nor answered.
    Silent,
}

/// Handle that writes keys in place of the operator and the endpoints.
#[derive(Debug, Clone)]
pub struct Writer(mpsc::UnboundedSender<Command>);

/// A running store; dropping it stops the store.
#[derive(Debug)]
pub struct PlatformStore {
    /// Address that accepts calls.
    pub address: SocketAddr,
    /// Channel to the task that owns the keys.
    commands: mpsc::UnboundedSender<Command>,
    /// Treatment of calls.
    mode: watch::Sender<Mode>,
    /// Era that responses state; zero if they state none.
    era: watch::Sender<u64>,
    /// Age of the data of reads that may be old.
    lag: watch::Sender<Duration>,
    /// Number of calls received so far, in any mode.
    calls: watch::Receiver<u64>,
    /// Number of watches among them.
    watches: watch::Receiver<u64>,
    /// Price of these calls, in tenths of a call.
    price: watch::Receiver<u64>,
    /// Task that owns the keys, and server task.
    tasks: Vec<JoinHandle<()>>,
}

impl PlatformStore {
    /// Starts a store on a free loopback port.
    pub async fn start() -> anyhow::Result<Self> {
        let listener = TcpListener::bind("127.0.0.1:0").await?;
        let address = listener.local_addr()?;
        let (commands, receiver) = mpsc::unbounded_channel();
        let (mode, current_mode) = watch::channel(Mode::Serving);
        let (era, current_era) = watch::channel(0);
        let (lag, current_lag) = watch::channel(Duration::ZERO);
        let (counter, calls) = watch::channel(0);
        let (watch_counter, watches) = watch::channel(0);
        let (meter, price) = watch::channel(0);
        let owner = tokio::spawn(platform_keys::run(receiver));
        let sender = commands.clone();
        let server = http::serve(listener, move |request: Request<Incoming>| {
            counter.send_modify(|calls| *calls += 1);
            if request.uri().path() == WATCH_PATH {
                watch_counter.send_modify(|watches| *watches += 1);
            }
            meter.send_modify(|total| *total += price_of(&request));
            let settings = (*current_mode.borrow(), *current_lag.borrow());
            let answer = handle(request, sender.clone(), settings);
            let era = current_era.clone();
            async move {
                let mut response = answer.await;
                let era = *era.borrow();
                if era > 0 {
                    response.headers_mut().insert(ERA, era.into());
                }
                response
            }
        });
        Ok(Self {
            address,
            commands,
            mode,
            era,
            lag,
            calls,
            watches,
            price,
            tasks: vec![owner, server],
        })
    }

    /// Sets the treatment of new calls; watches that already wait are not affected.
    pub fn set_mode(&self, mode: Mode) {
        self.mode.send_replace(mode);
    }

    /// Returns the number of calls received so far, in any mode.
    pub fn calls(&self) -> u64 {
        *self.calls.borrow()
    }

    /// Returns the number of watches received so far, in any mode.
    pub fn watches(&self) -> u64 {
        *self.watches.borrow()
    }

    /// Returns the price of the calls received so far, in tenths of a call.
    pub fn price(&self) -> u64 {
        *self.price.borrow()
    }

    /// Returns a handle that writes keys.
    pub fn writer(&self) -> Writer {
        Writer(self.commands.clone())
    }

    /// Writes a key without a lease.
    pub async fn put(&self, key: &str, value: &Value) {
        self.writer().put(key, value).await;
    }

    /// Deletes a key.
    pub async fn remove(&self, key: &str) {
        self.writer().remove(key).await;
    }

    /// Discards the history of changes and fails the waiting watches.
    pub fn compact(&self) {
        let _ = self.commands.send(Command::Compact);
    }

    /// Sets the era that responses state; zero stands for none.
    pub fn set_era(&self, era: u64) {
        self.era.send_replace(era);
    }

    /// Sets the age of the data of reads that may be old.
    pub fn set_lag(&self, lag: Duration) {
        self.lag.send_replace(lag);
    }

    /// Comes back from a copy of at least this age, in the next era, after being away for a time.
    pub async fn restore(&self, age: Duration, away: Duration) {
        let mode = self.mode.send_replace(Mode::Declining);
        tokio::time::sleep(away).await;
        let _ = self.commands.send(Command::Restore(age + away));
        // The task that owns the keys executes commands in order.
        let _ = self.keys("").await;
        self.era.send_modify(|era| *era += 1);
        self.mode.send_replace(mode);
    }

    /// Returns the keys that have a prefix.
    pub async fn keys(&self, prefix: &str) -> Vec<String> {
        let (reply, answer) = oneshot::channel();
        let command = Command::Range(prefix.to_owned(), Duration::ZERO, reply);
        let _ = self.commands.send(command);
        let answer = answer.await.unwrap_or_default();
        let items = answer["items"].as_array().cloned().unwrap_or_default();
        let keys = items.iter().filter_map(|item| item["key"].as_str());
        keys.map(ToOwned::to_owned).collect()
    }
}

impl Writer {
    /// Writes a key without a lease.
    pub async fn put(&self, key: &str, value: &Value) {
        let value = STANDARD.encode(value.to_string());
        let puts = vec![(key.to_owned(), value, 0)];
        self.write(puts, Vec::new()).await;
    }

    /// Deletes a key.
    pub async fn remove(&self, key: &str) {
        self.write(Vec::new(), vec![key.to_owned()]).await;
    }

    /// Writes and deletes keys, and waits until that is done.
    async fn write(&self, puts: Vec<(String, String, u64)>, removed: Vec<String>) {
        let (reply, answer) = oneshot::channel();
        let command = Command::Write {
            puts,
            removed,
            reply,
        };
        let _ = self.0.send(command);
        let _ = answer.await;
    }
}

impl Drop for PlatformStore {
    fn drop(&mut self) {
        for task in &self.tasks {
            task.abort();
        }
    }
}

/// Returns the price of a call in tenths of a call.
fn price_of(request: &Request<Incoming>) -> u64 {
    let renewal = request.uri().path().starts_with("/-/kv-keep/");
    if is_serializable(request) || renewal {
        1
    } else {
        10
    }
}

/// Returns whether a call is a read whose data may be old.
fn is_serializable(request: &Request<Incoming>) -> bool {
    parameter(request.uri().query().unwrap_or_default(), "serializable") == "1"
}

/// Handles one call.
async fn handle(
    request: Request<Incoming>,
    commands: mpsc::UnboundedSender<Command>,
    (mode, lag): (Mode, Duration),
) -> Response<Body> {
    match mode {
        Mode::Serving => {}
        Mode::RecentOnly if is_serializable(&request) => {}
        Mode::RecentOnly | Mode::Declining => {
            return http::json(StatusCode::SERVICE_UNAVAILABLE, &json!({}));
        }
        Mode::Silent => std::future::pending().await,
    }
    let age = if is_serializable(&request) {
        lag
    } else {
        Duration::ZERO
    };
    let path = request.uri().path().to_owned();
    let query = request.uri().query().unwrap_or_default().to_owned();
    let method = request.method().clone();
    let body = http::read_body(request.into_body())
        .await
        .unwrap_or_default();
    let body: Value = serde_json::from_slice(&body).unwrap_or_default();
    let lease = path.rsplit('/').next().and_then(|last| last.parse().ok());
    let answer = match (method, path.as_str(), lease) {
        (Method::GET, "/-/kv-range", _) => range(&query, age, &commands).await,
        (Method::GET, WATCH_PATH, _) => watch_changes(&query, &commands).await,
        (Method::POST, "/-/kv-txn", _) => write(&body, &commands).await,
        (Method::POST, "/-/kv-lease", _) => grant_lease(&body, &commands).await,
        (Method::POST, _, Some(lease)) => renew_lease(lease, &commands).await,
        (Method::DELETE, _, Some(lease)) => {
            let _ = commands.send(Command::Revoke(lease));
            Some(json!({}))
        }
        _ => None,
    };
    match answer {
        Some(answer) if answer.is_null() => http::json(StatusCode::GONE, &json!({})),
        Some(answer) => http::json(StatusCode::OK, &answer),
        None => http::json(StatusCode::NOT_FOUND, &json!({})),
    }
}

/// Returns a parameter of a query string, or an empty string.
fn parameter(query: &str, name: &str) -> String {
    let pairs = query.split('&').filter_map(|pair| pair.split_once('='));
    let mut values = pairs.filter(|(key, _)| *key == name);
    values
        .next()
        .map_or(String::new(), |(_, value)| value.to_owned())
}

/// Reads the items whose keys have a prefix.
async fn range(
    query: &str,
    age: Duration,
    commands: &mpsc::UnboundedSender<Command>,
) -> Option<Value> {
    let (reply, answer) = oneshot::channel();
    let prefix = parameter(query, "path_prefix");
    commands.send(Command::Range(prefix, age, reply)).ok()?;
    answer.await.ok()
}

/// Waits for changes; returns JSON `null` if the history was discarded.
async fn watch_changes(query: &str, commands: &mpsc::UnboundedSender<Command>) -> Option<Value> {
    let (reply, answer) = oneshot::channel();
    let wait = parameter(query, "wait_ms").parse().unwrap_or(0);
    let watch = Watch {
        prefix: parameter(query, "path_prefix"),
        after: parameter(query, "after").parse().unwrap_or(0),
        deadline: Instant::now() + Duration::from_millis(wait),
        reply,
    };
    commands.send(Command::Watch(watch)).ok()?;
    Some(answer.await.ok()?.unwrap_or(Value::Null))
}

/// Executes a transaction. Preconditions are ignored, as gateways do not use them.
async fn write(body: &Value, commands: &mpsc::UnboundedSender<Command>) -> Option<Value> {
    let (reply, answer) = oneshot::channel();
    let text = |value: &Value| value.as_str().unwrap_or_default().to_owned();
    let puts = body["puts"].as_array().cloned().unwrap_or_default();
    let puts = puts.iter().map(|put| {
        let lease = put["lease"].as_u64().unwrap_or(0);
        (text(&put["key"]), text(&put["value"]), lease)
    });
    let removed = body["remove"].as_array().cloned().unwrap_or_default();
    let command = Command::Write {
        puts: puts.collect(),
        removed: removed.iter().map(text).collect(),
        reply,
    };
    commands.send(command).ok()?;
    let revision = answer.await.ok()??;
    Some(json!({ "revision": revision }))
}

/// Grants a lease.
async fn grant_lease(body: &Value, commands: &mpsc::UnboundedSender<Command>) -> Option<Value> {
    let (reply, answer) = oneshot::channel();
    let lifetime = body["ttl_ms"].as_u64()?;
    commands
        .send(Command::Grant(Duration::from_millis(lifetime), reply))
        .ok()?;
    Some(json!({ "lease": answer.await.ok()?, "ttl_ms": lifetime }))
}

/// Renews a lease; returns nothing if the lease has ended.
async fn renew_lease(lease: u64, commands: &mpsc::UnboundedSender<Command>) -> Option<Value> {
    let (reply, answer) = oneshot::channel();
    commands.send(Command::Renew(lease, reply)).ok()?;
    answer.await.ok()?.then(|| json!({}))
}
