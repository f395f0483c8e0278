//! Restart of a stream that may be resumed at an engine without a copy of its KV cache: the prompt
//! is read again, and the stream continues after the last event that the caller has.

use std::sync::Arc;
use std::time::{Duration, Instant};

use daisyyard_core::continuation::{Holder, Obstacle, Step, start_anew};
use daisyyard_core::endpoint::Endpoint;
use daisyyard_core::pool::Signal;

use crate::codec::Replica;
use crate::halt::Halt;
use crate::message::{Confirm, Place, Restart};
use crate::relay::{LEAVING, Relay};

/// Delay before another attempt to find an engine with capacity.
const RETRY_INTERVAL: Duration = Duration::from_millis(100);
/// Maximum number of engines that are asked for one restart, including those that decline.
const MAX_ENGINES_ASKED: usize = 3;

impl Relay {
    /// Starts the run anew at another engine if the stream may be resumed and the route allows a
    /// further run; returns whether the stream continues.
    pub(crate) async fn restart(&mut self, reason: &'static str) -> bool {
        for _ in 0..MAX_ENGINES_ASKED {
            if self.runs_left == 0 {
                return false;
            }
            self.upstream = None;
            let source = Arc::clone(&self.grant.endpoint);
            let started = Instant::now();
            let Some((engine, backup)) = self.find_engine().await else {
                return false;
            };
            let resumed = if self.may_send_again().await {
                // The previous engine must not execute the run beside the next one.
                let halt = self.halt(&source, &engine, reason == LEAVING).await;
                let replica = match (start_anew(halt.stop()), halt) {
                    (Step::Resume(_), Halt::Moved(handle)) => Some(Replica {
                        holder: source.address,
                        handle,
                    }),
                    (Step::Restart, _) => None,
                    _ => return false,
                };
                // A copy is lost when its engine starts anew.
                let confirm = Confirm(Holder::of(&engine));
                let holds = self.proxy.pool.send(confirm).await.unwrap_or(false);
                let replica = replica.filter(|_| holds);
                let timeout = self.job.remaining();
                self.resume(&engine, backup.as_deref(), replica, timeout)
                    .await
            } else {
                Err(Obstacle::NotAllowed)
            };
            self.record_move(&source, &engine, started, ("restart", reason), resumed);
            self.switch_to(engine).await;
            match resumed {
                Ok(()) => {
                    self.runs_left -= 1;
                    self.first_data_at = None;
                    return true;
                }
                Err(Obstacle::Cold | Obstacle::Declined) => {}
                Err(Obstacle::NotAllowed) => return false,
                Err(Obstacle::Unsent | Obstacle::Unanswered) => {
                    self.runs_left -= 1;
                    self.grant.signal = Signal::Failed;
                }
            }
        }
        false
    }

    /// Waits for an engine with capacity; returns none if there is no other engine, the caller
    /// leaves, or the deadline passes.
    async fn find_engine(&mut self) -> Option<(Arc<Endpoint>, Option<Arc<Endpoint>>)> {
        while self.job.remaining() > Duration::ZERO {
            let restart = Restart(self.grant.run, self.grant.signal);
            match self.proxy.pool.send(restart).await {
                Ok(Place::Engine(engine, backup)) => return Some((engine, backup)),
                Ok(Place::Full) => {}
                Ok(Place::Missing) | Err(_) => return None,
            }
            // The health of the previous endpoint has been updated once.
            self.grant.signal = Signal::Neutral;
            tokio::select! {
                () = self.sender.closed() => return None,
                () = tokio::time::sleep(RETRY_INTERVAL) => {}
            }
        }
        None
    }
}
