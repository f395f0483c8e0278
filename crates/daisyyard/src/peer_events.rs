//! Handlers of the peer actor for links that open and close and for the frames that arrive on them.

use std::time::Instant;

use bytes::Bytes;
use daisyyard_core::id::InstanceId;
use daisyyard_core::preset::Document;
use daisyyard_core::suspect::Record;
use tokio::sync::mpsc;
use xtra::{Context, Handler};

use crate::dispatch::{LearnSuspects, ReportSuspects};
use crate::document::Json;
use crate::event::{self, Event};
use crate::link;
use crate::peer::{LENGTH_PREFIX_BYTES, LINK_SILENCE_TIMEOUT, Link, MAX_LINKS, Peer, SendMessage};
use crate::remote_admission::{Deliver, NodeUnreachable};
use crate::status::Source;
use crate::wire::{self, Message};

/// Registers an authenticated link; the reply says whether the link is kept.
#[derive(Debug)]
pub(crate) struct Up {
    /// Node at the other end.
    pub(crate) node: InstanceId,
    /// Number of the link.
    pub(crate) link: u64,
    /// Queue of frames to write.
    pub(crate) sender: mpsc::Sender<Bytes>,
    /// Whether this node opened the connection.
    pub(crate) dialled: bool,
}

/// Reports that a link was closed.
#[derive(Debug)]
pub(crate) struct Down {
    /// Node at the other end.
    pub(crate) node: InstanceId,
    /// Number of the link.
    pub(crate) link: u64,
}

/// Reports that connecting to a node failed.
#[derive(Debug)]
pub(crate) struct DialFailed(pub(crate) InstanceId);

/// Passes on a frame that arrived on a link.
#[derive(Debug)]
pub(crate) struct Received {
    /// Node that sent it.
    pub(crate) node: InstanceId,
    /// Number of the link.
    pub(crate) link: u64,
    /// Size of the frame in bytes, without its length prefix.
    pub(crate) size: usize,
    /// Decoded message.
    pub(crate) message: Message,
}

/// Sends suspects to all nodes with an open link.
#[derive(Debug)]
pub(crate) struct BroadcastSuspects {
    /// Suspects to send.
    pub(crate) records: Vec<Record>,
    /// Node that sent them, which is skipped.
    pub(crate) from: Option<InstanceId>,
}

/// Encodes suspects, split into as many frames as needed.
fn frames(records: &[Record]) -> Vec<Bytes> {
    let now = Instant::now();
    let suspect = |record: &Record| wire::Suspect::new(record, now);
    let parts = records.chunks(wire::MAX_SUSPECTS);
    parts
        .map(|part| wire::encode(Message::Suspects(part.iter().map(suspect).collect())))
        .collect()
}

impl Handler<Up> for Peer {
    type Return = bool;

    async fn handle(&mut self, message: Up, _: &mut Context<Self>) -> bool {
        let now = Instant::now();
        let node = message.node;
        if message.dialled {
            self.dialling.remove(&node);
        }
        if let Some(existing) = self.links.get(&node) {
            // If both nodes dial each other at once, both keep the link of the lower node id.
            let from_lower_id = (node < self.link_config.node) != message.dialled;
            let silent =
                now.saturating_duration_since(existing.last_received) >= LINK_SILENCE_TIMEOUT;
            if existing.dialled != message.dialled && !from_lower_id && !silent {
                return false;
            }
        }
        if node == self.link_config.node || self.links.len() >= MAX_LINKS {
            return false;
        }
        let link = Link {
            number: message.link,
            sender: message.sender,
            dialled: message.dialled,
            last_received: now,
        };
        self.links.insert(node, link);
        let (sender, records) = (self.view.hello_record(), self.view.records(true));
        self.send_heartbeat(&[node], sender, records);
        // The other node may have started or been unreachable after the last crash, and so have
        // missed suspects.
        let suspects = self.dispatch.send(ReportSuspects).await;
        for bytes in frames(&suspects.unwrap_or_default()) {
            self.write(node, bytes);
        }
        for bytes in self.queued_frames.remove(&node).unwrap_or_default() {
            self.write(node, bytes);
        }
        true
    }
}

impl Handler<Down> for Peer {
    type Return = ();

    async fn handle(&mut self, message: Down, _: &mut Context<Self>) {
        let existing = self.links.get(&message.node);
        if existing.is_some_and(|link| link.number == message.link) {
            self.links.remove(&message.node);
            let _ = self
                .admission
                .send(NodeUnreachable(message.node))
                .detach()
                .await;
        }
    }
}

impl Handler<DialFailed> for Peer {
    type Return = ();

    async fn handle(&mut self, message: DialFailed, _: &mut Context<Self>) {
        self.dialling.remove(&message.0);
        self.queued_frames.remove(&message.0);
        if !self.links.contains_key(&message.0) {
            let _ = self
                .admission
                .send(NodeUnreachable(message.0))
                .detach()
                .await;
        }
    }
}

impl Handler<Received> for Peer {
    type Return = ();

    async fn handle(&mut self, message: Received, _: &mut Context<Self>) {
        let now = Instant::now();
        let node = message.node;
        self.traffic.received += message.size as u64 + LENGTH_PREFIX_BYTES;
        if let Some(link) = self.links.get_mut(&node)
            && link.number == message.link
        {
            link.last_received = now;
        }
        match message.message {
            Message::Heartbeat(heartbeat) => {
                // Only peers that this node chose get its heartbeats; other senders get an answer.
                let answer = !self.view.peers().contains(&node);
                self.handle_heartbeat(node, heartbeat, now).await;
                if answer {
                    let (sender, records) = (self.view.heartbeat_record(), self.view.changed());
                    self.send_heartbeat(&[node], sender, records);
                }
            }
            Message::Pull(revision) if revision <= self.config.document().revision => {
                let document = wire::Document {
                    revision: self.config.document().revision,
                    json: self.document_json.clone(),
                };
                self.send(node, Message::Document(document));
            }
            Message::Document(document) => match Document::try_from(&Json(document.json)) {
                Ok(document) => self.adopt_document(document, Source::Peer).await,
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
            Message::Suspects(suspects) => {
                let records = suspects.iter().map(|suspect| suspect.record(now)).collect();
                let learn = LearnSuspects {
                    from: node,
                    records,
                };
                let _ = self.dispatch.send(learn).detach().await;
            }
            // Ignores a handshake message on an open link, and a pull of a revision that this
            // node does not have.
            _ => {}
        }
    }
}

impl Handler<BroadcastSuspects> for Peer {
    type Return = ();

    async fn handle(&mut self, message: BroadcastSuspects, _: &mut Context<Self>) {
        let others = self.links.keys().copied();
        let others: Vec<InstanceId> = others.filter(|id| Some(*id) != message.from).collect();
        for bytes in frames(&message.records) {
            for node in &others {
                self.write(*node, bytes.clone());
            }
        }
    }
}

impl Handler<SendMessage> for Peer {
    type Return = ();

    async fn handle(&mut self, message: SendMessage, _: &mut Context<Self>) {
        let node = message.node;
        if self.links.contains_key(&node) {
            self.send(node, message.message);
            return;
        }
        self.dial(node);
        let waiting = self.queued_frames.entry(node).or_default();
        if self.dialling.contains(&node) && waiting.len() < link::MAX_QUEUED_FRAMES {
            waiting.push(wire::encode(message.message));
        } else {
            let _ = self.admission.send(NodeUnreachable(node)).detach().await;
        }
    }
}
