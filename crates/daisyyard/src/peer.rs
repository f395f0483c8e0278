//! The peer actor, which owns the membership view, the active preset document and the links to
//! other nodes.

use std::collections::{HashMap, HashSet};
use std::net::SocketAddr;
use std::time::{Duration, Instant};

use bytes::Bytes;
use daisyyard_core::config::{self, Replica};
use daisyyard_core::gossip::Record;
use daisyyard_core::id::{InstanceId, Revision};
use daisyyard_core::instance::{Instance, State};
use daisyyard_core::member::{Action, Change, View};
use daisyyard_core::preset::Document;
use daisyyard_gateway::timer::{self, Tick};
use tokio::net::TcpListener;
use tokio::sync::{mpsc, watch};
use tokio::task::{JoinHandle, JoinSet};
use xtra::{Actor, Address, Context, Handler, Mailbox, WeakAddress};

use crate::admission::{Admission, AdoptPreset};
use crate::dispatch::{AdoptNodes, Dispatch};
use crate::document::Json;
use crate::event::{self, Event};
use crate::link::{self, Config};
use crate::meter::Meter;
use crate::remote_admission::Homes;
use crate::status::{Source, Traffic};
use crate::wire::{self, Heartbeat, Message};

/// Interval between heartbeats.
const HEARTBEAT_PERIOD: Duration = Duration::from_secs(1);
/// Time without a frame after which a heartbeat link is replaced by a new connection.
pub(crate) const LINK_SILENCE_TIMEOUT: Duration = Duration::from_secs(2);
/// Time after which an unanswered pull may be sent to another peer.
const PULL_TIMEOUT: Duration = Duration::from_millis(500);
/// Number of heartbeats per full heartbeat, which carries the addresses of every instance in it.
const HEARTBEATS_PER_FULL: u64 = 8;
/// Number of heartbeats per attempt to reconnect to a member that is gone.
const HEARTBEATS_PER_REVISIT: u64 = 3;
/// Maximum number of open links; a deployment of the target size needs about 100.
pub(crate) const MAX_LINKS: usize = 1024;
/// Size of the length prefix of a frame, in bytes.
pub(crate) const LENGTH_PREFIX_BYTES: u64 = 4;

/// Owns the membership view, the active preset document and the links.
#[derive(Debug, Actor)]
pub(crate) struct Peer {
    /// Membership view of this node.
    pub(crate) view: View,
    /// Active preset document.
    pub(crate) config: Replica,
    /// JSON form of the active document.
    pub(crate) document_json: Bytes,
    /// Source of the active document.
    pub(crate) source: Source,
    /// Open links by node.
    pub(crate) links: HashMap<InstanceId, Link>,
    /// Nodes to which a connection is in progress.
    pub(crate) dialling: HashSet<InstanceId>,
    /// Frames to send once the link to their node is open.
    pub(crate) queued_frames: HashMap<InstanceId, Vec<Bytes>>,
    /// Configuration of the links.
    pub(crate) link_config: Config,
    /// Revision that was requested from a peer, and when.
    pub(crate) pending_pull: Option<(Revision, Instant)>,
    /// Heartbeats since the start.
    pub(crate) heartbeats: u64,
    /// Whether this node watches the configuration service.
    pub(crate) watching: watch::Sender<bool>,
    /// Actor that decides on admission; receives new presets and node changes.
    pub(crate) admission: WeakAddress<Admission>,
    /// Actor that counts requests against their targets; receives new presets.
    pub(crate) meter: WeakAddress<Meter>,
    /// Actor that routes requests; receives new presets, node changes and suspects.
    pub(crate) dispatch: WeakAddress<Dispatch>,
    /// Bytes sent to and received from other nodes.
    pub(crate) traffic: Traffic,
}

/// An open link to another node.
#[derive(Debug)]
pub(crate) struct Link {
    /// Random number that distinguishes this link from earlier ones to the same node.
    pub(crate) number: u64,
    /// Queue of frames to write.
    pub(crate) sender: mpsc::Sender<Bytes>,
    /// Whether this node opened the connection.
    pub(crate) dialled: bool,
    /// When the last frame arrived.
    pub(crate) last_received: Instant,
}

/// Sends a message to a node, over a new link if none is open.
#[derive(Debug)]
pub(crate) struct SendMessage {
    /// Node to send to.
    pub(crate) node: InstanceId,
    /// Message to send.
    pub(crate) message: Message,
}

/// Passes on the nodes of the instance list.
#[derive(Debug)]
pub(crate) struct Seed(pub(crate) Vec<Instance>);

/// Passes on a document that was read from the configuration service.
#[derive(Debug)]
pub(crate) struct OfferDocument(pub(crate) Document);

/// Announces a planned shutdown of this node.
#[derive(Debug)]
pub(crate) struct Leave;

/// Options of the actor.
#[derive(Debug)]
pub(crate) struct Options {
    /// Instance of this node.
    pub(crate) instance: Instance,
    /// Document that is active until a newer one arrives.
    pub(crate) document: Document,
    /// Shared key of all nodes.
    pub(crate) key: Bytes,
    /// Actor that decides on admission; receives new presets and node changes.
    pub(crate) admission: WeakAddress<Admission>,
    /// Actor that counts requests against their targets; receives new presets.
    pub(crate) meter: WeakAddress<Meter>,
    /// Actor that routes requests; receives new presets, node changes and suspects.
    pub(crate) dispatch: WeakAddress<Dispatch>,
}

/// Starts the peer actor, its timer and the listener for other nodes.
pub(crate) fn spawn(
    options: Options,
    listener: TcpListener,
    (address, mailbox): (Address<Peer>, Mailbox<Peer>),
) -> (Address<Peer>, watch::Receiver<bool>, JoinHandle<()>) {
    let (watching, watched) = watch::channel(false);
    let link_config = Config {
        node: options.instance.id,
        key: options.key,
        peer: address.downgrade(),
    };
    let actor = Peer {
        view: View::new(options.instance),
        document_json: Json::from(&options.document).0,
        config: Replica::new(options.document),
        source: Source::BuiltIn,
        links: HashMap::new(),
        dialling: HashSet::new(),
        queued_frames: HashMap::new(),
        link_config: link_config.clone(),
        pending_pull: None,
        heartbeats: 0,
        watching,
        admission: options.admission,
        meter: options.meter,
        dispatch: options.dispatch,
        traffic: Traffic::default(),
    };
    tokio::spawn(xtra::run(mailbox, actor));
    timer::spawn(address.downgrade(), HEARTBEAT_PERIOD);
    (
        address,
        watched,
        tokio::spawn(listen(listener, link_config)),
    )
}

/// Accepts connections of other nodes and runs each link in its own task.
async fn listen(listener: TcpListener, link_config: Config) {
    let mut links = JoinSet::new();
    loop {
        tokio::select! {
            accepted = listener.accept(), if links.len() < MAX_LINKS => {
                if let Ok((socket, address)) = accepted {
                    links.spawn(link::accept(link_config.clone(), socket, address));
                } else {
                    // Accepting fails when file descriptors run out; waits for some to be freed.
                    tokio::time::sleep(Duration::from_millis(100)).await;
                }
            }
            Some(_) = links.join_next() => {}
        }
    }
}

impl Peer {
    /// Queues an encoded frame on a link; closes the link if its queue is full.
    pub(crate) fn write(&mut self, node: InstanceId, bytes: Bytes) {
        let Some(link) = self.links.get(&node) else {
            return;
        };
        let size = bytes.len() as u64 + LENGTH_PREFIX_BYTES;
        if link.sender.try_send(bytes).is_ok() {
            self.traffic.sent += size;
        } else {
            self.links.remove(&node);
        }
    }

    /// Sends a message over the open link to a node.
    pub(crate) fn send(&mut self, node: InstanceId, message: Message) {
        self.write(node, wire::encode(message));
    }

    /// Connects to a member unless a connection is already in progress.
    pub(crate) fn dial(&mut self, node: InstanceId) {
        if let Some(instance) = self.view.get(node)
            && node != self.link_config.node
            && self.dialling.insert(node)
        {
            tokio::spawn(link::dial(self.link_config.clone(), node, instance.peer));
        }
    }

    /// Sends a heartbeat with the given records to some nodes.
    pub(crate) fn send_heartbeat(
        &mut self,
        nodes: &[InstanceId],
        sender: Record,
        records: Vec<Record>,
    ) {
        let bytes = wire::encode(Message::Heartbeat(Heartbeat {
            sender,
            revision: self.config.document().revision,
            records,
        }));
        for node in nodes {
            self.write(*node, bytes.clone());
        }
    }

    /// Sends this node's own record and recent changes on all links, without waiting for the next
    /// heartbeat.
    fn broadcast_changes(&mut self) {
        let nodes: Vec<InstanceId> = self.links.keys().copied().collect();
        let (sender, records) = (self.view.heartbeat_record(), self.view.changed());
        self.send_heartbeat(&nodes, sender, records);
    }

    /// Sends the record that the membership view wants a member to receive, if any.
    fn apply(&mut self, action: Action) {
        if let Action::Notify(record) = action {
            let sender = self.view.hello_record();
            self.send_heartbeat(&[record.id], sender, vec![record]);
        }
    }

    /// Logs changes of the membership view and passes them on to the other actors.
    async fn apply_changes(&mut self) {
        let changes = self.view.take_changes();
        let gone = |change: &&Change| change.after == State::Gone;
        let gone = changes.iter().filter(gone).map(|change| change.id);
        if !changes.is_empty() {
            self.publish_members(gone.collect()).await;
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

    /// Sends the possible homes to the admission actor and the known nodes to the dispatch actor.
    async fn publish_members(&self, gone: Vec<InstanceId>) {
        let nodes = self.view.homes().collect();
        let _ = self.admission.send(Homes { nodes, gone }).detach().await;
        let nodes = AdoptNodes(self.view.all().cloned().collect());
        let _ = self.dispatch.send(nodes).detach().await;
    }

    /// Activates a document if it is newer than the active one, and announces it to the peers.
    pub(crate) async fn adopt_document(&mut self, document: Document, source: Source) {
        let json = Json::from(&document).0;
        if self.config.offer(document) != config::Action::Adopt {
            return;
        }
        self.document_json = json;
        self.source = source;
        self.pending_pull = None;
        let document = self.config.document();
        let details = format!("revision={} preset={}", document.revision, document.current);
        event::emit(Event::ConfigAdopted, &details);
        if let Some(preset) = document.in_force().cloned() {
            let _ = self.meter.send(AdoptPreset(preset.clone())).detach().await;
            let _ = self
                .dispatch
                .send(AdoptPreset(preset.clone()))
                .detach()
                .await;
            let _ = self.admission.send(AdoptPreset(preset)).detach().await;
        }
        self.broadcast_changes();
    }

    /// Handles a peer's announcement of its revision; pulls the document if it is newer.
    fn handle_announcement(&mut self, node: InstanceId, revision: Revision, now: Instant) {
        let config::Action::Fetch(revision) = self.config.announced(revision) else {
            return;
        };
        let recent = |(asked, at): (Revision, Instant)| {
            asked >= revision && now.saturating_duration_since(at) < PULL_TIMEOUT
        };
        if !self.pending_pull.is_some_and(recent) {
            self.pending_pull = Some((revision, now));
            self.send(node, Message::Pull(revision));
        }
    }

    /// Applies a heartbeat to the membership view; ignores one that names another node as sender.
    pub(crate) async fn handle_heartbeat(
        &mut self,
        node: InstanceId,
        heartbeat: Heartbeat,
        now: Instant,
    ) {
        if heartbeat.sender.id != node {
            return;
        }
        let action = self.view.receive_direct(heartbeat.sender, now);
        self.apply(action);
        for record in heartbeat.records {
            let action = self.view.receive_relayed(record, now);
            self.apply(action);
        }
        self.handle_announcement(node, heartbeat.revision, now);
        self.apply_changes().await;
    }
}

impl Handler<Seed> for Peer {
    type Return = ();

    async fn handle(&mut self, message: Seed, _: &mut Context<Self>) {
        self.view.merge_list(message.0, Instant::now());
        self.apply_changes().await;
        for node in self.view.peers() {
            if !self.links.contains_key(&node) {
                self.dial(node);
            }
        }
    }
}

impl Handler<OfferDocument> for Peer {
    type Return = ();

    async fn handle(&mut self, message: OfferDocument, _: &mut Context<Self>) {
        self.adopt_document(message.0, Source::Store).await;
    }
}

impl Handler<Leave> for Peer {
    type Return = ();

    async fn handle(&mut self, _: Leave, _: &mut Context<Self>) {
        self.view.leave();
        self.broadcast_changes();
        self.publish_members(Vec::new()).await;
    }
}

impl Handler<Tick> for Peer {
    type Return = ();

    async fn handle(&mut self, _: Tick, _: &mut Context<Self>) {
        let now = Instant::now();
        self.heartbeats += 1;
        self.view.tick(now);
        self.apply_changes().await;
        let chosen = self.view.peers();
        for node in &chosen {
            let silent = |link: &Link| {
                now.saturating_duration_since(link.last_received) >= LINK_SILENCE_TIMEOUT
            };
            if self.links.get(node).is_none_or(silent) {
                // A new connection may work even though this one went silent.
                self.links.remove(node);
                self.dial(*node);
            }
        }
        if self.heartbeats.is_multiple_of(HEARTBEATS_PER_REVISIT)
            && let Some(node) = self.view.gone_member(rand::random())
        {
            self.dial(node);
        }
        let sender = self.view.heartbeat_record();
        let records = self
            .view
            .records(self.heartbeats.is_multiple_of(HEARTBEATS_PER_FULL));
        self.send_heartbeat(&chosen, sender, records);
    }
}

/// Binds the listener for links; returns it with its local address.
pub(crate) async fn bind(address: SocketAddr) -> anyhow::Result<(TcpListener, SocketAddr)> {
    use anyhow::Context as _;
    let listener = TcpListener::bind(address).await;
    let listener =
        listener.with_context(|| format!("cannot listen on {address}; is it in use?"))?;
    let address = listener.local_addr()?;
    Ok((listener, address))
}
