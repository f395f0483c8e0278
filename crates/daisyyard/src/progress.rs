//! Progress and release of granted generations, reported to the node that keeps the ledger.

use std::time::Instant;

use daisyyard_core::forward::Authority;
use daisyyard_core::id::{EndpointId, InstanceId, RequestId, Tokens};
use xtra::{Context, Handler};

use crate::admission::Admission;
use crate::wire::{self, Message, Output};

/// Reports how many tokens a generation has produced.
#[derive(Debug)]
pub(crate) struct Progress {
    /// Engine that runs the generation.
    pub(crate) endpoint: EndpointId,
    /// Request of the generation.
    pub(crate) request: RequestId,
    /// Output tokens so far.
    pub(crate) generated: Tokens,
}

/// Ends a generation or withdraws a waiting request.
#[derive(Debug)]
pub(crate) struct Release {
    /// Engine that ran the generation.
    pub(crate) endpoint: EndpointId,
    /// Request of the generation.
    pub(crate) request: RequestId,
    /// Output tokens in total.
    pub(crate) generated: Tokens,
}

impl Admission {
    /// Sends the batched progress of the last second to the homes.
    pub(crate) async fn flush(&mut self) {
        for (home, entries) in std::mem::take(&mut self.progress_batches) {
            let entries: Vec<Output> = entries.into_values().collect();
            for part in entries.chunks(wire::MAX_PROGRESS) {
                self.send(home, Message::Progress(part.to_vec())).await;
            }
        }
    }
}

/// Creates the wire form of a generation's token count.
pub(crate) fn token_report(endpoint: EndpointId, request: RequestId, generated: Tokens) -> Output {
    Output {
        endpoint,
        request,
        generated,
    }
}

impl Handler<Progress> for Admission {
    type Return = ();

    async fn handle(&mut self, message: Progress, _: &mut Context<Self>) {
        let Progress {
            endpoint,
            request,
            generated: count,
        } = message;
        let share = self.granted.get(&request) == Some(&Authority::Share);
        let home = self.relay.home(endpoint);
        let ledger = if share {
            self.shares.get_mut(&endpoint)
        } else if home == self.node {
            self.ledgers.get_mut(&endpoint)
        } else {
            let batch = self.progress_batches.entry(home).or_default();
            batch.insert(request, token_report(endpoint, request, count));
            return;
        };
        if let Some(ledger) = ledger {
            ledger.progress(request, count, Instant::now());
        }
    }
}

impl Handler<Release> for Admission {
    type Return = ();

    async fn handle(&mut self, message: Release, _: &mut Context<Self>) {
        let Release {
            endpoint,
            request,
            generated: count,
        } = message;
        let now = Instant::now();
        self.waiting.remove(&request);
        let place = self.granted.remove(&request);
        let mut nodes: Vec<InstanceId> = self.relay.withdraw(request).into_iter().collect();
        if let Some(Authority::Home(home)) = place {
            nodes.push(home);
            // The home may have changed while the generation ran, so both nodes are notified.
            nodes.push(self.relay.home(endpoint));
        }
        for ledgers in [&mut self.ledgers, &mut self.shares] {
            if let Some(ledger) = ledgers.get_mut(&endpoint) {
                ledger.release(request, count, now);
            }
        }
        self.advance(endpoint, now).await;
        nodes.retain(|node| *node != self.node);
        nodes.dedup();
        for node in nodes {
            let release = Message::Release(token_report(endpoint, request, count));
            self.send(node, release).await;
        }
        for entries in self.progress_batches.values_mut() {
            entries.remove(&request);
        }
        self.publish(endpoint).await;
    }
}
