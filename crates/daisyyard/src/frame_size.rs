//! Bytes of the frames between nodes and of the preset document.

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
use crate::wire::{self, Answer, Ask, Heartbeat, Made, Message, Verdict};

/// Nodes that a heartbeat describes.
const NODES: [u64; 4] = [8, 32, 128, 360];
/// Generations of one progress frame.
const MADE: [u64; 4] = [1, 4, 32, 104];
/// Services of a preset.
const SERVICES: [u64; 4] = [1, 2, 5, 10];
/// Presets of a document.
const PRESETS: [u64; 4] = [1, 4, 16, 64];

/// Measures the frames and the document.
pub(crate) fn measure() -> anyhow::Result<Vec<Series>> {
    let made = |number| Made {
        endpoint: id::of("engine"),
        request: id::of("request") + number,
        made: 500,
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
            free: 30_000,
            gap: Duration::from_millis(25),
        }),
    });
    let release = Message::Release(made(0));
    let count = |name, sizes: &[u64], message: &dyn Fn(u64) -> Message| {
        let axis = match name {
            "progress frame" => "generations",
            "heartbeat frame" | "heartbeat frame with places" => "nodes",
            _ => "none",
        };
        Series::measure(name, axis, "B", sizes, |size| Ok(frame(message(size))))
    };
    let document = |name, axis, sizes: &[u64], shape: fn(u64) -> (u64, u64)| {
        Series::measure(name, axis, "B", sizes, |size| {
            let (presets, services) = shape(size);
            Ok(Json::from(&document(presets, services)).0.len() as f64)
        })
    };
    Ok(vec![
        count("ask frame", &[1], &|_| ask.clone())?,
        count("answer frame", &[1], &|_| answer.clone())?,
        count("release frame", &[1], &|_| release.clone())?,
        count("progress frame", &MADE, &|size| {
            Message::Progress((0..size).map(made).collect())
        })?,
        count("heartbeat frame", &NODES, &|size| heartbeat(size, false))?,
        count("heartbeat frame with places", &NODES, &|size| {
            heartbeat(size, true)
        })?,
        document("document of one preset", "services", &SERVICES, |size| {
            (1, size)
        })?,
        document("document of 5 services", "presets", &PRESETS, |size| {
            (size, 5)
        })?,
    ])
}

/// Returns the bytes of a frame with its length.
fn frame(message: Message) -> f64 {
    (wire::encode(message).len() as u64 + LENGTH_PREFIX_BYTES) as f64
}

/// Returns a heartbeat of a node that knows some nodes, once no change is left to tell.
fn heartbeat(nodes: u64, full: bool) -> Message {
    let node = |number: u64| {
        let host = [10, 1, (number >> 8) as u8, number as u8];
        let (callers, peers) = ((host, 8_000).into(), (host, 9_000).into());
        let zone = Zone::new(&format!("zone-{}", number % 6), "one");
        Instance {
            // A node starts with the milliseconds since 1970 as its incarnation.
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

/// Returns a document with some presets of some services.
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
