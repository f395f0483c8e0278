//! Stops a run at its engine before another engine continues it.
//!
//! An engine may go on with a run whose connection is closed, so a closed connection does not show
//! that the run has stopped.

use std::sync::Arc;
use std::time::Duration;

use daisyyard_core::continuation::{Holder, Stop};
use daisyyard_core::endpoint::Endpoint;
use daisyyard_core::stream_end::{self, Effect, Reply};
use daisyyard_http::connection::Failure;
use tokio::sync::watch;
use tokio::task::JoinHandle;
use tokio::time::Instant;

use crate::codec::Transfer;
use crate::event::Event;
use crate::job::Job;
use crate::migration::{COPY_TIMEOUT, request_copy};
use crate::proxy::Proxy;
use crate::relay::Relay;
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

/// Orders to stop a run at its engine, of which one at a time is under way.
#[derive(Debug, Default)]
pub(crate) struct Orders {
    /// What the orders may have done.
    record: watch::Sender<stream_end::Orders>,
    /// Order that nobody waits for. It goes on until the engine answers.
    open: Option<Order>,
    /// Whether any order was sent from here.
    pub(crate) sent: bool,
}

/// An order to stop a run.
#[derive(Debug)]
struct Order {
    /// Engine to which the KV cache is to be copied.
    target: Holder,
    /// Task that asks the engine.
    task: JoinHandle<Halt>,
}

impl Orders {
    /// Returns what the orders may have done.
    pub(crate) fn effect(&self) -> Effect {
        self.record.borrow().effect()
    }

    /// Waits until no order is open, or until one may have stopped the run.
    pub(crate) async fn settle(&self) {
        let mut record = self.record.subscribe();
        // The sender is held here.
        let _ = record
            .wait_for(|orders| orders.effect() != Effect::Open)
            .await;
    }

    /// Withdraws the order that is under way, which may still reach the engine.
    pub(crate) fn withdraw(&mut self) {
        self.end(stream_end::Orders::withdraw);
    }

    /// Forgets the answered orders, because the run goes on at the engine that was to stop it.
    pub(crate) fn reset(&mut self) {
        self.end(stream_end::Orders::resume);
    }

    /// Notes that another gateway may have sent orders whose answers are lost.
    pub(crate) fn suspect(&mut self) {
        self.record.send_modify(stream_end::Orders::suspect);
    }

    /// Ends the order that is under way, and changes the record of the others.
    fn end(&mut self, change: fn(&mut stream_end::Orders)) {
        if let Some(order) = self.open.take() {
            order.task.abort();
        }
        // The task may record one more answer, which must not count any more.
        let mut orders = *self.record.borrow();
        change(&mut orders);
        self.record = watch::Sender::new(orders);
    }

    /// Stops a run at `source`, whose KV cache the engine copies to `target`. An engine that may be down
    /// gets less time to answer, but is asked again in the background until it does.
    pub(crate) async fn halt(
        &mut self,
        proxy: &Proxy,
        job: &Arc<Job>,
        source: &Arc<Endpoint>,
        target: &Arc<Endpoint>,
        may_be_down: bool,
    ) -> Halt {
        let started = Instant::now();
        let timeout = if may_be_down {
            HALT_TIMEOUT
        } else {
            COPY_TIMEOUT
        };
        let earlier = self.open.take();
        let mut halt = match earlier {
            Some(order) => self.wait(proxy, order, target, started + timeout).await,
            None => Halt::Unanswered,
        };
        if self.open.is_none() && !matches!(halt, Halt::Moved(_) | Halt::Kept(_)) {
            let order = self.send(proxy, job, source, target);
            halt = self.wait(proxy, order, target, started + timeout).await;
        }
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

    /// Waits for the result of an order until a time, or for less if this gateway is cut off from the
    /// endpoints. The order goes on after it.
    async fn wait(
        &mut self,
        proxy: &Proxy,
        mut order: Order,
        target: &Endpoint,
        until: Instant,
    ) -> Halt {
        let cut_off = async {
            proxy.cut_off().await;
            tokio::time::sleep(HALT_TIMEOUT).await;
        };
        let result = tokio::select! {
            result = tokio::time::timeout_at(until, &mut order.task) => result.ok(),
            () = cut_off => None,
        };
        match result {
            Some(Ok(Halt::Moved(handle))) if order.target != Holder::of(target) => {
                Halt::Kept(handle)
            }
            Some(Ok(halt)) => halt,
            Some(Err(_)) => Halt::Unanswered,
            None => {
                self.open = Some(order);
                Halt::Unanswered
            }
        }
    }

    /// Starts the task that asks the engine.
    fn send(
        &mut self,
        proxy: &Proxy,
        job: &Arc<Job>,
        source: &Arc<Endpoint>,
        target: &Arc<Endpoint>,
    ) -> Order {
        self.sent = true;
        let stop = stop(
            proxy.clone(),
            Arc::clone(job),
            Arc::clone(source),
            Arc::clone(target),
            self.record.clone(),
        );
        Order {
            target: Holder::of(target),
            task: tokio::spawn(stop),
        }
    }
}

impl Relay {
    /// Stops the run at its engine if the engines of the service can do so. An engine that may be down
    /// has less time to answer unless the caller is patient.
    pub(crate) async fn halt(
        &mut self,
        source: &Arc<Endpoint>,
        target: &Arc<Endpoint>,
        patient: bool,
    ) -> Halt {
        if !self.supports_moves() {
            return Halt::Unanswered;
        }
        let orders = self.orders.entry(source.id).or_default();
        let (proxy, job) = (&self.proxy, &self.job);
        let halt = orders.halt(proxy, job, source, target, !patient).await;
        let answered = matches!(halt.stop(), Stop::Moved | Stop::Kept | Stop::Running);
        self.reached |= answered;
        halt
    }
}

/// Asks an engine to stop a run until it answers.
async fn stop(
    proxy: Proxy,
    job: Arc<Job>,
    source: Arc<Endpoint>,
    target: Arc<Endpoint>,
    orders: watch::Sender<stream_end::Orders>,
) -> Halt {
    let deadline = Instant::now() + RETRY_PERIOD;
    loop {
        orders.send_modify(stream_end::Orders::send);
        let answer = request_copy(&proxy, &job, &source, &target, true).await;
        orders.send_modify(|orders| orders.settle(reply(&answer)));
        let halt = match answer {
            Ok(Transfer::Copied(handle)) => return Halt::Moved(handle),
            Ok(Transfer::Refused(Some(handle))) => return Halt::Kept(handle),
            Ok(Transfer::Missing) => return Halt::Ended,
            // An engine whose process has ended executes nothing, but a cut may look the same.
            Err(store::Error::Unanswered(Failure::Refused)) if !proxy.is_isolated() => {
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
        Ok(Transfer::Copied(_) | Transfer::Refused(_)) => Reply::Effective,
        Err(_) => Reply::Lost,
    }
}
