//! Measures the overhead of a node by reading streams from stand-in engines directly and through
//! the node. `cargo bench -p daisyyard --bench path` prints the rows of `docs/overhead.md`.

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

/// Number of engines behind the node.
const ENGINES: usize = 12;
/// Number of sequential streams that measure the latency without load.
const SEQUENTIAL_STREAMS: usize = 40;
/// Length of each sequential stream, in tokens.
const SEQUENTIAL_STREAM_TOKENS: usize = 100;
/// Numbers of concurrent streams at which latency and throughput are measured.
const CONCURRENT_STREAMS: [usize; 6] = [8, 64, 128, 256, 512, 700];
/// Time for which new streams are started at each number of concurrent streams.
const LOAD_DURATION: Duration = Duration::from_secs(4);
/// Number of threads of the node's runtime.
const NODE_THREADS: usize = 2;
/// Bearer token of the caller.
const CALLER_TOKEN: &str = "member-1-token-0";

/// Latencies measured by callers, in microseconds, and their counts.
struct Measurement {
    /// Times from the request to the first token.
    first_token: Histogram<u64>,
    /// Times between two tokens.
    token_gaps: Histogram<u64>,
    /// Number of tokens received.
    tokens: u64,
    /// Number of requests without a complete answer.
    failed: u64,
}

impl Measurement {
    /// Creates an empty measurement.
    fn new() -> Self {
        let histogram = || Histogram::new_with_bounds(1, 60_000_000, 3).expect("valid bounds");
        Self {
            first_token: histogram(),
            token_gaps: histogram(),
            tokens: 0,
            failed: 0,
        }
    }

    /// Adds another measurement.
    fn add(&mut self, other: &Self) {
        self.first_token
            .add(&other.first_token)
            .expect("the same bounds");
        self.token_gaps
            .add(&other.token_gaps)
            .expect("the same bounds");
        self.tokens += other.tokens;
        self.failed += other.failed;
    }

    /// Prints a row of the Markdown table.
    fn print_row(&self, name: &str, elapsed: Duration) {
        let millis = |h: &Histogram<u64>, q| h.value_at_quantile(q) as f64 / 1e3;
        println!(
            "| {name} | {:.2} | {:.2} | {:.2} | {:.2} | {:.0} | {} |",
            millis(&self.first_token, 0.5),
            millis(&self.first_token, 0.99),
            millis(&self.token_gaps, 0.5),
            millis(&self.token_gaps, 0.99),
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
    // The node has its own threads, so that the work of stand-ins and callers is not counted as
    // its cost.
    let (platform, node, callers) = (runtime(4), runtime(NODE_THREADS), runtime(4));
    let (engines, list, store) = platform.block_on(start_platform());
    let node_under_test = node.block_on(start_node(list.address, store.address));
    let targets: Vec<SocketAddr> = engines.iter().map(|engine| engine.address).collect();
    let nodes = [node_under_test.address];
    println!("| path | first p50 ms | p99 | between p50 ms | p99 | tokens/s | failed |");
    println!("|---|---|---|---|---|---|---|");
    for (name, targets) in [("direct", targets.as_slice()), ("node", nodes.as_slice())] {
        callers.block_on(measure_sequential(name, targets));
        for streams in CONCURRENT_STREAMS {
            callers.block_on(measure_concurrent(name, targets, streams));
        }
    }
    drop(node_under_test);
}

/// Starts engines with short steps, the instance list and the configuration service.
async fn start_platform() -> (Vec<Engine>, List, Store) {
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
async fn start_node(instance_list: SocketAddr, store: SocketAddr) -> Node {
    let free = SocketAddr::from(([127, 0, 0, 1], 0));
    let settings = Settings {
        name: "node-0".to_owned(),
        zone: "costa-a".to_owned(),
        region: "costa".to_owned(),
        listen: free,
        peer: free,
        instance_list,
        store,
        key: "bench-fleet-key".to_owned(),
        services: vec!["asistente".to_owned()],
        accounts: vec![Credential {
            name: "member-1".to_owned(),
            token: CALLER_TOKEN.to_owned(),
        }],
        operators: Vec::new(),
        timing: Timing::default(),
        log: Settings::DEFAULT_LOG,
    };
    Node::start(settings).await.expect("the node starts")
}

/// Measures sequential streams and prints their row.
async fn measure_sequential(name: &str, targets: &[SocketAddr]) {
    let (started, mut all) = (Instant::now(), Measurement::new());
    for number in 0..SEQUENTIAL_STREAMS {
        all.add(&measure_stream(targets[number % targets.len()], SEQUENTIAL_STREAM_TOKENS).await);
    }
    all.print_row(&format!("{name}, 1 stream"), started.elapsed());
}

/// Measures a number of concurrent streams and prints their row.
async fn measure_concurrent(name: &str, targets: &[SocketAddr], streams: usize) {
    let started = Instant::now();
    let mut callers = JoinSet::new();
    for number in 0..streams {
        let target = targets[number % targets.len()];
        callers.spawn(async move {
            let mut all = Measurement::new();
            while started.elapsed() < LOAD_DURATION {
                all.add(&measure_stream(target, 400).await);
            }
            all
        });
    }
    let mut all = Measurement::new();
    while let Some(done) = callers.join_next().await {
        all.add(&done.expect("no caller panics"));
    }
    all.print_row(&format!("{name}, {streams} streams"), started.elapsed());
}

/// Reads a stream of `length` tokens and measures its latencies.
async fn measure_stream(address: SocketAddr, length: usize) -> Measurement {
    let prompt = format!(
        "a customs declaration {} length={length}",
        rand::random::<u64>()
    );
    let message = json!({"role": "user", "content": prompt});
    let body = json!({"model": "asistente", "stream": true, "messages": [message]});
    let bearer = format!("Bearer {CALLER_TOKEN}");
    let headers = [("authorization", bearer.as_str())];
    let path = "/v1/chat/completions";
    let mut measurement = Measurement::new();
    let started = Instant::now();
    let opened = daisyyard_http::send(address, Method::POST, path, &headers, body.to_string());
    let Ok(response) = opened.await else {
        measurement.failed += 1;
        return measurement;
    };
    let mut body = response.into_body();
    let (mut last, mut tail) = (None, Vec::new());
    while let Some(Ok(frame)) = body.frame().await {
        let data = frame.into_data().unwrap_or_default();
        let now = Instant::now();
        // The event of a token has one `id: ` line. Neither the node nor the engine splits an event
        // over two body frames.
        let events = data.windows(5).filter(|part| part == b"\nid: ").count();
        let events = events + usize::from(data.starts_with(b"id: "));
        for event in 0..events {
            let since = if event == 0 {
                last.unwrap_or(started)
            } else {
                now
            };
            let micros = (now - since).as_micros() as u64;
            let histogram = if last.is_none() {
                &mut measurement.first_token
            } else {
                &mut measurement.token_gaps
            };
            histogram.saturating_record(micros);
            last = Some(now);
        }
        measurement.tokens += events as u64;
        tail = data.to_vec();
    }
    if measurement.tokens != length as u64 || !tail.ends_with(b"[DONE]\n\n") {
        measurement.failed += 1;
        // Retrying a refusal at once would only keep the processor busy.
        tokio::time::sleep(Duration::from_millis(20)).await;
    }
    measurement
}
