//! End of a planned stop, by which each request must have an answer.

use std::time::{Duration, Instant};

use tokio::sync::watch;

use crate::timer::sleep_until;

/// Time before the end of the process at which requests in progress are answered.
const ANSWER_MARGIN: Duration = Duration::from_millis(100);

/// When requests in progress are answered because the process ends; `None` unless a planned stop has
/// begun.
#[derive(Debug, Clone)]
pub(crate) struct Ending(watch::Receiver<Option<Instant>>);

/// Sets the end of the process.
#[derive(Debug)]
pub(crate) struct Sender(watch::Sender<Option<Instant>>);

/// Creates the end of a process that runs until further notice.
pub(crate) fn channel() -> (Sender, Ending) {
    let (sender, receiver) = watch::channel(None);
    (Sender(sender), Ending(receiver))
}

impl Sender {
    /// Announces that the process ends after the given time.
    pub(crate) fn announce(&self, time_left: Duration) {
        let end = Instant::now() + time_left.saturating_sub(ANSWER_MARGIN);
        self.0.send_replace(Some(end));
    }
}

impl Ending {
    /// Returns whether the process is known to end before a deadline.
    pub(crate) fn precedes(&self, deadline: Instant) -> bool {
        self.0.borrow().is_some_and(|end| end < deadline)
    }

    /// Waits until the process is known to end before a deadline.
    pub(crate) async fn precluding(&self, deadline: Instant) {
        let mut end = self.0.clone();
        let known = end.wait_for(|end| end.is_some_and(|end| end < deadline));
        if known.await.is_err() {
            std::future::pending::<()>().await;
        }
    }

    /// Waits until requests in progress must be answered.
    pub(crate) async fn reached(&self) {
        let mut end = self.0.clone();
        let known = end.wait_for(Option::is_some).await.map(|end| *end);
        sleep_until(known.ok().flatten()).await;
    }
}
