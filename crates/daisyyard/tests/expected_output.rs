//! Guards against admission requests whose expected output ignores the output lengths that the node
//! has observed.

mod busy_home;
mod cluster;

use daisyyard::wire::Message;
use hyper::StatusCode;

/// After short answers a node requests admission for a short output instead of the default length
/// that applies before any was observed.
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
