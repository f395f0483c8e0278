//! Task that watches the platform's store and publishes its changes within the gateway.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::{Duration, Instant};

use daisyyard_core::catalog::Catalog;
use daisyyard_core::id::Revision;
use daisyyard_core::roster::Role;
use hyper::StatusCode;
use tokio::sync::{Notify, mpsc, watch};
use xtra::Address;

use crate::codec::{Batch, Codec, Record};
use crate::event::Event;
use crate::frame::News;
use crate::log::Log;
use crate::message::{Standing, StoreReach, Update};
use crate::pool::Pool;
use crate::settings::Bounds;
use crate::store::{self, Backoff, Error, MAX_PAGE_BYTES};

/// Timeout of a read. The store usually answers within milliseconds, but it can be slow.
const READ_TIMEOUT: Duration = Duration::from_secs(1);
/// Maximum delay between retries while the store is unavailable. A gateway that has just started
/// serves no requests until the store has answered once.
const MAX_RETRY_DELAY: Duration = Duration::from_millis(400);
/// Share of the recovery time for which a watch waits. A watch on a dead connection is then
/// replaced early enough for the gateway to be up to date in time.
const WATCH_SHARE: f64 = 0.75;
/// Pause after changes before the next watch of a gateway that hears from no other one, for each
/// gateway; the next response contains all that changes meanwhile. This limits the calls of all
/// gateways together to about 40 per second.
const PAUSE_PER_GATEWAY: Duration = Duration::from_millis(25);
/// Maximum share of the recovery time that such a pause may take, so that changes apply in time even
/// if the gateways cannot reach each other.
const MAX_PAUSE_SHARE: f64 = 0.35;
/// Mean pause after changes of a gateway that reads the store for others.
const READER_PAUSE: Duration = Duration::from_millis(300);
/// Time between two reads of a gateway that is told of changes by others. It is shorter than the
/// history that a store keeps, so that the next read continues the last one.
const TOLD_PAUSE: Duration = Duration::from_secs(16);
/// Time for which the watch of such a gateway waits for changes.
const TOLD_WAIT: Duration = Duration::from_millis(1);
/// Time after a store outage in which endpoints and gateways may register again if their entries
/// expired during the outage.
const RELISTING_TIME: Duration = Duration::from_millis(2_200);

/// The current configuration; `None` until the first one is read.
pub(crate) type Configuration = watch::Receiver<Option<Arc<Catalog>>>;

/// Watches the store.
#[derive(Debug)]
pub(crate) struct Watcher {
    /// Address of the store.
    address: SocketAddr,
    /// Functions that encode and decode the platform's messages.
    codec: Codec,
    /// Time for which a watch waits for changes.
    watch_timeout: Duration,
    /// Maximum pause after changes.
    max_pause: Duration,
    /// Notifies that another gateway has read newer data.
    refresh: Arc<Notify>,
    /// Actor that owns endpoints and gateways.
    pool: Address<Pool>,
    /// Publishes the current configuration.
    catalog: watch::Sender<Option<Arc<Catalog>>>,
    /// Delay after failed calls.
    backoff: Backoff,
    /// Passes changes on to other gateways.
    news: mpsc::UnboundedSender<News>,
    /// Part of this gateway in the fleet.
    standing: Standing,
    /// Whether the last call to the store succeeded.
    available: bool,
    /// When the store answered again after its last outage.
    reconnected_at: Option<Instant>,
    /// Log of the gateway.
    log: Log,
}

impl Watcher {
    /// Creates a watcher and a receiver of the current configuration.
    pub(crate) fn new(
        address: SocketAddr,
        codec: Codec,
        bounds: Bounds,
        pool: Address<Pool>,
        refresh: Arc<Notify>,
        news: mpsc::UnboundedSender<News>,
        log: Log,
    ) -> (Self, Configuration) {
        let (catalog, configuration) = watch::channel(None);
        let watcher = Self {
            address,
            codec,
            watch_timeout: bounds.max_recovery_time.mul_f64(WATCH_SHARE),
            max_pause: bounds.max_recovery_time.mul_f64(MAX_PAUSE_SHARE),
            refresh,
            pool,
            catalog,
            backoff: Backoff::new(MAX_RETRY_DELAY),
            news,
            standing: Standing {
                gateways: 1,
                role: Role::Reader,
                connected: false,
            },
            available: true,
            reconnected_at: None,
            log,
        };
        (watcher, configuration)
    }

    /// Reads all keys and watches their changes, forever.
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

    /// Reads all keys, with retries, and returns the revision from which to watch.
    async fn read_all(&mut self) -> Revision {
        loop {
            match self.read_pages().await {
                Ok(batch) => {
                    self.record_success().await;
                    let revision = batch.revision;
                    self.publish(batch, true).await;
                    return revision;
                }
                Err(error) => self.record_failure(&error).await,
            }
        }
    }

    /// Reads all pages of keys. The pages are not one snapshot, so the watch starts at the revision
    /// of the first page.
    async fn read_pages(&self) -> Result<Batch, Error> {
        let mut all = Batch::default();
        let mut after: Option<String> = None;
        loop {
            let call = (self.codec.store.list)(after.as_deref());
            let response = store::call(self.address, call, READ_TIMEOUT, MAX_PAGE_BYTES).await?;
            let page = (self.codec.store.read_batch)(&response).map_err(Error::Unusable)?;
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

    /// Waits for changes once; returns the next revision, or `None` if the watch history is lost.
    async fn watch(&mut self, revision: Revision) -> Option<Revision> {
        let wait = if self.is_told() {
            TOLD_WAIT
        } else {
            self.watch_timeout
        };
        let call = (self.codec.store.watch)(revision, wait);
        let timeout = wait + READ_TIMEOUT;
        let response = store::call(self.address, call, timeout, MAX_PAGE_BYTES).await;
        let batch = response
            .and_then(|response| (self.codec.store.read_batch)(&response).map_err(Error::Unusable));
        match batch {
            Ok(batch) => {
                self.record_success().await;
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

    /// Publishes records to the pool and to the receivers of the configuration.
    async fn publish(&mut self, batch: Batch, complete: bool) {
        let changed = !batch.records.is_empty();
        let mut others = Vec::with_capacity(batch.records.len());
        for record in batch.records {
            match record {
                Record::Catalog(catalog) => self.apply_catalog(*catalog),
                record => others.push(record),
            }
        }
        let message = Update {
            records: others,
            items: batch.items,
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
        if let Ok((standing, items)) = self.pool.send(message).await {
            self.standing = standing;
            if !items.is_empty() && standing.role == Role::Reader {
                let relist_time = self.relist_deadline().map_or(Duration::ZERO, |deadline| {
                    deadline.saturating_duration_since(Instant::now())
                });
                // The task that sends datagrams ends only with the process.
                let _ = self.news.send(News { items, relist_time });
            }
        }
        let pause = if self.is_told() {
            TOLD_PAUSE
        } else if !changed {
            Duration::ZERO
        } else if self.standing.connected && self.standing.role == Role::Reader {
            // The readers do not read at the same moments.
            READER_PAUSE.mul_f64(rand::random_range(0.5..1.5))
        } else {
            let pause = PAUSE_PER_GATEWAY.saturating_mul(self.standing.gateways as u32);
            pause.min(self.max_pause)
        };
        // The pause ends early if another gateway has read newer data.
        let _ = tokio::time::timeout(pause, self.refresh.notified()).await;
    }

    /// Returns whether other gateways tell this one what changes in the store.
    fn is_told(&self) -> bool {
        let configured = self.catalog.borrow().is_some();
        configured && self.standing.connected && self.standing.role != Role::Reader
    }

    /// Applies a version of the configuration unless a newer one is already current.
    fn apply_catalog(&self, catalog: Catalog) {
        let version = catalog.version;
        let routes = catalog.route_count();
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

    /// Returns until when a missing entry may be registered again after an outage of the store.
    fn relist_deadline(&self) -> Option<Instant> {
        let deadline = self.reconnected_at? + RELISTING_TIME;
        (deadline > Instant::now()).then_some(deadline)
    }

    /// Records that the store has answered.
    async fn record_success(&mut self) {
        self.backoff.reset();
        if !self.available {
            self.available = true;
            // The pool ends only with the process.
            let _ = self.pool.send(StoreReach(true)).await;
            self.reconnected_at = Some(Instant::now());
            self.log
                .emit(Event::StoreRegained, &format!("address={}", self.address));
        }
    }

    /// Records that a call to the store failed, and waits before the next one.
    async fn record_failure(&mut self, error: &Error) {
        if self.available {
            self.available = false;
            let _ = self.pool.send(StoreReach(false)).await;
            let details = format!("address={} reason={:?}", self.address, error.to_string());
            self.log.emit(Event::StoreLost, &details);
        }
        self.backoff.wait().await;
    }
}
