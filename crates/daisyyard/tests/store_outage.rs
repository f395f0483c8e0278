//! Guards against nodes that lose the active preset, or apply an old one, while the configuration
//! service is down or slow.

mod cluster;

use std::time::Duration;

use assert_matches::assert_matches;
use bytes::Bytes;
use cluster::Cluster;
use daisyyard::document::Json;
use daisyyard::editor::Outcome;
use daisyyard_core::preset::{Document, Edit};
use daisyyard_standin::outage::Faults;
use hyper::{Method, StatusCode};

/// Time within which all nodes must have the same document.
const SPREAD_TIMEOUT: Duration = Duration::from_secs(14);

/// A node that starts during an outage gets the document from its peers; changes are refused during
/// the outage and accepted after it.
#[tokio::test(flavor = "multi_thread")]
async fn new_node_asks_peers() {
    let mut cluster = Cluster::start(3, 0).await;
    let outcome = cluster.nodes[0]
        .edit(Edit::Put(cluster::preset("peak")), "ines", 0)
        .await;
    assert_matches!(outcome, Outcome::Accepted(_));
    cluster.store.stop_listening().await;
    cluster.add_node().await;
    cluster
        .wait_until(SPREAD_TIMEOUT, |status| status.document.revision == 1)
        .await;
    let edit = Edit::Use("peak".to_owned());
    let outcome = cluster.nodes[3].edit(edit.clone(), "ines", 1).await;
    assert_matches!(outcome, Outcome::Refused(_));
    cluster.store.listen().await.expect("the store starts");
    let mut outcome = cluster.nodes[3].edit(edit.clone(), "ines", 1).await;
    while matches!(outcome, Outcome::Refused(_)) {
        // The node's backoff delays its calls for up to 10 s after the outage.
        tokio::time::sleep(Duration::from_millis(200)).await;
        outcome = cluster.nodes[3].edit(edit.clone(), "ines", 1).await;
    }
    assert_matches!(outcome, Outcome::Accepted(_));
    cluster
        .wait_until(SPREAD_TIMEOUT, |status| status.document.current == "peak")
        .await;
}

/// A change that the configuration service delays beyond the timeout is made once and is not
/// reported as refused.
#[tokio::test(flavor = "multi_thread")]
async fn slow_write() {
    let cluster = Cluster::start(1, 0).await;
    cluster.store.delay_calls(Duration::from_millis(700));
    let edit = Edit::Put(cluster::preset("peak"));
    let outcome = cluster.nodes[0].edit(edit, "ines", 0).await;
    assert_matches!(outcome, Outcome::Accepted(document) if document.history.len() == 1);
}

/// Only 3 of 8 nodes watch the configuration service, and no node calls it while nothing changes.
#[tokio::test(flavor = "multi_thread")]
async fn few_watchers() {
    let cluster = Cluster::start(8, 0).await;
    tokio::time::sleep(Duration::from_secs(2)).await;
    let mut watching = 0;
    for node in &cluster.nodes {
        watching += usize::from(node.status().await.expect("the node runs").watching);
    }
    assert_eq!(watching, 3);
    let before = cluster.store.counters().await;
    tokio::time::sleep(Duration::from_secs(3)).await;
    assert_eq!(
        cluster.store.counters().await,
        before,
        "watches wait, others stay silent"
    );
}

/// A node whose calls are declined calls less and less often.
///
/// Guards against a node that treats a declined call as an answer and keeps its full call rate.
#[tokio::test(flavor = "multi_thread")]
async fn declined_calls() {
    let mut cluster = Cluster::start(1, 0).await;
    // Until its watch is open, the first node would be declined too, and the calls of two nodes
    // would be counted.
    while cluster.store.counters().await.watches == 0 {
        tokio::time::sleep(Duration::from_millis(10)).await;
    }
    cluster.store.faults.set(Faults {
        down: true,
        ..Faults::default()
    });
    cluster.add_node().await;
    tokio::time::sleep(Duration::from_secs(8)).await;
    let declined = cluster.store.counters().await.declined;
    assert!(declined >= 2, "the new node asks: {declined} calls in 8 s");
    // The limit of the delays doubles from 100 ms, so that the tenth call comes after 25 s on
    // average.
    assert!(declined <= 16, "{declined} calls in 8 s");
}

/// A document that is deleted from the configuration service stays active, and the watches wait
/// instead of being repeated at once.
#[tokio::test(flavor = "multi_thread")]
async fn document_vanishes() {
    let cluster = Cluster::start(3, 0).await;
    let call = |method: Method, path: String, body: Bytes| {
        let address = cluster.store.address;
        async move {
            let answer = daisyyard_http::call(address, method, &path, &[], body).await;
            let (status, body) = answer.expect("an answer");
            assert_eq!(status, StatusCode::OK);
            serde_json::from_slice::<serde_json::Value>(&body).expect("JSON")
        }
    };
    let terms = r#"{"name": "short", "ttl_ms": 60000}"#;
    let lease = call(Method::POST, "/leases".to_owned(), terms.into()).await;
    let lease = &lease["lease"];
    let mut document = Document::initial(cluster::preset("brief"));
    document.revision = 1;
    let path = format!("/kv/config/current?expected=0&lease={lease}");
    call(Method::PUT, path, Json::from(&document).0).await;
    cluster
        .wait_until(SPREAD_TIMEOUT, |status| status.document.revision == 1)
        .await;
    let before = cluster.store.counters().await.watches;
    call(Method::DELETE, format!("/leases/{lease}"), Bytes::new()).await;
    tokio::time::sleep(Duration::from_secs(3)).await;
    let after = cluster.store.counters().await.watches;
    assert!(
        after - before <= 6,
        "{} watches of 3 nodes in 3 s",
        after - before
    );
    cluster
        .wait_until(SPREAD_TIMEOUT, |status| status.document.current == "brief")
        .await;
}
