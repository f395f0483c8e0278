//! `daisyyard soak`: runs gateways as separate processes on loopback with callers, and injects
//! overlapping faults drawn from a seed from outside the processes.

use std::path::PathBuf;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::{Duration, Instant};

use anyhow::Context;
use daisyyard_standin::platform_engine::{
    Mode as EngineMode, PlatformEngine, Runs, Stated, Stopping,
};
use daisyyard_standin::platform_fixture::{self, CREDENTIAL};
use daisyyard_standin::platform_store::{Mode as StoreMode, PlatformStore};
use daisyyard_standin::proxy::{Link, Proxy};
use hyper::{Method, StatusCode};
use tokio::task::JoinSet;

use crate::gateway_process::{self, Control, Handle, Spec};
use crate::soak_audit;
use crate::soak_caller::{self, Kind, Record};
use crate::soak_changes;
use crate::soak_limit;
use crate::soak_schedule::{self, ENGINES, Fault, GATEWAYS, PLAIN_ENDPOINTS};

/// Time between the end of a reclaimed engine and its next start.
const RESTART_TIME: Duration = Duration::from_millis(500);
/// Number of callers, each of which sends one request at a time.
const CALLERS: usize = 12;
/// Time between two events of a stream from an engine.
const EVENT_INTERVAL: Duration = Duration::from_millis(10);
/// Limit on the time that gateways take to be ready at the start, and to serve requests after the
/// last fault, which may have been a planned stop with its grace period.
const RECOVERY_TIMEOUT: Duration = Duration::from_secs(15);
/// Time between two checks for an expected state.
const POLL_INTERVAL: Duration = Duration::from_millis(50);

/// Availability zone that is evacuated. It is that of the gateways, which prefer its endpoints.
const EVACUATED_ZONE: &str = "zone-a";
/// Key of the order to evacuate it.
const EVACUATION: &str = "op/evacuate/zone-a";
/// Time from the order until no request may reach the zone.
const EVACUATION_TIME: Duration = Duration::from_secs(5);
/// Requests of each kind that are sent through each gateway after that.
const EVACUATION_CHECKS: usize = 4;

/// Options of the command.
#[derive(Debug, Clone)]
pub struct Options {
    /// Seed of the faults and of the callers' requests.
    pub seed: u64,
    /// Time for which faults begin and callers send requests.
    pub duration: Duration,
    /// Path of the program that runs the gateways.
    pub program: PathBuf,
    /// Directory for the logs of the gateways; without it they are discarded.
    pub log_directory: Option<PathBuf>,
    /// Whether the configuration changes several times a second, in place of the other faults.
    pub changes: bool,
}

/// Stand-ins for the platform, and the gateways.
#[derive(Debug)]
struct Environment {
    /// Stand-in for the platform's store.
    store: PlatformStore,
    /// Proxy between each gateway and the store.
    store_links: Vec<Proxy>,
    /// Model engines, then plain endpoints.
    endpoints: Vec<PlatformEngine>,
    /// Proxy in front of each endpoint.
    endpoint_links: Vec<Proxy>,
    /// Number of starts of each endpoint.
    starts: Vec<AtomicU64>,
    /// Record of the requests received by all endpoints.
    runs: Runs,
    /// Gateway processes.
    gateways: Vec<Handle>,
}

/// Runs a soak, prints a summary and all violations, and returns whether there were none.
///
/// # Errors
///
/// Fails if a gateway cannot be started or does not become ready, or if no port is free.
pub async fn run(options: &Options) -> anyhow::Result<bool> {
    let violations = violations(options).await?;
    for violation in &violations {
        println!("violation: seed={} {violation}", options.seed);
    }
    println!("seed {}: {} violations", options.seed, violations.len());
    Ok(violations.is_empty())
}

/// Runs a soak and returns all violations.
///
/// # Errors
///
/// Fails if a gateway cannot be started or does not become ready, or if no port is free.
pub async fn violations(options: &Options) -> anyhow::Result<Vec<String>> {
    if options.changes {
        return soak_changes::violations(options).await;
    }
    let environment = Arc::new(Environment::start(options).await?);
    environment
        .wait_until_ready()
        .await
        .context("the gateways did not become ready")?;
    let started = Instant::now();
    let addresses: Vec<_> = environment
        .gateways
        .iter()
        .map(|one| one.request_address)
        .collect();
    let mut callers = JoinSet::new();
    for number in 0..CALLERS {
        let name = format!("s{}-c{number}", options.seed);
        callers.spawn(soak_caller::run_caller(
            CREDENTIAL,
            addresses.clone(),
            name,
            started + options.duration,
        ));
    }
    let mut faults = JoinSet::new();
    let events = soak_schedule::draw(options.seed, options.duration);
    for event in events {
        tokio::time::sleep_until((started + event.at).into()).await;
        faults.spawn(Arc::clone(&environment).inject(
            event.fault,
            event.duration,
            faults.len() as u64,
        ));
    }
    let mut records = Vec::new();
    while let Some(done) = faults.join_next().await {
        records.extend(done.context("a fault panicked")?);
    }
    while let Some(done) = callers.join_next().await {
        records.extend(done.context("a caller panicked")?);
    }
    println!("{}", soak_audit::summary(&records));
    let mut violations = Vec::new();
    if let Err(error) = environment.check_recovery(options.seed, &mut records).await {
        violations.push(format!("recovery: {error:#}"));
    }
    violations.extend(
        environment
            .check_evacuation(options.seed, &mut records)
            .await,
    );
    let limited = &environment.endpoints[ENGINES];
    let check = soak_limit::check(options.seed, limited, &addresses, &environment.runs);
    let (sent, excess) = check.await;
    records.extend(sent);
    violations.extend(excess);
    violations.extend(soak_audit::violations(
        &records,
        &environment.runs.arrivals().await,
    ));
    for gateway in &environment.gateways {
        violations.extend(gateway.finish().await);
    }
    Ok(violations)
}

impl Environment {
    /// Starts the platform and the gateways.
    async fn start(options: &Options) -> anyhow::Result<Self> {
        let mut environment = Self {
            store: PlatformStore::start().await?,
            store_links: Vec::new(),
            endpoints: Vec::new(),
            endpoint_links: Vec::new(),
            starts: (0..ENGINES + PLAIN_ENDPOINTS)
                .map(|_| AtomicU64::new(0))
                .collect(),
            runs: Runs::start(),
            gateways: Vec::new(),
        };
        environment.configure(1).await;
        for number in 0..ENGINES + PLAIN_ENDPOINTS {
            let proxy = Proxy::start().await?;
            let name = format!("{}-{number}", service_name(number));
            let endpoint =
                PlatformEngine::start_behind(&proxy, &name, EVENT_INTERVAL, &environment.runs)
                    .await?;
            environment.endpoints.push(endpoint);
            environment.endpoint_links.push(proxy);
            environment.write_entry(number, "ready", 0).await;
        }
        for number in 0..GATEWAYS {
            let proxy = Proxy::start().await?;
            proxy.set_target(environment.store.address);
            let spec = Spec {
                number,
                program: options.program.clone(),
                store_address: proxy.address,
                log_directory: options.log_directory.clone(),
            };
            environment.store_links.push(proxy);
            environment
                .gateways
                .push(gateway_process::spawn(spec).await?);
        }
        Ok(environment)
    }

    /// Writes a configuration version to the store.
    async fn configure(&self, version: u64) {
        let mut config = platform_fixture::config(version);
        for service in config["services"].as_array_mut().into_iter().flatten() {
            (service["cold_start_s"], service["cold_per_s"]) = (1.0.into(), 26.0.into());
        }
        if let Some(accounts) = config["tenants"].as_array_mut() {
            let keys = [soak_caller::FLOOD_CREDENTIAL];
            accounts.push(serde_json::json!({ "name": "flood", "api_keys": keys, "priority": 1 }));
        }
        self.store.put("op/config", &config).await;
    }

    /// Writes the entry of an endpoint to the store, with its state and the time for which it is cold.
    async fn write_entry(&self, number: usize, state: &str, cold_ms: u64) {
        let endpoint = &self.endpoints[number];
        let mut entry = platform_fixture::entry(service_name(number), endpoint.address, state);
        entry["born"] = self.starts[number].load(Ordering::Relaxed).into();
        entry["cold_remaining_ms"] = cold_ms.into();
        entry["zone"] = zone_name(number).into();
        let key = format!("servers/{}", endpoint.name);
        self.store.put(&key, &entry).await;
    }

    /// Injects a fault and ends it after a time; `number` is the number of the fault, from which
    /// configuration versions are derived. Returns the records of the requests of a flood.
    async fn inject(self: Arc<Self>, fault: Fault, duration: Duration, number: u64) -> Vec<Record> {
        match fault {
            Fault::Store(mode) => {
                self.store.set_mode(mode);
                tokio::time::sleep(duration).await;
                self.store.set_mode(StoreMode::Serving);
            }
            Fault::Compact => self.store.compact(),
            Fault::StoreLink(gateway, link) => {
                disturb(&self.store_links[gateway], link, duration).await;
            }
            Fault::EndpointLink(endpoint, link) => {
                disturb(&self.endpoint_links[endpoint], link, duration).await;
            }
            Fault::Endpoint(endpoint, mode) => {
                self.endpoints[endpoint].set_mode(mode);
                tokio::time::sleep(duration).await;
                self.endpoints[endpoint].set_mode(EngineMode::Serving);
            }
            Fault::Leave(endpoint) => {
                self.write_entry(endpoint, "draining", 0).await;
                tokio::time::sleep(duration).await;
                self.write_entry(endpoint, "ready", 0).await;
            }
            Fault::Reclaim(endpoint) => {
                self.write_entry(endpoint, "draining", 0).await;
                tokio::time::sleep(duration).await;
                disturb(&self.endpoint_links[endpoint], Link::Broken, RESTART_TIME).await;
                self.runs.restart(self.endpoints[endpoint].address);
                self.starts[endpoint].fetch_add(1, Ordering::Relaxed);
                self.write_entry(endpoint, "ready", 0).await;
            }
            Fault::Kill(gateway) => self.gateways[gateway].send(Control::Kill).await,
            Fault::Pause(gateway) => {
                self.gateways[gateway].send(Control::Pause).await;
                tokio::time::sleep(duration).await;
                self.gateways[gateway].send(Control::Resume).await;
            }
            Fault::Stop(gateway) => self.gateways[gateway].send(Control::Stop).await,
            Fault::Reload(gateway) => self.gateways[gateway].send(Control::Reload).await,
            Fault::Configure => self.configure(number + 2).await,
            Fault::Cold => {
                for number in 0..self.endpoints.len() {
                    self.starts[number].fetch_add(1, Ordering::Relaxed);
                    self.write_entry(number, "ready", duration.as_millis() as u64)
                        .await;
                }
            }
            Fault::Evacuate => {
                self.store.put(EVACUATION, &serde_json::json!({})).await;
                tokio::time::sleep(duration).await;
                self.store.remove(EVACUATION).await;
            }
            Fault::Crowd(gateway) => {
                let address = self.gateways[gateway].request_address;
                soak_caller::stall_bodies(address, duration).await;
            }
            Fault::Limit(endpoint) => {
                self.endpoints[endpoint].set_stated(soak_limit::stated());
                tokio::time::sleep(duration).await;
                self.endpoints[endpoint].set_stated(Stated::default());
            }
            Fault::Stopping(engine, stopping) => {
                self.endpoints[engine].set_stopping(stopping);
                tokio::time::sleep(duration).await;
                self.endpoints[engine].set_stopping(Stopping::default());
            }
            Fault::Flood(gateway) => {
                let address = self.gateways[gateway].request_address;
                return soak_caller::flood(address, &format!("flood-{number}"), duration).await;
            }
        }
        Vec::new()
    }

    /// Waits until all gateways report that they are ready.
    async fn wait_until_ready(&self) -> anyhow::Result<()> {
        let deadline = Instant::now() + RECOVERY_TIMEOUT;
        for gateway in &self.gateways {
            loop {
                let get = Method::GET;
                let probe =
                    daisyyard_http::call(gateway.readiness_address, get, "/-/readiness", &[], "");
                // A suspended gateway does not answer.
                let answer = tokio::time::timeout(POLL_INTERVAL * 10, probe).await;
                if matches!(answer, Ok(Ok((StatusCode::OK, _)))) {
                    break;
                }
                anyhow::ensure!(
                    Instant::now() < deadline,
                    "{} is not ready",
                    gateway.readiness_address
                );
                tokio::time::sleep(POLL_INTERVAL).await;
            }
        }
        Ok(())
    }

    /// Evacuates a zone while nothing else is wrong, and returns the requests that reach it although they
    /// may not.
    async fn check_evacuation(&self, seed: u64, records: &mut Vec<Record>) -> Vec<String> {
        self.store.put(EVACUATION, &serde_json::json!({})).await;
        tokio::time::sleep(EVACUATION_TIME).await;
        let from = Instant::now();
        for (number, gateway) in self.gateways.iter().enumerate() {
            for kind in [Kind::Draft(4), Kind::Book, Kind::Stock].repeat(EVACUATION_CHECKS) {
                let attempt = format!("s{seed}-evacuation-{number}-{}", records.len());
                records
                    .push(soak_caller::send_request(gateway.request_address, attempt, kind).await);
            }
        }
        self.store.remove(EVACUATION).await;
        let zones = self.endpoints.iter().enumerate();
        let evacuated = zones.filter(|(number, _)| zone_name(*number) == EVACUATED_ZONE);
        let evacuated: Vec<&str> = evacuated.map(|(_, one)| one.name.as_str()).collect();
        let mut arrivals = self.runs.arrivals().await;
        arrivals.retain(|one| one.at > from && evacuated.contains(&one.engine.as_str()));
        let late = arrivals.iter();
        late.map(|one| format!("{} reached {} in an evacuated zone", one.path, one.engine))
            .collect()
    }

    /// Sends requests until every gateway has served each kind, and appends the records.
    async fn check_recovery(&self, seed: u64, records: &mut Vec<Record>) -> anyhow::Result<()> {
        self.wait_until_ready().await?;
        let deadline = Instant::now() + RECOVERY_TIMEOUT;
        for (number, gateway) in self.gateways.iter().enumerate() {
            for kind in [Kind::Draft(4), Kind::Book, Kind::Stock] {
                let mut tries = 0;
                loop {
                    let attempt = format!("s{seed}-recovery-{number}-{kind:?}-{tries}");
                    let record =
                        soak_caller::send_request(gateway.request_address, attempt, kind).await;
                    let served = record.end.is_served();
                    let late = Instant::now() >= deadline;
                    anyhow::ensure!(served || !late, "not served: {record:?}");
                    records.push(record);
                    if served {
                        break;
                    }
                    tries += 1;
                    tokio::time::sleep(POLL_INTERVAL).await;
                }
            }
        }
        Ok(())
    }
}

/// Returns the availability zone of the endpoint with this number.
fn zone_name(number: usize) -> &'static str {
    if number.is_multiple_of(2) {
        EVACUATED_ZONE
    } else {
        "zone-b"
    }
}

/// Changes how a proxy treats connections for a time.
async fn disturb(proxy: &Proxy, link: Link, duration: Duration) {
    proxy.set_link(link);
    tokio::time::sleep(duration).await;
    proxy.set_link(Link::Open);
}

/// Returns the service of the endpoint with this number.
fn service_name(number: usize) -> &'static str {
    if number < ENGINES { "model" } else { "desk" }
}
