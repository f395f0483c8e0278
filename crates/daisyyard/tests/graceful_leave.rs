//! Guards against planned stops that peers do not learn of, that lose outcomes of calls, or that do
//! not end.

mod cluster;
mod process;

use std::net::SocketAddr;
use std::time::{Duration, Instant};

use cluster::{Cluster, MODEL};
use daisyyard::operator;
use daisyyard_core::instance::State;
use daisyyard_standin::instance_list::Entry;
use daisyyard_standin::outage::Faults;
use daisyyard_standin::plain::Service;
use daisyyard_standin::store::Store;
use hyper::{Method, StatusCode};
use serde_json::{Value, json};

/// Credential of the callers.
const CREDENTIAL: &str = "Bearer token-member-0001";

/// Returns the addresses that a node lists for callers.
async fn addresses(node: SocketAddr) -> Vec<String> {
    let call = daisyyard_http::call(node, Method::GET, "/addresses", &[], "");
    let (_, body) = call.await.expect("an answer");
    let value: Value = serde_json::from_slice(&body).expect("JSON");
    let listed = value["addresses"].as_array().expect("a list").iter();
    let listed = listed.map(|one| one.as_str().expect("an address").to_owned());
    listed.collect()
}

/// Makes a call with an idempotency key through a node.
async fn pay(node: SocketAddr, key: &str) -> StatusCode {
    let headers = [("authorization", CREDENTIAL), ("idempotency-key", key)];
    let path = "/services/libro-socios/payments";
    let call = daisyyard_http::call(node, Method::POST, path, &headers, "body");
    call.await.expect("an answer").0
}

/// Starts a plain endpoint and adds it to the instance list of a cluster.
async fn start_plain_endpoint(cluster: &Cluster) -> Service {
    let service = Service::start().await.expect("a port is free");
    let mut entries = cluster.list.entries();
    entries.push(Entry {
        service: "libro-socios".to_owned(),
        ..cluster::entry("plain-0", "plain", 0, service.address, service.address)
    });
    cluster.list.set_entries(entries);
    service
}

/// Peers learn of a planned stop from the node's own record within 1 s: they mark it as leaving and
/// no longer list its address, although the instance list still shows it as live.
#[tokio::test(flavor = "multi_thread")]
async fn notifies_peers() {
    let mut cluster = Cluster::start(3, 0).await;
    let node = cluster.nodes.remove(2);
    let leaving = node.address.to_string();
    for other in &cluster.nodes {
        let listed = addresses(other.address).await;
        assert!(listed.contains(&leaving), "{listed:?}");
    }
    let id = daisyyard_core::id::of("node-2");
    let stop = tokio::spawn(node.drain());
    let known = |status: &daisyyard::status::Status| {
        let member = status.members.iter().find(|member| member.id == id);
        member.is_some_and(|member| member.state == State::Leaving)
    };
    cluster.wait_until(Duration::from_secs(1), known).await;
    for other in &cluster.nodes {
        let listed = addresses(other.address).await;
        assert!(!listed.contains(&leaving), "{listed:?}");
    }
    stop.abort();
}

/// A stop waits until the outcome of an answered call is written to the configuration service.
#[tokio::test(flavor = "multi_thread")]
async fn writes_outcomes() {
    let mut cluster = Cluster::start(0, 0).await;
    let service = start_plain_endpoint(&cluster).await;
    let mut settings = cluster.settings(0);
    settings.timing.addresses_ttl = Duration::from_millis(100);
    let node = daisyyard::node::Node::start(settings).await;
    let node = node.expect("the node starts");
    let address = node.address;
    assert_eq!(pay(address, "key-0").await, StatusCode::OK);
    // The outage begins after the claim is written and before the outcome is.
    let call = tokio::spawn(async move { pay(address, "key-1").await });
    while service.runs().await.len() < 2 {
        tokio::task::yield_now().await;
    }
    cluster.store.faults.set(Faults {
        down: true,
        ..Faults::default()
    });
    assert_eq!(call.await.expect("no panic"), StatusCode::OK);
    let stop = tokio::spawn(node.drain());
    tokio::time::sleep(Duration::from_secs(1)).await;
    assert!(!stop.is_finished(), "the outcome is not written yet");
    cluster.store.faults.set(Faults::default());
    let stopped = tokio::time::timeout(Duration::from_secs(9), stop).await;
    stopped.expect("the node stops").expect("no panic");
    // A second node replays the answer only if the outcome was written.
    cluster.add_node().await;
    assert_eq!(pay(cluster.nodes[0].address, "key-1").await, StatusCode::OK);
    assert_eq!(service.runs().await.len(), 2);
}

/// A stop ends after a bounded time if the outcome cannot be written.
#[tokio::test(flavor = "multi_thread")]
async fn bounded_wait() {
    let cluster = Cluster::start(0, 0).await;
    let service = start_plain_endpoint(&cluster).await;
    let mut settings = cluster.settings(0);
    settings.timing.addresses_ttl = Duration::from_millis(100);
    let node = daisyyard::node::Node::start(settings).await;
    let node = node.expect("the node starts");
    let address = node.address;
    let call = tokio::spawn(async move { pay(address, "key-1").await });
    while service.runs().await.is_empty() {
        tokio::task::yield_now().await;
    }
    cluster.store.faults.set(Faults {
        down: true,
        ..Faults::default()
    });
    assert_eq!(call.await.expect("no panic"), StatusCode::OK);
    let started = Instant::now();
    let stopped = tokio::time::timeout(Duration::from_secs(14), node.drain()).await;
    stopped.expect("the node stops");
    assert!(started.elapsed() >= Duration::from_secs(9));
}

/// After `daisyyard drain` the process of a node exits with code 0.
#[tokio::test(flavor = "multi_thread")]
async fn drain_command() {
    let list = daisyyard_standin::instance_list::List::start(Vec::new()).await;
    let list = list.expect("the list starts");
    let store = Store::start().await.expect("the store starts");
    let settings = |address: SocketAddr| {
        json!({
            "name": "node-0", "zone": "costa-a", "region": "costa",
            "listen": address, "peer": "127.0.0.1:0", "list": list.address, "store": store.address,
            "key": "shared-cluster-key", "accounts": [{"account": "member-1", "token": "token-member-0001"}],
            "operators": [{"operator": "ines", "token": "operator-token-0001"}],
            "timing": {"addresses_ms": 200}, "services": [MODEL],
        })
    };
    let (mut process, address) = process::serve(settings).await;
    let words = format!("drain --node {address} --token operator-token-0001");
    let words: Vec<String> = words.split(' ').map(str::to_owned).collect();
    let report = operator::execute(&words).await.expect("a known command");
    assert_eq!((report.code, report.text.as_str()), (0, "draining"));
    let deadline = Instant::now() + Duration::from_secs(20);
    let code = loop {
        if let Some(code) = process.try_wait().expect("the state of the process") {
            break code;
        }
        if Instant::now() >= deadline {
            process.kill().expect("the process ends");
            panic!("the node did not stop");
        }
        tokio::time::sleep(Duration::from_millis(10)).await;
    };
    assert!(code.success(), "{code}");
}
