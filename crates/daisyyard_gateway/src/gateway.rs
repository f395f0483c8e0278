//! One gateway: starts its tasks and stops them as planned.

use std::path::PathBuf;
use std::sync::Arc;
use std::time::Duration;

use anyhow::Context;
use hyper::{Request, Response, StatusCode};
use tokio::signal::unix::{SignalKind, signal};
use tokio::sync::{Notify, watch};
use tokio_util::task::TaskTracker;
use xtra::Address;

use crate::body::{self, Body};
use crate::dialect::Dialect;
use crate::event::Event;
use crate::exchange::Exchange;
use crate::follow::{Follower, Held};
use crate::front::{self, Front, Phase};
use crate::log::Log;
use crate::measure::Metrics;
use crate::member::Entry;
use crate::message::{Leave, Offer, Rebind};
use crate::pool::{self, Pool};
use crate::register::Registration;
use crate::settings::Settings;
use crate::{digest, refusal::Refusal};

/// Lifetime of an answer with addresses, unless the deployment's longest is shorter. Some callers keep
/// one for three times as long.
const ADDRESSES: Duration = Duration::from_secs(1);
/// Multiple of the lifetime for which a leaving gateway accepts connections.
const KEPT: u32 = 2;
/// Time before the end of the grace period at which a gateway that is stopped ends by itself.
const MARGIN: Duration = Duration::from_millis(300);
/// Time between two looks at the settings file, which may change without a signal.
const SETTINGS_PERIOD: Duration = Duration::from_secs(2);
/// Path of the metrics.
const METRICS_PATH: &str = "/metrics";

/// Where the settings come from.
#[derive(Debug, Clone)]
pub struct Source {
    /// Settings file.
    pub path: PathBuf,
    /// Reads the file.
    pub load: fn(&std::path::Path) -> anyhow::Result<Settings>,
}

/// A running gateway.
#[derive(Debug)]
struct Gateway {
    /// Actor that owns endpoints and gateways.
    pool: Address<Pool>,
    /// How far a planned stop has come.
    phase: watch::Sender<Phase>,
    /// Tasks of connections with requests.
    requests: TaskTracker,
    /// The log.
    log: Log,
}

/// Runs a gateway until the process is told to stop.
pub async fn run(source: Source, dialect: Dialect) -> anyhow::Result<()> {
    // A signal that arrives before its handler is in place ends the process.
    let mut terminate = signal(SignalKind::terminate())?;
    let mut interrupt = signal(SignalKind::interrupt())?;
    let mut reload = signal(SignalKind::hangup())?;
    let mut settings = (source.load)(&source.path)?;
    let log = Log::open()?;
    let gateway = Gateway::start(&settings, dialect, log.clone()).await?;
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
            () = tokio::time::sleep(SETTINGS_PERIOD) => {}
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
    async fn start(settings: &Settings, dialect: Dialect, log: Log) -> anyhow::Result<Self> {
        let listen = &settings.listen;
        let bind = |address| {
            front::listen(address)
                .with_context(|| format!("cannot listen on {address}; is it in use?"))
        };
        let requests = bind(listen.requests)?;
        let ready = bind(listen.ready)?;
        let directory = bind(listen.directory)?;
        let scrapes = bind(listen.metrics)?;
        let changed = Arc::new(Notify::new());
        let behind = Arc::new(Notify::new());
        let pool = pool::spawn(
            settings,
            Arc::clone(&changed),
            Arc::clone(&behind),
            log.clone(),
        );
        let digests = digest::spawn(listen.digests, &pool, changed).await;
        digests.with_context(|| format!("cannot bind {}; is it in use?", listen.digests))?;
        let metrics = Metrics::new()?;
        let (phase, shown) = watch::channel(Phase::Serving);
        let (follower, held) = Follower::new(
            settings.store,
            dialect,
            settings.bounds,
            pool.clone(),
            behind,
            log.clone(),
        );
        tokio::spawn(follower.run());
        let registration = registration(settings, dialect, shown.clone(), log.clone())?;
        tokio::spawn(registration.run());
        let tasks = TaskTracker::new();
        let front = Front {
            held: held.clone(),
            phase: shown.clone(),
            tasks: tasks.clone(),
        };
        let exchange = Exchange {
            dialect,
            pool: pool.clone(),
            held: held.clone(),
            phase: shown.clone(),
            metrics: metrics.clone(),
            log: log.clone(),
        };
        front
            .clone()
            .spawn(requests, move |request| exchange.clone().answer(request));
        // The other listeners have no requests that a planned stop must wait for.
        let side = Front {
            tasks: TaskTracker::new(),
            ..front
        };
        side.clone().spawn(ready, move |request| {
            let response = readiness(&dialect, &request, &held, &shown);
            async move { response }
        });
        let offers = pool.clone();
        let lifetime = ADDRESSES.min(settings.bounds.directory);
        side.clone().spawn(directory, move |request| {
            addresses(dialect, offers.clone(), lifetime, request)
        });
        side.spawn(scrapes, move |request| {
            let response = scrape(&request, &metrics);
            async move { response }
        });
        Ok(Self {
            pool,
            phase,
            requests: tasks,
            log,
        })
    }

    /// Reads the settings again and returns those that are in force.
    async fn reload(&self, source: &Source, old: Settings) -> Settings {
        match (source.load)(&source.path) {
            Ok(new) if new == old => old,
            Ok(new) => {
                // The pool ends only with the process.
                let _ = self.pool.send(Rebind(new.repeats.clone())).await;
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

    /// Stops the gateway as planned: callers are sent elsewhere, and requests in progress end.
    async fn stop(self, settings: &Settings) {
        let grace = settings.bounds.grace.saturating_sub(MARGIN);
        let details = format!("name={} grace_ms={}", settings.name, grace.as_millis());
        self.log.emit(Event::GatewayLeaving, &details);
        let finish = async {
            let _ = self.pool.send(Leave).await;
            self.phase.send_replace(Phase::Leaving);
            tokio::time::sleep(ADDRESSES.min(settings.bounds.directory) * KEPT).await;
            self.phase.send_replace(Phase::Finishing);
            self.requests.close();
            self.requests.wait().await;
        };
        // Requests that outlast the grace period are cut off by the platform in any case.
        let _ = tokio::time::timeout(grace, finish).await;
    }
}

/// Returns the task that keeps a gateway listed.
fn registration(
    settings: &Settings,
    dialect: Dialect,
    phase: watch::Receiver<Phase>,
    log: Log,
) -> anyhow::Result<Registration> {
    Ok(Registration {
        address: settings.store,
        dialect,
        name: settings.name.clone(),
        value: serde_json::to_vec(&Entry::from(settings))?.into(),
        phase,
        log,
    })
}

/// Says whether the gateway accepts requests: it knows a configuration and is not leaving.
fn readiness<B>(
    dialect: &Dialect,
    request: &Request<B>,
    held: &Held,
    phase: &watch::Receiver<Phase>,
) -> Response<Body> {
    let ready = held.borrow().is_some() && *phase.borrow() == Phase::Serving;
    let status = match request.uri().path() {
        path if path != dialect.ready => StatusCode::NOT_FOUND,
        _ if ready => StatusCode::OK,
        _ => StatusCode::SERVICE_UNAVAILABLE,
    };
    let mut response = Response::new(body::full(""));
    *response.status_mut() = status;
    response
}

/// Says which addresses a caller may use.
async fn addresses<B>(
    dialect: Dialect,
    pool: Address<Pool>,
    lifetime: Duration,
    request: Request<B>,
) -> Response<Body> {
    if request.uri().path() != dialect.directory {
        return Refusal::Missing.response();
    }
    let place = (dialect.place)(request.uri().query().unwrap_or_default());
    let offered = pool.send(Offer(place.zone)).await.unwrap_or_default();
    if offered.is_empty() {
        return Refusal::Leaving.response();
    }
    body::json((dialect.addresses)(&offered, lifetime))
}

/// Answers a scrape of the metrics.
fn scrape<B>(request: &Request<B>, metrics: &Metrics) -> Response<Body> {
    if request.uri().path() != METRICS_PATH {
        return Refusal::Missing.response();
    }
    Response::new(body::full(metrics.render()))
}
