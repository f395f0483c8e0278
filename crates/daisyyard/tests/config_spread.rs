//! Guards against changes that reach some nodes late or never, and against excessive control
//! traffic.

mod cluster;

use std::time::{Duration, Instant};

use assert_matches::assert_matches;
use cluster::Cluster;
use daisyyard::editor::Outcome;
use daisyyard_core::preset::Edit;

/// Time within which a change must be active at all nodes.
const SPREAD_TIMEOUT: Duration = Duration::from_secs(14);
/// Limit of the control traffic of a node, sent and received.
const MAX_BYTES_PER_SECOND: u64 = 24_000;

/// Each of 40 changes, made at nodes in turn, becomes active at all 8 nodes in time.
#[tokio::test(flavor = "multi_thread")]
async fn reaches_all() {
    let cluster = Cluster::start(8, 0).await;
    let mut delays = Vec::new();
    for revision in 1..=40 {
        // A watcher reads each change once, and its budget allows 5 calls per second.
        tokio::time::sleep(Duration::from_millis(300)).await;
        let node = &cluster.nodes[revision as usize % 8];
        let edit = Edit::Put(cluster::preset(&format!("preset-{}", revision % 4)));
        let started = Instant::now();
        let outcome = node.edit(edit, "ines", revision - 1).await;
        assert_matches!(outcome, Outcome::Accepted(_));
        let met = cluster
            .wait_until(SPREAD_TIMEOUT, |status| {
                status.document.revision == revision
            })
            .await;
        delays.extend(met.into_iter().map(|met| met - started));
    }
    delays.sort_unstable();
    let p99 = delays[delays.len() * 99 / 100];
    println!(
        "spread at 8 nodes: p50 {:?} p99 {p99:?}",
        delays[delays.len() / 2]
    );
}

/// Heartbeats of 8 nodes stay within the budget of control traffic.
#[tokio::test(flavor = "multi_thread")]
async fn bounds_traffic() {
    let cluster = Cluster::start(8, 0).await;
    let mut before = Vec::new();
    for node in &cluster.nodes {
        before.push(node.status().await.expect("the node runs").traffic);
    }
    tokio::time::sleep(Duration::from_secs(10)).await;
    for (node, before) in cluster.nodes.iter().zip(before) {
        let after = node.status().await.expect("the node runs").traffic;
        let sent = (after.sent - before.sent) / 10;
        let received = (after.received - before.received) / 10;
        println!("bytes per second: sent {sent} received {received}");
        assert!(sent > 0 && sent + received < MAX_BYTES_PER_SECOND);
    }
}
