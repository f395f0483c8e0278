//! The actor that owns the membership view, the document in force and the links to other nodes.

use std::collections::{HashMap, HashSet};
use std::net::SocketAddr;
use std::time::{Duration, Instant};

use bytes::Bytes;
use daisyyard_core::config::{self, Held};
use daisyyard_core::id::{InstanceId, Revision};
use daisyyard_core::instance::{Instance, State};
use daisyyard_core::member::{Change, Next, View};
use daisyyard_core::preset::Document;
use daisyyard_core::record::Record;
use tokio::net::TcpListener;
use tokio::sync::{mpsc, watch};
use tokio::task::{JoinHandle, JoinSet};
use xtra::{Actor, Address, Context, Handler, Mailbox, WeakAddress};

use crate::admission::{Admission, Enforce};
use crate::document;
use crate::event::{self, Event};
use crate::link::{self, Terms};
use crate::remote::{Deliver, Homes, Lost};
use crate::wire::{self, Heartbeat, Message};

/// Time between two heartbeats.
const PERIOD: Duration = Duration::from_secs(1);
/// Time without a frame after which a heartbeat link is replaced by a new connection.
const SILENT_AFTER: Duration = Duration::from_secs(2);
/// Time after which an unanswered pull is sent to another peer.
const PULL_TIMEOUT: Duration = Duration::from_millis(500);
/// Heartbeats between two that carry the place of every instance in them.
const FULL_EVERY: u64 = 8;
/// Heartbeats between two trials of a member that is gone.
const REVISIT_EVERY: u64 = 3;
/// Links at the same time; the target size needs about 100.
const MAX_LINKS: usize = 1024;
/// Bytes of the length before each frame.
const LENGTH_BYTES: u64 = 4;

/// Owns the membership view, the document in force and the links.
#[derive(Debug, Actor)]
pub(crate) struct Peer {
    /// Membership view.
    view: View,
    /// Document in force.
    held: Held,
    /// JSON form of the document in force.
    json: Bytes,
    /// Links by node.
    links: HashMap<InstanceId, Link>,
    /// Nodes that are being dialled.
    dialling: HashSet<InstanceId>,
    /// Frames that wait for a link.
    waiting: HashMap<InstanceId, Vec<Bytes>>,
    /// Terms of the links.
    terms: Terms,
    /// Revision that was asked for, and when.
    pull: Option<(Revision, Instant)>,
    /// Heartbeats so far.
    beats: u64,
    /// Whether this node watches the configuration service.
    watching: watch::Sender<bool>,
    /// Actor that takes the preset in force.
    admission: WeakAddress<Admission>,
    /// Traffic so far.
    traffic: Traffic,
}

/// One link.
#[derive(Debug)]
struct Link {
    /// Number of the link.
    number: u64,
    /// Frames to write.
    sender: mpsc::Sender<Bytes>,
    /// Whether this node connected.
    dialled: bool,
    /// When the last frame arrived.
    heard: Instant,
}

/// Bytes over all links.
#[derive(Debug, Clone, Copy, Default)]
pub struct Traffic {
    /// Bytes sent.
    pub sent: u64,
    /// Bytes received.
    pub received: u64,
}

/// A link has been authenticated; the answer is whether it is of use.
#[derive(Debug)]
pub(crate) struct Up {
    /// Node at the other end.
    pub(crate) node: InstanceId,
    /// Number of the link.
    pub(crate) link: u64,
    /// Frames to write.
    pub(crate) sender: mpsc::Sender<Bytes>,
    /// Whether this node connected.
    pub(crate) dialled: bool,
}

/// A link has ended.
#[derive(Debug)]
pub(crate) struct Down {
    /// Node at the other end.
    pub(crate) node: InstanceId,
    /// Number of the link.
    pub(crate) link: u64,
}

/// A node could not be reached.
#[derive(Debug)]
pub(crate) struct Failed(pub(crate) InstanceId);

/// A frame has arrived.
#[derive(Debug)]
pub(crate) struct Received {
    /// Node that sent it.
    pub(crate) node: InstanceId,
    /// Number of the link.
    pub(crate) link: u64,
    /// Bytes of the frame.
    pub(crate) size: usize,
    /// The message.
    pub(crate) message: Message,
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

/// Asks for the state of the node.
#[derive(Debug)]
pub(crate) struct Ask;

/// State of the node.
#[derive(Debug, Clone)]
pub struct Status {
    /// Document in force.
    pub document: Document,
    /// The node itself and all members.
    pub members: Vec<Instance>,
    /// Nodes with a link.
    pub links: Vec<InstanceId>,
    /// Whether the node watches the configuration service.
    pub watching: bool,
    /// Traffic so far.
    pub traffic: Traffic,
}

/// Time for the next heartbeat.
#[derive(Debug)]
struct Tick;

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
        json: document::encode(&start.document),
        held: Held::new(start.document),
        links: HashMap::new(),
        dialling: HashSet::new(),
        waiting: HashMap::new(),
        terms: terms.clone(),
        pull: None,
        beats: 0,
        watching,
        admission: start.admission,
        traffic: Traffic::default(),
    };
    tokio::spawn(xtra::run(mailbox, actor));
    let ticker = address.downgrade();
    tokio::spawn(async move {
        let mut interval = tokio::time::interval(PERIOD);
        loop {
            interval.tick().await;
            if ticker.send(Tick).await.is_err() {
                return;
            }
        }
    });
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
    fn write(&mut self, node: InstanceId, bytes: Bytes) {
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
    fn send(&mut self, node: InstanceId, message: Message) {
        self.write(node, wire::encode(message));
    }

    /// Connects to a member unless that is in progress.
    fn dial(&mut self, node: InstanceId) {
        if let Some(instance) = self.view.get(node)
            && node != self.terms.node
            && self.dialling.insert(node)
        {
            tokio::spawn(link::dial(self.terms.clone(), node, instance.peer));
        }
    }

    /// Sends a heartbeat with records to some nodes.
    fn beat(&mut self, nodes: &[InstanceId], sender: Record, records: Vec<Record>) {
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
        let (sender, records) = (self.view.own(), self.view.changed());
        self.beat(&nodes, sender, records);
    }

    /// Follows up on evidence about a member.
    fn follow(&mut self, next: Next) {
        if let Next::Tell(record) = next {
            let sender = self.view.introduction();
            self.beat(&[record.id], sender, vec![record]);
        }
    }

    /// Logs what changed in the view and takes the consequences.
    async fn settle(&mut self) {
        let changes = self.view.changes();
        let gone = |change: &&Change| change.after == State::Gone;
        let gone = changes.iter().filter(gone).map(|change| change.id);
        let homes = Homes {
            nodes: self.view.homes().collect(),
            gone: gone.collect(),
        };
        if !changes.is_empty() {
            let _ = self.admission.send(homes).detach().await;
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
        let me = self.view.me();
        let region = self.view.region(me.zone.region);
        let watches = config::watches(me.id, region);
        self.watching
            .send_if_modified(|watching| std::mem::replace(watching, watches) != watches);
    }

    /// Takes a document if it is newer than the one in force and tells the peers at once.
    async fn adopt(&mut self, document: Document) {
        let json = document::encode(&document);
        if self.held.offer(document) != config::Next::Adopt {
            return;
        }
        self.json = json;
        self.pull = None;
        let document = self.held.document();
        let details = format!("revision={} preset={}", document.revision, document.current);
        event::emit(Event::ConfigAdopted, &details);
        if let Some(preset) = document.in_force().cloned() {
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
    async fn heartbeat(&mut self, node: InstanceId, beat: Heartbeat, now: Instant) {
        if beat.sender.id != node {
            return;
        }
        let next = self.view.hear(beat.sender, now);
        self.follow(next);
        for record in beat.records {
            let next = self.view.learn(record, now);
            self.follow(next);
        }
        self.announced(node, beat.revision, now);
        self.settle().await;
    }
}

impl Handler<Up> for Peer {
    type Return = bool;

    async fn handle(&mut self, message: Up, _: &mut Context<Self>) -> bool {
        let now = Instant::now();
        let node = message.node;
        if message.dialled {
            self.dialling.remove(&node);
        }
        if let Some(held) = self.links.get(&node) {
            // Of two links that both ends dialled at once, both keep that of the lower id.
            let lower = (node < self.terms.node) != message.dialled;
            let silent = now.saturating_duration_since(held.heard) >= SILENT_AFTER;
            if held.dialled != message.dialled && !lower && !silent {
                return false;
            }
        }
        if node == self.terms.node || self.links.len() >= MAX_LINKS {
            return false;
        }
        let link = Link {
            number: message.link,
            sender: message.sender,
            dialled: message.dialled,
            heard: now,
        };
        self.links.insert(node, link);
        let (sender, records) = (self.view.introduction(), self.view.records(true));
        self.beat(&[node], sender, records);
        for bytes in self.waiting.remove(&node).unwrap_or_default() {
            self.write(node, bytes);
        }
        true
    }
}

impl Handler<Down> for Peer {
    type Return = ();

    async fn handle(&mut self, message: Down, _: &mut Context<Self>) {
        let held = self.links.get(&message.node);
        if held.is_some_and(|link| link.number == message.link) {
            self.links.remove(&message.node);
            let _ = self.admission.send(Lost(message.node)).detach().await;
        }
    }
}

impl Handler<Failed> for Peer {
    type Return = ();

    async fn handle(&mut self, message: Failed, _: &mut Context<Self>) {
        self.dialling.remove(&message.0);
        self.waiting.remove(&message.0);
        if !self.links.contains_key(&message.0) {
            let _ = self.admission.send(Lost(message.0)).detach().await;
        }
    }
}

impl Handler<Received> for Peer {
    type Return = ();

    async fn handle(&mut self, message: Received, _: &mut Context<Self>) {
        let now = Instant::now();
        let node = message.node;
        self.traffic.received += message.size as u64 + LENGTH_BYTES;
        if let Some(link) = self.links.get_mut(&node)
            && link.number == message.link
        {
            link.heard = now;
        }
        match message.message {
            Message::Heartbeat(beat) => {
                let answer = !self.view.peers().contains(&node);
                self.heartbeat(node, beat, now).await;
                if answer {
                    let (sender, records) = (self.view.own(), self.view.changed());
                    self.beat(&[node], sender, records);
                }
            }
            Message::Pull(revision) if revision <= self.held.document().revision => {
                let document = wire::Document {
                    revision: self.held.document().revision,
                    json: self.json.clone(),
                };
                self.send(node, Message::Document(document));
            }
            Message::Document(document) => match document::decode(&document.json) {
                Ok(document) => self.adopt(document).await,
                Err(faults) => {
                    let fault = faults.first().map(ToString::to_string).unwrap_or_default();
                    event::emit(Event::ConfigRejected, &format!("node={node:016x} {fault}"));
                }
            },
            message @ (Message::Ask(_)
            | Message::Answer(_)
            | Message::Progress(_)
            | Message::Release(_)) => {
                let deliver = Deliver { node, message };
                let _ = self.admission.send(deliver).detach().await;
            }
            // A greeting on an open link and a pull of a revision that is not held need no answer.
            _ => {}
        }
    }
}

impl Handler<Send> for Peer {
    type Return = ();

    async fn handle(&mut self, message: Send, _: &mut Context<Self>) {
        let node = message.node;
        if self.links.contains_key(&node) {
            self.send(node, message.message);
            return;
        }
        self.dial(node);
        let waiting = self.waiting.entry(node).or_default();
        if self.dialling.contains(&node) && waiting.len() < link::BUFFER {
            waiting.push(wire::encode(message.message));
        } else {
            let _ = self.admission.send(Lost(node)).detach().await;
        }
    }
}

impl Handler<Seed> for Peer {
    type Return = ();

    async fn handle(&mut self, message: Seed, _: &mut Context<Self>) {
        self.view.seed(message.0, Instant::now());
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
        self.adopt(message.0).await;
    }
}

impl Handler<Ask> for Peer {
    type Return = Status;

    async fn handle(&mut self, _: Ask, _: &mut Context<Self>) -> Status {
        Status {
            document: self.held.document().clone(),
            members: self.view.all().cloned().collect(),
            links: self.links.keys().copied().collect(),
            watching: *self.watching.borrow(),
            traffic: self.traffic,
        }
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
            && let Some(node) = self.view.revisit(rand::random())
        {
            self.dial(node);
        }
        let sender = self.view.own();
        let records = self.view.records(self.beats.is_multiple_of(FULL_EVERY));
        self.beat(&chosen, sender, records);
    }
}

/// Reads the document from the configuration service at the start, and watches it while this
/// node is one of the watchers.
pub(crate) async fn follow(
    store: crate::store::Client,
    peer: WeakAddress<Peer>,
    mut watching: watch::Receiver<bool>,
) {
    /// Time that one watch waits at the configuration service.
    const WAIT: Duration = Duration::from_secs(20);
    let mut known = 0;
    let mut read = false;
    loop {
        if read && !*watching.borrow_and_update() {
            if watching.changed().await.is_err() {
                return;
            }
            continue;
        }
        let entry = if read {
            tokio::select! {
                entry = store.watch(config::KEY, known, WAIT) => entry,
                changed = watching.changed() => {
                    if changed.is_err() {
                        return;
                    }
                    continue;
                }
            }
        } else {
            store.get(config::KEY).await
        };
        match entry {
            Ok(Some(entry)) => {
                read = true;
                known = entry.revision;
                match document::decode(&entry.value) {
                    Ok(document) => {
                        if peer.send(Offer(document)).await.is_err() {
                            return;
                        }
                    }
                    Err(faults) => {
                        let fault = faults.first().map(ToString::to_string).unwrap_or_default();
                        event::emit(Event::ConfigRejected, &format!("store {fault}"));
                    }
                }
            }
            Ok(None) => read = true,
            Err(error) => {
                event::emit(Event::StoreUnavailable, &format!("error={error}"));
                // The budget holds back the calls that follow; this bounds those that it refuses.
                tokio::time::sleep(Duration::from_millis(200)).await;
            }
        }
        if !peer.is_connected() {
            return;
        }
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
