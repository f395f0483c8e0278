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
use crate::peer::{LENGTH_BYTES, Link, MAX_LINKS, Peer, SILENT_AFTER, Send};
use crate::remote::{Deliver, Lost};
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

/// Tells the nodes with a link of suspects.
#[derive(Debug)]
pub(crate) struct Spread {
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
        let (sender, records) = (self.view.hello_record(), self.view.records(true));
        self.beat(&[node], sender, records);
        // The other end may have started after the last crash, or been out of reach since.
        let suspects = self.dispatch.send(ReportSuspects).await;
        for bytes in frames(&suspects.unwrap_or_default()) {
            self.write(node, bytes);
        }
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
                    let (sender, records) = (self.view.heartbeat_record(), self.view.changed());
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
            Message::Document(document) => match Document::try_from(&Json(document.json)) {
                Ok(document) => self.adopt(document, Source::Peer).await,
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

impl Handler<Spread> for Peer {
    type Return = ();

    async fn handle(&mut self, message: Spread, _: &mut Context<Self>) {
        let others = self.links.keys().copied();
        let others: Vec<InstanceId> = others.filter(|id| Some(*id) != message.from).collect();
        for bytes in frames(&message.records) {
            for node in &others {
                self.write(*node, bytes.clone());
            }
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
