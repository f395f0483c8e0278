//! Guards against a second run of a call after the node that claimed it crashed, for each point of
//! the call.

use std::time::Duration;

use daisyyard::at_most_once::{End, Exchange, run_once};
use daisyyard::call_registry;
use daisyyard_core::attempt::Progress;
use daisyyard_standin::outage::Faults;
use daisyyard_standin::plain::Service;
use daisyyard_standin::store::Store;
use tokio::runtime::{Builder, Runtime};

mod payment;

/// Point of the call at which the first node crashes.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum CrashPoint {
    /// The claim was sent to a slow configuration service and did not take effect yet.
    Claiming,
    /// The claim took effect and its response was lost.
    Claimed,
    /// The claim is confirmed and no request was sent.
    Confirmed,
    /// The request was sent and its answer was not handled yet.
    Sent,
    /// The answer was delivered but not recorded, because the configuration service is down.
    Answered,
    /// The answer was recorded in the configuration service.
    Recorded,
}

/// Starts a runtime for a node, which a test shuts down abruptly.
fn runtime() -> Runtime {
    let mut builder = Builder::new_multi_thread();
    let builder = builder.worker_threads(1).enable_all();
    builder.build().expect("a runtime starts")
}

/// Crashes the first node at a point of the call; returns the end of a repeated call at a second
/// node and the number of runs.
async fn crash_first_node(point: CrashPoint) -> (End, usize) {
    let store = Store::start().await.expect("the store starts");
    let service = Service::start().await.expect("the service starts");
    let address = service.address;
    if point == CrashPoint::Claiming {
        store.faults.set(Faults {
            delay: Duration::from_millis(300),
            ..Faults::default()
        });
    }
    let node = runtime();
    let store_address = store.address;
    let (ready, mut reached) = tokio::sync::mpsc::unbounded_channel();
    let (resume, resumed) = tokio::sync::oneshot::channel::<()>();
    let first = node.spawn(async move {
        let calls = call_registry::spawn(store_address);
        if point == CrashPoint::Claimed {
            // Loads the head first, so that the next call is the write whose response is lost.
            let unsent = || async {
                Exchange {
                    progress: Progress::Unsent,
                    answer: None,
                }
            };
            let unsent_call = run_once(calls.clone(), payment::claim("key", "body"), unsent);
            assert_eq!(unsent_call.await, End::NotSent(Progress::Unsent));
            tokio::time::sleep(Duration::from_millis(500)).await;
        }
        let _ = ready.send(());
        let mut resumed = Some(resumed);
        if point == CrashPoint::Claimed {
            let _ = resumed.take().expect("not yet awaited").await;
        }
        let reached_sender = ready.clone();
        let send = move || async move {
            if point == CrashPoint::Confirmed {
                let _ = reached_sender.send(());
                std::future::pending::<()>().await;
            }
            if point == CrashPoint::Answered {
                let _ = reached_sender.send(());
                let _ = resumed.expect("not yet awaited").await;
            }
            let exchange = payment::pay(address).await;
            if point == CrashPoint::Sent {
                let _ = reached_sender.send(());
                std::future::pending::<()>().await;
            }
            exchange
        };
        let end = run_once(calls.clone(), payment::claim("key", "body"), send).await;
        if point == CrashPoint::Answered {
            let again = payment::claim("key", "body");
            let repeat = run_once(calls.clone(), again, || async { panic!("sent twice") });
            assert_eq!(repeat.await, End::Replay(200, payment::first_body()));
        }
        let _ = ready.send(());
        std::future::pending::<()>().await;
        drop(calls);
        end
    });
    let _ = reached.recv().await;
    match point {
        CrashPoint::Claiming => tokio::time::sleep(Duration::from_millis(100)).await,
        CrashPoint::Claimed => {
            store.faults.set(Faults {
                lose_responses: true,
                ..Faults::default()
            });
            let _ = resume.send(());
            tokio::time::sleep(Duration::from_millis(500)).await;
        }
        CrashPoint::Answered => {
            let _ = reached.recv().await;
            store.faults.set(Faults {
                down: true,
                ..Faults::default()
            });
            let _ = resume.send(());
            let _ = reached.recv().await;
        }
        CrashPoint::Confirmed | CrashPoint::Sent => {
            let _ = reached.recv().await;
        }
        CrashPoint::Recorded => {
            let _ = reached.recv().await;
            tokio::time::sleep(Duration::from_millis(500)).await;
        }
    }
    node.shutdown_background();
    drop(first);
    store.faults.set(Faults::default());
    let calls = call_registry::spawn(store.address);
    let repeat = run_once(calls, payment::claim("key", "body"), move || {
        payment::pay(address)
    });
    let end = repeat.await;
    (end, service.runs().await.len())
}

/// A claim that did not take effect leaves the key free.
#[tokio::test]
async fn crashes_claiming() {
    let (end, runs) = crash_first_node(CrashPoint::Claiming).await;
    assert_eq!((end, runs), (End::Answer(200, payment::first_body()), 1));
}

/// A claim whose response was lost after it took effect blocks the key, although no request was
/// sent.
#[tokio::test]
async fn crashes_claimed() {
    assert_eq!(
        crash_first_node(CrashPoint::Claimed).await,
        (End::Unknown, 0)
    );
}

/// A confirmed claim blocks the key, although no request was sent.
#[tokio::test]
async fn crashes_confirmed() {
    assert_eq!(
        crash_first_node(CrashPoint::Confirmed).await,
        (End::Unknown, 0)
    );
}

/// A call that was sent is not sent again.
#[tokio::test]
async fn crashes_sent() {
    assert_eq!(crash_first_node(CrashPoint::Sent).await, (End::Unknown, 1));
}

/// An outcome that could not be written is replayed by the first node from memory and is lost with
/// that node.
#[tokio::test]
async fn crashes_answered() {
    assert_eq!(
        crash_first_node(CrashPoint::Answered).await,
        (End::Unknown, 1)
    );
}

/// A recorded outcome is replayed by another node.
#[tokio::test]
async fn crashes_recorded() {
    let (end, runs) = crash_first_node(CrashPoint::Recorded).await;
    assert_eq!((end, runs), (End::Replay(200, payment::first_body()), 1));
}
