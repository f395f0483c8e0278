//! `daisyyard soak`: gateways in processes of their own on loopback, callers, and faults from
//! outside that overlap, all drawn from a seed.

use std::path::PathBuf;
use std::sync::Arc;
use std::time::{Duration, Instant};

use anyhow::Context;
use daisyyard_standin::platform_engine::{Mode as EngineMode, PlatformEngine, Runs};
use daisyyard_standin::platform_fixture;
use daisyyard_standin::platform_store::{Mode as StoreMode, PlatformStore};
use daisyyard_standin::proxy::{Link, Proxy};
use hyper::{Method, StatusCode};
use tokio::task::JoinSet;

use crate::machine::{self, Machine, Order, Terms};
use crate::soak_audit;
use crate::soak_caller::{self, End, Kind, Record};
use crate::soak_plan::{self, ENDPOINTS, ENGINES, Fault, GATEWAYS};

/// Callers, which ask one request after another.
const CALLERS: usize = 12;
/// Time between two events of an engine.
const PACE: Duration = Duration::from_millis(10);
/// Time for the gateways to be ready at the start, and to serve again after the last fault: a
/// stop with its grace period may have begun last.
const RECOVERY: Duration = Duration::from_secs(15);
/// Time between two looks for something expected.
const LOOK: Duration = Duration::from_millis(50);

/// What a soak does.
#[derive(Debug, Clone)]
pub struct Choice {
    /// Seed of faults and callers.
    pub seed: u64,
    /// Time for which faults begin.
    pub length: Duration,
    /// Program that runs the gateways.
    pub program: PathBuf,
    /// Directory for the logs of the gateways, if they are kept.
    pub logs: Option<PathBuf>,
}

/// The platform and the gateways of a soak.
#[derive(Debug)]
struct Stage {
    /// The store.
    store: PlatformStore,
    /// Links of the gateways to the store.
    store_links: Vec<Proxy>,
    /// Model engines, then plain endpoints.
    engines: Vec<PlatformEngine>,
    /// Links to the engines and endpoints.
    engine_links: Vec<Proxy>,
    /// Runs of all engines.
    runs: Runs,
    /// Gateways.
    machines: Vec<Machine>,
}

/// Runs a soak, prints what was seen and each broken promise, and returns whether there was none.
///
/// # Errors
///
/// Fails if a gateway cannot be started or no port is free.
pub async fn run(choice: &Choice) -> anyhow::Result<bool> {
    let violations = violations(choice).await?;
    for violation in &violations {
        println!("violation: seed={} {violation}", choice.seed);
    }
    println!("seed {}: {} violations", choice.seed, violations.len());
    Ok(violations.is_empty())
}

/// Runs a soak and returns every broken promise.
///
/// # Errors
///
/// Fails if a gateway cannot be started or no port is free.
pub async fn violations(choice: &Choice) -> anyhow::Result<Vec<String>> {
    let stage = Arc::new(Stage::start(choice).await?);
    stage.ready().await.context("the gateways did not start")?;
    let began = Instant::now();
    let gateways: Vec<_> = stage.machines.iter().map(|one| one.requests).collect();
    let mut callers = JoinSet::new();
    for number in 0..CALLERS {
        let name = format!("s{}-c{number}", choice.seed);
        callers.spawn(soak_caller::act(
            gateways.clone(),
            name,
            began + choice.length,
        ));
    }
    let mut faults = JoinSet::new();
    for event in soak_plan::draw(choice.seed, choice.length) {
        tokio::time::sleep_until((began + event.at).into()).await;
        faults.spawn(Arc::clone(&stage).fail(event.fault, event.lasts, faults.len() as u64));
    }
    while faults.join_next().await.is_some() {}
    let mut records = Vec::new();
    while let Some(done) = callers.join_next().await {
        records.extend(done.context("a caller panicked")?);
    }
    println!("{}", summary(&records));
    let mut violations = Vec::new();
    if let Err(error) = stage.recover(choice.seed, &mut records).await {
        violations.push(format!("recovery: {error:#}"));
    }
    violations.extend(soak_audit::violations(
        &records,
        &stage.runs.arrivals().await,
    ));
    for machine in &stage.machines {
        violations.extend(machine.finish().await);
    }
    Ok(violations)
}

impl Stage {
    /// Starts the platform and the gateways.
    async fn start(choice: &Choice) -> anyhow::Result<Self> {
        let mut stage = Self {
            store: PlatformStore::start().await?,
            store_links: Vec::new(),
            engines: Vec::new(),
            engine_links: Vec::new(),
            runs: Runs::start(),
            machines: Vec::new(),
        };
        stage.configure(1).await;
        for number in 0..ENGINES + ENDPOINTS {
            let proxy = Proxy::start().await?;
            let name = format!("{}-{number}", service(number));
            let engine = PlatformEngine::start_behind(&proxy, &name, PACE, &stage.runs).await?;
            stage.engines.push(engine);
            stage.engine_links.push(proxy);
            stage.list(number, "ready").await;
        }
        for number in 0..GATEWAYS {
            let proxy = Proxy::start().await?;
            proxy.set_target(stage.store.address);
            let terms = Terms {
                number,
                program: choice.program.clone(),
                store: proxy.address,
                logs: choice.logs.clone(),
            };
            stage.store_links.push(proxy);
            stage.machines.push(machine::spawn(terms)?);
        }
        Ok(stage)
    }

    /// Writes a configuration.
    async fn configure(&self, version: u64) {
        let config = platform_fixture::config(version);
        self.store.put("op/config", &config).await;
    }

    /// Writes the entry of an engine or endpoint.
    async fn list(&self, number: usize, state: &str) {
        let engine = &self.engines[number];
        let entry = platform_fixture::entry(service(number), engine.address, state);
        let key = format!("servers/{}", engine.name);
        self.store.put(&key, &entry).await;
    }

    /// Lets something fail for a while; `number` counts the faults of the soak.
    async fn fail(self: Arc<Self>, fault: Fault, lasts: Duration, number: u64) {
        match fault {
            Fault::Store(mode) => {
                self.store.set_mode(mode);
                tokio::time::sleep(lasts).await;
                self.store.set_mode(StoreMode::Serving);
            }
            Fault::Compact => self.store.compact(),
            Fault::StoreLink(gateway, link) => {
                disturb(&self.store_links[gateway], link, lasts).await;
            }
            Fault::EngineLink(engine, link) => {
                disturb(&self.engine_links[engine], link, lasts).await;
            }
            Fault::Engine(engine, mode) => {
                self.engines[engine].set_mode(mode);
                tokio::time::sleep(lasts).await;
                self.engines[engine].set_mode(EngineMode::Serving);
            }
            Fault::Leave(engine) => {
                self.list(engine, "draining").await;
                tokio::time::sleep(lasts).await;
                self.list(engine, "ready").await;
            }
            Fault::Kill(gateway) => self.machines[gateway].order(Order::Kill).await,
            Fault::Pause(gateway) => {
                self.machines[gateway].order(Order::Pause).await;
                tokio::time::sleep(lasts).await;
                self.machines[gateway].order(Order::Resume).await;
            }
            Fault::Stop(gateway) => self.machines[gateway].order(Order::Stop).await,
            Fault::Reload(gateway) => self.machines[gateway].order(Order::Reload).await,
            Fault::Configure => self.configure(number + 2).await,
        }
    }

    /// Waits until all gateways are ready.
    async fn ready(&self) -> anyhow::Result<()> {
        let end = Instant::now() + RECOVERY;
        for machine in &self.machines {
            loop {
                let get = Method::GET;
                let asked = daisyyard_http::call(machine.ready, get, "/-/readiness", &[], "");
                // A gateway that was suspended does not answer.
                let answer = tokio::time::timeout(LOOK * 10, asked).await;
                if matches!(answer, Ok(Ok((StatusCode::OK, _)))) {
                    break;
                }
                anyhow::ensure!(Instant::now() < end, "{} is not ready", machine.ready);
                tokio::time::sleep(LOOK).await;
            }
        }
        Ok(())
    }

    /// Waits until every gateway serves every kind of request again.
    async fn recover(&self, seed: u64, records: &mut Vec<Record>) -> anyhow::Result<()> {
        self.ready().await?;
        let end = Instant::now() + RECOVERY;
        for (number, machine) in self.machines.iter().enumerate() {
            for kind in [Kind::Draft(4), Kind::Book, Kind::Stock] {
                let mut tries = 0;
                loop {
                    let attempt = format!("s{seed}-recovery-{number}-{kind:?}-{tries}");
                    let record = soak_caller::ask(machine.requests, attempt, kind).await;
                    let served = record.end.is_served();
                    let late = Instant::now() >= end;
                    anyhow::ensure!(served || !late, "not served: {record:?}");
                    records.push(record);
                    if served {
                        break;
                    }
                    tries += 1;
                    tokio::time::sleep(LOOK).await;
                }
            }
        }
        Ok(())
    }
}

/// Disturbs a link for a while.
async fn disturb(proxy: &Proxy, link: Link, lasts: Duration) {
    proxy.set_link(link);
    tokio::time::sleep(lasts).await;
    proxy.set_link(Link::Open);
}

/// Returns the service of an engine or endpoint.
fn service(number: usize) -> &'static str {
    if number < ENGINES { "model" } else { "desk" }
}

/// Returns the number of requests by how they ended.
fn summary(records: &[Record]) -> String {
    let served = |record: &&Record| record.end.is_served();
    let refused =
        |record: &&Record| matches!(record.end, End::Answer { status, .. } if !status.is_success());
    let silent = |record: &&Record| record.end == End::Nothing;
    format!(
        "{} requests: {} served, {} refused or failed, {} without an answer",
        records.len(),
        records.iter().filter(served).count(),
        records.iter().filter(refused).count(),
        records.iter().filter(silent).count(),
    )
}
