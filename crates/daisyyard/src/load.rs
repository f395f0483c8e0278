//! Load reports of engines, which the engine's home node polls.

use std::time::{Duration, Instant};

use daisyyard_core::endpoint::{Endpoint, Load};
use hyper::Method;
use serde::Deserialize;
use xtra::WeakAddress;

use crate::admission::Admission;
use crate::remote::Report;

/// Time until a poll is given up; the next one follows.
const TIMEOUT: Duration = Duration::from_secs(1);

/// Load report in the engine's form.
#[derive(Debug, Deserialize)]
struct Answer {
    /// Requests in the batch.
    running: u32,
    /// Requests in the engine's queue.
    waiting: u32,
    /// Tokens of context in use.
    used_tokens: u64,
    /// Tokens of context that fit.
    memory_tokens: u64,
    /// Mean time between tokens.
    gap_ms: f64,
    /// Preemptions since the engine started.
    preemptions: u64,
}

impl Answer {
    /// Returns the report with the time at which it was asked for.
    fn load(&self, taken: Instant) -> Load {
        let gap = Duration::try_from_secs_f64(self.gap_ms / 1e3).unwrap_or_default();
        Load {
            measured_at: taken,
            running: self.running,
            waiting: self.waiting,
            used_tokens: self.used_tokens,
            memory: self.memory_tokens,
            token_gap: gap,
            preemptions: self.preemptions,
        }
    }
}

/// Reads the load of an engine once and reports it; a lost report is replaced by the next one.
pub(crate) async fn poll(engine: Endpoint, admission: WeakAddress<Admission>) {
    let taken = Instant::now();
    let call = daisyyard_http::call(engine.address, Method::GET, "/load", &[], "");
    let Ok(Ok((_, body))) = tokio::time::timeout(TIMEOUT, call).await else {
        return;
    };
    if let Ok(answer) = serde_json::from_slice::<Answer>(&body) {
        let load = answer.load(taken);
        let _ = admission.send(Report { engine, load }).await;
    }
}
