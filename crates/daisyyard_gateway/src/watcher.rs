//! The task that follows the platform's store and tells the others what changes.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::{Duration, Instant};

use daisyyard_core::catalog::Catalog;
use daisyyard_core::id::Revision;
use hyper::StatusCode;
use tokio::sync::{Notify, watch};
use xtra::Address;

use crate::codec::{Batch, Codec, Record};
use crate::event::Event;
use crate::log::Log;
use crate::message::Update;
use crate::pool::Pool;
use crate::settings::Bounds;
use crate::store::{self, Backoff, Error};

/// Time for the store to answer a read. It answers in milliseconds, and may be slow.
const READ_TIMEOUT: Duration = Duration::from_secs(1);
/// Longest delay between two tries while the store is away. Until it has answered once, a gateway
/// that has just started serves nothing.
const MAX_RETRY_DELAY: Duration = Duration::from_millis(400);
/// Share of the contact time for which a watch waits. A watch on a connection that went silent is
/// replaced in time to be up to date again.
const WATCH_SHARE: f64 = 0.75;
/// Pause after changes before the next watch, for each gateway: what changes meanwhile comes in one
/// answer. The calls of all gateways together stay within about 40 a second.
const PAUSE_PER_GATEWAY: Duration = Duration::from_millis(25);
/// Share of the contact time for which a pause lasts at most, so that changes are in force in time
/// although the gateways do not hear each other. Usually one of them reads a change early in the
/// pauses of the others, and tells them.
const MAX_PAUSE_SHARE: f64 = 0.35;
/// Time after the return of the store in which endpoints and gateways are listed again whose
/// entries ended while it was away.
const RELISTING_TIME: Duration = Duration::from_millis(2_200);

/// The configuration in force; none before the first is known.
pub(crate) type Configuration = watch::Receiver<Option<Arc<Catalog>>>;

/// Follows the store.
#[derive(Debug)]
pub(crate) struct Watcher {
    /// Address of the store.
    address: SocketAddr,
    /// Functions that write and read messages.
    codec: Codec,
    /// Time for which a watch waits.
    watch_timeout: Duration,
    /// Longest pause after changes.
    max_pause: Duration,
    /// Tells that another gateway has read something that matters here.
    refresh: Arc<Notify>,
    /// Actor that owns endpoints and gateways.
    pool: Address<Pool>,
    /// The configuration in force.
    catalog: watch::Sender<Option<Arc<Catalog>>>,
    /// Delay after failed calls.
    backoff: Backoff,
    /// Whether the store answered the last call.
    available: bool,
    /// When the store last began to answer after it had been away.
    reconnected_at: Option<Instant>,
    /// The log.
    log: Log,
}

impl Watcher {
    /// Creates a follower and the view of the configuration in force.
    pub(crate) fn new(
        address: SocketAddr,
        codec: Codec,
        bounds: Bounds,
        pool: Address<Pool>,
        refresh: Arc<Notify>,
        log: Log,
    ) -> (Self, Configuration) {
        let (catalog, configuration) = watch::channel(None);
        let follower = Self {
            address,
            codec,
            watch_timeout: bounds.max_staleness.mul_f64(WATCH_SHARE),
            max_pause: bounds.max_staleness.mul_f64(MAX_PAUSE_SHARE),
            refresh,
            pool,
            catalog,
            backoff: Backoff::new(MAX_RETRY_DELAY),
            available: true,
            reconnected_at: None,
            log,
        };
        (follower, configuration)
    }

    /// Reads all keys and follows their changes for ever.
    pub(crate) async fn run(mut self) {
        loop {
            let mut revision = self.read_all().await;
            while let Some(next) = self.watch(revision).await {
                revision = next;
            }
            self.log
                .emit(Event::StoreReread, &format!("revision={revision}"));
        }
    }

    /// Reads all keys until it succeeds; returns the revision from which to watch.
    async fn read_all(&mut self) -> Revision {
        loop {
            match self.read_pages().await {
                Ok(batch) => {
                    self.record_success();
                    let revision = batch.revision;
                    self.publish(batch, true).await;
                    return revision;
                }
                Err(error) => self.record_failure(&error).await,
            }
        }
    }

    /// Reads all pages of the list. Pages are no snapshot, so that changes are watched from the
    /// revision of the first one.
    async fn read_pages(&self) -> Result<Batch, Error> {
        let mut all = Batch::default();
        let mut after: Option<String> = None;
        loop {
            let call = (self.codec.store.list)(after.as_deref());
            let answer = store::call(self.address, call, READ_TIMEOUT).await?;
            let page = (self.codec.store.read_batch)(&answer).map_err(Error::Unusable)?;
            if after.is_none() {
                all.revision = page.revision;
            }
            all.records.extend(page.records);
            match page.next_key {
                Some(next) => after = Some(next),
                None => return Ok(all),
            }
        }
    }

    /// Waits for changes once; returns the next revision, or nothing if the history is lost.
    async fn watch(&mut self, revision: Revision) -> Option<Revision> {
        let call = (self.codec.store.watch)(revision, self.watch_timeout);
        let answer = store::call(self.address, call, self.watch_timeout + READ_TIMEOUT).await;
        let batch = answer
            .and_then(|answer| (self.codec.store.read_batch)(&answer).map_err(Error::Unusable));
        match batch {
            Ok(batch) => {
                self.record_success();
                let next = batch.revision.max(revision);
                self.publish(batch, false).await;
                Some(next)
            }
            Err(Error::Declined(StatusCode::GONE)) => None,
            Err(error) => {
                self.record_failure(&error).await;
                Some(revision)
            }
        }
    }

    /// Tells the others what changed.
    async fn publish(&mut self, batch: Batch, complete: bool) {
        let changed = !batch.records.is_empty();
        let mut records = Vec::with_capacity(batch.records.len());
        for fact in batch.records {
            match fact {
                Record::Catalog(catalog) => self.apply_catalog(*catalog),
                fact => records.push(fact),
            }
        }
        let message = Update {
            records,
            relist_deadline: self.relist_deadline(),
            complete,
            revision: batch.revision,
            version: self
                .catalog
                .borrow()
                .as_ref()
                .map(|configuration| configuration.version),
        };
        // The pool ends only with the process.
        let gateways = self.pool.send(message).await.unwrap_or(1);
        if changed {
            let pause = PAUSE_PER_GATEWAY.saturating_mul(gateways as u32);
            let pause = pause.min(self.max_pause);
            // The pause ends early if another gateway has read something that matters here.
            let _ = tokio::time::timeout(pause, self.refresh.notified()).await;
        }
    }

    /// Puts a configuration version in force unless a newer one is.
    fn apply_catalog(&self, catalog: Catalog) {
        let version = catalog.version;
        let routes = catalog.routes();
        let newer = self.catalog.send_if_modified(|configuration| {
            let newer = configuration
                .as_ref()
                .is_none_or(|configuration| configuration.version < version);
            if newer {
                *configuration = Some(Arc::new(catalog));
            }
            newer
        });
        if newer {
            let details = format!("version={version} routes={routes}");
            self.log.emit(Event::CatalogAdopted, &details);
        }
    }

    /// Returns until when a missing entry may come back.
    fn relist_deadline(&self) -> Option<Instant> {
        let until = self.reconnected_at? + RELISTING_TIME;
        (until > Instant::now()).then_some(until)
    }

    /// Notes that the store answered.
    fn record_success(&mut self) {
        self.backoff.reset();
        if !self.available {
            self.available = true;
            self.reconnected_at = Some(Instant::now());
            self.log
                .emit(Event::StoreRegained, &format!("address={}", self.address));
        }
    }

    /// Notes that the store did not answer, and waits before the next call.
    async fn record_failure(&mut self, error: &Error) {
        if self.available {
            self.available = false;
            let details = format!("address={} reason={:?}", self.address, error.to_string());
            self.log.emit(Event::StoreLost, &details);
        }
        self.backoff.wait().await;
    }
}
