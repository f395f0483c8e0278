//! Guards against a request that crashes more engines because it is sent through another node.

mod cluster;

use std::time::Duration;

use cluster::{Cluster, MODEL};
use daisyyard::node::Node;
use hyper::{Method, StatusCode};
use serde_json::{Value, json};

/// Prompt that crashes the engine that runs it.
const POISON: &str = "a declaration crash=1";

/// Sends the poison request through a node and returns the status and the code of the refusal.
async fn send_poison(node: &Node) -> (StatusCode, String) {
    let body = json!({"model": MODEL, "messages": [{"role": "user", "content": POISON}]});
    let headers = [("authorization", "Bearer token-member-0001")];
    let path = "/v1/chat/completions";
    let call = daisyyard_http::call(node.address, Method::POST, path, &headers, body.to_string());
    let answer = tokio::time::timeout(Duration::from_secs(20), call).await;
    let (status, body) = answer.expect("an answer in time").expect("an answer");
    let value: Value = serde_json::from_slice(&body).expect("JSON");
    let code = value["error"]["code"].as_str().unwrap_or_default();
    (status, code.to_owned())
}

/// Returns the number of engines that crashed.
async fn crashed_engines(cluster: &Cluster) -> usize {
    let mut crashed = 0;
    for engine in &cluster.engines {
        let socket = tokio::net::TcpStream::connect(engine.address).await;
        crashed += usize::from(socket.is_err());
    }
    crashed
}

/// The same request sent through 3 nodes, 1 s apart, crashes at most 2 engines; afterwards every
/// node refuses it.
#[tokio::test(flavor = "multi_thread")]
async fn three_nodes() {
    let cluster = Cluster::start(3, 8).await;
    for node in cluster.nodes.iter().chain(&cluster.nodes) {
        let (status, _) = send_poison(node).await;
        assert!(!status.is_success());
        tokio::time::sleep(Duration::from_secs(1)).await;
    }
    let crashes = crashed_engines(&cluster).await;
    println!("engines crashed: {crashes}");
    assert!(crashes <= 2, "{crashes} engines crashed");
    for node in &cluster.nodes {
        let (status, code) = send_poison(node).await;
        assert_eq!(status, StatusCode::UNPROCESSABLE_ENTITY);
        assert_eq!(code, "suspected_crash");
    }
}

/// A node that starts after the crashes learns of them over its first link.
#[tokio::test(flavor = "multi_thread")]
async fn late_node() {
    let mut cluster = Cluster::start(1, 8).await;
    for _ in 0..3 {
        send_poison(&cluster.nodes[0]).await;
    }
    let before = crashed_engines(&cluster).await;
    assert_eq!(before, 2);
    cluster.add_node().await;
    let linked = |status: &daisyyard::status::Status| !status.links.is_empty();
    cluster.wait_until(Duration::from_secs(5), linked).await;
    tokio::time::sleep(Duration::from_secs(1)).await;
    let (_, code) = send_poison(&cluster.nodes[1]).await;
    assert_eq!(code, "suspected_crash");
    assert_eq!(crashed_engines(&cluster).await, before);
}
