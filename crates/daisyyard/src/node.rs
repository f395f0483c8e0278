//! One node: starts its tasks and stops them as planned.

use std::net::SocketAddr;
use std::time::Instant;

use anyhow::Context;
use daisyyard_core::drain::{Drain, Next};
use daisyyard_core::id;
use daisyyard_core::preset::Preset;
use daisyyard_core::zone::Zone;
use tokio::signal::unix::{SignalKind, signal};
use tokio::sync::watch;
use tokio::task::JoinHandle;
use tokio_util::task::TaskTracker;

use crate::event::{self, Event};
use crate::front::Phase;
use crate::generation::Actors;
use crate::measure::Metrics;
use crate::settings::Settings;
use crate::signature::Signer;
use crate::{admission, calls, dispatch, front, meter, roster};

/// A running node; dropping it ends its tasks at once.
#[derive(Debug)]
pub struct Node {
    /// Address for callers.
    pub address: SocketAddr,
    /// Tasks of the node.
    tasks: Vec<JoinHandle<()>>,
    /// Task that accepts connections and ends after the last one.
    front: JoinHandle<()>,
    /// Tasks of requests.
    requests: TaskTracker,
    /// How far a planned stop has come.
    phase: watch::Sender<Phase>,
    /// Planned stop.
    drain: Drain,
}

impl Node {
    /// Starts a node.
    pub async fn start(settings: Settings) -> anyhow::Result<Self> {
        let listener = front::listen(settings.listen)
            .with_context(|| format!("cannot listen on {}; is it in use?", settings.listen))?;
        let address = listener.local_addr()?;
        let dispatch = dispatch::spawn(Zone::new(&settings.zone, &settings.region));
        let listed = roster::poll(settings.list).await.unwrap_or_default();
        let _ = dispatch.send(dispatch::AdoptNodes(listed.nodes)).await;
        let _ = dispatch.send(dispatch::Adopt(listed.endpoints)).await;
        let preset = Preset::ordinary(&settings.services);
        let metrics = Metrics::new(&settings.services)?;
        let meter = meter::spawn(&settings.name, preset.clone(), metrics.clone());
        let admission = admission::spawn(preset, dispatch.clone());
        let roster = roster::spawn(settings.list, dispatch.clone());
        let requests = TaskTracker::new();
        let actors = Actors {
            node: id::of(&settings.name),
            dispatch,
            admission,
            calls: calls::spawn(settings.store),
            meter,
            metrics,
            signer: Signer::new(&settings.key),
            timing: settings.timing,
            tasks: requests.clone(),
        };
        let (phase, shown) = watch::channel(Phase::Serving);
        let front = front::spawn(listener, address, &settings, actors, shown);
        event::emit(
            Event::NodeStarted,
            &format!("name={} address={address}", settings.name),
        );
        Ok(Self {
            address,
            tasks: vec![roster],
            front,
            requests,
            phase,
            drain: Drain::new(settings.timing.addresses),
        })
    }

    /// Stops the node as planned: callers are told to leave, and every request is finished.
    pub async fn drain(mut self) {
        event::emit(Event::NodeLeaving, &format!("address={}", self.address));
        self.drain.order(Instant::now());
        loop {
            let open = usize::from(!self.front.is_finished()) + self.requests.len();
            match self.drain.next(open, Instant::now()) {
                Next::Announce(until) => {
                    self.phase.send_replace(Phase::Leaving);
                    tokio::time::sleep_until(until.into()).await;
                }
                Next::Finish => {
                    self.phase.send_replace(Phase::Finishing);
                    let _ = (&mut self.front).await;
                    self.requests.close();
                    self.requests.wait().await;
                }
                Next::Serve | Next::Exit => return,
            }
        }
    }
}

impl Drop for Node {
    fn drop(&mut self) {
        for task in &self.tasks {
            task.abort();
        }
        self.front.abort();
    }
}

/// Runs a node until the process is told to stop.
pub async fn run(settings: Settings) -> anyhow::Result<()> {
    event::configure(settings.log)?;
    for warning in settings.warnings() {
        event::emit(Event::SettingDoubtful, &warning);
    }
    let node = Node::start(settings).await?;
    let address = node.address;
    let mut terminate = signal(SignalKind::terminate())?;
    let mut interrupt = signal(SignalKind::interrupt())?;
    tokio::select! {
        _ = terminate.recv() => {}
        _ = interrupt.recv() => {}
    }
    node.drain().await;
    event::emit(Event::NodeStopped, &format!("address={address}"));
    Ok(())
}
