//! Measures the writes and the latency of the call registry. Usage: `claim_rate NODES CLAIMS_PER_S
//! SECONDS OUTAGE_S`.
//!
//! Claims are started at a fixed rate, however long their answers take. The configuration service
//! is down for the last `OUTAGE_S` seconds of the run.

use std::collections::BTreeMap;
use std::time::{Duration, Instant};

use bytes::Bytes;
use daisyyard::at_most_once::{End, Exchange, run_once};
use daisyyard::call_registry::{self, Claim, GetStats};
use daisyyard_core::attempt::Progress;
use daisyyard_core::id;
use daisyyard_standin::outage::Faults;
use daisyyard_standin::store::Store;
use hdrhistogram::Histogram;

/// Time between two batches of claims.
const BATCH_INTERVAL: Duration = Duration::from_millis(5);

#[tokio::main]
async fn main() -> anyhow::Result<()> {
    let mut numbers = std::env::args().skip(1).map(|text| text.parse::<u32>());
    let mut number = |default| numbers.next().unwrap_or(Ok(default));
    let (nodes, claims_per_s) = (number(1)?, number(3000)?);
    let (duration_s, outage_s) = (number(10)?, number(0)?);
    let store = Store::start().await?;
    let nodes: Vec<_> = (0..nodes)
        .map(|_| call_registry::spawn(store.address))
        .collect();
    let start = Instant::now();
    let mut runs = tokio::task::JoinSet::new();
    let mut interval = tokio::time::interval(BATCH_INTERVAL);
    let duration = Duration::from_secs(duration_s.into());
    let outage_start = duration.saturating_sub(Duration::from_secs(outage_s.into()));
    let mut started = 0;
    while start.elapsed() < duration {
        interval.tick().await;
        if outage_s > 0 && start.elapsed() > outage_start {
            store.faults.set(Faults {
                down: true,
                ..Faults::default()
            });
        }
        let due = (start.elapsed().as_secs_f64() * f64::from(claims_per_s)) as usize;
        for number in started..due {
            let claim = Claim {
                account: 1,
                service: 2,
                key: number.to_string(),
                fingerprint: id::fingerprint(0, b"body"),
            };
            let calls = nodes[number % nodes.len()].clone();
            runs.spawn(async move {
                let submitted = Instant::now();
                let (mark, sent_at) = tokio::sync::oneshot::channel();
                let send = move || async move {
                    let _ = mark.send(Instant::now());
                    Exchange {
                        progress: Progress::Answered,
                        answer: Some((200, Bytes::from_static(b"{\"ok\":true}"))),
                    }
                };
                let end = run_once(calls, claim, send).await;
                let confirmed = sent_at.await.unwrap_or_else(|_| Instant::now());
                (end, confirmed - submitted)
            });
        }
        started = due;
    }
    let mut latency: BTreeMap<&str, Histogram<u64>> = BTreeMap::new();
    while let Some(run) = runs.join_next().await {
        let (end, elapsed) = run?;
        let name = match end {
            End::Answer(..) => "answered",
            End::Unavailable => "refused unknown",
            _ => "other",
        };
        let histogram = latency.entry(name).or_insert(Histogram::new(3)?);
        histogram.record(elapsed.as_micros() as u64)?;
    }
    let mut writes = 0;
    let mut reads = 0;
    let mut unwritten = 0;
    for node in &nodes {
        let stats = node.send(GetStats).await?;
        writes += stats.writes;
        reads += stats.reads;
        unwritten += stats.unwritten;
    }
    let elapsed = start.elapsed().as_secs_f64();
    println!("claims {started} in {elapsed:.2} s, {} nodes", nodes.len());
    println!(
        "writes {writes} ({:.1}/s), reads {reads} ({:.1}/s), outcomes not yet written {unwritten}",
        writes as f64 / elapsed,
        reads as f64 / elapsed,
    );
    for (name, histogram) in latency {
        let at = |quantile| histogram.value_at_quantile(quantile) as f64 / 1e3;
        println!(
            "{name}: {}, p50 {:.1} ms, p99 {:.1} ms, max {:.1} ms",
            histogram.len(),
            at(0.5),
            at(0.99),
            at(1.0)
        );
    }
    Ok(())
}
