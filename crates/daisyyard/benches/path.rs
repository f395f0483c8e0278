//! Overhead of the path through one node: streams from stand-in engines are read directly and
//! through the node. `cargo bench -p daisyyard --bench path` prints the rows of
//! `docs/overhead.md`.

use std::net::SocketAddr;
use std::time::{Duration, Instant};

use daisyyard::node::Node;
use daisyyard::settings::{Credential, Settings, Timing};
use daisyyard_standin::engine::{Engine, Options};
use daisyyard_standin::instance_list::{Entry, List};
use daisyyard_standin::store::Store;
use hdrhistogram::Histogram;
use http_body_util::BodyExt;
use hyper::Method;
use serde_json::json;
use tokio::runtime::{Builder, Runtime};
use tokio::task::JoinSet;

/// Engines behind the node.
const ENGINES: usize = 12;
/// Streams one after another for the latency of an idle path.
const SINGLES: usize = 40;
/// Tokens of each of these streams.
const SINGLE_LENGTH: usize = 100;
/// Concurrent streams at which the rate is measured.
const LOADS: [usize; 6] = [8, 64, 128, 256, 512, 700];
/// Time for which streams begin at each load.
const PERIOD: Duration = Duration::from_secs(4);
/// Threads of the node's runtime.
const NODE_THREADS: usize = 2;
/// Credential of the caller.
const TOKEN: &str = "member-1-token-0";

/// What callers measured, in microseconds.
struct Measure {
    /// Time from the request to the first token.
    first: Histogram<u64>,
    /// Time between two tokens.
    gaps: Histogram<u64>,
    /// Tokens in all.
    tokens: u64,
    /// Requests that gave no whole answer.
    failed: u64,
}

impl Measure {
    /// Creates an empty measurement.
    fn new() -> Self {
        let histogram = || Histogram::new_with_bounds(1, 60_000_000, 3).expect("valid bounds");
        Self {
            first: histogram(),
            gaps: histogram(),
            tokens: 0,
            failed: 0,
        }
    }

    /// Adds another measurement.
    fn add(&mut self, other: &Self) {
        self.first.add(&other.first).expect("the same bounds");
        self.gaps.add(&other.gaps).expect("the same bounds");
        self.tokens += other.tokens;
        self.failed += other.failed;
    }

    /// Prints one row.
    fn print(&self, name: &str, elapsed: Duration) {
        let millis = |h: &Histogram<u64>, q| h.value_at_quantile(q) as f64 / 1e3;
        println!(
            "| {name} | {:.2} | {:.2} | {:.2} | {:.2} | {:.0} | {} |",
            millis(&self.first, 0.5),
            millis(&self.first, 0.99),
            millis(&self.gaps, 0.5),
            millis(&self.gaps, 0.99),
            self.tokens as f64 / elapsed.as_secs_f64(),
            self.failed,
        );
    }
}

fn main() {
    let runtime = |threads| -> Runtime {
        let mut builder = Builder::new_multi_thread();
        let built = builder.worker_threads(threads).enable_all().build();
        built.expect("a runtime starts")
    };
    // The node has threads of its own, so that the stand-ins and callers do not count as its cost.
    let (platform, node, callers) = (runtime(4), runtime(NODE_THREADS), runtime(4));
    let (engines, list, store) = platform.block_on(start());
    let under_test = node.block_on(node_at(list.address, store.address));
    let targets: Vec<SocketAddr> = engines.iter().map(|engine| engine.address).collect();
    let nodes = [under_test.address];
    println!("| path | first p50 ms | p99 | between p50 ms | p99 | tokens/s | failed |");
    println!("|---|---|---|---|---|---|---|");
    for (name, targets) in [("direct", targets.as_slice()), ("node", nodes.as_slice())] {
        callers.block_on(singles(name, targets));
        for load in LOADS {
            callers.block_on(concurrent(name, targets, load));
        }
    }
    drop(under_test);
}

/// Starts engines with short steps, the list and the configuration service.
async fn start() -> (Vec<Engine>, List, Store) {
    let options = Options {
        step_time: Duration::from_millis(1),
        step_time_per_generation: Duration::ZERO,
        slots: 256,
        memory_tokens: 1 << 24,
    };
    let mut engines = Vec::new();
    let mut entries = Vec::new();
    for index in 0..ENGINES {
        let engine = Engine::start(options.clone())
            .await
            .expect("a port is free");
        entries.push(Entry {
            name: format!("engine-{index}"),
            role: "engine".to_owned(),
            service: "asistente".to_owned(),
            zone: "costa-a".to_owned(),
            region: "costa".to_owned(),
            address: engine.address,
            peer: engine.address,
            state: "live".to_owned(),
        });
        engines.push(engine);
    }
    let list = List::start(entries).await.expect("a port is free");
    (engines, list, Store::start().await.expect("a port is free"))
}

/// Starts the node under test.
async fn node_at(list: SocketAddr, store: SocketAddr) -> Node {
    let free = SocketAddr::from(([127, 0, 0, 1], 0));
    let settings = Settings {
        name: "node-0".to_owned(),
        zone: "costa-a".to_owned(),
        region: "costa".to_owned(),
        listen: free,
        peer: free,
        list,
        store,
        key: "bench-fleet-key".to_owned(),
        services: vec!["asistente".to_owned()],
        accounts: vec![Credential {
            name: "member-1".to_owned(),
            token: TOKEN.to_owned(),
        }],
        operators: Vec::new(),
        timing: Timing::default(),
        log: Settings::LOG,
    };
    Node::start(settings).await.expect("the node starts")
}

/// Measures streams one after another.
async fn singles(name: &str, targets: &[SocketAddr]) {
    let (started, mut all) = (Instant::now(), Measure::new());
    for number in 0..SINGLES {
        all.add(&stream(targets[number % targets.len()], SINGLE_LENGTH).await);
    }
    all.print(&format!("{name}, 1 stream"), started.elapsed());
}

/// Measures concurrent streams.
async fn concurrent(name: &str, targets: &[SocketAddr], load: usize) {
    let started = Instant::now();
    let mut callers = JoinSet::new();
    for number in 0..load {
        let target = targets[number % targets.len()];
        callers.spawn(async move {
            let mut all = Measure::new();
            while started.elapsed() < PERIOD {
                all.add(&stream(target, 400).await);
            }
            all
        });
    }
    let mut all = Measure::new();
    while let Some(done) = callers.join_next().await {
        all.add(&done.expect("no caller panics"));
    }
    all.print(&format!("{name}, {load} streams"), started.elapsed());
}

/// Reads one stream.
async fn stream(address: SocketAddr, length: usize) -> Measure {
    let prompt = format!(
        "a customs declaration {} length={length}",
        rand::random::<u64>()
    );
    let message = json!({"role": "user", "content": prompt});
    let body = json!({"model": "asistente", "stream": true, "messages": [message]});
    let bearer = format!("Bearer {TOKEN}");
    let headers = [("authorization", bearer.as_str())];
    let path = "/v1/chat/completions";
    let mut measure = Measure::new();
    let started = Instant::now();
    let opened = daisyyard_http::send(address, Method::POST, path, &headers, body.to_string());
    let Ok(response) = opened.await else {
        measure.failed += 1;
        return measure;
    };
    let mut body = response.into_body();
    let (mut last, mut tail) = (None, Vec::new());
    while let Some(Ok(frame)) = body.frame().await {
        let data = frame.into_data().unwrap_or_default();
        let now = Instant::now();
        // Each token's event has one `id: ` line, and events are not split by either writer.
        let events = data.windows(5).filter(|part| part == b"\nid: ").count();
        let events = events + usize::from(data.starts_with(b"id: "));
        for event in 0..events {
            let since = if event == 0 {
                last.unwrap_or(started)
            } else {
                now
            };
            let micros = (now - since).as_micros() as u64;
            let into = if last.is_none() {
                &mut measure.first
            } else {
                &mut measure.gaps
            };
            into.saturating_record(micros);
            last = Some(now);
        }
        measure.tokens += events as u64;
        tail = data.to_vec();
    }
    if measure.tokens != length as u64 || !tail.ends_with(b"[DONE]\n\n") {
        measure.failed += 1;
        // A refusal that is repeated at once would keep the processor busy for nothing.
        tokio::time::sleep(Duration::from_millis(20)).await;
    }
    measure
}
