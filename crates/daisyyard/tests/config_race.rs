//! Guards against two changes that both replace the same revision.

mod cluster;

use std::time::Duration;

use cluster::Cluster;
use daisyyard::editor::Outcome;
use daisyyard_core::preset::Edit;

/// Of concurrent changes based on the same revision one is accepted, and the others receive the
/// accepted one.
#[tokio::test(flavor = "multi_thread")]
async fn one_wins() {
    let cluster = Cluster::start(4, 0).await;
    for round in 0..5 {
        let names = ["ines", "bold", "marta", "tuya"];
        let change = |(node, by): (usize, &'static str)| {
            let edit = Edit::Put(cluster::preset(&format!("by-{by}")));
            cluster.nodes[node].edit(edit, by, round)
        };
        let changes = names.into_iter().enumerate().map(change);
        let outcomes = futures_util::future::join_all(changes).await;
        let winners: Vec<&str> = names
            .into_iter()
            .zip(&outcomes)
            .filter_map(|(by, outcome)| matches!(outcome, Outcome::Accepted(_)).then_some(by))
            .collect();
        assert_eq!(winners.len(), 1, "{outcomes:?}");
        for outcome in outcomes {
            let document = match outcome {
                Outcome::Accepted(document) | Outcome::Conflict(document) => document,
                other => panic!("{other:?}"),
            };
            let newest = document.history.last().expect("a change");
            assert_eq!(
                (newest.revision, newest.by.as_str()),
                (round + 1, winners[0])
            );
        }
        let limit = Duration::from_secs(10);
        cluster
            .wait_until(limit, |status| status.document.revision == round + 1)
            .await;
    }
}
