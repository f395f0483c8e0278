//! The log: JSON lines on standard output, limited in rate and never blocking.

use std::num::NonZeroUsize;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::{Duration, Instant};

use anyhow::Context;
use spdlog::formatter::JsonFormatter;
use spdlog::sink::{AsyncPoolSink, OverflowPolicy, StdStreamSink};
use spdlog::{LevelFilter, Logger, ThreadPool};

use crate::event::Event;

/// Maximum number of lines that wait to be written; further ones are dropped.
const MAX_QUEUED_LINES: NonZeroUsize = NonZeroUsize::new(256).expect("the capacity is not zero");
/// Maximum number of lines in a period. Each line costs CPU time, which requests need more under a
/// flood.
const MAX_LINES_PER_PERIOD: u64 = 200;
/// Length of a period.
const PERIOD: Duration = Duration::from_secs(1);

/// Log of a gateway.
#[derive(Debug, Clone)]
pub(crate) struct Log {
    /// Writes the lines from a thread of its own.
    logger: Arc<Logger>,
    /// Limits the rate of lines.
    limiter: Arc<Limiter>,
}

/// Rate limiter for log lines.
#[derive(Debug)]
struct Limiter {
    /// When the log was opened.
    opened: Instant,
    /// Number of the current period.
    period: AtomicU64,
    /// Lines in the current period.
    lines: AtomicU64,
    /// Lines dropped since the last `LinesDropped` event.
    dropped: AtomicU64,
}

impl Log {
    /// Opens the log on standard output.
    pub(crate) fn open() -> anyhow::Result<Self> {
        let sink = StdStreamSink::builder()
            .stdout()
            .formatter(JsonFormatter::new())
            .build_arc()
            .context("cannot open standard output for the log")?;
        let pool = ThreadPool::builder()
            .capacity(MAX_QUEUED_LINES)
            .build_arc()
            .context("cannot start the log writer thread")?;
        let queue = AsyncPoolSink::builder()
            .sink(sink)
            .thread_pool(pool)
            .overflow_policy(OverflowPolicy::DropIncoming)
            .build_arc()
            .context("cannot create the log queue")?;
        let logger = Logger::builder()
            .sink(queue)
            .level_filter(LevelFilter::All)
            .build_arc()
            .context("cannot create the logger")?;
        let limiter = Limiter {
            opened: Instant::now(),
            period: AtomicU64::new(0),
            lines: AtomicU64::new(0),
            dropped: AtomicU64::new(0),
        };
        Ok(Self {
            logger,
            limiter: Arc::new(limiter),
        })
    }

    /// Logs an event with details in the form `key=value`, unless the rate limit is reached.
    pub(crate) fn emit(&self, event: Event, details: &str) {
        if !self.limiter.admit() {
            return;
        }
        let dropped = self.limiter.dropped.swap(0, Ordering::Relaxed);
        if dropped > 0 {
            self.write(Event::LinesDropped, &format!("lines={dropped}"));
        }
        self.write(event, details);
    }

    /// Formats and queues a line.
    fn write(&self, event: Event, details: &str) {
        let number = event as u32;
        spdlog::log!(logger: self.logger, event.level(), "DY{number:04} {event:?} {details}");
    }

    /// Writes all queued lines.
    pub(crate) fn flush(&self) {
        self.logger.flush();
    }
}

impl Limiter {
    /// Counts a line and returns whether it is within the rate limit.
    fn admit(&self) -> bool {
        let period = self.opened.elapsed().as_secs() / PERIOD.as_secs();
        if self.period.swap(period, Ordering::Relaxed) != period {
            self.lines.store(0, Ordering::Relaxed);
        }
        let admitted = self.lines.fetch_add(1, Ordering::Relaxed) < MAX_LINES_PER_PERIOD;
        if !admitted {
            self.dropped.fetch_add(1, Ordering::Relaxed);
        }
        admitted
    }
}
