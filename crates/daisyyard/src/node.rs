//! One node: starts its tasks and stops them as planned.

use std::net::SocketAddr;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

use anyhow::Context;
use daisyyard_core::drain::{Drain, Next};
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
use crate::calls::{Calls, Count};
use crate::event::{self, Event};
use crate::front::Phase;
use crate::generation::Actors;
use crate::measure::Metrics;
use crate::revise::{Editor, Outcome};
use crate::settings::Settings;
use crate::signature::Signer;
use crate::status::{self, Status};
use crate::{admission, calls, dispatch, follow, front, meter, peer, roster, store};

/// Longest time that a planned stop waits for outcomes to be written. The configuration service may
/// be down for long, and an outcome that is never written reads as unknown, which is still true.
const WRITE_LIMIT: Duration = Duration::from_secs(10);
/// Time between two checks for outcomes that are not written yet.
const WRITE_CHECK: Duration = Duration::from_millis(50);

/// A running node; dropping it ends its tasks at once.
#[derive(Debug)]
pub struct Node {
    /// Address for callers.
    pub address: SocketAddr,
    /// Address for other nodes.
    pub peer: SocketAddr,
    /// Actor that owns the membership view and the preset document.
    peers: Address<peer::Peer>,
    /// Actor that keeps the call registry.
    calls: Address<Calls>,
    /// Orders of operators to stop.
    orders: mpsc::Receiver<()>,
    /// Changes the preset document.
    editor: Editor,
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
        let mut me = Instance::new(&settings.name, zone, address, peer);
        // The time of the start orders the starts of one instance without any stored state.
        me.incarnation = SystemTime::now().duration_since(UNIX_EPOCH)?.as_millis() as u64;
        let built_in = Document::initial(preset);
        let start = peer::Start {
            me,
            document: built_in.clone(),
            key: settings.key.clone().into(),
            admission: admission.downgrade(),
            meter: meter.downgrade(),
            dispatch: dispatch.downgrade(),
        };
        let (peers, watching, links) = peer::spawn(start, links, mailbox);
        let store = store::spawn(settings.store, rand::random());
        let follow = tokio::spawn(follow::follow(store.clone(), peers.downgrade(), watching));
        let targets = roster::Targets {
            dispatch: dispatch.clone(),
            admission: admission.clone(),
            peer: peers.clone(),
        };
        if let Ok(list) = roster::poll(settings.list).await {
            targets.take(list).await;
        }
        let roster = roster::spawn(settings.list, targets);
        let requests = TaskTracker::new();
        let calls = calls::spawn(settings.store);
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
        let (stop, orders) = mpsc::channel(1);
        let admin = Admin::new(name, operators, peers.clone(), editor.clone(), stop);
        let (phase, shown) = watch::channel(Phase::Serving);
        let front = front::spawn(listener, address, &settings, actors, shown, admin);
        event::emit(
            Event::NodeStarted,
            &format!("name={} address={address}", settings.name),
        );
        Ok(Self {
            address,
            peer,
            peers,
            calls,
            orders,
            editor,
            tasks: vec![roster, links, follow],
            front,
            requests,
            phase,
            drain: Drain::new(settings.timing.addresses),
        })
    }

    /// Waits until an operator orders a planned stop.
    pub async fn ordered(&mut self) {
        // The front holds the sender for as long as the node runs.
        let _ = self.orders.recv().await;
    }

    /// Stops the node as planned: callers and peers are told to leave it, every request is
    /// finished and every outcome is written.
    pub async fn drain(mut self) {
        event::emit(Event::NodeLeaving, &format!("address={}", self.address));
        let _ = self.peers.send(peer::Leave).await;
        self.drain.start(Instant::now());
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
                Next::Serve | Next::Exit => break,
            }
        }
        self.settle().await;
    }

    /// Waits until the outcomes of calls are written, within a limit.
    async fn settle(&self) {
        let until = Instant::now() + WRITE_LIMIT;
        while let Ok(stats) = self.calls.send(Count).await
            && stats.unwritten > 0
        {
            if Instant::now() >= until {
                let details = format!("unwritten={}", stats.unwritten);
                event::emit(Event::OutcomesUnwritten, &details);
                return;
            }
            tokio::time::sleep(WRITE_CHECK).await;
        }
    }

    /// Changes the preset document if it still has the revision that the operator saw.
    pub async fn revise(&self, edit: Edit, by: &str, seen: Revision) -> Outcome {
        self.editor.revise(edit, by, seen).await
    }

    /// Returns the state of the node's view, configuration and links.
    pub async fn status(&self) -> anyhow::Result<Status> {
        Ok(self.peers.send(status::Ask).await?)
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
    let mut node = Node::start(settings).await?;
    let address = node.address;
    let mut terminate = signal(SignalKind::terminate())?;
    let mut interrupt = signal(SignalKind::interrupt())?;
    tokio::select! {
        _ = terminate.recv() => {}
        _ = interrupt.recv() => {}
        () = node.ordered() => {}
    }
    node.drain().await;
    event::emit(Event::NodeStopped, &format!("address={address}"));
    Ok(())
}
