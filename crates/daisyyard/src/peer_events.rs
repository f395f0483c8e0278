//! What the peer actor does when links open and end, and with the frames that arrive.

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
pub(crate) struct DialFailed(pub(crate) InstanceId);

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

/// Tells the nodes with a link of suspects.
#[derive(Debug)]
pub(crate) struct BroadcastSuspects {
    /// The suspects.
    pub(crate) records: Vec<Record>,
    /// Node that sent them, which is left out.
    pub(crate) from: Option<InstanceId>,
}

/// Returns the frames that carry suspects.
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
            // Of two links that both ends dialled at once, both keep that of the lower id.
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
        let (sender, records) = (self.view.introduction(), self.view.records(true));
        self.send_heartbeat(&[node], sender, records);
        // The other end may have started after the last crash, or been out of reach since.
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
                let answer = !self.view.peers().contains(&node);
                self.handle_heartbeat(node, heartbeat, now).await;
                if answer {
                    let (sender, records) = (self.view.own(), self.view.changed());
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
            // A greeting on an open link and a pull of a revision that is not held need no answer.
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
