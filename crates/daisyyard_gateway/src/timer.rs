//! Timers for actors and tasks.

use std::time::{Duration, Instant};

use tokio::time::MissedTickBehavior;
use xtra::{Handler, WeakAddress};

/// Message that an actor receives once per period.
#[derive(Debug)]
pub struct Tick;

/// Sends [`Tick`] to an actor once per period, until the actor ends.
pub fn spawn<A: Handler<Tick>>(address: WeakAddress<A>, period: Duration) {
    tokio::spawn(async move {
        let mut interval = tokio::time::interval(period);
        // After the process was suspended, one tick replaces all missed ones.
        interval.set_missed_tick_behavior(MissedTickBehavior::Delay);
        loop {
            interval.tick().await;
            if address.send(Tick).await.is_err() {
                return;
            }
        }
    });
}

/// Waits until the given time, or forever if there is none.
pub async fn sleep_until(time: Option<Instant>) {
    match time {
        Some(time) => tokio::time::sleep_until(time.into()).await,
        None => std::future::pending().await,
    }
}
