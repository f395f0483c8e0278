//! Task that watches the platform's store and publishes its changes within the gateway.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::{Duration, Instant};

use daisyyard_core::catalog::Catalog;
use daisyyard_core::catch_up::{CatchUp, End, Next};
use daisyyard_core::era::Tracker;
use daisyyard_core::id::Version;
use daisyyard_core::revision::{Era, Revision};
use daisyyard_core::roster::Role;
use futures_util::FutureExt;
use tokio::sync::{Notify, mpsc, watch};
use xtra::Address;

use crate::codec::{Batch, Codec, Freshness, Record};
use crate::event::Event;
use crate::frame::News;
use crate::log::Log;
use crate::message::{SetColdStarts, Standing, Update};
use crate::metrics::Metrics;
use crate::pool::Pool;
use crate::reach::{Reach, Read};
use crate::settings::Bounds;
use crate::store::MAX_PAGE_BYTES;
use crate::timer::sleep_until;

/// Time for which a watch waits, as a share of the time in which a change must be in force.
/// The knowledge of the readers is then young enough for the gateways that rely on them.
const WATCH_SHARE: f64 = 0.5;
/// Pause after changes before the next watch of a gateway that hears from no other one, for each
/// gateway; the next response contains all that changes meanwhile. This limits the calls of all
/// gateways together to about 40 per second.
const PAUSE_PER_GATEWAY: Duration = Duration::from_millis(25);
/// Maximum share of the recovery time that such a pause may take, so that changes apply in time even
/// if the gateways cannot reach each other.
const MAX_PAUSE_SHARE: f64 = 0.35;
/// Mean pause after changes of a gateway that reads the store for others.
const READER_PAUSE: Duration = Duration::from_millis(300);
/// Time between two complete reads of a gateway that is told of changes by others. They correct what
/// lost datagrams have left out.
const TOLD_PAUSE: Duration = Duration::from_mins(1);
/// Time between two calls of a gateway that is told of changes by others while it does not reach the
/// store. If it noticed the return later, entries that vanish then would count as doubtful.
const PROBE_PAUSE: Duration = Duration::from_secs(1);
/// Mean time until a gateway reads a store of which another one has read a later era, for each gateway.
/// It spreads the complete reads of all gateways over the time in which the store can answer them.
const RESTORE_PAUSE_PER_GATEWAY: Duration = Duration::from_millis(2);
/// The current configuration; `None` until the first one is read.
pub(crate) type Configuration = watch::Receiver<Option<Arc<Catalog>>>;

/// Watches the store.
#[derive(Debug)]
pub(crate) struct Watcher {
    /// Address of the store.
    pub(crate) address: SocketAddr,
    /// Functions that encode and decode the platform's messages.
    pub(crate) codec: Codec,
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
    /// Passes changes on to other gateways.
    news: mpsc::UnboundedSender<News>,
    /// Part of this gateway in the fleet.
    standing: watch::Receiver<Standing>,
    /// Whether the last read of the configuration alone brought no newer one.
    catalog_was_old: bool,
    /// Outcomes of the reads.
    pub(crate) reach: Reach,
    /// Chooses between the changes and the whole state.
    catch_up: CatchUp,
    /// Era of the store.
    pub(crate) eras: Tracker,
    /// Latest era that other gateways had reported at the last complete read.
    checked_era: Era,
    /// Log of the gateway.
    log: Log,
}

impl Watcher {
    /// Creates a watcher and a receiver of the current configuration.
    pub(crate) fn new(
        address: SocketAddr,
        codec: Codec,
        bounds: &Bounds,
        pool: Address<Pool>,
        (refresh, standing): (Arc<Notify>, watch::Receiver<Standing>),
        news: mpsc::UnboundedSender<News>,
        (log, metrics): (Log, Metrics),
    ) -> (Self, Configuration) {
        let (catalog, configuration) = watch::channel(None);
        let watcher = Self {
            address,
            codec,
            watch_timeout: bounds.max_store_delay().mul_f64(WATCH_SHARE),
            max_pause: bounds.max_recovery_time.mul_f64(MAX_PAUSE_SHARE),
            refresh,
            reach: Reach::new(address, pool.clone(), (log.clone(), metrics)),
            pool,
            catalog,
            news,
            standing,
            catalog_was_old: false,
            catch_up: CatchUp::default(),
            eras: Tracker::default(),
            checked_era: 0,
            log,
        };
        (watcher, configuration)
    }

    /// Reads all keys and watches their changes, forever.
    pub(crate) async fn run(mut self) {
        let mut revision = match self.read_before_config().await {
            Some(revision) => revision,
            None => self.read_all().await,
        };
        loop {
            let mut changed = true;
            loop {
                match self.next_read(changed, revision.era).await {
                    Read::Changes => match self.watch(revision).await {
                        Some((next, any)) => (revision, changed) = (next, any),
                        None => break,
                    },
                    Read::Catalog => {
                        self.read_catalog(revision).await;
                        changed = false;
                        if self.eras.era() != revision.era {
                            break;
                        }
                    }
                    Read::All => break,
                }
            }
            revision = self.read_all().await;
        }
    }

    /// Waits until the next read is due; `changed` says whether the last one brought any changes, and
    /// `era` is that of the last complete read.
    async fn next_read(&mut self, changed: bool, era: Era) -> Read {
        let started = Instant::now();
        let mut restored: Option<Instant> = None;
        loop {
            let standing = *self.standing.borrow_and_update();
            if standing.era > era.max(self.checked_era) {
                let now = Instant::now();
                let mean = RESTORE_PAUSE_PER_GATEWAY.saturating_mul(standing.gateways as u32);
                restored.get_or_insert_with(|| now + mean.mul_f64(rand::random_range(0.0..2.0)));
            }
            let told = self.version().is_some() && standing.is_told();
            let pause = match standing {
                _ if told && self.reach.is_lost() => PROBE_PAUSE,
                _ if told => TOLD_PAUSE,
                _ if !changed => Duration::ZERO,
                // The readers do not read at the same moments.
                Standing {
                    role: Role::Reader,
                    connected: true,
                    ..
                } => READER_PAUSE.mul_f64(rand::random_range(0.5..1.5)),
                // Changes may be unknown for as long as the bound allows.
                Standing { stale: true, .. } => Duration::ZERO,
                _ => {
                    let pause = PAUSE_PER_GATEWAY.saturating_mul(standing.gateways as u32);
                    pause.min(self.max_pause)
                }
            };
            tokio::select! {
                () = sleep_until(restored) => return Read::All,
                () = tokio::time::sleep_until((started + pause).into()) => {
                    return match told {
                        true if self.reach.is_lost() => Read::Catalog,
                        true => Read::All,
                        false => Read::Changes,
                    };
                }
                // Another gateway has read newer data.
                () = self.refresh.notified() => {
                    return match told {
                        false => Read::Changes,
                        true if self.catalog_was_old => Read::All,
                        true => Read::Catalog,
                    };
                }
                // The pool ends only with the process.
                _ = self.standing.changed() => {}
            }
        }
    }

    /// Reads all keys as they were a moment ago, which costs the store less, if there is no
    /// configuration yet: a watch then completes them before this gateway serves. With a
    /// configuration, an old read could put one in force that the operator has replaced.
    async fn read_before_config(&mut self) -> Option<Revision> {
        let (batch, _) = self.read_pages(Freshness::Recent).await.ok()?;
        let configured = |record: &Record| matches!(record, Record::Catalog(_));
        if batch.records.iter().any(configured) {
            return None;
        }
        let revision = batch.revision;
        self.publish(batch, Read::All, None).await;
        Some(revision)
    }

    /// Reads all keys, with retries, and returns the revision from which to watch.
    async fn read_all(&mut self) -> Revision {
        loop {
            let started = Instant::now();
            let checked_era = self.standing.borrow().era;
            match self.read_pages(Freshness::Latest).await {
                Ok((batch, bytes)) => {
                    self.checked_era = checked_era;
                    self.reach.record_success(Read::All).await;
                    self.catch_up.record_state(bytes);
                    let revision = batch.revision;
                    self.catalog_was_old = false;
                    self.publish(batch, Read::All, Some(started)).await;
                    return revision;
                }
                Err(error) => self.reach.record_failure(Read::All, &error, started).await,
            }
        }
    }

    /// Reads the configuration alone; this costs a tenth of a read of the newest data.
    async fn read_catalog(&mut self, revision: Revision) {
        let call = (self.codec.store.read_catalog)();
        let started = Instant::now();
        match self.read(call, Duration::ZERO, MAX_PAGE_BYTES).await {
            Ok((batch, _)) => {
                self.reach.record_success(Read::Catalog).await;
                let known = self.version();
                // Other keys are known up to the revision of the last read.
                self.publish(Batch { revision, ..batch }, Read::Catalog, None)
                    .await;
                self.catalog_was_old = self.version() == known;
            }
            Err(error) => {
                self.reach
                    .record_failure(Read::Catalog, &error, started)
                    .await;
            }
        }
    }

    /// Asks for changes once; returns the next revision and whether anything has changed, or `None` if
    /// all keys are to be read instead. The store answers at once if it was lost before, so that its
    /// return is noticed; otherwise it waits for changes.
    async fn watch(&mut self, revision: Revision) -> Option<(Revision, bool)> {
        let wait = if self.reach.is_lost() {
            Duration::ZERO
        } else {
            self.watch_timeout
        };
        let call = (self.codec.store.watch)(revision.number, wait);
        let started = Instant::now();
        let max_bytes = self.catch_up.max_change_bytes().min(MAX_PAGE_BYTES);
        let error = match self.read(call, wait, max_bytes).await {
            Ok((batch, _)) => {
                self.reach.record_success(Read::Changes).await;
                if batch.revision.era != revision.era {
                    // The changes up to the number that was asked for are missing.
                    return None;
                }
                let next = batch.revision.max(revision);
                let changed = !batch.records.is_empty();
                // A response that was delayed on its way may have left at the end of the wait.
                let complete_at = Instant::now().min(started + wait);
                self.publish(batch, Read::Changes, Some(complete_at)).await;
                return Some((next, changed));
            }
            Err(error) => error,
        };
        let end = End::from(&error);
        if error.proves_reach() {
            self.reach.record_unread(Read::Changes, &error);
        } else {
            self.reach
                .record_failure(Read::Changes, &error, started)
                .await;
        }
        match end.next() {
            Next::Changes => Some((revision, false)),
            Next::State => {
                let details = format!("revision={revision} reason={:?}", error.to_string());
                self.log.emit(Event::StoreReread, &details);
                None
            }
        }
    }

    /// Publishes records to the pool and to the receivers of the configuration. They were complete at
    /// a time, unless they may be old. A configuration becomes visible after the pool has all records,
    /// because requests that it admits must follow the orders that came with it.
    async fn publish(&mut self, batch: Batch, read: Read, complete_at: Option<Instant>) {
        // What was announced during the read is part of it, or is announced again.
        let _ = self.refresh.notified().now_or_never();
        let mut others = Vec::with_capacity(batch.records.len());
        let mut newest: Option<Box<Catalog>> = None;
        let mut version = self.version();
        for record in batch.records {
            match record {
                Record::Catalog(catalog) => {
                    if version.is_none_or(|version| version < catalog.version) {
                        version = Some(catalog.version);
                        newest = Some(catalog);
                    }
                }
                record => others.push(record),
            }
        }
        if let Some(catalog) = &newest {
            // The pool ends only with the process.
            let _ = self.pool.send(SetColdStarts(catalog.cold_starts())).await;
        }
        let message = Update {
            records: others,
            items: batch.items,
            relist_deadline: self.reach.relist_deadline(Instant::now()),
            complete: read == Read::All,
            complete_at,
            revision: batch.revision,
            version,
        };
        // The pool ends only with the process.
        let items = self.pool.send(message).await.unwrap_or_default();
        if let Some(catalog) = newest {
            self.apply_catalog(*catalog, read);
        }
        if !items.is_empty() && self.standing.borrow().role == Role::Reader {
            let now = Instant::now();
            let deadline = self.reach.relist_deadline(now);
            let relist_time = deadline.map_or(Duration::ZERO, |deadline| deadline - now);
            // The task that sends datagrams ends only with the process.
            let _ = self.news.send(News { items, relist_time });
        }
    }

    /// Returns the version of the current configuration.
    fn version(&self) -> Option<Version> {
        let configuration = self.catalog.borrow();
        configuration.as_ref().map(|catalog| catalog.version)
    }

    /// Makes a version of the configuration the current one.
    fn apply_catalog(&self, catalog: Catalog, read: Read) {
        let (version, routes) = (catalog.version, catalog.route_count());
        self.catalog.send_replace(Some(Arc::new(catalog)));
        let details = format!("version={version} routes={routes} read={read:?}");
        self.log.emit(Event::CatalogAdopted, &details);
    }
}
