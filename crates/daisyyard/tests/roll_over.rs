//! Guards against call records that are lost when the head of a partition rolls over into an
//! archive.

use bytes::Bytes;
use daisyyard::at_most_once::{End, Exchange, run_once};
use daisyyard::call_registry::{self, Claim};
use daisyyard_core::attempt::Progress;
use daisyyard_core::{call_record, id};
use daisyyard_standin::store::Store;

mod outcome;

/// Number of calls; with answers of 1 KiB they fill the 64 KiB head of one partition more than
/// twice.
const CALL_COUNT: usize = 200;

/// Returns an answer of 1 KiB that differs for each key.
fn answer(key: &str) -> Bytes {
    Bytes::from(format!("{key:>1024}"))
}

/// Returns the claim of a call with this idempotency key.
fn claim(key: &str) -> Claim {
    Claim {
        account: id::of("importer"),
        service: id::of("libro-socios"),
        key: key.to_owned(),
        fingerprint: 1,
    }
}

/// A node that starts later replays every call from the head or an archive.
#[tokio::test]
async fn keeps_all() {
    let store = Store::start().await.expect("the store starts");
    let hash = |key: &String| call_record::key(id::of("importer"), id::of("libro-socios"), key);
    let keys = (0..).map(|number| format!("key-{number}"));
    let keys: Vec<String> = keys
        .filter(|key| call_record::partition(hash(key)) == 0)
        .take(CALL_COUNT)
        .collect();
    let node = call_registry::spawn(store.address);
    for batch in keys.chunks(50) {
        let mut callers = tokio::task::JoinSet::new();
        for key in batch {
            let body = answer(key);
            let exchange = Exchange {
                progress: Progress::Answered,
                answer: Some((201, body)),
            };
            callers.spawn(run_once(node.clone(), claim(key), move || async move {
                exchange
            }));
        }
        for end in callers.join_all().await {
            assert!(matches!(end, End::Answer(201, _)), "{end:?}");
        }
        outcome::wait_until_written(&node).await;
    }
    let second = daisyyard_http::call(
        store.address,
        hyper::Method::GET,
        "/kv/calls/0/archive/1",
        &[],
        "",
    )
    .await
    .expect("the store answers");
    assert_eq!(second.0, 200, "the head did not roll over twice");
    let later = call_registry::spawn(store.address);
    for key in &keys {
        let end = run_once(later.clone(), claim(key), || async { panic!("sent twice") });
        assert_eq!(end.await, End::Replay(201, answer(key)));
    }
}
