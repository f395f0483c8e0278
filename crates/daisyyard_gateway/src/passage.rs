//! Task that passes a stream on, from the gateway that relays it to the caller.

use std::sync::Arc;

use http_body_util::BodyExt;
use hyper::StatusCode;
use hyper::body::Incoming;
use tokio::sync::mpsc;
use tokio_util::task::AbortOnDropHandle;

use crate::body::{self, Chunk};
use crate::isolation::Peer;
use crate::job::Job;
use crate::proxy::Proxy;
use crate::timer::sleep_until;

/// Passes one stream on.
#[derive(Debug)]
pub(crate) struct Passage {
    /// Shared handles of the gateway.
    pub(crate) proxy: Proxy,
    /// Request that the stream answers.
    pub(crate) job: Arc<Job>,
    /// Response of the other gateway. An early end is an error.
    pub(crate) body: Incoming,
    /// Sends the stream to the caller.
    pub(crate) sender: mpsc::Sender<Chunk>,
    /// The other gateway.
    pub(crate) _peer: Peer,
    /// Task that drives the connection; the other gateway cancels the run once it is closed.
    pub(crate) _driver: AbortOnDropHandle<()>,
}

impl Passage {
    /// Passes the stream on until it is complete, broken off or no longer wanted.
    pub(crate) async fn run(mut self) {
        let reason = loop {
            let frame = tokio::select! {
                frame = self.body.frame() => frame,
                () = self.sender.closed() => break "caller_left",
                () = sleep_until(Some(self.job.deadline)) => break "expired",
            };
            let data = match frame {
                // Trailers contain nothing that callers need.
                Some(Ok(frame)) => frame.into_data().unwrap_or_default(),
                Some(Err(_)) => break "interrupted",
                None => {
                    // Fails only if the caller has disconnected.
                    let _ = self.sender.send(Chunk::End).await;
                    break "relayed";
                }
            };
            let passed = body::pass(&self.sender, &self.proxy.memory, data).await;
            if passed.is_err() {
                break "caller_left";
            }
        };
        self.proxy.record_end(&self.job, StatusCode::OK, reason);
    }
}
