//! The task that follows the platform's store and tells the others what changes.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::{Duration, Instant};

use daisyyard_core::catalog::Catalog;
use daisyyard_core::id::Revision;
use hyper::StatusCode;
use tokio::sync::{Notify, watch};
use xtra::Address;

use crate::dialect::{Batch, Dialect, Fact};
use crate::event::Event;
use crate::log::Log;
use crate::message::Facts;
use crate::pool::Pool;
use crate::settings::Bounds;
use crate::store::{self, Backoff, Error};

/// Time for the store to answer a read. It answers in milliseconds, and may be slow.
const TIMEOUT: Duration = Duration::from_secs(1);
/// Longest delay between two tries while the store is away. Until it has answered once, a gateway
/// that has just started serves nothing.
const LONGEST_DELAY: Duration = Duration::from_millis(400);
/// Share of the contact time for which a watch waits. A watch on a connection that went silent is
/// replaced in time to be up to date again.
const WATCH_SHARE: f64 = 0.75;
/// Pause after changes before the next watch, for each gateway: what changes meanwhile comes in one
/// answer. The calls of all gateways together stay within about 40 a second.
const PAUSE_PER_GATEWAY: Duration = Duration::from_millis(25);
/// Share of the contact time for which a pause lasts at most, so that changes are in force in time
/// although the gateways do not hear each other. Usually one of them reads a change early in the
/// pauses of the others, and tells them.
const PAUSE_SHARE: f64 = 0.35;
/// Time after the return of the store in which endpoints and gateways are listed again whose
/// entries ended while it was away.
const RELISTING: Duration = Duration::from_millis(2_200);

/// The configuration in force; none before the first is known.
pub(crate) type Held = watch::Receiver<Option<Arc<Catalog>>>;

/// Follows the store.
#[derive(Debug)]
pub(crate) struct Follower {
    /// Address of the store.
    address: SocketAddr,
    /// Functions that write and read messages.
    dialect: Dialect,
    /// Time for which a watch waits.
    wait: Duration,
    /// Longest pause after changes.
    longest_pause: Duration,
    /// Tells that another gateway has read something that matters here.
    behind: Arc<Notify>,
    /// Actor that owns endpoints and gateways.
    pool: Address<Pool>,
    /// The configuration in force.
    catalog: watch::Sender<Option<Arc<Catalog>>>,
    /// Delay after failed calls.
    backoff: Backoff,
    /// Whether the store answered the last call.
    answered: bool,
    /// When the store last began to answer after it had been away.
    regained: Option<Instant>,
    /// The log.
    log: Log,
}

impl Follower {
    /// Creates a follower and the view of the configuration in force.
    pub(crate) fn new(
        address: SocketAddr,
        dialect: Dialect,
        bounds: Bounds,
        pool: Address<Pool>,
        behind: Arc<Notify>,
        log: Log,
    ) -> (Self, Held) {
        let (catalog, held) = watch::channel(None);
        let follower = Self {
            address,
            dialect,
            wait: bounds.contact.mul_f64(WATCH_SHARE),
            longest_pause: bounds.contact.mul_f64(PAUSE_SHARE),
            behind,
            pool,
            catalog,
            backoff: Backoff::new(LONGEST_DELAY),
            answered: true,
            regained: None,
            log,
        };
        (follower, held)
    }

    /// Reads all keys and follows their changes for ever.
    pub(crate) async fn run(mut self) {
        loop {
            let mut revision = self.read().await;
            while let Some(next) = self.watch(revision).await {
                revision = next;
            }
            self.log
                .emit(Event::StoreReread, &format!("revision={revision}"));
        }
    }

    /// Reads all keys until it succeeds; returns the revision from which to watch.
    async fn read(&mut self) -> Revision {
        loop {
            match self.pages().await {
                Ok(batch) => {
                    self.succeed();
                    let revision = batch.revision;
                    self.tell(batch, true).await;
                    return revision;
                }
                Err(error) => self.fail(&error).await,
            }
        }
    }

    /// Reads all pages of the list. Pages are no snapshot, so that changes are watched from the
    /// revision of the first one.
    async fn pages(&self) -> Result<Batch, Error> {
        let mut all = Batch::default();
        let mut after: Option<String> = None;
        loop {
            let call = (self.dialect.store.list)(after.as_deref());
            let answer = store::call(self.address, call, TIMEOUT).await?;
            let page = (self.dialect.store.batch)(&answer).map_err(Error::Unusable)?;
            if after.is_none() {
                all.revision = page.revision;
            }
            all.facts.extend(page.facts);
            match page.next {
                Some(next) => after = Some(next),
                None => return Ok(all),
            }
        }
    }

    /// Waits for changes once; returns the next revision, or nothing if the history is lost.
    async fn watch(&mut self, revision: Revision) -> Option<Revision> {
        let call = (self.dialect.store.watch)(revision, self.wait);
        let answer = store::call(self.address, call, self.wait + TIMEOUT).await;
        let batch =
            answer.and_then(|answer| (self.dialect.store.batch)(&answer).map_err(Error::Unusable));
        match batch {
            Ok(batch) => {
                self.succeed();
                let next = batch.revision.max(revision);
                self.tell(batch, false).await;
                Some(next)
            }
            Err(Error::Declined(StatusCode::GONE)) => None,
            Err(error) => {
                self.fail(&error).await;
                Some(revision)
            }
        }
    }

    /// Tells the others what changed.
    async fn tell(&mut self, batch: Batch, complete: bool) {
        let any = !batch.facts.is_empty();
        let mut rest = Vec::with_capacity(batch.facts.len());
        for fact in batch.facts {
            match fact {
                Fact::Catalog(catalog) => self.adopt(*catalog),
                fact => rest.push(fact),
            }
        }
        let message = Facts {
            list: rest,
            doubt: self.doubt(),
            complete,
            revision: batch.revision,
            version: self.catalog.borrow().as_ref().map(|held| held.version),
        };
        // The pool ends only with the process.
        let gateways = self.pool.send(message).await.unwrap_or(1);
        if any {
            let pause = PAUSE_PER_GATEWAY.saturating_mul(gateways as u32);
            let pause = pause.min(self.longest_pause);
            // The pause ends early if another gateway has read something that matters here.
            let _ = tokio::time::timeout(pause, self.behind.notified()).await;
        }
    }

    /// Puts a configuration version in force unless a newer one is.
    fn adopt(&self, catalog: Catalog) {
        let version = catalog.version;
        let routes = catalog.route_count();
        let newer = self.catalog.send_if_modified(|held| {
            let newer = held.as_ref().is_none_or(|held| held.version < version);
            if newer {
                *held = Some(Arc::new(catalog));
            }
            newer
        });
        if newer {
            let details = format!("version={version} routes={routes}");
            self.log.emit(Event::CatalogAdopted, &details);
        }
    }

    /// Returns until when a missing entry may come back.
    fn doubt(&self) -> Option<Instant> {
        let until = self.regained? + RELISTING;
        (until > Instant::now()).then_some(until)
    }

    /// Notes that the store answered.
    fn succeed(&mut self) {
        self.backoff.reset();
        if !self.answered {
            self.answered = true;
            self.regained = Some(Instant::now());
            self.log
                .emit(Event::StoreRegained, &format!("address={}", self.address));
        }
    }

    /// Notes that the store did not answer, and waits before the next call.
    async fn fail(&mut self, error: &Error) {
        if self.answered {
            self.answered = false;
            let details = format!("address={} reason={:?}", self.address, error.to_string());
            self.log.emit(Event::StoreLost, &details);
        }
        self.backoff.wait().await;
    }
}
