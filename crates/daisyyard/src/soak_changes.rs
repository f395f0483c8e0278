//! `daisyyard soak --changes`: gateways as separate processes while the operator changes the configuration
//! several times a second, and a check of which version each answer follows.

use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use daisyyard_standin::platform_engine::{PlatformEngine, Runs};
use daisyyard_standin::platform_fixture::{self, CREDENTIAL};
use daisyyard_standin::platform_store::{Mode, PlatformStore};
use daisyyard_standin::proxy::{Link, Proxy};
use hyper::{Method, StatusCode};
use rand::seq::IndexedRandom;
use rand::{Rng, SeedableRng};
use rand_pcg::Pcg64Mcg;
use serde_json::{Value, json};
use tokio::task::JoinSet;

use crate::gateway_process::{self, Control, Handle, Spec};
use crate::soak::Options;
use crate::soak_versions::{History, Probe, Version};

/// Number of gateways.
const GATEWAYS: usize = 6;
/// Services with one endpoint each, between which routes are moved.
pub(crate) const SERVICES: [&str; 2] = ["desk", "counter"];
/// Number of paths whose routes change.
pub(crate) const PATHS: usize = 6;
/// Number of keys, of which the first one is never taken away.
pub(crate) const KEYS: usize = 4;
/// Range of the times between two versions, in milliseconds.
const VERSION_INTERVAL_MS: std::ops::Range<u64> = 200..700;
/// Range of the times between two faults, in milliseconds.
const FAULT_INTERVAL_MS: std::ops::Range<u64> = 300..2_500;
/// Range of the durations of faults, in milliseconds.
const DURATION_MS: std::ops::Range<u64> = 200..2_500;
/// Range of the ages of reads that may be old, in milliseconds.
const LAG_MS: std::ops::Range<u64> = 0..3_000;
/// Age of the copy from which the store comes back.
const COPY_AGE: Duration = Duration::from_secs(4);
/// Time for which it is away before that.
const AWAY_TIME: Duration = Duration::from_millis(400);
/// Time without changes at the end, after which the last version must be in force everywhere.
const SETTLE_TIME: Duration = Duration::from_secs(4);
/// Limit on the time that gateways take to be ready at the start.
const READY_TIMEOUT: Duration = Duration::from_secs(15);

/// A fault of one gateway, or of the store.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Fault {
    /// The store handles calls in this mode.
    Store(Mode),
    /// The store discards its history.
    Compact,
    /// The store is away for a moment and comes back from an older copy.
    Restore,
    /// All processes are killed at the same moment and started again.
    KillAll,
    /// The process is killed and started again.
    Kill,
    /// The process is suspended.
    Pause,
    /// The process begins a planned stop and is started again.
    Stop,
    /// The process reloads its settings.
    Reload,
    /// Its connections to the store are in this state.
    StoreLink(Link),
}

/// Stand-ins for the platform, and the gateways.
#[derive(Debug)]
pub(crate) struct Scene {
    /// Stand-in for the platform's store.
    store: PlatformStore,
    /// Endpoints, in the order of their services.
    endpoints: Vec<PlatformEngine>,
    /// Proxy between each gateway and the store.
    links: Vec<Proxy>,
    /// Gateway processes.
    pub(crate) gateways: Vec<Handle>,
    /// Held while the operator writes a version.
    writing: tokio::sync::Mutex<()>,
    /// Held while the store is disturbed.
    store_fault: tokio::sync::Mutex<()>,
    /// Versions, and what excuses gateways.
    history: Mutex<History>,
    /// Answers to requests.
    pub(crate) probes: Mutex<Vec<Probe>>,
}

/// Runs a soak of configuration changes and returns all violations.
///
/// # Errors
///
/// Fails if a gateway cannot be started or does not become ready, or if no port is free.
pub(crate) async fn violations(options: &Options) -> anyhow::Result<Vec<String>> {
    let scene = Arc::new(Scene::start(options).await?);
    scene.wait_until_ready().await?;
    let until = Instant::now() + options.duration;
    let mut tasks = JoinSet::new();
    tasks.spawn(Arc::clone(&scene).operate(options.seed, until));
    tasks.spawn(Arc::clone(&scene).disturb(options.seed, until));
    for gateway in 0..GATEWAYS {
        let probes = Arc::clone(&scene).probe(options.seed, gateway, until + SETTLE_TIME);
        tasks.spawn(probes);
    }
    while let Some(done) = tasks.join_next().await {
        done?;
    }
    let mut violations = Vec::new();
    for gateway in &scene.gateways {
        violations.extend(gateway.finish().await);
    }
    let history = scene.history.lock().expect("no task panics");
    let probes = scene.probes.lock().expect("no task panics");
    println!("{}", history.summary(&probes));
    violations.extend(history.violations(&probes));
    Ok(violations)
}

impl Scene {
    /// Starts the platform and the gateways with a first version.
    async fn start(options: &Options) -> anyhow::Result<Self> {
        let mut scene = Self {
            store: PlatformStore::start().await?,
            endpoints: Vec::new(),
            links: Vec::new(),
            gateways: Vec::new(),
            writing: tokio::sync::Mutex::default(),
            store_fault: tokio::sync::Mutex::default(),
            history: Mutex::default(),
            probes: Mutex::default(),
        };
        scene.store.set_era(1);
        let runs = Runs::start();
        for service in SERVICES {
            let endpoint = PlatformEngine::start(service, Duration::ZERO, &runs).await?;
            let entry = platform_fixture::entry(service, endpoint.address, "ready");
            scene.store.put(&format!("servers/{service}"), &entry).await;
            scene.endpoints.push(endpoint);
        }
        scene.write(Version::first(PATHS, KEYS)).await;
        for number in 0..GATEWAYS {
            let link = Proxy::start().await?;
            link.set_target(scene.store.address);
            let spec = Spec {
                number,
                program: options.program.clone(),
                store_address: link.address,
                log_directory: options.log_directory.clone(),
            };
            scene.links.push(link);
            scene.gateways.push(gateway_process::spawn(spec).await?);
        }
        Ok(scene)
    }

    /// Writes a version and records when it was sent and confirmed.
    async fn write(&self, mut version: Version) {
        let _no_restore = self.writing.lock().await;
        version.sent_at = Instant::now();
        self.history
            .lock()
            .expect("no task panics")
            .versions
            .push(version.clone());
        self.store.put("op/config", &document(&version)).await;
        let mut history = self.history.lock().expect("no task panics");
        if let Some(last) = history.versions.last_mut() {
            last.confirmed_at = Some(Instant::now());
        }
    }

    /// Changes the configuration until a time.
    async fn operate(self: Arc<Self>, seed: u64, until: Instant) {
        let mut random = Pcg64Mcg::seed_from_u64(seed);
        while Instant::now() < until {
            let pause = random.random_range(VERSION_INTERVAL_MS);
            tokio::time::sleep(Duration::from_millis(pause)).await;
            let lag = random.random_range(LAG_MS);
            self.store.set_lag(Duration::from_millis(lag));
            let last = self.history.lock().expect("no task panics").last();
            self.write(last.next(SERVICES.len(), &mut random)).await;
        }
    }

    /// Injects faults until a time.
    async fn disturb(self: Arc<Self>, seed: u64, until: Instant) {
        let mut random = Pcg64Mcg::seed_from_u64(!seed);
        let links = [
            Link::Silent,
            Link::OneWay,
            Link::Broken,
            Link::Slow(Duration::from_millis(300)),
        ];
        let mut faults = JoinSet::new();
        while Instant::now() < until {
            let pause = random.random_range(FAULT_INTERVAL_MS);
            tokio::time::sleep(Duration::from_millis(pause)).await;
            let fault = match random.random_range(0..24) {
                0..8 => Fault::Kill,
                8..12 => Fault::Pause,
                12..15 => Fault::Stop,
                15..17 => Fault::Reload,
                17 => Fault::Store(Mode::Declining),
                18 => Fault::Store(Mode::Silent),
                19 => Fault::Compact,
                20 => Fault::Restore,
                21 => Fault::KillAll,
                _ => Fault::StoreLink(*links.choose(&mut random).unwrap_or(&Link::Broken)),
            };
            let gateway = random.random_range(0..GATEWAYS);
            let duration = Duration::from_millis(random.random_range(DURATION_MS));
            faults.spawn(Arc::clone(&self).inject(gateway, fault, duration));
        }
        while faults.join_next().await.is_some() {}
    }

    /// Injects a fault and ends it after a time.
    async fn inject(self: Arc<Self>, gateway: usize, fault: Fault, duration: Duration) {
        let (handle, link) = (&self.gateways[gateway], &self.links[gateway]);
        let started = Instant::now();
        match fault {
            Fault::Kill => handle.send(Control::Kill).await,
            Fault::Stop => handle.send(Control::Stop).await,
            // A reload excuses nothing.
            Fault::Reload => return handle.send(Control::Reload).await,
            Fault::Compact => self.store.compact(),
            Fault::Store(mode) => {
                let _only_fault = self.store_fault.lock().await;
                self.store.set_mode(mode);
                tokio::time::sleep(duration).await;
                self.store.set_mode(Mode::Serving);
            }
            Fault::Restore => self.restore().await,
            Fault::KillAll => {
                for gateway in &self.gateways {
                    gateway.send(Control::Kill).await;
                }
            }
            Fault::Pause => {
                handle.send(Control::Pause).await;
                tokio::time::sleep(duration).await;
                handle.send(Control::Resume).await;
            }
            Fault::StoreLink(state) => {
                link.set_link(state);
                tokio::time::sleep(duration).await;
                link.set_link(Link::Open);
            }
        }
        match fault {
            Fault::Kill | Fault::Stop => self.wait_until_back(gateway, started).await,
            Fault::KillAll => {
                let back = (0..GATEWAYS).map(|gateway| self.wait_until_back(gateway, started));
                futures_util::future::join_all(back).await;
            }
            _ => {}
        }
        let mut history = self.history.lock().expect("no task panics");
        match fault {
            Fault::Store(_) | Fault::Compact | Fault::Restore | Fault::KillAll => {
                for gateway in 0..GATEWAYS {
                    history.excuse(gateway, started, Instant::now());
                }
            }
            _ => history.excuse(gateway, started, Instant::now()),
        }
    }

    /// Lets the store come back from a copy, after which the operator and the endpoints write again what
    /// they had written.
    async fn restore(&self) {
        let _only_fault = self.store_fault.lock().await;
        let _no_change = self.writing.lock().await;
        self.store.restore(COPY_AGE, AWAY_TIME).await;
        for (endpoint, service) in self.endpoints.iter().zip(SERVICES) {
            let entry = platform_fixture::entry(service, endpoint.address, "ready");
            self.store.put(&format!("servers/{service}"), &entry).await;
        }
        let last = self.history.lock().expect("no task panics").last();
        self.store.put("op/config", &document(&last)).await;
    }

    /// Waits until a gateway that ends has ended and is ready again.
    async fn wait_until_back(&self, gateway: usize, started: Instant) {
        let mut was_away = false;
        while started.elapsed() < READY_TIMEOUT {
            let ready = self.is_ready(gateway).await;
            if ready && was_away {
                return;
            }
            was_away |= !ready;
            tokio::time::sleep(Duration::from_millis(10)).await;
        }
    }

    /// Waits until all gateways are ready.
    async fn wait_until_ready(&self) -> anyhow::Result<()> {
        let deadline = Instant::now() + READY_TIMEOUT;
        for gateway in 0..GATEWAYS {
            while !self.is_ready(gateway).await {
                anyhow::ensure!(Instant::now() < deadline, "gateway {gateway} is not ready");
                tokio::time::sleep(Duration::from_millis(20)).await;
            }
        }
        Ok(())
    }

    /// Returns whether a gateway reports that it is ready.
    async fn is_ready(&self, gateway: usize) -> bool {
        let address = self.gateways[gateway].readiness_address;
        let call = daisyyard_http::call(address, Method::GET, "/-/readiness", &[], "");
        let answer = tokio::time::timeout(Duration::from_millis(300), call).await;
        matches!(answer, Ok(Ok((StatusCode::OK, _))))
    }
}

/// Returns the prefix of a path whose route changes.
pub(crate) fn prefix(path: usize) -> String {
    format!("/p{path}/")
}

/// Returns the credential with a key.
pub(crate) fn credential(key: usize) -> String {
    match key {
        0 => CREDENTIAL.to_owned(),
        key => format!("{CREDENTIAL}-{key}"),
    }
}

/// Returns a version as the operator writes it.
fn document(version: &Version) -> Value {
    let mut config = platform_fixture::config(version.number);
    let routes = version.routes.iter().enumerate();
    let routes = routes.filter_map(|(path, service)| {
        let mut route = config["routes"][2].clone();
        route["name"] = json!(format!("r{path}"));
        route["path_prefix"] = json!(prefix(path));
        route["service"] = json!(SERVICES[(*service)?]);
        Some(route)
    });
    let routes: Vec<Value> = routes.collect();
    if let Some(list) = config["routes"].as_array_mut() {
        list.extend(routes);
    }
    if let Some(list) = config["services"].as_array_mut() {
        let mut counter = list[1].clone();
        counter["name"] = json!(SERVICES[1]);
        list.push(counter);
    }
    let keys = version.keys.iter().enumerate();
    let keys = keys.filter(|(_, held)| **held);
    let keys: Vec<String> = keys.map(|(key, _)| credential(key)).collect();
    config["tenants"][0]["api_keys"] = json!(keys);
    config
}
