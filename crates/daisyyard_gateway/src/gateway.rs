//! Starts the tasks of a gateway and shuts them down gracefully.

use std::net::SocketAddr;
use std::path::PathBuf;
use std::sync::Arc;
use std::time::Duration;

use anyhow::Context;
use daisyyard_core::footprint::Use;
use hyper::{Request, Response, StatusCode};
use tokio::net::TcpListener;
use tokio::signal::unix::{SignalKind, signal};
use tokio::sync::{Notify, mpsc, watch};
use tokio_util::task::TaskTracker;
use xtra::Address;

use crate::body::{self, Body};
use crate::codec::Codec;
use crate::detour::Origin;
use crate::event::Event;
use crate::log::Log;
use crate::member::Entry;
use crate::memory::Memory;
use crate::message::{Leave, Offer, SetColdAllowance, SetRetryLimits};
use crate::metrics::Metrics;
use crate::pool::{self, Pool};
use crate::proxy::Proxy;
use crate::registration::Registration;
use crate::server::{self, Phase, Server};
use crate::settings::Settings;
use crate::watcher::{Configuration, Watcher};
use crate::{digest, ending, refusal::Refusal};

/// Time for which callers may cache addresses, unless the deployment allows less. Some callers keep
/// them for three times as long.
const ADDRESSES_LIFETIME: Duration = Duration::from_secs(1);
/// Multiple of that lifetime for which a leaving gateway accepts connections.
const LEAVING_LIFETIMES: u32 = 2;
/// Time reserved at the end of the grace period, so that the gateway exits before the platform
/// kills it.
const STOP_MARGIN: Duration = Duration::from_millis(300);
/// Time between two checks of the settings file, which may change without a signal.
const SETTINGS_POLL_INTERVAL: Duration = Duration::from_secs(2);
/// Path of the metrics.
const METRICS_PATH: &str = "/metrics";

/// Where the settings come from.
#[derive(Debug, Clone)]
pub struct Source {
    /// Path of the settings file.
    pub path: PathBuf,
    /// Reads and checks the settings file.
    pub load: fn(&std::path::Path) -> anyhow::Result<Settings>,
}

/// A running gateway.
#[derive(Debug)]
struct Gateway {
    /// Actor that owns endpoints and gateways.
    pool: Address<Pool>,
    /// Phase of the graceful shutdown.
    phase: watch::Sender<Phase>,
    /// Announces the end of the process to requests in progress.
    ending: ending::Sender,
    /// Tracks the connections on which requests arrive.
    requests: TaskTracker,
    /// Account of what the gateway holds for callers.
    memory: Memory,
    /// Log of the gateway.
    log: Log,
}

/// Runs a gateway until the process receives SIGTERM or SIGINT.
pub async fn run(source: Source, codec: Codec) -> anyhow::Result<()> {
    // The handlers are installed first, because a signal without a handler kills the process.
    let mut terminate = signal(SignalKind::terminate())?;
    let mut interrupt = signal(SignalKind::interrupt())?;
    let mut reload = signal(SignalKind::hangup())?;
    let mut settings = (source.load)(&source.path)?;
    let log = Log::open()?;
    let gateway = Gateway::start(&settings, codec, log.clone()).await?;
    log.emit(
        Event::GatewayStarted,
        &format!(
            "name={} address={}",
            settings.name, settings.listen.requests
        ),
    );
    loop {
        tokio::select! {
            _ = terminate.recv() => break,
            _ = interrupt.recv() => break,
            _ = reload.recv() => {}
            () = tokio::time::sleep(SETTINGS_POLL_INTERVAL) => {}
        }
        settings = gateway.reload(&source, settings).await;
    }
    gateway.stop(&settings).await;
    log.emit(Event::GatewayStopped, &format!("name={}", settings.name));
    log.flush();
    Ok(())
}

impl Gateway {
    /// Starts the tasks of a gateway.
    async fn start(settings: &Settings, codec: Codec, log: Log) -> anyhow::Result<Self> {
        let listen = &settings.listen;
        let requests = bind(listen.requests)?;
        let ready = bind(listen.ready)?;
        let directory = bind(listen.directory)?;
        let scrapes = bind(listen.metrics)?;
        let relayed = bind(listen.digests)?;
        let changed = Arc::new(Notify::new());
        let refresh = Arc::new(Notify::new());
        let (news, news_receiver) = mpsc::unbounded_channel();
        let metrics = Metrics::new()?;
        let (pool, views) = pool::spawn(
            settings,
            codec,
            Arc::clone(&changed),
            Arc::clone(&refresh),
            (log.clone(), metrics.clone()),
        );
        let digests = digest::spawn(listen.digests, &pool, changed, news_receiver).await;
        digests.with_context(|| format!("cannot bind {}; is it in use?", listen.digests))?;
        let (phase, phase_view) = watch::channel(Phase::Serving);
        let (ending, ending_view) = ending::channel();
        let (watcher, configuration) = Watcher::new(
            settings.store,
            codec,
            &settings.bounds,
            pool.clone(),
            (refresh, views.standing.clone()),
            news,
            (log.clone(), metrics.clone()),
        );
        tokio::spawn(watcher.run());
        let registration = registration(settings, codec, phase_view.clone(), log.clone())?;
        tokio::spawn(registration.run());
        let memory = Memory::new(settings.machine, log.clone());
        let tasks = TaskTracker::new();
        let server = Server {
            configuration: configuration.clone(),
            phase: phase_view.clone(),
            tasks: tasks.clone(),
            memory: memory.clone(),
            usage: Use::Connection,
            refusals: server::refusals(),
        };
        let proxy = Proxy {
            codec,
            pool: pool.clone(),
            configuration: configuration.clone(),
            standing: views.standing,
            origin: Origin::Caller,
            isolated: views.isolated,
            phase: phase_view.clone(),
            ending: ending_view,
            zones: views.zones,
            limited: views.limited,
            memory: memory.clone(),
            metrics: metrics.clone(),
            log: log.clone(),
        };
        let relay = Proxy {
            origin: Origin::Gateway,
            ..proxy.clone()
        };
        server.clone().spawn(relayed, move |request| {
            relay.clone().handle_relayed(request)
        });
        server
            .clone()
            .spawn(requests, move |request| proxy.clone().handle(request));
        // The graceful shutdown does not wait for requests to the other listeners.
        let auxiliary = Server {
            tasks: TaskTracker::new(),
            usage: Use::Control,
            ..server
        };
        auxiliary.clone().spawn(ready, move |request| {
            let response = readiness(&codec, &request, &configuration, &phase_view);
            async move { response }
        });
        let offer_pool = pool.clone();
        let lifetime = ADDRESSES_LIFETIME.min(settings.bounds.max_addresses_lifetime);
        auxiliary.clone().spawn(directory, move |request| {
            addresses(codec, offer_pool.clone(), lifetime, request)
        });
        let account = memory.clone();
        auxiliary.spawn(scrapes, move |request| {
            metrics.set_memory(&account.figures());
            let response = scrape(&request, &metrics);
            async move { response }
        });
        Ok(Self {
            pool,
            phase,
            ending,
            requests: tasks,
            memory,
            log,
        })
    }

    /// Reloads the settings and returns those that are in effect.
    async fn reload(&self, source: &Source, old: Settings) -> Settings {
        match (source.load)(&source.path) {
            Ok(new) if new == old => old,
            Ok(new) => {
                // The pool ends only with the process.
                let _ = self
                    .pool
                    .send(SetRetryLimits(new.retry_budget.clone()))
                    .await;
                let allowance = new.bounds.cold.clone();
                let _ = self.pool.send(SetColdAllowance(allowance)).await;
                self.memory.resize(new.machine);
                let details = format!(
                    "name={} grace_ms={}",
                    new.name,
                    new.bounds.grace.as_millis()
                );
                self.log.emit(Event::SettingsReloaded, &details);
                new
            }
            Err(error) => {
                let details = format!("reason={:?}", error.to_string());
                self.log.emit(Event::SettingsRejected, &details);
                old
            }
        }
    }

    /// Shuts the gateway down gracefully: redirects callers to other gateways and finishes the requests in
    /// progress. Those that may outlast the process are refused if they were not sent yet.
    async fn stop(self, settings: &Settings) {
        let grace = settings.bounds.grace.saturating_sub(STOP_MARGIN);
        let details = format!("name={} grace_ms={}", settings.name, grace.as_millis());
        self.log.emit(Event::GatewayLeaving, &details);
        self.ending.announce(grace);
        let finish = async {
            let _ = self.pool.send(Leave).await;
            self.phase.send_replace(Phase::Leaving);
            tokio::time::sleep(
                ADDRESSES_LIFETIME.min(settings.bounds.max_addresses_lifetime) * LEAVING_LIFETIMES,
            )
            .await;
            self.phase.send_replace(Phase::Finishing);
            self.requests.close();
            self.requests.wait().await;
        };
        // The platform kills the process at the end of the grace period in any case.
        let _ = tokio::time::timeout(grace, finish).await;
    }
}

/// Opens a listening socket.
fn bind(address: SocketAddr) -> anyhow::Result<TcpListener> {
    server::listen(address).with_context(|| format!("cannot listen on {address}; is it in use?"))
}

/// Creates the task that keeps the gateway registered.
fn registration(
    settings: &Settings,
    codec: Codec,
    phase: watch::Receiver<Phase>,
    log: Log,
) -> anyhow::Result<Registration> {
    Ok(Registration {
        address: settings.store,
        codec,
        name: settings.name.clone(),
        value: serde_json::to_vec(&Entry::from(settings))?.into(),
        phase,
        log,
    })
}

/// Answers a readiness probe: the gateway is ready if it has a configuration and is not leaving.
fn readiness<B>(
    codec: &Codec,
    request: &Request<B>,
    configuration: &Configuration,
    phase: &watch::Receiver<Phase>,
) -> Response<Body> {
    let ready = configuration.borrow().is_some() && *phase.borrow() == Phase::Serving;
    let status = match request.uri().path() {
        path if path != codec.readiness_path => StatusCode::NOT_FOUND,
        _ if ready => StatusCode::OK,
        _ => StatusCode::SERVICE_UNAVAILABLE,
    };
    let mut response = Response::new(body::full(""));
    *response.status_mut() = status;
    response
}

/// Returns the gateway addresses that a caller may use.
async fn addresses<B>(
    codec: Codec,
    pool: Address<Pool>,
    lifetime: Duration,
    request: Request<B>,
) -> Response<Body> {
    if request.uri().path() != codec.directory_path {
        return Refusal::Missing.response();
    }
    let location = (codec.read_location)(request.uri().query().unwrap_or_default());
    let offered = pool.send(Offer(location.zone)).await.unwrap_or_default();
    if offered.is_empty() {
        return Refusal::Leaving.response();
    }
    body::json((codec.write_addresses)(&offered, lifetime))
}

/// Returns the metrics in the Prometheus text format.
fn scrape<B>(request: &Request<B>, metrics: &Metrics) -> Response<Body> {
    if request.uri().path() != METRICS_PATH {
        return Refusal::Missing.response();
    }
    Response::new(body::full(metrics.render()))
}
