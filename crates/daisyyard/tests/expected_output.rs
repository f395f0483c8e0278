//! Guards against admission that expects the same output whatever lengths the node has seen.

mod busy_home;
mod cluster;

use daisyyard::wire::Message;
use hyper::StatusCode;

/// After short answers a home is told to expect short ones, and not the length that is assumed
/// where nothing is known.
#[tokio::test(flavor = "multi_thread")]
async fn follows_lengths() {
    let (cluster, mut received) = busy_home::start().await;
    let mut expected = Vec::new();
    for number in 0..40 {
        let prompt = format!("a grade of batch {number} length=2");
        let (status, value) = busy_home::request_urgent(cluster.nodes[0].address, &prompt).await;
        assert_eq!(status, StatusCode::OK, "{value}");
        while let Ok(message) = received.try_recv() {
            if let Message::Ask(ask) = message {
                expected.push(ask.expected);
            }
        }
    }
    println!("expected output tokens: {expected:?}");
    let last = expected.last().copied().expect("the home was asked");
    assert!(last < 32, "{expected:?}");
}
