//! Guards against a call that runs twice when its key is used at several nodes concurrently.

use daisyyard::at_most_once::{End, run_once};
use daisyyard::call_registry;
use daisyyard_core::attempt::Progress;
use daisyyard_standin::plain::Service;
use daisyyard_standin::store::Store;

mod outcome;
mod payment;

/// Forty callers at two nodes use one key: the call runs once, and the other callers get its replay
/// or an unknown outcome.
#[tokio::test]
async fn two_nodes() {
    let store = Store::start().await.expect("the store starts");
    let service = Service::start().await.expect("the service starts");
    let nodes = [
        call_registry::spawn(store.address),
        call_registry::spawn(store.address),
    ];
    let mut callers = tokio::task::JoinSet::new();
    for caller in 0..40 {
        let (node, service) = (nodes[caller % 2].clone(), service.address);
        let claim = payment::claim("one", "body");
        callers.spawn(run_once(node, claim, move || payment::pay(service)));
    }
    let ends = callers.join_all().await;
    let answered = |end: &&End| matches!(end, End::Answer(..));
    assert_eq!(ends.iter().filter(answered).count(), 1, "{ends:?}");
    for end in &ends {
        let allowed = matches!(end, End::Answer(..) | End::Replay(..) | End::Unknown);
        assert!(allowed, "{end:?}");
    }
    assert_eq!(service.runs().await.len(), 1);
    for node in &nodes {
        outcome::wait_until_written(node).await;
    }
    for node in nodes {
        let repeat = run_once(node, payment::claim("one", "body"), move || async {
            panic!("a repeated call must not be sent")
        });
        assert_eq!(repeat.await, End::Replay(200, payment::first_body()));
    }
}

/// A key that was used with another body is refused on both nodes.
#[tokio::test]
async fn other_body() {
    let store = Store::start().await.expect("the store starts");
    let service = Service::start().await.expect("the service starts");
    let nodes = [
        call_registry::spawn(store.address),
        call_registry::spawn(store.address),
    ];
    let address = service.address;
    let first = run_once(nodes[0].clone(), payment::claim("key", "a"), move || {
        payment::pay(address)
    });
    assert_eq!(first.await, End::Answer(200, payment::first_body()));
    for node in nodes {
        let other = run_once(node, payment::claim("key", "b"), move || {
            payment::pay(address)
        });
        assert_eq!(other.await, End::KeyReused);
    }
    assert_eq!(service.runs().await.len(), 1);
}

/// A call that was certainly not sent leaves its key free for the next call at any node.
#[tokio::test]
async fn release_frees() {
    let store = Store::start().await.expect("the store starts");
    let service = Service::start().await.expect("the service starts");
    let nodes = [
        call_registry::spawn(store.address),
        call_registry::spawn(store.address),
    ];
    let unsent = run_once(
        nodes[0].clone(),
        payment::claim("key", "a"),
        move || async {
            daisyyard::at_most_once::Exchange {
                progress: Progress::Unsent,
                answer: None,
            }
        },
    );
    assert_eq!(unsent.await, End::NotSent(Progress::Unsent));
    outcome::wait_until_written(&nodes[0]).await;
    let address = service.address;
    let again = run_once(nodes[1].clone(), payment::claim("key", "b"), move || {
        payment::pay(address)
    });
    assert_eq!(again.await, End::Answer(200, payment::first_body()));
}
