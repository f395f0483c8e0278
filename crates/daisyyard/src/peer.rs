//! The actor that owns the membership view, the document in force and the links to other nodes.

use std::collections::{HashMap, HashSet};
use std::net::SocketAddr;
use std::time::{Duration, Instant};

use bytes::Bytes;
use daisyyard_core::config::{self, Replica};
use daisyyard_core::gossip::Record;
use daisyyard_core::id::{InstanceId, Revision};
use daisyyard_core::instance::{Instance, State};
use daisyyard_core::member::{Change, Next, View};
use daisyyard_core::preset::Document;
use daisyyard_gateway::timer::{self, Tick};
use tokio::net::TcpListener;
use tokio::sync::{mpsc, watch};
use tokio::task::{JoinHandle, JoinSet};
use xtra::{Actor, Address, Context, Handler, Mailbox, WeakAddress};

use crate::admission::{Admission, Enforce};
use crate::dispatch::{AdoptNodes, Dispatch};
use crate::document::Json;
use crate::event::{self, Event};
use crate::link::{self, Terms};
use crate::meter::Meter;
use crate::remote::Homes;
use crate::status::{Source, Traffic};
use crate::wire::{self, Heartbeat, Message};

/// Time between two heartbeats.
const PERIOD: Duration = Duration::from_secs(1);
/// Time without a frame after which a heartbeat link is replaced by a new connection.
pub(crate) const SILENT_AFTER: Duration = Duration::from_secs(2);
/// Time after which an unanswered pull is sent to another peer.
const PULL_TIMEOUT: Duration = Duration::from_millis(500);
/// Heartbeats between two that carry the place of every instance in them.
const FULL_EVERY: u64 = 8;
/// Heartbeats between two trials of a member that is gone.
const REVISIT_EVERY: u64 = 3;
/// Links at the same time; the target size needs about 100.
pub(crate) const MAX_LINKS: usize = 1024;
/// Bytes of the length before each frame.
pub(crate) const LENGTH_BYTES: u64 = 4;

/// Owns the membership view, the document in force and the links.
#[derive(Debug, Actor)]
pub(crate) struct Peer {
    /// Membership view.
    pub(crate) view: View,
    /// Document in force.
    pub(crate) held: Replica,
    /// JSON form of the document in force.
    pub(crate) json: Bytes,
    /// Where the document in force came from.
    pub(crate) source: Source,
    /// Links by node.
    pub(crate) links: HashMap<InstanceId, Link>,
    /// Nodes that are being dialled.
    pub(crate) dialling: HashSet<InstanceId>,
    /// Frames that wait for a link.
    pub(crate) waiting: HashMap<InstanceId, Vec<Bytes>>,
    /// Terms of the links.
    pub(crate) terms: Terms,
    /// Revision that was asked for, and when.
    pub(crate) pull: Option<(Revision, Instant)>,
    /// Heartbeats so far.
    pub(crate) beats: u64,
    /// Whether this node watches the configuration service.
    pub(crate) watching: watch::Sender<bool>,
    /// Actor that takes the preset in force.
    pub(crate) admission: WeakAddress<Admission>,
    /// Actor that judges requests by the preset.
    pub(crate) meter: WeakAddress<Meter>,
    /// Actor that tells callers the addresses of nodes.
    pub(crate) dispatch: WeakAddress<Dispatch>,
    /// Traffic so far.
    pub(crate) traffic: Traffic,
}

/// One link.
#[derive(Debug)]
pub(crate) struct Link {
    /// Number of the link.
    pub(crate) number: u64,
    /// Frames to write.
    pub(crate) sender: mpsc::Sender<Bytes>,
    /// Whether this node connected.
    pub(crate) dialled: bool,
    /// When the last frame arrived.
    pub(crate) heard: Instant,
}

/// Asks to send a message to a node, over a new link if need be.
#[derive(Debug)]
pub(crate) struct Send {
    /// Node to send to.
    pub(crate) node: InstanceId,
    /// The message.
    pub(crate) message: Message,
}

/// The instance list was read.
#[derive(Debug)]
pub(crate) struct Seed(pub(crate) Vec<Instance>);

/// A document was read from the configuration service.
#[derive(Debug)]
pub(crate) struct Offer(pub(crate) Document);

/// A planned stop was ordered.
#[derive(Debug)]
pub(crate) struct Leave;

/// What the actor needs at its start.
#[derive(Debug)]
pub(crate) struct Start {
    /// The node itself.
    pub(crate) me: Instance,
    /// Document in force until another is known.
    pub(crate) document: Document,
    /// Shared key of all nodes.
    pub(crate) key: Bytes,
    /// Actor that takes the preset in force.
    pub(crate) admission: WeakAddress<Admission>,
    /// Actor that judges requests by the preset.
    pub(crate) meter: WeakAddress<Meter>,
    /// Actor that tells callers the addresses of nodes.
    pub(crate) dispatch: WeakAddress<Dispatch>,
}

/// Starts the actor, its timer and the listener for other nodes.
pub(crate) fn spawn(
    start: Start,
    listener: TcpListener,
    (address, mailbox): (Address<Peer>, Mailbox<Peer>),
) -> (Address<Peer>, watch::Receiver<bool>, JoinHandle<()>) {
    let (watching, watched) = watch::channel(false);
    let terms = Terms {
        node: start.me.id,
        key: start.key,
        peer: address.downgrade(),
    };
    let actor = Peer {
        view: View::new(start.me),
        json: Json::from(&start.document).0,
        held: Replica::new(start.document),
        source: Source::BuiltIn,
        links: HashMap::new(),
        dialling: HashSet::new(),
        waiting: HashMap::new(),
        terms: terms.clone(),
        pull: None,
        beats: 0,
        watching,
        admission: start.admission,
        meter: start.meter,
        dispatch: start.dispatch,
        traffic: Traffic::default(),
    };
    tokio::spawn(xtra::run(mailbox, actor));
    timer::spawn(address.downgrade(), PERIOD);
    (address, watched, tokio::spawn(listen(listener, terms)))
}

/// Accepts links, with one task each.
async fn listen(listener: TcpListener, terms: Terms) {
    let mut links = JoinSet::new();
    loop {
        tokio::select! {
            accepted = listener.accept(), if links.len() < MAX_LINKS => {
                if let Ok((socket, address)) = accepted {
                    links.spawn(link::accept(terms.clone(), socket, address));
                } else {
                    // Accepting fails when file descriptors run out; some must be freed first.
                    tokio::time::sleep(Duration::from_millis(100)).await;
                }
            }
            Some(_) = links.join_next() => {}
        }
    }
}

impl Peer {
    /// Sends an encoded frame over a link; a link that takes no more frames is closed.
    pub(crate) fn write(&mut self, node: InstanceId, bytes: Bytes) {
        let Some(link) = self.links.get(&node) else {
            return;
        };
        let size = bytes.len() as u64 + LENGTH_BYTES;
        if link.sender.try_send(bytes).is_ok() {
            self.traffic.sent += size;
        } else {
            self.links.remove(&node);
        }
    }

    /// Sends a message over a link.
    pub(crate) fn send(&mut self, node: InstanceId, message: Message) {
        self.write(node, wire::encode(message));
    }

    /// Connects to a member unless that is in progress.
    pub(crate) fn dial(&mut self, node: InstanceId) {
        if let Some(instance) = self.view.get(node)
            && node != self.terms.node
            && self.dialling.insert(node)
        {
            tokio::spawn(link::dial(self.terms.clone(), node, instance.peer));
        }
    }

    /// Sends a heartbeat with records to some nodes.
    pub(crate) fn beat(&mut self, nodes: &[InstanceId], sender: Record, records: Vec<Record>) {
        let bytes = wire::encode(Message::Heartbeat(Heartbeat {
            sender,
            revision: self.held.document().revision,
            records,
        }));
        for node in nodes {
            self.write(*node, bytes.clone());
        }
    }

    /// Sends the node's own record and what changed to all links at once.
    fn push(&mut self) {
        let nodes: Vec<InstanceId> = self.links.keys().copied().collect();
        let (sender, records) = (self.view.heartbeat_record(), self.view.changed());
        self.beat(&nodes, sender, records);
    }

    /// Follows up on evidence about a member.
    fn follow(&mut self, next: Next) {
        if let Next::Notify(record) = next {
            let sender = self.view.hello_record();
            self.beat(&[record.id], sender, vec![record]);
        }
    }

    /// Logs what changed in the view and takes the consequences.
    async fn settle(&mut self) {
        let changes = self.view.take_changes();
        let gone = |change: &&Change| change.after == State::Gone;
        let gone = changes.iter().filter(gone).map(|change| change.id);
        if !changes.is_empty() {
            self.tell(gone.collect()).await;
        }
        for change in changes {
            let event = match change.after {
                State::Live | State::Leaving => Event::MemberChanged,
                State::Suspected => Event::MemberSuspected,
                State::Gone => Event::MemberGone,
            };
            let name = self.view.get(change.id).map_or("", |i| i.name.as_str());
            event::emit(event, &format!("name={name} state={:?}", change.after));
        }
        let me = self.view.local();
        let region = self.view.live_in_region(me.zone.region);
        let watches = config::watches(me.id, region);
        self.watching
            .send_if_modified(|watching| std::mem::replace(watching, watches) != watches);
    }

    /// Tells the other actors which nodes may be homes and which addresses callers may use.
    async fn tell(&self, gone: Vec<InstanceId>) {
        let nodes = self.view.homes().collect();
        let _ = self.admission.send(Homes { nodes, gone }).detach().await;
        let nodes = AdoptNodes(self.view.all().cloned().collect());
        let _ = self.dispatch.send(nodes).detach().await;
    }

    /// Takes a document if it is newer than the one in force and tells the peers at once.
    pub(crate) async fn adopt(&mut self, document: Document, source: Source) {
        let json = Json::from(&document).0;
        if self.held.offer(document) != config::Next::Adopt {
            return;
        }
        self.json = json;
        self.source = source;
        self.pull = None;
        let document = self.held.document();
        let details = format!("revision={} preset={}", document.revision, document.current);
        event::emit(Event::ConfigAdopted, &details);
        if let Some(preset) = document.in_force().cloned() {
            let _ = self.meter.send(Enforce(preset.clone())).detach().await;
            let _ = self.dispatch.send(Enforce(preset.clone())).detach().await;
            let _ = self.admission.send(Enforce(preset)).detach().await;
        }
        self.push();
    }

    /// Takes the news that a peer holds a revision.
    fn announced(&mut self, node: InstanceId, revision: Revision, now: Instant) {
        let config::Next::Fetch(revision) = self.held.announced(revision) else {
            return;
        };
        let recent = |(asked, at): (Revision, Instant)| {
            asked >= revision && now.saturating_duration_since(at) < PULL_TIMEOUT
        };
        if !self.pull.is_some_and(recent) {
            self.pull = Some((revision, now));
            self.send(node, Message::Pull(revision));
        }
    }

    /// Takes a heartbeat and answers it if this node did not choose the sender itself.
    pub(crate) async fn heartbeat(&mut self, node: InstanceId, beat: Heartbeat, now: Instant) {
        if beat.sender.id != node {
            return;
        }
        let next = self.view.receive_direct(beat.sender, now);
        self.follow(next);
        for record in beat.records {
            let next = self.view.receive_relayed(record, now);
            self.follow(next);
        }
        self.announced(node, beat.revision, now);
        self.settle().await;
    }
}

impl Handler<Seed> for Peer {
    type Return = ();

    async fn handle(&mut self, message: Seed, _: &mut Context<Self>) {
        self.view.merge_list(message.0, Instant::now());
        self.settle().await;
        for node in self.view.peers() {
            if !self.links.contains_key(&node) {
                self.dial(node);
            }
        }
    }
}

impl Handler<Offer> for Peer {
    type Return = ();

    async fn handle(&mut self, message: Offer, _: &mut Context<Self>) {
        self.adopt(message.0, Source::Store).await;
    }
}

impl Handler<Leave> for Peer {
    type Return = ();

    async fn handle(&mut self, _: Leave, _: &mut Context<Self>) {
        self.view.leave();
        self.push();
        self.tell(Vec::new()).await;
    }
}

impl Handler<Tick> for Peer {
    type Return = ();

    async fn handle(&mut self, _: Tick, _: &mut Context<Self>) {
        let now = Instant::now();
        self.beats += 1;
        self.view.tick(now);
        self.settle().await;
        let chosen = self.view.peers();
        for node in &chosen {
            let silent = |link: &Link| now.saturating_duration_since(link.heard) >= SILENT_AFTER;
            if self.links.get(node).is_none_or(silent) {
                // The connection may have gone silent while new ones work.
                self.links.remove(node);
                self.dial(*node);
            }
        }
        if self.beats.is_multiple_of(REVISIT_EVERY)
            && let Some(node) = self.view.gone_member(rand::random())
        {
            self.dial(node);
        }
        let sender = self.view.heartbeat_record();
        let records = self.view.records(self.beats.is_multiple_of(FULL_EVERY));
        self.beat(&chosen, sender, records);
    }
}

/// Returns the address on which the listener accepts links.
pub(crate) async fn bind(address: SocketAddr) -> anyhow::Result<(TcpListener, SocketAddr)> {
    use anyhow::Context as _;
    let listener = TcpListener::bind(address).await;
    let listener =
        listener.with_context(|| format!("cannot listen on {address}; is it in use?"))?;
    let address = listener.local_addr()?;
    Ok((listener, address))
}
