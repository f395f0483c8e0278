//! Polling of engine load reports by the engine's home node.

use std::time::{Duration, Instant};

use daisyyard_core::endpoint::{Endpoint, Load};
use hyper::Method;
use serde::Deserialize;
use xtra::WeakAddress;

use crate::admission::Admission;
use crate::remote_admission::LoadReport;

/// Timeout of one poll.
const POLL_TIMEOUT: Duration = Duration::from_secs(1);

/// Load report in the JSON form of the engine.
#[derive(Debug, Deserialize)]
struct Answer {
    /// Requests in the batch.
    running: u32,
    /// Requests in the engine's queue.
    waiting: u32,
    /// Context tokens in use.
    used_tokens: u64,
    /// Context tokens that fit into the engine's memory.
    memory_tokens: u64,
    /// Mean time between tokens, in milliseconds.
    gap_ms: f64,
    /// Preemptions since the engine started.
    preemptions: u64,
}

impl Answer {
    /// Converts the report; `measured_at` is the time at which it was requested.
    fn load(&self, measured_at: Instant) -> Load {
        let token_gap = Duration::try_from_secs_f64(self.gap_ms / 1e3).unwrap_or_default();
        Load {
            measured_at,
            running: self.running,
            waiting: self.waiting,
            used_tokens: self.used_tokens,
            memory: self.memory_tokens,
            token_gap,
            preemptions: self.preemptions,
        }
    }
}

/// Polls the load of an engine once and reports it. A failed poll is ignored, since the next one
/// replaces it.
pub(crate) async fn poll(engine: Endpoint, admission: WeakAddress<Admission>) {
    let measured_at = Instant::now();
    let call = daisyyard_http::call(engine.address, Method::GET, "/load", &[], "");
    let Ok(Ok((_, body))) = tokio::time::timeout(POLL_TIMEOUT, call).await else {
        return;
    };
    if let Ok(answer) = serde_json::from_slice::<Answer>(&body) {
        let load = answer.load(measured_at);
        let _ = admission.send(LoadReport { engine, load }).await;
    }
}
