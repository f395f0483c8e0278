//! Guards against false outcomes while the configuration service is down, is slow or loses
//! responses.

use std::time::Duration;

use daisyyard::at_most_once::{End, run_once};
use daisyyard::call_registry::{self, GetStats};
use daisyyard_core::attempt::Outcome;
use daisyyard_standin::outage::Faults;
use daisyyard_standin::plain::Service;
use daisyyard_standin::store::Store;

mod payment;

/// Runs one call at a new node under a fault that lasts for `fault_duration`; returns the end of
/// the call and the number of runs.
async fn call_under_fault(plan: Faults, fault_duration: Duration) -> (End, usize) {
    let store = Store::start().await.expect("the store starts");
    let service = Service::start().await.expect("the service starts");
    store.faults.set(plan);
    let calls = call_registry::spawn(store.address);
    let address = service.address;
    let claim = payment::claim("key", "body");
    let run = run_once(calls, claim, move || payment::pay(address));
    let run = tokio::spawn(run);
    tokio::time::sleep(fault_duration).await;
    store.faults.set(Faults::default());
    let end = run.await.expect("the call ends");
    (end, service.runs().await.len())
}

/// A call in a long outage is refused and does not run. Its outcome is still reported as unknown,
/// because the registry cannot determine whether an earlier call with the same key ran.
#[tokio::test]
async fn down() {
    let plan = Faults {
        down: true,
        ..Faults::default()
    };
    let end = call_under_fault(plan, Duration::from_secs(4)).await;
    assert_eq!(end, (End::Unavailable, 0));
    assert_eq!(End::Unavailable.outcome(), Outcome::Unknown);
}

/// A call in a short outage runs when the outage is over.
#[tokio::test]
async fn short_outage() {
    let plan = Faults {
        down: true,
        ..Faults::default()
    };
    let end = call_under_fault(plan, Duration::from_millis(300)).await;
    assert_eq!(end, (End::Answer(200, payment::first_body()), 1));
}

/// A slow configuration service only delays the call.
#[tokio::test]
async fn slow() {
    let plan = Faults {
        delay: Duration::from_millis(400),
        ..Faults::default()
    };
    let end = call_under_fault(plan, Duration::from_secs(2)).await;
    assert_eq!(end, (End::Answer(200, payment::first_body()), 1));
}

/// A claim whose response was lost after the write took effect is found by reading the head back.
#[tokio::test]
async fn lost_response() {
    let store = Store::start().await.expect("the store starts");
    let service = Service::start().await.expect("the service starts");
    let address = service.address;
    let nodes = [
        call_registry::spawn(store.address),
        call_registry::spawn(store.address),
    ];
    let key = payment::claim("key", "body");
    // Both nodes load the head before the fault, so that their next call is a write.
    for node in &nodes {
        let unsent_call = run_once(node.clone(), key.clone(), move || async {
            daisyyard::at_most_once::Exchange {
                progress: daisyyard_core::attempt::Progress::Unsent,
                answer: None,
            }
        });
        assert!(matches!(unsent_call.await, End::NotSent(_)));
        tokio::time::sleep(Duration::from_millis(500)).await;
    }
    store.faults.set(Faults {
        lose_responses: true,
        ..Faults::default()
    });
    let runs = nodes.each_ref().map(|node| {
        let run = run_once(node.clone(), key.clone(), move || payment::pay(address));
        tokio::spawn(run)
    });
    tokio::time::sleep(Duration::from_millis(700)).await;
    store.faults.set(Faults::default());
    let mut answered = 0;
    for run in runs {
        let end = run.await.expect("the call ends");
        answered += usize::from(matches!(end, End::Answer(..)));
    }
    assert_eq!((answered, service.runs().await.len()), (1, 1));
}

/// An outcome that could not be written during an outage is written after it.
#[tokio::test]
async fn late_outcome() {
    let store = Store::start().await.expect("the store starts");
    let service = Service::start().await.expect("the service starts");
    let address = service.address;
    let nodes = [
        call_registry::spawn(store.address),
        call_registry::spawn(store.address),
    ];
    let (claimed, confirmed) = tokio::sync::oneshot::channel();
    let (resume, resumed) = tokio::sync::oneshot::channel::<()>();
    let key = payment::claim("key", "body");
    let run = run_once(nodes[0].clone(), key.clone(), move || async move {
        let _ = claimed.send(());
        let _ = resumed.await;
        payment::pay(address).await
    });
    let run = tokio::spawn(run);
    confirmed.await.expect("the claim is confirmed");
    store.faults.set(Faults {
        down: true,
        ..Faults::default()
    });
    let _ = resume.send(());
    let end = run.await.expect("the call ends");
    assert_eq!(end, End::Answer(200, payment::first_body()));
    tokio::time::sleep(Duration::from_secs(1)).await;
    store.faults.set(Faults::default());
    for _ in 0..100 {
        let stats = nodes[0].send(GetStats).await.expect("the actor runs");
        if stats.unwritten == 0 {
            break;
        }
        tokio::time::sleep(Duration::from_millis(100)).await;
    }
    let repeat = run_once(nodes[1].clone(), key, || async { panic!("sent twice") });
    assert_eq!(repeat.await, End::Replay(200, payment::first_body()));
    assert_eq!(service.runs().await.len(), 1);
}
