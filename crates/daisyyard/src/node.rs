//! One node: starts its tasks and shuts them down gracefully.

use std::net::SocketAddr;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

use anyhow::Context;
use daisyyard_core::drain::{Action, Drain};
use daisyyard_core::id::{self, Revision};
use daisyyard_core::instance::Instance;
use daisyyard_core::preset::{Document, Edit, Preset};
use daisyyard_core::zone::Zone;
use tokio::signal::unix::{SignalKind, signal};
use tokio::sync::{mpsc, watch};
use tokio::task::JoinHandle;
use tokio_util::task::TaskTracker;
use xtra::{Address, Mailbox};

use crate::admin::Admin;
use crate::call_registry::{GetStats, Registry};
use crate::editor::{Editor, Outcome};
use crate::event::{self, Event};
use crate::generation::Actors;
use crate::metrics::Metrics;
use crate::server::Phase;
use crate::settings::Settings;
use crate::signature::Signer;
use crate::status::{self, Status};
use crate::{
    admission, call_registry, config_watch, dispatch, instance_list, meter, peer, server, store,
};

/// Maximum time that a planned stop waits for outcomes of calls to be written. The configuration
/// service may be down for longer; an outcome that is never written reads as unknown, which is
/// still true.
const OUTCOME_WRITE_TIMEOUT: Duration = Duration::from_secs(10);
/// Interval at which a planned stop checks for unwritten outcomes.
const OUTCOME_POLL_INTERVAL: Duration = Duration::from_millis(50);

/// A running node; dropping it aborts its tasks.
#[derive(Debug)]
pub struct Node {
    /// Address on which the node listens for callers.
    pub address: SocketAddr,
    /// Address on which the node listens for other nodes.
    pub peer: SocketAddr,
    /// Actor that owns the membership view and the preset document.
    peers: Address<peer::Peer>,
    /// Actor that keeps the call registry.
    calls: Address<Registry>,
    /// Receives the planned stops that operators order.
    stop_orders: mpsc::Receiver<()>,
    /// Edits the preset document.
    editor: Editor,
    /// Background tasks that are aborted when the node is dropped.
    tasks: Vec<JoinHandle<()>>,
    /// Task of the HTTP server, which ends when it has closed its last connection.
    server: JoinHandle<()>,
    /// Tasks of requests in progress.
    requests: TaskTracker,
    /// Sends the phase of a planned stop to the HTTP server.
    phase: watch::Sender<Phase>,
    /// Decides the steps of a planned stop.
    drain: Drain,
}

impl Node {
    /// Binds the sockets, reads the instance list once and starts all tasks.
    pub async fn start(settings: Settings) -> anyhow::Result<Self> {
        let listener = server::listen(settings.listen)
            .with_context(|| format!("cannot listen on {}; is it in use?", settings.listen))?;
        let address = listener.local_addr()?;
        let (links, peer) = peer::bind(settings.peer).await?;
        let zone = Zone::new(&settings.zone, &settings.region);
        let services: Vec<&str> = settings.services.iter().map(String::as_str).collect();
        let preset = Preset::ordinary(&services);
        let metrics = Metrics::new(&settings.services)?;
        let meter = meter::spawn(&settings.name, preset.clone(), metrics.clone());
        let mailbox = Mailbox::unbounded();
        let node = id::of(&settings.name);
        let peers = mailbox.0.downgrade();
        let dispatch = dispatch::spawn(node, zone.clone(), preset.clone(), peers.clone());
        let admission = admission::spawn(node, preset.clone(), dispatch.clone(), peers);
        let mut instance = Instance::new(&settings.name, zone, address, peer);
        // The start time orders the incarnations of an instance without stored state.
        instance.incarnation = SystemTime::now().duration_since(UNIX_EPOCH)?.as_millis() as u64;
        let built_in = Document::initial(preset);
        let options = peer::Options {
            instance,
            document: built_in.clone(),
            key: settings.key.clone().into(),
            admission: admission.downgrade(),
            meter: meter.downgrade(),
            dispatch: dispatch.downgrade(),
        };
        let (peers, watching, links) = peer::spawn(options, links, mailbox);
        let store = store::spawn(settings.store, rand::random());
        let config_watch = tokio::spawn(config_watch::run(
            store.clone(),
            peers.downgrade(),
            watching,
        ));
        let targets = instance_list::Targets {
            dispatch: dispatch.clone(),
            admission: admission.clone(),
            peer: peers.clone(),
        };
        if let Ok(listing) = instance_list::poll(settings.instance_list).await {
            targets.publish(listing).await;
        }
        let instance_poll = instance_list::spawn(settings.instance_list, targets);
        let requests = TaskTracker::new();
        let calls = call_registry::spawn(settings.store);
        let actors = Actors {
            node,
            dispatch,
            admission,
            calls: calls.clone(),
            meter,
            metrics,
            signer: Signer::new(&settings.key),
            timing: settings.timing,
            tasks: requests.clone(),
        };
        let editor = Editor {
            store,
            built_in,
            peers: peers.clone(),
        };
        let (name, operators) = (&settings.name, &settings.operators);
        let (stop, stop_orders) = mpsc::channel(1);
        let admin = Admin::new(name, operators, peers.clone(), editor.clone(), stop);
        let (phase, phase_receiver) = watch::channel(Phase::Serving);
        let server = server::spawn(listener, address, &settings, actors, phase_receiver, admin);
        event::emit(
            Event::NodeStarted,
            &format!("name={} address={address}", settings.name),
        );
        Ok(Self {
            address,
            peer,
            peers,
            calls,
            stop_orders,
            editor,
            tasks: vec![instance_poll, links, config_watch],
            server,
            requests,
            phase,
            drain: Drain::new(settings.timing.addresses_ttl),
        })
    }

    /// Waits until an operator orders a planned stop.
    pub async fn stop_ordered(&mut self) {
        // The HTTP server holds the sender for as long as the node runs.
        let _ = self.stop_orders.recv().await;
    }

    /// Shuts the node down gracefully: announces to callers and peers that it is leaving, finishes
    /// every request and waits until the outcomes of calls are written.
    pub async fn drain(mut self) {
        event::emit(Event::NodeLeaving, &format!("address={}", self.address));
        let _ = self.peers.send(peer::Leave).await;
        self.drain.start(Instant::now());
        loop {
            let open = usize::from(!self.server.is_finished()) + self.requests.len();
            match self.drain.next(open, Instant::now()) {
                Action::Announce(until) => {
                    self.phase.send_replace(Phase::Leaving);
                    tokio::time::sleep_until(until.into()).await;
                }
                Action::Finish => {
                    self.phase.send_replace(Phase::Finishing);
                    let _ = (&mut self.server).await;
                    self.requests.close();
                    self.requests.wait().await;
                }
                Action::Serve | Action::Exit => break,
            }
        }
        self.wait_for_outcomes().await;
    }

    /// Waits until the outcomes of calls are written, for at most [`OUTCOME_WRITE_TIMEOUT`].
    async fn wait_for_outcomes(&self) {
        let until = Instant::now() + OUTCOME_WRITE_TIMEOUT;
        while let Ok(stats) = self.calls.send(GetStats).await
            && stats.unwritten > 0
        {
            if Instant::now() >= until {
                let details = format!("unwritten={}", stats.unwritten);
                event::emit(Event::OutcomesUnwritten, &details);
                return;
            }
            tokio::time::sleep(OUTCOME_POLL_INTERVAL).await;
        }
    }

    /// Edits the preset document if it still has the revision that the operator saw.
    pub async fn edit(&self, edit: Edit, by: &str, seen: Revision) -> Outcome {
        self.editor.edit(edit, by, seen).await
    }

    /// Returns the node's membership view, preset document and links.
    pub async fn status(&self) -> anyhow::Result<Status> {
        Ok(self.peers.send(status::Query).await?)
    }
}

impl Drop for Node {
    fn drop(&mut self) {
        for task in &self.tasks {
            task.abort();
        }
        self.server.abort();
    }
}

/// Runs a node until SIGTERM, SIGINT or an operator starts a planned stop.
pub async fn run(settings: Settings) -> anyhow::Result<()> {
    event::configure(settings.log)?;
    for warning in settings.warnings() {
        event::emit(Event::SettingDoubtful, &warning);
    }
    let mut node = Node::start(settings).await?;
    let address = node.address;
    let mut terminate = signal(SignalKind::terminate())?;
    let mut interrupt = signal(SignalKind::interrupt())?;
    tokio::select! {
        _ = terminate.recv() => {}
        _ = interrupt.recv() => {}
        () = node.stop_ordered() => {}
    }
    node.drain().await;
    event::emit(Event::NodeStopped, &format!("address={address}"));
    Ok(())
}
