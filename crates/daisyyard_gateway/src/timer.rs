//! Timers of actors and tasks.

use std::time::{Duration, Instant};

use tokio::time::MissedTickBehavior;
use xtra::{Handler, WeakAddress};

/// Lets time pass.
#[derive(Debug)]
pub struct Tick;

/// Sends [`Tick`] to an actor once a period, until the actor ends.
pub fn spawn<A: Handler<Tick>>(address: WeakAddress<A>, period: Duration) {
    tokio::spawn(async move {
        let mut interval = tokio::time::interval(period);
        // After a pause of the process, one tick stands for all that were missed.
        interval.set_missed_tick_behavior(MissedTickBehavior::Delay);
        loop {
            interval.tick().await;
            if address.send(Tick).await.is_err() {
                return;
            }
        }
    });
}

/// Waits until a time, or for ever if there is none.
pub async fn sleep_until(time: Option<Instant>) {
    match time {
        Some(time) => tokio::time::sleep_until(time.into()).await,
        None => std::future::pending().await,
    }
}
