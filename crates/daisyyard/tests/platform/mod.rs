//! A small platform on loopback: a store, engines, and gateways in separate processes.

#![allow(dead_code, reason = "each test file uses a part of the platform")]

pub(crate) mod outlier;

use std::net::SocketAddr;
use std::process::{Child, Command, Stdio};
use std::time::{Duration, Instant};

use daisyyard_core::id;
use daisyyard_core::roster::{Node, Role, Roster};
use daisyyard_standin::brittle_endpoint::{BrittleEndpoint, Conduct};
use daisyyard_standin::faulty_endpoint::{Fault, FaultyEndpoint};
use daisyyard_standin::platform_engine::{Arrival, PlatformEngine, Runs};
use daisyyard_standin::platform_fixture::{self, HOST};
#[allow(unused_imports, reason = "each test file uses a part of the platform")]
pub(crate) use daisyyard_standin::platform_fixture::{CREDENTIAL, config, events, settings};
use daisyyard_standin::platform_store::PlatformStore;
use daisyyard_standin::ports;
use hyper::{Method, StatusCode};

/// Timeout for an expected condition, long enough for a busy machine.
pub(crate) const TIMEOUT: Duration = Duration::from_secs(10);
/// Interval between two checks of an expected condition.
const POLL_INTERVAL: Duration = Duration::from_millis(10);
/// Index of the address of a gateway's metrics, which it serves once all others are open.
const METRICS_INDEX: usize = 4;
/// Interval between two events of an engine.
pub(crate) const EVENT_INTERVAL: Duration = Duration::from_millis(20);

/// The platform with its gateways.
pub(crate) struct Platform {
    /// Stand-in for the platform's store.
    pub(crate) store: PlatformStore,
    /// Record of the requests received by all engines.
    pub(crate) runs: Runs,
    /// Model engines, then plain endpoints, in the order in which they were started.
    pub(crate) engines: Vec<PlatformEngine>,
    /// Gateway processes.
    pub(crate) gateways: Vec<Gateway>,
    /// Number of the next attempt.
    attempts: u32,
}

/// A gateway process, which is killed when the handle is dropped.
pub(crate) struct Gateway {
    /// Handle of the process.
    pub(crate) process: Child,
    /// Address that serves requests of callers.
    pub(crate) requests: SocketAddr,
    /// Address that reports readiness.
    pub(crate) ready: SocketAddr,
    /// Address that resolves names to gateway addresses.
    pub(crate) directory: SocketAddr,
    /// Address that serves the metrics.
    pub(crate) metrics: SocketAddr,
}

/// A caller's request to a gateway.
pub(crate) struct Request<'a> {
    /// HTTP method.
    pub(crate) method: Method,
    /// Path and query.
    pub(crate) path: &'a str,
    /// Headers that replace or extend the default ones.
    pub(crate) headers: Vec<(&'a str, &'a str)>,
    /// Request body.
    pub(crate) body: &'a str,
}

impl Drop for Gateway {
    fn drop(&mut self) {
        let _ = self.process.kill();
        let _ = self.process.wait();
    }
}

impl Platform {
    /// Starts a platform with model engines and plain endpoints, but without gateways.
    pub(crate) async fn start(engines: usize, plain: usize) -> Self {
        let mut platform = Self {
            store: PlatformStore::start().await.expect("the store starts"),
            runs: Runs::start(),
            engines: Vec::new(),
            gateways: Vec::new(),
            attempts: 0,
        };
        platform.store.put("op/config", &config(1)).await;
        for number in 0..engines {
            platform
                .add_engine(&format!("engine-{number}"), "model")
                .await;
        }
        for number in 0..plain {
            platform
                .add_engine(&format!("plain-{number}"), "desk")
                .await;
        }
        platform
    }

    /// Starts an engine or a plain endpoint and writes its entry to the store.
    pub(crate) async fn add_engine(&mut self, name: &str, service: &str) {
        self.add_engine_with_interval(name, service, EVENT_INTERVAL)
            .await;
    }

    /// Starts an engine with the given interval between events and writes its entry to the store.
    pub(crate) async fn add_engine_with_interval(
        &mut self,
        name: &str,
        service: &str,
        event_interval: Duration,
    ) {
        let engine = PlatformEngine::start(name, event_interval, &self.runs).await;
        self.engines.push(engine.expect("the engine starts"));
        self.put_entry(self.engines.len() - 1, service, "ready")
            .await;
    }

    /// Starts a model engine that the platform does not own, and writes its entry to the store.
    pub(crate) async fn join_engine(&self, name: &str) -> PlatformEngine {
        let engine = PlatformEngine::start(name, EVENT_INTERVAL, &self.runs).await;
        let engine = engine.expect("the engine starts");
        let entry = platform_fixture::entry("model", engine.address, "ready");
        self.store.put(&format!("servers/{name}"), &entry).await;
        engine
    }

    /// Writes the entry of an engine or plain endpoint to the store.
    pub(crate) async fn put_entry(&self, index: usize, service: &str, state: &str) {
        let engine = &self.engines[index];
        let entry = platform_fixture::entry(service, engine.address, state);
        self.store
            .put(&format!("servers/{}", engine.name), &entry)
            .await;
    }

    /// Starts an endpoint that breaks the protocol and writes its entry to the store.
    pub(crate) async fn add_faulty(
        &self,
        name: &str,
        service: &str,
        fault: Fault,
    ) -> FaultyEndpoint {
        let endpoint = FaultyEndpoint::start(name, fault).await;
        let endpoint = endpoint.expect("the endpoint starts");
        let entry = platform_fixture::entry(service, endpoint.address, "ready");
        self.store.put(&format!("servers/{name}"), &entry).await;
        endpoint
    }

    /// Starts an endpoint that may fall over and writes its entry to the store.
    pub(crate) async fn add_brittle(&self, name: &str, conduct: Conduct) -> BrittleEndpoint {
        let endpoint = BrittleEndpoint::start(name, conduct).await;
        let endpoint = endpoint.expect("the endpoint starts");
        let mut entry = platform_fixture::entry("desk", endpoint.address, "ready");
        entry["slots"] = conduct.slots.into();
        self.store.put(&format!("servers/{name}"), &entry).await;
        endpoint
    }

    /// Starts a gateway and waits until it is ready.
    pub(crate) async fn start_gateway(&mut self) {
        let gateway = spawn_gateway(self.store.address, self.gateways.len()).await;
        let ready = gateway.ready;
        self.gateways.push(gateway);
        wait_until("the gateway is ready", async || {
            status(ready, "/-/readiness").await == Some(StatusCode::OK)
        })
        .await;
    }

    /// Sends a request to the first gateway and expects a complete answer.
    pub(crate) async fn request(&mut self, request: Request<'_>) -> (StatusCode, String) {
        let result = self.try_request(request).await;
        let (status, body) = result.expect("the gateway answers");
        (status, body.expect("the answer is complete"))
    }

    /// Sends a request to the first gateway; the body is `None` if the answer is interrupted.
    pub(crate) async fn try_request(
        &mut self,
        request: Request<'_>,
    ) -> anyhow::Result<(StatusCode, Option<String>)> {
        self.attempts += 1;
        let attempt = format!("attempt-{}", self.attempts);
        let credential = format!("Bearer {CREDENTIAL}");
        let mut headers = vec![
            ("x-daisyyard-attempt-id", attempt.as_str()),
            ("x-daisyyard-deadline-ms", "8000"),
            ("authorization", credential.as_str()),
        ];
        headers.retain(|(name, _)| !request.headers.iter().any(|(other, _)| other == name));
        headers.extend(request.headers.iter().copied());
        send(self.gateways[0].requests, &request, &headers).await
    }

    /// Sends a request through one gateway; the body is `None` if the answer is interrupted.
    pub(crate) async fn send_through(
        &self,
        gateway: usize,
        attempt: &str,
        request: &Request<'_>,
    ) -> (StatusCode, Option<String>) {
        let credential = format!("Bearer {CREDENTIAL}");
        let mut headers = vec![
            ("x-daisyyard-attempt-id", attempt),
            ("x-daisyyard-deadline-ms", "8000"),
            ("authorization", credential.as_str()),
        ];
        headers.extend(request.headers.iter().copied());
        let answer = send(self.gateways[gateway].requests, request, &headers).await;
        answer.expect("the gateway answers")
    }

    /// Returns the requests with this path that engines or endpoints ran.
    pub(crate) async fn ran(&self, path: &str) -> Vec<Arrival> {
        let mut requests = self.runs.arrivals().await;
        requests.retain(|request| request.path == path && request.ran);
        requests
    }
}

/// Returns a request for a stream with the given token usage (prompt and output tokens).
pub(crate) fn stream_request<'a>(path: &'a str, usage: &'a str) -> Request<'a> {
    Request {
        method: Method::POST,
        path,
        headers: vec![
            ("x-daisyyard-model", "m"),
            ("x-daisyyard-token-usage", usage),
        ],
        body: "a customs declaration",
    }
}

/// Returns a request without extra headers or body.
pub(crate) fn plain_request(method: Method, path: &str) -> Request<'_> {
    Request {
        method,
        path,
        headers: Vec::new(),
        body: "",
    }
}

/// Starts a gateway process and waits until it listens.
pub(crate) async fn spawn_gateway(store: SocketAddr, number: usize) -> Gateway {
    spawn_gateway_with(store, number, |_| {}).await
}

/// Starts a gateway process whose settings are changed by `adapt`, and waits until it listens.
pub(crate) async fn spawn_gateway_with(
    store: SocketAddr,
    number: usize,
    adapt: impl Fn(&mut serde_json::Value),
) -> Gateway {
    let start = |listen: [SocketAddr; 5]| {
        let name = format!("daisyyard-gateway-{}.json", listen[0].port());
        let path = std::env::temp_dir().join(name);
        let mut settings = settings(store, number, listen);
        adapt(&mut settings);
        std::fs::write(&path, settings.to_string())?;
        let process = Command::new(env!("CARGO_BIN_EXE_daisyyard"))
            .args(["gateway", "--config"])
            .arg(&path)
            .stdout(Stdio::null())
            .spawn()?;
        Ok(process)
    };
    let has_ended = |process: &mut Child| !matches!(process.try_wait(), Ok(None));
    let started = ports::start_on(METRICS_INDEX, start, has_ended).await;
    let (process, listen) = started.expect("the gateway starts");
    Gateway {
        process,
        requests: listen[0],
        ready: listen[1],
        directory: listen[2],
        metrics: listen[METRICS_INDEX],
    }
}

/// Returns the numbers of the gateways with a part in a fleet of this size whose gateways all serve.
pub(crate) fn with_role(gateways: usize, role: Role) -> Vec<usize> {
    let gateway = |number: usize| id::of(&format!("gateway-{number}"));
    let node = |number| Node {
        id: gateway(number),
        zone: id::of("zone-a"),
        reaches_store: true,
    };
    let nodes: Vec<Node> = (0..gateways).map(node).collect();
    let roster = Roster::new(&nodes, 0.0);
    let numbers = 0..gateways;
    numbers
        .filter(|number| roster.role(gateway(*number)) == role)
        .collect()
}

/// Waits until the condition holds; panics after [`TIMEOUT`].
pub(crate) async fn wait_until(what: &str, condition: impl AsyncFn() -> bool) {
    let deadline = Instant::now() + TIMEOUT;
    while !condition().await {
        assert!(Instant::now() < deadline, "in time: {what}");
        tokio::time::sleep(POLL_INTERVAL).await;
    }
}

/// Waits until each gateway offers the addresses of all gateways, and no others, to callers.
pub(crate) async fn wait_until_listed(gateways: &[Gateway]) {
    let mut expected: Vec<String> = gateways
        .iter()
        .map(|gateway| gateway.requests.to_string())
        .collect();
    expected.sort();
    for gateway in gateways {
        wait_until("all gateways are listed", async || {
            offered(gateway.directory).await == expected
        })
        .await;
    }
}

/// Returns the addresses that a gateway offers to callers, in order.
pub(crate) async fn offered(directory: SocketAddr) -> Vec<String> {
    let text = text(directory, "/-/resolution?zone=zone-a").await;
    let answer: serde_json::Value = serde_json::from_str(&text).unwrap_or_default();
    let addresses = answer["addresses"].as_array().into_iter().flatten();
    let mut addresses: Vec<String> = addresses
        .filter_map(|address| address.as_str().map(str::to_owned))
        .collect();
    addresses.sort();
    addresses
}

/// Returns the status of a request without headers.
pub(crate) async fn status(address: SocketAddr, path: &str) -> Option<StatusCode> {
    let answer = daisyyard_http::call(address, Method::GET, path, &[], "").await;
    answer.ok().map(|(status, _)| status)
}

/// Returns the text of an answer to a request without headers.
pub(crate) async fn text(address: SocketAddr, path: &str) -> String {
    let answer = daisyyard_http::call(address, Method::GET, path, &[], "").await;
    let (_, body) = answer.expect("an answer");
    String::from_utf8_lossy(&body).into_owned()
}

/// Sends a request with the given headers to an address.
pub(crate) async fn send(
    address: SocketAddr,
    request: &Request<'_>,
    headers: &[(&str, &str)],
) -> anyhow::Result<(StatusCode, Option<String>)> {
    use http_body_util::BodyExt;
    use hyper::header::HOST as HOST_HEADER;

    let mut builder = hyper::Request::builder()
        .method(request.method.clone())
        .uri(request.path)
        .header(HOST_HEADER, HOST);
    for (name, value) in headers {
        builder = builder.header(*name, *value);
    }
    let http_request = builder.body(http_body_util::Full::new(request.body.to_owned().into()))?;
    let answer = daisyyard_http::connection::send(address, http_request, TIMEOUT).await;
    let answer = answer.map_err(|failure| anyhow::anyhow!("no answer: {failure:?}"))?;
    let status = answer.response.status();
    let body = answer.response.into_body().collect().await.ok();
    let text = body.map(|body| String::from_utf8_lossy(&body.to_bytes()).into_owned());
    Ok((status, text))
}
