//! Guards against requests that hang or fail when the home node of an engine is lost, and against
//! requests of other nodes that bypass the engine's ledger.

mod cluster;

use std::time::{Duration, Instant};

use cluster::{Cluster, MODEL};
use daisyyard::link::{self, Role};
use daisyyard::wire::{Ask, Heartbeat, Message, Verdict};
use daisyyard_core::contract::Rank;
use daisyyard_core::instance::{Instance, State};
use daisyyard_core::member::View;
use daisyyard_core::{home, id};
use daisyyard_standin::engine;
use hyper::{Method, StatusCode};
use serde_json::{Value, json};

/// Time after which a silent node is gone, including the time to detect it.
const GONE_TIMEOUT: Duration = Duration::from_secs(14);

/// Requests an answer that is not streamed and returns its status and JSON body.
async fn request(address: std::net::SocketAddr, prompt: &str) -> (StatusCode, Value) {
    let body = json!({"model": MODEL, "messages": [{"role": "user", "content": prompt}]});
    let headers = [("authorization", "Bearer token-member-0001")];
    let path = "/v1/chat/completions";
    let call = daisyyard_http::call(address, Method::POST, path, &headers, body.to_string());
    let answer = tokio::time::timeout(Duration::from_secs(20), call).await;
    let (status, bytes) = answer.expect("an answer in time").expect("an answer");
    (status, serde_json::from_slice(&bytes).expect("JSON"))
}

/// Sends a request and checks that its answer is complete.
async fn request_complete(address: std::net::SocketAddr, prompt: &str) {
    let (status, value) = request(address, prompt).await;
    assert_eq!(status, StatusCode::OK, "{value}");
    let text = value["choices"][0]["message"]["content"].as_str();
    assert_eq!(text, Some(engine::text(prompt).as_str()));
}

/// Sends a request, retries it after the time that each refusal states, and checks its answer.
async fn request_with_retries(address: std::net::SocketAddr, prompt: &str) {
    let started = Instant::now();
    loop {
        let (status, value) = request(address, prompt).await;
        if status == StatusCode::OK {
            let text = value["choices"][0]["message"]["content"].as_str();
            assert_eq!(text, Some(engine::text(prompt).as_str()));
            return;
        }
        assert_eq!(value["error"]["code"], "overloaded", "{value}");
        assert_eq!(value["error"]["outcome"], "not_run", "{value}");
        let wait = value["error"]["retry_after_ms"].as_u64();
        let wait = Duration::from_millis(wait.expect("a time to come back"));
        assert!(
            started.elapsed() + wait < Duration::from_secs(20),
            "{value}"
        );
        tokio::time::sleep(wait).await;
    }
}

/// Returns the index of the node that is the home of the only engine.
fn home_index(nodes: usize) -> usize {
    let ids: Vec<u64> = (0..nodes).map(|n| id::of(&format!("node-{n}"))).collect();
    let home = home::of(id::of("engine-0"), ids.iter().copied()).expect("a home");
    ids.iter()
        .position(|id| *id == home)
        .expect("the home's number")
}

/// Every node serves requests through the home; after its loss first with its local share, then
/// through the next home.
#[tokio::test(flavor = "multi_thread")]
async fn serves_on() {
    let mut cluster = Cluster::start(4, 1).await;
    for node in &cluster.nodes {
        request_complete(node.address, "before the loss length=3").await;
    }
    let lost_home = home_index(4);
    drop(cluster.nodes.remove(lost_home));
    let killed = Instant::now();
    let mut slowest = Duration::ZERO;
    while killed.elapsed() < GONE_TIMEOUT {
        for node in &cluster.nodes {
            let started = Instant::now();
            request_complete(node.address, "after the loss length=3").await;
            slowest = slowest.max(started.elapsed());
        }
        tokio::time::sleep(Duration::from_millis(50)).await;
    }
    println!("slowest request after the loss of the home: {slowest:?}");
    let name = format!("node-{lost_home}");
    for node in &cluster.nodes {
        let status = node.status().await.expect("the node runs");
        let member = status.members.iter().find(|member| member.name == name);
        assert_eq!(member.expect("a member").state, State::Gone);
    }
}

/// Requests of all nodes to one engine are admitted by one ledger: the engine never has more
/// requests than slots, whichever nodes receive them.
#[tokio::test(flavor = "multi_thread")]
async fn one_ledger() {
    let cluster = Cluster::start(4, 1).await;
    let prompt = "many at once length=40";
    let calls =
        (0..160).map(|number| request_with_retries(cluster.nodes[number % 4].address, prompt));
    let calls = futures_util::future::join_all(calls);
    let mut highest = 0;
    let sample = async {
        loop {
            let load = cluster.engines[0].load().await.expect("the engine runs");
            let requests =
                load["running"].as_u64().unwrap_or(0) + load["waiting"].as_u64().unwrap_or(0);
            highest = highest.max(requests);
            tokio::time::sleep(Duration::from_millis(2)).await;
        }
    };
    tokio::select! {
        _ = calls => {}
        () = sample => {}
    }
    println!("highest number of requests at the engine: {highest}");
    assert!(highest > 16, "the nodes share more than one node's part");
    assert!(
        highest <= 64,
        "the engine has 64 slots and {highest} requests"
    );
}

/// Accepts links as a node that sends heartbeats and answers nothing.
async fn accept_silently(listener: tokio::net::TcpListener, name: String) {
    let node = id::of(&name);
    while let Ok((socket, address)) = listener.accept().await {
        let peer = listener.local_addr().expect("an address");
        let zone = daisyyard_core::zone::Zone::new(cluster::ZONES[0], "costa");
        let mut instance = Instance::new(&name, zone, address, peer);
        instance.incarnation = 1;
        let heartbeat = Message::Heartbeat(Heartbeat {
            sender: View::new(instance).hello_record(),
            revision: 0,
            records: Vec::new(),
        });
        tokio::spawn(async move {
            let mut socket = link::framed(socket);
            let key = cluster::KEY.as_bytes();
            let handshake = link::handshake(&mut socket, key, node, Role::Acceptor).await;
            handshake.expect("the key is right");
            let mut interval = tokio::time::interval(Duration::from_secs(1));
            loop {
                tokio::select! {
                    _ = interval.tick() => {
                        if link::send(&mut socket, heartbeat.clone()).await.is_err() {
                            return;
                        }
                    }
                    frame = link::receive(&mut socket) => {
                        if frame.is_err() {
                            return;
                        }
                    }
                }
            }
        });
    }
}

/// A home that is alive but does not answer delays a request only briefly.
#[tokio::test(flavor = "multi_thread")]
async fn unresponsive_home() {
    let mut cluster = Cluster::start(1, 1).await;
    let engine = id::of("engine-0");
    let weight = |name: &str| home::weight(engine, id::of(name));
    let name = (0..).map(|number| format!("deaf-{number}"));
    let name = name
        .into_iter()
        .find(|name| weight(name) > weight("node-0"))
        .expect("a name");
    let listener = tokio::net::TcpListener::bind("127.0.0.1:0").await;
    let listener = listener.expect("a port");
    let address = listener.local_addr().expect("an address");
    let mut entries = cluster.list.entries();
    entries.push(cluster::entry(&name, "node", 0, address, address));
    cluster.list.set_entries(entries);
    let task = tokio::spawn(accept_silently(listener, name));
    let linked = |status: &daisyyard::status::Status| status.links.len() == 1;
    cluster.wait_until(Duration::from_secs(10), linked).await;
    let started = Instant::now();
    request_complete(cluster.nodes[0].address, "the home is deaf length=3").await;
    let first = started.elapsed();
    println!("first request with an unresponsive home: {first:?}");
    assert!(first < Duration::from_secs(2), "{first:?}");
    task.abort();
    cluster.nodes.clear();
}

/// A node that is not the home of an engine says so instead of creating a second ledger.
#[tokio::test(flavor = "multi_thread")]
async fn not_home() {
    let cluster = Cluster::start(3, 1).await;
    let home = home_index(3);
    for (number, node) in cluster.nodes.iter().enumerate() {
        let socket = tokio::net::TcpStream::connect(node.peer).await;
        let mut socket = link::framed(socket.expect("the node listens"));
        let key = cluster::KEY.as_bytes();
        let handshake = link::handshake(&mut socket, key, 7, Role::Dialler).await;
        handshake.expect("the key is right");
        let ask = Ask {
            endpoint: id::of("engine-0"),
            service: id::of(MODEL),
            request: 1,
            account: 1,
            rank: Rank::Urgent,
            prompt: 10,
            cached: 0,
            expected: 10,
            max_wait: Duration::from_secs(1),
        };
        // The second Ask must get the same answer, in case the first answer was lost.
        for _ in 0..2 {
            let sent = link::send(&mut socket, Message::Ask(ask.clone())).await;
            sent.expect("sent");
            let verdict = loop {
                let message = link::receive(&mut socket).await.expect("a frame");
                if let Message::Answer(answer) = message {
                    break answer.verdict;
                }
            };
            let expected = if number == home {
                Verdict::Grant
            } else {
                Verdict::NotHome
            };
            assert_eq!(verdict, expected);
        }
    }
}
