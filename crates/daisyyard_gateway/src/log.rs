//! The log: one JSON object a line on the standard output, bounded and never blocking.

use std::num::NonZeroUsize;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::{Duration, Instant};

use anyhow::Context;
use spdlog::formatter::JsonFormatter;
use spdlog::sink::{AsyncPoolSink, OverflowPolicy, StdStreamSink};
use spdlog::{LevelFilter, Logger, ThreadPool};

use crate::event::Event;

/// Lines that wait to be written; more are dropped.
const MAX_QUEUED_LINES: NonZeroUsize = NonZeroUsize::new(256).expect("the queue is not empty");
/// Lines in a period. Writing a line costs processor time, which requests need more in a flood.
const MAX_LINES_PER_PERIOD: u64 = 200;
/// Length of a period.
const PERIOD: Duration = Duration::from_secs(1);

/// The log of a gateway.
#[derive(Debug, Clone)]
pub(crate) struct Log {
    /// Writes the lines.
    logger: Arc<Logger>,
    /// Bounds the lines.
    limiter: Arc<Limiter>,
}

/// Lines of the present period.
#[derive(Debug)]
struct Limiter {
    /// When the log was opened.
    opened: Instant,
    /// Number of the present period.
    period: AtomicU64,
    /// Lines in the present period.
    lines: AtomicU64,
    /// Lines dropped since the last report.
    dropped: AtomicU64,
}

impl Log {
    /// Opens the log on the standard output.
    pub(crate) fn open() -> anyhow::Result<Self> {
        let sink = StdStreamSink::builder()
            .stdout()
            .formatter(JsonFormatter::new())
            .build_arc()
            .context("cannot open the standard output for the log")?;
        let pool = ThreadPool::builder()
            .capacity(MAX_QUEUED_LINES)
            .build_arc()
            .context("cannot start the thread that writes the log")?;
        let queue = AsyncPoolSink::builder()
            .sink(sink)
            .thread_pool(pool)
            .overflow_policy(OverflowPolicy::DropIncoming)
            .build_arc()
            .context("cannot open the queue of the log")?;
        let logger = Logger::builder()
            .sink(queue)
            .level_filter(LevelFilter::All)
            .build_arc()
            .context("cannot build the logger")?;
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

    /// Logs an event with details in the form `key=value`, unless too many lines were logged.
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

    /// Writes a line.
    fn write(&self, event: Event, details: &str) {
        let number = event as u32;
        spdlog::log!(logger: self.logger, event.level(), "DY{number:04} {event:?} {details}");
    }

    /// Writes the lines that wait.
    pub(crate) fn flush(&self) {
        self.logger.flush();
    }
}

impl Limiter {
    /// Counts a line and returns whether it may be written.
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
