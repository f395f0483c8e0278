//! Reads of the platform's store: pages of its keys, and the era in which they were given.

use std::time::Duration;

use daisyyard_core::era::Verdict;

use crate::codec::{Batch, Call, Freshness};
use crate::store::{self, Error, MAX_PAGE_BYTES, Timeouts};
use crate::watcher::Watcher;

/// Time in which the store begins to answer, and sends the next bytes of a response. It usually takes
/// milliseconds, but it can be slow.
const READ_TIMEOUT: Duration = Duration::from_secs(1);

impl Watcher {
    /// Reads all pages of keys, and returns them with their size in bytes. The pages are not one snapshot,
    /// so the watch starts at the revision of the first page.
    pub(crate) async fn read_pages(
        &mut self,
        freshness: Freshness,
    ) -> Result<(Batch, usize), Error> {
        let mut all = Batch::default();
        let mut bytes = 0;
        let mut after: Option<String> = None;
        loop {
            let call = (self.codec.store.list)(after.as_deref(), freshness);
            let (page, size) = self.read(call, Duration::ZERO, MAX_PAGE_BYTES).await?;
            bytes += size;
            if after.is_none() {
                all.revision = page.revision;
            } else if page.revision.era != all.revision.era {
                (all, bytes, after) = (Batch::default(), 0, None);
                continue;
            }
            all.records.extend(page.records);
            match page.next_key {
                Some(next) => after = Some(next),
                None => return Ok((all, bytes)),
            }
        }
    }

    /// Reads a response of at most `max_bytes` for which the store may wait, and returns it with its size
    /// in bytes.
    pub(crate) async fn read(
        &mut self,
        call: Call,
        wait: Duration,
        max_bytes: usize,
    ) -> Result<(Batch, usize), Error> {
        let timeouts = Timeouts::of_page(wait + READ_TIMEOUT, READ_TIMEOUT);
        let (headers, response) = store::read(self.address, call, timeouts, max_bytes).await?;
        let statement = (self.codec.store.read_era)(&headers);
        let verdict = self.eras.record(statement);
        let era = self.eras.era();
        if self.eras.is_newly_doubtful(statement) {
            self.reach.record_doubt(statement, era);
        }
        match verdict {
            Verdict::Current => {}
            Verdict::Restored(before) => self.reach.record_restore(before, era),
            Verdict::Outdated => return Err(Error::Outdated(era)),
        }
        let batch = (self.codec.store.read_batch)(&response, era).map_err(Error::Unusable)?;
        Ok((batch, response.len()))
    }
}
