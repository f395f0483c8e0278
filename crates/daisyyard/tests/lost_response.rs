//! Guards against a change that is made twice, or reported wrongly, when responses are lost.

mod cluster;

use assert_matches::assert_matches;
use cluster::Cluster;
use daisyyard::editor::Outcome;
use daisyyard_core::preset::Edit;

/// A change whose response was lost is found by reading the document back, and is made once.
#[tokio::test(flavor = "multi_thread")]
async fn reads_back() {
    let cluster = Cluster::start(1, 0).await;
    for revision in 1..=2 {
        cluster.store.lose_responses(1);
        let edit = Edit::Put(cluster::preset("peak"));
        let outcome = cluster.nodes[0].edit(edit, "ines", revision - 1).await;
        let document = assert_matches!(outcome, Outcome::Accepted(document) => document);
        assert_eq!(document.revision, revision);
        assert_eq!(document.history.len() as u64, revision);
    }
    assert_eq!(cluster.store.counters().await.puts, 2);
}

/// A change whose response was lost is found even if another operator's change followed it.
#[tokio::test(flavor = "multi_thread")]
async fn sees_later_change() {
    let cluster = Cluster::start(2, 0).await;
    cluster.store.lose_responses(1);
    let first = cluster.nodes[0].edit(Edit::Put(cluster::preset("peak")), "ines", 0);
    let second = async {
        tokio::time::sleep(std::time::Duration::from_millis(300)).await;
        let edit = Edit::Put(cluster::preset("calm"));
        cluster.nodes[1].edit(edit, "bold", 1).await
    };
    let (first, second) = tokio::join!(first, second);
    assert_matches!(first, Outcome::Accepted(_));
    let document = assert_matches!(second, Outcome::Accepted(document) => document);
    let by: Vec<&str> = document
        .history
        .iter()
        .map(|change| change.by.as_str())
        .collect();
    assert_eq!(by, ["ines", "bold"]);
}
