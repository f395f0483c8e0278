//! Processor time and memory of cluster membership: the view of all nodes, its heartbeats and its
//! ticks.

use std::hint::black_box;
use std::time::Instant;

use daisyyard_core::gossip::Record;
use daisyyard_core::instance::Instance;
use daisyyard_core::member::{MAX_RECORDS, View};

use crate::probe;
use crate::scale::Series;
use crate::scale_entry::zone;
use crate::scale_home::NODE_COUNTS;

/// Returns the instance of a node.
fn node(number: u64) -> Instance {
    let host = [10, 1, (number >> 8) as u8, number as u8];
    let (callers, peers) = ((host, 8_000).into(), (host, 9_000).into());
    Instance::new(&format!("node-{number}"), zone(number), callers, peers)
}

/// Returns the view of node 0 after it has sent all its changes.
fn view(nodes: u64, now: Instant) -> View {
    let mut view = View::new(node(0));
    view.merge_list((1..nodes).map(node), now);
    view.take_changes();
    for _ in 0..nodes {
        view.records(false);
    }
    view
}

/// Measures the resident memory of a view.
pub(crate) fn measure_memory() -> anyhow::Result<Vec<Series>> {
    let now = Instant::now();
    let series = Series::measure("membership view", "nodes", "B", &NODE_COUNTS, |size| {
        probe::resident_bytes(|| view(size, now))
    })?;
    Ok(vec![series])
}

/// Measures the processor time of heartbeats, ticks and the choice of peers.
pub(crate) fn measure_time() -> anyhow::Result<Vec<Series>> {
    let now = Instant::now();
    Ok(vec![
        Series::measure("heartbeat taken in", "nodes", "ns", &NODE_COUNTS, |size| {
            let mut view = view(size, now);
            let records = records(size, now);
            let mut number = 0;
            probe::cpu_ns(|| {
                for record in records.iter().cycle().skip(number).take(MAX_RECORDS) {
                    black_box(view.receive_relayed(record.clone(), now));
                }
                number = (number + MAX_RECORDS) % records.len();
            })
        })?,
        Series::measure(
            "heartbeat records made",
            "nodes",
            "ns",
            &NODE_COUNTS,
            |size| {
                let mut view = view(size, now);
                probe::cpu_ns(|| {
                    black_box(view.records(false));
                })
            },
        )?,
        Series::measure("membership tick", "nodes", "ns", &NODE_COUNTS, |size| {
            let mut view = view(size, now);
            probe::cpu_ns(|| view.tick(now))
        })?,
        Series::measure("choice of peers", "nodes", "ns", &NODE_COUNTS, |size| {
            let view = view(size, now);
            probe::cpu_ns(|| {
                black_box(view.peers());
            })
        })?,
    ])
}

/// Returns a record of each other node, as a peer sends them in its heartbeats.
fn records(nodes: u64, now: Instant) -> Vec<Record> {
    let mut view = view(nodes, now);
    let mut records = Vec::new();
    while records.len() + 1 < nodes as usize {
        records.extend(view.records(false));
    }
    records.truncate(nodes as usize - 1);
    records
}
