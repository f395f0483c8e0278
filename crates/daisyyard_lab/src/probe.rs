//! Measurement of the processor time of an operation and of the resident memory of a value.

use std::fs;
use std::hint::black_box;
use std::thread;

use anyhow::Context;

/// Number of measurements of which the median is taken, because other processes share the machine.
pub const REPEATS: usize = 5;
/// Minimum processor time of one measurement.
const MIN_SAMPLE_NS: u64 = 20_000_000;
/// Minimum growth of the resident memory in one measurement; less would be distorted by the
/// granularity of pages.
const MIN_GROWTH_BYTES: u64 = 8 << 20;
/// Number of copies between two readings of the resident memory. The pages that the kernel has not
/// counted yet are few in comparison.
const COPIES_PER_STEP: usize = 16;

/// Returns the processor time of one call in nanoseconds.
pub fn cpu_ns(mut operation: impl FnMut()) -> anyhow::Result<f64> {
    let mut calls = 16_u64;
    while calls_cpu_ns(calls, &mut operation)? < MIN_SAMPLE_NS {
        calls *= 2;
    }
    let mut samples = Vec::new();
    for _ in 0..REPEATS {
        samples.push(calls_cpu_ns(calls, &mut operation)? as f64 / calls as f64);
    }
    Ok(median(samples))
}

/// Returns the resident memory of one copy of a value, in bytes.
///
/// The copies are never freed, so that no later measurement reuses their pages.
pub fn resident_bytes<T>(mut make: impl FnMut() -> T) -> anyhow::Result<f64> {
    let mut samples = Vec::new();
    for _ in 0..REPEATS {
        let (before, mut copies) = (process_resident_bytes()?, 0);
        let mut grown = 0;
        while grown < MIN_GROWTH_BYTES {
            for _ in 0..COPIES_PER_STEP {
                std::mem::forget(black_box(make()));
            }
            copies += COPIES_PER_STEP;
            grown = process_resident_bytes()?.saturating_sub(before);
        }
        samples.push(grown as f64 / copies as f64);
    }
    Ok(median(samples))
}

/// Returns the median, or the upper of the two middle samples if their number is even.
pub fn median(mut samples: Vec<f64>) -> f64 {
    samples.sort_by(f64::total_cmp);
    samples.get(samples.len() / 2).copied().unwrap_or(f64::NAN)
}

/// Returns the processor time of the given number of calls in nanoseconds.
fn calls_cpu_ns(calls: u64, operation: &mut impl FnMut()) -> anyhow::Result<u64> {
    let before = thread_cpu_ns()?;
    for _ in 0..calls {
        operation();
    }
    Ok(thread_cpu_ns()? - before)
}

/// Returns the processor time that this thread has used so far, in nanoseconds.
fn thread_cpu_ns() -> anyhow::Result<u64> {
    // The kernel updates the counter when the thread yields the processor.
    thread::yield_now();
    let file = "/proc/thread-self/schedstat";
    let text = fs::read_to_string(file)
        .context("cannot read the processor time from Linux's schedstat")?;
    let first = text.split_whitespace().next().unwrap_or_default();
    first
        .parse()
        .with_context(|| format!("{file} is malformed"))
}

/// Returns the resident memory of this process in bytes.
fn process_resident_bytes() -> anyhow::Result<u64> {
    let file = "/proc/self/smaps_rollup";
    let text = fs::read_to_string(file)
        .context("cannot read the resident memory from Linux's smaps_rollup")?;
    let line = text.lines().find_map(|line| line.strip_prefix("Rss:"));
    let kib = line.and_then(|line| line.trim().strip_suffix("kB"));
    let kib = kib.and_then(|kib| kib.trim().parse::<u64>().ok());
    Ok(kib.with_context(|| format!("{file} is malformed"))? << 10)
}
