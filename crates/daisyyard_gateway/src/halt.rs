//! Stops a run at its engine before another engine continues it.
//!
//! An engine may go on with a run whose connection is closed, so a closed connection does not show
//! that the run has stopped.

use std::sync::Arc;
use std::time::Duration;

use daisyyard_core::continuation::Stop;
use daisyyard_core::endpoint::Endpoint;
use daisyyard_core::stream_end::{Orders, Reply};
use daisyyard_http::connection::Failure;
use tokio::sync::watch;
use tokio::time::Instant;

use crate::codec::Transfer;
use crate::event::Event;
use crate::job::Job;
use crate::migration::{COPY_TIMEOUT, request_copy};
use crate::proxy::Proxy;
use crate::sent::is_unsent;
use crate::store;

/// Maximum wait for an engine that may be down to stop a run. A run whose backup is at another
/// engine continues there after this time.
const HALT_TIMEOUT: Duration = Duration::from_millis(250);
/// Delay before an engine is asked again to stop a run.
const RETRY_INTERVAL: Duration = Duration::from_millis(50);
/// Time for which an engine that does not answer is asked to stop a run. An engine that cannot be
/// reached for longer counts as down.
const RETRY_PERIOD: Duration = Duration::from_secs(3);

/// What is known about a run at the engine that executed it.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(crate) enum Halt {
    /// The engine has stopped the run and copied its KV cache to the target under this handle.
    Moved(String),
    /// The engine has stopped the run and keeps its KV cache under this handle.
    Kept(String),
    /// The engine does not execute the run.
    Ended,
    /// The engine did not answer in time.
    Unanswered,
    /// The engine answered, but did not stop the run.
    Running,
}

impl Halt {
    /// Returns the answer without its handle.
    pub(crate) fn stop(&self) -> Stop {
        match self {
            Self::Moved(_) => Stop::Moved,
            Self::Kept(_) => Stop::Kept,
            Self::Ended => Stop::Ended,
            Self::Unanswered => Stop::Unanswered,
            Self::Running => Stop::Running,
        }
    }

    /// Returns the name of the result for the log.
    pub(crate) fn name(&self) -> &'static str {
        match self {
            Self::Moved(_) => "moved",
            Self::Kept(_) => "kept",
            Self::Ended => "ended",
            Self::Unanswered => "unanswered",
            Self::Running => "running",
        }
    }
}

/// Stops a run at `source`, whose KV cache the engine copies to `target`, and records the orders. An engine
/// that may be down gets less time to answer, but is asked again in the background until it does.
pub(crate) async fn halt(
    proxy: &Proxy,
    job: &Arc<Job>,
    (source, target): (&Arc<Endpoint>, &Arc<Endpoint>),
    orders: &watch::Sender<Orders>,
    may_be_down: bool,
) -> Halt {
    let started = Instant::now();
    let stop = stop(
        proxy.clone(),
        Arc::clone(job),
        Arc::clone(source),
        Arc::clone(target),
        orders.clone(),
    );
    let timeout = if may_be_down {
        HALT_TIMEOUT
    } else {
        COPY_TIMEOUT
    };
    // A task that has not finished in time is detached, not aborted.
    let stopped = tokio::time::timeout(timeout, tokio::spawn(stop)).await;
    let halt = match stopped {
        Ok(Ok(halt)) => halt,
        Ok(Err(_)) | Err(_) => Halt::Unanswered,
    };
    let details = format!(
        "request={} endpoint={} target={} ms={} outcome={}",
        job.attempt,
        source.name,
        target.name,
        started.elapsed().as_millis(),
        halt.name(),
    );
    proxy.log.emit(Event::RunHalted, &details);
    halt
}

/// Asks an engine to stop a run until it answers.
async fn stop(
    proxy: Proxy,
    job: Arc<Job>,
    source: Arc<Endpoint>,
    target: Arc<Endpoint>,
    orders: watch::Sender<Orders>,
) -> Halt {
    let deadline = Instant::now() + RETRY_PERIOD;
    loop {
        orders.send_modify(Orders::send);
        let answer = request_copy(&proxy, &job, &source, &target, true).await;
        orders.send_modify(|orders| orders.settle(reply(&answer)));
        let halt = match answer {
            Ok(Transfer::Copied(handle)) => return Halt::Moved(handle),
            Ok(Transfer::Refused(Some(handle))) => return Halt::Kept(handle),
            Ok(Transfer::Missing) | Err(store::Error::Unanswered(Failure::Refused)) => {
                return Halt::Ended;
            }
            Ok(Transfer::Refused(None)) => return Halt::Running,
            Ok(Transfer::Busy) => Halt::Running,
            Err(_) => Halt::Unanswered,
        };
        if Instant::now() > deadline {
            return halt;
        }
        tokio::time::sleep(RETRY_INTERVAL).await;
    }
}

/// Returns what became of an order to stop a run, given its answer.
fn reply(answer: &Result<Transfer, store::Error>) -> Reply {
    match answer {
        Ok(Transfer::Missing | Transfer::Busy) => Reply::Void,
        Err(store::Error::Unanswered(failure)) if is_unsent(*failure) => Reply::Void,
        Ok(Transfer::Copied(_) | Transfer::Refused(_)) | Err(_) => Reply::Effective,
    }
}
