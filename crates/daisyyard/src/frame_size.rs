//! Sizes in bytes of the frames between nodes and of the preset document, for `experiment scale`.

use std::time::{Duration, Instant};

use daisyyard_core::id;
use daisyyard_core::instance::Instance;
use daisyyard_core::ledger::Digest;
use daisyyard_core::member::View;
use daisyyard_core::preset::{Document, Preset};
use daisyyard_core::zone::Zone;
use daisyyard_lab::scale::Series;

use crate::document::Json;
use crate::peer::LENGTH_PREFIX_BYTES;
use crate::wire::{self, Answer, Ask, Heartbeat, Message, Output, Verdict};

/// Numbers of nodes described by a heartbeat.
const NODE_COUNTS: [u64; 4] = [8, 32, 128, 360];
/// Numbers of generations in a progress frame.
const GENERATION_COUNTS: [u64; 4] = [1, 4, 32, 104];
/// Numbers of services in a preset.
const SERVICE_COUNTS: [u64; 4] = [1, 2, 5, 10];
/// Numbers of presets in a document.
const PRESET_COUNTS: [u64; 4] = [1, 4, 16, 64];

/// Measures the sizes of all frames and of the document.
pub(crate) fn measure() -> anyhow::Result<Vec<Series>> {
    let progress = |number| Output {
        endpoint: id::of("engine"),
        request: id::of("request") + number,
        generated: 500,
    };
    let ask = Message::Ask(Ask {
        endpoint: id::of("engine"),
        service: id::of("model"),
        request: id::of("request"),
        account: id::of("account"),
        rank: daisyyard_core::contract::Rank::Urgent,
        prompt: 600,
        cached: 300,
        expected: 256,
        max_wait: Duration::from_secs(2),
    });
    let answer = Message::Answer(Answer {
        request: id::of("request"),
        verdict: Verdict::Grant,
        digest: Some(Digest {
            endpoint: id::of("engine"),
            running: 40,
            queued: 2,
            free_tokens: 30_000,
            token_gap: Duration::from_millis(25),
        }),
    });
    let release = Message::Release(progress(0));
    let measure_frame = |name, sizes: &[u64], message: &dyn Fn(u64) -> Message| {
        let axis = match name {
            "progress frame" => "generations",
            "heartbeat frame" | "heartbeat frame with places" => "nodes",
            _ => "none",
        };
        Series::measure(name, axis, "B", sizes, |size| {
            Ok(frame_bytes(message(size)))
        })
    };
    let measure_document = |name, axis, sizes: &[u64], counts: fn(u64) -> (u64, u64)| {
        Series::measure(name, axis, "B", sizes, |size| {
            let (presets, services) = counts(size);
            Ok(Json::from(&document(presets, services)).0.len() as f64)
        })
    };
    Ok(vec![
        measure_frame("ask frame", &[1], &|_| ask.clone())?,
        measure_frame("answer frame", &[1], &|_| answer.clone())?,
        measure_frame("release frame", &[1], &|_| release.clone())?,
        measure_frame("progress frame", &GENERATION_COUNTS, &|size| {
            Message::Progress((0..size).map(progress).collect())
        })?,
        measure_frame("heartbeat frame", &NODE_COUNTS, &|size| {
            heartbeat(size, false)
        })?,
        measure_frame("heartbeat frame with places", &NODE_COUNTS, &|size| {
            heartbeat(size, true)
        })?,
        measure_document(
            "document of one preset",
            "services",
            &SERVICE_COUNTS,
            |size| (1, size),
        )?,
        measure_document(
            "document of 5 services",
            "presets",
            &PRESET_COUNTS,
            |size| (size, 5),
        )?,
    ])
}

/// Returns the size of a frame, including its length prefix.
fn frame_bytes(message: Message) -> f64 {
    (wire::encode(message).len() as u64 + LENGTH_PREFIX_BYTES) as f64
}

/// Returns the heartbeat of a node that knows a number of nodes and has no changes left to send;
/// `full` adds the names, zones and addresses of the nodes.
fn heartbeat(nodes: u64, full: bool) -> Message {
    let node = |number: u64| {
        let host = [10, 1, (number >> 8) as u8, number as u8];
        let (callers, peers) = ((host, 8_000).into(), (host, 9_000).into());
        let zone = Zone::new(&format!("zone-{}", number % 6), "one");
        Instance {
            // A node uses its start time in milliseconds since 1970 as its incarnation.
            incarnation: 1_800_000_000_000,
            ..Instance::new(&format!("node-{number}"), zone, callers, peers)
        }
    };
    let mut view = View::new(node(0));
    view.merge_list((1..nodes).map(node), Instant::now());
    for _ in 0..nodes {
        view.heartbeat_record();
        view.records(false);
    }
    Message::Heartbeat(Heartbeat {
        sender: view.heartbeat_record(),
        revision: 1_800,
        records: view.records(full),
    })
}

/// Returns a document with a number of presets, each with a number of services.
fn document(presets: u64, services: u64) -> Document {
    let names: Vec<String> = (0..services).map(|n| format!("model-{n}")).collect();
    let names: Vec<&str> = names.iter().map(String::as_str).collect();
    let mut document = Document::initial(Preset::ordinary(&names));
    for number in 1..presets {
        let name = format!("preset-{number}");
        let preset = Preset {
            name: name.clone(),
            ..Preset::ordinary(&names)
        };
        document.presets.insert(name, preset);
    }
    document
}
